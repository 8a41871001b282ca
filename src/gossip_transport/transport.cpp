#include "gossip_transport/transport.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "config/address.h"
#include "config/settings.h"
#include "log/log.h"

namespace fernward::gossip_transport {
namespace {

constexpr unsigned kMaxReadsPerPoll = 8; // datagrams read in one call, so that other events are not delayed
// An answer takes two polls, the peer's and this router's, and must arrive before the next round. The
// balancer's tick wakes the process each 100 ms, so no interval above 112 ms is needed.
constexpr double kPollPeriodShare = 0.45, kMaxPollIntervalMs = 112;
constexpr double kReopenDelayMs = 100;
constexpr int kReceiveBufferBytes = 256 * 1024; // that the kernel keeps while this process is busy

std::uint64_t address_key(const sockaddr_in& address) {
  return std::uint64_t{address.sin_addr.s_addr} << 16 | address.sin_port;
}

} // namespace

Transport::Transport(loop::TimerQueue& timers, const Options& options, Callbacks callbacks)
    : timers_(timers),
      callbacks_(std::move(callbacks)),
      poll_interval_ms_(
          std::min(kMaxPollIntervalMs, kPollPeriodShare * options.membership_settings.period_ms)),
      node_(options.self, options.peers.size(), gossip::incarnation_at(loop::now_ms()),
            options.membership_settings, options.seed, options.zone) {
  if (!config::parse_address(options.listen, listen_address_))
    throw config::Error("peer_listen: \"" + options.listen +
                        "\" is not an address of the form 10.0.0.4:7946");
  for (std::size_t i = 0; i < options.peers.size(); ++i) {
    sockaddr_in address{};
    if (!config::parse_address(options.peers[i], address))
      throw config::Error("peers[" + std::to_string(i) + "]: \"" + options.peers[i] +
                          "\" is not an address of the form 10.0.0.4:7946");
    peer_addresses_.push_back(address);
    if (i != options.self) ids_by_address_.emplace(address_key(address), static_cast<gossip::MemberId>(i));
  }
  open_socket();
}

Transport::~Transport() {
  timers_.cancel(timer_);
  if (socket_ >= 0) close(socket_);
}

void Transport::open_socket() {
  socket_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket_ < 0 ||
      bind(socket_, reinterpret_cast<const sockaddr*>(&listen_address_), sizeof listen_address_) != 0) {
    const int error = errno;
    if (socket_ >= 0) close(std::exchange(socket_, -1));
    if (!std::exchange(bind_failure_logged_, true))
      log::line("peers-no-address", {{"why", std::strerror(error)}});
    timer_ = timers_.run_at(loop::now_ms() + kReopenDelayMs, [this] { open_socket(); });
    return;
  }
  setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof kReceiveBufferBytes);
  const double now = loop::now_ms();
  run_round(now);
  schedule_poll(now, false);
}

void Transport::poll_socket() {
  timer_ = 0;
  const bool more_pending = receive();
  const double now = loop::now_ms();
  // At the poll nearest to the due time, so that rounds keep their period.
  if (now + poll_interval_ms_ / 2 >= node_.next_tick_at()) run_round(now);
  schedule_poll(now, more_pending);
}

void Transport::schedule_poll(double now, bool more_pending) {
  timer_ = timers_.run_within(more_pending ? now : now + 0.8 * poll_interval_ms_,
                              more_pending ? now : now + poll_interval_ms_, [this] { poll_socket(); });
}

void Transport::run_round(double now) {
  node_.tick(now, callbacks_.local_reports(), outgoing_);
  send_outgoing();
  callbacks_.on_update(node_, now);
}

// Returns true if there may be more datagrams.
bool Transport::receive() {
  std::array<char, membership::kMaxDatagramBytes + 1> bytes;
  const double now = loop::now_ms();
  unsigned read_count = 0;
  for (; read_count < kMaxReadsPerPoll; ++read_count) {
    sockaddr_in sender{};
    socklen_t sender_size = sizeof sender;
    const ssize_t received_bytes =
        recvfrom(socket_, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&sender), &sender_size);
    if (received_bytes < 0) {
      if (errno == ECONNREFUSED) continue; // caused by an earlier send; no proof that the peer is gone
      break;
    }
    const auto peer = ids_by_address_.find(address_key(sender));
    if (peer == ids_by_address_.end() ||
        received_bytes > static_cast<ssize_t>(membership::kMaxDatagramBytes)) {
      ++unknown_datagrams_;
      continue;
    }
    node_.receive(now, peer->second, {bytes.data(), static_cast<std::size_t>(received_bytes)}, outgoing_);
  }
  send_outgoing();
  if (!has_fresh_reports_ && read_count > 0) {
    has_fresh_reports_ = node_.view(now).fresh_reports > 0;
    // A restarted router need not wait for the next round.
    if (has_fresh_reports_) callbacks_.on_update(node_, now);
  }
  return read_count == kMaxReadsPerPoll;
}

// Datagrams that the kernel does not accept are lost, like those lost in the network.
void Transport::send_outgoing() {
  for (const auto& [to, bytes] : outgoing_) {
    const auto& address = peer_addresses_[to];
    sendto(socket_, bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<const sockaddr*>(&address),
           sizeof address);
  }
  outgoing_.clear();
}

void Transport::leave() {
  timers_.cancel(timer_);
  if (socket_ < 0) return;
  node_.leave(loop::now_ms(), outgoing_);
  send_outgoing();
  close(std::exchange(socket_, -1));
}

} // namespace fernward::gossip_transport
