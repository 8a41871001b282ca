// Delays between the parties, and who can reach whom.
#pragma once

#include <optional>
#include <vector>

#include "model/plan.h"
#include "model/rng.h"

namespace fernward::model {

class Network {
 public:
  Network(const Spec& spec, const Plan& plan);

  // Steps that concern the network, Silence and Return of machines among them; others are passed over.
  void apply(const Step& step);

  // One way, with this message's jitter.
  double between(std::uint32_t from_zone, std::uint32_t to_zone);
  double with_client(std::uint32_t client_zone, std::uint32_t router_zone);
  // A datagram between two routers; none: it is lost.
  std::optional<double> datagram(RouterId from, RouterId to);
  bool twice(RouterId from, RouterId to); // is the next datagram to be carried twice?

  // Do messages pass? Neither is silent and no cut lies between them.
  bool passes(RouterId router, MachineId machine) const;
  bool routers_pass(RouterId from, RouterId to) const;
  bool heard(MachineId machine) const { return !silent_machines_[machine]; }
  bool reachable(RouterId router) const { return !silent_routers_[router]; } // for clients and discovery

 private:
  // What is left to chance once the network's own share and each loss that is on have had theirs.
  double spared(double own, double LossStep::*share, RouterId from, RouterId to) const;
  double base(std::uint32_t from, std::uint32_t to) const { return delay_[from * zones_ + to]; }

  NetworkSpec spec_;
  std::size_t zones_;
  std::vector<double> usual_, delay_; // by pair of zones
  std::vector<std::uint32_t> machine_zone_, router_zone_;
  std::vector<char> silent_machines_, silent_routers_;
  std::vector<CutStep> cuts_; // that are on
  std::vector<LossStep> losses_;
  Engine jitter_, datagrams_, copies_;
};

} // namespace fernward::model
