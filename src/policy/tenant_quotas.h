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
  /// Keeps a reference to `settings`, which may change between calls; call resize_tenants() after a
  /// change.
  explicit TenantQuotas(const Settings& settings) : settings_(settings) {}

  void resize_tenants() { tenant_rate_per_ms_.resize(settings_.tenants.size()); }
  void record_request() { ++requests_this_tick_; }
  double requests_this_tick() const { return requests_this_tick_; }
  /// Counts a request of the tenant. Returns true if the tenant exceeds both its quota at this router and its
  /// share of the service.
  bool record_and_check_quota(std::uint32_t tenant) {
    if (tenant >= settings_.tenants.size()) return false;
    tenant_rate_per_ms_[tenant] += 1 / kTenantRateWindowMs;
    const TenantSettings& tenant_settings = settings_.tenants[tenant];
    const double router_quota_per_s = tenant_settings.quota_per_s / settings_.router_count;
    const double service_share_per_s = tenant_settings.service_share * total_rate_per_ms_ * 1000;
    return tenant_settings.quota_per_s > 0 &&
           tenant_rate_per_ms_[tenant] * 1000 > std::max(router_quota_per_s, service_share_per_s);
  }
  /// Must be called every kTickMs.
  void tick() {
    update_moving_average(total_rate_per_ms_, requests_this_tick_ / kTickMs, kTotalRateSampleWeight);
    requests_this_tick_ = 0;
    for (double& rate : tenant_rate_per_ms_) rate *= kTenantRateDecayPerTick;
  }

 private:
  static constexpr double kTenantRateWindowMs = 2000;
  static constexpr double kTenantRateDecayPerTick = 0.95; // 1 - kTickMs / kTenantRateWindowMs
  static constexpr double kTotalRateSampleWeight = 0.05;  // weight of one tick's rate in the moving average

  const Settings& settings_;
  std::vector<double> tenant_rate_per_ms_; // by tenant
  double total_rate_per_ms_ = 0;
  double requests_this_tick_ = 0;
};

} // namespace fernward
