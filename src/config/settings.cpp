#include "config/settings.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "config/json_reader.h"

namespace fernward::config {
namespace {

using fernward::LoadReportField;
using fernward::WeightKind;

template <typename T>
T parse_enum(const std::string& text, std::initializer_list<std::pair<const char*, T>> named_values,
             T fallback) {
  for (const auto& [name, value] : named_values) {
    if (text == name) return value;
  }
  return fallback;
}

fernward::ClassSettings parse_class(const JsonObject& object) {
  using fernward::Idempotency;
  using fernward::IdempotencyScope;
  fernward::ClassSettings cls;
  object.read_required("give_up", cls.client_timeout_ms);
  object.read_range("give_up", cls.client_timeout_ms);
  cls.latency_objective_ms = cls.client_timeout_ms;
  object.read_range("aim", cls.latency_objective_ms);
  object.read_range("aim_stretch", cls.objective_work_factor);
  object.read_range("late_share", cls.late_response_value_share, 1);
  object.read_range("worth", cls.priority_weight);
  object.read_range("window", cls.idempotency_window_ms);
  object.read_optional("stream", cls.streaming);
  if (object.json.contains("max_attempts")) object.read_count("max_attempts", cls.max_attempts, 1);
  object.read_optional("may_duplicate", cls.may_hedge);
  std::string idempotency_name;
  object.read_required("repeat", idempotency_name);
  // An unknown word is treated as the strictest value.
  cls.idempotency = parse_enum<Idempotency>(
      idempotency_name, {{"safe", Idempotency::Idempotent}, {"keyed", Idempotency::WithKey}},
      Idempotency::NonIdempotent);
  cls.idempotency_scope = parse_enum<IdempotencyScope>(
      object.string_or_empty("dedup_scope"),
      {{"all", IdempotencyScope::All}, {"zone", IdempotencyScope::Zone}}, IdempotencyScope::Cell);
  return cls;
}

LoadReportField parse_field(const std::string& name) {
  return parse_enum<LoadReportField>(name,
                                     {{"inflight", LoadReportField::Inflight},
                                      {"queue", LoadReportField::Queue},
                                      {"util", LoadReportField::Utilization},
                                      {"latency_ms", LoadReportField::LatencyMs},
                                      {"qps", LoadReportField::RequestRate},
                                      {"eps", LoadReportField::ErrorRate}},
                                     LoadReportField::Other);
}

// Requests refer to entries by name, so an entry without a name or with a duplicate one would be unreachable.
std::vector<std::string> read_names(const JsonObject& object, const char* key) {
  std::vector<std::string> names;
  for (const JsonObject& entry : object.object_list(key)) {
    std::string name;
    entry.read_required("name", name);
    if (name.empty()) throw Error(entry.key_path("name") + ": must not be empty");
    if (std::find(names.begin(), names.end(), name) != names.end())
      throw Error(entry.key_path("name") + ": \"" + name + "\" is given twice");
    names.push_back(std::move(name));
  }
  return names;
}

// Checks an index into a list of names. If the list is absent, any index is valid.
void check_index(const JsonObject& object, const std::string& key, std::uint32_t index,
                 const JsonObject& list_owner, const char* list) {
  std::vector<std::string> names;
  list_owner.read_optional(list, names);
  if (list_owner.json.contains(list) && index >= names.size())
    throw Error(object.key_path(key) + ": is " + std::to_string(index) + ", but there are " +
                std::to_string(names.size()) + " " + list);
}

double read_positive(const JsonObject& object, const char* key, double fallback) {
  double value = fallback;
  object.read_optional(key, value);
  if (!(value > 0)) throw Error(object.key_path(key) + ": must be above 0");
  return value;
}

} // namespace

fernward::Settings parse_settings(const nlohmann::json& json) {
  const JsonObject root{json, ""};
  fernward::Settings settings;
  root.read_count("balancers", settings.router_count, 1);
  if (const auto zone = json.find("my_zone"); zone != json.end() && !zone->is_null()) {
    root.read_count("my_zone", settings.zone.emplace());
    check_index(root, "my_zone", *settings.zone, root, "dcs");
  }
  if (!json.contains("classes")) throw Error("classes: is missing");
  for (const JsonObject& cls : root.object_list("classes")) settings.classes.push_back(parse_class(cls));
  if (settings.classes.empty()) throw Error("classes: must have at least one entry");
  for (const JsonObject& tenant_json : root.object_list("parties")) {
    fernward::TenantSettings tenant;
    tenant_json.read_range("share", tenant.service_share, 1);
    tenant_json.read_range("quota_per_s", tenant.quota_per_s);
    settings.tenants.push_back(tenant);
  }
  root.read_range("over_share_worth", settings.over_quota_weight, 1);
  root.read_range("tick", settings.event_interval_ms);

  const JsonObject extra = root.optional_object("extra");
  if (extra.string_or_empty("mode") == "aside") {
    std::uint32_t kind = 0;
    extra.read_count("origin_kind", kind);
    if (kind > std::numeric_limits<std::int32_t>::max())
      throw Error(extra.key_path("origin_kind") + ": is too large");
    check_index(extra, "origin_kind", kind, root, "kinds");
    settings.origin_kind = static_cast<std::int32_t>(kind);
  }

  const JsonObject telemetry = root.optional_object("telemetry");
  settings.load_report_source =
      parse_enum<fernward::LoadReportSource>(telemetry.string_or_empty("via"),
                                             {{"inline", fernward::LoadReportSource::Responses},
                                              {"on_probe", fernward::LoadReportSource::HealthChecks}},
                                             fernward::LoadReportSource::Never);
  std::vector<std::string> columns;
  telemetry.read_optional("columns", columns);
  for (const auto& name : columns) settings.load_report_fields.push_back(parse_field(name));

  settings.discovery = root.string_or_empty("registry_mode") == "ask" ? fernward::DiscoveryMode::Poll
                                                                      : fernward::DiscoveryMode::Push;
  settings.weight_kind = parse_enum<WeightKind>(
      root.string_or_empty("weight_kind"),
      {{"nominal", WeightKind::Nominal}, {"rough", WeightKind::Approximate}, {"live", WeightKind::Live}},
      WeightKind::Off);

  const JsonObject limits = root.required_object("limits");
  limits.read_optional("may_probe", settings.may_health_check);
  limits.read_optional("may_cancel", settings.may_cancel);
  limits.read_optional("may_duplicate", settings.may_hedge);
  limits.read_optional("retry_after", settings.send_retry_after);
  limits.read_range("max_retry_after", settings.max_retry_after_ms);
  limits.read_count("max_attempts", settings.max_attempts, 1);

  const JsonObject obligations = root.required_object("obligations");
  obligations.read_range("ask_every", settings.poll_interval_ms);
  obligations.read_range("warm_after", settings.slow_start_ms);
  obligations.read_range("start_capacity", settings.slow_start_min_capacity, 1);
  obligations.read_range("tip_after", settings.overload_failure_ms);
  obligations.read_range("fall_multiple", settings.overload_multiple);

  const JsonObject resize = root.optional_object("resize");
  resize.read_range("settle", settings.resize.transition_ms);
  resize.read_range("ledger_multiple", settings.resize.origin_load_multiple);
  resize.read_range("second_holder", settings.resize.second_replica_share, 1);
  if (settings.resize.origin_load_multiple > 0 && settings.resize.origin_load_multiple < 1) {
    throw Error(resize.key_path("ledger_multiple") + ": must be 0, or at least 1");
  }
  return settings;
}

Names parse_names(const nlohmann::json& json) {
  const JsonObject root{json, ""};
  Names names;
  names.classes = read_names(root, "classes");
  names.tenants = read_names(root, "parties");
  root.read_optional("dcs", names.zones);
  root.read_optional("kinds", names.kinds);
  root.optional_object("telemetry").read_optional("columns", names.report_fields);
  return names;
}

Limits parse_limits(const nlohmann::json& json) {
  const JsonObject root{json, ""};
  const JsonObject limits_object = root.optional_object("limits");
  Limits limits;
  limits.connect_timeout_ms = read_positive(limits_object, "connect_timeout", limits.connect_timeout_ms);
  limits.idle_timeout_ms = read_positive(limits_object, "conn_idle", limits.idle_timeout_ms);
  limits.max_active_requests = read_positive(limits_object, "open_cap", limits.max_active_requests);
  if (!(limits.max_active_requests >= 1 && limits.max_active_requests <= 1e6))
    throw Error(limits_object.key_path("open_cap") + ": must be a number from 1 to 1000000");
  limits.response_grace_ms =
      read_positive(root.optional_object("obligations"), "grace_to_answer", limits.response_grace_ms);
  limits.drain_grace_ms =
      read_positive(root.optional_object("obligations"), "drain_grace", limits.drain_grace_ms);
  return limits;
}

} // namespace fernward::config
