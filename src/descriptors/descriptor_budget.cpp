#include "descriptors/descriptor_budget.h"

#include <algorithm>
#include <cmath>

namespace fernward::descriptors {

std::size_t DescriptorBudget::usable(double now) const {
  if (believed_total_ >= total_) return total_;
  const double seconds = std::clamp((now - refused_at_) / 1000, 0.0, 30.0);
  return std::min(total_, believed_total_ + static_cast<std::size_t>(std::exp2(seconds) - 1));
}

DescriptorBudget::Eviction DescriptorBudget::required_eviction(double now, Side side) const {
  const std::size_t usable_now = usable(now);
  const Side other = side == Side::Downstream ? Side::Upstream : Side::Downstream;
  const std::size_t taken = used(side), lent = used(other);
  if (taken + std::max(lent, reserved_of(usable_now)) < usable_now) return Eviction::None;
  const bool owed = taken < fair_share_of(usable_now, side) && lent > fair_share_of(usable_now, other);
  return owed ? Eviction::OtherSide : Eviction::OwnSide;
}

DescriptorBudget::Lease DescriptorBudget::acquire(double now, Side side) {
  if (required_eviction(now, side) != Eviction::None) return {};
  ++used_[index(side)];
  return {this, side};
}

bool DescriptorBudget::on_refused(double now) {
  const bool news = believed_total_ >= total_ || now - refused_at_ >= 1000;
  believed_total_ =
      std::min(total_, std::max<std::size_t>(used_[0] + used_[1], 2)); // lest it never tries again
  refused_at_ = now;
  return news;
}

} // namespace fernward::descriptors
