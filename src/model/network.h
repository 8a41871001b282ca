// The network between clients, routers and machines: delays, datagram losses, partitions, silent machines.
#pragma once

#include <optional>
#include <vector>

#include "model/plan.h"
#include "model/rng.h"

namespace fernward::model {

class Network {
 public:
  Network(const Spec& spec, const Plan& plan);

  // Applies steps that affect the network, including Silence and Return; ignores all others.
  void apply(const Step& step);

  // One-way delays in ms, with the jitter of one message.
  double zone_delay(std::uint32_t from_zone, std::uint32_t to_zone);
  double client_delay(std::uint32_t client_zone, std::uint32_t router_zone);
  // The delay in ms of a datagram between two routers; nullopt: it is lost.
  std::optional<double> datagram_delay(RouterId from, RouterId to);
  bool draw_duplicate(RouterId from, RouterId to); // whether the next datagram is duplicated

  // Whether messages pass: neither side is silent and no partition separates them.
  bool is_connected(RouterId router, MachineId machine) const;
  bool routers_connected(RouterId from, RouterId to) const;
  bool is_responding(MachineId machine) const { return !silent_machines_[machine]; }
  // Whether clients and discovery reach the router.
  bool is_reachable(RouterId router) const { return !silent_routers_[router]; }

 private:
  // Probability that a datagram is unaffected by the network's own share and by each enabled loss step.
  double delivery_share(double base_share, double DatagramLossStep::*share, RouterId from, RouterId to) const;
  double base_delay(std::uint32_t from, std::uint32_t to) const { return delay_[from * zone_count_ + to]; }

  NetworkSpec spec_;
  std::size_t zone_count_;
  std::vector<double> default_delay_, delay_; // one-way, in ms, by pair of zones
  std::vector<std::uint32_t> machine_zone_, router_zone_;
  std::vector<char> silent_machines_, silent_routers_;
  std::vector<PartitionStep> partitions_; // the enabled ones
  std::vector<DatagramLossStep> losses_;  // the enabled ones
  Engine jitter_engine_, datagram_engine_, duplicate_engine_;
};

} // namespace fernward::model
