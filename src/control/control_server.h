// The control port for operators: a client connects, sends one command line, receives one response, and the
// connection is closed. Control connections have reserved descriptors that traffic can't use, and their
// events run before all others if the event loop has priorities.
//
// A client that sends nothing, an incomplete line or too much occupies one connection until its timeout. When
// all connections are in use, the oldest one is closed to make room.
#pragma once

#include <event2/event.h>

#include <cstddef>
#include <functional>
#include <string>

#include "control/control_command.h"
#include "loop/net.h"
#include "loop/slot_map.h"
#include "loop/timer_queue.h"

namespace fernward::control {

struct ControlServerOptions {
  std::string address;              // IPv4 address and port
  std::size_t max_connections = 10; // open at the same time
  std::size_t max_line_bytes = 256; // without the line terminator
  double read_timeout_ms = 2000;    // to receive a complete line
  double linger_timeout_ms = 500;   // for the client to read its response and close
};

class ControlServer {
 public:
  // Returns the response; each of its lines is terminated.
  using CommandHandler = std::function<std::string(const ControlCommand&)>;

  // Throws std::runtime_error if it can't listen on the address.
  ControlServer(event_base* base, loop::TimerQueue& timers, const ControlServerOptions& options,
                CommandHandler handler);
  ~ControlServer();
  ControlServer(const ControlServer&) = delete;
  ControlServer& operator=(const ControlServer&) = delete;

  int port() const;
  std::size_t connection_count() const { return connections_.size(); }

 private:
  struct Connection {
    ControlServer* server = nullptr;
    loop::Handle handle = 0;
    loop::BuffereventPtr io;
    std::uint64_t accept_order = 0; // increases with each accepted connection
    bool replied = false;
    loop::TimerQueue::TimerId timeout_timer = 0;
  };
  static void on_acceptable(int listen_fd, short, void* context);
  static void on_readable(bufferevent*, void* context);
  static void on_written(bufferevent*, void* context);
  static void on_event(bufferevent*, short events, void* context);
  void accept(int fd);
  void pause_accepting();
  void read(Connection& connection);
  void reply(Connection& connection, const std::string& response);
  void set_timeout(Connection& connection, double timeout_ms);
  void evict_oldest();
  void close(Connection& connection);

  event_base* base_;
  loop::TimerQueue& timers_;
  ControlServerOptions options_;
  CommandHandler handler_;
  loop::SlotMap<Connection> connections_;
  std::uint64_t accepted_count_ = 0;
  int listen_fd_ = -1;
  loop::EventPtr accept_event_;
  loop::TimerQueue::TimerId resume_timer_ = 0;
  bool accept_failed_ = false; // the last accept() failed, and this has been logged
};

} // namespace fernward::control
