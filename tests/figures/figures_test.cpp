// The statistics registry: each request is counted once, by its first outcome.
#include <doctest/doctest.h>

#include "figures/figures.h"

using fernward::figures::Figures;
using fernward::figures::Outcome;

TEST_CASE("a request is counted once even if its tracker is moved or destroyed") {
  Figures f({"read", "book"});
  {
    Figures::Taken taken = f.take(0);
    CHECK(f.current() == 0); // its body is incomplete
    taken.whole();
    taken.whole();
    CHECK(f.current() == 1);
    Figures::Taken moved = std::move(taken);
    moved.end(Outcome::Answered);
    moved.end(Outcome::Errored);
    CHECK(f.current() == 0);
  }
  CHECK(f.count(0, Outcome::Answered) == 1);
  CHECK(f.all(Outcome::Errored) + f.all(Outcome::Gone) == 0);
  { Figures::Taken left = f.take(1); }
  CHECK(f.count(1, Outcome::Gone) == 1); // the client disconnected before its response
  Figures::Taken again = f.take(0);
  again.whole();
  again = f.take(1); // the next request of its connection
  CHECK(f.current() == 0);
  CHECK(f.count(0, Outcome::Gone) == 1);
}

TEST_CASE("every class is written even with zero counts") {
  Figures f({"read", "book"});
  f.gauge("cluster_size", [] { return 7.0; });
  f.sent();
  CHECK(f.lines() ==
        "router.answered.read=0\nrouter.deferred.read=0\nrouter.errored.read=0\n"
        "router.answered.book=0\nrouter.deferred.book=0\nrouter.errored.book=0\n"
        "router.sends=1\nrouter.current=0\nrouter.cluster_size=7\n");
  f.name({"read", "\nbook", "late"}); // a reload removes one and adds one; indexes stay
  f.take(2).end(Outcome::Deferred);
  CHECK(f.lines().find("book") == std::string::npos);
  CHECK(f.lines().find("router.deferred.late=1\n") != std::string::npos);
}
