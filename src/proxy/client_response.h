// Responses to clients, behind the protocol's codec: complete ones, and heads of streamed ones.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "body_buffers/buffer_budget.h"
#include "loop/buffer.h"

namespace fernward::proxy {

// Bytes of a body in transit, with their reservation in the buffer budget.
struct BufferedBytes {
  loop::Buffer buffer;
  body_buffers::BufferBudget::Reservation reservation;
};

// A complete, final response.
struct ClientResponse {
  enum class Kind {
    Served,
    Rejected, // 503: the request has not run, a retry does no harm
    Failed,   // 502
  };
  Kind kind = Kind::Failed;
  BufferedBytes body; // Served only
  std::string content_type;
  double retry_after_ms = 0; // Rejected only; 0: no Retry-After
};

// A served response that starts before its body is complete.
struct ResponseHead {
  std::string content_type;
  std::optional<std::uint64_t> length; // of the body, if announced
  BufferedBytes body;                  // the part received so far
};

} // namespace fernward::proxy
