// The budget of descriptors and buffers: tables of cases, and properties over random events.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "descriptors/client_admission.h"
#include "descriptors/descriptor_budget.h"

using namespace fernward::descriptors;
using Needs = DescriptorBudget::Needs;

namespace {

std::vector<DescriptorBudget::Place> take(DescriptorBudget& account, Side side, int places, double now = 0) {
  std::vector<DescriptorBudget::Place> taken;
  for (int i = 0; i < places; ++i) {
    taken.push_back(account.take(now, side));
    REQUIRE(taken.back());
  }
  return taken;
}

} // namespace

TEST_CASE("a side holds up to three quarters while the other rests, and gives them back") {
  DescriptorBudget account(40);
  auto clients = take(account, Side::Clients, 30);
  CHECK(account.needs(0, Side::Clients) == Needs::Own); // the rest is the targets' floor
  auto targets = take(account, Side::Targets, 10);
  CHECK(account.needs(0, Side::Targets) == Needs::Recall);
  CHECK_FALSE(account.take(0, Side::Targets));
  for (int i = 0; i < 10; ++i) {
    REQUIRE(account.needs(0, Side::Targets) == Needs::Recall);
    clients.pop_back(); // what a recall does
    targets.push_back(account.take(0, Side::Targets));
    CHECK(targets.back());
  }
  CHECK(account.needs(0, Side::Targets) == Needs::Own); // each has its share
  CHECK(account.needs(0, Side::Clients) == Needs::Own);
}

TEST_CASE("what the system refuses is taken off, and tried again by and by") { // guards: spinning on EMFILE
  DescriptorBudget account(200);
  auto clients = take(account, Side::Clients, 50);
  CHECK(account.refused(1000));
  CHECK(account.usable(1000) == 50);
  CHECK(account.needs(1000, Side::Clients) == Needs::Own);
  CHECK(account.needs(1000, Side::Targets) == Needs::Recall);
  CHECK_FALSE(account.refused(1500)); // no news
  CHECK(account.usable(2400) == 50);
  CHECK(account.usable(2500) == 51);
  CHECK(account.usable(6500) == 81);
  CHECK(account.usable(60000) == 200);
  clients.clear();
  account.refused(70000); // with nothing in use it must still try again
  CHECK(account.take(70000, Side::Clients));
}

TEST_CASE("requests that have not come whole are over once they hold more than all") {
  RequestBufferBudget buffers(1000);
  {
    RequestBufferBudget::Held one(buffers), two(buffers);
    one.set(600);
    two.set(400);
    CHECK_FALSE(buffers.over());
    two.set(401);
    CHECK(buffers.over());
    one.set(10);
    CHECK_FALSE(buffers.over());
  }
  CHECK(buffers.held() == 0);
}

TEST_CASE("properties of the account over random events") {
  CHECK(rc::check("floors kept, sums kept, the lender gets back, each grant returned once", [] {
    const auto total = *rc::gen::inRange<std::size_t>(0, 300);
    const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 40), rc::gen::inRange(0, 1000)));
    DescriptorBudget account(total);
    std::array<std::deque<DescriptorBudget::Place>, 2> held;
    double now = 0;
    for (const auto& [what, number] : events) {
      now += number % 7 * 100;
      const auto side = static_cast<Side>(number % 2);
      auto& mine = held[static_cast<std::size_t>(side)];
      auto& others = held[1 - static_cast<std::size_t>(side)];
      if (what == 0) {
        account.refused(now);
      } else if (what < 12 && !mine.empty()) {
        DescriptorBudget::Place moved =
            std::move(mine.front()); // a moved place is given back once all the same
        mine.pop_front();
      } else {
        for (int i = 0; i < number % 40; ++i) {
          const std::size_t usable = account.usable(now), before = mine.size();
          const Needs needs = account.needs(now, side);
          DescriptorBudget::Place place = account.take(now, side);
          RC_ASSERT(static_cast<bool>(place) == (needs == Needs::Nothing));
          if (place) {
            RC_ASSERT(mine.size() + 1 + std::max(others.size(), DescriptorBudget::floor_of(usable)) <=
                      usable);
            mine.push_back(std::move(place));
          } else if (usable == total) {
            RC_ASSERT(before >= DescriptorBudget::floor_of(usable));
          }
          if (needs == Needs::Recall) {
            RC_ASSERT(others.size() > DescriptorBudget::share_of(
                                          usable, side == Side::Clients ? Side::Targets : Side::Clients));
            others.pop_back(); // the other side lets one go: the place is free for the owner
            if (usable == total) RC_ASSERT(account.needs(now, side) == Needs::Nothing);
          }
        }
      }
      RC_ASSERT(account.used(Side::Clients) == held[0].size());
      RC_ASSERT(account.used(Side::Targets) == held[1].size());
      RC_ASSERT(held[0].size() + held[1].size() <= total);
    }
    held = {};
    RC_ASSERT(account.used(Side::Clients) + account.used(Side::Targets) == 0u);
  }));
}

