// Sharing between routers, and faults of the network between them, in virtual time.
#include <doctest/doctest.h>
#include <xxhash.h>

#include <algorithm>
#include <map>
#include <set>

#include "fleets.h"
#include "lab/virtual/virtual.h"
#include "model/plan.h"

using namespace fernward::lab;
using namespace fernward::model;

namespace {

struct Watch : Sink {
  using Sink::on;
  void on(const Drawn& d) override { asked += d.worth; }
  void on(const Closed& c) override {
    earned += c.earned;
    const double all[] = {c.at, c.earned, c.latency_ms};
    hash = XXH3_64bits_withSeed(all, sizeof all, hash);
  }
  void on(const Tried& t) override {
    if (t.taken) taken[t.try_id] = t.router;
  }
  void on(const Answered& a) override {
    if (a.heard == Heard::Silence && taken.count(a.try_id) > 0) ++silences[taken[a.try_id]];
  }
  void on(const Arrived& a) override {
    sent_at[a.router].insert(a.sent_at);
    if (a.machine != origin) return;
    at_origin.insert(a.attempt);
    held(a.at);
  }
  void on(const AttemptEnded& e) override { at_origin.erase(e.attempt); }
  void on(const Shared& s) override { seen.push_back(s); }
  void on(const RouterEvent& e) override { events[e.what].push_back(e.at); }

  void held(double at) {
    std::size_t& most = peak[static_cast<int>(at / 1000)];
    most = std::max(most, at_origin.size());
  }
  std::size_t most_work(int from_s, int to_s) const {
    std::size_t most = 0;
    for (auto it = peak.lower_bound(from_s); it != peak.end() && it->first < to_s; ++it)
      most = std::max(most, it->second);
    return most;
  }
  // Sums the limits of all sharing routers for each second; returns the mean and the maximum of the sums from
  // `from_ms` to `to_ms`.
  std::pair<double, double> limits(double from, double to) const {
    std::map<double, double> sums;
    for (const Shared& s : seen) {
      if (s.at >= from && s.at < to) sums[s.at] += s.limit;
    }
    double most = 0, all = 0;
    for (const auto& [at, sum] : sums) most = std::max(most, sum), all += sum;
    return {all / static_cast<double>(sums.size()), most};
  }
  template <typename Of>
  std::pair<double, double> range(double from, double to, std::set<RouterId> of, Of value) const {
    double least = 1e9, most = -1e9;
    for (const Shared& s : seen) {
      if (s.at < from || s.at >= to || of.count(s.router) == 0) continue;
      least = std::min(least, value(s)), most = std::max(most, value(s));
    }
    return {least, most};
  }

  MachineId origin = 14;
  double asked = 0, earned = 0;
  std::uint64_t hash = 0;
  std::set<AttemptId> at_origin;
  std::map<int, std::size_t> peak; // most open attempts at the origin, by second
  std::map<RouterId, std::multiset<double>> sent_at;
  std::map<TryId, RouterId> taken;
  std::map<RouterId, int> silences;
  std::map<RouterEvent::What, std::vector<double>> events;
  std::vector<Shared> seen;
};

const std::set<RouterId> kAll{0, 1, 2, 3}, kOthers{1, 2, 3};

double living(const Shared& s) { return s.living; }
double heard(const Shared& s) { return s.heard; }
double part(const Shared& s) { return s.part; }

Spec tier(double seconds, std::uint64_t seed, Happening what, double at = 10000) {
  Spec spec = test::ports(410, seconds);
  spec.seed = seed;
  spec.routers.sharing.on = true;
  spec.events = {{at, "", std::move(what)}};
  return spec;
}

RunInfo run(const Spec& spec, Watch& watch) {
  for (const Fault& fault : faults(spec)) FAIL(fault.path, " ", fault.why);
  return make_virtual_driver()->run(spec, watch);
}

RouterPick these(std::vector<RouterId> routers) { return {std::move(routers), {}, {}}; }

} // namespace

TEST_CASE("disabled sharing changes no result and sends no datagram") {
  Spec spec = test::ports(410, 6);
  Watch plain, off;
  run(spec, plain);
  spec.routers.sharing.period_ms = 50;
  spec.routers.sharing.asked = 0;
  spec.network.datagram_loss = 0.5;
  const RunInfo info = run(spec, off);
  CHECK(plain.hash == off.hash);
  CHECK(off.seen.empty());
  for (const RouterCost& r : info.routers) CHECK(r.datagrams == 0);
}

