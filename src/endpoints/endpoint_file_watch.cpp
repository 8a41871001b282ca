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

constexpr double kPollIntervalMs = 250;
constexpr off_t kMaxListBytes = 8 << 20;

bool is_same_version(const struct stat& a, const struct stat& b) {
  return a.st_ino == b.st_ino && a.st_dev == b.st_dev && a.st_size == b.st_size &&
         a.st_mtim.tv_sec == b.st_mtim.tv_sec && a.st_mtim.tv_nsec == b.st_mtim.tv_nsec;
}

} // namespace

EndpointFileWatch::EndpointFileWatch(loop::TimerQueue& timers, const std::string& path, OnList on_list)
    : timers_(timers), path_(path), on_list_(std::move(on_list)) {
  poll();
}

EndpointFileWatch::~EndpointFileWatch() { timers_.cancel(poll_timer_); }

void EndpointFileWatch::poll() {
  poll_timer_ = timers_.run_at(loop::now_ms() + kPollIntervalMs, [this] { poll(); });
  struct stat status {};
  if (stat(path_.c_str(), &status) != 0) return report_error(std::strerror(errno));
  // Opening a pipe would block the event loop.
  if (!S_ISREG(status.st_mode)) return report_error("is not a regular file");
  if (is_same_version(status, last_file_status_)) return;
  if (status.st_size > kMaxListBytes) return report_error("is larger than 8 MiB");
  last_file_status_ = status;
  read(); // a partially written file is not valid JSON; it is read again after the next change
}

void EndpointFileWatch::read() {
  std::ifstream file(path_, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) { // for example no descriptor is left: retries although the file has not changed
    last_file_status_ = {};
    return report_error("can't be read completely");
  }
  auto list = config::parse_json(text.str());
  if (list.is_array()) list = {{"endpoints", std::move(list)}};
  if (!list.is_object()) return report_error("is not JSON, or neither an endpoint list nor an array");
  list["index"] = ++last_list_index_;
  list["snapshot"] = true;
  try {
    on_list_(list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  } catch (const InvalidEndpointList& invalid_list) {
    return report_error(invalid_list.what());
  }
  if (!last_error_.empty()) log::line("list-file-sound", {{"path", path_}});
  last_error_.clear();
  has_list_ = true;
}

void EndpointFileWatch::report_error(const std::string& error) {
  if (error == last_error_) return;
  last_error_ = error;
  log::line("list-file-damaged", {{"path", path_}, {"why", error}});
}

} // namespace fernward::endpoints
