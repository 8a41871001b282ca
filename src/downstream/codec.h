// From a client's HTTP request to a call, and from an answer to HTTP. No sockets.
#pragma once

#include <string>

#include "config/config.h"
#include "http/message.h"
#include "proxy/client_request.h"
#include "proxy/client_response.h"

namespace fernward::downstream {

struct Rules { // what a request is held against
  config::Names names;
  fernward::Settings settings;
  std::vector<config::Mapping> map; // for what its headers do not say
  bool make_ids = false;            // one without an id is sound: the caller gives it one
};

struct Decoded {
  int status = 0; // 0: `call` is sound; else what to answer, and why
  const char* why = "";
  proxy::ClientRequest call;
};
Decoded decode(http::Message request, const Rules& rules);

// Of a served answer the head: its body follows. Of any other all of it.
std::string encode(const proxy::ClientResponse& answer, bool keep_alive);
std::string encode(const proxy::ResponseHead& opening, http::Framing framing, bool keep_alive);
std::string encode_shed(double retry_after_ms, bool keep_alive);
std::string encode_fault(int status, const char* why);

} // namespace fernward::downstream
