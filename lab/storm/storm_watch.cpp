#include "lab/storm/storm_watch.h"

#include <algorithm>
#include <cmath>

namespace fernward::lab::storm {

using namespace fernward::model;

namespace {

template <typename T>
void ensure_size(std::vector<T>& all, std::size_t index) {
  if (all.size() <= index) all.resize(index + 1);
}

} // namespace

ServiceCounts sum_between(const ServiceSeries& series, double from_ms, double to_ms) {
  ServiceCounts total;
  const double first = std::ceil(from_ms / kStepMs);
  for (auto i = static_cast<std::size_t>(std::max(0.0, first)); i < series.size(); ++i) {
    if (static_cast<double>(i) * kStepMs >= to_ms) break;
    total.add(series[i]);
  }
  return total;
}

StormWatch::StormWatch(const Spec& spec, const Plan& plan, double min_withdrawn_ms)
    : spec_(spec),
      plan_(plan),
      min_withdrawn_ms_(min_withdrawn_ms),
      running_(plan.routers.size()),
      partitioned_(plan.routers.size()),
      in_service_(plan.routers.size() * plan.machines.size()),
      in_service_counts_(plan.machines.size()),
      withdrawn_at_(plan.machines.size()),
      reachable_from_(plan.routers.size()) {
  const auto steps = static_cast<std::size_t>(spec.duration_ms / kStepMs) + 1;
  observed_.overall.resize(steps);
  const auto add_groups = [&](RequestGroup::By by, std::size_t count) {
    for (std::uint32_t i = 0; i < count; ++i) observed_.groups.push_back({by, i, ServiceSeries(steps)});
  };
  add_groups(RequestGroup::By::Zone, spec.zones.size());
  add_groups(RequestGroup::By::Class, spec.classes.size());
  add_groups(RequestGroup::By::Tenant, spec.tenants.size());
  for (const TimedEvent& e : spec.events) {
    if (const auto* outage = std::get_if<DiscoveryOutage>(&e.what)) {
      outages_.emplace_back(e.at_ms, outage->until_ms > 0 ? outage->until_ms : spec.duration_ms);
    }
    if (const auto* move = std::get_if<DiscoveryMove>(&e.what)) { // until a router is reloaded
      for (RouterId r = 0; r < plan.routers.size(); ++r) {
        reachable_from_[r] = std::max(reachable_from_[r], e.at_ms + move->reload_after_ms * (r + 1));
      }
    }
  }
}

template <typename Update>
void StormWatch::update_counts(const OpenRequest& request, Update update) {
  update(observed_.overall[request.step]);
  const std::size_t zones = spec_.zones.size(), classes = spec_.classes.size();
  update(observed_.groups[request.zone].series[request.step]);
  update(observed_.groups[zones + request.cls].series[request.step]);
  if (!spec_.tenants.empty()) update(observed_.groups[zones + classes + request.tenant].series[request.step]);
}

void StormWatch::on(const DrawnRequest& record) {
  const auto step = std::min(static_cast<std::uint32_t>(record.at / kStepMs),
                             static_cast<std::uint32_t>(observed_.overall.size() - 1));
  const OpenRequest open{step, record.zone, record.cls, record.tenant, record.over_quota};
  open_requests_[record.request] = open;
  ++observed_.work.requests;
  if (open.over_quota) return;
  update_counts(open, [&](ServiceCounts& counts) {
    counts.offered_weight += record.priority_weight;
    ++counts.requests;
  });
}

void StormWatch::on(const RequestEnded& record) {
  const auto found = open_requests_.find(record.request);
  if (found == open_requests_.end()) return;
  const OpenRequest open = found->second;
  open_requests_.erase(found);
  if (open.over_quota) return;
  update_counts(open, [&](ServiceCounts& counts) {
    counts.served_weight += record.earned_weight;
    counts.served += record.outcome == TryOutcome::Served ? 1 : 0;
  });
}

void StormWatch::on(const TrySent& record) { observed_.work.accepted_tries += record.accepted ? 1 : 0; }

void StormWatch::on(const LoadSample& record) { observed_.work.new_connections += record.new_connections; }

void StormWatch::on(const AttemptArrived& record) {
  ++(record.machine == plan_.origin ? observed_.work.origin_attempts : observed_.work.cache_attempts);
  if (record.write) ++observed_.work.writes;
  if (record.machine >= in_service_counts_.size() || record.router >= running_.size()) return;
  const std::size_t pair_index = std::size_t{record.router} * in_service_counts_.size() + record.machine;
  if (in_service_counts_[record.machine] != 1 || !in_service_[pair_index]) return;
  if (std::count(running_.begin(), running_.end(), 1) < 3) return; // with two routers there is no majority
  const double stale_ms = record.sent_at - withdrawn_at_[record.machine];
  if (stale_ms < min_withdrawn_ms_) return;
  for (RouterId r = 0; r < running_.size(); ++r) { // a router that misses updates may be wrong itself
    if (running_[r] && (partitioned_[r] || missed_updates(r, withdrawn_at_[record.machine], record.sent_at)))
      return;
  }
  ++observed_.sole_router_attempts;
  if (stale_ms <= observed_.max_stale_ms) return;
  observed_.max_stale_ms = stale_ms;
  observed_.max_stale_at = record.at;
  observed_.max_stale_description =
      plan_.routers[record.router].name + " sent to " + plan_.machines[record.machine].name;
}

// Whether the router could not be notified for some time between `from` and `to`.
bool StormWatch::missed_updates(RouterId router, double from, double to) const {
  if (reachable_from_[router] + min_withdrawn_ms_ > from) return true;
  return std::any_of(outages_.begin(), outages_.end(), [&](const auto& outage) {
    return outage.first < to && outage.second + min_withdrawn_ms_ > from;
  });
}

void StormWatch::set_in_service(double now, RouterId router, MachineId machine, bool in_service) {
  char& in_service_flag = in_service_[std::size_t{router} * in_service_counts_.size() + machine];
  if ((in_service_flag != 0) == in_service) return;
  in_service_flag = in_service ? 1 : 0;
  const std::uint32_t previous_count = in_service_counts_[machine];
  in_service_counts_[machine] = in_service ? previous_count + 1 : previous_count - 1;
  // A start counts too: the first router that is notified of it is then the only one that has the node in
  // service, although none has withdrawn it.
  if (in_service || previous_count == 2) withdrawn_at_[machine] = now;
}

void StormWatch::on(const EndpointNotified& record) {
  if (record.router >= running_.size() || record.machine >= in_service_counts_.size()) return;
  set_in_service(record.at, record.router, record.machine, record.state == ServerState::Ready);
}

void StormWatch::on(const SharingSample& record) {
  if (observed_.shared_states.empty() || observed_.shared_states.back().at != record.at) {
    SharedState state;
    state.at = record.at;
    state.running_routers = static_cast<std::uint32_t>(std::count(running_.begin(), running_.end(), 1));
    state.min_living = state.max_living = record.living_routers;
    state.all_have_shared_part = true;
    observed_.shared_states.push_back(state);
  }
  SharedState& state = observed_.shared_states.back();
  ++state.reporting_routers;
  state.min_living = std::min(state.min_living, record.living_routers);
  state.max_living = std::max(state.max_living, record.living_routers);
  state.limit_sum += record.limit;
  state.shared_part_sum += record.shared_part;
  state.all_have_shared_part &= record.shared_part > 0;
}

void StormWatch::on(const RouterEvent& record) {
  if (record.router >= running_.size()) return;
  using What = RouterEvent::What;
  switch (record.what) {
    case What::Started: running_[record.router] = 1; break;
    case What::Killed:
    case What::Ended:
    case What::Crashed:
      running_[record.router] = 0;
      for (MachineId m = 0; m < in_service_counts_.size(); ++m)
        set_in_service(record.at, record.router, m, false);
      break;
    case What::Silent: partitioned_[record.router] = 1; break;
    case What::Returned:
      partitioned_[record.router] = 0;
      reachable_from_[record.router] = std::max(reachable_from_[record.router], record.at);
      break;
    default: break;
  }
}

} // namespace fernward::lab::storm
