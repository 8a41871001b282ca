// What a node knows of a cache or of the origin. Interface: include/fernward/balancer.h
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "concurrency/cache_concurrency_limiter.h"
#include "fernward/balancer.h"
#include "health/outlier_state.h"
#include "placement/ring.h"
#include "policy/trend.h"
#include "requests/load_report.h"

namespace fernward {

constexpr double kFreshReportMs = 100;          // a younger report is used as it is (paper, section 4.1)
constexpr double kObservationHalfLifeMs = 3000; // half-life of what was seen of a cache and nobody renews

// What this node knows of a cache (or of the origin, which stays off the ring).
struct Replica {
  Server entry;
  // TAP's inputs
  double queue_length = 0, service_time_ms = 0, response_time_ms = 0; // q, 1/mu, R
  double reported_at = kNever, responded_at = kNever, overloaded_until = kNever;
  std::uint32_t in_flight = 0, passed_over = 0; // os, f
  std::uint32_t stalled = 0;                    // of those open, on connections that fell silent
  QueueTrend queue_trend;
  std::vector<float> last_report;
  // health
  health::OutlierState outlier;
  double failure_rate = 0;                 // share of its attempts that fail
  double latest_answered_send_at = kNever; // the latest send that was answered
  double health_checked_at = kNever;
  concurrency::CacheConcurrencyLimiter limiter{1}; // of a cache
  // slow start
  double slow_start_began_at = kNever;
  placement::RingWeight seat; // on the ring

  void
  reset_for_restart() { // a restarted process shares nothing with the one before but its name and what is still out
    Replica fresh;
    fresh.entry = entry;
    fresh.in_flight = in_flight;
    fresh.stalled = stalled;
    fresh.seat = seat;
    *this = std::move(fresh);
  }

  // What was seen long ago fades into what the fleet shows: a node may meet a cache once a minute.
  static double decay(double age, double seen, double fleet) {
    return fleet + (seen - fleet) * std::exp2(-age / kObservationHalfLifeMs);
  }
  double expected_response_ms(double now, double fleet_ms) const { // R
    return responded_at == kNever ? fleet_ms : decay(now - responded_at, response_time_ms, fleet_ms);
  }

  std::uint32_t active() const { return in_flight - std::min(in_flight, stalled); }

  // `extra_ms`: what the request is expected to cost elsewhere if this cache gets it; adds to R and to 1/mu.
  double score(double now, double nodes, double fleet_ms, double fleet_queue, double extra_ms) const {
    const double r = expected_response_ms(now, fleet_ms) + extra_ms;
    const double per_request =
        service_time_ms > 0 ? service_time_ms + extra_ms : r; // no report: what this node saw
    double q = 1 + active() * nodes;
    if (now - reported_at < kFreshReportMs) {
      q += queue_length;
    } else if (in_flight == 0 && passed_over == 0) {
      q = 0; // nobody asked it for long: invite a refresh
    } else {
      q += decay(now - reported_at, queue_trend.predict(now), fleet_queue);
    }
    return r + q * q * q * per_request;
  }

  void record_response(double now, double elapsed_ms) {
    if (responded_at == kNever) response_time_ms = elapsed_ms;
    smooth(response_time_ms, elapsed_ms, kSampleWeight);
    responded_at = now;
  }

  // A report with the very values of the last one is a repeat on another answer: it makes nothing fresher.
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
    if (waiting < 0) return false; // no queue told: q stays 0 and the report's age never counts as fresh
    queue_length = waiting;
    queue_trend.add(now, waiting);
    reported_at = now;
    passed_over = 0;
    return true;
  }
};

} // namespace fernward
