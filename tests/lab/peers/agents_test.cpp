// The discovery agents of the lab on raw sockets: lists, watches, outages, moves and congestion, and the time
// at which the lab records a router as notified. Guards against a wrong time, by which the rule on drains
// would be judged wrongly.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "stand.h"

using namespace fernward;
using namespace fernward::tests;
using model::DiscoveryStep;
using model::NodeStep;
using nlohmann::json;

namespace {

std::string get(const std::string& query) {
  return "GET /v1/endpoints" + query + " HTTP/1.1\r\nHost: d\r\n\r\n";
}

json list_of(const std::optional<http::Message>& answer) {
  REQUIRE(answer);
  REQUIRE(answer->status == 200);
  return json::parse(answer->body);
}

std::string since(const json& list, int wait_ms) {
  return get("?since=" + list["index"].dump() + "&timeout_ms=" + std::to_string(wait_ms));
}

// Returns the records since the last call by which router 0 counts as notified of a state of `machine`.
std::vector<model::Told> told_of(Stand& stand, model::MachineId machine) {
  std::vector<model::Told> found;
  for (const auto& told : stand.records<model::Told>()) {
    if (told.router == 0 && told.machine == machine && !told.cached) found.push_back(told);
  }
  return found;
}

} // namespace

TEST_CASE("a first call returns the full list and a watch returns changes only") {
  Stand stand;
  Raw agent(stand.addresses->agent(0, 0));
  const json whole = list_of(agent.ask(get("")));
  CHECK(whole["snapshot"] == true);
  CHECK(whole["endpoints"].size() == 7); // six nodes and the origin; no standby node
  CHECK(whole["endpoints"][0]["status"] == "in_service");
  CHECK(whole["endpoints"][0]["since_ms"] == 0);
  CHECK(whole["endpoints"][0]["address"] == rig::text_of(stand.machine(0, 0)));
  CHECK(list_of(Raw(stand.addresses->agent(1, 0)).ask(get("")))["endpoints"][0]["address"] ==
        rig::text_of(stand.machine(0, 1))); // each router sees addresses of its own

  agent.send(since(whole, 5000)); // a long poll
  CHECK(agent.read(100).empty());
  stand.node(2, NodeStep::What::Drain);
  const json draining = list_of(agent.ask(""));
  CHECK(draining["snapshot"] == false);
  CHECK(draining["index"] > whole["index"]);
  REQUIRE(draining["endpoints"].size() == 1);
  CHECK(draining["endpoints"][0]["name"] == stand.plan.machines[2].name);
  CHECK(draining["endpoints"][0]["status"] == "terminating");
  stand.node(2, NodeStep::What::End);
  const json gone = list_of(agent.ask(since(draining, 5000)));
  REQUIRE(gone["endpoints"].size() == 1);
  CHECK(gone["endpoints"][0]["status"] == "terminated");
  const json none = list_of(agent.ask(since(gone, 50))); // no change within the timeout
  CHECK(none["endpoints"].empty());
  CHECK(none["index"] == gone["index"]);
  CHECK(list_of(agent.ask(get("")))["endpoints"].size() == 6);
  // An unknown index gets the full list; any other path gets 404.
  CHECK(list_of(agent.ask(get("?since=999999&timeout_ms=5000")))["snapshot"] == true);
  CHECK(agent.ask("GET /v1/other HTTP/1.1\r\nHost: d\r\n\r\n")->status == 404);

  std::vector<model::Told> told;
  for (const auto& t : stand.records<model::Told>()) {
    if (t.router == 0 && !t.cached && t.machine == 2) told.push_back(t);
  }
  REQUIRE(told.size() >= 3); // in service, draining, gone: once each
  CHECK(told[told.size() - 2].state == ServerState::Draining);
  CHECK(told.back().state == ServerState::Gone);
  CHECK_FALSE(told.back().deemed);
}

TEST_CASE("discovery is silent while down and then reports the changes made meanwhile") {
  Stand stand;
  stand.happen(DiscoveryStep{DiscoveryStep::What::Down});
  stand.node(1, NodeStep::What::End);
  Raw agent(stand.addresses->agent(0, 0));
  agent.send(get(""));
  CHECK(agent.read(300).empty());
  CHECK(agent.end == Raw::End::Open);
  stand.happen(DiscoveryStep{DiscoveryStep::What::Up});
  CHECK(list_of(agent.ask(""))["endpoints"].size() == 6);
}

