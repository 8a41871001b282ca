// fernward-lab compare: compares two settings or two programs by pairs of runs with the same seeds.
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <thread>

#include "lab/commands/command.h"
#include "lab/experiment/many.h"
#include "lab/experiment/summary.h"
#include "lab/report/files.h"

namespace fernward::lab {
namespace {

struct Side {
  std::vector<std::string> settings;
  Playing playing;
  model::Spec spec;
  std::vector<Row> rows;          // by seed
  std::vector<char> counts, kept; // by seed: the run is valid; no rule was violated
  std::vector<std::vector<BoundFinding>> bounds;
  std::vector<std::string> why; // by seed: why the run is void, else empty
};

std::string signed_text(const Column& column, double value) {
  return (value < 0 ? "-" : "+") + column.text(std::fabs(value));
}

std::string ratio(const Paired& p) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", p.mean_b / p.mean_a);
  return p.mean_a > 0 ? text : "-";
}

std::string says(const Paired& p, bool more_is_better) {
  if (p.says == Paired::Says::Nothing) return "no difference seen";
  return (p.says == Paired::Says::Higher) == more_is_better ? "B is better" : "B is worse";
}

// Prints each bound of the scenario for both sides: its mean and worst value, and in how many runs it holds.
void bounds_table(const Side& a, const Side& b, const std::vector<std::size_t>& pairs,
                  nlohmann::json& saved) {
  const std::size_t count = std::min(a.bounds[pairs.front()].size(), b.bounds[pairs.front()].size());
  if (count == 0) return;
  std::vector<std::vector<std::string>> table{
      {"bound", "A: mean", "worst", "holds", "B: mean", "worst", "holds"}};
  for (std::size_t i = 0; i < count; ++i) {
    const BoundFinding& first = a.bounds[pairs.front()][i];
    std::vector<std::string> row{first.what};
    nlohmann::json entry = {{"what", first.what}};
    for (const Side* side : {&a, &b}) {
      double sum = 0, worst = first.at_most ? -1e300 : 1e300;
      std::size_t measured = 0, kept = 0;
      std::vector<double> values;
      for (const std::size_t seed : pairs) {
        const BoundFinding& f = side->bounds[seed][i];
        kept += f.kept ? 1 : 0;
        if (!f.value) continue;
        ++measured;
        sum += *f.value;
        worst = first.at_most ? std::max(worst, *f.value) : std::min(worst, *f.value);
        values.push_back(*f.value);
      }
      row.push_back(measured > 0 ? metric_text(first.metric, sum / static_cast<double>(measured)) : "-");
      row.push_back(measured > 0 ? metric_text(first.metric, worst) : "-");
      row.push_back(std::to_string(kept) + " of " + std::to_string(pairs.size()));
      entry[side == &a ? "a" : "b"] = {{"values", values}, {"kept", kept}};
    }
    table.push_back(std::move(row));
    saved["bounds"].push_back(std::move(entry));
  }
  std::printf("%s\n", table_text(table).c_str());
}

} // namespace

