#include "lab/storm/storm_report.h"

#include <algorithm>
#include <cstdarg>
#include <cstdio>
#include <sstream>
#include <stdexcept>

#include "lab/scenario/read.h"
#include "lab/stats/format_text.h"

namespace fernward::lab::storm {
namespace {

std::string html_escaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    if (c == '&')
      out += "&amp;";
    else if (c == '<')
      out += "&lt;";
    else
      out += c;
  }
  return out;
}

const char* confidence_text(Confidence confidence) {
  return confidence == Confidence::Certain ? "always" : "mostly";
}

using Number = unsigned long long; // for %llu

// The CSS class that colors a cell; c0, without coverage, is red.
const char* coverage_class(std::uint64_t storms) {
  return storms == 0 ? "c0" : storms < 20 ? "c1" : storms < 100 ? "c2" : "c3";
}

} // namespace

std::string summary_text(const CampaignSummary& summary) {
  std::string out = format_text(
      "%llu storms, %llu requests, %.0f s simulated; each pair of faults open at once in at least %llu "
      "storms\n",
      Number{summary.storms}, Number{summary.requests}, summary.simulated_s,
      Number{summary.coverage.min_storms_of_any_pair()});
  out += format_text("slowest: seed %llu, %.1f s\n", Number{summary.slowest_seed}, summary.max_wall_s);
  out += format_text("%-12s %-7s %8s %8s %9s  %s\n", "oracle", "sure", "judged", "broken", "furthest",
                     "first seed");
  for (std::size_t i = 0; i < summary.counts_by_oracle.size(); ++i) {
    const CampaignSummary::OracleCounts& counts = summary.counts_by_oracle[i];
    out += format_text("%-12s %-7s %8llu %8llu %9.2f  %s\n", oracles()[i].name,
                       confidence_text(oracles()[i].confidence), Number{counts.judged}, Number{counts.broken},
                       counts.max_distance,
                       counts.broken > 0 ? std::to_string(counts.first_broken_seed).c_str() : "-");
  }
  for (const std::string& void_run : summary.void_runs) out += "void: seed " + void_run + "\n";
  return out;
}

