// Properties that hold for every sequence of operations: no attempt or request is lost, each ends exactly
// once, and all bounds are kept.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <list>
#include <map>
#include <set>

#include "model/aside.h"
#include "model/clients.h"
#include "model/discovery.h"
#include "model/node.h"
#include "model/origin.h"
#include "support.h"

using namespace fernward::model;
using namespace fernward::model::test;
using fernward::LoadReportField;

namespace {

// The state that a server must have after its operations and actions.
struct Ledger {
  std::map<AttemptId, int> open; // arrived but not ended
  std::set<ConnectionId> shaking;
  std::uint32_t connections = 0;
  double last = 0;
  int begun = 0, tipped = 0;

  void take(Acts& acts, double now) {
    for (const Act& act : acts) {
      RC_ASSERT(act.at >= last);
      RC_ASSERT(act.at <= now);
      last = act.at;
      switch (act.what) {
        case Act::What::Began:
          RC_ASSERT(open.count(act.id) == 1);
          ++begun;
          break;
        case Act::What::Answered:
          RC_ASSERT(open.erase(act.id) == 1);
          RC_ASSERT(act.waited_ms >= 0);
          RC_ASSERT(act.worked_ms >= -1e-6);
          RC_ASSERT(act.begun || act.worked_ms == 0);
          break;
        case Act::What::Connected: RC_ASSERT(shaking.erase(act.id) == 1); break;
        case Act::What::TippedOver: ++tipped; [[fallthrough]];
        case Act::What::Fell:
          RC_ASSERT(open.size() <= 1); // only the attempt that caused the overload, which ends next
          connections = 0;
          shaking.clear();
          break;
        default: break;
      }
    }
    acts.clear();
  }
};

struct Deed { // one operation, `delay_ms` after the previous one
  int what = 0;
  double wait = 0;
  std::uint64_t pick = 0;
};

rc::Gen<std::vector<Deed>> deeds(int kinds) {
  return rc::gen::map(rc::gen::container<std::vector<std::tuple<int, int, std::uint64_t>>>(
                          rc::gen::tuple(rc::gen::inRange(0, kinds), rc::gen::inRange(0, 4000),
                                         rc::gen::inRange<std::uint64_t>(0, 1u << 20))),
                      [](const auto& all) {
                        std::vector<Deed> made;
                        for (const auto& [what, wait, pick] : all) made.push_back({what, wait / 100.0, pick});
                        return made;
                      });
}

// The operations of every server: arrivals (0 to 5), connections, cancels, drain.
void common(Station& station, const Deed& deed, double now, Ledger& book, std::uint64_t& ids, Acts& acts) {
  switch (deed.what) {
    case 6:
    case 7: {
      const ConnectionId id = ++ids;
      book.shaking.insert(id);
      if (station.connect(now, id, acts)) {
        ++book.connections;
      } else {
        book.shaking.erase(id);
      }
      return;
    }
    case 8:
      if (book.connections > 0 && book.shaking.empty()) {
        station.disconnect(now);
        --book.connections;
      }
      return;
    case 9:
      if (!book.open.empty())
        station.cancel(now, std::next(book.open.begin(), deed.pick % book.open.size())->first, acts);
      return;
    case 10: return station.cancel(now, deed.pick + 1000000, acts); // an unknown attempt
    case 11: return station.advance(now + 200, acts);
    case 12:
      if (deed.pick % 3 == 0) station.drain(now, acts);
      return;
    default: {
      Attempt a;
      a.id = ++ids;
      a.key = deed.pick % 50 + 1;
      a.write = deed.pick % 7 == 0;
      a.cls = a.write ? 1 : 0;
      a.repeat_key = a.write ? deed.pick % 11 + 1 : 0;
      a.work_ms = static_cast<double>(deed.pick % 40);
      a.deadline = deed.pick % 2 == 0 ? now + 30 : 0;
      book.open[a.id] = 1;
      station.arrive(now, a, acts);
    }
  }
}

Spec crowded_spec(bool with_origin) {
  Spec spec = plain_spec({Shape::Exponential, 10, 0});
  NodeKind& kind = spec.kinds[0];
  kind.cores = 2;
  kind.places = 3;
  kind.waiting = 4;
  kind.connections = 5;
  kind.handshake_ms = 1.5;
  kind.full_table_loss = 0.2;
  kind.crowded_at = 1;
  kind.crowded_loss = 0.3;
  kind.memory_bytes = 20000;
  kind.warm_ms = 500;
  kind.tip_ms = 100;
  kind.error_rate = 0.1;
  kind.pause_every_ms = 200;
  kind.pause_ms = 20;
  kind.report.on = true;
  kind.report.noise = 0;
  kind.report.fields = {LoadReportField::Inflight, LoadReportField::Queue, LoadReportField::Util,
                        LoadReportField::Other};
  ClassSpec book = spec.classes[0];
  book.write = true;
  book.repeat = fernward::Idempotency::WithKey;
  spec.classes.push_back(book);
  spec.origin.on = with_origin;
  spec.origin.capacity_per_s = 90;
  spec.origin.time_ms = 35;
  spec.origin.queue_ms = 60;
  spec.origin.crowded_loss = 0.5;
  spec.origin.fall_multiple = 2;
  spec.origin.fall_ms = 200;
  spec.origin.down_ms = 100;
  spec.origin.connections = 5;
  spec.keys.count = 50;
  return spec;
}

} // namespace