TEST_CASE("with routers partitioned each side counts its own and the sum of limits does not grow") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    CAPTURE(seed);
    Watch cut;
    const RunInfo info =
        run(tier(30, seed, CutRouters{these({0, 1}), {}, false, CutWhat::Datagrams, 25000}), cut);
    const double before = cut.limits(5000, 10000).first, most = cut.limits(11000, 25000).second;
    CHECK(before > 20);
    CHECK(most < 1.25 * before + 2);
    CHECK(static_cast<double>(cut.most_work(11, 25)) < 1.25 * before + 2); // as counted at the origin
    CHECK(cut.range(5000, 10000, kAll, heard) == std::pair(3.0, 3.0));
    CHECK(cut.range(23000, 25000, kAll, living) == std::pair(2.0, 2.0));
    CHECK(cut.range(23000, 25000, kAll, heard) == std::pair(1.0, 1.0));
    CHECK(cut.range(28000, 30000, kAll, living) == std::pair(4.0, 4.0));
    for (const RouterCost& r : info.routers) { // about 8 per second, twice that while suspecting others
      CHECK(r.datagrams > 150);
      CHECK(r.datagrams < 600);
      CHECK(r.datagram_bytes > 40 * r.datagrams);
    }
  }
}

TEST_CASE("half of the datagrams lost or duplicated hides no router and all of them lost isolates each") {
  Watch half, none;
  run(tier(24, 1, LoseDatagrams{{}, 0.5, 0.5, 0}), half);
  CHECK(half.range(12000, 24000, kAll, heard).first == 3);
  run(tier(30, 1, LoseDatagrams{{}, 1, 0, 25000}), none);
  CHECK(none.range(23000, 25000, kAll, heard).second == 0);
  CHECK(none.range(23000, 25000, kAll, part).second == 0); // an isolated router learns its limit alone
  CHECK(none.range(28000, 30000, kAll, heard).first == 3);
}

TEST_CASE("a paused router sends nothing and handles the waiting requests when it resumes") {
  for (const double ms : {300.0, 9000.0}) {
    CAPTURE(ms);
    Watch pause;
    run(tier(24, 1, PauseRouters{these({0}), 10000 + ms}), pause);
    const auto& sent = pause.sent_at[0];
    const auto between = [&](double from, double to) {
      return std::distance(sent.upper_bound(from), sent.lower_bound(to));
    };
    CHECK(pause.events[RouterEvent::What::Paused] == std::vector{10000.0});
    CHECK(pause.events[RouterEvent::What::Woke] == std::vector{10000.0 + ms});
    CHECK(between(10000, 10000 + ms) == 0);
    if (ms < 1000) { // shorter than the clients' timeout: all waiting requests are served
      CHECK(between(10299.9, 10310) > 5);
      CHECK(pause.silences[0] == 0);
      CHECK(pause.range(10000, 24000, kOthers, living).first == 4);
    } else {
      CHECK(pause.silences[0] > 0);
      CHECK(pause.range(16000, 19000, kOthers, living) == std::pair(3.0, 3.0));
      // The router does not suspect others because of the datagrams that it missed.
      CHECK(pause.range(19500, 24000, {0}, living).first == 4);
    }
    CHECK(pause.range(23000, 24000, kAll, living).first == 4);
    CHECK(pause.earned / pause.asked > 0.95);
  }
}

TEST_CASE(
    "a router with false demand and limit changes the others' limit shares no more than a correct one") {
  for (const Claim limit : {Claim::Least, Claim::Most}) {
    Watch truth, lie;
    run(tier(24, 1, LyingRouter{these({0}), Claim::Most, limit, false, false, 24000}, 23000), truth);
    run(tier(24, 1, LyingRouter{these({0}), Claim::Most, limit, false, false, 20000}), lie);
    const auto usual = truth.range(11000, 20000, kOthers, part), in = lie.range(11000, 20000, kOthers, part);
    CHECK(in.first > 0.5 * usual.first);
    CHECK(in.second < 1.5 * usual.second);
    CHECK(lie.limits(11000, 20000).second < 1.5 * truth.limits(11000, 20000).second);
    CHECK(lie.range(10000, 24000, kOthers, living).first == 4);
  }
  Watch accuser;
  run(tier(24, 1, LyingRouter{these({0}), Claim::Least, Claim::Least, false, true, 20000}), accuser);
  // A router's own report has precedence over reports about it.
  CHECK(accuser.range(10000, 20000, kOthers, living).first == 4);
  CHECK(accuser.range(22000, 24000, kOthers, living).first == 4);
}
