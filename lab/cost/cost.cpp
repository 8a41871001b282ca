#include "lab/cost/cost.h"

#include <array>
#include <stdexcept>

#include "lab/rig/rig.h"

namespace fernward::lab {
namespace {

constexpr model::RouterId kRouter = 0, kRelay = 1;

model::Spec spec_of(const CostOptions& options) {
  model::Spec spec;
  spec.name = "cost";
  spec.seed = options.seed;
  spec.duration_ms = (options.warm_s + options.measured_s) * 1000;
  spec.zones = {{"here", 1}};
  spec.network.same_ms = 0.1;
  spec.network.client_ms = 0.1;
  model::NodeKind kind;
  kind.name = "node";
  kind.handshake_ms = 0;
  spec.kinds.push_back(kind);
  spec.nodes.push_back({"n", 0, 0, options.targets});
  spec.origin.warm_hits = 1;
  spec.routers.groups.push_back({0, 2});
  spec.routers.sockets = 4096; // a connection to each of a thousand targets
  model::ClassSpec read;
  read.name = "read";
  read.work.mean = 1;
  spec.classes.push_back(read);
  spec.keys.count = options.keys;
  spec.keys.zipf = 0;
  spec.keys.size = {model::Shape::Fixed, 1000, 0};
  spec.load.rate_per_s = options.rate_per_s;
  return spec;
}

struct Answers : model::Sink {
  void on(const model::Answered& a) override {
    if (a.heard == model::Heard::Served && a.at >= from && a.at < to && a.router < served.size())
      ++served[a.router];
  }
  double from = 1e18, to = 1e18; // set before the records of that time arrive
  std::array<std::uint64_t, 2> served{};
};

} // namespace

CostResult measure_cost(const CostOptions& options) {
  RigOptions rig;
  rig.program = options.program;
  rig.programs = {{}, {options.relay, true}};
  Answers answers;
  CostResult result;
  std::array<Cost*, 2> costs{&result.router, &result.relay};
  rig.on_second = [&](double now, const std::vector<RouterUse>& uses) {
    const bool begins = answers.from > now && now >= options.warm_s * 1000 - 1;
    const bool ends = !begins && answers.to > now && now >= answers.from + options.measured_s * 1000 - 1500;
    if (!begins && !ends) return;
    (begins ? answers.from : answers.to) = now;
    for (const RouterUse& use : uses) {
      Cost& cost = *costs[use.router == kRouter ? kRouter : kRelay];
      cost.cpu_s = use.cpu_s - cost.cpu_s;
      cost.memory_mb = use.memory_mb;
      cost.descriptors = use.descriptors;
    }
  };
  result.info = make_rig_driver(rig)->run(spec_of(options), answers);
  if (answers.to > 1e17) throw std::runtime_error("the run ended before the measured interval was complete");
  result.router.requests = answers.served[kRouter];
  result.relay.requests = answers.served[kRelay];
  return result;
}

} // namespace fernward::lab
