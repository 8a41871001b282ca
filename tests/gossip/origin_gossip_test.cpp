// Guards against shares of the origin limit that add up to more than the total, after lost, duplicated, false
// or outdated reports, network partitions and restarts.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <set>

#include "router_tier.h"

using namespace fernward;
using namespace fernward::tests;
using gossip::OriginGossip;

namespace {

// The report of a router as OriginGossip::merge() receives it.
struct TestReport {
  gossip::MemberId owner;
  gossip::Stamp stamp;
  double age_ms;
  gossip::OriginValues values;
};

double origin_limit_share(RouterTier& tier, std::size_t i) {
  return tier.routers[i]->view(tier.now).origin_limit_share;
}

// Moves each router's limit a fifth of the way to its share in each round, as the concurrency limiter does.
void follow_shares(RouterTier& tier) {
  tier.before_tick = [&tier](std::size_t i) {
    const double share = origin_limit_share(tier, i);
    if (share > 0) tier.local_reports[i].limit += 0.2 * (share - tier.local_reports[i].limit);
  };
}
double total_limit(const RouterTier& tier) {
  double total = 0;
  for (std::size_t i = 0; i < tier.routers.size(); ++i)
    total += tier.routers[i] != nullptr ? tier.local_reports[i].limit : 0;
  return total;
}

} // namespace

TEST_CASE("merging reports in any order and with any duplicates gives the same table") {
  CHECK(rc::check([] {
    std::vector<TestReport> reports;
    for (int reports_left = *rc::gen::inRange(1, 12); reports_left > 0; --reports_left) {
      const auto sequence = *rc::gen::inRange<std::uint16_t>(1, 5);
      const auto owner = *rc::gen::inRange<std::uint16_t>(1, 4);
      // One owner sends one report per stamp.
      reports.push_back(
          {owner, {10, sequence}, *rc::gen::inRange(0, 500) * 10.0, {1.0 * sequence, 2.0 * owner}});
    }
    const auto merge_all = [](const std::vector<TestReport>& input) {
      OriginGossip table(0, 4, 1);
      table.set_own_report(1000, {10, 1}, {1, 1});
      for (const TestReport& report : input)
        table.merge(1000, report.owner, report.stamp, report.age_ms, report.values, false);
      return std::tuple(table.median_demand(1000), table.origin_limit_share(1000),
                        table.fresh_report_count(1000));
    };
    const auto merged = merge_all(reports);
    std::vector<TestReport> shuffled = reports;
    shuffled.insert(shuffled.end(), reports.begin(), reports.end());
    for (std::size_t i = shuffled.size(); i > 1; --i) {
      std::swap(shuffled[i - 1], shuffled[*rc::gen::inRange<std::size_t>(0, i)]);
    }
    RC_ASSERT(merge_all(shuffled) == merged);
  }));
}

TEST_CASE("three routers keep shares within their limits under any order and loss of reports and a crash") {
  // Each of three routers sends its report to both others: six messages, each delivered or lost, in any
  // order, while one router may crash and restart without state before any step. In every state the sum of
  // the shares that the three routers compute from what they know is within the bound that follows from the
  // weighted means.
  std::set<std::vector<double>> states;
  std::size_t run_count = 0;
  std::vector<int> order{0, 1, 2, 3, 4, 5};
  const double demand[3] = {0.2, 1, 3}, limit[3] = {1, 2, 3};
  do {
    for (int loss_mask = 0; loss_mask < 64; ++loss_mask) {
      for (int crash_step = 0; crash_step <= 6; ++crash_step) {
        std::vector<OriginGossip> tables;
        for (gossip::MemberId i = 0; i < 3; ++i) {
          tables.emplace_back(i, 3, i);
          tables[i].set_own_report(0, {10, 1}, {demand[i], limit[i]});
        }
        double max_sum = 0;
        for (int step = 0; step < 6; ++step) {
          if (step == crash_step) {
            tables[0] = OriginGossip(0, 3, 9);
            tables[0].set_own_report(0, {11, 1}, {demand[0], limit[0]});
          }
          const int message = order[static_cast<std::size_t>(step)];
          const int from = message / 2, to = (from + 1 + message % 2) % 3;
          if ((loss_mask >> message & 1) != 0) continue;
          std::vector<OriginGossip::Update> updates;
          tables[static_cast<std::size_t>(to)].read_entries(
              0, static_cast<gossip::MemberId>(from),
              tables[static_cast<std::size_t>(from)].write_entries(0, 60), updates);
        }
        std::vector<double> state;
        double share_sum = 0;
        for (std::size_t i = 0; i < 3; ++i) {
          const double share = tables[i].origin_limit_share(0);
          state.push_back(share);
          share_sum += share;
          CHECK(share <= 3 * 3 * 1.0); // at most the number of routers times the highest limit
        }
        max_sum = std::max(max_sum, share_sum);
        CHECK(max_sum <= 1.6 * (limit[0] + limit[1] + limit[2])); // the stated slack for views that differ
        states.insert(state);
        ++run_count;
      }
    }
  } while (std::next_permutation(order.begin(), order.end()));
  MESSAGE(run_count << " runs, " << states.size() << " different outcomes");
  CHECK(run_count == 720u * 64 * 7);
}

