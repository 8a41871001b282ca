#include "lab/virtual/virtual_driver.h"

#include <sys/resource.h>

#include <chrono>
#include <ctime>

#include "lab/virtual/virtual_world.h"
#include "model/rng.h"

namespace fernward::lab {
namespace {

double thread_cpu_s() {
  timespec cpu_time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &cpu_time);
  return static_cast<double>(cpu_time.tv_sec) + static_cast<double>(cpu_time.tv_nsec) * 1e-9;
}

class VirtualDriver : public Driver {
 public:
  VirtualDriver(PlantedDefect planted_defect, std::uint64_t variation)
      : planted_defect_(planted_defect), variation_(variation) {}
  RunInfo run(const model::Spec& spec, model::Sink& sink, const RunControl& control) override {
    RunInfo info;
    const double cpu_start_s = thread_cpu_s();
    const auto started_at = std::chrono::steady_clock::now();
    model::Spec run_spec = spec;
    if (variation_ > 0) run_spec.seed = model::hash_numbers(spec.seed, variation_);
    VirtualWorld world(run_spec, sink, planted_defect_, spec);
    world.run(control, info);
    info.wall_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - started_at).count();
    info.cpu_s = thread_cpu_s() - cpu_start_s;
    for (const RouterResourceUse& router : info.routers) info.cpu_s -= router.cpu_s;
    rusage usage{};
    if (getrusage(RUSAGE_SELF, &usage) == 0) {
      info.peak_memory_mb = static_cast<double>(usage.ru_maxrss) / 1024; // of the complete process
    }
    return info;
  }

 private:
  const PlantedDefect planted_defect_;
  const std::uint64_t variation_;
};

} // namespace

std::unique_ptr<Driver> make_virtual_driver(PlantedDefect planted_defect, std::uint64_t variation) {
  return std::make_unique<VirtualDriver>(planted_defect, variation);
}

} // namespace fernward::lab
