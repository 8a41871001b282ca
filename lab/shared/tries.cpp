#include "lab/shared/tries.h"

#include <xxhash.h>

#include <charconv>
#include <cstdio>

namespace fernward::rig {
namespace {

// Odd, so that the multiplication is invertible: two tries never share an id.
constexpr std::uint64_t kSpread = 0x9e3779b97f4a7c15ull;
constexpr std::uint64_t inverse_of(std::uint64_t odd) {
  std::uint64_t x = odd; // Newton's method: each step doubles the number of correct bits
  for (int i = 0; i < 6; ++i) x *= 2 - odd * x;
  return x;
}
constexpr std::uint64_t kBack = inverse_of(kSpread);
static_assert(kSpread * kBack == 1);

std::string hex(const char* before, std::uint64_t value) {
  char text[32];
  std::snprintf(text, sizeof text, "%s%016llx", before, static_cast<unsigned long long>(value));
  return text;
}

} // namespace

void Tries::note(double now, model::TryId try_id, const TryFacts& facts) {
  const std::lock_guard lock(mutex_);
  for (; !order_.empty() && order_.front().at + keep_ms_ < now; order_.pop_front()) {
    facts_.erase(order_.front().try_id);
  }
  facts_[try_id] = facts;
  order_.push_back({now, try_id});
}

std::optional<TryFacts> Tries::find(model::TryId try_id) {
  const std::lock_guard lock(mutex_);
  const auto found = facts_.find(try_id);
  if (found == facts_.end()) return std::nullopt;
  return found->second;
}

std::string Tries::id(model::TryId try_id) const { return hex("", (try_id ^ secret_) * kSpread); }

std::optional<model::TryId> Tries::number(std::string_view id) const {
  std::uint64_t value = 0;
  const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), value, 16);
  if (id.size() != 16 || error != std::errc() || end != id.data() + id.size()) return std::nullopt;
  return (value * kBack) ^ secret_;
}

std::string path_of(std::uint64_t key) { return hex("/api/", key); }
std::string repeat_text(std::uint64_t repeat_key) { return hex("k", repeat_key); }
std::uint64_t hash_of(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

} // namespace fernward::rig
