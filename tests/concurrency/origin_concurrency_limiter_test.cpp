// What may be out at once: the cases that a limit exists for.
#include "concurrency/origin_concurrency_limiter.h"

#include <doctest/doctest.h>

using namespace fernward::concurrency;

namespace {

AttemptSample answered(double elapsed_ms, double aim_ms, std::uint32_t out) {
  return {.outcome = AttemptEnding::Answered,
          .elapsed_ms = elapsed_ms,
          .latency_objective_ms = aim_ms,
          .in_flight = out};
}

} // namespace

TEST_CASE("a write gets its turn however low the limit") {
  OriginConcurrencyLimiter l = OriginConcurrencyLimiter::for_router_count(4);
  double now = 0;
  for (int i = 0; i < 400; ++i) {
    now += 500;
    l.on_attempt_sent(now);
    l.on_attempt_ended(now,
                       {.outcome = AttemptEnding::Rejected, .elapsed_ms = 1, .latency_objective_ms = 750});
  }
  CHECK(l.limit() < 1);
  CHECK(l.has_capacity(now, 0, true));
  CHECK_FALSE(l.has_capacity(now, 8, true));
}

// Found on full-size days: a part of the tier could not reach the ledger for 7 s and was left with a 2400th of an attempt.
TEST_CASE("a server that was out of reach for a while costs one cut once it is back") {
  OriginConcurrencyLimiter l = OriginConcurrencyLimiter::for_router_count(300);
  double now = 0;
  for (int i = 0; i < 200; ++i) {
    now += 60;
    l.on_attempt_sent(now);
    l.on_attempt_ended(now, answered(50, 750, static_cast<std::uint32_t>(l.limit())));
  }
  const double before = l.limit();
  for (int i = 0; i < 14; ++i)
    l.on_attempt_ended(
        now += 500,
        {.outcome = AttemptEnding::ConnectFailed, .elapsed_ms = 250, .latency_objective_ms = 750});
  CHECK(l.limit() < 0.1 * before); // while it lasts
  l.on_attempt_ended(now += 60, answered(50, 750, 0));
  CHECK(l.limit() > 0.6 * before);
  // One that is swamped, where some come in and most do not, is cut further each time.
  for (int i = 0; i < 20; ++i) {
    for (int k = 0; k < 3; ++k)
      l.on_attempt_ended(
          now += 500,
          {.outcome = AttemptEnding::ConnectFailed, .elapsed_ms = 250, .latency_objective_ms = 750});
    l.on_attempt_ended(now += 60, answered(700, 750, 0));
  }
  CHECK(l.limit() < 0.1 * before);
}

TEST_CASE("a limit that is used grows, one that is turned away falls") {
  OriginConcurrencyLimiter l = OriginConcurrencyLimiter::for_router_count(1);
  const double before = l.limit();
  double now = 0;
  for (int i = 0; i < 50; ++i) {
    now += 10;
    l.on_attempt_sent(now);
    l.on_attempt_ended(now, answered(50, 750, static_cast<std::uint32_t>(l.limit())));
  }
  CHECK(l.limit() > before);
  const double grown = l.limit();
  CHECK(l.on_attempt_ended(
            now, {.outcome = AttemptEnding::Rejected, .elapsed_ms = 1, .latency_objective_ms = 750}) ==
        DecreaseReason::Rejected);
  CHECK(l.limit() < grown);
}

// Found in the lab at 256 routers: half of them came back to a ledger that answered nobody in time, and each kept one
// attempt out for ever, whatever its limit.
TEST_CASE("one that had no answer yet goes by the response time that the others saw") {
  OriginConcurrencyLimiter l = OriginConcurrencyLimiter::for_router_count(256);
  CHECK(l.has_capacity(0, 0, false));
  l.on_attempt_sent(0);
  CHECK(l.has_capacity(500, 0, false)); // alone it knows no pace
  l.set_fleet_latency(500, 1000, 500);
  CHECK_FALSE(l.has_capacity(500, 0, false));
  CHECK(l.has_capacity(9000, 0, false));
}

TEST_CASE("a limit below one falls by the others' response time, once for what was seen since") {
  OriginConcurrencyLimiter l = OriginConcurrencyLimiter::for_router_count(256);
  l.on_attempt_sent(0);
  l.on_attempt_ended(200, answered(200, 750, 0));
  const double before = l.limit();
  double now = 1000;
  l.set_fleet_latency(now, 700, 500);
  const double cut = l.limit();
  CHECK(cut < 0.9 * before);
  for (; now < 2000; now += 250) l.set_fleet_latency(now, 700, 500);
  CHECK(l.limit() == cut); // what they say was sent before the cut
  l.set_fleet_latency(2250, 700, 500);
  CHECK(l.limit() < cut);
  OriginConcurrencyLimiter whole =
      OriginConcurrencyLimiter::for_router_count(4); // an attempt and more learn by their own answers
  whole.on_attempt_sent(0);
  whole.on_attempt_ended(200, answered(200, 750, 0));
  const double held = whole.limit(), recent = whole.latency_ms();
  whole.set_fleet_latency(1000, 700, 500);
  CHECK(whole.limit() == held);
  CHECK(whole.latency_ms() == recent);
}

TEST_CASE("a pace is given up as soon as the others wait longer, and taken back slowly") {
  OriginConcurrencyLimiter l = OriginConcurrencyLimiter::for_router_count(256);
  double now = 0;
  l.set_fleet_latency(now, 200, 300);
  const auto rounds = [&](int n, double ms) {
    for (int i = 0; i < n; ++i) l.set_fleet_latency(now += 250, ms, 300);
    return l.latency_ms();
  };
  CHECK(rounds(10, 1000) > 800);
  CHECK(rounds(10, 200) > 400);
  CHECK(rounds(60, 200) < 300);
}
