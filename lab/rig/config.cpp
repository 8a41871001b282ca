#include "lab/rig/config.h"

#include <cstdio>

#include "app_config/keys.h"
#include "lab/peers/response_script.h"
#include "toml_document/writer.h"

namespace fernward::rig {

using model::RouterId;
using nlohmann::json;

namespace {

const char* word_of(Idempotency idempotency) {
  return idempotency == Idempotency::Idempotent ? "safe"
         : idempotency == Idempotency::WithKey  ? "keyed"
                                                : "unsafe";
}
const char* word_of(IdempotencyScope scope) {
  return scope == IdempotencyScope::All ? "all" : scope == IdempotencyScope::Zone ? "zone" : "cell";
}
const char* word_of(LoadReportSource source) {
  return source == LoadReportSource::Responses      ? "inline"
         : source == LoadReportSource::HealthChecks ? "on_probe"
                                                    : "off";
}
const char* word_of(WeightKind kind) {
  switch (kind) {
    case WeightKind::Nominal: return "nominal";
    case WeightKind::Approximate: return "rough";
    case WeightKind::Live: return "live";
    case WeightKind::Off: return "off";
  }
  return "off";
}

} // namespace

json settings_json(const model::Spec& spec, const model::Plan& plan, RouterId router) {
  const std::uint32_t zone = plan.routers[router].zone;
  const Settings settings = model::router_settings(spec, zone);
  json classes = json::array(), tenants = json::array(), zones = json::array(), kinds = json::array(),
       report_fields = json::array();
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    const ClassSettings& class_settings = settings.classes[i];
    classes.push_back({{"name", spec.classes[i].name},
                       {"aim", class_settings.latency_objective_ms},
                       {"give_up", class_settings.client_timeout_ms},
                       {"aim_stretch", class_settings.objective_work_factor},
                       {"late_share", class_settings.late_response_value_share},
                       {"worth", class_settings.priority_weight},
                       {"repeat", word_of(class_settings.idempotency)},
                       {"dedup_scope", word_of(class_settings.idempotency_scope)},
                       {"window", class_settings.idempotency_window_ms},
                       {"stream", class_settings.streaming}});
  }
  for (std::size_t i = 0; i < settings.tenants.size(); ++i) {
    tenants.push_back({{"name", spec.tenants[i].name},
                       {"share", settings.tenants[i].service_share},
                       {"quota_per_s", settings.tenants[i].quota_per_s}});
  }
  for (const auto& zone_spec : spec.zones) zones.push_back(zone_spec.name);
  for (const auto& kind : spec.kinds) kinds.push_back(kind.name);
  kinds.push_back(model::kOriginKindName);
  for (const LoadReportField field : settings.load_report_fields) report_fields.push_back(field_name(field));
  return {{"balancers", settings.router_count},
          {"me", router},
          {"my_zone", zone},
          {"dcs", zones},
          {"kinds", kinds},
          {"classes", classes},
          {"parties", tenants},
          {"clients", {{"marks_retry", spec.clients.marks_retry}}},
          {"counted_by", spec.weight_basis == model::WeightBasis::Work ? "work" : "request"},
          {"kind_of_service", "cache"},
          {"over_share_worth", settings.over_quota_weight},
          {"tick", settings.event_interval_ms},
          {"extra",
           {{"mode", spec.origin.enabled ? "aside" : "through"},
            {"origin_kind", settings.origin_kind},
            {"origin_fall", spec.origin.overload_failure_ms},
            {"origin_fall_multiple", spec.origin.overload_multiple},
            {"report_x1", "fetches out"}}},
          {"telemetry", {{"via", word_of(settings.load_report_source)}, {"columns", report_fields}}},
          {"registry_mode", "push"},
          {"weight_kind", word_of(settings.weight_kind)},
          {"limits",
           {{"connect_timeout", spec.routers.connect_timeout_ms},
            {"conn_idle", spec.routers.connection_idle_ms},
            {"open_cap", spec.routers.max_open_requests},
            {"max_attempts", settings.max_attempts},
            {"may_cancel", settings.may_cancel},
            {"may_duplicate", settings.may_hedge},
            {"may_probe", false},
            {"may_tell", true},
            {"retry_after", settings.send_retry_after},
            {"max_retry_after", settings.max_retry_after_ms},
            {"streams_per_conn", 1}}},
          {"resize",
           {{"settle", settings.resize.transition_ms},
            {"ledger_multiple", settings.resize.origin_load_multiple},
            {"second_holder", settings.resize.second_replica_share}}},
          {"obligations",
           {{"grace_to_answer", spec.routers.response_grace_ms},
            {"drain_grace", spec.routers.drain_grace_ms},
            {"ask_every", spec.discovery.notified_at_latest_ms},
            {"warm_after", settings.slow_start_ms},
            {"start_capacity", settings.slow_start_min_capacity},
            {"tip_after", settings.overload_failure_ms},
            {"fall_multiple", settings.overload_multiple}}}};
}

