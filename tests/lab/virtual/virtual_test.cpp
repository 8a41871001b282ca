// The driver in virtual time: equal records for equal specs, the effect of each event, the shutdown of
// routers, connections, large fleets, and stop requests.
#include "lab/virtual/virtual_driver.h"

#include <doctest/doctest.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <set>
#include <unordered_map>

#include "fleet_specs.h"
#include "model/plan.h"

using namespace fernward::lab;
using namespace fernward::model;

namespace {

// Tracks each request, try and attempt from its beginning to its end, and hashes all records.
struct RecordTracker : Sink {
  struct TryRecord {
    TrySent tried;
    int end_count = 0;
  };
  void on(const DrawnRequest& d) override {
    add_to_hash(d.at, 1, d.request, d.key, d.work_ms);
    drawn_requests[d.request] = d;
    offered_weight += d.priority_weight;
    if (d.key >= 0xff0000) ++hot_key_requests;
  }
  void on(const TrySent& t) override {
    add_to_hash(t.at, 2, t.try_id, t.router, t.deadline);
    tries[t.try_id].tried = t;
    accepted_tries += t.accepted ? 1 : 0;
  }
  void on(const TryEnded& a) override {
    add_to_hash(a.at, 3, a.try_id, static_cast<std::uint64_t>(a.outcome), a.retry_after_ms);
    ++tries[a.try_id].end_count;
    ++try_outcome_counts[a.outcome];
    if (a.surplus) ++surplus_responses;
    const TrySent& t = tries[a.try_id].tried;
    if (a.outcome == TryOutcome::TimedOut && t.accepted) ++unanswered_tries[t.router];
  }
  void on(const RequestEnded& c) override {
    add_to_hash(c.at, 4, c.request, static_cast<std::uint64_t>(c.outcome), c.latency_ms);
    ++request_end_counts[c.request];
    earned_weight += c.earned_weight;
    // Earned and offered weight, by the second in which the request was drawn.
    auto& weights = weights_by_second[static_cast<int>(drawn_requests[c.request].at / 1000)];
    weights.first += c.earned_weight, weights.second += drawn_requests[c.request].priority_weight;
  }
  void on(const AttemptArrived& a) override {
    add_to_hash(a.at, 5, a.attempt, a.machine, a.work_ms);
    ++arrival_counts[a.attempt];
    ++arrivals_by_machine[a.machine];
    if (const auto notified = unavailable_since.find({a.router, a.machine});
        notified != unavailable_since.end()) {
      if (a.sent_at > notified->second + 250) ++late_sends;
    }
  }
  void on(const AttemptStarted& b) override { add_to_hash(b.at, 6, b.attempt, b.machine, 0); }
  void on(const AttemptEnded& a) override {
    add_to_hash(a.at, 7, a.attempt, static_cast<std::uint64_t>(a.outcome), a.work_done_ms);
    ++attempt_end_counts[a.attempt];
    ++attempt_outcome_counts[a.outcome];
  }
  void on(const LoadSample& s) override {
    add_to_hash(s.at, 8, s.machine, s.active, s.utilization);
    new_connections += s.new_connections;
    if (s.at != last_sample_ms) connections = 0;
    last_sample_ms = s.at;
    connections += s.connections;
    max_connections = std::max(max_connections, connections);
  }
  void on(const NodeEvent& e) override {
    add_to_hash(e.at, 9, e.machine, static_cast<std::uint64_t>(e.what), e.notified_share);
    ++node_event_counts[e.what];
  }
  void on(const RouterEvent& e) override {
    add_to_hash(e.at, 10, e.router, static_cast<std::uint64_t>(e.what), 0);
    ++router_event_counts[e.what];
  }
  void on(const EndpointNotified& t) override {
    add_to_hash(t.at, 11, t.router, t.machine, t.started_at);
    if (t.state == fernward::ServerState::Ready) {
      unavailable_since.erase({t.router, t.machine});
    } else {
      unavailable_since.try_emplace({t.router, t.machine}, t.at);
      if (!t.cached) ++unavailable_updates;
    }
  }
  void on(const EventMark& m) override { add_to_hash(m.at, 12, m.event, m.begins, 0); }

