#include "lab/storm/draw.h"

#include <algorithm>
#include <cmath>
#include <string>

#include "model/plan.h"
#include "model/rng.h"

namespace fernward::lab::storm {

using namespace fernward::model;

namespace {

// Allowance for the routers beyond the delays of discovery and the warm-up of nodes: their limits halve an
// estimate in 4 s, and an ejected node is tried again within about the same time.
constexpr double kGrantedMs = 8000;
constexpr double kTailMs = 8000; // observed after that
constexpr double kLeanTo = 0.75; // share of storms that begin with a rarely covered pair
constexpr int kLooks = 12;       // pairs considered for it

bool needs_zones(Kind k) { return k == Kind::CutZones || k == Kind::LostZone || k == Kind::SlowLink; }

class Drawing {
 public:
  Drawing(std::uint64_t seed, const Coverage& seen, const Size& size)
      : size_(size), engine_(stream(seed, "storm")) {
    spec_.seed = seed;
    spec_.name = "storm-" + std::to_string(seed);
    spec_.counted_by = CountedBy::Request;
    kinds(seen);
    fleet();
    load();
    settings();
    faults();
    finish();
  }
  Spec take() { return std::move(spec_); }

 private:
  double unit() { return draw_uniform(0, 1, engine_); }
  double between(double from, double to) { return draw_uniform(from, to, engine_); }
  bool chance(double share) { return unit() < share; }
  std::uint32_t whole(std::uint32_t from, std::uint32_t to) { // inclusive
    return std::min(to, from + static_cast<std::uint32_t>(unit() * (to - from + 1)));
  }
  Kind any_kind() { return static_cast<Kind>(whole(0, kKinds - 1)); }

  // ---- fault kinds ----

  void kinds(const Coverage& seen) {
    Kind a = any_kind(), b = any_kind();
    if (chance(kLeanTo)) {
      for (int i = 0; i < kLooks; ++i) {
        const Kind c = any_kind(), d = any_kind();
        if (c == d) continue;
        if (a == b || seen.pair(c, d) < seen.pair(a, b)) a = c, b = d;
      }
    }
    kinds_ = {a, b};
    const auto further = static_cast<std::uint32_t>(std::floor(6 * std::pow(unit(), 1.5)));
    for (std::uint32_t i = 0; i < further; ++i) kinds_.push_back(any_kind());
  }

  // ---- the fleet ----

  void fleet() {
    const double large = unit();
    const auto sized = [&](double least, double most, double u) {
      return static_cast<std::uint32_t>(
          std::lround(least * std::pow(std::max(1.0, most / least), std::pow(u, size_.skew))));
    };
    routers_ = std::max(3u, sized(3, size_.most_routers, large));
    nodes_ = std::max(6u, sized(6, size_.most_nodes, 0.6 * large + 0.4 * unit()));
    const bool apart = std::any_of(kinds_.begin(), kinds_.end(), &needs_zones);
    zones_ = std::max(apart ? 2u : 1u, std::min({whole(1, 5), routers_, nodes_}));
    for (std::uint32_t z = 0; z < zones_; ++z) {
      spec_.zones.push_back({"zone-" + std::to_string(z), between(0.5, 2)});
      spec_.routers.groups.push_back({z, routers_ / zones_ + (z < routers_ % zones_ ? 1 : 0)});
    }
    spec_.network.cross_ms = between(1, 25);
    spec_.network.jitter = between(0, 0.3);
    const std::uint32_t kinds = chance(0.3) ? 2 : 1;
    for (std::uint32_t k = 0; k < kinds; ++k) {
      NodeKind kind;
      kind.name = k == 0 ? "plain" : "fast";
      kind.cores = nodes_ > 40 ? 1 : whole(1, 3);
      kind.speed = k == 0 ? 1 : 1.5;
      kind.speed_cv = between(0, 0.2);
      kind.waiting = whole(6, 24);
      kind.tip_multiple = between(1.5, 4);
      kind.crowded_loss = chance(0.5) ? 0.08 : 0;
      kind.start_capacity = between(0.2, 0.6);
      kind.warm_ms = between(1000, 6000);
      kind.warm_by = chance(0.5) ? WarmBy::Time : WarmBy::Requests;
      kind.error_rate = chance(0.3) ? 0.001 : 0;
      kind.on_cancel = static_cast<OnCancel>(whole(0, 2));
      kind.drops_expired = chance(0.3);
      kind.report.period_ms = between(50, 400);
      kind.report.delay_ms = between(10, 800); // load reports are delayed
      kind.report.on = true;
      spec_.kinds.push_back(kind);
    }
    for (std::uint32_t z = 0; z < zones_; ++z) {
      const std::uint32_t here = nodes_ / zones_ + (z < nodes_ % zones_ ? 1 : 0);
      for (std::uint32_t k = 0; k < kinds; ++k) {
        NodeGroup g;
        g.name = spec_.kinds[k].name + "-" + std::to_string(z);
        g.kind = k;
        g.zone = z;
        g.count = k == 0 ? here - (kinds - 1) * (here / 3) : here / 3;
        g.cell_size = whole(1, 4);
        g.weight_error = between(0, 0.3);
        if (g.count > 0) spec_.nodes.push_back(g);
      }
    }
    for (std::uint32_t k = kinds; k-- > 1;) { // a small fleet may have no node of a kind
      if (std::none_of(spec_.nodes.begin(), spec_.nodes.end(),
                       [&](const NodeGroup& g) { return g.kind == k; })) {
        spec_.kinds.erase(spec_.kinds.begin() + k);
      }
    }
    nodes_ = 0;
    for (const NodeGroup& g : spec_.nodes) nodes_ += g.count;
  }

