// Explores the states of three routers over a few rounds: all orders and losses of datagrams, false updates
// and a crash. Guards against stamps that decrease or exceed the owner's, and live routers declared dead by
// outdated updates.
#include <doctest/doctest.h>

#include <algorithm>
#include <string_view>
#include <unordered_set>

#include "membership/membership.h"

namespace fernward::membership {

// Serializes the state of a router: two routers with equal bytes behave alike, except for random draws.
struct MembershipTestAccess {
  static void append(const Membership& m, std::string& buffer) {
    const auto add = [&](auto value) { buffer.append(reinterpret_cast<const char*>(&value), sizeof value); };
    const auto word = [&](const MemberUpdate& w) {
      add(w.member), add(w.state), add(w.reporter), stamp(w.stamp, buffer);
    };
    stamp(m.stamp_, buffer), add(m.health_penalty_), add(m.next_ping_index_), add(m.last_round_);
    for (const MemberId id : m.ping_order_) add(id);
    for (const auto& member : m.members_) {
      stamp(member.stamp, buffer), add(member.dead_at), add(member.direct_contact_at), add(member.state),
          add(member.confirmations);
      for (std::uint8_t i = 0; i < member.confirmations; ++i) add(member.confirmed_by[i]);
    }
    for (const auto& r : m.pending_pings_) {
      add(r.target), add(r.round), add(r.sent_at), add(r.indirect_sent), add(r.answered), add(r.nacks);
      add(r.expected_nacks), add(r.for_requester), add(r.requester), add(r.requester_round);
    }
    for (const auto& s : m.broadcasts_) word(s.update), add(s.transmissions);
    add('|');
  }
  static void append(const Packet& p, std::string& buffer) {
    const auto add = [&](auto value) { buffer.append(reinterpret_cast<const char*>(&value), sizeof value); };
    add(p.to), add(p.datagram.from), add(p.datagram.kind), add(p.datagram.subject), add(p.datagram.round);
    stamp(p.datagram.stamp, buffer);
    for (const MemberUpdate& update : p.datagram.updates)
      add(update.member), add(update.state), add(update.reporter), stamp(update.stamp, buffer);
    add('|');
  }
  static void stamp(Stamp s, std::string& buffer) {
    buffer.append(reinterpret_cast<const char*>(&s.incarnation), sizeof s.incarnation);
    buffer.append(reinterpret_cast<const char*>(&s.sequence), sizeof s.sequence);
  }
  static Stamp known(const Membership& m, MemberId member) { return m.members_[member].stamp; }
  static double direct_at(const Membership& m, MemberId member) {
    return m.members_[member].direct_contact_at;
  }
};

namespace {

constexpr MemberId kRouters = 3, kCrashingRouter = 2;

struct SystemState {
  std::vector<Membership> routers;
  std::vector<Packet> in_flight;
  bool crashed = false;
  int losses_left = 0, rounds_left = 0; // remaining
  double now = 1000;
};

bool is_false_update(const Packet& p) {
  return p.datagram.kind == MessageKind::Nack && p.datagram.updates.size() == 1;
}

struct StateExplorer {
  std::unordered_set<std::size_t> visited;
  std::size_t stamps_decreased = 0, stamps_ahead_of_owner = 0, dead_by_old_update = 0,
              dead_despite_contact = 0, declared_dead = 0, live_declared_dead = 0;

