// fernward-limiters: compares limiters under the same loads and prints a Markdown table.
#include <algorithm>
#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <cstdio>
#include <cxxopts.hpp>
#include <map>
#include <mutex>
#include <thread>

#include "world.h"

using namespace fernward::limiters;

namespace {

// Concurrent attempts per core of the fixed limits; the best result of them is the reference.
constexpr double kLevels[] = {1, 1.5, 2, 3, 4, 6};
constexpr double kBackShare = 0.9; // of the reference's goodput: counts as recovered
constexpr double kBackSeconds = 3; // which must hold this long

struct Mean {
  std::vector<double> values;
  double mean() const {
    double sum = 0;
    for (const double v : values) sum += v;
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
  }
  double half_interval() const { // 95%
    if (values.size() < 2) return 0;
    const double m = mean(), n = static_cast<double>(values.size());
    double squares = 0;
    for (const double v : values) squares += (v - m) * (v - m);
    const boost::math::students_t t(n - 1);
    return boost::math::quantile(t, 0.975) * std::sqrt(squares / (n - 1) / n);
  }
};

struct Cell {
  Mean good, peak, recover, refused, share, attempts, falls, busy, late;
};

double share(const Outcome& o, double from, double to) {
  double asked = 0, good = 0;
  for (auto s = static_cast<std::size_t>(from);
       s < std::min(o.asked_by_s.size(), static_cast<std::size_t>(to)); ++s) {
    asked += o.asked_by_s[s];
    good += o.good_by_s[s];
  }
  return asked > 0 ? good / asked : 1;
}

// Seconds until goodput has returned to kRecoveredShare of the reference for kRecoveredSeconds; the remaining
// run time if it never does.
double recovered(const Load& load, const Outcome& o, const Outcome& best) {
  const double wanted = kBackShare * share(best, load.seconds - 15, load.seconds);
  double s = load.recover_from;
  while (s + kBackSeconds <= load.seconds && share(o, s, s + kBackSeconds) < wanted) ++s;
  return std::min(s, load.seconds) - load.recover_from;
}

std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> parts;
  for (std::size_t from = 0; from < text.size();) {
    const std::size_t to = std::min(text.find(',', from), text.size());
    parts.push_back(text.substr(from, to - from));
    from = to + 1;
  }
  return parts;
}

template <typename T>
std::vector<T> chosen(const std::vector<T>& all, const std::string& names) {
  if (names.empty()) return all;
  std::vector<T> some;
  for (const std::string& name : split(names)) {
    const auto it = std::find_if(all.begin(), all.end(), [&](const T& x) { return x.name == name; });
    if (it == all.end()) throw std::runtime_error("there is no load or limiter '" + name + "'");
    some.push_back(*it);
  }
  return some;
}

int run(int argc, char** argv) {
  cxxopts::Options options("fernward-limiters", "Compares limiters under the same loads in virtual time.");
  options.add_options()("loads", "loads to run, separated by commas; default: all",
                        cxxopts::value<std::string>()->default_value(""))(
      "limiters", "limiters to run, separated by commas; default: all",
      cxxopts::value<std::string>()->default_value(""))(
      "routers", "numbers of routers, separated by commas",
      cxxopts::value<std::string>()->default_value("1,4,64,1000"))(
      "seeds", "number of seeds", cxxopts::value<unsigned>()->default_value("20"))(
      "first-seed", "first seed", cxxopts::value<unsigned>()->default_value("1"))(
      "jobs", "threads", cxxopts::value<unsigned>()->default_value("4"))("list", "list loads and limiters")(
      "help", "this");
  const auto given = options.parse(argc, argv);
  if (given.count("help") != 0) return std::puts(options.help().c_str()), 0;
  if (given.count("list") != 0) {
    for (const Load& l : loads()) std::printf("load %s: %s\n", l.name.c_str(), l.what.c_str());
    for (const Entry& e : entries()) std::printf("limiter %s: %s\n", e.name.c_str(), e.source.c_str());
    return 0;
  }
  const auto wanted_loads = chosen(loads(), given["loads"].as<std::string>());
  const auto wanted = chosen(entries(), given["limiters"].as<std::string>());
  const unsigned seeds = given["seeds"].as<unsigned>(), first = given["first-seed"].as<unsigned>();
  for (const std::string& text : split(given["routers"].as<std::string>())) {
    const auto routers = static_cast<unsigned>(std::stoul(text));
    std::printf(
        "\n%u router%s, %u seeds\n\n| load | limiter | goodput relative to the best | share of offered "
        "weight | peak held per "
        "core | "
        "seconds to recover | rejected | attempts per request | cores busy | late "
        "|\n|---|---|---|---|---|---|---|---|---|---|\n",
        routers, routers == 1 ? "" : "s", seeds);
    for (const Load& load : wanted_loads) {
      std::vector<Cell> cells(wanted.size());
      std::mutex lock;
      unsigned next = 0;
      const auto work = [&] {
        while (true) {
          std::unique_lock held(lock);
          if (next >= seeds) return;
          const std::uint64_t seed = first + next++;
          held.unlock();
          Outcome best;
          for (const double level : kLevels) {
            Outcome o = play_fixed(load, seed, routers, level);
            if (o.good > best.good) best = std::move(o);
          }
          std::vector<Outcome> played;
          for (const Entry& e : wanted) played.push_back(play(load, seed, routers, e));
          held.lock();
          for (std::size_t i = 0; i < played.size(); ++i) {
            const Outcome& o = played[i];
            Cell& c = cells[i];
            c.good.values.push_back(o.good / best.good);
            c.share.values.push_back(o.good / o.asked);
            c.peak.values.push_back(o.peak);
            c.refused.values.push_back(o.refused);
            c.attempts.values.push_back(o.attempts);
            c.falls.values.push_back(o.falls);
            c.busy.values.push_back(o.busy);
            c.late.values.push_back(o.late);
            if (load.recover_from >= 0) c.recover.values.push_back(recovered(load, o, best));
          }
        }
      };
      std::vector<std::jthread> threads;
      for (unsigned j = 0; j < std::max(1u, given["jobs"].as<unsigned>()); ++j) threads.emplace_back(work);
      threads.clear();
      for (std::size_t i = 0; i < wanted.size(); ++i) {
        const Cell& c = cells[i];
        char recover[64] = "-";
        if (!c.recover.values.empty())
          std::snprintf(recover, sizeof recover, "%.1f ± %.1f", c.recover.mean(), c.recover.half_interval());
        char falls[32] = "";
        if (load.fall_multiple > 0) std::snprintf(falls, sizeof falls, ", %.2f failures", c.falls.mean());
        std::printf(
            "| %s | %s | %.3f ± %.3f | %.3f | %.1f ± %.1f%s | %s | %.3f ± %.3f | %.2f | %.2f | %.3f |\n",
            load.name.c_str(), wanted[i].name.c_str(), c.good.mean(), c.good.half_interval(), c.share.mean(),
            c.peak.mean(), c.peak.half_interval(), falls, recover, c.refused.mean(),
            c.refused.half_interval(), c.attempts.mean(), c.busy.mean(), c.late.mean());
      }
      std::fflush(stdout);
    }
  }
  return 0;
}

} // namespace

int main(int argc, char** argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "fernward-limiters: %s\n", fault.what());
    return 2;
  }
}
