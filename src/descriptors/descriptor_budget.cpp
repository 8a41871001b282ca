#include "descriptors/descriptor_budget.h"

#include <algorithm>
#include <cmath>

namespace fernward::descriptors {

std::size_t DescriptorBudget::usable(double now) const {
  if (believed_ >= total_) return total_;
  const double seconds = std::clamp((now - refused_at_) / 1000, 0.0, 30.0);
  return std::min(total_, believed_ + static_cast<std::size_t>(std::exp2(seconds) - 1));
}

DescriptorBudget::Needs DescriptorBudget::needs(double now, Side side) const {
  const std::size_t usable_now = usable(now);
  const Side other = side == Side::Clients ? Side::Targets : Side::Clients;
  const std::size_t taken = used(side), lent = used(other);
  if (taken + std::max(lent, floor_of(usable_now)) < usable_now) return Needs::Nothing;
  const bool owed = taken < share_of(usable_now, side) && lent > share_of(usable_now, other);
  return owed ? Needs::Recall : Needs::Own;
}

DescriptorBudget::Place DescriptorBudget::take(double now, Side side) {
  if (needs(now, side) != Needs::Nothing) return {};
  ++used_[index(side)];
  return {this, side};
}

bool DescriptorBudget::refused(double now) {
  const bool news = believed_ >= total_ || now - refused_at_ >= 1000;
  believed_ = std::min(total_, std::max<std::size_t>(used_[0] + used_[1], 2)); // lest it never tries again
  refused_at_ = now;
  return news;
}

} // namespace fernward::descriptors
