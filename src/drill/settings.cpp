#include "drill/settings.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "drill/wire.h"

namespace brookroad::drill {
namespace {

using Json = nlohmann::json;

// What is absent keeps the default that brookroad/choice.h states.
template <typename T>
void read(const Json& from, const char* key, T& into) {
  if (const auto found = from.find(key); found != from.end() && !found->is_null()) found->get_to(into);
}

template <typename T>
T one_of(const std::string& word, std::initializer_list<std::pair<const char*, T>> words, T otherwise) {
  for (const auto& [name, value] : words) {
    if (word == name) return value;
  }
  return otherwise;
}

std::string word(const Json& from, const char* key) {
  std::string text;
  read(from, key, text);
  return text;
}

Json part(const Json& from, const char* key) {
  const auto found = from.find(key);
  return found != from.end() && found->is_object() ? *found : Json::object();
}

ClassSettings parse_class(const Json& from) {
  ClassSettings cls;
  from.at("give_up").get_to(cls.give_up_ms);
  cls.aim_ms = cls.give_up_ms;
  read(from, "aim", cls.aim_ms);
  read(from, "aim_stretch", cls.aim_stretch);
  read(from, "late_share", cls.late_share);
  read(from, "worth", cls.worth);
  read(from, "window", cls.window_ms);
  read(from, "stream", cls.stream);
  // An unknown word gets the strictest meaning.
  cls.repeat = one_of<Repeat>(from.at("repeat").get<std::string>(),
                              {{"safe", Repeat::Safe}, {"keyed", Repeat::Keyed}}, Repeat::Unsafe);
  cls.scope =
      one_of<Scope>(word(from, "dedup_scope"), {{"all", Scope::All}, {"zone", Scope::Zone}}, Scope::Cell);
  return cls;
}

ReportField parse_field(const std::string& name) {
  return one_of<ReportField>(name,
                             {{"inflight", ReportField::Inflight},
                              {"queue", ReportField::Queue},
                              {"util", ReportField::Util},
                              {"latency_ms", ReportField::LatencyMs},
                              {"qps", ReportField::Qps},
                              {"eps", ReportField::Eps}},
                             ReportField::Other);
}

Settings parse(const Json& from) {
  Settings s;
  from.at("balancers").get_to(s.nodes);
  if (const auto zone = from.find("my_zone"); zone != from.end() && !zone->is_null()) {
    s.zone = zone->get<std::uint32_t>();
  }
  for (const Json& cls : from.at("classes")) s.classes.push_back(parse_class(cls));
  if (const auto parties = from.find("parties"); parties != from.end() && parties->is_array()) {
    for (const Json& party : *parties) {
      TenantSettings tenant;
      read(party, "share", tenant.share);
      read(party, "quota_per_s", tenant.quota_per_s);
      s.tenants.push_back(tenant);
    }
  }
  read(from, "over_share_worth", s.over_share_worth);
  read(from, "tick", s.tick_ms);

  const Json extra = part(from, "extra");
  if (word(extra, "mode") == "aside") read(extra, "origin_kind", s.origin_kind);

  const Json telemetry = part(from, "telemetry");
  s.report_via =
      one_of<ReportVia>(word(telemetry, "via"),
                        {{"inline", ReportVia::Answers}, {"on_probe", ReportVia::Probes}}, ReportVia::Never);
  std::vector<std::string> columns;
  read(telemetry, "columns", columns);
  for (const auto& name : columns) s.report_fields.push_back(parse_field(name));

  s.discovery = word(from, "registry_mode") == "ask" ? Discovery::Ask : Discovery::Push;
  s.weight_kind = one_of<WeightKind>(
      word(from, "weight_kind"),
      {{"nominal", WeightKind::Nominal}, {"rough", WeightKind::Rough}, {"live", WeightKind::Live}},
      WeightKind::Off);

  const Json& limits = from.at("limits");
  read(limits, "may_probe", s.may_probe);
  read(limits, "may_cancel", s.may_cancel);
  read(limits, "may_duplicate", s.may_duplicate);
  read(limits, "retry_after", s.retry_advice);
  read(limits, "max_retry_after", s.max_retry_after_ms);
  limits.at("max_attempts").get_to(s.max_attempts);

  const Json& obligations = from.at("obligations");
  read(obligations, "ask_every", s.ask_every_ms);
  read(obligations, "warm_after", s.warm_after_ms);
  read(obligations, "start_capacity", s.start_capacity);
  read(obligations, "tip_after", s.tip_after_ms);
  return s;
}

} // namespace

Settings parse_settings(std::string_view text) {
  try {
    return parse(Json::parse(text));
  } catch (const Json::exception& error) {
    throw BadInput("settings: " + std::string(error.what()));
  }
}

} // namespace brookroad::drill
