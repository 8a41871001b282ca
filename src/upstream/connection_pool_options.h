// Settings of the upstream connections, as the router fills them in.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "body_buffers/response_buffering.h"

namespace fernward::upstream {

struct ConnectionPoolOptions {
  double connect_timeout_ms = 250;
  // An idle connection is closed after this, or sooner where its endpoint is seen to close earlier.
  double idle_ms = 10000;
  // Endpoints of this kind hold too few connections for all routers: one that is idle beside another one is
  // kept for as long again as its last request took. -1: none.
  std::int64_t scarce_kind = -1;
  std::vector<std::string> report_fields; // of the load report, in the order of the settings
  body_buffers::ResponseBufferingLimits answers;
  double silent_ms = 5000; // without a byte of the response, or with none of the request's body taken
  int receive_bytes = 0;   // receive buffer of the kernel for each connection; 0: the system's default
};

} // namespace fernward::upstream
