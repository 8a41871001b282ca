// What goes to an egress target and what its answer means. No sockets.
#pragma once

#include <string>
#include <vector>

#include "http/message.h"
#include "proxy/attempt_callbacks.h"
#include "proxy/client_request.h"

namespace fernward::upstream {

// All of a call whose body is short; of a long one the head, in chunks where its length is not known.
std::string encode(const proxy::ClientRequest& call, const std::string& host, double remaining_ms);
// From an answer's head alone.
proxy::AttemptCompletion decode(const http::Message& answer, const std::vector<std::string>& report_fields);

// "queue=2,util=0.61" in the order of `fields`; what is not told is -1, and nothing known gives no report.
std::vector<float> parse_report(std::string_view text, const std::vector<std::string>& fields);

} // namespace fernward::upstream
