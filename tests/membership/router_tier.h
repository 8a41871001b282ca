// A tier of gossip nodes in virtual time, with delayed, duplicated, reordered and lost datagrams, network
// partitions and paused processes.
#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gossip/gossip_node.h"
#include "statistics/numbers.h"

namespace fernward::tests {

// Times are milliseconds of virtual time since the start; `loss` and `duplicate_share` are shares of the
// datagrams from 0 to 1. before_tick() is called before each round of a router; delivers() decides which
// datagrams arrive.
struct RouterTier {
  explicit RouterTier(std::size_t router_count, std::uint64_t seed = 1,
                      membership::Settings membership_settings = {})
      : settings(membership_settings),
        random{mix_bits(seed)},
        local_reports(router_count),
        paused_until(router_count),
        routers(router_count),
        first_poll_at(router_count) {
    for (std::size_t i = 0; i < router_count; ++i) start(i);
  }
  void start(std::size_t i) { // a new process without any state
    routers[i] = std::make_unique<gossip::GossipNode>(static_cast<gossip::MemberId>(i), routers.size(),
                                                      gossip::incarnation_at(kStart + now), settings,
                                                      mix_bits(i + 77));
    const std::uint64_t generation = ++generations[i];
    first_poll_at[i] = now + random.next_unit() * poll_interval_ms();
    schedule(now + random.next_unit() * settings.period_ms, [this, i, generation] { tick(i, generation); });
  }
  void kill(std::size_t i) { routers[i].reset(), ++generations[i]; }
  void schedule(double time, std::function<void()> action) { events.emplace(time, std::move(action)); }
  void run(
      double ms, const std::function<bool()>& done = [] { return false; }) {
    const double end = now + ms;
    while (!events.empty() && events.begin()->first <= end && !done()) {
      now = std::max(now, events.begin()->first);
      const auto action = std::move(events.begin()->second);
      events.erase(events.begin());
      action();
    }
    if (!done()) now = end;
  }
  std::size_t alive_count(std::size_t observer) const { return routers[observer]->members().alive_count(); }
  bool all(const std::function<bool(std::size_t)>& predicate) const {
    for (std::size_t i = 0; i < routers.size(); ++i) {
      if (routers[i] != nullptr && !predicate(i)) return false;
    }
    return true;
  }

  static constexpr double kStart = 1.7e12; // Unix time in ms at the start
  // How often a router reads datagrams and checks whether a round is due; similar to
  // gossip_transport::Transport.
  double poll_interval_ms() const { return std::min(100.0, 0.4 * settings.period_ms); }
  membership::Settings settings;
  Random random;
  double now = 0, loss = 0, duplicate_share = 0;
  std::function<bool(std::size_t from, std::size_t to)> delivers = [](std::size_t, std::size_t) {
    return true;
  };
  std::function<void(std::size_t i)> before_tick = [](std::size_t) {};
  std::vector<gossip::LocalReports> local_reports;
  std::vector<double> paused_until;
  std::vector<std::unique_ptr<gossip::GossipNode>> routers;
  std::vector<double> first_poll_at; // of each router; later polls follow at equal intervals
  std::map<std::size_t, std::uint64_t> generations;
  std::uint64_t datagrams = 0, bytes = 0;

 private:
  void tick(std::size_t i, std::uint64_t generation) {
    if (generations[i] != generation) return;
    if (now < paused_until[i])
      return schedule(paused_until[i], [this, i, generation] { tick(i, generation); });
    before_tick(i);
    std::vector<gossip::GossipNode::OutgoingDatagram> out;
    routers[i]->tick(now, local_reports[i], out);
    send(i, out);
    schedule(next_poll(i, routers[i]->next_tick_at() - poll_interval_ms() / 2),
             [this, i, generation] { tick(i, generation); });
  }
  double next_poll(std::size_t i, double from) const { // the first poll at or after `from`
    const double interval_ms = poll_interval_ms();
    return first_poll_at[i] + interval_ms * std::ceil((from - first_poll_at[i]) / interval_ms);
  }
  void send(std::size_t from, const std::vector<gossip::GossipNode::OutgoingDatagram>& out) {
    for (const auto& datagram : out) {
      ++datagrams, bytes += datagram.bytes.size();
      for (int copies = random.next_unit() < duplicate_share ? 2 : 1; copies > 0; --copies) {
        if (random.next_unit() < loss) continue;
        schedule(next_poll(datagram.to, now + 2 + 30 * random.next_unit()),
                 [this, from, datagram] { deliver(from, datagram.to, datagram.bytes); });
      }
    }
  }
  void deliver(std::size_t from, std::size_t to, const std::string& payload) {
    if (!delivers(from, to) || routers[to] == nullptr) return;
    if (now < paused_until[to])
      return schedule(paused_until[to], [this, from, to, payload] { deliver(from, to, payload); });
    std::vector<gossip::GossipNode::OutgoingDatagram> out;
    routers[to]->receive(now, static_cast<gossip::MemberId>(from), payload, out);
    send(to, out);
  }
  std::multimap<double, std::function<void()>> events;
};

} // namespace fernward::tests
