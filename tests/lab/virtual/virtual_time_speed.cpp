// Measures the speed of a run in virtual time. Arguments: RATE SECONDS NODES ROUTERS, all optional; RATE
// is in requests per second. Prints the speed as a multiple of real time, and the numbers of requests and
// of attempts by outcome.
#include <cstdio>
#include <cstdlib>

#include "fleet_specs.h"
#include "lab/virtual/virtual_driver.h"

namespace {

struct Totals : fernward::model::Sink {
  using Sink::on;
  void on(const fernward::model::DrawnRequest& d) override {
    ++drawn_count, offered_weight += d.priority_weight;
  }
  void on(const fernward::model::RequestEnded& c) override {
    earned_weight += c.earned_weight;
    ++request_outcome_counts[static_cast<int>(c.outcome)];
    total_latency_ms += c.latency_ms;
  }
  void on(const fernward::model::AttemptArrived& a) override { ++arrival_count, last_arrival_ms = a.at; }
  void on(const fernward::model::AttemptEnded& a) override {
    ++attempt_outcome_counts[static_cast<int>(a.outcome)];
  }
  std::uint64_t drawn_count = 0, arrival_count = 0, request_outcome_counts[7] = {},
                attempt_outcome_counts[12] = {};
  double offered_weight = 0, earned_weight = 0, total_latency_ms = 0, last_arrival_ms = 0;
};

} // namespace

int main(int argc, char** argv) {
  const auto argument = [&](int i, double default_value) {
    return argc > i ? std::atof(argv[i]) : default_value;
  };
  const auto spec = fernward::lab::test::four_zone_spec(argument(1, 410), argument(2, 600),
                                                        static_cast<std::uint32_t>(argument(3, 14)),
                                                        static_cast<std::uint32_t>(argument(4, 4)));
  for (const auto& error : find_spec_errors(spec))
    std::printf("error: %s: %s\n", error.path.c_str(), error.reason.c_str());
  Totals totals;
  const auto info = fernward::lab::make_virtual_driver()->run(spec, totals);
  double decision_cpu_s = 0;
  for (const auto& r : info.routers) decision_cpu_s += r.cpu_s;
  std::printf("ran %.0f s in %.2f s of CPU: %.0f times real time; decisions %.2f s of it; %.1f MB\n",
              info.scenario_elapsed_ms / 1000, info.cpu_s + decision_cpu_s,
              info.scenario_elapsed_ms / 1000 / (info.cpu_s + decision_cpu_s), decision_cpu_s,
              info.peak_memory_mb);
  std::printf("%llu requests, %llu events, %.2f us per request; service %.4f, mean %.1f ms, attempts %.3f\n",
              static_cast<unsigned long long>(totals.drawn_count),
              static_cast<unsigned long long>(info.simulated_events),
              (info.cpu_s + decision_cpu_s) * 1e6 / static_cast<double>(totals.drawn_count),
              totals.earned_weight / totals.offered_weight,
              totals.total_latency_ms / static_cast<double>(totals.drawn_count),
              static_cast<double>(totals.arrival_count) / static_cast<double>(totals.drawn_count));
  for (const auto e : totals.request_outcome_counts) std::printf("%llu ", static_cast<unsigned long long>(e));
  std::printf("| ");
  for (const auto e : totals.attempt_outcome_counts) std::printf("%llu ", static_cast<unsigned long long>(e));
  std::printf("\n");
}