TEST_CASE("on a node every attempt ends once and no bound is exceeded") {
  CHECK(rc::check([] {
    Spec spec = crowded_spec(*rc::gen::arbitrary<bool>());
    NodeKind& kind = spec.kinds[0];
    kind.on_cancel = *rc::gen::element(OnCancel::Keep, OnCancel::DropWaiting, OnCancel::Stop);
    kind.drops_expired = *rc::gen::arbitrary<bool>();
    kind.warm_by = *rc::gen::element(WarmBy::Time, WarmBy::Requests);
    const Plan plan = make_plan(spec);
    const Keys keys(spec);
    Repeats repeats;
    Node node({spec, keys, repeats}, plan.machines.front());
    Ledger book;
    Acts acts;
    double now = 0;
    std::uint64_t ids = 0;
    std::vector<float> report;
    for (const Deed& deed : *deeds(17)) {
      now += deed.wait;
      node.advance(now, acts);
      book.take(acts, now);
      if (deed.what == 13) {
        node.neighbour(now, static_cast<double>(deed.pick % 100) / 100, acts);
      } else if (deed.what == 14) {
        node.store(now, deed.pick % 50 + 1);
      } else if (deed.what == 15 && deed.pick % 4 == 0) {
        node.end(now, acts);
        book.connections = 0;
        book.shaking.clear();
      } else if (deed.what == 16 && node.phase() == Phase::Off) {
        node.start(now, acts);
      } else {
        common(node, deed, now, book, ids, acts);
        if (deed.what == 11) now += 200;
      }
      book.take(acts, now);
      RC_ASSERT(node.in_work() <= kind.places);
      RC_ASSERT(node.waiting() <= kind.waiting);
      RC_ASSERT(book.open.size() == node.in_work() + node.waiting());
      RC_ASSERT(node.connections() <= kind.connections);
      RC_ASSERT(node.connections() == book.connections);
      RC_ASSERT(node.memory().bytes() <= kind.memory_bytes + 1e-6);
      RC_ASSERT(node.next() >= now);
      node.report(now, report);
      for (const float figure : report) RC_ASSERT(figure >= 0);
      const LoadSample sample = node.sample(now);
      RC_ASSERT((sample.used >= 0 && sample.used <= 1 && sample.capacity >= 0 && sample.capacity <= 1));
    }
    node.end(now, acts);
    book.take(acts, now);
    RC_ASSERT(book.open.empty());
  }));
}

