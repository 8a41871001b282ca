#include "endpoints/endpoint_file_watch.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "config/json.h"
#include "endpoints/endpoint_table.h"
#include "log/log.h"
#include "loop/timer_queue.h"

namespace fernward::endpoints {
namespace {

constexpr double kPollPeriodMs = 250;
constexpr off_t kMaxListBytes = 8 << 20;

bool same(const struct stat& a, const struct stat& b) {
  return a.st_ino == b.st_ino && a.st_dev == b.st_dev && a.st_size == b.st_size &&
         a.st_mtim.tv_sec == b.st_mtim.tv_sec && a.st_mtim.tv_nsec == b.st_mtim.tv_nsec;
}

} // namespace

EndpointFileWatch::EndpointFileWatch(loop::TimerQueue& timers, const std::string& path, Take take)
    : timers_(timers), path_(path), take_(std::move(take)) {
  poll();
}

EndpointFileWatch::~EndpointFileWatch() { timers_.cancel(poll_timer_); }

void EndpointFileWatch::poll() {
  poll_timer_ = timers_.at(loop::now_ms() + kPollPeriodMs, [this] { poll(); });
  struct stat now {};
  if (stat(path_.c_str(), &now) != 0) return set_fault(std::strerror(errno));
  // Opening a pipe would block the event loop.
  if (!S_ISREG(now.st_mode)) return set_fault("is not a regular file");
  if (same(now, seen_)) return;
  if (now.st_size > kMaxListBytes) return set_fault("is larger than 8 MiB");
  seen_ = now;
  read(); // a partially written file is not valid JSON; it is read again after the next change
}

void EndpointFileWatch::read() {
  std::ifstream in(path_, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) { // for example no descriptor is left: retries although the file has not changed
    seen_ = {};
    return set_fault("can't be read completely");
  }
  auto list = config::parse_json(text.str());
  if (list.is_array()) list = {{"endpoints", std::move(list)}};
  if (!list.is_object()) return set_fault("is not JSON, or neither an endpoint list nor an array");
  list["index"] = ++versions_;
  list["snapshot"] = true;
  try {
    take_(list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  } catch (const Damaged& damage) {
    return set_fault(damage.what());
  }
  if (!fault_.empty()) log::line("list-file-sound", {{"path", path_}});
  fault_.clear();
  has_list_ = true;
}

void EndpointFileWatch::set_fault(const std::string& why) {
  if (why == fault_) return;
  fault_ = why;
  log::line("list-file-damaged", {{"path", path_}, {"why", why}});
}

} // namespace fernward::endpoints
