// Properties that hold for every sequence of operations: no attempt or request is lost, each ends exactly
// once, and all bounds are kept.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <list>
#include <map>
#include <set>

#include "model/cache_node.h"
#include "model/clients.h"
#include "model/discovery.h"
#include "model/origin.h"
#include "model/pending_fills.h"
#include "support.h"

using namespace fernward::model;
using namespace fernward::model::test;
using fernward::LoadReportField;

namespace {

// The state that a server must have after its operations and actions.
struct ExpectedState {
  std::map<AttemptId, int> open; // arrived but not ended
  std::set<ConnectionId> handshakes;
  std::uint32_t connections = 0;
  double last_action_at = 0;
  int starts = 0, overloads = 0;

  void check_actions(ServerActions& actions, double now) {
    for (const ServerAction& action : actions) {
      RC_ASSERT(action.at >= last_action_at);
      RC_ASSERT(action.at <= now);
      last_action_at = action.at;
      switch (action.what) {
        case ServerAction::What::Started:
          RC_ASSERT(open.count(action.id) == 1);
          ++starts;
          break;
        case ServerAction::What::Answered:
          RC_ASSERT(open.erase(action.id) == 1);
          RC_ASSERT(action.queued_ms >= 0);
          RC_ASSERT(action.work_done_ms >= -1e-6);
          RC_ASSERT(action.started || action.work_done_ms == 0);
          break;
        case ServerAction::What::Connected: RC_ASSERT(handshakes.erase(action.id) == 1); break;
        case ServerAction::What::Overloaded: ++overloads; [[fallthrough]];
        case ServerAction::What::OriginFailed:
          RC_ASSERT(open.size() <= 1); // only the attempt that caused the overload, which ends next
          connections = 0;
          handshakes.clear();
          break;
        default: break;
      }
    }
    actions.clear();
  }
};

struct Operation { // one operation, `delay_ms` after the previous one
  int what = 0;
  double delay_ms = 0;
  std::uint64_t selector = 0;
};

rc::Gen<std::vector<Operation>> operations(int kind_count) {
  return rc::gen::map(rc::gen::container<std::vector<std::tuple<int, int, std::uint64_t>>>(
                          rc::gen::tuple(rc::gen::inRange(0, kind_count), rc::gen::inRange(0, 4000),
                                         rc::gen::inRange<std::uint64_t>(0, 1u << 20))),
                      [](const auto& drawn) {
                        std::vector<Operation> result;
                        for (const auto& [what, delay, selector] : drawn)
                          result.push_back({what, delay / 100.0, selector});
                        return result;
                      });
}

// The operations of every server: arrivals (0 to 5), connections, cancels, drain.
void apply_common_operation(ServerModel& server, const Operation& operation, double now,
                            ExpectedState& expected, std::uint64_t& last_id, ServerActions& actions) {
  switch (operation.what) {
    case 6:
    case 7: {
      const ConnectionId id = ++last_id;
      expected.handshakes.insert(id);
      if (server.connect(now, id, actions)) {
        ++expected.connections;
      } else {
        expected.handshakes.erase(id);
      }
      return;
    }
    case 8:
      if (expected.connections > 0 && expected.handshakes.empty()) {
        server.disconnect(now);
        --expected.connections;
      }
      return;
    case 9:
      if (!expected.open.empty())
        server.cancel(now, std::next(expected.open.begin(), operation.selector % expected.open.size())->first,
                      actions);
      return;
    case 10: return server.cancel(now, operation.selector + 1000000, actions); // an unknown attempt
    case 11: return server.advance(now + 200, actions);
    case 12:
      if (operation.selector % 3 == 0) server.drain(now, actions);
      return;
    default: {
      ServerAttempt attempt;
      attempt.id = ++last_id;
      attempt.key = operation.selector % 50 + 1;
      attempt.write = operation.selector % 7 == 0;
      attempt.cls = attempt.write ? 1 : 0;
      attempt.idempotency_key = attempt.write ? operation.selector % 11 + 1 : 0;
      attempt.work_ms = static_cast<double>(operation.selector % 40);
      attempt.deadline = operation.selector % 2 == 0 ? now + 30 : 0;
      expected.open[attempt.id] = 1;
      server.arrive(now, attempt, actions);
    }
  }
}

Spec congested_spec(bool with_origin) {
  Spec spec = plain_spec({DistributionShape::Exponential, 10, 0});
  NodeKind& kind = spec.kinds[0];
  kind.cores = 2;
  kind.max_active = 3;
  kind.max_queued = 4;
  kind.max_connections = 5;
  kind.handshake_work_ms = 1.5;
  kind.full_table_capacity_loss = 0.2;
  kind.congested_at = 1;
  kind.congestion_slowdown = 0.3;
  kind.memory_bytes = 20000;
  kind.warm_up_ms = 500;
  kind.overload_failure_ms = 100;
  kind.error_rate = 0.1;
  kind.pause_interval_ms = 200;
  kind.pause_duration_ms = 20;
  kind.report.enabled = true;
  kind.report.noise = 0;
  kind.report.fields = {LoadReportField::Inflight, LoadReportField::Queue, LoadReportField::Utilization,
                        LoadReportField::Other};
  ClassSpec write_class = spec.classes[0];
  write_class.write = true;
  write_class.idempotency = fernward::Idempotency::WithKey;
  spec.classes.push_back(write_class);
  spec.origin.enabled = with_origin;
  spec.origin.capacity_per_s = 90;
  spec.origin.service_time_ms = 35;
  spec.origin.queue_limit_ms = 60;
  spec.origin.congestion_slowdown = 0.5;
  spec.origin.overload_multiple = 2;
  spec.origin.overload_failure_ms = 200;
  spec.origin.down_ms = 100;
  spec.origin.max_connections = 5;
  spec.keys.count = 50;
  return spec;
}

} // namespace

