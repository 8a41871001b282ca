#include "lab/peers/datagrams.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace fernward::rig {

using model::RouterId;

namespace {

constexpr std::size_t kMostBytes = 256;
constexpr std::size_t kMostOnTheirWay = 1 << 16; // further datagrams are lost, as in a network

} // namespace

Datagrams::Datagrams(const Stage& stage, Loop& loop, model::Network& network)
    : stage_(stage), loop_(loop), network_(network), spoken_(stage.plan.routers.size()) {}

Datagrams::~Datagrams() {
  for (Port& port : ports_) {
    port.reads.reset();
    if (port.fd >= 0) close(port.fd);
  }
}

void Datagrams::open() {
  const std::size_t routers = stage_.plan.routers.size();
  ports_ = std::vector<Port>(routers * routers + routers);
  for (RouterId owner = 0; owner < routers; ++owner) {
    for (RouterId other = 0; other < routers; ++other) {
      Port& port = ports_[owner * routers + other];
      port.owner = owner;
      port.other = other;
      open(port, stage_.addresses.peer(owner, other));
    }
    Port& all = ports_[routers * routers + owner];
    all.owner = owner;
    all.everybody = true;
    open(all, stage_.addresses.peers_all(owner));
  }
}

void Datagrams::open(Port& port, const sockaddr_in& where) {
  port.all = this;
  port.fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (port.fd < 0 || bind(port.fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0) {
    throw std::runtime_error("cannot bind a datagram socket to " + text_of(where) + ": " +
                             std::strerror(errno));
  }
  port.reads.reset(event_new(loop_.base(), port.fd, EV_READ | EV_PERSIST, &Datagrams::readable, &port));
  event_add(port.reads.get(), nullptr);
}

void Datagrams::apply(const model::Step& step) {
  if (const auto* lie = std::get_if<model::LieStep>(&step.what))
    lab::lies::apply(liars_, *lie, stage_.plan.routers.size(), stage_.spec.seed);
}

void Datagrams::readable(int, short, void* port) {
  const auto* found = static_cast<const Port*>(port);
  found->all->read(*found);
}

void Datagrams::read(const Port& port) {
  std::array<char, 2048> buffer;
  for (ssize_t got; (got = recv(port.fd, buffer.data(), buffer.size(), MSG_TRUNC)) >= 0;) {
    ++sent_;
    const auto size = static_cast<std::size_t>(got);
    ++spoken_[port.owner].datagrams;
    spoken_[port.owner].bytes += size;
    if (size > kMostBytes) {
      stage_.voids.add("router " + stage_.plan.routers[port.owner].name + " sent a datagram of " +
                       std::to_string(size) + " bytes; " + std::to_string(kMostBytes) + " are allowed");
      continue;
    }
    std::string bytes(buffer.data(), size);
    if (const auto liar = liars_.find(port.owner); liar != liars_.end())
      bytes = liar->second.spoil(loop_.now(), bytes);
    if (!port.everybody) {
      carry(port.owner, port.other, bytes);
      continue;
    }
    for (const auto& router : stage_.plan.routers) {
      if (router.id != port.owner) carry(port.owner, router.id, bytes);
    }
  }
}

void Datagrams::carry(RouterId from, RouterId to, const std::string& bytes) {
  for (int copies = network_.twice(from, to) ? 2 : 1; copies > 0; --copies) {
    const auto way = network_.datagram(from, to);
    if (!way || on_their_way_ >= kMostOnTheirWay) continue;
    ++on_their_way_;
    loop_.after(*way, [this, from, to, bytes] {
      --on_their_way_;
      if (!network_.routers_pass(from, to)) return;
      const std::size_t routers = stage_.plan.routers.size();
      const sockaddr_in where = stage_.addresses.peer_listen(to);
      // Sent from the address that the receiver knows the sender by. A router that does not listen refuses
      // it, which needs no action here.
      const ssize_t gone = sendto(ports_[to * routers + from].fd, bytes.data(), bytes.size(), MSG_DONTWAIT,
                                  reinterpret_cast<const sockaddr*>(&where), sizeof where);
      if (gone >= 0) ++delivered_;
    });
  }
}

} // namespace fernward::rig
