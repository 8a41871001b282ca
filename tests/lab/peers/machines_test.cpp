// The simulated nodes and origin on raw sockets: how each kind of fault appears to a router.
#include <doctest/doctest.h>

#include "test_fleet.h"

using namespace fernward;
using namespace fernward::tests;
using model::BadResponse;
using model::NodeStep;
using model::OriginStep;

namespace {

constexpr std::uint64_t kCachedKey = 1;       // the most popular key: cached by every node before the run
constexpr std::uint64_t kUncachedKey = 19999; // the least popular key: cached by no node

int status_of(const std::optional<http::Message>& response) { return response ? response->status : 0; }

} // namespace

TEST_CASE("each cache outcome has its status and x-cache-status header") {
  TestFleet fleet;
  RawConnection node(fleet.machine_address(0)), origin(fleet.machine_address(fleet.plan.origin));
  const auto hit = node.send_request(fleet.make_request(kCachedKey));
  REQUIRE(status_of(hit) == 200);
  CHECK(hit->header("x-cache-status") == "hit");
  CHECK(hit->body.size() == 500);
  const auto body_metadata = fleet.bodies.decode(hit->body);
  REQUIRE(body_metadata);
  CHECK(body_metadata->try_id == fleet.last_try_id);
  CHECK(body_metadata->machine == 0);

  const auto miss = node.send_request(fleet.make_request(kUncachedKey));
  REQUIRE(status_of(miss) == 404);
  CHECK(miss->header("x-cache-status") == "miss");
  const std::string pending_request = fleet.make_request(kUncachedKey);
  const auto pending = node.send_request(pending_request);
  REQUIRE(status_of(pending) == 404);
  CHECK(pending->header("x-cache-status") == "pending");
  // The fetch for the missed request: the node stores the value.
  CHECK(status_of(origin.send_request(pending_request)) == 200);
  CHECK(status_of(node.send_request(fleet.make_request(kUncachedKey))) == 200);

  // Only the origin accepts writes.
  CHECK(status_of(node.send_request(fleet.make_request(kUncachedKey, true))) == 404);
  CHECK(status_of(origin.send_request(fleet.make_request(kUncachedKey, true))) == 200);
  // The write has invalidated the cached copies.
  CHECK(status_of(node.send_request(fleet.make_request(kUncachedKey))) == 404);
  CHECK(wait_until(
      [&] { return !node.send_request(fleet.make_request(kCachedKey))->header("x-server-load").empty(); }));
  CHECK(fleet.void_reasons.all().empty());
}

TEST_CASE("a request that no client sent gets 400 and voids the run and one without an id gets 404") {
  const struct {
    const char* what;
    std::string (*change)(std::string);
    int status;
  } cases[] = {
      {"another path", [](std::string r) { return r.replace(r.find("/api/") + 5, 1, "f"); }, 400},
      {"an unknown id", [](std::string r) { return r.replace(r.find("ID: ") + 4, 4, "zzzz"); }, 400},
      {"no id", [](std::string r) { return r.replace(r.find("X-Request-ID"), 12, "X-Other-Name"); }, 404},
      {"no HTTP", [](std::string) { return std::string("\x16\x03\x01\r\n\r\n"); }, 400},
  };
  for (const auto& c : cases) {
    const std::string what = c.what;
    CAPTURE(what);
    TestFleet fleet;
    RawConnection node(fleet.machine_address(0));
    CHECK(status_of(node.send_request(c.change(fleet.make_request(kCachedKey)))) == c.status);
    CHECK(fleet.void_reasons.all().size() == (c.status == 400 ? 1 : 0));
    // The connection is still usable.
    CHECK(status_of(node.send_request(fleet.make_request(kCachedKey))) == 200);
  }
}