TEST_CASE("on a node every attempt ends once and no bound is exceeded") {
  CHECK(rc::check([] {
    Spec spec = congested_spec(*rc::gen::arbitrary<bool>());
    NodeKind& kind = spec.kinds[0];
    kind.cancel_policy = *rc::gen::element(CancelPolicy::Keep, CancelPolicy::DropWaiting, CancelPolicy::Stop);
    kind.drops_expired = *rc::gen::arbitrary<bool>();
    kind.warm_up_mode = *rc::gen::element(WarmUpMode::Time, WarmUpMode::Requests);
    const Plan plan = make_plan(spec);
    const KeySpace keys(spec);
    IdempotencyCache idempotency_cache;
    CacheNode node({spec, keys, idempotency_cache}, plan.machines.front());
    ExpectedState expected;
    ServerActions actions;
    double now = 0;
    std::uint64_t last_id = 0;
    std::vector<float> report;
    for (const Operation& operation : *operations(17)) {
      now += operation.delay_ms;
      node.advance(now, actions);
      expected.check_actions(actions, now);
      if (operation.what == 13) {
        node.set_neighbour_share(now, static_cast<double>(operation.selector % 100) / 100, actions);
      } else if (operation.what == 14) {
        node.store(now, operation.selector % 50 + 1);
      } else if (operation.what == 15 && operation.selector % 4 == 0) {
        node.terminate(now, actions);
        expected.connections = 0;
        expected.handshakes.clear();
      } else if (operation.what == 16 && node.phase() == ServerPhase::Off) {
        node.start(now, actions);
      } else {
        apply_common_operation(node, operation, now, expected, last_id, actions);
        if (operation.what == 11) now += 200;
      }
      expected.check_actions(actions, now);
      RC_ASSERT(node.active() <= kind.max_active);
      RC_ASSERT(node.queued() <= kind.max_queued);
      RC_ASSERT(expected.open.size() == node.active() + node.queued());
      RC_ASSERT(node.connections() <= kind.max_connections);
      RC_ASSERT(node.connections() == expected.connections);
      RC_ASSERT(node.cache().bytes() <= kind.memory_bytes + 1e-6);
      RC_ASSERT(node.next_due_ms() >= now);
      node.report(now, report);
      for (const float value : report) RC_ASSERT(value >= 0);
      const LoadSample sample = node.sample(now);
      RC_ASSERT((sample.utilization >= 0 && sample.utilization <= 1 && sample.capacity >= 0 &&
                 sample.capacity <= 1));
    }
    node.terminate(now, actions);
    expected.check_actions(actions, now);
    RC_ASSERT(expected.open.empty());
  }));
}

