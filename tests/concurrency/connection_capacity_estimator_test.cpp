#include "concurrency/connection_capacity_estimator.h"

#include <doctest/doctest.h>

using fernward::concurrency::ConnectionCapacityEstimator;

TEST_CASE("capacity is unbounded until a connection is refused and then one more is tried after a wait") {
  ConnectionCapacityEstimator estimator;
  CHECK(estimator.has_capacity(0, 1000));
  estimator.on_connection_refused(1000, 2, 100, 0.5);
  CHECK(estimator.has_capacity(1000, 1));
  CHECK_FALSE(estimator.has_capacity(1000, 2));
  CHECK_FALSE(estimator.has_capacity(1099, 2));
  CHECK(estimator.has_capacity(1100, 2));            // one response time later
  estimator.on_connection_refused(60000, 0, 100, 1); // refused with none in use; the draw spreads the trials
  CHECK_FALSE(estimator.has_capacity(60149, 0));
  CHECK(estimator.has_capacity(60150, 0));
}

TEST_CASE("only one trial is in flight at a time") {
  ConnectionCapacityEstimator estimator;
  estimator.on_connection_refused(1000, 1, 100, 0.5);
  REQUIRE(estimator.has_capacity(1100, 1));
  estimator.on_attempt_sent(1100, 1);
  CHECK_FALSE(estimator.has_capacity(1101, 2));
  CHECK(estimator.has_capacity(1101, 0)); // attempts within the capacity are still allowed
  estimator.on_connection_used(2);
  CHECK(estimator.has_capacity(1150, 1));
}

TEST_CASE("refusals at the same time count once and a further accepted connection ends the wait") {
  ConnectionCapacityEstimator estimator;
  estimator.on_connection_refused(1000, 3, 100, 0.5);
  estimator.on_connection_refused(1001, 2, 100, 0.5);
  CHECK_FALSE(estimator.has_capacity(1050, 2));
  CHECK(estimator.has_capacity(1100, 2));
  estimator.on_connection_used(4);
  CHECK(estimator.capacity() == 4);
  estimator.on_connection_used(1); // fewer connections in use do not lower the capacity
  CHECK(estimator.capacity() == 4);
  estimator.on_connection_refused(2000, 4, 100, 0.5);
  CHECK(estimator.has_capacity(2100, 4));
}
