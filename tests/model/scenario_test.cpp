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
      {"duration_ms", [](Spec& spec) { spec.duration_ms = 0; }},
      {"zones", [](Spec& spec) { spec.zones.clear(); }},
      {"network.links[0].to",
       [](Spec& spec) {
         spec.network.links.push_back({0, 2, 3});
       }},
      {"network.datagram_min_ms", [](Spec& spec) { spec.network.datagram_min_ms = 99; }},
      {"kinds[0].cores", [](Spec& spec) { spec.kinds[0].cores = -1; }},
      {"kinds[0].places", [](Spec& spec) { spec.kinds[0].max_active = 0; }},
      {"kinds[0].start_capacity", [](Spec& spec) { spec.kinds[0].start_capacity = 0; }},
      {"kinds[1].report.fields",
       [](Spec& spec) {
         spec.kinds.push_back(spec.kinds[0]);
         spec.kinds[1].report.enabled = true;
       }},
      {"nodes[1].zone", [](Spec& spec) { spec.nodes[1].zone = 2; }},
      {"nodes", [](Spec& spec) { spec.nodes[0].count = spec.nodes[1].count = 0; }},
      {"origin.capacity_per_s", [](Spec& spec) { spec.origin.capacity_per_s = 0; }},
      {"routers.groups", [](Spec& spec) { spec.routers.groups.clear(); }},
      {"routers.sockets", [](Spec& spec) { spec.routers.max_sockets = 10; }},
      {"classes[0].aim_ms", [](Spec& spec) { spec.classes[0].latency_objective_ms = 2000; }},
      {"classes", [](Spec& spec) { spec.classes[0].share = 0; }},
      {"keys.count", [](Spec& spec) { spec.keys.count = 0; }},
      {"load.rate_per_s", [](Spec& spec) { spec.load.rate_per_s = std::nan(""); }},
      {"clients.try_share_max", [](Spec& spec) { spec.clients.try_timeout_share_max = 1.5; }},
      {"events[0].at_ms",
       [](Spec& spec) {
         spec.events = {{60000, "", OriginFall{}}};
       }},
      {"events[0].until_ms",
       [](Spec& spec) {
         spec.events = {{20000, "", OriginStall{10000}}};
       }},
      {"events[0].what",
       [](Spec& spec) {
         spec.origin.enabled = false;
         spec.events = {{20000, "", OriginStall{30000}}};
       }},
      {"events[1].who.nodes",
       [](Spec& spec) {
         spec.events = {{1000, "", OriginFall{}}, {2000, "", KillNodes{}}};
         std::get<KillNodes>(spec.events[1].what).who.nodes = {12};
       }},
      {"events[0].b",
       [](Spec& spec) {
         spec.events = {{1000, "", PartitionZones{{0}, {}, 2000}}};
       }},
      {"routers.sharing.period_ms", [](Spec& spec) { spec.routers.sharing.ping_period_ms = 49; }},
      {"events[0].carries",
       [](Spec& spec) {
         spec.events = {{1000, "", PartitionRouters{}}};
       }},
      {"events[0].one_way",
       [](Spec& spec) {
         spec.events = {{1000, "", PartitionRouters{{}, {}, true, PartitionedTraffic::All, 2000}}};
       }},
      {"events[0].what",
       [](Spec& spec) {
         spec.events = {{1000, "", InconsistentRouter{}}};
       }},
      {"holds.bounds[0].at_least", [](Spec& spec) { spec.expectations.bounds.push_back({}); }},
      {"holds.bounds[0].cls",
       [](Spec& spec) {
         Bound bound;
         bound.at_least = 0.9;
         bound.cls = 1;
         spec.classes.push_back(spec.classes[0]);
         spec.classes[1].share = 0;
         spec.expectations.bounds.push_back(bound);
       }},
  };
  for (const auto& test_case : cases) {
    CAPTURE(std::string(test_case.path));
    Spec spec = two_zone_spec();
    test_case.make_invalid(spec);
    const auto errors = find_spec_errors(spec);
    REQUIRE_FALSE(errors.empty());
    CHECK(errors[0].path == test_case.path);
    CHECK((errors.size() == 1 ||
           errors[0].path == "zones")); // without zones, all references to them are errors too
    CHECK_FALSE(errors[0].reason.empty());
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
  CHECK_FALSE(plan.machines[5].in_service_at_start);
  CHECK(plan.machines[6].name == "m-0");
  CHECK(plan.machines[12].name == "origin");
  CHECK(plan.machines[13].name == "n-1-next");
  CHECK(plan.machines[13].address_of == 1);
  CHECK(plan.client_share[1] == doctest::Approx(0.75));

  std::set<MachineId> drained, started, silent;
  std::map<MachineId, double> neighbour_shares;
  std::set<std::uint32_t> open_marks;
  double last_step_ms = 0;
  std::set<double> restart_times_ms;
  for (const Step& step : plan.steps) {
    CHECK(step.at_ms >= last_step_ms);
    last_step_ms = step.at_ms;
    if (const auto* node_step = std::get_if<NodeStep>(&step.what)) {
      if (node_step->what == NodeStep::What::Drain) drained.insert(node_step->machine);
      if (node_step->what == NodeStep::What::Start) started.insert(node_step->machine);
      if (node_step->what == NodeStep::What::Neighbour)
        neighbour_shares[node_step->machine] = node_step->share;
      if (node_step->what == NodeStep::What::Silence) silent.insert(node_step->machine);
      if (node_step->what == NodeStep::What::Return) silent.erase(node_step->machine);
    } else if (const auto* router_step = std::get_if<RouterStep>(&step.what)) {
      if (router_step->what == RouterStep::What::Term) restart_times_ms.insert(step.at_ms);
    } else if (const auto* mark = std::get_if<MarkStep>(&step.what)) {
      CHECK((mark->begins ? open_marks.insert(mark->event).second : open_marks.erase(mark->event) == 1));
    }
  }
  CHECK(drained.size() == 4);
  for (const MachineId id : drained) CHECK((plan.machines[id].in_service_at_start && started.count(id) == 1));
  CHECK(started.size() == 9); // 4 drained ones, 4 on standby, 1 replacement
  CHECK(neighbour_shares.size() >= 6);
  for (const auto& [id, share] : neighbour_shares) CHECK(share == 0);
  CHECK(silent.empty());
  CHECK(open_marks.empty());
  CHECK(restart_times_ms == std::set<double>{9000, 11000});

  Spec other_spec = spec;
  other_spec.seed = 2;
  const Plan other_plan = make_plan(other_spec);
  std::set<MachineId> drained_in_other_plan;
  for (const Step& step : other_plan.steps) {
    const auto* node_step = std::get_if<NodeStep>(&step.what);
    if (node_step != nullptr && node_step->what == NodeStep::What::Drain)
      drained_in_other_plan.insert(node_step->machine);
  }
  CHECK(drained_in_other_plan != drained);
}

