#include "router/memory_monitor.h"

#include <algorithm>
#include <utility>

#include "log/log.h"
#include "memory/allocations.h"
#include "memory/resident_memory.h"

namespace fernward::router {

using memory::Allocator;
using memory_budget::Purpose;

namespace {

constexpr double kCalmCheckMs = 1000, kPressureCheckMs = 50;
constexpr double kPressureShare = 0.5; // of the budget in use
// What remains is for growth between two checks and for what the system counts late.
constexpr double kMaxShareOfLimit = 0.85;
constexpr double kMinShareOfLimit = 0.25; // for limits not much greater than the program itself
// Freed pages are returned once they exceed this: in calm seldom, as taking them again costs page faults.
constexpr std::size_t kMaxCalmOverheadBytes = 1 << 20;
constexpr double kCalmReleaseIntervalMs = 2000;
constexpr double kMaxPressureOverheadShare = 1.0 / 32; // of the budget

} // namespace

MemoryMonitor::MemoryMonitor(MemoryMonitorParts parts, std::uint64_t limit_mb, std::size_t reserved_bytes)
    : parts_(std::move(parts)), limit_mb_(limit_mb), reserved_bytes_(reserved_bytes) {
  register_gauges();
  if (!memory::is_counting()) return;
  measure();
  schedule_check(kCalmCheckMs);
}

void MemoryMonitor::register_gauges() {
  const auto gauge = [this](const char* name, auto value) {
    parts_.stats.add_gauge(name, [value] { return static_cast<double>(value()); });
  };
  gauge("memory_allocated", [] { return memory::allocated_bytes(); });
  gauge("memory_peak", [] { return memory::peak_allocated_bytes(); });
  gauge("memory_budget", [this] { return parts_.budget.total_bytes(); });
  gauge("memory_objects", [] { return memory::allocated_bytes(Allocator::Objects); });
  gauge("memory_event_buffers", [] { return memory::allocated_bytes(Allocator::EventBuffers); });
  gauge("memory_requests", [this] { return parts_.request_buffers.used_bytes(); });
  gauge("memory_bodies", [this] { return parts_.buffer_budget.held_bytes(); });
  gauge("memory_retained", [this] { return parts_.retained_bodies.memory_bytes(); });
  gauge("memory_private", [] { return memory::resident_memory().private_bytes; });
  gauge("memory_refused_bodies", [this] { return parts_.budget.refusals(Purpose::CompleteBody); });
  gauge("memory_refused_incomplete", [this] { return parts_.budget.refusals(Purpose::IncompleteRequest); });
  gauge("memory_refused_connections", [this] { return parts_.budget.refusals(Purpose::Connection); });
}

void MemoryMonitor::set_limit_mb(std::uint64_t limit_mb) {
  limit_mb_ = limit_mb;
  if (memory::is_counting()) measure();
}

std::uint64_t MemoryMonitor::resident_mb() const {
  const memory::ResidentMemory resident = memory::resident_memory();
  return ((resident.private_bytes + resident.file_bytes) >> 20) + 1;
}

void MemoryMonitor::schedule_check(double delay_ms) {
  parts_.timers.run_at(loop::now_ms() + delay_ms, [this] { check(); });
}

void MemoryMonitor::check() {
  measure();
  const auto pressure_bytes =
      static_cast<std::size_t>(kPressureShare * static_cast<double>(parts_.budget.total_bytes()));
  const bool under_pressure = parts_.budget.used_bytes() > pressure_bytes;
  const auto pressure_overhead_bytes =
      static_cast<std::size_t>(kMaxPressureOverheadShare * static_cast<double>(parts_.budget.total_bytes()));
  const bool may_release = under_pressure || loop::now_ms() - released_at_ms_ >= kCalmReleaseIntervalMs;
  const std::size_t max_overhead_bytes = under_pressure ? pressure_overhead_bytes : kMaxCalmOverheadBytes;
  if (may_release && overhead_bytes_ > max_overhead_bytes) {
    memory::release_unused_pages();
    released_at_ms_ = loop::now_ms();
    measure();
  }
  if (const std::size_t excess_bytes = parts_.budget.excess_bytes(); excess_bytes > 0)
    parts_.listener.close_stalled(excess_bytes);
  parts_.resume_responses();
  schedule_check(under_pressure ? kPressureCheckMs : kCalmCheckMs);
}

void MemoryMonitor::measure() {
  const memory::ResidentMemory resident = memory::resident_memory();
  const std::size_t allocated_bytes = memory::allocated_bytes();
  overhead_bytes_ = resident.private_bytes - std::min(resident.private_bytes, allocated_bytes);
  parts_.budget.set_overhead_bytes(overhead_bytes_);
  const double limit_bytes = static_cast<double>(limit_mb_ << 20);
  const double unavailable_bytes = static_cast<double>(resident.file_bytes + reserved_bytes_);
  parts_.budget.set_total_bytes(static_cast<std::size_t>(
      std::max(kMaxShareOfLimit * limit_bytes - unavailable_bytes, kMinShareOfLimit * limit_bytes)));
}

void MemoryMonitor::report() {
  const std::size_t allocated_bytes = memory::allocated_bytes();
  if (std::exchange(reported_allocated_bytes_, allocated_bytes) == allocated_bytes) return;
  const memory::ResidentMemory resident = memory::resident_memory();
  log::line("memory", {{"allocated", allocated_bytes},
                       {"peak", memory::peak_allocated_bytes()},
                       {"budget", parts_.budget.total_bytes()},
                       {"objects", memory::allocated_bytes(Allocator::Objects)},
                       {"event_buffers", memory::allocated_bytes(Allocator::EventBuffers)},
                       {"requests", parts_.request_buffers.used_bytes()},
                       {"bodies", parts_.buffer_budget.held_bytes()},
                       {"retained", parts_.retained_bodies.memory_bytes()},
                       {"private", resident.private_bytes},
                       {"program", resident.file_bytes},
                       {"refused_bodies", parts_.budget.refusals(Purpose::CompleteBody)},
                       {"refused_incomplete", parts_.budget.refusals(Purpose::IncompleteRequest)},
                       {"refused_connections", parts_.budget.refusals(Purpose::Connection)}});
}

} // namespace fernward::router
