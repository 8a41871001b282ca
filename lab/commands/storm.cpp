// fernward-lab storm: generates storms from seeds, runs and checks them; shrinks one, or replays one from its
// file.
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

#include "lab/commands/command.h"
#include "lab/storm/beside.h"
#include "lab/storm/page.h"
#include "lab/storm/shrink.h"
#include "lab/virtual/virtual.h"

namespace fernward::lab {
namespace {

namespace fs = std::filesystem;

constexpr std::uint32_t kMostLeftOut = 1000;
constexpr double kBesideCalmMs = 2000, kBesideFaultsMs = 5000; // phases of a storm that runs in real time

std::string read_text(const std::string& path) {
  std::ifstream in(path);
  if (!in) throw std::runtime_error(path + " can't be read");
  return {std::istreambuf_iterator<char>(in), {}};
}

void write_text(const fs::path& path, const std::string& text) {
  std::ofstream out(path);
  out << text;
  if (!out.flush()) throw std::runtime_error(path.string() + " can't be written");
}

void print_verdicts(const storm::Outcome& out) {
  for (std::size_t i = 0; i < out.verdicts.size(); ++i) {
    const storm::Verdict& v = out.verdicts[i];
    std::printf("%-12s %-8s %6.2f  %s\n", storm::oracles()[i].name,
                v.broken() ? "BROKEN"
                : v.judged ? "kept"
                           : "-",
                v.distance, v.what.c_str());
  }
}

// Runs the storm of a file. If the file names an oracle, the verdict of that oracle must match the file.
int replay(const storm::Rig& rig, const std::string& path, std::uint32_t times, std::stop_token stop) {
  const auto expected = storm::expected_of(read_text(path));
  const Scenario scenario = read_scenario_file(path);
  if (print_faults(scenario)) return kBad;
  bool well = true;
  for (std::uint32_t i = 0; i < times && !stop.stop_requested(); ++i) {
    const storm::Outcome out = storm::play(rig, scenario.spec, stop);
    if (stop.stop_requested()) return kBad;
    if (i == 0) print_verdicts(out);
    if (expected) {
      const bool as_said = out.broken(*expected->oracle) == expected->broken;
      well &= as_said;
      std::printf("%s: %s is %s%s\n", path.c_str(), expected->oracle->name,
                  out.broken(*expected->oracle) ? "broken" : "kept",
                  as_said ? "" : ", and the file says otherwise");
    } else {
      const storm::Oracle* broken = out.broken();
      well &= broken == nullptr || broken->sure != storm::Sure::Always;
    }
  }
  return well ? kWell : kBad;
}

int shrink_file(const storm::Rig& rig, const std::string& path, const std::string& wanted,
                const std::string& out_path, std::uint32_t plays, std::stop_token stop) {
  const auto expected = storm::expected_of(read_text(path));
  const Scenario scenario = read_scenario_file(path);
  if (print_faults(scenario)) return kBad;
  const model::Spec& spec = scenario.spec;
  const storm::Outcome first = storm::play(rig, spec, stop);
  print_verdicts(first);
  const storm::Oracle* oracle = !wanted.empty() ? storm::find_oracle(wanted)
                                : expected      ? expected->oracle
                                                : first.broken();
  if (oracle == nullptr) {
    std::printf("%s\n", wanted.empty() ? "no oracle is broken" : "there is no such oracle");
    return kBad;
  }
  if (!first.broken(*oracle)) {
    std::printf("%s is not broken\n", oracle->name);
    return kBad;
  }
  const std::size_t number = static_cast<std::size_t>(oracle - storm::oracles().data());
  // If the oracle depends on chance, a cut must keep enough distance from the limit that chance alone can't
  // reach it.
  const double least = oracle->sure == storm::Sure::Always ? 1 : (1 + first.verdicts[number].distance) / 2;
  const storm::Shrunk small = storm::shrink(
      spec,
      [&](const model::Spec& s) {
        if (stop.stop_requested()) return 0.0;
        const storm::Verdict v = storm::play(rig, s, stop).verdicts[number];
        return v.broken() && v.distance >= least ? v.distance : 0;
      },
      plays);
  // Runs the storm as it is read back from its text, so that the written file is what was run.
  const Scenario again = read_scenario(scenario_text(small.spec), "shrunk");
  if (print_faults(again)) return kBad;
  const storm::Outcome last = storm::play(rig, again.spec, stop);
  std::printf("\n%u plays, %u cuts: %u routers, %u nodes, %zu events, %.1f s\n", small.plays, small.cuts,
              storm::routers_of(small.spec), storm::nodes_of(small.spec), small.spec.events.size(),
              small.spec.duration_ms / 1000);
  print_verdicts(last);
  write_text(out_path,
             storm::storm_text(again.spec, {oracle, last.broken(*oracle)}, last.verdicts[number].what));
  std::printf("written: %s\n", out_path.c_str());
  return last.broken(*oracle) ? kWell : kBad;
}

// Runs storms that are short enough for real time on sockets, and compares each with runs in virtual time.
int play_besides(const storm::Besides& besides, std::uint64_t first, std::uint64_t storms,
                 const storm::Size& size, double most_s, const std::string& out, std::stop_token stop) {
  std::vector<storm::Pair> pairs;
  std::uint32_t long_ones = 0;
  const fs::path folder(out);
  if (!out.empty()) fs::create_directories(folder);
  for (std::uint64_t seed = first; pairs.size() < storms && !stop.stop_requested(); ++seed) {
    const model::Spec spec = storm::draw(seed, {}, size);
    if (spec.duration_ms > 1000 * most_s) {
      if (++long_ones > kMostLeftOut) throw UsageError("--most-seconds is too short: no storm is left");
      continue;
    }
    storm::Pair pair = storm::play_beside(besides, spec, stop);
    if (stop.stop_requested()) return kBad;
    std::printf("%s", storm::pair_text(pair).c_str());
    std::fflush(stdout);
    if (!out.empty() && (!pair.agrees() || pair.breaks(storm::Sure::Always)))
      write_text(folder / (spec.name + ".toml"), scenario_text(spec));
    pairs.push_back(std::move(pair));
  }
  const storm::Agreement agreement = storm::agreement_of(pairs);
  std::printf("%u longer than %.0f s were left out\n%s", long_ones, most_s,
              storm::agreement_text(agreement).c_str());
  return agreement.well() ? kWell : kBad;
}

} // namespace

int storm_command(const Arguments& arguments) {
  cxxopts::Options options("fernward-lab storm",
                           "Generate storms from seeds, run them and check them by oracles");
  add_playing(options);
  options.add_options()("first", "The first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "storms", "Number of storms, with consecutive seeds",
      cxxopts::value<std::uint64_t>()->default_value("200"))(
      "most-routers", "Routers of a storm, at most", cxxopts::value<std::uint32_t>()->default_value("300"))(
      "most-nodes", "Nodes of a storm, at most", cxxopts::value<std::uint32_t>()->default_value("200"))(
      "most-rate", "Requests per second of a storm, at most", cxxopts::value<double>()->default_value("250"))(
      "jobs", "Concurrent storms; 0: one per core", cxxopts::value<unsigned>()->default_value("0"))(
      "out",
      "A folder for the report and a scenario for each of the worst storms; for --shrink and --write a file",
      cxxopts::value<std::string>())("shrink",
                                     "Reduce the storm of a file as long as its oracle stays broken",
                                     cxxopts::value<std::string>())(
      "oracle", "The oracle for --shrink; default: the one named in the file", cxxopts::value<std::string>())(
      "plays", "Runs that --shrink may use", cxxopts::value<std::uint32_t>()->default_value("400"))(
      "write", "Write the storm of --first as a scenario, without running it")(
      "replay", "Run the storm of a file; the verdict must match the file", cxxopts::value<std::string>())(
      "beside", "On sockets: compare each storm with this many runs of it in virtual time; 0: none",
      cxxopts::value<std::uint32_t>()->default_value("0"))(
      "tries", "--beside: attempts to run a storm on sockets while its runs are void",
      cxxopts::value<std::uint32_t>()->default_value("3"))(
      "records", "--beside: a folder for the records of both drivers, one per line",
      cxxopts::value<std::string>()->default_value(""))("most-seconds", "--beside: longer storms are skipped",
                                                        cxxopts::value<double>()->default_value("30"))(
      "planted", "A defect injected into the routers of virtual time, to test which oracle finds it",
      cxxopts::value<std::string>()->default_value("none"))(
      "times", "Number of runs of --replay", cxxopts::value<std::uint32_t>()->default_value("1"));
  const auto parsed = parse(options, arguments);
  const Playing playing = playing_of(parsed);
  const auto stop = stop_on_signals();
  storm::Rig rig;
  rig.exact = playing.driver == DriverKind::Virtual;
  const std::string wanted = parsed["planted"].as<std::string>();
  const auto planted = std::find(kPlantedNames.begin(), kPlantedNames.end(), wanted);
  if (planted == kPlantedNames.end()) {
    std::string known;
    for (const char* name : kPlantedNames) known += std::string(known.empty() ? "" : ", ") + name;
    throw UsageError("--planted must be one of " + known);
  }
  const auto defect = static_cast<Planted>(planted - kPlantedNames.begin());
  if (defect != Planted::None && !rig.exact) throw UsageError("--planted requires --driver virtual");
  rig.driver = [&playing, defect] {
    return playing.driver == DriverKind::Virtual ? make_virtual_driver(defect) : make_driver(playing);
  };

  if (parsed.count("replay") > 0) {
    return replay(rig, parsed["replay"].as<std::string>(), parsed["times"].as<std::uint32_t>(), stop);
  }
  storm::Season season;
  season.first_seed = parsed["first"].as<std::uint64_t>();
  season.storms = parsed["storms"].as<std::uint64_t>();
  season.size.most_routers = parsed["most-routers"].as<std::uint32_t>();
  season.size.most_nodes = parsed["most-nodes"].as<std::uint32_t>();
  season.size.most_rate = parsed["most-rate"].as<double>();
  if (season.size.most_routers < 3 || season.size.most_nodes < 6) {
    throw UsageError("--most-routers must be 3 or more and --most-nodes 6 or more");
  }
  if (!(season.size.most_rate >= 10)) throw UsageError("--most-rate must be 10 or more");
  const std::string out = parsed.count("out") > 0 ? parsed["out"].as<std::string>() : "";
  if (const auto plays = parsed["beside"].as<std::uint32_t>(); plays > 0) {
    if (rig.exact) throw UsageError("--beside requires --driver sockets");
    if (plays < 2)
      throw UsageError("--beside must be 2 or more, because one run can't show random variation");
    if (season.size.most_routers > 8) throw UsageError("--beside allows --most-routers 8 at most");
    season.size.calm_ms = kBesideCalmMs;
    season.size.faults_ms = kBesideFaultsMs;
    season.size.skew = 1;
    season.size.whole = false;
    const storm::Besides besides{
        rig.driver, [](std::uint64_t chance) { return make_virtual_driver(Planted::None, chance); }, plays,
        std::max(1u, parsed["tries"].as<std::uint32_t>()), parsed["records"].as<std::string>()};
    if (!besides.records.empty()) fs::create_directories(besides.records);
    return play_besides(besides, season.first_seed, season.storms, season.size,
                        parsed["most-seconds"].as<double>(), out, stop);
  }
  if (parsed.count("shrink") > 0) {
    const std::string path = parsed["shrink"].as<std::string>();
    return shrink_file(rig, path, parsed.count("oracle") > 0 ? parsed["oracle"].as<std::string>() : "",
                       out.empty() ? path + ".small.toml" : out, parsed["plays"].as<std::uint32_t>(), stop);
  }
  if (parsed.count("write") > 0) {
    const model::Spec spec = storm::draw(season.first_seed, {}, season.size);
    const std::string path = out.empty() ? spec.name + ".toml" : out;
    write_text(path, scenario_text(spec));
    std::printf("written: %s\n", path.c_str());
    return kWell;
  }
  const unsigned jobs = parsed["jobs"].as<unsigned>();
  season.jobs = !rig.exact ? 1 : jobs > 0 ? jobs : std::max(1u, std::thread::hardware_concurrency());
  storm::Sum sum;
  {
    Progress progress;
    season.progress = [&](const storm::Sum& so_far) {
      progress.show(std::to_string(so_far.storms) + " of " + std::to_string(season.storms) + " storms");
    };
    sum = storm::play(rig, season, stop);
  }
  std::printf("%s", storm::sum_text(sum).c_str());
  if (!out.empty()) {
    fs::create_directories(out);
    write_text(fs::path(out) / "storms.html", storm::page_html(sum, season));
    for (const storm::Told& t : sum.worst) {
      const storm::Oracle& o = storm::oracles()[t.oracle];
      write_text(fs::path(out) / (std::string(o.name) + "-" + std::to_string(t.seed) + ".toml"),
                 storm::storm_text(t.spec, {&o, true}, t.verdict.what));
    }
    std::printf("report: %s\n", (fs::path(out) / "storms.html").string().c_str());
  }
  return sum.broken(storm::Sure::Always) || !sum.voids.empty() ? kBad : kWell;
}

} // namespace fernward::lab