  void add_to_hash(double at, std::uint64_t what, std::uint64_t a, std::uint64_t b, double c) {
    records_in_order = records_in_order && at >= last_record_ms;
    last_record_ms = std::max(last_record_ms, at);
    const struct {
      double at, c;
      std::uint64_t what, a, b;
    } all{at, c, what, a, b};
    record_hash = XXH3_64bits_withSeed(&all, sizeof all, record_hash);
  }
  double service() const { return earned_weight / offered_weight; }
  double service(int from_s, int to_s) const {
    double earned_sum = 0, offered_sum = 0;
    for (auto it = weights_by_second.lower_bound(from_s); it != weights_by_second.end() && it->first < to_s;
         ++it) {
      earned_sum += it->second.first, offered_sum += it->second.second;
    }
    return earned_sum / offered_sum;
  }

  std::unordered_map<RequestNumber, DrawnRequest> drawn_requests;
  std::map<TryId, TryRecord> tries;
  std::unordered_map<RequestNumber, int> request_end_counts;
  std::unordered_map<AttemptId, int> arrival_counts, attempt_end_counts;
  std::map<MachineId, int> arrivals_by_machine;
  std::map<TryOutcome, int> try_outcome_counts;
  std::map<ServerOutcome, int> attempt_outcome_counts;
  std::map<NodeEvent::What, int> node_event_counts;
  std::map<RouterEvent::What, int> router_event_counts;
  std::map<RouterId, int> unanswered_tries;
  std::map<std::pair<RouterId, MachineId>, double> unavailable_since;
  std::map<int, std::pair<double, double>> weights_by_second;
  double offered_weight = 0, earned_weight = 0, last_record_ms = 0, new_connections = 0, last_sample_ms = -1;
  std::uint32_t connections = 0, max_connections = 0; // of all machines at one sample time
  int late_sends = 0, unavailable_updates = 0, accepted_tries = 0, surplus_responses = 0,
      hot_key_requests = 0;
  bool records_in_order = true;
  std::uint64_t record_hash = 0;
};

void run(const Spec& spec, RecordTracker& tracker) {
  for (const SpecError& error : find_spec_errors(spec)) FAIL(error.path, " ", error.reason);
  const RunInfo info = make_virtual_driver()->run(spec, tracker);
  CHECK_FALSE(info.is_void);
  CHECK(tracker.records_in_order);
  CHECK(tracker.request_end_counts.size() == tracker.drawn_requests.size());
  CHECK(tracker.surplus_responses == 0);
  for (const auto& [request, times] : tracker.request_end_counts) {
    if (times != 1) FAIL("request ", request, " ended ", times, " times");
  }
  for (const auto& [id, t] : tracker.tries) {
    if (t.end_count != 1) FAIL("try ", id, " ended ", t.end_count, " times");
  }
  CHECK(tracker.attempt_end_counts.size() == tracker.arrival_counts.size());
  for (const auto& [attempt, times] : tracker.attempt_end_counts) {
    if (times != 1 || tracker.arrival_counts.count(attempt) == 0)
      FAIL("attempt ", attempt, " ended ", times, " times");
  }
}

TimedEvent event_at(double at, EventAction what) { return {at, "", std::move(what)}; }

} // namespace

TEST_CASE("the same spec gives bit-identical records and another seed gives others") {
  Spec spec = test::four_zone_spec(410, 8);
  spec.events = {event_at(2000, KillNodes{{{}, {}, {}, {}, 2, 1, true}}),
                 event_at(3000, RestartRouters{{{}, {}, 2}, RouterEnd::Kill, 1000, 0, 0}),
                 event_at(4000, BadResponses{{}, 0.2, 6000, BadResponse::Truncated})};
  RecordTracker a, b, c;
  run(spec, a);
  run(spec, b);
  CHECK(a.record_hash == b.record_hash);
  spec.seed = 2;
  run(spec, c);
  CHECK(a.record_hash != c.record_hash);
  CHECK(a.drawn_requests.size() > 3000);
}