json router_json(const RunContext& context, RouterId router, std::uint32_t address_version,
                 std::uint64_t seed, json known) {
  char seed_text[17];
  std::snprintf(seed_text, sizeof seed_text, "%016llx", static_cast<unsigned long long>(seed));
  json peers = json::array();
  for (const auto& other : context.plan.routers)
    peers.push_back(address_text(context.addresses.peer(router, other.id)));
  const model::RouterSpec& router_spec = context.spec.routers;
  return {{"name", context.plan.routers[router].name},
          {"listen", address_text(context.addresses.router(router))},
          {"discovery", address_text(context.addresses.discovery(router, address_version))},
          {"seed", seed_text},
          {"limits",
           {{"cores", router_spec.cores},
            {"memory_mb", router_spec.memory_mb},
            {"sockets", router_spec.max_sockets}}},
          {"peer_listen", address_text(context.addresses.peer_listen(router))},
          {"peers", peers},
          {"peers_all", address_text(context.addresses.all_peers(router))},
          {"known", std::move(known)},
          {"settings", settings_json(context.spec, context.plan, router)}};
}

std::string fleet_toml(const model::SharingSpec& sharing) {
  const auto word_of = [](bool on) { return on ? "true" : "false"; };
  char text[256];
  std::snprintf(
      text, sizeof text,
      "[members]\nperiod = \"%.0fms\"\nasked = %u\n\n[share]\nledger = %s\ncount = %s\nfindings = %s\n",
      sharing.ping_period_ms, sharing.indirect_probes, word_of(sharing.share_origin_limit),
      word_of(sharing.count_living_routers), word_of(sharing.share_findings));
  return text;
}

std::string router_toml(const RunContext& context, RouterId router, std::uint32_t address_version,
                        std::uint64_t seed, const std::string& runtime_folder) {
  const model::Spec& spec = context.spec;
  const std::uint32_t zone = context.plan.routers[router].zone;
  const Settings settings = model::router_settings(spec, zone);
  app_config::AppConfig app;
  app.name = context.plan.routers[router].name;
  app.listen_address = address_text(context.addresses.router(router));
  app.seed = seed >> 1; // TOML integers are signed
  app.fleet.zones.clear();
  for (const auto& zone_spec : spec.zones) app.fleet.zones.push_back(zone_spec.name);
  app.fleet.own_zone = zone;
  for (const auto& kind : spec.kinds) app.fleet.kinds.push_back({kind.name});
  if (settings.origin_kind >= 0) {
    app.fleet.origin_kind = static_cast<std::uint32_t>(app.fleet.kinds.size());
    app.fleet.kinds.push_back({model::kOriginKindName});
  }
  app.fleet.discovery_address = address_text(context.addresses.discovery(router, address_version));
  app.fleet.slow_start_ms = settings.slow_start_ms;
  app.fleet.slow_start_min_capacity = settings.slow_start_min_capacity;
  app.fleet.overload_failure_ms = settings.overload_failure_ms;
  app.fleet.weight_kind = static_cast<std::size_t>(settings.weight_kind);
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    const ClassSettings& class_settings = settings.classes[i];
    app_config::ClassConfig& class_config = app.classes.emplace_back();
    class_config.name = spec.classes[i].name;
    class_config.latency_objective_ms = class_settings.latency_objective_ms;
    class_config.client_timeout_ms = class_settings.client_timeout_ms;
    class_config.objective_work_factor = class_settings.objective_work_factor;
    class_config.late_response_value_share = class_settings.late_response_value_share;
    class_config.priority_weight = class_settings.priority_weight;
    class_config.idempotency = class_settings.idempotency;
    class_config.idempotency_scope = class_settings.idempotency_scope;
    class_config.idempotency_window_ms =
        class_settings.idempotency == Idempotency::WithKey ? class_settings.idempotency_window_ms : 0;
    class_config.is_write = spec.classes[i].write;
    class_config.traffic_share = spec.classes[i].share;
  }
  for (std::size_t i = 0; i < settings.tenants.size(); ++i) {
    app.tenants.push_back(
        {spec.tenants[i].name, settings.tenants[i].service_share, settings.tenants[i].quota_per_s});
  }
  app.attempts.max_attempts = settings.max_attempts;
  app.attempts.may_cancel = settings.may_cancel;
  app.attempts.may_hedge = settings.may_hedge;
  app.attempts.max_retry_after_ms = settings.send_retry_after ? settings.max_retry_after_ms : 0;
  app.attempts.connect_timeout_ms = spec.routers.connect_timeout_ms;
  app.attempts.idle_timeout_ms = spec.routers.connection_idle_ms;
  app.limits.max_descriptors = spec.routers.max_sockets;
  app.limits.memory_mb = spec.routers.memory_mb;
  app.limits.max_active_requests = spec.routers.max_open_requests;
  app.limits.response_grace_ms = spec.routers.response_grace_ms;
  for (const LoadReportField field : settings.load_report_fields) {
    // A field that the router does not use still occupies a position.
    app.load_reports.fields.push_back(std::min(static_cast<std::size_t>(field), std::size_t{6}));
  }
  app.tier.router_count = settings.router_count;
  app.tier.over_quota_weight = settings.over_quota_weight;
  app.tier.event_interval_ms = settings.event_interval_ms;
  app.application.runtime_folder = runtime_folder;
  const app_config::AppConfigNames names(app);
  return toml_document::to_toml(names, [&](toml_document::Visitor& v) { describe(v, app); });
}

} // namespace fernward::rig
