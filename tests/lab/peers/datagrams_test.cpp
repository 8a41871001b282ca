// The simulated network for gossip datagrams between routers: addresses, loss, duplicates, size limit and
// false contents.
#include <doctest/doctest.h>

#include "gossip/gossip_node.h"
#include "test_fleet.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

class DatagramSocket { // the gossip socket of a router
 public:
  explicit DatagramSocket(const sockaddr_in& address) : fd_(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0)) {
    REQUIRE(bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
  }
  ~DatagramSocket() { close(fd_); }
  DatagramSocket(const DatagramSocket&) = delete;

  void send(const sockaddr_in& to, const std::string& bytes) const {
    sendto(fd_, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to);
  }
  // Returns up to `max_count` datagrams received within `wait_ms`, each prefixed with its sender's address
  // and a space.
  std::vector<std::string> receive(std::size_t max_count, double wait_ms) const {
    std::vector<std::string> datagrams;
    wait_until(
        [&] {
          char buffer[512];
          sockaddr_in from{};
          socklen_t size = sizeof from;
          const ssize_t received_bytes =
              recvfrom(fd_, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&from), &size);
          if (received_bytes >= 0)
            datagrams.push_back(rig::address_text(from) + " " +
                                std::string(buffer, static_cast<std::size_t>(received_bytes)));
          return datagrams.size() >= max_count;
        },
        wait_ms);
    return datagrams;
  }

 private:
  int fd_;
};

} // namespace

TEST_CASE("datagrams arrive from the sender's address and faults lose or duplicate or reject them") {
  const struct {
    const char* what;
    double loss, twice;
    std::size_t bytes, expected_count;
    bool all, silent;
  } cases[] = {
      {"as sent", 0, 0, 256, 1, false, false},  {"to all others", 0, 0, 10, 1, true, false},
      {"lost", 1, 0, 10, 0, false, false},      {"twice", 0, 1, 10, 2, false, false},
      {"too long", 0, 0, 257, 0, false, false}, {"to a silent router", 0, 0, 10, 0, false, true},
  };
  for (const auto& c : cases) {
    const std::string what = c.what;
    CAPTURE(what);
    TestFleet fleet([&](model::Spec& spec) {
      spec.network.datagram_loss_share = c.loss;
      spec.network.datagram_duplicate_share = c.twice;
    });
    if (c.silent) fleet.apply(model::RouterStep{1, model::RouterStep::What::Silence});
    const DatagramSocket router_0(fleet.addresses->peer_listen(0)), router_1(fleet.addresses->peer_listen(1));
    const std::string text(c.bytes, 'm');
    router_0.send(c.all ? fleet.addresses->all_peers(0) : fleet.addresses->peer(0, 1), text);
    const auto received = router_1.receive(c.expected_count + 1, 300);
    REQUIRE(received.size() == c.expected_count);
    for (const auto& bytes : received)
      CHECK(bytes == rig::address_text(fleet.addresses->peer(1, 0)) + " " + text);
    CHECK(router_0.receive(1, 20).empty()); // nothing is returned to the sender
    CHECK(fleet.void_reasons.all().size() == (c.bytes > 256 ? 1 : 0));
  }
}

TEST_CASE("datagrams of an inconsistent router are well formed but false and correct again after the fault") {
  TestFleet fleet([](model::Spec& spec) {
    spec.network.datagram_min_ms = spec.network.datagram_max_ms = 0;
    spec.routers.sharing.enabled = true;
    spec.routers.groups[0].count = 2;
  });
  const DatagramSocket router_0(fleet.addresses->peer_listen(0)), router_1(fleet.addresses->peer_listen(1));
  gossip::GossipNode inconsistent_router(0, 3, 5, {}, 1), router_2(2, 3, 5, {}, 2);
  const gossip::LocalReports own_report{2, 3};
  std::vector<gossip::GossipNode::OutgoingDatagram> out;
  // The datagram that router 1 receives from router 0 after router 0 received one from router 2.
  const auto report_at_router_1 = [&](double now) {
    out.clear();
    router_2.tick(now, own_report, out);
    const std::string report = out.front().bytes;
    out.clear();
    inconsistent_router.receive(now, 2, report, out);
    inconsistent_router.tick(now, own_report, out);
    router_0.send(fleet.addresses->peer(0, 1), out.back().bytes);
    const auto received = router_1.receive(1, 2000);
    REQUIRE(received.size() == 1);
    return membership::decode(received[0].substr(received[0].find(' ') + 1)).value();
  };
  // The sender's demand, as a router without other reports decodes it.
  const auto reported_demand = [](const membership::Datagram& datagram) {
    gossip::OriginGossip gossip_state(1, 3, 1);
    std::vector<gossip::OriginGossip::Update> updates;
    gossip_state.read_entries(
        0, 0, datagram.payload.substr(0, 2 + static_cast<std::size_t>(datagram.payload[1])), updates);
    return gossip_state.median_demand(0);
  };
  const auto reports_dead = [](const membership::Datagram& datagram) {
    return std::any_of(
        datagram.updates.begin(), datagram.updates.end(), [](const membership::MemberUpdate& update) {
          return update.member == 2 && update.reporter == 0 && update.state == membership::MemberState::Dead;
        });
  };
  model::InconsistentRouterStep step{0, true, {}, {0}};
  double now = 0;
  for (const bool inconsistent : {false, true, false}) {
    CAPTURE(inconsistent);
    step.enabled = inconsistent;
    fleet.apply(step);
    const membership::Datagram datagram = report_at_router_1(now += 300);
    CHECK(datagram.from == 0);
    CHECK(reported_demand(datagram) == doctest::Approx(inconsistent ? 4096 : 2).epsilon(0.01));
    CHECK(reports_dead(datagram) == inconsistent);
  }
}