TEST_CASE("messages pass unless a side is silent or partitioned and delays are those of the zones") {
  Spec spec = two_zone_spec();
  spec.network.jitter = 0;
  spec.network.links = {{1, 0, 30}};
  const Plan plan = make_plan(spec);
  Network network(spec, plan);
  CHECK(network.zone_delay(0, 1) == 30);
  CHECK(network.zone_delay(1, 1) == spec.network.same_zone_delay_ms);
  CHECK(network.client_delay(0, 1) == 30 + spec.network.client_delay_ms);
  network.apply({0, LinkStep{0, 1, 3}});
  CHECK(network.zone_delay(1, 0) == 90);
  CHECK(network.is_connected(0, 6));
  PartitionStep partition{7, true, {6}, {}, {}, {0}, false};
  network.apply({0, partition});
  CHECK_FALSE(network.is_connected(0, 6));
  CHECK(network.is_connected(1, 6));
  network.apply({0, PartitionStep{7, false, {}, {}, {}, {}, false}});
  CHECK(network.is_connected(0, 6));
  network.apply({0, NodeStep{6, NodeStep::What::Silence, 0, BadResponse::Error}});
  CHECK_FALSE(network.is_connected(1, 6));
  network.apply({0, RouterStep{3, RouterStep::What::Silence, 0}});
  CHECK_FALSE(network.is_connected(3, 0));
  CHECK_FALSE(network.datagram_delay(1, 3).has_value());
  CHECK(network.datagram_delay(1, 2).has_value());
  network.apply({0, RouterStep{3, RouterStep::What::Return, 0}});
  CHECK(network.is_connected(3, 0));
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
  Network network(spec, plan);
  std::size_t next_step = 0;
  std::vector<RouterStep> router_steps;
  const auto apply_until = [&](double at) {
    for (; next_step < plan.steps.size() && plan.steps[next_step].at_ms <= at; ++next_step) {
      network.apply(plan.steps[next_step]);
      if (const auto* router_step = std::get_if<RouterStep>(&plan.steps[next_step].what))
        router_steps.push_back(*router_step);
    }
  };
  // Of 1000 datagrams, the number that is duplicated or delivered.
  const auto count_of_1000 = [&](RouterId from, RouterId to, bool duplicated) {
    int count = 0;
    for (int i = 0; i < 1000; ++i)
      count += duplicated ? network.draw_duplicate(from, to) : network.datagram_delay(from, to).has_value();
    return count;
  };
  apply_until(1500);
  CHECK_FALSE(network.routers_connected(0, 1));
  CHECK_FALSE(network.routers_connected(0, 2));
  CHECK(network.routers_connected(1, 0));
  CHECK(network.routers_connected(0, 3));
  CHECK(network.is_connected(0, 6)); // only datagrams are affected
  apply_until(3500); // partition by zones: routers 0 and 1 from 2 and 3 and the machines there
  CHECK(network.routers_connected(0, 1));
  CHECK_FALSE(network.routers_connected(0, 2));
  CHECK_FALSE(network.routers_connected(3, 1));
  CHECK_FALSE(network.is_connected(0, 6));
  CHECK_FALSE(network.is_connected(2, 0));
  CHECK(network.is_connected(2, 6));
  apply_until(4500);
  CHECK(network.is_connected(0, 6));
  CHECK(count_of_1000(0, 3, false) == 1000);
  apply_until(5500);
  CHECK(count_of_1000(0, 3, false) == doctest::Approx(500).epsilon(0.1));
  CHECK(count_of_1000(3, 0, true) == 1000);
  CHECK(count_of_1000(0, 1, false) == 1000);
  CHECK(count_of_1000(0, 1, true) == 0);
  apply_until(60000);
  CHECK(count_of_1000(0, 3, false) == 1000);
  REQUIRE(router_steps.size() == 2);
  CHECK((router_steps[0].router == 2 && router_steps[0].what == RouterStep::What::Pause));
  CHECK((router_steps[1].router == 2 && router_steps[1].what == RouterStep::What::Resume));
}

