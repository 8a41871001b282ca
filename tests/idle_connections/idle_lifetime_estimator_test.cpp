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
using Reuse = IdleLifetimeEstimator::Reuse;

namespace {

constexpr double kMaxIdleMs = 10500;

// How a server closes idle connections and resets requests.
struct ServerModel {
  double closes_after_ms;        // idle time after which it closes without notice; 0: with the response
  double reset_share_reused = 0; // share of requests on reused connections that are reset at any idle time
  double reset_share_any = 0;    // share of all requests that are reset
  double changes_at_ms = 1e18;   // time from which the idle lifetime is:
  double closes_after_change_ms = kMaxIdleMs;
  bool closes_gracefully = false; // the close is noticed at once
  double requests_per_second = 20;
  double closed_share = 1;         // share of the connections idle for that time that it closes
  double graceful_close_share = 0; // share of responses after which it closes gracefully
};

// Counts of one server.
struct Outcome {
  int requests = 0, dead = 0, opened = 0; // dead: written to a connection closed while idle
  int dead_late = 0, opened_late = 0;     // in the second half
};

// Requests arrive at random and take 5 to 40 ms; the most recently used connection is reused first. With a
// null estimator every idle time up to the longest is treated as safe.
std::vector<Outcome> simulate(const std::vector<ServerModel>& servers, double seconds,
                              IdleLifetimeEstimator* estimator, unsigned seed = 1) {
  struct Connection {
    double idle_since;
    bool dead = false;
  };
  struct ActiveRequest {
    std::size_t server;
    Connection connection;
  };
  std::mt19937 random(seed); // the same draws on every standard library: no distribution of it is used
  const auto next_unit = [&] { return (static_cast<double>(random()) + 0.5) / 4294967296.0; };
  std::vector<Outcome> outcomes(servers.size());
  std::vector<std::vector<Connection>> idle_connections_of(servers.size());
  std::multimap<double, ActiveRequest> response_times;
  std::multimap<double, std::size_t> next_requests;
  for (std::size_t server_index = 0; server_index < servers.size(); ++server_index)
    next_requests.emplace(-std::log(next_unit()) / servers[server_index].requests_per_second * 1000,
                          server_index);
  while (next_requests.begin()->first < seconds * 1000) {
    if (!response_times.empty() && response_times.begin()->first <= next_requests.begin()->first) {
      auto [now, active_request] = *response_times.begin();
      response_times.erase(response_times.begin());
      active_request.connection.idle_since = now;
      idle_connections_of[active_request.server].push_back(active_request.connection);
      continue;
    }
    const auto [now, server_index] = *next_requests.begin();
    next_requests.erase(next_requests.begin());
    const ServerModel& server = servers[server_index];
    next_requests.emplace(now - std::log(next_unit()) / server.requests_per_second * 1000, server_index);
    const auto endpoint = static_cast<IdleLifetimeEstimator::EndpointId>(server_index + 1);
    const double idle_lifetime_ms =
        now < server.changes_at_ms ? server.closes_after_ms : server.closes_after_change_ms;
    Outcome& outcome = outcomes[server_index];
    const bool late = now > seconds * 500;
    ++outcome.requests;
    std::erase_if(idle_connections_of[server_index], [&](const Connection& connection) {
      const double idle_ms = now - connection.idle_since;
      if (server.closes_gracefully && idle_ms >= idle_lifetime_ms) {
        return true;
      }
      return idle_ms >= (estimator != nullptr ? estimator->max_keep_ms(now, endpoint) : kMaxIdleMs);
    });
    bool reused = false, trial = false;
    double idle_ms = 0;
    if (!idle_connections_of[server_index].empty()) {
      idle_ms = now - idle_connections_of[server_index].back().idle_since;
      const Reuse decision =
          estimator != nullptr ? estimator->decide_reuse(now, endpoint, idle_ms) : Reuse::Allowed;
      reused = decision != Reuse::Refused;
      trial = decision == Reuse::Trial;
    }
    const double duration_ms = 5 + 35 * next_unit();
    if (reused) {
      idle_connections_of[server_index].pop_back();
      const bool dead = idle_ms >= idle_lifetime_ms && next_unit() < server.closed_share,
                 reset = dead || next_unit() < server.reset_share_reused + server.reset_share_any;
      outcome.dead += dead;
      outcome.dead_late += dead && late;
      if (estimator != nullptr)
        estimator->on_reuse(now + (reset ? 1 : duration_ms), endpoint, idle_ms, trial, reset);
      if (reset) continue;
    } else {
      ++outcome.opened;
      outcome.opened_late += late;
      const bool reset = next_unit() < server.reset_share_any;
      if (estimator != nullptr) estimator->on_first_use(now + (reset ? 1 : duration_ms), endpoint, reset);
      if (reset) continue;
    }
    if (next_unit() >= server.graceful_close_share)
      response_times.emplace(now + duration_ms, ActiveRequest{server_index, {0}});
  }
  return outcomes;
}

Outcome sum(const std::vector<Outcome>& all) {
  Outcome total;
  for (const auto& outcome : all) {
    total.requests += outcome.requests, total.dead += outcome.dead, total.opened += outcome.opened;
    total.dead_late += outcome.dead_late, total.opened_late += outcome.opened_late;
  }
  return total;
}

std::vector<ServerModel> repeated(int count, ServerModel server) {
  return std::vector<ServerModel>(static_cast<std::size_t>(count), server);
}

} // namespace

