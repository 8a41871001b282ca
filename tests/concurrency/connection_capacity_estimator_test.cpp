#include "concurrency/connection_capacity_estimator.h"

#include <doctest/doctest.h>

using fernward::concurrency::ConnectionCapacityEstimator;

TEST_CASE(
    "what was never refused has no bound, what was keeps to what was had, and tries one more after a wait") {
  ConnectionCapacityEstimator p;
  CHECK(p.room(0, 1000));
  p.refused(1000, 2, 100, 0.5);
  CHECK(p.room(1000, 1));
  CHECK_FALSE(p.room(1000, 2));
  CHECK_FALSE(p.room(1099, 2));
  CHECK(p.room(1100, 2));      // one response time later
  p.refused(60000, 0, 100, 1); // the last of them are lost; all try again at different times
  CHECK_FALSE(p.room(60149, 0));
  CHECK(p.room(60150, 0));
}

TEST_CASE("a trial goes alone") {
  ConnectionCapacityEstimator p;
  p.refused(1000, 1, 100, 0.5);
  REQUIRE(p.room(1100, 1));
  p.sent(1100, 1);
  CHECK_FALSE(p.room(1101, 2));
  CHECK(p.room(1101, 0)); // what needs no further connection goes on
  p.had(2);
  CHECK(p.room(1150, 1));
}

TEST_CASE("several that were refused together are one sign, a further one that was had ends the wait") {
  ConnectionCapacityEstimator p;
  p.refused(1000, 3, 100, 0.5);
  p.refused(1001, 2, 100, 0.5);
  CHECK_FALSE(p.room(1050, 2));
  CHECK(p.room(1100, 2));
  p.had(4);
  CHECK(p.most() == 4);
  p.had(1); // tells nothing of the others
  CHECK(p.most() == 4);
  p.refused(2000, 4, 100, 0.5);
  CHECK(p.room(2100, 4));
}
