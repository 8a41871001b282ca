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
using Needs = DescriptorBudget::Eviction;

namespace {

std::vector<DescriptorBudget::Lease> take(DescriptorBudget& account, Side side, int places, double now = 0) {
  std::vector<DescriptorBudget::Lease> taken;
  for (int i = 0; i < places; ++i) {
    taken.push_back(account.acquire(now, side));
    REQUIRE(taken.back());
  }
  return taken;
}

} // namespace

TEST_CASE("a side holds up to three quarters while the other is unused and returns them") {
  DescriptorBudget account(40);
  auto clients = take(account, Side::Downstream, 30);
  // The remaining quarter is reserved for upstream.
  CHECK(account.required_eviction(0, Side::Downstream) == Needs::OwnSide);
  auto targets = take(account, Side::Upstream, 10);
  CHECK(account.required_eviction(0, Side::Upstream) == Needs::OtherSide);
  CHECK_FALSE(account.acquire(0, Side::Upstream));
  for (int i = 0; i < 10; ++i) {
    REQUIRE(account.required_eviction(0, Side::Upstream) == Needs::OtherSide);
    clients.pop_back(); // evicts a client connection
    targets.push_back(account.acquire(0, Side::Upstream));
    CHECK(targets.back());
  }
  CHECK(account.required_eviction(0, Side::Upstream) == Needs::OwnSide); // each has its share
  CHECK(account.required_eviction(0, Side::Downstream) == Needs::OwnSide);
}

// Guards against spinning on EMFILE.
TEST_CASE("a refused descriptor lowers the usable total which then recovers") {
  DescriptorBudget account(200);
  auto clients = take(account, Side::Downstream, 50);
  CHECK(account.on_refused(1000));
  CHECK(account.usable(1000) == 50);
  CHECK(account.required_eviction(1000, Side::Downstream) == Needs::OwnSide);
  CHECK(account.required_eviction(1000, Side::Upstream) == Needs::OtherSide);
  CHECK_FALSE(account.on_refused(1500)); // within a second of the last refusal
  CHECK(account.usable(2400) == 50);
  CHECK(account.usable(2500) == 51);
  CHECK(account.usable(6500) == 81);
  CHECK(account.usable(60000) == 200);
  clients.clear();
  account.on_refused(70000); // with nothing in use it must still try again
  CHECK(account.acquire(70000, Side::Downstream));
}

TEST_CASE("incomplete requests exceed the buffer budget once they hold more than its total") {
  RequestBufferBudget buffers(1000);
  {
    RequestBufferBudget::Lease one(buffers), two(buffers);
    one.set(600);
    two.set(400);
    CHECK_FALSE(buffers.exceeded());
    two.set(401);
    CHECK(buffers.exceeded());
    one.set(10);
    CHECK_FALSE(buffers.exceeded());
  }
  CHECK(buffers.used() == 0);
}

TEST_CASE("properties of the descriptor budget over random events") {
  CHECK(rc::check("reserves and sums hold, lent descriptors are reclaimed, each lease returns once", [] {
    const auto total = *rc::gen::inRange<std::size_t>(0, 300);
    const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 40), rc::gen::inRange(0, 1000)));
    DescriptorBudget account(total);
    std::array<std::deque<DescriptorBudget::Lease>, 2> held;
    double now = 0;
    for (const auto& [what, number] : events) {
      now += number % 7 * 100;
      const auto side = static_cast<Side>(number % 2);
      auto& mine = held[static_cast<std::size_t>(side)];
      auto& others = held[1 - static_cast<std::size_t>(side)];
      if (what == 0) {
        account.on_refused(now);
      } else if (what < 12 && !mine.empty()) {
        DescriptorBudget::Lease moved = std::move(mine.front()); // a moved lease is returned only once
        mine.pop_front();
      } else {
        for (int i = 0; i < number % 40; ++i) {
          const std::size_t usable = account.usable(now), before = mine.size();
          const Needs needs = account.required_eviction(now, side);
          DescriptorBudget::Lease place = account.acquire(now, side);
          RC_ASSERT(static_cast<bool>(place) == (needs == Needs::None));
          if (place) {
            RC_ASSERT(mine.size() + 1 + std::max(others.size(), DescriptorBudget::reserved_of(usable)) <=
                      usable);
            mine.push_back(std::move(place));
          } else if (usable == total) {
            RC_ASSERT(before >= DescriptorBudget::reserved_of(usable));
          }
          if (needs == Needs::OtherSide) {
            RC_ASSERT(others.size() > DescriptorBudget::fair_share_of(usable, side == Side::Downstream
                                                                                  ? Side::Upstream
                                                                                  : Side::Downstream));
            others.pop_back(); // the other side releases one, which the owner can acquire
            if (usable == total) RC_ASSERT(account.required_eviction(now, side) == Needs::None);
          }
        }
      }
      RC_ASSERT(account.used(Side::Downstream) == held[0].size());
      RC_ASSERT(account.used(Side::Upstream) == held[1].size());
      RC_ASSERT(held[0].size() + held[1].size() <= total);
    }
    held = {};
    RC_ASSERT(account.used(Side::Downstream) + account.used(Side::Upstream) == 0u);
  }));
}

