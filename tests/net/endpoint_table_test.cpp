// The endpoint table: which parts of a damaged message from discovery are applied, and how ID collisions are
// resolved.
#include <doctest/doctest.h>

#include <cmath>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "endpoints/endpoint_table.h"
#include "peers.h"

using namespace fernward;
using namespace fernward::tests;
using fernward::ServerState;

namespace {

constexpr bool kWhole = true;
constexpr bool kChanges = false;

Json without(Json entry, const char* field) {
  entry.erase(field);
  return entry;
}

Json with(Json entry, const char* field, Json value) {
  entry[field] = std::move(value);
  return entry;
}

const endpoints::Endpoint* find(const endpoints::EndpointTable& table, const std::string& name) {
  for (const auto& [id, target] : table.targets()) {
    if (target.name == name) return &target;
  }
  return nullptr;
}

const endpoints::Endpoint& target(const endpoints::EndpointTable& table, const std::string& name) {
  const endpoints::Endpoint* found = find(table, name);
  if (found == nullptr) throw std::logic_error("the table has no " + name);
  return *found;
}

std::optional<ServerState> state_of(const endpoints::EndpointTable& table, const std::string& name) {
  const endpoints::Endpoint* found = find(table, name);
  if (found == nullptr) return std::nullopt;
  return found->entry.state;
}

// The state of a server in a list for the balancer: that of the last entry with its ID.
std::optional<ServerState> told_of(const EndpointList& list, const std::string& name) {
  std::optional<ServerState> state;
  for (const Server& server : list.servers) {
    if (server.id == endpoints::id_of(name)) state = server.state;
  }
  return state;
}

// Applies every list that the table returns, as the router and the balancer do, and compares the result with
// the table.
class Follower {
 public:
  void take(const EndpointList& list) {
    if (list.kind == EndpointListKind::Full) servers_.clear();
    for (const Server& server : list.servers) {
      servers_[server.id] = server.state;
      if (server.state == ServerState::Gone) servers_.erase(server.id);
    }
  }
  bool agrees(const endpoints::EndpointTable& table) const {
    std::map<ServerId, ServerState> states;
    for (const auto& [id, target] : table.targets()) states[id] = target.entry.state;
    return states == servers_;
  }

 private:
  std::map<ServerId, ServerState> servers_;
};

endpoints::EndpointTable table_of(const std::vector<Json>& endpoints) {
  endpoints::EndpointTable table({"a", "b"}, {"cache", "origin"}, true);
  table.apply(node_list(3, kWhole, endpoints).dump()); // as text, from which numbers are parsed as unsigned
  return table;
}

endpoints::EndpointTable table_of_two() {
  return table_of({endpoint("x", "127.0.0.1:1"), endpoint("y", "127.0.0.1:2")});
}

// Two names with the same ID, the lesser first. Found by search: a collision is likely among 2^17 names
// (birthday problem).
const std::pair<std::string, std::string>& names_with_one_number() {
  static const auto found = [] {
    std::map<ServerId, std::string> taken;
    for (int i = 0;; ++i) {
      const std::string name = "s-" + std::to_string(i);
      const auto [it, added] = taken.emplace(endpoints::id_of(name), name);
      if (!added) return std::pair(std::min(it->second, name), std::max(it->second, name));
    }
  }();
  return found;
}

// Entries whose server can't be identified.
std::vector<Json> unreadable_entries() {
  return {Json(nullptr),
          Json(7),
          Json("y"),
          Json::array(),
          Json::object(),
          without(endpoint("y", "127.0.0.1:2"), "name"),
          with(endpoint("y", "127.0.0.1:2"), "name", nullptr),
          with(endpoint("y", "127.0.0.1:2"), "name", 7),
          endpoint("", "127.0.0.1:2")};
}

std::vector<Json> doubtful_entries(const std::string& name) {
  return {without(endpoint(name, "127.0.0.1:9"), "status"),
          with(endpoint(name, "127.0.0.1:9"), "status", nullptr),
          with(endpoint(name, "127.0.0.1:9"), "status", Json::array({"in_service"})),
          without(endpoint(name, "127.0.0.1:9"), "address"),
          with(endpoint(name, "127.0.0.1:9"), "address", nullptr),
          with(endpoint(name, "127.0.0.1:9"), "address", 7),
          endpoint(name, "nowhere"),
          endpoint(name, "127.0.0.1:99999"),
          endpoint(name, "")};
}

} // namespace