TEST_CASE("each kind of bad response has its defect on the wire") {
  const struct {
    BadResponse kind;
    std::function<bool(RawConnection&, TestFleet&)> matches;
  } cases[] = {
      {BadResponse::Error,
       [](RawConnection& r, TestFleet&) { return r.parser.done() && r.parser.take_message().status == 500; }},
      {BadResponse::NotHttp,
       [](RawConnection& r, TestFleet&) { return r.parser.error() == http::ParseError::Malformed; }},
      {BadResponse::TooLarge,
       [](RawConnection& r, TestFleet&) { return r.parser.error() == http::ParseError::BodyTooLarge; }},
      {BadResponse::Truncated,
       [](RawConnection& r, TestFleet&) {
         return r.parser.expects_body() && r.state == RawConnection::State::Closed &&
                !r.parser.end_of_input();
       }},
      {BadResponse::NeverCompletes,
       [](RawConnection& r, TestFleet&) {
         return r.parser.expects_body() && r.state == RawConnection::State::Open;
       }},
      {BadResponse::EarlyClose,
       [](RawConnection& r, TestFleet&) {
         return !r.parser.has_started() && r.state == RawConnection::State::Closed;
       }},
      {BadResponse::WrongBody,
       [](RawConnection& r, TestFleet& fleet) {
         const auto metadata = r.parser.done() ? fleet.bodies.decode(r.parser.message().body) : std::nullopt;
         return metadata && metadata->try_id == fleet.last_try_id && metadata->key != kCachedKey;
       }},
      {BadResponse::SlowBytes,
       [](RawConnection& r, TestFleet&) {
         const bool has_part = r.parser.has_started() && !r.parser.done();
         r.read(10000);
         return has_part && r.parser.done() && r.parser.take_message().status == 200;
       }},
  };
  for (const auto& c : cases) {
    CAPTURE(static_cast<int>(c.kind));
    TestFleet fleet;
    fleet.apply(NodeStep{0, NodeStep::What::Bad, 1, c.kind});
    RawConnection node(fleet.machine_address(0));
    node.send(fleet.make_request(kCachedKey));
    node.read(800);
    CHECK(c.matches(node, fleet));
  }
}

TEST_CASE("a draining node rejects and an ended node refuses connections and a restarted node is empty") {
  TestFleet fleet;
  RawConnection node(fleet.machine_address(0));
  REQUIRE(status_of(node.send_request(fleet.make_request(kCachedKey))) == 200);
  fleet.apply_node_step(0, NodeStep::What::Drain);
  const auto rejected = node.send_request(fleet.make_request(kCachedKey));
  REQUIRE(status_of(rejected) == 503);
  CHECK(rejected->header("x-not-processed") == "1");
  fleet.apply_node_step(0, NodeStep::What::End);
  node.read(5000);
  CHECK(node.state == RawConnection::State::Reset);
  CHECK(RawConnection(fleet.machine_address(0)).connect_error() == ECONNREFUSED);
  fleet.apply_node_step(0, NodeStep::What::Start);
  CHECK(status_of(RawConnection(fleet.machine_address(0)).send_request(fleet.make_request(kCachedKey))) ==
        404);
}

TEST_CASE("a replacement machine answers at the address of the one it replaces") {
  TestFleet fleet([](model::Spec& spec) { // adds the replacement to the plan; the test triggers it
    spec.events.push_back({500000, "", model::ReplaceNodes{{{0}, {}, {}, {}, {}}, 300}});
  });
  const auto replacement = static_cast<model::MachineId>(fleet.plan.machines.size() - 1);
  REQUIRE(fleet.plan.machines[replacement].address_of == 0);
  fleet.apply_node_step(0, NodeStep::What::End);
  CHECK(RawConnection(fleet.machine_address(0)).connect_error() == ECONNREFUSED);
  fleet.apply_node_step(replacement, NodeStep::What::Start);
  CHECK(status_of(RawConnection(fleet.machine_address(0)).send_request(fleet.make_request(kUncachedKey))) ==
        404);
  const auto arrivals = fleet.take_records<model::AttemptArrived>();
  REQUIRE(arrivals.size() == 1);
  CHECK(arrivals[0].machine == replacement);
}

TEST_CASE("a silent machine does not respond and on return resets only connections that lost data") {
  TestFleet fleet;
  RawConnection used(fleet.machine_address(0)), idle(fleet.machine_address(0));
  REQUIRE(status_of(used.send_request(fleet.make_request(kCachedKey))) == 200);
  REQUIRE(status_of(idle.send_request(fleet.make_request(kCachedKey))) == 200);
  fleet.apply_node_step(0, NodeStep::What::Silence);
  // The request is lost and must never be read: after a long silence the lab would no longer know its id, and
  // an unknown id voids the run.
  std::string lost_request = fleet.make_request(kCachedKey);
  lost_request.replace(lost_request.find("ID: ") + 4, 4, "zzzz");
  used.send(lost_request);
  CHECK(used.read(300).empty());
  CHECK(used.state == RawConnection::State::Open);
  const RawConnection new_connection(fleet.machine_address(0), 300);
  CHECK_FALSE(new_connection.connected()); // neither connected nor refused
  CHECK(new_connection.connect_error() == 0);
  fleet.apply_node_step(0, NodeStep::What::Return);
  used.read(5000);
  CHECK(used.state == RawConnection::State::Reset);
  CHECK(fleet.void_reasons.all().empty());
  CHECK(status_of(idle.send_request(fleet.make_request(kCachedKey))) == 200);
  CHECK(status_of(RawConnection(fleet.machine_address(0)).send_request(fleet.make_request(kCachedKey))) ==
        200);
}

