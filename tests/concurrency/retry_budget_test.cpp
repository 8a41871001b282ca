// One budget for retries and hedged requests.
#include "concurrency/retry_budget.h"

#include <doctest/doctest.h>

using fernward::concurrency::RetryBudget;
using Use = RetryBudget::Use;

namespace {

// Sends requests of which a share of the attempts fail; `congested`: each attempt indicates congestion.
// Returns the share of failed attempts that could be retried.
double retried_share(RetryBudget& budget, double& now, int requests, int failures_of_ten, bool congested,
                     double utilization) {
  int failed = 0, retries = 0;
  for (int i = 0; i < requests; ++i) {
    now += 10;
    budget.on_request(now, 1);
    int attempt = i;
    do {
      budget.on_attempt_ended(now, congested);
      if (attempt % 10 >= failures_of_ten) break;
      ++failed;
      attempt = attempt * 7 + 3;
    } while (budget.try_consume(now, Use::Retry, utilization) && ++retries > 0);
  }
  return failed == 0 ? 1 : static_cast<double>(retries) / failed;
}

} // namespace

TEST_CASE("with proven capacity nearly all failed attempts are retried") {
  RetryBudget budget;
  double now = 0;
  retried_share(budget, now, 2000, 0, false, 0.2);
  CHECK(retried_share(budget, now, 3000, 3, false, 0.2) > 0.95);
}

TEST_CASE("under congestion at most a tenth of the requests is retried whatever the balance was") {
  RetryBudget budget;
  double now = 0;
  retried_share(budget, now, 2000, 0, false, 0.2);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    now += 10;
    budget.on_request(now, 1);
    budget.on_attempt_ended(now, true);
    retries += budget.try_consume(now, Use::Retry, 2);
    retries += budget.try_consume(now, Use::Hedge, 2);
  }
  CHECK(retries <= 130);
  CHECK(retries >= 90);
  CHECK(budget.proven_capacity() == 0);
}

TEST_CASE("a fully utilized server gets no hedged request while the fleet has capacity") {
  RetryBudget budget;
  double now = 0;
  retried_share(budget, now, 2000, 0, false, 0.2);
  CHECK(budget.proven_capacity() > 0.9);
  CHECK_FALSE(budget.try_consume(now, Use::Hedge, 1.5));
  CHECK(budget.try_consume(now, Use::Hedge, 0.5));
}
