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
#include "scripted_peers.h"

using namespace fernward;
using namespace fernward::tests;
using fernward::ServerState;

namespace {

constexpr bool kSnapshot = true;
constexpr bool kUpdate = false;

Json without_field(Json entry, const char* field) {
  entry.erase(field);
  return entry;
}

Json with_field(Json entry, const char* field, Json value) {
  entry[field] = std::move(value);
  return entry;
}

const endpoints::Endpoint* find(const endpoints::EndpointTable& table, const std::string& name) {
  for (const auto& [id, endpoint] : table.endpoints_by_id()) {
    if (endpoint.name == name) return &endpoint;
  }
  return nullptr;
}

const endpoints::Endpoint& endpoint_of(const endpoints::EndpointTable& table, const std::string& name) {
  const endpoints::Endpoint* found = find(table, name);
  if (found == nullptr) throw std::logic_error("the table has no " + name);
  return *found;
}

std::optional<ServerState> state_of(const endpoints::EndpointTable& table, const std::string& name) {
  const endpoints::Endpoint* found = find(table, name);
  if (found == nullptr) return std::nullopt;
  return found->server.state;
}

// The state of a server in a list for the balancer: that of the last entry with its ID.
std::optional<ServerState> state_in_list(const EndpointList& list, const std::string& name) {
  std::optional<ServerState> state;
  for (const Server& server : list.servers) {
    if (server.id == endpoints::id_of(name)) state = server.state;
  }
  return state;
}

// The state of the servers after every list that the table has returned is applied, as the router and the
// balancer do. Tests compare it with the table.
class TableMirror {
 public:
  void apply(const EndpointList& list) {
    if (list.kind == EndpointListKind::Full) servers_.clear();
    for (const Server& server : list.servers) {
      servers_[server.id] = server.state;
      if (server.state == ServerState::Gone) servers_.erase(server.id);
    }
  }
  bool matches(const endpoints::EndpointTable& table) const {
    std::map<ServerId, ServerState> states;
    for (const auto& [id, endpoint] : table.endpoints_by_id()) states[id] = endpoint.server.state;
    return states == servers_;
  }

