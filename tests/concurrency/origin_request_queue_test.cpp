// Order of requests in the origin request queue, and removal of late requests.
#include "concurrency/origin_request_queue.h"

#include <doctest/doctest.h>

#include <vector>

using fernward::concurrency::OriginRequestQueue;

TEST_CASE("the highest priority weight is first then the newest and writes where reads may not be sent") {
  OriginRequestQueue q;
  CHECK(q.add(0, 1, 3, 1000, false));
  CHECK(q.add(1, 2, 8, 1000, true));
  CHECK(q.add(2, 3, 3, 1000, false));
  CHECK(q.add(3, 4, 9, 1000, false));
  CHECK_FALSE(q.add(3, 4, 9, 1000, false)); // queued already
  CHECK(q.take(4, false, true) == 2);
  CHECK(q.take(4, true, true) == 4);
  CHECK(q.take(4, true, true) == 3);
  CHECK(q.remove(1));
  CHECK_FALSE(q.remove(1));
  CHECK(q.size() == 0);
  CHECK_FALSE(q.take(4, true, true).has_value());
}

TEST_CASE("a read that will be late is not queued or is removed and a write stays queued") {
  OriginRequestQueue q;
  q.set_service_rate(0.02, 50); // an attempt every 50 ms
  for (OriginRequestQueue::Id id = 1; id <= 20; ++id) CHECK(q.add(0, id, 5, 10000, false));
  CHECK_FALSE(q.add(0, 21, 1, 200, false)); // 20 attempts ahead: a second
  CHECK(q.add(0, 22, 1, 200, true));
  CHECK(q.add(0, 23, 1, 700, false));
  std::vector<OriginRequestQueue::Id> left;
  q.take_expired(0, left);
  CHECK(left.empty());
  q.set_service_rate(0.004, 50); // the origin slows down: the last requests of higher weight are late too
  q.take_expired(9000, left);
  CHECK(left.size() > 5);
  CHECK(q.retry_after_ms() > 1000);
  CHECK(q.remove(22));
}

TEST_CASE("in a full queue a request of higher priority weight evicts the last one") {
  OriginRequestQueue q(2);
  CHECK(q.add(0, 1, 1, 1000, false));
  CHECK(q.add(0, 2, 2, 1000, false));
  CHECK_FALSE(q.add(0, 3, 1, 1000, false));
  CHECK(q.add(0, 4, 3, 1000, false));
  CHECK(q.size() == 2);
  std::vector<OriginRequestQueue::Id> left;
  q.take_expired(0, left);
  CHECK(left == std::vector<OriginRequestQueue::Id>{1});
}
