// The discovery agents of the lab on raw sockets: lists, watches, outages, moves and congestion, and the time
// at which the lab records a router as notified. Guards against a wrong time, by which the rule on drains
// would be judged wrongly.
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "test_fleet.h"

using namespace fernward;
using namespace fernward::tests;
using model::DiscoveryStep;
using model::NodeStep;
using nlohmann::json;

namespace {

std::string endpoints_request(const std::string& query) {
  return "GET /v1/endpoints" + query + " HTTP/1.1\r\nHost: d\r\n\r\n";
}

json endpoint_list(const std::optional<http::Message>& response) {
  REQUIRE(response);
  REQUIRE(response->status == 200);
  return json::parse(response->body);
}

std::string watch_request(const json& list, int timeout_ms) {
  return endpoints_request("?since=" + list["index"].dump() + "&timeout_ms=" + std::to_string(timeout_ms));
}

// Returns the records since the last call by which router 0 counts as notified of a state of `machine`.
std::vector<model::EndpointNotified> notifications_of(TestFleet& fleet, model::MachineId machine) {
  std::vector<model::EndpointNotified> matching;
  for (const auto& notified : fleet.take_records<model::EndpointNotified>()) {
    if (notified.router == 0 && notified.machine == machine && !notified.cached) matching.push_back(notified);
  }
  return matching;
}

} // namespace

TEST_CASE("a first call returns the full list and a watch returns changes only") {
  TestFleet fleet;
  RawConnection agent(fleet.addresses->discovery(0, 0));
  const json full_list = endpoint_list(agent.send_request(endpoints_request("")));
  CHECK(full_list["snapshot"] == true);
  CHECK(full_list["endpoints"].size() == 7); // six nodes and the origin; no standby node
  CHECK(full_list["endpoints"][0]["status"] == "in_service");
  CHECK(full_list["endpoints"][0]["since_ms"] == 0);
  CHECK(full_list["endpoints"][0]["address"] == rig::address_text(fleet.machine_address(0, 0)));
  // Each router sees addresses of its own.
  CHECK(endpoint_list(RawConnection(fleet.addresses->discovery(1, 0))
                          .send_request(endpoints_request("")))["endpoints"][0]["address"] ==
        rig::address_text(fleet.machine_address(0, 1)));

  agent.send(watch_request(full_list, 5000)); // a long poll
  CHECK(agent.read(100).empty());
  fleet.apply_node_step(2, NodeStep::What::Drain);
  const json draining = endpoint_list(agent.send_request(""));
  CHECK(draining["snapshot"] == false);
  CHECK(draining["index"] > full_list["index"]);
  REQUIRE(draining["endpoints"].size() == 1);
  CHECK(draining["endpoints"][0]["name"] == fleet.plan.machines[2].name);
  CHECK(draining["endpoints"][0]["status"] == "terminating");
  fleet.apply_node_step(2, NodeStep::What::End);
  const json gone = endpoint_list(agent.send_request(watch_request(draining, 5000)));
  REQUIRE(gone["endpoints"].size() == 1);
  CHECK(gone["endpoints"][0]["status"] == "terminated");
  // No change within the timeout.
  const json none = endpoint_list(agent.send_request(watch_request(gone, 50)));
  CHECK(none["endpoints"].empty());
  CHECK(none["index"] == gone["index"]);
  CHECK(endpoint_list(agent.send_request(endpoints_request("")))["endpoints"].size() == 6);
  // An unknown index gets the full list; any other path gets 404.
  CHECK(endpoint_list(agent.send_request(endpoints_request("?since=999999&timeout_ms=5000")))["snapshot"] ==
        true);
  CHECK(agent.send_request("GET /v1/other HTTP/1.1\r\nHost: d\r\n\r\n")->status == 404);

  std::vector<model::EndpointNotified> notified;
  for (const auto& notification : fleet.take_records<model::EndpointNotified>()) {
    if (notification.router == 0 && !notification.cached && notification.machine == 2)
      notified.push_back(notification);
  }
  REQUIRE(notified.size() >= 3); // in service, draining, gone: once each
  CHECK(notified[notified.size() - 2].state == ServerState::Draining);
  CHECK(notified.back().state == ServerState::Gone);
  CHECK_FALSE(notified.back().assumed);
}

TEST_CASE("discovery is silent while down and then reports the changes made meanwhile") {
  TestFleet fleet;
  fleet.apply(DiscoveryStep{DiscoveryStep::What::Down});
  fleet.apply_node_step(1, NodeStep::What::End);
  RawConnection agent(fleet.addresses->discovery(0, 0));
  agent.send(endpoints_request(""));
  CHECK(agent.read(300).empty());
  CHECK(agent.state == RawConnection::State::Open);
  fleet.apply(DiscoveryStep{DiscoveryStep::What::Up});
  CHECK(endpoint_list(agent.send_request(""))["endpoints"].size() == 6);
}

