#include "endpoints/endpoint_watch.h"

#include <event2/event.h>

#include <algorithm>
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

constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusServiceUnavailable = 503;
constexpr std::size_t kReadBytes = 16 << 10;     // read per system call by poll()
constexpr std::uint64_t kMaxListBytes = 8 << 20; // about 50,000 endpoints
// A response with an earlier index than one already received is out of date, for example from a lagging
// replica. A restarted discovery may count from the beginning again: after this many stale responses in a
// row, the next one is accepted.
constexpr std::uint32_t kMaxStaleResponses = 2;

// Endpoint lists are read before requests are forwarded, if the event loop has priorities.
void set_high_priority(event_base* base, bufferevent* io) {
  if (event_base_get_npriorities(base) > 1) bufferevent_priority_set(io, 0);
}

std::string request_target(const discovery::Poll& poll_action) {
  std::string target = "/v1/endpoints";
  if (!poll_action.since) return target;
  target += "?since=" + std::to_string(*poll_action.since);
  target += "&timeout_ms=" + std::to_string(static_cast<int>(poll_action.wait_ms));
  return target;
}

} // namespace

EndpointWatch::Connection::Connection() : parser(http::MessageKind::Response, kMaxListBytes) {}

EndpointWatch::EndpointWatch(event_base* base, loop::TimerQueue& timers, const std::string& address,
                             discovery::Subscription subscription, OnResponse on_response)
    : base_(base),
      timers_(timers),
      address_(address),
      on_response_(std::move(on_response)),
      subscription_(std::move(subscription)) {
  run_actions([this](Actions& actions) { subscription_.start(loop::now_ms(), actions); });
}

EndpointWatch::~EndpointWatch() { timers_.cancel(tick_timer_); }

void EndpointWatch::refresh() {
  run_actions([this](Actions& actions) { subscription_.refresh(loop::now_ms(), actions); });
}

// ---- actions of the subscription ----

void EndpointWatch::run_actions(const std::function<void(Actions&)>& collect_actions) {
  Actions actions;
  collect_actions(actions);
  // By index: an action that fails immediately appends further actions.
  for (std::size_t i = 0; i < actions.size(); ++i) {
    const discovery::Action action = actions[i];
    if (const auto* open_action = std::get_if<discovery::OpenConnection>(&action)) {
      open(open_action->call, actions);
    } else if (const auto* poll_action = std::get_if<discovery::Poll>(&action)) {
      send_request(*poll_action);
    } else if (const auto* close_action = std::get_if<discovery::CloseConnection>(&action)) {
      connections_.erase(close_action->call);
    }
  }
  timers_.cancel(tick_timer_);
  tick_timer_ = timers_.run_at(subscription_.next_tick_at(), [this] {
    tick_timer_ = 0;
    run_actions([this](Actions& due_actions) { subscription_.tick(loop::now_ms(), due_actions); });
  });
}

void EndpointWatch::open(CallId call_id, Actions& actions) {
  if (!connections_.empty())
    log::line("discovery-in-doubt", {{"from", address_}, {"answers", response_count_}});
  auto connection = std::make_unique<Connection>();
  connection->watch = this;
  connection->call_id = call_id;
  connection->io = loop::make_bufferevent(base_, -1);
  bufferevent* const io = connection->io.get();
  set_high_priority(base_, io);
  bufferevent_setcb(io, &EndpointWatch::on_readable, nullptr, &EndpointWatch::on_event, connection.get());
  connections_[call_id] = std::move(connection);
  sockaddr_in socket_address{};
  config::parse_address(address_, socket_address); // validated when the configuration was read
  if (bufferevent_socket_connect(io, reinterpret_cast<sockaddr*>(&socket_address), sizeof socket_address) ==
      0)
    return;
  connections_.erase(call_id);
  record_failure("connect-failed");
  subscription_.on_failed(loop::now_ms(), call_id, Failure::Disconnected, actions);
}

void EndpointWatch::send_request(const discovery::Poll& poll_action) {
  Connection& connection = *connections_.at(poll_action.call);
  connection.awaiting_response = true;
  const std::string text = http::write_request("GET", request_target(poll_action), address_, {}, "");
  // Written immediately, not from the event loop: the response should already be available at the next
  // poll().
  loop::write_or_enqueue(connection.io.get(), text);
}

// ---- socket events ----

void EndpointWatch::on_readable(bufferevent*, void* context) {
  auto* const connection = static_cast<Connection*>(context);
  connection->watch->read(*connection);
}

void EndpointWatch::on_event(bufferevent*, short events, void* context) {
  auto* const connection = static_cast<Connection*>(context);
  connection->watch->handle_event(*connection, events);
}

void EndpointWatch::handle_event(Connection& connection, short events) {
  if ((events & BEV_EVENT_CONNECTED) != 0) {
    connection.connected = true;
    loop::set_nodelay(bufferevent_getfd(connection.io.get()));
    bufferevent_enable(connection.io.get(), EV_READ | EV_WRITE);
    return run_actions(
        [&](Actions& actions) { subscription_.on_connected(loop::now_ms(), connection.call_id, actions); });
  }
  // A response without a length ends when the connection is closed.
  if (connection.parser.end_of_input()) return on_response(connection, false);
  const char* const close_code = (events & BEV_EVENT_EOF) != 0 ? "peer-closed" : "reset";
  const bool response_started = connection.parser.has_started();
  fail(connection, connection.connected ? close_code : "connect-failed",
       response_started ? Failure::InvalidAnswer : Failure::Disconnected);
}