// ---- clients ----

namespace {

bool any(ClientAdmission::Id) { return true; }

// A connection sends a request; returns whether it stays open.
bool ask(ClientAdmission& clients, ClientAdmission::Id id, double now, double took = 1) {
  clients.on_request_active(now, id);
  clients.on_request_complete(now, id);
  const bool ends = clients.should_close_after_response(now + took, id);
  ends ? clients.on_lingering(now + took, id) : clients.on_idle(now + took, id);
  return !ends;
}

bool first_ask(ClientAdmission& clients, ClientAdmission::Id id, double now) {
  clients.on_accepted(now, id);
  return ask(clients, id, now);
}

} // namespace

TEST_CASE("eviction order: lingering then no request then one request then oldest last request but one") {
  ClientAdmission clients({.max_clients = 100, .first_request_grace_ms = 100, .min_idle_ms = 2000});
  first_ask(clients, 1, 0); // several requests: its last request but one is the oldest
  ask(clients, 1, 5000);
  first_ask(clients, 2, 4000); // several requests within a short time
  ask(clients, 2, 4050);
  ask(clients, 2, 4100);
  first_ask(clients, 3, 4500);  // one request
  first_ask(clients, 4, 4400);  // one request, idle for longer
  clients.on_accepted(4600, 5); // no request
  first_ask(clients, 6, 4700);
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
  first_ask(clients, 20, 6200);
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
      CHECK((round == 0 ? first_ask(clients, id, now) : ask(clients, id, now)));
  }
  CHECK_FALSE(clients.expired_idle(now));
}

namespace {

struct Crowd { // a group of similar clients in virtual time
  double every_ms;
  int clients;
  int requests; // per connection, which then stays open unused; 0: it is used for ever
  bool leaves;  // the client closes the connection instead
};

struct Result {
  int asked = 0, turned_away = 0, opened = 0, told = 0, cut = 0; // cut: by expired_idle()
};

// Simulates client groups against a table of at most `places` connections; requests that would need a further
// connection are rejected. Requests take `took` ms.
std::vector<Result> play(const std::vector<Crowd>& crowds, std::size_t places, double seconds, double took,
                         ClientAdmission& clients) {
  struct One {
    std::size_t crowd;
    ClientAdmission::Id id = 0;
    int requests = 0;
  };
  std::vector<Result> results(crowds.size());
  std::vector<One> all;
  std::multimap<double, std::size_t> next; // client index by time of its next request
  std::multimap<double, std::size_t> done;
  struct Open {
    std::size_t crowd, who;
    bool forgotten = false; // the client does not use it again
  };
  std::map<ClientAdmission::Id, Open> open;
  ClientAdmission::Id last = 0;
  for (std::size_t k = 0; k < crowds.size(); ++k) {
    for (int i = 0; i < crowds[k].clients; ++i) {
      next.emplace(crowds[k].every_ms * i / crowds[k].clients, all.size());
      all.push_back({k});
    }
  }
  const auto close = [&](ClientAdmission::Id id, double now, ClientAdmission::ClosedBy how) {
    const auto it = open.find(id);
    if (!it->second.forgotten) all[it->second.who].id = 0;
    open.erase(it);
    clients.on_closed(now, id, how);
  };
  double relieved = 0;
  while (true) {
    const bool ends_first = !done.empty() && (next.empty() || done.begin()->first <= next.begin()->first);
    auto& queue = ends_first ? done : next;
    const auto [now, who] = *queue.begin();
    queue.erase(queue.begin());
    if (now > seconds * 1000) return results;
    One& one = all[who];
    const Crowd& crowd = crowds[one.crowd];
    Result& result = results[one.crowd];
    if (now - relieved >= 250) {
      relieved = now;
      for (auto id = clients.expired_idle(now); id; id = clients.expired_idle(now)) {
        ++results[open.at(*id).crowd].cut;
        close(*id, now, ClientAdmission::ClosedBy::Router);
      }
    }
    if (ends_first) {
      if (clients.should_close_after_response(now, one.id)) {
        ++result.told;
        clients.on_lingering(now, one.id);
        close(one.id, now, ClientAdmission::ClosedBy::Client);
      } else if (clients.on_idle(now, one.id); ++one.requests == crowd.requests) {
        if (crowd.leaves) {
          close(one.id, now, ClientAdmission::ClosedBy::Client);
        } else { // the client abandons the connection: its next request uses a new one
          open.at(one.id).forgotten = true;
          one.id = 0;
        }
      }
      continue;
    }
    next.emplace(now + crowd.every_ms, who);
    ++result.asked;
    if (one.id == 0) {
      if (open.size() >= places) {
        ++result.turned_away;
        continue;
      }
      one.id = ++last;
      one.requests = 0;
      ++result.opened;
      open[one.id] = {one.crowd, who};
      clients.on_accepted(now, one.id);
    }
    clients.on_request_active(now, one.id);
    clients.on_request_complete(now, one.id);
    done.emplace(now + took, who);
  }
}

} // namespace

