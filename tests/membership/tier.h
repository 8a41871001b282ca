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

#include "gossip/fleet.h"
#include "statistics/numbers.h"

namespace fernward::tests {

struct Tier {
  explicit Tier(std::size_t n, std::uint64_t seed = 1, membership::Rules r = {})
      : rules(r), random{mix(seed)}, own(n), paused_until(n), routers(n), looks_at(n) {
    for (std::size_t i = 0; i < n; ++i) start(i);
  }
  void start(std::size_t i) { // a new process without any state
    routers[i] = std::make_unique<gossip::Fleet>(static_cast<gossip::Id>(i), routers.size(),
                                                 gossip::incarnation_at(kStart + now), rules, mix(i + 77));
    const std::uint64_t life = ++lives[i];
    looks_at[i] = now + random.unit() * look_ms();
    at(now + random.unit() * rules.period_ms, [this, i, life] { tick(i, life); });
  }
  void kill(std::size_t i) { routers[i].reset(), ++lives[i]; }
  void at(double time, std::function<void()> what) { agenda.emplace(time, std::move(what)); }
  void run(
      double ms, const std::function<bool()>& done = [] { return false; }) {
    const double end = now + ms;
    while (!agenda.empty() && agenda.begin()->first <= end && !done()) {
      now = std::max(now, agenda.begin()->first);
      const auto what = std::move(agenda.begin()->second);
      agenda.erase(agenda.begin());
      what();
    }
    if (!done()) now = end;
  }
  std::size_t living(std::size_t seen_by) const { return routers[seen_by]->members().living(); }
  bool all(const std::function<bool(std::size_t)>& holds) const {
    for (std::size_t i = 0; i < routers.size(); ++i) {
      if (routers[i] != nullptr && !holds(i)) return false;
    }
    return true;
  }

  static constexpr double kStart = 1.7e12;
  // How often a router reads datagrams and checks whether a round is due; similar to
  // gossip_transport::Transport.
  double look_ms() const { return std::min(100.0, 0.4 * rules.period_ms); }
  membership::Rules rules;
  Random random;
  double now = 0, loss = 0, twice = 0;
  std::function<bool(std::size_t from, std::size_t to)> passes = [](std::size_t, std::size_t) {
    return true;
  };
  std::function<void(std::size_t i)> before_tick = [](std::size_t) {};
  std::vector<gossip::Own> own;
  std::vector<double> paused_until;
  std::vector<std::unique_ptr<gossip::Fleet>> routers;
  std::vector<double> looks_at; // of each router; later polls follow at equal intervals
  std::map<std::size_t, std::uint64_t> lives;
  std::uint64_t datagrams = 0, bytes = 0;

 private:
  void tick(std::size_t i, std::uint64_t life) {
    if (lives[i] != life) return;
    if (now < paused_until[i]) return at(paused_until[i], [this, i, life] { tick(i, life); });
    before_tick(i);
    std::vector<gossip::Fleet::Out> out;
    routers[i]->tick(now, own[i], out);
    send(i, out);
    at(look(i, routers[i]->next() - look_ms() / 2), [this, i, life] { tick(i, life); });
  }
  double look(std::size_t i, double from) const { // the first poll at or after `from`
    const double apart = look_ms();
    return looks_at[i] + apart * std::ceil((from - looks_at[i]) / apart);
  }
  void send(std::size_t from, const std::vector<gossip::Fleet::Out>& out) {
    for (const auto& o : out) {
      ++datagrams, bytes += o.bytes.size();
      for (int copies = random.unit() < twice ? 2 : 1; copies > 0; --copies) {
        if (random.unit() < loss) continue;
        at(look(o.to, now + 2 + 30 * random.unit()), [this, from, o] { deliver(from, o.to, o.bytes); });
      }
    }
  }
  void deliver(std::size_t from, std::size_t to, const std::string& what) {
    if (!passes(from, to) || routers[to] == nullptr) return;
    if (now < paused_until[to])
      return at(paused_until[to], [this, from, to, what] { deliver(from, to, what); });
    std::vector<gossip::Fleet::Out> out;
    routers[to]->take(now, static_cast<gossip::Id>(from), what, out);
    send(to, out);
  }
  std::multimap<double, std::function<void()>> agenda;
};

} // namespace fernward::tests
