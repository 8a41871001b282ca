// Placement of keys while the endpoint list changes: cases, and properties over random sequences of lists.
#include "placement/placement.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <functional>
#include <map>
#include <set>
#include <vector>

using namespace fernward;
using placement::FillRateLimiter;

namespace {

struct Node {
  Server entry;
  placement::RingMemberState ring_state;
};
using Placement = placement::Placement<Node>;

constexpr double kTransitionMs = 30000;
const ResizeSettings kEnabled{kTransitionMs, 2, 0.3};

// A router's view: a list of nodes and the placement made from it.
struct Router {
  explicit Router(ResizeSettings settings = kEnabled) : key_placement(settings) {}
  std::map<ServerId, Node> nodes;
  Placement key_placement;
  double now = 1e6;

  void apply_list(const std::vector<Server>& servers) { // applies a complete list
    for (auto& [id, n] : nodes) n.entry.state = ServerState::Gone;
    for (const Server& s : servers) nodes[s.id].entry = s;
    std::vector<ServerId> all;
    for (const auto& [id, n] : nodes) all.push_back(id);
    arrange(all);
    std::erase_if(nodes, [](const auto& n) { return n.second.entry.state == ServerState::Gone; });
  }
  void arrange(const std::vector<ServerId>& changed, bool weighted = false) {
    key_placement.update_members(now, nodes, changed, weighted, [this](const Node& n) {
      ++examined_members;
      return n.entry.state != ServerState::Gone;
    });
  }
  int examined_members = 0; // number of members examined
  Placement::Choice choose(std::uint64_t key) {
    return key_placement.candidates(now, key,
                                    [](const Node& n) { return n.entry.state == ServerState::Ready; });
  }
  ServerId owner(std::uint64_t key) {
    const auto c = choose(key);
    return c.size > 0 ? c.replicas[0]->entry.id : 0;
  }
};

std::vector<Server> servers(std::uint32_t from, std::uint32_t to) {
  std::vector<Server> made;
  for (std::uint32_t id = from; id <= to; ++id) made.push_back({.id = id});
  return made;
}

} // namespace

// Guards against a change of one member that examines all members, which stalled a process with a small share
// of a core.
TEST_CASE("a change of one node examines as many nodes in a fleet of 3200 as in one of 200") {
  const auto examined_by_changes = [](std::uint32_t fleet) {
    Router router;
    router.apply_list(servers(1, fleet));
    router.examined_members = 0;
    router.nodes[7].entry.state = ServerState::Draining;
    router.arrange({7}, true);
    router.nodes[7].entry.state = ServerState::Gone;
    router.arrange({7}, true);
    router.nodes[fleet + 1].entry = {.id = fleet + 1};
    router.arrange({fleet + 1}, true);
    return router.examined_members;
  };
  CHECK(examined_by_changes(200) > 0);
  CHECK(examined_by_changes(3200) == examined_by_changes(200));
}

// Guards against incremental updates that diverge from the placement, weights included, of a complete list.
TEST_CASE("any sequence of changes leads to the same placement as a list of its result") {
  rc::check([] {
    Router changed, listed;
    for (int step = 0; step < 40; ++step) {
      const auto id = *rc::gen::inRange<std::uint32_t>(1, 30);
      Node& node = changed.nodes[id];
      node.entry.id = id;
      node.entry.weight = *rc::gen::element(0.1, 0.7, 1.0, 4.0, 1e300);
      node.entry.state = *rc::gen::element(ServerState::Ready, ServerState::Draining, ServerState::Gone);
      changed.arrange({id}, true);
    }
    std::vector<ServerId> all;
    for (const auto& [id, node] : changed.nodes) {
      listed.nodes[id].entry = node.entry;
      all.push_back(id);
    }
    listed.arrange(all, true);
    for (std::uint64_t key = 1; key < 200; ++key) RC_ASSERT(changed.owner(key) == listed.owner(key));
  });
}

TEST_CASE("an added node moves at most its share of the keys and the load stays even") {
  constexpr int kKeys = 60000;
  for (const std::uint32_t n : {8u, 20u, 200u}) {
    Router router;
    router.apply_list(servers(1, n));
    std::vector<ServerId> before(kKeys);
    std::map<ServerId, int> load;
    for (int k = 0; k < kKeys; ++k) ++load[before[k] = router.owner(k + 1)];
    int max_load = 0;
    for (const auto& [id, keys] : load) max_load = std::max(max_load, keys);
    CHECK(max_load < 1.5 * kKeys / n);
    router.apply_list(servers(1, n + 1));
    int moved = 0, moved_elsewhere = 0;
    for (int k = 0; k < kKeys; ++k) {
      const ServerId now = router.owner(k + 1);
      moved += now != before[k];
      moved_elsewhere += now != before[k] && now != n + 1;
    }
    CHECK(moved < 1.3 * kKeys / (n + 1));
    CHECK(moved_elsewhere == 0);
  }
}

