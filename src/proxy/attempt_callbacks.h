// What UpstreamConnections asks and tells RequestDispatcher about an attempt.
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

// How an attempt ended. After start_response(), any result but Ok means that the response broke off.
struct AttemptCompletion {
  fernward::AttemptResult result = fernward::AttemptResult::Reset;
  BufferedBytes body; // of a response that is complete and was not started
  std::string content_type;
  std::vector<float> load_report;
  double paused_ms = 0; // time in which the client was awaited, see UpstreamConnections::ClientPause
  // The connection had been idle before. A reset says less about the server then: it may have closed the
  // connection before the request arrived.
  bool on_reused_connection = false;
  double idle_ms = 0;               // how long it had been idle
  bool first_on_connection = false; // the first request on its connection
};

// Called from the event loop for attempts that UpstreamConnections::start() has started, until
// on_attempt_complete() or UpstreamConnections::cancel().
class AttemptCallbacks {
 public:
  virtual ~AttemptCallbacks() = default;

  virtual void on_attempt_complete(Handle attempt, AttemptCompletion completion) = 0;

  // A response is buffered until it is complete, but no longer than until this time (loop::now_ms() clock),
  // see body_buffers/response_buffering.h.
  virtual double buffer_until(Handle attempt) = 0;

  // May the first byte of the request be written now? Its connection may have come up long after the attempt
  // was decided on. See body_buffers::may_send().
  virtual bool may_write_request(Handle attempt) = 0;

  // A streamed response, as of DownstreamConnections, for the client of the attempt. start_response() false:
  // the response is not wanted any more.
  virtual bool start_response(Handle attempt, ResponseHead head) = 0;
  virtual std::size_t writable_bytes(Handle attempt) = 0;
  virtual void write(Handle attempt, std::string_view bytes, loop::IoBuffer& block) = 0;
  virtual bool splice_from(Handle attempt, int socket, std::size_t most, loop::IoBuffer& block,
                           loop::Received& received, std::size_t& bytes) = 0;
};

} // namespace fernward::proxy