TEST_CASE("the origin limit moves to the routers with demand and its sum stays the same") {
  RouterTier tier(40, 6);
  for (std::size_t i = 0; i < 40; ++i) tier.local_reports[i] = {i < 4 ? 3.0 : 0.2, 0.5};
  follow_shares(tier);
  tier.run(30000);
  CHECK(total_limit(tier) > 0.8 * 20);
  CHECK(total_limit(tier) < 1.2 * 20);
  CHECK(tier.local_reports[0].limit > 4 * tier.local_reports[20].limit);
  CHECK(tier.local_reports[20].limit > 0.05); // no router is left without a limit
}

TEST_CASE("with demand at one router the shares never exceed one and a half times the previous total") {
  for (const std::size_t router_count : {3u, 4u, 9u, 20u}) {
    CAPTURE(router_count);
    RouterTier tier(router_count, 8);
    for (auto& own : tier.local_reports) own = {0, 10};
    tier.local_reports[0].demand = 12;
    follow_shares(tier);
    tier.run(60000);
    CHECK(total_limit(tier) < 1.5 * 10 * static_cast<double>(router_count));
    CHECK(tier.local_reports[0].limit > 12);
  }
}

TEST_CASE("a router restarted without state has its share after the first exchange") {
  RouterTier tier(40, 7);
  for (auto& own : tier.local_reports) own = {1, 2};
  tier.run(15000);
  tier.kill(3);
  tier.run(1000);
  tier.local_reports[3] = {-1, 0.1};
  tier.start(3);
  const double restarted_at = tier.now;
  tier.run(5000, [&] { return origin_limit_share(tier, 3) > 1.5; });
  CHECK(tier.now - restarted_at <= 2 * tier.settings.period_ms + 100);
}

TEST_CASE("in any partition or without any reception all sides stay within the previous total limit") {
  for (const int sides : {2, 3, 40}) { // the last: no router receives anything
    CAPTURE(sides);
    RouterTier tier(40, 8);
    for (std::size_t i = 0; i < 40; ++i) tier.local_reports[i] = {i % 5 == 0 ? 2.0 : 0.3, 1};
    follow_shares(tier);
    tier.run(20000);
    const double before = total_limit(tier);
    tier.delivers = [&](std::size_t from, std::size_t to) {
      return static_cast<int>(from) % sides == static_cast<int>(to) % sides;
    };
    double highest = 0;
    for (int i = 0; i < 60; ++i) tier.run(500), highest = std::max(highest, total_limit(tier));
    CHECK(highest <= 1.15 * before);
    tier.delivers = [](std::size_t, std::size_t) { return true; };
    for (int i = 0; i < 40; ++i) tier.run(500), highest = std::max(highest, total_limit(tier));
    CHECK(highest <= 1.15 * before); // also when the partition heals
    CHECK(total_limit(tier) >= 0.8 * before);
  }
}

TEST_CASE("shares stay within the total when seven in ten routers are killed and restarted") {
  RouterTier tier(40, 10);
  for (auto& own : tier.local_reports) own = {1, 1};
  follow_shares(tier);
  tier.run(10000);
  for (std::size_t i = 0; i < 28; ++i) tier.kill(i);
  tier.run(10000);
  CHECK(total_limit(tier) <= 1.15 * 12);
  for (std::size_t i = 0; i < 28; ++i) tier.local_reports[i] = {-1, 0.1}, tier.start(i);
  tier.run(10000);
  CHECK(total_limit(tier) <= 1.15 * 40);
  CHECK(tier.all([&](std::size_t i) { return origin_limit_share(tier, i) < 3; }));
}

