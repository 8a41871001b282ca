// Storms: drawing from a seed, coverage of fault pairs, shrinking, runs, and the oracles on planted defects.
#include <doctest/doctest.h>

#include <algorithm>

#include "lab/scenario/read.h"
#include "lab/storm/shrink.h"
#include "lab/storm/storm.h"
#include "lab/storm/storm_report.h"
#include "lab/virtual/virtual_driver.h"

using namespace fernward;
using namespace fernward::lab;
using storm::FaultKind;

namespace {

storm::RunSetup virtual_setup() {
  return {[] { return make_virtual_driver(); }, true};
}

storm::StormLimits small_limits() {
  storm::StormLimits limits;
  limits.max_routers = 8;
  limits.max_nodes = 10;
  limits.max_rate_per_s = 60;
  return limits;
}

const storm::Oracle& oracle(const char* name) { return *storm::find_oracle(name); }

} // namespace

TEST_CASE("storms are valid as files and reproducible from their seed and mostly small") {
  std::uint32_t small = 0, large = 0, single_fault_count = 0;
  constexpr std::uint32_t kDraws = 600;
  for (std::uint64_t seed = 1; seed <= kDraws; ++seed) {
    const model::Spec spec = storm::draw_storm(seed, {});
    if (seed % 8 == 0) {
      const std::string text = scenario_text(spec);
      CHECK(text == scenario_text(storm::draw_storm(seed, {})));
      const Scenario read = read_scenario(text, "storm");
      for (const auto& error : read.errors) FAIL_CHECK("seed ", seed, ": ", error.to_string());
      CHECK(scenario_text(read.spec) == text);
    }
    const std::uint32_t routers = storm::router_count(spec), nodes = storm::node_count(spec);
    CHECK(routers >= 3);
    CHECK(routers <= 300);
    CHECK(nodes >= 6);
    CHECK(nodes <= 200);
    small += routers < 8;
    large += routers >= 200;
    // The last fault ends early enough to observe the recovery, unless routers are not restarted.
    const double last_end_ms = storm::last_fault_end_ms(spec);
    if (last_end_ms < spec.duration_ms) {
      CHECK(last_end_ms + storm::settle_ms(spec) + 4000 <= spec.duration_ms);
    }
    single_fault_count += storm::fault_spans(spec).size() < 2;
  }
  CHECK(small > kDraws / 2);
  CHECK(large >= kDraws / 100);
  CHECK(large < kDraws / 10);
  CHECK(single_fault_count < kDraws / 10);
}

TEST_CASE("drawing prefers pairs of faults that were rarely open together") {
  // Instead of a run, each storm has the records of a first try and of attempts at a cache and at the
  // origin every 50 ms.
  const auto min_pair_count = [](bool use_coverage) {
    storm::Coverage coverage;
    for (std::uint64_t seed = 1; seed <= 1500; ++seed) {
      const model::Spec spec = storm::draw_storm(seed, use_coverage ? coverage : storm::Coverage{});
      storm::FaultStageRecorder recorder(spec, 1);
      for (double at = 0; at < 25000; at += 50) {
        recorder.on(model::TrySent{at, at, 0, 1, 1, 0, 0, true, false, 0, 0});
        model::AttemptArrived arrived;
        arrived.at = at;
        for (arrived.machine = 0; arrived.machine < 2; ++arrived.machine) recorder.on(arrived);
      }
      coverage.add(recorder);
    }
    return coverage.min_storms_of_any_pair();
  };
  const std::uint64_t with_coverage = min_pair_count(true), without_coverage = min_pair_count(false);
  CHECK(with_coverage >= 2 * without_coverage);
  CHECK(with_coverage >= 8);
}

TEST_CASE("a fault pair counts at the stages with a request while both faults were open") {
  model::Spec spec = storm::draw_storm(1, {});
  spec.events = {{1000, "", model::OriginStall{3000}}, {2000, "", model::HotKey{0.2, 4000}}};
  storm::FaultStageRecorder recorder(spec, 7);
  const auto add_arrival = [&](double at, model::MachineId machine) {
    model::AttemptArrived arrived;
    arrived.at = at;
    arrived.machine = machine;
    recorder.on(arrived);
  };
  add_arrival(1500, 0);
  add_arrival(2500, 7);
  add_arrival(3500, 0);
  storm::Coverage coverage;
  coverage.add(recorder);
  CHECK(coverage.storms_with_pair(FaultKind::HotKey, FaultKind::OriginStall) == 1);
  CHECK(coverage.storms_at_stage(FaultKind::OriginStall, FaultKind::HotKey, storm::Stage::Origin) == 1);
  CHECK(coverage.storms_at_stage(FaultKind::OriginStall, FaultKind::HotKey, storm::Stage::Cache) == 0);
  CHECK(coverage.storms_with_pair(FaultKind::HotKey, FaultKind::LostZone) == 0);
  CHECK(coverage.min_storms_of_any_pair() == 0);
}

TEST_CASE("shrinking keeps what the oracle needs and nothing else") {
  std::uint32_t shrunk_count = 0;
  for (std::uint64_t seed = 1; seed <= 400 && shrunk_count < 12; ++seed) {
    const model::Spec spec = storm::draw_storm(seed, {});
    // Broken if nodes are drained in a fleet of at least two routers and three nodes.
    const auto distance_of = [](const model::Spec& s) {
      const bool drained = std::any_of(s.events.begin(), s.events.end(), [](const model::TimedEvent& e) {
        return std::holds_alternative<model::DrainNodes>(e.what);
      });
      return drained && storm::router_count(s) >= 2 && storm::node_count(s) >= 3 ? 1.5 : 0.0;
    };
    if (distance_of(spec) < 1) continue;
    ++shrunk_count;
    const storm::ShrinkResult small = storm::shrink(spec, distance_of);
    CHECK(model::find_spec_errors(small.spec).empty());
    const Scenario read = read_scenario(scenario_text(small.spec), "shrunk");
    for (const auto& error : read.errors) FAIL_CHECK("seed ", seed, ": ", error.to_string());
    CHECK(storm::fault_spans(small.spec).size() == 1);
    CHECK(storm::router_count(small.spec) == 2);
    CHECK(storm::node_count(small.spec) <= 4);
    CHECK(small.spec.classes.size() == 1);
    CHECK(small.runs <= 400);
  }
  CHECK(shrunk_count == 12);
}

