// A raw TCP client for the tests of the lab. Calls block, each up to a timeout.
#pragma once

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <optional>
#include <string>

#include "http/parser.h"
#include "loop/timer_queue.h"

namespace fernward::tests {

// A client connection whose bytes a test writes and reads itself. `parser` has the response received so
// far.
class RawConnection {
 public:
  // Waits up to `wait_ms` for the connection to be established.
  explicit RawConnection(const sockaddr_in& address, int wait_ms = 5000)
      : fd_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    if (connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) connected_ = true;
    if (!connected_ && errno == EINPROGRESS && poll_for(POLLOUT, wait_ms)) {
      socklen_t size = sizeof connect_error_;
      getsockopt(fd_, SOL_SOCKET, SO_ERROR, &connect_error_, &size);
      connected_ = connect_error_ == 0;
    }
  }
  ~RawConnection() { close(fd_); }
  RawConnection(const RawConnection&) = delete;
  RawConnection& operator=(const RawConnection&) = delete;

  bool connected() const { return connected_; }
  int connect_error() const { return connect_error_; } // errno of connect(); 0 if connected or timed out
  void send(const std::string& text) {
    [[maybe_unused]] const auto n = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
  }

  enum class State { Open, Closed, Reset }; // as found by read()
  // Returns the bytes received within `wait_ms`. Returns earlier when a response is complete or malformed,
  // when the connection ends, or when `is_complete` returns true.
  std::string read(
      int wait_ms, const std::function<bool()>& is_complete = [] { return false; }) {
    std::string received;
    const double deadline_ms = loop::now_ms() + wait_ms;
    while (state == State::Open && !is_complete() && loop::now_ms() < deadline_ms) {
      if (!poll_for(POLLIN, static_cast<int>(deadline_ms - loop::now_ms()) + 1)) continue;
      char buffer[65536];
      const ssize_t received_bytes = recv(fd_, buffer, sizeof buffer, 0);
      if (received_bytes > 0) {
        received.append(buffer, static_cast<std::size_t>(received_bytes));
        parser.feed({buffer, static_cast<std::size_t>(received_bytes)});
        if (parser.done() || parser.error() != http::ParseError::None) break;
      } else if (received_bytes == 0) {
        state = State::Closed;
      } else if (errno != EAGAIN) {
        state = State::Reset;
      }
    }
    return received;
  }
  // Sends `text` and returns one response, or nothing if it is incomplete after `wait_ms`.
  std::optional<http::Message> send_request(const std::string& text, int wait_ms = 5000) {
    send(text);
    read(wait_ms);
    if (!parser.done()) return std::nullopt;
    return parser.take_message();
  }

  http::Parser parser{http::MessageKind::Response};
  State state = State::Open;

 private:
  bool poll_for(short events, int wait_ms) const {
    pollfd descriptor{fd_, events, 0};
    return poll(&descriptor, 1, wait_ms) > 0;
  }
  int fd_, connect_error_ = 0;
  bool connected_ = false;
};

// Polls `condition` until it is true. Returns false if it is still false after `wait_ms`.
inline bool wait_until(const std::function<bool()>& condition, double wait_ms = 10000) {
  const double deadline_ms = loop::now_ms() + wait_ms;
  while (!condition()) {
    if (loop::now_ms() > deadline_ms) return false;
    usleep(2000);
  }
  return true;
}

} // namespace fernward::tests
