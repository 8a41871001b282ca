// Order of requests in the origin request queue, and removal of late requests.
#include "concurrency/origin_request_queue.h"

#include <doctest/doctest.h>

#include <vector>

using fernward::concurrency::OriginRequestQueue;

TEST_CASE("the highest priority weight is first then the newest and writes where reads may not be sent") {
  OriginRequestQueue queue;
  CHECK(queue.add(0, 1, 3, 1000, false));
  CHECK(queue.add(1, 2, 8, 1000, true));
  CHECK(queue.add(2, 3, 3, 1000, false));
  CHECK(queue.add(3, 4, 9, 1000, false));
  CHECK_FALSE(queue.add(3, 4, 9, 1000, false)); // queued already
  CHECK(queue.take(4, false, true) == 2);
  CHECK(queue.take(4, true, true) == 4);
  CHECK(queue.take(4, true, true) == 3);
  CHECK(queue.remove(1));
  CHECK_FALSE(queue.remove(1));
  CHECK(queue.size() == 0);
  CHECK_FALSE(queue.take(4, true, true).has_value());
}

TEST_CASE("a read that will be late is not queued or is removed and a write stays queued") {
  OriginRequestQueue queue;
  queue.set_service_rate(0.02, 50); // an attempt every 50 ms
  for (OriginRequestQueue::Id id = 1; id <= 20; ++id) CHECK(queue.add(0, id, 5, 10000, false));
  CHECK_FALSE(queue.add(0, 21, 1, 200, false)); // 20 attempts ahead: a second
  CHECK(queue.add(0, 22, 1, 200, true));
  CHECK(queue.add(0, 23, 1, 700, false));
  std::vector<OriginRequestQueue::Id> expired;
  queue.take_expired(0, expired);
  CHECK(expired.empty());
  queue.set_service_rate(0.004, 50); // the origin slows down: the last requests of higher weight are late too
  queue.take_expired(9000, expired);
  CHECK(expired.size() > 5);
  CHECK(queue.retry_after_ms() > 1000);
  CHECK(queue.remove(22));
}

TEST_CASE("in a full queue a request of higher priority weight evicts the last one") {
  OriginRequestQueue queue(2);
  CHECK(queue.add(0, 1, 1, 1000, false));
  CHECK(queue.add(0, 2, 2, 1000, false));
  CHECK_FALSE(queue.add(0, 3, 1, 1000, false));
  CHECK(queue.add(0, 4, 3, 1000, false));
  CHECK(queue.size() == 2);
  std::vector<OriginRequestQueue::Id> expired;
  queue.take_expired(0, expired);
  CHECK(expired == std::vector<OriginRequestQueue::Id>{1});
}
