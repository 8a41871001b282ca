#include "lab/report/files.h"

#include <cstdarg>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "lab/experiment/summary.h"
#include "lab/report/html.h"

namespace fernward::lab {
namespace {

namespace fs = std::filesystem;

__attribute__((format(printf, 2, 3))) void append_format(std::string& output, const char* format, ...) {
  char text[512];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  output += text;
}

double percentage(std::uint64_t part, std::uint64_t total) {
  return total > 0 ? 100 * static_cast<double>(part) / static_cast<double>(total) : 0;
}

} // namespace

void save_text(const fs::path& folder, const std::string& name, const std::string& text) {
  std::error_code error;
  fs::create_directories(folder, error);
  if (error) throw std::runtime_error(folder.string() + ": " + error.message());
  std::ofstream out(folder / name, std::ios::binary | std::ios::trunc);
  out << text;
  out.close();
  if (!out) throw std::runtime_error((folder / name).string() + " can't be written");
}

std::string seconds_csv(const RunStats& stats) {
  std::string out =
      "from_s,drawn,in_time,served,refused,failed,service,p50_ms,p90_ms,p99_ms,attempts,fetches,writes,hits,"
      "misses,"
      "turned_away,errors,handshakes\n";
  for (std::size_t i = 0; i < stats.slices.size(); ++i) {
    const TimeSlice& slice = stats.slices[i];
    const RequestStats& request_stats = slice.request_stats;
    append_format(out, "%.10g,%llu,%llu,%llu,%llu,%llu,",
                  stats.slice_width_ms * static_cast<double>(i) / 1000,
                  static_cast<unsigned long long>(request_stats.drawn),
                  static_cast<unsigned long long>(request_stats.within_objective),
                  static_cast<unsigned long long>(request_stats.served()),
                  static_cast<unsigned long long>(request_stats.rejected()),
                  static_cast<unsigned long long>(request_stats.failed()));
    if (request_stats.drawn_weight > 0) append_format(out, "%.6f", request_stats.service());
    for (const double quantile : {0.5, 0.9, 0.99}) {
      out += ',';
      if (request_stats.latency_histogram.count() > 0)
        append_format(out, "%.2f", request_stats.latency_histogram.quantile(quantile));
    }
    for (const std::uint64_t count : {slice.attempts, slice.origin_reads, slice.origin_writes, slice.hits,
                                      slice.misses, slice.rejected, slice.errors}) {
      append_format(out, ",%llu", static_cast<unsigned long long>(count));
    }
    append_format(out, ",%.10g\n", slice.handshakes);
  }
  return out;
}

std::string machines_csv(const RunStats& stats) {
  std::string out = "machine,from_s,used,attempts\n";
  for (const MachineStats& machine : stats.machines) {
    for (std::size_t i = 0; i < machine.slices.size(); ++i) {
      const MachineTimeSlice& slice = machine.slices[i];
      if (slice.sample_count == 0 && slice.attempts == 0) continue;
      append_format(out, "%s,%.10g,", machine.name.c_str(),
                    stats.slice_width_ms * static_cast<double>(i) / 1000);
      if (slice.sample_count > 0)
        append_format(out, "%.4f", slice.utilization_sum / static_cast<float>(slice.sample_count));
      append_format(out, ",%u\n", slice.attempts);
    }
  }
  return out;
}

std::string verdict_text(const ExperimentResult& result) {
  if (result.info.is_void) return "VOID: the results are not valid for the routers";
  if (result.info.stopped) return "STOPPED before its end";
  std::size_t rules = 0, bounds = 0;
  for (const RuleResult& rule : result.check_result.rules) rules += rule.passed() ? 0 : 1;
  for (const BoundResult& bound : result.check_result.bounds) bounds += bound.passed ? 0 : 1;
  if (rules + bounds == 0) return "GOOD: every rule was kept and every bound holds";
  std::string text = "BAD:";
  if (rules > 0) append_format(text, " %zu %s broken", rules, rules == 1 ? "rule was" : "rules were");
  if (rules > 0 && bounds > 0) text += " and";
  if (bounds > 0) append_format(text, " %zu %s not hold", bounds, bounds == 1 ? "bound does" : "bounds do");
  return text;
}

std::string summary_text(const ExperimentResult& result) {
  std::string out;
  const TimeSlice totals = result.stats.total();
  const RequestStats& request_stats = totals.request_stats;
  const bool sockets = result.driver != "virtual";
  out += result.stats.scenario;
  if (!result.stats.title.empty()) out.append(": ").append(result.stats.title);
  out += '\n';
  append_format(out, "%.1f s %s, run in %.1f s; seed %llu\n\n", result.info.scenario_elapsed_ms / 1000,
                sockets ? "on sockets" : "of virtual time", result.info.wall_s,
                static_cast<unsigned long long>(result.seed));
  const auto append_count = [&](const char* name, std::uint64_t count) {
    append_format(out, "  %-12s %10llu   %6.2f%%\n", name, static_cast<unsigned long long>(count),
                  percentage(count, request_stats.drawn));
  };
  append_count("requests", request_stats.drawn);
  append_count("served", request_stats.served());
  append_count(" in time", request_stats.within_objective);
  append_count("refused", request_stats.rejected());
  append_count("failed", request_stats.failed());
  append_format(out, "\n  latency      50%% in %.0f ms, 90%% in %.0f ms, 99%% in %.0f ms\n",
                request_stats.latency_histogram.quantile(0.5), request_stats.latency_histogram.quantile(0.9),
                request_stats.latency_histogram.quantile(0.99));
  append_format(out, "  service      %.2f%%; worst 10 s %.2f%%, worst class %.2f%%, worst tenant %.2f%%\n",
                100 * result.check_result.overall_service, 100 * result.check_result.worst_window_service,
                100 * result.check_result.worst_class_service,
                100 * result.check_result.worst_tenant_service);
  if (totals.hits + totals.misses > 0 && totals.origin_reads + totals.origin_writes > 0) {
    append_format(out, "  caches       %.2f%% hits; %.1f requests a second to the origin\n",
                  100 * hit_ratio(totals),
                  static_cast<double>(totals.origin_reads + totals.origin_writes) * 1000 /
                      result.stats.duration_ms / result.stats.runs);
  }
  if (sockets) {
    double cpu_s = 0;
    for (const RouterResourceUse& use : result.info.routers) cpu_s += use.cpu_s;
    append_format(out,
                  "  routers      %.0f us of CPU a request; the lab sent 99%% within %.2f ms of their time\n",
                  request_stats.drawn > 0 ? cpu_s * 1e6 / static_cast<double>(request_stats.drawn) : 0,
                  result.info.send_lateness_ms.p99);
  }
  double datagrams = 0, bytes = 0;
  for (const RouterResourceUse& use : result.info.routers) {
    datagrams += static_cast<double>(use.datagrams), bytes += static_cast<double>(use.datagram_bytes);
  }
  if (datagrams > 0) {
    const double router_seconds =
        static_cast<double>(result.info.routers.size()) * result.info.scenario_elapsed_ms / 1000;
    append_format(out, "  sharing      %.1f datagrams and %.0f bytes a second and router\n",
                  datagrams / router_seconds, bytes / router_seconds);
  }
  out += "\n";
  for (const RuleResult& rule : result.check_result.rules) {
    if (rule.passed()) continue;
    append_format(out, "  BROKEN  %s, %llu times\n", rule_description(rule.rule),
                  static_cast<unsigned long long>(rule.violation_count));
    for (const RuleViolation& violation : rule.first_violations)
      append_format(out, "          at %.3f s: %s\n", violation.at_ms / 1000, violation.description.c_str());
  }
  for (const BoundResult& bound : result.check_result.bounds) {
    std::string limits_text;
    if (bound.at_least)
      append_format(limits_text, " at least %s", metric_value_text(bound.metric, *bound.at_least).c_str());
    if (bound.at_most)
      append_format(limits_text, " at most %s", metric_value_text(bound.metric, *bound.at_most).c_str());
    append_format(out, "  %-7s %s: %s, expected%s\n", bound.passed ? "holds" : "MISSED",
                  bound.description.c_str(),
                  bound.value ? metric_value_text(bound.metric, *bound.value).c_str() : "nothing to measure",
                  limits_text.c_str());
  }
  for (const std::string& reason : result.info.void_reasons)
    append_format(out, "  VOID    %s\n", reason.c_str());
  out +=
      (result.check_result.passed() && result.info.void_reasons.empty() && result.check_result.bounds.empty()
           ? ""
           : "\n") +
      verdict_text(result) + "\n";
  return out;
}

ReportFiles write_files(const ExperimentResult& result, const fs::path& folder) {
  const Plots plots = draw_plots(result.stats);
  save_text(folder, "run.json", to_json(result).dump(1) + "\n");
  save_text(folder, "seconds.csv", seconds_csv(result.stats));
  save_text(folder, "machines.csv", machines_csv(result.stats));
  save_text(folder, "scenario.toml", result.scenario_toml);
  save_text(folder, "report.html", html_report(result, plots));
  return {folder / "report.html", plots.error};
}

ExperimentResult load_result(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw std::runtime_error(path.string() + " can't be read");
  try {
    return result_from_json(nlohmann::json::parse(in));
  } catch (const std::exception& error) { // a parse error, or a missing key
    throw std::runtime_error(path.string() + ": " + error.what());
  }
}

} // namespace fernward::lab
