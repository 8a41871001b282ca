// Properties that must hold for fleets of any size: the CPU time for a change of the list, and the total of
// requests that many routers send to one server in slow start. The program as a separate process, with a
// scripted discovery and scripted servers.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "endpoints/endpoint.h"
#include "placement/ring.h"
#include "program.h"
#include "raw_client.h"
#include "scripted_discovery.h"
#include "scripted_peers.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

constexpr int kFirstIndex = 7;

std::string server_name(std::size_t index) { return "s-" + std::to_string(index); }

// ---- CPU time for a change ----

// One router and a list of `count` servers that receive no requests.
class RouterWithServerList {
 public:
  explicit RouterWithServerList(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) names_.push_back(server_name(i));
    std::vector<Json> entries;
    for (const std::string& name : names_) entries.push_back(endpoint_json(name, kUnusedAddress));
    program_ = std::make_unique<TestProgram>(std::vector<std::string>{"serve"},
                                             config_json(discovery_.address, Json()));
    REQUIRE(wait_until([&] { return !discovery_.calls.empty(); }));
    publish(endpoint_list_json(kFirstIndex, true, entries));
  }

  // Publishes this many changes of one server each. Returns the average CPU time of the process for one.
  double cpu_ms_per_change(int changes) {
    publish(endpoint_list_json(index_ + 1, false, {})); // on return the initial list has been processed
    const double before = program_->resource_usage().cpu_ms;
    for (int i = 0; i < changes; ++i) publish(endpoint_list_json(index_ + 1, false, {next_change(i)}));
    return (program_->resource_usage().cpu_ms - before) / changes;
  }

 private:
  static constexpr const char* kUnusedAddress = "127.0.0.1:9";

  // Cycles through a drain, a restart, a removal and a new server.
  Json next_change(int number) {
    const std::size_t index = static_cast<std::size_t>(number / 4) * 7 % names_.size();
    switch (number % 4) {
      case 0: return endpoint_json(names_[index], kUnusedAddress, "terminating");
      case 1: {
        Json started = endpoint_json(names_[index], kUnusedAddress);
        started["since_ms"] = loop::now_ms();
        return started;
      }
      case 2: return endpoint_json(names_[index], kUnusedAddress, "terminated");
      default:
        names_[index] = "n-" + std::to_string(number);
        return endpoint_json(names_[index], kUnusedAddress);
    }
  }
  // Answers the open call and waits for the next one, which shows that the list is applied.
  void publish(const Json& list) {
    index_ = list["index"].get<int>();
    discovery_.reply(discovery_.calls.size() - 1, ok_response(list.dump()));
    REQUIRE(wait_until([&] { return discovery_.calls.back().requests_changes_since(index_); }));
  }
  bool wait_until(const std::function<bool()>& done) {
    return run_until(base_.get(), [&] { return program_->output_contains(""), done(); });
  }

  router::EventBasePtr base_ = router::make_event_base();
  ScriptedDiscovery discovery_{base_.get()};
  std::vector<std::string> names_;
  std::unique_ptr<TestProgram> program_;
  int index_ = 0;
};

// ---- total load in slow start ----

constexpr std::size_t kRouters = 12, kServers = 128;
constexpr std::size_t kRequests = 60, kPopularKeyRequests = 15; // per router in each phase
constexpr const char* kObservedServer = "apart";
constexpr std::int64_t kRingPoints = 64;                   // per server on the ring
constexpr double kFallMultiple = 4, kStartCapacity = 0.32; // fall_multiple and start_capacity of the settings

// The routers of a tier, each with its own discovery. One server is observed; all others are the same
// scripted server.
class RouterTier {
 public:
  RouterTier() {
    start_routers();
    find_popular_key();
  }

  // Restarts the observed server with an empty cache and notifies all routers.
  void restart_server() {
    started_ms_ = loop::now_ms();
    ++index_;
    publish_to_all();
  }
  void restart_routers() { start_routers(); }

  // Sends each router its requests sequentially, a quarter of them for the popular key. Returns how many
  // reached the observed server.
  std::size_t requests_at_observed_server() {
    const std::size_t before = observed_server_.requests.size();
    std::vector<std::unique_ptr<RawClient>> clients;
    for (const auto& router : routers_)
      clients.push_back(std::make_unique<RawClient>(router->program->port()));
    for (std::size_t i = 0; i < kRequests; ++i) {
      const bool is_popular = i % (kRequests / kPopularKeyRequests) == 0;
      for (const auto& client : clients) {
        const std::string number = std::to_string(++request_count_);
        client->send(get_request("/k/" + (is_popular ? popular_key_ : number), "r" + number));
      }
      for (const auto& client : clients) {
        REQUIRE(wait_until([&] { return client->receive_available(), client->responses.size() == i + 1; }));
        REQUIRE(client->responses.back().status == 200);
      }
    }
    return observed_server_.requests.size() - before;
  }

  // The requests that one server may receive in slow start during one phase, if its capacity is twice the
  // average load of a server of this fleet.
  static double max_requests_in_slow_start() {
    const double mean = static_cast<double>(kRouters * kRequests) / kServers;
    const double budget = kFallMultiple * kStartCapacity * 2 * mean;
    return budget + 3 * std::sqrt(budget) + 3; // with a tolerance for small numbers of requests
  }

 private:
  struct Router {
    explicit Router(event_base* base) : discovery(base) {}
    ScriptedDiscovery discovery;
    std::unique_ptr<TestProgram> program;
  };

