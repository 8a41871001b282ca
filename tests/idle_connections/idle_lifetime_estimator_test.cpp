// Estimates of the idle lifetime of connections: tables of cases in virtual time, and properties over random
// events.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "idle_connections/idle_lifetime_estimator.h"

using fernward::idle_connections::IdleLifetimeEstimator;
using Use = IdleLifetimeEstimator::Reuse;

namespace {

constexpr double kLongest = 10500;

struct Node {
  double dies_after;        // idle time after which it closes without notice; 0: with the response
  double reset_kept = 0;    // share of requests on reused connections that are reset at any idle time
  double reset_any = 0;     // share of all requests that are reset
  double changes_at = 1e18; // time from which the idle lifetime is:
  double then = kLongest;
  bool says = false; // closes gracefully, which is noticed at once
  double rate = 20;  // requests per second
  double share = 1;  // of the connections idle for that time, closed ones
  double closes = 0; // share of responses after which it closes gracefully
};

struct Outcome {
  int requests = 0, dead = 0, opened = 0; // dead: written to a connection closed while idle
  int dead_late = 0, opened_late = 0;     // in the second half
};

// Requests arrive at random and take 5 to 40 ms; the most recently used connection is reused first. With a
// null estimator every idle time up to the longest is treated as safe.
std::vector<Outcome> play(const std::vector<Node>& nodes, double seconds, IdleLifetimeEstimator* rests,
                          unsigned seed = 1) {
  struct Connection {
    double rested_at;
    bool dead = false;
  };
  struct Out {
    std::size_t node;
    Connection connection;
  };
  std::mt19937 random(seed); // the same draws on every standard library: no distribution of it is used
  const auto unit = [&] { return (static_cast<double>(random()) + 0.5) / 4294967296.0; };
  std::vector<Outcome> outcomes(nodes.size());
  std::vector<std::vector<Connection>> free(nodes.size());
  std::multimap<double, Out> done;
  std::multimap<double, std::size_t> next;
  for (std::size_t n = 0; n < nodes.size(); ++n) next.emplace(-std::log(unit()) / nodes[n].rate * 1000, n);
  while (next.begin()->first < seconds * 1000) {
    if (!done.empty() && done.begin()->first <= next.begin()->first) {
      auto [now, out] = *done.begin();
      done.erase(done.begin());
      out.connection.rested_at = now;
      free[out.node].push_back(out.connection);
      continue;
    }
    const auto [now, n] = *next.begin();
    next.erase(next.begin());
    const Node& node = nodes[n];
    next.emplace(now - std::log(unit()) / node.rate * 1000, n);
    const auto target = static_cast<IdleLifetimeEstimator::EndpointId>(n + 1);
    const double life = now < node.changes_at ? node.dies_after : node.then;
    Outcome& o = outcomes[n];
    const bool late = now > seconds * 500;
    ++o.requests;
    std::erase_if(free[n], [&](const Connection& c) {
      const double rest = now - c.rested_at;
      if (node.says && rest >= life) {
        return true;
      }
      return rest >= (rests != nullptr ? rests->keep_ms(now, target) : kLongest);
    });
    bool kept = false, trial = false;
    double rest = 0;
    if (!free[n].empty()) {
      rest = now - free[n].back().rested_at;
      const Use use = rests != nullptr ? rests->decide_reuse(now, target, rest) : Use::Allowed;
      kept = use != Use::Refused;
      trial = use == Use::Trial;
    }
    const double took = 5 + 35 * unit();
    if (kept) {
      free[n].pop_back();
      const bool dead = rest >= life && unit() < node.share,
                 reset = dead || unit() < node.reset_kept + node.reset_any;
      o.dead += dead;
      o.dead_late += dead && late;
      if (rests != nullptr) rests->on_reuse(now + (reset ? 1 : took), target, rest, trial, reset);
      if (reset) continue;
    } else {
      ++o.opened;
      o.opened_late += late;
      const bool reset = unit() < node.reset_any;
      if (rests != nullptr) rests->on_first_use(now + (reset ? 1 : took), target, reset);
      if (reset) continue;
    }
    if (unit() >= node.closes) done.emplace(now + took, Out{n, {0}});
  }
  return outcomes;
}

Outcome sum(const std::vector<Outcome>& all) {
  Outcome s;
  for (const auto& o : all) {
    s.requests += o.requests, s.dead += o.dead, s.opened += o.opened;
    s.dead_late += o.dead_late, s.opened_late += o.opened_late;
  }
  return s;
}

std::vector<Node> same(int n, Node node) { return std::vector<Node>(static_cast<std::size_t>(n), node); }

} // namespace

