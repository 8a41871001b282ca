#include "config/settings.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "config/read.h"

namespace fernward::config {
namespace {

using fernward::LoadReportField;
using fernward::WeightKind;

template <typename T>
T one_of(const std::string& word, std::initializer_list<std::pair<const char*, T>> words, T otherwise) {
  for (const auto& [name, value] : words) {
    if (word == name) return value;
  }
  return otherwise;
}

fernward::ClassSettings parse_class(const Part& from) {
  using fernward::Idempotency;
  using fernward::IdempotencyScope;
  fernward::ClassSettings cls;
  from.need("give_up", cls.client_timeout_ms);
  from.range("give_up", cls.client_timeout_ms);
  cls.latency_objective_ms = cls.client_timeout_ms;
  from.range("aim", cls.latency_objective_ms);
  from.range("aim_stretch", cls.objective_per_work);
  from.range("late_share", cls.late_value_share, 1);
  from.range("worth", cls.priority_weight);
  from.range("window", cls.idempotency_window_ms);
  from.read("stream", cls.streaming);
  if (from.json.contains("max_attempts")) from.count("max_attempts", cls.max_attempts, 1);
  from.read("may_duplicate", cls.may_hedge);
  std::string repeat;
  from.need("repeat", repeat);
  // An unknown word is treated as the strictest value.
  cls.idempotency =
      one_of<Idempotency>(repeat, {{"safe", Idempotency::Idempotent}, {"keyed", Idempotency::WithKey}},
                          Idempotency::NonIdempotent);
  cls.idempotency_scope = one_of<IdempotencyScope>(
      from.word("dedup_scope"), {{"all", IdempotencyScope::All}, {"zone", IdempotencyScope::Zone}},
      IdempotencyScope::Cell);
  return cls;
}

LoadReportField parse_field(const std::string& name) {
  return one_of<LoadReportField>(name,
                                 {{"inflight", LoadReportField::Inflight},
                                  {"queue", LoadReportField::Queue},
                                  {"util", LoadReportField::Util},
                                  {"latency_ms", LoadReportField::LatencyMs},
                                  {"qps", LoadReportField::Qps},
                                  {"eps", LoadReportField::Eps}},
                                 LoadReportField::Other);
}

// Requests refer to entries by name, so an entry without a name or with a duplicate one would be unreachable.
std::vector<std::string> names_of(const Part& from, const char* key) {
  std::vector<std::string> names;
  for (const Part& entry : from.list(key)) {
    std::string name;
    entry.need("name", name);
    if (name.empty()) throw Error(entry.at("name") + ": must not be empty");
    if (std::find(names.begin(), names.end(), name) != names.end())
      throw Error(entry.at("name") + ": \"" + name + "\" is given twice");
    names.push_back(std::move(name));
  }
  return names;
}

// Checks an index into a list of names. If the list is absent, any index is valid.
void check_place(const Part& from, const std::string& key, std::uint32_t place, const Part& lists,
                 const char* list) {
  std::vector<std::string> names;
  lists.read(list, names);
  if (lists.json.contains(list) && place >= names.size())
    throw Error(from.at(key) + ": is " + std::to_string(place) + ", but there are " +
                std::to_string(names.size()) + " " + list);
}

double positive(const Part& from, const char* key, double otherwise) {
  double value = otherwise;
  from.read(key, value);
  if (!(value > 0)) throw Error(from.at(key) + ": must be above 0");
  return value;
}

} // namespace

fernward::Settings parse_settings(const nlohmann::json& json) {
  const Part from{json, ""};
  fernward::Settings s;
  from.count("balancers", s.router_count, 1);
  if (const auto zone = json.find("my_zone"); zone != json.end() && !zone->is_null()) {
    from.count("my_zone", s.zone.emplace());
    check_place(from, "my_zone", *s.zone, from, "dcs");
  }
  if (!json.contains("classes")) throw Error("classes: is missing");
  for (const Part& cls : from.list("classes")) s.classes.push_back(parse_class(cls));
  if (s.classes.empty()) throw Error("classes: must have at least one entry");
  for (const Part& party : from.list("parties")) {
    fernward::TenantSettings tenant;
    party.range("share", tenant.service_share, 1);
    party.range("quota_per_s", tenant.quota_per_s);
    s.tenants.push_back(tenant);
  }
  from.range("over_share_worth", s.over_quota_weight, 1);
  from.range("tick", s.event_interval_ms);

  const Part extra = from.part("extra");
  if (extra.word("mode") == "aside") {
    std::uint32_t kind = 0;
    extra.count("origin_kind", kind);
    if (kind > std::numeric_limits<std::int32_t>::max())
      throw Error(extra.at("origin_kind") + ": is too large");
    check_place(extra, "origin_kind", kind, from, "kinds");
    s.origin_kind = static_cast<std::int32_t>(kind);
  }

  const Part telemetry = from.part("telemetry");
  s.load_report_source =
      one_of<fernward::LoadReportSource>(telemetry.word("via"),
                                         {{"inline", fernward::LoadReportSource::Responses},
                                          {"on_probe", fernward::LoadReportSource::HealthChecks}},
                                         fernward::LoadReportSource::Never);
  std::vector<std::string> columns;
  telemetry.read("columns", columns);
  for (const auto& name : columns) s.load_report_fields.push_back(parse_field(name));

  s.discovery =
      from.word("registry_mode") == "ask" ? fernward::DiscoveryMode::Poll : fernward::DiscoveryMode::Push;
  s.weight_kind = one_of<WeightKind>(
      from.word("weight_kind"),
      {{"nominal", WeightKind::Nominal}, {"rough", WeightKind::Rough}, {"live", WeightKind::Live}},
      WeightKind::Off);

  const Part limits = from.needed_part("limits");
  limits.read("may_probe", s.may_health_check);
  limits.read("may_cancel", s.may_cancel);
  limits.read("may_duplicate", s.may_hedge);
  limits.read("retry_after", s.send_retry_after);
  limits.range("max_retry_after", s.max_retry_after_ms);
  limits.count("max_attempts", s.max_attempts, 1);

  const Part obligations = from.needed_part("obligations");
  obligations.range("ask_every", s.poll_interval_ms);
  obligations.range("warm_after", s.slow_start_ms);
  obligations.range("start_capacity", s.slow_start_min_capacity, 1);
  obligations.range("tip_after", s.overload_failure_ms);
  obligations.range("fall_multiple", s.overload_multiple);

  const Part resize = from.part("resize");
  resize.range("settle", s.resize.transition_ms);
  resize.range("ledger_multiple", s.resize.origin_load_multiple);
  resize.range("second_holder", s.resize.second_replica_share, 1);
  if (s.resize.origin_load_multiple > 0 && s.resize.origin_load_multiple < 1) {
    throw Error(resize.at("ledger_multiple") + ": must be 0, or at least 1");
  }
  return s;
}

Names parse_names(const nlohmann::json& json) {
  const Part from{json, ""};
  Names names;
  names.classes = names_of(from, "classes");
  names.tenants = names_of(from, "parties");
  from.read("dcs", names.zones);
  from.read("kinds", names.kinds);
  from.part("telemetry").read("columns", names.report_fields);
  return names;
}

Limits parse_limits(const nlohmann::json& json) {
  const Part from{json, ""};
  const Part part = from.part("limits");
  Limits limits;
  limits.connect_timeout_ms = positive(part, "connect_timeout", limits.connect_timeout_ms);
  limits.conn_idle_ms = positive(part, "conn_idle", limits.conn_idle_ms);
  limits.open_cap = positive(part, "open_cap", limits.open_cap);
  if (!(limits.open_cap >= 1 && limits.open_cap <= 1e6))
    throw Error(part.at("open_cap") + ": must be a number from 1 to 1000000");
  limits.grace_to_answer_ms =
      positive(from.part("obligations"), "grace_to_answer", limits.grace_to_answer_ms);
  limits.drain_grace_ms = positive(from.part("obligations"), "drain_grace", limits.drain_grace_ms);
  return limits;
}

} // namespace fernward::config
