#include "lab/load/wire.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace fernward::rig {
namespace {

std::string body_of(const model::TryStart& start) {
  return start.drawn.write ? written_value(start.try_id, start.drawn.size_bytes) : std::string();
}

} // namespace

std::string request_text(const model::Spec& spec, const TryRegistry& tries, const model::TryStart& start,
                         double wait_ms) {
  const model::DrawnRequest& request = start.drawn;
  const std::string id = tries.request_id(start.try_id),
                    idempotency_key = idempotency_key_text(start.idempotency_key);
  const std::string timeout = std::to_string(std::max(1L, std::lround(std::floor(wait_ms))));
  const std::string cost = std::to_string(std::lround(request.hint_ms * 1000));
  std::vector<http::Header> headers = {
      {"X-Request-ID", id}, {"X-Priority-Class", spec.classes[request.cls].name}, {"X-Timeout-Ms", timeout}};
  if (request.tenant < spec.tenants.size())
    headers.push_back({"X-Tenant-Id", spec.tenants[request.tenant].name});
  if (start.idempotency_key != 0) headers.push_back({"Idempotency-Key", idempotency_key});
  if (spec.clients.marks_retry && start.number > 0) headers.push_back({"X-Retried", "1"});
  if (request.hint_ms > 0) headers.push_back({"X-Cost", cost});
  return http::write_request(request.write ? "PUT" : "GET", path_of(request.key), "backend.local", headers,
                             body_of(start));
}

TryMetadata metadata_of(const model::TryStart& start) {
  TryMetadata metadata;
  metadata.cls = start.drawn.cls;
  metadata.key = start.drawn.key;
  metadata.idempotency_key = start.idempotency_key;
  metadata.write = start.drawn.write;
  metadata.work_ms = start.drawn.work_ms;
  metadata.size_bytes = start.drawn.size_bytes;
  if (start.drawn.write) {
    const std::string body = body_of(start);
    metadata.body_bytes = body.size();
    metadata.body_hash = hash_of(body);
  }
  return metadata;
}

ClientResponse parse_response(const BodyCodec& body_codec, const http::Message& message,
                              model::TryId try_id) {
  ClientResponse response;
  if (message.status == 200) {
    response.outcome = model::TryOutcome::Served;
    const auto metadata = body_codec.decode(message.body);
    response.made_for = metadata ? metadata->try_id : 0;
    response.genuine = metadata && metadata->try_id == try_id;
  } else if (message.status == 429 || message.status == 503) {
    response.outcome = model::TryOutcome::Rejected;
    const std::string_view retry_after = message.header("retry-after");
    double seconds = 0;
    const auto [end, error] =
        std::from_chars(retry_after.data(), retry_after.data() + retry_after.size(), seconds);
    if (error == std::errc() && end == retry_after.data() + retry_after.size() && seconds > 0 &&
        std::isfinite(seconds)) {
      response.retry_after_ms = seconds * 1000;
    }
  }
  return response;
}

} // namespace fernward::rig
