// A client request behind the protocol's codec: another protocol than HTTP can be decoded into it.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "proxy/request_body.h"

namespace fernward::proxy {

struct ClientRequest {
  bool write = false;
  std::string path;                           // with the query; sent upstream unchanged
  std::string body;                           // of a short one, complete
  std::shared_ptr<RequestBody> streamed_body; // of a long one, which may still be arriving; else null
  // The longest time that the rest of the body may take to arrive; 0: it is complete.
  double body_timeout_ms = 0;
  std::string id;              // the client's X-Request-ID, or one made here
  std::string idempotency_key; // by which servers discard a repeat; empty: none
  std::uint32_t class_index = 0;
  std::uint32_t tenant = 0;
  std::uint64_t key = 0; // hash for placement; 0: none
  double expected_work_ms = 0;
  double timeout_ms = 0; // the client's patience, from the last byte of the request on
};
using ClientRequestPtr = std::shared_ptr<const ClientRequest>;

} // namespace fernward::proxy