// Guards against requests written to connections that were closed without notice, and against connections
// that are closed needlessly.
TEST_CASE("a minute in virtual time: requests on dead connections and opened connections") {
  auto half_closing = repeated(10, {300});
  for (const ServerModel& server : repeated(10, {kMaxIdleMs})) half_closing.push_back(server);
  const struct {
    std::string name;
    std::vector<ServerModel> servers;
    double max_dead_ratio;   // of requests on dead connections with the estimator to those without it
    double max_opened_ratio; // of opened connections with the estimator to those without it
  } table[] = {
      {"20 servers, all healthy", repeated(20, {kMaxIdleMs}), 1, 1.02},
      {"20 servers, all healthy, few requests",
       repeated(20, {.closes_after_ms = kMaxIdleMs, .requests_per_second = 1}), 1, 1.05},
      {"20 that close after 300 ms", repeated(20, {300}), 0.1, 1e9},
      {"20 that close after 40 ms", repeated(20, {40}), 0.1, 1e9},
      {"20 that close after 3 s, few requests",
       repeated(20, {.closes_after_ms = 3000, .requests_per_second = 1}), 0.2, 1e9},
      {"20 that close with the response", repeated(20, {0}), 0.02, 1e9},
      {"10 that close after 300 ms, 10 healthy", half_closing, 0.1, 1e9},
      {"20 that close gracefully after 300 ms",
       repeated(20, {.closes_after_ms = 300, .closes_gracefully = true}), 1, 1e9},
      {"20 that reset 2% of all", repeated(20, {.closes_after_ms = kMaxIdleMs, .reset_share_any = 0.02}), 1,
       1.2},
      {"20 that reset half of all", repeated(20, {.closes_after_ms = kMaxIdleMs, .reset_share_any = 0.5}), 1,
       1.1},
      {"20 that reset 5% on reused connections",
       repeated(20, {.closes_after_ms = kMaxIdleMs, .reset_share_reused = 0.05}), 1, 1.3},
      {"20 that reset 30% on reused connections",
       repeated(20, {.closes_after_ms = kMaxIdleMs, .reset_share_reused = 0.3}), 1, 1.5},
      {"13 that reset half of those idle for 150 ms, 6% of all, and close after 1 in 10 responses",
       repeated(13, {.closes_after_ms = 150,
                     .reset_share_any = 0.06,
                     .requests_per_second = 30,
                     .closed_share = 0.5,
                     .graceful_close_share = 0.1}),
       0.2, 1e9},
      {"20 healthy, then close after 300 ms",
       repeated(20, {.closes_after_ms = kMaxIdleMs, .changes_at_ms = 30000, .closes_after_change_ms = 300}),
       0.25, 1e9},
      {"20 that close after 300 ms, then are healthy",
       repeated(20, {.closes_after_ms = 300, .changes_at_ms = 20000, .closes_after_change_ms = kMaxIdleMs}),
       0.15, 1e9},
  };
  for (const auto& row : table) {
    CAPTURE(row.name);
    IdleLifetimeEstimator estimator(kMaxIdleMs);
    const Outcome without = sum(simulate(row.servers, 60, nullptr)),
                  with = sum(simulate(row.servers, 60, &estimator));
    MESSAGE(row.name << ": of " << with.requests << " requests to dead connections " << with.dead
                     << ", without the estimator " << without.dead << "; opened " << with.opened
                     << ", without the estimator " << without.opened << " (second half " << with.opened_late
                     << ", without the estimator " << without.opened_late << ")");
    CHECK(with.dead <= row.max_dead_ratio * without.dead);
    CHECK(with.opened <= row.max_opened_ratio * without.opened);
  }
}

TEST_CASE("servers that close after 300 ms and after 15 s are estimated separately") {
  IdleLifetimeEstimator estimator(kMaxIdleMs);
  std::vector<ServerModel> servers = {{300}, {15000}};
  const auto outcomes = simulate(servers, 60, &estimator);
  CHECK(estimator.safe_idle_ms(60000, 1) <= 300);
  CHECK(estimator.safe_idle_ms(60000, 1) >= 150);
  CHECK(estimator.safe_idle_ms(60000, 2) == kMaxIdleMs);
  CHECK(outcomes[0].dead_late <= 8); // trials
  CHECK(outcomes[1].opened_late <= 6);
}

