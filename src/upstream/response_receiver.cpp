#include "upstream/response_receiver.h"

#include <algorithm>
#include <new>
#include <optional>
#include <utility>

#include "upstream/codec.h"

namespace fernward::upstream {

using fernward::AttemptResult;
using loop::now_ms;
using State = UpstreamConnection::State;

namespace {

constexpr int kMaxBlocksPerEvent = 8; // read from one connection before others are served
// With more remaining body bytes, reads bypass libevent, which reads 4 KB at a time.
constexpr std::uint64_t kDirectReadBytes = 128 * 1024;
constexpr std::size_t kMaxDiscardedBytes = 64 * 1024; // opening a connection is cheaper than reading more
// For an unused body to arrive: the connection is then reused. Opening another one takes less time.
constexpr double kRemainderTimeoutMs = 1000;

// Bytes after a response make it impossible to delimit the next response.
std::optional<CloseReason> reason_for_trailing_bytes(std::size_t bytes) {
  if (bytes > 0) return CloseReason::TrailingBytes;
  return std::nullopt;
}

} // namespace

void ResponseReceiver::on_readable(UpstreamConnection& connection) {
  if (connection.is(State::Paused)) return;
  const bool had_head = connection.parser.head_done();
  if (!had_head && !read_head(connection)) return;
  bufferevent* const socket = connection.socket.get();
  std::string_view input = loop::pending_input(socket);
  while (!input.empty() || connection.parser.done()) {
    const std::size_t allowed_bytes = std::min(input.size(), read_allowance(connection));
    if (connection.is(State::Paused)) return;
    std::string_view part = input.substr(0, allowed_bytes);
    const BodyStatus status = receive_body(connection, part);
    if (status == BodyStatus::Closed) return;
    loop::consume_input(socket, allowed_bytes);
    if (status == BodyStatus::Complete) {
      const std::size_t trailing_bytes = part.size() + input.size() - allowed_bytes;
      return context_.owner.response_complete(connection, reason_for_trailing_bytes(trailing_bytes));
    }
    input = loop::pending_input(socket);
  }
  const loop::Handle handle = connection.handle;
  read_socket(connection);
  if (had_head) return;
  if (UpstreamConnection* const incomplete = context_.connections.find(handle)) on_body_awaited(*incomplete);
}

// The head has just been received; more of the body is to come if the response is still being received.
void ResponseReceiver::on_body_awaited(UpstreamConnection& connection) {
  if (connection.is(State::Buffering)) {
    context_.attempts.on_response_head(connection.attempt);
    start_buffering_timeout(connection);
  } else if (connection.is(State::Discarding) && !connection.request_unsent()) {
    context_.owner.body_unneeded(connection); // the head tells how the attempt has ended
    start_remainder_timeout(connection);
  }
}

// False: the head is incomplete, or the connection has been destroyed.
bool ResponseReceiver::read_head(UpstreamConnection& connection) {
  bufferevent* const socket = connection.socket.get();
  loop::consume_input(socket, connection.parser.feed_head(loop::pending_input(socket)));
  if (connection.parser.error() != http::ParseError::None) {
    on_malformed_response(connection);
    return false;
  }
  return connection.parser.head_done() && on_head(connection);
}

// False: the connection has been destroyed.
bool ResponseReceiver::on_head(UpstreamConnection& connection) {
  context_.writer.count_sent(connection);
  const http::Message& head = connection.parser.message();
  // A response cannot precede the complete request: this one belongs to the previous request.
  if (head.status == 200 && connection.request_unsent()) {
    context_.owner.fail(connection, AttemptResult::ConnectFailed, CloseReason::EarlyResponse);
    return false;
  }
  context_.owner.response_started(connection);
  DownloadProgress& response = connection.response;
  response.completion = decode(head, context_.options.load_report_fields);
  response.buffered = {{}, body_buffers::BufferBudget::Reservation(context_.buffer_budget)};
  connection.head_received(response.completion.result == AttemptResult::Ok);
  response.buffer_until_ms = context_.attempts.buffer_until(connection.attempt);
  return apply_buffering_rules(connection);
}

// Reads from the socket directly, block by block.
void ResponseReceiver::read_socket(UpstreamConnection& connection) {
  for (int block = 0; block < kMaxBlocksPerEvent; ++block) {
    const std::size_t allowed_bytes = std::min(loop::IoBuffer::size(), read_allowance(connection));
    if (connection.is(State::Paused)) return;
    std::size_t bytes = 0;
    loop::ReceiveResult received = loop::ReceiveResult::WouldBlock;
    const bool streamed = stream_block(connection, allowed_bytes, received, bytes);
    if (!streamed) {
      const int socket = bufferevent_getfd(connection.socket.get());
      received = loop::receive(socket, context_.io_buffer.data(), allowed_bytes, bytes);
    }
    if (handle_read_end(connection, received)) return;
    if (received != loop::ReceiveResult::Bytes) break;
    if (streamed) {
      connection.parser.body().skip(bytes);
      connection.response.last_bytes_at_ms = now_ms();
      if (connection.parser.done()) return context_.owner.response_complete(connection, std::nullopt);
    } else {
      std::string_view part(context_.io_buffer.data(), bytes);
      const BodyStatus status = receive_body(connection, part);
      if (status == BodyStatus::Closed) return;
      if (status == BodyStatus::Complete) {
        return context_.owner.response_complete(connection, reason_for_trailing_bytes(part.size()));
      }
    }
    if (bytes < allowed_bytes) break;
  }
  set_direct_read(connection, connection.parser.body().contiguous_body_bytes() > kDirectReadBytes);
}

// Moves bytes from socket to socket. False: not possible for this response or not now; nothing was read.
bool ResponseReceiver::stream_block(UpstreamConnection& connection, std::size_t max_bytes,
                                    loop::ReceiveResult& received, std::size_t& bytes) {
  if (!connection.is(State::Streaming) || connection.parser.body().contiguous_body_bytes() < max_bytes)
    return false;
  const int socket = bufferevent_getfd(connection.socket.get());
  return context_.attempts.splice_from(connection.attempt, socket, max_bytes, context_.io_buffer, received,
                                       bytes);
}

// True: the connection is broken or at its end, and may have been destroyed.
bool ResponseReceiver::handle_read_end(UpstreamConnection& connection, loop::ReceiveResult received) {
  if (received == loop::ReceiveResult::Error) {
    context_.owner.disconnected(connection, false);
    return true;
  }
  // Without a direct read, libevent detects the end of the stream again.
  if (received == loop::ReceiveResult::EndOfStream && connection.response.direct_read != nullptr) {
    context_.owner.disconnected(connection, true);
    return true;
  }
  return false;
}

void ResponseReceiver::set_direct_read(UpstreamConnection& connection, bool direct) {
  loop::EventPtr& direct_read = connection.response.direct_read;
  if (direct == (direct_read != nullptr)) return;
  bufferevent* const socket = connection.socket.get();
  if (!direct) {
    direct_read.reset();
    bufferevent_enable(socket, EV_READ);
    return;
  }
  bufferevent_disable(socket, EV_READ);
  direct_read.reset(event_new(context_.base, bufferevent_getfd(socket), EV_READ | EV_PERSIST,
                              &ResponseReceiver::on_direct_readable, &connection));
  if (direct_read == nullptr || event_add(direct_read.get(), nullptr) != 0) throw std::bad_alloc();
}

void ResponseReceiver::on_direct_readable(int, short, void* connection) {
  auto* const readable = static_cast<UpstreamConnection*>(connection);
  readable->receiver->read_socket(*readable);
}

// Returns how many bytes may be read now. 0: the connection is paused until the client accepts more.
std::size_t ResponseReceiver::read_allowance(UpstreamConnection& connection) {
  DownloadProgress& response = connection.response;
  if (connection.is(State::Buffering)) {
    if (const std::size_t available_bytes = response.buffered.reservation.available_bytes();
        available_bytes > 0)
      return available_bytes;
    stop_buffering(connection);
  }
  if (connection.is(State::Discarding)) return loop::IoBuffer::size();
  const std::size_t available_bytes = context_.attempts.writable_bytes(connection.attempt);
  if (available_bytes == 0) {
    bufferevent_disable(connection.socket.get(), EV_READ);
    if (response.direct_read != nullptr) event_del(response.direct_read.get());
    connection.pause(now_ms());
  }
  return available_bytes;
}

// Reading resumes from the event loop, because the caller is still using the client connection.
void ResponseReceiver::resume(UpstreamConnection& connection) {
  connection.resume(now_ms());
  connection.response.last_bytes_at_ms = now_ms();
  event* const direct_read = connection.response.direct_read.get();
  if (direct_read != nullptr) {
    event_add(direct_read, nullptr);
    event_active(direct_read, EV_READ, 0);
    return;
  }
  bufferevent* const socket = connection.socket.get();
  bufferevent_enable(socket, EV_READ);
  bufferevent_trigger(socket, EV_READ, BEV_TRIG_DEFER_CALLBACKS | BEV_TRIG_IGNORE_WATERMARKS);
}

// Consumes from `bytes`, which are no more than read_allowance(), up to the end of the response.
ResponseReceiver::BodyStatus ResponseReceiver::receive_body(UpstreamConnection& connection,
                                                            std::string_view& bytes) {
  http::BodyParser& body = connection.parser.body();
  connection.response.last_bytes_at_ms = now_ms();
  while (!bytes.empty() && !body.done()) {
    const http::BodyParser::Piece piece = body.next(bytes);
    bytes.remove_prefix(piece.consumed_bytes);
    deliver(connection, piece.body);
    if (body.error() != http::ParseError::None) {
      on_malformed_response(connection);
      return BodyStatus::Closed;
    }
    if (!apply_buffering_rules(connection)) return BodyStatus::Closed;
  }
  return body.done() ? BodyStatus::Complete : BodyStatus::Incomplete;
}

void ResponseReceiver::deliver(UpstreamConnection& connection, std::string_view body) {
  proxy::BufferedBytes& buffered = connection.response.buffered;
  if (connection.is(State::Buffering) && !buffered.reservation.acquire(body.size()))
    stop_buffering(connection);
  if (connection.is(State::Buffering)) {
    buffered.buffer.append(body);
  } else if (connection.is(State::Streaming)) {
    context_.attempts.write(connection.attempt, body);
  }
}

// Stops buffering when it is time to, and fails a response that is too long. False: the connection has been
// destroyed.
bool ResponseReceiver::apply_buffering_rules(UpstreamConnection& connection) {
  const http::BodyParser& body = connection.parser.body();
  if (connection.is(State::Discarding)) {
    if (std::max(body.received_bytes(), body.length().value_or(0)) <= kMaxDiscardedBytes) return true;
    context_.owner.response_complete(connection, CloseReason::LongRemainder);
    return false;
  }
  if (!connection.is(State::Buffering)) return true;
  const body_buffers::BufferBudget::Reservation& reservation = connection.response.buffered.reservation;
  body_buffers::ResponseProgress progress;
  progress.announced_bytes = body.length();
  progress.received_bytes = body.received_bytes();
  progress.complete = body.done();
  progress.within_buffering_time = now_ms() < connection.response.buffer_until_ms;
  progress.window_bytes = reservation.window_bytes();
  progress.available_bytes = reservation.available_bytes();
  switch (body_buffers::next_response_step(context_.options.response_limits, progress)) {
    case body_buffers::ResponseStep::Buffer: break;
    case body_buffers::ResponseStep::Start:
      if (!progress.complete) stop_buffering(connection);
      break;
    case body_buffers::ResponseStep::TooLarge:
      context_.owner.fail(connection, AttemptResult::Error, CloseReason::TooLarge);
      return false;
  }
  return true;
}

void ResponseReceiver::stop_buffering(UpstreamConnection& connection) {
  DownloadProgress& response = connection.response;
  proxy::ResponseHead head;
  head.content_type = response.completion.content_type;
  head.length = connection.parser.body().length();
  head.body = std::move(response.buffered);
  response.client_deadline_ms = context_.attempts.client_deadline(connection.attempt);
  connection.buffering_ended(context_.attempts.start_response(connection.attempt, std::move(head)));
  response.last_bytes_at_ms = now_ms();
  start_silence_timeout(connection);
}

// Ends buffering in time even if no further bytes arrive. A short body is not started without them: if its
// endpoint has stopped, the request still gets a complete response.
void ResponseReceiver::start_buffering_timeout(UpstreamConnection& connection) {
  const std::optional<std::uint64_t> length = connection.parser.body().length();
  if (length && *length <= context_.options.response_limits.min_start_bytes) return;
  context_.timers.cancel(connection.timer);
  connection.timer =
      context_.timers.run_at(connection.response.buffer_until_ms, [this, handle = connection.handle] {
        UpstreamConnection* timed_out = context_.connections.find(handle);
        if (timed_out == nullptr) return;
        timed_out->timer = 0;
        if (timed_out->is(State::Buffering)) apply_buffering_rules(*timed_out);
      });
}

// The remainder of an unused body is read for the reuse of its connection only.
void ResponseReceiver::start_remainder_timeout(UpstreamConnection& connection) {
  context_.timers.cancel(connection.timer);
  connection.timer =
      context_.timers.run_at(now_ms() + kRemainderTimeoutMs, [this, handle = connection.handle] {
        UpstreamConnection* timed_out = context_.connections.find(handle);
        if (timed_out == nullptr) return;
        timed_out->timer = 0;
        context_.owner.fail(*timed_out, AttemptResult::TimedOut, CloseReason::LongRemainder);
      });
}

// A streamed response has no other deadline: its endpoint must keep sending while the client keeps reading.
void ResponseReceiver::start_silence_timeout(UpstreamConnection& connection) {
  context_.timers.cancel(connection.timer);
  connection.timer =
      context_.timers.run_at(silence_ends_at_ms(connection), [this, handle = connection.handle] {
        UpstreamConnection* timed_out = context_.connections.find(handle);
        if (timed_out == nullptr) return;
        timed_out->timer = 0;
        check_silence(*timed_out);
      });
}

double ResponseReceiver::silence_ends_at_ms(const UpstreamConnection& connection) const {
  const DownloadProgress& response = connection.response;
  return body_buffers::silence_ends_at(response.last_bytes_at_ms, context_.options.silence_timeout_ms,
                                       response.client_deadline_ms);
}

void ResponseReceiver::check_silence(UpstreamConnection& connection) {
  if (connection.is(State::Paused)) connection.response.last_bytes_at_ms = now_ms();
  if (now_ms() < silence_ends_at_ms(connection)) return start_silence_timeout(connection);
  context_.owner.fail(connection, AttemptResult::TimedOut, CloseReason::ResponseStalled);
}

// Handled like a 500: the endpoint is alive and has responded, but it is unknown what it did. The connection
// cannot be reused.
void ResponseReceiver::on_malformed_response(UpstreamConnection& connection) {
  if (!connection.parser.head_done()) context_.owner.response_started(connection);
  const bool malformed = connection.parser.error() == http::ParseError::Malformed;
  context_.owner.fail(connection, AttemptResult::Error,
                      malformed ? CloseReason::Malformed : CloseReason::TooLarge);
}

} // namespace fernward::upstream
