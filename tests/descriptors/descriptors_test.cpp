// Budgets of descriptors and request buffers, and client admission: tables of cases, and properties over
// random events.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "descriptors/client_admission.h"
#include "descriptors/descriptor_budget.h"

using namespace fernward::descriptors;
using Eviction = DescriptorBudget::Eviction;

namespace {

std::vector<DescriptorBudget::Lease> acquire_all(DescriptorBudget& budget, Side side, int count,
                                                 double now = 0) {
  std::vector<DescriptorBudget::Lease> leases;
  for (int i = 0; i < count; ++i) {
    leases.push_back(budget.acquire(now, side));
    REQUIRE(leases.back());
  }
  return leases;
}

} // namespace

TEST_CASE("a side holds up to three quarters while the other is unused and returns them") {
  DescriptorBudget budget(40);
  auto clients = acquire_all(budget, Side::Downstream, 30);
  // The remaining quarter is reserved for upstream.
  CHECK(budget.required_eviction(0, Side::Downstream) == Eviction::OwnSide);
  auto servers = acquire_all(budget, Side::Upstream, 10);
  CHECK(budget.required_eviction(0, Side::Upstream) == Eviction::OtherSide);
  CHECK_FALSE(budget.acquire(0, Side::Upstream));
  for (int i = 0; i < 10; ++i) {
    REQUIRE(budget.required_eviction(0, Side::Upstream) == Eviction::OtherSide);
    clients.pop_back(); // evicts a client connection
    servers.push_back(budget.acquire(0, Side::Upstream));
    CHECK(servers.back());
  }
  CHECK(budget.required_eviction(0, Side::Upstream) == Eviction::OwnSide); // each has its share
  CHECK(budget.required_eviction(0, Side::Downstream) == Eviction::OwnSide);
}

// Guards against spinning on EMFILE.
TEST_CASE("a refused descriptor lowers the usable total which then recovers") {
  DescriptorBudget budget(200);
  auto clients = acquire_all(budget, Side::Downstream, 50);
  CHECK(budget.on_descriptor_refused(1000));
  CHECK(budget.usable(1000) == 50);
  CHECK(budget.required_eviction(1000, Side::Downstream) == Eviction::OwnSide);
  CHECK(budget.required_eviction(1000, Side::Upstream) == Eviction::OtherSide);
  CHECK_FALSE(budget.on_descriptor_refused(1500)); // within a second of the last refusal
  CHECK(budget.usable(2400) == 50);
  CHECK(budget.usable(2500) == 51);
  CHECK(budget.usable(6500) == 81);
  CHECK(budget.usable(60000) == 200);
  clients.clear();
  budget.on_descriptor_refused(70000); // with nothing in use it must still try again
  CHECK(budget.acquire(70000, Side::Downstream));
}

TEST_CASE("incomplete requests exceed the buffer budget once they hold more than its total") {
  RequestBufferBudget buffers(1000);
  {
    RequestBufferBudget::Lease first(buffers), second(buffers);
    first.set(600);
    second.set(400);
    CHECK_FALSE(buffers.must_reject_incomplete(100000));
    second.set(401);
    CHECK(buffers.must_reject_incomplete(100000));
    CHECK(buffers.must_reject_incomplete(RequestBufferBudget::kSmallRequestBytes + 1));
    CHECK_FALSE(buffers.must_reject_incomplete(RequestBufferBudget::kSmallRequestBytes));
    first.set(10);
    CHECK_FALSE(buffers.must_reject_incomplete(100000));
  }
  CHECK(buffers.used_bytes() == 0);
}

TEST_CASE("complete bodies use a part of the request budget by the weight of their class") {
  constexpr std::size_t kTotal = 80000;
  RequestBufferBudget buffers(kTotal);
  RequestBufferBudget::Lease held(buffers);
  held.set(10000);
  CHECK(buffers.admits_complete(50000, 1));       // up to three quarters
  CHECK_FALSE(buffers.admits_complete(50001, 1)); // the rest is for incomplete requests
  CHECK(buffers.admits_complete(20000, 0));       // half of that for a class without weight
  CHECK_FALSE(buffers.admits_complete(20001, 0));
  held.set(2 * kTotal);
  CHECK(buffers.admits_complete(RequestBufferBudget::kSmallRequestBytes, 0)); // bounded by the descriptors
  CHECK_FALSE(buffers.admits_complete(RequestBufferBudget::kSmallRequestBytes + 1, 1));
  RequestBufferBudget::Lease moved = std::move(held);
  CHECK(buffers.used_bytes() == 2 * kTotal);
}