TEST_CASE("a change of one setting does not shift the random draws of others: requests stay the same") {
  Spec spec = test::four_zone_spec(410, 4);
  RecordTracker a, b;
  run(spec, a);
  spec.network.jitter = 0.9;
  spec.clients.mean_max_retries = 0;
  spec.kinds[0].error_rate = 0.1;
  run(spec, b);
  REQUIRE(a.drawn_requests.size() == b.drawn_requests.size());
  for (const auto& [request, drawn] : a.drawn_requests) {
    const DrawnRequest& other = b.drawn_requests.at(request);
    CHECK((drawn.at == other.at && drawn.key == other.key && drawn.work_ms == other.work_ms));
  }
}

TEST_CASE("each event of the fleet takes effect at the routers and in the records") {
  using NodeWhat = NodeEvent::What;
  using RouterWhat = RouterEvent::What;
  const NodeSelector two{{}, {}, {}, {}, 2, 1, true}, half{{}, {}, {}, {}, {}, 0.5, true};
  const RouterSelector all, one{{}, {}, 1, 1, true};
  const struct {
    std::string name;
    EventAction what;
    std::function<bool(const RecordTracker&)> matches;
  } cases[] = {
      {"drain", DrainNodes{two, 3000, 0},
       [](const RecordTracker& tracker) {
         return tracker.node_event_counts.at(NodeWhat::Draining) == 2 &&
                tracker.node_event_counts.at(NodeWhat::Ended) == 2 && tracker.unavailable_updates >= 8 &&
                tracker.attempt_outcome_counts.count(ServerOutcome::Draining) > 0;
       }},
      {"kill", KillNodes{two},
       [](const RecordTracker& tracker) {
         return tracker.attempt_outcome_counts.count(ServerOutcome::Lost) > 0 &&
                tracker.unavailable_updates == 8;
       }},
      {"restart", RestartNodes{two, 1000},
       [](const RecordTracker& tracker) { return tracker.node_event_counts.at(NodeWhat::Started) == 2; }},
      {"replace", ReplaceNodes{two, 1000},
       [](const RecordTracker& tracker) {
         return tracker.node_event_counts.at(NodeWhat::Started) == 2 &&
                tracker.arrivals_by_machine.count(15) > 0;
       }},
      {"silent", SilentNodes{two, 0},
       [](const RecordTracker& tracker) {
         return tracker.unavailable_updates == 8 &&
                tracker.attempt_outcome_counts.count(ServerOutcome::Lost) == 0;
       }},
      {"neighbour", NoisyNeighbour{half, 0.6, 9000, 2000, 1000},
       [](const RecordTracker& tracker) {
         return tracker.node_event_counts.at(NodeWhat::NeighbourStarted) > 7;
       }},
      {"partition between zones", PartitionZones{{0}, {1, 2, 3}, 8000},
       [](const RecordTracker& tracker) { return tracker.unavailable_updates == 0; }},
      {"partition between nodes and routers", PartitionNodes{half, one, 8000},
       [](const RecordTracker& tracker) { return tracker.unavailable_updates == 0; }},
      {"routers killed", RestartRouters{all, RouterEnd::Kill, 1500, 2, 4000},
       [](const RecordTracker& tracker) {
         return tracker.router_event_counts.at(RouterWhat::Killed) == 4 &&
                tracker.try_outcome_counts.count(TryOutcome::ConnectionLost) > 0;
       }},
      {"routers terminated", RestartRouters{all, RouterEnd::Term, 1000, 1, 4000},
       [](const RecordTracker& tracker) {
         return tracker.router_event_counts.at(RouterWhat::Ended) == 4 &&
                tracker.router_event_counts.at(RouterWhat::Started) == 8 &&
                tracker.try_outcome_counts.count(TryOutcome::ConnectionLost) == 0;
       }},
      {"reload", ReloadRouters{all},
       [](const RecordTracker& tracker) {
         return tracker.router_event_counts.at(RouterWhat::Reloaded) == 4;
       }},
      {"discovery outage", DiscoveryOutage{8000},
       [](const RecordTracker& tracker) { return tracker.unavailable_updates == 0; }},
      {"discovery moves", DiscoveryMove{1000, 300},
       [](const RecordTracker& tracker) {
         return tracker.router_event_counts.at(RouterWhat::Reloaded) == 4;
       }},
      {"origin stalls", OriginStall{5000},
       [](const RecordTracker& tracker) { return tracker.service(3, 5) < tracker.service(0, 2); }},
      {"origin slow", OriginSlow{0.3, 6000},
       [](const RecordTracker& tracker) { return tracker.service() > 0.5; }},
      {"origin falls", OriginFall{2000},
       [](const RecordTracker& tracker) {
         return tracker.attempt_outcome_counts.count(ServerOutcome::Lost) > 0;
       }},
      {"hot key", HotKey{0.3, 8000},
       [](const RecordTracker& tracker) { return tracker.hot_key_requests > 500; }},
      {"load spike", LoadSpike{2, 7000},
       [](const RecordTracker& tracker) { return tracker.drawn_requests.size() > 5500; }},
      {"zone lost", ZoneOutage{1, 0, true},
       [](const RecordTracker& tracker) { return tracker.router_event_counts.at(RouterWhat::Silent) == 1; }},
      {"zone lost with its clients", ZoneOutage{1, 8000, false},
       [](const RecordTracker& tracker) {
         return tracker.try_outcome_counts.at(TryOutcome::TimedOut) > 400;
       }},
      {"slow link", SlowLink{0, 1, 20, 8000},
       [](const RecordTracker& tracker) { return tracker.service() > 0.5; }},
      {"errors", BadResponses{two, 0.5, 0, BadResponse::Error},
       [](const RecordTracker& tracker) { return tracker.service() > 0.8; }},
      {"never completes", BadResponses{two, 0.5, 0, BadResponse::NeverCompletes},
       [](const RecordTracker& tracker) { return tracker.service() > 0.8; }},
      {"slow bytes", BadResponses{two, 0.5, 8000, BadResponse::SlowBytes},
       [](const RecordTracker& tracker) { return tracker.service() > 0.8; }},
  };
  for (const auto& c : cases) {
    CAPTURE(c.name);
    Spec spec = test::four_zone_spec(410, 11);
    spec.events = {event_at(3000, c.what)};
    RecordTracker tracker;
    run(spec, tracker);
    CHECK(c.matches(tracker));
    CHECK(tracker.late_sends == 0);
    CHECK(tracker.service(0, 2) > 0.9);
    CHECK(tracker.service() > 0.5);
  }
}

