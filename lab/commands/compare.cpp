// fernward-lab compare: compares two settings or two programs by pairs of runs with the same seeds.
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <thread>

#include "lab/commands/command.h"
#include "lab/experiment/run_parallel.h"
#include "lab/experiment/summary.h"
#include "lab/report/files.h"

namespace fernward::lab {
namespace {

// One of the two configurations that are compared, and the results of its runs.
struct ComparedSide {
  std::vector<std::string> settings;
  DriverOptions driver_options;
  model::Spec spec;
  std::vector<SummaryRow> rows;                 // by seed
  std::vector<char> valid, rules_passed;        // by seed: the run is valid; no rule was violated
  std::vector<std::vector<BoundResult>> bounds; // by seed
  std::vector<std::string> void_reasons;        // by seed: why the run is void, else empty
};

std::string signed_text(const SummaryColumn& column, double value) {
  return (value < 0 ? "-" : "+") + column.format_value(std::fabs(value));
}

std::string ratio_text(const PairedComparison& comparison) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", comparison.mean_b / comparison.mean_a);
  return comparison.mean_a > 0 ? text : "-";
}

std::string difference_text(const PairedComparison& comparison, bool higher_is_better) {
  if (comparison.direction == PairedComparison::Direction::Undetermined) return "no difference seen";
  return (comparison.direction == PairedComparison::Direction::Higher) == higher_is_better ? "B is better"
                                                                                           : "B is worse";
}

// Prints each bound of the scenario for both sides: its mean and worst value, and in how many runs it holds.
void print_bounds_table(const ComparedSide& a, const ComparedSide& b,
                        const std::vector<std::size_t>& valid_pairs, nlohmann::json& json_output) {
  const std::size_t count =
      std::min(a.bounds[valid_pairs.front()].size(), b.bounds[valid_pairs.front()].size());
  if (count == 0) return;
  std::vector<std::vector<std::string>> table{
      {"bound", "A: mean", "worst", "holds", "B: mean", "worst", "holds"}};
  for (std::size_t i = 0; i < count; ++i) {
    const BoundResult& first_result = a.bounds[valid_pairs.front()][i];
    std::vector<std::string> row{first_result.description};
    nlohmann::json entry = {{"what", first_result.description}};
    for (const ComparedSide* side : {&a, &b}) {
      double sum = 0, worst = first_result.at_most ? -1e300 : 1e300;
      std::size_t measured_count = 0, passed_count = 0;
      std::vector<double> values;
      for (const std::size_t pair : valid_pairs) {
        const BoundResult& bound_result = side->bounds[pair][i];
        passed_count += bound_result.passed ? 1 : 0;
        if (!bound_result.value) continue;
        ++measured_count;
        sum += *bound_result.value;
        worst = first_result.at_most ? std::max(worst, *bound_result.value)
                                     : std::min(worst, *bound_result.value);
        values.push_back(*bound_result.value);
      }
      row.push_back(measured_count > 0
                        ? metric_value_text(first_result.metric, sum / static_cast<double>(measured_count))
                        : "-");
      row.push_back(measured_count > 0 ? metric_value_text(first_result.metric, worst) : "-");
      row.push_back(std::to_string(passed_count) + " of " + std::to_string(valid_pairs.size()));
      entry[side == &a ? "a" : "b"] = {{"values", values}, {"kept", passed_count}};
    }
    table.push_back(std::move(row));
    json_output["bounds"].push_back(std::move(entry));
  }
  std::printf("%s\n", table_text(table).c_str());
}

} // namespace