TEST_CASE("a thousand nodes in one list get the same placement as in several lists") {
  Router one_list, several_lists;
  one_list.apply_list(servers(1, 1000));
  for (std::uint32_t n = 100; n <= 1000; n += 100) several_lists.apply_list(servers(1, n));
  for (std::uint64_t key = 1; key < 3000; ++key) CHECK(one_list.owner(key) == several_lists.owner(key));
}

TEST_CASE("the former owner of a key is expected to hold it and the new owner is not until it had a hit") {
  Router router;
  router.apply_list(servers(1, 8));
  std::map<std::uint64_t, ServerId> before;
  for (std::uint64_t key = 1; key < 500; ++key) before[key] = router.owner(key);
  router.now += 60000;
  router.apply_list(servers(1, 12));
  int moving = 0;
  for (const auto& [key, owner] : before) {
    const auto c = router.choose(key);
    CHECK(c.moving == (c.replicas[0]->entry.id != owner));
    if (!c.moving) {
      CHECK(router.key_placement.likely_holds(c, 0, key));
      continue;
    }
    ++moving;
    REQUIRE(c.former_owner != nullptr);
    CHECK(c.former_owner->entry.id == owner);
    for (std::size_t i = 0; i < c.size; ++i)
      CHECK(router.key_placement.likely_holds(c, i, key) == (c.replicas[i] == c.former_owner));
    router.key_placement.on_hit(key, c.replicas[0]->entry.id, router.now);
    const auto filled = router.choose(key);
    CHECK_FALSE(filled.moving);
    CHECK(router.key_placement.likely_holds(filled, 0, key));
  }
  CHECK(moving > 100);
  router.now += kTransitionMs;
  for (const auto& [key, owner] : before) CHECK_FALSE(router.choose(key).moving);
}

TEST_CASE("keys end their move one by one") {
  Router router;
  router.apply_list(servers(1, 8));
  router.now += 60000;
  router.apply_list(servers(1, 16));
  const auto moving = [&] {
    int n = 0;
    for (std::uint64_t key = 1; key <= 2000; ++key) n += router.choose(key).moving;
    return n;
  };
  const int all = moving();
  router.now += 0.5 * kTransitionMs;
  CHECK(moving() > 0.95 * all);
  for (const double left : {0.75, 0.5, 0.25}) {
    router.now += kTransitionMs / 8;
    CHECK(moving() == doctest::Approx(left * all).epsilon(0.15));
  }
}

TEST_CASE("with several changes in one transition the former owner is the one before all of them") {
  Router router;
  router.apply_list(servers(1, 6));
  std::map<std::uint64_t, ServerId> before;
  for (std::uint64_t key = 1; key < 300; ++key) before[key] = router.owner(key);
  for (const std::uint32_t n : {8u, 10u, 12u}) {
    router.now += 2000;
    router.apply_list(servers(1, n));
  }
  for (const auto& [key, owner] : before) {
    const auto c = router.choose(key);
    if (c.replicas[0]->entry.id == owner) continue;
    REQUIRE(c.former_owner != nullptr);
    CHECK(c.former_owner->entry.id == owner);
  }
}

TEST_CASE("a node that returns unchanged still has its keys and a restarted one has none") {
  Router router;
  std::vector<Server> all = servers(1, 8);
  for (Server& s : all) s.started_at = 1000;
  router.apply_list(all);
  router.now += 60000;
  std::vector<std::uint64_t> keys;
  for (std::uint64_t key = 1; key < 400; ++key) {
    if (router.owner(key) == 8) keys.push_back(key);
  }
  REQUIRE(keys.size() > 10);
  for (const std::uint64_t key : keys) router.key_placement.on_hit(key, 8, router.now);
  for (int flap = 0; flap < 5; ++flap) {
    all.pop_back();
    router.apply_list(all);
    router.now += 1000;
    all.push_back({.id = 8, .started_at = 1000});
    router.apply_list(all);
    router.now += 1000;
  }
  for (const std::uint64_t key : keys) CHECK_FALSE(router.choose(key).moving);
  SUBCASE("restarted under the same id") { all.back().started_at = router.now; }
  SUBCASE("left and returned with another start time") {
    all.pop_back();
    router.apply_list(all);
    all.push_back({.id = 8, .started_at = router.now});
  }
  router.apply_list(all);
  for (const std::uint64_t key : keys) CHECK(router.choose(key).moving);
}

