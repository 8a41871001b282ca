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

constexpr std::size_t kMaxDatagramBytes = 256;
constexpr std::size_t kMaxInTransit = 1 << 16; // further datagrams are lost, as in a network

} // namespace

DatagramRelay::DatagramRelay(const RunContext& context, RunLoop& loop, model::Network& network)
    : context_(context), loop_(loop), network_(network), sent_by_router_(context.plan.routers.size()) {}

DatagramRelay::~DatagramRelay() {
  for (Port& port : ports_) {
    port.read_event.reset();
    if (port.fd >= 0) close(port.fd);
  }
}

void DatagramRelay::open() {
  const std::size_t routers = context_.plan.routers.size();
  ports_ = std::vector<Port>(routers * routers + routers);
  for (RouterId owner = 0; owner < routers; ++owner) {
    for (RouterId peer = 0; peer < routers; ++peer) {
      Port& port = ports_[owner * routers + peer];
      port.owner = owner;
      port.peer = peer;
      open(port, context_.addresses.peer(owner, peer));
    }
    Port& broadcast_port = ports_[routers * routers + owner];
    broadcast_port.owner = owner;
    broadcast_port.broadcast = true;
    open(broadcast_port, context_.addresses.all_peers(owner));
  }
}

void DatagramRelay::open(Port& port, const sockaddr_in& address) {
  port.relay = this;
  port.fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (port.fd < 0 || bind(port.fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    throw std::runtime_error("cannot bind a datagram socket to " + address_text(address) + ": " +
                             std::strerror(errno));
  }
  port.read_event.reset(
      event_new(loop_.base(), port.fd, EV_READ | EV_PERSIST, &DatagramRelay::on_readable, &port));
  event_add(port.read_event.get(), nullptr);
}

void DatagramRelay::apply(const model::Step& step) {
  if (const auto* corruption = std::get_if<model::InconsistentRouterStep>(&step.what))
    lab::false_gossip::apply_step(corruptors_, *corruption, context_.plan.routers.size(), context_.spec.seed);
}

void DatagramRelay::on_readable(int, short, void* port) {
  const auto* receiving_port = static_cast<const Port*>(port);
  receiving_port->relay->read(*receiving_port);
}

void DatagramRelay::read(const Port& port) {
  std::array<char, 2048> buffer;
  for (ssize_t received; (received = recv(port.fd, buffer.data(), buffer.size(), MSG_TRUNC)) >= 0;) {
    ++sent_;
    const auto size = static_cast<std::size_t>(received);
    ++sent_by_router_[port.owner].datagrams;
    sent_by_router_[port.owner].bytes += size;
    if (size > kMaxDatagramBytes) {
      context_.void_reasons.add("router " + context_.plan.routers[port.owner].name + " sent a datagram of " +
                                std::to_string(size) + " bytes; " + std::to_string(kMaxDatagramBytes) +
                                " are allowed");
      continue;
    }
    std::string bytes(buffer.data(), size);
    if (const auto corruptor = corruptors_.find(port.owner); corruptor != corruptors_.end())
      bytes = corruptor->second.corrupt(loop_.now(), bytes);
    if (!port.broadcast) {
      forward(port.owner, port.peer, bytes);
      continue;
    }
    for (const auto& router : context_.plan.routers) {
      if (router.id != port.owner) forward(port.owner, router.id, bytes);
    }
  }
}

void DatagramRelay::forward(RouterId from, RouterId to, const std::string& bytes) {
  for (int copies = network_.draw_duplicate(from, to) ? 2 : 1; copies > 0; --copies) {
    const auto delay_ms = network_.datagram_delay(from, to);
    if (!delay_ms || in_transit_ >= kMaxInTransit) continue;
    ++in_transit_;
    loop_.run_after(*delay_ms, [this, from, to, bytes] {
      --in_transit_;
      if (!network_.routers_connected(from, to)) return;
      const std::size_t routers = context_.plan.routers.size();
      const sockaddr_in address = context_.addresses.peer_listen(to);
      // Sent from the address by which the receiver knows the sender. A router that does not listen refuses
      // it, which needs no action here.
      const ssize_t sent_size =
          sendto(ports_[to * routers + from].fd, bytes.data(), bytes.size(), MSG_DONTWAIT,
                 reinterpret_cast<const sockaddr*>(&address), sizeof address);
      if (sent_size >= 0) ++delivered_;
    });
  }
}

} // namespace fernward::rig
