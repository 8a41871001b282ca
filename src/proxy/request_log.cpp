#include "proxy/request_log.h"

#include <iterator>

#include "log/log.h"

namespace fernward::proxy {

using fernward::AttemptResult;
using fernward::GiveUpReason;

namespace {

constexpr const char* kReasonNames[] = {"shed",           "queue-timeout", "response-timeout",
                                        "not-sent",       "retry-budget",  "attempt-limit",
                                        "not-idempotent", "no-endpoint",   "invalid-request"};
static_assert(std::size(kReasonNames) == static_cast<std::size_t>(GiveUpReason::Count));

// Null: the result is no failure.
const char* failure_word(AttemptResult result) {
  switch (result) {
    case AttemptResult::Error: return "error";
    case AttemptResult::Overloaded: return "overloaded";
    case AttemptResult::TimedOut: return "timed-out";
    case AttemptResult::ConnectFailed: return "connect-failed";
    case AttemptResult::Reset: return "reset";
    case AttemptResult::InvalidRequest: return "invalid-request";
    case AttemptResult::Ok:
    case AttemptResult::Cancelled:
    case AttemptResult::Abandoned:
    case AttemptResult::CacheMiss: break;
  }
  return nullptr;
}

} // namespace

const char* word_of(GiveUpReason reason) { return kReasonNames[static_cast<std::size_t>(reason)]; }

void log_failed_attempt(const std::string& request_id, std::uint32_t attempt, AttemptResult result,
                        double elapsed_ms) {
  const char* const why = failure_word(result);
  if (why == nullptr) return;
  log::routine_line("attempt-failed",
                    {{"id", request_id}, {"attempt", attempt}, {"why", why}, {"ms", elapsed_ms}});
}

void log_retry(const std::string& request_id, std::uint32_t attempt, std::size_t in_flight) {
  log::routine_line("attempt-repeated", {{"id", request_id}, {"attempt", attempt}, {"in_flight", in_flight}});
}

void log_given_up(const std::string& request_id, GiveUpReason reason, std::size_t attempts) {
  log::routine_line("request-given-up",
                    {{"id", request_id}, {"why", word_of(reason)}, {"attempts", attempts}});
}

} // namespace fernward::proxy
