// Checks of the settings that a Balancer is given, and their change while it runs. No decisions here.
#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <string>

#include "fernward/balancer.h"
#include "policy/balancer.h"

namespace fernward {
namespace {

// Each node gets its part of what all may do at a cache: a count that no fleet has would leave it next to nothing.
constexpr std::uint32_t kMostNodes = 65536;

bool natural(double v) { return std::isfinite(v) && v >= 0; }
bool share(double v) { return v >= 0 && v <= 1; }

void check(bool good, const std::string& field) {
  if (!good) throw std::invalid_argument("settings: impossible value of " + field);
}

} // namespace

void validate(const Settings& s) {
  check(s.router_count >= 1 && s.router_count <= kMostNodes, "nodes");
  check(!s.classes.empty(), "classes (there are none)");
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    const ClassSettings& c = s.classes[i];
    const std::string at = "classes[" + std::to_string(i) + "].";
    check(natural(c.latency_objective_ms), at + "aim_ms");
    check(natural(c.client_timeout_ms), at + "give_up_ms");
    check(natural(c.objective_per_work), at + "aim_stretch");
    check(share(c.late_value_share), at + "late_share");
    check(natural(c.priority_weight), at + "worth");
    check(natural(c.idempotency_window_ms), at + "window_ms");
  }
  for (std::size_t i = 0; i < s.tenants.size(); ++i) {
    const std::string at = "tenants[" + std::to_string(i) + "].";
    check(share(s.tenants[i].service_share), at + "share");
    check(natural(s.tenants[i].quota_per_s), at + "quota_per_s");
  }
  check(share(s.over_quota_weight), "over_share_worth");
  check(s.max_attempts >= 1, "max_attempts");
  check(share(s.slow_start_min_capacity), "start_capacity");
  check(natural(s.max_retry_after_ms), "max_retry_after_ms");
  check(natural(s.event_interval_ms), "tick_ms");
  check(natural(s.poll_interval_ms), "ask_every_ms");
  check(natural(s.slow_start_ms), "warm_after_ms");
  check(natural(s.overload_failure_ms), "tip_after_ms");
  check(natural(s.overload_multiple), "fall_multiple");
  check(natural(s.resize.transition_ms), "resize.settle_ms");
  check(s.resize.origin_load_multiple == 0 ||
            (natural(s.resize.origin_load_multiple) && s.resize.origin_load_multiple >= 1),
        "resize.ledger_multiple");
  check(share(s.resize.second_replica_share), "resize.second_holder");
}

void Balancer::Impl::take_classes() {
  shedder.priority_values.clear();
  aim_ms = 3000;
  for (const ClassSettings& c : set.classes) {
    for (const double share : {1.0, set.over_quota_weight})
      shedder.priority_values.push_back(c.priority_weight * share);
    const double aim =
        c.latency_objective_ms > 0 ? c.latency_objective_ms : c.client_timeout_ms; // as Settings has it
    if (aim > 0) aim_ms = std::min(aim_ms, aim);
  }
  shedder.priority_rates.resize(shedder.priority_values.size());
  tenant_rate.resize(set.tenants.size());
}

void Balancer::update_settings(const Settings& s) {
  validate(s);
  const Settings& was = impl_->set;
  const auto stays = [](bool same, const char* what) {
    if (!same) throw std::invalid_argument(std::string("settings: ") + what + " can't change while it runs");
  };
  stays(s.router_count == was.router_count, "nodes");
  stays(s.zone == was.zone, "zone");
  stays(s.classes.size() >= was.classes.size(), "the number of classes");
  stays(s.tenants.size() >= was.tenants.size(), "the number of tenants");
  stays(s.origin_kind == was.origin_kind, "origin_kind");
  stays(s.load_report_source == was.load_report_source && s.load_report_fields == was.load_report_fields,
        "reports");
  stays(s.discovery == was.discovery && s.weight_kind == was.weight_kind, "the form of lists");
  impl_->set = s;
  impl_->take_classes();
}

} // namespace fernward
