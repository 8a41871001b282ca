// A client that uses system calls directly, so that a test can force the order of events.
#pragma once

#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http/parser.h"
#include "loop/net.h"
#include "peers.h"

namespace fernward::tests {

// On return from send(), close() and reset() their effect is in the router's socket, whether or not an event
// loop runs.
class Raw {
 public:
  explicit Raw(int port, const std::string& text = "") : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    where.sin_port = htons(static_cast<std::uint16_t>(port));
    REQUIRE(::connect(fd_, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0);
    loop::set_nodelay(fd_);
    send(text);
  }
  ~Raw() { leave(); }
  Raw(const Raw&) = delete;

  void send(const std::string& text) { // all of it, or as much as the socket buffers accept
    for (std::size_t at = 0; at < text.size();) {
      const auto n = ::send(fd_, text.data() + at, text.size() - at, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n <= 0) return;
      at += static_cast<std::size_t>(n);
    }
  }
  void leave() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  void reset() {
    loop::reset_on_close(fd_);
    leave();
  }
  // Reads what has arrived. The parser keeps an incomplete response.
  void look() {
    char bytes[65536];
    for (;;) {
      const auto n = recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
      if (n <= 0) {
        broken = broken || (n < 0 && !closed);
        closed = true;
        return;
      }
      std::string_view rest(bytes, static_cast<std::size_t>(n));
      told += rest;
      while (!rest.empty()) {
        rest.remove_prefix(parser_.feed(rest));
        if (!parser_.done()) break;
        answers.push_back(parser_.take());
      }
    }
  }
  std::vector<http::Message> answers;
  std::string told;                    // all bytes, unparsed
  bool closed = false, broken = false; // broken: the connection was reset

 private:
  int fd_;
  http::Parser parser_{http::Kind::Response, kMostBody};
};

} // namespace fernward::tests
