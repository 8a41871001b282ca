#include "app_config/render.h"

#include <cstdio>

#include "app_config/keys.h"

namespace fernward::app_config {
namespace {

using nlohmann::json;

json class_json(const ClassConfig& cls, const AppConfig& app) {
  // Servers drop duplicates only within the idempotency window. A shorter retry window only limits this
  // router's retries.
  const double window_ms = cls.retry_window_ms ? std::min(*cls.retry_window_ms, cls.idempotency_window_ms)
                                               : cls.idempotency_window_ms;
  json result = {{"name", cls.name},
                 {"aim", cls.latency_objective_ms > 0 ? cls.latency_objective_ms : cls.client_timeout_ms},
                 {"give_up", cls.client_timeout_ms},
                 {"aim_stretch", cls.objective_work_factor},
                 {"late_share", cls.late_response_value_share},
                 {"worth", cls.priority_weight},
                 {"repeat", idempotency_name(cls.idempotency)}};
  if (cls.idempotency == Idempotency::WithKey) {
    result["dedup_scope"] = idempotency_scope_name(cls.idempotency_scope);
    result["window"] = window_ms;
  }
  if (cls.max_retries && *cls.max_retries + 1 < app.attempts.max_attempts)
    result["max_attempts"] = *cls.max_retries + 1;
  if (!cls.may_hedge) result["may_duplicate"] = false;
  return result;
}

json nodes_json(const AppConfig& app) {
  const UpstreamFleetConfig& fleet = app.fleet;
  json endpoints = json::array();
  for (const NodeConfig& node : fleet.nodes) {
    const std::uint32_t kind = node_kind(fleet, node);
    endpoints.push_back({{"name", node.name},
                         {"address", node.address},
                         {"zone", fleet.zones.at(node.zone.value_or(0))},
                         {"type", kind < fleet.kinds.size() ? fleet.kinds[kind].name : "node"},
                         {"group", endpoints.size()},
                         {"status", "in_service"},
                         {"weight", node.weight},
                         {"since_ms", 0}});
  }
  return {{"index", 1}, {"snapshot", true}, {"endpoints", std::move(endpoints)}};
}

json mappings_json(const AppConfig& app) {
  json result = json::array();
  for (const RequestMapping& mapping : app.mappings) {
    json entry = {{"path", mapping.path_prefix}, {"class", app.classes.at(mapping.class_index).name}};
    if (mapping.method != Method::Any) entry["method"] = method_name(mapping.method);
    if (mapping.tenant_index) entry["tenant"] = app.tenants.at(*mapping.tenant_index).name;
    if (mapping.client_timeout_ms) entry["timeout"] = *mapping.client_timeout_ms;
    result.push_back(std::move(entry));
  }
  return result;
}

json settings_json(const AppConfig& app) {
  json settings;
  settings["balancers"] = app.tier.router_count;
  if (app.fleet.own_zone) settings["my_zone"] = *app.fleet.own_zone;
  settings["dcs"] = app.fleet.zones;
  settings["kinds"] = json::array();
  for (const NodeKindConfig& kind : app.fleet.kinds) settings["kinds"].push_back(kind.name);
  if (app.fleet.kinds.empty()) settings["kinds"].push_back("node");
  settings["classes"] = json::array();
  for (const ClassConfig& cls : app.classes) settings["classes"].push_back(class_json(cls, app));
  settings["parties"] = json::array();
  for (const TenantConfig& tenant : app.tenants) {
    settings["parties"].push_back(
        {{"name", tenant.name}, {"share", tenant.service_share}, {"quota_per_s", tenant.quota_per_s}});
  }
  settings["over_share_worth"] = app.tier.over_quota_weight;
  settings["tick"] = app.tier.event_interval_ms;
  if (app.fleet.origin_kind) settings["extra"] = {{"mode", "aside"}, {"origin_kind", *app.fleet.origin_kind}};
  if (!app.load_reports.fields.empty()) {
    json fields = json::array();
    for (const std::size_t field : app.load_reports.fields) fields.push_back(load_report_field_name(field));
    settings["telemetry"] = {{"via", "inline"}, {"columns", std::move(fields)}};
  }
  settings["weight_kind"] = weight_kind_name(app.fleet.weight_kind);
  settings["limits"] = {{"max_attempts", app.attempts.max_attempts},
                        {"may_cancel", app.attempts.may_cancel},
                        {"may_duplicate", app.attempts.may_hedge},
                        {"retry_after", app.attempts.max_retry_after_ms > 0},
                        {"max_retry_after", app.attempts.max_retry_after_ms},
                        {"connect_timeout", app.attempts.connect_timeout_ms},
                        {"conn_idle", app.attempts.idle_timeout_ms},
                        {"open_cap", active_request_limit(app.limits)}};
  settings["obligations"] = {{"grace_to_answer", app.limits.response_grace_ms},
                             {"warm_after", app.fleet.slow_start_ms},
                             {"start_capacity", app.fleet.slow_start_min_capacity},
                             {"tip_after", app.fleet.overload_failure_ms}};
  if (app.resize.transition_ms > 0) {
    settings["resize"] = {{"settle", app.resize.transition_ms},
                          {"ledger_multiple", app.resize.origin_load_multiple},
                          {"second_holder", app.resize.second_replica_share}};
  }
  return settings;
}

} // namespace

json to_platform_json(const AppConfig& app) {
  json result = {{"name", app.name}, {"listen", app.listen_address}, {"settings", settings_json(app)}};
  if (app.seed != 0) {
    char seed[24];
    std::snprintf(seed, sizeof seed, "%llx", static_cast<unsigned long long>(app.seed));
    result["seed"] = seed;
  }
  if (!app.fleet.discovery_address.empty()) result["discovery"] = app.fleet.discovery_address;
  if (!app.fleet.nodes_file.empty()) result["nodes_file"] = app.fleet.nodes_file;
  if (!app.fleet.nodes.empty()) {
    result["nodes_fixed"] = true;
    result["known"] = nodes_json(app);
  }
  result["limits"] = {{"sockets", app.limits.max_descriptors},
                      {"memory_mb", app.limits.memory_mb},
                      {"answer_bytes", static_cast<std::uint64_t>(app.limits.max_response_bytes)},
                      {"request_bytes", static_cast<std::uint64_t>(app.limits.max_request_bytes)},
                      {"body_folder_mb", app.limits.spill_limit_mb}};
  if (!app.limits.spill_folder.empty()) result["limits"]["body_folder"] = app.limits.spill_folder;
  if (!app.mappings.empty()) result["map"] = mappings_json(app);
  if (app.generate_request_ids) result["make_ids"] = true;
  result["log"] = {{"format", app.log.format == 1 ? "json" : "text"},
                   {"per_second", app.log.lines_per_s},
                   {"burst", app.log.burst_lines},
                   {"connections", app.log.log_connections}};
  result["movable"] = true;
  return result;
}

} // namespace fernward::app_config
