// Simulates routers, each with its own limiter, in front of one server. Clients form an open loop (they
// arrive whether or not earlier requests are answered) and retry. Runs in virtual time from one seed.
#pragma once

#include <cstdint>

#include "limiter_under_test.h"
#include "loads.h"

namespace fernward::limiters {

// Results of one run.
struct Outcome {
  double offered_weight = 0,
         served_weight = 0;  // priority weight; served: within the latency objective from the first try on
  double rejected_share = 0; // share of requests that were rejected in the end, without a response in time
  double peak_held_per_core = 0, mean_held_per_core = 0; // attempts at the server for each core
  double busy_share = 0;        // share of the cores' time in use while clients arrived
  double late_per_request = 0;  // responses after the latency objective, for each request
  double overload_failures = 0; // number of times the server failed
  double attempts_per_request = 0;
  std::vector<double> offered_weight_by_s, served_weight_by_s; // by second of the first try
};

// `routers`: their number, 1 or more.
Outcome simulate(const Load& load, std::uint64_t seed, unsigned routers, const LimiterEntry& limiter);

// The same with a single router that has a fixed limit of `limit_per_core` attempts for each core. `routers` only
// sizes the server.
Outcome simulate_fixed_limit(const Load& load, std::uint64_t seed, unsigned routers, double limit_per_core);

} // namespace fernward::limiters