 private:
  std::map<ServerId, ServerState> servers_;
};

endpoints::EndpointTable make_table(const std::vector<Json>& endpoints) {
  endpoints::EndpointTable table({"a", "b"}, {"cache", "origin"}, true);
  // As text, from which numbers are parsed as unsigned.
  table.apply(endpoint_list_json(3, kSnapshot, endpoints).dump());
  return table;
}

endpoints::EndpointTable make_table_of_two() {
  return make_table({endpoint_json("x", "127.0.0.1:1"), endpoint_json("y", "127.0.0.1:2")});
}

// Two names with the same ID, the lesser first. Found by search: a collision is likely among 2^17 names
// (birthday problem).
const std::pair<std::string, std::string>& names_with_same_id() {
  static const auto found = [] {
    std::map<ServerId, std::string> names_by_id;
    for (int i = 0;; ++i) {
      const std::string name = "s-" + std::to_string(i);
      const auto [it, added] = names_by_id.emplace(endpoints::id_of(name), name);
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
          without_field(endpoint_json("y", "127.0.0.1:2"), "name"),
          with_field(endpoint_json("y", "127.0.0.1:2"), "name", nullptr),
          with_field(endpoint_json("y", "127.0.0.1:2"), "name", 7),
          endpoint_json("", "127.0.0.1:2")};
}

std::vector<Json> entries_without_status_or_address(const std::string& name) {
  return {without_field(endpoint_json(name, "127.0.0.1:9"), "status"),
          with_field(endpoint_json(name, "127.0.0.1:9"), "status", nullptr),
          with_field(endpoint_json(name, "127.0.0.1:9"), "status", Json::array({"in_service"})),
          without_field(endpoint_json(name, "127.0.0.1:9"), "address"),
          with_field(endpoint_json(name, "127.0.0.1:9"), "address", nullptr),
          with_field(endpoint_json(name, "127.0.0.1:9"), "address", 7),
          endpoint_json(name, "nowhere"),
          endpoint_json(name, "127.0.0.1:99999"),
          endpoint_json(name, "")};
}

} // namespace

TEST_CASE("the endpoint table applies snapshots and updates") {
  endpoints::EndpointTable table({"a", "b"}, {"cache", "origin"});
  CHECK_FALSE(table.has_endpoint_in_service());
  auto list = table.apply(
      endpoint_list_json(3, true, {endpoint_json("x", "127.0.0.1:1"), endpoint_json("y", "127.0.0.1:2")}));
  CHECK(list.kind == fernward::EndpointListKind::Full);
  CHECK(list.servers.size() == 2);
  list = table.apply(endpoint_list_json(4, false, {endpoint_json("x", "127.0.0.1:1", "terminating")}));
  CHECK(list.kind == fernward::EndpointListKind::Delta);
  REQUIRE(list.servers.size() == 1);
  CHECK(list.servers[0].state == ServerState::Draining);
  CHECK(list.servers[0].id == endpoints::id_of("x"));
  list = table.apply(endpoint_list_json(
      5, false, {endpoint_json("x", "", "terminated"), endpoint_json("y", "127.0.0.1:2", "odd")}));
  REQUIRE(list.servers.size() == 2);
  CHECK(list.servers[0].state == ServerState::Gone);
  CHECK(list.servers[1].state == ServerState::Draining); // an unknown status is treated as draining
  CHECK(table.endpoints_by_id().size() == 1);
  CHECK_FALSE(table.has_endpoint_in_service());
}

// Guards against partially applied lists.
TEST_CASE("a message with a damaged envelope is rejected without effect") {
  endpoints::EndpointTable table = make_table({endpoint_json("x", "127.0.0.1:1")});
  const Json valid_message = endpoint_list_json(4, kSnapshot, {endpoint_json("z", "127.0.0.1:1")});
  for (const std::string& text :
       {std::string("<html>"),
        std::string(),
        std::string("{}"),
        std::string("[]"),
        std::string("null"),
        std::string("{\"index\":4"),
        valid_message.dump() + "x",
        without_field(valid_message, "index").dump(),
        with_field(valid_message, "index", nullptr).dump(),
        with_field(valid_message, "index", "4").dump(),
        with_field(valid_message, "index", -4).dump(),
        with_field(valid_message, "index", true).dump(),
        without_field(valid_message, "snapshot").dump(),
        with_field(valid_message, "snapshot", nullptr).dump(),
        with_field(valid_message, "snapshot", "true").dump(),
        without_field(valid_message, "endpoints").dump(),
        with_field(valid_message, "endpoints", nullptr).dump(),
        with_field(valid_message, "endpoints", Json::object()).dump(),
        with_field(valid_message, "endpoints", Json{{"z", endpoint_json("z", "127.0.0.1:1")}}).dump(),
        endpoint_list_json(-4, true, {}).dump() + "x"}) {
    CAPTURE(text);
    CHECK_THROWS_AS(table.apply(text), endpoints::InvalidEndpointList);
    CHECK(table.index() == 3);
    CHECK(table.endpoints_by_id().size() == 1);
    CHECK(state_of(table, "x") == ServerState::Ready);
  }
}

// Guards against an empty table when discovery writes every entry wrongly.
TEST_CASE("a snapshot without any valid entry is rejected without effect") {
  for (const auto& entries :
       {std::vector<Json>{endpoint_json("z", "nowhere")}, std::vector<Json>{Json{{"name", "x"}}},
        std::vector<Json>{endpoint_json("x", "nowhere"), Json(nullptr)}, unreadable_entries()}) {
    endpoints::EndpointTable table = make_table({endpoint_json("x", "127.0.0.1:1")});
    const std::string serialized_before = table.serialized_list();
    const std::string text = endpoint_list_json(4, kSnapshot, entries).dump();
    CAPTURE(text);
    CHECK_THROWS_AS(table.apply(text), endpoints::InvalidEndpointList);
    CHECK(table.index() == 3);
    CHECK(state_of(table, "x") == ServerState::Ready);
    CHECK(table.serialized_list() == serialized_before);
    CHECK(table.dropped_entries() == 0); // the message is rejected as a whole, not its entries
  }
  endpoints::EndpointTable table = make_table({endpoint_json("x", "127.0.0.1:1")});
  table.apply(endpoint_list_json(4, kSnapshot, {})); // an empty list is valid
  CHECK(table.endpoints_by_id().empty());
}

// Guards against a whole list that is rejected for one damaged entry. The damaged entry is counted.
TEST_CASE("the valid entries beside a damaged one are applied") {
  for (const Json& damaged : {endpoint_json("y", "nowhere"), Json{{"name", "y"}}}) {
    endpoints::EndpointTable table = make_table({endpoint_json("x", "127.0.0.1:1")});
    const auto list =
        table.apply(endpoint_list_json(4, kSnapshot, {endpoint_json("z", "127.0.0.1:1"), damaged}));
    CHECK(table.index() == 4);
    CHECK(list.servers.size() == 1);
    CHECK(table.endpoints_by_id().size() == 1);
    CHECK(state_of(table, "z") == ServerState::Ready);
    CHECK(table.dropped_entries() == 1);
  }
}

// Guards against drains that are not applied as long as any other entry is damaged.
TEST_CASE("a drain beside a damaged entry is applied") {
  std::vector<Json> damaged = unreadable_entries();
  for (const Json& entry : entries_without_status_or_address("unknown")) damaged.push_back(entry);
  damaged.push_back(with_field(endpoint_json("y", "127.0.0.1:2"), "weight", nullptr));
  for (const bool is_snapshot : {kSnapshot, kUpdate}) {
    for (const bool damaged_first : {false, true}) {
      for (const char* status : {"terminating", "terminated"}) {
        for (const Json& entry : damaged) {
          endpoints::EndpointTable table = make_table_of_two();
          const Json drain = endpoint_json("x", "127.0.0.1:1", status);
          const std::string text =
              endpoint_list_json(4, is_snapshot,
                                 damaged_first ? std::vector{entry, drain} : std::vector{drain, entry})
                  .dump();
          CAPTURE(text);
          EndpointList list;
          REQUIRE_NOTHROW(list = table.apply(text));
          CHECK(table.index() == 4);
          CHECK(find(table, "unknown") == nullptr);
          if (status == std::string("terminating")) {
            CHECK(state_of(table, "x") == ServerState::Draining);
            CHECK(state_in_list(list, "x") == ServerState::Draining);
          } else {
            CHECK(find(table, "x") == nullptr);
            CHECK(state_in_list(list, "x").value_or(ServerState::Gone) == ServerState::Gone);
          }
        }
      }
    }
  }
}

TEST_CASE("unreadable entries are dropped and counted") {
  for (const bool is_snapshot : {kSnapshot, kUpdate}) {
    endpoints::EndpointTable table = make_table_of_two();
    std::vector<Json> entries = unreadable_entries();
    entries.push_back(endpoint_json("x", "127.0.0.1:7"));
    const auto list = table.apply(endpoint_list_json(4, is_snapshot, entries));
    CHECK(list.servers.size() == 1);
    CHECK(endpoint_of(table, "x").address == "127.0.0.1:7");
    CHECK((find(table, "y") == nullptr) == is_snapshot); // absent from a snapshot; unaffected by an update
    CHECK(table.dropped_entries() == unreadable_entries().size());
    table.apply(endpoint_list_json(5, kUpdate, {Json(nullptr)}));
    CHECK(table.dropped_entries() == unreadable_entries().size() + 1);
  }
}

TEST_CASE("a drain is applied whatever else of its entry is damaged") {
  const Json drain = endpoint_json("x", "127.0.0.1:1", "terminating");
  const std::vector<Json> damaged = {without_field(drain, "address"),
                                     with_field(drain, "address", nullptr),
                                     with_field(drain, "address", "nowhere"),
                                     with_field(drain, "zone", 7),
                                     with_field(drain, "type", nullptr),
                                     with_field(drain, "group", Json::object()),
                                     with_field(drain, "weight", nullptr),
                                     with_field(drain, "since_ms", "today"),
                                     Json{{"name", "x"}, {"status", "terminating"}}};
  for (const bool is_snapshot : {kSnapshot, kUpdate}) {
    for (const Json& entry : damaged) {
      CAPTURE(entry.dump());
      endpoints::EndpointTable table = make_table_of_two();
      REQUIRE_NOTHROW(
          table.apply(endpoint_list_json(4, is_snapshot, {entry, endpoint_json("y", "127.0.0.1:2")})));
      REQUIRE(find(table, "x") != nullptr);
      CHECK(state_of(table, "x") == ServerState::Draining);
      CHECK(endpoint_of(table, "x").address == "127.0.0.1:1"); // the last valid address
      CHECK(table.dropped_entries() == 0);
      const Json gone = with_field(entry, "status", "terminated");
      REQUIRE_NOTHROW(
          table.apply(endpoint_list_json(5, is_snapshot, {gone, endpoint_json("y", "127.0.0.1:2")})));
      CHECK(find(table, "x") == nullptr);
      CHECK(state_of(table, "y") == ServerState::Ready);
    }
  }
}

// Guards against ignored drains when discovery writes one field of every entry wrongly.
TEST_CASE("drains are applied from a snapshot with a damaged field in every entry") {
  endpoints::EndpointTable table = make_table_of_two();
  REQUIRE_NOTHROW(table.apply(
      endpoint_list_json(4, kSnapshot,
                         {with_field(endpoint_json("x", "127.0.0.1:1", "terminating"), "weight", nullptr),
                          with_field(endpoint_json("y", "127.0.0.1:2"), "weight", nullptr)})));
  CHECK(state_of(table, "x") == ServerState::Draining);
  CHECK(state_of(table, "y") == ServerState::Ready);
}

TEST_CASE("a known server whose entry has no status or address is treated as draining") {
  for (const bool is_snapshot : {kSnapshot, kUpdate}) {
    for (const Json& entry : entries_without_status_or_address("x")) {
      CAPTURE(entry.dump());
      endpoints::EndpointTable table = make_table_of_two();
      EndpointList list;
      REQUIRE_NOTHROW(
          list = table.apply(endpoint_list_json(4, is_snapshot, {entry, endpoint_json("y", "127.0.0.1:2")})));
      REQUIRE(find(table, "x") != nullptr);
      CHECK(state_of(table, "x") == ServerState::Draining);
      CHECK(state_in_list(list, "x") == ServerState::Draining);
      CHECK(endpoint_of(table, "x").address == "127.0.0.1:1"); // the last valid address
      CHECK(table.dropped_entries() == 0);
      table.apply(endpoint_list_json(5, kUpdate, {endpoint_json("x", "127.0.0.1:5")}));
      CHECK(state_of(table, "x") == ServerState::Ready); // after a valid entry
      CHECK(endpoint_of(table, "x").address == "127.0.0.1:5");
    }
  }
}

TEST_CASE("an entry of an unknown server without status or address is dropped") {
  for (const bool is_snapshot : {kSnapshot, kUpdate}) {
    for (const Json& entry : entries_without_status_or_address("z")) {
      CAPTURE(entry.dump());
      endpoints::EndpointTable table = make_table_of_two();
      REQUIRE_NOTHROW(
          table.apply(endpoint_list_json(4, is_snapshot, {entry, endpoint_json("y", "127.0.0.1:2")})));
      CHECK(find(table, "z") == nullptr);
      CHECK(table.dropped_entries() == 1);
    }
  }
}

TEST_CASE("unreadable optional fields keep their last value or the default") {
  Json previous_entry = endpoint_json("x", "127.0.0.1:1", "in_service", "origin");
  previous_entry["zone"] = "b";
  previous_entry["group"] = 5;
  previous_entry["weight"] = 2.5;
  previous_entry["since_ms"] = 1000;
  const Json damaged[] = {with_field(previous_entry, "zone", 7),
                          with_field(previous_entry, "zone", nullptr),
                          with_field(previous_entry, "type", Json::array()),
                          with_field(previous_entry, "group", Json::array()),
                          with_field(previous_entry, "group", nullptr),
                          with_field(previous_entry, "weight", "2.5"),
                          with_field(previous_entry, "weight", nullptr),
                          with_field(previous_entry, "since_ms", nullptr),
                          with_field(previous_entry, "since_ms", true)};
  for (const bool is_snapshot : {kSnapshot, kUpdate}) {
    for (const Json& entry : damaged) {
      CAPTURE(entry.dump());
      endpoints::EndpointTable known = make_table({previous_entry});
      REQUIRE_NOTHROW(known.apply(endpoint_list_json(4, is_snapshot, {entry}).dump()));
      const Server& server = endpoint_of(known, "x").server;
      CHECK(server.state == ServerState::Ready);
      CHECK(server.zone == 1);
      CHECK(server.kind == 1);
      CHECK(server.cell == 5);
      CHECK(server.weight == 2.5);
      CHECK(server.started_at == 1000);
      CHECK(known.dropped_entries() == 0);
    }
    endpoints::EndpointTable unknown = make_table({endpoint_json("y", "127.0.0.1:2")});
    Json entry = endpoint_json("x", "127.0.0.1:1");
    for (const char* field : {"zone", "type", "group", "weight", "since_ms"}) entry[field] = nullptr;
    REQUIRE_NOTHROW(unknown.apply(endpoint_list_json(4, is_snapshot, {entry}).dump()));
    endpoints::EndpointTable table_with_defaults =
        make_table({Json{{"name", "x"}, {"address", "127.0.0.1:1"}, {"status", "in_service"}}});
    const Server& server = endpoint_of(unknown, "x").server;
    const Server& defaults = endpoint_of(table_with_defaults, "x").server;
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
    endpoints::EndpointTable table = make_table({with_field(endpoint_json("x", "127.0.0.1:1"), "weight", 3)});
    table.apply(
        endpoint_list_json(4, kUpdate, {with_field(endpoint_json("x", "127.0.0.1:1"), "weight", weight)}));
    CHECK(endpoint_of(table, "x").server.weight == 1);
  }
}

TEST_CASE("the last of several entries with the same name in a message applies") {
  const Json serving = endpoint_json("x", "127.0.0.1:1");
  const Json draining = endpoint_json("x", "127.0.0.1:1", "terminating");
  const Json gone = endpoint_json("x", "127.0.0.1:1", "terminated");
  for (const bool is_snapshot : {kSnapshot, kUpdate}) {
    CAPTURE(is_snapshot);
    endpoints::EndpointTable table = make_table_of_two();
    TableMirror mirror;
    const auto apply_entries = [&](std::uint64_t index, const std::vector<Json>& entries) {
      Json message = endpoint_list_json(static_cast<int>(index), is_snapshot, entries);
      if (is_snapshot) message["endpoints"].push_back(endpoint_json("y", "127.0.0.1:2"));
      const auto list = table.apply(message);
      std::set<ServerId> ids;
      for (const Server& server : list.servers) CHECK(ids.insert(server.id).second); // each ID appears once
      mirror.apply(list);
      if (is_snapshot) CHECK(mirror.matches(table));
      return state_in_list(list, "x");
    };
    CHECK(apply_entries(4, {serving, draining}) == ServerState::Draining);
    CHECK(state_of(table, "x") == ServerState::Draining);
    CHECK(apply_entries(5, {draining, serving}) == ServerState::Ready);
    CHECK(state_of(table, "x") == ServerState::Ready);
    CHECK(apply_entries(6, {serving, gone}).value_or(ServerState::Gone) == ServerState::Gone);
    CHECK(find(table, "x") == nullptr);
    CHECK(apply_entries(7, {gone, draining}) == ServerState::Draining);
    CHECK(state_of(table, "x") == ServerState::Draining);
    // The server is known from the previous entry, or unknown because the previous entry terminated it.
    CHECK(apply_entries(8, {serving, without_field(serving, "status")}) == ServerState::Draining);
    CHECK(apply_entries(9, {gone, without_field(serving, "status")}).value_or(ServerState::Gone) ==
          ServerState::Gone);
    CHECK(find(table, "x") == nullptr);
  }
}

TEST_CASE("a server that a snapshot reports as terminated is absent") {
  endpoints::EndpointTable table = make_table_of_two();
  const auto list = table.apply(endpoint_list_json(
      4, kSnapshot, {endpoint_json("x", "127.0.0.1:1", "terminated"), endpoint_json("y", "127.0.0.1:2")}));
  CHECK(find(table, "x") == nullptr);
  CHECK_FALSE(state_in_list(list, "x").has_value()); // a snapshot removes servers that it does not contain
  CHECK(state_in_list(list, "y") == ServerState::Ready);
  CHECK(table.serialized_list().find("\"x\"") == std::string::npos);
}

TEST_CASE("an unknown server that is terminated or draining is never in service") {
  endpoints::EndpointTable table = make_table_of_two();
  const auto list = table.apply(endpoint_list_json(
      4, kUpdate, {endpoint_json("z", "127.0.0.1:3", "terminated"), endpoint_json("w", "", "terminating")}));
  CHECK(find(table, "z") == nullptr);
  CHECK(state_in_list(list, "z").value_or(ServerState::Gone) == ServerState::Gone);
  CHECK(state_in_list(list, "w") == ServerState::Draining);
  table.apply(endpoint_list_json(5, kUpdate, {endpoint_json("w", "nowhere")}));
  CHECK(state_of(table, "w") == ServerState::Draining); // it has no valid address
  CHECK(table.endpoints_by_id().size() == 3);
}

TEST_CASE("a draining server may change its address") {
  endpoints::EndpointTable table = make_table_of_two();
  for (const bool is_snapshot : {kUpdate, kSnapshot}) {
    table.apply(endpoint_list_json(4, kUpdate, {endpoint_json("x", "127.0.0.1:1", "terminating")}));
    const auto list =
        table.apply(endpoint_list_json(5, is_snapshot, {endpoint_json("x", "127.0.0.1:8", "terminating")}));
    CHECK(state_in_list(list, "x") == ServerState::Draining);
    CHECK(state_of(table, "x") == ServerState::Draining);
    CHECK(endpoint_of(table, "x").address == "127.0.0.1:8");
    CHECK(ntohs(endpoint_of(table, "x").socket_address.sin_port) == 8);
  }
}

// ---- two servers with the same ID ----

TEST_CASE("a drain of either of two servers with the same ID is applied only to that server") {
  const auto& [lesser, greater] = names_with_same_id();
  for (const bool is_snapshot : {kSnapshot, kUpdate}) {
    for (const bool swapped : {false, true}) {
      for (const auto& [drained, remaining] : {std::pair(lesser, greater), std::pair(greater, lesser)}) {
        for (const char* status : {"terminating", "terminated"}) {
          CAPTURE(is_snapshot);
          CAPTURE(swapped);
          CAPTURE(drained);
          CAPTURE(status);
          const Json remaining_entry = endpoint_json(remaining, "127.0.0.1:1");
          endpoints::EndpointTable table =
              make_table({endpoint_json(drained, "127.0.0.1:2"), remaining_entry});
          TableMirror mirror;
          mirror.apply(table.apply(
              endpoint_list_json(4, kSnapshot, {remaining_entry, endpoint_json(drained, "127.0.0.1:2")})));
          const Json drain = endpoint_json(drained, "127.0.0.1:2", status);
          std::vector<Json> entries = {drain};
          if (is_snapshot || swapped)
            entries = swapped ? std::vector{remaining_entry, drain} : std::vector{drain, remaining_entry};
          mirror.apply(table.apply(endpoint_list_json(5, is_snapshot, entries)));
          CHECK(mirror.matches(table));
          CHECK(state_of(table, remaining) == ServerState::Ready); // it holds the ID now
          CHECK(state_of(table, drained) == std::nullopt);
          // The serialized table gives the same table in another process.
          endpoints::EndpointTable other_table({"a", "b"}, {"cache", "origin"});
          other_table.apply(table.serialized_list());
          CHECK(state_of(other_table, remaining) == ServerState::Ready);
          // The remaining server drains too: none with this ID is in service.
          mirror.apply(
              table.apply(endpoint_list_json(6, kUpdate, {endpoint_json(remaining, "127.0.0.1:1", status)})));
          CHECK(mirror.matches(table));
          CHECK_FALSE(table.has_endpoint_in_service());
          mirror.apply(
              table.apply(endpoint_list_json(7, kUpdate,
                                             {endpoint_json(drained, "127.0.0.1:2", "terminated"),
                                              endpoint_json(remaining, "127.0.0.1:1", "terminated")})));
          CHECK(mirror.matches(table));
          CHECK(table.endpoints_by_id().empty());
        }
      }
    }
  }
}

TEST_CASE("a drain of an unknown server does not affect a known one with the same ID") {
  const auto& [lesser, greater] = names_with_same_id();
  for (const auto& [unknown, known] : {std::pair(lesser, greater), std::pair(greater, lesser)}) {
    for (const char* status : {"terminating", "terminated"}) {
      CAPTURE(unknown);
      CAPTURE(status);
      endpoints::EndpointTable table = make_table({endpoint_json(known, "127.0.0.1:1")});
      const auto list =
          table.apply(endpoint_list_json(4, kUpdate, {endpoint_json(unknown, "127.0.0.1:2", status)}));
      CHECK(state_of(table, known) == ServerState::Ready);
      CHECK(endpoint_of(table, known).address == "127.0.0.1:1");
      CHECK(state_in_list(list, known).value_or(ServerState::Ready) == ServerState::Ready);
    }
  }
}

TEST_CASE("of two servers in service the lesser name holds the ID and the other one after its end") {
  const auto& [lesser, greater] = names_with_same_id();
  endpoints::EndpointTable table = make_table({endpoint_json(greater, "127.0.0.1:2")});
  table.apply(endpoint_list_json(4, kUpdate, {endpoint_json(lesser, "127.0.0.1:1")}));
  CHECK(table.endpoints_by_id().size() == 1);
  CHECK(state_of(table, lesser) == ServerState::Ready);
  table.apply(endpoint_list_json(5, kUpdate,
                                 {endpoint_json(greater, "127.0.0.1:9")})); // while the other holds the ID
  CHECK(state_of(table, lesser) == ServerState::Ready);
  const auto list = table.apply(endpoint_list_json(6, kUpdate, {endpoint_json(lesser, "", "terminated")}));
  CHECK(state_in_list(list, greater) == ServerState::Ready);
  CHECK(endpoint_of(table, greater).address == "127.0.0.1:9");
  // A snapshot that contains only one of them removes the other.
  table.apply(endpoint_list_json(7, kUpdate, {endpoint_json(lesser, "127.0.0.1:1")}));
  table.apply(endpoint_list_json(8, kSnapshot, {endpoint_json(lesser, "127.0.0.1:1")}));
  table.apply(endpoint_list_json(9, kUpdate, {endpoint_json(lesser, "", "terminated")}));
  CHECK(table.endpoints_by_id().empty());
}

// ---- serialization for another process ----

TEST_CASE("the serialized table contains the applied state including that of damaged entries") {
  endpoints::EndpointTable table = make_table_of_two();
  table.apply(endpoint_list_json(
      4, kUpdate,
      {without_field(endpoint_json("x", "127.0.0.1:1"), "status"),
       with_field(with_field(endpoint_json("y", "127.0.0.1:7"), "weight", nullptr), "extra", "kept")}));
  endpoints::EndpointTable other_table({"a", "b"}, {"cache", "origin"});
  REQUIRE_NOTHROW(other_table.apply(table.serialized_list()));
  CHECK(other_table.dropped_entries() == 0);
  CHECK(other_table.index() == 4);
  CHECK(state_of(other_table, "x") == ServerState::Draining);
  CHECK(endpoint_of(other_table, "x").address == "127.0.0.1:1");
  CHECK(state_of(other_table, "y") == ServerState::Ready);
  CHECK(endpoint_of(other_table, "y").address == "127.0.0.1:7");
  CHECK(table.serialized_list().find("\"extra\":\"kept\"") != std::string::npos);
}

// ---- stale answers ----

// Guards against a drain that is undone by an answer that was sent before it.
TEST_CASE("an answer with a lower index than known is stale and has no effect") {
  for (const bool is_snapshot : {kSnapshot, kUpdate}) {
    endpoints::EndpointTable table = make_table({endpoint_json("x", "127.0.0.1:1", "terminating")});
    const Json stale_message = endpoint_list_json(2, is_snapshot, {endpoint_json("x", "127.0.0.1:1")});
    CHECK_THROWS_WITH_AS(table.apply(stale_message, 3), doctest::Contains("stale: index 2 after 3"),
                         endpoints::StaleEndpointList);
    CHECK_THROWS_AS(table.apply(stale_message.dump(), 3), endpoints::StaleEndpointList);
    CHECK_THROWS_AS(table.apply(stale_message.dump(), 3), endpoints::InvalidEndpointList);
    CHECK(table.index() == 3);
    CHECK(state_of(table, "x") == ServerState::Draining);
    CHECK_NOTHROW(table.apply(stale_message, 2));
    CHECK_NOTHROW(table.apply(stale_message)); // another discovery may use lower indexes
    CHECK(state_of(table, "x") == ServerState::Ready);
  }
}
