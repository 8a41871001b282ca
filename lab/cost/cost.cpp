#include "lab/cost/cost.h"

#include <array>
#include <stdexcept>

#include "lab/rig/rig.h"

namespace fernward::lab {
namespace {

constexpr model::RouterId kRouter = 0, kRelay = 1;

model::Spec make_cost_scenario(const CostOptions& options) {
  model::Spec spec;
  spec.name = "cost";
  spec.seed = options.seed;
  spec.duration_ms = (options.warm_up_s + options.measured_s) * 1000;
  spec.zones = {{"here", 1}};
  spec.network.same_zone_delay_ms = 0.1;
  spec.network.client_delay_ms = 0.1;
  model::NodeKind kind;
  kind.name = "node";
  kind.handshake_work_ms = 0;
  spec.kinds.push_back(kind);
  spec.nodes.push_back({"n", 0, 0, options.target_count});
  spec.origin.initial_hit_ratio = 1;
  spec.routers.groups.push_back({0, 2});
  spec.routers.max_sockets = 4096; // a connection to each of a thousand targets
  model::ClassSpec read;
  read.name = "read";
  read.work.mean = 1;
  spec.classes.push_back(read);
  spec.keys.count = options.key_count;
  spec.keys.zipf = 0;
  spec.keys.size = {model::DistributionShape::Fixed, 1000, 0};
  spec.load.rate_per_s = options.rate_per_s;
  return spec;
}

// Counts the client tries that each program served in the measured interval.
struct ServedCounter : model::Sink {
  void on(const model::TryEnded& ended) override {
    if (ended.outcome == model::TryOutcome::Served && ended.at >= from_ms && ended.at < to_ms &&
        ended.router < served.size())
      ++served[ended.router];
  }
  double from_ms = 1e18, to_ms = 1e18; // set during the run; until then after any record
  std::array<std::uint64_t, 2> served{};
};

} // namespace

CostResult measure_cost(const CostOptions& options) {
  RigOptions rig_options;
  rig_options.program = options.router_program;
  rig_options.programs_by_router = {{}, {options.relay_command_line, true}};
  ServedCounter counter;
  CostResult result;
  std::array<ProgramCost*, 2> costs{&result.router, &result.relay};
  rig_options.on_second = [&](double now, const std::vector<RouterUsage>& usages) {
    const bool begins = counter.from_ms > now && now >= options.warm_up_s * 1000 - 1;
    const bool ends =
        !begins && counter.to_ms > now && now >= counter.from_ms + options.measured_s * 1000 - 1500;
    if (!begins && !ends) return;
    (begins ? counter.from_ms : counter.to_ms) = now;
    for (const RouterUsage& usage : usages) {
      ProgramCost& cost = *costs[usage.router == kRouter ? kRouter : kRelay];
      cost.cpu_s = usage.cpu_s - cost.cpu_s;
      cost.memory_mb = usage.memory_mb;
      cost.descriptors = usage.descriptors;
    }
  };
  result.info = make_rig_driver(rig_options)->run(make_cost_scenario(options), counter);
  if (counter.to_ms > 1e17)
    throw std::runtime_error("the run ended before the measured interval was complete");
  result.router.requests = counter.served[kRouter];
  result.relay.requests = counter.served[kRelay];
  return result;
}

} // namespace fernward::lab
