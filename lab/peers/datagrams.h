// The network between routers: datagrams are delayed, duplicated, reordered or lost.
//
// A router sends to the address that its configuration names for a peer. A datagram received there is
// forwarded to the socket of that peer, from the address that the peer's configuration names for the sender.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/false_gossip/datagram_corruptor.h"
#include "lab/shared/loop.h"
#include "lab/shared/run_context.h"
#include "model/network.h"

namespace fernward::rig {

// Each pair of routers has a port of its own. Without sharing, routers must not send datagrams; a fleet of up
// to this many routers has ports nevertheless, so that any datagrams are counted.
inline constexpr std::size_t kMaxIdleDatagramRouters = 64;
inline bool has_datagram_ports(const model::Spec& spec, const model::Plan& plan) {
  return spec.routers.sharing.enabled || plan.routers.size() <= kMaxIdleDatagramRouters;
}

// Owned by the simulated fleet, and used on its loop's thread.
class DatagramRelay {
 public:
  DatagramRelay(const RunContext& context, RunLoop& loop, model::Network& network);
  ~DatagramRelay();

  void open(); // throws std::runtime_error
  // Starts and stops corruption; the network itself applies losses and partitions.
  void apply(const model::Step& step);
  std::uint64_t sent() const { return sent_; }
  struct SentCounts {
    std::uint64_t datagrams = 0, bytes = 0;
  };
  const std::vector<SentCounts>& sent_by_router() const {
    return sent_by_router_;
  } // by router, what it has sent
  std::uint64_t delivered() const { return delivered_; }
  std::size_t in_transit() const { return in_transit_; }

 private:
  struct Port {
    DatagramRelay* relay = nullptr;
    model::RouterId owner = 0; // the router whose configuration names this address
    model::RouterId peer = 0;  // the peer that the address stands for
    bool broadcast = false;    // the address stands for all peers; `peer` is not used
    int fd = -1;
    loop::EventPtr read_event;
  };

  static void on_readable(int, short, void* port);
  void open(Port& port, const sockaddr_in& address);
  void read(const Port& port);
  void forward(model::RouterId from, model::RouterId to, const std::string& bytes);

  const RunContext& context_;
  RunLoop& loop_;
  model::Network& network_;
  std::map<model::RouterId, lab::false_gossip::DatagramCorruptor>
      corruptors_; // of routers whose datagrams are or were corrupted
  std::vector<SentCounts> sent_by_router_;
  std::vector<Port> ports_; // by owner and peer, then one per owner that reaches all peers
  std::uint64_t sent_ = 0, delivered_ = 0;
  std::size_t in_transit_ = 0;
};

} // namespace fernward::rig
