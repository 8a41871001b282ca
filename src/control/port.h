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

#include "control/call.h"
#include "loop/net.h"
#include "loop/slot_map.h"
#include "loop/timer_queue.h"

namespace fernward::control {

struct PortOptions {
  std::string address;       // IPv4 address and port
  std::size_t callers = 10;  // open at the same time
  std::size_t longest = 256; // without the line terminator
  double patience_ms = 2000; // to receive a complete line
  double linger_ms = 500;    // for the client to read its response and close
};

class Port {
 public:
  using Answer = std::function<std::string(const Call&)>; // returns the response, each line terminated

  // Throws std::runtime_error if it can't listen on the address.
  Port(event_base* base, loop::TimerQueue& timers, const PortOptions& options, Answer answer);
  ~Port();
  Port(const Port&) = delete;
  Port& operator=(const Port&) = delete;

  int port() const;
  std::size_t callers() const { return callers_.size(); }

 private:
  struct Caller {
    Port* port = nullptr;
    loop::Handle self = 0;
    loop::BuffereventPtr io;
    std::uint64_t order = 0; // in which connections were accepted
    bool answered = false;
    loop::TimerQueue::TimerId timer = 0;
  };
  static void on_acceptable(int listening, short, void* self);
  static void on_readable(bufferevent*, void* context);
  static void on_written(bufferevent*, void* context);
  static void on_event(bufferevent*, short what, void* context);
  void accept(int fd);
  void pause();
  void read(Caller& caller);
  void reply(Caller& caller, const std::string& text);
  void set_timeout(Caller& caller, double ms);
  void evict_oldest();
  void close(Caller& caller);

  event_base* base_;
  loop::TimerQueue& timers_;
  PortOptions options_;
  Answer answer_;
  loop::SlotMap<Caller> callers_;
  std::uint64_t accepted_ = 0;
  int fd_ = -1;
  loop::EventPtr accept_event_;
  loop::TimerQueue::TimerId resume_timer_ = 0;
  bool accept_failed_ = false; // the last accept() failed, and this has been logged
};

} // namespace fernward::control
