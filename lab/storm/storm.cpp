#include "lab/storm/storm.h"

#include <algorithm>
#include <chrono>
#include <mutex>

#include "lab/check/rule_checker.h"
#include "lab/experiment/run_experiment.h"
#include "lab/experiment/run_parallel.h"

namespace fernward::lab::storm {

using namespace fernward::model;

namespace {

constexpr std::uint64_t kBatchStorms = 64; // storms that are drawn from the same coverage
// Events between two calls of RunControl::progress in virtual time.
constexpr std::uint64_t kProgressInterval = 4096;
constexpr double kMaxOverrunMs = 120000; // no run has work left this long after its last arrival
// Time allowed beyond discovery's own delays for an update to reach a router.
constexpr double kUpdateAllowanceMs = 2000;
constexpr std::uint32_t kMinComparedRouters = 6; // storms with as many routers or more also run with four

// Ten times what storms need: events for each request and its tries, periodic work of each router and
// machine, and connections between them.
std::uint64_t max_events(const Spec& spec, const Plan& plan) {
  double factor = 1;
  for (const RateChange& r : plan.rate_changes) factor *= std::max(1.0, r.factor);
  const double requests = spec.load.rate_per_s * spec.duration_ms / 1000 * factor;
  const double events_per_request = 400 * (2 + spec.clients.mean_max_retries);
  const double periodic_events = 400.0 * static_cast<double>(plan.routers.size() + plan.machines.size()) *
                                 (spec.duration_ms / 1000 + 60);
  const double connection_events =
      200.0 * static_cast<double>(plan.routers.size()) * static_cast<double>(plan.machines.size());
  return static_cast<std::uint64_t>(requests * events_per_request + periodic_events + connection_events) +
         1000000;
}

struct StormRun {
  CheckResult findings;
  Observations observed;
  RunInfo info;
};

// `stages` and `record_sink` may be nullptr.
StormRun run_once(const RunSetup& setup, const Spec& spec, const Plan& plan, FaultStageRecorder* stages,
                  Sink* record_sink, std::stop_token stop) {
  RuleChecker checker(spec, plan, setup.virtual_time ? virtual_time_slack_ms(spec) : kSocketsSlackMs);
  StormWatch watch(
      spec, plan,
      2 * (spec.discovery.update_period_ms + spec.discovery.delivery_spread_ms) + kUpdateAllowanceMs);
  std::vector<Sink*> sinks = {&checker, &watch};
  if (stages != nullptr) sinks.push_back(stages);
  if (record_sink != nullptr) sinks.push_back(record_sink);
  TeeSink tee(sinks);
  std::stop_source stop_source;
  const std::stop_callback stop_callback(stop, [&] { stop_source.request_stop(); });
  const std::uint64_t event_limit = max_events(spec, plan);
  std::uint64_t progress_calls = 0;
  double ended_early_at = -1;
  RunControl control;
  control.stop = stop_source.get_token();
  control.progress = [&](double now) {
    const bool too_many_events = setup.virtual_time && progress_calls++ * kProgressInterval > event_limit;
    if (ended_early_at >= 0 || (!too_many_events && now < spec.duration_ms + kMaxOverrunMs)) return;
    ended_early_at = now;
    stop_source.request_stop();
  };
  StormRun result;
  result.info = setup.make_driver()->run(spec, tee, control);
  result.findings = checker.finish(!result.info.stopped);
  result.observed = watch.take();
  result.observed.ended_early = ended_early_at >= 0;
  result.observed.ended_early_at = ended_early_at;
  return result;
}

} // namespace

std::uint32_t router_count(const Spec& spec) {
  std::uint32_t count = 0;
  for (const RouterGroup& g : spec.routers.groups) count += g.count;
  return count;
}

std::uint32_t node_count(const Spec& spec) {
  std::uint32_t count = 0;
  for (const NodeGroup& g : spec.nodes) count += g.count;
  return count;
}

Spec with_four_routers(const Spec& spec) {
  Spec four = spec;
  auto& groups = four.routers.groups;
  const std::uint32_t total_routers = router_count(spec);
  std::uint32_t assigned = 0;
  for (std::size_t g = 0; g < groups.size(); ++g) {
    groups[g].count = std::min(groups[g].count, std::uint32_t{1});
    assigned += groups[g].count;
  }
  for (std::size_t g = 0; assigned < std::min(4u, total_routers); g = (g + 1) % groups.size()) {
    if (groups[g].count >= spec.routers.groups[g].count) continue;
    ++groups[g].count;
    ++assigned;
  }
  // A rolling reload takes as long as before.
  for (TimedEvent& e : four.events) {
    if (auto* move = std::get_if<DiscoveryMove>(&e.what))
      move->reload_after_ms *= total_routers / static_cast<double>(assigned);
    if (auto* restart = std::get_if<RestartRouters>(&e.what)) restart->batch = std::min(restart->batch, 1u);
  }
  return four;
}

bool StormOutcome::broken(const Oracle& oracle) const {
  return verdicts[static_cast<std::size_t>(&oracle - oracles().data())].broken();
}

const Oracle* StormOutcome::broken() const {
  const Oracle* worst = nullptr;
  double distance = 0;
  for (std::size_t i = 0; i < verdicts.size(); ++i) {
    if (!verdicts[i].broken()) continue;
    const Oracle& o = oracles()[i];
    const bool more_certain = worst != nullptr && o.confidence < worst->confidence;
    if (worst != nullptr && !more_certain &&
        (o.confidence > worst->confidence || verdicts[i].distance <= distance))
      continue;
    worst = &o;
    distance = verdicts[i].distance;
  }
  return worst;
}

StormOutcome execute(const RunSetup& setup, const Spec& spec, std::stop_token stop) {
  const auto started_at = std::chrono::steady_clock::now();
  const Plan plan = make_plan(spec);
  StormOutcome outcome{{}, FaultStageRecorder(spec, plan.origin), {}, {}, 0, {}, 0, 0, 0, 0, false, {}};
  StormRun own_run = run_once(setup, spec, plan, &outcome.stages, setup.record_sink, stop);
  Evidence evidence{spec, plan, std::move(own_run.findings), std::move(own_run.observed), {}, {}};
  outcome.events = own_run.info.simulated_events;
  outcome.duration_ms = own_run.info.scenario_elapsed_ms;
  outcome.send_delay_p99_ms = own_run.info.send_lateness_ms.p99;
  outcome.is_void = own_run.info.is_void || (own_run.info.stopped && !evidence.observed.ended_early);
  if (own_run.info.is_void)
    outcome.void_reason = own_run.info.void_reasons.empty() ? "void" : own_run.info.void_reasons.front();
  outcome.overall = sum_between(evidence.observed.overall, 0, spec.duration_ms);
  if (!outcome.is_void && !evidence.observed.ended_early) {
    const RunSetup reference_setup =
        setup.make_reference_driver ? RunSetup{setup.make_reference_driver, true, {}, nullptr} : setup;
    Spec fault_free_spec = spec;
    fault_free_spec.events.clear();
    StormRun reference_run =
        run_once(reference_setup, fault_free_spec, make_plan(fault_free_spec), nullptr, nullptr, stop);
    outcome.events += reference_run.info.simulated_events;
    outcome.fault_free = sum_between(reference_run.observed.overall, 0, spec.duration_ms);
    if (!reference_run.info.stopped && !reference_run.info.is_void)
      evidence.fault_free = std::move(reference_run.observed);
    if (router_count(spec) >= kMinComparedRouters && reference_setup.virtual_time) {
      const Spec four_router_spec = with_four_routers(spec);
      reference_run =
          run_once(reference_setup, four_router_spec, make_plan(four_router_spec), nullptr, nullptr, stop);
      outcome.events += reference_run.info.simulated_events;
      if (!reference_run.info.stopped) evidence.four_routers = std::move(reference_run.observed);
    }
  }
  outcome.verdicts = judge_run(evidence);
  outcome.observed = std::move(evidence.observed);
  outcome.wall_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - started_at).count();
  return outcome;
}

