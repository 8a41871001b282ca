// Hears of endpoints from discovery: one address, one connection while all is well and a second one beside it while the
// first is in doubt. When to open, ask and close is decided by discovery/subscription.h.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "discovery/subscription.h"
#include "http/parser.h"
#include "loop/net.h"
#include "loop/timer_queue.h"

namespace fernward::endpoints {

class EndpointWatch {
 public:
  // Takes an answer's text whose version is `at_least` or later. Throws Damaged, or Stale where the version is an earlier
  // one; nothing is changed then.
  using Take = std::function<discovery::Answer(const std::string& text, std::uint64_t at_least)>;

  EndpointWatch(event_base* base, loop::TimerQueue& deadlines, const std::string& address,
                discovery::Subscription subscription, Take take);
  ~EndpointWatch();
  EndpointWatch(const EndpointWatch&) = delete;
  EndpointWatch& operator=(const EndpointWatch&) = delete;

  const std::string& address() const { return address_; }
  void look();    // takes what discovery has written already, without waiting for the event loop
  void refresh(); // asks at once for what discovery has now, beside the open call

 private:
  struct Connection {
    Connection();
    EndpointWatch* watch = nullptr;
    discovery::CallId call = 0;
    loop::BuffereventPtr io;
    http::Parser parser;
    bool up = false;
    bool asked = false; // an answer is due
  };

  static void readable(bufferevent*, void* connection);
  static void changed(bufferevent*, short what, void* connection);
  void read(Connection& connection);
  void event(Connection& connection, short what);
  void look(discovery::CallId call);
  Connection* asked(discovery::CallId call);
  void parsed(Connection& connection, bool all);
  void answered(Connection& connection, bool reusable);
  discovery::Answer take(discovery::CallId call, const std::string& text);
  void fail(Connection& connection, const char* code, discovery::Failure failure);
  void decide(const std::function<void(discovery::Actions&)>& what_happened);
  void open(discovery::CallId call, discovery::Actions& actions);
  void ask(const discovery::Ask& ask);
  void note_failure(const char* code);
  void note_answer();

  event_base* base_;
  loop::TimerQueue& deadlines_;
  std::string address_;
  Take take_;
  discovery::Subscription subscription_;
  std::map<discovery::CallId, std::unique_ptr<Connection>> connections_;
  std::uint64_t answers_ = 0;
  std::uint32_t stale_in_a_row_ = 0;
  std::uint64_t failures_ = 0; // since the last sound answer
  std::string failed_with_;    // the code that was logged last, for the log only
  loop::TimerQueue::TimerId wake_ = 0;
};

} // namespace fernward::endpoints
