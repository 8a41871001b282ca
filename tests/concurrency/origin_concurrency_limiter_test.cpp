// What may be out at once: the cases that a limit exists for.
#include "concurrency/origin_concurrency_limiter.h"

#include <doctest/doctest.h>

using namespace fernward::concurrency;

namespace {

Sample answered(double elapsed_ms, double aim_ms, std::uint32_t out) {
  return {.ending = Ending::Answered, .elapsed_ms = elapsed_ms, .aim_ms = aim_ms, .out = out};
}

} // namespace

TEST_CASE("a write gets its turn however low the limit") {
  OriginConcurrencyLimiter l = OriginConcurrencyLimiter::origin(4);
  double now = 0;
  for (int i = 0; i < 400; ++i) {
    now += 500;
    l.sent(now);
    l.ended(now, {.ending = Ending::TurnedAway, .elapsed_ms = 1, .aim_ms = 750});
  }
  CHECK(l.limit() < 1);
  CHECK(l.room(now, 0, true));
  CHECK_FALSE(l.room(now, 8, true));
}

// Found on full-size days: a part of the tier could not reach the ledger for 7 s and was left with a 2400th of an attempt.
TEST_CASE("a server that was out of reach for a while costs one cut once it is back") {
  OriginConcurrencyLimiter l = OriginConcurrencyLimiter::origin(300);
  double now = 0;
  for (int i = 0; i < 200; ++i) {
    now += 60;
    l.sent(now);
    l.ended(now, answered(50, 750, static_cast<std::uint32_t>(l.limit())));
  }
  const double before = l.limit();
  for (int i = 0; i < 14; ++i)
    l.ended(now += 500, {.ending = Ending::Unreached, .elapsed_ms = 250, .aim_ms = 750});
  CHECK(l.limit() < 0.1 * before); // while it lasts
  l.ended(now += 60, answered(50, 750, 0));
  CHECK(l.limit() > 0.6 * before);
  // One that is swamped, where some come in and most do not, is cut further each time.
  for (int i = 0; i < 20; ++i) {
    for (int k = 0; k < 3; ++k)
      l.ended(now += 500, {.ending = Ending::Unreached, .elapsed_ms = 250, .aim_ms = 750});
    l.ended(now += 60, answered(700, 750, 0));
  }
  CHECK(l.limit() < 0.1 * before);
}

TEST_CASE("a limit that is used grows, one that is turned away falls") {
  OriginConcurrencyLimiter l = OriginConcurrencyLimiter::origin(1);
  const double before = l.limit();
  double now = 0;
  for (int i = 0; i < 50; ++i) {
    now += 10;
    l.sent(now);
    l.ended(now, answered(50, 750, static_cast<std::uint32_t>(l.limit())));
  }
  CHECK(l.limit() > before);
  const double grown = l.limit();
  CHECK(l.ended(now, {.ending = Ending::TurnedAway, .elapsed_ms = 1, .aim_ms = 750}) == Sign::TurnedAway);
  CHECK(l.limit() < grown);
}

// Found in the lab at 256 routers: half of them came back to a ledger that answered nobody in time, and each kept one
// attempt out for ever, whatever its limit.
TEST_CASE("one that had no answer yet goes by the response time that the others saw") {
  OriginConcurrencyLimiter l = OriginConcurrencyLimiter::origin(256);
  CHECK(l.room(0, 0, false));
  l.sent(0);
  CHECK(l.room(500, 0, false)); // alone it knows no pace
  l.pooled(500, 1000, 500);
  CHECK_FALSE(l.room(500, 0, false));
  CHECK(l.room(9000, 0, false));
}

TEST_CASE("a limit below one falls by the others' response time, once for what was seen since") {
  OriginConcurrencyLimiter l = OriginConcurrencyLimiter::origin(256);
  l.sent(0);
  l.ended(200, answered(200, 750, 0));
  const double before = l.limit();
  double now = 1000;
  l.pooled(now, 700, 500);
  const double cut = l.limit();
  CHECK(cut < 0.9 * before);
  for (; now < 2000; now += 250) l.pooled(now, 700, 500);
  CHECK(l.limit() == cut); // what they say was sent before the cut
  l.pooled(2250, 700, 500);
  CHECK(l.limit() < cut);
  OriginConcurrencyLimiter whole =
      OriginConcurrencyLimiter::origin(4); // an attempt and more learn by their own answers
  whole.sent(0);
  whole.ended(200, answered(200, 750, 0));
  const double held = whole.limit(), recent = whole.recent_ms();
  whole.pooled(1000, 700, 500);
  CHECK(whole.limit() == held);
  CHECK(whole.recent_ms() == recent);
}

TEST_CASE("a pace is given up as soon as the others wait longer, and taken back slowly") {
  OriginConcurrencyLimiter l = OriginConcurrencyLimiter::origin(256);
  double now = 0;
  l.pooled(now, 200, 300);
  const auto rounds = [&](int n, double ms) {
    for (int i = 0; i < n; ++i) l.pooled(now += 250, ms, 300);
    return l.recent_ms();
  };
  CHECK(rounds(10, 1000) > 800);
  CHECK(rounds(10, 200) > 400);
  CHECK(rounds(60, 200) < 300);
}