TEST_CASE("on the origin every attempt ends once and no bound is exceeded and it recovers from failures") {
  CHECK(rc::check([] {
    const Spec spec = crowded_spec(true);
    const Plan plan = make_plan(spec);
    Repeats repeats;
    Origin origin(spec, plan.machines[plan.origin], repeats);
    Ledger book;
    Acts acts;
    double now = 0;
    std::uint64_t ids = 0;
    for (const Deed& deed : *deeds(15)) {
      now += deed.wait;
      origin.advance(now, acts);
      book.take(acts, now);
      if (deed.what == 13) {
        origin.slow(now, static_cast<double>(deed.pick % 3) / 2, acts);
      } else if (deed.what == 14 && deed.pick % 4 == 0) {
        origin.fall(now, 50, acts);
      } else if (deed.what != 12) {
        common(origin, deed, now, book, ids, acts);
        if (deed.what == 11) now += 200;
      }
      book.take(acts, now);
      RC_ASSERT(origin.in_work() <= 4);
      RC_ASSERT(origin.waiting() <= 6);
      RC_ASSERT(book.open.size() == origin.in_work() + origin.waiting());
      RC_ASSERT(origin.connections() <= 5);
    }
    origin.slow(now, 1, acts);
    origin.advance(now + 10000, acts); // enough for all its work and its recovery
    book.take(acts, now + 10000);
    RC_ASSERT(book.open.empty());
    RC_ASSERT(origin.phase() == Phase::Up);
  }));
}

TEST_CASE("the object cache holds the same objects as a simple list") {
  CHECK(rc::check([] {
    const bool lru = *rc::gen::arbitrary<bool>();
    const double expire = *rc::gen::element(0.0, 30.0);
    Memory memory(1000, lru ? Evict::Lru : Evict::Fifo, expire, 10);
    struct Object {
      std::uint64_t key;
      double at, size;
    };
    std::list<Object> plain; // the next to be evicted is first
    double now = 0;
    for (const Deed& deed : *deeds(8)) {
      now += deed.wait / 4;
      const std::uint64_t key = deed.pick % 12;
      const auto held =
          std::find_if(plain.begin(), plain.end(), [&](const Object& o) { return o.key == key; });
      if (deed.what < 4) {
        const bool there = held != plain.end() && !(expire > 0 && now - held->at >= expire);
        RC_ASSERT(memory.find(now, key).has_value() == there);
        if (held != plain.end() && !there) plain.erase(held);
        if (there && lru) plain.splice(plain.end(), plain, held);
      } else if (deed.what < 7) {
        const auto bytes = static_cast<double>(deed.pick % 1100);
        memory.store(now, key, bytes);
        if (held != plain.end()) plain.erase(held);
        const auto sum = [&] {
          double all = 0;
          for (const Object& o : plain) all += o.size;
          return all;
        };
        if (bytes + 10 <= 1000) {
          while (sum() + bytes + 10 > 1000) plain.pop_front();
          plain.push_back({key, now, bytes + 10});
        }
      } else {
        memory.drop(key);
        if (held != plain.end()) plain.erase(held);
      }
      RC_ASSERT(memory.objects() == plain.size());
      RC_ASSERT(memory.bytes() <= 1000);
    }
  }));
}

