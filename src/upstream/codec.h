// Requests and responses of upstream endpoints as HTTP. No sockets.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "http/message.h"
#include "proxy/attempt_callbacks.h"
#include "proxy/client_request.h"

namespace fernward::upstream {

/// All of a request whose body is short; the head of one whose body is long, in chunks where its length is
/// unknown. `remaining_ms`: until the attempt's deadline.
std::string encode(const proxy::ClientRequest& request, const std::string& host, double remaining_ms);
/// What a response's head says of its attempt: the result, the content type, the load report.
proxy::AttemptCompletion decode(const http::Message& response, const std::vector<std::string>& report_fields);

/// A load report, as "queue=2,util=0.61", in the order of `fields`; a value that is missing is -1. Empty:
/// damaged, or with no value that is known.
std::vector<float> parse_report(std::string_view text, const std::vector<std::string>& fields);

} // namespace fernward::upstream
