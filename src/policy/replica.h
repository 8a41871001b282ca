// What a node knows of a cache or of the origin. Interface: include/fernward/balancer.h
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "concurrency/cache_concurrency_limiter.h"
#include "fernward/balancer.h"
#include "health/health.h"
#include "placement/ring.h"
#include "policy/trend.h"
#include "requests/load_report.h"

namespace fernward {

constexpr double kFreshMs = 100; // a younger report is used as it is (paper, section 4.1)
constexpr double kFadeMs = 3000; // half-life of what was seen of a cache and nobody renews

// What this node knows of a cache (or of the origin, which stays off the ring).
struct Replica {
  Server entry;
  // TAP's inputs
  double queue = 0, service_ms = 0, response_ms = 0; // q, 1/mu, R
  double report_at = kNever, response_at = kNever, full_until = kNever;
  std::uint32_t open = 0, passed_over = 0; // os, f
  std::uint32_t hung = 0;                  // of those open, on connections that fell silent
  Trend trend;
  std::vector<float> last_report;
  // health
  health::Health health;
  double failing = 0;           // share of its attempts that fail
  double overtaken_at = kNever; // the latest send that was answered
  double probed_at = kNever;
  concurrency::CacheConcurrencyLimiter gate{1}; // of a cache
  // slow start
  double cold_since = kNever;
  placement::RingWeight seat; // on the ring

  void forget() { // a restarted process shares nothing with the one before but its name and what is still out
    Replica fresh;
    fresh.entry = entry;
    fresh.open = open;
    fresh.hung = hung;
    fresh.seat = seat;
    *this = std::move(fresh);
  }

  // What was seen long ago fades into what the fleet shows: a node may meet a cache once a minute.
  static double fade(double age, double seen, double fleet) {
    return fleet + (seen - fleet) * std::exp2(-age / kFadeMs);
  }
  double response(double now, double fleet_ms) const { // R
    return response_at == kNever ? fleet_ms : fade(now - response_at, response_ms, fleet_ms);
  }

  std::uint32_t working() const { return open - std::min(open, hung); }

  // `extra_ms`: what the request is expected to cost elsewhere if this cache gets it; adds to R and to 1/mu.
  double score(double now, double nodes, double fleet_ms, double fleet_queue, double extra_ms) const {
    const double r = response(now, fleet_ms) + extra_ms;
    const double per_request = service_ms > 0 ? service_ms + extra_ms : r; // no report: what this node saw
    double q = 1 + working() * nodes;
    if (now - report_at < kFreshMs) {
      q += queue;
    } else if (open == 0 && passed_over == 0) {
      q = 0; // nobody asked it for long: invite a refresh
    } else {
      q += fade(now - report_at, trend.predict(now), fleet_queue);
    }
    return r + q * q * q * per_request;
  }

  void answered(double now, double elapsed_ms) {
    if (response_at == kNever) response_ms = elapsed_ms;
    smooth(response_ms, elapsed_ms, kSmooth);
    response_at = now;
  }

  // A report with the very values of the last one is a repeat on another answer: it makes nothing fresher.
  bool report(double now, const std::vector<LoadReportField>& fields, const std::vector<float>& values) {
    if (values.empty() || values == last_report) return false;
    last_report = values;
    const auto [waiting, latency] = reported(fields, values);
    if (latency > 0) {
      const double sample = latency / (1 + std::max(waiting, 0.0));
      if (service_ms == 0) service_ms = sample;
      smooth(service_ms, sample, kSmooth);
    }
    if (waiting < 0) return false; // no queue told: q stays 0 and the report's age never counts as fresh
    queue = waiting;
    trend.take(now, waiting);
    report_at = now;
    passed_over = 0;
    return true;
  }
};

} // namespace fernward
