#include "upstream/connection_pool.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "idle_connections/reuse_delay.h"
#include "log/log.h"

namespace fernward::upstream {

using fernward::AttemptResult;
using fernward::ServerId;
using fernward::ServerState;
using loop::Handle;
using loop::now_ms;
using State = UpstreamConnection::State;

namespace {

constexpr int kSocketRetries = 2; // each after another connection was closed
constexpr std::size_t kMaxComparableBytes =
    16 * 1024;                          // of a response that is kept to recognize its duplicate
constexpr double kMaxLoopDelayMs = 150; // between the arrival of bytes and their processing

} // namespace

ConnectionPool::ConnectionPool(event_base* base, loop::TimerQueue& timers,
                               descriptors::DescriptorBudget& descriptors,
                               body_buffers::BufferBudget& buffer_budget, figures::RouterStats& stats,
                               const ConnectionPoolOptions& options, proxy::AttemptCallbacks& attempts,
                               EvictClientConnection evict_client_connection)
    : base_(base),
      timers_(timers),
      descriptors_(descriptors),
      options_(options),
      attempts_(attempts),
      evict_client_connection_(std::move(evict_client_connection)),
      connections_(descriptors.total()),
      free_(connections_),
      idle_lifetimes_(options.idle_timeout_ms),
      writer_(timers, connections_, stats, io_buffer_, *this, options.silence_timeout_ms),
      receiver_({base, timers, connections_, buffer_budget, io_buffer_, attempts, *this, writer_, options_}) {
}

// ---- endpoints ----

bool ConnectionPool::in_service(ServerId endpoint) const {
  const auto found = endpoints_.find(endpoint);
  return found != endpoints_.end() && found->second.server.state == ServerState::Ready;
}

bool ConnectionPool::is_scarce(ServerId endpoint) const {
  return static_cast<std::int64_t>(endpoints_.at(endpoint).server.kind) == options_.scarce_kind;
}

bool ConnectionPool::matches_endpoint_address(const UpstreamConnection& connection) const {
  const EndpointIdentity& identity = connection.endpoint;
  return in_service(identity.id) && endpoints_.at(identity.id).address == identity.address;
}

void ConnectionPool::update_endpoints(const std::map<ServerId, endpoints::Endpoint>& endpoints) {
  std::vector<ServerId> removed;
  for (const auto& [id, endpoint] : endpoints_) {
    if (!endpoints.contains(id)) removed.push_back(id);
  }
  for (const ServerId id : removed) update_endpoint(id, nullptr);
  for (const auto& [id, endpoint] : endpoints) update_endpoint(id, &endpoint);
}

void ConnectionPool::update_endpoint(ServerId id, const endpoints::Endpoint* endpoint) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) {
    if (endpoint != nullptr) endpoints_.emplace(id, *endpoint);
    return;
  }
  if (endpoint == nullptr) {
    endpoints_.erase(found);
    close_free(id, CloseReason::NotInService);
    idle_lifetimes_.forget(id);
    duplicate_recognition_.forget(id);
    return;
  }
  const endpoints::Endpoint previous = std::exchange(found->second, *endpoint);
  if (endpoint->server.state != ServerState::Ready) {
    close_free(id, CloseReason::NotInService);
  } else if (endpoint->address != previous.address ||
             endpoint->server.started_at != previous.server.started_at) {
    close_free(id, CloseReason::Restarted); // they lead to the previous process
    idle_lifetimes_.forget(id);
  }
}

