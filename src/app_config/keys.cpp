#include "app_config/keys.h"

#include <algorithm>
#include <array>

namespace fernward::app_config {
namespace {

using toml_document::each;
using toml_document::each_named;
using toml_document::maybe;
using toml_document::pick;
using toml_document::Table;
using toml_document::Unit;
using toml_document::Visitor;

constexpr std::array kRepeats{"safe", "keyed", "unsafe"};
constexpr std::array kScopes{"all", "zone", "cell"};
constexpr std::array kMethods{"any", "GET", "PUT"};
constexpr std::array kWeights{"off", "nominal", "rough", "live"};
constexpr std::array kFields{"inflight", "queue", "util", "latency_ms", "qps", "eps", "other"};
constexpr std::array kFormats{"text", "json"};

struct About {
  const char *what, *written, *list;
};
constexpr std::array<About, 4> kAbout{{{"zone", "a zone's name", "fleet.zones"},
                                       {"kind", "a kind's name", "fleet.kinds"},
                                       {"class", "a class's name", "classes"},
                                       {"tenant", "a tenant's name", "tenants"}}};
const About& about(Table table) { return kAbout.at(static_cast<std::size_t>(table)); }

void fleet(Visitor& v, FleetSetup& f) {
  v.enter("fleet", "the cache nodes, and where they are told");
  v.texts("zones", f.zones, "names of zones");
  each_named(v, "kinds", f.kinds, "a kind of node", [&](KindSetup& k) {
    v.amount("cores", k.cores, Unit::Number, "of such a node; 0: unknown");
    v.amount("speed", k.speed, Unit::Number, "of a core; work is counted on a core of speed 1");
    v.amount("memory_bytes", k.memory_bytes, Unit::Bytes, "for values; 0: unknown");
  });
  maybe(v, "zone", f.zone,
        [&](auto& z) { v.ref("zone", z, tables::kZones, false, "the router's own; its nodes go first"); });
  maybe(v, "ledger", f.ledger, [&](auto& k) {
    v.ref("ledger", k, tables::kKinds, false,
          "the kind that is asked where the others miss; without it nodes answer all");
  });
  v.text("discovery", f.discovery, false,
         "an address that tells the nodes and their changes, `10.2.0.1:8500`");
  v.text("file", f.file, false, "a file that tells them, in discovery's form; it is watched");
  each_named(v, "nodes", f.nodes, "a node, where neither of the two is given", [&](NodeSetup& n) {
    v.text("address", n.address, true, "`10.1.0.18:7070`");
    maybe(v, "zone", n.zone,
          [&](auto& z) { v.ref("zone", z, tables::kZones, false, "where it stands; without it the first"); });
    maybe(v, "kind", n.kind, [&](auto& k) {
      v.ref("kind", k, tables::kKinds, false, "what it is; without it the first but the ledger's");
    });
    v.amount("weight", n.weight, Unit::Number, "how much it can do beside the others");
  });
  v.amount("delay_ms", f.delay_ms, Unit::Time, "one way to the farthest node; checks use it");
  v.amount("warm_after_ms", f.warm_after_ms, Unit::Time, "a started node is cold for this long; 0: never");
  v.amount("start_capacity", f.start_capacity, Unit::Share, "of its capacity that a cold node has at least");
  v.amount("tip_after_ms", f.tip_after_ms, Unit::Time,
           "a cold node that is pushed over for this long falls over");
  v.choice("weights", f.weights, kWeights, false, "how far the list's weights can be trusted");
  v.leave();
}

void cls(Visitor& v, ClassSetup& c) {
  v.amount("aim_ms", c.aim_ms, Unit::Time, "an answer within this is worth the whole; 0: within give_up");
  v.amount("give_up_ms", c.give_up_ms, Unit::Time, "clients wait this long at most (needed)");
  v.amount("aim_stretch", c.aim_stretch, Unit::Number,
           "the aim grows by this many times the request's own work");
  v.amount("late_share", c.late_share, Unit::Share, "of the worth, for an answer after the aim");
  v.amount("worth", c.worth, Unit::Number, "beside other classes: the least worth is refused first");
  pick(v, "repeat", c.repeat, kRepeats,
       "may its effect be carried out again? `keyed`: with the same key, inside the window", true);
  pick(v, "scope", c.scope, kScopes, "keyed: the nodes that drop a repeat together");
  v.amount("window_ms", c.window_ms, Unit::Time, "keyed: for how long they do");
  maybe(v, "retries", c.retries, [&](auto& n) {
    v.count("retries", n, "further attempts of one request; without it attempts.most less one");
  });
  maybe(v, "retry_for_ms", c.retry_for_ms, [&](auto& t) {
    v.amount("retry_for_ms", t, Unit::Time,
             "keyed: none later than this after the first; without it the window");
  });
  v.flag("copies", c.copies, "a second copy may be out beside a late attempt");
  v.flag("write", c.write, "its requests are writes (PUT), which go to the ledger");
  v.amount("traffic", c.traffic, Unit::Share,
           "of the requests, relative to the other classes; checks use it");
}

} // namespace

std::optional<std::uint32_t> AppNames::find(Table table, const std::string& name) const {
  const auto all = known(table);
  const auto found = std::find(all.begin(), all.end(), name);
  if (found == all.end()) return std::nullopt;
  return static_cast<std::uint32_t>(found - all.begin());
}

std::vector<std::string> AppNames::known(Table table) const {
  const auto names = [](const auto& items) {
    std::vector<std::string> all;
    all.reserve(items.size());
    for (const auto& item : items) all.push_back(item.name);
    return all;
  };
  switch (table) {
    case tables::kZones: return app_.fleet.zones;
    case tables::kKinds: return names(app_.fleet.kinds);
    case tables::kClasses: return names(app_.classes);
    default: return names(app_.tenants);
  }
}

std::string AppNames::name(Table table, std::uint32_t index) const {
  const auto all = known(table);
  return index < all.size() ? all[index] : "";
}

const char* AppNames::what(Table table) const { return about(table).what; }
const char* AppNames::written(Table table) const { return about(table).written; }
const char* AppNames::list(Table table) const { return about(table).list; }

void describe(Visitor& v, App& a) {
  v.text("name", a.name, true, "of the application; it stands in the log");
  v.text("listen", a.listen, true, "where it asks: `127.0.0.1:7070`, or `unix:/run/app/router.sock`");
  v.seed("seed", a.seed, "of random draws; 0: drawn at the start");
  v.flag("make_ids", a.make_ids, "a request without X-Request-ID is given one, in place of 400");
  fleet(v, a.fleet);
  each_named(v, "classes", a.classes, "a class of requests, as X-Priority-Class names it",
             [&](ClassSetup& c) { cls(v, c); });
  each_named(v, "tenants", a.tenants, "who asks, as X-Tenant-Id names it", [&](TenantSetup& t) {
    v.amount("share", t.share, Unit::Share, "of the service");
    v.amount("quota_per_s", t.quota_per_s, Unit::Rate, "beyond it requests are worth less; 0: no quota");
  });
  each(v, "map", a.map,
       "what a request is that does not say so in its headers; the first entry that fits counts",
       [&](MapSetup& m) {
         v.text("path", m.path, true, "that its path begins with");
         pick(v, "method", m.method, kMethods, "its method");
         v.ref("cls", m.cls, tables::kClasses, true, "its class");
         maybe(v, "tenant", m.tenant,
               [&](auto& t) { v.ref("tenant", t, tables::kTenants, false, "its tenant"); });
         maybe(v, "timeout_ms", m.timeout_ms, [&](auto& t) {
           v.amount("timeout_ms", t, Unit::Time, "how long its client waits; without it the class's give_up");
         });
       });
  v.enter("attempts", "what the router may do for one request");
  v.count("most", a.attempts.most, "attempts, copies included");
  v.flag("cancel", a.attempts.cancel, "attempts that nobody waits for are given up");
  v.flag("copies", a.attempts.copies, "two may be out at once, where the class allows it");
  v.amount("retry_after_ms", a.attempts.retry_after_ms, Unit::Time,
           "the longest Retry-After that is told; 0: none is");
  v.amount("connect_ms", a.attempts.connect_ms, Unit::Time, "for a connection to come up");
  v.amount("idle_ms", a.attempts.idle_ms, Unit::Time, "nodes close a connection at rest after this");
  v.leave();
  v.enter("limits", "what the router may use");
  v.count("sockets", a.limits.sockets, "descriptors");
  v.count("memory_mb", a.limits.memory_mb, "memory", Unit::Mebibytes);
  maybe(v, "open", a.limits.open, [&](auto& n) {
    v.count("open", n, "requests at once; without it 20000, or as many as memory holds");
  });
  v.amount("grace_ms", a.limits.grace_ms, Unit::Time, "for an answer on its way, beyond the client's time");
  v.amount("answer_bytes", a.limits.answer_bytes, Unit::Bytes, "the longest answer that is passed on");
  v.amount("request_bytes", a.limits.request_bytes, Unit::Bytes, "the longest body of a request");
  v.text("body_folder", a.limits.body_folder, false,
         "for bodies beyond what memory keeps; none: they are passed on unkept");
  v.count("body_folder_size_mb", a.limits.body_folder_mb, "for all of them", Unit::Mebibytes);
  v.leave();
  v.enter("reports", "load reports that answers carry");
  v.choices("fields", a.reports.fields, kFields, "their fields, in order; none: there are no reports");
  v.leave();
  v.enter("tier", "the routers that ask the same nodes");
  v.count("routers", a.tier.routers, "how many there are, this one included");
  v.amount("over_share_worth", a.tier.over_share_worth, Unit::Share,
           "of its worth that a request beyond its tenant's quota has");
  v.amount("tick_ms", a.tier.tick_ms, Unit::Time, "decisions are made at most this often");
  v.leave();
  v.enter("resize", "when nodes come and go; needs a ledger");
  v.amount("settle_ms", a.resize.settle_ms, Unit::Time,
           "a node that came lately shares its keys with their former owners for this long; 0: off");
  v.amount("ledger_multiple", a.resize.ledger_multiple, Unit::Number,
           "meanwhile fetches stay below this times their steady rate; 0: no bound");
  v.amount("second_holder", a.resize.second_holder, Unit::Share,
           "of the reads, those of the most popular keys, that are kept at two nodes");
  v.leave();
  v.enter("log", "what is written to standard error");
  v.choice("format", a.log.format, kFormats, false, "key=value, or an object of JSON for each line");
  v.amount("rate_per_s", a.log.per_s, Unit::Rate, "lines");
  v.count("burst", a.log.burst, "lines that may be saved up");
  v.flag("connections", a.log.connections, "a line for each connection that ends");
  v.leave();
  v.enter("application", "the program beside a sidecar");
  v.texts("environment", a.application.environment, "further variables for it, `NAME=VALUE`");
  v.text("address_variable", a.application.address_variable, false,
         "the variable that tells it where to ask");
  v.text("runtime_folder", a.application.runtime_folder, false,
         "for claims of addresses; none: $XDG_RUNTIME_DIR, or /run/fernward, or /tmp");
  v.amount("ready_ms", a.application.ready_ms, Unit::Time, "for the router to be ready before it starts");
  v.amount("stop_ms", a.application.stop_ms, Unit::Time, "for it to end before it is killed");
  v.amount("restart_first_ms", a.application.restart_first_ms, Unit::Time,
           "a router that crashed is started again after this, and after twice as long each time");
  v.amount("restart_most_ms", a.application.restart_most_ms, Unit::Time, "but no longer than this");
  v.leave();
  v.enter("expect", "the load that is expected; checks use it, the router does not");
  v.amount("rate_per_s", a.expect.rate_per_s, Unit::Rate, "requests of all routers; 0: unknown");
  v.amount("work_ms", a.expect.work_ms, Unit::Time, "mean work of one on a core of speed 1");
  v.count("keys", a.expect.keys, "asked for at any one time; 0: unknown");
  v.amount("zipf", a.expect.zipf, Unit::Number, "how unevenly they are asked for");
  v.amount("size_bytes", a.expect.size_bytes, Unit::Bytes, "mean size of a value");
  v.amount("ledger_per_s", a.expect.ledger_per_s, Unit::Rate, "what the ledger can take");
  v.leave();
}

bool reload_takes(const std::string& key) {
  for (const char* part : {"fleet.discovery", "fleet.file", "fleet.nodes", "classes", "tenants", "map",
                           "make_ids", "attempts.most", "attempts.cancel", "attempts.copies",
                           "attempts.retry_after", "tier.over_share_worth", "log", "expect"}) {
    if (key == part || key.starts_with(std::string(part) + ".") || key.starts_with(std::string(part) + "["))
      return true;
  }
  return false;
}

const char* repeat_word(Idempotency repeat) { return kRepeats.at(static_cast<std::size_t>(repeat)); }
const char* scope_word(IdempotencyScope scope) { return kScopes.at(static_cast<std::size_t>(scope)); }
const char* method_word(Method method) { return kMethods.at(static_cast<std::size_t>(method)); }
const char* weight_word(std::size_t weights) { return kWeights.at(weights); }
const char* field_word(std::size_t field) { return kFields.at(field); }

} // namespace fernward::app_config
