// Measures the CPU time of the gossip between routers by the size of the tier: of a periodic tick, of a
// received datagram, and of computing the view from the received state. All routers of a tier run in virtual
// time in one thread, so that the tables of a router are not in the CPU's caches when it runs. Times are CPU
// time of this thread; each figure is the median of its rounds.
#include <algorithm>
#include <cstdio>
#include <cxxopts.hpp>
#include <deque>
#include <exception>
#include <stdexcept>
#include <vector>

#include "gossip/fleet.h"
#include "timing.h"

namespace {

using namespace fernward;
using namespace fernward::bench;

constexpr double kPeriodMs = 400, kWarmMs = 20000;

struct Cost {
  double us = 0, count = 0;
  double each() const { return count > 0 ? us / count : 0; }
};

class Tier {
 public:
  explicit Tier(std::size_t routers) {
    for (std::size_t i = 0; i < routers; ++i)
      all_.emplace_back(static_cast<gossip::Id>(i), routers, 1000, membership::Rules{kPeriodMs, 3}, i + 1);
    for (double until = now_ + kWarmMs; now_ < until;) period();
    ticks = takes = views = {};
  }

  // Runs one period: a tick of every router, the delivery of all resulting datagrams, and every router's
  // view.
  void period() {
    now_ += kPeriodMs;
    const double began = cpu_us();
    for (std::size_t i = 0; i < all_.size(); ++i) {
      const double n = static_cast<double>(i % 7);
      all_[i].tick(now_, {n, 1 + n}, out_);
      for (auto& o : out_) on_the_way_.push_back({static_cast<gossip::Id>(i), std::move(o)});
      out_.clear();
    }
    const double ticked = cpu_us();
    for (; !on_the_way_.empty(); on_the_way_.pop_front(), ++takes.count) {
      const auto& [from, what] = on_the_way_.front();
      const gossip::Id to = what.to;
      all_[to].take(now_, from, what.bytes, out_);
      for (auto& o : out_) on_the_way_.push_back({to, std::move(o)});
      out_.clear();
    }
    const double taken = cpu_us();
    for (auto& one : all_) heard_ += one.view(now_).heard;
    const double viewed = cpu_us();
    ticks.us += ticked - began, takes.us += taken - ticked, views.us += viewed - taken;
    ticks.count += static_cast<double>(all_.size()), views.count += static_cast<double>(all_.size());
  }
  double heard() const { return heard_ / std::max(views.count, 1.0); }
  void forget() { ticks = takes = views = {}, heard_ = 0; }

  Cost ticks, takes, views;

 private:
  struct OnTheWay {
    gossip::Id from;
    gossip::Fleet::Out what;
  };
  std::vector<gossip::Fleet> all_;
  std::vector<gossip::Fleet::Out> out_;
  std::deque<OnTheWay> on_the_way_;
  double now_ = 1e9, heard_ = 0;
};

} // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("fernward-sharing",
                           "CPU time of the gossip between routers by the size of the tier");
  options.add_options()("rounds", "repetitions of each measurement",
                        cxxopts::value<int>()->default_value("9"))(
      "periods", "gossip periods per round", cxxopts::value<int>()->default_value("200"))("h,help",
                                                                                          "Print this help");
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) return std::printf("%s\n", options.help().c_str()), 0;
    const int rounds = parsed["rounds"].as<int>(), periods = parsed["periods"].as<int>();
    if (rounds < 1 || periods < 1) throw std::invalid_argument("rounds and periods must be 1 or more");
    std::printf("us of CPU: a tick | a datagram taken, with its answer | a view || a second of one router\n");
    for (const std::size_t routers : {4u, 64u, 300u}) {
      Tier tier(routers);
      std::vector<double> tick, take, view, second;
      double heard = 0;
      for (int round = 0; round < rounds; ++round) {
        tier.forget();
        for (int i = 0; i < periods; ++i) tier.period();
        tick.push_back(tier.ticks.each()), take.push_back(tier.takes.each()),
            view.push_back(tier.views.each());
        second.push_back((tier.ticks.us + tier.takes.us + tier.views.us) /
                         (static_cast<double>(periods * routers) * kPeriodMs / 1000));
        heard = tier.heard();
      }
      std::printf("%4zu routers  %6.2f | %6.2f | %6.2f || %7.1f   (%.0f heard)\n", routers, median(tick),
                  median(take), median(view), median(second), heard);
    }
    return 0;
  } catch (const cxxopts::exceptions::exception& e) {
    std::fprintf(stderr, "fernward-sharing: %s\n", e.what());
    return 2;
  } catch (const std::exception& e) {
    std::fprintf(stderr, "fernward-sharing: %s\n", e.what());
    return 1;
  }
}
