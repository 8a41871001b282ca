// Measures the CPU time per request of `fernward serve` and of a plain byte relay in the same run. Both
// forward to the same fleet, and clients are assigned to the two in turn. Each request is a read that a node
// has cached, so that one attempt serves it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/driver.h"

namespace fernward::lab {

struct CostOptions {
  std::string router_program = "fernward";
  std::vector<std::string> relay_command_line; // the command of the relay (lab/relay: relay_as_router)
  std::uint32_t target_count = 14, key_count = 100;
  double rate_per_s = 2000; // for both together
  double warm_up_s = 3, measured_s = 5;
  std::uint64_t seed = 1;
};

struct ProgramCost { // of the router or of the relay
  double cpu_s = 0;
  std::uint64_t requests = 0;
  double memory_mb = 0;
  std::uint32_t descriptors = 0;
  double cpu_us_per_request() const { return requests > 0 ? cpu_s * 1e6 / static_cast<double>(requests) : 0; }
};
struct CostResult {
  ProgramCost router, relay;
  RunInfo info;
  double router_to_relay_ratio() const {
    return relay.cpu_us_per_request() > 0 ? router.cpu_us_per_request() / relay.cpu_us_per_request() : 0;
  }
};

CostResult measure_cost(const CostOptions& options); // throws std::runtime_error

} // namespace fernward::lab