TEST_CASE("the endpoint table applies snapshots and updates") {
  endpoints::EndpointTable table({"a", "b"}, {"cache", "origin"});
  CHECK_FALSE(table.usable());
  auto list = table.apply(node_list(3, true, {endpoint("x", "127.0.0.1:1"), endpoint("y", "127.0.0.1:2")}));
  CHECK(list.kind == fernward::EndpointListKind::Full);
  CHECK(list.servers.size() == 2);
  list = table.apply(node_list(4, false, {endpoint("x", "127.0.0.1:1", "terminating")}));
  CHECK(list.kind == fernward::EndpointListKind::Delta);
  REQUIRE(list.servers.size() == 1);
  CHECK(list.servers[0].state == ServerState::Draining);
  CHECK(list.servers[0].id == endpoints::id_of("x"));
  list = table.apply(
      node_list(5, false, {endpoint("x", "", "terminated"), endpoint("y", "127.0.0.1:2", "odd")}));
  REQUIRE(list.servers.size() == 2);
  CHECK(list.servers[0].state == ServerState::Gone);
  CHECK(list.servers[1].state == ServerState::Draining); // an unknown status is treated as draining
  CHECK(table.targets().size() == 1);
  CHECK_FALSE(table.usable());
}

// Guards against partially applied lists.
TEST_CASE("a message with a damaged envelope is rejected without effect") {
  endpoints::EndpointTable table = table_of({endpoint("x", "127.0.0.1:1")});
  const Json sound = node_list(4, kWhole, {endpoint("z", "127.0.0.1:1")});
  for (const std::string& text : {std::string("<html>"),
                                  std::string(),
                                  std::string("{}"),
                                  std::string("[]"),
                                  std::string("null"),
                                  std::string("{\"index\":4"),
                                  sound.dump() + "x",
                                  without(sound, "index").dump(),
                                  with(sound, "index", nullptr).dump(),
                                  with(sound, "index", "4").dump(),
                                  with(sound, "index", -4).dump(),
                                  with(sound, "index", true).dump(),
                                  without(sound, "snapshot").dump(),
                                  with(sound, "snapshot", nullptr).dump(),
                                  with(sound, "snapshot", "true").dump(),
                                  without(sound, "endpoints").dump(),
                                  with(sound, "endpoints", nullptr).dump(),
                                  with(sound, "endpoints", Json::object()).dump(),
                                  with(sound, "endpoints", Json{{"z", endpoint("z", "127.0.0.1:1")}}).dump(),
                                  node_list(-4, true, {}).dump() + "x"}) {
    CAPTURE(text);
    CHECK_THROWS_AS(table.apply(text), endpoints::Damaged);
    CHECK(table.index() == 3);
    CHECK(table.targets().size() == 1);
    CHECK(state_of(table, "x") == ServerState::Ready);
  }
}

// Guards against an empty table when discovery writes every entry wrongly.
TEST_CASE("a snapshot without any valid entry is rejected without effect") {
  for (const auto& entries :
       {std::vector<Json>{endpoint("z", "nowhere")}, std::vector<Json>{Json{{"name", "x"}}},
        std::vector<Json>{endpoint("x", "nowhere"), Json(nullptr)}, unreadable_entries()}) {
    endpoints::EndpointTable table = table_of({endpoint("x", "127.0.0.1:1")});
    const std::string told = table.told();
    const std::string text = node_list(4, kWhole, entries).dump();
    CAPTURE(text);
    CHECK_THROWS_AS(table.apply(text), endpoints::Damaged);
    CHECK(table.index() == 3);
    CHECK(state_of(table, "x") == ServerState::Ready);
    CHECK(table.told() == told);
    CHECK(table.dropped_entries() == 0); // the message is rejected as a whole, not its entries
  }
  endpoints::EndpointTable table = table_of({endpoint("x", "127.0.0.1:1")});
  table.apply(node_list(4, kWhole, {})); // an empty list is valid
  CHECK(table.targets().empty());
}

