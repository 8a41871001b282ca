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

constexpr double kFreshReportMs = 100; // more recent reports are used unchanged (paper, section 4.1)
constexpr double kObservationHalfLifeMs = 3000;

/// This router's state of a cache, or of the origin, which is not on the hash ring. Owned by Balancer::Impl.
/// Times: milliseconds on the clock of Balancer::on_event; letters in comments are the paper's symbols.
struct Replica {
  Server entry;
  // Inputs of the score.
  double queue_length = 0;     // q, as last reported
  double service_time_ms = 0;  // 1/mu, moving average of reports; 0: none
  double response_time_ms = 0; // R, moving average as measured by this router
  double reported_at = kNever;
  double responded_at = kNever;
  double overloaded_until = kNever;
  std::uint32_t in_flight = 0;   // os, this router's attempts
  std::uint32_t passed_over = 0; // f, how often a candidate but not chosen since the last report
  std::uint32_t stalled = 0;     // of those in flight, on connections that stopped responding
  QueueTrend queue_trend;
  std::vector<float> last_report;
  // Outlier ejection.
  health::OutlierState outlier;
  double failure_rate = 0;                 // share of failed attempts, moving average
  double latest_answered_send_at = kNever; // latest send time of an answered attempt
  double health_checked_at = kNever;
  concurrency::CacheConcurrencyLimiter limiter{1}; // unused for the origin
  double slow_start_began_at = kNever;
  placement::RingWeight seat;

  /// The server process was restarted: resets all state but its entry, ring weight and attempts in flight.
  void reset_for_restart() {
    Replica fresh;
    fresh.entry = entry;
    fresh.in_flight = in_flight;
    fresh.stalled = stalled;
    fresh.seat = seat;
    *this = std::move(fresh);
  }

  /// A value observed `age` ms ago, decayed towards the mean over all caches, because a router may send to a
  /// cache only once a minute.
  static double decay(double age, double seen, double fleet) {
    return fleet + (seen - fleet) * std::exp2(-age / kObservationHalfLifeMs);
  }
  double expected_response_ms(double now, double fleet_ms) const {
    return responded_at == kNever ? fleet_ms : decay(now - responded_at, response_time_ms, fleet_ms);
  }

  /// Attempts in flight that occupy capacity at the server.
  std::uint32_t active() const { return in_flight - std::min(in_flight, stalled); }

  /// The paper's score R + q^3 / mu, in ms; lower is better. `routers`: number of routers in the fleet, each
  /// assumed to have as many attempts in flight as this one; `fleet_*`: means over all caches; `extra_ms`:
  /// expected additional cost at the origin if this cache is chosen, added to R and to 1/mu.
  double score(double now, double routers, double fleet_ms, double fleet_queue, double extra_ms) const {
    const double response_ms = expected_response_ms(now, fleet_ms) + extra_ms;
    const double per_request_ms = service_time_ms > 0 ? service_time_ms + extra_ms : response_ms;
    double queue = 1 + active() * routers;
    if (now - reported_at < kFreshReportMs) {
      queue += queue_length;
    } else if (in_flight == 0 && passed_over == 0) {
      queue = 0; // not used recently: a request obtains a new report
    } else {
      queue += decay(now - reported_at, queue_trend.predict(now), fleet_queue);
    }
    return response_ms + queue * queue * queue * per_request_ms;
  }

  void record_response(double now, double elapsed_ms) {
    if (responded_at == kNever) response_time_ms = elapsed_ms;
    smooth(response_time_ms, elapsed_ms, kSampleWeight);
    responded_at = now;
  }

  /// Returns true if the report is new and contains a queue length. A report with the same values as the last
  /// one is a repetition and is ignored.
  bool record_report(double now, const std::vector<LoadReportField>& fields,
                     const std::vector<float>& values) {
    if (values.empty() || values == last_report) return false;
    last_report = values;
    const auto [waiting, latency] = parse_load_report(fields, values);
    if (latency > 0) {
      const double sample = latency / (1 + std::max(waiting, 0.0));
      if (service_time_ms == 0) service_time_ms = sample;
      smooth(service_time_ms, sample, kSampleWeight);
    }
    if (waiting < 0) return false; // queue_length then stays 0 and never counts as fresh
    queue_length = waiting;
    queue_trend.add(now, waiting);
    reported_at = now;
    passed_over = 0;
    return true;
  }
};

} // namespace fernward
