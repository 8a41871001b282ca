// Errors of invalid specs, and the plan, network and front balancer of valid ones.
#include <doctest/doctest.h>

#include <functional>
#include <set>

#include "model/clients.h"
#include "model/network.h"
#include "model/plan.h"
#include "support.h"

using namespace fernward::model;
using namespace fernward::model::test;

namespace {

Spec two_zone_spec() {
  Spec spec = plain_spec({DistributionShape::Fixed, 10, 0});
  spec.duration_ms = 60000;
  spec.zones.push_back({"there", 3});
  spec.origin.enabled = true;
  spec.nodes[0].count = 4;
  spec.nodes[0].standby = 2;
  spec.nodes.push_back(spec.nodes[0]);
  spec.nodes[1].name = "m";
  spec.nodes[1].zone = 1;
  spec.routers.groups = {{0, 2}, {1, 2}};
  return spec;
}

} // namespace

TEST_CASE("an error of a spec has the path of its member") {
  CHECK(find_spec_errors(two_zone_spec()).empty());
  const struct {
    const char* path;
    std::function<void(Spec&)> make_invalid;
  } cases[] = {
      {"duration_ms", [](Spec& s) { s.duration_ms = 0; }},
      {"zones", [](Spec& s) { s.zones.clear(); }},
      {"network.links[0].to",
       [](Spec& s) {
         s.network.links.push_back({0, 2, 3});
       }},
      {"network.datagram_min_ms", [](Spec& s) { s.network.datagram_min_ms = 99; }},
      {"kinds[0].cores", [](Spec& s) { s.kinds[0].cores = -1; }},
      {"kinds[0].places", [](Spec& s) { s.kinds[0].max_active = 0; }},
      {"kinds[0].start_capacity", [](Spec& s) { s.kinds[0].start_capacity = 0; }},
      {"kinds[1].report.fields",
       [](Spec& s) {
         s.kinds.push_back(s.kinds[0]);
         s.kinds[1].report.enabled = true;
       }},
      {"nodes[1].zone", [](Spec& s) { s.nodes[1].zone = 2; }},
      {"nodes", [](Spec& s) { s.nodes[0].count = s.nodes[1].count = 0; }},
      {"origin.capacity_per_s", [](Spec& s) { s.origin.capacity_per_s = 0; }},
      {"routers.groups", [](Spec& s) { s.routers.groups.clear(); }},
      {"routers.sockets", [](Spec& s) { s.routers.max_sockets = 10; }},
      {"classes[0].aim_ms", [](Spec& s) { s.classes[0].latency_objective_ms = 2000; }},
      {"classes", [](Spec& s) { s.classes[0].share = 0; }},
      {"keys.count", [](Spec& s) { s.keys.count = 0; }},
      {"load.rate_per_s", [](Spec& s) { s.load.rate_per_s = std::nan(""); }},
      {"clients.try_share_max", [](Spec& s) { s.clients.try_timeout_share_max = 1.5; }},
      {"events[0].at_ms",
       [](Spec& s) {
         s.events = {{60000, "", OriginFall{}}};
       }},
      {"events[0].until_ms",
       [](Spec& s) {
         s.events = {{20000, "", OriginStall{10000}}};
       }},
      {"events[0].what",
       [](Spec& s) {
         s.origin.enabled = false;
         s.events = {{20000, "", OriginStall{30000}}};
       }},
      {"events[1].who.nodes",
       [](Spec& s) {
         s.events = {{1000, "", OriginFall{}}, {2000, "", KillNodes{}}};
         std::get<KillNodes>(s.events[1].what).who.nodes = {12};
       }},
      {"events[0].b",
       [](Spec& s) {
         s.events = {{1000, "", PartitionZones{{0}, {}, 2000}}};
       }},
      {"routers.sharing.period_ms", [](Spec& s) { s.routers.sharing.ping_period_ms = 49; }},
      {"events[0].carries",
       [](Spec& s) {
         s.events = {{1000, "", PartitionRouters{}}};
       }},
      {"events[0].one_way",
       [](Spec& s) {
         s.events = {{1000, "", PartitionRouters{{}, {}, true, PartitionedTraffic::All, 2000}}};
       }},
      {"events[0].what",
       [](Spec& s) {
         s.events = {{1000, "", InconsistentRouter{}}};
       }},
      {"holds.bounds[0].at_least", [](Spec& s) { s.expectations.bounds.push_back({}); }},
      {"holds.bounds[0].cls",
       [](Spec& s) {
         Bound bound;
         bound.at_least = 0.9;
         bound.cls = 1;
         s.classes.push_back(s.classes[0]);
         s.classes[1].share = 0;
         s.expectations.bounds.push_back(bound);
       }},
  };
  for (const auto& c : cases) {
    CAPTURE(std::string(c.path));
    Spec spec = two_zone_spec();
    c.make_invalid(spec);
    const auto found = find_spec_errors(spec);
    REQUIRE_FALSE(found.empty());
    CHECK(found[0].path == c.path);
    CHECK((found.size() == 1 ||
           found[0].path == "zones")); // without zones all references to them are errors too
    CHECK_FALSE(found[0].reason.empty());
  }
}

