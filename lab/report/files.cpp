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

__attribute__((format(printf, 2, 3))) void print(std::string& into, const char* format, ...) {
  char text[512];
  va_list arguments;
  va_start(arguments, format);
  std::vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  into += text;
}

double share(std::uint64_t part, std::uint64_t of) {
  return of > 0 ? 100 * static_cast<double>(part) / static_cast<double>(of) : 0;
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

std::string seconds_csv(const Figures& f) {
  std::string out =
      "from_s,drawn,in_time,served,refused,failed,service,p50_ms,p90_ms,p99_ms,attempts,fetches,writes,hits,"
      "misses,"
      "turned_away,errors,handshakes\n";
  for (std::size_t i = 0; i < f.slices.size(); ++i) {
    const Slice& s = f.slices[i];
    const Tally& t = s.tally;
    print(out, "%.10g,%llu,%llu,%llu,%llu,%llu,", f.width_ms * static_cast<double>(i) / 1000,
          static_cast<unsigned long long>(t.drawn), static_cast<unsigned long long>(t.in_aim),
          static_cast<unsigned long long>(t.served()), static_cast<unsigned long long>(t.refused()),
          static_cast<unsigned long long>(t.failed()));
    if (t.asked > 0) print(out, "%.6f", t.service());
    for (const double q : {0.5, 0.9, 0.99}) {
      out += ',';
      if (t.latency.count() > 0) print(out, "%.2f", t.latency.quantile(q));
    }
    for (const std::uint64_t n :
         {s.attempts, s.fetches, s.writes, s.hits, s.misses, s.turned_away, s.errors}) {
      print(out, ",%llu", static_cast<unsigned long long>(n));
    }
    print(out, ",%.10g\n", s.handshakes);
  }
  return out;
}

std::string machines_csv(const Figures& f) {
  std::string out = "machine,from_s,used,attempts\n";
  for (const MachineFigures& m : f.machines) {
    for (std::size_t i = 0; i < m.slices.size(); ++i) {
      const MachineSlice& s = m.slices[i];
      if (s.samples == 0 && s.attempts == 0) continue;
      print(out, "%s,%.10g,", m.name.c_str(), f.width_ms * static_cast<double>(i) / 1000);
      if (s.samples > 0) print(out, "%.4f", s.used / static_cast<float>(s.samples));
      print(out, ",%u\n", s.attempts);
    }
  }
  return out;
}

std::string verdict_text(const Result& r) {
  if (r.info.is_void) return "VOID: the results are not valid for the routers";
  if (r.info.stopped) return "STOPPED before its end";
  std::size_t rules = 0, bounds = 0;
  for (const RuleFinding& f : r.findings.rules) rules += f.kept() ? 0 : 1;
  for (const BoundFinding& f : r.findings.bounds) bounds += f.kept ? 0 : 1;
  if (rules + bounds == 0) return "GOOD: every rule was kept and every bound holds";
  std::string text = "BAD:";
  if (rules > 0) print(text, " %zu %s broken", rules, rules == 1 ? "rule was" : "rules were");
  if (rules > 0 && bounds > 0) text += " and";
  if (bounds > 0) print(text, " %zu %s not hold", bounds, bounds == 1 ? "bound does" : "bounds do");
  return text;
}

std::string summary_text(const Result& r) {
  std::string out;
  const Slice all = r.figures.whole();
  const Tally& t = all.tally;
  const bool sockets = r.driver != "virtual";
  out += r.figures.scenario;
  if (!r.figures.title.empty()) out.append(": ").append(r.figures.title);
  out += '\n';
  print(out, "%.1f s %s, run in %.1f s; seed %llu\n\n", r.info.played_ms / 1000,
        sockets ? "on sockets" : "of virtual time", r.info.wall_s, static_cast<unsigned long long>(r.seed));
  const auto line = [&](const char* what, std::uint64_t n) {
    print(out, "  %-12s %10llu   %6.2f%%\n", what, static_cast<unsigned long long>(n), share(n, t.drawn));
  };
  line("requests", t.drawn);
  line("served", t.served());
  line(" in time", t.in_aim);
  line("refused", t.refused());
  line("failed", t.failed());
  print(out, "\n  latency      50%% in %.0f ms, 90%% in %.0f ms, 99%% in %.0f ms\n", t.latency.quantile(0.5),
        t.latency.quantile(0.9), t.latency.quantile(0.99));
  print(out, "  service      %.2f%%; worst 10 s %.2f%%, worst class %.2f%%, worst tenant %.2f%%\n",
        100 * r.findings.whole, 100 * r.findings.worst_window, 100 * r.findings.worst_class,
        100 * r.findings.worst_tenant);
  if (all.hits + all.misses > 0 && all.fetches + all.writes > 0) {
    print(out, "  caches       %.2f%% hits; %.1f requests a second to the origin\n", 100 * hit_ratio(all),
          static_cast<double>(all.fetches + all.writes) * 1000 / r.figures.duration_ms / r.figures.runs);
  }
  if (sockets) {
    double cpu = 0;
    for (const RouterCost& c : r.info.routers) cpu += c.cpu_s;
    print(out, "  routers      %.0f us of CPU a request; the lab sent 99%% within %.2f ms of their time\n",
          t.drawn > 0 ? cpu * 1e6 / static_cast<double>(t.drawn) : 0, r.info.lateness_ms.p99);
  }
  double datagrams = 0, bytes = 0;
  for (const RouterCost& c : r.info.routers) {
    datagrams += static_cast<double>(c.datagrams), bytes += static_cast<double>(c.datagram_bytes);
  }
  if (datagrams > 0) {
    const double each = static_cast<double>(r.info.routers.size()) * r.info.played_ms / 1000;
    print(out, "  sharing      %.1f datagrams and %.0f bytes a second and router\n", datagrams / each,
          bytes / each);
  }
  out += "\n";
  for (const RuleFinding& f : r.findings.rules) {
    if (f.kept()) continue;
    print(out, "  BROKEN  %s, %llu times\n", rule_text(f.rule), static_cast<unsigned long long>(f.breaches));
    for (const Breach& b : f.first) print(out, "          at %.3f s: %s\n", b.at_ms / 1000, b.what.c_str());
  }
  for (const BoundFinding& f : r.findings.bounds) {
    std::string wanted;
    if (f.at_least) print(wanted, " at least %s", metric_text(f.metric, *f.at_least).c_str());
    if (f.at_most) print(wanted, " at most %s", metric_text(f.metric, *f.at_most).c_str());
    print(out, "  %-7s %s: %s, wanted%s\n", f.kept ? "holds" : "MISSED", f.what.c_str(),
          f.value ? metric_text(f.metric, *f.value).c_str() : "nothing to measure", wanted.c_str());
  }
  for (const std::string& why : r.info.why_void) print(out, "  VOID    %s\n", why.c_str());
  out += (r.findings.kept() && r.info.why_void.empty() && r.findings.bounds.empty() ? "" : "\n") +
         verdict_text(r) + "\n";
  return out;
}

Written write_files(const Result& result, const fs::path& folder) {
  const Plots plots = draw_plots(result.figures);
  save_text(folder, "run.json", to_json(result).dump(1) + "\n");
  save_text(folder, "seconds.csv", seconds_csv(result.figures));
  save_text(folder, "machines.csv", machines_csv(result.figures));
  save_text(folder, "scenario.toml", result.scenario);
  save_text(folder, "report.html", html_report(result, plots));
  return {folder / "report.html", plots.fault};
}

Result load_result(const fs::path& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw std::runtime_error(path.string() + " can't be read");
  try {
    return result_from(nlohmann::json::parse(in));
  } catch (const std::exception& error) { // a parse error, or a missing key
    throw std::runtime_error(path.string() + ": " + error.what());
  }
}

} // namespace fernward::lab
