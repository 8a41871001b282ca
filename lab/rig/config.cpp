#include "lab/rig/config.h"

#include <cstdio>

#include "app_config/keys.h"
#include "lab/peers/replies.h"
#include "toml_document/writer.h"

namespace fernward::rig {

using model::RouterId;
using nlohmann::json;

namespace {

const char* word(Idempotency repeat) {
  return repeat == Idempotency::Idempotent ? "safe" : repeat == Idempotency::WithKey ? "keyed" : "unsafe";
}
const char* word(IdempotencyScope scope) {
  return scope == IdempotencyScope::All ? "all" : scope == IdempotencyScope::Zone ? "zone" : "cell";
}
const char* word(LoadReportSource via) {
  return via == LoadReportSource::Responses      ? "inline"
         : via == LoadReportSource::HealthChecks ? "on_probe"
                                                 : "off";
}
const char* word(WeightKind kind) {
  switch (kind) {
    case WeightKind::Nominal: return "nominal";
    case WeightKind::Rough: return "rough";
    case WeightKind::Live: return "live";
    case WeightKind::Off: return "off";
  }
  return "off";
}

} // namespace

json settings_json(const model::Spec& spec, const model::Plan& plan, RouterId router) {
  const std::uint32_t zone = plan.routers[router].zone;
  const Settings s = model::router_settings(spec, zone);
  json classes = json::array(), parties = json::array(), dcs = json::array(), kinds = json::array(),
       columns = json::array();
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    const ClassSettings& c = s.classes[i];
    classes.push_back({{"name", spec.classes[i].name},
                       {"aim", c.latency_objective_ms},
                       {"give_up", c.client_timeout_ms},
                       {"aim_stretch", c.objective_per_work},
                       {"late_share", c.late_value_share},
                       {"worth", c.priority_weight},
                       {"repeat", word(c.idempotency)},
                       {"dedup_scope", word(c.idempotency_scope)},
                       {"window", c.idempotency_window_ms},
                       {"stream", c.streaming}});
  }
  for (std::size_t i = 0; i < s.tenants.size(); ++i) {
    parties.push_back({{"name", spec.tenants[i].name},
                       {"share", s.tenants[i].service_share},
                       {"quota_per_s", s.tenants[i].quota_per_s}});
  }
  for (const auto& z : spec.zones) dcs.push_back(z.name);
  for (const auto& kind : spec.kinds) kinds.push_back(kind.name);
  kinds.push_back(model::kOriginKindName);
  for (const LoadReportField field : s.load_report_fields) columns.push_back(field_name(field));
  return {{"balancers", s.router_count},
          {"me", router},
          {"my_zone", zone},
          {"dcs", dcs},
          {"kinds", kinds},
          {"classes", classes},
          {"parties", parties},
          {"clients", {{"marks_retry", spec.clients.marks_retry}}},
          {"counted_by", spec.counted_by == model::CountedBy::Work ? "work" : "request"},
          {"kind_of_service", "cache"},
          {"over_share_worth", s.over_quota_weight},
          {"tick", s.event_interval_ms},
          {"extra",
           {{"mode", spec.origin.on ? "aside" : "through"},
            {"origin_kind", s.origin_kind},
            {"origin_fall", spec.origin.fall_ms},
            {"origin_fall_multiple", spec.origin.fall_multiple},
            {"report_x1", "fetches out"}}},
          {"telemetry", {{"via", word(s.load_report_source)}, {"columns", columns}}},
          {"registry_mode", "push"},
          {"weight_kind", word(s.weight_kind)},
          {"limits",
           {{"connect_timeout", spec.routers.connect_timeout_ms},
            {"conn_idle", spec.routers.conn_idle_ms},
            {"open_cap", spec.routers.open_cap},
            {"max_attempts", s.max_attempts},
            {"may_cancel", s.may_cancel},
            {"may_duplicate", s.may_hedge},
            {"may_probe", false},
            {"may_tell", true},
            {"retry_after", s.send_retry_after},
            {"max_retry_after", s.max_retry_after_ms},
            {"streams_per_conn", 1}}},
          {"resize",
           {{"settle", s.resize.transition_ms},
            {"ledger_multiple", s.resize.origin_load_multiple},
            {"second_holder", s.resize.second_replica_share}}},
          {"obligations",
           {{"grace_to_answer", spec.routers.grace_to_answer_ms},
            {"drain_grace", spec.routers.drain_grace_ms},
            {"ask_every", spec.discovery.at_latest_ms},
            {"warm_after", s.slow_start_ms},
            {"start_capacity", s.slow_start_min_capacity},
            {"tip_after", s.overload_failure_ms},
            {"fall_multiple", s.overload_multiple}}}};
}