TEST_CASE("a plan numbers machines in order and selects by the seed and reverts events that end") {
  Spec spec = two_zone_spec();
  const NodeSelector half{{}, {}, {}, {}, {}, 0.5, true};
  spec.events = {{1000, "drain", DrainNodes{half, 2000, 1000}},
                 {5000, "start", StartNodes{{{}, {}, {}, {}, {}, 1, true}}},
                 {6000, "replace", ReplaceNodes{{{1}, {}, {}, {}, {}, 1, false}, 500}},
                 {7000, "neighbour", NoisyNeighbour{half, 0.5, 20000, 1000, 1000}},
                 {8000, "lost", ZoneOutage{1, 9000, true}},
                 {9000, "roll", RestartRouters{{}, RouterEnd::Term, 1000, 2, 4000}}};
  const Plan plan = make_plan(spec);
  REQUIRE(plan.machines.size() == 14);
  CHECK(plan.origin == 12);
  CHECK(plan.machines[5].name == "n-5");
  CHECK_FALSE(plan.machines[5].at_start);
  CHECK(plan.machines[6].name == "m-0");
  CHECK(plan.machines[12].name == "origin");
  CHECK(plan.machines[13].name == "n-1-next");
  CHECK(plan.machines[13].address_of == 1);
  CHECK(plan.client_share[1] == doctest::Approx(0.75));

  std::set<MachineId> drained, started, silent;
  std::map<MachineId, double> neighbour;
  std::set<std::uint32_t> open_marks;
  double last = 0;
  std::set<double> rolls;
  for (const Step& step : plan.steps) {
    CHECK(step.at_ms >= last);
    last = step.at_ms;
    if (const auto* n = std::get_if<NodeStep>(&step.what)) {
      if (n->what == NodeStep::What::Drain) drained.insert(n->machine);
      if (n->what == NodeStep::What::Start) started.insert(n->machine);
      if (n->what == NodeStep::What::Neighbour) neighbour[n->machine] = n->share;
      if (n->what == NodeStep::What::Silence) silent.insert(n->machine);
      if (n->what == NodeStep::What::Return) silent.erase(n->machine);
    } else if (const auto* r = std::get_if<RouterStep>(&step.what)) {
      if (r->what == RouterStep::What::Term) rolls.insert(step.at_ms);
    } else if (const auto* m = std::get_if<MarkStep>(&step.what)) {
      CHECK((m->begins ? open_marks.insert(m->event).second : open_marks.erase(m->event) == 1));
    }
  }
  CHECK(drained.size() == 4);
  for (const MachineId id : drained) CHECK((plan.machines[id].at_start && started.count(id) == 1));
  CHECK(started.size() == 9); // 4 drained ones, 4 on standby, 1 replacement
  CHECK(neighbour.size() >= 6);
  for (const auto& [id, share] : neighbour) CHECK(share == 0);
  CHECK(silent.empty());
  CHECK(open_marks.empty());
  CHECK(rolls == std::set<double>{9000, 11000});

  Spec other = spec;
  other.seed = 2;
  const Plan other_plan = make_plan(other);
  std::set<MachineId> drained_in_other_plan;
  for (const Step& step : other_plan.steps) {
    const auto* n = std::get_if<NodeStep>(&step.what);
    if (n != nullptr && n->what == NodeStep::What::Drain) drained_in_other_plan.insert(n->machine);
  }
  CHECK(drained_in_other_plan != drained);
}

TEST_CASE("messages pass unless a side is silent or partitioned and delays are those of the zones") {
  Spec spec = two_zone_spec();
  spec.network.jitter = 0;
  spec.network.links = {{1, 0, 30}};
  const Plan plan = make_plan(spec);
  Network net(spec, plan);
  CHECK(net.zone_delay(0, 1) == 30);
  CHECK(net.zone_delay(1, 1) == spec.network.same_zone_delay_ms);
  CHECK(net.client_delay(0, 1) == 30 + spec.network.client_delay_ms);
  net.apply({0, LinkStep{0, 1, 3}});
  CHECK(net.zone_delay(1, 0) == 90);
  CHECK(net.is_connected(0, 6));
  PartitionStep cut{7, true, {6}, {}, {}, {0}, false};
  net.apply({0, cut});
  CHECK_FALSE(net.is_connected(0, 6));
  CHECK(net.is_connected(1, 6));
  net.apply({0, PartitionStep{7, false, {}, {}, {}, {}, false}});
  CHECK(net.is_connected(0, 6));
  net.apply({0, NodeStep{6, NodeStep::What::Silence, 0, BadResponse::Error}});
  CHECK_FALSE(net.is_connected(1, 6));
  net.apply({0, RouterStep{3, RouterStep::What::Silence, 0}});
  CHECK_FALSE(net.is_connected(3, 0));
  CHECK_FALSE(net.datagram_delay(1, 3).has_value());
  CHECK(net.datagram_delay(1, 2).has_value());
  net.apply({0, RouterStep{3, RouterStep::What::Return, 0}});
  CHECK(net.is_connected(3, 0));
}

