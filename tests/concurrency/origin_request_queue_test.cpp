// Who waits for a turn at the origin, and who leaves.
#include "concurrency/origin_request_queue.h"

#include <doctest/doctest.h>

#include <vector>

using fernward::concurrency::OriginRequestQueue;

TEST_CASE("the dearest goes first, then the newest, a write where reads have no room") {
  OriginRequestQueue q;
  CHECK(q.add(0, 1, 3, 1000, false));
  CHECK(q.add(1, 2, 8, 1000, true));
  CHECK(q.add(2, 3, 3, 1000, false));
  CHECK(q.add(3, 4, 9, 1000, false));
  CHECK_FALSE(q.add(3, 4, 9, 1000, false)); // waits already
  CHECK(q.take(4, false, true) == 2);
  CHECK(q.take(4, true, true) == 4);
  CHECK(q.take(4, true, true) == 3);
  CHECK(q.remove(1));
  CHECK_FALSE(q.remove(1));
  CHECK(q.size() == 0);
  CHECK_FALSE(q.take(4, true, true).has_value());
}

TEST_CASE("a read that will surely be late is not taken, and leaves once that is clear, a write stays") {
  OriginRequestQueue q;
  q.set_service_rate(0.02, 50); // a turn each 50 ms
  for (OriginRequestQueue::Id id = 1; id <= 20; ++id) CHECK(q.add(0, id, 5, 10000, false));
  CHECK_FALSE(q.add(0, 21, 1, 200, false)); // 20 turns ahead: a second
  CHECK(q.add(0, 22, 1, 200, true));
  CHECK(q.add(0, 23, 1, 700, false));
  std::vector<OriginRequestQueue::Id> left;
  q.take_expired(0, left);
  CHECK(left.empty());
  q.set_service_rate(0.004, 50); // the origin slows down: the last of the dear ones is late too
  q.take_expired(9000, left);
  CHECK(left.size() > 5);
  CHECK(q.retry_after_ms() > 1000);
  CHECK(q.remove(22));
}

TEST_CASE("where all places are taken, a dearer one puts out the last") {
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
