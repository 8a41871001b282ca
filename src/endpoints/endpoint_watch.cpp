#include "endpoints/endpoint_watch.h"

#include <event2/event.h>

#include <array>
#include <utility>
#include <variant>
#include <vector>

#include "config/address.h"
#include "endpoints/endpoint_table.h"
#include "log/log.h"
#include "loop/buffer.h"

namespace fernward::endpoints {
namespace {

using discovery::Actions;
using discovery::CallId;
using discovery::Failure;

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr std::size_t kPollBytes = 16 << 10;     // read per system call by poll()
constexpr std::uint64_t kMaxListBytes = 8 << 20; // about 50,000 endpoints
// A response with an earlier index than one already received is out of date, for example from a lagging
// replica. A restarted discovery may count from the beginning again: after this many stale responses in a
// row, the next one is accepted.
constexpr std::uint32_t kMaxStaleAnswers = 2;

// Endpoint lists are read before requests are forwarded, if the event loop has priorities.
void raise_priority(event_base* base, bufferevent* io) {
  if (event_base_get_npriorities(base) > 1) bufferevent_priority_set(io, 0);
}

std::string target_of(const discovery::Ask& ask) {
  std::string target = "/v1/endpoints";
  if (!ask.since) return target;
  target += "?since=" + std::to_string(*ask.since);
  target += "&timeout_ms=" + std::to_string(static_cast<int>(ask.wait_ms));
  return target;
}

} // namespace

EndpointWatch::Connection::Connection() : parser(http::Kind::Response, kMaxListBytes) {}

EndpointWatch::EndpointWatch(event_base* base, loop::TimerQueue& timers, const std::string& address,
                             discovery::Subscription subscription, OnAnswer on_answer)
    : base_(base),
      timers_(timers),
      address_(address),
      on_answer_(std::move(on_answer)),
      subscription_(std::move(subscription)) {
  run([this](Actions& actions) { subscription_.start(loop::now_ms(), actions); });
}

EndpointWatch::~EndpointWatch() { timers_.cancel(tick_timer_); }

void EndpointWatch::refresh() {
  run([this](Actions& actions) { subscription_.refresh(loop::now_ms(), actions); });
}

// ---- actions of the subscription ----

void EndpointWatch::run(const std::function<void(Actions&)>& decide) {
  Actions actions;
  decide(actions);
  // By index: an action that fails immediately appends further actions.
  for (std::size_t i = 0; i < actions.size(); ++i) {
    const discovery::Action action = actions[i];
    if (const auto* opens = std::get_if<discovery::OpenConnection>(&action)) {
      open(opens->call, actions);
    } else if (const auto* asks = std::get_if<discovery::Ask>(&action)) {
      ask(*asks);
    } else if (const auto* closes = std::get_if<discovery::CloseConnection>(&action)) {
      connections_.erase(closes->call);
    }
  }
  timers_.cancel(tick_timer_);
  tick_timer_ = timers_.at(subscription_.next(), [this] {
    tick_timer_ = 0;
    run([this](Actions& due) { subscription_.tick(loop::now_ms(), due); });
  });
}

void EndpointWatch::open(CallId call, Actions& actions) {
  if (!connections_.empty()) log::line("discovery-in-doubt", {{"from", address_}, {"answers", answers_}});
  auto connection = std::make_unique<Connection>();
  connection->watch = this;
  connection->call = call;
  connection->io = loop::make_bufferevent(base_, -1);
  bufferevent* const io = connection->io.get();
  raise_priority(base_, io);
  bufferevent_setcb(io, &EndpointWatch::on_readable, nullptr, &EndpointWatch::on_event, connection.get());
  connections_[call] = std::move(connection);
  sockaddr_in where{};
  config::parse_address(address_, where); // validated when the configuration was read
  if (bufferevent_socket_connect(io, reinterpret_cast<sockaddr*>(&where), sizeof where) == 0) return;
  connections_.erase(call);
  note_failure("connect-failed");
  subscription_.failed(loop::now_ms(), call, Failure::Disconnected, actions);
}

void EndpointWatch::ask(const discovery::Ask& ask) {
  Connection& connection = *connections_.at(ask.call);
  connection.asked = true;
  const std::string text = http::write_request("GET", target_of(ask), address_, {}, "");
  // Written immediately, not from the event loop: the response should already be available at the next
  // poll().
  loop::write_or_wait(connection.io.get(), text);
}

// ---- socket events ----

void EndpointWatch::on_readable(bufferevent*, void* connection) {
  auto* const found = static_cast<Connection*>(connection);
  found->watch->read(*found);
}

void EndpointWatch::on_event(bufferevent*, short what, void* connection) {
  auto* const found = static_cast<Connection*>(connection);
  found->watch->handle_event(*found, what);
}

void EndpointWatch::handle_event(Connection& connection, short what) {
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    connection.connected = true;
    loop::set_nodelay(bufferevent_getfd(connection.io.get()));
    bufferevent_enable(connection.io.get(), EV_READ | EV_WRITE);
    return run([&](Actions& actions) { subscription_.connected(loop::now_ms(), connection.call, actions); });
  }
  // A response without a length ends when the connection is closed.
  if (connection.parser.end_of_input()) return on_answer(connection, false);
  const char* const ended = (what & BEV_EVENT_EOF) != 0 ? "peer-closed" : "reset";
  const bool begun = connection.parser.begun();
  fail(connection, connection.connected ? ended : "connect-failed",
       begun ? Failure::Useless : Failure::Disconnected);
}

