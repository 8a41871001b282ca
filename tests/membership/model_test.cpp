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
  static void append(const Membership& membership, std::string& buffer) {
    const auto add = [&](auto value) { buffer.append(reinterpret_cast<const char*>(&value), sizeof value); };
    const auto add_update = [&](const MemberUpdate& update) {
      add(update.member), add(update.state), add(update.reporter), stamp(update.stamp, buffer);
    };
    stamp(membership.stamp_, buffer), add(membership.health_penalty_), add(membership.next_ping_index_),
        add(membership.last_round_);
    for (const MemberId id : membership.ping_order_) add(id);
    for (const auto& member : membership.members_) {
      stamp(member.stamp, buffer), add(member.dead_at), add(member.direct_contact_at), add(member.state),
          add(member.confirmations);
      for (std::uint8_t i = 0; i < member.confirmations; ++i) add(member.confirmed_by[i]);
    }
    for (const auto& ping : membership.pending_pings_) {
      add(ping.target), add(ping.round), add(ping.sent_at), add(ping.indirect_sent), add(ping.answered),
          add(ping.nacks);
      add(ping.expected_nacks), add(ping.for_requester), add(ping.requester), add(ping.requester_round);
    }
    for (const auto& broadcast : membership.broadcasts_)
      add_update(broadcast.update), add(broadcast.transmissions);
    add('|');
  }
  static void append(const Packet& packet, std::string& buffer) {
    const auto add = [&](auto value) { buffer.append(reinterpret_cast<const char*>(&value), sizeof value); };
    add(packet.to), add(packet.datagram.from), add(packet.datagram.kind), add(packet.datagram.subject),
        add(packet.datagram.round);
    stamp(packet.datagram.stamp, buffer);
    for (const MemberUpdate& update : packet.datagram.updates)
      add(update.member), add(update.state), add(update.reporter), stamp(update.stamp, buffer);
    add('|');
  }
  static void stamp(Stamp value, std::string& buffer) {
    buffer.append(reinterpret_cast<const char*>(&value.incarnation), sizeof value.incarnation);
    buffer.append(reinterpret_cast<const char*>(&value.sequence), sizeof value.sequence);
  }
  static Stamp known(const Membership& membership, MemberId member) {
    return membership.members_[member].stamp;
  }
  static double direct_at(const Membership& membership, MemberId member) {
    return membership.members_[member].direct_contact_at;
  }
};

