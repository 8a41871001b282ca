// The memory of a run and the events per minute are bounded by the fleet, not by the length of the run.
// Guards against state and timers that faults leave behind. It is a separate program because it replaces
// operator new to count bytes.
#include <malloc.h>

#include <cstdio>
#include <cstdlib>
#include <map>
#include <new>

#include "fleet_specs.h"
#include "lab/virtual/virtual_driver.h"

namespace {
std::size_t live_bytes = 0;
}

void* operator new(std::size_t size) {
  void* block = std::malloc(size);
  if (block == nullptr) throw std::bad_alloc();
  live_bytes += malloc_usable_size(block);
  return block;
}
void* operator new(std::size_t size, const std::nothrow_t&) noexcept {
  void* block = std::malloc(size);
  live_bytes += block == nullptr ? 0 : malloc_usable_size(block);
  return block;
}
void operator delete(void* block) noexcept {
  live_bytes -= block == nullptr ? 0 : malloc_usable_size(block);
  std::free(block);
}
void operator delete(void* block, std::size_t) noexcept { operator delete(block); }
void operator delete(void* block, const std::nothrow_t&) noexcept { operator delete(block); }

namespace {

using namespace fernward::model;

// Three minutes with the same faults every 20 s, so that anything they leave behind accumulates.
Spec spec_with_faults() {
  Spec spec = fernward::lab::test::four_zone_spec(410, 180);
  spec.clients.abandon_share = 0.05;
  spec.clients.mean_max_retries = 2;
  spec.kinds[0].error_rate = 0.02;
  for (double at_ms = 1000; at_ms + 18000 < spec.duration_ms; at_ms += 20000) {
    const NodeSelector two_nodes{{}, {}, {}, {}, 2, 1, true};
    spec.events.push_back({at_ms, "", RestartNodes{two_nodes, 2000}});
    spec.events.push_back({at_ms + 3000, "", RestartRouters{{}, RouterEnd::Kill, 1000, 1, 6000}});
    spec.events.push_back(
        {at_ms + 5000, "", BadResponses{two_nodes, 0.3, at_ms + 9000, BadResponse::NeverCompletes}});
    spec.events.push_back({at_ms + 8000, "", SilentNodes{two_nodes, at_ms + 12000}});
    spec.events.push_back({at_ms + 10000, "", RestartRouters{{}, RouterEnd::Term, 500, 2, 3000}});
    spec.events.push_back({at_ms + 13000, "", ZoneOutage{1, at_ms + 15000, false}});
    spec.events.push_back({at_ms + 15000, "", OriginFall{1000}});
  }
  return spec;
}

} // namespace

int main() {
  struct Minute {
    std::size_t max_live_bytes = 0;
    int progress_calls = 0; // progress is called once per fixed number of events
  };
  std::map<int, Minute> minutes;
  fernward::lab::RunControl control;
  control.progress = [&](double now) {
    Minute& minute = minutes[static_cast<int>(now / 60000)];
    minute.max_live_bytes = live_bytes > minute.max_live_bytes ? live_bytes : minute.max_live_bytes;
    ++minute.progress_calls;
  };
  Sink sink;
  fernward::lab::make_virtual_driver()->run(spec_with_faults(), sink, control);
  for (const auto& [minute_index, usage] : minutes)
    std::printf("minute %d: at most %zu bytes, %d progress calls\n", minute_index, usage.max_live_bytes,
                usage.progress_calls);
  // Timers that start further timers would increase the number of events before they increase memory.
  // The first minute is skipped: it fills the memory that is kept for reuse.
  const Minute second_minute = minutes[1], third_minute = minutes[2];
  const bool bounded = third_minute.progress_calls > 0 &&
                       third_minute.max_live_bytes < second_minute.max_live_bytes * 5 / 4 &&
                       third_minute.progress_calls < second_minute.progress_calls * 23 / 20;
  std::printf("%s\n", bounded ? "bounded" : "memory or events per minute grow with the run");
  return bounded ? 0 : 1;
}