TEST_CASE("when discovery moves the new address answers and the old one closes") {
  Stand stand;
  Raw before(stand.addresses->agent(0, 0));
  list_of(before.ask(get("")));
  CHECK(Raw(stand.addresses->agent(0, 1)).error() == ECONNREFUSED);
  stand.happen(DiscoveryStep{DiscoveryStep::What::MoveBegins});
  CHECK(list_of(Raw(stand.addresses->agent(0, 1)).ask(get("")))["endpoints"].size() == 7);
  CHECK(list_of(before.ask(get("")))["endpoints"].size() == 7);
  stand.happen(DiscoveryStep{DiscoveryStep::What::OldEnds});
  before.read(5000);
  CHECK(before.end == Raw::End::Reset);
  CHECK(Raw(stand.addresses->agent(0, 0)).error() == ECONNREFUSED);
}

TEST_CASE("a router that does not poll is assumed to be notified and a starting router has the last list") {
  Stand stand([](model::Spec& spec) { spec.discovery.at_latest_ms = 600; });
  CHECK(stand.known[0]["endpoints"].size() == 7);
  const double at = stand.clock.now();
  stand.node(1, NodeStep::What::End);
  std::vector<model::Told> deemed;
  REQUIRE(until([&] {
    for (const auto& t : stand.records<model::Told>()) {
      if (t.deemed && t.router == 0 && t.machine == 1) deemed.push_back(t);
    }
    return !deemed.empty() && deemed.back().state == ServerState::Gone;
  }));
  CHECK(deemed.back().at >= at + 500); // counted from when the router was last known to be up to date
}

TEST_CASE("each missed change is assumed to be notified at its own time") {
  Stand stand([](model::Spec& spec) { spec.discovery.at_latest_ms = 600; });
  stand.node(1, NodeStep::What::Drain);
  usleep(400000);
  stand.node(2, NodeStep::What::Drain);
  std::vector<model::Told> first, second;
  REQUIRE(until([&] {
    for (const auto& told : stand.records<model::Told>()) {
      if (told.router != 0 || !told.deemed || told.state != ServerState::Draining) continue;
      (told.machine == 1 ? first : second).push_back(told);
    }
    return !first.empty() && !second.empty();
  }));
  CHECK(second[0].at >= first[0].at + 350);
}

TEST_CASE("a change during an outage is assumed to be notified only after the outage ends") {
  Stand stand([](model::Spec& spec) { spec.discovery.at_latest_ms = 400; });
  stand.happen(DiscoveryStep{DiscoveryStep::What::Down});
  stand.node(1, NodeStep::What::Drain);
  usleep(800000);
  CHECK(told_of(stand, 1).empty());
  const double back = stand.clock.now();
  stand.happen(DiscoveryStep{DiscoveryStep::What::Up});
  std::vector<model::Told> told;
  REQUIRE(until([&] { return !(told = told_of(stand, 1)).empty(); }));
  CHECK(told.back().deemed);
  CHECK(told.back().at >= back + 400);
}

TEST_CASE("a router without the new address of discovery is not notified until it is reloaded") {
  Stand stand([](model::Spec& spec) {
    spec.discovery.at_latest_ms = 1000;
    spec.discovery.reload_at_latest_ms = 300;
  });
  stand.happen(DiscoveryStep{DiscoveryStep::What::MoveBegins});
  stand.happen(DiscoveryStep{DiscoveryStep::What::OldEnds});
  usleep(50000); // lets the fleet notice that discovery is unreachable
  stand.node(1, NodeStep::What::Drain);
  usleep(1200000);
  CHECK(told_of(stand, 1).empty());
  const double reloaded = stand.clock.now();
  stand.happen(model::RouterStep{0, model::RouterStep::What::Reload, 0});
  std::vector<model::Told> told;
  REQUIRE(until([&] { return !(told = told_of(stand, 1)).empty(); }));
  CHECK(told.back().deemed);
  CHECK(told.back().at >= reloaded + 300);
  CHECK(told.back().at < reloaded + 900); // by reload_at_latest_ms, not at_latest_ms
}