// ---- clients ----

namespace {

bool any(ClientAdmission::Id) { return true; }

// A connection asks; true: it stays.
bool ask(ClientAdmission& clients, ClientAdmission::Id id, double now, double took = 1) {
  clients.busy(now, id);
  clients.asked(now, id);
  const bool ends = clients.ends(now + took, id);
  ends ? clients.lingers(now + took, id) : clients.rests(now + took, id);
  return !ends;
}

bool first_ask(ClientAdmission& clients, ClientAdmission::Id id, double now) {
  clients.came(now, id);
  return ask(clients, id, now);
}

} // namespace

TEST_CASE("who goes first: lingering, silent, came once, then those that asked twice longest ago") {
  ClientAdmission clients({.places = 100, .fresh_ms = 100, .rest_ms = 2000});
  first_ask(clients, 1, 0); // often: its last request but one is the oldest
  ask(clients, 1, 5000);
  first_ask(clients, 2, 4000); // often, and quick
  ask(clients, 2, 4050);
  ask(clients, 2, 4100);
  first_ask(clients, 3, 4500); // once
  first_ask(clients, 4, 4400); // once, rests longer
  clients.came(4600, 5);       // silent
  first_ask(clients, 6, 4700);
  clients.lingers(4800, 6);
  clients.came(5990, 7); // its request may be on the way
  clients.came(5000, 8);
  clients.busy(5950, 8); // has begun one
  std::vector<ClientAdmission::Id> order;
  while (const auto id = clients.spare(6000, any)) {
    order.push_back(*id);
    clients.gone(6000, *id, ClientAdmission::Gone::Closed);
  }
  CHECK(order == std::vector<ClientAdmission::Id>{6, 5, 4, 3, 1, 2});
  CHECK(clients.spare(6100, any) == 7u);
  CHECK_FALSE(clients.spare(6100, [](ClientAdmission::Id) { return false; }));
  first_ask(clients, 20, 6200);
  for (ClientAdmission::Id id = 21; id < 25; ++id) clients.came(6200, id);
  clients.gone(6200, 7, ClientAdmission::Gone::Left);
  CHECK_FALSE(clients.spare(6250, any)); // a crowd that may yet ask does not push out who rests
  CHECK(clients.spare(6300, any) == 21u);
}

TEST_CASE("where few ask, nobody is told to go") { // guards: connections ended for nothing
  ClientAdmission clients({.places = 85});
  double now = 0;
  for (int round = 0; round < 100; ++round, now += 50) {
    for (ClientAdmission::Id id = 1; id <= 20; ++id)
      CHECK((round == 0 ? first_ask(clients, id, now) : ask(clients, id, now)));
  }
  CHECK_FALSE(clients.overdue(now));
}

