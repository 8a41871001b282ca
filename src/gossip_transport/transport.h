// The UDP socket between routers: sends and receives the datagrams of gossip::GossipNode.
//
// It is bound to `peer_listen` and sends to the addresses of `peers`; datagrams from other addresses are
// ignored. No request waits for a datagram, so the arrival of a datagram does not wake the process: datagrams
// are read, and due gossip rounds are started, when other timers wake the process, mainly the balancer's
// tick, and by the end of the period at the latest.
//
// While another process of this router still holds the address (the process is being replaced), bind is
// retried.
#pragma once

#include <netinet/in.h>

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "gossip/gossip_node.h"
#include "loop/timer_queue.h"

namespace fernward::gossip_transport {

struct Options {
  gossip::MemberId self = 0;
  std::string listen;             // "10.0.0.4:7946"
  std::vector<std::string> peers; // by router number, this router's own included
  membership::Settings membership_settings;
  std::uint64_t seed = 1;
  std::uint8_t zone = gossip::kNoZone;
};

struct Callbacks {
  std::function<gossip::LocalReports()> local_reports; // the reports to send
  // Called after each round, and as soon as the first report of another router is received.
  std::function<void(gossip::GossipNode&, double now)> on_update;
};

class Transport {
 public:
  // Throws config::Error if an address is invalid.
  Transport(loop::TimerQueue& timers, const Options& options, Callbacks callbacks);
  ~Transport();
  Transport(const Transport&) = delete;
  Transport& operator=(const Transport&) = delete;

  void leave(); // notifies some members and closes the socket; nothing is sent afterwards
  gossip::GossipNode& node() { return node_; }
  // Datagrams from addresses not in `peers`, or too long.
  std::uint64_t unknown_datagrams() const { return unknown_datagrams_; }

 private:
  void open_socket();
  void poll_socket();
  void schedule_poll(double now, bool more_pending);
  bool receive();
  void run_round(double now);
  void send_outgoing();

  loop::TimerQueue& timers_;
  Callbacks callbacks_;
  sockaddr_in listen_address_{};
  std::vector<sockaddr_in> peer_addresses_;
  std::unordered_map<std::uint64_t, gossip::MemberId> ids_by_address_;
  double poll_interval_ms_; // the longest time between reads
  gossip::GossipNode node_;
  std::vector<gossip::GossipNode::OutgoingDatagram> outgoing_;
  loop::TimerQueue::TimerId timer_ = 0;
  int socket_ = -1;
  std::uint64_t unknown_datagrams_ = 0;
  bool has_fresh_reports_ = false, bind_failure_logged_ = false;
};

} // namespace fernward::gossip_transport
