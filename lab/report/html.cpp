#include "lab/report/html.h"

#include <cstdio>

#include "lab/report/files.h"
#include "lab/stats/format.h"

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

std::string percent(double share) { return format("%.2f%%", 100 * share); }
std::string percent(std::uint64_t part, std::uint64_t of) {
  return of > 0 ? percent(static_cast<double>(part) / static_cast<double>(of)) : "-";
}
std::string cell(const std::string& text) { return "<td>" + html_escaped(text) + "</td>"; }
std::string left(const std::string& text) { return "<td class=l>" + html_escaped(text) + "</td>"; }
std::string card(const std::string& value, const std::string& what) {
  return "<div class=card><b>" + html_escaped(value) + "</b><span>" + html_escaped(what) + "</span></div>\n";
}

std::string verdict(const Result& r) {
  const char* kind = r.info.is_void || r.info.stopped ? "void" : r.good() ? "good" : "bad";
  std::string out =
      std::string("<div class='verdict ") + kind + "'>" + html_escaped(verdict_text(r)) + "</div>\n";
  for (const std::string& why : r.info.why_void) out += "<p>" + html_escaped(why) + "</p>\n";
  return out;
}

std::string cards(const Result& r, const Slice& all) {
  const Tally& t = all.tally;
  std::string out = "<div class=cards>\n";
  out += card(std::to_string(t.drawn), "requests");
  out += card(percent(t.served(), t.drawn), "served");
  out += card(percent(t.in_aim, t.drawn), "served in time");
  out += card(percent(t.refused(), t.drawn), "refused");
  out += card(percent(t.failed(), t.drawn), "failed");
  out += card(format("%.0f ms", t.latency.quantile(0.5)), "latency, half within");
  out += card(format("%.0f ms", t.latency.quantile(0.99)), "latency, 99% within");
  out += card(percent(r.findings.whole), "service");
  out += card(percent(r.findings.worst_window), "service, worst 10 s");
  if (all.hits + all.misses > 0) out += card(percent(hit_ratio(all)), "hits");
  if (all.fetches + all.writes > 0) {
    out += card(format("%.1f/s", static_cast<double>(all.fetches + all.writes) * 1000 /
                                     r.figures.duration_ms / r.figures.runs),
                "to the origin");
  }
  return out + "</div>\n";
}

std::string rules(const Findings& f) {
  std::string out =
      "<h2>What must hold</h2>\n<table><tr><th class=l></th><th class=l>rule</th><th></th></tr>\n";
  for (const RuleFinding& r : f.rules) {
    const char* mark = !r.judged ? "not judged" : r.kept() ? "kept" : "BROKEN";
    out += "<tr><td class='l mark'>" + std::string(mark) + "</td>" + left(rule_text(r.rule)) +
           cell(r.breaches > 0 ? std::to_string(r.breaches) + " times" : "") + "</tr>\n";
    for (const Breach& b : r.first) {
      out += "<tr><td></td>" + left(format("at %.3f s: ", b.at_ms / 1000) + b.what) + "<td></td></tr>\n";
    }
  }
  out += "</table>\n";
  if (f.bounds.empty()) return out;
  out +=
      "<table><tr><th class=l></th><th class=l>bound</th><th>measured</th><th>at least</th><th>at "
      "most</th></tr>\n";
  for (const BoundFinding& b : f.bounds) {
    const auto text = [&](const std::optional<double>& value) {
      return value ? metric_text(b.metric, *value) : "";
    };
    out += std::string("<tr><td class='l mark'>") + (b.kept ? "holds" : "MISSED") + "</td>" + left(b.what) +
           cell(b.value ? metric_text(b.metric, *b.value) : "nothing to measure") + cell(text(b.at_least)) +
           cell(text(b.at_most)) + "</tr>\n";
  }
  return out + "</table>\n";
}

std::string events(const Figures& f) {
  if (f.marks.empty()) return "";
  std::string out =
      "<h2>Events</h2>\n<p class=note>The numbers refer to the marks above the "
      "plots.</p>\n<table><tr><th></th>"
      "<th class=l>event</th><th>from</th><th>to</th></tr>\n";
  for (std::size_t i = 0; i < f.marks.size(); ++i) {
    const MarkFigure& m = f.marks[i];
    out += "<tr>" + cell(std::to_string(i + 1)) + left(m.label) + cell(format("%.1f s", m.from_ms / 1000)) +
           cell(format("%.1f s", m.to_ms / 1000)) + "</tr>\n";
  }
  return out + "</table>\n";
}

