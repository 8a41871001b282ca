#include "gossip_transport/link.h"

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

constexpr unsigned kAtOnce = 8; // datagrams read in one call, so that other events are not delayed
// An answer takes two polls, the peer's and this router's, and must arrive before the next round. The
// balancer's tick wakes the process each 100 ms, so no interval above 112 ms is needed.
constexpr double kLookTurns = 0.45, kLookMs = 112;
constexpr double kOpenAgainMs = 100;
constexpr int kReceived = 256 * 1024; // that the kernel keeps while this process is busy

std::uint64_t key_of(const sockaddr_in& a) { return std::uint64_t{a.sin_addr.s_addr} << 16 | a.sin_port; }

} // namespace

Link::Link(loop::TimerQueue& deadlines, const Options& options, Calls calls)
    : deadlines_(deadlines),
      calls_(std::move(calls)),
      look_ms_(std::min(kLookMs, kLookTurns * options.rules.period_ms)),
      fleet_(options.self, options.peers.size(), gossip::incarnation_at(loop::now_ms()), options.rules,
             options.seed, options.zone) {
  if (!config::parse_address(options.listen, listen_))
    throw config::Error("peer_listen: \"" + options.listen + "\" is no address of the form 10.0.0.4:7946");
  for (std::size_t i = 0; i < options.peers.size(); ++i) {
    sockaddr_in where{};
    if (!config::parse_address(options.peers[i], where))
      throw config::Error("peers[" + std::to_string(i) + "]: \"" + options.peers[i] + "\" is no address");
    peers_.push_back(where);
    if (i != options.self) by_address_.emplace(key_of(where), static_cast<gossip::Id>(i));
  }
  open();
}

Link::~Link() {
  deadlines_.cancel(ticket_);
  if (socket_ >= 0) close(socket_);
}

void Link::open() {
  socket_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket_ < 0 || bind(socket_, reinterpret_cast<const sockaddr*>(&listen_), sizeof listen_) != 0) {
    const int error = errno;
    if (socket_ >= 0) close(std::exchange(socket_, -1));
    if (!std::exchange(told_, true)) log::line("peers-no-address", {{"why", std::strerror(error)}});
    ticket_ = deadlines_.at(loop::now_ms() + kOpenAgainMs, [this] { open(); });
    return;
  }
  setsockopt(socket_, SOL_SOCKET, SO_RCVBUF, &kReceived, sizeof kReceived);
  const double now = loop::now_ms();
  round(now);
  look_again(now, false);
}

void Link::look() {
  ticket_ = 0;
  const bool more = read();
  const double now = loop::now_ms();
  if (now + look_ms_ / 2 >= fleet_.next())
    round(now); // the poll nearest to the due time, so that rounds keep their period
  look_again(now, more);
}

void Link::look_again(double now, bool more) {
  ticket_ =
      deadlines_.within(more ? now : now + 0.8 * look_ms_, more ? now : now + look_ms_, [this] { look(); });
}

void Link::round(double now) {
  fleet_.tick(now, calls_.own(), out_);
  send();
  calls_.heard(fleet_, now);
}

// Returns true if there may be more datagrams.
bool Link::read() {
  std::array<char, membership::kMostBytes + 1> bytes;
  const double now = loop::now_ms();
  unsigned got = 0;
  for (; got < kAtOnce; ++got) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t length =
        recvfrom(socket_, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (length < 0) {
      if (errno == ECONNREFUSED) continue; // caused by an earlier send; no proof that the peer is gone
      break;
    }
    const auto peer = by_address_.find(key_of(from));
    if (peer == by_address_.end() || length > static_cast<ssize_t>(membership::kMostBytes)) {
      ++strangers_;
      continue;
    }
    fleet_.take(now, peer->second, {bytes.data(), static_cast<std::size_t>(length)}, out_);
  }
  send();
  if (!heard_ && got > 0) {
    heard_ = fleet_.view(now).heard > 0;
    if (heard_) calls_.heard(fleet_, now); // a restarted router need not wait for the next round
  }
  return got == kAtOnce;
}

// Datagrams that the kernel does not accept are lost, like those lost in the network.
void Link::send() {
  for (const auto& [to, bytes] : out_) {
    const auto& where = peers_[to];
    sendto(socket_, bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<const sockaddr*>(&where),
           sizeof where);
  }
  out_.clear();
}

void Link::leave() {
  deadlines_.cancel(ticket_);
  if (socket_ < 0) return;
  fleet_.leave(loop::now_ms(), out_);
  send();
  close(std::exchange(socket_, -1));
}

} // namespace fernward::gossip_transport
