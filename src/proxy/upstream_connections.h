// The server side as RequestDispatcher sees it.
#pragma once

#include "fernward/balancer.h"
#include "loop/slot_map.h"
#include "proxy/client_request.h"

namespace fernward::proxy {

using loop::Handle;

// Sends attempts and reports to AttemptCallbacks. None of these functions calls AttemptCallbacks before it
// returns.
class UpstreamConnections {
 public:
  enum class StartResult {
    Started,
    NoEndpoint, // not in the endpoint list, or the connection was refused
    LocalLimit, // no descriptor or local port left: no fault of the server
  };
  // Time in which the client, not the server, was awaited: it took nothing of the response, or still sent the
  // request.
  struct ClientPause {
    double ms = 0;
    bool ongoing = false;
  };

  virtual ~UpstreamConnections() = default;

  // Only after Started is AttemptCallbacks called for `attempt`. `deadline`: loop::now_ms() clock.
  virtual StartResult start(Handle attempt, fernward::ServerId server, const ClientRequestPtr& request,
                            double deadline) = 0;
  // Ends a started attempt: AttemptCallbacks is not called for it any more.
  virtual ClientPause cancel(Handle attempt) = 0;
  // Reads the response again, after AttemptCallbacks::writable_bytes() was 0.
  virtual void resume_reading(Handle attempt) = 0;
};

} // namespace fernward::proxy
