// Validation of a Balancer's settings, and their change at runtime. Contains no decisions.
#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <string>

#include "fernward/balancer.h"
#include "policy/balancer.h"

namespace fernward {
namespace {

// Each router gets its share of the attempts that all may have at a cache: an unrealistic router count would
// leave it almost none.
constexpr std::uint32_t kMaxRouters = 65536;

constexpr double kMaxShortestObjectiveMs = 3000; // upper bound, used if no class has a shorter one

bool natural(double value) { return std::isfinite(value) && value >= 0; }
bool share(double value) { return value >= 0 && value <= 1; }

void check(bool valid, const std::string& field) {
  if (!valid) throw std::invalid_argument("settings: value out of range: " + field);
}

} // namespace

void validate(const Settings& settings) {
  check(settings.router_count >= 1 && settings.router_count <= kMaxRouters, "nodes");
  check(!settings.classes.empty(), "classes (at least one is required)");
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    const ClassSettings& class_settings = settings.classes[i];
    const std::string at = "classes[" + std::to_string(i) + "].";
    check(natural(class_settings.latency_objective_ms), at + "aim_ms");
    check(natural(class_settings.client_timeout_ms), at + "give_up_ms");
    check(natural(class_settings.objective_per_work), at + "aim_stretch");
    check(share(class_settings.late_value_share), at + "late_share");
    check(natural(class_settings.priority_weight), at + "worth");
    check(natural(class_settings.idempotency_window_ms), at + "window_ms");
  }
  for (std::size_t i = 0; i < settings.tenants.size(); ++i) {
    const std::string at = "tenants[" + std::to_string(i) + "].";
    check(share(settings.tenants[i].service_share), at + "share");
    check(natural(settings.tenants[i].quota_per_s), at + "quota_per_s");
  }
  check(share(settings.over_quota_weight), "over_share_worth");
  check(settings.max_attempts >= 1, "max_attempts");
  check(share(settings.slow_start_min_capacity), "start_capacity");
  check(natural(settings.max_retry_after_ms), "max_retry_after_ms");
  check(natural(settings.event_interval_ms), "tick_ms");
  check(natural(settings.poll_interval_ms), "ask_every_ms");
  check(natural(settings.slow_start_ms), "warm_after_ms");
  check(natural(settings.overload_failure_ms), "tip_after_ms");
  check(natural(settings.overload_multiple), "fall_multiple");
  check(natural(settings.resize.transition_ms), "resize.settle_ms");
  check(settings.resize.origin_load_multiple == 0 ||
            (natural(settings.resize.origin_load_multiple) && settings.resize.origin_load_multiple >= 1),
        "resize.ledger_multiple");
  check(share(settings.resize.second_replica_share), "resize.second_holder");
}

void Balancer::Impl::apply_classes() {
  admission.priority_values.clear();
  shortest_objective_ms = kMaxShortestObjectiveMs;
  for (const ClassSettings& class_settings : settings.classes) {
    // Two priorities for each class: within and over the tenant's quota.
    admission.priority_values.push_back(class_settings.priority_weight);
    admission.priority_values.push_back(class_settings.priority_weight * settings.over_quota_weight);
    const double objective_ms = class_settings.latency_objective_ms > 0 ? class_settings.latency_objective_ms
                                                                        : class_settings.client_timeout_ms;
    if (objective_ms > 0) shortest_objective_ms = std::min(shortest_objective_ms, objective_ms);
  }
  admission.priority_rates.resize(admission.priority_values.size());
  quotas.resize();
}

void Balancer::update_settings(const Settings& settings) {
  validate(settings);
  const Settings& current = impl_->settings;
  const auto stays = [](bool same, const char* what) {
    if (!same) throw std::invalid_argument(std::string("settings: ") + what + " cannot change at runtime");
  };
  stays(settings.router_count == current.router_count, "nodes");
  stays(settings.zone == current.zone, "zone");
  stays(settings.classes.size() >= current.classes.size(), "the number of classes");
  stays(settings.tenants.size() >= current.tenants.size(), "the number of tenants");
  stays(settings.origin_kind == current.origin_kind, "origin_kind");
  stays(settings.load_report_source == current.load_report_source &&
            settings.load_report_fields == current.load_report_fields,
        "reports");
  stays(settings.discovery == current.discovery && settings.weight_kind == current.weight_kind,
        "discovery mode or weight kind");
  impl_->settings = settings;
  impl_->apply_classes();
}

} // namespace fernward
