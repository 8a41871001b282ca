// Watches the endpoint list at one discovery address, over one connection and a second one while the first
// may be broken. discovery/subscription.h decides when to connect, send a request and close.
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
  // Applies the text of a response whose index is `min_index` or later. Throws InvalidEndpointList, or
  // StaleEndpointList for an earlier index; nothing is changed then.
  using OnAnswer = std::function<discovery::Answer(const std::string& text, std::uint64_t at_least)>;

  EndpointWatch(event_base* base, loop::TimerQueue& timers, const std::string& address,
                discovery::Subscription subscription, OnAnswer on_answer);
  ~EndpointWatch();
  EndpointWatch(const EndpointWatch&) = delete;
  EndpointWatch& operator=(const EndpointWatch&) = delete;

  const std::string& address() const { return address_; }
  void poll();    // reads responses that have already been received, without waiting for the event loop
  void refresh(); // requests the current list immediately, in addition to the pending call

 private:
  struct Connection {
    Connection();
    EndpointWatch* watch = nullptr;
    discovery::CallId call = 0;
    loop::BuffereventPtr io;
    http::Parser parser;
    bool connected = false;
    bool asked = false; // a request was sent and its response is incomplete
  };

  static void on_readable(bufferevent*, void* connection);
  static void on_event(bufferevent*, short what, void* connection);
  void read(Connection& connection);
  void handle_event(Connection& connection, short what);
  void poll(discovery::CallId call);
  Connection* find_asked(discovery::CallId call);
  void on_parsed(Connection& connection, bool all);
  void on_answer(Connection& connection, bool reusable);
  discovery::Answer apply(discovery::CallId call, const std::string& text);
  void fail(Connection& connection, const char* code, discovery::Failure failure);
  void run(const std::function<void(discovery::Actions&)>& decide);
  void open(discovery::CallId call, discovery::Actions& actions);
  void ask(const discovery::Ask& ask);
  void note_failure(const char* code);
  void note_answer();

  event_base* base_;
  loop::TimerQueue& timers_;
  std::string address_;
  OnAnswer on_answer_;
  discovery::Subscription subscription_;
  std::map<discovery::CallId, std::unique_ptr<Connection>> connections_;
  std::uint64_t answers_ = 0;
  std::uint32_t stale_in_a_row_ = 0;
  std::uint64_t failures_ = 0; // since the last valid response
  std::string failed_with_;    // the code logged last; used for logging only
  loop::TimerQueue::TimerId tick_timer_ = 0;
};

} // namespace fernward::endpoints
