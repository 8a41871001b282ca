// One budget for retries and hedged requests.
#include "concurrency/retry_budget.h"

#include <doctest/doctest.h>

using fernward::concurrency::RetryBudget;
using Use = RetryBudget::Use;

namespace {

// Sends requests of which a share of the attempts fail; `congested`: each attempt indicates congestion.
// Returns the share of failed attempts that could be retried.
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

TEST_CASE("with proven capacity nearly all failed attempts are retried") {
  RetryBudget a;
  double now = 0;
  tried_again(a, now, 2000, 0, false, 0.2);
  CHECK(tried_again(a, now, 3000, 3, false, 0.2) > 0.95);
}

TEST_CASE("under congestion at most a tenth of the requests is retried whatever the balance was") {
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

TEST_CASE("a fully utilized server gets no hedged request while the fleet has capacity") {
  RetryBudget a;
  double now = 0;
  tried_again(a, now, 2000, 0, false, 0.2);
  CHECK(a.proven_capacity() > 0.9);
  CHECK_FALSE(a.try_consume(now, Use::Hedge, 1.5));
  CHECK(a.try_consume(now, Use::Hedge, 0.5));
}
