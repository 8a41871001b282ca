#include "upstream/codec.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "http/parser.h"

namespace fernward::upstream {

using fernward::AttemptResult;

std::string encode(const proxy::ClientRequest& call, const std::string& host, double remaining_ms) {
  const std::string wait = std::to_string(std::max(1L, std::lround(std::floor(remaining_ms))));
  std::vector<http::Header> headers = {{"X-Request-ID", call.id}, {"X-Timeout-Ms", wait}};
  if (!call.idempotency_key.empty()) headers.push_back({"Idempotency-Key", call.idempotency_key});
  if (call.streamed_body != nullptr) {
    const auto length = call.streamed_body->length();
    return http::write_request_head(call.write ? "PUT" : "GET", call.path, host, headers,
                                    length ? http::Framing::Length : http::Framing::Chunks,
                                    length.value_or(0));
  }
  return http::write_request(call.write ? "PUT" : "GET", call.path, host, headers, call.body);
}

proxy::AttemptCompletion decode(const http::Message& answer, const std::vector<std::string>& report_fields) {
  proxy::AttemptCompletion ending;
  ending.load_report = parse_report(answer.header("x-server-load"), report_fields);
  const bool never_ran = answer.header("x-not-processed") == "1";
  if (answer.status == 200) {
    ending.result = AttemptResult::Ok;
    ending.content_type = answer.header("content-type");
  } else if (answer.status == 404) {
    ending.result = AttemptResult::CacheMiss;
  } else if ((answer.status == 503 || answer.status == 504) && never_ran) {
    ending.result = AttemptResult::Overloaded;
  } else if (answer.status == 400 || answer.status == 405 || answer.status == 413 || answer.status == 414 ||
             answer.status == 422 || answer.status == 431) {
    ending.result = AttemptResult::InvalidRequest;
  } else {
    ending.result = AttemptResult::Error; // it may have run
  }
  return ending;
}

std::vector<float> parse_report(std::string_view text, const std::vector<std::string>& fields) {
  constexpr float kMost = 1e6f; // no queue and no latency of a target that answers
  std::vector<float> values(fields.size(), -1);
  bool any = false;
  while (!text.empty()) {
    const auto comma = text.find(',');
    const std::string_view item = http::trim(text.substr(0, comma));
    text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    const auto equals = item.find('=');
    if (equals == std::string_view::npos) return {}; // of a report that is damaged nothing is believed
    const auto field = std::find(fields.begin(), fields.end(), http::trim(item.substr(0, equals)));
    if (field == fields.end()) continue;
    const std::string_view number = http::trim(item.substr(equals + 1));
    float value = 0;
    const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), value);
    float& kept = values[static_cast<std::size_t>(field - fields.begin())];
    if (error != std::errc() || end != number.data() + number.size()) return {};
    if (!(value >= 0 && value <= kMost) || kept >= 0) return {};
    kept = value;
    any = true;
  }
  if (!any) values.clear();
  return values;
}

} // namespace fernward::upstream