  // ---- the load ----

  void load() {
    double power = 0;
    for (const NodeGroup& g : spec_.nodes)
      power += g.count * spec_.kinds[g.kind].cores * spec_.kinds[g.kind].speed;
    const double used = between(0.15, 0.7);
    double work = between(40, 120);
    double rate = used * power / work * 1000;
    if (rate > size_.most_rate) {
      work *= rate / size_.most_rate;
      rate = size_.most_rate;
    }
    spec_.load.rate_per_s = std::max(10.0, std::round(rate));
    const double aim = std::max(between(500, 1500), 8 * work);
    const auto add = [&](const char* name, double share, Idempotency repeat, IdempotencyScope scope,
                         bool write, double worth) {
      ClassSpec c;
      c.name = name;
      c.share = share;
      c.work = {chance(0.5) ? Shape::Exponential : Shape::LogNormal, std::round(work * 10) / 10, 0.8};
      c.attempt_noise = between(0, 0.3);
      c.aim_ms = std::round(aim);
      c.give_up_ms = std::round(aim * between(1.5, 2.5));
      c.worth = worth;
      c.repeat = repeat;
      c.scope = scope;
      c.window_ms = std::round(between(400, 2000));
      c.write = write;
      spec_.classes.push_back(c);
    };
    add("read", 0.8, Idempotency::Idempotent, IdempotencyScope::All, false, 3);
    if (chance(0.8)) add("write", between(0.02, 0.08), Idempotency::WithKey, IdempotencyScope::All, true, 8);
    if (chance(0.4))
      add("cell", between(0.05, 0.2), Idempotency::WithKey,
          chance(0.5) ? IdempotencyScope::Cell : IdempotencyScope::Zone, false, 2);
    if (chance(0.4))
      add("once", between(0.02, 0.1), Idempotency::NonIdempotent, IdempotencyScope::All, chance(0.5), 4);
    if (chance(0.3))
      add("cheap", between(0.1, 0.3), Idempotency::Idempotent, IdempotencyScope::All, false, 1);
    const std::uint32_t tenants = chance(0.5) ? whole(2, 4) : 0;
    double left = 1;
    for (std::uint32_t t = 0; t < tenants; ++t) {
      const double share = t + 1 == tenants ? left : left * between(0.3, 0.6);
      left -= share;
      const double quota = chance(0.5) ? std::ceil(spec_.load.rate_per_s * share * between(1.3, 2)) : 0;
      spec_.tenants.push_back({"tenant-" + std::to_string(t), std::floor(share * 1000) / 1000, 1, quota});
    }
    KeySpec& keys = spec_.keys;
    keys.count = whole(300, 6000);
    keys.zipf = between(0.7, 1.1);
    keys.offset = between(0, 5);
    keys.size = {Shape::LogNormal, 4000, 0.8};
    const double all = keys.count * 4100.0;
    for (NodeKind& k : spec_.kinds) k.memory_bytes = std::ceil(all * between(1.5, 4) / nodes_) + 40000;
    OriginSpec& o = spec_.origin;
    o.zone = whole(0, zones_ - 1);
    o.warm_hits = between(0.85, 0.97);
    o.write_multiple = between(1, 2);
    double shares = 0, fetched = 0;
    for (const ClassSpec& c : spec_.classes) {
      shares += c.share;
      fetched += c.share * (c.write ? o.write_multiple : 1 - o.warm_hits);
    }
    const double asked = spec_.load.rate_per_s * fetched / shares;
    o.capacity_per_s = std::round(std::max(12.0, asked * between(1.4, 4)));
    o.time_ms = between(30, 110);
    o.time_cv = between(0, 0.8);
    o.queue_ms = between(300, 1500);
    o.crowded_loss = chance(0.5) ? between(0.05, 0.5) : 0;
    o.fall_multiple = chance(0.2) ? 2.5 : 0;
    o.down_ms = 2000;
    o.fall_ms = 1500;
    o.drops_expired = chance(0.3);
    ClientSpec& c = spec_.clients;
    c.retries = chance(0.2) ? 0 : between(0.3, 3);
    c.backoff = chance(0.5) ? Backoff::Fixed : Backoff::Exponential;
    c.backoff_ms = between(10, 300);
    c.heed = between(0, 1);
    c.try_share_min = between(0.4, 0.9);
    c.leave_share = chance(0.2) ? 0.02 : 0;
    c.keep_connections = chance(0.7);
  }