TEST_CASE("estimates after single events") {
  IdleLifetimeEstimator estimator(kMaxIdleMs);
  CHECK(estimator.decide_reuse(0, 1, 10000) == Reuse::Allowed);
  CHECK(estimator.decide_reuse(0, 1, kMaxIdleMs) == Reuse::Refused);
  CHECK(estimator.max_keep_ms(0, 1) == kMaxIdleMs);
  // A single reset after a longer idle time than any successful one changes the estimate; also for other
  // servers, until their own results differ.
  for (int i = 0; i < 20; ++i) estimator.on_reuse(50, 1, 200, false, false);
  estimator.on_reuse(100, 1, 400, false, true);
  CHECK(estimator.safe_idle_ms(500, 1) <= 400);
  CHECK(estimator.safe_idle_ms(500, 2) <= 400);
  CHECK(estimator.decide_reuse(500, 1, 190) == Reuse::Allowed);
  CHECK(estimator.decide_reuse(500, 1, 400) == Reuse::Refused);
  // Only one trial is allowed at a time, and only slightly beyond the safe idle time.
  const double boundary = estimator.safe_idle_ms(5000, 1);
  CHECK(estimator.decide_reuse(5000, 1, 4 * boundary) == Reuse::Refused);
  CHECK(estimator.decide_reuse(5000, 1, boundary) == Reuse::Trial);
  CHECK(estimator.decide_reuse(5000, 1, boundary) == Reuse::Refused);
  // Responses after longer idle times raise the estimate, here only for the other server.
  for (int i = 0; i < 4; ++i) estimator.on_reuse(6000, 2, 3000, true, false);
  CHECK(estimator.safe_idle_ms(7000, 2) == kMaxIdleMs);
  CHECK(estimator.safe_idle_ms(7000, 1) <= 400);
  estimator.forget(1);
  CHECK(estimator.size() == 1);
  // Many connections that break at the same time count as one event.
  IdleLifetimeEstimator second_estimator(kMaxIdleMs);
  for (int i = 0; i < 30; ++i) second_estimator.on_reuse(1000 + i, 1, 50 + i, false, false);
  for (int i = 0; i < 10; ++i) second_estimator.on_reuse(2000, 1, 100, false, true);
  CHECK(second_estimator.safe_idle_ms(3000, 1) >= 64);
  // No connection is kept only if even the shortest idle times lead to resets, which takes several resets.
  IdleLifetimeEstimator third_estimator(kMaxIdleMs);
  third_estimator.on_reuse(0, 1, 2, false, true);
  CHECK(third_estimator.safe_idle_ms(300, 1) > 0);
  for (int i = 1; i < 8; ++i) third_estimator.on_reuse(300 * i, 1, 2, false, true);
  CHECK(third_estimator.safe_idle_ms(3000, 1) == 0);
  // The history decays: after 15 minutes the resets no longer count.
  CHECK(third_estimator.safe_idle_ms(900000, 1) > 0);
}

TEST_CASE("properties of the estimator over random events") {
  CHECK(rc::check("idle times are ordered and bounded, forgotten servers leave no state", [] {
    const auto events =
        *rc::gen::container<std::vector<std::tuple<int, IdleLifetimeEstimator::EndpointId, int>>>(
            rc::gen::tuple(rc::gen::inRange(0, 12), rc::gen::inRange<IdleLifetimeEstimator::EndpointId>(1, 6),
                           rc::gen::inRange(0, 20000)));
    IdleLifetimeEstimator estimator(kMaxIdleMs);
    double now = 0;
    for (const auto& [event, endpoint, number] : events) {
      const double idle_ms = number;
      now += number % 400;
      if (event < 3) {
        estimator.on_reuse(now, endpoint, idle_ms, event == 1, false);
      } else if (event < 6) {
        estimator.on_reuse(now, endpoint, idle_ms, event == 4, true);
      } else if (event < 8) {
        estimator.on_first_use(now, endpoint, event == 6);
      } else if (event == 9) {
        estimator.forget(endpoint);
      }
      const double safe_idle_ms = estimator.safe_idle_ms(now, endpoint),
                   keep_ms = estimator.max_keep_ms(now, endpoint);
      RC_ASSERT(safe_idle_ms >= 0 && safe_idle_ms <= keep_ms && keep_ms <= kMaxIdleMs);
      if (safe_idle_ms > 0)
        RC_ASSERT(estimator.decide_reuse(now, endpoint, safe_idle_ms * 0.999) == Reuse::Allowed);
      RC_ASSERT(estimator.decide_reuse(now, endpoint, keep_ms) == Reuse::Refused);
      const Reuse boundary = estimator.decide_reuse(now, endpoint, safe_idle_ms);
      RC_ASSERT(boundary != Reuse::Allowed);
      if (boundary == Reuse::Trial)
        RC_ASSERT(estimator.decide_reuse(now, endpoint, safe_idle_ms) == Reuse::Refused);
      RC_ASSERT(estimator.size() <= 5u);
    }
    for (IdleLifetimeEstimator::EndpointId endpoint = 0; endpoint < 8; ++endpoint) estimator.forget(endpoint);
    RC_ASSERT(estimator.size() == 0u);
  }));
}
