// One connection to an upstream endpoint and the request on it.
#pragma once

#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "descriptors/descriptor_budget.h"
#include "http/parser.h"
#include "loop/net.h"
#include "loop/slot_map.h"
#include "loop/timer_queue.h"
#include "proxy/attempt_callbacks.h"
#include "proxy/client_request.h"
#include "upstream/close_reason.h"

namespace fernward::upstream {

class ConnectionPool;
class ResponseReceiver;

/// The endpoint as it was when the connection was opened.
struct EndpointIdentity {
  fernward::ServerId id = 0;
  std::string name; // for the log
  std::string address;
  double started_at = 0; // of its process
};

/// The progress of sending the request.
struct UploadProgress {
  // Uploading: a streamed body is not yet written completely. Flushing: the last byte is in the output
  // buffer. Sent: the last byte has left this process; also the initial stage.
  enum class Stage { Uploading, Flushing, Sent };
  Stage stage = Stage::Sent;
  std::unique_ptr<proxy::RequestBody::Reader> reader; // of a streamed body; else null
  double head_written_at_ms = 0;
  std::uint64_t sent_bytes = 0; // of a streamed body, at the last check
  double last_sent_at_ms = 0;
};

/// The connection's time without a request, and how long it was idle before its current request.
struct IdleUse {
  double became_idle_at_ms = 0; // when it became idle
  double reusable_at_ms = 0;    // end of the reuse delay, see ConnectionPoolOptions::reuse_delay_ms
  double close_at_ms = 0;       // end of the idle timeout
  CloseReason close_reason = CloseReason::IdleTimeout; // at the end of the idle timeout
  double before_request_ms = -1;                       // below 0: the current request is its first
  bool beyond_safe_lifetime = false; // reused after being idle for longer than is estimated to be safe
};

struct DownloadProgress {
  proxy::BufferedBytes buffered;
  proxy::AttemptCompletion completion; // decoded from the head
  double buffer_until_ms = 0;
  // Bypasses libevent's input buffer during a long stretch of the body; else null.
  loop::EventPtr direct_read;
  double paused_at_ms = 0;
  double client_deadline_ms = 0; // when the client stops waiting; from the start of streaming on
  double last_bytes_at_ms = 0;   // or when reading could resume
};

/// A connection carries one request at a time. States and transitions:
///
///   Connecting       --connected, a request is assigned-->  AwaitingResponse
///   Connecting       --connected, none is assigned-->       Idle
///   Idle             --request assigned-->                  AwaitingResponse
///   Idle             --assigned within the reuse delay-->   AwaitingReuse
///   AwaitingReuse    --reuse delay over-->                  AwaitingResponse
///   AwaitingReuse    --request cancelled-->                 Idle
///   AwaitingResponse --head of a 200-->                     Buffering
///   AwaitingResponse --any other head-->                    Discarding
///   Buffering        --client accepts the response-->       Streaming
///   Buffering        --response is not needed-->            Discarding
///   Streaming        --client output is full-->             Paused
///   Paused           --client output has drained-->         Streaming
///   Buffering, Streaming, Discarding --response complete--> Idle
///
/// The connection can be closed in any state, which destroys the object. The upload of the request has its
/// own state (UploadProgress), as a response may start before the request is sent completely.
class UpstreamConnection {
 public:
  enum class State {
    Connecting,
    Idle,
    AwaitingReuse, // a request is assigned, and none of it is written
    AwaitingResponse,
    Buffering,
    Streaming,
    Paused,
    Discarding
  };

  explicit UpstreamConnection(std::uint64_t max_body_bytes)
      : parser(http::MessageKind::Response, max_body_bytes) {}

  bool is(State state) const { return state_ == state; }

  // The transitions.
  void await_reuse() { state_ = State::AwaitingReuse; }
  void reuse_cancelled() { state_ = State::Idle; }
  void start_request() { state_ = State::AwaitingResponse; }
  void head_received(bool needed) { state_ = needed ? State::Buffering : State::Discarding; }
  void buffering_ended(bool needed) { state_ = needed ? State::Streaming : State::Discarding; }
  void pause(double now_ms);
  void resume(double now_ms); // adds the pause duration to paused_ms
  void become_idle(double now_ms);

  /// Whether the request's last byte is still in this process, so that the endpoint cannot have run it.
  bool request_unsent() const;

  // The order of declaration matters for destruction: the descriptor is released after the socket is closed,
  // the body's reader is destroyed before the request, and the direct read before the socket.
  ConnectionPool* pool = nullptr;
  ResponseReceiver* receiver = nullptr;
  loop::Handle handle = 0;
  descriptors::DescriptorBudget::Lease descriptor;
  std::list<loop::Handle> age_node; // holds the entry of FreeConnections while not free
  std::list<loop::Handle>::iterator age_entry;
  EndpointIdentity endpoint;
  loop::BuffereventPtr socket;
  http::Parser parser;
  loop::Handle attempt = 0; // 0: none
  proxy::ClientRequestPtr request;
  UploadProgress upload;
  IdleUse idle;
  DownloadProgress response;
  std::string last_body;  // of the last response, if its duplicate can be recognized by it; else empty
  double deadline_ms = 0; // of the attempt
  double opened_at_ms = 0;
  double connect_ms = 0; // how long it took to establish
  double assigned_at_ms = 0;
  double paused_ms = 0; // of the attempt: waiting for the client to read or to send
  bool first_request = true;
  unsigned requests_served = 0;
  // Connect timeout, silence timeout of the upload or of the response, idle timeout, or reuse delay.
  loop::TimerQueue::TimerId timer = 0;

 private:
  State state_ = State::Connecting;
};

/// Callbacks from the writer and the receiver to the pool. After each call except response_started() and
/// body_unneeded() the connection may have been destroyed.
class ConnectionOwner {
 public:
  virtual ~ConnectionOwner() = default;
  /// The endpoint is alive: it has sent a response's head, or other bytes instead of one.
  virtual void response_started(const UpstreamConnection& connection) = 0;
  /// The attempt has ended with the head of its response; the connection discards the rest of the body.
  virtual void body_unneeded(UpstreamConnection& connection) = 0;
  /// `reason`: why the connection cannot be reused; empty if it may be reused.
  virtual void response_complete(UpstreamConnection& connection, std::optional<CloseReason> reason) = 0;
  /// The connection broke, or the peer ended its stream.
  virtual void disconnected(UpstreamConnection& connection, bool end_of_input) = 0;
  /// Ends the attempt with `result`, if there is one, and closes the connection.
  virtual void fail(UpstreamConnection& connection, fernward::AttemptResult result, CloseReason reason) = 0;
};

} // namespace fernward::upstream
