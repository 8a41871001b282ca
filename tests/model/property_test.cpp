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
  double last = 0;
  int begun = 0, overloads = 0;

  void check_actions(ServerActions& acts, double now) {
    for (const ServerAction& act : acts) {
      RC_ASSERT(act.at >= last);
      RC_ASSERT(act.at <= now);
      last = act.at;
      switch (act.what) {
        case ServerAction::What::Started:
          RC_ASSERT(open.count(act.id) == 1);
          ++begun;
          break;
        case ServerAction::What::Answered:
          RC_ASSERT(open.erase(act.id) == 1);
          RC_ASSERT(act.queued_ms >= 0);
          RC_ASSERT(act.work_done_ms >= -1e-6);
          RC_ASSERT(act.started || act.work_done_ms == 0);
          break;
        case ServerAction::What::Connected: RC_ASSERT(handshakes.erase(act.id) == 1); break;
        case ServerAction::What::Overloaded: ++overloads; [[fallthrough]];
        case ServerAction::What::OriginFailed:
          RC_ASSERT(open.size() <= 1); // only the attempt that caused the overload, which ends next
          connections = 0;
          handshakes.clear();
          break;
        default: break;
      }
    }
    acts.clear();
  }
};

struct Operation { // one operation, `delay_ms` after the previous one
  int what = 0;
  double delay_ms = 0;
  std::uint64_t selector = 0;
};

rc::Gen<std::vector<Operation>> operations(int kinds) {
  return rc::gen::map(rc::gen::container<std::vector<std::tuple<int, int, std::uint64_t>>>(
                          rc::gen::tuple(rc::gen::inRange(0, kinds), rc::gen::inRange(0, 4000),
                                         rc::gen::inRange<std::uint64_t>(0, 1u << 20))),
                      [](const auto& all) {
                        std::vector<Operation> made;
                        for (const auto& [what, wait, pick] : all) made.push_back({what, wait / 100.0, pick});
                        return made;
                      });
}

// The operations of every server: arrivals (0 to 5), connections, cancels, drain.
void apply_common_operation(ServerModel& station, const Operation& operation, double now,
                            ExpectedState& expected, std::uint64_t& ids, ServerActions& acts) {
  switch (operation.what) {
    case 6:
    case 7: {
      const ConnectionId id = ++ids;
      expected.handshakes.insert(id);
      if (station.connect(now, id, acts)) {
        ++expected.connections;
      } else {
        expected.handshakes.erase(id);
      }
      return;
    }
    case 8:
      if (expected.connections > 0 && expected.handshakes.empty()) {
        station.disconnect(now);
        --expected.connections;
      }
      return;
    case 9:
      if (!expected.open.empty())
        station.cancel(
            now, std::next(expected.open.begin(), operation.selector % expected.open.size())->first, acts);
      return;
    case 10: return station.cancel(now, operation.selector + 1000000, acts); // an unknown attempt
    case 11: return station.advance(now + 200, acts);
    case 12:
      if (operation.selector % 3 == 0) station.drain(now, acts);
      return;
    default: {
      ServerAttempt a;
      a.id = ++ids;
      a.key = operation.selector % 50 + 1;
      a.write = operation.selector % 7 == 0;
      a.cls = a.write ? 1 : 0;
      a.idempotency_key = a.write ? operation.selector % 11 + 1 : 0;
      a.work_ms = static_cast<double>(operation.selector % 40);
      a.deadline = operation.selector % 2 == 0 ? now + 30 : 0;
      expected.open[a.id] = 1;
      station.arrive(now, a, acts);
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
    IdempotencyCache repeats;
    CacheNode node({spec, keys, repeats}, plan.machines.front());
    ExpectedState book;
    ServerActions acts;
    double now = 0;
    std::uint64_t ids = 0;
    std::vector<float> report;
    for (const Operation& operation : *operations(17)) {
      now += operation.delay_ms;
      node.advance(now, acts);
      book.check_actions(acts, now);
      if (operation.what == 13) {
        node.set_neighbour_share(now, static_cast<double>(operation.selector % 100) / 100, acts);
      } else if (operation.what == 14) {
        node.store(now, operation.selector % 50 + 1);
      } else if (operation.what == 15 && operation.selector % 4 == 0) {
        node.terminate(now, acts);
        book.connections = 0;
        book.handshakes.clear();
      } else if (operation.what == 16 && node.phase() == ServerPhase::Off) {
        node.start(now, acts);
      } else {
        apply_common_operation(node, operation, now, book, ids, acts);
        if (operation.what == 11) now += 200;
      }
      book.check_actions(acts, now);
      RC_ASSERT(node.active() <= kind.max_active);
      RC_ASSERT(node.queued() <= kind.max_queued);
      RC_ASSERT(book.open.size() == node.active() + node.queued());
      RC_ASSERT(node.connections() <= kind.max_connections);
      RC_ASSERT(node.connections() == book.connections);
      RC_ASSERT(node.cache().bytes() <= kind.memory_bytes + 1e-6);
      RC_ASSERT(node.next_due_ms() >= now);
      node.report(now, report);
      for (const float figure : report) RC_ASSERT(figure >= 0);
      const LoadSample sample = node.sample(now);
      RC_ASSERT((sample.utilization >= 0 && sample.utilization <= 1 && sample.capacity >= 0 &&
                 sample.capacity <= 1));
    }
    node.terminate(now, acts);
    book.check_actions(acts, now);
    RC_ASSERT(book.open.empty());
  }));
}

