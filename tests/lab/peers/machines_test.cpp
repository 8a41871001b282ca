// The simulated nodes and origin on raw sockets: how each kind of fault appears to a router.
#include <doctest/doctest.h>

#include "stand.h"

using namespace fernward;
using namespace fernward::tests;
using model::BadAnswer;
using model::NodeStep;
using model::OriginStep;

namespace {

constexpr std::uint64_t kHeld = 1;        // the most popular key: cached by every node before the run
constexpr std::uint64_t kUnknown = 19999; // the least popular key: cached by no node

int status_of(const std::optional<http::Message>& answer) { return answer ? answer->status : 0; }

} // namespace

TEST_CASE("each cache outcome has its status and x-cache-status header") {
  Stand stand;
  Raw node(stand.machine(0)), origin(stand.machine(stand.plan.origin));
  const auto hit = node.ask(stand.request(kHeld));
  REQUIRE(status_of(hit) == 200);
  CHECK(hit->header("x-cache-status") == "hit");
  CHECK(hit->body.size() == 500);
  const auto made_for = stand.bodies.read(hit->body);
  REQUIRE(made_for);
  CHECK(made_for->try_id == stand.last_try);
  CHECK(made_for->machine == 0);

  const auto miss = node.ask(stand.request(kUnknown));
  REQUIRE(status_of(miss) == 404);
  CHECK(miss->header("x-cache-status") == "miss");
  const std::string asked = stand.request(kUnknown);
  const auto pending = node.ask(asked);
  REQUIRE(status_of(pending) == 404);
  CHECK(pending->header("x-cache-status") == "pending");
  CHECK(status_of(origin.ask(asked)) == 200); // the fetch for the missed request: the node stores the value
  CHECK(status_of(node.ask(stand.request(kUnknown))) == 200);

  CHECK(status_of(node.ask(stand.request(kUnknown, true))) == 404); // only the origin accepts writes
  CHECK(status_of(origin.ask(stand.request(kUnknown, true))) == 200);
  CHECK(status_of(node.ask(stand.request(kUnknown))) == 404); // the write invalidates the cached copies
  CHECK(until([&] { return !node.ask(stand.request(kHeld))->header("x-server-load").empty(); }));
  CHECK(stand.voids.all().empty());
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
    Stand stand;
    Raw node(stand.machine(0));
    CHECK(status_of(node.ask(c.change(stand.request(kHeld)))) == c.status);
    CHECK(stand.voids.all().size() == (c.status == 400 ? 1 : 0));
    CHECK(status_of(node.ask(stand.request(kHeld))) == 200); // the connection is still usable
  }
}

TEST_CASE("each kind of bad response has its defect on the wire") {
  const struct {
    BadAnswer kind;
    std::function<bool(Raw&, Stand&)> looks;
  } cases[] = {
      {BadAnswer::Error, [](Raw& r, Stand&) { return r.parser.done() && r.parser.take().status == 500; }},
      {BadAnswer::Garbage, [](Raw& r, Stand&) { return r.parser.fault() == http::Fault::Malformed; }},
      {BadAnswer::TooLarge, [](Raw& r, Stand&) { return r.parser.fault() == http::Fault::BodyTooLarge; }},
      {BadAnswer::CutOff,
       [](Raw& r, Stand&) {
         return r.parser.wants_body() && r.end == Raw::End::Closed && !r.parser.end_of_input();
       }},
      {BadAnswer::NeverEnds, [](Raw& r, Stand&) { return r.parser.wants_body() && r.end == Raw::End::Open; }},
      {BadAnswer::EarlyClose, [](Raw& r, Stand&) { return !r.parser.begun() && r.end == Raw::End::Closed; }},
      {BadAnswer::WrongBody,
       [](Raw& r, Stand& s) {
         const auto facts = r.parser.done() ? s.bodies.read(r.parser.message().body) : std::nullopt;
         return facts && facts->try_id == s.last_try && facts->key != kHeld;
       }},
      {BadAnswer::SlowBytes,
       [](Raw& r, Stand&) {
         const bool some = r.parser.begun() && !r.parser.done();
         r.read(10000);
         return some && r.parser.done() && r.parser.take().status == 200;
       }},
  };
  for (const auto& c : cases) {
    CAPTURE(static_cast<int>(c.kind));
    Stand stand;
    stand.happen(NodeStep{0, NodeStep::What::Bad, 1, c.kind});
    Raw node(stand.machine(0));
    node.send(stand.request(kHeld));
    node.read(800);
    CHECK(c.looks(node, stand));
  }
}

TEST_CASE("a draining node rejects and an ended node refuses connections and a restarted node is empty") {
  Stand stand;
  Raw node(stand.machine(0));
  REQUIRE(status_of(node.ask(stand.request(kHeld))) == 200);
  stand.node(0, NodeStep::What::Drain);
  const auto turned_away = node.ask(stand.request(kHeld));
  REQUIRE(status_of(turned_away) == 503);
  CHECK(turned_away->header("x-not-processed") == "1");
  stand.node(0, NodeStep::What::End);
  node.read(5000);
  CHECK(node.end == Raw::End::Reset);
  CHECK(Raw(stand.machine(0)).error() == ECONNREFUSED);
  stand.node(0, NodeStep::What::Start);
  CHECK(status_of(Raw(stand.machine(0)).ask(stand.request(kHeld))) == 404);
}