TEST_CASE(
    "a campaign does not depend on the number of jobs and a storm file gives the same verdicts in ten runs") {
  storm::Campaign campaign;
  const storm::StormLimits tiny{4, 7, 12};
  campaign.limits = tiny;
  campaign.first_seed = 40;
  campaign.storms = 3;
  const storm::CampaignSummary one_job = storm::execute(virtual_setup(), campaign);
  campaign.jobs = 3;
  const storm::CampaignSummary three_jobs = storm::execute(virtual_setup(), campaign);
  CHECK(one_job.storms == 3);
  CHECK(one_job.requests == three_jobs.requests);
  CHECK(one_job.events == three_jobs.events);
  for (std::size_t i = 0; i < one_job.counts_by_oracle.size(); ++i)
    CHECK(one_job.counts_by_oracle[i].max_distance == three_jobs.counts_by_oracle[i].max_distance);

  const model::Spec spec = storm::draw_storm(41, {}, tiny);
  const std::string text = storm::storm_file_text(spec, {&oracle("drains"), false}, "a note\nof two lines");
  const auto expected = storm::parse_expected_verdict(text);
  REQUIRE(expected);
  CHECK(expected->oracle == &oracle("drains"));
  CHECK_FALSE(expected->broken);
  const Scenario read = read_scenario(text, "storm");
  REQUIRE(read.is_valid());
  const storm::StormOutcome first = storm::execute(virtual_setup(), spec);
  for (int i = 0; i < 10; ++i) {
    const storm::StormOutcome again = storm::execute(virtual_setup(), read.spec);
    CHECK(again.events == first.events);
    for (std::size_t o = 0; o < first.verdicts.size(); ++o) {
      CHECK(again.verdicts[o].distance == first.verdicts[o].distance);
      CHECK(again.verdicts[o].description == first.verdicts[o].description);
    }
  }
}

TEST_CASE("the first lines of a storm file give the expected verdict and invalid ones are rejected") {
  CHECK_FALSE(storm::parse_expected_verdict("title = \"a calm day\"\n"));
  CHECK_FALSE(storm::parse_expected_verdict("# a note\ntitle = \"# oracle: drains\"\n"));
  CHECK_THROWS_AS(storm::parse_expected_verdict("# oracle: luck\n"), std::invalid_argument);
  CHECK_THROWS_AS(storm::parse_expected_verdict("# oracle: drains\n# verdict: perhaps\n"),
                  std::invalid_argument);
}

TEST_CASE("a run that does not end is stopped and breaks the ends oracle") {
  struct EndlessDriver : Driver {
    RunInfo run(const model::Spec&, model::Sink&, const RunControl& control) override {
      RunInfo info;
      while (!control.stop.stop_requested()) control.progress(1234);
      info.stopped = true;
      return info;
    }
  };
  const model::Spec spec = storm::draw_storm(3, {}, small_limits());
  const storm::StormOutcome outcome =
      storm::execute({[] { return std::make_unique<EndlessDriver>(); }, true}, spec);
  CHECK(outcome.broken() == &oracle("ends"));
  CHECK_FALSE(outcome.is_void);
}

TEST_CASE("each planted defect is found by its oracle in a storm that passes without the defect") {
  // The first seed that finds each defect; docs/notes/storms.md lists how many storms were needed.
  const struct {
    PlantedDefect planted;
    const char* found_by;
    std::uint64_t seed;
  } cases[] = {
      {PlantedDefect::IgnoresIncarnations, "cold-nodes", 13},
      {PlantedDefect::WarmUpPerRouter, "cold-nodes", 13},
      {PlantedDefect::IgnoresDraining, "drains", 4},
      {PlantedDefect::NeverReadmits, "metastable", 29},
      {PlantedDefect::UncountedRetry, "repeats", 4},
      {PlantedDefect::RepeatsAllClasses, "repeats", 2},
      {PlantedDefect::LeaksOriginSlots, "metastable", 54},
      {PlantedDefect::NoConnectionReuse, "connections", 3},
      {PlantedDefect::TimerLoop, "ends", 4},
      {PlantedDefect::NoFinalResponse, "no-lost", 33},
      {PlantedDefect::StarvesLastClass, "starves", 23},
      {PlantedDefect::DoublesSharedPart, "parts", 1},
  };
  for (const auto& c : cases) {
    const std::string name = kPlantedDefectNames[static_cast<std::size_t>(c.planted)];
    CAPTURE(name);
    const model::Spec spec = storm::draw_storm(c.seed, {}, small_limits());
    const storm::StormOutcome with_defect =
        storm::execute({[&] { return make_virtual_driver(c.planted); }, true}, spec);
    const storm::Oracle& found_by = oracle(c.found_by);
    INFO(with_defect.verdicts[static_cast<std::size_t>(&found_by - storm::oracles().data())].description);
    CHECK(with_defect.broken(found_by));
    // Storm.FixedSeeds shows that certain oracles accept a correct fleet.
    if (found_by.confidence == storm::Confidence::Statistical) {
      CHECK_FALSE(storm::execute(virtual_setup(), spec).broken(found_by));
    }
  }
}
