#include "lab/peers/response_script.h"

#include <cstdio>

#include "http/message.h"

namespace fernward::rig {

using model::BadResponse;
using model::ServerOutcome;

namespace {

constexpr double kSlowResponseMs = 2500; // time over which SlowBytes sends a response, in kSlowSteps pieces
constexpr int kSlowSteps = 5;
constexpr std::size_t kTooLargeBytes = http::kMaxBodyBytes * 16;

std::string report_text(const std::vector<float>& values, const std::vector<LoadReportField>& fields) {
  std::string text;
  for (std::size_t i = 0; i < values.size() && i < fields.size(); ++i) {
    char number[32];
    std::snprintf(number, sizeof number, "%.3f", static_cast<double>(values[i]));
    if (!text.empty()) text += ',';
    text.append(field_name(fields[i])).append("=").append(number);
  }
  return text;
}

std::string_view cache_status(ServerOutcome ending) {
  switch (ending) {
    case ServerOutcome::Hit: return "hit";
    case ServerOutcome::Miss: return "miss";
    case ServerOutcome::Pending: return "pending";
    default: return {};
  }
}

int status_of(ServerOutcome ending) {
  switch (ending) {
    case ServerOutcome::Miss:
    case ServerOutcome::Pending: return 404;
    case ServerOutcome::Error: return 500;
    case ServerOutcome::Full:
    case ServerOutcome::Draining: return 503;
    case ServerOutcome::Expired: return 504;
    default: return 200;
  }
}

std::string response_bytes(const BodyCodec& body_codec, const ServerResponse& response,
                           const std::vector<LoadReportField>& fields, const BodyMetadata& made_for) {
  const int status = status_of(response.outcome);
  const std::string report = report_text(response.report, fields);
  std::vector<http::Header> headers;
  if (status == 503 || status == 504) headers.push_back({"X-Not-Processed", "1"});
  if (const auto cache_word = cache_status(response.outcome); !cache_word.empty() && !response.write) {
    headers.push_back({"X-Cache-Status", cache_word});
  }
  if (!report.empty()) headers.push_back({"X-Server-Load", report});
  const std::string body =
      status == 200 ? body_codec.encode(made_for, response.write ? 0 : response.size_bytes) : "";
  return http::write_response(status, headers, body, true);
}

} // namespace

std::string_view field_name(LoadReportField field) {
  switch (field) {
    case LoadReportField::Inflight: return "inflight";
    case LoadReportField::Queue: return "queue";
    case LoadReportField::Utilization: return "util";
    case LoadReportField::LatencyMs: return "latency_ms";
    case LoadReportField::RequestRate: return "qps";
    case LoadReportField::ErrorRate: return "eps";
    case LoadReportField::Other: return "x1";
  }
  return "x1";
}

ResponseScript make_script(const BodyCodec& body_codec, const ServerResponse& response,
                           const std::vector<LoadReportField>& fields) {
  ResponseScript script;
  if (response.outcome == ServerOutcome::Cancelled || response.outcome == ServerOutcome::Lost) return script;
  script.pieces.push_back({0, response_bytes(body_codec, response, fields, response.made_for)});
  return script;
}

ResponseScript make_bad_script(const BodyCodec& body_codec, const ServerResponse& response,
                               const std::vector<LoadReportField>& fields, BadResponse kind) {
  ResponseScript script;
  if (response.outcome == ServerOutcome::Cancelled || response.outcome == ServerOutcome::Lost) return script;
  const std::string complete = response_bytes(body_codec, response, fields, response.made_for);
  const std::size_t truncated_size =
      complete.size() - std::max<std::size_t>(1, (complete.size() - complete.find("\r\n\r\n")) / 2);
  switch (kind) {
    case BadResponse::Error: {
      ServerResponse error_response = response;
      error_response.outcome = ServerOutcome::Error;
      script.pieces.push_back({0, response_bytes(body_codec, error_response, fields, response.made_for)});
      break;
    }
    case BadResponse::NotHttp:
      script.pieces.push_back({0, "\x16\x03\x01 this is no HTTP \x02\r\n\r\n"});
      break;
    case BadResponse::TooLarge:
      script.pieces.push_back({0, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kTooLargeBytes) +
                                      "\r\n\r\nthe first of many"});
      script.reusable = false;
      break;
    case BadResponse::Truncated:
      script.pieces.push_back({0, complete.substr(0, truncated_size)});
      script.close = true;
      break;
    case BadResponse::NeverCompletes:
      script.pieces.push_back({0, complete.substr(0, truncated_size)});
      script.reusable = false;
      break;
    case BadResponse::EarlyClose: script.close = true; break;
    case BadResponse::WrongBody: {
      BodyMetadata wrong_metadata = response.made_for;
      wrong_metadata.key = ~wrong_metadata.key;
      script.pieces.push_back({0, response_bytes(body_codec, response, fields, wrong_metadata)});
      break;
    }
    case BadResponse::SlowBytes: {
      const std::size_t step = complete.size() / kSlowSteps + 1;
      for (int i = 0; i < kSlowSteps; ++i) {
        const std::size_t from = std::min(complete.size(), step * static_cast<std::size_t>(i));
        script.pieces.push_back({kSlowResponseMs * (i + 1) / kSlowSteps, complete.substr(from, step)});
      }
      break;
    }
  }
  return script;
}

} // namespace fernward::rig
