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
  using OnResponse = std::function<discovery::Answer(const std::string& text, std::uint64_t min_index)>;

  EndpointWatch(event_base* base, loop::TimerQueue& timers, const std::string& address,
                discovery::Subscription subscription, OnResponse on_response);
  ~EndpointWatch();
  EndpointWatch(const EndpointWatch&) = delete;
  EndpointWatch& operator=(const EndpointWatch&) = delete;

  const std::string& address() const { return address_; }
  // Whether discovery has accepted a call and has not answered it, nor failed it.
  bool is_awaiting_response() const;
  void poll();    // reads responses that have already been received, without waiting for the event loop
  void refresh(); // requests the current list immediately, in addition to the pending poll

 private:
  struct Connection {
    Connection();
    EndpointWatch* watch = nullptr;
    discovery::CallId call_id = 0;
    loop::BuffereventPtr io;
    http::Parser parser;
    bool connected = false;
    bool awaiting_response = false; // a request was sent and its response is incomplete
  };

  static void on_readable(bufferevent*, void* context);
  static void on_event(bufferevent*, short events, void* context);
  void read(Connection& connection);
  void handle_event(Connection& connection, short events);
  void poll(discovery::CallId call_id);
  Connection* find_awaiting_response(discovery::CallId call_id);
  void on_parsed(Connection& connection, bool all_input_used);
  void on_response(Connection& connection, bool reusable);
  discovery::Answer apply(discovery::CallId call_id, const std::string& text);
  void fail(Connection& connection, const char* code, discovery::Failure failure);
  void run_actions(const std::function<void(discovery::Actions&)>& collect_actions);
  void open(discovery::CallId call_id, discovery::Actions& actions);
  void send_request(const discovery::Poll& poll_action);
  void record_failure(const char* code);
  void record_response();

  event_base* base_;
  loop::TimerQueue& timers_;
  std::string address_;
  OnResponse on_response_;
  discovery::Subscription subscription_;
  std::map<discovery::CallId, std::unique_ptr<Connection>> connections_;
  std::uint64_t response_count_ = 0;
  std::uint32_t consecutive_stale_responses_ = 0;
  std::uint64_t consecutive_failures_ = 0; // since the last valid response
  std::string last_failure_code_;          // the code logged last; used for logging only
  loop::TimerQueue::TimerId tick_timer_ = 0;
};

} // namespace fernward::endpoints