TEST_CASE("when discovery moves the new address answers and the old one closes") {
  TestFleet fleet;
  RawConnection old_connection(fleet.addresses->discovery(0, 0));
  endpoint_list(old_connection.send_request(endpoints_request("")));
  CHECK(RawConnection(fleet.addresses->discovery(0, 1)).connect_error() == ECONNREFUSED);
  fleet.apply(DiscoveryStep{DiscoveryStep::What::MoveBegins});
  CHECK(endpoint_list(
            RawConnection(fleet.addresses->discovery(0, 1)).send_request(endpoints_request("")))["endpoints"]
            .size() == 7);
  CHECK(endpoint_list(old_connection.send_request(endpoints_request("")))["endpoints"].size() == 7);
  fleet.apply(DiscoveryStep{DiscoveryStep::What::OldEnds});
  old_connection.read(5000);
  CHECK(old_connection.state == RawConnection::State::Reset);
  CHECK(RawConnection(fleet.addresses->discovery(0, 0)).connect_error() == ECONNREFUSED);
}

TEST_CASE("a router that does not poll is assumed to be notified and a starting router has the last list") {
  TestFleet fleet([](model::Spec& spec) { spec.discovery.notified_at_latest_ms = 600; });
  CHECK(fleet.initial_endpoints[0]["endpoints"].size() == 7);
  const double change_time_ms = fleet.clock.now();
  fleet.apply_node_step(1, NodeStep::What::End);
  std::vector<model::EndpointNotified> assumed;
  REQUIRE(wait_until([&] {
    for (const auto& notification : fleet.take_records<model::EndpointNotified>()) {
      if (notification.assumed && notification.router == 0 && notification.machine == 1)
        assumed.push_back(notification);
    }
    return !assumed.empty() && assumed.back().state == ServerState::Gone;
  }));
  // Counted from when the router was last known to be up to date.
  CHECK(assumed.back().at >= change_time_ms + 500);
}

TEST_CASE("each missed change is assumed to be notified at its own time") {
  TestFleet fleet([](model::Spec& spec) { spec.discovery.notified_at_latest_ms = 600; });
  fleet.apply_node_step(1, NodeStep::What::Drain);
  usleep(400000);
  fleet.apply_node_step(2, NodeStep::What::Drain);
  std::vector<model::EndpointNotified> first, second;
  REQUIRE(wait_until([&] {
    for (const auto& notified : fleet.take_records<model::EndpointNotified>()) {
      if (notified.router != 0 || !notified.assumed || notified.state != ServerState::Draining) continue;
      (notified.machine == 1 ? first : second).push_back(notified);
    }
    return !first.empty() && !second.empty();
  }));
  CHECK(second[0].at >= first[0].at + 350);
}

TEST_CASE("a change during an outage is assumed to be notified only after the outage ends") {
  TestFleet fleet([](model::Spec& spec) { spec.discovery.notified_at_latest_ms = 400; });
  fleet.apply(DiscoveryStep{DiscoveryStep::What::Down});
  fleet.apply_node_step(1, NodeStep::What::Drain);
  usleep(800000);
  CHECK(notifications_of(fleet, 1).empty());
  const double available_again_ms = fleet.clock.now();
  fleet.apply(DiscoveryStep{DiscoveryStep::What::Up});
  std::vector<model::EndpointNotified> notified;
  REQUIRE(wait_until([&] { return !(notified = notifications_of(fleet, 1)).empty(); }));
  CHECK(notified.back().assumed);
  CHECK(notified.back().at >= available_again_ms + 400);
}

TEST_CASE("a router without the new address of discovery is not notified until it is reloaded") {
  TestFleet fleet([](model::Spec& spec) {
    spec.discovery.notified_at_latest_ms = 1000;
    spec.discovery.reload_notified_at_latest_ms = 300;
  });
  fleet.apply(DiscoveryStep{DiscoveryStep::What::MoveBegins});
  fleet.apply(DiscoveryStep{DiscoveryStep::What::OldEnds});
  usleep(50000); // lets the fleet notice that discovery is unreachable
  fleet.apply_node_step(1, NodeStep::What::Drain);
  usleep(1200000);
  CHECK(notifications_of(fleet, 1).empty());
  const double reload_time_ms = fleet.clock.now();
  fleet.apply(model::RouterStep{0, model::RouterStep::What::Reload, 0});
  std::vector<model::EndpointNotified> notified;
  REQUIRE(wait_until([&] { return !(notified = notifications_of(fleet, 1)).empty(); }));
  CHECK(notified.back().assumed);
  CHECK(notified.back().at >= reload_time_ms + 300);
  // By reload_notified_at_latest_ms, not by notified_at_latest_ms.
  CHECK(notified.back().at < reload_time_ms + 900);
}

