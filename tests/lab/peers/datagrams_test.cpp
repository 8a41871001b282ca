// The simulated network for gossip datagrams between routers: addresses, loss, duplicates, size limit and
// corruption.
#include <doctest/doctest.h>

#include "gossip/fleet.h"
#include "stand.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

class Port { // the gossip socket of a router
 public:
  explicit Port(const sockaddr_in& where) : fd_(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0)) {
    REQUIRE(bind(fd_, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0);
  }
  ~Port() { close(fd_); }
  Port(const Port&) = delete;

  void send(const sockaddr_in& to, const std::string& bytes) const {
    sendto(fd_, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&to), sizeof to);
  }
  // Returns up to `max_count` datagrams received within `wait_ms`, each prefixed with its sender's address
  // and a space.
  std::vector<std::string> receive(std::size_t most, double wait_ms) const {
    std::vector<std::string> all;
    until(
        [&] {
          char buffer[512];
          sockaddr_in from{};
          socklen_t size = sizeof from;
          const ssize_t n =
              recvfrom(fd_, buffer, sizeof buffer, 0, reinterpret_cast<sockaddr*>(&from), &size);
          if (n >= 0)
            all.push_back(rig::text_of(from) + " " + std::string(buffer, static_cast<std::size_t>(n)));
          return all.size() >= most;
        },
        wait_ms);
    return all;
  }

 private:
  int fd_;
};

} // namespace

TEST_CASE("datagrams arrive from the sender's address and faults lose or duplicate or reject them") {
  const struct {
    const char* what;
    double loss, twice;
    std::size_t bytes, come;
    bool all, silent;
  } cases[] = {
      {"as sent", 0, 0, 256, 1, false, false},  {"to all others", 0, 0, 10, 1, true, false},
      {"lost", 1, 0, 10, 0, false, false},      {"twice", 0, 1, 10, 2, false, false},
      {"too long", 0, 0, 257, 0, false, false}, {"to a silent router", 0, 0, 10, 0, false, true},
  };
  for (const auto& c : cases) {
    const std::string what = c.what;
    CAPTURE(what);
    Stand stand([&](model::Spec& spec) {
      spec.network.datagram_loss = c.loss;
      spec.network.datagram_twice = c.twice;
    });
    if (c.silent) stand.happen(model::RouterStep{1, model::RouterStep::What::Silence});
    const Port zero(stand.addresses->peer_listen(0)), one(stand.addresses->peer_listen(1));
    const std::string text(c.bytes, 'm');
    zero.send(c.all ? stand.addresses->peers_all(0) : stand.addresses->peer(0, 1), text);
    const auto came = one.receive(c.come + 1, 300);
    REQUIRE(came.size() == c.come);
    for (const auto& bytes : came) CHECK(bytes == rig::text_of(stand.addresses->peer(1, 0)) + " " + text);
    CHECK(zero.receive(1, 20).empty()); // nothing is returned to the sender
    CHECK(stand.voids.all().size() == (c.bytes > 256 ? 1 : 0));
  }
}

TEST_CASE("corrupted datagrams are well formed but false and correct again after the fault") {
  Stand stand([](model::Spec& spec) {
    spec.network.datagram_min_ms = spec.network.datagram_max_ms = 0;
    spec.routers.sharing.on = true;
    spec.routers.groups[0].count = 2;
  });
  const Port zero(stand.addresses->peer_listen(0)), one(stand.addresses->peer_listen(1));
  gossip::Fleet liar(0, 3, 5, {}, 1), third(2, 3, 5, {}, 2);
  const gossip::Own own{2, 3};
  std::vector<gossip::Fleet::Out> out;
  // The datagram that router 1 receives from router 0 after router 0 received one from router 2.
  const auto heard = [&](double now) {
    out.clear();
    third.tick(now, own, out);
    const std::string word = out.front().bytes;
    out.clear();
    liar.take(now, 2, word, out);
    liar.tick(now, own, out);
    zero.send(stand.addresses->peer(0, 1), out.back().bytes);
    const auto came = one.receive(1, 2000);
    REQUIRE(came.size() == 1);
    return membership::decode(came[0].substr(came[0].find(' ') + 1)).value();
  };
  const auto demand =
      [](const membership::Datagram& d) { // the sender's demand, as a router without other reports decodes it
        gossip::Facts facts(1, 3, 1);
        std::vector<gossip::Facts::Told> told;
        facts.read(0, 0, d.facts.substr(0, 2 + static_cast<std::size_t>(d.facts[1])), told);
        return facts.demand(0);
      };
  const auto accused = [](const membership::Datagram& d) {
    return std::any_of(d.words.begin(), d.words.end(), [](const membership::Word& w) {
      return w.who == 2 && w.by == 0 && w.standing == membership::Standing::Dead;
    });
  };
  model::LieStep step{0, true, {}, {0}};
  double now = 0;
  for (const bool lies : {false, true, false}) {
    CAPTURE(lies);
    step.on = lies;
    stand.happen(step);
    const membership::Datagram d = heard(now += 300);
    CHECK(d.from == 0);
    CHECK(demand(d) == doctest::Approx(lies ? 4096 : 2).epsilon(0.01));
    CHECK(accused(d) == lies);
  }
}
