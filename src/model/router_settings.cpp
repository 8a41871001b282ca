#include <algorithm>

#include "model/spec.h"

namespace fernward::model {

fernward::Settings router_settings(const Spec& spec, std::uint32_t zone) {
  const RouterSpec& router_spec = spec.routers;
  fernward::Settings settings;
  settings.router_count = 0;
  for (const RouterGroup& group : router_spec.groups) settings.router_count += group.count;
  settings.zone = zone;
  for (const ClassSpec& class_spec : spec.classes) {
    fernward::ClassSettings class_settings;
    class_settings.latency_objective_ms = class_spec.latency_objective_ms;
    class_settings.client_timeout_ms = class_spec.client_timeout_ms;
    class_settings.objective_work_factor = class_spec.objective_per_work;
    class_settings.late_response_value_share = class_spec.late_value_share;
    class_settings.priority_weight = class_spec.priority_weight;
    class_settings.idempotency = class_spec.idempotency;
    class_settings.idempotency_scope = class_spec.idempotency_scope;
    class_settings.idempotency_window_ms = class_spec.idempotency_window_ms;
    settings.classes.push_back(class_settings);
  }
  for (const TenantSpec& tenant : spec.tenants)
    settings.tenants.push_back({tenant.share, tenant.quota_per_s});
  settings.over_quota_weight = router_spec.over_quota_weight;
  settings.origin_kind = spec.origin.enabled ? static_cast<std::int32_t>(origin_kind(spec)) : -1;
  settings.discovery = fernward::DiscoveryMode::Push;
  settings.weight_kind = router_spec.weight_kind;
  settings.may_cancel = router_spec.may_cancel;
  settings.may_hedge = router_spec.may_hedge;
  settings.send_retry_after = router_spec.send_retry_after;
  settings.max_retry_after_ms = router_spec.max_retry_after_ms;
  settings.max_attempts = router_spec.max_attempts;
  settings.event_interval_ms = router_spec.event_interval_ms;
  settings.resize = router_spec.resize;
  // The routers have one value for all kinds, so each setting is the strictest one: the slowest warm-up, the
  // smallest initial capacity, the lowest overload multiple and the shortest time to an overload failure.
  settings.slow_start_min_capacity = 1;
  for (const NodeKind& kind : spec.kinds) {
    if (kind.report.enabled) {
      settings.load_report_source = fernward::LoadReportSource::Responses;
      settings.load_report_fields = kind.report.fields;
    }
    settings.slow_start_ms = std::max(settings.slow_start_ms, kind.warm_up_ms);
    if (kind.warm_up_ms > 0)
      settings.slow_start_min_capacity = std::min(settings.slow_start_min_capacity, kind.start_capacity);
    if (kind.overload_failure_ms > 0) {
      settings.overload_multiple = settings.overload_failure_ms > 0
                                       ? std::min(settings.overload_multiple, kind.overload_multiple)
                                       : kind.overload_multiple;
      settings.overload_failure_ms = settings.overload_failure_ms > 0
                                         ? std::min(settings.overload_failure_ms, kind.overload_failure_ms)
                                         : kind.overload_failure_ms;
    }
  }
  return settings;
}

} // namespace fernward::model
