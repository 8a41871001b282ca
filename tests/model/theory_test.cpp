// The model compared with known results of queueing and caching theory. Seeds are fixed, so the results are
// reproducible.
#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <functional>

#include "model/arrivals.h"
#include "model/memory.h"
#include "model/node.h"
#include "support.h"

using namespace fernward::model;
using namespace fernward::model::test;

namespace {

struct Queue {
  double wait_ms = 0, stay_ms = 0, lost = 0; // means; rejected share
};

// Sends the lab's drawn requests to the lab's model of a node.
Queue play(const Spec& spec, std::uint64_t requests) {
  const Plan plan = make_plan(spec);
  Keys keys(spec);
  Arrivals arrivals(spec, plan, keys);
  Repeats repeats;
  Node node({spec, keys, repeats}, plan.machines.front());
  Acts acts;
  Queue sum;
  double served = 0, all = 0;
  std::vector<double> came(1u << 16);
  for (std::uint64_t i = 0; i < requests; ++i) {
    const Drawn drawn = *arrivals.next();
    acts.clear();
    came[drawn.request % came.size()] = drawn.at;
    node.arrive(drawn.at, attempt_of(drawn), acts);
    for (const Act& act : acts) {
      if (act.what != Act::What::Answered || i < requests / 20)
        continue; // the first 5% are the warm-up of the queue
      all += 1;
      if (act.ending == Ending::Full) {
        sum.lost += 1;
      } else {
        served += 1;
        sum.wait_ms += act.waited_ms;
        sum.stay_ms += act.at - came[act.id % came.size()];
      }
    }
  }
  return {sum.wait_ms / served, sum.stay_ms / served, sum.lost / all};
}

double off(double measured, double theory) { return std::abs(measured - theory) / theory; }

double erlang_b(double servers, double load) {
  double b = 1;
  for (double n = 1; n <= servers; ++n) b = load * b / (n + load * b);
  return b;
}

double erlang_c_wait(double servers, double load, double service_ms) {
  const double b = erlang_b(servers, load), rho = load / servers;
  return b / (1 - rho + rho * b) * service_ms / (servers - load);
}

} // namespace

TEST_CASE("exponential work has the waiting time of M/M/c and the loss of M/M/c/c") {
  const struct {
    std::uint32_t cores;
    double load;
  } cases[] = {{1, 0.5}, {1, 0.7}, {4, 2.8}, {8, 6.4}};
  for (const auto& c : cases) {
    CAPTURE(c.cores);
    CAPTURE(c.load);
    Spec spec = plain_spec({Shape::Exponential, 10, 0});
    spec.kinds[0].cores = c.cores;
    spec.kinds[0].places = c.cores;
    spec.load.rate_per_s = c.load / 10 * 1000;
    CHECK(off(play(spec, 500000).wait_ms, erlang_c_wait(c.cores, c.load, 10)) < 0.03);
    spec.kinds[0].waiting = 0;
    CHECK(off(play(spec, 300000).lost, erlang_b(c.cores, c.load)) < 0.03);
  }
}

TEST_CASE("other work distributions have the waiting time of the Pollaczek-Khinchine formula") {
  const struct {
    Spread work;
    double load;
  } cases[] = {
      {{Shape::Fixed, 10, 0}, 0.7}, {{Shape::LogNormal, 10, 0.5}, 0.6}, {{Shape::LogNormal, 10, 1.5}, 0.5}};
  for (const auto& c : cases) {
    CAPTURE(c.work.cv);
    Spec spec = plain_spec(c.work);
    spec.load.rate_per_s = c.load / 10 * 1000;
    const double wait = c.load / (1 - c.load) * 10 * (1 + c.work.cv * c.work.cv) / 2;
    CHECK(off(play(spec, 700000).wait_ms, wait) < 0.03);
  }
}

TEST_CASE("with processor sharing the mean response time depends only on the load (M/G/1-PS)") {
  Spec spec = plain_spec({Shape::LogNormal, 10, 1.5});
  spec.kinds[0].places = 1u << 20;
  spec.load.rate_per_s = 60;
  CHECK(off(play(spec, 300000).stay_ms, 10 / (1 - 0.6)) < 0.03);
}

