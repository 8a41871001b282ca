// HTTP encoding of upstream requests and decoding of upstream responses. No sockets.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "http/message.h"
#include "proxy/attempt_callbacks.h"
#include "proxy/client_request.h"

namespace fernward::upstream {

/// Encodes a request with a short body completely. Of a request with a streamed body, encodes the head; the
/// body is chunked if its length is unknown. `remaining_ms`: the time until the attempt's deadline.
std::string encode(const proxy::ClientRequest& request, const std::string& host, double remaining_ms);
/// Decodes a response's head: the attempt's result, the content type, the load report.
proxy::AttemptCompletion decode(const http::Message& response, const std::vector<std::string>& report_fields);

/// Parses a load report such as "queue=2,util=0.61". The values are in the order of `fields`, -1 for a
/// missing value. Empty if the report is malformed or has no known field.
std::vector<float> decode_load_report(std::string_view text, const std::vector<std::string>& fields);

} // namespace fernward::upstream