TEST_CASE(
    "a router that keeps reporting a false demand and limit does not move the limits of correct routers "
    "out of bounds") {
  for (const std::size_t router_count : {4u, 40u}) {
    for (const gossip::LocalReports& false_report :
         {gossip::LocalReports{4000, 0}, gossip::LocalReports{0, 4000}, gossip::LocalReports{4000, 4000}}) {
      CAPTURE(router_count);
      RouterTier tier(router_count, 11);
      for (std::size_t i = 0; i < router_count; ++i) tier.local_reports[i] = {i % 2 == 0 ? 1.0 : 0.5, 1};
      follow_shares(tier);
      tier.run(15000);
      const auto correct_limits = [&] {
        return total_limit(tier) - tier.local_reports[router_count - 1].limit;
      };
      const double before = correct_limits();
      const auto follow_round = tier.before_tick;
      tier.before_tick = [&](std::size_t i) {
        i + 1 < router_count ? follow_round(i) : void(tier.local_reports[i] = false_report);
      };
      tier.run(60000); // 240 rounds
      CHECK(correct_limits() < 1.3 * before);
      CHECK(correct_limits() > 0.7 * before);
    }
  }
}

TEST_CASE("a demand that rises at all routers at once does not increase the total limit") {
  RouterTier tier(40, 12);
  for (auto& own : tier.local_reports) own = {0.02, 0.5};
  follow_shares(tier);
  tier.run(15000);
  const double before = total_limit(tier);
  for (auto& own : tier.local_reports) own.demand = 4;
  double highest = 0;
  for (int i = 0; i < 60; ++i) tier.run(250), highest = std::max(highest, total_limit(tier));
  CHECK(highest <= 1.25 * before);
}

TEST_CASE("non-finite values and unknown router numbers and damaged tails are ignored and counted") {
  OriginGossip table(0, 4, 1);
  table.set_own_report(0, {10, 1}, {std::nan(""), 1e300});
  CHECK(table.median_demand(0) == 0);
  CHECK(table.origin_limit_share(0) <= 4096);
  CHECK_FALSE(table.merge(0, 9, {1, 1}, 0, {1, 1}, true));
  CHECK_FALSE(table.merge(0, 1, {1, 1}, 0, {std::nan(""), 1}, true));
  CHECK_FALSE(table.merge(0, 1, {1, 1}, -5, {1, 1}, true));
  CHECK_FALSE(table.merge(0, 0, {99, 1}, 0, {1, 1}, false)); // of this router itself
  std::vector<OriginGossip::Update> updates;
  table.read_entries(0, 1, std::string("\x03zz", 3), updates);
  table.read_entries(0, 1,
                     std::string("\xff"
                                 "abcdefghijkl",
                                 13),
                     updates);
  CHECK(updates.empty());
  CHECK(table.ignored() == 6);
}

TEST_CASE(
    "the pooled origin response time expires soon and a false report keeps it within the range of correct "
    "ones") {
  for (const std::size_t router_count : {4u, 40u}) {
    CAPTURE(router_count);
    RouterTier tier(router_count, 13);
    for (std::size_t i = 0; i < router_count; ++i)
      tier.local_reports[i] = {1, 1, {}, i % 4 == 3 ? 0 : 100.0 + static_cast<double>(i)};
    const auto response_ms = [&](std::size_t i) {
      return tier.routers[i]->view(tier.now).origin_response_ms;
    };
    const double highest = 100.0 + static_cast<double>(router_count);
    tier.run(5000);
    CHECK(tier.all([&](std::size_t i) { return response_ms(i) >= 100 && response_ms(i) <= highest; }));
    for (const double false_report : {1e-3, 1e9}) {
      tier.local_reports[0].origin_response_ms = false_report;
      tier.run(5000);
      CHECK(tier.all(
          [&](std::size_t i) { return i == 0 || (response_ms(i) >= 100 && response_ms(i) <= highest); }));
    }
    for (auto& own : tier.local_reports) own.origin_response_ms = 0;
    tier.run(8000);
    CHECK(tier.all([&](std::size_t i) { return response_ms(i) == 0; })); // no recent response at any router
  }
}

TEST_CASE("entries of older and newer versions are read as far as they go") {
  OriginGossip sender(1, 4, 1);
  sender.set_own_report(0, {10, 1}, {2, 3, 50});
  std::string bytes = sender.write_entries(0, 18);
  CHECK(bytes.size() == 18);
  std::vector<OriginGossip::Update> updates;
  OriginGossip table(0, 4, 1);
  std::string newer = bytes + "xx"; // one more quantity
  newer[1] = static_cast<char>(newer[1] + 2);
  table.read_entries(0, 1, newer, updates);
  CHECK(updates.size() == 1);
  OriginGossip second_table(0, 4, 1);
  std::string older = bytes.substr(0, 16); // demand and limit only
  older[1] = static_cast<char>(older[1] - 2);
  second_table.read_entries(0, 1, older, updates);
  CHECK(updates.size() == 2);
  CHECK(second_table.fresh_report_count(0) == 1);
  CHECK(second_table.response_time(0).ms == 0);
  CHECK(table.ignored() + second_table.ignored() == 0);
}