const endpoints::Endpoint* ConnectionPool::endpoint(ServerId id) const {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

// ---- an attempt ----

proxy::UpstreamConnections::StartResult ConnectionPool::start(Handle attempt, ServerId endpoint,
                                                              const proxy::ClientRequestPtr& request,
                                                              double deadline_ms) {
  if (!in_service(endpoint)) return StartResult::NoEndpoint;
  UpstreamConnection* connection = find_reusable(endpoint);
  if (connection == nullptr) {
    StartResult refusal = StartResult::NoEndpoint;
    connection = open_connection(endpoints_.at(endpoint), refusal);
    if (connection == nullptr) return refusal;
  }
  assign(*connection, attempt, request, deadline_ms);
  return StartResult::Started;
}

void ConnectionPool::assign(UpstreamConnection& connection, Handle attempt,
                            const proxy::ClientRequestPtr& request, double deadline_ms) {
  connection.attempt = attempt;
  connection.request = request;
  connection.deadline_ms = deadline_ms;
  connection.paused_ms = 0;
  connection.assigned_at_ms = now_ms();
  connection.first_request = connection.requests_served == 0;
  connection_by_attempt_[attempt] = connection.handle;
  if (connection.is(State::Connecting)) return;
  if (now_ms() < connection.idle.reusable_at_ms) return await_reuse(connection);
  write_request(connection);
}

void ConnectionPool::write_request(UpstreamConnection& connection) {
  connection.start_request();
  writer_.write(connection, endpoints_.at(connection.endpoint.id).address);
}

// The request is written when the reuse delay is over, unless it is cancelled before.
void ConnectionPool::await_reuse(UpstreamConnection& connection) {
  connection.await_reuse();
  timers_.cancel(connection.timer);
  connection.timer = timers_.run_at(connection.idle.reusable_at_ms, [this, handle = connection.handle] {
    UpstreamConnection* const reusable = connections_.find(handle);
    if (reusable == nullptr) return;
    reusable->timer = 0;
    on_reuse_delay_over(*reusable);
  });
}

// Closes a connection on which nothing of its request was written, and starts the attempt on another one.
void ConnectionPool::reassign(UpstreamConnection& connection, CloseReason reason) {
  const Handle attempt = std::exchange(connection.attempt, 0);
  const proxy::ClientRequestPtr request = std::move(connection.request);
  const ServerId endpoint = connection.endpoint.id;
  const double deadline_ms = connection.deadline_ms;
  connection_by_attempt_.erase(attempt);
  close(connection, reason);
  const StartResult result = start(attempt, endpoint, request, deadline_ms);
  if (result == StartResult::Started) return;
  proxy::AttemptCompletion completion;
  completion.result =
      result == StartResult::NoEndpoint ? AttemptResult::ConnectFailed : AttemptResult::Abandoned;
  attempts_.on_attempt_complete(attempt, std::move(completion));
}

UpstreamConnection* ConnectionPool::find_assigned(Handle attempt) {
  const auto found = connection_by_attempt_.find(attempt);
  return found == connection_by_attempt_.end() ? nullptr : connections_.find(found->second);
}

proxy::UpstreamConnections::ClientPause ConnectionPool::cancel(Handle attempt) {
  UpstreamConnection* const connection = find_assigned(attempt);
  connection_by_attempt_.erase(attempt);
  if (connection == nullptr) return {};
  connection->attempt = 0;
  const UploadProgress& upload = connection->upload;
  const bool paused = connection->is(State::Paused);
  const bool ongoing = paused || upload.stage == UploadProgress::Stage::Uploading;
  const double paused_since_ms = paused ? connection->response.paused_at_ms : upload.head_written_at_ms;
  const ClientPause pause{connection->paused_ms + (ongoing ? now_ms() - paused_since_ms : 0), ongoing};
  if (connection->is(State::Connecting)) { // nothing was sent: the next attempt may use it
    connection->request.reset();
    free_.add(*connection);
  } else if (connection->is(State::AwaitingReuse)) { // the same
    connection->request.reset();
    return_unused(*connection);
  } else if (paused) { // not reusable: a response is outstanding
    close(*connection, CloseReason::ClientSlow);
  } else {
    close(*connection, connection->parser.has_started() ? CloseReason::CancelledDuringResponse
                                                        : CloseReason::CancelledBeforeResponse);
  }
  return pause;
}

void ConnectionPool::resume_reading(Handle attempt) {
  UpstreamConnection* const connection = find_assigned(attempt);
  if (connection != nullptr && connection->is(State::Paused)) receiver_.resume(*connection);
}

void ConnectionPool::complete_attempt(UpstreamConnection& connection, proxy::AttemptCompletion completion) {
  const double idle_ms = connection.idle.before_request_ms;
  completion.paused_ms = connection.paused_ms;
  completion.on_reused_connection = idle_ms >= 0;
  completion.idle_ms = std::max(0.0, idle_ms);
  completion.first_on_connection = connection.first_request;
  attempts_.on_attempt_complete(std::exchange(connection.attempt, 0), std::move(completion));
}

// ---- reuse ----

UpstreamConnection* ConnectionPool::find_reusable(ServerId endpoint) {
  const double now = now_ms();
  close_expired_idle(endpoint, now);
  if (UpstreamConnection* const idle = take_idle(endpoint, now)) return idle;
  if (UpstreamConnection* const connecting = take_connecting(endpoint)) return connecting;
  return take_within_reuse_delay(endpoint, now);
}

// Takes the newest connection that may be reused now and is not stale, so that the oldest ones reach their
// idle timeout.
UpstreamConnection* ConnectionPool::take_idle(ServerId endpoint, double now) {
  const std::vector<Handle>& free_handles = free_.of(endpoint);
  for (std::size_t i = free_handles.size(); i-- > 0;) {
    UpstreamConnection* const connection = connections_.find(free_handles[i]);
    if (connection == nullptr || !connection->is(State::Idle)) continue;
    if (now < connection->idle.reusable_at_ms) continue;
    if (loop::peek(bufferevent_getfd(connection->socket.get())) != loop::Peek::NoData) {
      close(*connection, CloseReason::Stale); // removes it from `free_handles`
      i = std::min(i, free_handles.size());
      continue;
    }
    // The connections before it have been idle for longer.
    if (!is_within_idle_lifetime(*connection, now)) return nullptr;
    free_.remove(*connection);
    timers_.cancel(connection->timer);
    return connection;
  }
  return nullptr;
}

// Whether a request may be written to the connection after its idle time, which is recorded.
bool ConnectionPool::is_within_idle_lifetime(UpstreamConnection& connection, double now) {
  using Reuse = idle_connections::IdleLifetimeEstimator::Reuse;
  IdleUse& idle = connection.idle;
  const double idle_ms = now - idle.became_idle_at_ms;
  const Reuse reuse = idle_lifetimes_.decide_reuse(now, connection.endpoint.id, idle_ms);
  if (reuse == Reuse::Refused) return false;
  idle.before_request_ms = idle_ms;
  idle.beyond_safe_lifetime = reuse == Reuse::Trial;
  return true;
}

// Takes the connection whose reuse delay ends first. Null: there is none, or opening another one is better.
UpstreamConnection* ConnectionPool::take_within_reuse_delay(ServerId endpoint, double now) {
  for (const Handle handle : free_.of(endpoint)) {
    UpstreamConnection* const connection = connections_.find(handle);
    if (connection == nullptr || !connection->is(State::Idle)) continue;
    if (now >= connection->idle.reusable_at_ms) continue; // refused by take_idle()
    idle_connections::ReuseDelayState delay;
    delay.remaining_ms = connection->idle.reusable_at_ms - now;
    delay.connect_ms = connection->connect_ms;
    delay.scarce = is_scarce(endpoint);
    delay.descriptors_short = descriptors_.required_eviction(now, descriptors::Side::Upstream) !=
                              descriptors::DescriptorBudget::Eviction::None;
    if (!idle_connections::should_await_reuse(delay)) return nullptr;
    free_.remove(*connection);
    return connection;
  }
  return nullptr;
}

// Takes the newest connection that is still connecting; its connect timeout stays in force.
UpstreamConnection* ConnectionPool::take_connecting(ServerId endpoint) {
  const std::vector<Handle>& free_handles = free_.of(endpoint);
  for (std::size_t i = free_handles.size(); i-- > 0;) {
    UpstreamConnection* const connection = connections_.find(free_handles[i]);
    if (connection == nullptr || !connection->is(State::Connecting)) continue;
    free_.remove(*connection);
    return connection;
  }
  return nullptr;
}

// The idle connections among the free ones are in the order in which they became idle.
void ConnectionPool::close_expired_idle(ServerId endpoint, double now) {
  const std::vector<Handle>& free_handles = free_.of(endpoint);
  if (free_handles.empty()) return;
  const double lifetime_ms = idle_lifetimes_.max_keep_ms(now, endpoint);
  std::vector<Handle> expired;
  for (const Handle handle : free_handles) {
    const UpstreamConnection* const connection = connections_.find(handle);
    if (connection == nullptr || !connection->is(State::Idle)) continue;
    if (now - connection->idle.became_idle_at_ms < lifetime_ms) break;
    expired.push_back(handle);
  }
  for (const Handle handle : expired) close(*connections_.find(handle), CloseReason::IdleLifetimeExceeded);
}

// Updates the estimate of the endpoint's idle timeout from a request on the connection.
void ConnectionPool::record_idle_use(const UpstreamConnection& connection, bool reset) {
  const ServerId endpoint = connection.endpoint.id;
  if (endpoints_.count(endpoint) == 0) return; // no state is kept for removed endpoints
  const IdleUse& idle = connection.idle;
  if (idle.before_request_ms < 0) return idle_lifetimes_.on_first_use(now_ms(), endpoint, reset);
  resets_after_idle_ += reset;
  idle_lifetimes_.on_reuse(now_ms(), endpoint, idle.before_request_ms, idle.beyond_safe_lifetime, reset);
}

// ---- opening ----

// Returns null and sets `refusal` on failure.
UpstreamConnection* ConnectionPool::open_connection(const endpoints::Endpoint& endpoint,
                                                    StartResult& refusal) {
  descriptors::DescriptorBudget::Lease descriptor = reserve_descriptor();
  const int fd = descriptor ? open_socket() : -1;
  if (fd < 0) {
    refusal = StartResult::LocalLimit; // not attributed to the endpoint
    return nullptr;
  }
  UpstreamConnection& connection = add_connection(endpoint, std::move(descriptor), fd);
  return connect(connection, endpoint, refusal) ? &connection : nullptr;
}

// Reserves an unused descriptor, one that the client connections hold beyond their share, or that of a free
// connection.
descriptors::DescriptorBudget::Lease ConnectionPool::reserve_descriptor() {
  using Eviction = descriptors::DescriptorBudget::Eviction;
  const double now = now_ms();
  for (;;) { // each iteration closes one connection
    const Eviction eviction = descriptors_.required_eviction(now, descriptors::Side::Upstream);
    if (eviction == Eviction::None) return descriptors_.acquire(now, descriptors::Side::Upstream);
    if (eviction == Eviction::OtherSide && evict_client_connection_()) continue;
    if (!evict_oldest_free(CloseReason::DescriptorsExhausted)) return {};
  }
}

// Returns -1 if the system grants no descriptor, even after connections were closed.
int ConnectionPool::open_socket() {
  for (int retries = 0;; ++retries) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd >= 0 || retries == kSocketRetries) return fd;
    const double now = now_ms();
    if (descriptors_.on_descriptor_refused(now)) {
      log::line("descriptors-refused", {{"in_use", descriptors_.usable(now)}, {"of", descriptors_.total()}});
    }
    if (!evict_oldest_free(CloseReason::DescriptorsExhausted) && !evict_client_connection_()) return -1;
  }
}