TEST_CASE("properties of the descriptor budget over random events") {
  CHECK(rc::check("reserves and sums hold, lent descriptors are reclaimed, each lease returns once", [] {
    const auto total = *rc::gen::inRange<std::size_t>(0, 300);
    const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 40), rc::gen::inRange(0, 1000)));
    DescriptorBudget budget(total);
    std::array<std::deque<DescriptorBudget::Lease>, 2> held;
    double now = 0;
    for (const auto& [event, number] : events) {
      now += number % 7 * 100;
      const auto side = static_cast<Side>(number % 2);
      auto& own_leases = held[static_cast<std::size_t>(side)];
      auto& other_leases = held[1 - static_cast<std::size_t>(side)];
      if (event == 0) {
        budget.on_descriptor_refused(now);
      } else if (event < 12 && !own_leases.empty()) {
        DescriptorBudget::Lease moved = std::move(own_leases.front()); // a moved lease is returned only once
        own_leases.pop_front();
      } else {
        for (int i = 0; i < number % 40; ++i) {
          const std::size_t usable = budget.usable(now), before = own_leases.size();
          const Eviction required = budget.required_eviction(now, side);
          DescriptorBudget::Lease lease = budget.acquire(now, side);
          RC_ASSERT(static_cast<bool>(lease) == (required == Eviction::None));
          if (lease) {
            RC_ASSERT(own_leases.size() + 1 +
                          std::max(other_leases.size(), DescriptorBudget::reserved_descriptors(usable)) <=
                      usable);
            own_leases.push_back(std::move(lease));
          } else if (usable == total) {
            RC_ASSERT(before >= DescriptorBudget::reserved_descriptors(usable));
          }
          if (required == Eviction::OtherSide) {
            RC_ASSERT(other_leases.size() > DescriptorBudget::fair_share(usable, side == Side::Downstream
                                                                                     ? Side::Upstream
                                                                                     : Side::Downstream));
            other_leases.pop_back(); // the other side releases one, which the owner can acquire
            if (usable == total) RC_ASSERT(budget.required_eviction(now, side) == Eviction::None);
          }
        }
      }
      RC_ASSERT(budget.used(Side::Downstream) == held[0].size());
      RC_ASSERT(budget.used(Side::Upstream) == held[1].size());
      RC_ASSERT(held[0].size() + held[1].size() <= total);
    }
    held = {};
    RC_ASSERT(budget.used(Side::Downstream) + budget.used(Side::Upstream) == 0u);
  }));
}

// ---- clients ----

namespace {

bool any(ClientAdmission::Id) { return true; }

// A connection sends a request; returns whether it stays open.
bool send_request(ClientAdmission& clients, ClientAdmission::Id id, double now, double duration_ms = 1) {
  clients.on_request_active(now, id);
  clients.on_request_complete(now, id);
  const bool closes = clients.should_close_after_response(now + duration_ms, id);
  closes ? clients.on_lingering(now + duration_ms, id) : clients.on_idle(now + duration_ms, id);
  return !closes;
}

bool accept_and_send_request(ClientAdmission& clients, ClientAdmission::Id id, double now) {
  clients.on_accepted(now, id);
  return send_request(clients, id, now);
}

} // namespace

