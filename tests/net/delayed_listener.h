// A server address at which connections are not established until the test allows it.
#pragma once

#include <doctest/doctest.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <vector>

#include "loop/net.h"

namespace fernward::tests {

// A listening address whose connections are not established: its accept queue is full until clear_backlog().
// The kernel of the connecting side then tries again a second later.
struct DelayedListener {
  DelayedListener() : listener_fd(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET;
    socket_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof socket_address;
    REQUIRE(bind(listener_fd, reinterpret_cast<const sockaddr*>(&socket_address), size) == 0);
    REQUIRE(listen(listener_fd, 0) == 0);
    getsockname(listener_fd, reinterpret_cast<sockaddr*>(&socket_address), &size);
    fcntl(listener_fd, F_SETFL, O_NONBLOCK);
    for (int i = 0; i < 2; ++i) {
      backlog_fds.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      [[maybe_unused]] const int connect_result =
          ::connect(backlog_fds.back(), reinterpret_cast<const sockaddr*>(&socket_address), size);
    }
    address = "127.0.0.1:" + std::to_string(ntohs(socket_address.sin_port));
  }
  ~DelayedListener() {
    for (const int fd : backlog_fds) ::close(fd);
    for (const int fd : accepted_fds) ::close(fd);
    ::close(listener_fd);
  }
  void clear_backlog() {
    for (const int fd : backlog_fds) loop::reset_on_close(fd), ::close(fd);
    backlog_fds.clear();
  }
  std::string receive_all() { // reads what has arrived on all connections
    for (int fd; (fd = accept4(listener_fd, nullptr, nullptr, SOCK_NONBLOCK)) >= 0;)
      accepted_fds.push_back(fd);
    char bytes[65536];
    std::string text;
    for (const int fd : accepted_fds) {
      for (ssize_t n; (n = recv(fd, bytes, sizeof bytes, 0)) > 0;)
        text.append(bytes, static_cast<std::size_t>(n));
    }
    return text;
  }
  int listener_fd;
  std::vector<int> backlog_fds, accepted_fds;
  std::string address;
};

} // namespace fernward::tests