namespace {

constexpr MemberId kRouters = 3, kCrashingRouter = 2;

// The routers, the datagrams in flight, and how many losses and rounds are still to be explored.
struct SystemState {
  std::vector<Membership> routers;
  std::vector<Packet> in_flight;
  bool crashed = false;
  int losses_left = 0, rounds_left = 0;
  double now = 1000;
};

bool is_false_update(const Packet& packet) {
  return packet.datagram.kind == MessageKind::Nack && packet.datagram.updates.size() == 1;
}

// Visits every state that can be reached from a start state. Counts the steps that violate an invariant, and
// those that declare a router dead.
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
        const bool declared = before.routers[i].is_alive(j) && !after.routers[i].is_alive(j);
        declared_dead += declared, live_declared_dead += declared && !(after.crashed && j == kCrashingRouter);
      }
    }
  }
  void deliver(SystemState system_state, std::size_t index) {
    const SystemState before = system_state;
    const Packet packet = system_state.in_flight[index];
    system_state.in_flight.erase(system_state.in_flight.begin() + static_cast<std::ptrdiff_t>(index));
    if (!(system_state.crashed && packet.to == kCrashingRouter))
      system_state.routers[packet.to].receive(system_state.now, packet.datagram.from, packet.datagram,
                                              system_state.in_flight);
    check(before, system_state);
    for (MemberId j = 0; j < kRouters; ++j) {
      const Membership &router_before = before.routers[packet.to],
                       &router_after = system_state.routers[packet.to];
      if (j == packet.to || !router_before.is_alive(j) || router_after.is_alive(j)) continue;
      // Declared dead by this datagram: must not be due to updates older than the known stamp, nor right
      // after direct contact.
      dead_by_old_update += std::none_of(
          packet.datagram.updates.begin(), packet.datagram.updates.end(), [&](const MemberUpdate& update) {
            return update.member == j && update.stamp >= MembershipTestAccess::known(router_before, j);
          });
      dead_despite_contact +=
          system_state.now - MembershipTestAccess::direct_at(router_before, j) < 2 * Settings{}.period_ms;
    }
    explore(std::move(system_state));
  }
  void explore(SystemState system_state) {
    std::vector<std::string> in_flight_bytes;
    for (const Packet& packet : system_state.in_flight)
      MembershipTestAccess::append(packet, in_flight_bytes.emplace_back());
    std::sort(in_flight_bytes.begin(), in_flight_bytes.end());
    std::string state(1, static_cast<char>(2 * system_state.losses_left + system_state.crashed));
    state += static_cast<char>(system_state.rounds_left);
    for (const Membership& membership : system_state.routers) MembershipTestAccess::append(membership, state);
    for (const std::string& packet_bytes : in_flight_bytes) state += packet_bytes;
    if (!visited.insert(std::hash<std::string>{}(state)).second) return;
    if (!system_state.crashed) {
      SystemState next = system_state;
      next.crashed = true;
      explore(std::move(next));
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
        explore(std::move(system_state));
        system_state = before;
      }
    }
    for (std::size_t i = 0; i < system_state.in_flight.size(); ++i) {
      deliver(system_state, i);
      if (system_state.losses_left == 0) continue;
      SystemState lost = system_state;
      --lost.losses_left;
      lost.in_flight.erase(lost.in_flight.begin() + static_cast<std::ptrdiff_t>(i));
      explore(std::move(lost));
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
    SystemState start_state;
    for (MemberId i = 0; i < kRouters; ++i)
      start_state.routers.emplace_back(i, kRouters, 1u, Settings{400, 1}, i + 1u);
    const auto enqueue = [&](MemberId from, MemberId to, std::vector<MemberUpdate> updates,
                             std::vector<Packet>& out) {
      Packet packet{to, {}};
      packet.datagram.kind = MessageKind::Nack;
      packet.datagram.from = from;
      packet.datagram.stamp = start_state.routers[from].stamp();
      packet.datagram.updates = std::move(updates);
      out.push_back(std::move(packet));
    };
    // The second router was suspected twice, refuted both suspicions, and both others received that.
    std::vector<Packet> earlier_packets, ignored_replies;
    for (std::uint16_t i = 0; i < 2; ++i) {
      enqueue(0, 1, {{1, MemberState::Suspect, {1, i}, 0}}, earlier_packets);
      start_state.routers[1].receive(0, 0, earlier_packets.back().datagram, ignored_replies);
    }
    for (const MemberId to : {MemberId{0}, MemberId{2}}) {
      enqueue(1, to, {}, earlier_packets);
      start_state.routers[to].receive(0, 1, earlier_packets.back().datagram, ignored_replies);
    }
    // False updates that declare it dead arrive at any time: the first makes it suspect, the next could
    // declare it dead.
    for (int i = 0; i < false_update_count; ++i)
      enqueue(kCrashingRouter, 0, {{1, MemberState::Dead, {1, false_sequence}, kCrashingRouter}},
              start_state.in_flight);
    if (false_update_count > 0)
      enqueue(kCrashingRouter, 1, {{1, MemberState::Suspect, {1, 0}, kCrashingRouter}},
              start_state.in_flight);
    start_state.now = 10 * Settings{}.period_ms;
    start_state.crashed = crashed, start_state.rounds_left = rounds, start_state.losses_left = losses;
    model.live_declared_dead = 0;
    model.explore(start_state);
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
