#include "routes/watch.h"

#include <algorithm>

#include "config/address.h"
#include "log/log.h"
#include "routes/table.h"

namespace fernward::routes {
namespace {

constexpr double kConnectMs = 500;
constexpr double kListMs = 2000;       // the whole list comes at once, or discovery is down
constexpr double kWatchMs = 3000;      // how long discovery may hold a watch
constexpr double kLateMs = 1000;       // and how much later it may still answer
constexpr double kQuickMs = 20;        // an answer without news sooner than this is not asked again at once
constexpr double kFirstBackoffMs = 25; // a watch goes on only if it is asked again within 200 ms
constexpr double kMaxBackoffMs = 500;  // after answers that are of no use
constexpr double kMaxRefusedMs = 200;  // after connections that are: these cost discovery nothing

// A change counts as told 6 s after discovery had it and could be reached, and the rule on drains leaves 250 ms and more
// (`drain_grace`) from there. The longest ways of such a change into the module, one connection that never comes up on
// each; from then on discovery answers at once:
//   a watch that fell silent, as it was asked or in the middle of an answer: kWatchMs + kLateMs + kConnectMs = 4.5 s
//   a list asked for that does not come: kListMs + kConnectMs = 2.5 s
//   a connection that never comes up, also that to another discovery after a reload: 2 x kConnectMs = 1 s
//   refused: kMaxRefusedMs + kConnectMs = 0.7 s; reset, closed or damaged: kMaxBackoffMs + kConnectMs = 1 s
constexpr double kToldMs = 6000;
static_assert(std::max(kWatchMs + kLateMs, kListMs) + kMaxBackoffMs + 2 * kConnectMs < kToldMs - 250);
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
  wait(kConnectMs, [this] { give_up("connect-timeout"); });
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
  wait(index_ ? kWatchMs + kLateMs : kListMs, [this] { give_up("silent"); });
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
  const auto next = [this, stays = answer.keep_alive] { stays ? ask() : connect(); };
  if (before == index_ && loop::now_ms() - asked_at_ < kQuickMs) return wait(kQuickMs, next);
  next();
}

void Watch::end(const char* code) {
  log::line("discovery-ended", {{"code", code}, {"answers", answers_}});
  connection_.reset();
  index_.reset(); // what was missed meanwhile is in the whole list
}

void Watch::fail(const char* code) {
  const double most = up_ ? kMaxBackoffMs : kMaxRefusedMs;
  end(code);
  backoff_ms_ = std::clamp(2 * backoff_ms_, kFirstBackoffMs, most);
  wait(backoff_ms_, [this] { connect(); });
}

// It has waited long enough: a discovery that comes back is to find a call that it can answer at once.
void Watch::give_up(const char* code) {
  end(code);
  connect();
}

} // namespace fernward::routes