// The connection takes ownership of `fd`.
UpstreamConnection& ConnectionPool::add_connection(const endpoints::Endpoint& endpoint,
                                                   descriptors::DescriptorBudget::Lease descriptor, int fd) {
  const Handle handle = connections_.add(options_.response_limits.max_body_bytes);
  UpstreamConnection& connection = *connections_.find(handle);
  connection.pool = this;
  connection.receiver = &receiver_;
  connection.handle = handle;
  connection.descriptor = std::move(descriptor);
  connection.endpoint = {endpoint.server.id, endpoint.name, endpoint.address, endpoint.server.started_at};
  free_.track(connection);
  connection.opened_at_ms = now_ms();
  connection.socket = loop::make_bufferevent(base_, fd);
  loop::set_nodelay(fd);
  if (options_.receive_buffer_bytes > 0) loop::limit_receive_buffer(fd, options_.receive_buffer_bytes);
  bufferevent_setcb(connection.socket.get(), &ConnectionPool::on_readable, &ConnectionPool::on_writable,
                    &ConnectionPool::on_event, &connection);
  return connection;
}

// On failure returns false, sets `refusal`, and destroys the connection.
bool ConnectionPool::connect(UpstreamConnection& connection, const endpoints::Endpoint& endpoint,
                             StartResult& refusal) {
  const auto* const address = reinterpret_cast<const sockaddr*>(&endpoint.socket_address);
  if (bufferevent_socket_connect(connection.socket.get(), address, sizeof endpoint.socket_address) != 0) {
    // No local port or memory: not attributed to the endpoint.
    const bool local_limit = errno == EADDRNOTAVAIL || errno == ENOBUFS || errno == ENOMEM || errno == EAGAIN;
    if (local_limit) refusal = StartResult::LocalLimit;
    close(connection, local_limit ? CloseReason::NoLocalResources : CloseReason::ConnectFailed);
    return false;
  }
  ++opened_count_;
  const double due_ms = connection.opened_at_ms + options_.connect_timeout_ms;
  connection.timer = timers_.run_at(due_ms, [this, handle = connection.handle] {
    UpstreamConnection* const timed_out = connections_.find(handle);
    if (timed_out == nullptr) return;
    timed_out->timer = 0;
    fail(*timed_out, AttemptResult::ConnectFailed, CloseReason::ConnectTimeout);
  });
  return true;
}

