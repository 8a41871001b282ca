#include "model/network.h"

#include <algorithm>

namespace fernward::model {
namespace {

template <typename T>
bool has(const std::vector<T>& all, T one) {
  return std::find(all.begin(), all.end(), one) != all.end();
}

} // namespace

Network::Network(const Spec& spec, const Plan& plan)
    : spec_(spec.network),
      zones_(spec.zones.size()),
      silent_machines_(plan.machines.size()),
      silent_routers_(plan.routers.size()),
      jitter_(stream(spec.seed, "jitter")),
      datagrams_(stream(spec.seed, "datagrams")),
      copies_(stream(spec.seed, "datagram copies")) {
  for (std::size_t a = 0; a < zones_; ++a) {
    for (std::size_t b = 0; b < zones_; ++b) usual_.push_back(a == b ? spec_.same_ms : spec_.cross_ms);
  }
  for (const ZoneLink& link : spec_.links) {
    usual_[link.from * zones_ + link.to] = usual_[link.to * zones_ + link.from] = link.delay_ms;
  }
  delay_ = usual_;
  for (const Machine& m : plan.machines) machine_zone_.push_back(m.zone);
  for (const RouterPlace& r : plan.routers) router_zone_.push_back(r.zone);
}

void Network::apply(const Step& step) {
  if (const auto* link = std::get_if<LinkStep>(&step.what)) {
    for (const std::size_t at : {link->from * zones_ + link->to, link->to * zones_ + link->from}) {
      delay_[at] = usual_[at] * link->factor;
    }
  } else if (const auto* cut = std::get_if<CutStep>(&step.what)) {
    std::erase_if(cuts_, [&](const CutStep& c) { return c.cut == cut->cut; });
    if (cut->on) cuts_.push_back(*cut);
  } else if (const auto* loss = std::get_if<LossStep>(&step.what)) {
    std::erase_if(losses_, [&](const LossStep& l) { return l.number == loss->number; });
    if (loss->on) losses_.push_back(*loss);
  } else if (const auto* node = std::get_if<NodeStep>(&step.what)) {
    if (node->what == NodeStep::What::Silence) silent_machines_[node->machine] = 1;
    if (node->what == NodeStep::What::Return) silent_machines_[node->machine] = 0;
  } else if (const auto* router = std::get_if<RouterStep>(&step.what)) {
    if (router->what == RouterStep::What::Silence) silent_routers_[router->router] = 1;
    if (router->what == RouterStep::What::Return) silent_routers_[router->router] = 0;
  }
}

double Network::between(std::uint32_t from_zone, std::uint32_t to_zone) {
  return base(from_zone, to_zone) * (1 + draw_uniform(0, spec_.jitter, jitter_));
}

double Network::with_client(std::uint32_t client_zone, std::uint32_t router_zone) {
  const double across = client_zone == router_zone ? 0 : base(client_zone, router_zone);
  return (spec_.client_ms + across) * (1 + draw_uniform(0, spec_.jitter, jitter_));
}

std::optional<double> Network::datagram(RouterId from, RouterId to) {
  const double lost = 1 - spared(spec_.datagram_loss, &LossStep::share, from, to);
  if (!routers_pass(from, to) || draw_chance(lost, datagrams_)) return std::nullopt;
  return base(router_zone_[from], router_zone_[to]) +
         draw_uniform(spec_.datagram_min_ms, spec_.datagram_max_ms, datagrams_);
}

bool Network::twice(RouterId from, RouterId to) {
  return draw_chance(1 - spared(spec_.datagram_twice, &LossStep::twice, from, to), copies_);
}

double Network::spared(double own, double LossStep::*share, RouterId from, RouterId to) const {
  double left = 1 - own;
  for (const LossStep& l : losses_) {
    if (has(l.routers, from) || has(l.routers, to)) left *= 1 - l.*share;
  }
  return left;
}

bool Network::passes(RouterId router, MachineId machine) const {
  if (silent_routers_[router] || silent_machines_[machine]) return false;
  for (const CutStep& c : cuts_) {
    if ((has(c.routers_a, router) && has(c.machines_b, machine)) ||
        (has(c.routers_b, router) && has(c.machines_a, machine))) {
      return false;
    }
  }
  return true;
}

bool Network::routers_pass(RouterId from, RouterId to) const {
  if (silent_routers_[from] || silent_routers_[to]) return false;
  for (const CutStep& c : cuts_) {
    if ((has(c.routers_a, from) && has(c.routers_b, to)) ||
        (!c.one_way && has(c.routers_b, from) && has(c.routers_a, to))) {
      return false;
    }
  }
  return true;
}

} // namespace fernward::model
