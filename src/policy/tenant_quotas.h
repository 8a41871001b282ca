// Tenant quotas: who asks for more than its part. Interface: include/fernward/balancer.h
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "fernward/balancer.h"
#include "statistics/numbers.h"

namespace fernward {

constexpr double kTickMs = 100; // between two calls of tick()

/// Request rates of this router, all in all and by tenant, and whether a tenant is over its quota. Rates are
/// kept in requests per millisecond.
class TenantQuotas {
 public:
  /// `settings` is referred to and may change between calls; call resize() then.
  explicit TenantQuotas(const Settings& settings) : settings_(settings) {}

  void resize() { rate_per_ms_.resize(settings_.tenants.size()); }
  void record_request() { ++requests_this_tick_; }
  double requests_this_tick() const { return requests_this_tick_; }
  /// Counts a request of the tenant. True: the tenant is over its quota here, and over its share of the
  /// service.
  bool over_quota(std::uint32_t tenant) {
    if (tenant >= settings_.tenants.size()) return false;
    rate_per_ms_[tenant] += 1 / kTenantRateWindowMs;
    const TenantSettings& tenant_settings = settings_.tenants[tenant];
    const double quota_here_per_s = tenant_settings.quota_per_s / settings_.router_count;
    const double share_per_s = tenant_settings.service_share * total_rate_per_ms_ * 1000;
    return tenant_settings.quota_per_s > 0 &&
           rate_per_ms_[tenant] * 1000 > std::max(quota_here_per_s, share_per_s);
  }
  /// To be called every kTickMs.
  void tick() {
    smooth(total_rate_per_ms_, requests_this_tick_ / kTickMs, kTotalRateWeight);
    requests_this_tick_ = 0;
    for (double& rate : rate_per_ms_) rate *= kTenantRateKeptPerTick;
  }

 private:
  static constexpr double kTenantRateWindowMs = 2000;
  static constexpr double kTenantRateKeptPerTick = 0.95; // 1 - kTickMs / kTenantRateWindowMs
  static constexpr double kTotalRateWeight = 0.05;       // of a tick's rate in the mean

  const Settings& settings_;
  std::vector<double> rate_per_ms_; // by tenant
  double total_rate_per_ms_ = 0;
  double requests_this_tick_ = 0;
};

} // namespace fernward
