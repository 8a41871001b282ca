// The addresses of a run: for each router, every peer has an address of its own in 127/8.
//
// A run reserves a /16 that no other run uses. The reservation is a listening socket, so that it is released
// however the run ends.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <string>

#include "model/spec.h"

namespace fernward::rig {

// The addresses of one run, reserved for the lifetime of the object. Immutable, so any thread may use it.
class RunAddresses {
 public:
  RunAddresses(std::size_t routers, std::size_t machines); // throws std::runtime_error
  ~RunAddresses();
  RunAddresses(const RunAddresses&) = delete;
  RunAddresses& operator=(const RunAddresses&) = delete;

  sockaddr_in router(model::RouterId router) const; // where clients connect
  sockaddr_in machine(model::RouterId seen_by,
                      model::MachineId address_owner) const; // PlannedMachine::address_of
  sockaddr_in discovery(model::RouterId router,
                        std::uint32_t address_version) const; // after this number of moves of discovery
  sockaddr_in peer_listen(model::RouterId router) const;      // where a router receives datagrams
  sockaddr_in peer(model::RouterId seen_by,
                   model::RouterId other) const;        // where it sends datagrams for one peer
  sockaddr_in all_peers(model::RouterId seen_by) const; // where it sends datagrams for all peers

 private:
  sockaddr_in address_at(std::size_t number, std::uint16_t port) const;

  std::size_t routers_, machines_;
  std::uint32_t network_ = 0; // the /16, in host order
  int reservation_fd_ = -1;
};

std::string address_text(const sockaddr_in& address); // "127.77.1.4:7070"
// Returns a non-blocking listening socket, or -1 with errno set.
int listen_at(const sockaddr_in& address, int backlog);

} // namespace fernward::rig