TEST_CASE("every client request ends once and has one try at a time within its limits of number and time") {
  CHECK(rc::check([] {
    Spec spec = plain_spec({Shape::Fixed, 1, 0});
    spec.clients.retries = *rc::gen::element(0.0, 0.5, 2.0);
    spec.clients.backoff = *rc::gen::element(Backoff::Fixed, Backoff::Exponential);
    spec.clients.leave_share = *rc::gen::element(0.0, 0.2);
    spec.classes[0].give_up_ms = 200;
    spec.classes[0].repeat =
        *rc::gen::element(fernward::Idempotency::Idempotent, fernward::Idempotency::WithKey,
                          fernward::Idempotency::NonIdempotent);
    Clients clients(spec);
    struct Seen {
      int tries = 0, closed = 0;
      TryId out = 0;
      bool may_have_run = false;
    };
    std::map<RequestNumber, Seen> seen;
    ClientActs acts;
    double now = 0;
    const auto take = [&] {
      for (const ClientAct& act : acts) {
        if (const auto* start = std::get_if<TryStart>(&act.what)) {
          Seen& s = seen[start->drawn.request];
          RC_ASSERT(s.out == 0u);
          RC_ASSERT(s.closed == 0);
          RC_ASSERT(++s.tries <= 3);
          RC_ASSERT(start->deadline <= start->drawn.at + 200);
          RC_ASSERT(Clients::request_of(start->try_id) == start->drawn.request);
          // A request that may have run is retried only if its class allows it.
          if (s.may_have_run) RC_ASSERT(spec.classes[0].repeat != fernward::Idempotency::NonIdempotent);
          s.out = start->try_id;
        } else if (const auto* over = std::get_if<TryOver>(&act.what)) {
          RC_ASSERT(seen[over->request].out == over->try_id);
          seen[over->request].out = 0;
          seen[over->request].may_have_run = true;
        } else if (const auto* closed = std::get_if<Closed>(&act.what)) {
          RC_ASSERT(++seen[closed->request].closed == 1);
          RC_ASSERT(seen[closed->request].out == 0u);
        }
      }
      acts.clear();
    };
    RequestNumber requests = 0;
    for (const Deed& deed : *deeds(8)) {
      now += deed.wait;
      clients.advance(now, acts);
      take();
      if (deed.what < 3) {
        Drawn drawn;
        drawn.at = now;
        drawn.request = ++requests;
        drawn.give_up_ms = 200;
        drawn.aim_ms = 100;
        clients.open(now, drawn, acts);
      } else if (requests > 0) {
        const RequestNumber request = deed.pick % requests + 1;
        Seen& s = seen[request];
        const auto how = static_cast<Heard>(deed.pick % 5);
        // The active try, or one that has ended.
        const TryId id = s.out != 0 && deed.what < 7 ? s.out : request << 4;
        const bool was_out = s.out == id;
        if (was_out) s.out = 0;
        if (how == Heard::Failed || how == Heard::Broken) s.may_have_run = s.may_have_run || was_out;
        RC_ASSERT(clients.heard(now, id, how, 50, acts) == was_out);
      }
      take();
    }
    clients.advance(now + 10000, acts);
    take();
    RC_ASSERT(clients.open_requests() == 0u);
    for (const auto& [request, s] : seen) RC_ASSERT(s.closed == 1);
  }));
}

TEST_CASE("discovery changes add up to the complete list and each agent finally has the actual state") {
  CHECK(rc::check([] {
    Spec spec = plain_spec({Shape::Fixed, 1, 0});
    spec.nodes[0].count = 3;
    spec.nodes[0].standby = 3;
    spec.routers.groups[0].count = 2;
    spec.origin.on = true;
    spec.discovery.spread_ms = *rc::gen::element(400.0, 6000.0);
    const Plan plan = make_plan(spec);
    Discovery discovery(spec, plan);
    std::map<MachineId, std::pair<fernward::ServerState, double>> truth, has[2];
    for (const Machine& m : plan.machines) {
      if (m.at_start) truth[m.id] = {fernward::ServerState::Ready, -1};
    }
    std::uint64_t index[2] = {0, 0};
    const auto read = [&](RouterId r) {
      const auto since = index[r] == 0 ? std::nullopt : std::optional(index[r]);
      const Discovery::List list = discovery.list(r, since);
      RC_ASSERT(list.index >= index[r]);
      if (list.whole) has[r].clear();
      for (const auto& e : list.entries) {
        RC_ASSERT(e.index <= list.index);
        if (e.state == fernward::ServerState::Gone) {
          has[r].erase(e.machine);
        } else {
          has[r][e.machine] = {e.state, e.started_at};
        }
      }
      index[r] = list.index;
      // The accumulated changes equal the complete list.
      std::map<MachineId, std::pair<fernward::ServerState, double>> whole;
      for (const auto& e : discovery.list(r, std::nullopt).entries)
        whole[e.machine] = {e.state, e.started_at};
      RC_ASSERT(whole == has[r]);
    };
    double now = 0;
    for (const Deed& deed : *deeds(8)) {
      now += deed.wait * 50;
      discovery.advance(now);
      RC_ASSERT(discovery.next() > now);
      const auto machine = static_cast<MachineId>(deed.pick % 6);
      if (deed.what == 0) {
        truth[machine] = {fernward::ServerState::Ready, now};
        discovery.change(now, machine, fernward::ServerState::Ready, now, Discovery::Why::Added);
      } else if (deed.what == 1) {
        truth.erase(machine);
        discovery.change(now, machine, fernward::ServerState::Gone, 0, Discovery::Why::Silent);
      } else if (deed.what == 2 && truth.count(machine) > 0) {
        truth[machine].first = fernward::ServerState::Draining;
        discovery.change(now, machine, fernward::ServerState::Draining, truth[machine].second,
                         Discovery::Why::Left);
      } else if (deed.what == 3) {
        discovery.outage(now, deed.pick % 2 == 0);
      } else {
        read(static_cast<RouterId>(deed.pick % 2));
      }
    }
    discovery.outage(now, false);
    discovery.advance(now + 60000);
    for (const RouterId r : {0u, 1u}) {
      read(r);
      RC_ASSERT(has[r] == truth);
    }
  }));
}

