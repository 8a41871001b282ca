// Retries and second copies from one budget.
#include "concurrency/retry_budget.h"

#include <doctest/doctest.h>

using fernward::concurrency::RetryBudget;
using Use = RetryBudget::Use;

namespace {

// A day of requests, a share of whose attempts fail without a sign of crowding, or each with one. Returns the
// share of the failed attempts that could be tried again.
double tried_again(RetryBudget& a, double& now, int requests, int fails_of_ten, bool crowded,
                   double crowding) {
  int failed = 0, again = 0;
  for (int i = 0; i < requests; ++i) {
    now += 10;
    a.on_request(now, 1);
    int attempt = i;
    do {
      a.on_attempt_ended(now, crowded);
      if (attempt % 10 >= fails_of_ten) break;
      ++failed;
      attempt = attempt * 7 + 3;
    } while (a.try_consume(now, Use::Retry, crowding) && ++again > 0);
  }
  return failed == 0 ? 1 : static_cast<double>(again) / failed;
}

} // namespace

TEST_CASE("with proven room nearly all failed attempts are tried again") {
  RetryBudget a;
  double now = 0;
  tried_again(a, now, 2000, 0, false, 0.2);
  CHECK(tried_again(a, now, 3000, 3, false, 0.2) > 0.95);
}

TEST_CASE("under crowding no more than a tenth of the requests is tried again, however much was saved up") {
  RetryBudget a;
  double now = 0;
  tried_again(a, now, 2000, 0, false, 0.2);
  int again = 0;
  for (int i = 0; i < 1000; ++i) {
    now += 10;
    a.on_request(now, 1);
    a.on_attempt_ended(now, true);
    again += a.try_consume(now, Use::Retry, 2);
    again += a.try_consume(now, Use::Hedge, 2);
  }
  CHECK(again <= 130);
  CHECK(again >= 90);
  CHECK(a.proven_capacity() == 0);
}

TEST_CASE("a crowded server gets no second copy while the fleet has room") {
  RetryBudget a;
  double now = 0;
  tried_again(a, now, 2000, 0, false, 0.2);
  CHECK(a.proven_capacity() > 0.9);
  CHECK_FALSE(a.try_consume(now, Use::Hedge, 1.5));
  CHECK(a.try_consume(now, Use::Hedge, 0.5));
}
