#include "upstream/codec.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "http/parser.h"

namespace fernward::upstream {

using fernward::AttemptResult;

namespace {

constexpr float kMaxReportValue = 1e6f; // above any queue length or latency of a responsive endpoint

// Statuses that reject the request itself: every other endpoint would reject it as well.
bool is_invalid_request(int status) {
  return status == 400 || status == 405 || status == 413 || status == 414 || status == 422 || status == 431;
}

} // namespace

std::string encode(const proxy::ClientRequest& request, const std::string& host, double remaining_ms) {
  const std::string timeout_ms = std::to_string(std::max(1L, std::lround(std::floor(remaining_ms))));
  std::vector<http::Header> headers = {{"X-Request-ID", request.id}, {"X-Timeout-Ms", timeout_ms}};
  if (!request.idempotency_key.empty()) headers.push_back({"Idempotency-Key", request.idempotency_key});
  if (request.streamed_body != nullptr) {
    const auto length = request.streamed_body->length();
    return http::write_request_head(request.is_write ? "PUT" : "GET", request.path, host, headers,
                                    length ? http::Framing::Length : http::Framing::Chunked,
                                    length.value_or(0));
  }
  return http::write_request(request.is_write ? "PUT" : "GET", request.path, host, headers, request.body);
}

proxy::AttemptCompletion decode(const http::Message& response,
                                const std::vector<std::string>& report_fields) {
  proxy::AttemptCompletion completion;
  completion.load_report = decode_load_report(response.header("x-server-load"), report_fields);
  const bool never_ran = response.header("x-not-processed") == "1";
  if (response.status == 200) {
    completion.result = AttemptResult::Ok;
    completion.content_type = response.header("content-type");
  } else if (response.status == 404) {
    completion.result = AttemptResult::CacheMiss;
  } else if ((response.status == 503 || response.status == 504) && never_ran) {
    completion.result = AttemptResult::Overloaded;
  } else if (is_invalid_request(response.status)) {
    completion.result = AttemptResult::InvalidRequest;
  } else {
    completion.result = AttemptResult::Error; // the request may have run
  }
  return completion;
}

std::vector<float> decode_load_report(std::string_view text, const std::vector<std::string>& fields) {
  std::vector<float> values(fields.size(), -1);
  bool any_known = false;
  while (!text.empty()) {
    const auto separator = text.find(',');
    const std::string_view item = http::trim(text.substr(0, separator));
    text = separator == std::string_view::npos ? std::string_view() : text.substr(separator + 1);
    const auto equals_sign = item.find('=');
    if (equals_sign == std::string_view::npos) return {}; // malformed: the complete report is ignored
    const auto field = std::find(fields.begin(), fields.end(), http::trim(item.substr(0, equals_sign)));
    if (field == fields.end()) continue;
    const std::string_view number = http::trim(item.substr(equals_sign + 1));
    float value = 0;
    const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), value);
    float& stored_value = values[static_cast<std::size_t>(field - fields.begin())];
    if (error != std::errc() || end != number.data() + number.size()) return {};
    if (!(value >= 0 && value <= kMaxReportValue) || stored_value >= 0) return {};
    stored_value = value;
    any_known = true;
  }
  if (!any_known) values.clear();
  return values;
}

} // namespace fernward::upstream
