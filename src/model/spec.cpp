#include "model/spec.h"

#include <cmath>
#include <type_traits>

#include "model/keys.h"

namespace fernward::model {
namespace {

class Checker {
 public:
  explicit Checker(const Spec& spec) : spec_(spec) {}

  std::vector<Fault> all() {
    positive("duration_ms", spec_.duration_ms);
    some("zones", spec_.zones.size());
    for (std::size_t i = 0; i < spec_.zones.size(); ++i) {
      amount(at("zones", i, "client_share"), spec_.zones[i].client_share);
    }
    network();
    some("kinds", spec_.kinds.size());
    for (std::size_t i = 0; i < spec_.kinds.size(); ++i) kind(i, spec_.kinds[i]);
    some("nodes", spec_.nodes.size());
    std::uint64_t nodes = 0;
    for (std::size_t i = 0; i < spec_.nodes.size(); ++i) {
      const NodeGroup& g = spec_.nodes[i];
      below(at("nodes", i, "kind"), g.kind, spec_.kinds.size(), "kind of node");
      zone(at("nodes", i, "zone"), g.zone);
      share(at("nodes", i, "weight_error"), g.weight_error, 0.9);
      nodes += g.count;
    }
    if (!spec_.nodes.empty() && nodes == 0)
      fault("nodes", "no node is in service at the start; at least one group needs a count above 0");
    if (spec_.origin.on) origin();
    routers();
    rest();
    load();
    for (std::size_t i = 0; i < spec_.events.size(); ++i) event(i, spec_.events[i]);
    holds();
    return std::move(faults_);
  }

 private:
  static std::string at(const char* table, std::size_t i, const char* member) {
    return std::string(table) + "[" + std::to_string(i) + "]." + member;
  }
  void fault(std::string path, std::string why) { faults_.push_back({std::move(path), std::move(why)}); }
  void amount(const std::string& path, double v) {
    if (!std::isfinite(v) || v < 0) fault(path, "must be 0 or more");
  }
  void positive(const std::string& path, double v) {
    if (!std::isfinite(v) || v <= 0) fault(path, "must be above 0");
  }
  void share(const std::string& path, double v, double most = 1) {
    if (!(v >= 0 && v <= most)) {
      fault(path, most == 1 ? "must be a share from 0 to 1" : "must be from 0 to 0.9");
    }
  }
  void some(const std::string& path, std::size_t count) {
    if (count == 0) fault(path, "there is none");
  }
  void below(const std::string& path, std::size_t index, std::size_t size, const char* what) {
    if (index >= size) fault(path, std::string("there is no such ") + what);
  }
  void zone(const std::string& path, std::size_t index) { below(path, index, spec_.zones.size(), "zone"); }
  void ordered(const std::string& path, double least, double most) {
    amount(path, least);
    if (!(least <= most)) fault(path, "the minimum is above the maximum");
  }
  void spread(const std::string& path, const Spread& s) {
    positive(path + ".mean", s.mean);
    if (s.shape == Shape::LogNormal) amount(path + ".cv", s.cv);
  }

  void network() {
    const NetworkSpec& n = spec_.network;
    amount("network.same_ms", n.same_ms);
    amount("network.cross_ms", n.cross_ms);
    amount("network.client_ms", n.client_ms);
    amount("network.jitter", n.jitter);
    share("network.datagram_loss", n.datagram_loss);
    share("network.datagram_twice", n.datagram_twice);
    ordered("network.datagram_min_ms", n.datagram_min_ms, n.datagram_max_ms);
    for (std::size_t i = 0; i < n.links.size(); ++i) {
      zone(at("network.links", i, "from"), n.links[i].from);
      zone(at("network.links", i, "to"), n.links[i].to);
      amount(at("network.links", i, "delay_ms"), n.links[i].delay_ms);
    }
  }