// Guards against requests written to connections that were closed without notice, and against needless
// closing.
TEST_CASE("a minute in virtual time: requests on dead connections and opened connections") {
  auto half = same(10, {300});
  for (const Node& node : same(10, {kLongest})) half.push_back(node);
  const struct {
    std::string name;
    std::vector<Node> nodes;
    double dead;   // highest ratio of requests on dead connections, with and without the estimator
    double opened; // highest ratio of opened connections, with and without the estimator
  } table[] = {
      {"20 servers, all healthy", same(20, {kLongest}), 1, 1.02},
      {"20 servers, all healthy, few requests", same(20, {.dies_after = kLongest, .rate = 1}), 1, 1.05},
      {"20 that close after 300 ms", same(20, {300}), 0.1, 1e9},
      {"20 that close after 40 ms", same(20, {40}), 0.1, 1e9},
      {"20 that close after 3 s, few requests", same(20, {.dies_after = 3000, .rate = 1}), 0.2, 1e9},
      {"20 that close with the response", same(20, {0}), 0.02, 1e9},
      {"10 that close after 300 ms, 10 healthy", half, 0.1, 1e9},
      {"20 that close gracefully after 300 ms", same(20, {.dies_after = 300, .says = true}), 1, 1e9},
      {"20 that reset 2% of all", same(20, {.dies_after = kLongest, .reset_any = 0.02}), 1, 1.2},
      {"20 that reset half of all", same(20, {.dies_after = kLongest, .reset_any = 0.5}), 1, 1.1},
      {"20 that reset 5% on reused connections", same(20, {.dies_after = kLongest, .reset_kept = 0.05}), 1,
       1.3},
      {"20 that reset 30% on reused connections", same(20, {.dies_after = kLongest, .reset_kept = 0.3}), 1,
       1.5},
      {"13 that reset half of those idle for 150 ms, 6% of all, and close after 1 in 10 responses",
       same(13, {.dies_after = 150, .reset_any = 0.06, .rate = 30, .share = 0.5, .closes = 0.1}), 0.2, 1e9},
      {"20 healthy, then close after 300 ms",
       same(20, {.dies_after = kLongest, .changes_at = 30000, .then = 300}), 0.25, 1e9},
      {"20 that close after 300 ms, then are healthy",
       same(20, {.dies_after = 300, .changes_at = 20000, .then = kLongest}), 0.15, 1e9},
  };
  for (const auto& row : table) {
    CAPTURE(row.name);
    IdleLifetimeEstimator rests(kLongest);
    const Outcome without = sum(play(row.nodes, 60, nullptr)), with = sum(play(row.nodes, 60, &rests));
    MESSAGE(row.name << ": of " << with.requests << " requests to dead connections " << with.dead
                     << ", before " << without.dead << "; opened " << with.opened << ", before "
                     << without.opened << " (second half " << with.opened_late << ", before "
                     << without.opened_late << ")");
    CHECK(with.dead <= row.dead * without.dead);
    CHECK(with.opened <= row.opened * without.opened);
  }
}

TEST_CASE("servers that close after 300 ms and after 15 s are estimated separately") {
  IdleLifetimeEstimator rests(kLongest);
  std::vector<Node> nodes = {{300}, {15000}};
  const auto outcomes = play(nodes, 60, &rests);
  CHECK(rests.safe_idle_ms(60000, 1) <= 300);
  CHECK(rests.safe_idle_ms(60000, 1) >= 150);
  CHECK(rests.safe_idle_ms(60000, 2) == kLongest);
  CHECK(outcomes[0].dead_late <= 8); // trials
  CHECK(outcomes[1].opened_late <= 6);
}