TEST_CASE("a congested discovery answers all routers in turn and in pieces") {
  TestFleet fleet([](model::Spec& spec) {
    spec.discovery.congestion.answers_per_second = 5;
    spec.discovery.congestion.piece_size_bytes = 100;
    spec.discovery.congestion.piece_interval_ms = 10;
  });
  RawConnection first(fleet.addresses->discovery(0, 0)), second(fleet.addresses->discovery(1, 0));
  const double request_time_ms = fleet.clock.now();
  first.send(endpoints_request(""));
  CHECK(first.read(100).empty());
  second.send(endpoints_request(""));
  const json full_list = endpoint_list(first.send_request(""));
  // 200 ms for its turn, and more than ten pieces at intervals of 10 ms.
  CHECK(fleet.clock.now() >= request_time_ms + 290);
  endpoint_list(second.send_request(""));
  CHECK(fleet.clock.now() >= request_time_ms + 490);

  // A change counts as notified when it is completely written, even if the previous watch was answered just
  // before.
  const json none = endpoint_list(first.send_request(watch_request(full_list, 1)));
  notifications_of(fleet, 2);
  fleet.apply_node_step(2, NodeStep::What::Drain);
  usleep(100000);
  CHECK(notifications_of(fleet, 2).empty());
  const json draining = endpoint_list(first.send_request(watch_request(none, 5000)));
  REQUIRE(draining["endpoints"].size() == 1);
  // The fleet's thread records it after the write, which this thread may have read before.
  std::vector<model::EndpointNotified> notified;
  REQUIRE(wait_until([&] { return !(notified = notifications_of(fleet, 2)).empty(); }));
  REQUIRE(notified.size() == 1);
  CHECK_FALSE(notified[0].assumed);
}

TEST_CASE("an abandoned call uses up its capacity only if its turn had begun") {
  TestFleet fleet([](model::Spec& spec) { spec.discovery.congestion.answers_per_second = 4; });
  const double request_time_ms = fleet.clock.now();
  {
    RawConnection in_progress(fleet.addresses->discovery(0, 0)), queued(fleet.addresses->discovery(0, 0));
    in_progress.send(endpoints_request(""));
    CHECK(in_progress.read(100).empty());
    queued.send(endpoints_request(""));
    CHECK(queued.read(50).empty());
  }
  endpoint_list(RawConnection(fleet.addresses->discovery(1, 0)).send_request(endpoints_request("")));
  CHECK(fleet.clock.now() >= request_time_ms + 490);
  CHECK(fleet.clock.now() < request_time_ms + 730);
}

TEST_CASE("a congested discovery is reachable so that a call that waits too long counts as notified") {
  TestFleet fleet([](model::Spec& spec) {
    spec.discovery.notified_at_latest_ms = 400;
    spec.discovery.congestion.answers_per_second = 0.1;
  });
  const double change_time_ms = fleet.clock.now();
  fleet.apply_node_step(1, NodeStep::What::Drain);
  RawConnection agent(fleet.addresses->discovery(0, 0));
  agent.send(endpoints_request(""));
  std::vector<model::EndpointNotified> notified;
  REQUIRE(wait_until([&] { return !(notified = notifications_of(fleet, 1)).empty(); }));
  CHECK(notified.back().assumed);
  CHECK(notified.back().at >= change_time_ms + 400);
}

TEST_CASE("a congested discovery refuses calls with 503 or a close and leaves long polls unanswered") {
  TestFleet refusing_fleet([](model::Spec& spec) { spec.discovery.congestion.refused_share = 1; });
  int refused = 0, closed = 0;
  for (int i = 0; i < 40; ++i) {
    RawConnection agent(refusing_fleet.addresses->discovery(0, 0));
    const auto response = agent.send_request(endpoints_request(""), 1000);
    if (response && response->status == 503) ++refused;
    if (!response && agent.state != RawConnection::State::Open) ++closed;
  }
  CHECK(refused + closed == 40);
  CHECK(refused > 5);
  CHECK(closed > 5);

  TestFleet silent_fleet([](model::Spec& spec) { spec.discovery.congestion.silent_share = 1; });
  RawConnection agent(silent_fleet.addresses->discovery(0, 0));
  const json full_list = endpoint_list(agent.send_request(endpoints_request("")));
  agent.send(watch_request(full_list, 100));
  CHECK(agent.read(300).empty());
  silent_fleet.apply_node_step(2, NodeStep::What::Drain);
  CHECK(agent.read(300).empty());
  CHECK(agent.state == RawConnection::State::Open);
  // A call that finds a change on arrival is answered.
  CHECK(endpoint_list(RawConnection(silent_fleet.addresses->discovery(0, 0))
                          .send_request(watch_request(full_list, 100)))["endpoints"]
            .size() == 1);
}
