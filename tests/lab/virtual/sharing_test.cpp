// Sharing between routers, and faults of the network between them, in virtual time.
#include <doctest/doctest.h>
#include <xxhash.h>

#include <algorithm>
#include <map>
#include <set>

#include "fleet_specs.h"
#include "lab/virtual/virtual_driver.h"
#include "model/plan.h"

using namespace fernward::lab;
using namespace fernward::model;

namespace {

// Records the shared state of the routers, and the load that they put on the origin.
struct SharingRecorder : Sink {
  using Sink::on;
  void on(const DrawnRequest& d) override { offered_weight += d.priority_weight; }
  void on(const RequestEnded& c) override {
    earned_weight += c.earned_weight;
    const double all[] = {c.at, c.earned_weight, c.latency_ms};
    result_hash = XXH3_64bits_withSeed(all, sizeof all, result_hash);
  }
  void on(const TrySent& t) override {
    if (t.accepted) accepting_router[t.try_id] = t.router;
  }
  void on(const TryEnded& a) override {
    if (a.outcome == TryOutcome::TimedOut && accepting_router.count(a.try_id) > 0)
      ++unanswered_tries[accepting_router[a.try_id]];
  }
  void on(const AttemptArrived& a) override {
    send_times_ms[a.router].insert(a.sent_at);
    if (a.machine != origin) return;
    open_at_origin.insert(a.attempt);
    record_origin_load(a.at);
  }
  void on(const AttemptEnded& e) override { open_at_origin.erase(e.attempt); }
  void on(const SharingSample& s) override { samples.push_back(s); }
  void on(const RouterEvent& e) override { event_times_ms[e.what].push_back(e.at); }

  void record_origin_load(double at) {
    std::size_t& peak_attempts = origin_peaks[static_cast<int>(at / 1000)];
    peak_attempts = std::max(peak_attempts, open_at_origin.size());
  }
  std::size_t max_origin_attempts(int from_s, int to_s) const {
    std::size_t max_attempts = 0;
    for (auto it = origin_peaks.lower_bound(from_s); it != origin_peaks.end() && it->first < to_s; ++it)
      max_attempts = std::max(max_attempts, it->second);
    return max_attempts;
  }
  // Sums the limits of all sharing routers for each second; returns the mean and the maximum of the sums from
  // `from_ms` to `to_ms`.
  std::pair<double, double> limit_sums(double from_ms, double to_ms) const {
    std::map<double, double> sums;
    for (const SharingSample& s : samples) {
      if (s.at >= from_ms && s.at < to_ms) sums[s.at] += s.limit;
    }
    double max_sum = 0, total = 0;
    for (const auto& [at, sum] : sums) max_sum = std::max(max_sum, sum), total += sum;
    return {total / static_cast<double>(sums.size()), max_sum};
  }
  // Returns the minimum and maximum of `value` over the samples of `routers` from `from_ms` to `to_ms`.
  template <typename Value>
  std::pair<double, double> range(double from_ms, double to_ms, std::set<RouterId> routers,
                                  Value value) const {
    double min_value = 1e9, max_value = -1e9;
    for (const SharingSample& s : samples) {
      if (s.at < from_ms || s.at >= to_ms || routers.count(s.router) == 0) continue;
      min_value = std::min(min_value, value(s)), max_value = std::max(max_value, value(s));
    }
    return {min_value, max_value};
  }

  MachineId origin = 14;
  double offered_weight = 0, earned_weight = 0;
  std::uint64_t result_hash = 0;
  std::set<AttemptId> open_at_origin;
  std::map<int, std::size_t> origin_peaks; // by second: the largest number of open attempts at the origin
  std::map<RouterId, std::multiset<double>> send_times_ms;
  std::map<TryId, RouterId> accepting_router;
  std::map<RouterId, int> unanswered_tries;
  std::map<RouterEvent::What, std::vector<double>> event_times_ms;
  std::vector<SharingSample> samples;
};

const std::set<RouterId> kAllRouters{0, 1, 2, 3}, kOtherRouters{1, 2, 3};

double living_routers(const SharingSample& s) { return s.living_routers; }
double reporting_peers(const SharingSample& s) { return s.reporting_peers; }
double shared_part(const SharingSample& s) { return s.shared_part; }

Spec sharing_spec(double seconds, std::uint64_t seed, EventAction event, double at_ms = 10000) {
  Spec spec = test::four_zone_spec(410, seconds);
  spec.seed = seed;
  spec.routers.sharing.enabled = true;
  spec.events = {{at_ms, "", std::move(event)}};
  return spec;
}

RunInfo run(const Spec& spec, SharingRecorder& recorder) {
  for (const SpecError& error : find_spec_errors(spec)) FAIL(error.path, " ", error.reason);
  return make_virtual_driver()->run(spec, recorder);
}

RouterSelector router_selector(std::vector<RouterId> routers) { return {std::move(routers), {}, {}}; }

} // namespace

TEST_CASE("disabled sharing changes no result and sends no datagram") {
  Spec spec = test::four_zone_spec(410, 6);
  SharingRecorder with_defaults, with_sharing_off;
  run(spec, with_defaults);
  spec.routers.sharing.ping_period_ms = 50;
  spec.routers.sharing.indirect_probes = 0;
  spec.network.datagram_loss_share = 0.5;
  const RunInfo info = run(spec, with_sharing_off);
  CHECK(with_defaults.result_hash == with_sharing_off.result_hash);
  CHECK(with_sharing_off.samples.empty());
  for (const RouterResourceUse& r : info.routers) CHECK(r.datagrams == 0);
}

