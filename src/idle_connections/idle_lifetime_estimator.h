// How long a kept connection to a target may rest and still be written to.
//
// A target may close kept connections long before the settings say, and without a word: the next request
// written to such a connection ends in a reset, and may have run. Seen of each target are the requests on
// connections that had rested, by the length of the rest, and whether the connection was reset before any of
// an answer came. A close that is seen while the connection rests costs no request and teaches nothing.
//
// What is believed is a change point: up to some rest a reset has one chance, from there on another one.
// Rests are counted in classes, each longer by a factor of 2^(1/4). The weight of each class as the one where
// the change lies follows from the beta-binomial likelihood of the resets before it and after it (Jeffreys'
// prior after it; before it what new connections to that target meet), against that of no change at all. So
//  - a target that resets whatever the rest shows no change: a shorter rest would not help, and an eager rule
//    would end by keeping nothing;
//  - a target that kills but a part of those that have rested too long is found out as well;
//  - what all targets together show is expected of each one beforehand, so that a day on which all close
//    early costs a few resets and not a few for each target. A target's own answers soon outweigh it.
// A connection is written to while the resets expected beyond the usual are worth a new connection's price.
//
// A target that keeps connections longer again is found out by trials: now and then, over all targets
// together, a connection that has rested a little longer than is believed safe is written to after all. Each
// reset doubles the time to the next trial, each answer halves it. What was seen fades with a half-life of a
// minute.
//
// Units: milliseconds; `now` only advances. One thread. State: about 500 bytes for each target that was not
// forgotten. An observation takes constant time; an estimate some ten microseconds, at most once in 250 ms
// for a target unless one of its own connections was reset.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace fernward::idle_connections {

class IdleLifetimeEstimator {
 public:
  using EndpointId = std::uint32_t;

  explicit IdleLifetimeEstimator(double longest_ms); // no rest is ever safe beyond it: what the settings say

  enum class Reuse { Allowed, Trial, Refused };
  // May a request be written to a connection that has rested so long? A Trial is given once for each call.
  Reuse decide_reuse(double now, EndpointId target, double rested_ms);
  // How long it is worth keeping a connection that rests: until it is neither of use nor of use for a trial.
  double keep_ms(double now, EndpointId target);
  double safe_idle_ms(double now, EndpointId target); // rests below it are believed safe

  // What came of it. `reset`: the connection broke before any of an answer came.
  void on_first_use(double now, EndpointId target, bool reset);
  void on_reuse(double now, EndpointId target, double rested_ms, bool trial, bool reset);
  // It restarted, has another address, or is gone: what was seen of it was another process.
  void forget(EndpointId target);

  std::size_t size() const { return targets_.size(); }

 private:
  static constexpr std::size_t kClasses = 49; // the last one begins at 28 s
  struct Tally {
    float answered = 0, reset = 0;
  };
  struct History {
    Tally fresh;
    std::array<Tally, kClasses> rested{};
    double at = 0; // faded up to then
    void fade(double now);
  };
  struct Known {
    History seen;
    double reset_at = -1e9;
    double safe_ms = 0, hold_ms = 0, estimated_at = -1e9;
    std::uint64_t version = 0; // of the common history
  };
  struct Weighed {
    History seen;
    // By class: how likely rests do harm from it on, and how much more resets there are then.
    std::array<double, kClasses> likely{}, excess{};
  };

  static std::size_t class_of(double rested_ms);
  static double begin_of(std::size_t cls);
  Known& known(double now, EndpointId target);
  Known& estimated(double now, EndpointId target);
  void weigh(Weighed& weighed, double usual, const Weighed* others) const;
  void estimate(Known& known);
  bool same_break(double now, Known& known);

  double longest_ms_;
  std::unordered_map<EndpointId, Known> targets_;
  Weighed common_;          // of all targets
  std::size_t classes_ = 0; // that begin before `longest_ms_`
  std::uint64_t version_ = 0, common_version_ = 0;
  double common_at_ = 0;
  double trial_at_ = 0, trial_wait_ms_ = 1000;
};

} // namespace fernward::idle_connections