TEST_CASE("the front balancer uses a dead router until detection and other zones if its own has no router") {
  Spec spec = two_zone_spec();
  spec.front.failure_detection_ms = 1000;
  const Plan plan = make_plan(spec);
  FrontBalancer balancer(spec, plan);
  const auto picked_routers = [&](double now) {
    std::set<RouterId> picked;
    for (int i = 0; i < 8; ++i) picked.insert(*balancer.pick(now, 0));
    return picked;
  };
  CHECK(picked_routers(0) == std::set<RouterId>{0, 1});
  balancer.set_down(100, 0);
  CHECK(picked_routers(1000) == std::set<RouterId>{0, 1});
  CHECK(picked_routers(1101) == std::set<RouterId>{1});
  balancer.set_up(1200, 0);
  CHECK(picked_routers(1200 + spec.front.ready_check_interval_ms) == std::set<RouterId>{0, 1});
  balancer.set_down(2000, 0);
  balancer.set_down(2000, 1);
  CHECK(picked_routers(4000) == std::set<RouterId>{2, 3});
  balancer.set_zone_state(0, ZoneStep::What::Lost);
  CHECK_FALSE(balancer.pick(4000, 0).has_value());
  balancer.set_zone_state(0, ZoneStep::What::Move);
  balancer.set_up(4000, 0);
  CHECK(picked_routers(5000) == std::set<RouterId>{0, 2, 3});
}
