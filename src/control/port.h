// The second address: who connects sends one line, gets one answer, and the connection ends. Callers have a
// few places of their own that no traffic takes, and their events go before all others where the loop has
// priorities.
//
// A caller that sends nothing, half a line or too much costs one place for a while; when all places are
// taken, the one that has held its place longest is closed.
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
  std::string address;       // IPv4
  std::size_t callers = 10;  // at once
  std::size_t longest = 256; // bytes of a line
  double patience_ms = 2000; // for a line to come
  double linger_ms = 500;    // for the caller to read its answer and close
};

class Port {
 public:
  using Answer = std::function<std::string(const Call&)>; // all lines of the answer, with their ends

  // Throws std::runtime_error when the address can't be listened on.
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
    std::uint64_t order = 0; // of coming
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
  bool accept_failed_ = false; // the last accept failed
};

} // namespace fernward::control
