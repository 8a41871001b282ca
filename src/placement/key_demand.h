// What share of a key's requests a server in slow start may be sent, so that the sum over all routers stays
// within what the server can take. Decides; no I/O, no clock.
//
// The rule is a budget for each server: no more than `fall_multiple` times its present capacity. A server's
// part of the fleet shrinks with the number of servers; what one popular key asks for does not. Capacities
// are told nowhere, but a server that is warm bears its part of the load, so that its capacity is that much
// at least: the mean number of requests for each server. A router sees the same mix of keys as all others, so
// it compares its own counts and the number of routers cancels out: a key that this router saw `count` times
// brings the server count / mean times the load of an average one, and may have the budget divided by that.
//
// A router sees little: of thousands of servers and one popular key it may know nothing yet, above all after
// its own start. A key that was not seen before counts as half a request (Krichevsky and Trofimov's
// estimate). Over all routers, a key that nobody has seen then brings its server at most the budget times the
// mean load, whatever the key's true rate: the rarer it is, the later it is first seen, and the more requests
// the estimate rests on.
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
  /// A request for this key has come, with so many servers in service. Returns the share of such requests
  /// that a server in slow start may be sent, from 0 to 1; its warmth comes on top. `fall_multiple`: it is
  /// overloaded by more than this times its present capacity; below 1 counts as 1.
  double on_request(double now, std::uint64_t key, std::size_t servers, double fall_multiple) {
    if (now >= halve_at_) halve(now);
    const double mean = ++requests_ / static_cast<double>(std::max<std::size_t>(servers, 1));
    if (key == 0) return 1; // every request is a key of its own
    return std::min(1.0, kKnownPart * std::max(1.0, fall_multiple) * mean / (sketch_.add(key) + kUnseen));
  }

 private:
  // Of the budget, what keys that are known may use. The rest is for those seen first, further attempts and
  // chance.
  static constexpr double kKnownPart = 0.5;
  static constexpr double kUnseen = 0.5;
  // Long enough for a router with some tens of requests a second to tell the popular ones of thousands of
  // keys, short beside the minutes in which popularity moves on.
  static constexpr double kHalvingMs = 60000;

  void halve(double now) {
    sketch_.halve();
    requests_ /= 2;
    halve_at_ = now + kHalvingMs;
  }

  FrequencySketch sketch_;
  double requests_ = 0, halve_at_ = kNever;
};

} // namespace fernward::placement
