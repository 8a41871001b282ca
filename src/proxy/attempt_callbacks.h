// Callbacks from UpstreamConnections to RequestDispatcher about an attempt.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "fernward/balancer.h"
#include "loop/buffer.h"
#include "loop/slot_map.h"
#include "proxy/client_response.h"

namespace fernward::proxy {

using loop::Handle;

// How an attempt ended. After start_response(), any result but Ok means that the response was truncated.
struct AttemptCompletion {
  fernward::AttemptResult result = fernward::AttemptResult::Reset;
  BufferedBytes body; // of a complete response that was not streamed
  std::string content_type;
  std::vector<float> load_report;
  double paused_ms = 0; // time spent waiting for the client, see UpstreamConnections::ClientPause
  // The connection was idle before the request. A reset is weaker evidence against the server then: it may
  // have closed the connection before the request arrived.
  bool on_reused_connection = false;
  double idle_ms = 0;               // how long the connection was idle
  bool first_on_connection = false; // the first request on its connection
};

// Called from the event loop for attempts that UpstreamConnections::start() has started, until
// on_attempt_complete() or UpstreamConnections::cancel().
class AttemptCallbacks {
 public:
  virtual ~AttemptCallbacks() = default;

  virtual void on_attempt_complete(Handle attempt, AttemptCompletion completion) = 0;

  // The head of a successful response was received, and its body is incomplete.
  virtual void on_response_head(Handle attempt) = 0;

  // When the client stops waiting (loop::now_ms() clock), if the attempt's request is active.
  virtual double client_deadline(Handle attempt) = 0;

  // The time (loop::now_ms() clock) until which an incomplete response may be buffered, see
  // body_buffers/response_buffering.h.
  virtual double buffer_until(Handle attempt) = 0;

  // Whether the first byte of the request may be written now. The connection may have been established long
  // after the Balancer chose this attempt. See body_buffers::may_send().
  virtual bool may_write_request(Handle attempt) = 0;

  // Streaming of a response to the attempt's client, as in DownstreamConnections. start_response() returns
  // false if the response is no longer needed.
  virtual bool start_response(Handle attempt, ResponseHead head) = 0;
  virtual std::size_t writable_bytes(Handle attempt) = 0;
  virtual void write(Handle attempt, std::string_view bytes) = 0;
  virtual bool splice_from(Handle attempt, int socket, std::size_t max_bytes, loop::IoBuffer& io_buffer,
                           loop::ReceiveResult& received, std::size_t& bytes) = 0;
};

} // namespace fernward::proxy