  void settings() {
    RouterSpec& r = spec_.routers;
    r.max_attempts = whole(2, 5);
    r.tick_ms = chance(0.5) ? 5 : between(1, 20);
    r.may_duplicate = chance(0.7);
    r.may_cancel = chance(0.8);
    r.retry_advice = chance(0.8);
    r.weight_kind = static_cast<WeightKind>(whole(0, 3));
    r.drain_grace_ms = between(100, 400);
    const auto shares = [](Kind k) {
      return k == Kind::CutRouters || k == Kind::LostDatagrams || k == Kind::LyingRouter;
    };
    r.sharing.on = chance(0.6) || std::any_of(kinds_.begin(), kinds_.end(), shares);
    r.sharing.period_ms = chance(0.7) ? 250 : std::round(between(150, 800));
    if (chance(0.3)) spec_.network.datagram_loss = between(0, 0.2);
    if (chance(0.5)) {
      r.resize.transition_ms = between(2000, 10000);
      r.resize.second_replica_share = chance(0.5) ? 0.3 : 0;
    }
    DiscoverySpec& d = spec_.discovery; // discovery delays are 0.2 to 1.5 times the defaults
    const double late = between(0.2, 1.5);
    for (double* t : {&d.add_min_ms, &d.add_max_ms, &d.notice_min_ms, &d.notice_max_ms, &d.silent_min_ms,
                      &d.silent_max_ms, &d.spread_ms}) {
      *t = std::round(*t * late);
    }
    spec_.front.notice_ms = between(300, 2500);
  }

  // ---- the faults ----

  // Picks nodes for a fault that a separate event undoes. No node is part of two such faults.
  std::vector<MachineId> part_of_free(double share) {
    std::vector<MachineId> some;
    if (free_.empty() && taken_ == 0) {
      for (MachineId m = 0; m < nodes_; ++m) free_.push_back(m);
    }
    const auto wanted = std::max<std::size_t>(1, static_cast<std::size_t>(share * nodes_));
    while (some.size() < wanted && !free_.empty() && taken_ + 1 < nodes_ * 6 / 10) {
      const std::size_t i =
          std::min(free_.size() - 1, static_cast<std::size_t>(unit() * static_cast<double>(free_.size())));
      some.push_back(free_[i]);
      free_.erase(free_.begin() + static_cast<std::ptrdiff_t>(i));
      ++taken_;
    }
    std::sort(some.begin(), some.end());
    return some;
  }
  double some_share() { return chance(0.15) ? 1 : between(0.05, 0.6); }
  NodePick some_nodes() {
    NodePick p;
    p.share = some_share();
    if (chance(0.2)) p.zone = spec_.nodes[whole(0, static_cast<std::uint32_t>(spec_.nodes.size()) - 1)].zone;
    return p;
  }
  std::vector<RouterId> some_of_them(double share) { // of the routers: at least one, but not all
    const std::uint32_t wanted = std::clamp(static_cast<std::uint32_t>(share * routers_), 1u, routers_ - 1);
    const std::uint32_t first = whole(0, routers_ - 1);
    std::vector<RouterId> some;
    for (std::uint32_t i = 0; i < wanted; ++i) some.push_back((first + i) % routers_);
    std::sort(some.begin(), some.end());
    return some;
  }
  RouterPick some_routers() {
    RouterPick p;
    p.share = some_share();
    return p;
  }