TEST_CASE("router partitions and datagram losses and pauses affect exactly the selected traffic") {
  Spec spec = two_zone_spec();
  spec.routers.sharing.enabled = true;
  spec.events = {
      {1000, "",
       PartitionRouters{{{0}, {}, {}}, {{1, 2}, {}, {}}, true, PartitionedTraffic::Datagrams, 2000}},
      {3000, "", PartitionRouters{{{}, 0, {}}, {}, false, PartitionedTraffic::All, 4000}},
      {5000, "", LoseDatagrams{{{3}, {}, {}}, 0.5, 1, 6000}},
      {7000, "", PauseRouters{{{2}, {}, {}}, 8000}}};
  REQUIRE(find_spec_errors(spec).empty());
  const Plan plan = make_plan(spec);
  Network net(spec, plan);
  std::size_t next = 0;
  std::vector<RouterStep> steps;
  const auto until = [&](double at) {
    for (; next < plan.steps.size() && plan.steps[next].at_ms <= at; ++next) {
      net.apply(plan.steps[next]);
      if (const auto* r = std::get_if<RouterStep>(&plan.steps[next].what)) steps.push_back(*r);
    }
  };
  const auto share = [&](RouterId from, RouterId to, bool twice) {
    int n = 0;
    for (int i = 0; i < 1000; ++i)
      n += twice ? net.draw_duplicate(from, to) : net.datagram_delay(from, to).has_value();
    return n;
  };
  until(1500);
  CHECK_FALSE(net.routers_connected(0, 1));
  CHECK_FALSE(net.routers_connected(0, 2));
  CHECK(net.routers_connected(1, 0));
  CHECK(net.routers_connected(0, 3));
  CHECK(net.is_connected(0, 6)); // only datagrams are affected
  until(3500);                   // partition by zones: routers 0 and 1 from 2 and 3 and the machines there
  CHECK(net.routers_connected(0, 1));
  CHECK_FALSE(net.routers_connected(0, 2));
  CHECK_FALSE(net.routers_connected(3, 1));
  CHECK_FALSE(net.is_connected(0, 6));
  CHECK_FALSE(net.is_connected(2, 0));
  CHECK(net.is_connected(2, 6));
  until(4500);
  CHECK(net.is_connected(0, 6));
  CHECK(share(0, 3, false) == 1000);
  until(5500);
  CHECK(share(0, 3, false) == doctest::Approx(500).epsilon(0.1));
  CHECK(share(3, 0, true) == 1000);
  CHECK(share(0, 1, false) == 1000);
  CHECK(share(0, 1, true) == 0);
  until(60000);
  CHECK(share(0, 3, false) == 1000);
  REQUIRE(steps.size() == 2);
  CHECK((steps[0].router == 2 && steps[0].what == RouterStep::What::Pause));
  CHECK((steps[1].router == 2 && steps[1].what == RouterStep::What::Resume));
}

TEST_CASE("the front balancer uses a dead router until detection and other zones if its own has no router") {
  Spec spec = two_zone_spec();
  spec.front.failure_detection_ms = 1000;
  const Plan plan = make_plan(spec);
  FrontBalancer front(spec, plan);
  const auto picked_routers = [&](double now) {
    std::set<RouterId> all;
    for (int i = 0; i < 8; ++i) all.insert(*front.pick(now, 0));
    return all;
  };
  CHECK(picked_routers(0) == std::set<RouterId>{0, 1});
  front.set_down(100, 0);
  CHECK(picked_routers(1000) == std::set<RouterId>{0, 1});
  CHECK(picked_routers(1101) == std::set<RouterId>{1});
  front.set_up(1200, 0);
  CHECK(picked_routers(1200 + spec.front.ready_check_interval_ms) == std::set<RouterId>{0, 1});
  front.set_down(2000, 0);
  front.set_down(2000, 1);
  CHECK(picked_routers(4000) == std::set<RouterId>{2, 3});
  front.set_zone_state(0, ZoneStep::What::Lost);
  CHECK_FALSE(front.pick(4000, 0).has_value());
  front.set_zone_state(0, ZoneStep::What::Move);
  front.set_up(4000, 0);
  CHECK(picked_routers(5000) == std::set<RouterId>{0, 2, 3});
}
