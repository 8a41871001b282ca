// The loads under which limiters are compared.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "server.h"

namespace fernward::limiters {

struct Load {
  std::string name, what;
  std::function<double(double)> offered; // by second: as a share of the server's initial capacity
  std::function<double(double)> speed;   // by second: of the server, 1 at the start
  double aim = 7.5;                      // latency objective as a multiple of a read's mean service time
  // Shares of attempts without any response, and of responses that end in a reset.
  double silent = 0, reset = 0;
  double faults_from = 10;
  double restart_at = -1;   // when all routers restart with new state; below 0: never
  double recover_from = -1; // start of the recovery time; below 0: not measured
  double fall_multiple = 0;
  bool small = false; // sizes the server for at most four routers, whatever their number
  double seconds = 60;
};

const std::vector<Load>& loads();

// The server and the client behaviour drawn from a seed.
struct Draw {
  ServerSpec server;
  double work_ms = 100;  // mean of a read
  double sigma = 0;      // of the service time: lognormal; 0: exponential
  double write_work = 1; // work of a write relative to a read
  // Of clients. `retry_after_share`: the share of rejected tries after which they follow the retry advice.
  double tries = 1, backoff_ms = 100, heed = 0.9;
  bool doubling = false, hints = true;
};

Draw draw(std::uint64_t seed, const Load& load, unsigned routers);

} // namespace fernward::limiters
