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

struct SharingRecorder : Sink {
  using Sink::on;
  void on(const DrawnRequest& d) override { possible_value += d.priority_weight; }
  void on(const RequestEnded& c) override {
    earned_value += c.earned_weight;
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
  template <typename Of>
  std::pair<double, double> range(double from_ms, double to_ms, std::set<RouterId> routers, Of value) const {
    double min_value = 1e9, max_value = -1e9;
    for (const SharingSample& s : samples) {
      if (s.at < from_ms || s.at >= to_ms || routers.count(s.router) == 0) continue;
      min_value = std::min(min_value, value(s)), max_value = std::max(max_value, value(s));
    }
    return {min_value, max_value};
  }

  MachineId origin = 14;
  double possible_value = 0, earned_value = 0;
  std::uint64_t result_hash = 0;
  std::set<AttemptId> open_at_origin;
  std::map<int, std::size_t> origin_peaks; // most open attempts at the origin, by second
  std::map<RouterId, std::multiset<double>> send_times_ms;
  std::map<TryId, RouterId> accepting_router;
  std::map<RouterId, int> unanswered_tries;
  std::map<RouterEvent::What, std::vector<double>> event_times_ms;
  std::vector<SharingSample> samples;
};

const std::set<RouterId> kAllRouters{0, 1, 2, 3}, kOtherRouters{1, 2, 3};

double live_routers(const SharingSample& s) { return s.living_routers; }
double reporting_routers(const SharingSample& s) { return s.reporting_peers; }
double limit_share(const SharingSample& s) { return s.shared_part; }

Spec sharing_spec(double seconds, std::uint64_t seed, EventAction event, double at_ms = 10000) {
  Spec spec = test::four_zone_spec(410, seconds);
  spec.seed = seed;
  spec.routers.sharing.enabled = true;
  spec.events = {{at_ms, "", std::move(event)}};
  return spec;
}

RunInfo run(const Spec& spec, SharingRecorder& recorder) {
  for (const SpecError& fault : find_spec_errors(spec)) FAIL(fault.path, " ", fault.reason);
  return make_virtual_driver()->run(spec, recorder);
}

RouterSelector pick_routers(std::vector<RouterId> routers) { return {std::move(routers), {}, {}}; }

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
    SharingRecorder cut;
    const RunInfo info = run(
        sharing_spec(30, seed,
                     PartitionRouters{pick_routers({0, 1}), {}, false, PartitionedTraffic::Datagrams, 25000}),
        cut);
    const double mean_before = cut.limit_sums(5000, 10000).first, most = cut.limit_sums(11000, 25000).second;
    CHECK(mean_before > 20);
    CHECK(most < 1.25 * mean_before + 2);
    CHECK(static_cast<double>(cut.max_origin_attempts(11, 25)) <
          1.25 * mean_before + 2); // as counted at the origin
    CHECK(cut.range(5000, 10000, kAllRouters, reporting_routers) == std::pair(3.0, 3.0));
    CHECK(cut.range(23000, 25000, kAllRouters, live_routers) == std::pair(2.0, 2.0));
    CHECK(cut.range(23000, 25000, kAllRouters, reporting_routers) == std::pair(1.0, 1.0));
    CHECK(cut.range(28000, 30000, kAllRouters, live_routers) == std::pair(4.0, 4.0));
    for (const RouterResourceUse& r :
         info.routers) { // about 8 per second, twice that while suspecting others
      CHECK(r.datagrams > 150);
      CHECK(r.datagrams < 600);
      CHECK(r.datagram_bytes > 40 * r.datagrams);
    }
  }
}

TEST_CASE("half of the datagrams lost or duplicated hides no router and all of them lost isolates each") {
  SharingRecorder half_lost, all_lost;
  run(sharing_spec(24, 1, LoseDatagrams{{}, 0.5, 0.5, 0}), half_lost);
  CHECK(half_lost.range(12000, 24000, kAllRouters, reporting_routers).first == 3);
  run(sharing_spec(30, 1, LoseDatagrams{{}, 1, 0, 25000}), all_lost);
  CHECK(all_lost.range(23000, 25000, kAllRouters, reporting_routers).second == 0);
  CHECK(all_lost.range(23000, 25000, kAllRouters, limit_share).second ==
        0); // an isolated router learns its limit alone
  CHECK(all_lost.range(28000, 30000, kAllRouters, reporting_routers).first == 3);
}

TEST_CASE("a paused router sends nothing and handles the waiting requests when it resumes") {
  for (const double ms : {300.0, 9000.0}) {
    CAPTURE(ms);
    SharingRecorder pause;
    run(sharing_spec(24, 1, PauseRouters{pick_routers({0}), 10000 + ms}), pause);
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
      CHECK(pause.range(10000, 24000, kOtherRouters, live_routers).first == 4);
    } else {
      CHECK(pause.unanswered_tries[0] > 0);
      CHECK(pause.range(16000, 19000, kOtherRouters, live_routers) == std::pair(3.0, 3.0));
      // The router does not suspect others because of the datagrams that it missed.
      CHECK(pause.range(19500, 24000, {0}, live_routers).first == 4);
    }
    CHECK(pause.range(23000, 24000, kAllRouters, live_routers).first == 4);
    CHECK(pause.earned_value / pause.possible_value > 0.95);
  }
}

TEST_CASE(
    "a router with false demand and limit changes the others' limit shares no more than a correct one") {
  for (const ReportedExtreme limit : {ReportedExtreme::Minimum, ReportedExtreme::Maximum}) {
    SharingRecorder accurate, false_claims;
    run(sharing_spec(
            24, 1,
            InconsistentRouter{pick_routers({0}), ReportedExtreme::Maximum, limit, false, false, 24000},
            23000),
        accurate);
    run(sharing_spec(
            24, 1,
            InconsistentRouter{pick_routers({0}), ReportedExtreme::Maximum, limit, false, false, 20000}),
        false_claims);
    const auto usual_shares = accurate.range(11000, 20000, kOtherRouters, limit_share),
               shares_during_claims = false_claims.range(11000, 20000, kOtherRouters, limit_share);
    CHECK(shares_during_claims.first > 0.5 * usual_shares.first);
    CHECK(shares_during_claims.second < 1.5 * usual_shares.second);
    CHECK(false_claims.limit_sums(11000, 20000).second < 1.5 * accurate.limit_sums(11000, 20000).second);
    CHECK(false_claims.range(10000, 24000, kOtherRouters, live_routers).first == 4);
  }
  SharingRecorder false_accusation;
  run(sharing_spec(24, 1,
                   InconsistentRouter{pick_routers({0}), ReportedExtreme::Minimum, ReportedExtreme::Minimum,
                                      false, true, 20000}),
      false_accusation);
  // A router's own report has precedence over reports about it.
  CHECK(false_accusation.range(10000, 20000, kOtherRouters, live_routers).first == 4);
  CHECK(false_accusation.range(22000, 24000, kOtherRouters, live_routers).first == 4);
}