// Such a message is accepted: the valid entry is applied and the damaged one is counted.
TEST_CASE("the valid entries beside a damaged one are applied") {
  for (const Json& damaged : {endpoint("y", "nowhere"), Json{{"name", "y"}}}) {
    endpoints::EndpointTable table = table_of({endpoint("x", "127.0.0.1:1")});
    const auto list = table.apply(node_list(4, kWhole, {endpoint("z", "127.0.0.1:1"), damaged}));
    CHECK(table.index() == 4);
    CHECK(list.servers.size() == 1);
    CHECK(table.targets().size() == 1);
    CHECK(state_of(table, "z") == ServerState::Ready);
    CHECK(table.dropped_entries() == 1);
  }
}

// Guards against drains that no process applies as long as any other entry is damaged.
TEST_CASE("a drain beside a damaged entry is applied") {
  std::vector<Json> damaged = unreadable_entries();
  for (const Json& entry : doubtful_entries("unknown")) damaged.push_back(entry);
  damaged.push_back(with(endpoint("y", "127.0.0.1:2"), "weight", nullptr));
  for (const bool whole : {kWhole, kChanges}) {
    for (const bool damage_first : {false, true}) {
      for (const char* status : {"terminating", "terminated"}) {
        for (const Json& entry : damaged) {
          endpoints::EndpointTable table = table_of_two();
          const Json drain = endpoint("x", "127.0.0.1:1", status);
          const std::string text =
              node_list(4, whole, damage_first ? std::vector{entry, drain} : std::vector{drain, entry})
                  .dump();
          CAPTURE(text);
          EndpointList list;
          REQUIRE_NOTHROW(list = table.apply(text));
          CHECK(table.index() == 4);
          CHECK(find(table, "unknown") == nullptr);
          if (status == std::string("terminating")) {
            CHECK(state_of(table, "x") == ServerState::Draining);
            CHECK(told_of(list, "x") == ServerState::Draining);
          } else {
            CHECK(find(table, "x") == nullptr);
            CHECK(told_of(list, "x").value_or(ServerState::Gone) == ServerState::Gone);
          }
        }
      }
    }
  }
}

TEST_CASE("unreadable entries are dropped and counted") {
  for (const bool whole : {kWhole, kChanges}) {
    endpoints::EndpointTable table = table_of_two();
    std::vector<Json> entries = unreadable_entries();
    entries.push_back(endpoint("x", "127.0.0.1:7"));
    const auto list = table.apply(node_list(4, whole, entries));
    CHECK(list.servers.size() == 1);
    CHECK(target(table, "x").address == "127.0.0.1:7");
    CHECK((find(table, "y") == nullptr) == whole); // absent from a snapshot; unaffected by an update
    CHECK(table.dropped_entries() == unreadable_entries().size());
    table.apply(node_list(5, kChanges, {Json(nullptr)}));
    CHECK(table.dropped_entries() == unreadable_entries().size() + 1);
  }
}

