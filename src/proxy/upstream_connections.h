// The interface of RequestDispatcher to the server connections.
#pragma once

#include "fernward/balancer.h"
#include "loop/slot_map.h"
#include "proxy/client_request.h"

namespace fernward::proxy {

using loop::Handle;

// Sends attempts, and reports their progress to AttemptCallbacks. None of these functions calls
// AttemptCallbacks before it returns.
class UpstreamConnections {
 public:
  enum class StartResult {
    Started,
    NoEndpoint, // not in the endpoint list, or the connection was refused
    LocalLimit, // no descriptor or local port left; not attributed to the server
  };
  // Time spent waiting for the client instead of the server: the client did not read the response, or was
  // still sending the request.
  struct ClientPause {
    double duration_ms = 0;
    bool ongoing = false;
  };

  virtual ~UpstreamConnections() = default;

  // AttemptCallbacks is called for `attempt` only if this returns Started. `deadline`: loop::now_ms() clock.
  virtual StartResult start(Handle attempt, fernward::ServerId server, const ClientRequestPtr& request,
                            double deadline_ms) = 0;
  // Ends a started attempt: AttemptCallbacks is no longer called for it.
  virtual ClientPause cancel(Handle attempt) = 0;
  // Resumes reading the response, after AttemptCallbacks::writable_bytes() was 0.
  virtual void resume_reading(Handle attempt) = 0;
};

} // namespace fernward::proxy