void EndpointWatch::read(Connection& connection) {
  const std::string_view input = loop::pending_input(connection.io.get());
  if (input.empty()) return;
  if (!connection.asked) return fail(connection, "unasked-bytes", Failure::Useless);
  const std::size_t used = connection.parser.feed(input);
  const bool all = used == input.size();
  loop::consume_input(connection.io.get(), used);
  on_parsed(connection, all);
}

// Part of a response has been parsed. `all_input_used`: no further bytes follow it. If bytes follow, the
// connection can't be reused, as they can't be distinguished from the next response.
void EndpointWatch::on_parsed(Connection& connection, bool all) {
  if (connection.parser.fault() != http::Fault::None) {
    return fail(connection, "malformed", Failure::Useless);
  }
  if (connection.parser.done()) return on_answer(connection, all);
  run([&](Actions&) { subscription_.progressed(loop::now_ms(), connection.call); });
}

void EndpointWatch::on_answer(Connection& connection, bool reusable) {
  const http::Message message = connection.parser.take();
  connection.asked = false;
  if (message.status == kTooManyRequests || message.status == kUnavailable) {
    return fail(connection, "refused", Failure::Refused);
  }
  discovery::Answer answer;
  try {
    if (message.status != 200) throw Damaged("status " + std::to_string(message.status));
    answer = apply(connection.call, message.body);
  } catch (const Damaged& damage) {
    log::line("list-damaged", {{"from", address_}, {"why", damage.what()}});
    return fail(connection, "damaged", Failure::Useless);
  }
  note_answer();
  run([&](Actions& actions) {
    subscription_.answered(loop::now_ms(), connection.call, answer, reusable && message.keep_alive, actions);
  });
}

discovery::Answer EndpointWatch::apply(CallId call, const std::string& text) {
  const bool accepts_stale = stale_in_a_row_ >= kMaxStaleAnswers;
  try {
    const discovery::Answer answer = on_answer_(text, accepts_stale ? 0 : subscription_.at_least(call));
    stale_in_a_row_ = 0;
    return answer;
  } catch (const Stale&) {
    ++stale_in_a_row_;
    throw;
  }
}

// Destroys the connection.
void EndpointWatch::fail(Connection& connection, const char* code, Failure failure) {
  note_failure(code);
  const CallId call = connection.call;
  connections_.erase(call);
  run([&](Actions& actions) { subscription_.failed(loop::now_ms(), call, failure, actions); });
}

void EndpointWatch::poll() {
  std::vector<CallId> calls;
  for (const auto& [call, connection] : connections_) calls.push_back(call);
  for (const CallId call : calls) poll(call); // a response on one may close the others
}

// Reads the socket directly, as libevent's buffer is filled only by the event loop. The event loop also
// detects the end of the connection, which is ignored here.
void EndpointWatch::poll(CallId call) {
  Connection* connection = find_asked(call);
  if (connection != nullptr && !loop::pending_input(connection->io.get()).empty()) read(*connection);
  std::array<char, kPollBytes> block;
  while ((connection = find_asked(call)) != nullptr) { // each iteration may close it
    std::size_t bytes = 0;
    const int socket = bufferevent_getfd(connection->io.get());
    if (loop::receive(socket, block.data(), block.size(), bytes) != loop::Received::Bytes) return;
    const std::size_t used = connection->parser.feed({block.data(), bytes});
    on_parsed(*connection, used == bytes);
    if (bytes < block.size()) return; // the socket has no more input
  }
}

// The connection of a call that awaits a response, or null.
EndpointWatch::Connection* EndpointWatch::find_asked(CallId call) {
  const auto found = connections_.find(call);
  return found == connections_.end() || !found->second->asked ? nullptr : found->second.get();
}

// ---- logging: the first failure, each change of its code, and the recovery ----

void EndpointWatch::note_failure(const char* code) {
  ++failures_;
  if (failed_with_ == code) return;
  failed_with_ = code;
  log::line("discovery-ended", {{"code", code}, {"answers", answers_}});
}

void EndpointWatch::note_answer() {
  ++answers_;
  if (failures_ > 0) log::line("discovery-answers", {{"from", address_}, {"failures", failures_}});
  failures_ = 0;
  failed_with_.clear();
}

} // namespace fernward::endpoints