int compare_command(const Arguments& arguments) {
  cxxopts::Options options(
      "fernward-lab compare",
      "Run a scenario with two configurations, A and B, over the same seeds, and report whether B is better. "
      "The exit code is 1 if a run was void or violated a rule");
  add_playing(options);
  const auto list = [] { return cxxopts::value<std::vector<std::string>>(); };
  options.add_options()("a,set-a", "KEY=VALUE for A only; may be repeated", list())(
      "b,set-b", "KEY=VALUE for B only; may be repeated", list())(
      "program-a", "sockets: the router program of A", cxxopts::value<std::string>())(
      "program-b", "sockets: the router program of B", cxxopts::value<std::string>())(
      "driver-a", "Overrides --driver for A", cxxopts::value<std::string>())(
      "driver-b", "Overrides --driver for B", cxxopts::value<std::string>())(
      "role-a", "Overrides --role for A", cxxopts::value<std::string>())("role-b", "Overrides --role for B",
                                                                         cxxopts::value<std::string>())(
      "seeds", "1..8 or 1,4,9", cxxopts::value<std::string>()->default_value("1..8"))(
      "jobs", "Concurrent runs in virtual time; 0: one per core",
      cxxopts::value<unsigned>()->default_value("0"))("out", "A folder for compare.json",
                                                      cxxopts::value<std::string>())(
      "set", "KEY=VALUE for both; may be repeated", list())("scenario", "", list());
  options.parse_positional({"scenario"});
  options.positional_help("SCENARIO");
  const auto parsed = parse(options, arguments);
  if (parsed.count("scenario") != 1) throw UsageError("one scenario is wanted");
  const std::string path = parsed["scenario"].as<std::vector<std::string>>().front();
  const auto seeds = parse_seeds(parsed["seeds"].as<std::string>());
  Side a, b;
  for (Side* side : {&a, &b}) {
    const std::string name = side == &a ? "a" : "b";
    side->playing = playing_of(parsed, name);
    if (parsed.count("set") > 0) side->settings = parsed["set"].as<std::vector<std::string>>();
    if (parsed.count("set-" + name) > 0) {
      const auto own = parsed["set-" + name].as<std::vector<std::string>>();
      side->settings.insert(side->settings.end(), own.begin(), own.end());
    }
    if (parsed.count("program-" + name) > 0) {
      if (side->playing.driver == DriverKind::Virtual) {
        throw UsageError(
            "--" + name +
            "-program requires --driver sockets: virtual time uses the built-in decision module");
      }
      side->playing.program = parsed["program-" + name].as<std::string>();
    }
    side->rows.resize(seeds.size());
    side->counts.resize(seeds.size());
    side->kept.resize(seeds.size());
    side->why.resize(seeds.size());
    side->bounds.resize(seeds.size());
  }
  if (a.settings == b.settings && a.playing.program == b.playing.program &&
      a.playing.driver == b.playing.driver && a.playing.role == b.playing.role) {
    throw UsageError(
        "A and B are alike: give --set-a, --set-b, --program-a, --program-b, --driver-b or --role-b");
  }
  for (Side* side : {&a, &b}) {
    auto [scenario, sound] = load_scenario(path, side->settings, side->playing);
    if (!sound) return kBad;
    side->spec = std::move(scenario.spec);
  }
  unsigned jobs = parsed["jobs"].as<unsigned>();
  if (jobs == 0) jobs = std::max(1u, std::thread::hardware_concurrency());
  if (a.playing.driver == DriverKind::Sockets || b.playing.driver == DriverKind::Sockets)
    jobs = 1; // concurrent runs on sockets would delay each other

  const std::stop_token stop = stop_on_signals();
  {
    Progress progress;
    many(
        seeds.size() * 2, jobs, stop,
        [&](std::size_t i) {
          const std::size_t seed = i / 2;
          // The order alternates (A B, then B A), so that slow changes of the machine affect both sides
          // alike.
          Side& side = (i % 2 == 0) == (seed % 2 == 0) ? a : b;
          model::Spec spec = side.spec;
          spec.seed = seeds[seed];
          const auto driver = make_driver(side.playing);
          RunControl control;
          control.stop = stop;
          const Result r =
              play(*driver, driver_name(side.playing), spec, slack_of(side.playing, spec), control);
          side.rows[seed] = row_of(r);
          side.bounds[seed] = r.findings.bounds;
          side.counts[seed] = !r.info.is_void && !r.info.stopped;
          if (!r.info.why_void.empty()) side.why[seed] = r.info.why_void.front();
          side.kept[seed] = std::all_of(r.findings.rules.begin(), r.findings.rules.end(),
                                        [](const RuleFinding& f) { return f.kept(); });
        },
        [&](std::size_t over) {
          progress.show(std::to_string(over) + " of " + std::to_string(seeds.size() * 2) + " runs");
        });
  }

  for (std::size_t i = 0; i < seeds.size(); ++i) {
    for (const Side* side : {&a, &b}) {
      if (side->why[i].empty()) continue;
      std::fprintf(stderr, "void: seed %llu of %s: %s\n", static_cast<unsigned long long>(seeds[i]),
                   side == &a ? "A" : "B", side->why[i].c_str());
    }
  }
  std::vector<std::size_t> pairs;
  std::size_t broken_a = 0, broken_b = 0;
  for (std::size_t i = 0; i < seeds.size(); ++i) {
    if (!a.counts[i] || !b.counts[i]) continue;
    pairs.push_back(i);
    broken_a += a.kept[i] ? 0 : 1;
    broken_b += b.kept[i] ? 0 : 1;
  }
  if (pairs.empty()) {
    std::printf("VOID: no pair of runs counts\n");
    return kBad;
  }
  std::vector<std::vector<std::string>> table{{"", "A", "B", "B - A", "95% interval", "B / A", ""}};
  nlohmann::json saved = {{"seeds", seeds}, {"pairs", pairs.size()}, {"a", a.settings}, {"b", b.settings}};
  Paired first;
  for (std::size_t c = 0; c < kColumns; ++c) {
    std::vector<double> of_a, of_b;
    for (const std::size_t i : pairs) {
      of_a.push_back(a.rows[i][c]);
      of_b.push_back(b.rows[i][c]);
    }
    const Column& column = columns()[c];
    const Paired p = compare(of_a, of_b);
    if (c == 0) first = p;
    const std::string interval =
        p.pairs > 1 ? signed_text(column, p.low) + " to " + signed_text(column, p.high) : "-";
    table.push_back({column.name, column.text(p.mean_a), column.text(p.mean_b), signed_text(column, p.mean),
                     interval, ratio(p), p.pairs > 1 ? says(p, column.more_is_better) : ""});
    saved["figures"][column.key] = {
        {"a", of_a}, {"b", of_b}, {"mean", p.mean}, {"low", p.low}, {"high", p.high}};
  }
  std::printf("%s\n", table_text(table).c_str());
  bounds_table(a, b, pairs, saved);
  const std::string seeds_text =
      std::to_string(pairs.size()) + (pairs.size() == 1 ? " pair" : " pairs") + " of runs";
  std::string verdict;
  if (pairs.size() == 1) {
    verdict = "one pair of runs says nothing of chance: give more seeds";
  } else {
    verdict = says(first, true) + " by the score: " + signed_text(columns()[0], first.mean) +
              " (95% interval " + signed_text(columns()[0], first.low) + " to " +
              signed_text(columns()[0], first.high) + ", " + seeds_text + ")";
  }
  if (broken_a + broken_b > 0) {
    verdict += "; rules were broken in " + std::to_string(broken_a) + " runs of A and " +
               std::to_string(broken_b) + " of B";
  }
  if (pairs.size() < seeds.size()) {
    verdict += "; " + std::to_string(seeds.size() - pairs.size()) + " pairs are void";
  }
  saved["verdict"] = verdict;
  std::printf("%s\n", verdict.c_str());
  if (parsed.count("out") > 0) {
    save_text(parsed["out"].as<std::string>(), "compare.json", saved.dump(1) + "\n");
  }
  return broken_a + broken_b == 0 && pairs.size() == seeds.size() ? kWell : kBad;
}

} // namespace fernward::lab