TEST_CASE("on the origin every attempt ends once and no bound is exceeded and it recovers from failures") {
  CHECK(rc::check([] {
    const Spec spec = congested_spec(true);
    const Plan plan = make_plan(spec);
    IdempotencyCache repeats;
    Origin origin(spec, plan.machines[plan.origin], repeats);
    ExpectedState book;
    ServerActions acts;
    double now = 0;
    std::uint64_t ids = 0;
    for (const Operation& operation : *operations(15)) {
      now += operation.delay_ms;
      origin.advance(now, acts);
      book.check_actions(acts, now);
      if (operation.what == 13) {
        origin.set_capacity_share(now, static_cast<double>(operation.selector % 3) / 2, acts);
      } else if (operation.what == 14 && operation.selector % 4 == 0) {
        origin.fail(now, 50, acts);
      } else if (operation.what != 12) {
        apply_common_operation(origin, operation, now, book, ids, acts);
        if (operation.what == 11) now += 200;
      }
      book.check_actions(acts, now);
      RC_ASSERT(origin.active() <= 4);
      RC_ASSERT(origin.queued() <= 6);
      RC_ASSERT(book.open.size() == origin.active() + origin.queued());
      RC_ASSERT(origin.connections() <= 5);
    }
    origin.set_capacity_share(now, 1, acts);
    origin.advance(now + 10000, acts); // enough for all its work and its recovery
    book.check_actions(acts, now + 10000);
    RC_ASSERT(book.open.empty());
    RC_ASSERT(origin.phase() == ServerPhase::Up);
  }));
}