// ---- socket callbacks ----

void ConnectionPool::on_readable(bufferevent*, void* connection) {
  auto* const readable = static_cast<UpstreamConnection*>(connection);
  readable->pool->read(*readable);
}

void ConnectionPool::on_writable(bufferevent*, void* connection) {
  auto* const writable = static_cast<UpstreamConnection*>(connection);
  writable->pool->writer_.on_writable(*writable);
}

void ConnectionPool::on_event(bufferevent*, short events, void* connection) {
  auto* const changed = static_cast<UpstreamConnection*>(connection);
  ConnectionPool& pool = *changed->pool;
  if ((events & BEV_EVENT_CONNECTED) != 0) return pool.on_connected(*changed);
  pool.disconnected(*changed, (events & BEV_EVENT_EOF) != 0);
}

void ConnectionPool::read(UpstreamConnection& connection) {
  const bool awaits_reuse = connection.is(State::AwaitingReuse);
  if (!connection.is(State::Idle) && !awaits_reuse) return receiver_.on_readable(connection);
  const bool empty = loop::pending_input(connection.socket.get()).empty();
  const CloseReason reason = empty ? CloseReason::PeerClosed : CloseReason::UnsolicitedBytes;
  awaits_reuse ? reassign(connection, reason) : close(connection, reason);
}