TEST_CASE("a replacement machine answers at the address of the one it replaces") {
  Stand stand([](model::Spec& spec) { // adds the replacement to the plan; the test triggers it
    spec.events.push_back({500000, "", model::ReplaceNodes{{{0}, {}, {}, {}, {}}, 300}});
  });
  const auto next = static_cast<model::MachineId>(stand.plan.machines.size() - 1);
  REQUIRE(stand.plan.machines[next].address_of == 0);
  stand.node(0, NodeStep::What::End);
  CHECK(Raw(stand.machine(0)).error() == ECONNREFUSED);
  stand.node(next, NodeStep::What::Start);
  CHECK(status_of(Raw(stand.machine(0)).ask(stand.request(kUnknown))) == 404);
  const auto came = stand.records<model::Arrived>();
  REQUIRE(came.size() == 1);
  CHECK(came[0].machine == next);
}

TEST_CASE("a silent machine does not respond and on return resets only connections that lost data") {
  Stand stand;
  Raw used(stand.machine(0)), idle(stand.machine(0));
  REQUIRE(status_of(used.ask(stand.request(kHeld))) == 200);
  REQUIRE(status_of(idle.ask(stand.request(kHeld))) == 200);
  stand.node(0, NodeStep::What::Silence);
  // The request is lost and must never be read: after a long silence the lab would no longer know its id, and
  // an unknown id voids the run.
  std::string lost = stand.request(kHeld);
  lost.replace(lost.find("ID: ") + 4, 4, "zzzz");
  used.send(lost);
  CHECK(used.read(300).empty());
  CHECK(used.end == Raw::End::Open);
  const Raw fresh(stand.machine(0), 300);
  CHECK_FALSE(fresh.up()); // neither connected nor refused
  CHECK(fresh.error() == 0);
  stand.node(0, NodeStep::What::Return);
  used.read(5000);
  CHECK(used.end == Raw::End::Reset);
  CHECK(stand.voids.all().empty());
  CHECK(status_of(idle.ask(stand.request(kHeld))) == 200);
  CHECK(status_of(Raw(stand.machine(0)).ask(stand.request(kHeld))) == 200);
}

TEST_CASE("a cut affects only traffic between its two sides") {
  Stand stand;
  stand.happen(model::CutStep{1, true, {0}, {}, {}, {0}}); // machine 0 and router 0
  CHECK_FALSE(Raw(stand.machine(0, 0), 300).up());
  CHECK(status_of(Raw(stand.machine(0, 1)).ask(stand.request(kHeld))) == 200);
  CHECK(status_of(Raw(stand.machine(1, 0)).ask(stand.request(kHeld))) == 200);
  stand.happen(model::CutStep{1, false, {}, {}, {}, {}});
  CHECK(status_of(Raw(stand.machine(0, 0)).ask(stand.request(kHeld))) == 200);
}

TEST_CASE("a node at its connection limit rejects and accepts again after a connection closes") {
  Stand stand([](model::Spec& spec) { spec.kinds[0].connections = 1; });
  auto first = std::make_unique<Raw>(stand.machine(0));
  REQUIRE(status_of(first->ask(stand.request(kHeld))) == 200);
  Raw second(stand.machine(0));
  CHECK(status_of(second.ask(stand.request(kHeld))) == 503);
  second.read(5000);
  CHECK(second.end == Raw::End::Closed);
  first.reset();
  CHECK(until([&] { return status_of(Raw(stand.machine(0)).ask(stand.request(kHeld))) == 200; }));
}

TEST_CASE("an idle connection is closed but not one that waits for a response") {
  Stand stand([](model::Spec& spec) { spec.kinds[0].idle_ms = spec.origin.idle_ms = 1000; });
  stand.happen(OriginStep{OriginStep::What::Speed, 0, 0});
  Raw node(stand.machine(0)), origin(stand.machine(stand.plan.origin));
  origin.send(stand.request(kHeld));
  REQUIRE(status_of(node.ask(stand.request(kHeld))) == 200);
  node.read(10000);
  CHECK(node.end == Raw::End::Closed);
  origin.read(1500);
  CHECK(origin.end == Raw::End::Open);
  stand.happen(OriginStep{OriginStep::What::Speed, 1, 0});
  origin.read(5000);
  CHECK(origin.parser.done());
}

TEST_CASE("the origin crashes and recovers and an abandoned request ends once") {
  Stand stand;
  Raw before(stand.machine(stand.plan.origin));
  REQUIRE(status_of(before.ask(stand.request(kHeld))) == 200);
  stand.happen(OriginStep{OriginStep::What::Fall, 1, 1500});
  CHECK(Raw(stand.machine(stand.plan.origin)).error() == ECONNREFUSED);
  before.read(5000);
  CHECK(before.end == Raw::End::Reset);
  REQUIRE(until([&] { return Raw(stand.machine(stand.plan.origin)).up(); }));
  stand.records<model::AttemptEnded>();
  {
    Raw origin(stand.machine(stand.plan.origin));
    origin.send(stand.request(kHeld));
    REQUIRE(until([&] { return !stand.records<model::Arrived>().empty(); }));
  }
  std::vector<model::AttemptEnded> ended;
  REQUIRE(until([&] {
    const auto more = stand.records<model::AttemptEnded>();
    ended.insert(ended.end(), more.begin(), more.end());
    return !ended.empty();
  }));
  CHECK(ended.size() == 1);
}