TEST_CASE("eviction order: lingering then no request then one request then oldest last request but one") {
  ClientAdmission clients({.max_clients = 100, .first_request_grace_ms = 100, .min_idle_ms = 2000});
  accept_and_send_request(clients, 1, 0); // several requests: its last request but one is the oldest
  send_request(clients, 1, 5000);
  accept_and_send_request(clients, 2, 4000); // several requests within a short time
  send_request(clients, 2, 4050);
  send_request(clients, 2, 4100);
  accept_and_send_request(clients, 3, 4500); // one request
  accept_and_send_request(clients, 4, 4400); // one request, idle for longer
  clients.on_accepted(4600, 5);              // no request
  accept_and_send_request(clients, 6, 4700);
  clients.on_lingering(4800, 6);
  clients.on_accepted(5990, 7); // its request may be in transit
  clients.on_accepted(5000, 8);
  clients.on_request_active(5950, 8); // has started a request
  std::vector<ClientAdmission::Id> order;
  while (const auto id = clients.select_for_eviction(6000, any)) {
    order.push_back(*id);
    clients.on_closed(6000, *id, ClientAdmission::ClosedBy::Router);
  }
  CHECK(order == std::vector<ClientAdmission::Id>{6, 5, 4, 3, 1, 2});
  CHECK(clients.select_for_eviction(6100, any) == 7u);
  CHECK_FALSE(clients.select_for_eviction(6100, [](ClientAdmission::Id) { return false; }));
  accept_and_send_request(clients, 20, 6200);
  for (ClientAdmission::Id id = 21; id < 25; ++id) clients.on_accepted(6200, id);
  clients.on_closed(6200, 7, ClientAdmission::ClosedBy::Client);
  // New connections that may still send a request do not displace idle ones.
  CHECK_FALSE(clients.select_for_eviction(6250, any));
  CHECK(clients.select_for_eviction(6300, any) == 21u);
}

// Guards against connections that are closed without need.
TEST_CASE("with few active clients no connection is closed") {
  ClientAdmission clients({.max_clients = 85});
  double now = 0;
  for (int round = 0; round < 100; ++round, now += 50) {
    for (ClientAdmission::Id id = 1; id <= 20; ++id)
      CHECK((round == 0 ? accept_and_send_request(clients, id, now) : send_request(clients, id, now)));
  }
  CHECK_FALSE(clients.expired_idle(now));
}

namespace {

// A group of similar clients in virtual time.
struct ClientGroup {
  double interval_ms;
  int clients;
  int requests;       // per connection, which then stays open unused; 0: it is used until the end
  bool client_closes; // the client closes the connection instead
};

// What the clients of a group experienced.
struct Result {
  int requests_sent = 0, rejected = 0, opened = 0, closed_with_response = 0,
      closed_while_idle = 0; // by expired_idle()
};

// Simulates client groups against a table of at most `max_connections` connections; requests that would need
// a further connection are rejected. Each request takes `duration_ms`.
std::vector<Result> simulate(const std::vector<ClientGroup>& groups, std::size_t max_connections,
                             double seconds, double duration_ms, ClientAdmission& clients) {
  struct SimulatedClient {
    std::size_t group;
    ClientAdmission::Id id = 0;
    int requests = 0;
  };
  std::vector<Result> results(groups.size());
  std::vector<SimulatedClient> simulated_clients;
  std::multimap<double, std::size_t> next_requests; // client index by time of its next request
  std::multimap<double, std::size_t> response_times;
  struct OpenConnection {
    std::size_t group, client_index;
    bool abandoned = false; // the client does not use it again
  };
  std::map<ClientAdmission::Id, OpenConnection> open_connections;
  ClientAdmission::Id last_id = 0;
  for (std::size_t group_index = 0; group_index < groups.size(); ++group_index) {
    for (int i = 0; i < groups[group_index].clients; ++i) {
      next_requests.emplace(groups[group_index].interval_ms * i / groups[group_index].clients,
                            simulated_clients.size());
      simulated_clients.push_back({group_index});
    }
  }
  const auto close_connection = [&](ClientAdmission::Id id, double now, ClientAdmission::ClosedBy closed_by) {
    const auto it = open_connections.find(id);
    if (!it->second.abandoned) simulated_clients[it->second.client_index].id = 0;
    open_connections.erase(it);
    clients.on_closed(now, id, closed_by);
  };
  double last_eviction_at = 0;
  while (true) {
    const bool response_first =
        !response_times.empty() &&
        (next_requests.empty() || response_times.begin()->first <= next_requests.begin()->first);
    auto& queue = response_first ? response_times : next_requests;
    const auto [now, client_index] = *queue.begin();
    queue.erase(queue.begin());
    if (now > seconds * 1000) return results;
    SimulatedClient& simulated_client = simulated_clients[client_index];
    const ClientGroup& group = groups[simulated_client.group];
    Result& result = results[simulated_client.group];
    if (now - last_eviction_at >= 250) {
      last_eviction_at = now;
      for (auto id = clients.expired_idle(now); id; id = clients.expired_idle(now)) {
        ++results[open_connections.at(*id).group].closed_while_idle;
        close_connection(*id, now, ClientAdmission::ClosedBy::Router);
      }
    }
    if (response_first) {
      if (clients.should_close_after_response(now, simulated_client.id)) {
        ++result.closed_with_response;
        clients.on_lingering(now, simulated_client.id);
        close_connection(simulated_client.id, now, ClientAdmission::ClosedBy::Client);
      } else if (clients.on_idle(now, simulated_client.id); ++simulated_client.requests == group.requests) {
        if (group.client_closes) {
          close_connection(simulated_client.id, now, ClientAdmission::ClosedBy::Client);
        } else { // the client abandons the connection: its next request uses a new one
          open_connections.at(simulated_client.id).abandoned = true;
          simulated_client.id = 0;
        }
      }
      continue;
    }
    next_requests.emplace(now + group.interval_ms, client_index);
    ++result.requests_sent;
    if (simulated_client.id == 0) {
      if (open_connections.size() >= max_connections) {
        ++result.rejected;
        continue;
      }
      simulated_client.id = ++last_id;
      simulated_client.requests = 0;
      ++result.opened;
      open_connections[simulated_client.id] = {simulated_client.group, client_index};
      clients.on_accepted(now, simulated_client.id);
    }
    clients.on_request_active(now, simulated_client.id);
    clients.on_request_complete(now, simulated_client.id);
    response_times.emplace(now + duration_ms, client_index);
  }
}

} // namespace