TEST_CASE("the hit ratio under a Zipf distribution matches Che's approximation") {
  const struct {
    double zipf, offset;
    std::uint32_t objects;
  } cases[] = {{0.8, 0, 200}, {1, 0, 1000}, {1.1, 5, 2000}, {0.6, 0, 5000}};
  for (const auto& c : cases) {
    CAPTURE(c.zipf);
    Spec spec = plain_spec({Shape::Fixed, 1, 0});
    spec.keys.count = 10000;
    spec.keys.zipf = c.zipf;
    spec.keys.offset = c.offset;
    std::vector<double> p;
    double whole = 0;
    for (std::uint32_t r = 0; r < spec.keys.count; ++r) p.push_back(rank_weight(spec.keys, r));
    for (const double w : p) whole += w;
    // The characteristic time: the time in which as many different keys are requested as fit into the memory.
    double low = 0, high = 1e9;
    for (int i = 0; i < 200; ++i) {
      const double t = (low + high) / 2;
      double held = 0;
      for (const double w : p) held += -std::expm1(-w / whole * t);
      (held < c.objects ? low : high) = t;
    }
    double che = 0;
    for (const double w : p) che += w / whole * -std::expm1(-w / whole * low);

    Keys keys(spec);
    Memory memory(c.objects * 100.0, Evict::Lru, 0, 36);
    Engine engine = stream(5, "che");
    double hits = 0;
    const int all = 300000;
    for (int i = -all / 3; i < all; ++i) {
      const std::uint64_t key = keys.draw(0, engine);
      if (memory.find(0, key)) {
        hits += i >= 0 ? 1 : 0;
      } else {
        memory.store(0, key, 64);
      }
    }
    CHECK(memory.objects() == c.objects);
    CHECK(std::abs(hits / all - che) < 0.02);
  }
}

TEST_CASE("arrivals are a Poisson process with the configured rate (Kolmogorov-Smirnov test at 1%)") {
  const struct {
    LoadShape shape;
    bool spike;
  } cases[] = {{LoadShape::Steady, false}, {LoadShape::Ramp, false}, {LoadShape::Day, true}};
  for (const auto& c : cases) {
    Spec spec = plain_spec({Shape::Fixed, 1, 0});
    spec.duration_ms = 100000;
    spec.load.rate_per_s = 300;
    spec.load.shape = c.shape;
    spec.load.ramp_to = 3;
    spec.load.swing = 0.6;
    spec.load.period_ms = 50000;
    spec.load.peak_at_ms = 20000;
    if (c.spike) spec.events.push_back({40000, "spike", LoadSpike{4, 50000}});
    const Plan plan = make_plan(spec);
    Keys keys(spec);
    Arrivals arrivals(spec, plan, keys);
    // The integral of the rate. On this time scale the mean gap between arrivals is 1 everywhere.
    std::vector<double> until{0};
    for (int ms = 0; ms < 100000; ++ms) until.push_back(until.back() + arrivals.rate(ms + 0.5) / 1000);
    const auto turned = [&](double at) {
      const auto ms = static_cast<std::size_t>(at);
      return until[ms] + (until[ms + 1] - until[ms]) * (at - std::floor(at));
    };
    std::vector<double> gaps;
    double last = 0;
    for (auto drawn = arrivals.next(); drawn; drawn = arrivals.next()) {
      gaps.push_back(turned(drawn->at) - last);
      last += gaps.back();
    }
    const auto n = static_cast<double>(gaps.size());
    CHECK(std::abs(n - until.back()) < 3 * std::sqrt(until.back()));
    std::sort(gaps.begin(), gaps.end());
    double furthest = 0;
    for (std::size_t i = 0; i < gaps.size(); ++i) {
      const double cdf = -std::expm1(-gaps[i]), at = static_cast<double>(i);
      furthest = std::max({furthest, cdf - at / n, (at + 1) / n - cdf});
    }
    CHECK(furthest * std::sqrt(n) < 1.63);
  }
}
