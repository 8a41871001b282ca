// The loads under which limiters are compared.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "server.h"

namespace fernward::limiters {

// What a comparison runs against: the rate of requests, and faults of the server and the routers.
struct Load {
  std::string name, description;
  std::function<double(double)> offered_share; // by time in s: as a share of the server's initial capacity
  std::function<double(double)> speed_factor;  // by time in s: of the server; 1: its initial speed
  double objective_multiple = 7.5; // latency objective as a multiple of a read's mean service time
  // Shares of attempts without any response, and of responses that end in a reset.
  double silent_share = 0, reset_share = 0;
  double faults_from_s = 10;    // when these begin
  double restart_at_s = -1;     // when all routers get a new limiter and retry budget; below 0: never
  double recover_from_s = -1;   // start of the recovery time; below 0: not measured
  double overload_multiple = 0; // see ServerSpec
  bool small_server = false;    // sizes the server for at most four routers, whatever their number
  double duration_s = 60;
};

const std::vector<Load>& loads();

// The server and the behaviour of clients, drawn from a seed.
struct DrawnConditions {
  ServerSpec server;
  double mean_work_ms = 100;     // mean of a read
  double service_time_sigma = 0; // of the logarithm of the service time (log-normal); 0: exponential
  double write_work_factor = 1;  // work of a write relative to a read
  // Of clients. `retry_after_share`: the share of rejected tries after which they wait for Retry-After.
  double mean_retries = 1, backoff_ms = 100, retry_after_share = 0.9;
  bool exponential_backoff = false, has_work_hints = true;
};

DrawnConditions draw_conditions(std::uint64_t seed, const Load& load, unsigned routers);

} // namespace fernward::limiters
