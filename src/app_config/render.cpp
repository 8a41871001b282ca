#include "app_config/render.h"

#include <cstdio>

#include "app_config/keys.h"

namespace fernward::app_config {
namespace {

using nlohmann::json;

json class_of(const ClassSetup& c, const App& app) {
  // Servers drop duplicates only within the idempotency window. A shorter retry window only limits this
  // router's retries.
  const double window = c.retry_for_ms ? std::min(*c.retry_for_ms, c.window_ms) : c.window_ms;
  json made = {{"name", c.name},
               {"aim", c.aim_ms > 0 ? c.aim_ms : c.give_up_ms},
               {"give_up", c.give_up_ms},
               {"aim_stretch", c.aim_stretch},
               {"late_share", c.late_share},
               {"worth", c.worth},
               {"repeat", repeat_word(c.repeat)}};
  if (c.repeat == Idempotency::WithKey) {
    made["dedup_scope"] = scope_word(c.scope);
    made["window"] = window;
  }
  if (c.retries && *c.retries + 1 < app.attempts.most) made["max_attempts"] = *c.retries + 1;
  if (!c.copies) made["may_duplicate"] = false;
  return made;
}

json nodes_of(const App& app) {
  const FleetSetup& f = app.fleet;
  json list = json::array();
  for (const NodeSetup& node : f.nodes) {
    const std::uint32_t kind = kind_of(f, node);
    list.push_back({{"name", node.name},
                    {"address", node.address},
                    {"zone", f.zones.at(node.zone.value_or(0))},
                    {"type", kind < f.kinds.size() ? f.kinds[kind].name : "node"},
                    {"group", list.size()},
                    {"status", "in_service"},
                    {"weight", node.weight},
                    {"since_ms", 0}});
  }
  return {{"index", 1}, {"snapshot", true}, {"endpoints", std::move(list)}};
}

json map_of(const App& app) {
  json all = json::array();
  for (const MapSetup& m : app.map) {
    json entry = {{"path", m.path}, {"class", app.classes.at(m.cls).name}};
    if (m.method != Method::Any) entry["method"] = method_word(m.method);
    if (m.tenant) entry["tenant"] = app.tenants.at(*m.tenant).name;
    if (m.timeout_ms) entry["timeout"] = *m.timeout_ms;
    all.push_back(std::move(entry));
  }
  return all;
}

json settings_of(const App& app) {
  json settings;
  settings["balancers"] = app.tier.routers;
  if (app.fleet.zone) settings["my_zone"] = *app.fleet.zone;
  settings["dcs"] = app.fleet.zones;
  settings["kinds"] = json::array();
  for (const KindSetup& kind : app.fleet.kinds) settings["kinds"].push_back(kind.name);
  if (app.fleet.kinds.empty()) settings["kinds"].push_back("node");
  settings["classes"] = json::array();
  for (const ClassSetup& c : app.classes) settings["classes"].push_back(class_of(c, app));
  settings["parties"] = json::array();
  for (const TenantSetup& t : app.tenants) {
    settings["parties"].push_back({{"name", t.name}, {"share", t.share}, {"quota_per_s", t.quota_per_s}});
  }
  settings["over_share_worth"] = app.tier.over_share_worth;
  settings["tick"] = app.tier.tick_ms;
  if (app.fleet.ledger) settings["extra"] = {{"mode", "aside"}, {"origin_kind", *app.fleet.ledger}};
  if (!app.reports.fields.empty()) {
    json fields = json::array();
    for (const std::size_t field : app.reports.fields) fields.push_back(field_word(field));
    settings["telemetry"] = {{"via", "inline"}, {"columns", std::move(fields)}};
  }
  settings["weight_kind"] = weight_word(app.fleet.weights);
  settings["limits"] = {{"max_attempts", app.attempts.most},
                        {"may_cancel", app.attempts.cancel},
                        {"may_duplicate", app.attempts.copies},
                        {"retry_after", app.attempts.retry_after_ms > 0},
                        {"max_retry_after", app.attempts.retry_after_ms},
                        {"connect_timeout", app.attempts.connect_ms},
                        {"conn_idle", app.attempts.idle_ms},
                        {"open_cap", open_of(app.limits)}};
  settings["obligations"] = {{"grace_to_answer", app.limits.grace_ms},
                             {"warm_after", app.fleet.warm_after_ms},
                             {"start_capacity", app.fleet.start_capacity},
                             {"tip_after", app.fleet.tip_after_ms}};
  if (app.resize.settle_ms > 0) {
    settings["resize"] = {{"settle", app.resize.settle_ms},
                          {"ledger_multiple", app.resize.ledger_multiple},
                          {"second_holder", app.resize.second_holder}};
  }
  return settings;
}

} // namespace

json render(const App& app) {
  json made = {{"name", app.name}, {"listen", app.listen}, {"settings", settings_of(app)}};
  if (app.seed != 0) {
    char seed[24];
    std::snprintf(seed, sizeof seed, "%llx", static_cast<unsigned long long>(app.seed));
    made["seed"] = seed;
  }
  if (!app.fleet.discovery.empty()) made["discovery"] = app.fleet.discovery;
  if (!app.fleet.file.empty()) made["nodes_file"] = app.fleet.file;
  if (!app.fleet.nodes.empty()) {
    made["nodes_fixed"] = true;
    made["known"] = nodes_of(app);
  }
  made["limits"] = {{"sockets", app.limits.sockets},
                    {"memory_mb", app.limits.memory_mb},
                    {"answer_bytes", static_cast<std::uint64_t>(app.limits.answer_bytes)},
                    {"request_bytes", static_cast<std::uint64_t>(app.limits.request_bytes)},
                    {"body_folder_mb", app.limits.body_folder_mb}};
  if (!app.limits.body_folder.empty()) made["limits"]["body_folder"] = app.limits.body_folder;
  if (!app.map.empty()) made["map"] = map_of(app);
  if (app.make_ids) made["make_ids"] = true;
  made["log"] = {{"format", app.log.format == 1 ? "json" : "text"},
                 {"per_second", app.log.per_s},
                 {"burst", app.log.burst},
                 {"connections", app.log.connections}};
  made["movable"] = true;
  return made;
}

} // namespace fernward::app_config
