#include "downstream/codec.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

#include "endpoints/endpoint_table.h"
#include "http/parser.h"
#include "http/uri.h"

namespace fernward::downstream {
namespace {

constexpr std::size_t kMaxIdBytes = 128;

bool parse_milliseconds(std::string_view text, double& value) { // digits only: no sign, point or exponent
  std::uint64_t ms = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), ms);
  value = static_cast<double>(ms);
  return error == std::errc() && end == text.data() + text.size();
}

bool parse_non_negative_number(std::string_view text, double& value) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() && std::isfinite(value) && value >= 0;
}

// "name=value,name=value", or nothing.
bool are_valid_attributes(std::string_view text) {
  while (!text.empty()) {
    const auto comma = std::min(text.find(','), text.size());
    const std::string_view attribute = http::trim(text.substr(0, comma));
    const auto equals_sign = attribute.find('=');
    if (equals_sign == std::string_view::npos || !http::is_token(attribute.substr(0, equals_sign)) ||
        !http::is_token(attribute.substr(equals_sign + 1)))
      return false;
    text.remove_prefix(std::min(comma + 1, text.size()));
  }
  return true;
}

// Whether `list`, a value of the Expect field, has no other expectation than the interim response before the
// body.
bool is_supported_expectation(std::string_view list) {
  while (!list.empty()) {
    const auto comma = std::min(list.find(','), list.size());
    const std::string element = http::to_lower(http::trim(list.substr(0, comma)));
    if (!element.empty() && element != "100-continue") return false;
    list.remove_prefix(std::min(comma + 1, list.size()));
  }
  return true;
}

// The key is the last path segment. Its hash is the same at every router; 0 means that there is no key.
std::uint64_t placement_key(std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  const std::string_view last_segment = path.substr(path.rfind('/') + 1);
  return last_segment.empty() ? 0 : std::max<std::uint64_t>(1, endpoints::hash_of(std::string(last_segment)));
}

const config::Mapping kNoMapping;

const config::Mapping& mapping_of(const http::Message& request,
                                  const std::vector<config::Mapping>& mappings) {
  for (const config::Mapping& mapping : mappings) {
    if (request.target.starts_with(mapping.path_prefix) &&
        (mapping.method.empty() || mapping.method == request.method))
      return mapping;
  }
  return kNoMapping;
}

// The header, or the configured default if it is empty.
std::string_view header_or_default(std::string_view header, const std::string& default_value) {
  return header.empty() ? std::string_view(default_value) : header;
}

} // namespace

// RFC 9112 3.2: an HTTP/1.1 request has exactly one Host field.
bool has_valid_host(const http::Message& request) {
  const auto count = request.header_count("host");
  if (count == 0) return request.is_http_1_0;
  return count == 1 && http::is_host_and_port(request.header("host"));
}

DecodedRequest decode(http::Message request, const RequestRules& rules) {
  const config::Names& names = rules.names;
  DecodedRequest decoded;
  const auto reject = [&decoded](int status, const char* reason) {
    decoded.status = status;
    decoded.reason = reason;
    return decoded;
  };
  if (!has_valid_host(request)) return reject(400, "Host");
  if (request.method != "GET" && request.method != "PUT") return reject(405, "method");
  // With two values, another parser of this request could use the other one.
  for (const char* name : {"x-request-id", "x-priority-class", "x-timeout-ms", "x-tenant-id",
                           "idempotency-key", "x-retried", "x-cost", "x-attrs"}) {
    if (request.header_count(name) > 1) return reject(400, "a header twice");
  }
  for (const auto& [name, value] : request.headers) {
    if (name == "expect" && !is_supported_expectation(value)) return reject(417, "Expect");
  }
  if (request.has_header("x-retried") && request.header("x-retried") != "1") return reject(400, "X-Retried");
  if (!are_valid_attributes(request.header("x-attrs"))) return reject(400, "X-Attrs");
  proxy::ClientRequest& client_request = decoded.request;
  client_request.is_write = request.method == "PUT";
  client_request.id = request.header("x-request-id");
  if (client_request.id.empty() && !rules.generate_ids) return reject(400, "no X-Request-ID");
  if (!client_request.id.empty() &&
      (client_request.id.size() > kMaxIdBytes || !http::is_token(client_request.id)))
    return reject(400, "X-Request-ID");
  const config::Mapping& defaults = mapping_of(request, rules.mappings);
  const auto found_class =
      std::find(names.classes.begin(), names.classes.end(),
                header_or_default(request.header("x-priority-class"), defaults.class_name));
  if (found_class == names.classes.end()) return reject(400, "unknown X-Priority-Class");
  client_request.class_index = static_cast<std::uint32_t>(found_class - names.classes.begin());
  const fernward::ClassSettings& class_settings = rules.settings.classes[client_request.class_index];
  client_request.idempotency_key = request.header("idempotency-key");
  if (client_request.is_write && class_settings.idempotency == fernward::Idempotency::WithKey &&
      client_request.idempotency_key.empty()) {
    return reject(400, "no Idempotency-Key");
  }
  // An unknown tenant gets the index after the last one, and has no share.
  client_request.tenant = static_cast<std::uint32_t>(
      std::find(names.tenants.begin(), names.tenants.end(),
                header_or_default(request.header("x-tenant-id"), defaults.tenant_name)) -
      names.tenants.begin());
  client_request.timeout_ms =
      defaults.client_timeout_ms > 0 ? defaults.client_timeout_ms : class_settings.client_timeout_ms;
  const bool has_timeout = request.has_header("x-timeout-ms");
  const std::string_view timeout_text = request.header("x-timeout-ms");
  if (has_timeout && !parse_milliseconds(timeout_text, client_request.timeout_ms))
    return reject(400, "X-Timeout-Ms");
  if (class_settings.client_timeout_ms > 0)
    client_request.timeout_ms = std::min(client_request.timeout_ms, class_settings.client_timeout_ms);
  client_request.timeout_ms = std::min(client_request.timeout_ms, 3600e3);
  double cost_us = 0;
  const std::string_view cost_text = request.header("x-cost");
  if (!cost_text.empty() && !parse_non_negative_number(cost_text, cost_us)) return reject(400, "X-Cost");
  client_request.expected_work_ms = cost_us / 1000;
  client_request.placement_key = placement_key(request.target);
  client_request.path = std::move(request.target);
  client_request.body = std::move(request.body);
  return decoded;
}

namespace {

std::string encode_served_head(const std::string& content_type, http::Framing framing, std::uint64_t length,
                               bool keep_alive) {
  std::vector<http::Header> headers;
  if (!content_type.empty()) headers.push_back({"Content-Type", content_type});
  return http::write_response_head(200, headers, framing, length, keep_alive);
}

} // namespace

std::string encode(const proxy::ClientResponse& response, bool keep_alive) {
  switch (response.kind) {
    case proxy::ClientResponse::Kind::Served:
      return encode_served_head(response.content_type, http::Framing::Length, response.body.buffer.size(),
                                keep_alive);
    case proxy::ClientResponse::Kind::Rejected: return encode_shed(response.retry_after_ms, keep_alive);
    default: return http::write_response(502, {}, "failed\n", keep_alive);
  }
}

std::string encode(const proxy::ResponseHead& head, http::Framing framing, bool keep_alive) {
  return encode_served_head(head.content_type, framing, head.length.value_or(0), keep_alive);
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

std::string encode_error(int status, const char* reason) {
  std::vector<http::Header> headers;
  if (status == 405) headers.push_back({"Allow", "GET, PUT"});
  return http::write_response(status, headers, std::string(reason) + "\n", false);
}

} // namespace fernward::downstream
