// The statistics registry: each request is counted once, by its first outcome.
#include <doctest/doctest.h>

#include "figures/router_stats.h"

using fernward::figures::Outcome;
using fernward::figures::RouterStats;

TEST_CASE("a request is counted once even if its tracker is moved or destroyed") {
  RouterStats stats({"read", "book"});
  {
    RouterStats::RequestTracker request = stats.track_request(0);
    CHECK(stats.active_requests() == 0); // its body is incomplete
    request.set_complete();
    request.set_complete();
    CHECK(stats.active_requests() == 1);
    RouterStats::RequestTracker moved_request = std::move(request);
    moved_request.end(Outcome::Answered);
    moved_request.end(Outcome::Errored);
    CHECK(stats.active_requests() == 0);
  }
  CHECK(stats.count(0, Outcome::Answered) == 1);
  CHECK(stats.total(Outcome::Errored) + stats.total(Outcome::ClientDisconnected) == 0);
  { RouterStats::RequestTracker abandoned_request = stats.track_request(1); }
  CHECK(stats.count(1, Outcome::ClientDisconnected) == 1); // the client disconnected before its response
  RouterStats::RequestTracker next_request = stats.track_request(0);
  next_request.set_complete();
  next_request = stats.track_request(1); // the next request of its connection
  CHECK(stats.active_requests() == 0);
  CHECK(stats.count(0, Outcome::ClientDisconnected) == 1);
}

TEST_CASE("every class is written even with zero counts") {
  RouterStats stats({"read", "book"});
  stats.add_gauge("cluster_size", [] { return 7.0; });
  stats.count_attempt();
  CHECK(stats.to_text() ==
        "router.answered.read=0\nrouter.deferred.read=0\nrouter.errored.read=0\n"
        "router.answered.book=0\nrouter.deferred.book=0\nrouter.errored.book=0\n"
        "router.sends=1\nrouter.current=0\nrouter.cluster_size=7\n");
  stats.set_class_names({"read", "\nbook", "late"}); // a reload removes one and adds one; indexes stay
  stats.track_request(2).end(Outcome::Deferred);
  CHECK(stats.to_text().find("book") == std::string::npos);
  CHECK(stats.to_text().find("router.deferred.late=1\n") != std::string::npos);
}
