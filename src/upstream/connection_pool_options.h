// Settings of the upstream connections, filled in by the router.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "body_buffers/response_buffering.h"

namespace fernward::upstream {

struct ConnectionPoolOptions {
  double connect_timeout_ms = 250;
  // An idle connection is closed after this time, or sooner if its endpoint was observed to close earlier.
  double idle_timeout_ms = 10000;
  // Endpoints of this kind accept too few connections for all routers. If several connections to one are
  // idle, one that returns to the pool is kept only for as long as its last request took. -1: none.
  std::int64_t scarce_kind = -1;
  // A server may send its last response a second time, some milliseconds late. Until this time after a
  // response, no request is written to its connection, so that the duplicate cannot be read as the response
  // to it. At endpoints of `scarce_kind`, a duplicate of a short value is recognized by its body instead.
  double reuse_delay_ms = 25;
  std::vector<std::string> load_report_fields; // fields of the load report, in the order of the settings
  body_buffers::ResponseBufferingLimits response_limits;
  // Without a byte of the response received, or of the request body accepted.
  double silence_timeout_ms = 5000;
  int receive_buffer_bytes = 0; // kernel receive buffer of each connection; 0: system default
};

} // namespace fernward::upstream
