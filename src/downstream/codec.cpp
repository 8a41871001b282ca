#include "downstream/codec.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

#include "endpoints/endpoint_table.h"
#include "http/parser.h"

namespace fernward::downstream {
namespace {

constexpr std::size_t kMaxId = 128;

bool whole_ms(std::string_view text, double& value) { // digits only: no sign, point or exponent
  std::uint64_t ms = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), ms);
  value = static_cast<double>(ms);
  return error == std::errc() && end == text.data() + text.size();
}

bool number(std::string_view text, double& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() && std::isfinite(value) && value >= 0;
}

// The key is the last path segment. Its hash is the same at every router; 0 means that there is no key.
std::uint64_t key_of(std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  const std::string_view last = path.substr(path.rfind('/') + 1);
  return last.empty() ? 0 : std::max<std::uint64_t>(1, endpoints::hash_of(std::string(last)));
}

const config::Mapping kNothing;

const config::Mapping& mapping_of(const http::Message& request, const std::vector<config::Mapping>& map) {
  for (const config::Mapping& m : map) {
    if (request.target.starts_with(m.path) && (m.method.empty() || m.method == request.method)) return m;
  }
  return kNothing;
}

// The header, or the configured default if it is empty.
std::string_view or_else(std::string_view header, const std::string& otherwise) {
  return header.empty() ? std::string_view(otherwise) : header;
}

} // namespace

Decoded decode(http::Message request, const Rules& rules) {
  const config::Names& names = rules.names;
  Decoded out;
  const auto fault = [&out](int status, const char* why) {
    out.status = status;
    out.why = why;
    return out;
  };
  if (request.method != "GET" && request.method != "PUT") return fault(405, "method");
  // With two values, another parser of this request could use the other one.
  for (const char* name :
       {"x-request-id", "x-priority-class", "x-timeout-ms", "x-tenant-id", "idempotency-key"}) {
    if (request.count(name) > 1) return fault(400, "a header twice");
  }
  proxy::ClientRequest& call = out.call;
  call.write = request.method == "PUT";
  call.id = request.header("x-request-id");
  if (call.id.empty() && !rules.make_ids) return fault(400, "no X-Request-ID");
  if (!call.id.empty() && (call.id.size() > kMaxId || !http::is_token(call.id)))
    return fault(400, "X-Request-ID");
  const config::Mapping& unsaid = mapping_of(request, rules.map);
  const auto cls = std::find(names.classes.begin(), names.classes.end(),
                             or_else(request.header("x-priority-class"), unsaid.cls));
  if (cls == names.classes.end()) return fault(400, "unknown X-Priority-Class");
  call.class_index = static_cast<std::uint32_t>(cls - names.classes.begin());
  const fernward::ClassSettings& class_settings = rules.settings.classes[call.class_index];
  call.idempotency_key = request.header("idempotency-key");
  if (call.write && class_settings.idempotency == fernward::Idempotency::WithKey &&
      call.idempotency_key.empty()) {
    return fault(400, "no Idempotency-Key");
  }
  // An unknown tenant gets the index after the last one, and has no share.
  call.tenant = static_cast<std::uint32_t>(std::find(names.tenants.begin(), names.tenants.end(),
                                                     or_else(request.header("x-tenant-id"), unsaid.tenant)) -
                                           names.tenants.begin());
  call.timeout_ms = unsaid.timeout_ms > 0 ? unsaid.timeout_ms : class_settings.client_timeout_ms;
  const bool has_wait = request.has("x-timeout-ms");
  const std::string_view wait = request.header("x-timeout-ms");
  if (has_wait && !whole_ms(wait, call.timeout_ms)) return fault(400, "X-Timeout-Ms");
  if (class_settings.client_timeout_ms > 0)
    call.timeout_ms = std::min(call.timeout_ms, class_settings.client_timeout_ms);
  call.timeout_ms = std::min(call.timeout_ms, 3600e3);
  double cost_us = 0;
  if (number(request.header("x-cost"), cost_us))
    call.expected_work_ms = cost_us / 1000; // a hint: a malformed one is ignored
  call.key = key_of(request.target);
  call.path = std::move(request.target);
  call.body = std::move(request.body);
  return out;
}

namespace {

std::string served_head(const std::string& content_type, http::Framing framing, std::uint64_t length,
                        bool keep_alive) {
  std::vector<http::Header> headers;
  if (!content_type.empty()) headers.push_back({"Content-Type", content_type});
  return http::write_response_head(200, headers, framing, length, keep_alive);
}

} // namespace

std::string encode(const proxy::ClientResponse& answer, bool keep_alive) {
  switch (answer.kind) {
    case proxy::ClientResponse::Kind::Served:
      return served_head(answer.content_type, http::Framing::Length, answer.body.buffer.size(), keep_alive);
    case proxy::ClientResponse::Kind::Rejected: return encode_shed(answer.retry_after_ms, keep_alive);
    default: return http::write_response(502, {}, "failed\n", keep_alive);
  }
}

std::string encode(const proxy::ResponseHead& opening, http::Framing framing, bool keep_alive) {
  return served_head(opening.content_type, framing, opening.length.value_or(0), keep_alive);
}

std::string encode_shed(double retry_after_ms, bool keep_alive) {
  std::vector<http::Header> headers;
  char seconds[32];
  if (retry_after_ms > 0) {
    std::snprintf(seconds, sizeof seconds, "%.3f", retry_after_ms / 1000);
    headers.push_back({"Retry-After", seconds});
  }
  return http::write_response(503, headers, "shed\n", keep_alive);
}

std::string encode_fault(int status, const char* why) {
  std::vector<http::Header> headers;
  if (status == 405) headers.push_back({"Allow", "GET, PUT"});
  return http::write_response(status, headers, std::string(why) + "\n", false);
}

} // namespace fernward::downstream
