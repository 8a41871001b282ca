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
#include "scripted_peers.h"

namespace fernward::tests {

// On return from send(), close() and reset() their effect is in the router's socket, whether or not an event
// loop runs.
class RawClient {
 public:
  explicit RawClient(int port, const std::string& text = "") : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET;
    socket_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socket_address.sin_port = htons(static_cast<std::uint16_t>(port));
    REQUIRE(::connect(fd_, reinterpret_cast<const sockaddr*>(&socket_address), sizeof socket_address) == 0);
    loop::set_nodelay(fd_);
    send(text);
  }
  ~RawClient() { close(); }
  RawClient(const RawClient&) = delete;

  // Sends all of the text, or as much as the socket buffers accept.
  void send(const std::string& text) {
    for (std::size_t at = 0; at < text.size();) {
      const auto n = ::send(fd_, text.data() + at, text.size() - at, MSG_NOSIGNAL | MSG_DONTWAIT);
      sent_completely = n > 0;
      if (n <= 0) return;
      at += static_cast<std::size_t>(n);
    }
  }
  void close() {
    if (fd_ >= 0) ::close(std::exchange(fd_, -1));
  }
  void reset() {
    loop::reset_on_close(fd_);
    close();
  }
  // Reads what has arrived. The parser keeps an incomplete response.
  void receive_available() {
    char bytes[65536];
    for (;;) {
      const auto n = recv(fd_, bytes, sizeof bytes, MSG_DONTWAIT);
      if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
      if (n <= 0) {
        was_reset = was_reset || (n < 0 && !closed);
        closed = true;
        return;
      }
      std::string_view unparsed(bytes, static_cast<std::size_t>(n));
      received_bytes += unparsed;
      while (!unparsed.empty()) {
        unparsed.remove_prefix(parser_.feed(unparsed));
        if (!parser_.done()) break;
        responses.push_back(parser_.take_message());
      }
    }
  }
  bool sent_completely = true; // the last send()
  std::vector<http::Message> responses;
  std::string received_bytes;             // all bytes, unparsed
  bool closed = false, was_reset = false; // was_reset: closed by a reset

 private:
  int fd_;
  http::Parser parser_{http::MessageKind::Response, kMaxBodyBytes};
};

} // namespace fernward::tests
