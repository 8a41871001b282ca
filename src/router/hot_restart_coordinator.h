// Hot restart, seen from one process of the router: as the old one, which grants, and as the new one, which
// inherits. A process may be both. While two live they are one router: overrides go to both, descriptors and
// memory are shared out, and no client connection is closed for the restart's sake.
//
// States of the new process, as the old one sees it (NewProcess):
//
//   None -> Connected       a process connects to `path`; others are refused until its connection has closed
//   Connected -> Granted    its request is answered: listening descriptor, list, overrides, resources
//   Connected -> None       no request in kRequestTimeoutMs, another address, or a message out of turn
//   Granted -> Ready        it accepts connections: this process stops accepting
//   Granted, Ready -> None  its connection has closed. Before shutdown this process takes all back and
//                           accepts again; during shutdown it serves what it still has
//
// begin_shutdown() while Ready: idle connections are passed on, and free descriptors are released every
// kReleasePeriodMs.
//
// The new process: it inherits at construction, tells that it is ready as soon as it may send requests, and
// has all resources once the old one has closed its connection. The old process runs on after Ready, without
// accepting, until begin_shutdown().
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "admin_overrides/endpoint_overrides.h"
#include "body_buffers/buffer_budget.h"
#include "descriptors/descriptor_budget.h"
#include "downstream/listener.h"
#include "endpoints/endpoint_table.h"
#include "hot_restart/link.h"
#include "upstream/connection_pool.h"

namespace fernward::router {

struct HotRestartOptions {
  std::string path; // of the socket for new processes; empty: none can replace this one
  std::string name;
  std::string listen;            // a new process must name the same
  std::uint64_t descriptors = 0; // for connections
  std::uint64_t reserved = 0;    // descriptors for all else
  std::uint64_t memory_mb = 0;
};

struct HotRestartParts { // of the router; they outlive the coordinator
  event_base* base;
  loop::TimerQueue& timers;
  descriptors::DescriptorBudget& descriptors;
  descriptors::RequestBufferBudget& request_buffers;
  body_buffers::BufferBudget& buffer_budget;
  downstream::Listener& listener;
  upstream::ConnectionPool& pool;
  admin_overrides::EndpointOverrides& overrides;
  endpoints::EndpointTable& table;
  std::function<void(const std::string& name)> refresh_endpoint; // its override has changed
  std::function<bool()> ready;                                   // this process may send requests
};

class HotRestartCoordinator {
 public:
  // `inherited`: from the old process, which still lives; null: this process replaces none.
  HotRestartCoordinator(HotRestartParts parts, HotRestartOptions options, hot_restart::Inherited* inherited);
  ~HotRestartCoordinator();
  HotRestartCoordinator(const HotRestartCoordinator&) = delete;
  HotRestartCoordinator& operator=(const HotRestartCoordinator&) = delete;

  // This process may be ready by now: tells the old one, once.
  void on_endpoints_updated();
  // An operator has changed an override here: tells the other process.
  void on_override(const admin_overrides::EndpointOverrides::Override& changed);
  // True: a new process takes over the client connections.
  bool begin_shutdown();
  // All that was passed on has left.
  bool is_flushed() const;

  bool has_old_process() const { return old_process_ != nullptr && !old_process_->is_closed(); }
  bool has_ready_new_process() const { return is_connected() && new_state_ == NewProcess::Ready; }

 private:
  enum class NewProcess { None, Connected, Granted, Ready };

  void listen();
  // Of the old process:
  void on_connect(hot_restart::Descriptor socket);
  void on_new_process_message(hot_restart::Message message);
  void on_new_process_closed(const std::string& fault);
  void grant(const hot_restart::TakeoverRequest& request);
  hot_restart::Resources share_resources(std::uint64_t reserved);
  void on_new_process_ready();
  void disconnect_later();
  void disconnect();
  void pass_connections();
  bool pass_connection(int fd, unsigned requests);
  void release_descriptors();
  bool is_connected() const { return new_process_ != nullptr && !new_process_->is_closed(); }
  bool is_granted() const { return new_state_ == NewProcess::Granted || new_state_ == NewProcess::Ready; }
  // Of the new process:
  void inherit(hot_restart::Inherited& inherited);
  void on_old_process_message(hot_restart::Message message, hot_restart::Descriptor descriptor);
  void on_old_process_closed(const std::string& fault);
  // Of both:
  void adopt(const admin_overrides::EndpointOverrides::Override& changed);
  void add_resources(std::uint64_t descriptors, std::uint64_t memory_mb);
  std::uint64_t used_descriptors() const;

  HotRestartParts parts_;
  HotRestartOptions options_;
  std::uint64_t memory_mb_;             // this process's share
  std::uint64_t inherited_descriptors_; // this process's share of all, from the old one
  std::uint64_t inherited_memory_mb_;
  std::uint64_t granted_descriptors_ = 0; // the new process's share
  std::uint64_t granted_memory_mb_ = 0;
  std::unique_ptr<hot_restart::RestartListener> restart_listener_; // null: no process can replace this one
  std::unique_ptr<hot_restart::ProcessConnection> old_process_;    // null: this process replaces none
  std::unique_ptr<hot_restart::ProcessConnection> new_process_;    // null: none has connected
  NewProcess new_state_ = NewProcess::None;
  bool ready_sent_ = false;
  bool shutting_down_ = false;
  loop::TimerQueue::TimerId request_timer_ = 0;
  loop::TimerQueue::TimerId release_timer_ = 0;
  loop::TimerQueue::TimerId disconnect_timer_ = 0;
};

} // namespace fernward::router
