#include <algorithm>

#include "model/spec.h"

namespace fernward::model {

fernward::Settings router_settings(const Spec& spec, std::uint32_t zone) {
  const RouterSpec& r = spec.routers;
  fernward::Settings s;
  s.router_count = 0;
  for (const RouterGroup& group : r.groups) s.router_count += group.count;
  s.zone = zone;
  for (const ClassSpec& from : spec.classes) {
    fernward::ClassSettings cls;
    cls.latency_objective_ms = from.aim_ms;
    cls.client_timeout_ms = from.give_up_ms;
    cls.objective_per_work = from.aim_stretch;
    cls.late_value_share = from.late_share;
    cls.priority_weight = from.worth;
    cls.idempotency = from.repeat;
    cls.idempotency_scope = from.scope;
    cls.idempotency_window_ms = from.window_ms;
    s.classes.push_back(cls);
  }
  for (const TenantSpec& tenant : spec.tenants) s.tenants.push_back({tenant.share, tenant.quota_per_s});
  s.over_quota_weight = r.over_share_worth;
  s.origin_kind = spec.origin.on ? static_cast<std::int32_t>(origin_kind(spec)) : -1;
  s.discovery = fernward::DiscoveryMode::Push;
  s.weight_kind = r.weight_kind;
  s.may_cancel = r.may_cancel;
  s.may_hedge = r.may_duplicate;
  s.send_retry_after = r.retry_advice;
  s.max_retry_after_ms = r.max_retry_after_ms;
  s.max_attempts = r.max_attempts;
  s.event_interval_ms = r.tick_ms;
  s.resize = r.resize;
  // The routers have one value for all kinds, so each setting is the strictest one: the slowest warm-up, the
  // smallest initial capacity, the lowest overload multiple and the shortest time to an overload failure.
  s.slow_start_min_capacity = 1;
  for (const NodeKind& kind : spec.kinds) {
    if (kind.report.on) {
      s.load_report_source = fernward::LoadReportSource::Responses;
      s.load_report_fields = kind.report.fields;
    }
    s.slow_start_ms = std::max(s.slow_start_ms, kind.warm_ms);
    if (kind.warm_ms > 0)
      s.slow_start_min_capacity = std::min(s.slow_start_min_capacity, kind.start_capacity);
    if (kind.tip_ms > 0) {
      s.overload_multiple =
          s.overload_failure_ms > 0 ? std::min(s.overload_multiple, kind.tip_multiple) : kind.tip_multiple;
      s.overload_failure_ms =
          s.overload_failure_ms > 0 ? std::min(s.overload_failure_ms, kind.tip_ms) : kind.tip_ms;
    }
  }
  return s;
}

} // namespace fernward::model