  void add(double at, Happening what) {
    const auto kind = kind_of(what);
    const std::string label = kind ? kKindNames[static_cast<std::size_t>(*kind)] : "back";
    spec_.events.push_back({std::round(at), label, std::move(what)});
  }

  // Picks at most the share `max_share` of the nodes that no other such fault has picked.
  template <typename Event>
  void begin_anew(double at, Event what, double most, double lasts) {
    what.who.nodes = part_of_free(between(0.05, most));
    what.after_ms = std::min(lasts, 4000.0);
    if (!what.who.nodes.empty()) add(at, what);
  }

  void fault(Kind kind, double at, double until) {
    at = std::round(at);
    until = std::round(until);
    const double lasts = until - at;
    switch (kind) {
      case Kind::KillRouters: {
        const double down = chance(0.1) && routers_ > 4 ? 0 : lasts;
        RouterPick who = some_routers();
        if (down == 0) who.share = between(0.05, 0.3); // they are not restarted
        return add(at, RestartRouters{who, RouterEnd::Kill, down, 0, 0});
      }
      case Kind::RestartRouters:
        return add(at, RestartRouters{some_routers(), RouterEnd::Term, std::max(200.0, lasts / 2), 0, 0});
      case Kind::UpgradeRouters: {
        RouterPick all;
        return add(at, RestartRouters{all, chance(0.2) ? RouterEnd::Kill : RouterEnd::Term, between(100, 800),
                                      std::max(1u, routers_ / 8), lasts});
      }
      case Kind::ReloadRouters: return add(at, ReloadRouters{some_routers()});
      case Kind::CutZones: {
        const std::uint32_t a = whole(0, zones_ - 1);
        CutZones cut;
        cut.until_ms = until;
        cut.a = {a};
        for (std::uint32_t z = 0; z < zones_; ++z) {
          if (z != a && (cut.b.empty() || chance(0.6))) cut.b.push_back(z);
        }
        return add(at, cut);
      }
      case Kind::CutNodes: return add(at, CutNodes{some_nodes(), some_routers(), until});
      case Kind::DiscoveryOutage: return add(at, DiscoveryOutage{until});
      case Kind::DiscoveryMove: return add(at, DiscoveryMove{between(0, 2000), lasts / routers_});
      case Kind::SlowNodes: {
        Neighbour n{some_nodes(), between(0.3, 0.9), until, 0, 0};
        if (chance(0.4)) n.on_ms = between(200, 2000), n.off_ms = between(200, 2000);
        return add(at, n);
      }
      case Kind::SilentNodes: return add(at, SilentNodes{some_nodes(), until});
      // Only nodes that are not replaced elsewhere, as a replaced machine does not return.
      case Kind::ColdNodes: return begin_anew(at, RestartNodes{}, 0.6, lasts);
      case Kind::ReplacedNodes: return begin_anew(at, ReplaceNodes{}, 0.3, lasts);
      case Kind::DrainedNodes: {
        DrainNodes d;
        d.who.nodes = part_of_free(between(0.05, 0.35));
        d.drain_ms = between(300, 4000);
        d.over_ms = chance(0.5) ? lasts / 2 : 0;
        if (d.who.nodes.empty()) return;
        StartNodes back{d.who};
        const double again = at + d.over_ms + d.drain_ms + std::max(500.0, lasts / 2);
        add(at, d);
        return add(again, back);
      }
      case Kind::KilledNodes: {
        KillNodes k;
        k.who.nodes = part_of_free(between(0.05, 0.35));
        if (k.who.nodes.empty()) return;
        StartNodes back{k.who};
        add(at, k);
        return add(until, back);
      }
      case Kind::BadAnswers:
        return add(at,
                   BadAnswers{some_nodes(), between(0.05, 0.9), until, static_cast<BadAnswer>(whole(0, 7))});
      case Kind::OriginStall: return add(at, OriginStall{until});
      case Kind::OriginSlow: return add(at, OriginSlow{between(0.1, 0.8), until});
      case Kind::OriginFall: return add(at, OriginFall{lasts});
      case Kind::LostZone: return add(at, LostZone{whole(0, zones_ - 1), until, chance(0.8)});
      case Kind::SlowLink: {
        const std::uint32_t from = whole(0, zones_ - 1);
        return add(at, SlowLink{from, (from + 1) % zones_, between(2, 20), until});
      }
      case Kind::LoadSpike: return add(at, LoadSpike{between(1.2, 3), until});
      case Kind::HotKey: return add(at, HotKey{between(0.05, 0.4), until});
      case Kind::CutRouters: {
        CutRouters cut;
        cut.a.routers = some_of_them(between(0.1, 0.6));
        cut.carries = chance(0.3) ? CutWhat::All : CutWhat::Datagrams;
        cut.one_way = cut.carries == CutWhat::Datagrams && chance(0.4); // connections can't be cut one way
        cut.until_ms = until;
        return add(at, cut);
      }
      case Kind::LostDatagrams:
        return add(at, LoseDatagrams{some_routers(), between(0.1, 1), chance(0.3) ? 0.3 : 0, until});
      case Kind::PausedRouters: return add(at, PauseRouters{some_routers(), until});
      case Kind::LyingRouter: {
        LyingRouter liar;
        liar.who.count = 1;
        liar.demand = chance(0.5) ? Claim::Most : Claim::Least;
        liar.limit = chance(0.5) ? Claim::Most : Claim::Least;
        liar.of_others = chance(0.5);
        liar.accuses = chance(0.5);
        liar.until_ms = until;
        return add(at, liar);
      }
      case Kind::Count: return;
    }
  }

