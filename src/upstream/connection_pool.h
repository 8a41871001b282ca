// The pool of connections to the upstream endpoints.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "body_buffers/buffer_budget.h"
#include "descriptors/descriptor_budget.h"
#include "endpoints/endpoint_table.h"
#include "figures/router_stats.h"
#include "idle_connections/duplicate_recognition.h"
#include "idle_connections/idle_lifetime_estimator.h"
#include "loop/slot_map.h"
#include "loop/timer_queue.h"
#include "proxy/attempt_callbacks.h"
#include "proxy/upstream_connections.h"
#include "upstream/close_reason.h"
#include "upstream/connection_pool_options.h"
#include "upstream/free_connections.h"
#include "upstream/request_writer.h"
#include "upstream/response_receiver.h"
#include "upstream/upstream_connection.h"

namespace fernward::upstream {

/// Owns the upstream connections, and assigns requests to them. Free connections are the idle ones, and those
/// that are still connecting and whose request was cancelled. An idle connection is reused only when its
/// reuse delay is over, see idle_connections/reuse_delay.h; a request may be assigned to it before and waits.
class ConnectionPool : public proxy::UpstreamConnections, private ConnectionOwner {
 public:
  /// Closes a client connection to free a descriptor. False: no client connection can be closed.
  using EvictClientConnection = std::function<bool()>;

  /// All references must outlive the pool.
  ConnectionPool(event_base* base, loop::TimerQueue& timers, descriptors::DescriptorBudget& descriptors,
                 body_buffers::BufferBudget& buffer_budget, figures::RouterStats& stats,
                 const ConnectionPoolOptions& options, proxy::AttemptCallbacks& attempts,
                 EvictClientConnection evict_client_connection);

  /// Replaces the endpoint table; endpoints that are missing from `endpoints` are removed.
  void update_endpoints(const std::map<fernward::ServerId, endpoints::Endpoint>& endpoints);
  /// Updates one endpoint, at a cost independent of the number of endpoints. Null: the endpoint is removed.
  void update_endpoint(fernward::ServerId id, const endpoints::Endpoint* endpoint);
  /// The endpoint as last updated; null if it is unknown.
  const endpoints::Endpoint* endpoint(fernward::ServerId id) const;

  StartResult start(loop::Handle attempt, fernward::ServerId endpoint, const proxy::ClientRequestPtr& request,
                    double deadline_ms) override;
  ClientPause cancel(loop::Handle attempt) override;
  void resume_reading(loop::Handle attempt) override;
  /// Closes the connection that has been free for the longest time. False: none is free.
  bool evict_oldest_free(CloseReason reason);

  std::size_t connection_count() const { return connections_.size(); }
  std::size_t pooled_endpoints() const { return free_.endpoint_count(); }
  std::uint64_t opened_count() const { return opened_count_; }
  std::uint64_t resets_after_idle() const { return resets_after_idle_; } // on reused connections
  const idle_connections::IdleLifetimeEstimator& idle_lifetimes() const { return idle_lifetimes_; }

 private:
  // Socket callbacks.
  static void on_readable(bufferevent*, void* connection);
  static void on_writable(bufferevent*, void* connection);
  static void on_event(bufferevent*, short events, void* connection);
  void read(UpstreamConnection& connection);
  void on_connected(UpstreamConnection& connection);
  void on_reuse_delay_over(UpstreamConnection& connection);
  void write_request(UpstreamConnection& connection);

  // Callbacks from the writer and the receiver.
  void response_started(const UpstreamConnection& connection) override;
  void body_unneeded(UpstreamConnection& connection) override;
  void response_complete(UpstreamConnection& connection, std::optional<CloseReason> reason) override;
  void disconnected(UpstreamConnection& connection, bool end_of_input) override;
  void fail(UpstreamConnection& connection, fernward::AttemptResult result, CloseReason reason) override;

  // Assignment.
  UpstreamConnection* find_reusable(fernward::ServerId endpoint);
  UpstreamConnection* take_idle(fernward::ServerId endpoint, double now);
  bool is_within_idle_lifetime(UpstreamConnection& connection, double now);
  UpstreamConnection* take_within_reuse_delay(fernward::ServerId endpoint, double now);
  UpstreamConnection* take_connecting(fernward::ServerId endpoint);
  void assign(UpstreamConnection& connection, loop::Handle attempt, const proxy::ClientRequestPtr& request,
              double deadline_ms);
  void await_reuse(UpstreamConnection& connection);
  void reassign(UpstreamConnection& connection, CloseReason reason);
  bool abandon_unless_writable(const UpstreamConnection& connection);
  UpstreamConnection* find_assigned(loop::Handle attempt);
  void complete_attempt(UpstreamConnection& connection, proxy::AttemptCompletion completion);
  bool in_service(fernward::ServerId endpoint) const;
  bool is_scarce(fernward::ServerId endpoint) const;
  bool matches_endpoint_address(const UpstreamConnection& connection) const;
  std::string comparable_body(const UpstreamConnection& connection) const;
  bool is_duplicate_response(const UpstreamConnection& connection) const;
  std::optional<CloseReason> reason_not_to_pool(const UpstreamConnection& connection) const;

  // Opening.
  UpstreamConnection* open_connection(const endpoints::Endpoint& endpoint, StartResult& refusal);
  UpstreamConnection& add_connection(const endpoints::Endpoint& endpoint,
                                     descriptors::DescriptorBudget::Lease descriptor, int fd);
  bool connect(UpstreamConnection& connection, const endpoints::Endpoint& endpoint, StartResult& refusal);
  descriptors::DescriptorBudget::Lease reserve_descriptor();
  int open_socket();

  // Free connections.
  void return_to_pool(UpstreamConnection& connection);
  void return_unused(UpstreamConnection& connection);
  void start_idle_timeout(UpstreamConnection& connection);
  void record_idle_use(const UpstreamConnection& connection, bool reset);

  void close(UpstreamConnection& connection, CloseReason reason);
  void close_free(fernward::ServerId endpoint, CloseReason reason);
  void close_expired_idle(fernward::ServerId endpoint, double now);

  event_base* base_;
  loop::TimerQueue& timers_;
  descriptors::DescriptorBudget& descriptors_;
  ConnectionPoolOptions options_;
  proxy::AttemptCallbacks& attempts_;
  EvictClientConnection evict_client_connection_;
  std::map<fernward::ServerId, endpoints::Endpoint> endpoints_;
  loop::SlotMap<UpstreamConnection> connections_;
  FreeConnections free_;
  std::unordered_map<loop::Handle, loop::Handle> connection_by_attempt_;
  idle_connections::IdleLifetimeEstimator idle_lifetimes_;
  idle_connections::DuplicateRecognition duplicate_recognition_;
  std::uint64_t opened_count_ = 0;
  std::uint64_t resets_after_idle_ = 0;
  loop::IoBuffer io_buffer_;
  RequestWriter writer_;
  ResponseReceiver receiver_;
};

} // namespace fernward::upstream