// Nothing of the request is written yet. True: it no longer may be, and the attempt has been cancelled.
bool ConnectionPool::abandon_unless_writable(const UpstreamConnection& connection) {
  const Handle attempt = connection.attempt;
  if (attempt == 0 || attempts_.may_write_request(attempt)) return false;
  cancel(attempt);
  proxy::AttemptCompletion completion;
  completion.result = AttemptResult::Abandoned;
  attempts_.on_attempt_complete(attempt, std::move(completion));
  return true;
}

void ConnectionPool::on_reuse_delay_over(UpstreamConnection& connection) {
  if (abandon_unless_writable(connection)) return;
  // The endpoint may have been drained, restarted or moved meanwhile.
  if (const std::optional<CloseReason> reason = reason_not_to_pool(connection))
    return reassign(connection, *reason);
  if (loop::peek(bufferevent_getfd(connection.socket.get())) != loop::Peek::NoData)
    return reassign(connection, CloseReason::Stale);
  if (!is_within_idle_lifetime(connection, now_ms()))
    return reassign(connection, CloseReason::IdleLifetimeExceeded);
  write_request(connection);
}

void ConnectionPool::on_connected(UpstreamConnection& connection) {
  connection.connect_ms = now_ms() - connection.opened_at_ms;
  abandon_unless_writable(connection); // the connection is kept
  timers_.cancel(connection.timer);
  bufferevent_enable(connection.socket.get(), EV_READ | EV_WRITE);
  // The endpoint may have been removed or have changed its address meanwhile: no new request is sent there.
  if (!matches_endpoint_address(connection)) {
    return fail(connection, AttemptResult::ConnectFailed, CloseReason::NotInService);
  }
  if (connection.attempt != 0) return write_request(connection);
  free_.remove(connection);
  return_to_pool(connection);
}