  void check(const SystemState& before, const SystemState& after) {
    for (MemberId i = 0; i < kRouters; ++i) {
      stamps_decreased += after.routers[i].stamp() < before.routers[i].stamp();
      for (MemberId j = 0; j < kRouters; ++j) {
        if (i == j) continue;
        stamps_ahead_of_owner += MembershipTestAccess::known(after.routers[i], j) > after.routers[j].stamp();
        const bool out = before.routers[i].is_alive(j) && !after.routers[i].is_alive(j);
        declared_dead += out, live_declared_dead += out && !(after.crashed && j == kCrashingRouter);
      }
    }
  }
  void deliver(SystemState system_state, std::size_t index) {
    const SystemState before = system_state;
    const Packet p = system_state.in_flight[index];
    system_state.in_flight.erase(system_state.in_flight.begin() + static_cast<std::ptrdiff_t>(index));
    if (!(system_state.crashed && p.to == kCrashingRouter))
      system_state.routers[p.to].receive(system_state.now, p.datagram.from, p.datagram,
                                         system_state.in_flight);
    check(before, system_state);
    for (MemberId j = 0; j < kRouters; ++j) {
      const Membership &router_before = before.routers[p.to], &router_after = system_state.routers[p.to];
      if (j == p.to || !router_before.is_alive(j) || router_after.is_alive(j)) continue;
      // Declared dead by this datagram: must not be due to updates older than the known stamp, nor right
      // after direct contact.
      dead_by_old_update +=
          std::none_of(p.datagram.updates.begin(), p.datagram.updates.end(), [&](const MemberUpdate& word) {
            return word.member == j && word.stamp >= MembershipTestAccess::known(router_before, j);
          });
      dead_despite_contact +=
          system_state.now - MembershipTestAccess::direct_at(router_before, j) < 2 * Settings{}.period_ms;
    }
    play(std::move(system_state));
  }
  void play(SystemState system_state) {
    std::vector<std::string> in_flight_bytes;
    for (const Packet& p : system_state.in_flight)
      MembershipTestAccess::append(p, in_flight_bytes.emplace_back());
    std::sort(in_flight_bytes.begin(), in_flight_bytes.end());
    std::string state(1, static_cast<char>(2 * system_state.losses_left + system_state.crashed));
    state += static_cast<char>(system_state.rounds_left);
    for (const Membership& m : system_state.routers) MembershipTestAccess::append(m, state);
    for (const std::string& t : in_flight_bytes) state += t;
    if (!visited.insert(std::hash<std::string>{}(state)).second) return;
    if (!system_state.crashed) {
      SystemState next = system_state;
      next.crashed = true;
      play(std::move(next));
    }
    if (std::all_of(system_state.in_flight.begin(), system_state.in_flight.end(), is_false_update)) {
      if (system_state.rounds_left == 0 && system_state.in_flight.empty()) return;
      if (system_state.rounds_left > 0) {
        const SystemState before = system_state;
        --system_state.rounds_left;
        system_state.now += Settings{}.period_ms;
        for (MemberId i = 0; i < kRouters; ++i) {
          if (!(system_state.crashed && i == kCrashingRouter))
            system_state.routers[i].tick(system_state.now, system_state.in_flight);
        }
        check(before, system_state);
        play(std::move(system_state));
        system_state = before;
      }
    }
    for (std::size_t i = 0; i < system_state.in_flight.size(); ++i) {
      deliver(system_state, i);
      if (system_state.losses_left == 0) continue;
      SystemState lost = system_state;
      --lost.losses_left;
      lost.in_flight.erase(lost.in_flight.begin() + static_cast<std::ptrdiff_t>(i));
      play(std::move(lost));
    }
  }
};

} // namespace
} // namespace fernward::membership

TEST_CASE(
    "three routers reach no invalid state under any order and loss of datagrams with false updates and a "
    "crash") {
  using namespace fernward::membership;
  StateExplorer model;
  const auto play = [&](int false_update_count, std::uint16_t false_sequence, bool crashed, int rounds,
                        int losses) {
    SystemState w;
    for (MemberId i = 0; i < kRouters; ++i) w.routers.emplace_back(i, kRouters, 1u, Settings{400, 1}, i + 1u);
    const auto enqueue = [&](MemberId from, MemberId to, std::vector<MemberUpdate> words,
                             std::vector<Packet>& out) {
      Packet p{to, {}};
      p.datagram.kind = MessageKind::Nack;
      p.datagram.from = from;
      p.datagram.stamp = w.routers[from].stamp();
      p.datagram.updates = std::move(words);
      out.push_back(std::move(p));
    };
    // The second router was suspected twice, refuted both suspicions, and both others received that.
    std::vector<Packet> before, none;
    for (std::uint16_t n = 0; n < 2; ++n) {
      enqueue(0, 1, {{1, MemberState::Suspect, {1, n}, 0}}, before);
      w.routers[1].receive(0, 0, before.back().datagram, none);
    }
    for (const MemberId to : {MemberId{0}, MemberId{2}}) {
      enqueue(1, to, {}, before);
      w.routers[to].receive(0, 1, before.back().datagram, none);
    }
    // False updates that declare it dead arrive at any time: the first makes it suspect, the next could
    // declare it dead.
    for (int n = 0; n < false_update_count; ++n)
      enqueue(kCrashingRouter, 0, {{1, MemberState::Dead, {1, false_sequence}, kCrashingRouter}},
              w.in_flight);
    if (false_update_count > 0)
      enqueue(kCrashingRouter, 1, {{1, MemberState::Suspect, {1, 0}, kCrashingRouter}}, w.in_flight);
    w.now = 10 * Settings{}.period_ms;
    w.crashed = crashed, w.rounds_left = rounds, w.losses_left = losses;
    model.live_declared_dead = 0;
    model.play(w);
    MESSAGE(false_update_count << " false updates of stamp " << false_sequence << ", crashed " << crashed
                               << ", rounds " << rounds << ", losses " << losses << ": "
                               << model.visited.size() << " states so far, a router declared dead in "
                               << model.declared_dead << " steps");
    return model.live_declared_dead;
  };
  CHECK(play(2, 0, false, 2, 0) == 0); // with a crash at any point
  CHECK(play(2, 0, true, 2, 1) == 0);
  CHECK(play(2, 0, true, 3, 0) == 0);
  CHECK(play(2, 2, true, 2, 0) > 0); // possible, as nobody had recent direct contact
  CHECK(model.stamps_decreased == 0);
  CHECK(model.stamps_ahead_of_owner == 0);
  CHECK(model.dead_by_old_update == 0);
  CHECK(model.dead_despite_contact == 0);
  CHECK(model.declared_dead > 0);
}
