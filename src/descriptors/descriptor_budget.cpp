#include "descriptors/descriptor_budget.h"

#include <algorithm>
#include <cmath>

namespace fernward::descriptors {
namespace {

constexpr double kMaxRecoverySeconds = 30; // bounds the power of two
constexpr double kRefusalReportMs = 1000;
constexpr std::size_t kMinExpectedTotal = 2; // otherwise no further descriptor would be tried

} // namespace

std::size_t DescriptorBudget::usable(double now) const {
  if (expected_total_ >= total_) return total_;
  const double seconds_since_refusal = std::clamp((now - refused_at_) / 1000, 0.0, kMaxRecoverySeconds);
  return std::min(total_, expected_total_ + static_cast<std::size_t>(std::exp2(seconds_since_refusal) - 1));
}

DescriptorBudget::Eviction DescriptorBudget::required_eviction(double now, Side side) const {
  const std::size_t usable_now = usable(now);
  const Side other = side == Side::Downstream ? Side::Upstream : Side::Downstream;
  const std::size_t own_used = used(side);
  const std::size_t other_used = used(other);
  if (own_used + std::max(other_used, reserved_descriptors(usable_now)) < usable_now) return Eviction::None;
  const bool reclaims_other_side =
      own_used < fair_share(usable_now, side) && other_used > fair_share(usable_now, other);
  return reclaims_other_side ? Eviction::OtherSide : Eviction::OwnSide;
}

DescriptorBudget::Lease DescriptorBudget::acquire(double now, Side side) {
  if (required_eviction(now, side) != Eviction::None) return {};
  ++used_[index(side)];
  return {this, side};
}

bool DescriptorBudget::on_descriptor_refused(double now) {
  const bool should_report = expected_total_ >= total_ || now - refused_at_ >= kRefusalReportMs;
  expected_total_ = std::min(total_, std::max(used_[0] + used_[1], kMinExpectedTotal));
  refused_at_ = now;
  return should_report;
}

} // namespace fernward::descriptors