TEST_CASE("a drain is applied whatever else of its entry is damaged") {
  const Json drain = endpoint("x", "127.0.0.1:1", "terminating");
  const std::vector<Json> damaged = {without(drain, "address"),
                                     with(drain, "address", nullptr),
                                     with(drain, "address", "nowhere"),
                                     with(drain, "zone", 7),
                                     with(drain, "type", nullptr),
                                     with(drain, "group", Json::object()),
                                     with(drain, "weight", nullptr),
                                     with(drain, "since_ms", "today"),
                                     Json{{"name", "x"}, {"status", "terminating"}}};
  for (const bool whole : {kWhole, kChanges}) {
    for (const Json& entry : damaged) {
      CAPTURE(entry.dump());
      endpoints::EndpointTable table = table_of_two();
      REQUIRE_NOTHROW(table.apply(node_list(4, whole, {entry, endpoint("y", "127.0.0.1:2")})));
      REQUIRE(find(table, "x") != nullptr);
      CHECK(state_of(table, "x") == ServerState::Draining);
      CHECK(target(table, "x").address == "127.0.0.1:1"); // the last valid address
      CHECK(table.dropped_entries() == 0);
      const Json gone = with(entry, "status", "terminated");
      REQUIRE_NOTHROW(table.apply(node_list(5, whole, {gone, endpoint("y", "127.0.0.1:2")})));
      CHECK(find(table, "x") == nullptr);
      CHECK(state_of(table, "y") == ServerState::Ready);
    }
  }
}

// Guards against ignored drains when discovery writes one field of every entry wrongly.
TEST_CASE("drains are applied from a snapshot with a damaged field in every entry") {
  endpoints::EndpointTable table = table_of_two();
  REQUIRE_NOTHROW(table.apply(node_list(4, kWhole,
                                        {with(endpoint("x", "127.0.0.1:1", "terminating"), "weight", nullptr),
                                         with(endpoint("y", "127.0.0.1:2"), "weight", nullptr)})));
  CHECK(state_of(table, "x") == ServerState::Draining);
  CHECK(state_of(table, "y") == ServerState::Ready);
}

TEST_CASE("a known server whose entry has no status or address is treated as draining") {
  for (const bool whole : {kWhole, kChanges}) {
    for (const Json& entry : doubtful_entries("x")) {
      CAPTURE(entry.dump());
      endpoints::EndpointTable table = table_of_two();
      EndpointList list;
      REQUIRE_NOTHROW(list = table.apply(node_list(4, whole, {entry, endpoint("y", "127.0.0.1:2")})));
      REQUIRE(find(table, "x") != nullptr);
      CHECK(state_of(table, "x") == ServerState::Draining);
      CHECK(told_of(list, "x") == ServerState::Draining);
      CHECK(target(table, "x").address == "127.0.0.1:1"); // the last valid address
      CHECK(table.dropped_entries() == 0);
      table.apply(node_list(5, kChanges, {endpoint("x", "127.0.0.1:5")}));
      CHECK(state_of(table, "x") == ServerState::Ready); // after a valid entry
      CHECK(target(table, "x").address == "127.0.0.1:5");
    }
  }
}

TEST_CASE("an entry of an unknown server without status or address is dropped") {
  for (const bool whole : {kWhole, kChanges}) {
    for (const Json& entry : doubtful_entries("z")) {
      CAPTURE(entry.dump());
      endpoints::EndpointTable table = table_of_two();
      REQUIRE_NOTHROW(table.apply(node_list(4, whole, {entry, endpoint("y", "127.0.0.1:2")})));
      CHECK(find(table, "z") == nullptr);
      CHECK(table.dropped_entries() == 1);
    }
  }
}