std::string report_html(const CampaignSummary& summary, const Campaign& campaign) {
  std::ostringstream out;
  out << "<!doctype html><meta charset=utf-8><title>storms</title><style>body{font:14px/1.4 "
         "system-ui,sans-serif;"
         "max-width:1200px;margin:20px auto;padding:0 16px}table{border-collapse:collapse;margin:8px "
         "0}td,th{padding:2px "
         "8px;border-bottom:1px solid #e5e5e5;text-align:left}td.n{text-align:right}table.p td{padding:1px "
         "4px;font-size:"
         "11px;text-align:right}table.p th{font-size:11px;font-weight:400}table.p "
         "th.v{writing-mode:vertical-rl}"
         ".c0{background:#b91c1c;color:#fff}.c1{background:#f59e0b}.c2{background:#fde68a}.c3{background:#"
         "dcfce7}"
         "p.s{color:#606060}</style>\n";
  out << "<h1>" << summary.storms << " storms, seeds from " << campaign.first_seed << "</h1>\n<p>"
      << summary.requests << " requests in " << format_text("%.0f", summary.simulated_s)
      << " s of simulated time.</p>\n";
  out << "<h2>Oracles</h2>\n<table><tr><th>oracle<th>what must "
         "hold<th>sure<th>judged<th>broken<th>furthest<th>first seed\n";
  for (std::size_t i = 0; i < summary.counts_by_oracle.size(); ++i) {
    const Oracle& oracle = oracles()[i];
    const CampaignSummary::OracleCounts& counts = summary.counts_by_oracle[i];
    out << "<tr><td>" << oracle.name << "<td>" << html_escaped(oracle.requirement) << "<td title='"
        << html_escaped(oracle.confidence_reason) << "'>" << confidence_text(oracle.confidence)
        << "<td class=n>" << counts.judged << "<td class=n>" << counts.broken << "<td class=n>"
        << format_text("%.2f", counts.max_distance) << "<td class=n>"
        << (counts.broken > 0 ? std::to_string(counts.first_broken_seed) : "-") << "\n";
  }
  out << "</table>\n<h2>Faults open at once</h2>\n<p class=s>In how many storms a request met both, at the "
         "stage that was "
         "covered least; all stages in the title of a cell. Red: never.</p>\n<table class=p><tr><th>";
  for (std::size_t b = 0; b < kFaultKindCount; ++b) out << "<th class=v>" << kFaultKindNames[b];
  for (std::size_t a = 0; a < kFaultKindCount; ++a) {
    out << "\n<tr><th>" << kFaultKindNames[a];
    for (std::size_t b = 0; b < kFaultKindCount; ++b) {
      if (b == a) {
        out << "<td>";
        continue;
      }
      const auto row_kind = static_cast<FaultKind>(a), column_kind = static_cast<FaultKind>(b);
      std::uint64_t min_storms = ~std::uint64_t{0};
      std::string stages;
      for (std::size_t s = 0; s < kStageCount; ++s) {
        const std::uint64_t storms =
            summary.coverage.storms_at_stage(row_kind, column_kind, static_cast<Stage>(s));
        min_storms = std::min(min_storms, storms);
        stages += format_text("%s%s %llu", s > 0 ? ", " : "", kStageNames[s], Number{storms});
      }
      out << "<td class=" << coverage_class(min_storms) << " title='" << kFaultKindNames[a] << ", "
          << kFaultKindNames[b] << ": " << stages << "'>" << min_storms;
    }
  }
  out << "\n</table>\n<h2>The worst "
         "storms</h2>\n<table><tr><th>seed<th>oracle<th>distance<th>routers<th>nodes<th>faults<th>what was "
         "observed\n";
  for (const BrokenStorm& broken_storm : summary.worst_storms) {
    out << "<tr><td class=n>" << broken_storm.seed << "<td>" << oracles()[broken_storm.oracle_index].name
        << "<td class=n>" << format_text("%.2f", broken_storm.verdict.distance) << "<td class=n>"
        << router_count(broken_storm.spec) << "<td class=n>" << node_count(broken_storm.spec)
        << "<td class=n>" << fault_spans(broken_storm.spec).size() << "<td>"
        << html_escaped(broken_storm.verdict.description) << "\n";
  }
  out << "</table>\n";
  return out.str();
}

std::string storm_file_text(const model::Spec& spec, const ExpectedVerdict& expected,
                            const std::string& note) {
  std::string out = std::string("# oracle: ") + expected.oracle->name +
                    "\n# verdict: " + (expected.broken ? "broken" : "kept") + "\n";
  std::istringstream lines(note);
  for (std::string line; std::getline(lines, line);) out += "# " + line + "\n";
  return out + scenario_text(spec);
}

std::optional<ExpectedVerdict> parse_expected_verdict(const std::string& file_text) {
  std::istringstream lines(file_text);
  ExpectedVerdict expected;
  for (std::string line; std::getline(lines, line) && line.starts_with("#");) {
    const auto value = [&](const std::string& key) -> std::optional<std::string> {
      const std::string prefix = "# " + key + ": ";
      return line.starts_with(prefix) ? std::optional(line.substr(prefix.size())) : std::nullopt;
    };
    if (const auto name = value("oracle")) {
      expected.oracle = find_oracle(*name);
      if (expected.oracle == nullptr) throw std::invalid_argument("unknown oracle \"" + *name + "\"");
    }
    if (const auto verdict = value("verdict")) {
      if (*verdict != "broken" && *verdict != "kept") {
        throw std::invalid_argument("a verdict is \"broken\" or \"kept\", not \"" + *verdict + "\"");
      }
      expected.broken = *verdict == "broken";
    }
  }
  if (expected.oracle == nullptr) return std::nullopt;
  return expected;
}

} // namespace fernward::lab::storm