TEST_CASE("on the origin every attempt ends once and no bound is exceeded and it recovers from failures") {
  CHECK(rc::check([] {
    const Spec spec = congested_spec(true);
    const Plan plan = make_plan(spec);
    IdempotencyCache idempotency_cache;
    Origin origin(spec, plan.machines[plan.origin], idempotency_cache);
    ExpectedState expected;
    ServerActions actions;
    double now = 0;
    std::uint64_t last_id = 0;
    for (const Operation& operation : *operations(15)) {
      now += operation.delay_ms;
      origin.advance(now, actions);
      expected.check_actions(actions, now);
      if (operation.what == 13) {
        origin.set_capacity_share(now, static_cast<double>(operation.selector % 3) / 2, actions);
      } else if (operation.what == 14 && operation.selector % 4 == 0) {
        origin.fail(now, 50, actions);
      } else if (operation.what != 12) {
        apply_common_operation(origin, operation, now, expected, last_id, actions);
        if (operation.what == 11) now += 200;
      }
      expected.check_actions(actions, now);
      RC_ASSERT(origin.active() <= 4);
      RC_ASSERT(origin.queued() <= 6);
      RC_ASSERT(expected.open.size() == origin.active() + origin.queued());
      RC_ASSERT(origin.connections() <= 5);
    }
    origin.set_capacity_share(now, 1, actions);
    origin.advance(now + 10000, actions); // enough for all its work and its recovery
    expected.check_actions(actions, now + 10000);
    RC_ASSERT(expected.open.empty());
    RC_ASSERT(origin.phase() == ServerPhase::Up);
  }));
}

TEST_CASE("the object cache holds the same objects as a simple list") {
  CHECK(rc::check([] {
    const bool lru = *rc::gen::arbitrary<bool>();
    const double lifetime_ms = *rc::gen::element(0.0, 30.0);
    ObjectCache cache(1000, lru ? EvictionPolicy::Lru : EvictionPolicy::Fifo, lifetime_ms, 10);
    struct Object {
      std::uint64_t key;
      double at, size;
    };
    std::list<Object> expected_objects; // the next to be evicted is first
    double now = 0;
    for (const Operation& operation : *operations(8)) {
      now += operation.delay_ms / 4;
      const std::uint64_t key = operation.selector % 12;
      const auto found = std::find_if(expected_objects.begin(), expected_objects.end(),
                                      [&](const Object& object) { return object.key == key; });
      if (operation.what < 4) {
        const bool is_valid =
            found != expected_objects.end() && !(lifetime_ms > 0 && now - found->at >= lifetime_ms);
        RC_ASSERT(cache.find(now, key).has_value() == is_valid);
        if (found != expected_objects.end() && !is_valid) expected_objects.erase(found);
        if (is_valid && lru) expected_objects.splice(expected_objects.end(), expected_objects, found);
      } else if (operation.what < 7) {
        const auto bytes = static_cast<double>(operation.selector % 1100);
        cache.store(now, key, bytes);
        if (found != expected_objects.end()) expected_objects.erase(found);
        const auto total_size = [&] {
          double total = 0;
          for (const Object& object : expected_objects) total += object.size;
          return total;
        };
        if (bytes + 10 <= 1000) {
          while (total_size() + bytes + 10 > 1000) expected_objects.pop_front();
          expected_objects.push_back({key, now, bytes + 10});
        }
      } else {
        cache.remove(key);
        if (found != expected_objects.end()) expected_objects.erase(found);
      }
      RC_ASSERT(cache.objects() == expected_objects.size());
      RC_ASSERT(cache.bytes() <= 1000);
    }
  }));
}

