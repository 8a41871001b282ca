// Keeps the process within its memory limit: measures what is resident, returns freed pages to the system, and
// reports what holds memory.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>

#include "body_buffers/buffer_budget.h"
#include "body_buffers/retained_bodies.h"
#include "descriptors/descriptor_budget.h"
#include "downstream/listener.h"
#include "figures/router_stats.h"
#include "loop/timer_queue.h"
#include "memory_budget/memory_budget.h"

namespace fernward::router {

struct MemoryMonitorParts { // owned by the router; must outlive the monitor
  loop::TimerQueue& timers;
  figures::RouterStats& stats;
  memory_budget::MemoryBudget& budget;
  const descriptors::RequestBufferBudget& request_buffers;
  const body_buffers::BufferBudget& buffer_budget;
  const body_buffers::RetainedBodies& retained_bodies;
  downstream::Listener& listener;
  std::function<void()> resume_responses; // those that wait for memory
};

/// Owned by the router. Without counted allocations (memory::is_counting()) it only reports.
class MemoryMonitor {
 public:
  /// `reserved_bytes`: of the limit, for a new process that starts while this one runs.
  MemoryMonitor(MemoryMonitorParts parts, std::uint64_t limit_mb, std::size_t reserved_bytes);
  MemoryMonitor(const MemoryMonitor&) = delete;
  MemoryMonitor& operator=(const MemoryMonitor&) = delete;

  /// The process's share of the limit has changed.
  void set_limit_mb(std::uint64_t limit_mb);
  /// Private pages and those of the program, in MB, rounded up.
  std::uint64_t resident_mb() const;
  /// Writes the log line "memory" if something has been allocated since the last one.
  void report();

 private:
  void register_gauges();
  void schedule_check(double delay_ms);
  void check();
  void measure(); // updates the budget from what is resident

  MemoryMonitorParts parts_;
  std::uint64_t limit_mb_;
  std::size_t reserved_bytes_;
  std::size_t overhead_bytes_ = 0; // private pages beyond what is allocated
  double released_at_ms_ = 0;      // when pages were last returned to the system
  std::size_t reported_allocated_bytes_ = 0;
};

} // namespace fernward::router
