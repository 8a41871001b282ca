#include "lab/virtual/virtual.h"

#include <sys/resource.h>

#include <chrono>
#include <ctime>

#include "lab/virtual/world.h"
#include "model/rng.h"

namespace fernward::lab {
namespace {

double thread_cpu_s() {
  timespec at{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
  return static_cast<double>(at.tv_sec) + static_cast<double>(at.tv_nsec) * 1e-9;
}

class VirtualDriver : public Driver {
 public:
  VirtualDriver(Planted planted, std::uint64_t chance) : planted_(planted), chance_(chance) {}
  RunInfo run(const model::Spec& spec, model::Sink& sink, const RunControl& control) override {
    RunInfo info;
    const double cpu = thread_cpu_s();
    const auto begin = std::chrono::steady_clock::now();
    model::Spec drawn = spec;
    if (chance_ > 0) drawn.seed = model::mix(spec.seed, chance_);
    World world(drawn, sink, planted_, spec);
    world.run(control, info);
    info.wall_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - begin).count();
    info.cpu_s = thread_cpu_s() - cpu;
    for (const RouterCost& router : info.routers) info.cpu_s -= router.cpu_s;
    rusage usage{};
    if (getrusage(RUSAGE_SELF, &usage) == 0) {
      info.peak_memory_mb = static_cast<double>(usage.ru_maxrss) / 1024; // of the complete process
    }
    return info;
  }

 private:
  const Planted planted_;
  const std::uint64_t chance_;
};

} // namespace

std::unique_ptr<Driver> make_virtual_driver(Planted planted, std::uint64_t chance) {
  return std::make_unique<VirtualDriver>(planted, chance);
}

} // namespace fernward::lab
