// A discovery service that a test controls step by step. It records all calls in the order of their arrival.
// It answers a call only when the test calls reply() or reply_part(), with the bytes given there.
#pragma once

#include <doctest/doctest.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "http/parser.h"
#include "loop/net.h"
#include "loop/timer_queue.h"

namespace fernward::tests {

// Runs in the event loop `base`. A call is identified by its position in `calls`.
class ScriptedDiscovery {
 public:
  // One request of the router.
  struct Call {
    std::size_t connection; // number in the order of accepting
    std::string target;
    double received_at_ms;
    bool answered = false;

    bool requests_full_list() const { return target == "/v1/endpoints"; }
    bool requests_changes_since(int index) const {
      return target.find("since=" + std::to_string(index) + "&") != std::string::npos;
    }
    bool has_timeout(int timeout_ms) const {
      return target.ends_with("timeout_ms=" + std::to_string(timeout_ms));
    }
  };

  // Port 0: any free port.
  explicit ScriptedDiscovery(event_base* base, int port = 0) : base_(base), port_(port) {
    listen();
    address = "127.0.0.1:" + std::to_string(port_);
  }
  ~ScriptedDiscovery() { stop_listening(); }
  ScriptedDiscovery(const ScriptedDiscovery&) = delete;
  ScriptedDiscovery& operator=(const ScriptedDiscovery&) = delete;

  // Sends an answer. On return, as much as the socket accepts is in the router's socket, before any event
  // loop runs.
  void reply(std::size_t call, const std::string& bytes) {
    calls.at(call).answered = true;
    reply_part(call, bytes);
  }

  // Sends a part of an answer. The remainder may follow by reply() or never.
  void reply_part(std::size_t call, const std::string& bytes) { send(connection_of(call), bytes); }

  void close(std::size_t call) { close_connection(calls.at(call).connection); }

  void close_connection(std::size_t number) { connections_.at(number)->io.reset(); }

  void reset(std::size_t call) {
    Connection& connection = connection_of(call);
    if (connection.io == nullptr) return;
    loop::reset_on_close(bufferevent_getfd(connection.io.get()));
    connection.io.reset();
  }

  // New connections are refused; open ones stay open.
  void stop_listening() {
    if (listener_ != nullptr) evconnlistener_free(std::exchange(listener_, nullptr));
  }

  // Listens on the same port again.
  void listen() {
    sockaddr_in socket_address{};
    socket_address.sin_family = AF_INET;
    socket_address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socket_address.sin_port = htons(static_cast<std::uint16_t>(port_));
    listener_ = evconnlistener_new_bind(base_, &ScriptedDiscovery::on_accept, this,
                                        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, kBacklog,
                                        reinterpret_cast<sockaddr*>(&socket_address), sizeof socket_address);
    REQUIRE(listener_ != nullptr);
    socklen_t size = sizeof socket_address;
    getsockname(evconnlistener_get_fd(listener_), reinterpret_cast<sockaddr*>(&socket_address), &size);
    port_ = ntohs(socket_address.sin_port);
  }

  // Both sides hold the call's connection open.
  bool is_open(std::size_t call) const { return is_open(*connections_.at(calls.at(call).connection)); }

  std::size_t open_connections() const {
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [](const auto& connection) { return is_open(*connection); }));
  }

  std::size_t connections() const { return connections_.size(); }

  std::size_t full_list_requests() const {
    return static_cast<std::size_t>(std::count_if(
        calls.begin(), calls.end(), [](const Call& call) { return call.requests_full_list(); }));
  }

  // Maximum number of calls received within any period of one second.
  std::size_t max_calls_per_second() const {
    constexpr double kSecondMs = 1000;
    std::size_t most = 0, first = 0;
    for (std::size_t last = 0; last < calls.size(); ++last) {
      while (calls[last].received_at_ms - calls[first].received_at_ms >= kSecondMs) ++first;
      most = std::max(most, last - first + 1);
    }
    return most;
  }

  std::string address;
  std::vector<Call> calls;
  std::size_t max_open_connections = 0;
  std::function<void(std::size_t call)> on_call;             // when a call is complete
  std::function<void(std::size_t connection)> on_connection; // when a connection is accepted

 private:
  static constexpr int kBacklog = 64;

  struct Connection {
    ScriptedDiscovery* discovery;
    std::size_t number;
    loop::BuffereventPtr io; // null when closed
    http::Parser parser{http::MessageKind::Request};
  };

  static bool is_open(const Connection& connection) {
    return connection.io != nullptr && !loop::peer_has_closed(bufferevent_getfd(connection.io.get()));
  }

  static void on_accept(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
    static_cast<ScriptedDiscovery*>(self)->accept(fd);
  }

  void accept(evutil_socket_t fd) {
    evutil_make_socket_nonblocking(fd);
    loop::set_nodelay(fd);
    Connection& connection = *connections_.emplace_back(std::make_unique<Connection>());
    connection.discovery = this;
    connection.number = connections_.size() - 1;
    connection.io = loop::make_bufferevent(base_, fd);
    bufferevent_setcb(
        connection.io.get(),
        [](bufferevent*, void* context) {
          auto* readable = static_cast<Connection*>(context);
          readable->discovery->read(*readable);
        },
        nullptr, [](bufferevent*, short, void* context) { static_cast<Connection*>(context)->io.reset(); },
        &connection);
    bufferevent_enable(connection.io.get(), EV_READ | EV_WRITE);
    max_open_connections = std::max(max_open_connections, open_connections());
    if (on_connection) on_connection(connection.number);
  }

  void read(Connection& connection) {
    while (connection.io != nullptr) {
      loop::consume_input(connection.io.get(),
                          connection.parser.feed(loop::pending_input(connection.io.get())));
      if (!connection.parser.done()) return;
      calls.push_back({connection.number, connection.parser.take_message().target, loop::now_ms()});
      if (on_call) on_call(calls.size() - 1);
    }
  }

  Connection& connection_of(std::size_t call) { return *connections_.at(calls.at(call).connection); }

  static void send(Connection& connection, std::string_view bytes) {
    if (connection.io == nullptr) return;
    if (loop::pending_output(connection.io.get()) == 0) {
      const auto sent = ::send(bufferevent_getfd(connection.io.get()), bytes.data(), bytes.size(),
                               MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent > 0) bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    if (!bytes.empty()) bufferevent_write(connection.io.get(), bytes.data(), bytes.size());
  }

  event_base* base_;
  int port_;
  evconnlistener* listener_ = nullptr;
  std::vector<std::unique_ptr<Connection>> connections_;
};

} // namespace fernward::tests
