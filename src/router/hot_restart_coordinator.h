// Coordinates a hot restart in one process of the router: as the old process, which grants a takeover, and as
// the new process, which inherits. A process may have both roles. While both processes run they act as one
// router: overrides apply in both, descriptors and memory are split between them, and the restart closes no
// client connection.
//
// States of the new process, as seen by the old one (NewProcessState):
//
//   None -> Connected       a process connects to `socket_path`; others are rejected until it disconnects
//   Connected -> Granted    its request is granted: listening descriptor, endpoint list, overrides, resources
//   Connected -> None       no request within kTakeoverRequestTimeoutMs, another address, an unexpected
//                           message, or its connection is closed
//   Granted -> Ready        it accepts connections: this process stops accepting
//   Granted, Ready -> None  its connection is closed. Before shutdown this process reclaims all resources
//                           and accepts again; during shutdown it serves its remaining connections
//
// begin_shutdown() in state Ready: idle connections are passed to the new process, and free descriptors are
// released to it every kReleasePeriodMs.
//
// The new process inherits at construction, reports that it is ready as soon as it can send requests, and has
// all resources once the old process has closed the connection. After Ready the old process keeps running
// without accepting connections until begin_shutdown().
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "admin_overrides/endpoint_overrides.h"
#include "body_buffers/buffer_budget.h"
#include "descriptors/descriptor_budget.h"
#include "downstream/listener.h"
#include "endpoints/endpoint_table.h"
#include "hot_restart/restart_transport.h"
#include "router/memory_monitor.h"
#include "upstream/connection_pool.h"

namespace fernward::router {

struct HotRestartOptions {
  std::string socket_path; // of the Unix socket for new processes; empty: no process can replace this one
  std::string router_name;
  std::string listen_address;               // a new process must request the same address
  std::uint64_t connection_descriptors = 0; // for client and upstream connections
  std::uint64_t reserved_descriptors = 0;   // descriptors for other purposes
  std::uint64_t memory_mb = 0;
};

struct HotRestartParts { // owned by the router; must outlive the coordinator
  event_base* base;
  loop::TimerQueue& timers;
  descriptors::DescriptorBudget& descriptors;
  descriptors::RequestBufferBudget& request_buffers;
  body_buffers::BufferBudget& buffer_budget;
  MemoryMonitor& memory;
  downstream::Listener& listener;
  upstream::ConnectionPool& pool;
  admin_overrides::EndpointOverrides& overrides;
  endpoints::EndpointTable& table;
  std::function<void(const std::string& name)> refresh_endpoint; // called after a change of its override
  std::function<bool()> is_ready;                                // whether this process can send requests
};

class HotRestartCoordinator {
 public:
  // `inherited`: received from the old process, which is still running; null: this process replaces none.
  HotRestartCoordinator(HotRestartParts parts, HotRestartOptions options,
                        hot_restart::InheritedState* inherited);
  ~HotRestartCoordinator();
  HotRestartCoordinator(const HotRestartCoordinator&) = delete;
  HotRestartCoordinator& operator=(const HotRestartCoordinator&) = delete;

  // Notifies the old process, once, if this process is ready.
  void on_endpoints_updated();
  // Called after an operator has changed an override in this process: notifies the other process.
  void on_override_changed(const admin_overrides::EndpointOverrides::Override& endpoint_override);
  // Returns true if a new process takes over the client connections.
  bool begin_shutdown();
  // Whether all passed connections have been sent.
  bool is_flushed() const;

  bool has_old_process() const { return old_process_ != nullptr && !old_process_->is_closed(); }
  bool has_ready_new_process() const {
    return is_new_process_connected() && new_process_state_ == NewProcessState::Ready;
  }

 private:
  enum class NewProcessState { None, Connected, Granted, Ready };

  void listen();
  // In the old process:
  void on_connect(hot_restart::Descriptor socket);
  void on_new_process_message(hot_restart::Message message);
  void on_new_process_closed(const std::string& error);
  void grant(const hot_restart::TakeoverRequest& request);
  hot_restart::Resources split_with_new_process(std::uint64_t reserved_descriptors);
  void on_new_process_ready();
  void disconnect_new_process_later();
  void disconnect_new_process();
  void pass_connections();
  bool pass_connection(int fd, unsigned request_count);
  void release_descriptors();
  bool is_new_process_connected() const { return new_process_ != nullptr && !new_process_->is_closed(); }
  bool is_takeover_granted() const {
    return new_process_state_ == NewProcessState::Granted || new_process_state_ == NewProcessState::Ready;
  }
  // In the new process:
  void inherit(hot_restart::InheritedState& inherited);
  void on_old_process_message(hot_restart::Message message, hot_restart::Descriptor descriptor);
  void on_old_process_closed(const std::string& error);
  // In both:
  void apply_override(const admin_overrides::EndpointOverrides::Override& endpoint_override);
  void add_resources(std::uint64_t descriptors, std::uint64_t memory_mb);
  std::uint64_t used_descriptors() const;

  HotRestartParts parts_;
  HotRestartOptions options_;
  std::uint64_t memory_mb_;             // limit of this process
  std::uint64_t inherited_descriptors_; // limit of this process, granted by the old one
  std::uint64_t inherited_memory_mb_;
  std::uint64_t granted_descriptors_ = 0; // limit of the new process
  std::uint64_t granted_memory_mb_ = 0;
  std::unique_ptr<hot_restart::RestartListener> restart_listener_; // null: this process can't be replaced
  std::unique_ptr<hot_restart::ProcessConnection> old_process_;    // null: this process replaces none
  std::unique_ptr<hot_restart::ProcessConnection> new_process_;    // null: none has connected
  NewProcessState new_process_state_ = NewProcessState::None;
  bool ready_sent_ = false;
  bool shutting_down_ = false;
  loop::TimerQueue::TimerId takeover_request_timer_ = 0;
  loop::TimerQueue::TimerId release_timer_ = 0;
  loop::TimerQueue::TimerId disconnect_timer_ = 0;
};

} // namespace fernward::router