void ConnectionPool::disconnected(UpstreamConnection& connection, bool end_of_input) {
  if (connection.is(State::Connecting)) {
    return fail(connection, AttemptResult::ConnectFailed, CloseReason::ConnectFailed);
  }
  if (connection.is(State::Idle)) return close(connection, CloseReason::PeerClosed); // no request is affected
  if (connection.is(State::AwaitingReuse)) return reassign(connection, CloseReason::PeerClosed);
  // Bytes received before the end are still unread; the end is detected again after them.
  if (end_of_input && connection.is(State::Paused)) return;
  if (end_of_input && connection.parser.end_of_input()) {
    return response_complete(connection, CloseReason::PeerRequestedClose);
  }
  // A connection on which a response has started was alive after its idle time.
  if (!connection.parser.has_started()) record_idle_use(connection, true);
  // As its last byte has not been sent, the request cannot have run.
  if (connection.request_unsent()) {
    return fail(connection, AttemptResult::ConnectFailed, CloseReason::BrokenBeforeSent);
  }
  fail(connection, AttemptResult::Reset, end_of_input ? CloseReason::Truncated : CloseReason::Reset);
}

// ---- the end of a response and of a connection ----

void ConnectionPool::response_started(const UpstreamConnection& connection) {
  record_idle_use(connection, false);
}

void ConnectionPool::body_unneeded(UpstreamConnection& connection) {
  connection_by_attempt_.erase(connection.attempt);
  complete_attempt(connection, std::move(connection.response.completion));
  connection.upload.reader.reset();
  connection.request.reset();
}

void ConnectionPool::response_complete(UpstreamConnection& connection, std::optional<CloseReason> reason) {
  // The request was written, so it may have run.
  if (is_duplicate_response(connection)) {
    duplicate_recognition_.on_equal_responses(now_ms(), connection.endpoint.id);
    return fail(connection, AttemptResult::Error, CloseReason::DuplicateResponse);
  }
  std::string body = comparable_body(connection);
  const http::Message head = connection.parser.take_message();
  if (!reason && !head.keep_alive) reason = CloseReason::PeerRequestedClose;
  if (!reason && connection.request_unsent()) reason = CloseReason::EarlyResponse;
  connection.upload.reader.reset();
  timers_.cancel(connection.timer);
  ++connection.requests_served;
  connection_by_attempt_.erase(connection.attempt);
  proxy::AttemptCompletion completion = std::move(connection.response.completion);
  if (connection.is(State::Buffering)) completion.body = std::move(connection.response.buffered);
  if (connection.attempt != 0) complete_attempt(connection, std::move(completion));
  connection.request.reset();
  if (!reason) reason = reason_not_to_pool(connection);
  if (reason) return close(connection, *reason);
  receiver_.set_direct_read(connection, false);
  // A duplicate of the response before may follow too, and would not be recognized any more.
  const double earlier_delay_until_ms = connection.idle.became_idle_at_ms + options_.reuse_delay_ms;
  const double delay_until_ms = now_ms() + (body.empty() ? options_.reuse_delay_ms : 0);
  connection.idle.reusable_at_ms =
      connection.last_body.empty() ? delay_until_ms : std::max(delay_until_ms, earlier_delay_until_ms);
  connection.last_body = std::move(body);
  return_to_pool(connection);
}

// The body of a response whose duplicate can be told from the next response; else empty. Only used where
// connections are scarce, as a request whose response is a duplicate fails: values differ by their key,
// unlike the responses to writes, rejections and errors.
std::string ConnectionPool::comparable_body(const UpstreamConnection& connection) const {
  if (!connection.is(State::Buffering) || connection.request->is_write) return {};
  const ServerId endpoint = connection.endpoint.id;
  if (!in_service(endpoint) || !is_scarce(endpoint)) return {};
  if (!duplicate_recognition_.is_allowed(now_ms(), endpoint)) return {};
  const loop::Buffer& body = connection.response.buffered.buffer;
  return body.size() <= kMaxComparableBytes ? body.text() : std::string();
}