TEST_CASE("every client request ends once and has one try at a time within its limits of number and time") {
  CHECK(rc::check([] {
    Spec spec = plain_spec({DistributionShape::Fixed, 1, 0});
    spec.clients.mean_max_retries = *rc::gen::element(0.0, 0.5, 2.0);
    spec.clients.backoff = *rc::gen::element(Backoff::Fixed, Backoff::Exponential);
    spec.clients.abandon_share = *rc::gen::element(0.0, 0.2);
    spec.classes[0].client_timeout_ms = 200;
    spec.classes[0].idempotency =
        *rc::gen::element(fernward::Idempotency::Idempotent, fernward::Idempotency::WithKey,
                          fernward::Idempotency::NonIdempotent);
    Clients clients(spec);
    struct RequestState {
      int tries = 0, closed = 0;
      TryId active_try = 0;
      bool may_have_run = false;
    };
    std::map<RequestNumber, RequestState> request_states;
    ClientActions actions;
    double now = 0;
    const auto check_actions = [&] {
      for (const ClientAction& action : actions) {
        if (const auto* start = std::get_if<TryStart>(&action.what)) {
          RequestState& state = request_states[start->drawn.request];
          RC_ASSERT(state.active_try == 0u);
          RC_ASSERT(state.closed == 0);
          RC_ASSERT(++state.tries <= 3);
          RC_ASSERT(start->deadline <= start->drawn.at + 200);
          RC_ASSERT(Clients::request_of(start->try_id) == start->drawn.request);
          // A request that may have run is retried only if its class allows it.
          if (state.may_have_run)
            RC_ASSERT(spec.classes[0].idempotency != fernward::Idempotency::NonIdempotent);
          state.active_try = start->try_id;
        } else if (const auto* cancelled = std::get_if<TryCancelled>(&action.what)) {
          RC_ASSERT(request_states[cancelled->request].active_try == cancelled->try_id);
          request_states[cancelled->request].active_try = 0;
          request_states[cancelled->request].may_have_run = true;
        } else if (const auto* closed = std::get_if<RequestEnded>(&action.what)) {
          RC_ASSERT(++request_states[closed->request].closed == 1);
          RC_ASSERT(request_states[closed->request].active_try == 0u);
        }
      }
      actions.clear();
    };
    RequestNumber requests = 0;
    for (const Operation& operation : *operations(8)) {
      now += operation.delay_ms;
      clients.advance(now, actions);
      check_actions();
      if (operation.what < 3) {
        DrawnRequest drawn;
        drawn.at = now;
        drawn.request = ++requests;
        drawn.client_timeout_ms = 200;
        drawn.latency_objective_ms = 100;
        clients.open(now, drawn, actions);
      } else if (requests > 0) {
        const RequestNumber request = operation.selector % requests + 1;
        RequestState& state = request_states[request];
        const auto outcome = static_cast<TryOutcome>(operation.selector % 5);
        // The active try, or one that has ended.
        const TryId id = state.active_try != 0 && operation.what < 7 ? state.active_try : request << 4;
        const bool was_active = state.active_try == id;
        if (was_active) state.active_try = 0;
        if (outcome == TryOutcome::Failed || outcome == TryOutcome::ConnectionLost)
          state.may_have_run = state.may_have_run || was_active;
        RC_ASSERT(clients.on_try_ended(now, id, outcome, 50, actions) == was_active);
      }
      check_actions();
    }
    clients.advance(now + 10000, actions);
    check_actions();
    RC_ASSERT(clients.open_requests() == 0u);
    for (const auto& [request, state] : request_states) RC_ASSERT(state.closed == 1);
  }));
}

TEST_CASE("discovery changes add up to the complete list and each agent finally has the actual state") {
  CHECK(rc::check([] {
    Spec spec = plain_spec({DistributionShape::Fixed, 1, 0});
    spec.nodes[0].count = 3;
    spec.nodes[0].standby = 3;
    spec.routers.groups[0].count = 2;
    spec.origin.enabled = true;
    spec.discovery.delivery_spread_ms = *rc::gen::element(400.0, 6000.0);
    const Plan plan = make_plan(spec);
    Discovery discovery(spec, plan);
    std::map<MachineId, std::pair<fernward::ServerState, double>> actual, received[2];
    for (const PlannedMachine& machine : plan.machines) {
      if (machine.in_service_at_start) actual[machine.id] = {fernward::ServerState::Ready, -1};
    }
    std::uint64_t index[2] = {0, 0};
    const auto read_list = [&](RouterId router) {
      const auto since = index[router] == 0 ? std::nullopt : std::optional(index[router]);
      const Discovery::List list = discovery.list(router, since);
      RC_ASSERT(list.index >= index[router]);
      if (list.complete) received[router].clear();
      for (const auto& entry : list.entries) {
        RC_ASSERT(entry.index <= list.index);
        if (entry.state == fernward::ServerState::Gone) {
          received[router].erase(entry.machine);
        } else {
          received[router][entry.machine] = {entry.state, entry.started_at};
        }
      }
      index[router] = list.index;
      // The accumulated changes equal the complete list.
      std::map<MachineId, std::pair<fernward::ServerState, double>> complete_list;
      for (const auto& entry : discovery.list(router, std::nullopt).entries)
        complete_list[entry.machine] = {entry.state, entry.started_at};
      RC_ASSERT(complete_list == received[router]);
    };
    double now = 0;
    for (const Operation& operation : *operations(8)) {
      now += operation.delay_ms * 50;
      discovery.advance(now);
      RC_ASSERT(discovery.next_due_ms() > now);
      const auto machine = static_cast<MachineId>(operation.selector % 6);
      if (operation.what == 0) {
        actual[machine] = {fernward::ServerState::Ready, now};
        discovery.change(now, machine, fernward::ServerState::Ready, now, Discovery::Cause::Added);
      } else if (operation.what == 1) {
        actual.erase(machine);
        discovery.change(now, machine, fernward::ServerState::Gone, 0, Discovery::Cause::Silent);
      } else if (operation.what == 2 && actual.count(machine) > 0) {
        actual[machine].first = fernward::ServerState::Draining;
        discovery.change(now, machine, fernward::ServerState::Draining, actual[machine].second,
                         Discovery::Cause::Leaving);
      } else if (operation.what == 3) {
        discovery.set_outage(now, operation.selector % 2 == 0);
      } else {
        read_list(static_cast<RouterId>(operation.selector % 2));
      }
    }
    discovery.set_outage(now, false);
    discovery.advance(now + 60000);
    for (const RouterId router : {0u, 1u}) {
      read_list(router);
      RC_ASSERT(received[router] == actual);
    }
  }));
}