TEST_CASE("a congested discovery answers all routers in turn and in pieces") {
  Stand stand([](model::Spec& spec) {
    spec.discovery.congestion.answers_per_second = 5;
    spec.discovery.congestion.piece_size_bytes = 100;
    spec.discovery.congestion.piece_interval_ms = 10;
  });
  Raw first(stand.addresses->agent(0, 0)), second(stand.addresses->agent(1, 0));
  const double asked = stand.clock.now();
  first.send(get(""));
  CHECK(first.read(100).empty());
  second.send(get(""));
  const json whole = list_of(first.ask(""));
  // 200 ms for its turn, and more than ten pieces at intervals of 10 ms.
  CHECK(stand.clock.now() >= asked + 290);
  list_of(second.ask(""));
  CHECK(stand.clock.now() >= asked + 490);

  // A change counts as notified when it is completely written, even if the previous watch was answered just
  // before.
  const json none = list_of(first.ask(since(whole, 1)));
  told_of(stand, 2);
  stand.node(2, NodeStep::What::Drain);
  usleep(100000);
  CHECK(told_of(stand, 2).empty());
  const json draining = list_of(first.ask(since(none, 5000)));
  REQUIRE(draining["endpoints"].size() == 1);
  const auto told = told_of(stand, 2);
  REQUIRE(told.size() == 1);
  CHECK_FALSE(told[0].deemed);
}

TEST_CASE("an abandoned call uses up its capacity only if its turn had begun") {
  Stand stand([](model::Spec& spec) { spec.discovery.congestion.answers_per_second = 4; });
  const double asked = stand.clock.now();
  {
    Raw in_work(stand.addresses->agent(0, 0)), behind(stand.addresses->agent(0, 0));
    in_work.send(get(""));
    CHECK(in_work.read(100).empty());
    behind.send(get(""));
    CHECK(behind.read(50).empty());
  }
  list_of(Raw(stand.addresses->agent(1, 0)).ask(get("")));
  CHECK(stand.clock.now() >= asked + 490);
  CHECK(stand.clock.now() < asked + 730);
}

TEST_CASE("a congested discovery is reachable so that a call that waits too long counts as notified") {
  Stand stand([](model::Spec& spec) {
    spec.discovery.at_latest_ms = 400;
    spec.discovery.congestion.answers_per_second = 0.1;
  });
  const double at = stand.clock.now();
  stand.node(1, NodeStep::What::Drain);
  Raw agent(stand.addresses->agent(0, 0));
  agent.send(get(""));
  std::vector<model::Told> told;
  REQUIRE(until([&] { return !(told = told_of(stand, 1)).empty(); }));
  CHECK(told.back().deemed);
  CHECK(told.back().at >= at + 400);
}

TEST_CASE("a congested discovery refuses calls by 503 or close and leaves some long polls unanswered") {
  Stand refusing([](model::Spec& spec) { spec.discovery.congestion.refused_share = 1; });
  int refused = 0, closed = 0;
  for (int i = 0; i < 40; ++i) {
    Raw agent(refusing.addresses->agent(0, 0));
    const auto answer = agent.ask(get(""), 1000);
    if (answer && answer->status == 503) ++refused;
    if (!answer && agent.end != Raw::End::Open) ++closed;
  }
  CHECK(refused + closed == 40);
  CHECK(refused > 5);
  CHECK(closed > 5);

  Stand silent([](model::Spec& spec) { spec.discovery.congestion.silent_share = 1; });
  Raw agent(silent.addresses->agent(0, 0));
  const json whole = list_of(agent.ask(get("")));
  agent.send(since(whole, 100));
  CHECK(agent.read(300).empty());
  silent.node(2, NodeStep::What::Drain);
  CHECK(agent.read(300).empty());
  CHECK(agent.end == Raw::End::Open);
  // A call that finds a change on arrival is answered.
  CHECK(list_of(Raw(silent.addresses->agent(0, 0)).ask(since(whole, 100)))["endpoints"].size() == 1);
}
