// Determines when the last byte of a request may have been sent, if the router reads it later than it could.
// Pure: no sockets, no clock.
#pragma once

#include <cstdint>
#include <optional>

namespace fernward::body_buffers {

/// Bytes that a client can have written and the router not read: Linux's default maximum of a send buffer
/// (tcp_wmem) and of a receive buffer (tcp_rmem).
constexpr std::uint64_t kMaxSocketBytes = (4u << 20) + (6u << 20);

/// One client connection's lag of reading, owned by the connection. A client's timeout counts from its
/// request's last byte. The router can't observe that byte while it does not read, for example because the
/// buffer of a body is full, or because the previous request on the connection is not answered. So the
/// timeout then counts from when the router stopped reading everything.
///
/// States: caught up (initially), or delayed since a point in time. Times: milliseconds on the caller's clock,
/// which only advances.
class ReceiveClock {
 public:
  /// Bytes of the client are unread at `now_ms`. `remaining_bytes`: of the request and not read; none:
  /// unknown. The last byte can't have been sent while more remain than sockets hold: no effect then.
  void on_unread_bytes(double now_ms, std::optional<std::uint64_t> remaining_bytes = std::nullopt);

  /// Everything that the client has sent is read. Returns the duration of the delay that ends, in ms.
  double on_caught_up(double now_ms);

  bool is_delayed() const { return delayed_since_ms_.has_value(); }

  /// The earliest time at which the bytes read at `now_ms` may have been sent.
  double sent_at_ms(double now_ms) const { return delayed_since_ms_.value_or(now_ms); }

 private:
  std::optional<double> delayed_since_ms_;
};

} // namespace fernward::body_buffers
