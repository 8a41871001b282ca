#include "lab/report/html.h"

#include <cstdio>

#include "lab/report/files.h"
#include "lab/stats/format_text.h"

namespace fernward::lab {
namespace {

constexpr const char* kStyle = R"(
body { font: 15px/1.45 system-ui, sans-serif; color: #202020; background: #fff; margin: 0 auto; max-width: 1020px;
  padding: 16px 20px 60px; }
h1 { font-size: 24px; margin: 8px 0 0; } h2 { font-size: 18px; margin: 34px 0 2px; }
p { margin: 4px 0; } .note, .small { color: #606060; font-size: 13px; }
.verdict { margin: 14px 0; padding: 10px 14px; border-radius: 6px; font-weight: 600; }
.good { background: #e3f2e6; color: #14532d; } .bad { background: #fbe3e1; color: #7f1d1d; }
.void { background: #fdf0d5; color: #6b4700; }
table { border-collapse: collapse; margin: 8px 0; } th, td { text-align: right; padding: 3px 12px 3px 0; }
th { font-weight: 600; border-bottom: 1px solid #c0c0c0; } td { border-bottom: 1px solid #ececec; }
th.l, td.l { text-align: left; } td.mark { font-weight: 700; } .cards { display: flex; flex-wrap: wrap; gap: 10px; }
.card { border: 1px solid #dcdcdc; border-radius: 6px; padding: 8px 14px; min-width: 104px; }
.card b { display: block; font-size: 20px; } .card span { color: #606060; font-size: 13px; }
svg { max-width: 100%; height: auto; } svg image { image-rendering: pixelated; } pre { background: #f5f5f5; padding: 10px; overflow: auto; font-size: 12px;
  max-height: 420px; } code { background: #f2f2f2; padding: 1px 4px; }
)";

std::string percent(double share) { return format_text("%.2f%%", 100 * share); }
std::string percent(std::uint64_t part, std::uint64_t total) {
  return total > 0 ? percent(static_cast<double>(part) / static_cast<double>(total)) : "-";
}
std::string cell(const std::string& text) { return "<td>" + html_escaped(text) + "</td>"; }
std::string left_cell(const std::string& text) { return "<td class=l>" + html_escaped(text) + "</td>"; }
std::string card(const std::string& value, const std::string& label) {
  return "<div class=card><b>" + html_escaped(value) + "</b><span>" + html_escaped(label) + "</span></div>\n";
}

std::string verdict(const ExperimentResult& result) {
  const char* kind = result.info.is_void || result.info.stopped ? "void" : result.passed() ? "good" : "bad";
  std::string out =
      std::string("<div class='verdict ") + kind + "'>" + html_escaped(verdict_text(result)) + "</div>\n";
  for (const std::string& reason : result.info.void_reasons) out += "<p>" + html_escaped(reason) + "</p>\n";
  return out;
}

std::string cards(const ExperimentResult& result, const TimeSlice& totals) {
  const RequestStats& request_stats = totals.request_stats;
  std::string out = "<div class=cards>\n";
  out += card(std::to_string(request_stats.drawn), "requests");
  out += card(percent(request_stats.served(), request_stats.drawn), "served");
  out += card(percent(request_stats.within_objective, request_stats.drawn), "served in time");
  out += card(percent(request_stats.rejected(), request_stats.drawn), "refused");
  out += card(percent(request_stats.failed(), request_stats.drawn), "failed");
  out += card(format_text("%.0f ms", request_stats.latency_histogram.quantile(0.5)), "latency, half within");
  out += card(format_text("%.0f ms", request_stats.latency_histogram.quantile(0.99)), "latency, 99% within");
  out += card(percent(result.check_result.overall_service), "service");
  out += card(percent(result.check_result.worst_window_service), "service, worst 10 s");
  if (totals.hits + totals.misses > 0) out += card(percent(hit_ratio(totals)), "hits");
  if (totals.origin_reads + totals.origin_writes > 0) {
    out += card(format_text("%.1f/s", static_cast<double>(totals.origin_reads + totals.origin_writes) * 1000 /
                                          result.stats.duration_ms / result.stats.runs),
                "to the origin");
  }
  return out + "</div>\n";
}

std::string rules(const CheckResult& check_result) {
  std::string out =
      "<h2>What must hold</h2>\n<table><tr><th class=l></th><th class=l>rule</th><th></th></tr>\n";
  for (const RuleResult& rule : check_result.rules) {
    const char* mark = !rule.enabled ? "not judged" : rule.passed() ? "kept" : "BROKEN";
    out += "<tr><td class='l mark'>" + std::string(mark) + "</td>" + left_cell(rule_description(rule.rule)) +
           cell(rule.violation_count > 0 ? std::to_string(rule.violation_count) + " times" : "") + "</tr>\n";
    for (const RuleViolation& violation : rule.first_violations) {
      out += "<tr><td></td>" +
             left_cell(format_text("at %.3f s: ", violation.at_ms / 1000) + violation.description) +
             "<td></td></tr>\n";
    }
  }
  out += "</table>\n";
  if (check_result.bounds.empty()) return out;
  out +=
      "<table><tr><th class=l></th><th class=l>bound</th><th>measured</th><th>at least</th><th>at "
      "most</th></tr>\n";
  for (const BoundResult& bound : check_result.bounds) {
    const auto text = [&](const std::optional<double>& value) {
      return value ? metric_value_text(bound.metric, *value) : "";
    };
    out += std::string("<tr><td class='l mark'>") + (bound.passed ? "holds" : "MISSED") + "</td>" +
           left_cell(bound.description) +
           cell(bound.value ? metric_value_text(bound.metric, *bound.value) : "nothing to measure") +
           cell(text(bound.at_least)) + cell(text(bound.at_most)) + "</tr>\n";
  }
  return out + "</table>\n";
}

std::string events(const RunStats& stats) {
  if (stats.event_intervals.empty()) return "";
  std::string out =
      "<h2>Events</h2>\n<p class=note>The numbers refer to the marks above the "
      "plots.</p>\n<table><tr><th></th>"
      "<th class=l>event</th><th>from</th><th>to</th></tr>\n";
  for (std::size_t i = 0; i < stats.event_intervals.size(); ++i) {
    const EventInterval& interval = stats.event_intervals[i];
    out += "<tr>" + cell(std::to_string(i + 1)) + left_cell(interval.label) +
           cell(format_text("%.1f s", interval.from_ms / 1000)) +
           cell(format_text("%.1f s", interval.to_ms / 1000)) + "</tr>\n";
  }
  return out + "</table>\n";
}

std::string request_stats_table(const char* title, const std::vector<NamedRequestStats>& all,
                                bool with_service) {
  std::string out = std::string("<h2>") + title + "</h2>\n<table><tr><th class=l>name</th><th>" +
                    (with_service ? "requests" : "answers") +
                    "</th><th>served</th><th>refused</th><th>failed</th>" +
                    (with_service ? "<th>service</th><th>50% in</th><th>99% in</th>" : "") + "</tr>\n";
  for (const NamedRequestStats& named : all) {
    const RequestStats& request_stats = named.request_stats;
    out += "<tr>" + left_cell(named.name) + cell(std::to_string(request_stats.drawn)) +
           cell(percent(request_stats.served(), request_stats.drawn)) +
           cell(percent(request_stats.rejected(), request_stats.drawn)) +
           cell(percent(request_stats.failed(), request_stats.drawn));
    if (with_service) {
      out += cell(percent(request_stats.service())) +
             cell(format_text("%.0f ms", request_stats.latency_histogram.quantile(0.5))) +
             cell(format_text("%.0f ms", request_stats.latency_histogram.quantile(0.99)));
    }
    out += "</tr>\n";
  }
  return out + "</table>\n";
}

std::string lab_section(const ExperimentResult& result) {
  const RunInfo& info = result.info;
  std::string out = "<h2>The lab itself</h2>\n<p>" +
                    html_escaped(format_text("The run of %.1f s took %.1f s with %.1f s of CPU and %.0f MB.",
                                             info.scenario_elapsed_ms / 1000, info.wall_s, info.cpu_s,
                                             info.peak_memory_mb)) +
                    "</p>\n";
  if (result.driver != "virtual") {
    out += "<table><tr><th class=l>lateness</th><th>50%</th><th>99%</th><th>99.9%</th><th>most</th></tr>\n";
    for (const auto& [label, quantiles] : {std::pair("of sends", &info.send_lateness_ms),
                                           {"of machines' responses", &info.response_lateness_ms}}) {
      out += "<tr>" + left_cell(label);
      for (const double value : {quantiles->p50, quantiles->p99, quantiles->p999, quantiles->max})
        out += cell(format_text("%.2f ms", value));
      out += "</tr>\n";
    }
    out += "</table>\n";
  }
  if (info.routers.empty()) return out;
  out +=
      "<table><tr><th class=l>router</th><th>CPU</th><th>memory at most</th><th>descriptors at "
      "most</th></tr>\n";
  for (const RouterResourceUse& use : info.routers) {
    out += "<tr>" + left_cell(format_text("r%u", use.router)) + cell(format_text("%.2f s", use.cpu_s)) +
           cell(use.peak_memory_mb > 0 ? format_text("%.1f MB", use.peak_memory_mb) : "-") +
           cell(use.peak_sockets > 0 ? std::to_string(use.peak_sockets) : "-") + "</tr>\n";
  }
  return out + "</table>\n";
}

} // namespace

std::string html_escaped(const std::string& text) {
  std::string out;
  for (const char character : text) {
    switch (character) {
      case '&': out += "&amp;"; break;
      case '<': out += "&lt;"; break;
      case '>': out += "&gt;"; break;
      case '"': out += "&quot;"; break;
      case '\'': out += "&#39;"; break;
      default: out += character;
    }
  }
  return out;
}

std::string html_report(const ExperimentResult& result, const Plots& plots) {
  const TimeSlice totals = result.stats.total();
  const std::string name = html_escaped(result.stats.scenario);
  std::string out =
      "<!doctype html>\n<html lang=en><head><meta charset=utf-8>\n<meta name=viewport "
      "content='width=device-width, initial-scale=1'>\n<title>" +
      name + " - fernward lab</title>\n<style>" + kStyle + "</style></head><body>\n<h1>" + name +
      "</h1>\n<p>" + html_escaped(result.stats.title) + "</p>\n<p class=small>" +
      html_escaped(format_text("%.1f s %s, seed %llu", result.info.scenario_elapsed_ms / 1000,
                               result.driver == "virtual" ? "of virtual time" : "on sockets",
                               static_cast<unsigned long long>(result.seed))) +
      "</p>\n";
  out += verdict(result) + cards(result, totals);
  if (!plots.error.empty()) {
    out += "<p class=note>There are no plots: " + html_escaped(plots.error) +
           ". The figures are in seconds.csv, machines.csv and run.json beside this page; "
           "<code>fernward-lab report run.json</code> draws it again.</p>\n";
  }
  for (const Plot& plot : plots.plots) {
    out += "<h2>" + html_escaped(plot.title) + "</h2>\n<p class=note>" + html_escaped(plot.note) + "</p>\n" +
           plot.svg + "\n";
  }
  out += events(result.stats) + rules(result.check_result);
  out += request_stats_table("By class", result.stats.classes, true) +
         request_stats_table("By tenant", result.stats.tenants, true) +
         request_stats_table("By clients' zone", result.stats.zones, true) +
         request_stats_table("By router", result.stats.routers, false);
  out += lab_section(result);
  out +=
      "<h2>The scenario</h2>\n<p class=note>As a standalone file with every value written out; running it "
      "repeats this run.</p>\n"
      "<pre>" +
      html_escaped(result.scenario_toml) + "</pre>\n</body></html>\n";
  return out;
}

} // namespace fernward::lab
