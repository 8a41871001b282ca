// What may be out at once: the cases that a limit exists for.
#include "limits/limiter.h"

#include <doctest/doctest.h>

using namespace fernward::limits;

namespace {

Sample answered(double elapsed_ms, double aim_ms, std::uint32_t out) {
  return {.ending = Ending::Answered, .elapsed_ms = elapsed_ms, .aim_ms = aim_ms, .out = out};
}

} // namespace

TEST_CASE("a write gets its turn however low the limit") {
  Limiter l = Limiter::origin(4);
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
  Limiter l = Limiter::origin(300);
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
  Limiter l = Limiter::origin(1);
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