TEST_CASE("an initial node holds requested objects up to its memory and a restarted one holds nothing") {
  Spec spec = plain_spec({Shape::Fixed, 1, 0});
  spec.origin.on = true;
  spec.origin.warm_hits = 0.8;
  spec.keys.count = 100;
  spec.keys.size = {Shape::Fixed, 100, 0};
  spec.kinds[0].memory_bytes = 1640; // room for ten objects
  const Plan plan = make_plan(spec);
  const Keys keys(spec);
  Repeats repeats;
  Node node({spec, keys, repeats}, plan.machines[0]);
  REQUIRE(keys.warm_ranks() > 12);
  AttemptId ids = 0;
  const auto ask = [&](std::uint64_t key) {
    Acts acts;
    Attempt a;
    a.id = ++ids;
    a.key = key;
    a.work_ms = 1;
    const auto at = static_cast<double>(10 * ids);
    node.arrive(at, a, acts);
    node.advance(at + 9, acts);
    return acts.back().ending;
  };
  CHECK(ask(keys.key(99, 0)) == Ending::Miss); // not requested before the run
  CHECK(ask(keys.key(99, 0)) == Ending::Pending);
  for (std::uint32_t rank = 0; rank < 10; ++rank) CHECK(ask(keys.key(rank, 0)) == Ending::Hit);
  CHECK(node.memory().objects() == 10);
  CHECK(ask(keys.key(11, 0)) == Ending::Miss); // the memory is full
  node.store(1000, keys.key(11, 0));
  CHECK(ask(keys.key(11, 0)) == Ending::Hit);
  CHECK(ask(keys.key(0, 0)) == Ending::Miss); // the least recently used object was evicted
  Acts acts;
  node.end(2000, acts);
  node.start(2000, acts);
  ids = 300;
  CHECK(ask(keys.key(1, 0)) == Ending::Miss);
}

TEST_CASE("pending fills and idempotency keys are removed after their time") {
  Aside aside(1000);
  Repeats repeats(1000), small(10);
  for (std::uint64_t i = 0; i < 5000; ++i) {
    const auto now = static_cast<double>(i);
    aside.missed(now, i + 1, 3);
    CHECK_FALSE(repeats.seen(now, 0, i + 1, 50));
    small.seen(now, 0, i + 1, 50);
    if (i % 10 == 0) {
      CHECK(repeats.seen(now + 0.5, 0, i + 1, 50));
      CHECK_FALSE(repeats.seen(now + 0.5, 1, i + 1, 50)); // another group has no entry of it
    }
  }
  CHECK(aside.size() <= 1001);
  CHECK(repeats.size() <= 60);
  CHECK(small.size() <= 10);
  CHECK(aside.fetched(5000, 4999).count == 1);
  CHECK(aside.fetched(5000, 4999).count == 0);
  CHECK(aside.fetched(5000, 100).count == 0);
}