// Guards against rejected clients while others hold connections that they never use again.
TEST_CASE("client groups in virtual time: rejected requests and opened connections") {
  const struct {
    std::string name;
    std::size_t max_connections;
    std::vector<ClientGroup> groups;
    double duration_ms;
    double max_rejected_share; // highest share of the first group's requests that may be rejected
    double max_opened_share;   // highest share of the first group's requests that may open a connection
  } table[] = {
      {"300 clients per second send one request and keep the connection",
       128,
       {{1000, 300, 1, false}},
       30,
       0.01,
       1},
      {"the same with slow responses", 128, {{1000, 300, 1, false}}, 200, 0.01, 1},
      {"the same with at most 5 connections", 5, {{1000, 20, 1, false}}, 20, 0.01, 1},
      {"300 clients per second send two requests and keep the connection",
       128,
       {{1000, 300, 2, false}},
       30,
       0.05,
       1},
      {"300 clients per second send one request and close", 128, {{1000, 300, 1, true}}, 30, 0, 1},
      {"20 clients with a request every 50 ms, 1000 with one per minute",
       85,
       {{50, 20, 0, false}, {60000, 1000, 0, false}},
       5,
       0,
       0.01},
      {"the same, the 1000 on new connections",
       85,
       {{50, 20, 0, false}, {60000, 1000, 1, false}},
       5,
       0,
       0.01},
      {"60 clients with a request every 200 ms", 85, {{200, 60, 0, false}}, 20, 0, 0.01},
      {"110 clients with a request per second, at most 128 connections",
       128,
       {{1000, 110, 0, false}},
       50,
       0,
       0.05},
      {"30 frequent clients, 200 per second with one request",
       128,
       {{100, 30, 0, false}, {1000, 200, 1, false}},
       30,
       0,
       0.02},
  };
  for (const auto& row : table) {
    CAPTURE(row.name);
    ClientAdmission clients({.max_clients = row.max_connections});
    const auto results = simulate(row.groups, row.max_connections, 60, row.duration_ms, clients);
    const double requests_sent = results[0].requests_sent;
    MESSAGE(row.name << ": requests " << results[0].requests_sent << ", rejected " << results[0].rejected
                     << ", opened " << results[0].opened << ", closed with a response "
                     << results[0].closed_with_response << ", closed while idle "
                     << results[0].closed_while_idle);
    CHECK(results[0].rejected <= row.max_rejected_share * requests_sent);
    CHECK(results[0].opened <= row.max_opened_share * requests_sent);
    if (results.size() > 1) CHECK(results[1].rejected <= 0.02 * results[1].requests_sent);
  }
}

