// Estimates how long a connection to a server may be idle and still be reused. No I/O, no clock.
//
// A server may close idle connections earlier than configured and without notice: the next request is reset,
// and may have been executed. The estimator determines, per server and over all servers, the idle time from
// which resets become more likely (a change point, see estimate_change_point()), and tests by occasional
// trials whether longer idle times are safe again.
// Units: milliseconds; `now` only advances. State: about 500 bytes per server. An observation takes constant
// time, an estimate some ten microseconds, at most once in 250 ms per server unless one of its own
// connections was reset.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace fernward::idle_connections {

class IdleLifetimeEstimator {
 public:
  using EndpointId = std::uint32_t;

  // `max_idle_ms`: from the settings; no longer idle time is safe.
  explicit IdleLifetimeEstimator(double max_idle_ms);

  enum class Reuse { Allowed, Trial, Refused };
  // Whether a request may be written to a connection that was idle for `idle_ms`. Each Trial starts the
  // waiting time before the next one.
  Reuse decide_reuse(double now, EndpointId endpoint, double idle_ms);
  // Idle time after which a connection cannot be used, not even for a trial.
  double max_keep_ms(double now, EndpointId endpoint);
  // Shorter idle times are considered safe.
  double safe_idle_ms(double now, EndpointId endpoint);

  // Results. `reset`: the connection broke before the first byte of a response. Connections closed while idle
  // cost no request and are not reported.
  void on_first_use(double now, EndpointId endpoint, bool reset);
  void on_reuse(double now, EndpointId endpoint, double idle_ms, bool trial, bool reset);
  // The server was restarted, has a new address, or was removed.
  void forget(EndpointId endpoint);

  std::size_t size() const { return endpoints_.size(); }

 private:
  // Idle times are counted in buckets, each longer by a factor of 2^(1/4).
  static constexpr std::size_t kMaxBuckets = 49; // the last one begins at 28 s

  struct Counts { // decayed
    float answered = 0;
    float reset = 0;
  };
  struct History {
    Counts first_uses;
    std::array<Counts, kMaxBuckets> reuses{};
    double decayed_at = 0;
    void decay(double now);
  };
  struct Endpoint {
    History history;
    double reset_at = kLongAgo;
    double safe_idle_ms = 0;
    double max_keep_ms = 0;
    double estimated_at = kLongAgo;
    std::uint64_t reset_version = 0; // reset_version_ at the time of the estimate
  };
  // By bucket: the probability that resets become more likely from it on, and by how much.
  struct ChangePoint {
    std::array<double, kMaxBuckets> probability{};
    std::array<double, kMaxBuckets> excess_reset_share{};
  };

  static constexpr double kLongAgo = -1e9;

  static std::size_t bucket_of(double idle_ms);
  static double bucket_begin_ms(std::size_t bucket);
  Endpoint& find_or_add(double now, EndpointId id);
  Endpoint& find_with_estimate(double now, EndpointId id);
  void estimate_change_point(ChangePoint& change, const History& history, double baseline_reset_share,
                             const ChangePoint* fleet_prior) const;
  void update_estimate(Endpoint& endpoint);
  static bool is_same_outage(double now, Endpoint& endpoint);

  double max_idle_ms_;
  std::size_t bucket_count_ = 0; // number of buckets that begin before max_idle_ms_
  std::unordered_map<EndpointId, Endpoint> endpoints_;

  History fleet_history_;
  ChangePoint fleet_change_;
  std::uint64_t fleet_reset_version_ = 0;
  double fleet_estimated_at_ = 0;

  std::uint64_t reset_version_ = 0; // increases with each reset
  double next_trial_at_ = 0;
  double trial_interval_ms_ = 1000;
};

} // namespace fernward::idle_connections