  void report(const std::string& path, const ReportSpec& r) {
    if (!r.on) return;
    positive(path + ".period_ms", r.period_ms);
    amount(path + ".delay_ms", r.delay_ms);
    share(path + ".noise", r.noise);
    if (r.fields.empty()) fault(path + ".fields", "the report has no fields; expected 1 to 4");
    if (r.fields.size() > 4) fault(path + ".fields", "the report has more than 4 fields");
  }

  void kind(std::size_t i, const NodeKind& k) {
    const auto path = [&](const char* member) { return at("kinds", i, member); };
    positive(path("cores"), k.cores);
    positive(path("speed"), k.speed);
    amount(path("speed_cv"), k.speed_cv);
    if (k.places == 0) fault(path("places"), "must be above 0");
    amount(path("crowded_at"), k.crowded_at);
    amount(path("crowded_loss"), k.crowded_loss);
    amount(path("memory_bytes"), k.memory_bytes);
    amount(path("expire_ms"), k.expire_ms);
    amount(path("object_overhead_bytes"), k.object_overhead_bytes);
    amount(path("lease_ms"), k.lease_ms);
    positive(path("hit_share_of_work"), k.hit_share_of_work);
    amount(path("miss_share_of_work"), k.miss_share_of_work);
    share(path("start_capacity"), k.start_capacity);
    if (k.warm_ms > 0 && k.start_capacity <= 0) fault(path("start_capacity"), "must be above 0");
    amount(path("warm_ms"), k.warm_ms);
    amount(path("tip_ms"), k.tip_ms);
    if (k.tip_ms > 0) positive(path("tip_multiple"), k.tip_multiple);
    share(path("error_rate"), k.error_rate);
    amount(path("pause_every_ms"), k.pause_every_ms);
    amount(path("pause_ms"), k.pause_ms);
    if (k.connections == 0) fault(path("connections"), "must be above 0");
    share(path("full_table_loss"), k.full_table_loss, 0.9);
    amount(path("handshake_ms"), k.handshake_ms);
    amount(path("handshake_trips"), k.handshake_trips);
    positive(path("idle_ms"), k.idle_ms);
    report(path("report"), k.report);
    // The routers' settings have one list of fields for all kinds.
    if (k.report.on != spec_.kinds.front().report.on ||
        k.report.fields != spec_.kinds.front().report.fields) {
      fault(path("report.fields"), "all kinds must report the same fields");
    }
  }

  void origin() {
    const OriginSpec& o = spec_.origin;
    zone("origin.zone", o.zone);
    positive("origin.capacity_per_s", o.capacity_per_s);
    positive("origin.time_ms", o.time_ms);
    amount("origin.time_cv", o.time_cv);
    positive("origin.write_multiple", o.write_multiple);
    amount("origin.queue_ms", o.queue_ms);
    share("origin.crowded_at", o.crowded_at, 0.9);
    amount("origin.crowded_loss", o.crowded_loss);
    amount("origin.fall_multiple", o.fall_multiple);
    if (o.fall_multiple > 0) positive("origin.fall_ms", o.fall_ms);
    amount("origin.down_ms", o.down_ms);
    amount("origin.handshake_trips", o.handshake_trips);
    positive("origin.idle_ms", o.idle_ms);
    share("origin.error_rate", o.error_rate);
    share("origin.warm_hits", o.warm_hits);
    report("origin.report", o.report);
  }

