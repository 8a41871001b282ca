// The memory of a run and the events per minute are bounded by the fleet, not by the length of the run.
// Guards against state and timers that faults leave behind. It is a separate program because it replaces
// operator new to count bytes.
#include <malloc.h>

#include <cstdio>
#include <cstdlib>
#include <map>
#include <new>

#include "fleets.h"
#include "lab/virtual/virtual.h"

namespace {
std::size_t live = 0;
}

void* operator new(std::size_t size) {
  void* block = std::malloc(size);
  if (block == nullptr) throw std::bad_alloc();
  live += malloc_usable_size(block);
  return block;
}
void* operator new(std::size_t size, const std::nothrow_t&) noexcept {
  void* block = std::malloc(size);
  live += block == nullptr ? 0 : malloc_usable_size(block);
  return block;
}
void operator delete(void* block) noexcept {
  live -= block == nullptr ? 0 : malloc_usable_size(block);
  std::free(block);
}
void operator delete(void* block, std::size_t) noexcept { operator delete(block); }
void operator delete(void* block, const std::nothrow_t&) noexcept { operator delete(block); }

namespace {

using namespace fernward::model;

// Three minutes with the same faults every 20 s, so that anything they leave behind accumulates.
Spec troubled() {
  Spec spec = fernward::lab::test::ports(410, 180);
  spec.clients.leave_share = 0.05;
  spec.clients.retries = 2;
  spec.kinds[0].error_rate = 0.02;
  for (double at = 1000; at + 18000 < spec.duration_ms; at += 20000) {
    const NodePick two{{}, {}, {}, {}, 2, 1, true};
    spec.events.push_back({at, "", RestartNodes{two, 2000}});
    spec.events.push_back({at + 3000, "", RestartRouters{{}, RouterEnd::Kill, 1000, 1, 6000}});
    spec.events.push_back({at + 5000, "", BadAnswers{two, 0.3, at + 9000, BadAnswer::NeverEnds}});
    spec.events.push_back({at + 8000, "", SilentNodes{two, at + 12000}});
    spec.events.push_back({at + 10000, "", RestartRouters{{}, RouterEnd::Term, 500, 2, 3000}});
    spec.events.push_back({at + 13000, "", LostZone{1, at + 15000, false}});
    spec.events.push_back({at + 15000, "", OriginFall{1000}});
  }
  return spec;
}

} // namespace

int main() {
  struct Minute {
    std::size_t most = 0; // maximum of live bytes
    int looks = 0;        // progress is called once per fixed number of events
  };
  std::map<int, Minute> minutes;
  fernward::lab::RunControl control;
  control.progress = [&](double now) {
    Minute& minute = minutes[static_cast<int>(now / 60000)];
    minute.most = live > minute.most ? live : minute.most;
    ++minute.looks;
  };
  Sink nothing;
  fernward::lab::make_virtual_driver()->run(troubled(), nothing, control);
  for (const auto& [number, m] : minutes)
    std::printf("minute %d: at most %zu bytes, %d progress calls\n", number, m.most, m.looks);
  // Timers that start further timers would increase the number of events before they increase memory.
  // The first minute is skipped: it fills the memory that is kept for reuse.
  const Minute first = minutes[1], last = minutes[2];
  const bool bounded = last.looks > 0 && last.most < first.most * 5 / 4 && last.looks < first.looks * 23 / 20;
  std::printf("%s\n", bounded ? "bounded" : "memory or events per minute grow with the run");
  return bounded ? 0 : 1;
}