int compare_command(const Arguments& arguments) {
  cxxopts::Options options(
      "fernward-lab compare",
      "Run a scenario with two configurations, A and B, over the same seeds, and report whether B is better. "
      "The exit code is 1 if a run was void or violated a rule");
  add_driver_options(options);
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
  if (const std::size_t count = parsed.count("scenario"); count != 1)
    throw UsageError("expected exactly one scenario file, got " + std::to_string(count));
  const std::string path = parsed["scenario"].as<std::vector<std::string>>().front();
  const auto seeds = parse_seeds(parsed["seeds"].as<std::string>());
  ComparedSide a, b;
  for (ComparedSide* side : {&a, &b}) {
    const std::string name = side == &a ? "a" : "b";
    side->driver_options = parse_driver_options(parsed, name);
    if (parsed.count("set") > 0) side->settings = parsed["set"].as<std::vector<std::string>>();
    if (parsed.count("set-" + name) > 0) {
      const auto own_settings = parsed["set-" + name].as<std::vector<std::string>>();
      side->settings.insert(side->settings.end(), own_settings.begin(), own_settings.end());
    }
    if (parsed.count("program-" + name) > 0) {
      if (side->driver_options.driver == DriverKind::Virtual) {
        throw UsageError("--program-" + name +
                         " requires --driver sockets: virtual time uses the built-in decision module");
      }
      side->driver_options.program = parsed["program-" + name].as<std::string>();
    }
    side->rows.resize(seeds.size());
    side->valid.resize(seeds.size());
    side->rules_passed.resize(seeds.size());
    side->void_reasons.resize(seeds.size());
    side->bounds.resize(seeds.size());
  }
  if (a.settings == b.settings && a.driver_options.program == b.driver_options.program &&
      a.driver_options.driver == b.driver_options.driver && a.driver_options.role == b.driver_options.role) {
    throw UsageError(
        "A and B are alike: give --set-a, --set-b, --program-a, --program-b, --driver-b or --role-b");
  }
  for (ComparedSide* side : {&a, &b}) {
    auto [scenario, valid_scenario] = load_scenario(path, side->settings, side->driver_options);
    if (!valid_scenario) return kFailure;
    side->spec = std::move(scenario.spec);
  }
  unsigned jobs = parsed["jobs"].as<unsigned>();
  if (jobs == 0) jobs = std::max(1u, std::thread::hardware_concurrency());
  if (a.driver_options.driver == DriverKind::Sockets || b.driver_options.driver == DriverKind::Sockets)
    jobs = 1; // concurrent runs on sockets would delay each other

  const std::stop_token stop = stop_on_signals();
  {
    ProgressLine progress;
    run_parallel(
        seeds.size() * 2, jobs, stop,
        [&](std::size_t i) {
          const std::size_t seed_index = i / 2;
          // The order alternates (A B, then B A), so that slow changes of the machine affect both sides
          // alike.
          ComparedSide& side = (i % 2 == 0) == (seed_index % 2 == 0) ? a : b;
          model::Spec spec = side.spec;
          spec.seed = seeds[seed_index];
          const auto driver = make_driver(side.driver_options);
          RunControl control;
          control.stop = stop;
          const ExperimentResult result = run_experiment(*driver, driver_name(side.driver_options), spec,
                                                         slack_ms_of(side.driver_options, spec), control);
          side.rows[seed_index] = summary_row(result);
          side.bounds[seed_index] = result.check_result.bounds;
          side.valid[seed_index] = !result.info.is_void && !result.info.stopped;
          if (!result.info.void_reasons.empty())
            side.void_reasons[seed_index] = result.info.void_reasons.front();
          side.rules_passed[seed_index] =
              std::all_of(result.check_result.rules.begin(), result.check_result.rules.end(),
                          [](const RuleResult& rule_result) { return rule_result.passed(); });
        },
        [&](std::size_t finished_runs) {
          progress.show(std::to_string(finished_runs) + " of " + std::to_string(seeds.size() * 2) + " runs");
        });
  }

  for (std::size_t i = 0; i < seeds.size(); ++i) {
    for (const ComparedSide* side : {&a, &b}) {
      if (side->void_reasons[i].empty()) continue;
      std::fprintf(stderr, "void: seed %llu of %s: %s\n", static_cast<unsigned long long>(seeds[i]),
                   side == &a ? "A" : "B", side->void_reasons[i].c_str());
    }
  }
  std::vector<std::size_t> valid_pairs;
  std::size_t violated_runs_a = 0, violated_runs_b = 0;
  for (std::size_t i = 0; i < seeds.size(); ++i) {
    if (!a.valid[i] || !b.valid[i]) continue;
    valid_pairs.push_back(i);
    violated_runs_a += a.rules_passed[i] ? 0 : 1;
    violated_runs_b += b.rules_passed[i] ? 0 : 1;
  }
  if (valid_pairs.empty()) {
    std::printf("VOID: no pair of runs is valid\n");
    return kFailure;
  }
  std::vector<std::vector<std::string>> table{{"", "A", "B", "B - A", "95% interval", "B / A", ""}};
  nlohmann::json json_output = {
      {"seeds", seeds}, {"pairs", valid_pairs.size()}, {"a", a.settings}, {"b", b.settings}};
  PairedComparison score_comparison;
  for (std::size_t column_index = 0; column_index < kSummaryColumnCount; ++column_index) {
    std::vector<double> values_a, values_b;
    for (const std::size_t i : valid_pairs) {
      values_a.push_back(a.rows[i][column_index]);
      values_b.push_back(b.rows[i][column_index]);
    }
    const SummaryColumn& column = summary_columns()[column_index];
    const PairedComparison comparison = compare_pairs(values_a, values_b);
    if (column_index == 0) score_comparison = comparison;
    const std::string interval = comparison.pair_count > 1
                                     ? signed_text(column, comparison.confidence_low) + " to " +
                                           signed_text(column, comparison.confidence_high)
                                     : "-";
    table.push_back({column.name, column.format_value(comparison.mean_a),
                     column.format_value(comparison.mean_b), signed_text(column, comparison.mean_difference),
                     interval, ratio_text(comparison),
                     comparison.pair_count > 1 ? difference_text(comparison, column.higher_is_better) : ""});
    json_output["figures"][column.key] = {{"a", values_a},
                                          {"b", values_b},
                                          {"mean", comparison.mean_difference},
                                          {"low", comparison.confidence_low},
                                          {"high", comparison.confidence_high}};
  }
  std::printf("%s\n", table_text(table).c_str());
  print_bounds_table(a, b, valid_pairs, json_output);
  const std::string pairs_text =
      std::to_string(valid_pairs.size()) + (valid_pairs.size() == 1 ? " pair" : " pairs") + " of runs";
  std::string verdict;
  if (valid_pairs.size() == 1) {
    verdict = "a single pair of runs shows no spread: use more seeds";
  } else {
    verdict = difference_text(score_comparison, true) +
              " by the score: " + signed_text(summary_columns()[0], score_comparison.mean_difference) +
              " (95% interval " + signed_text(summary_columns()[0], score_comparison.confidence_low) +
              " to " + signed_text(summary_columns()[0], score_comparison.confidence_high) + ", " +
              pairs_text + ")";
  }
  if (violated_runs_a + violated_runs_b > 0) {
    verdict += "; rules were broken in " + std::to_string(violated_runs_a) + " runs of A and " +
               std::to_string(violated_runs_b) + " of B";
  }
  if (valid_pairs.size() < seeds.size()) {
    verdict += "; " + std::to_string(seeds.size() - valid_pairs.size()) + " pairs are void";
  }
  json_output["verdict"] = verdict;
  std::printf("%s\n", verdict.c_str());
  if (parsed.count("out") > 0) {
    save_text(parsed["out"].as<std::string>(), "compare.json", json_output.dump(1) + "\n");
  }
  return violated_runs_a + violated_runs_b == 0 && valid_pairs.size() == seeds.size() ? kSuccess : kFailure;
}

} // namespace fernward::lab
