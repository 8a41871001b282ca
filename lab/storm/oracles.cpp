#include "lab/storm/oracles.h"

#include <algorithm>
#include <cmath>
#include <cstdarg>
#include <cstdio>
#include <limits>
#include <set>

#include "lab/stats/format_text.h"
#include "lab/storm/draw.h"

namespace fernward::lab::storm {

using namespace fernward::model;

namespace {

// Bounds of the oracles.
constexpr double kRecoveredShare = 0.98;      // metastable: share of the fault-free service
constexpr double kMinFaultFreeService = 0.95; // a fleet that serves less without faults is too small to judge
constexpr double kRecoveryWindowMs = 6000;    // metastable: service is judged over windows of this length
constexpr double kMaxNodeUtilization = 0.7;   // of the nodes' capacity: beyond it some loss is expected
constexpr double kMaxOriginUtilization = 0.7; // the same for the origin
constexpr double kChanceDeviations = 4;       // standard deviations allowed for chance
constexpr double kUsedLoadMultipleShare = 0.8; // share of origin_load_multiple that routers use
constexpr double kMaxServiceLoss = 0.03;       // by which many routers may serve less than four
// starves: length of the windows in which the service of a group is compared with that of the others.
constexpr double kStarvationWindowMs = 4000;
constexpr std::uint32_t kMinStarvationRequests = 40; // requests in the window, for a judgement
constexpr double kCapacityShortage = 0.75; // if the others' service is below this, capacity is short for all
// parts: sum of shared parts / sum of limits; above 1, as routers act on updates of different age.
constexpr double kMaxSharedPartRatio = 1.5;
// living: allowed error of a count of living routers, as a share of them; at least one is allowed.
constexpr double kLivingCountTolerance = 0.1;
constexpr double kFactLifetimeMs = 12000; // time after which a fact received by gossip has expired
// attempts: at caches, on average; retries and hedged requests are a minority.
constexpr double kMaxAttemptsPerTry = 2.2;
constexpr double kMaxConnectionsPerRequest = 2.5; // x 0.4: one new connection for each accepted try

Verdict unjudged(std::string reason) { return {false, 0, std::move(reason)}; }

// One violation of the rule breaks the oracle; the distance grows with the logarithm of their number.
template <Rule rule>
Verdict judge_rule(const Evidence& evidence) {
  const RuleResult& result = evidence.findings.rules[static_cast<std::size_t>(rule)];
  if (!result.enabled) return unjudged("disabled in the scenario");
  if (result.violation_count == 0) return {};
  return {true, 1 + std::log2(static_cast<double>(result.violation_count)),
          format_text(
              "%llu violations; first at %.0f ms: ", static_cast<unsigned long long>(result.violation_count),
              result.first_violations.front().at_ms) +
              result.first_violations.front().description};
}

Verdict judge_ends(const Evidence& evidence) {
  if (!evidence.observed.ended_early) return {};
  return {true, 2,
          format_text("stopped at %.0f ms: more events or time than the run can require",
                      evidence.observed.ended_early_at)};
}

// Allowance for chance in the service of a window where `service` is expected. The number of served requests
// is taken to be binomially distributed.
double chance_allowance(const ServiceCounts& counts, double service) {
  if (counts.requests == 0) return 1;
  const double probability = std::clamp(service, 0.02, 0.98);
  // Losses come in bursts, and classes have different priority weights. Both increase the variance, so
  // only a quarter of the requests count.
  return kChanceDeviations * std::sqrt(probability * (1 - probability) / (0.25 * counts.requests));
}

double fault_free_fetches_per_s(const Evidence& evidence) {
  const WorkCounts& work = evidence.fault_free->work;
  const double write_surplus = static_cast<double>(work.writes) * (evidence.spec.origin.write_multiple - 1);
  return (static_cast<double>(work.origin_attempts) + std::max(0.0, write_surplus)) * 1000 /
         evidence.spec.duration_ms;
}

Verdict judge_metastable(const Evidence& evidence) {
  if (!evidence.fault_free) return unjudged("no fault-free reference run");
  if (evidence.observed.ended_early) return unjudged("the run was ended");
  const double last_end_ms = last_fault_end_ms(evidence.spec);
  const double fault_free_service =
      sum_between(evidence.fault_free->overall, last_end_ms, evidence.spec.duration_ms).service_share();
  if (fault_free_service < kMinFaultFreeService)
    return unjudged(format_text("only %.1f%% service without faults", 100 * fault_free_service));
  const double utilization = utilization_after_faults(evidence.spec, evidence.plan);
  if (utilization > kMaxNodeUtilization)
    return unjudged(format_text("offered work is %.0f%% of the nodes' capacity", 100 * utilization));
  const double refill_time_ms =
      refill_ms(evidence.spec, lost_contents_share(evidence.plan), fault_free_fetches_per_s(evidence));
  const double from_ms = last_end_ms + settle_ms(evidence.spec) + refill_time_ms;
  if (!(from_ms + kRecoveryWindowMs <= evidence.spec.duration_ms))
    return unjudged("caches can't be refilled before the run ends");
  Verdict worst;
  for (double at_ms = std::ceil(from_ms / kStepMs) * kStepMs;
       at_ms + kRecoveryWindowMs <= evidence.spec.duration_ms; at_ms += kStepMs) {
    const ServiceCounts window = sum_between(evidence.observed.overall, at_ms, at_ms + kRecoveryWindowMs);
    const double min_service =
        kRecoveredShare * fault_free_service - chance_allowance(window, fault_free_service);
    const double distance =
        (fault_free_service - window.service_share()) / std::max(1e-9, fault_free_service - min_service);
    if (window.requests == 0 || distance <= worst.distance) continue;
    worst = {true, distance,
             format_text(
                 "%.1f%% from %.0f ms on, %.0f ms after the last fault; without faults %.1f%%, bound %.1f%%",
                 100 * window.service_share(), at_ms, at_ms - last_end_ms, 100 * fault_free_service,
                 100 * min_service)};
  }
  return worst;
}

Verdict judge_adds_up(const Evidence& evidence) {
  if (!evidence.four_routers) return unjudged("too few routers to compare with four");
  if (evidence.observed.ended_early || evidence.four_routers->ended_early)
    return unjudged("the run was ended");
  const ServiceCounts observed = sum_between(evidence.observed.overall, 0, evidence.spec.duration_ms),
                      four_routers =
                          sum_between(evidence.four_routers->overall, 0, evidence.spec.duration_ms);
  const double bound = kMaxServiceLoss + 2 * chance_allowance(observed, four_routers.service_share());
  const double service_loss = four_routers.service_share() - observed.service_share();
  return {true, std::max(0.0, service_loss / bound),
          format_text("%.1f%%, with four routers %.1f%%", 100 * observed.service_share(),
                      100 * four_routers.service_share())};
}

// Whether a fault reduces the zone's service regardless of what routers do.
bool zone_affected(const Evidence& evidence, std::uint32_t zone, double from_ms, double to_ms) {
  for (const TimedEvent& event : evidence.spec.events) {
    const bool affected = std::visit(
        [&](const auto& what) {
          using T = std::decay_t<decltype(what)>;
          const auto overlaps = [&](double until_ms) {
            return event.at_ms < to_ms &&
                   (until_ms > 0 ? until_ms : evidence.spec.duration_ms) + kStarvationWindowMs > from_ms;
          };
          if constexpr (std::is_same_v<T, ZoneOutage>) return what.zone == zone && overlaps(what.until_ms);
          if constexpr (std::is_same_v<T, PartitionZones>) {
            const auto contains_zone = [&](const auto& zones) {
              return std::find(zones.begin(), zones.end(), zone) != zones.end();
            };
            return (contains_zone(what.a) || contains_zone(what.b)) && overlaps(what.until_ms);
          }
          if constexpr (std::is_same_v<T, PartitionNodes>) return overlaps(what.until_ms);
          if constexpr (std::is_same_v<T, RestartRouters>) {
            return overlaps(event.at_ms + what.over_ms + std::max(1000.0, what.down_ms) +
                            evidence.spec.front.failure_detection_ms);
          }
          return false;
        },
        event.what);
    if (affected) return true;
  }
  return false;
}

std::string group_name(const Spec& spec, const RequestGroup& group) {
  if (group.by == RequestGroup::By::Zone) return "zone " + spec.zones[group.index].name;
  if (group.by == RequestGroup::By::Class) return "class " + spec.classes[group.index].name;
  return "tenant " + spec.tenants[group.index].name;
}

// Whether a fault of the origin reduces service between the two times. Writes and misses need the origin,
// so a class of writes fails with it.
bool origin_affected(const Evidence& evidence, double from_ms, double to_ms) {
  return std::any_of(evidence.spec.events.begin(), evidence.spec.events.end(), [&](const TimedEvent& event) {
    const bool affects_origin =
        std::holds_alternative<OriginStall>(event.what) || std::holds_alternative<OriginSlow>(event.what) ||
        std::holds_alternative<OriginFall>(event.what) ||
        std::holds_alternative<PartitionZones>(event.what) || std::holds_alternative<ZoneOutage>(event.what);
    if (!affects_origin) return false;
    const double until_ms = std::visit(
        [&](const auto& what) {
          if constexpr (requires { what.until_ms; })
            return what.until_ms > 0 ? what.until_ms : evidence.spec.duration_ms;
          return event.at_ms + evidence.spec.origin.down_ms + 10000;
        },
        event.what);
    return event.at_ms < to_ms && until_ms + settle_ms(evidence.spec) > from_ms;
  });
}

// Whether the class has the lowest priority weight. Its requests are rejected first when capacity is short.
bool has_lowest_priority(const Spec& spec, std::uint32_t cls) {
  return spec.classes.size() > 1 && std::all_of(spec.classes.begin(), spec.classes.end(), [&](const auto& c) {
           return &c == &spec.classes[cls] || c.priority_weight > spec.classes[cls].priority_weight;
         });
}

Verdict judge_starves(const Evidence& evidence) {
  Verdict worst;
  const auto window_steps = static_cast<std::size_t>(kStarvationWindowMs / kStepMs);
  for (const RequestGroup& group : evidence.observed.groups) {
    ServiceCounts group_window, overall_window;
    for (std::size_t i = 0; i < group.series.size(); ++i) {
      group_window.add(group.series[i]);
      overall_window.add(evidence.observed.overall[i]);
      if (i >= window_steps) {
        group_window = sum_between(group.series, static_cast<double>(i + 1 - window_steps) * kStepMs,
                                   static_cast<double>(i + 1) * kStepMs);
        overall_window =
            sum_between(evidence.observed.overall, static_cast<double>(i + 1 - window_steps) * kStepMs,
                        static_cast<double>(i + 1) * kStepMs);
      }
      const double to_ms = static_cast<double>(i + 1) * kStepMs, from_ms = to_ms - kStarvationWindowMs;
      if (group_window.requests < kMinStarvationRequests || group_window.requests == overall_window.requests)
        continue;
      const double others_service = (static_cast<double>(overall_window.served) - group_window.served) /
                                    (static_cast<double>(overall_window.requests) - group_window.requests);
      const double group_service = static_cast<double>(group_window.served) / group_window.requests;
      if (others_service < 0.5) continue;
      // Broken if the group's service is below a twentieth of the others'.
      const double distance = 0.05 * others_service / std::max(group_service, 0.005);
      if (distance <= worst.distance) continue;
      if (group.by == RequestGroup::By::Zone && zone_affected(evidence, group.index, from_ms, to_ms))
        continue;
      if (group.by == RequestGroup::By::Class && origin_affected(evidence, from_ms, to_ms)) continue;
      if (group.by == RequestGroup::By::Class && others_service < kCapacityShortage &&
          has_lowest_priority(evidence.spec, group.index))
        continue;
      worst = {true, distance,
               group_name(evidence.spec, group) +
                   format_text(" was served %.1f%% from %.0f to %.0f ms, the others %.1f%%",
                               100 * group_service, from_ms, to_ms, 100 * others_service)};
    }
  }
  return worst;
}

Verdict judge_alone(const Evidence& evidence) {
  if (evidence.observed.sole_router_attempts == 0) return {};
  return {true, 1 + std::log2(static_cast<double>(evidence.observed.sole_router_attempts)),
          format_text("%llu attempts; ",
                      static_cast<unsigned long long>(evidence.observed.sole_router_attempts)) +
              evidence.observed.max_stale_description +
              format_text(" at %.0f ms, %.0f ms after all others had withdrawn it",
                          evidence.observed.max_stale_at, evidence.observed.max_stale_ms)};
}

// Whether a router sends false facts at the time `at`, or has sent some that may not have expired yet.
bool false_facts_valid(const Evidence& evidence, double at) {
  return std::any_of(evidence.spec.events.begin(), evidence.spec.events.end(), [&](const TimedEvent& event) {
    const auto* inconsistent_router = std::get_if<InconsistentRouter>(&event.what);
    return inconsistent_router != nullptr && at >= event.at_ms &&
           (inconsistent_router->until_ms <= 0 || at <= inconsistent_router->until_ms + kFactLifetimeMs);
  });
}

Verdict judge_shared_parts(const Evidence& evidence) {
  if (!evidence.spec.routers.sharing.enabled) return unjudged("routers share nothing");
  Verdict worst;
  for (std::size_t i = 0; i < evidence.observed.shared_states.size(); ++i) {
    const SharedState& state = evidence.observed.shared_states[i];
    if (!state.all_have_shared_part || state.limit_sum <= 0 || state.reporting_routers < 2 ||
        false_facts_valid(evidence, state.at))
      continue;
    // Other routers use a limit that was just reduced until the fact expires, so the highest recent sum is
    // the reference.
    double max_limit_sum = state.limit_sum;
    for (std::size_t j = i; j-- > 0 && evidence.observed.shared_states[j].at >= state.at - kFactLifetimeMs;) {
      max_limit_sum = std::max(max_limit_sum, evidence.observed.shared_states[j].limit_sum);
    }
    const double distance = state.shared_part_sum / max_limit_sum / kMaxSharedPartRatio;
    if (distance <= worst.distance) continue;
    worst = {
        true, distance,
        format_text("at %.0f ms the shared parts of %u routers sum to %.1f, their limits to %.1f within a "
                    "fact's lifetime",
                    state.at, state.reporting_routers, state.shared_part_sum, max_limit_sum)};
  }
  return worst;
}

Verdict judge_living_counts(const Evidence& evidence) {
  if (!evidence.spec.routers.sharing.enabled) return unjudged("routers share nothing");
  const double from_ms =
      std::max(last_fault_end_ms(evidence.spec) + settle_ms(evidence.spec), 2 * kFactLifetimeMs);
  Verdict worst;
  for (const SharedState& state : evidence.observed.shared_states) {
    if (state.at < from_ms || state.at > evidence.spec.duration_ms ||
        state.reporting_routers != state.running_routers || false_facts_valid(evidence, state.at))
      continue;
    const double count_error =
        std::max(state.max_living - state.running_routers, state.running_routers - state.min_living);
    const double distance = count_error / (1 + std::max(1.0, kLivingCountTolerance * state.running_routers));
    if (distance <= worst.distance) continue;
    worst = {true, distance,
             format_text("at %.0f ms %u routers run, but are counted as %.0f to %.0f", state.at,
                         state.running_routers, state.min_living, state.max_living)};
  }
  return worst;
}

Verdict judge_attempts(const Evidence& evidence) {
  const WorkCounts& work = evidence.observed.work;
  if (work.accepted_tries < 200) return unjudged("too few tries");
  const double attempts_per_try =
      static_cast<double>(work.cache_attempts) / static_cast<double>(work.accepted_tries);
  return {true, attempts_per_try / kMaxAttemptsPerTry,
          format_text("%.2f attempts at caches per try", attempts_per_try)};
}

Verdict judge_connections(const Evidence& evidence) {
  const WorkCounts& work = evidence.observed.work;
  if (work.accepted_tries < 200) return unjudged("too few tries");
  // Each router needs one connection to each node and a few to the origin, whatever the load. Four to each
  // machine are allowed.
  const double base_connections = 4.0 * static_cast<double>(evidence.plan.routers.size()) *
                                  static_cast<double>(evidence.plan.machines.size());
  const double bound =
      base_connections + kMaxConnectionsPerRequest * 0.4 * static_cast<double>(work.accepted_tries);
  return {true, work.new_connections / bound,
          format_text("%.0f connections for %llu tries", work.new_connections,
                      static_cast<unsigned long long>(work.accepted_tries))};
}

} // namespace

// ---- bounds computed from the model ----

double lost_contents_share(const Plan& plan) {
  std::set<MachineId> lost;
  std::size_t nodes = 0;
  for (const PlannedMachine& m : plan.machines) nodes += m.in_service_at_start && m.id != plan.origin ? 1 : 0;
  for (const Step& s : plan.steps) {
    const auto* node = std::get_if<NodeStep>(&s.what);
    if (node != nullptr && node->what == NodeStep::What::End) lost.insert(node->machine);
  }
  return nodes > 0 ? std::min(1.0, static_cast<double>(lost.size()) / static_cast<double>(nodes)) : 0;
}

double refill_ms(const Spec& spec, double lost_share, double steady_fetches_per_s) {
  if (!spec.origin.enabled || lost_share <= 0) return 0;
  double spare_per_s = kMaxOriginUtilization * spec.origin.capacity_per_s - steady_fetches_per_s;
  // If settings limit fetches to a multiple of the steady rate, the rest of the origin's capacity is
  // unavailable.
  const ResizeSettings& resize = spec.routers.resize;
  if (resize.transition_ms > 0 && resize.origin_load_multiple > 0) {
    spare_per_s = std::min(spare_per_s,
                           (kUsedLoadMultipleShare * resize.origin_load_multiple - 1) * steady_fetches_per_s);
  }
  if (spare_per_s <= 0) return std::numeric_limits<double>::infinity();
  // Bands of key ranks with similar popularity: the number of keys, and the relative rate of each key.
  double popularity_sum = 0;
  std::vector<std::pair<double, double>> bands;
  for (std::uint32_t rank = 1; rank <= spec.keys.count;) {
    const std::uint32_t key_count = std::min(std::max(1u, rank / 8), spec.keys.count - rank + 1);
    const double popularity = std::pow(rank + key_count / 2.0 + spec.keys.offset, -spec.keys.zipf);
    bands.emplace_back(key_count, popularity);
    popularity_sum += key_count * popularity;
    rank += key_count;
  }
  // `effective_s`: the time in which as many keys would have been refilled if each miss were fetched at
  // once. It advances more slowly while the origin can't fetch as fast as keys are missed.
  constexpr double kTimeStepS = 0.1;
  double effective_s = 0;
  for (double elapsed_s = 0; elapsed_s < 120; elapsed_s += kTimeStepS) {
    double misses_per_s = 0;
    for (const auto& [key_count, popularity] : bands) {
      const double rate_per_s = spec.load.rate_per_s * popularity / popularity_sum;
      misses_per_s += lost_share * key_count * rate_per_s * std::exp(-rate_per_s * effective_s);
    }
    if (misses_per_s <= spare_per_s) return elapsed_s * 1000;
    effective_s += kTimeStepS * std::min(1.0, spare_per_s / misses_per_s);
  }
  return std::numeric_limits<double>::infinity();
}

double utilization_after_faults(const Spec& spec, const Plan& plan) {
  std::vector<char> in_service(plan.machines.size());
  for (const PlannedMachine& m : plan.machines) in_service[m.id] = m.in_service_at_start ? 1 : 0;
  for (const Step& s : plan.steps) {
    const auto* node = std::get_if<NodeStep>(&s.what);
    if (node == nullptr) continue;
    using What = NodeStep::What;
    if (node->what == What::End || node->what == What::Silence) in_service[node->machine] = 0;
    if (node->what == What::Start || node->what == What::Return) in_service[node->machine] = 1;
  }
  double capacity = 0, offered_work = 0, shares = 0;
  for (const PlannedMachine& m : plan.machines) {
    if (m.id == plan.origin || m.kind >= spec.kinds.size() || !in_service[m.id]) continue;
    capacity += spec.kinds[m.kind].cores * m.speed * 1000;
  }
  for (const ClassSpec& c : spec.classes) {
    offered_work += c.share * c.work.mean;
    shares += c.share;
  }
  return capacity > 0 ? spec.load.rate_per_s * offered_work / shares / capacity
                      : std::numeric_limits<double>::infinity();
}

// ---- the table ----

const std::vector<Oracle>& oracles() {
  static const std::vector<Oracle> oracle_list = {
      {"one-answer", "exactly one final answer for each request that a router took", Confidence::Certain,
       "counted by request on both sides", &judge_rule<Rule::OneFinalResponse>},
      {"no-lost", "no request without an answer in time", Confidence::Certain,
       "counted by request; requests accepted by a router that died are excluded",
       &judge_rule<Rule::NoLostRequest>},
      {"repeats", "no attempt or rejection beyond what the class allows", Confidence::Certain,
       "each attempt is recorded where it arrives", &judge_rule<Rule::SafeRepeats>},
      {"drains", "no new attempt to a draining or gone node after the grace period", Confidence::Certain,
       "measured from the time at which that router was notified", &judge_rule<Rule::NoTrafficAfterDrain>},
      {"cold-nodes", "no cold node overloaded", Confidence::Statistical,
       "notified routers may together send too much if a few expensive requests coincide",
       &judge_rule<Rule::NoColdOverload>},
      {"genuine", "each served response is the one a node made for the request", Confidence::Certain,
       "every byte is compared", &judge_rule<Rule::GenuineResponses>},
      {"alive", "no router crashes", Confidence::Certain, "observed by the process that started it",
       &judge_rule<Rule::NoRouterCrash>},
      {"accounts", "the lab followed each request to its end", Confidence::Certain,
       "a defect of the lab, not of a router", &judge_rule<Rule::RequestAccounting>},
      {"ends", "a run ends, without more events than it can require", Confidence::Certain,
       "the bound on events is ten times what storms need", &judge_ends},
      {"metastable",
       "after the last fault service recovers in time to 98% of the fault-free figure, and stays there",
       Confidence::Statistical,
       "chance is allowed four deviations, and lost caches the time that the origin needs to refill them",
       &judge_metastable},
      {"adds-up", "many routers serve as well as four would in the same storm, within 3 points",
       Confidence::Statistical, "faults that pick a share of the routers can't pick the same",
       &judge_adds_up},
      {"starves", "no zone, class or tenant is left unserved while the others are served",
       Confidence::Statistical, "classes depend differently on the origin and on nodes", &judge_starves},
      {"alone", "nothing is sent to a node that all other routers withdrew", Confidence::Statistical,
       "an update may still be under way to one router; routers that could not be notified are excluded",
       &judge_alone},
      {"parts",
       "the routers' shared parts of the origin limit sum to at most 1.5 times the sum of their limits",
       Confidence::Statistical, "updates under way differ from those already applied", &judge_shared_parts},
      {"living", "after the faults each router's count of living routers is right within one or a tenth",
       Confidence::Statistical, "lost datagrams may make one router suspect another for a while",
       &judge_living_counts},
      {"attempts", "at most 2.2 attempts at caches per try, over the complete run", Confidence::Statistical,
       "severe storms require more", &judge_attempts},
      {"connections", "new connections stay below one per request, plus those that routers need at the start",
       Confidence::Statistical, "nodes that close early, and broken responses, cost one each",
       &judge_connections},
  };
  return oracle_list;
}

const Oracle* find_oracle(const std::string& name) {
  for (const Oracle& o : oracles()) {
    if (name == o.name) return &o;
  }
  return nullptr;
}

std::vector<Verdict> judge_run(const Evidence& evidence) {
  std::vector<Verdict> verdicts;
  for (const Oracle& o : oracles()) verdicts.push_back(o.judge(evidence));
  return verdicts;
}

} // namespace fernward::lab::storm
