// The net between routers: datagrams that come late, twice, out of order or not at all.
//
// A router sends to the address that its file names for a peer; what comes there goes on to that peer's own socket,
// from the address that the peer's file names for the sender.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lab/lies/liar.h"
#include "lab/shared/loop.h"
#include "lab/shared/stage.h"
#include "model/network.h"

namespace fernward::rig {

// Each pair of routers takes a port of its own. Routers that do not share are to send nothing; ports that would find
// out are kept for up to this many.
inline constexpr std::size_t kMostIdleDatagramRouters = 64;
inline bool has_datagram_ports(const model::Spec& spec, const model::Plan& plan) {
  return spec.routers.sharing.on || plan.routers.size() <= kMostIdleDatagramRouters;
}

class Datagrams {
 public:
  Datagrams(const Stage& stage, Loop& loop, model::Network& network);
  ~Datagrams();

  void open();                         // throws std::runtime_error
  void apply(const model::Step& step); // who lies from now on; what is lost and cut is the network's
  std::uint64_t sent() const { return sent_; }
  struct Spoken {
    std::uint64_t datagrams = 0, bytes = 0;
  };
  const std::vector<Spoken>& spoken() const { return spoken_; } // by router, what it sent
  std::uint64_t delivered() const { return delivered_; }
  std::size_t on_their_way() const { return on_their_way_; }

 private:
  struct Port {
    Datagrams* all = nullptr;
    model::RouterId owner = 0; // whose file names this address
    model::RouterId other = 0; // whom it stands for
    bool everybody = false;
    int fd = -1;
    loop::EventPtr reads;
  };

  static void readable(int, short, void* port);
  void open(Port& port, const sockaddr_in& where);
  void read(const Port& port);
  void carry(model::RouterId from, model::RouterId to, const std::string& bytes);

  const Stage& stage_;
  Loop& loop_;
  model::Network& network_;
  std::map<model::RouterId, lab::lies::Liar> liars_; // that were ever told to lie
  std::vector<Spoken> spoken_;
  std::vector<Port> ports_; // by owner and other, then one for everybody by owner
  std::uint64_t sent_ = 0, delivered_ = 0;
  std::size_t on_their_way_ = 0;
};

} // namespace fernward::rig