std::string tallies(const char* title, const std::vector<Named>& all, bool worth) {
  std::string out = std::string("<h2>") + title + "</h2>\n<table><tr><th class=l>name</th><th>" +
                    (worth ? "requests" : "answers") + "</th><th>served</th><th>refused</th><th>failed</th>" +
                    (worth ? "<th>service</th><th>50% in</th><th>99% in</th>" : "") + "</tr>\n";
  for (const Named& n : all) {
    const Tally& t = n.tally;
    out += "<tr>" + left(n.name) + cell(std::to_string(t.drawn)) + cell(percent(t.served(), t.drawn)) +
           cell(percent(t.refused(), t.drawn)) + cell(percent(t.failed(), t.drawn));
    if (worth) {
      out += cell(percent(t.service())) + cell(format("%.0f ms", t.latency.quantile(0.5))) +
             cell(format("%.0f ms", t.latency.quantile(0.99)));
    }
    out += "</tr>\n";
  }
  return out + "</table>\n";
}

std::string lab(const Result& r) {
  const RunInfo& i = r.info;
  std::string out = "<h2>The lab itself</h2>\n<p>" +
                    html_escaped(format("The run of %.1f s took %.1f s with %.1f s of CPU and %.0f MB.",
                                        i.played_ms / 1000, i.wall_s, i.cpu_s, i.peak_memory_mb)) +
                    "</p>\n";
  if (r.driver != "virtual") {
    out += "<table><tr><th class=l>lateness</th><th>50%</th><th>99%</th><th>99.9%</th><th>most</th></tr>\n";
    for (const auto& [what, q] :
         {std::pair("of sends", &i.lateness_ms), {"of machines' responses", &i.answer_lateness_ms}}) {
      out += "<tr>" + left(what);
      for (const double value : {q->p50, q->p99, q->p999, q->max}) out += cell(format("%.2f ms", value));
      out += "</tr>\n";
    }
    out += "</table>\n";
  }
  if (i.routers.empty()) return out;
  out +=
      "<table><tr><th class=l>router</th><th>CPU</th><th>memory at most</th><th>descriptors at "
      "most</th></tr>\n";
  for (const RouterCost& c : i.routers) {
    out += "<tr>" + left(format("r%u", c.router)) + cell(format("%.2f s", c.cpu_s)) +
           cell(c.peak_memory_mb > 0 ? format("%.1f MB", c.peak_memory_mb) : "-") +
           cell(c.peak_sockets > 0 ? std::to_string(c.peak_sockets) : "-") + "</tr>\n";
  }
  return out + "</table>\n";
}

} // namespace

std::string html_escaped(const std::string& text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '&': out += "&amp;"; break;
      case '<': out += "&lt;"; break;
      case '>': out += "&gt;"; break;
      case '"': out += "&quot;"; break;
      case '\'': out += "&#39;"; break;
      default: out += c;
    }
  }
  return out;
}

std::string html_report(const Result& r, const Plots& plots) {
  const Slice all = r.figures.whole();
  const std::string name = html_escaped(r.figures.scenario);
  std::string out =
      "<!doctype html>\n<html lang=en><head><meta charset=utf-8>\n<meta name=viewport "
      "content='width=device-width, initial-scale=1'>\n<title>" +
      name + " - fernward lab</title>\n<style>" + kStyle + "</style></head><body>\n<h1>" + name +
      "</h1>\n<p>" + html_escaped(r.figures.title) + "</p>\n<p class=small>" +
      html_escaped(format("%.1f s %s, seed %llu", r.info.played_ms / 1000,
                          r.driver == "virtual" ? "of virtual time" : "on sockets",
                          static_cast<unsigned long long>(r.seed))) +
      "</p>\n";
  out += verdict(r) + cards(r, all);
  if (!plots.fault.empty()) {
    out += "<p class=note>There are no plots: " + html_escaped(plots.fault) +
           ". The figures are in seconds.csv, machines.csv and run.json beside this page; "
           "<code>fernward-lab report run.json</code> draws it again.</p>\n";
  }
  for (const Plot& plot : plots.plots) {
    out += "<h2>" + html_escaped(plot.title) + "</h2>\n<p class=note>" + html_escaped(plot.note) + "</p>\n" +
           plot.svg + "\n";
  }
  out += events(r.figures) + rules(r.findings);
  out += tallies("By class", r.figures.classes, true) + tallies("By tenant", r.figures.tenants, true) +
         tallies("By clients' zone", r.figures.zones, true) + tallies("By router", r.figures.routers, false);
  out += lab(r);
  out +=
      "<h2>The scenario</h2>\n<p class=note>As a standalone file with every value written out; it repeats "
      "this run "
      "again.</p>\n"
      "<pre>" +
      html_escaped(r.scenario) + "</pre>\n</body></html>\n";
  return out;
}

} // namespace fernward::lab
