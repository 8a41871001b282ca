// Responses to clients, independent of the protocol: complete responses, and heads of streamed responses.
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
    Rejected, // 503: the request has not run, so a retry is safe
    Failed,   // 502
  };
  Kind kind = Kind::Failed;
  BufferedBytes body; // Served only
  std::string content_type;
  double retry_after_ms = 0; // Rejected only; 0: no Retry-After
};

// The head of a served response whose body is incomplete when it starts.
struct ResponseHead {
  std::string content_type;
  std::optional<std::uint64_t> length; // of the body, if announced
  BufferedBytes body;                  // the part received so far
};

} // namespace fernward::proxy
