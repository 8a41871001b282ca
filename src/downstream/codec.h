// Decodes HTTP requests of clients into proxy::ClientRequest, and encodes responses as HTTP. No sockets.
#pragma once

#include <string>

#include "config/config.h"
#include "http/message.h"
#include "proxy/client_request.h"
#include "proxy/client_response.h"

namespace fernward::downstream {

// What requests are validated against.
struct RequestRules {
  config::Names names;
  fernward::Settings settings;
  std::vector<config::Mapping> mappings; // defaults for missing headers, by path and method
  bool generate_ids = false;             // accept requests without an id: the caller generates one
};

// Whether the request has the Host field that its version requires, with a valid value.
bool has_valid_host(const http::Message& request);

struct DecodedRequest {
  int status = 0; // 0: `request` is valid; else the error status, explained by `reason`
  const char* reason = "";
  proxy::ClientRequest request;
};
DecodedRequest decode(http::Message request, const RequestRules& rules);

// Encodes the head of a served response (the caller sends its body), and any other response completely.
std::string encode(const proxy::ClientResponse& response, bool keep_alive);
std::string encode(const proxy::ResponseHead& head, http::Framing framing, bool keep_alive);
std::string encode_shed(double retry_after_ms, bool keep_alive);
std::string encode_error(int status, const char* reason);

} // namespace fernward::downstream
