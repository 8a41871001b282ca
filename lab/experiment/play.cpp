#include "lab/experiment/play.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "lab/scenario/read.h"

namespace fernward::lab {
namespace {

using nlohmann::json;

constexpr const char* kFormat = "fernward-lab run";
constexpr int kVersion = 1;

json json_of(const Quantiles& q) {
  return {{"p50", q.p50}, {"p99", q.p99}, {"p999", q.p999}, {"max", q.max}};
}

Quantiles quantiles_from(const json& j) {
  return {j.at("p50").get<double>(), j.at("p99").get<double>(), j.at("p999").get<double>(),
          j.at("max").get<double>()};
}

json json_of(const std::optional<double>& value) { return value ? json(*value) : json(); }

std::optional<double> optional_from(const json& j) {
  return j.is_null() ? std::nullopt : std::optional(j.get<double>());
}

json json_of(const RunInfo& i) {
  json routers = json::array();
  for (const RouterCost& r : i.routers) {
    routers.push_back({{"router", r.router},
                       {"cpu_s", r.cpu_s},
                       {"peak_memory_mb", r.peak_memory_mb},
                       {"peak_sockets", r.peak_sockets}});
    if (r.datagrams == 0) continue;
    routers.back()["datagrams"] = r.datagrams;
    routers.back()["datagram_bytes"] = r.datagram_bytes;
  }
  return {{"void", i.is_void},
          {"why_void", i.why_void},
          {"stopped", i.stopped},
          {"played_ms", i.played_ms},
          {"wall_s", i.wall_s},
          {"cpu_s", i.cpu_s},
          {"load_cpu_s", i.load_cpu_s},
          {"peak_memory_mb", i.peak_memory_mb},
          {"lateness_ms", json_of(i.lateness_ms)},
          {"answer_lateness_ms", json_of(i.answer_lateness_ms)},
          {"events", i.events},
          {"routers", routers}};
}

RunInfo info_from(const json& j) {
  RunInfo i;
  j.at("void").get_to(i.is_void);
  j.at("why_void").get_to(i.why_void);
  j.at("stopped").get_to(i.stopped);
  j.at("played_ms").get_to(i.played_ms);
  j.at("wall_s").get_to(i.wall_s);
  j.at("cpu_s").get_to(i.cpu_s);
  j.at("load_cpu_s").get_to(i.load_cpu_s);
  j.at("peak_memory_mb").get_to(i.peak_memory_mb);
  i.lateness_ms = quantiles_from(j.at("lateness_ms"));
  i.answer_lateness_ms = quantiles_from(j.at("answer_lateness_ms"));
  j.at("events").get_to(i.events);
  for (const json& r : j.at("routers")) {
    i.routers.push_back({r.at("router").get<model::RouterId>(), r.at("cpu_s").get<double>(),
                         r.at("peak_memory_mb").get<double>(), r.at("peak_sockets").get<std::uint32_t>(),
                         r.value("datagrams", std::uint64_t{0}),
                         r.value("datagram_bytes", std::uint64_t{0})});
  }
  return i;
}

json json_of(const Findings& f) {
  json rules = json::array(), bounds = json::array();
  for (const RuleFinding& r : f.rules) {
    json first = json::array();
    for (const Breach& b : r.first) first.push_back({{"at_ms", b.at_ms}, {"what", b.what}});
    rules.push_back({{"rule", rule_name(r.rule)},
                     {"judged", r.judged},
                     {"kept", r.kept()},
                     {"breaches", r.breaches},
                     {"first", first}});
  }
  for (const BoundFinding& b : f.bounds) {
    bounds.push_back({{"what", b.what},
                      {"metric", static_cast<int>(b.metric)},
                      {"at_least", json_of(b.at_least)},
                      {"at_most", json_of(b.at_most)},
                      {"value", json_of(b.value)},
                      {"kept", b.kept}});
  }
  return {{"kept", f.kept()},
          {"rules", rules},
          {"bounds", bounds},
          {"whole", f.whole},
          {"worst_window", f.worst_window},
          {"worst_class", f.worst_class},
          {"worst_tenant", f.worst_tenant},
          {"score", f.score}};
}

Findings findings_from(const json& j) {
  Findings f;
  const json& rules = j.at("rules");
  if (rules.size() != kRules)
    throw std::invalid_argument("its list of rules differs from that of this program");
  for (std::size_t i = 0; i < kRules; ++i) {
    RuleFinding& r = f.rules[i];
    r.rule = static_cast<Rule>(i);
    if (rules[i].at("rule") != rule_name(r.rule)) {
      throw std::invalid_argument("its list of rules differs from that of this program");
    }
    rules[i].at("judged").get_to(r.judged);
    rules[i].at("breaches").get_to(r.breaches);
    for (const json& b : rules[i].at("first")) {
      r.first.push_back({b.at("at_ms").get<double>(), b.at("what").get<std::string>()});
    }
  }
  for (const json& b : j.at("bounds")) {
    const int metric = b.at("metric").get<int>();
    if (metric < 0 || metric > static_cast<int>(model::Metric::RecoveryMs)) {
      throw std::invalid_argument("a bound has a metric that is unknown to this program");
    }
    f.bounds.push_back({b.at("what").get<std::string>(), static_cast<model::Metric>(metric),
                        optional_from(b.at("at_least")), optional_from(b.at("at_most")),
                        optional_from(b.at("value")), b.at("kept").get<bool>()});
  }
  j.at("whole").get_to(f.whole);
  j.at("worst_window").get_to(f.worst_window);
  j.at("worst_class").get_to(f.worst_class);
  j.at("worst_tenant").get_to(f.worst_tenant);
  j.at("score").get_to(f.score);
  return f;
}

} // namespace

double virtual_slack(const model::Spec& spec) { return spec.routers.tick_ms; }

Result play(Driver& driver, const std::string& driver_name, const model::Spec& spec, double slack_ms,
            const RunControl& control, const std::function<void(const Figures&)>& quiet) {
  const model::Plan plan = model::make_plan(spec);
  Checker checker(spec, plan, slack_ms);
  Collector collector(spec, plan);
  Tee tee({&checker, &collector});
  RunControl watched = control;
  bool told = !quiet;
  if (quiet) {
    watched.progress = [&](double now) {
      if (control.progress) control.progress(now);
      if (told || now < spec.duration_ms || collector.remembers() > 0) return;
      told = true;
      quiet(Collector(collector).take());
    };
  }
  Result result;
  result.driver = driver_name;
  result.scenario = scenario_text(spec);
  result.seed = spec.seed;
  result.info = driver.run(spec, tee, watched);
  result.findings = checker.finish(!result.info.stopped);
  result.figures = collector.take();
  return result;
}

json to_json(const Result& r) {
  return {{"format", kFormat},
          {"version", kVersion},
          {"driver", r.driver},
          {"seed", r.seed},
          {"good", r.good()},
          {"scenario", r.scenario},
          {"run", json_of(r.info)},
          {"findings", json_of(r.findings)},
          {"figures", to_json(r.figures)}};
}

Result result_from(const json& j) {
  try {
    if (!j.is_object() || j.value("format", "") != kFormat) {
      throw std::invalid_argument("is not a run file of fernward-lab");
    }
    if (j.at("version") != kVersion)
      throw std::invalid_argument("was written in another version of the file format");
    Result r;
    j.at("driver").get_to(r.driver);
    j.at("seed").get_to(r.seed);
    j.at("scenario").get_to(r.scenario);
    r.info = info_from(j.at("run"));
    r.findings = findings_from(j.at("findings"));
    r.figures = figures_from(j.at("figures"));
    return r;
  } catch (const json::exception& error) {
    throw std::invalid_argument(error.what());
  }
}

} // namespace fernward::lab