void EndpointWatch::read(Connection& connection) {
  const std::string_view input = loop::pending_input(connection.io.get());
  if (input.empty()) return;
  if (!connection.awaiting_response) return fail(connection, "unasked-bytes", Failure::InvalidAnswer);
  const std::size_t used_bytes = connection.parser.feed(input);
  const bool all_input_used = used_bytes == input.size();
  loop::consume_input(connection.io.get(), used_bytes);
  on_parsed(connection, all_input_used);
}

// Part of a response has been parsed. `all_input_used`: no further bytes follow it. If bytes follow, the
// connection can't be reused, as they can't be distinguished from the next response.
void EndpointWatch::on_parsed(Connection& connection, bool all_input_used) {
  if (connection.parser.error() != http::ParseError::None) {
    return fail(connection, "malformed", Failure::InvalidAnswer);
  }
  if (connection.parser.done()) return on_response(connection, all_input_used);
  run_actions([&](Actions&) { subscription_.on_data_received(loop::now_ms(), connection.call_id); });
}

void EndpointWatch::on_response(Connection& connection, bool reusable) {
  const http::Message message = connection.parser.take_message();
  connection.awaiting_response = false;
  if (message.status == kStatusTooManyRequests || message.status == kStatusServiceUnavailable) {
    return fail(connection, "refused", Failure::Refused);
  }
  discovery::Answer answer;
  try {
    if (message.status != 200) throw InvalidEndpointList("status " + std::to_string(message.status));
    answer = apply(connection.call_id, message.body);
  } catch (const InvalidEndpointList& invalid_list) {
    log::line("list-damaged", {{"from", address_}, {"why", invalid_list.what()}});
    return fail(connection, "damaged", Failure::InvalidAnswer);
  }
  record_response();
  run_actions([&](Actions& actions) {
    subscription_.on_answered(loop::now_ms(), connection.call_id, answer, reusable && message.keep_alive,
                              actions);
  });
}

discovery::Answer EndpointWatch::apply(CallId call_id, const std::string& text) {
  const bool accept_stale = consecutive_stale_responses_ >= kMaxStaleResponses;
  try {
    const discovery::Answer answer = on_response_(text, accept_stale ? 0 : subscription_.min_index(call_id));
    consecutive_stale_responses_ = 0;
    return answer;
  } catch (const StaleEndpointList&) {
    ++consecutive_stale_responses_;
    throw;
  }
}

// Destroys the connection.
void EndpointWatch::fail(Connection& connection, const char* code, Failure failure) {
  record_failure(code);
  const CallId call_id = connection.call_id;
  connections_.erase(call_id);
  run_actions([&](Actions& actions) { subscription_.on_failed(loop::now_ms(), call_id, failure, actions); });
}

bool EndpointWatch::is_awaiting_response() const {
  return std::any_of(connections_.begin(), connections_.end(),
                     [](const auto& entry) { return entry.second->awaiting_response; });
}

void EndpointWatch::poll() {
  std::vector<CallId> call_ids;
  for (const auto& [call_id, connection] : connections_) call_ids.push_back(call_id);
  for (const CallId call_id : call_ids) poll(call_id); // a response on one may close the others
}

// Reads the socket directly, as libevent's buffer is filled only by the event loop. The event loop also
// detects the end of the connection, which is ignored here.
void EndpointWatch::poll(CallId call_id) {
  Connection* connection = find_awaiting_response(call_id);
  if (connection != nullptr && !loop::pending_input(connection->io.get()).empty()) read(*connection);
  std::array<char, kReadBytes> buffer;
  while ((connection = find_awaiting_response(call_id)) != nullptr) { // each iteration may close it
    std::size_t received_bytes = 0;
    const int socket = bufferevent_getfd(connection->io.get());
    if (loop::receive(socket, buffer.data(), buffer.size(), received_bytes) != loop::ReceiveResult::Bytes)
      return;
    const std::size_t used_bytes = connection->parser.feed({buffer.data(), received_bytes});
    on_parsed(*connection, used_bytes == received_bytes);
    if (received_bytes < buffer.size()) return; // the socket has no more input
  }
}

// The connection of a call that awaits a response, or null.
EndpointWatch::Connection* EndpointWatch::find_awaiting_response(CallId call_id) {
  const auto found = connections_.find(call_id);
  return found == connections_.end() || !found->second->awaiting_response ? nullptr : found->second.get();
}

// ---- logging: the first failure, each change of its code, and the recovery ----

void EndpointWatch::record_failure(const char* code) {
  ++consecutive_failures_;
  if (last_failure_code_ == code) return;
  last_failure_code_ = code;
  log::line("discovery-ended", {{"code", code}, {"answers", response_count_}});
}

void EndpointWatch::record_response() {
  ++response_count_;
  if (consecutive_failures_ > 0)
    log::line("discovery-answers", {{"from", address_}, {"failures", consecutive_failures_}});
  consecutive_failures_ = 0;
  last_failure_code_.clear();
}

} // namespace fernward::endpoints
