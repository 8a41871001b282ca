// Tenant quotas: detects tenants above their quota. Interface: include/fernward/balancer.h
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "fernward/balancer.h"
#include "statistics/numbers.h"

namespace fernward {

constexpr double kTickMs = 100; // interval between calls of tick()

/// Request rates of this router, in total and by tenant, and whether a tenant is over its quota. Rates are in
/// requests per millisecond. Owned by Balancer::Impl.
class TenantQuotas {
 public:
  /// Keeps a reference to `settings`, which may change between calls; call resize() after a change.
  explicit TenantQuotas(const Settings& settings) : settings_(settings) {}

  void resize() { rate_per_ms_.resize(settings_.tenants.size()); }
  void record_request() { ++requests_this_tick_; }
  double requests_this_tick() const { return requests_this_tick_; }
  /// Counts a request of the tenant. Returns true if the tenant exceeds both its quota at this router and its
  /// share of the service.
  bool over_quota(std::uint32_t tenant) {
    if (tenant >= settings_.tenants.size()) return false;
    rate_per_ms_[tenant] += 1 / kTenantRateWindowMs;
    const TenantSettings& tenant_settings = settings_.tenants[tenant];
    const double quota_here_per_s = tenant_settings.quota_per_s / settings_.router_count;
    const double share_per_s = tenant_settings.service_share * total_rate_per_ms_ * 1000;
    return tenant_settings.quota_per_s > 0 &&
           rate_per_ms_[tenant] * 1000 > std::max(quota_here_per_s, share_per_s);
  }
  /// Must be called every kTickMs.
  void tick() {
    smooth(total_rate_per_ms_, requests_this_tick_ / kTickMs, kTotalRateWeight);
    requests_this_tick_ = 0;
    for (double& rate : rate_per_ms_) rate *= kTenantRateKeptPerTick;
  }

 private:
  static constexpr double kTenantRateWindowMs = 2000;
  static constexpr double kTenantRateKeptPerTick = 0.95; // 1 - kTickMs / kTenantRateWindowMs
  static constexpr double kTotalRateWeight = 0.05;       // weight of one tick's rate in the moving average

  const Settings& settings_;
  std::vector<double> rate_per_ms_; // by tenant
  double total_rate_per_ms_ = 0;
  double requests_this_tick_ = 0;
};

} // namespace fernward
