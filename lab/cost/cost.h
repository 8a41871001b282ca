// Measures the CPU time per request of `fernward serve` and of a plain byte relay in the same run. Both
// forward to the same fleet, and clients are assigned to the two in turn. Each request is a read that a node
// has cached, so that one attempt serves it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/driver.h"

namespace fernward::lab {

// One run of the measurement.
struct CostOptions {
  std::string router_program = "fernward";
  std::vector<std::string> relay_command_line; // the command of the relay (lab/relay: relay_as_router)
  std::uint32_t target_count = 14, key_count = 100;
  double rate_per_s = 2000; // of router and relay together
  double warm_up_s = 3, measured_s = 5;
  std::uint64_t seed = 1;
};

struct ProgramCost {             // of the router or of the relay
  double cpu_s = 0;              // used in the measured interval
  std::uint64_t requests = 0;    // served in the measured interval
  double memory_mb = 0;          // at the end of the interval
  std::uint32_t descriptors = 0; // open at the end of the interval
  double cpu_us_per_request() const { return requests > 0 ? cpu_s * 1e6 / static_cast<double>(requests) : 0; }
};
struct CostResult {
  ProgramCost router, relay;
  RunInfo info;
  double router_to_relay_ratio() const { // of CPU time per request; 0: the relay served none
    return relay.cpu_us_per_request() > 0 ? router.cpu_us_per_request() / relay.cpu_us_per_request() : 0;
  }
};

// Throws std::runtime_error if a program can't be started or the run ends before the measured interval does.
CostResult measure_cost(const CostOptions& options);

} // namespace fernward::lab
