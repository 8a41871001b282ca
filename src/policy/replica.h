// This router's state of a cache or of the origin. Interface: include/fernward/balancer.h
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "concurrency/cache_concurrency_limiter.h"
#include "fernward/balancer.h"
#include "health/outlier_state.h"
#include "placement/ring.h"
#include "policy/queue_trend.h"
#include "requests/load_report.h"

namespace fernward {

// The selection of caches follows the TAP paper: Zhou, Fang, Xie, Jiang, "TAP: Timeliness-aware
// predication-based replica selection algorithm for key-value stores". Symbols in comments are as in it.

constexpr double kFreshReportMaxAgeMs = 100; // newer reports are used unchanged (TAP paper, section 4.1)
constexpr double kObservationHalfLifeMs = 3000;

/// This router's state of a cache, or of the origin, which is not on the hash ring. Owned by Balancer::Impl.
/// Times: milliseconds on the clock of Balancer::on_event.
struct Replica {
  Server entry;
  // Inputs of the score.
  double queue_length = 0;     // q, as last reported
  double service_time_ms = 0;  // 1/mu, moving average of reports; 0: none
  double response_time_ms = 0; // R, moving average as measured by this router
  double reported_at = kNever;
  double responded_at = kNever;
  double overloaded_until = kNever;
  std::uint32_t in_flight = 0;         // os, this router's attempts
  std::uint32_t passed_over_count = 0; // f, how often a candidate but not chosen since the last report
  std::uint32_t stalled_count = 0;     // of those in flight, on connections that stopped responding
  QueueTrend queue_trend;
  std::vector<float> last_report;
  // Outlier ejection.
  health::OutlierState outlier;
  double failure_rate = 0;                 // share of failed attempts, moving average
  double latest_answered_send_at = kNever; // latest send time of an answered attempt
  double health_checked_at = kNever;
  concurrency::CacheConcurrencyLimiter limiter{1}; // unused for the origin
  double slow_start_began_at = kNever;
  placement::RingMemberState ring_state;

  /// The server process was restarted: resets all state but its entry, ring weight and attempts in flight.
  void reset_for_restart() {
    Replica reset;
    reset.entry = entry;
    reset.in_flight = in_flight;
    reset.stalled_count = stalled_count;
    reset.ring_state = ring_state;
    *this = std::move(reset);
  }

  /// A value observed `age_ms` ago, decayed towards the mean over all caches, because a router may send to a
  /// cache only once a minute.
  static double decay_to_fleet_mean(double age_ms, double observed, double fleet_mean) {
    return fleet_mean + (observed - fleet_mean) * std::exp2(-age_ms / kObservationHalfLifeMs);
  }
  double expected_response_ms(double now, double fleet_mean_ms) const {
    return responded_at == kNever ? fleet_mean_ms
                                  : decay_to_fleet_mean(now - responded_at, response_time_ms, fleet_mean_ms);
  }

  /// Attempts in flight that occupy capacity at the server.
  std::uint32_t active_attempts() const { return in_flight - std::min(in_flight, stalled_count); }

  /// The TAP paper's score R + q^3 / mu, in ms; lower is better. `router_count`: routers in the fleet, each
  /// assumed to have as many attempts in flight as this one; `fleet_mean_*`: means over all caches;
  /// `extra_cost_ms`: expected additional cost at the origin if this cache is chosen, added to R and to 1/mu.
  double score(double now, double router_count, double fleet_mean_ms, double fleet_mean_queue,
               double extra_cost_ms) const {
    const double response_ms = expected_response_ms(now, fleet_mean_ms) + extra_cost_ms;
    const double per_request_ms = service_time_ms > 0 ? service_time_ms + extra_cost_ms : response_ms;
    double estimated_queue_length = 1 + active_attempts() * router_count;
    if (now - reported_at < kFreshReportMaxAgeMs) {
      estimated_queue_length += queue_length;
    } else if (in_flight == 0 && passed_over_count == 0) {
      estimated_queue_length = 0; // not used recently: a request obtains a new report
    } else {
      estimated_queue_length +=
          decay_to_fleet_mean(now - reported_at, queue_trend.predict(now), fleet_mean_queue);
    }
    return response_ms +
           estimated_queue_length * estimated_queue_length * estimated_queue_length * per_request_ms;
  }

  void record_response(double now, double elapsed_ms) {
    if (responded_at == kNever) response_time_ms = elapsed_ms;
    update_moving_average(response_time_ms, elapsed_ms, kReplicaSampleWeight);
    responded_at = now;
  }

  /// Returns true if the report is new and contains a queue length. A report with the same values as the last
  /// one is a repetition and is ignored.
  bool record_report(double now, const std::vector<LoadReportField>& fields,
                     const std::vector<float>& values) {
    if (values.empty() || values == last_report) return false;
    last_report = values;
    const auto [reported_queue_length, latency_ms] = parse_load_report(fields, values);
    if (latency_ms > 0) {
      const double service_time_sample_ms = latency_ms / (1 + std::max(reported_queue_length, 0.0));
      if (service_time_ms == 0) service_time_ms = service_time_sample_ms;
      update_moving_average(service_time_ms, service_time_sample_ms, kReplicaSampleWeight);
    }
    if (reported_queue_length < 0) return false; // queue_length then stays 0 and never counts as fresh
    queue_length = reported_queue_length;
    queue_trend.add(now, reported_queue_length);
    reported_at = now;
    passed_over_count = 0;
    return true;
  }
};

} // namespace fernward