json router_json(const Stage& stage, RouterId router, std::uint32_t moves, std::uint64_t seed, json known) {
  char seed_text[17];
  std::snprintf(seed_text, sizeof seed_text, "%016llx", static_cast<unsigned long long>(seed));
  json peers = json::array();
  for (const auto& other : stage.plan.routers)
    peers.push_back(text_of(stage.addresses.peer(router, other.id)));
  const model::RouterSpec& r = stage.spec.routers;
  return {{"name", stage.plan.routers[router].name},
          {"listen", text_of(stage.addresses.router(router))},
          {"discovery", text_of(stage.addresses.agent(router, moves))},
          {"seed", seed_text},
          {"limits", {{"cores", r.cores}, {"memory_mb", r.memory_mb}, {"sockets", r.sockets}}},
          {"peer_listen", text_of(stage.addresses.peer_listen(router))},
          {"peers", peers},
          {"peers_all", text_of(stage.addresses.peers_all(router))},
          {"known", std::move(known)},
          {"settings", settings_json(stage.spec, stage.plan, router)}};
}

std::string fleet_toml(const model::SharingSpec& sharing) {
  const auto word = [](bool on) { return on ? "true" : "false"; };
  char text[256];
  std::snprintf(
      text, sizeof text,
      "[members]\nperiod = \"%.0fms\"\nasked = %u\n\n[share]\nledger = %s\ncount = %s\nfindings = %s\n",
      sharing.period_ms, sharing.asked, word(sharing.ledger), word(sharing.count), word(sharing.findings));
  return text;
}

std::string router_toml(const Stage& stage, RouterId router, std::uint32_t moves, std::uint64_t seed,
                        const std::string& runtime_folder) {
  const model::Spec& spec = stage.spec;
  const std::uint32_t zone = stage.plan.routers[router].zone;
  const Settings s = model::router_settings(spec, zone);
  app_config::App app;
  app.name = stage.plan.routers[router].name;
  app.listen = text_of(stage.addresses.router(router));
  app.seed = seed >> 1; // TOML integers are signed
  app.fleet.zones.clear();
  for (const auto& z : spec.zones) app.fleet.zones.push_back(z.name);
  app.fleet.zone = zone;
  for (const auto& kind : spec.kinds) app.fleet.kinds.push_back({kind.name});
  if (s.origin_kind >= 0) {
    app.fleet.ledger = static_cast<std::uint32_t>(app.fleet.kinds.size());
    app.fleet.kinds.push_back({model::kOriginKindName});
  }
  app.fleet.discovery = text_of(stage.addresses.agent(router, moves));
  app.fleet.warm_after_ms = s.slow_start_ms;
  app.fleet.start_capacity = s.slow_start_min_capacity;
  app.fleet.tip_after_ms = s.overload_failure_ms;
  app.fleet.weights = static_cast<std::size_t>(s.weight_kind);
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    const ClassSettings& from = s.classes[i];
    app_config::ClassSetup& c = app.classes.emplace_back();
    c.name = spec.classes[i].name;
    c.aim_ms = from.latency_objective_ms;
    c.give_up_ms = from.client_timeout_ms;
    c.aim_stretch = from.objective_per_work;
    c.late_share = from.late_value_share;
    c.worth = from.priority_weight;
    c.repeat = from.idempotency;
    c.scope = from.idempotency_scope;
    c.window_ms = from.idempotency == Idempotency::WithKey ? from.idempotency_window_ms : 0;
    c.write = spec.classes[i].write;
    c.traffic = spec.classes[i].share;
  }
  for (std::size_t i = 0; i < s.tenants.size(); ++i) {
    app.tenants.push_back({spec.tenants[i].name, s.tenants[i].service_share, s.tenants[i].quota_per_s});
  }
  app.attempts.most = s.max_attempts;
  app.attempts.cancel = s.may_cancel;
  app.attempts.copies = s.may_hedge;
  app.attempts.retry_after_ms = s.send_retry_after ? s.max_retry_after_ms : 0;
  app.attempts.connect_ms = spec.routers.connect_timeout_ms;
  app.attempts.idle_ms = spec.routers.conn_idle_ms;
  app.limits.sockets = spec.routers.sockets;
  app.limits.memory_mb = spec.routers.memory_mb;
  app.limits.open = spec.routers.open_cap;
  app.limits.grace_ms = spec.routers.grace_to_answer_ms;
  for (const LoadReportField field : s.load_report_fields) {
    // A field that the router does not use still occupies a position.
    app.reports.fields.push_back(std::min(static_cast<std::size_t>(field), std::size_t{6}));
  }
  app.tier.routers = s.router_count;
  app.tier.over_share_worth = s.over_quota_weight;
  app.tier.tick_ms = s.event_interval_ms;
  app.application.runtime_folder = runtime_folder;
  const app_config::AppNames names(app);
  return toml_document::written(names, [&](toml_document::Visitor& v) { describe(v, app); });
}

} // namespace fernward::rig