  void start_routers() {
    routers_.clear();
    for (std::size_t i = 0; i < kRouters; ++i) {
      routers_.push_back(std::make_unique<Router>(base_.get()));
      Json config = config_json(routers_[i]->discovery.address, Json());
      config["seed"] = std::to_string(1000 + i);
      config["settings"]["balancers"] = kRouters;
      Json& obligations = config["settings"]["obligations"];
      obligations["start_capacity"] = kStartCapacity;
      obligations["warm_after"] = 600'000; // cold during the whole test, even on a slow machine
      obligations["fall_multiple"] = kFallMultiple;
      routers_[i]->program = std::make_unique<TestProgram>(std::vector<std::string>{"serve"}, config);
    }
    publish_to_all();
  }
  // Waits until every router serves and has applied the current list.
  void publish_to_all() {
    for (const auto& router : routers_) {
      REQUIRE(wait_until([&] { return publish(router->discovery), router->program->port() != 0; }));
      REQUIRE(wait_until([&] { return publish(router->discovery); }));
    }
  }
  // Answers all calls except those that wait for changes after the current list. True if the router waits for
  // such changes.
  bool publish(ScriptedDiscovery& discovery) {
    bool waits_for_next = false;
    for (std::size_t i = 0; i < discovery.calls.size(); ++i) {
      if (discovery.calls[i].answered) continue;
      waits_for_next |= discovery.calls[i].requests_changes_since(index_);
      if (!discovery.calls[i].requests_changes_since(index_))
        discovery.reply(i, ok_response(endpoint_list().dump()));
    }
    return waits_for_next;
  }
  Json endpoint_list() const {
    std::vector<Json> entries;
    for (std::size_t i = 1; i < kServers; ++i)
      entries.push_back(endpoint_json(server_name(i), other_servers_.address));
    entries.push_back(endpoint_json(kObservedServer, observed_server_.address));
    entries.back()["since_ms"] = started_ms_;
    entries.push_back(
        endpoint_json("origin", origin_.address, "in_service", "origin")); // serves cache misses
    return endpoint_list_json(index_, true, entries);
  }
  // Finds a key whose first candidate is the observed server, by the same ring that the routers use.
  void find_popular_key() {
    struct Member {
      placement::RingMemberState ring_state;
    };
    std::map<ServerId, Member> members;
    for (std::size_t i = 1; i < kServers; ++i) members[endpoints::id_of(server_name(i))];
    members[endpoints::id_of(kObservedServer)];
    placement::Ring<Member> ring;
    for (auto& [id, member] : members) ring.place(id, member, kRingPoints);
    const Member* const wanted = &members.at(endpoints::id_of(kObservedServer));
    for (std::array<Member*, 1> first{}; first[0] != wanted;) {
      popular_key_ += 'p';
      ring.walk(endpoints::hash_of(popular_key_), first, [](const Member&) { return true; });
    }
  }
  bool wait_until(const std::function<bool()>& done) { return run_until(base_.get(), done); }

  router::EventBasePtr base_ = router::make_event_base();
  ScriptedServer other_servers_{
      base_.get(),
      [this](const http::Message& m) { // only the observed server holds the popular key
        return m.target == "/k/" + popular_key_ ? kCacheMiss : ok_response("v of " + m.target);
      }};
  ScriptedServer observed_server_{base_.get(),
                                  [](const http::Message& m) { return ok_response("v of " + m.target); }};
  ScriptedServer origin_{base_.get(), [](const http::Message& m) { return ok_response("v of " + m.target); }};
  std::vector<std::unique_ptr<Router>> routers_;
  std::string popular_key_;
  int index_ = kFirstIndex;
  double started_ms_ = 0;
  std::size_t request_count_ = 0;
};

} // namespace

// Guards against copying and traversing the whole list for each change, which delayed a process with a
// small share of a core beyond its grace period.
TEST_CASE("a change of one server uses no more CPU with 3200 servers than with 200") {
  constexpr int kChanges = 40;
  const double cpu_ms_small_list = RouterWithServerList(200).cpu_ms_per_change(kChanges);
  const double cpu_ms_large_list = RouterWithServerList(3200).cpu_ms_per_change(kChanges);
  MESSAGE("CPU of a change: " << cpu_ms_small_list << " ms and " << cpu_ms_large_list << " ms");
  // For 16 times the servers. The factor allows for noise of the machine.
  CHECK(cpu_ms_large_list < 3 * cpu_ms_small_list);
}

// Guards against a slow start that admits a fixed share of the incoming requests, so that a popular key
// overloads its server.
TEST_CASE("a popular key whose server restarts: 12 routers together stay within its slow-start capacity") {
  RouterTier tier;
  const std::size_t warm = tier.requests_at_observed_server();
  // A warm server receives most requests for the popular key.
  CHECK(warm > kRouters * kPopularKeyRequests / 2);
  tier.restart_server();
  const std::size_t cold = tier.requests_at_observed_server();
  tier.restart_routers(); // without any observations
  const std::size_t cold_with_new_routers = tier.requests_at_observed_server();
  MESSAGE("requests warm " << warm << ", cold " << cold << ", by new routers " << cold_with_new_routers
                           << "; allowed " << RouterTier::max_requests_in_slow_start());
  CHECK(static_cast<double>(cold) < RouterTier::max_requests_in_slow_start());
  CHECK(static_cast<double>(cold_with_new_routers) < RouterTier::max_requests_in_slow_start());
}
