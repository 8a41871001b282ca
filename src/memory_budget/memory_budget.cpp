#include "memory_budget/memory_budget.h"

#include <limits>

namespace fernward::memory_budget {
namespace {

// Shares of the total that all purposes together may use when one of a purpose asks.
constexpr double kTransitShare = 0.70;
constexpr double kLightestBodyShare = 0.75;
constexpr double kHeaviestBodyShare = 0.85;
constexpr double kIncompleteRequestShare = 0.90;
constexpr double kConnectionShare = 0.95;

double share_of(Purpose purpose, double weight_share) {
  switch (purpose) {
    case Purpose::Transit: return kTransitShare;
    case Purpose::CompleteBody:
      return kLightestBodyShare + (kHeaviestBodyShare - kLightestBodyShare) * weight_share;
    case Purpose::IncompleteRequest: return kIncompleteRequestShare;
    case Purpose::Connection: return kConnectionShare;
    case Purpose::Count: break;
  }
  return 1;
}

} // namespace

bool MemoryBudget::admits(Purpose purpose, std::size_t bytes, double weight_share) {
  if (bytes < free_bytes(purpose, weight_share)) return true;
  ++refusals_[static_cast<std::size_t>(purpose)];
  return false;
}

std::size_t MemoryBudget::free_bytes(Purpose purpose, double weight_share) const {
  if (allocated_bytes_ == nullptr) return std::numeric_limits<std::size_t>::max();
  const auto limit =
      static_cast<std::size_t>(share_of(purpose, weight_share) * static_cast<double>(total_bytes_));
  const std::size_t used = used_bytes();
  return limit > used ? limit - used : 0;
}

std::size_t MemoryBudget::excess_bytes() const {
  const std::size_t used = used_bytes();
  return used > total_bytes_ ? used - total_bytes_ : 0;
}

std::size_t MemoryBudget::used_bytes() const {
  return allocated_bytes_ == nullptr ? 0 : allocated_bytes_() + overhead_bytes_;
}

} // namespace fernward::memory_budget
