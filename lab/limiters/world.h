// Simulates routers, each with its own limiter, in front of one server. Clients form an open loop (they
// arrive whether or not earlier requests are answered) and retry. Runs in virtual time from one seed.
#pragma once

#include <cstdint>

#include "contender.h"
#include "loads.h"

namespace fernward::limiters {

struct Outcome {
  double asked = 0, good = 0; // priority weight; served: within the latency objective from the first try on
  double refused = 0;         // share of requests that were rejected in the end, without a response in time
  double peak = 0, held = 0;  // requests at the server for each core
  double busy = 0;            // share of the cores' time in use while clients arrived
  double late = 0;            // responses after the latency objective, for each request
  double falls = 0;
  double attempts = 0;                       // for each request
  std::vector<double> asked_by_s, good_by_s; // by second of the first try
};

Outcome play(const Load& load, std::uint64_t seed, unsigned routers, const Entry& entry);

// The same with one fixed limit of `limit_per_core` attempts for each core, shared by all routers.
Outcome play_fixed(const Load& load, std::uint64_t seed, unsigned routers, double limit_per_core);

} // namespace fernward::limiters
