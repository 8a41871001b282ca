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

#include "cpu_timing.h"
#include "gossip/gossip_node.h"

namespace {

using namespace fernward;
using namespace fernward::bench;

constexpr double kPeriodMs = 400, kWarmUpMs = 20000;

struct CpuCost {
  double total_us = 0, count = 0;
  double us_per_call() const { return count > 0 ? total_us / count : 0; }
};

class RouterTier {
 public:
  explicit RouterTier(std::size_t routers) {
    for (std::size_t i = 0; i < routers; ++i)
      routers_.emplace_back(static_cast<gossip::MemberId>(i), routers, 1000,
                            membership::Settings{kPeriodMs, 3}, i + 1);
    for (double warm_up_end_ms = now_ms_ + kWarmUpMs; now_ms_ < warm_up_end_ms;) run_period();
    tick_cost = receive_cost = view_cost = {};
  }

  // Runs one period: a tick of every router, the delivery of all resulting datagrams, and every router's
  // view.
  void run_period() {
    now_ms_ += kPeriodMs;
    const double started_us = thread_cpu_us();
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      const double load = static_cast<double>(i % 7);
      routers_[i].tick(now_ms_, {load, 1 + load}, outgoing_);
      for (auto& sent : outgoing_) in_flight_.push_back({static_cast<gossip::MemberId>(i), std::move(sent)});
      outgoing_.clear();
    }
    const double ticks_done_us = thread_cpu_us();
    for (; !in_flight_.empty(); in_flight_.pop_front(), ++receive_cost.count) {
      const auto& [from, datagram] = in_flight_.front();
      const gossip::MemberId to = datagram.to;
      routers_[to].receive(now_ms_, from, datagram.bytes, outgoing_);
      for (auto& sent : outgoing_) in_flight_.push_back({to, std::move(sent)});
      outgoing_.clear();
    }
    const double receives_done_us = thread_cpu_us();
    for (auto& router : routers_) fresh_reports_ += router.view(now_ms_).fresh_reports;
    const double views_done_us = thread_cpu_us();
    tick_cost.total_us += ticks_done_us - started_us,
        receive_cost.total_us += receives_done_us - ticks_done_us,
        view_cost.total_us += views_done_us - receives_done_us;
    tick_cost.count += static_cast<double>(routers_.size()),
        view_cost.count += static_cast<double>(routers_.size());
  }
  double mean_fresh_reports() const { return fresh_reports_ / std::max(view_cost.count, 1.0); }
  void reset_costs() { tick_cost = receive_cost = view_cost = {}, fresh_reports_ = 0; }

  CpuCost tick_cost, receive_cost, view_cost;

 private:
  struct DatagramInFlight {
    gossip::MemberId from;
    gossip::GossipNode::OutgoingDatagram datagram;
  };
  std::vector<gossip::GossipNode> routers_;
  std::vector<gossip::GossipNode::OutgoingDatagram> outgoing_;
  std::deque<DatagramInFlight> in_flight_;
  double now_ms_ = 1e9, fresh_reports_ = 0;
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
    if (rounds < 1 || periods < 1) throw std::invalid_argument("--rounds and --periods must be 1 or more");
    std::printf(
        "CPU time in us: a tick | a received datagram, with its responses | a view || one router, per "
        "second\n");
    for (const std::size_t routers : {4u, 64u, 300u}) {
      RouterTier tier(routers);
      std::vector<double> tick_us, receive_us, view_us, router_second_us;
      double mean_fresh_reports = 0;
      for (int round = 0; round < rounds; ++round) {
        tier.reset_costs();
        for (int i = 0; i < periods; ++i) tier.run_period();
        tick_us.push_back(tier.tick_cost.us_per_call()),
            receive_us.push_back(tier.receive_cost.us_per_call()),
            view_us.push_back(tier.view_cost.us_per_call());
        router_second_us.push_back(
            (tier.tick_cost.total_us + tier.receive_cost.total_us + tier.view_cost.total_us) /
            (static_cast<double>(periods * routers) * kPeriodMs / 1000));
        mean_fresh_reports = tier.mean_fresh_reports();
      }
      std::printf("%4zu routers  %6.2f | %6.2f | %6.2f || %7.1f   (%.0f fresh reports)\n", routers,
                  median(tick_us), median(receive_us), median(view_us), median(router_second_us),
                  mean_fresh_reports);
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