namespace {

struct Crowd { // clients in virtual time
  double every_ms;
  int clients;
  int requests; // of each connection, then it is kept in silence; 0: for good
  bool leaves;  // closes it instead
};

struct Result {
  int asked = 0, turned_away = 0, opened = 0, told = 0, cut = 0; // cut: closed while it rested
};

// Plays crowds against a table in which clients hold `places` connections at most and wait where there is
// none. Requests take `took` ms.
std::vector<Result> play(const std::vector<Crowd>& crowds, std::size_t places, double seconds, double took,
                         ClientAdmission& clients) {
  struct One {
    std::size_t crowd;
    ClientAdmission::Id id = 0;
    int requests = 0;
  };
  std::vector<Result> results(crowds.size());
  std::vector<One> all;
  std::multimap<double, std::size_t> next; // who asks when
  std::multimap<double, std::size_t> done;
  struct Open {
    std::size_t crowd, who;
    bool forgotten = false; // its client will never use it again
  };
  std::map<ClientAdmission::Id, Open> open;
  ClientAdmission::Id last = 0;
  for (std::size_t k = 0; k < crowds.size(); ++k) {
    for (int i = 0; i < crowds[k].clients; ++i) {
      next.emplace(crowds[k].every_ms * i / crowds[k].clients, all.size());
      all.push_back({k});
    }
  }
  const auto close = [&](ClientAdmission::Id id, double now, ClientAdmission::Gone how) {
    const auto it = open.find(id);
    if (!it->second.forgotten) all[it->second.who].id = 0;
    open.erase(it);
    clients.gone(now, id, how);
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
      for (auto id = clients.overdue(now); id; id = clients.overdue(now)) {
        ++results[open.at(*id).crowd].cut;
        close(*id, now, ClientAdmission::Gone::Closed);
      }
    }
    if (ends_first) {
      if (clients.ends(now, one.id)) {
        ++result.told;
        clients.lingers(now, one.id);
        close(one.id, now, ClientAdmission::Gone::Left);
      } else if (clients.rests(now, one.id); ++one.requests == crowd.requests) {
        if (crowd.leaves) {
          close(one.id, now, ClientAdmission::Gone::Left);
        } else { // the client forgets it: the next request comes on a new one
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
      clients.came(now, one.id);
    }
    clients.busy(now, one.id);
    clients.asked(now, one.id);
    done.emplace(now + took, who);
  }
}

} // namespace

// guards: places that clients hold and never use again, while others find none
TEST_CASE("crowds in virtual time: who is served, and who keeps the connection") {
  const struct {
    std::string name;
    std::size_t places;
    std::vector<Crowd> crowds;
    double took;
    double away;   // at most this share of the first crowd is turned away
    double opened; // and at most this share of its requests opens a connection
  } table[] = {
      {"300 a second ask once and keep it", 128, {{1000, 300, 1, false}}, 30, 0.01, 1},
      {"the same where answers take long", 128, {{1000, 300, 1, false}}, 200, 0.01, 1},
      {"the same in a table of 5", 5, {{1000, 20, 1, false}}, 20, 0.01, 1},
      {"300 a second ask twice and keep it", 128, {{1000, 300, 2, false}}, 30, 0.05, 1},
      {"300 a second ask once and leave", 128, {{1000, 300, 1, true}}, 30, 0, 1},
      {"20 that come every 50 ms, 1,000 once a minute",
       85,
       {{50, 20, 0, false}, {60000, 1000, 0, false}},
       5,
       0,
       0.01},
      {"the same, the 1,000 on new connections",
       85,
       {{50, 20, 0, false}, {60000, 1000, 1, false}},
       5,
       0,
       0.01},
      {"60 that come every 200 ms", 85, {{200, 60, 0, false}}, 20, 0, 0.01},
      {"110 of 128 that come every second", 128, {{1000, 110, 0, false}}, 50, 0, 0.05},
      {"30 that come often, 200 a second that ask once",
       128,
       {{100, 30, 0, false}, {1000, 200, 1, false}},
       30,
       0,
       0.02},
  };
  for (const auto& row : table) {
    CAPTURE(row.name);
    ClientAdmission clients({.places = row.places});
    const auto results = play(row.crowds, row.places, 60, row.took, clients);
    const double asked = results[0].asked;
    MESSAGE(row.name << ": asked " << results[0].asked << ", turned away " << results[0].turned_away
                     << ", opened " << results[0].opened << ", told to end " << results[0].told << ", cut "
                     << results[0].cut);
    CHECK(results[0].turned_away <= row.away * asked);
    CHECK(results[0].opened <= row.opened * asked);
    if (results.size() > 1) CHECK(results[1].turned_away <= 0.02 * results[1].asked);
  }
}

TEST_CASE("properties of the table of clients over random events") {
  CHECK(rc::check("counts kept, nothing due is spared, an unknown one changes nothing", [] {
    const auto places = *rc::gen::inRange<std::size_t>(0, 40);
    const auto events = *rc::gen::container<std::vector<std::pair<int, ClientAdmission::Id>>>(
        rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange<ClientAdmission::Id>(1, 40)));
    ClientAdmission clients({.places = places});
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
          clients.came(now, id);
          if (it == known.end()) known[id] = {false, true, false};
          break;
        case 1:
          clients.busy(now, id);
          if (it != known.end()) it->second.spare = false;
          break;
        case 2:
        case 3:
          clients.asked(now, id);
          if (here) it->second = {true, false, false};
          break;
        case 4:
          if (here && clients.ends(now, id)) RC_ASSERT(clients.asking() > places / 4);
          break;
        case 5:
        case 6:
          clients.rests(now, id);
          if (here) it->second.spare = true;
          break;
        case 7:
          clients.lingers(now, id);
          if (it != known.end()) it->second.lingers = it->second.spare = true;
          break;
        default:
          clients.gone(now, id, what % 2 == 0 ? ClientAdmission::Gone::Left : ClientAdmission::Gone::Closed);
          known.erase(id);
      }
      RC_ASSERT(clients.size() == known.size());
      std::size_t asking = 0;
      for (const auto& [k, s] : known) asking += s.asked && !s.lingers;
      RC_ASSERT(clients.asking() == asking);
      RC_ASSERT(clients.back_share() >= 0 && clients.back_share() <= 1);
      if (const auto id_spare = clients.spare(now, any)) RC_ASSERT(known.at(*id_spare).spare);
      if (const auto late = clients.overdue(now)) {
        RC_ASSERT(known.at(*late).spare && known.at(*late).asked && !known.at(*late).lingers);
      }
    }
  }));
}