  void routers() {
    const RouterSpec& r = spec_.routers;
    std::uint64_t count = 0;
    for (std::size_t i = 0; i < r.groups.size(); ++i) {
      zone(at("routers.groups", i, "zone"), r.groups[i].zone);
      count += r.groups[i].count;
    }
    if (count == 0) fault("routers.groups", "there is no router");
    if (count > 65536) fault("routers.groups", "more than 65536 routers");
    if (r.sockets < 64) fault("routers.sockets", "must be 64 or more");
    if (r.memory_mb < 8) fault("routers.memory_mb", "must be 8 or more");
    positive("routers.cores", r.cores);
    amount("routers.max_retry_after_ms", r.max_retry_after_ms);
    if (r.max_attempts == 0) fault("routers.max_attempts", "must be above 0");
    amount("routers.tick_ms", r.tick_ms);
    positive("routers.connect_timeout_ms", r.connect_timeout_ms);
    positive("routers.conn_idle_ms", r.conn_idle_ms);
    if (r.open_cap == 0) fault("routers.open_cap", "must be above 0");
    amount("routers.grace_to_answer_ms", r.grace_to_answer_ms);
    amount("routers.drain_grace_ms", r.drain_grace_ms);
    share("routers.over_share_worth", r.over_share_worth);
    const SharingSpec& s = r.sharing;
    if (!(s.period_ms >= 50 && s.period_ms <= 5000))
      fault("routers.sharing.period_ms", "must be from 50 ms to 5 s");
    if (s.asked > 8) fault("routers.sharing.asked", "must be 8 or less");
  }

  void congestion(const CongestionSpec& c) {
    amount("discovery.congestion.answers_per_second", c.answers_per_second);
    amount("discovery.congestion.bytes_per_second", c.bytes_per_second);
    amount("discovery.congestion.piece_size_bytes", c.piece_size_bytes);
    amount("discovery.congestion.piece_interval_ms", c.piece_interval_ms);
    share("discovery.congestion.refused_share", c.refused_share);
    share("discovery.congestion.silent_share", c.silent_share);
    if (c.piece_interval_ms > 0 && c.piece_size_bytes == 0) {
      fault("discovery.congestion.piece_interval_ms", "has no effect without piece_size");
    }
  }

  void rest() {
    amount("front.notice_ms", spec_.front.notice_ms);
    positive("front.ready_every_ms", spec_.front.ready_every_ms);
    const DiscoverySpec& d = spec_.discovery;
    ordered("discovery.add_min_ms", d.add_min_ms, d.add_max_ms);
    ordered("discovery.notice_min_ms", d.notice_min_ms, d.notice_max_ms);
    ordered("discovery.silent_min_ms", d.silent_min_ms, d.silent_max_ms);
    amount("discovery.period_ms", d.period_ms);
    amount("discovery.spread_ms", d.spread_ms);
    positive("discovery.at_latest_ms", d.at_latest_ms);
    positive("discovery.reload_at_latest_ms", d.reload_at_latest_ms);
    congestion(d.congestion);
    const ClientSpec& c = spec_.clients;
    amount("clients.retries", c.retries);
    if (c.retries > 14) fault("clients.retries", "must be 14 or less");
    amount("clients.backoff_ms", c.backoff_ms);
    share("clients.heed", c.heed);
    ordered("clients.try_share_min", c.try_share_min, c.try_share_max);
    positive("clients.try_share_min", c.try_share_min);
    share("clients.try_share_max", c.try_share_max);
    share("clients.leave_share", c.leave_share);
  }