TEST_CASE("unreadable optional fields keep their last value or the default") {
  Json last = endpoint("x", "127.0.0.1:1", "in_service", "origin");
  last["zone"] = "b";
  last["group"] = 5;
  last["weight"] = 2.5;
  last["since_ms"] = 1000;
  const Json damaged[] = {with(last, "zone", 7),
                          with(last, "zone", nullptr),
                          with(last, "type", Json::array()),
                          with(last, "group", Json::array()),
                          with(last, "group", nullptr),
                          with(last, "weight", "2.5"),
                          with(last, "weight", nullptr),
                          with(last, "since_ms", nullptr),
                          with(last, "since_ms", true)};
  for (const bool whole : {kWhole, kChanges}) {
    for (const Json& entry : damaged) {
      CAPTURE(entry.dump());
      endpoints::EndpointTable known = table_of({last});
      REQUIRE_NOTHROW(known.apply(node_list(4, whole, {entry}).dump()));
      const Server& server = target(known, "x").entry;
      CHECK(server.state == ServerState::Ready);
      CHECK(server.zone == 1);
      CHECK(server.kind == 1);
      CHECK(server.cell == 5);
      CHECK(server.weight == 2.5);
      CHECK(server.started_at == 1000);
      CHECK(known.dropped_entries() == 0);
    }
    endpoints::EndpointTable unknown = table_of({endpoint("y", "127.0.0.1:2")});
    Json entry = endpoint("x", "127.0.0.1:1");
    for (const char* field : {"zone", "type", "group", "weight", "since_ms"}) entry[field] = nullptr;
    REQUIRE_NOTHROW(unknown.apply(node_list(4, whole, {entry}).dump()));
    endpoints::EndpointTable plain =
        table_of({Json{{"name", "x"}, {"address", "127.0.0.1:1"}, {"status", "in_service"}}});
    const Server& server = target(unknown, "x").entry;
    const Server& defaults = target(plain, "x").entry;
    CHECK(server.zone == defaults.zone);
    CHECK(server.kind == defaults.kind);
    CHECK(server.cell == defaults.cell);
    CHECK(server.weight == 1);
    CHECK(server.started_at == 0);
  }
}

TEST_CASE("an invalid weight is replaced by the default") {
  for (const double weight : {-1.0, std::nan(""), std::numeric_limits<double>::infinity(),
                              -std::numeric_limits<double>::infinity()}) {
    CAPTURE(weight);
    endpoints::EndpointTable table = table_of({with(endpoint("x", "127.0.0.1:1"), "weight", 3)});
    table.apply(node_list(4, kChanges, {with(endpoint("x", "127.0.0.1:1"), "weight", weight)}));
    CHECK(target(table, "x").entry.weight == 1);
  }
}

TEST_CASE("the last of several entries with the same name in a message applies") {
  const Json serving = endpoint("x", "127.0.0.1:1");
  const Json draining = endpoint("x", "127.0.0.1:1", "terminating");
  const Json gone = endpoint("x", "127.0.0.1:1", "terminated");
  for (const bool whole : {kWhole, kChanges}) {
    CAPTURE(whole);
    endpoints::EndpointTable table = table_of_two();
    Follower follower;
    const auto play = [&](std::uint64_t index, const std::vector<Json>& entries) {
      Json message = node_list(static_cast<int>(index), whole, entries);
      if (whole) message["endpoints"].push_back(endpoint("y", "127.0.0.1:2"));
      const auto list = table.apply(message);
      std::set<ServerId> ids;
      for (const Server& server : list.servers) CHECK(ids.insert(server.id).second); // each ID appears once
      follower.take(list);
      if (whole) CHECK(follower.agrees(table));
      return told_of(list, "x");
    };
    CHECK(play(4, {serving, draining}) == ServerState::Draining);
    CHECK(state_of(table, "x") == ServerState::Draining);
    CHECK(play(5, {draining, serving}) == ServerState::Ready);
    CHECK(state_of(table, "x") == ServerState::Ready);
    CHECK(play(6, {serving, gone}).value_or(ServerState::Gone) == ServerState::Gone);
    CHECK(find(table, "x") == nullptr);
    CHECK(play(7, {gone, draining}) == ServerState::Draining);
    CHECK(state_of(table, "x") == ServerState::Draining);
    // The server is known from the previous entry, or unknown because the previous entry terminated it.
    CHECK(play(8, {serving, without(serving, "status")}) == ServerState::Draining);
    CHECK(play(9, {gone, without(serving, "status")}).value_or(ServerState::Gone) == ServerState::Gone);
    CHECK(find(table, "x") == nullptr);
  }
}

TEST_CASE("a server that a snapshot reports as terminated is absent") {
  endpoints::EndpointTable table = table_of_two();
  const auto list = table.apply(
      node_list(4, kWhole, {endpoint("x", "127.0.0.1:1", "terminated"), endpoint("y", "127.0.0.1:2")}));
  CHECK(find(table, "x") == nullptr);
  CHECK_FALSE(told_of(list, "x").has_value()); // a snapshot removes servers that it does not contain
  CHECK(told_of(list, "y") == ServerState::Ready);
  CHECK(table.told().find("\"x\"") == std::string::npos);
}

