// The router's part in replacing its process: as the old one, which gives, and as the new one, which takes.
// While both live they are one router: bans go to both, descriptors and memory are shared out, and no
// connection is closed on its client for the change's sake.
//
// The old one: a new process comes to the door, says hello and is welcomed with the listening descriptor, the
// list, the bans and its share. Once it serves, this one stops accepting. Winding down passes on each
// connection as it rests. If the new one ends before that, this one has all again.
#pragma once

#include <functional>
#include <memory>
#include <optional>
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
  std::string path;                       // of the door; empty: nobody can replace this process
  std::string name, listen;               // whom the new one must be
  std::uint64_t places = 0, reserved = 0; // descriptors: for connections, and for all else
  std::uint64_t memory_mb = 0;
};

struct HotRestartParts { // of the router; they outlive it
  event_base* base;
  loop::TimerQueue& deadlines;
  descriptors::DescriptorBudget& account;
  descriptors::RequestBufferBudget& buffers;
  body_buffers::BufferBudget& bytes;
  downstream::Listener& listener;
  upstream::ConnectionPool& pool;
  admin_overrides::EndpointOverrides& bans;
  endpoints::EndpointTable& table;
  std::function<void(const std::string& name)> relist; // a ban has changed
  std::function<bool()> serves;
};

class HotRestartCoordinator {
 public:
  // `from`: what the process before this one gave; it still lives.
  HotRestartCoordinator(HotRestartParts parts, HotRestartOptions options, hot_restart::Inherited* from);
  ~HotRestartCoordinator();
  HotRestartCoordinator(const HotRestartCoordinator&) = delete;
  HotRestartCoordinator& operator=(const HotRestartCoordinator&) = delete;

  void began(); // this process may serve by now: the old one is told
  void asked(const admin_overrides::EndpointOverrides::Known& what); // of this process: the other is told
  bool wind_down();  // true: a new process takes the connections
  bool idle() const; // all that was passed on has left

  bool replaces() const { return before_ != nullptr && !before_->ended(); }
  bool replaced() const { return next_ != nullptr && !next_->ended() && serving_; }

 private:
  void open_door();
  void came(hot_restart::Descriptor socket);
  void from_next(hot_restart::Message message, hot_restart::Descriptor beside);
  void from_before(hot_restart::Message message, hot_restart::Descriptor beside);
  void welcome(const hot_restart::Hello& hello);
  void next_ended(const std::string& why);
  void before_ended(const std::string& why);
  void drop_next();
  void adopt(const admin_overrides::EndpointOverrides::Known& what);
  void take(std::uint64_t places, std::uint64_t memory_mb);
  void give_spare();
  std::uint64_t used() const;

  HotRestartParts parts_;
  HotRestartOptions options_;
  std::uint64_t memory_mb_;                              // this process's
  std::uint64_t had_places_, had_memory_mb_;             // of the whole, what this process was given
  std::uint64_t given_places_ = 0, given_memory_mb_ = 0; // to the next
  std::unique_ptr<hot_restart::Door> door_;
  std::unique_ptr<hot_restart::Channel> before_, next_;
  bool told_ = false, welcomed_ = false, serving_ = false, winding_down_ = false;
  loop::TimerQueue::TimerId patience_ = 0, spare_ = 0, clear_ = 0;
};

} // namespace fernward::router