  void load() {
    some("classes", spec_.classes.size());
    double sum = 0;
    for (std::size_t i = 0; i < spec_.classes.size(); ++i) {
      const ClassSpec& c = spec_.classes[i];
      const auto path = [&](const char* member) { return at("classes", i, member); };
      amount(path("share"), c.share);
      sum += c.share;
      spread(path("work"), c.work);
      amount(path("attempt_noise"), c.attempt_noise);
      positive(path("give_up_ms"), c.give_up_ms);
      amount(path("aim_ms"), c.aim_ms);
      if (c.aim_ms > c.give_up_ms) fault(path("aim_ms"), "is above give_up_ms");
      amount(path("aim_stretch"), c.aim_stretch);
      share(path("late_share"), c.late_share);
      amount(path("worth"), c.worth);
      if (c.repeat == Idempotency::WithKey) positive(path("window_ms"), c.window_ms);
    }
    if (!spec_.classes.empty() && !(sum > 0))
      fault("classes", "the shares of all classes are 0; at least one must be above 0");
    double usage = 0;
    for (std::size_t i = 0; i < spec_.tenants.size(); ++i) {
      const TenantSpec& t = spec_.tenants[i];
      share(at("tenants", i, "share"), t.share);
      amount(at("tenants", i, "usage"), t.usage);
      amount(at("tenants", i, "quota_per_s"), t.quota_per_s);
      usage += t.share * t.usage;
    }
    if (!spec_.tenants.empty() && !(usage > 0))
      fault("tenants", "no tenant sends any requests; one needs a share and a usage above 0");
    const KeySpec& k = spec_.keys;
    if (k.count == 0 || k.count > kMostKeys) fault("keys.count", "must be from 1 to 4194304");
    amount("keys.zipf", k.zipf);
    amount("keys.offset", k.offset);
    amount("keys.drift_per_s", k.drift_per_s);
    amount("keys.changes_per_s", k.changes_per_s);
    spread("keys.size", k.size);
    const LoadSpec& l = spec_.load;
    positive("load.rate_per_s", l.rate_per_s);
    if (l.shape == LoadShape::Ramp) positive("load.ramp_to", l.ramp_to);
    if (l.shape == LoadShape::Day) {
      share("load.swing", l.swing);
      positive("load.period_ms", l.period_ms);
    }
  }

  // ---- events ----

  struct EventPath {
    Checker& checker;
    std::size_t i;
    std::string operator()(const char* member) const { return at("events", i, member); }
  };

  void picks(const EventPath& path, const NodePick& who, const char* member = "who") {
    std::size_t nodes = 0;
    for (const NodeGroup& g : spec_.nodes) nodes += g.count + g.standby;
    const std::string at = path(member);
    for (const MachineId id : who.nodes) below(at + ".nodes", id, nodes, "node");
    if (who.group) below(at + ".group", *who.group, spec_.nodes.size(), "group");
    if (who.zone) zone(at + ".zone", *who.zone);
    if (who.kind) below(at + ".kind", *who.kind, spec_.kinds.size(), "kind of node");
    share(at + ".share", who.share);
  }
  void picks(const EventPath& path, const RouterPick& who, const char* member = "who") {
    std::size_t routers = 0;
    for (const RouterGroup& g : spec_.routers.groups) routers += g.count;
    const std::string at = path(member);
    for (const RouterId id : who.routers) below(at + ".routers", id, routers, "router");
    if (who.zone) zone(at + ".zone", *who.zone);
    share(at + ".share", who.share);
  }

  void need_sharing(const std::string& path) {
    if (!spec_.routers.sharing.on)
      fault(path, "no datagram passes between routers while routers.sharing.on is false");
  }

