// Router processes that use one congested discovery server. No router may send to a node after it was
// notified that the node drains or is gone, or after the time by which it should have been notified. Guards
// against a router that misses updates while discovery is congested, down or moving.
#include <doctest/doctest.h>

#include <algorithm>
#include <set>
#include <string>

#include "lab/check/checker.h"
#include "lab/rig/rig.h"
#include "lab/scenario/read.h"
#include "model/plan.h"

using namespace fernward;

namespace {

constexpr double kSocketsSlackMs = 50;   // as in `fernward-lab run`
constexpr double kLeastServed = 0.9;     // of all requests
constexpr std::size_t kLeastDrained = 8; // per router; nine nodes drain in the scenario

// A checker that also counts the records, to show that the run exercised the rule.
class Observer : public lab::Checker {
 public:
  Observer(const model::Spec& spec, const model::Plan& plan)
      : Checker(spec, plan, kSocketsSlackMs), drained_(plan.routers.size()), heard_(plan.routers.size()) {}

  using Checker::on;
  void on(const model::Told& told) override {
    if (told.state == ServerState::Draining) drained_[told.router].insert(told.machine);
    if (!told.cached && !told.deemed) ++heard_[told.router];
    Checker::on(told);
  }
  void on(const model::Closed& closed) override {
    ++closed_;
    if (closed.end == model::Heard::Served) ++served_;
    Checker::on(closed);
  }
  void on(const model::RouterEvent& event) override {
    if (event.what == model::RouterEvent::What::Started) ++started_;
    Checker::on(event);
  }

  std::size_t least_drained() const { // the smallest number of nodes that any router was notified to drain
    return std::min_element(drained_.begin(), drained_.end(),
                            [](const auto& a, const auto& b) { return a.size() < b.size(); })
        ->size();
  }
  std::size_t least_heard() const { return *std::min_element(heard_.begin(), heard_.end()); }
  std::size_t closed() const { return closed_; }
  std::size_t served() const { return served_; }
  std::size_t started() const { return started_; }

 private:
  std::vector<std::set<model::MachineId>> drained_; // per router
  std::vector<std::size_t> heard_;                  // notifications written to each router
  std::size_t closed_ = 0, served_ = 0, started_ = 0;
};

lab::RigOptions options() {
  lab::RigOptions o;
  o.program = FERNWARD_PROGRAM;
  o.late_p99_ms = o.late_p999_ms = 1e9; // the test machine may be busy
  o.check_memory = false;               // sanitizers use memory of their own
  return o;
}

} // namespace

TEST_CASE(
    "30 routers send nothing to drained nodes while discovery is congested and has an outage and moves") {
  const std::string path = std::string(FERNWARD_SOURCE_DIR) + "/scenarios/crowded-discovery.toml";
  const lab::Scenario scenario = lab::read_scenario_file(path, lab::offer_sockets());
  REQUIRE(scenario.sound());
  const model::Plan plan = model::make_plan(scenario.spec);
  REQUIRE(plan.routers.size() == 30);

  Observer observer(scenario.spec, plan);
  const lab::RunInfo info = lab::make_rig_driver(options())->run(scenario.spec, observer, {});
  CHECK(info.why_void.empty());
  const lab::Findings findings = observer.finish(true);
  const lab::RuleFinding& drains = findings.rules[static_cast<std::size_t>(lab::Rule::Drains)];
  for (const lab::Breach& breach : drains.first) MESSAGE(breach.at_ms << " ms: " << breach.what);
  CHECK(drains.breaches == 0);

  // The run exercised the rule.
  CHECK(static_cast<double>(observer.served()) >= kLeastServed * static_cast<double>(observer.closed()));
  CHECK(observer.closed() > 10000);
  CHECK(observer.least_drained() >= kLeastDrained);
  CHECK(observer.least_heard() > 0);
  CHECK(observer.started() > plan.routers.size());
}
