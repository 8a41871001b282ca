// Measures the speed of a run in virtual time. Arguments: RATE SECONDS NODES ROUTERS, all optional. Prints
// the speed as a multiple of real time, and the outcomes of the requests.
#include <cstdio>
#include <cstdlib>

#include "fleets.h"
#include "lab/virtual/virtual.h"

namespace {

struct Sum : fernward::model::Sink {
  using Sink::on;
  void on(const fernward::model::Drawn& d) override { ++drawn, asked += d.worth; }
  void on(const fernward::model::Closed& c) override {
    earned += c.earned;
    ++ends[static_cast<int>(c.end)];
    latency += c.latency_ms;
  }
  void on(const fernward::model::Arrived& a) override { ++arrived, last = a.at; }
  void on(const fernward::model::AttemptEnded& a) override { ++endings[static_cast<int>(a.ending)]; }
  std::uint64_t drawn = 0, arrived = 0, ends[7] = {}, endings[12] = {};
  double asked = 0, earned = 0, latency = 0, last = 0;
};

} // namespace

int main(int argc, char** argv) {
  const auto number = [&](int i, double otherwise) { return argc > i ? std::atof(argv[i]) : otherwise; };
  const auto spec =
      fernward::lab::test::ports(number(1, 410), number(2, 600), static_cast<std::uint32_t>(number(3, 14)),
                                 static_cast<std::uint32_t>(number(4, 4)));
  for (const auto& fault : faults(spec)) std::printf("fault: %s %s\n", fault.path.c_str(), fault.why.c_str());
  Sum sum;
  const auto info = fernward::lab::make_virtual_driver()->run(spec, sum);
  double decisions = 0;
  for (const auto& r : info.routers) decisions += r.cpu_s;
  std::printf("ran %.0f s in %.2f s of CPU: %.0f times real time; decisions %.2f s of it; %.1f MB\n",
              info.played_ms / 1000, info.cpu_s + decisions, info.played_ms / 1000 / (info.cpu_s + decisions),
              decisions, info.peak_memory_mb);
  std::printf("%llu requests, %llu events, %.2f us per request; service %.4f, mean %.1f ms, attempts %.3f\n",
              static_cast<unsigned long long>(sum.drawn), static_cast<unsigned long long>(info.events),
              (info.cpu_s + decisions) * 1e6 / static_cast<double>(sum.drawn), sum.earned / sum.asked,
              sum.latency / static_cast<double>(sum.drawn),
              static_cast<double>(sum.arrived) / static_cast<double>(sum.drawn));
  for (const auto e : sum.ends) std::printf("%llu ", static_cast<unsigned long long>(e));
  std::printf("| ");
  for (const auto e : sum.endings) std::printf("%llu ", static_cast<unsigned long long>(e));
  std::printf("\n");
}
