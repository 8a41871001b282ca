#include "lab/experiment/run_experiment.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "lab/scenario/read.h"

namespace fernward::lab {
namespace {

using nlohmann::json;

constexpr const char* kFileFormat = "fernward-lab run";
constexpr int kFileFormatVersion = 1;

json to_json_value(const LatenessQuantiles& q) {
  return {{"p50", q.p50}, {"p99", q.p99}, {"p999", q.p999}, {"max", q.max}};
}

LatenessQuantiles quantiles_from_json(const json& input) {
  return {input.at("p50").get<double>(), input.at("p99").get<double>(), input.at("p999").get<double>(),
          input.at("max").get<double>()};
}

json to_json_value(const std::optional<double>& value) { return value ? json(*value) : json(); }

std::optional<double> optional_from_json(const json& input) {
  return input.is_null() ? std::nullopt : std::optional(input.get<double>());
}

json to_json_value(const RunInfo& info) {
  json routers = json::array();
  for (const RouterResourceUse& r : info.routers) {
    routers.push_back({{"router", r.router},
                       {"cpu_s", r.cpu_s},
                       {"peak_memory_mb", r.peak_memory_mb},
                       {"peak_sockets", r.peak_sockets}});
    if (r.datagrams == 0) continue;
    routers.back()["datagrams"] = r.datagrams;
    routers.back()["datagram_bytes"] = r.datagram_bytes;
  }
  return {{"void", info.is_void},
          {"why_void", info.void_reasons},
          {"stopped", info.stopped},
          {"played_ms", info.scenario_elapsed_ms},
          {"wall_s", info.wall_s},
          {"cpu_s", info.cpu_s},
          {"load_cpu_s", info.load_generator_cpu_s},
          {"peak_memory_mb", info.peak_memory_mb},
          {"lateness_ms", to_json_value(info.send_lateness_ms)},
          {"answer_lateness_ms", to_json_value(info.response_lateness_ms)},
          {"events", info.simulated_events},
          {"routers", routers}};
}

RunInfo run_info_from_json(const json& input) {
  RunInfo info;
  input.at("void").get_to(info.is_void);
  input.at("why_void").get_to(info.void_reasons);
  input.at("stopped").get_to(info.stopped);
  input.at("played_ms").get_to(info.scenario_elapsed_ms);
  input.at("wall_s").get_to(info.wall_s);
  input.at("cpu_s").get_to(info.cpu_s);
  input.at("load_cpu_s").get_to(info.load_generator_cpu_s);
  input.at("peak_memory_mb").get_to(info.peak_memory_mb);
  info.send_lateness_ms = quantiles_from_json(input.at("lateness_ms"));
  info.response_lateness_ms = quantiles_from_json(input.at("answer_lateness_ms"));
  input.at("events").get_to(info.simulated_events);
  for (const json& r : input.at("routers")) {
    info.routers.push_back({r.at("router").get<model::RouterId>(), r.at("cpu_s").get<double>(),
                            r.at("peak_memory_mb").get<double>(), r.at("peak_sockets").get<std::uint32_t>(),
                            r.value("datagrams", std::uint64_t{0}),
                            r.value("datagram_bytes", std::uint64_t{0})});
  }
  return info;
}

json to_json_value(const CheckResult& check_result) {
  json rules = json::array(), bounds = json::array();
  for (const RuleResult& r : check_result.rules) {
    json first = json::array();
    for (const RuleViolation& violation : r.first_violations)
      first.push_back({{"at_ms", violation.at_ms}, {"what", violation.description}});
    rules.push_back({{"rule", rule_name(r.rule)},
                     {"judged", r.enabled},
                     {"kept", r.passed()},
                     {"breaches", r.violation_count},
                     {"first", first}});
  }
  for (const BoundResult& b : check_result.bounds) {
    bounds.push_back({{"what", b.description},
                      {"metric", static_cast<int>(b.metric)},
                      {"at_least", to_json_value(b.at_least)},
                      {"at_most", to_json_value(b.at_most)},
                      {"value", to_json_value(b.value)},
                      {"kept", b.passed}});
  }
  return {{"kept", check_result.passed()},
          {"rules", rules},
          {"bounds", bounds},
          {"whole", check_result.overall_service},
          {"worst_window", check_result.worst_window_service},
          {"worst_class", check_result.worst_class_service},
          {"worst_tenant", check_result.worst_tenant_service},
          {"score", check_result.score}};
}

CheckResult check_result_from_json(const json& input) {
  CheckResult check_result;
  const json& rules = input.at("rules");
  if (rules.size() != kRuleCount)
    throw std::invalid_argument("its list of rules differs from that of this program");
  for (std::size_t i = 0; i < kRuleCount; ++i) {
    RuleResult& r = check_result.rules[i];
    r.rule = static_cast<Rule>(i);
    if (rules[i].at("rule") != rule_name(r.rule)) {
      throw std::invalid_argument("its list of rules differs from that of this program");
    }
    rules[i].at("judged").get_to(r.enabled);
    rules[i].at("breaches").get_to(r.violation_count);
    for (const json& violation : rules[i].at("first")) {
      r.first_violations.push_back(
          {violation.at("at_ms").get<double>(), violation.at("what").get<std::string>()});
    }
  }
  for (const json& b : input.at("bounds")) {
    const int metric = b.at("metric").get<int>();
    if (metric < 0 || metric > static_cast<int>(model::Metric::RecoveryMs)) {
      throw std::invalid_argument("a bound has a metric that is unknown to this program");
    }
    check_result.bounds.push_back({b.at("what").get<std::string>(), static_cast<model::Metric>(metric),
                                   optional_from_json(b.at("at_least")), optional_from_json(b.at("at_most")),
                                   optional_from_json(b.at("value")), b.at("kept").get<bool>()});
  }
  input.at("whole").get_to(check_result.overall_service);
  input.at("worst_window").get_to(check_result.worst_window_service);
  input.at("worst_class").get_to(check_result.worst_class_service);
  input.at("worst_tenant").get_to(check_result.worst_tenant_service);
  input.at("score").get_to(check_result.score);
  return check_result;
}

} // namespace

double virtual_time_slack_ms(const model::Spec& spec) { return spec.routers.event_interval_ms; }

ExperimentResult run_experiment(Driver& driver, const std::string& driver_name, const model::Spec& spec,
                                double slack_ms, const RunControl& control,
                                const std::function<void(const RunStats&)>& on_all_requests_closed) {
  const model::Plan plan = model::make_plan(spec);
  RuleChecker checker(spec, plan, slack_ms);
  StatsCollector collector(spec, plan);
  TeeSink sinks({&checker, &collector});
  RunControl run_control = control;
  bool notified = !on_all_requests_closed;
  if (on_all_requests_closed) {
    run_control.progress = [&](double now) {
      if (control.progress) control.progress(now);
      if (notified || now < spec.duration_ms || collector.open_request_count() > 0) return;
      notified = true;
      on_all_requests_closed(StatsCollector(collector).take());
    };
  }
  ExperimentResult result;
  result.driver = driver_name;
  result.scenario_toml = scenario_text(spec);
  result.seed = spec.seed;
  result.info = driver.run(spec, sinks, run_control);
  result.check_result = checker.finish(!result.info.stopped);
  result.stats = collector.take();
  return result;
}

json to_json(const ExperimentResult& result) {
  return {{"format", kFileFormat},
          {"version", kFileFormatVersion},
          {"driver", result.driver},
          {"seed", result.seed},
          {"good", result.passed()},
          {"scenario", result.scenario_toml},
          {"run", to_json_value(result.info)},
          {"findings", to_json_value(result.check_result)},
          {"figures", to_json(result.stats)}};
}

ExperimentResult result_from_json(const json& input) {
  try {
    if (!input.is_object() || input.value("format", "") != kFileFormat) {
      throw std::invalid_argument("is not a run file of fernward-lab");
    }
    if (input.at("version") != kFileFormatVersion)
      throw std::invalid_argument("was written in another version of the file format");
    ExperimentResult result;
    input.at("driver").get_to(result.driver);
    input.at("seed").get_to(result.seed);
    input.at("scenario").get_to(result.scenario_toml);
    result.info = run_info_from_json(input.at("run"));
    result.check_result = check_result_from_json(input.at("findings"));
    result.stats = run_stats_from_json(input.at("figures"));
    return result;
  } catch (const json::exception& error) {
    throw std::invalid_argument(error.what());
  }
}

} // namespace fernward::lab