  void event(std::size_t i, const TimedEvent& e) {
    const EventPath path{*this, i};
    amount(path("at_ms"), e.at_ms);
    if (e.at_ms >= spec_.duration_ms) fault(path("at_ms"), "is past the end of the scenario");
    std::visit(
        [&](const auto& what) {
          using T = std::decay_t<decltype(what)>;
          if constexpr (requires { what.until_ms; }) {
            if (what.until_ms != 0 && !(what.until_ms > e.at_ms))
              fault(path("until_ms"), "is not after its begin");
            if (what.until_ms > spec_.duration_ms) fault(path("until_ms"), "is past the end of the scenario");
          }
          if constexpr (requires { what.who; }) picks(path, what.who);
          if constexpr (requires { what.share; }) share(path("share"), what.share);
          if constexpr (requires { what.factor; }) amount(path("factor"), what.factor);
          if constexpr (requires { what.down_ms; }) amount(path("down_ms"), what.down_ms);
          if constexpr (requires { what.over_ms; }) amount(path("over_ms"), what.over_ms);
          if constexpr (requires { what.after_ms; }) amount(path("after_ms"), what.after_ms);
          if constexpr (std::is_same_v<T, Neighbour>) {
            amount(path("on_ms"), what.on_ms);
            amount(path("off_ms"), what.off_ms);
          } else if constexpr (std::is_same_v<T, DrainNodes>) {
            amount(path("drain_ms"), what.drain_ms);
          } else if constexpr (std::is_same_v<T, CutZones>) {
            for (const std::uint32_t z : what.a) zone(path("a"), z);
            for (const std::uint32_t z : what.b) zone(path("b"), z);
            if (what.a.empty()) fault(path("a"), "there is none");
            if (what.b.empty()) fault(path("b"), "there is none");
          } else if constexpr (std::is_same_v<T, CutNodes>) {
            picks(path, what.nodes, "nodes");
            picks(path, what.routers, "routers");
          } else if constexpr (std::is_same_v<T, CutRouters>) {
            picks(path, what.a, "a");
            picks(path, what.b, "b");
            if (what.carries == CutWhat::Datagrams) need_sharing(path("carries"));
            // If one direction of a connection fails, the other direction gets no responses either.
            if (what.carries == CutWhat::All && what.one_way)
              fault(path("one_way"),
                    "must be false when the event carries all messages: a cut connection is cut both ways");
          } else if constexpr (std::is_same_v<T, LoseDatagrams>) {
            share(path("twice"), what.twice);
            need_sharing(path("what"));
          } else if constexpr (std::is_same_v<T, LyingRouter>) {
            need_sharing(path("what"));
          } else if constexpr (std::is_same_v<T, DiscoveryMove>) {
            amount(path("old_stays_ms"), what.old_stays_ms);
            amount(path("reload_after_ms"), what.reload_after_ms);
          } else if constexpr (std::is_same_v<T, LostZone>) {
            zone(path("zone"), what.zone);
          } else if constexpr (std::is_same_v<T, SlowLink>) {
            zone(path("from"), what.from);
            zone(path("to"), what.to);
          } else if constexpr (std::is_same_v<T, OriginStall> || std::is_same_v<T, OriginSlow> ||
                               std::is_same_v<T, OriginFall>) {
            if (!spec_.origin.on) fault(path("what"), "there is no origin");
          }
        },
        e.what);
  }

  void holds() {
    const Holds& h = spec_.holds;
    for (std::size_t i = 0; i < h.bounds.size(); ++i) {
      const Bound& b = h.bounds[i];
      const auto path = [&](const char* member) { return at("holds.bounds", i, member); };
      if (!b.at_least && !b.at_most) fault(path("at_least"), "neither at_least nor at_most is given");
      if (b.cls) {
        below(path("cls"), *b.cls, spec_.classes.size(), "class");
        if (*b.cls < spec_.classes.size() && !(spec_.classes[*b.cls].share > 0)) {
          fault(path("cls"), "no client sends this class");
        }
      }
      if (b.tenant) below(path("tenant"), *b.tenant, spec_.tenants.size(), "tenant");
      amount(path("from_ms"), b.from_ms);
      if (b.from_ms >= spec_.duration_ms) fault(path("from_ms"), "is past the end of the scenario");
      if (b.to_ms != 0 && !(b.to_ms > b.from_ms)) fault(path("to_ms"), "is not after from_ms");
      share(path("quantile"), b.quantile);
      positive(path("window_ms"), b.window_ms);
    }
    for (const double w :
         {h.whole_weight, h.worst_window_weight, h.worst_class_weight, h.worst_tenant_weight}) {
      if (!(w >= 0)) fault("holds.whole_weight", "the score's weights must be 0 or more");
    }
  }

  const Spec& spec_;
  std::vector<Fault> faults_;
};

} // namespace

std::vector<Fault> faults(const Spec& spec) { return Checker(spec).all(); }

} // namespace fernward::model