TEST_CASE("a partition affects only traffic between its two sides") {
  TestFleet fleet;
  fleet.apply(model::PartitionStep{1, true, {0}, {}, {}, {0}}); // machine 0 and router 0
  CHECK_FALSE(RawConnection(fleet.machine_address(0, 0), 300).connected());
  CHECK(status_of(RawConnection(fleet.machine_address(0, 1)).send_request(fleet.make_request(kCachedKey))) ==
        200);
  CHECK(status_of(RawConnection(fleet.machine_address(1, 0)).send_request(fleet.make_request(kCachedKey))) ==
        200);
  fleet.apply(model::PartitionStep{1, false, {}, {}, {}, {}});
  CHECK(status_of(RawConnection(fleet.machine_address(0, 0)).send_request(fleet.make_request(kCachedKey))) ==
        200);
}

TEST_CASE("a node at its connection limit rejects and accepts again after a connection closes") {
  TestFleet fleet([](model::Spec& spec) { spec.kinds[0].max_connections = 1; });
  auto first = std::make_unique<RawConnection>(fleet.machine_address(0));
  REQUIRE(status_of(first->send_request(fleet.make_request(kCachedKey))) == 200);
  RawConnection second(fleet.machine_address(0));
  CHECK(status_of(second.send_request(fleet.make_request(kCachedKey))) == 503);
  second.read(5000);
  CHECK(second.state == RawConnection::State::Closed);
  first.reset();
  CHECK(wait_until([&] {
    return status_of(RawConnection(fleet.machine_address(0)).send_request(fleet.make_request(kCachedKey))) ==
           200;
  }));
}

TEST_CASE("an idle connection is closed but not one that waits for a response") {
  TestFleet fleet(
      [](model::Spec& spec) { spec.kinds[0].idle_timeout_ms = spec.origin.idle_timeout_ms = 1000; });
  fleet.apply(OriginStep{OriginStep::What::Speed, 0, 0});
  RawConnection node(fleet.machine_address(0)), origin(fleet.machine_address(fleet.plan.origin));
  origin.send(fleet.make_request(kCachedKey));
  REQUIRE(status_of(node.send_request(fleet.make_request(kCachedKey))) == 200);
  node.read(10000);
  CHECK(node.state == RawConnection::State::Closed);
  origin.read(1500);
  CHECK(origin.state == RawConnection::State::Open);
  fleet.apply(OriginStep{OriginStep::What::Speed, 1, 0});
  origin.read(5000);
  CHECK(origin.parser.done());
}

TEST_CASE("the origin crashes and recovers and an abandoned request ends once") {
  TestFleet fleet;
  RawConnection old_connection(fleet.machine_address(fleet.plan.origin));
  REQUIRE(status_of(old_connection.send_request(fleet.make_request(kCachedKey))) == 200);
  fleet.apply(OriginStep{OriginStep::What::Fall, 1, 1500});
  CHECK(RawConnection(fleet.machine_address(fleet.plan.origin)).connect_error() == ECONNREFUSED);
  old_connection.read(5000);
  CHECK(old_connection.state == RawConnection::State::Reset);
  REQUIRE(wait_until([&] { return RawConnection(fleet.machine_address(fleet.plan.origin)).connected(); }));
  fleet.take_records<model::AttemptEnded>();
  {
    RawConnection origin(fleet.machine_address(fleet.plan.origin));
    origin.send(fleet.make_request(kCachedKey));
    REQUIRE(wait_until([&] { return !fleet.take_records<model::AttemptArrived>().empty(); }));
  }
  std::vector<model::AttemptEnded> ended;
  REQUIRE(wait_until([&] {
    const auto new_records = fleet.take_records<model::AttemptEnded>();
    ended.insert(ended.end(), new_records.begin(), new_records.end());
    return !ended.empty();
  }));
  CHECK(ended.size() == 1);
}
