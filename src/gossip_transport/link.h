// The socket between routers: carries gossip::Fleet's datagrams, and decides nothing.
//
// It listens at `peer_listen` and sends from there to the addresses of `peers`; only what comes from one of
// these counts. No request waits for a datagram, so none wakes the process: what has come is read, and a
// round that is due is begun, at wakes that other deadlines cause, the policy's tick first of all; by the
// period's end at the latest.
//
// While another process of this router still has the address (it is being replaced), the link tries again.
#pragma once

#include <netinet/in.h>

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "gossip/fleet.h"
#include "loop/timer_queue.h"

namespace fernward::gossip_transport {

struct Options {
  gossip::Id self = 0;
  std::string listen;             // "10.0.0.4:7946"
  std::vector<std::string> peers; // by number, this router's own included
  membership::Rules rules;
  std::uint64_t seed = 1;
  std::uint8_t zone = gossip::kNoZone;
};

struct Calls {
  std::function<gossip::Own()> own; // what is to be said
  std::function<void(gossip::Fleet&, double now)>
      heard; // after each round, and as soon as the first others are heard
};

class Link {
 public:
  Link(loop::TimerQueue& deadlines, const Options& options,
       Calls calls); // throws config::Error
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  void leave(); // tells some, closes its socket; nothing comes of it any more
  gossip::Fleet& fleet() { return fleet_; }
  std::uint64_t strangers() const { return strangers_; } // datagrams from no address of `peers`, or too long

 private:
  void open();
  void look();
  void look_again(double now, bool more);
  bool read();
  void round(double now);
  void send();

  loop::TimerQueue& deadlines_;
  Calls calls_;
  sockaddr_in listen_{};
  std::vector<sockaddr_in> peers_;
  std::unordered_map<std::uint64_t, gossip::Id> by_address_;
  double look_ms_; // at the latest
  gossip::Fleet fleet_;
  std::vector<gossip::Fleet::Out> out_;
  loop::TimerQueue::TimerId ticket_ = 0;
  int socket_ = -1;
  std::uint64_t strangers_ = 0;
  bool heard_ = false, told_ = false;
};

} // namespace fernward::gossip_transport