// Guards against rejected clients while others hold connections that they never use again.
TEST_CASE("client groups in virtual time: rejected requests and opened connections") {
  const struct {
    std::string name;
    std::size_t places;
    std::vector<Crowd> crowds;
    double took;
    double away;   // highest share of the first group's requests that may be rejected
    double opened; // highest share of the first group's requests that may open a connection
  } table[] = {
      {"300 clients per second send one request and keep the connection",
       128,
       {{1000, 300, 1, false}},
       30,
       0.01,
       1},
      {"the same with slow responses", 128, {{1000, 300, 1, false}}, 200, 0.01, 1},
      {"the same with 5 places", 5, {{1000, 20, 1, false}}, 20, 0.01, 1},
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
      {"110 clients of 128 places with a request per second", 128, {{1000, 110, 0, false}}, 50, 0, 0.05},
      {"30 frequent clients, 200 per second with one request",
       128,
       {{100, 30, 0, false}, {1000, 200, 1, false}},
       30,
       0,
       0.02},
  };
  for (const auto& row : table) {
    CAPTURE(row.name);
    ClientAdmission clients({.max_clients = row.places});
    const auto results = play(row.crowds, row.places, 60, row.took, clients);
    const double asked = results[0].asked;
    MESSAGE(row.name << ": requests " << results[0].asked << ", rejected " << results[0].turned_away
                     << ", opened " << results[0].opened << ", closed with a response " << results[0].told
                     << ", closed while idle " << results[0].cut);
    CHECK(results[0].turned_away <= row.away * asked);
    CHECK(results[0].opened <= row.opened * asked);
    if (results.size() > 1) CHECK(results[1].turned_away <= 0.02 * results[1].asked);
  }
}

TEST_CASE("properties of client admission over random events") {
  CHECK(rc::check("counts hold, only evictable ids are selected, unknown ids change nothing", [] {
    const auto places = *rc::gen::inRange<std::size_t>(0, 40);
    const auto events = *rc::gen::container<std::vector<std::pair<int, ClientAdmission::Id>>>(
        rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange<ClientAdmission::Id>(1, 40)));
    ClientAdmission clients({.max_clients = places});
    struct State {
      bool asked = false, spare = false, lingers = false;
    };
    std::map<ClientAdmission::Id, State> known;
    double now = 0;
    for (const auto& [what, id] : events) {
      now += static_cast<double>(id) * 40;
      const auto it = known.find(id);
      const bool here = it != known.end() && !it->second.lingers;
      switch (what) {
        case 0:
          clients.on_accepted(now, id);
          if (it == known.end()) known[id] = {false, true, false};
          break;
        case 1:
          clients.on_request_active(now, id);
          if (it != known.end()) it->second.spare = false;
          break;
        case 2:
        case 3:
          clients.on_request_complete(now, id);
          if (here) it->second = {true, false, false};
          break;
        case 4:
          if (here && clients.should_close_after_response(now, id)) RC_ASSERT(clients.active() > places / 4);
          break;
        case 5:
        case 6:
          clients.on_idle(now, id);
          if (here) it->second.spare = true;
          break;
        case 7:
          clients.on_lingering(now, id);
          if (it != known.end()) it->second.lingers = it->second.spare = true;
          break;
        default:
          clients.on_closed(
              now, id, what % 2 == 0 ? ClientAdmission::ClosedBy::Client : ClientAdmission::ClosedBy::Router);
          known.erase(id);
      }
      RC_ASSERT(clients.size() == known.size());
      std::size_t asking = 0;
      for (const auto& [k, s] : known) asking += s.asked && !s.lingers;
      RC_ASSERT(clients.active() == asking);
      RC_ASSERT(clients.return_share() >= 0 && clients.return_share() <= 1);
      if (const auto id_spare = clients.select_for_eviction(now, any)) RC_ASSERT(known.at(*id_spare).spare);
      if (const auto late = clients.expired_idle(now)) {
        RC_ASSERT(known.at(*late).spare && known.at(*late).asked && !known.at(*late).lingers);
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