TEST_CASE("with routers partitioned each side counts its own and the sum of limits does not grow") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    CAPTURE(seed);
    SharingRecorder partitioned;
    const RunInfo info =
        run(sharing_spec(
                30, seed,
                PartitionRouters{router_selector({0, 1}), {}, false, PartitionedTraffic::Datagrams, 25000}),
            partitioned);
    const double mean_before = partitioned.limit_sums(5000, 10000).first,
                 max_during = partitioned.limit_sums(11000, 25000).second;
    CHECK(mean_before > 20);
    CHECK(max_during < 1.25 * mean_before + 2);
    // The same as counted at the origin.
    CHECK(static_cast<double>(partitioned.max_origin_attempts(11, 25)) < 1.25 * mean_before + 2);
    CHECK(partitioned.range(5000, 10000, kAllRouters, reporting_peers) == std::pair(3.0, 3.0));
    CHECK(partitioned.range(23000, 25000, kAllRouters, living_routers) == std::pair(2.0, 2.0));
    CHECK(partitioned.range(23000, 25000, kAllRouters, reporting_peers) == std::pair(1.0, 1.0));
    CHECK(partitioned.range(28000, 30000, kAllRouters, living_routers) == std::pair(4.0, 4.0));
    // About 8 datagrams per second, and twice as many while a router suspects others.
    for (const RouterResourceUse& r : info.routers) {
      CHECK(r.datagrams > 150);
      CHECK(r.datagrams < 600);
      CHECK(r.datagram_bytes > 40 * r.datagrams);
    }
  }
}

TEST_CASE(
    "losing and duplicating half of the datagrams hides no router and losing all of them isolates each") {
  SharingRecorder half_lost, all_lost;
  run(sharing_spec(24, 1, LoseDatagrams{{}, 0.5, 0.5, 0}), half_lost);
  CHECK(half_lost.range(12000, 24000, kAllRouters, reporting_peers).first == 3);
  run(sharing_spec(30, 1, LoseDatagrams{{}, 1, 0, 25000}), all_lost);
  CHECK(all_lost.range(23000, 25000, kAllRouters, reporting_peers).second == 0);
  // An isolated router learns its limit alone.
  CHECK(all_lost.range(23000, 25000, kAllRouters, shared_part).second == 0);
  CHECK(all_lost.range(28000, 30000, kAllRouters, reporting_peers).first == 3);
}

TEST_CASE("a paused router sends nothing and handles the waiting requests when it resumes") {
  for (const double ms : {300.0, 9000.0}) {
    CAPTURE(ms);
    SharingRecorder pause;
    run(sharing_spec(24, 1, PauseRouters{router_selector({0}), 10000 + ms}), pause);
    const auto& sent = pause.send_times_ms[0];
    const auto sent_between = [&](double from, double to) {
      return std::distance(sent.upper_bound(from), sent.lower_bound(to));
    };
    CHECK(pause.event_times_ms[RouterEvent::What::Paused] == std::vector{10000.0});
    CHECK(pause.event_times_ms[RouterEvent::What::Resumed] == std::vector{10000.0 + ms});
    CHECK(sent_between(10000, 10000 + ms) == 0);
    if (ms < 1000) { // shorter than the clients' timeout: all waiting requests are served
      CHECK(sent_between(10299.9, 10310) > 5);
      CHECK(pause.unanswered_tries[0] == 0);
      CHECK(pause.range(10000, 24000, kOtherRouters, living_routers).first == 4);
    } else {
      CHECK(pause.unanswered_tries[0] > 0);
      CHECK(pause.range(16000, 19000, kOtherRouters, living_routers) == std::pair(3.0, 3.0));
      // The router does not suspect others because of the datagrams that it missed.
      CHECK(pause.range(19500, 24000, {0}, living_routers).first == 4);
    }
    CHECK(pause.range(23000, 24000, kAllRouters, living_routers).first == 4);
    CHECK(pause.earned_weight / pause.offered_weight > 0.95);
  }
}

TEST_CASE("a router that reports false demand and limit changes the others' shared parts by less than half") {
  for (const ReportedExtreme limit : {ReportedExtreme::Minimum, ReportedExtreme::Maximum}) {
    SharingRecorder correct, inconsistent;
    run(sharing_spec(
            24, 1,
            InconsistentRouter{router_selector({0}), ReportedExtreme::Maximum, limit, false, false, 24000},
            23000),
        correct);
    run(sharing_spec(
            24, 1,
            InconsistentRouter{router_selector({0}), ReportedExtreme::Maximum, limit, false, false, 20000}),
        inconsistent);
    const auto usual_parts = correct.range(11000, 20000, kOtherRouters, shared_part),
               parts_during_fault = inconsistent.range(11000, 20000, kOtherRouters, shared_part);
    CHECK(parts_during_fault.first > 0.5 * usual_parts.first);
    CHECK(parts_during_fault.second < 1.5 * usual_parts.second);
    CHECK(inconsistent.limit_sums(11000, 20000).second < 1.5 * correct.limit_sums(11000, 20000).second);
    CHECK(inconsistent.range(10000, 24000, kOtherRouters, living_routers).first == 4);
  }
  SharingRecorder accusing;
  run(sharing_spec(24, 1,
                   InconsistentRouter{router_selector({0}), ReportedExtreme::Minimum,
                                      ReportedExtreme::Minimum, false, true, 20000}),
      accusing);
  // A router's own report has precedence over reports about it.
  CHECK(accusing.range(10000, 20000, kOtherRouters, living_routers).first == 4);
  CHECK(accusing.range(22000, 24000, kOtherRouters, living_routers).first == 4);
}
