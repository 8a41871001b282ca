#include "model/network.h"

#include <algorithm>

namespace fernward::model {
namespace {

template <typename T>
bool contains(const std::vector<T>& values, T value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

} // namespace

Network::Network(const Spec& spec, const Plan& plan)
    : spec_(spec.network),
      zone_count_(spec.zones.size()),
      silent_machines_(plan.machines.size()),
      silent_routers_(plan.routers.size()),
      jitter_engine_(stream(spec.seed, "jitter")),
      datagram_engine_(stream(spec.seed, "datagrams")),
      duplicate_engine_(stream(spec.seed, "datagram copies")) {
  for (std::size_t from = 0; from < zone_count_; ++from) {
    for (std::size_t to = 0; to < zone_count_; ++to)
      default_delay_.push_back(from == to ? spec_.same_zone_delay_ms : spec_.cross_zone_delay_ms);
  }
  for (const ZoneLink& link : spec_.links) {
    default_delay_[link.from * zone_count_ + link.to] = default_delay_[link.to * zone_count_ + link.from] =
        link.delay_ms;
  }
  delay_ = default_delay_;
  for (const PlannedMachine& machine : plan.machines) machine_zone_.push_back(machine.zone);
  for (const PlannedRouter& router : plan.routers) router_zone_.push_back(router.zone);
}

void Network::apply(const Step& step) {
  if (const auto* link = std::get_if<LinkStep>(&step.what)) {
    for (const std::size_t pair :
         {link->from * zone_count_ + link->to, link->to * zone_count_ + link->from}) {
      delay_[pair] = default_delay_[pair] * link->factor;
    }
  } else if (const auto* partition = std::get_if<PartitionStep>(&step.what)) {
    std::erase_if(partitions_,
                  [&](const PartitionStep& active) { return active.number == partition->number; });
    if (partition->enabled) partitions_.push_back(*partition);
  } else if (const auto* loss = std::get_if<DatagramLossStep>(&step.what)) {
    std::erase_if(losses_, [&](const DatagramLossStep& active) { return active.number == loss->number; });
    if (loss->enabled) losses_.push_back(*loss);
  } else if (const auto* node = std::get_if<NodeStep>(&step.what)) {
    if (node->what == NodeStep::What::Silence) silent_machines_[node->machine] = 1;
    if (node->what == NodeStep::What::Return) silent_machines_[node->machine] = 0;
  } else if (const auto* router = std::get_if<RouterStep>(&step.what)) {
    if (router->what == RouterStep::What::Silence) silent_routers_[router->router] = 1;
    if (router->what == RouterStep::What::Return) silent_routers_[router->router] = 0;
  }
}

double Network::zone_delay(std::uint32_t from_zone, std::uint32_t to_zone) {
  return base_delay(from_zone, to_zone) * (1 + draw_uniform(0, spec_.jitter, jitter_engine_));
}

double Network::client_delay(std::uint32_t client_zone, std::uint32_t router_zone) {
  const double cross_zone_ms = client_zone == router_zone ? 0 : base_delay(client_zone, router_zone);
  return (spec_.client_delay_ms + cross_zone_ms) * (1 + draw_uniform(0, spec_.jitter, jitter_engine_));
}

std::optional<double> Network::datagram_delay(RouterId from, RouterId to) {
  const double loss_share =
      1 - delivery_share(spec_.datagram_loss_share, &DatagramLossStep::loss_share, from, to);
  if (!routers_connected(from, to) || draw_with_probability(loss_share, datagram_engine_))
    return std::nullopt;
  return base_delay(router_zone_[from], router_zone_[to]) +
         draw_uniform(spec_.datagram_min_ms, spec_.datagram_max_ms, datagram_engine_);
}

bool Network::draw_duplicate(RouterId from, RouterId to) {
  return draw_with_probability(
      1 - delivery_share(spec_.datagram_duplicate_share, &DatagramLossStep::duplicate_share, from, to),
      duplicate_engine_);
}

double Network::delivery_share(double base_share, double DatagramLossStep::*share, RouterId from,
                               RouterId to) const {
  double remaining = 1 - base_share;
  for (const DatagramLossStep& loss : losses_) {
    if (contains(loss.routers, from) || contains(loss.routers, to)) remaining *= 1 - loss.*share;
  }
  return remaining;
}

bool Network::is_connected(RouterId router, MachineId machine) const {
  if (silent_routers_[router] || silent_machines_[machine]) return false;
  for (const PartitionStep& partition : partitions_) {
    if ((contains(partition.routers_a, router) && contains(partition.machines_b, machine)) ||
        (contains(partition.routers_b, router) && contains(partition.machines_a, machine))) {
      return false;
    }
  }
  return true;
}

bool Network::routers_connected(RouterId from, RouterId to) const {
  if (silent_routers_[from] || silent_routers_[to]) return false;
  for (const PartitionStep& partition : partitions_) {
    if ((contains(partition.routers_a, from) && contains(partition.routers_b, to)) ||
        (!partition.one_way && contains(partition.routers_b, from) && contains(partition.routers_a, to))) {
      return false;
    }
  }
  return true;
}

} // namespace fernward::model