TEST_CASE("a key on a restarted node is read from the next node that may hold it") {
  Router router;
  std::vector<Server> all = servers(1, 8);
  router.apply_list(all);
  const ServerId owner = router.owner(77);
  router.now += 60000;
  all[owner - 1].started_at = router.now;
  router.apply_list(all);
  const auto c = router.choose(77);
  CHECK(c.moving);
  REQUIRE(c.former_owner != nullptr);
  CHECK(c.former_owner == c.replicas[1]);
  CHECK_FALSE(router.key_placement.likely_holds(c, 0, 77));
}

TEST_CASE("a router that starts during a transition uses the start times of its first list") {
  Router old, fresh;
  old.apply_list(servers(1, 8));
  old.now = fresh.now = old.now + 60000;
  std::vector<Server> grown = servers(1, 12);
  for (std::uint32_t id = 9; id <= 12; ++id) grown[id - 1].started_at = old.now;
  old.apply_list(grown);
  old.now += 5000, fresh.now += 5000;
  fresh.apply_list(grown);
  for (std::uint64_t key = 1; key < 300; ++key) {
    const auto a = old.choose(key), b = fresh.choose(key);
    CHECK(a.moving == b.moving);
    CHECK((a.former_owner == nullptr ? 0 : a.former_owner->entry.id) ==
          (b.former_owner == nullptr ? 0 : b.former_owner->entry.id));
  }
  CHECK(fresh.key_placement.fill_rate_limiter().is_active(fresh.now));
  Router settled_router; // and treats a fleet that started long ago as settled
  std::vector<Server> settled = servers(1, 8);
  for (Server& s : settled) s.started_at = settled_router.now - 10 * kTransitionMs;
  settled_router.apply_list(settled);
  CHECK_FALSE(settled_router.key_placement.fill_rate_limiter().is_active(settled_router.now));
  for (std::uint64_t key = 1; key < 100; ++key) CHECK_FALSE(settled_router.choose(key).moving);
}

TEST_CASE("a key observed before a write does not count as held on any node") {
  Router router;
  router.apply_list(servers(1, 8));
  router.now += 60000;
  router.apply_list(servers(1, 12));
  std::uint64_t key = 1;
  while (!router.choose(key).moving) ++key;
  const ServerId now = router.choose(key).replicas[0]->entry.id,
                 former_owner = router.choose(key).former_owner->entry.id;
  const double sent_at = router.now; // a fetch is sent, the write overtakes it, the fetch ends
  router.now += 20;
  router.key_placement.on_hit(key, former_owner, router.now);
  router.key_placement.on_write(key, router.now);
  router.now += 20;
  router.key_placement.on_hit(key, now, sent_at);
  CHECK(router.choose(key).moving);
  router.key_placement.on_hit(key, now, router.now);
  CHECK_FALSE(router.choose(key).moving);
}

TEST_CASE("fills go to the new owner with popular keys first and each uses a saved fill") {
  Router router;
  router.apply_list(servers(1, 8));
  for (int i = 0; i < 4000; ++i) { // 10 s of traffic, one read in five of key 7; one in ten is fetched
    router.now += 2.5;
    router.key_placement.on_read(router.now, i % 5 == 0 ? 7 : 1000 + i);
    if (i % 10 == 1) router.key_placement.fill_rate_limiter().on_fetch(router.now);
  }
  router.apply_list(servers(1, 64));
  std::uint64_t rare = 100000;
  while (!router.choose(rare).moving) ++rare;
  REQUIRE(router.choose(7).moving);
  CHECK(router.key_placement.choose_fill(router.now, rare, router.choose(rare)).target == nullptr);
  const auto [owner, what] = router.key_placement.choose_fill(router.now, 7, router.choose(7));
  REQUIRE(owner != nullptr);
  CHECK(owner->entry.id == router.owner(7));
  CHECK(what == FillRateLimiter::Fill::NewOwner);
  router.key_placement.fill_rate_limiter().on_filled(what);
  CHECK(router.key_placement.choose_fill(router.now, 7, router.choose(7)).target == nullptr); // no saved fill
  router.key_placement.fill_rate_limiter().refund(what);
  CHECK(router.key_placement.choose_fill(router.now, 7, router.choose(7)).target != nullptr);
}

