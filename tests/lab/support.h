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

class Raw {
 public:
  // Waits up to `wait_ms` for the connection to be established.
  explicit Raw(const sockaddr_in& to, int wait_ms = 5000)
      : fd_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0)) {
    if (connect(fd_, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0) up_ = true;
    if (!up_ && errno == EINPROGRESS && ready(POLLOUT, wait_ms)) {
      socklen_t size = sizeof error_;
      getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error_, &size);
      up_ = error_ == 0;
    }
  }
  ~Raw() { close(fd_); }
  Raw(const Raw&) = delete;
  Raw& operator=(const Raw&) = delete;

  bool up() const { return up_; }
  int error() const { return error_; } // errno of connect(); 0 if connected or timed out
  void send(const std::string& text) {
    [[maybe_unused]] const auto n = ::send(fd_, text.data(), text.size(), MSG_NOSIGNAL);
  }

  enum class End { Open, Closed, Reset };
  // Returns the bytes received within `wait_ms`. Returns earlier when a response is complete or malformed,
  // when the connection ends, or when `is_complete` returns true.
  std::string read(
      int wait_ms, const std::function<bool()>& enough = [] { return false; }) {
    std::string got;
    const double until = loop::now_ms() + wait_ms;
    while (end == End::Open && !enough() && loop::now_ms() < until) {
      if (!ready(POLLIN, static_cast<int>(until - loop::now_ms()) + 1)) continue;
      char buffer[65536];
      const ssize_t n = recv(fd_, buffer, sizeof buffer, 0);
      if (n > 0) {
        got.append(buffer, static_cast<std::size_t>(n));
        parser.feed({buffer, static_cast<std::size_t>(n)});
        if (parser.done() || parser.fault() != http::Fault::None) break;
      } else if (n == 0) {
        end = End::Closed;
      } else if (errno != EAGAIN) {
        end = End::Reset;
      }
    }
    return got;
  }
  // Sends `text` and returns one response, or nothing if it is incomplete after `wait_ms`.
  std::optional<http::Message> ask(const std::string& text, int wait_ms = 5000) {
    send(text);
    read(wait_ms);
    if (!parser.done()) return std::nullopt;
    return parser.take();
  }

  http::Parser parser{http::Kind::Response};
  End end = End::Open;

 private:
  bool ready(short what, int wait_ms) const {
    pollfd one{fd_, what, 0};
    return poll(&one, 1, wait_ms) > 0;
  }
  int fd_, error_ = 0;
  bool up_ = false;
};

inline bool until(const std::function<bool()>& done, double wait_ms = 10000) {
  const double end = loop::now_ms() + wait_ms;
  while (!done()) {
    if (loop::now_ms() > end) return false;
    usleep(2000);
  }
  return true;
}

} // namespace fernward::tests
