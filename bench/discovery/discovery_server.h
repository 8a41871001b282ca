// The emulated discovery service: snapshots and long polls for many routers, with bounded capacity and with
// faults.
#pragma once

#include <event2/listener.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "discovery/endpoint_registry.h"
#include "discovery/propagation_recorder.h"
#include "http/parser.h"
#include "loop/net.h"
#include "loop/timer_queue.h"

namespace fernward::bench::discovery {

/// Capacity of discovery per second; 0: no limit.
struct DiscoveryCapacity {
  double responses_per_second = 0;
  double bytes_per_second = 0;
};

/// Counters of discovery for one router.
struct RouterCounters {
  std::uint64_t snapshots_sent = 0;
  std::uint64_t long_poll_responses = 0;
  std::uint64_t calls_received = 0;
  std::uint64_t calls_abandoned = 0;     // the router closed the connection before the response
  std::uint64_t closed_without_call = 0; // connections that the router closed after or during a response
  std::uint64_t connections_accepted = 0;
  std::size_t connections_open = 0;
  std::size_t max_connections_open = 0;
  std::uint64_t bytes_written = 0;
};

/// One service with a listening port for each router, which identifies the calling router.
class DiscoveryServer {
 public:
  DiscoveryServer(event_base* base, loop::TimerQueue& timers, EndpointRegistry& registry,
                  PropagationRecorder& propagation, std::size_t routers);

  /// The discovery address to configure for this router.
  const std::string& address_for(std::size_t router) const { return ports_[router].address; }

  /// Sets the capacity. Calls are answered in order of arrival; an abandoned call still uses its share of
  /// capacity.
  void set_capacity(DiscoveryCapacity capacity) { capacity_ = capacity; }
  /// Queues responses to all waiting long polls. To be called after each change of the registry.
  void queue_waiting_long_polls();
  /// During an outage connections are accepted and calls are read, but none is answered.
  void begin_outage();
  void end_outage();
  void reset_all_connections();
  /// Makes all currently open long polls silent: they are never answered, and their connections stay open.
  void silence_open_long_polls();

  /// Resets the counters; connections that are open stay counted.
  void clear_counters();
  const RouterCounters& counters(std::size_t router) const { return ports_[router].counters; }
  /// Whether each router has a long poll open.
  bool all_routers_have_long_poll() const;
  double max_queueing_ms() const { return max_queueing_ms_; }

 private:
  using CallId = std::uint64_t;
  using ConnectionId = std::uint64_t;

  struct ListenerFree {
    void operator()(evconnlistener* listener) const { evconnlistener_free(listener); }
  };
  struct RouterPort {
    DiscoveryServer* server = nullptr;
    std::size_t router = 0;
    std::string address;
    std::unique_ptr<evconnlistener, ListenerFree> listener;
    RouterCounters counters;
  };
  struct RouterConnection {
    DiscoveryServer* server = nullptr;
    std::size_t router = 0;
    ConnectionId id = 0;
    loop::BuffereventPtr stream;
    http::Parser parser{http::MessageKind::Request};
    CallId call = 0; // 0: no call is open
    bool silent = false;
    RegistryIndex written_index = 0; // index of the response that is being written; 0: none
  };
  struct OpenCall {
    ConnectionId connection = 0;
    std::optional<RegistryIndex> since; // nullopt: a snapshot is requested
    loop::TimerQueue::TimerId timeout = 0;
  };
  struct QueuedCall {
    CallId call;
    std::optional<RegistryIndex> since;
    double queued_at_ms;
  };
  struct CallResponse {
    std::string http_text;
    RegistryIndex index;
    double finished_at_ms;
  };

  static void on_accepted(evconnlistener* listener, evutil_socket_t socket, sockaddr* address, int length,
                          void* context);
  static void on_readable(bufferevent* stream, void* context);
  static void on_written(bufferevent* stream, void* context);
  static void on_connection_event(bufferevent* stream, short what, void* context);

  RouterPort make_port(std::size_t router);
  void read_calls(RouterConnection& connection);
  void handle_call(RouterConnection& connection, const http::Message& request);
  void enqueue(CallId call);
  void send_finished_responses();
  CallResponse make_response(const QueuedCall& queued);
  void write_response(const QueuedCall& queued, const CallResponse& response);
  void remove_call(RouterConnection& connection);
  void close_connection(RouterConnection& connection);
  RouterCounters& counters_of(const RouterConnection& connection) {
    return ports_[connection.router].counters;
  }

  event_base* base_;
  loop::TimerQueue& timers_;
  EndpointRegistry& registry_;
  PropagationRecorder& propagation_;
  std::vector<RouterPort> ports_;
  std::unordered_map<ConnectionId, std::unique_ptr<RouterConnection>> connections_;
  std::unordered_map<CallId, OpenCall> calls_;
  // Long polls without changes to report, the oldest first.
  std::map<CallId, ConnectionId> waiting_long_polls_;
  std::deque<QueuedCall> queued_calls_;              // calls to answer, including those abandoned meanwhile
  std::optional<CallResponse> response_in_progress_; // response to the first call of the queue
  DiscoveryCapacity capacity_;
  bool in_outage_ = false;
  double capacity_free_at_ms_ = 0; // when the work on the previous call was done
  loop::TimerQueue::TimerId response_timer_ = 0;
  double max_queueing_ms_ = 0;
  ConnectionId last_connection_id_ = 0;
  CallId last_call_id_ = 0;
};

} // namespace fernward::bench::discovery
