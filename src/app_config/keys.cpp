#include "app_config/keys.h"

#include <algorithm>
#include <array>

namespace fernward::app_config {
namespace {

using toml_document::each_item;
using toml_document::each_named_item;
using toml_document::enum_choice;
using toml_document::optional_member;
using toml_document::Table;
using toml_document::Unit;
using toml_document::Visitor;

constexpr std::array kIdempotencyNames{"safe", "keyed", "unsafe"};
constexpr std::array kIdempotencyScopeNames{"all", "zone", "cell"};
constexpr std::array kMethodNames{"any", "GET", "PUT"};
constexpr std::array kWeightKindNames{"off", "nominal", "rough", "live"};
constexpr std::array kLoadReportFieldNames{"inflight", "queue", "util", "latency_ms", "qps", "eps", "other"};
constexpr std::array kLogFormatNames{"text", "json"};

struct TableTexts {
  const char *item_noun, *reference_text, *defining_member;
};
constexpr std::array<TableTexts, 4> kTableTexts{{{"zone", "a zone's name", "fleet.zones"},
                                                 {"kind", "a kind's name", "fleet.kinds"},
                                                 {"class", "a class's name", "classes"},
                                                 {"tenant", "a tenant's name", "tenants"}}};
const TableTexts& table_texts(Table table) { return kTableTexts.at(static_cast<std::size_t>(table)); }

void describe_fleet(Visitor& visitor, UpstreamFleetConfig& fleet_config) {
  visitor.enter("fleet", "the cache nodes, and the source of their list");
  visitor.texts("zones", fleet_config.zones, "names of zones");
  each_named_item(visitor, "kinds", fleet_config.kinds, "a kind of node", [&](NodeKindConfig& kind) {
    visitor.amount("cores", kind.cores, Unit::Number, "of a node of this kind; 0: unknown");
    visitor.amount("speed", kind.core_speed, Unit::Number,
                   "of a core; work is measured on a core of speed 1");
    visitor.amount("memory_bytes", kind.memory_bytes, Unit::Bytes, "for cached values; 0: unknown");
  });
  optional_member(visitor, "zone", fleet_config.own_zone, [&](auto& z) {
    visitor.ref("zone", z, tables::kZones, false, "the router's own; its nodes are preferred");
  });
  optional_member(visitor, "ledger", fleet_config.origin_kind, [&](auto& k) {
    visitor.ref("ledger", k, tables::kKinds, false,
                "the kind that serves cache misses and writes; without it nodes serve all requests");
  });
  visitor.text("discovery", fleet_config.discovery_address, false,
               "the address of the discovery service, `10.2.0.1:8500`");
  visitor.text("file", fleet_config.nodes_file, false,
               "a file with the node list, in discovery's format; it is watched");
  each_named_item(
      visitor, "nodes", fleet_config.nodes, "a node, if neither of the two is given", [&](NodeConfig& node) {
        visitor.text("address", node.address, true, "`10.1.0.18:7070`");
        optional_member(visitor, "zone", node.zone, [&](auto& z) {
          visitor.ref("zone", z, tables::kZones, false, "its zone; default: the first");
        });
        optional_member(visitor, "kind", node.kind, [&](auto& k) {
          visitor.ref("kind", k, tables::kKinds, false, "its kind; default: the first except the ledger's");
        });
        visitor.amount("weight", node.weight, Unit::Number, "its capacity relative to the others");
      });
  visitor.amount("delay_ms", fleet_config.max_one_way_delay_ms, Unit::Time,
                 "one-way delay to the farthest node; used by checks");
  visitor.amount("warm_after_ms", fleet_config.slow_start_ms, Unit::Time,
                 "a started node is in slow start for this long; 0: never");
  visitor.amount("start_capacity", fleet_config.slow_start_min_capacity, Unit::Share,
                 "minimum share of its capacity that a node has in slow start");
  visitor.amount("tip_after_ms", fleet_config.overload_failure_ms, Unit::Time,
                 "a node in slow start fails if it is overloaded for this long");
  visitor.choice("weights", fleet_config.weight_kind, kWeightKindNames, false,
                 "how reliable the weights of the list are");
  visitor.leave();
}

void describe_class(Visitor& visitor, ClassConfig& request_class) {
  visitor.amount("aim_ms", request_class.latency_objective_ms, Unit::Time,
                 "latency objective: a response within it has its full value; 0: give_up");
  visitor.amount("give_up_ms", request_class.client_timeout_ms, Unit::Time, "client timeout (needed)");
  visitor.amount("aim_stretch", request_class.objective_work_factor, Unit::Number,
                 "the aim grows by this multiple of the request's own work");
  visitor.amount("late_share", request_class.late_response_value_share, Unit::Share,
                 "share of the value of a response after the aim");
  visitor.amount("worth", request_class.priority_weight, Unit::Number,
                 "priority weight relative to other classes; the lowest is rejected first");
  enum_choice(visitor, "repeat", request_class.idempotency, kIdempotencyNames,
              "whether it may be executed again; `keyed`: with the same key, within the window", true);
  enum_choice(visitor, "scope", request_class.idempotency_scope, kIdempotencyScopeNames,
              "keyed: the nodes that drop duplicates together");
  visitor.amount("window_ms", request_class.idempotency_window_ms, Unit::Time,
                 "keyed: how long they drop duplicates");
  optional_member(visitor, "retries", request_class.max_retries, [&](auto& n) {
    visitor.count("retries", n, "retries of one request; default: attempts.most less one");
  });
  optional_member(visitor, "retry_for_ms", request_class.retry_window_ms, [&](auto& t) {
    visitor.amount("retry_for_ms", t, Unit::Time,
                   "keyed: no retry later than this after the first attempt; default: the window");
  });
  visitor.flag("copies", request_class.may_hedge, "a slow attempt may be hedged");
  visitor.flag("write", request_class.is_write, "its requests are writes (PUT), which go to the ledger");
  visitor.amount("traffic", request_class.traffic_share, Unit::Share,
                 "share of requests, relative to the other classes; used by checks");
}

} // namespace

std::optional<std::uint32_t> AppConfigNames::find(Table table, const std::string& name) const {
  const auto names = known_names(table);
  const auto found = std::find(names.begin(), names.end(), name);
  if (found == names.end()) return std::nullopt;
  return static_cast<std::uint32_t>(found - names.begin());
}

std::vector<std::string> AppConfigNames::known_names(Table table) const {
  const auto names_of = [](const auto& items) {
    std::vector<std::string> result;
    result.reserve(items.size());
    for (const auto& item : items) result.push_back(item.name);
    return result;
  };
  switch (table) {
    case tables::kZones: return app_.fleet.zones;
    case tables::kKinds: return names_of(app_.fleet.kinds);
    case tables::kClasses: return names_of(app_.classes);
    default: return names_of(app_.tenants);
  }
}

std::string AppConfigNames::name(Table table, std::uint32_t index) const {
  const auto names = known_names(table);
  return index < names.size() ? names[index] : "";
}

const char* AppConfigNames::item_noun(Table table) const { return table_texts(table).item_noun; }
const char* AppConfigNames::reference_text(Table table) const { return table_texts(table).reference_text; }
const char* AppConfigNames::defining_member(Table table) const { return table_texts(table).defining_member; }

void describe(Visitor& visitor, AppConfig& app) {
  visitor.text("name", app.name, true, "of the application; used in the log");
  visitor.text("listen", app.listen_address, true,
               "listen address: `127.0.0.1:7070`, or `unix:/run/app/router.sock`");
  visitor.seed("seed", app.seed, "of random draws; 0: drawn at startup");
  visitor.flag("make_ids", app.generate_request_ids,
               "a request without X-Request-ID gets one instead of status 400");
  describe_fleet(visitor, app.fleet);
  each_named_item(visitor, "classes", app.classes, "a class of requests, as X-Priority-Class names it",
                  [&](ClassConfig& request_class) { describe_class(visitor, request_class); });
  each_named_item(visitor, "tenants", app.tenants, "a tenant, as X-Tenant-Id names it", [&](TenantConfig& t) {
    visitor.amount("share", t.service_share, Unit::Share, "of the service");
    visitor.amount("quota_per_s", t.quota_per_s, Unit::Rate,
                   "requests beyond it have a lower priority weight; 0: no quota");
  });
  each_item(visitor, "map", app.mappings,
            "class and tenant of requests without these headers; the first matching entry applies",
            [&](RequestMapping& mapping) {
              visitor.text("path", mapping.path_prefix, true, "prefix of its path");
              enum_choice(visitor, "method", mapping.method, kMethodNames, "its method");
              visitor.ref("cls", mapping.class_index, tables::kClasses, true, "its class");
              optional_member(visitor, "tenant", mapping.tenant_index, [&](auto& t) {
                visitor.ref("tenant", t, tables::kTenants, false, "its tenant");
              });
              optional_member(visitor, "timeout_ms", mapping.client_timeout_ms, [&](auto& t) {
                visitor.amount("timeout_ms", t, Unit::Time, "client timeout; default: the class's give_up");
              });
            });
  visitor.enter("attempts", "what the router may do for one request");
  visitor.count("most", app.attempts.max_attempts, "attempts, including hedged ones");
  visitor.flag("cancel", app.attempts.may_cancel, "attempts that are no longer needed are cancelled");
  visitor.flag("copies", app.attempts.may_hedge, "hedged requests are sent, if the class allows it");
  visitor.amount("retry_after_ms", app.attempts.max_retry_after_ms, Unit::Time,
                 "the longest Retry-After; 0: none is sent");
  visitor.amount("connect_ms", app.attempts.connect_timeout_ms, Unit::Time,
                 "timeout for a connection to open");
  visitor.amount("idle_ms", app.attempts.idle_timeout_ms, Unit::Time,
                 "nodes close an idle connection after this");
  visitor.leave();
  visitor.enter("limits", "what the router may use");
  visitor.count("sockets", app.limits.max_descriptors, "descriptors");
  visitor.count("memory_mb", app.limits.memory_mb, "memory", Unit::Mebibytes);
  optional_member(visitor, "open", app.limits.max_active_requests, [&](auto& n) {
    visitor.count("open", n, "concurrent requests; default: 20000, or fewer if memory is insufficient");
  });
  visitor.amount("grace_ms", app.limits.response_grace_ms, Unit::Time,
                 "for a response in transit after the client timeout");
  visitor.amount("answer_bytes", app.limits.max_response_bytes, Unit::Bytes,
                 "the longest response that is forwarded");
  visitor.amount("request_bytes", app.limits.max_request_bytes, Unit::Bytes, "the longest request body");
  visitor.text("body_folder", app.limits.spill_folder, false,
               "for bodies that exceed the memory budget; none: they are forwarded without being kept");
  visitor.count("body_folder_size_mb", app.limits.spill_limit_mb, "limit for all spilled bodies",
                Unit::Mebibytes);
  visitor.leave();
  visitor.enter("reports", "load reports carried by responses");
  visitor.choices("fields", app.load_reports.fields, kLoadReportFieldNames,
                  "their fields, in order; none: there are no reports");
  visitor.leave();
  visitor.enter("tier", "the routers that send to the same nodes");
  visitor.count("routers", app.tier.router_count, "their number, including this one");
  visitor.amount("over_share_worth", app.tier.over_quota_weight, Unit::Share,
                 "priority weight factor of a request beyond its tenant's quota");
  visitor.amount("tick_ms", app.tier.event_interval_ms, Unit::Time, "minimum interval between decisions");
  visitor.leave();
  visitor.enter("resize", "changes of the set of nodes; needs a ledger");
  visitor.amount("settle_ms", app.resize.transition_ms, Unit::Time,
                 "a new node shares its keys with their previous owners for this long; 0: off");
  visitor.amount("ledger_multiple", app.resize.origin_load_multiple, Unit::Number,
                 "in that time fetches are limited to this multiple of their steady rate; 0: no limit");
  visitor.amount("second_holder", app.resize.second_replica_share, Unit::Share,
                 "share of the reads, those of the most popular keys, whose values are cached at two nodes");
  visitor.leave();
  visitor.enter("log", "what is written to standard error");
  visitor.choice("format", app.log.format, kLogFormatNames, false, "key=value, or a JSON object per line");
  visitor.amount("rate_per_s", app.log.lines_per_s, Unit::Rate, "lines");
  visitor.count("burst", app.log.burst_lines, "maximum burst of lines");
  visitor.flag("connections", app.log.log_connections, "a line for each connection that ends");
  visitor.leave();
  visitor.enter("application", "the application that the sidecar starts");
  visitor.texts("environment", app.application.environment, "additional environment variables, `NAME=VALUE`");
  visitor.text("address_variable", app.application.address_variable, false,
               "the variable that contains the router's address");
  visitor.text("runtime_folder", app.application.runtime_folder, false,
               "for address claims; none: $XDG_RUNTIME_DIR, or /run/fernward, or /tmp");
  visitor.amount("ready_ms", app.application.router_ready_timeout_ms, Unit::Time,
                 "time limit for the router to be ready before it starts");
  visitor.amount("stop_ms", app.application.stop_timeout_ms, Unit::Time,
                 "time limit for it to end before it is killed");
  visitor.amount("restart_first_ms", app.application.restart_backoff_min_ms, Unit::Time,
                 "a crashed router is restarted after this, doubled for each further crash");
  visitor.amount("restart_most_ms", app.application.restart_backoff_max_ms, Unit::Time,
                 "the longest delay of a restart");
  visitor.leave();
  visitor.enter("expect", "the expected load; used by checks only");
  visitor.amount("rate_per_s", app.expected_load.rate_per_s, Unit::Rate,
                 "requests of all routers; 0: unknown");
  visitor.amount("work_ms", app.expected_load.mean_work_ms, Unit::Time,
                 "mean work of a request on a core of speed 1");
  visitor.count("keys", app.expected_load.key_count, "in use at any one time; 0: unknown");
  visitor.amount("zipf", app.expected_load.zipf_exponent, Unit::Number, "exponent of their popularity");
  visitor.amount("size_bytes", app.expected_load.mean_value_bytes, Unit::Bytes, "mean size of a value");
  visitor.amount("ledger_per_s", app.expected_load.origin_capacity_per_s, Unit::Rate,
                 "capacity of the ledger");
  visitor.leave();
}

bool reloadable(const std::string& key) {
  for (const char* prefix : {"fleet.discovery", "fleet.file", "fleet.nodes", "classes", "tenants", "map",
                             "make_ids", "attempts.most", "attempts.cancel", "attempts.copies",
                             "attempts.retry_after", "tier.over_share_worth", "log", "expect"}) {
    if (key == prefix || key.starts_with(std::string(prefix) + ".") ||
        key.starts_with(std::string(prefix) + "["))
      return true;
  }
  return false;
}

const char* idempotency_name(Idempotency idempotency) {
  return kIdempotencyNames.at(static_cast<std::size_t>(idempotency));
}
const char* idempotency_scope_name(IdempotencyScope scope) {
  return kIdempotencyScopeNames.at(static_cast<std::size_t>(scope));
}
const char* method_name(Method method) { return kMethodNames.at(static_cast<std::size_t>(method)); }
const char* weight_kind_name(std::size_t weight_kind) { return kWeightKindNames.at(weight_kind); }
const char* load_report_field_name(std::size_t field) { return kLoadReportFieldNames.at(field); }

} // namespace fernward::app_config
