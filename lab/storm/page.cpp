#include "lab/storm/page.h"

#include <algorithm>
#include <cstdarg>
#include <cstdio>
#include <sstream>
#include <stdexcept>

#include "lab/scenario/read.h"
#include "lab/stats/format.h"

namespace fernward::lab::storm {
namespace {

std::string escaped(const std::string& text) {
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

const char* sure_text(Sure sure) { return sure == Sure::Always ? "always" : "mostly"; }

using Number = unsigned long long;

// The colour class of a cell: less coverage is darker.
const char* shade(std::uint64_t seen) {
  return seen == 0 ? "c0" : seen < 20 ? "c1" : seen < 100 ? "c2" : "c3";
}

} // namespace

std::string sum_text(const Sum& sum) {
  std::string out = format(
      "%llu storms, %llu requests, %.0f s simulated; each pair of faults open at once in at least %llu "
      "storms\n",
      Number{sum.storms}, Number{sum.requests}, sum.played_s, Number{sum.coverage.least()});
  out += format("slowest: seed %llu, %.1f s\n", Number{sum.slowest_seed}, sum.slowest_s);
  out +=
      format("%-12s %-7s %8s %8s %9s  %s\n", "oracle", "sure", "judged", "broken", "furthest", "first seed");
  for (std::size_t i = 0; i < sum.oracles.size(); ++i) {
    const Sum::Count& c = sum.oracles[i];
    out += format("%-12s %-7s %8llu %8llu %9.2f  %s\n", oracles()[i].name, sure_text(oracles()[i].sure),
                  Number{c.judged}, Number{c.broken}, c.furthest,
                  c.broken > 0 ? std::to_string(c.first_seed).c_str() : "-");
  }
  for (const std::string& v : sum.voids) out += "void: seed " + v + "\n";
  return out;
}

std::string page_html(const Sum& sum, const Season& season) {
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
  out << "<h1>" << sum.storms << " storms, seeds from " << season.first_seed << "</h1>\n<p>" << sum.requests
      << " requests in " << format("%.0f", sum.played_s) << " s of storm time.</p>\n";
  out << "<h2>Oracles</h2>\n<table><tr><th>oracle<th>what must "
         "hold<th>sure<th>judged<th>broken<th>furthest<th>first seed\n";
  for (std::size_t i = 0; i < sum.oracles.size(); ++i) {
    const Oracle& o = oracles()[i];
    const Sum::Count& c = sum.oracles[i];
    out << "<tr><td>" << o.name << "<td>" << escaped(o.says) << "<td title='" << escaped(o.because) << "'>"
        << sure_text(o.sure) << "<td class=n>" << c.judged << "<td class=n>" << c.broken << "<td class=n>"
        << format("%.2f", c.furthest) << "<td class=n>" << (c.broken > 0 ? std::to_string(c.first_seed) : "-")
        << "\n";
  }
  out << "</table>\n<h2>Faults open at once</h2>\n<p class=s>In how many storms a request met both, at the "
         "stage that was "
         "covered least; all stages in the title of a cell. Red: never.</p>\n<table class=p><tr><th>";
  for (std::size_t b = 0; b < kKinds; ++b) out << "<th class=v>" << kKindNames[b];
  for (std::size_t a = 0; a < kKinds; ++a) {
    out << "\n<tr><th>" << kKindNames[a];
    for (std::size_t b = 0; b < kKinds; ++b) {
      if (b == a) {
        out << "<td>";
        continue;
      }
      const auto x = static_cast<Kind>(a), y = static_cast<Kind>(b);
      std::uint64_t least = ~std::uint64_t{0};
      std::string stages;
      for (std::size_t s = 0; s < kStages; ++s) {
        const std::uint64_t seen = sum.coverage.at(x, y, static_cast<Stage>(s));
        least = std::min(least, seen);
        stages += format("%s%s %llu", s > 0 ? ", " : "", kStageNames[s], Number{seen});
      }
      out << "<td class=" << shade(least) << " title='" << kKindNames[a] << ", " << kKindNames[b] << ": "
          << stages << "'>" << least;
    }
  }
  out << "\n</table>\n<h2>The worst "
         "storms</h2>\n<table><tr><th>seed<th>oracle<th>distance<th>routers<th>nodes<th>faults<th>what was "
         "seen\n";
  for (const Told& t : sum.worst) {
    out << "<tr><td class=n>" << t.seed << "<td>" << oracles()[t.oracle].name << "<td class=n>"
        << format("%.2f", t.verdict.distance) << "<td class=n>" << routers_of(t.spec) << "<td class=n>"
        << nodes_of(t.spec) << "<td class=n>" << spans_of(t.spec).size() << "<td>" << escaped(t.verdict.what)
        << "\n";
  }
  out << "</table>\n";
  return out.str();
}

std::string storm_text(const model::Spec& spec, const Expected& expected, const std::string& note) {
  std::string out = std::string("# oracle: ") + expected.oracle->name +
                    "\n# verdict: " + (expected.broken ? "broken" : "kept") + "\n";
  std::istringstream lines(note);
  for (std::string line; std::getline(lines, line);) out += "# " + line + "\n";
  return out + scenario_text(spec);
}

std::optional<Expected> expected_of(const std::string& file_text) {
  std::istringstream lines(file_text);
  Expected expected;
  for (std::string line; std::getline(lines, line) && line.starts_with("#");) {
    const auto value = [&](const std::string& key) -> std::optional<std::string> {
      const std::string head = "# " + key + ": ";
      return line.starts_with(head) ? std::optional(line.substr(head.size())) : std::nullopt;
    };
    if (const auto name = value("oracle")) {
      expected.oracle = find_oracle(*name);
      if (expected.oracle == nullptr) throw std::invalid_argument("there is no oracle \"" + *name + "\"");
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