bool CampaignSummary::has_broken(Confidence confidence) const {
  for (std::size_t i = 0; i < counts_by_oracle.size(); ++i) {
    if (storm::oracles()[i].confidence == confidence && counts_by_oracle[i].broken > 0) return true;
  }
  return false;
}

namespace {

void add_outcome(CampaignSummary& summary, std::size_t max_worst_per_oracle, std::uint64_t seed,
                 const Spec& spec, const StormOutcome& outcome) {
  ++summary.storms;
  summary.requests += outcome.overall.requests;
  summary.events += outcome.events;
  summary.simulated_s += outcome.duration_ms / 1000;
  if (outcome.wall_s > summary.max_wall_s) {
    summary.max_wall_s = outcome.wall_s;
    summary.slowest_seed = seed;
  }
  summary.coverage.add(outcome.stages);
  if (outcome.is_void) {
    if (summary.void_runs.size() < max_worst_per_oracle)
      summary.void_runs.push_back(std::to_string(seed) + ": " + outcome.void_reason);
    return;
  }
  for (std::size_t i = 0; i < outcome.verdicts.size(); ++i) {
    const Verdict& verdict = outcome.verdicts[i];
    CampaignSummary::OracleCounts& counts = summary.counts_by_oracle[i];
    counts.judged += verdict.judged;
    counts.max_distance = std::max(counts.max_distance, verdict.distance);
    if (!verdict.broken()) continue;
    if (counts.broken++ == 0) counts.first_broken_seed = seed;
    summary.worst_storms.push_back({seed, i, verdict, spec});
  }
  // Certain oracles are listed before statistical ones.
  const auto ranks_before = [](const BrokenStorm& a, const BrokenStorm& b) {
    const Confidence a_confidence = storm::oracles()[a.oracle_index].confidence,
                     b_confidence = storm::oracles()[b.oracle_index].confidence;
    if (a_confidence != b_confidence) return a_confidence < b_confidence;
    if (a.verdict.distance != b.verdict.distance) return a.verdict.distance > b.verdict.distance;
    return a.seed < b.seed;
  };
  std::sort(summary.worst_storms.begin(), summary.worst_storms.end(), ranks_before);
  // The limit is per oracle, as otherwise an oracle that is often broken would displace the others' storms.
  std::vector<std::size_t> kept_by_oracle(storm::oracles().size());
  std::erase_if(summary.worst_storms, [&](const BrokenStorm& broken_storm) {
    return ++kept_by_oracle[broken_storm.oracle_index] > max_worst_per_oracle;
  });
}

} // namespace