TEST_CASE("an unknown server that is terminated or draining is never in service") {
  endpoints::EndpointTable table = table_of_two();
  const auto list = table.apply(
      node_list(4, kChanges, {endpoint("z", "127.0.0.1:3", "terminated"), endpoint("w", "", "terminating")}));
  CHECK(find(table, "z") == nullptr);
  CHECK(told_of(list, "z").value_or(ServerState::Gone) == ServerState::Gone);
  CHECK(told_of(list, "w") == ServerState::Draining);
  table.apply(node_list(5, kChanges, {endpoint("w", "nowhere")}));
  CHECK(state_of(table, "w") == ServerState::Draining); // it has no valid address
  CHECK(table.targets().size() == 3);
}

TEST_CASE("a draining server may change its address") {
  endpoints::EndpointTable table = table_of_two();
  for (const bool whole : {kChanges, kWhole}) {
    table.apply(node_list(4, kChanges, {endpoint("x", "127.0.0.1:1", "terminating")}));
    const auto list = table.apply(node_list(5, whole, {endpoint("x", "127.0.0.1:8", "terminating")}));
    CHECK(told_of(list, "x") == ServerState::Draining);
    CHECK(state_of(table, "x") == ServerState::Draining);
    CHECK(target(table, "x").address == "127.0.0.1:8");
    CHECK(ntohs(target(table, "x").where.sin_port) == 8);
  }
}

// ---- two servers with the same ID ----

TEST_CASE("a drain of either of two servers with the same ID is applied only to that server") {
  const auto& [lesser, greater] = names_with_one_number();
  for (const bool whole : {kWhole, kChanges}) {
    for (const bool swapped : {false, true}) {
      for (const auto& [drained, stays] : {std::pair(lesser, greater), std::pair(greater, lesser)}) {
        for (const char* status : {"terminating", "terminated"}) {
          CAPTURE(whole);
          CAPTURE(swapped);
          CAPTURE(drained);
          CAPTURE(status);
          const Json stays_entry = endpoint(stays, "127.0.0.1:1");
          endpoints::EndpointTable table = table_of({endpoint(drained, "127.0.0.1:2"), stays_entry});
          Follower follower;
          follower.take(table.apply(node_list(4, kWhole, {stays_entry, endpoint(drained, "127.0.0.1:2")})));
          const Json drain = endpoint(drained, "127.0.0.1:2", status);
          std::vector<Json> entries = {drain};
          if (whole || swapped)
            entries = swapped ? std::vector{stays_entry, drain} : std::vector{drain, stays_entry};
          follower.take(table.apply(node_list(5, whole, entries)));
          CHECK(follower.agrees(table));
          CHECK(state_of(table, stays) == ServerState::Ready); // it holds the ID now
          CHECK(state_of(table, drained) == std::nullopt);
          // The serialized table gives the same table in another process.
          endpoints::EndpointTable next({"a", "b"}, {"cache", "origin"});
          next.apply(table.told());
          CHECK(state_of(next, stays) == ServerState::Ready);
          // The remaining server drains too: none with this ID is in service.
          follower.take(table.apply(node_list(6, kChanges, {endpoint(stays, "127.0.0.1:1", status)})));
          CHECK(follower.agrees(table));
          CHECK_FALSE(table.usable());
          follower.take(table.apply(node_list(7, kChanges,
                                              {endpoint(drained, "127.0.0.1:2", "terminated"),
                                               endpoint(stays, "127.0.0.1:1", "terminated")})));
          CHECK(follower.agrees(table));
          CHECK(table.targets().empty());
        }
      }
    }
  }
}

