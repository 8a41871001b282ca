#include "lab/shared/try_registry.h"

#include <xxhash.h>

#include <charconv>
#include <cstdio>

namespace fernward::rig {
namespace {

// Odd, so that the multiplication is invertible: two tries never share an id.
constexpr std::uint64_t kMultiplier = 0x9e3779b97f4a7c15ull;
constexpr std::uint64_t inverse_of(std::uint64_t odd) {
  std::uint64_t inverse = odd; // Newton's method: each step doubles the number of correct bits
  for (int i = 0; i < 6; ++i) inverse *= 2 - odd * inverse;
  return inverse;
}
constexpr std::uint64_t kInverseMultiplier = inverse_of(kMultiplier);
static_assert(kMultiplier * kInverseMultiplier == 1);

std::string prefixed_hex(const char* prefix, std::uint64_t value) {
  char text[32];
  std::snprintf(text, sizeof text, "%s%016llx", prefix, static_cast<unsigned long long>(value));
  return text;
}

} // namespace

void TryRegistry::add(double now, model::TryId try_id, const TryMetadata& metadata) {
  const std::lock_guard lock(mutex_);
  for (; !by_age_.empty() && by_age_.front().at + retention_ms_ < now; by_age_.pop_front()) {
    metadata_.erase(by_age_.front().try_id);
  }
  metadata_[try_id] = metadata;
  by_age_.push_back({now, try_id});
}

std::optional<TryMetadata> TryRegistry::find(model::TryId try_id) {
  const std::lock_guard lock(mutex_);
  const auto found = metadata_.find(try_id);
  if (found == metadata_.end()) return std::nullopt;
  return found->second;
}

std::string TryRegistry::request_id(model::TryId try_id) const {
  return prefixed_hex("", (try_id ^ secret_) * kMultiplier);
}

std::optional<model::TryId> TryRegistry::try_id_of(std::string_view request_id_text) const {
  std::uint64_t value = 0;
  const auto [end, error] =
      std::from_chars(request_id_text.data(), request_id_text.data() + request_id_text.size(), value, 16);
  if (request_id_text.size() != 16 || error != std::errc() ||
      end != request_id_text.data() + request_id_text.size())
    return std::nullopt;
  return (value * kInverseMultiplier) ^ secret_;
}

std::string path_of(std::uint64_t key) { return prefixed_hex("/api/", key); }
std::string idempotency_key_text(std::uint64_t idempotency_key) { return prefixed_hex("k", idempotency_key); }
std::uint64_t hash_of(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

} // namespace fernward::rig
