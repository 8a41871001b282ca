#include "lab/shared/addresses.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace fernward::rig {
namespace {

constexpr std::uint32_t kFirstNetwork = 64, kNetworkCount = 180; // from 127.64.0.0/16 on
constexpr std::size_t kFirstNumber =
    256; // the first 256 addresses of a /16 are not given to routers or machines
constexpr std::size_t kNumbersPerPort = 65000; // further numbers use the next port
constexpr std::uint16_t kRouterPort = 7000, kMachinePort = 7070, kPeerListenPort = 7946, kAllPeersPort = 7947,
                        kPeerPort = 7950, kAgentPort = 8500, kReservationPort = 6999;

} // namespace

std::string address_text(const sockaddr_in& address) {
  char host[INET_ADDRSTRLEN] = "";
  inet_ntop(AF_INET, &address.sin_addr, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(address.sin_port));
}

int listen_at(const sockaddr_in& address, int backlog) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  const int enabled = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
      listen(fd, backlog) == 0) {
    return fd;
  }
  const int saved_errno = errno;
  close(fd);
  errno = saved_errno;
  return -1;
}

RunAddresses::RunAddresses(std::size_t routers, std::size_t machines)
    : routers_(routers), machines_(machines) {
  const auto first_index = static_cast<std::uint32_t>(getpid());
  for (std::uint32_t i = 0; i < kNetworkCount && reservation_fd_ < 0; ++i) {
    network_ = 127u << 24 | (kFirstNetwork + (first_index + i) % kNetworkCount) << 16;
    sockaddr_in reservation = address_at(0, kReservationPort);
    reservation.sin_addr.s_addr = htonl(network_ | 1);
    reservation_fd_ = listen_at(reservation, 1);
    if (reservation_fd_ < 0) continue;
    // Another program may listen on one of these ports at all addresses: then the /16 cannot be used.
    for (const std::uint16_t port : {kRouterPort, kMachinePort, kAgentPort}) {
      const int fd = reservation_fd_ < 0 ? -1 : listen_at(address_at(0, port), 1);
      if (fd >= 0) {
        close(fd);
      } else if (reservation_fd_ >= 0) {
        close(reservation_fd_);
        reservation_fd_ = -1;
      }
    }
  }
  if (reservation_fd_ < 0) throw std::runtime_error("the lab found no free /16 network in 127.0.0.0/8");
}

RunAddresses::~RunAddresses() {
  if (reservation_fd_ >= 0) close(reservation_fd_);
}

sockaddr_in RunAddresses::address_at(std::size_t number, std::uint16_t port) const {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr =
      htonl(network_ | static_cast<std::uint32_t>(kFirstNumber + number % kNumbersPerPort));
  address.sin_port = htons(static_cast<std::uint16_t>(port + number / kNumbersPerPort));
  return address;
}

sockaddr_in RunAddresses::router(model::RouterId router) const { return address_at(router, kRouterPort); }
sockaddr_in RunAddresses::machine(model::RouterId seen_by, model::MachineId address_owner) const {
  return address_at(std::size_t{seen_by} * machines_ + address_owner, kMachinePort);
}
sockaddr_in RunAddresses::discovery(model::RouterId router, std::uint32_t address_version) const {
  return address_at(router, static_cast<std::uint16_t>(kAgentPort + address_version));
}
sockaddr_in RunAddresses::peer_listen(model::RouterId router) const {
  return address_at(router, kPeerListenPort);
}
sockaddr_in RunAddresses::all_peers(model::RouterId seen_by) const {
  return address_at(seen_by, kAllPeersPort);
}
sockaddr_in RunAddresses::peer(model::RouterId seen_by, model::RouterId other) const {
  return address_at(std::size_t{seen_by} * routers_ + other, kPeerPort);
}

} // namespace fernward::rig