// If a server rejects the first request of a connection, a router concludes that the server is short of
// connections, not of capacity. Guards against virtual time not telling its routers that a request is the
// first of its connection, as once happened.
TEST_CASE("an origin that rejects the first request of a connection is logged as refusing connections") {
  struct RefusalCounter : Sink {
    void on(const RouterLogLine& l) override {
      refusal_logs += std::string(l.text).find("origin refuses further connections") != std::string::npos;
    }
    int refusal_logs = 0;
  };
  for (const std::uint64_t seed : {1, 2, 3}) {
    Spec spec = test::four_zone_spec(410, 11);
    spec.seed = seed;
    spec.origin.queue_limit_ms = 300;
    spec.events = {event_at(3000, RestartNodes{{}, 500}), event_at(4000, OriginSlow{0.2, 8000})};
    RefusalCounter refusal_counter;
    make_virtual_driver()->run(spec, refusal_counter);
    CHECK(refusal_counter.refusal_logs > 0);
  }
}

// The same shutdown as in src/router/router.cpp. Guards against a difference between the two: a fleet on
// sockets once ended seconds later than the same fleet in virtual time.
TEST_CASE(
    "a terminated router serves kept connections for half of its shutdown time and ends sooner without any") {
  struct RouterEndRecorder : Sink {
    void on(const TrySent& t) override { tries[t.try_id] = t; }
    void on(const TryEnded& a) override {
      const TrySent& t = tries[a.try_id];
      if (a.outcome == TryOutcome::Served && t.at > 3600 && t.at < 4100)
        ++(t.new_connection ? served_on_new : served_on_kept);
    }
    void on(const RouterEvent& e) override {
      if (e.what == RouterEvent::What::Ended) end_times_ms.push_back(e.at);
    }
    std::map<TryId, TrySent> tries;
    std::vector<double> end_times_ms;
    int served_on_kept = 0, served_on_new = 0;
  };
  for (const std::uint64_t seed : {1, 2, 3}) {
    Spec spec = test::four_zone_spec(410, 11);
    spec.seed = seed;
    spec.events = {event_at(3000, RestartRouters{{}, RouterEnd::Term, 1000, 0, 0})};
    double max_client_timeout_ms = 0;
    for (const ClassSpec& c : spec.classes)
      max_client_timeout_ms = std::max(max_client_timeout_ms, c.client_timeout_ms);
    const double half_shutdown_ms = (max_client_timeout_ms + 600) / 2; // below 1.5 s here
    RouterEndRecorder with_kept_connections, with_new_connections;
    make_virtual_driver()->run(spec, with_kept_connections);
    CHECK(with_kept_connections.served_on_kept > 100);
    CHECK(with_kept_connections.served_on_new == 0);
    CHECK(with_kept_connections.end_times_ms.size() == 4);
    for (const double at : with_kept_connections.end_times_ms) CHECK(at >= 3000 + half_shutdown_ms);
    spec.clients.keep_connections = false;
    make_virtual_driver()->run(spec, with_new_connections);
    CHECK(with_new_connections.served_on_kept == 0);
    CHECK(with_new_connections.end_times_ms.size() == 4);
    CHECK(with_new_connections.end_times_ms.front() < 3000 + half_shutdown_ms);
    // Neither side can close the kept connections while no data passes between them.
    RouterEndRecorder partitioned;
    RouterSelector first;
    first.routers = {0};
    spec.clients.keep_connections = true;
    spec.events = {event_at(3000, ZoneOutage{0, 9000, true}),
                   event_at(3100, RestartRouters{first, RouterEnd::Term, 1000, 0, 0})};
    make_virtual_driver()->run(spec, partitioned);
    CHECK(partitioned.end_times_ms.size() == 1);
    CHECK(partitioned.end_times_ms.front() >= 3100 + half_shutdown_ms);
  }
}

