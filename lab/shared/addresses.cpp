#include "lab/shared/addresses.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace fernward::rig {
namespace {

constexpr std::uint32_t kFirstNet = 64, kNets = 180; // from 127.64/16 on
constexpr std::size_t kFirst = 256;                  // the first 256 addresses of a /16 stay unused
constexpr std::size_t kNumbers = 65000;
constexpr std::uint16_t kRouterPort = 7000, kMachinePort = 7070, kPeerListenPort = 7946, kPeersAllPort = 7947,
                        kPeerPort = 7950, kAgentPort = 8500, kMarkPort = 6999;

} // namespace

std::string text_of(const sockaddr_in& address) {
  char host[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &address.sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(address.sin_port));
}

int listen_at(const sockaddr_in& address, int backlog) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
      listen(fd, backlog) == 0) {
    return fd;
  }
  const int why = errno;
  close(fd);
  errno = why;
  return -1;
}

Addresses::Addresses(std::size_t routers, std::size_t machines) : routers_(routers), machines_(machines) {
  const auto start = static_cast<std::uint32_t>(getpid());
  for (std::uint32_t i = 0; i < kNets && held_ < 0; ++i) {
    net_ = 127u << 24 | (kFirstNet + (start + i) % kNets) << 16;
    sockaddr_in mark = at(0, kMarkPort);
    mark.sin_addr.s_addr = htonl(net_ | 1);
    held_ = listen_at(mark, 1);
    if (held_ < 0) continue;
    // Another program may listen on one of these ports at all addresses: then the /16 can't be used.
    for (const std::uint16_t port : {kRouterPort, kMachinePort, kAgentPort}) {
      const int fd = held_ < 0 ? -1 : listen_at(at(0, port), 1);
      if (fd >= 0) {
        close(fd);
      } else if (held_ >= 0) {
        close(held_);
        held_ = -1;
      }
    }
  }
  if (held_ < 0) throw std::runtime_error("the lab found no free /16 network in 127/8");
}

Addresses::~Addresses() {
  if (held_ >= 0) close(held_);
}

sockaddr_in Addresses::at(std::size_t number, std::uint16_t port) const {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(net_ | static_cast<std::uint32_t>(kFirst + number % kNumbers));
  address.sin_port = htons(static_cast<std::uint16_t>(port + number / kNumbers));
  return address;
}

sockaddr_in Addresses::router(model::RouterId router) const { return at(router, kRouterPort); }
sockaddr_in Addresses::machine(model::RouterId seen_by, model::MachineId place) const {
  return at(std::size_t{seen_by} * machines_ + place, kMachinePort);
}
sockaddr_in Addresses::agent(model::RouterId router, std::uint32_t moves) const {
  return at(router, static_cast<std::uint16_t>(kAgentPort + moves));
}
sockaddr_in Addresses::peer_listen(model::RouterId router) const { return at(router, kPeerListenPort); }
sockaddr_in Addresses::peers_all(model::RouterId seen_by) const { return at(seen_by, kPeersAllPort); }
sockaddr_in Addresses::peer(model::RouterId seen_by, model::RouterId other) const {
  return at(std::size_t{seen_by} * routers_ + other, kPeerPort);
}

} // namespace fernward::rig
