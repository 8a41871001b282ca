// Log lines of single requests: failed attempts, retries, and requests that are given up, each with its id and reason.
// Routine lines: in a flood they are dropped first, and the counters tell how many there were.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "fernward/balancer.h"

namespace fernward::proxy {

/// The reason's word in the log, see docs/on-call.md.
const char* word_of(fernward::GiveUpReason reason);

/// `attempt`: its number, from 0.
void log_failed_attempt(const std::string& request_id, std::uint32_t attempt, fernward::AttemptResult result,
                        double elapsed_ms);
/// `in_flight`: attempts of the request that are pending; more than 0: a hedged request.
void log_retry(const std::string& request_id, std::uint32_t attempt, std::size_t in_flight);
void log_given_up(const std::string& request_id, fernward::GiveUpReason reason, std::size_t attempts);

} // namespace fernward::proxy