TEST_CASE("a drain of an unknown server does not affect a known one with the same ID") {
  const auto& [lesser, greater] = names_with_one_number();
  for (const auto& [unknown, known] : {std::pair(lesser, greater), std::pair(greater, lesser)}) {
    for (const char* status : {"terminating", "terminated"}) {
      CAPTURE(unknown);
      CAPTURE(status);
      endpoints::EndpointTable table = table_of({endpoint(known, "127.0.0.1:1")});
      const auto list = table.apply(node_list(4, kChanges, {endpoint(unknown, "127.0.0.1:2", status)}));
      CHECK(state_of(table, known) == ServerState::Ready);
      CHECK(target(table, known).address == "127.0.0.1:1");
      CHECK(told_of(list, known).value_or(ServerState::Ready) == ServerState::Ready);
    }
  }
}

TEST_CASE("of two servers in service the lesser name holds the ID and the other one after its end") {
  const auto& [lesser, greater] = names_with_one_number();
  endpoints::EndpointTable table = table_of({endpoint(greater, "127.0.0.1:2")});
  table.apply(node_list(4, kChanges, {endpoint(lesser, "127.0.0.1:1")}));
  CHECK(table.targets().size() == 1);
  CHECK(state_of(table, lesser) == ServerState::Ready);
  table.apply(node_list(5, kChanges, {endpoint(greater, "127.0.0.1:9")})); // while the other holds the ID
  CHECK(state_of(table, lesser) == ServerState::Ready);
  const auto list = table.apply(node_list(6, kChanges, {endpoint(lesser, "", "terminated")}));
  CHECK(told_of(list, greater) == ServerState::Ready);
  CHECK(target(table, greater).address == "127.0.0.1:9");
  // A snapshot that contains only one of them removes the other.
  table.apply(node_list(7, kChanges, {endpoint(lesser, "127.0.0.1:1")}));
  table.apply(node_list(8, kWhole, {endpoint(lesser, "127.0.0.1:1")}));
  table.apply(node_list(9, kChanges, {endpoint(lesser, "", "terminated")}));
  CHECK(table.targets().empty());
}

// ---- serialization for another process ----

TEST_CASE("the serialized table contains the applied state including that of damaged entries") {
  endpoints::EndpointTable table = table_of_two();
  table.apply(node_list(4, kChanges,
                        {without(endpoint("x", "127.0.0.1:1"), "status"),
                         with(with(endpoint("y", "127.0.0.1:7"), "weight", nullptr), "extra", "kept")}));
  endpoints::EndpointTable next({"a", "b"}, {"cache", "origin"});
  REQUIRE_NOTHROW(next.apply(table.told()));
  CHECK(next.dropped_entries() == 0);
  CHECK(next.index() == 4);
  CHECK(state_of(next, "x") == ServerState::Draining);
  CHECK(target(next, "x").address == "127.0.0.1:1");
  CHECK(state_of(next, "y") == ServerState::Ready);
  CHECK(target(next, "y").address == "127.0.0.1:7");
  CHECK(table.told().find("\"extra\":\"kept\"") != std::string::npos);
}

// ---- stale answers ----

// Guards against undoing a drain.
TEST_CASE("an answer with a lower index than known is stale and has no effect") {
  for (const bool whole : {kWhole, kChanges}) {
    endpoints::EndpointTable table = table_of({endpoint("x", "127.0.0.1:1", "terminating")});
    const Json old = node_list(2, whole, {endpoint("x", "127.0.0.1:1")});
    CHECK_THROWS_WITH_AS(table.apply(old, 3), doctest::Contains("stale: index 2 after 3"), endpoints::Stale);
    CHECK_THROWS_AS(table.apply(old.dump(), 3), endpoints::Stale);
    CHECK_THROWS_AS(table.apply(old.dump(), 3), endpoints::Damaged);
    CHECK(table.index() == 3);
    CHECK(state_of(table, "x") == ServerState::Draining);
    CHECK_NOTHROW(table.apply(old, 2));
    CHECK_NOTHROW(table.apply(old)); // another discovery may use lower indexes
    CHECK(state_of(table, "x") == ServerState::Ready);
  }
}
