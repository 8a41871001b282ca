#include "peering/link.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "config/address.h"
#include "config/settings.h"
#include "log/log.h"

namespace fernward::peering {
namespace {

constexpr int kAtOnce = 64; // datagrams read before others have their turn
constexpr double kOpenAgainMs = 100;
constexpr int kReceived = 256 * 1024; // bytes that the kernel keeps while this process does something else

std::uint64_t key_of(const sockaddr_in& a) { return std::uint64_t{a.sin_addr.s_addr} << 16 | a.sin_port; }

} // namespace

Link::Link(event_base* base, loop::Deadlines& deadlines, const Options& options, Calls calls)
    : base_(base),
      deadlines_(deadlines),
      calls_(std::move(calls)),
      fleet_(options.self, options.peers.size(), shared::incarnation_at(loop::now_ms()), options.rules,
             options.seed, options.zone) {
  if (!config::parse_address(options.listen, listen_))
    throw config::Error("peer_listen: \"" + options.listen + "\" is no address of the form 10.0.0.4:7946");
  for (std::size_t i = 0; i < options.peers.size(); ++i) {
    sockaddr_in where{};
    if (!config::parse_address(options.peers[i], where))
      throw config::Error("peers[" + std::to_string(i) + "]: \"" + options.peers[i] + "\" is no address");
    peers_.push_back(where);
    if (i != options.self) by_address_.emplace(key_of(where), static_cast<shared::Id>(i));
  }
  open();
}

Link::~Link() {
  deadlines_.cancel(ticket_);
  reads_.reset();
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
  reads_.reset(event_new(base_, socket_, EV_READ | EV_PERSIST, &Link::readable, this));
  if (reads_ == nullptr || event_add(reads_.get(), nullptr) != 0) throw std::bad_alloc();
  round();
}

void Link::round() {
  ticket_ = 0;
  const double now = loop::now_ms();
  fleet_.tick(now, calls_.own(), out_);
  send();
  calls_.heard(fleet_, now);
  ticket_ = deadlines_.at(fleet_.next(), [this] { round(); });
}

void Link::read() {
  std::array<char, members::kMostBytes + 1> bytes;
  for (int i = 0; i < kAtOnce; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t got =
        recvfrom(socket_, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0) {
      if (errno == ECONNREFUSED) continue; // of what was sent to one that is gone: it says nothing for sure
      break;
    }
    const auto peer = by_address_.find(key_of(from));
    if (peer == by_address_.end() || got > static_cast<ssize_t>(members::kMostBytes)) {
      ++strangers_;
      continue;
    }
    fleet_.take(loop::now_ms(), peer->second, {bytes.data(), static_cast<std::size_t>(got)}, out_);
  }
  send();
  if (heard_) return;
  const double now = loop::now_ms();
  heard_ = fleet_.view(now).heard > 0;
  if (heard_) calls_.heard(fleet_, now); // one that comes back need not wait for the next round
}

// What the kernel does not take is lost, as the net loses some.
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
  reads_.reset();
  close(std::exchange(socket_, -1));
}

} // namespace fernward::peering