TEST_CASE("properties of client admission over random events") {
  CHECK(rc::check("counts hold, only evictable ids are selected, unknown ids change nothing", [] {
    const auto max_clients = *rc::gen::inRange<std::size_t>(0, 40);
    const auto events = *rc::gen::container<std::vector<std::pair<int, ClientAdmission::Id>>>(
        rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange<ClientAdmission::Id>(1, 40)));
    ClientAdmission clients({.max_clients = max_clients});
    struct State {
      bool has_requested = false, evictable = false, lingering = false;
    };
    std::map<ClientAdmission::Id, State> known;
    double now = 0;
    for (const auto& [event, id] : events) {
      now += static_cast<double>(id) * 40;
      const auto it = known.find(id);
      const bool serving = it != known.end() && !it->second.lingering;
      switch (event) {
        case 0:
          clients.on_accepted(now, id);
          if (it == known.end()) known[id] = {false, true, false};
          break;
        case 1:
          clients.on_request_active(now, id);
          if (it != known.end()) it->second.evictable = false;
          break;
        case 2:
        case 3:
          clients.on_request_complete(now, id);
          if (serving) it->second = {true, false, false};
          break;
        case 4:
          if (serving && clients.should_close_after_response(now, id))
            RC_ASSERT(clients.active_clients() > max_clients / 4);
          break;
        case 5:
        case 6:
          clients.on_idle(now, id);
          if (serving) it->second.evictable = true;
          break;
        case 7:
          clients.on_lingering(now, id);
          if (it != known.end()) it->second.lingering = it->second.evictable = true;
          break;
        default:
          clients.on_closed(
              now, id,
              event % 2 == 0 ? ClientAdmission::ClosedBy::Client : ClientAdmission::ClosedBy::Router);
          known.erase(id);
      }
      RC_ASSERT(clients.size() == known.size());
      std::size_t active = 0;
      for (const auto& [known_id, state] : known) active += state.has_requested && !state.lingering;
      RC_ASSERT(clients.active_clients() == active);
      RC_ASSERT(clients.return_share() >= 0 && clients.return_share() <= 1);
      if (const auto eviction_id = clients.select_for_eviction(now, any))
        RC_ASSERT(known.at(*eviction_id).evictable);
      if (const auto expired = clients.expired_idle(now)) {
        RC_ASSERT(known.at(*expired).evictable && known.at(*expired).has_requested &&
                  !known.at(*expired).lingering);
      }
    }
  }));
}

TEST_CASE("a stalled partial request is evicted before idle connections and after those without a request") {
  ClientAdmission clients({100, 100, 700, 2000});
  const auto any = [](ClientAdmission::Id) { return true; };
  clients.on_accepted(0, 1);
  clients.on_request_complete(1, 1);
  clients.on_idle(2, 1); // 1: its request was answered
  clients.on_accepted(0, 2);
  clients.on_request_partial(10, 2); // 2: half a request, then nothing
  clients.on_accepted(0, 3);
  clients.on_request_partial(10, 3); // 3: continues to send slowly
  CHECK_FALSE(clients.select_for_eviction(300, any) ==
              std::optional<ClientAdmission::Id>(2)); // it may just be slow
  clients.on_request_partial(600, 3);
  CHECK(clients.select_for_eviction(800, any) == std::optional<ClientAdmission::Id>(2));
  clients.on_accepted(800, 4);
  CHECK(clients.select_for_eviction(1000, any) == std::optional<ClientAdmission::Id>(4)); // has sent nothing
  clients.on_closed(1000, 4, ClientAdmission::ClosedBy::Router);
  clients.on_closed(1000, 2, ClientAdmission::ClosedBy::Router);
  clients.on_request_complete(1001, 3); // complete: it is being processed and cannot be evicted
  CHECK(clients.select_for_eviction(2000, any) == std::optional<ClientAdmission::Id>(1));
  clients.on_closed(2000, 1, ClientAdmission::ClosedBy::Router);
  CHECK_FALSE(clients.select_for_eviction(2000, any).has_value());
}
