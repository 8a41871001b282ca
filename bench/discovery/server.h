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

#include "discovery/propagation.h"
#include "discovery/registry.h"
#include "http/parser.h"
#include "loop/net.h"
#include "loop/timer_queue.h"

namespace fernward::bench::discovery {

/// Capacity of discovery per second; 0: no limit.
struct Capacity {
  double answers_per_second = 0;
  double bytes_per_second = 0;
};

/// Counters of discovery for one router.
struct RouterCounters {
  std::uint64_t snapshots_answered = 0;
  std::uint64_t long_polls_answered = 0;
  std::uint64_t calls = 0;
  std::uint64_t calls_given_up = 0;      // the router closed the connection before the response
  std::uint64_t closed_without_call = 0; // connections that the router closed after or during a response
  std::uint64_t connections_made = 0;
  std::size_t connections_open = 0;
  std::size_t most_connections_open = 0;
  std::uint64_t bytes_written = 0;
};

/// One service with a listening port for each router, which identifies the calling router.
class Server {
 public:
  Server(event_base* base, loop::TimerQueue& deadlines, Registry& registry, Propagation& propagation,
         std::size_t routers);

  /// The discovery address to configure for this router.
  const std::string& address_for(std::size_t router) const { return ports_[router].address; }

  /// Sets the capacity. Calls are answered in order of arrival; an abandoned call still uses its share of
  /// capacity.
  void set_capacity(Capacity capacity) { capacity_ = capacity; }
  /// Queues responses to all waiting long polls. To be called after each change of the registry.
  void registry_changed();
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
  bool all_routers_wait() const;
  double longest_queueing_ms() const { return longest_queueing_ms_; }

 private:
  using CallId = std::uint64_t;
  using ConnectionId = std::uint64_t;

  struct ListenerFree {
    void operator()(evconnlistener* listener) const { evconnlistener_free(listener); }
  };
  struct Port {
    Server* server = nullptr;
    std::size_t router = 0;
    std::string address;
    std::unique_ptr<evconnlistener, ListenerFree> listener;
    RouterCounters counters;
  };
  struct Connection {
    Server* server = nullptr;
    std::size_t router = 0;
    ConnectionId id = 0;
    loop::BuffereventPtr stream;
    http::Parser parser{http::Kind::Request};
    CallId call = 0; // 0: no call is open
    bool silent = false;
    Index written_index = 0; // index of the response that is being written; 0: none
  };
  struct Call {
    ConnectionId connection = 0;
    std::optional<Index> since; // nullopt: a snapshot is requested
    loop::TimerQueue::TimerId timeout = 0;
  };
  struct QueuedCall {
    CallId call;
    std::optional<Index> since;
    double queued_at_ms;
  };
  struct Answer {
    std::string text;
    Index index;
    double finished_at_ms;
  };

  static void accepted(evconnlistener* listener, evutil_socket_t socket, sockaddr* address, int length,
                       void* port);
  static void readable(bufferevent* stream, void* connection);
  static void written(bufferevent* stream, void* connection);
  static void changed(bufferevent* stream, short what, void* connection);

  Port make_port(std::size_t router);
  void read(Connection& connection);
  void take_call(Connection& connection, const http::Message& request);
  void enqueue(CallId call);
  void work();
  Answer answer_to(const QueuedCall& queued);
  void write_answer(const QueuedCall& queued, const Answer& answer);
  void forget_call(Connection& connection);
  void close(Connection& connection);
  RouterCounters& counters_of(const Connection& connection) { return ports_[connection.router].counters; }

  event_base* base_;
  loop::TimerQueue& deadlines_;
  Registry& registry_;
  Propagation& propagation_;
  std::vector<Port> ports_;
  std::unordered_map<ConnectionId, std::unique_ptr<Connection>> connections_;
  std::unordered_map<CallId, Call> calls_;
  std::map<CallId, ConnectionId> waiting_; // long polls without changes to report, the oldest first
  std::deque<QueuedCall> queue_;           // calls to answer, including those abandoned meanwhile
  std::optional<Answer> in_work_;          // response to the first call of the queue
  Capacity capacity_;
  bool outage_ = false;
  double free_at_ms_ = 0; // when the work on the previous call was done
  loop::TimerQueue::TimerId work_done_ = 0;
  double longest_queueing_ms_ = 0;
  ConnectionId last_connection_ = 0;
  CallId last_call_ = 0;
};

} // namespace fernward::bench::discovery
