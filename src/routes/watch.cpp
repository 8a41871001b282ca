#include "routes/watch.h"

#include <algorithm>

#include "config/address.h"
#include "log/log.h"
#include "routes/table.h"

namespace fernward::routes {
namespace {

constexpr double kConnectMs = 1000;
constexpr double kListMs = 2000;       // the whole list comes at once, or discovery is down
constexpr double kWatchMs = 10000;     // how long discovery may hold a watch
constexpr double kLateMs = 1500;       // and how much later it may still answer
constexpr double kQuickMs = 20;        // an answer without news sooner than this is not asked again at once
constexpr double kFirstBackoffMs = 25; // a watch goes on only if it is asked again within 200 ms
constexpr double kMaxBackoffMs = 1000;
constexpr std::uint64_t kMostList = 8 << 20; // bytes of an answer: some 50,000 targets

} // namespace

Watch::Watch(event_base* base, loop::Deadlines& deadlines, const std::string& address, Take take)
    : base_(base), deadlines_(deadlines), address_(address), take_(std::move(take)) {
  connect();
}

Watch::~Watch() { deadlines_.cancel(ticket_); }

void Watch::wait(double ms, std::function<void()> what) {
  deadlines_.cancel(ticket_);
  ticket_ = deadlines_.at(loop::now_ms() + ms, std::move(what));
}

void Watch::connect() {
  sockaddr_in where{};
  config::parse_address(address_, where); // checked when the configuration was read
  connection_ = loop::make_bufferevent(base_, -1);
  parser_ = http::Parser(http::Kind::Response, kMostList);
  up_ = false;
  bufferevent_setcb(connection_.get(), &Watch::readable, nullptr, &Watch::changed, this);
  wait(kConnectMs, [this] { fail("connect-timeout"); });
  if (bufferevent_socket_connect(connection_.get(), reinterpret_cast<sockaddr*>(&where), sizeof where) != 0) {
    wait(0, [this] { fail("connect-failed"); });
  }
}

void Watch::ask() {
  std::string target = "/v1/endpoints";
  if (index_) {
    target +=
        "?since=" + std::to_string(*index_) + "&timeout_ms=" + std::to_string(static_cast<int>(kWatchMs));
  }
  const std::string text = http::write_request("GET", target, address_, {}, "");
  asked_at_ = loop::now_ms();
  bufferevent_write(connection_.get(), text.data(), text.size());
  wait(index_ ? kWatchMs + kLateMs : kListMs, [this] { fail("silent"); });
}

void Watch::event(short what) {
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    up_ = true;
    loop::set_nodelay(bufferevent_getfd(connection_.get()));
    bufferevent_enable(connection_.get(), EV_READ | EV_WRITE);
    return ask();
  }
  if (parser_.end_of_input()) return answered(parser_.take());
  fail(!up_ ? "connect-failed" : (what & BEV_EVENT_EOF) != 0 ? "peer-closed" : "reset");
}

void Watch::read() {
  const std::string_view input = loop::pending_input(connection_.get());
  loop::consume_input(connection_.get(), parser_.feed(input));
  if (parser_.fault() != http::Fault::None) return fail("malformed");
  if (parser_.done()) answered(parser_.take());
}

void Watch::answered(const http::Message& answer) {
  const auto before = index_;
  try {
    if (answer.status != 200) throw Damaged("status " + std::to_string(answer.status));
    index_ = take_(answer.body);
  } catch (const Damaged& damage) {
    log::line("list-damaged", {{"from", address_}, {"why", damage.what()}});
    return fail("damaged");
  }
  ++answers_;
  backoff_ms_ = 0;
  if (!answer.keep_alive) return connect();
  if (before == index_ && loop::now_ms() - asked_at_ < kQuickMs) return wait(kQuickMs, [this] { ask(); });
  ask();
}

void Watch::fail(const char* code) {
  log::line("discovery-ended", {{"code", code}, {"answers", answers_}});
  connection_.reset();
  index_.reset(); // what was missed meanwhile is in the whole list
  backoff_ms_ = std::clamp(2 * backoff_ms_, kFirstBackoffMs, kMaxBackoffMs);
  wait(backoff_ms_, [this] { connect(); });
}

} // namespace fernward::routes
