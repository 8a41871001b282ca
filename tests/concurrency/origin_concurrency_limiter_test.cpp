// Concurrency limit of attempts to the origin: the cases that the limiter exists for.
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

TEST_CASE("a write is sent at any limit if none is in flight") {
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

// Guards against a limit that collapses during a network fault: routers that could not connect to the origin
// for 7 s were left with a limit of 1/2400 of an attempt.
TEST_CASE("a server that was unreachable for a while causes a single decrease") {
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
  CHECK(l.limit() < 0.1 * before); // during the fault
  l.on_attempt_ended(now += 60, answered(50, 750, 0));
  CHECK(l.limit() > 0.6 * before);
  // An overloaded server, which accepts some connections and refuses most, causes further decreases each
  // time.
  for (int i = 0; i < 20; ++i) {
    for (int k = 0; k < 3; ++k)
      l.on_attempt_ended(
          now += 500,
          {.outcome = AttemptEnding::ConnectFailed, .elapsed_ms = 250, .latency_objective_ms = 750});
    l.on_attempt_ended(now += 60, answered(700, 750, 0));
  }
  CHECK(l.limit() < 0.1 * before);
}

TEST_CASE("a used limit grows and a rejected attempt decreases it") {
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

// Guards against an origin that never recovers: with 256 routers, half of them reconnected to an origin that
// answered no attempt in time, and each kept one attempt in flight for ever, whatever its limit.
TEST_CASE("a limiter without a response uses the fleet latency") {
  OriginConcurrencyLimiter l = OriginConcurrencyLimiter::for_router_count(256);
  CHECK(l.has_capacity(0, 0, false));
  l.on_attempt_sent(0);
  CHECK(l.has_capacity(500, 0, false)); // without the fleet latency the rate is unknown
  l.set_fleet_latency(500, 1000, 500);
  CHECK_FALSE(l.has_capacity(500, 0, false));
  CHECK(l.has_capacity(9000, 0, false));
}

TEST_CASE("a limit below one decreases by the fleet latency once per lag") {
  OriginConcurrencyLimiter l = OriginConcurrencyLimiter::for_router_count(256);
  l.on_attempt_sent(0);
  l.on_attempt_ended(200, answered(200, 750, 0));
  const double before = l.limit();
  double now = 1000;
  l.set_fleet_latency(now, 700, 500);
  const double cut = l.limit();
  CHECK(cut < 0.9 * before);
  for (; now < 2000; now += 250) l.set_fleet_latency(now, 700, 500);
  CHECK(l.limit() == cut); // measured before the decrease took effect
  l.set_fleet_latency(2250, 700, 500);
  CHECK(l.limit() < cut);
  // A limit above one follows its own responses.
  OriginConcurrencyLimiter whole = OriginConcurrencyLimiter::for_router_count(4);
  whole.on_attempt_sent(0);
  whole.on_attempt_ended(200, answered(200, 750, 0));
  const double held = whole.limit(), recent = whole.latency_ms();
  whole.set_fleet_latency(1000, 700, 500);
  CHECK(whole.limit() == held);
  CHECK(whole.latency_ms() == recent);
}

TEST_CASE("a rise of the fleet latency is followed at once and a fall slowly") {
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