CampaignSummary execute(const RunSetup& setup, const Campaign& campaign, std::stop_token stop) {
  CampaignSummary summary;
  summary.counts_by_oracle.resize(oracles().size());
  for (std::uint64_t started_storms = 0; started_storms < campaign.storms && !stop.stop_requested();) {
    const std::uint64_t batch_size = std::min(kBatchStorms, campaign.storms - started_storms);
    std::vector<Spec> specs(batch_size);
    std::vector<std::optional<StormOutcome>> outcomes(batch_size);
    for (std::uint64_t i = 0; i < batch_size; ++i) {
      specs[i] = draw_storm(campaign.first_seed + started_storms + i, summary.coverage, campaign.limits);
    }
    run_parallel(
        batch_size, campaign.jobs, stop, [&](std::size_t i) { outcomes[i] = execute(setup, specs[i], stop); },
        [](std::size_t) {});
    for (std::uint64_t i = 0; i < batch_size; ++i) {
      if (outcomes[i])
        add_outcome(summary, campaign.max_worst_per_oracle, campaign.first_seed + started_storms + i,
                    specs[i], *outcomes[i]);
    }
    started_storms += batch_size;
    if (campaign.progress) campaign.progress(summary);
    if (campaign.should_stop && campaign.should_stop(summary)) break;
  }
  return summary;
}

} // namespace fernward::lab::storm