TEST_CASE("an initial node holds requested objects up to its memory and a restarted one holds nothing") {
  Spec spec = plain_spec({DistributionShape::Fixed, 1, 0});
  spec.origin.enabled = true;
  spec.origin.initial_hit_ratio = 0.8;
  spec.keys.count = 100;
  spec.keys.size = {DistributionShape::Fixed, 100, 0};
  spec.kinds[0].memory_bytes = 1640; // room for ten objects
  const Plan plan = make_plan(spec);
  const KeySpace keys(spec);
  IdempotencyCache idempotency_cache;
  CacheNode node({spec, keys, idempotency_cache}, plan.machines[0]);
  REQUIRE(keys.warm_ranks() > 12);
  AttemptId last_id = 0;
  const auto request = [&](std::uint64_t key) {
    ServerActions actions;
    ServerAttempt attempt;
    attempt.id = ++last_id;
    attempt.key = key;
    attempt.work_ms = 1;
    const auto at = static_cast<double>(10 * last_id);
    node.arrive(at, attempt, actions);
    node.advance(at + 9, actions);
    return actions.back().outcome;
  };
  CHECK(request(keys.key(99, 0)) == ServerOutcome::Miss); // not requested before the run
  CHECK(request(keys.key(99, 0)) == ServerOutcome::Pending);
  for (std::uint32_t rank = 0; rank < 10; ++rank) CHECK(request(keys.key(rank, 0)) == ServerOutcome::Hit);
  CHECK(node.cache().objects() == 10);
  CHECK(request(keys.key(11, 0)) == ServerOutcome::Miss); // the memory is full
  node.store(1000, keys.key(11, 0));
  CHECK(request(keys.key(11, 0)) == ServerOutcome::Hit);
  CHECK(request(keys.key(0, 0)) == ServerOutcome::Miss); // the least recently used object was evicted
  ServerActions actions;
  node.terminate(2000, actions);
  node.start(2000, actions);
  last_id = 300;
  CHECK(request(keys.key(1, 0)) == ServerOutcome::Miss);
}

TEST_CASE("pending fills and idempotency keys are removed after their time") {
  PendingFills pending_fills(1000);
  IdempotencyCache idempotency_cache(1000), small_cache(10);
  for (std::uint64_t i = 0; i < 5000; ++i) {
    const auto now = static_cast<double>(i);
    pending_fills.add_miss(now, i + 1, 3);
    CHECK_FALSE(idempotency_cache.check_and_add(now, 0, i + 1, 50));
    small_cache.check_and_add(now, 0, i + 1, 50);
    if (i % 10 == 0) {
      CHECK(idempotency_cache.check_and_add(now + 0.5, 0, i + 1, 50));
      CHECK_FALSE(
          idempotency_cache.check_and_add(now + 0.5, 1, i + 1, 50)); // another group has no entry of it
    }
  }
  CHECK(pending_fills.size() <= 1001);
  CHECK(idempotency_cache.size() <= 60);
  CHECK(small_cache.size() <= 10);
  CHECK(pending_fills.take(5000, 4999).count == 1);
  CHECK(pending_fills.take(5000, 4999).count == 0);
  CHECK(pending_fills.take(5000, 100).count == 0);
}
