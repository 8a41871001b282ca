// Validation of a Balancer's settings, and their change at runtime. Contains no decisions.
#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <string>

#include "fernward/balancer.h"
#include "policy/balancer.h"

namespace fernward {
namespace {

// The attempts that all routers may have at a cache are divided among them: with an unrealistic router count
// each router could send almost none.
constexpr std::uint32_t kMaxRouters = 65536;

constexpr double kMaxShortestObjectiveMs = 3000; // upper bound, used if no class has a shorter one

bool is_non_negative(double value) { return std::isfinite(value) && value >= 0; }
bool is_share(double value) { return value >= 0 && value <= 1; }

void require_valid(bool valid, const std::string& field) {
  if (!valid) throw std::invalid_argument("settings: value out of range: " + field);
}

} // namespace

void validate(const Settings& settings) {
  require_valid(settings.router_count >= 1 && settings.router_count <= kMaxRouters, "nodes");
  require_valid(!settings.classes.empty(), "classes (at least one is required)");
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    const ClassSettings& class_settings = settings.classes[i];
    const std::string field_prefix = "classes[" + std::to_string(i) + "].";
    require_valid(is_non_negative(class_settings.latency_objective_ms), field_prefix + "aim_ms");
    require_valid(is_non_negative(class_settings.client_timeout_ms), field_prefix + "give_up_ms");
    require_valid(is_non_negative(class_settings.objective_work_factor), field_prefix + "aim_stretch");
    require_valid(is_share(class_settings.late_response_value_share), field_prefix + "late_share");
    require_valid(is_non_negative(class_settings.priority_weight), field_prefix + "worth");
    require_valid(is_non_negative(class_settings.idempotency_window_ms), field_prefix + "window_ms");
  }
  for (std::size_t i = 0; i < settings.tenants.size(); ++i) {
    const std::string field_prefix = "tenants[" + std::to_string(i) + "].";
    require_valid(is_share(settings.tenants[i].service_share), field_prefix + "share");
    require_valid(is_non_negative(settings.tenants[i].quota_per_s), field_prefix + "quota_per_s");
  }
  require_valid(is_share(settings.over_quota_weight), "over_share_worth");
  require_valid(settings.max_attempts >= 1, "max_attempts");
  require_valid(is_share(settings.slow_start_min_capacity), "start_capacity");
  require_valid(is_non_negative(settings.max_retry_after_ms), "max_retry_after_ms");
  require_valid(is_non_negative(settings.event_interval_ms), "tick_ms");
  require_valid(is_non_negative(settings.poll_interval_ms), "ask_every_ms");
  require_valid(is_non_negative(settings.slow_start_ms), "warm_after_ms");
  require_valid(is_non_negative(settings.overload_failure_ms), "tip_after_ms");
  require_valid(is_non_negative(settings.overload_multiple), "fall_multiple");
  require_valid(is_non_negative(settings.resize.transition_ms), "resize.settle_ms");
  require_valid(
      settings.resize.origin_load_multiple == 0 || (is_non_negative(settings.resize.origin_load_multiple) &&
                                                    settings.resize.origin_load_multiple >= 1),
      "resize.ledger_multiple");
  require_valid(is_share(settings.resize.second_replica_share), "resize.second_holder");
}

void Balancer::Impl::apply_classes() {
  admission.priority_weights.clear();
  shortest_objective_ms = kMaxShortestObjectiveMs;
  for (const ClassSettings& class_settings : settings.classes) {
    // Two priorities for each class: within and over the tenant's quota.
    admission.priority_weights.push_back(class_settings.priority_weight);
    admission.priority_weights.push_back(class_settings.priority_weight * settings.over_quota_weight);
    const double class_objective_ms = class_settings.latency_objective_ms > 0
                                          ? class_settings.latency_objective_ms
                                          : class_settings.client_timeout_ms;
    if (class_objective_ms > 0) shortest_objective_ms = std::min(shortest_objective_ms, class_objective_ms);
  }
  admission.priority_rates.resize(admission.priority_weights.size());
  tenant_quotas.resize_tenants();
}

void Balancer::update_settings(const Settings& settings) {
  validate(settings);
  const Settings& current = impl_->settings;
  const auto require_unchanged = [](bool unchanged, const char* setting) {
    if (!unchanged)
      throw std::invalid_argument(std::string("settings: ") + setting + " cannot change at runtime");
  };
  const auto require_not_fewer = [](std::size_t next_count, std::size_t current_count, const char* items) {
    if (next_count < current_count)
      throw std::invalid_argument(std::string("settings: the number of ") + items +
                                  " cannot decrease at runtime");
  };
  require_unchanged(settings.router_count == current.router_count, "nodes");
  require_unchanged(settings.zone == current.zone, "zone");
  require_not_fewer(settings.classes.size(), current.classes.size(), "classes");
  require_not_fewer(settings.tenants.size(), current.tenants.size(), "tenants");
  require_unchanged(settings.origin_kind == current.origin_kind, "origin_kind");
  require_unchanged(settings.load_report_source == current.load_report_source &&
                        settings.load_report_fields == current.load_report_fields,
                    "reports");
  require_unchanged(settings.discovery == current.discovery && settings.weight_kind == current.weight_kind,
                    "discovery mode or weight kind");
  impl_->settings = settings;
  impl_->apply_classes();
}

} // namespace fernward