TEST_CASE("the object cache holds the same objects as a simple list") {
  CHECK(rc::check([] {
    const bool lru = *rc::gen::arbitrary<bool>();
    const double expire = *rc::gen::element(0.0, 30.0);
    ObjectCache memory(1000, lru ? EvictionPolicy::Lru : EvictionPolicy::Fifo, expire, 10);
    struct Object {
      std::uint64_t key;
      double at, size;
    };
    std::list<Object> expected_objects; // the next to be evicted is first
    double now = 0;
    for (const Operation& operation : *operations(8)) {
      now += operation.delay_ms / 4;
      const std::uint64_t key = operation.selector % 12;
      const auto held = std::find_if(expected_objects.begin(), expected_objects.end(),
                                     [&](const Object& o) { return o.key == key; });
      if (operation.what < 4) {
        const bool there = held != expected_objects.end() && !(expire > 0 && now - held->at >= expire);
        RC_ASSERT(memory.find(now, key).has_value() == there);
        if (held != expected_objects.end() && !there) expected_objects.erase(held);
        if (there && lru) expected_objects.splice(expected_objects.end(), expected_objects, held);
      } else if (operation.what < 7) {
        const auto bytes = static_cast<double>(operation.selector % 1100);
        memory.store(now, key, bytes);
        if (held != expected_objects.end()) expected_objects.erase(held);
        const auto sum = [&] {
          double all = 0;
          for (const Object& o : expected_objects) all += o.size;
          return all;
        };
        if (bytes + 10 <= 1000) {
          while (sum() + bytes + 10 > 1000) expected_objects.pop_front();
          expected_objects.push_back({key, now, bytes + 10});
        }
      } else {
        memory.remove(key);
        if (held != expected_objects.end()) expected_objects.erase(held);
      }
      RC_ASSERT(memory.objects() == expected_objects.size());
      RC_ASSERT(memory.bytes() <= 1000);
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
    ClientActions acts;
    double now = 0;
    const auto take = [&] {
      for (const ClientAction& act : acts) {
        if (const auto* start = std::get_if<TryStart>(&act.what)) {
          RequestState& s = request_states[start->drawn.request];
          RC_ASSERT(s.active_try == 0u);
          RC_ASSERT(s.closed == 0);
          RC_ASSERT(++s.tries <= 3);
          RC_ASSERT(start->deadline <= start->drawn.at + 200);
          RC_ASSERT(Clients::request_of(start->try_id) == start->drawn.request);
          // A request that may have run is retried only if its class allows it.
          if (s.may_have_run) RC_ASSERT(spec.classes[0].idempotency != fernward::Idempotency::NonIdempotent);
          s.active_try = start->try_id;
        } else if (const auto* over = std::get_if<TryCancelled>(&act.what)) {
          RC_ASSERT(request_states[over->request].active_try == over->try_id);
          request_states[over->request].active_try = 0;
          request_states[over->request].may_have_run = true;
        } else if (const auto* closed = std::get_if<RequestEnded>(&act.what)) {
          RC_ASSERT(++request_states[closed->request].closed == 1);
          RC_ASSERT(request_states[closed->request].active_try == 0u);
        }
      }
      acts.clear();
    };
    RequestNumber requests = 0;
    for (const Operation& operation : *operations(8)) {
      now += operation.delay_ms;
      clients.advance(now, acts);
      take();
      if (operation.what < 3) {
        DrawnRequest drawn;
        drawn.at = now;
        drawn.request = ++requests;
        drawn.client_timeout_ms = 200;
        drawn.latency_objective_ms = 100;
        clients.open(now, drawn, acts);
      } else if (requests > 0) {
        const RequestNumber request = operation.selector % requests + 1;
        RequestState& s = request_states[request];
        const auto how = static_cast<TryOutcome>(operation.selector % 5);
        // The active try, or one that has ended.
        const TryId id = s.active_try != 0 && operation.what < 7 ? s.active_try : request << 4;
        const bool was_out = s.active_try == id;
        if (was_out) s.active_try = 0;
        if (how == TryOutcome::Failed || how == TryOutcome::ConnectionLost)
          s.may_have_run = s.may_have_run || was_out;
        RC_ASSERT(clients.on_try_ended(now, id, how, 50, acts) == was_out);
      }
      take();
    }
    clients.advance(now + 10000, acts);
    take();
    RC_ASSERT(clients.open_requests() == 0u);
    for (const auto& [request, s] : request_states) RC_ASSERT(s.closed == 1);
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
    for (const PlannedMachine& m : plan.machines) {
      if (m.at_start) actual[m.id] = {fernward::ServerState::Ready, -1};
    }
    std::uint64_t index[2] = {0, 0};
    const auto read = [&](RouterId r) {
      const auto since = index[r] == 0 ? std::nullopt : std::optional(index[r]);
      const Discovery::List list = discovery.list(r, since);
      RC_ASSERT(list.index >= index[r]);
      if (list.complete) received[r].clear();
      for (const auto& e : list.entries) {
        RC_ASSERT(e.index <= list.index);
        if (e.state == fernward::ServerState::Gone) {
          received[r].erase(e.machine);
        } else {
          received[r][e.machine] = {e.state, e.started_at};
        }
      }
      index[r] = list.index;
      // The accumulated changes equal the complete list.
      std::map<MachineId, std::pair<fernward::ServerState, double>> whole;
      for (const auto& e : discovery.list(r, std::nullopt).entries)
        whole[e.machine] = {e.state, e.started_at};
      RC_ASSERT(whole == received[r]);
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
        read(static_cast<RouterId>(operation.selector % 2));
      }
    }
    discovery.set_outage(now, false);
    discovery.advance(now + 60000);
    for (const RouterId r : {0u, 1u}) {
      read(r);
      RC_ASSERT(received[r] == actual);
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
  IdempotencyCache repeats;
  CacheNode node({spec, keys, repeats}, plan.machines[0]);
  REQUIRE(keys.warm_ranks() > 12);
  AttemptId ids = 0;
  const auto ask = [&](std::uint64_t key) {
    ServerActions acts;
    ServerAttempt a;
    a.id = ++ids;
    a.key = key;
    a.work_ms = 1;
    const auto at = static_cast<double>(10 * ids);
    node.arrive(at, a, acts);
    node.advance(at + 9, acts);
    return acts.back().outcome;
  };
  CHECK(ask(keys.key(99, 0)) == ServerOutcome::Miss); // not requested before the run
  CHECK(ask(keys.key(99, 0)) == ServerOutcome::Pending);
  for (std::uint32_t rank = 0; rank < 10; ++rank) CHECK(ask(keys.key(rank, 0)) == ServerOutcome::Hit);
  CHECK(node.cache().objects() == 10);
  CHECK(ask(keys.key(11, 0)) == ServerOutcome::Miss); // the memory is full
  node.store(1000, keys.key(11, 0));
  CHECK(ask(keys.key(11, 0)) == ServerOutcome::Hit);
  CHECK(ask(keys.key(0, 0)) == ServerOutcome::Miss); // the least recently used object was evicted
  ServerActions acts;
  node.terminate(2000, acts);
  node.start(2000, acts);
  ids = 300;
  CHECK(ask(keys.key(1, 0)) == ServerOutcome::Miss);
}

TEST_CASE("pending fills and idempotency keys are removed after their time") {
  PendingFills aside(1000);
  IdempotencyCache repeats(1000), small(10);
  for (std::uint64_t i = 0; i < 5000; ++i) {
    const auto now = static_cast<double>(i);
    aside.add_miss(now, i + 1, 3);
    CHECK_FALSE(repeats.check_and_add(now, 0, i + 1, 50));
    small.check_and_add(now, 0, i + 1, 50);
    if (i % 10 == 0) {
      CHECK(repeats.check_and_add(now + 0.5, 0, i + 1, 50));
      CHECK_FALSE(repeats.check_and_add(now + 0.5, 1, i + 1, 50)); // another group has no entry of it
    }
  }
  CHECK(aside.size() <= 1001);
  CHECK(repeats.size() <= 60);
  CHECK(small.size() <= 10);
  CHECK(aside.take(5000, 4999).count == 1);
  CHECK(aside.take(5000, 4999).count == 0);
  CHECK(aside.take(5000, 100).count == 0);
}