  void faults() {
    const double part = size_.whole ? 1 : 0.5;
    // The first two faults overlap.
    const double together = size_.calm_ms + between(0.2, 0.7) * size_.faults_ms;
    for (std::size_t i = 0; i < kinds_.size(); ++i) {
      double at = i < 2 ? together - between(0, 0.2) * size_.faults_ms
                        : size_.calm_ms + between(0, 1) * size_.faults_ms;
      double lasts = part * std::clamp(draw_exponential(3000, engine_), 400.0, 9000.0);
      if (i < 2) lasts += together - at;
      fault(kinds_[i], at, at + lasts);
    }
    std::stable_sort(spec_.events.begin(), spec_.events.end(),
                     [](const TimedEvent& a, const TimedEvent& b) { return a.at_ms < b.at_ms; });
  }

  void finish() {
    // Permanent faults have no end, so they do not count.
    double last = 0;
    spec_.duration_ms = 1e6;
    for (const Span& s : spans_of(spec_)) {
      if (s.to_ms < 1e6) last = std::max(last, s.to_ms);
    }
    // Events without targets are removed.
    auto idle = make_plan(spec_).idle;
    std::sort(idle.rbegin(), idle.rend());
    idle.erase(std::unique(idle.begin(), idle.end()), idle.end());
    for (const std::uint32_t i : idle) spec_.events.erase(spec_.events.begin() + i);
    const double refill = size_.whole ? between(2000, 8000) : 0;
    spec_.duration_ms = std::ceil((last + settle_ms(spec_) + refill + kTailMs) / 100) * 100;
  }

  const Size size_;
  Engine engine_;
  Spec spec_;
  std::vector<Kind> kinds_;
  std::uint32_t routers_ = 0, nodes_ = 0, zones_ = 0;
  std::vector<MachineId> free_;
  std::size_t taken_ = 0;
};

} // namespace

Spec draw(std::uint64_t seed, const Coverage& seen, const Size& size) {
  return Drawing(seed, seen, size).take();
}

double settle_ms(const Spec& spec) {
  double warm = 0;
  for (const NodeKind& k : spec.kinds) warm = std::max(warm, k.warm_ms);
  const DiscoverySpec& d = spec.discovery;
  return d.add_max_ms + d.period_ms + d.spread_ms + warm + kGrantedMs;
}

} // namespace fernward::lab::storm
