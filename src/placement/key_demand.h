// Estimates the share of a key's requests that a server in slow start may receive, so that the sum over all
// routers stays within the capacity of the server. Pure decisions: no I/O, no clock.
//
// Each server has a budget of `overload_multiple` times its current capacity. The share of a server in the
// fleet shrinks with the number of servers, while the demand for one popular key does not. Capacities are not
// announced, but a warm server handles its share of the load, so its capacity is at least the mean number of
// requests per server. All routers receive the same mix of keys, so each compares its own counts and the
// number of routers cancels out: a key that this router has counted `count` times causes count / mean times
// the average load at the server, and may use the budget divided by that.
//
// One router sees few requests: with thousands of servers and one popular key it may not know the key yet,
// especially after its own start. An unseen key counts as half a request (Krichevsky and Trofimov's
// estimate). Over all routers, a key that no router has seen then adds at most the budget times the mean load
// to its server, whatever its true rate: the rarer the key, the later it is first seen, and the more requests
// the estimate is based on.
//
//  - Units: `now` in milliseconds on the caller's clock, which only advances; counts of requests.
//  - Size: fixed, that of the sketch.
#pragma once

#include <algorithm>
#include <cstdint>

#include "placement/frequency_sketch.h"
#include "statistics/numbers.h"

namespace fernward::placement {

class KeyDemand {
 public:
  // A request for this key was received while `server_count` servers are in service. Returns the share of
  // such requests, from 0 to 1, that a server in slow start may receive in addition to its slow-start share.
  // `overload_multiple`: more than this times its current capacity overloads a server; below 1 counts as 1.
  double on_request(double now, std::uint64_t key, std::size_t server_count, double overload_multiple) {
    if (now >= halve_at_) halve(now);
    const double mean_requests_per_server =
        ++requests_ / static_cast<double>(std::max<std::size_t>(server_count, 1));
    if (key == 0) return 1; // no key: each request counts as a separate key
    return std::min(1.0, kKnownKeysBudgetShare * std::max(1.0, overload_multiple) * mean_requests_per_server /
                             (sketch_.add(key) + kUnseenKeyCount));
  }

 private:
  // Share of the budget for known keys. The remainder is for unseen keys, further attempts and random
  // variation.
  static constexpr double kKnownKeysBudgetShare = 0.5;
  static constexpr double kUnseenKeyCount = 0.5;
  // Long enough for a router with some tens of requests per second to identify the popular keys among
  // thousands, and short compared to the minutes in which popularity changes.
  static constexpr double kHalvingIntervalMs = 60000;

  void halve(double now) {
    sketch_.halve();
    requests_ /= 2;
    halve_at_ = now + kHalvingIntervalMs;
  }

  FrequencySketch sketch_;
  double requests_ = 0, halve_at_ = kNever;
};

} // namespace fernward::placement
