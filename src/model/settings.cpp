#include <algorithm>

#include "model/spec.h"

namespace fernward::model {

fernward::Settings router_settings(const Spec& spec, std::uint32_t zone) {
  const RouterSpec& r = spec.routers;
  fernward::Settings s;
  s.nodes = 0;
  for (const RouterGroup& group : r.groups) s.nodes += group.count;
  s.zone = zone;
  for (const ClassSpec& from : spec.classes) {
    fernward::ClassSettings cls;
    cls.aim_ms = from.aim_ms;
    cls.give_up_ms = from.give_up_ms;
    cls.aim_stretch = from.aim_stretch;
    cls.late_share = from.late_share;
    cls.worth = from.worth;
    cls.repeat = from.repeat;
    cls.scope = from.scope;
    cls.window_ms = from.window_ms;
    s.classes.push_back(cls);
  }
  for (const TenantSpec& tenant : spec.tenants) s.tenants.push_back({tenant.share, tenant.quota_per_s});
  s.over_share_worth = r.over_share_worth;
  s.origin_kind = spec.origin.on ? static_cast<std::int32_t>(origin_kind(spec)) : -1;
  s.discovery = fernward::Discovery::Push;
  s.weight_kind = r.weight_kind;
  s.may_cancel = r.may_cancel;
  s.may_duplicate = r.may_duplicate;
  s.retry_advice = r.retry_advice;
  s.max_retry_after_ms = r.max_retry_after_ms;
  s.max_attempts = r.max_attempts;
  s.tick_ms = r.tick_ms;
  s.resize = r.resize;
  // The routers are told what holds for every kind: the slowest warm-up, the least share, the shortest time.
  s.start_capacity = 1;
  for (const NodeKind& kind : spec.kinds) {
    if (kind.report.on) {
      s.report_via = fernward::ReportVia::Answers;
      s.report_fields = kind.report.fields;
    }
    s.warm_after_ms = std::max(s.warm_after_ms, kind.warm_ms);
    if (kind.warm_ms > 0) s.start_capacity = std::min(s.start_capacity, kind.start_capacity);
    if (kind.tip_ms > 0) {
      s.fall_multiple = s.tip_after_ms > 0 ? std::min(s.fall_multiple, kind.tip_multiple) : kind.tip_multiple;
      s.tip_after_ms = s.tip_after_ms > 0 ? std::min(s.tip_after_ms, kind.tip_ms) : kind.tip_ms;
    }
  }
  return s;
}

} // namespace fernward::model
