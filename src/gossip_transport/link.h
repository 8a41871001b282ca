// The UDP socket between routers: sends and receives the datagrams of gossip::GossipNode.
//
// It is bound to `peer_listen` and sends to the addresses of `peers`; datagrams from other addresses are
// ignored. No request waits for a datagram, so none wakes the process: datagrams are read, and due gossip
// rounds are started, when other timers wake the process, mainly the balancer's tick, and by the end of the
// period at the latest.
//
// While another process of this router still holds the address (the process is being replaced), bind is
// retried.
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
  std::vector<std::string> peers; // by router number, this router's own included
  membership::Rules rules;
  std::uint64_t seed = 1;
  std::uint8_t zone = gossip::kNoZone;
};

struct Calls {
  std::function<gossip::Own()> own; // the reports to send
  std::function<void(gossip::Fleet&, double now)>
      heard; // after each round, and as soon as the first report of another router is received
};

class Link {
 public:
  Link(loop::TimerQueue& deadlines, const Options& options,
       Calls calls); // throws config::Error
  ~Link();
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  void leave(); // notifies some members and closes the socket; nothing is sent afterwards
  gossip::Fleet& fleet() { return fleet_; }
  std::uint64_t strangers() const { return strangers_; } // from addresses not in `peers`, or too long

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
  double look_ms_; // the longest time between reads
  gossip::Fleet fleet_;
  std::vector<gossip::Fleet::Out> out_;
  loop::TimerQueue::TimerId ticket_ = 0;
  int socket_ = -1;
  std::uint64_t strangers_ = 0;
  bool heard_ = false, told_ = false;
};

} // namespace fernward::gossip_transport