bool ConnectionPool::is_duplicate_response(const UpstreamConnection& connection) const {
  const std::string& last_body = connection.last_body;
  if (last_body.empty() || !connection.is(State::Buffering)) return false;
  if (now_ms() > connection.idle.became_idle_at_ms + options_.reuse_delay_ms + kMaxLoopDelayMs) return false;
  const loop::Buffer& body = connection.response.buffered.buffer;
  return body.size() == last_body.size() && body.text() == last_body;
}

// The process that responded may have been removed from the endpoint list, or be listed at another address.
std::optional<CloseReason> ConnectionPool::reason_not_to_pool(const UpstreamConnection& connection) const {
  const EndpointIdentity& identity = connection.endpoint;
  if (!in_service(identity.id)) return CloseReason::NotInService;
  if (!matches_endpoint_address(connection)) return CloseReason::Restarted;
  if (endpoints_.at(identity.id).server.started_at != identity.started_at) return CloseReason::Restarted;
  return std::nullopt;
}

void ConnectionPool::fail(UpstreamConnection& connection, AttemptResult result, CloseReason reason) {
  if (connection.attempt != 0) {
    connection_by_attempt_.erase(connection.attempt);
    proxy::AttemptCompletion completion;
    completion.result = result;
    complete_attempt(connection, std::move(completion));
  }
  close(connection, reason);
}

// The connection is destroyed on return.
void ConnectionPool::close(UpstreamConnection& connection, CloseReason reason) {
  log::routine_line("upstream-ended", {{"target", connection.endpoint.name},
                                       {"code", log_code(reason)},
                                       {"answers", connection.requests_served},
                                       {"ms", now_ms() - connection.opened_at_ms}});
  timers_.cancel(connection.timer);
  free_.remove(connection);
  // No state is kept for removed endpoints.
  if (!endpoints_.contains(connection.endpoint.id)) free_.forget(connection.endpoint.id);
  connections_.remove(connection.handle);
}

// ---- free connections ----

void ConnectionPool::return_to_pool(UpstreamConnection& connection) {
  const ServerId endpoint = connection.endpoint.id;
  free_.add(connection);
  const double now = now_ms();
  connection.become_idle(now);
  const double lifetime_ms = idle_lifetimes_.max_keep_ms(now, endpoint);
  IdleUse& idle = connection.idle;
  idle.close_reason =
      lifetime_ms < options_.idle_timeout_ms ? CloseReason::IdleLifetimeExceeded : CloseReason::IdleTimeout;
  idle.close_at_ms = now + lifetime_ms;
  // Other routers may need the connection slot at the endpoint, and this router has another idle connection.
  const double used_ms = now - connection.assigned_at_ms;
  const double surplus_until_ms = std::max(now, idle.reusable_at_ms) + used_ms;
  if (is_scarce(endpoint) && free_.of(endpoint).size() > 1 && surplus_until_ms < idle.close_at_ms) {
    idle.close_reason = CloseReason::Surplus;
    idle.close_at_ms = surplus_until_ms;
  }
  start_idle_timeout(connection);
}

void ConnectionPool::start_idle_timeout(UpstreamConnection& connection) {
  timers_.cancel(connection.timer);
  connection.timer = timers_.run_at(connection.idle.close_at_ms, [this, handle = connection.handle] {
    UpstreamConnection* const idle = connections_.find(handle);
    if (idle == nullptr) return;
    idle->timer = 0;
    close(*idle, idle->idle.close_reason);
  });
}

// A connection whose request was cancelled within its reuse delay takes its place among the idle ones again.
void ConnectionPool::return_unused(UpstreamConnection& connection) {
  if (const std::optional<CloseReason> reason = reason_not_to_pool(connection))
    return close(connection, *reason);
  connection.reuse_cancelled();
  free_.add_by_idle_time(connection);
  start_idle_timeout(connection);
}

bool ConnectionPool::evict_oldest_free(CloseReason reason) {
  UpstreamConnection* const oldest = free_.oldest();
  if (oldest == nullptr) return false;
  close(*oldest, reason);
  return true;
}

void ConnectionPool::close_free(ServerId endpoint, CloseReason reason) {
  const std::vector<Handle> handles = free_.of(endpoint);
  for (const Handle handle : handles) {
    if (UpstreamConnection* const connection = connections_.find(handle)) close(*connection, reason);
  }
  free_.forget(endpoint);
}

} // namespace fernward::upstream
