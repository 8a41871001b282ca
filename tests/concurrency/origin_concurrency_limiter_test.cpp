// Concurrency limit of attempts to the origin: the cases that the limiter exists for.
#include "concurrency/origin_concurrency_limiter.h"

#include <doctest/doctest.h>

using namespace fernward::concurrency;

namespace {

AttemptSample answered_sample(double elapsed_ms, double objective_ms, std::uint32_t in_flight) {
  return {.ending = AttemptEnding::Answered,
          .elapsed_ms = elapsed_ms,
          .latency_objective_ms = objective_ms,
          .in_flight = in_flight};
}

} // namespace

TEST_CASE("a write is sent at any limit if none is in flight") {
  OriginConcurrencyLimiter limiter = OriginConcurrencyLimiter::for_router_count(4);
  double now = 0;
  for (int i = 0; i < 400; ++i) {
    now += 500;
    limiter.on_attempt_sent(now);
    limiter.on_attempt_ended(
        now, {.ending = AttemptEnding::Rejected, .elapsed_ms = 1, .latency_objective_ms = 750});
  }
  CHECK(limiter.limit() < 1);
  CHECK(limiter.has_capacity(now, 0, true));
  CHECK_FALSE(limiter.has_capacity(now, 8, true));
}

// Guards against a limit that collapses during a network fault: routers that could not connect to the origin
// for 7 s were left with a limit of 1/2400 of an attempt.
TEST_CASE("a server that was unreachable for a while causes a single decrease") {
  OriginConcurrencyLimiter limiter = OriginConcurrencyLimiter::for_router_count(300);
  double now = 0;
  for (int i = 0; i < 200; ++i) {
    now += 60;
    limiter.on_attempt_sent(now);
    limiter.on_attempt_ended(now, answered_sample(50, 750, static_cast<std::uint32_t>(limiter.limit())));
  }
  const double limit_before = limiter.limit();
  for (int i = 0; i < 14; ++i)
    limiter.on_attempt_ended(
        now += 500, {.ending = AttemptEnding::ConnectFailed, .elapsed_ms = 250, .latency_objective_ms = 750});
  CHECK(limiter.limit() < 0.1 * limit_before); // during the fault
  limiter.on_attempt_ended(now += 60, answered_sample(50, 750, 0));
  CHECK(limiter.limit() > 0.6 * limit_before);
  // An overloaded server, which accepts some connections and refuses most, causes further decreases each
  // time.
  for (int i = 0; i < 20; ++i) {
    for (int k = 0; k < 3; ++k)
      limiter.on_attempt_ended(
          now += 500,
          {.ending = AttemptEnding::ConnectFailed, .elapsed_ms = 250, .latency_objective_ms = 750});
    limiter.on_attempt_ended(now += 60, answered_sample(700, 750, 0));
  }
  CHECK(limiter.limit() < 0.1 * limit_before);
}

TEST_CASE("a used limit grows and a rejected attempt decreases it") {
  OriginConcurrencyLimiter limiter = OriginConcurrencyLimiter::for_router_count(1);
  const double limit_before = limiter.limit();
  double now = 0;
  for (int i = 0; i < 50; ++i) {
    now += 10;
    limiter.on_attempt_sent(now);
    limiter.on_attempt_ended(now, answered_sample(50, 750, static_cast<std::uint32_t>(limiter.limit())));
  }
  CHECK(limiter.limit() > limit_before);
  const double grown_limit = limiter.limit();
  CHECK(limiter.on_attempt_ended(
            now, {.ending = AttemptEnding::Rejected, .elapsed_ms = 1, .latency_objective_ms = 750}) ==
        DecreaseReason::Rejected);
  CHECK(limiter.limit() < grown_limit);
}

// Guards against an origin that never recovers: with 256 routers, half of them reconnected to an origin that
// answered no attempt in time, and each kept one attempt in flight for ever, whatever its limit.
TEST_CASE("a limiter without a response uses the fleet latency") {
  OriginConcurrencyLimiter limiter = OriginConcurrencyLimiter::for_router_count(256);
  CHECK(limiter.has_capacity(0, 0, false));
  limiter.on_attempt_sent(0);
  CHECK(limiter.has_capacity(500, 0, false)); // without the fleet latency the rate is unknown
  limiter.set_fleet_latency(500, 1000, 500);
  CHECK_FALSE(limiter.has_capacity(500, 0, false));
  CHECK(limiter.has_capacity(9000, 0, false));
}

TEST_CASE("a limit below one decreases by the fleet latency once per lag") {
  OriginConcurrencyLimiter limiter = OriginConcurrencyLimiter::for_router_count(256);
  limiter.on_attempt_sent(0);
  limiter.on_attempt_ended(200, answered_sample(200, 750, 0));
  const double limit_before = limiter.limit();
  double now = 1000;
  limiter.set_fleet_latency(now, 700, 500);
  const double decreased_limit = limiter.limit();
  CHECK(decreased_limit < 0.9 * limit_before);
  for (; now < 2000; now += 250) limiter.set_fleet_latency(now, 700, 500);
  CHECK(limiter.limit() == decreased_limit); // measured before the decrease took effect
  limiter.set_fleet_latency(2250, 700, 500);
  CHECK(limiter.limit() < decreased_limit);
  // A limit above one follows its own responses.
  OriginConcurrencyLimiter limiter_above_one = OriginConcurrencyLimiter::for_router_count(4);
  limiter_above_one.on_attempt_sent(0);
  limiter_above_one.on_attempt_ended(200, answered_sample(200, 750, 0));
  const double initial_limit = limiter_above_one.limit(), initial_latency_ms = limiter_above_one.latency_ms();
  limiter_above_one.set_fleet_latency(1000, 700, 500);
  CHECK(limiter_above_one.limit() == initial_limit);
  CHECK(limiter_above_one.latency_ms() == initial_latency_ms);
}

TEST_CASE("a rise of the fleet latency is followed at once and a fall slowly") {
  OriginConcurrencyLimiter limiter = OriginConcurrencyLimiter::for_router_count(256);
  double now = 0;
  limiter.set_fleet_latency(now, 200, 300);
  const auto repeat_fleet_latency = [&](int count, double fleet_latency_ms) {
    for (int i = 0; i < count; ++i) limiter.set_fleet_latency(now += 250, fleet_latency_ms, 300);
    return limiter.latency_ms();
  };
  CHECK(repeat_fleet_latency(10, 1000) > 800);
  CHECK(repeat_fleet_latency(10, 200) > 400);
  CHECK(repeat_fleet_latency(60, 200) < 300);
}