TEST_CASE(
    "a request that has begun and does not come on is let go before those that rest, after the silent ones") {
  ClientAdmission clients({100, 100, 700, 2000});
  const auto any = [](ClientAdmission::Id) { return true; };
  clients.came(0, 1);
  clients.asked(1, 1);
  clients.rests(2, 1); // 1: was answered
  clients.came(0, 2);
  clients.begun(10, 2); // 2: half a request, and no more
  clients.came(0, 3);
  clients.begun(10, 3);                                                          // 3: goes on writing, slowly
  CHECK_FALSE(clients.spare(300, any) == std::optional<ClientAdmission::Id>(2)); // it may be slow
  clients.begun(600, 3);
  CHECK(clients.spare(800, any) == std::optional<ClientAdmission::Id>(2));
  clients.came(800, 4);
  CHECK(clients.spare(1000, any) == std::optional<ClientAdmission::Id>(4)); // has said nothing at all
  clients.gone(1000, 4, ClientAdmission::Gone::Closed);
  clients.gone(1000, 2, ClientAdmission::Gone::Closed);
  clients.asked(1001, 3); // whole: it is worked on, and can't be spared
  CHECK(clients.spare(2000, any) == std::optional<ClientAdmission::Id>(1));
  clients.gone(2000, 1, ClientAdmission::Gone::Closed);
  CHECK_FALSE(clients.spare(2000, any).has_value());
}
