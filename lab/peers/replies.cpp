#include "lab/peers/replies.h"

#include <cstdio>

#include "http/message.h"

namespace fernward::rig {

using model::BadAnswer;
using model::Ending;

namespace {

constexpr double kSlowMs = 2500; // time over which SlowBytes sends a response, in kSlowSteps pieces
constexpr int kSlowSteps = 5;
constexpr std::size_t kTooLarge = http::kMaxBody * 16;

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

std::string_view cache_status(Ending ending) {
  switch (ending) {
    case Ending::Hit: return "hit";
    case Ending::Miss: return "miss";
    case Ending::Pending: return "pending";
    default: return {};
  }
}

int status_of(Ending ending) {
  switch (ending) {
    case Ending::Miss:
    case Ending::Pending: return 404;
    case Ending::Error: return 500;
    case Ending::Full:
    case Ending::Draining: return 503;
    case Ending::Overdue: return 504;
    default: return 200;
  }
}

std::string text_of(const Bodies& bodies, const Reply& what, const std::vector<LoadReportField>& fields,
                    const BodyFacts& made_for) {
  const int status = status_of(what.ending);
  const std::string report = report_text(what.report, fields);
  std::vector<http::Header> headers;
  if (status == 503 || status == 504) headers.push_back({"X-Not-Processed", "1"});
  if (const auto word = cache_status(what.ending); !word.empty() && !what.write) {
    headers.push_back({"X-Cache-Status", word});
  }
  if (!report.empty()) headers.push_back({"X-Server-Load", report});
  const std::string body = status == 200 ? bodies.make(made_for, what.write ? 0 : what.size_bytes) : "";
  return http::write_response(status, headers, body, true);
}

} // namespace

std::string_view field_name(LoadReportField field) {
  switch (field) {
    case LoadReportField::Inflight: return "inflight";
    case LoadReportField::Queue: return "queue";
    case LoadReportField::Util: return "util";
    case LoadReportField::LatencyMs: return "latency_ms";
    case LoadReportField::Qps: return "qps";
    case LoadReportField::Eps: return "eps";
    case LoadReportField::Other: return "x1";
  }
  return "x1";
}

Script reply(const Bodies& bodies, const Reply& what, const std::vector<LoadReportField>& fields) {
  Script script;
  if (what.ending == Ending::Dropped || what.ending == Ending::Lost) return script;
  script.pieces.push_back({0, text_of(bodies, what, fields, what.made_for)});
  return script;
}

Script bad_reply(const Bodies& bodies, const Reply& what, const std::vector<LoadReportField>& fields,
                 BadAnswer kind) {
  Script script;
  if (what.ending == Ending::Dropped || what.ending == Ending::Lost) return script;
  const std::string whole = text_of(bodies, what, fields, what.made_for);
  const std::size_t half =
      whole.size() - std::max<std::size_t>(1, (whole.size() - whole.find("\r\n\r\n")) / 2);
  switch (kind) {
    case BadAnswer::Error: {
      Reply error = what;
      error.ending = Ending::Error;
      script.pieces.push_back({0, text_of(bodies, error, fields, what.made_for)});
      break;
    }
    case BadAnswer::Garbage: script.pieces.push_back({0, "\x16\x03\x01 this is no HTTP \x02\r\n\r\n"}); break;
    case BadAnswer::TooLarge:
      script.pieces.push_back({0, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kTooLarge) +
                                      "\r\n\r\nthe first of many"});
      script.stays = false;
      break;
    case BadAnswer::CutOff:
      script.pieces.push_back({0, whole.substr(0, half)});
      script.close = true;
      break;
    case BadAnswer::NeverEnds:
      script.pieces.push_back({0, whole.substr(0, half)});
      script.stays = false;
      break;
    case BadAnswer::EarlyClose: script.close = true; break;
    case BadAnswer::WrongBody: {
      BodyFacts other = what.made_for;
      other.key = ~other.key;
      script.pieces.push_back({0, text_of(bodies, what, fields, other)});
      break;
    }
    case BadAnswer::SlowBytes: {
      const std::size_t step = whole.size() / kSlowSteps + 1;
      for (int i = 0; i < kSlowSteps; ++i) {
        const std::size_t from = std::min(whole.size(), step * static_cast<std::size_t>(i));
        script.pieces.push_back({kSlowMs * (i + 1) / kSlowSteps, whole.substr(from, step)});
      }
      break;
    }
  }
  return script;
}

} // namespace fernward::rig
