// A decoded client request, independent of the protocol: other protocols than HTTP can be decoded into it.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "descriptors/descriptor_budget.h"
#include "proxy/request_body.h"

namespace fernward::proxy {

struct ClientRequest {
  bool is_write = false;
  std::string path; // with the query; sent upstream unchanged
  std::string body; // a short body, complete
  std::shared_ptr<descriptors::RequestBufferBudget::Lease>
      body_memory;                            // of the short body; null: it has none
  std::shared_ptr<RequestBody> streamed_body; // a long body, which may still be arriving; else null
  bool body_arriving = false;                 // the body is not complete yet
  // When the last byte of the request was received, or may have been sent if the router read it late. While
  // the body arrives: the latest time at which it may be complete. On the loop::now_ms() clock.
  double received_at_ms = 0;
  std::string id;              // the client's X-Request-ID, or a generated one
  std::string idempotency_key; // lets servers discard duplicates; empty: none
  std::uint32_t class_index = 0;
  std::uint32_t tenant = 0;
  std::uint64_t placement_key = 0; // hash for placement; 0: none
  double expected_work_ms = 0;
  double timeout_ms = 0; // the client's timeout, counted from received_at_ms
};
using ClientRequestPtr = std::shared_ptr<const ClientRequest>;

} // namespace fernward::proxy