TEST_CASE("before a fetch the read goes to the new owner or to the second replica of a popular key") {
  const auto any = [](const Node&) { return true; };
  Router router;
  router.apply_list(servers(1, 8));
  for (int i = 0; i < 2000; ++i) router.key_placement.on_read(router.now += 1, i % 3 == 0 ? 7 : 1000 + i);
  CHECK(router.key_placement.choose_additional_store(router.now, 5000000, 1, any) == nullptr);
  const auto c = router.choose(7);
  CHECK(router.key_placement.choose_additional_store(
            router.now, 7, 1, [&](const Node& n) { return &n != c.replicas[0]; }) == c.replicas[1]);
  CHECK(router.key_placement.choose_additional_store(router.now, 7, 2, any) ==
        nullptr); // at most two store it
  router.apply_list(servers(1, 16));
  std::uint64_t key = 6000000;
  while (!router.choose(key).moving) ++key;
  CHECK(router.key_placement.choose_additional_store(router.now, key, 1, any) ==
        router.choose(key).replicas[0]);
}

TEST_CASE("disabled: only the three candidates of the ring") {
  Router router{ResizeSettings{}};
  router.apply_list(servers(1, 8));
  router.now += 60000;
  router.apply_list(servers(1, 16));
  for (std::uint64_t key = 1; key < 200; ++key) {
    const auto c = router.choose(key);
    CHECK(c.size == 3);
    CHECK_FALSE(c.moving);
    CHECK(router.key_placement.likely_holds(c, 0, key));
    CHECK(router.key_placement.choose_fill(router.now, key, c).target == nullptr);
  }
  CHECK_FALSE(router.key_placement.fill_rate_limiter().is_active(router.now));
  CHECK(router.key_placement.fill_rate_limiter().may_fetch(router.now));
}

TEST_CASE("properties of placement over random sequences of lists") {
  CHECK(rc::check("every key has a candidate, all are in service, each move ends, routers agree", [] {
    Router router;
    std::map<ServerId, Server> fleet;
    ServerId last = 0;
    const int steps = *rc::gen::inRange(1, 25);
    for (int step = 0; step < steps; ++step) {
      const int changes = *rc::gen::inRange(1, 6);
      for (int c = 0; c < changes; ++c) {
        const int what = *rc::gen::inRange(0, 6);
        if (what <= 1 || fleet.empty()) {
          fleet[++last] = {.id = last, .started_at = *rc::gen::arbitrary<bool>() ? router.now : 0};
          continue;
        }
        auto it = std::next(fleet.begin(), *rc::gen::inRange<int>(0, static_cast<int>(fleet.size())));
        if (what == 2) it->second.state = ServerState::Draining;
        if (what == 3) it->second.state = ServerState::Ready;
        if (what == 4) it->second.started_at = router.now;
        if (what == 5) fleet.erase(it);
      }
      std::vector<Server> list;
      bool any_in_service = false;
      for (const auto& [id, s] : fleet) list.push_back(s), any_in_service |= s.state == ServerState::Ready;
      router.apply_list(list);
      Router other; // receives only the final list
      other.now = router.now;
      other.apply_list(list);
      for (std::uint64_t key = 1; key <= 40; ++key) {
        const auto c = router.choose(key);
        RC_ASSERT((c.size > 0) == any_in_service);
        std::set<ServerId> chosen_ids;
        for (std::size_t i = 0; i < c.size; ++i) {
          RC_ASSERT(c.replicas[i]->entry.state == ServerState::Ready);
          RC_ASSERT(chosen_ids.insert(c.replicas[i]->entry.id).second);
        }
        if (c.former_owner != nullptr) {
          RC_ASSERT(chosen_ids.count(c.former_owner->entry.id) == std::size_t{1});
          RC_ASSERT(c.former_owner != c.replicas[0]);
        }
        RC_ASSERT(router.owner(key) == other.owner(key));
        const Node* const fill = router.key_placement.choose_fill(router.now, key, c).target;
        if (fill != nullptr) RC_ASSERT(chosen_ids.count(fill->entry.id) == std::size_t{1});
        if (c.size > 0 && *rc::gen::inRange(0, 4) == 0)
          router.key_placement.on_hit(key, c.replicas[0]->entry.id, router.now);
      }
      router.now += *rc::gen::inRange(1, 20000);
    }
    router.now += kTransitionMs;
    for (std::uint64_t key = 1; key <= 40; ++key) RC_ASSERT(!router.choose(key).moving);
  }));
}