TEST_CASE("estimates after single events") {
  IdleLifetimeEstimator rests(kLongest);
  CHECK(rests.decide_reuse(0, 1, 10000) == Use::Allowed);
  CHECK(rests.decide_reuse(0, 1, kLongest) == Use::Refused);
  CHECK(rests.keep_ms(0, 1) == kLongest);
  // A single reset after a longer idle time than any successful one changes the estimate; also for other
  // servers, until their own results differ.
  for (int i = 0; i < 20; ++i) rests.on_reuse(50, 1, 200, false, false);
  rests.on_reuse(100, 1, 400, false, true);
  CHECK(rests.safe_idle_ms(500, 1) <= 400);
  CHECK(rests.safe_idle_ms(500, 2) <= 400);
  CHECK(rests.decide_reuse(500, 1, 190) == Use::Allowed);
  CHECK(rests.decide_reuse(500, 1, 400) == Use::Refused);
  // Only one trial is allowed at a time, and only slightly beyond the safe idle time.
  const double doubtful = rests.safe_idle_ms(5000, 1);
  CHECK(rests.decide_reuse(5000, 1, 4 * doubtful) == Use::Refused);
  CHECK(rests.decide_reuse(5000, 1, doubtful) == Use::Trial);
  CHECK(rests.decide_reuse(5000, 1, doubtful) == Use::Refused);
  // Responses after longer idle times raise the estimate, here only for the other server.
  for (int i = 0; i < 4; ++i) rests.on_reuse(6000, 2, 3000, true, false);
  CHECK(rests.safe_idle_ms(7000, 2) == kLongest);
  CHECK(rests.safe_idle_ms(7000, 1) <= 400);
  rests.forget(1);
  CHECK(rests.size() == 1);
  // Many connections that break at the same time count as one event.
  IdleLifetimeEstimator other(kLongest);
  for (int i = 0; i < 30; ++i) other.on_reuse(1000 + i, 1, 50 + i, false, false);
  for (int i = 0; i < 10; ++i) other.on_reuse(2000, 1, 100, false, true);
  CHECK(other.safe_idle_ms(3000, 1) >= 64);
  // No connection is kept only if even the shortest idle times lead to resets, which takes several resets.
  IdleLifetimeEstimator third(kLongest);
  third.on_reuse(0, 1, 2, false, true);
  CHECK(third.safe_idle_ms(300, 1) > 0);
  for (int i = 1; i < 8; ++i) third.on_reuse(300 * i, 1, 2, false, true);
  CHECK(third.safe_idle_ms(3000, 1) == 0);
  // The history decays: after some minutes the resets no longer count.
  CHECK(third.safe_idle_ms(900000, 1) > 0);
}

TEST_CASE("properties of the estimator over random events") {
  CHECK(rc::check("idle times are ordered and bounded, forgotten servers leave no state", [] {
    const auto events =
        *rc::gen::container<std::vector<std::tuple<int, IdleLifetimeEstimator::EndpointId, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 12), rc::gen::inRange<IdleLifetimeEstimator::EndpointId>(1, 6),
                           rc::gen::inRange(0, 20000)));
    IdleLifetimeEstimator rests(kLongest);
    double now = 0;
    for (const auto& [what, target, number] : events) {
      const double rest = number;
      now += number % 400;
      if (what < 3) {
        rests.on_reuse(now, target, rest, what == 1, false);
      } else if (what < 6) {
        rests.on_reuse(now, target, rest, what == 4, true);
      } else if (what < 8) {
        rests.on_first_use(now, target, what == 6);
      } else if (what == 9) {
        rests.forget(target);
      }
      const double safe = rests.safe_idle_ms(now, target), hold = rests.keep_ms(now, target);
      RC_ASSERT(safe >= 0 && safe <= hold && hold <= kLongest);
      if (safe > 0) RC_ASSERT(rests.decide_reuse(now, target, safe * 0.999) == Use::Allowed);
      RC_ASSERT(rests.decide_reuse(now, target, hold) == Use::Refused);
      const Use doubtful = rests.decide_reuse(now, target, safe);
      RC_ASSERT(doubtful != Use::Allowed);
      if (doubtful == Use::Trial) RC_ASSERT(rests.decide_reuse(now, target, safe) == Use::Refused);
      RC_ASSERT(rests.size() <= 5u);
    }
    for (IdleLifetimeEstimator::EndpointId target = 0; target < 8; ++target) rests.forget(target);
    RC_ASSERT(rests.size() == 0u);
  }));
}