TEST_CASE("standby nodes start cold and a fleet that shrank grows again") {
  Spec spec = test::four_zone_spec(410, 16);
  spec.nodes[0].standby = 3;
  spec.events = {event_at(1000, StartNodes{{{}, 0, {}, {}, {}, 1, true}}),
                 event_at(6000, DrainNodes{{{}, 0, {}, {}, 2, 1, false}, 1000, 2000})};
  RecordTracker tracker;
  run(spec, tracker);
  CHECK(tracker.node_event_counts.at(NodeEvent::What::Started) == 3);
  CHECK(tracker.node_event_counts.at(NodeEvent::What::Warm) == 3);
  CHECK(tracker.node_event_counts.at(NodeEvent::What::Ended) == 2);
  CHECK(tracker.late_sends == 0);
}

TEST_CASE("machines that close idle connections early and routers with few sockets are simulated") {
  Spec spec = test::four_zone_spec(100, 20);
  RecordTracker usual, early_close, few_sockets;
  run(spec, usual);
  for (NodeKind& kind : spec.kinds) kind.idle_timeout_ms = 40;
  run(spec, early_close);
  spec = test::four_zone_spec(410, 10);
  // 64 sockets allow 40 connections: 20 from clients, who would need about 11, and one to each node.
  spec.routers.max_sockets = 64;
  run(spec, few_sockets);
  CHECK(early_close.new_connections > 3 * usual.new_connections);
  CHECK(early_close.service() > usual.service() - 0.03);
  CHECK(few_sockets.max_connections <= 4 * 40);
  CHECK(few_sockets.service() > 0.9);
}

TEST_CASE("a fleet of 1000 nodes and 64 routers runs") {
  RecordTracker tracker;
  run(test::four_zone_spec(29000, 0.3, 1000, 64), tracker);
  CHECK(tracker.arrivals_by_machine.size() > 500);
  CHECK(tracker.service() > 0.9);
}

TEST_CASE("a run ends soon after a stop request and is marked as stopped") {
  RecordTracker tracker;
  std::stop_source stop;
  RunControl control;
  control.stop = stop.get_token();
  control.progress = [&](double now) {
    if (now > 2000) stop.request_stop();
  };
  const RunInfo info = make_virtual_driver()->run(test::four_zone_spec(410, 3600), tracker, control);
  CHECK(info.stopped);
  CHECK(info.scenario_elapsed_ms < 10000);
}
