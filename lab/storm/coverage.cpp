#include "lab/storm/coverage.h"

#include <algorithm>

namespace fernward::lab::storm {

const std::array<const char*, kStages> kStageNames = {"first try", "further try", "cache", "ledger",
                                                      "answer"};

StageWatch::StageWatch(const model::Spec& spec, model::MachineId origin) : origin_(origin) {
  for (const Span& s : spans_of(spec)) {
    const int kind = static_cast<int>(s.kind) + 1;
    changes_.emplace_back(s.from_ms, kind);
    changes_.emplace_back(s.to_ms, -kind);
  }
  std::sort(changes_.begin(), changes_.end());
  now_ = &seen_[0];
}

void StageWatch::met(double at, Stage stage) {
  bool changed = false;
  for (; next_ < changes_.size() && changes_[next_].first <= at; ++next_) {
    const int kind = changes_[next_].second;
    count_[static_cast<std::size_t>(std::abs(kind) - 1)] += kind > 0 ? 1 : -1;
    changed = true;
  }
  if (changed) {
    open_ = 0;
    for (std::size_t k = 0; k < kKinds; ++k) open_ |= count_[k] > 0 ? Open{1} << k : 0;
    now_ = &seen_[open_];
  }
  *now_ = static_cast<std::uint8_t>(*now_ | 1u << static_cast<unsigned>(stage));
}

void Coverage::add(const StageWatch& run) {
  std::array<std::uint8_t, kKinds * kKinds> seen{};
  for (const auto& [open, stages] : run.stages()) {
    for (std::size_t a = 0; a < kKinds; ++a) {
      if (!(open >> a & 1)) continue;
      for (std::size_t b = a + 1; b < kKinds; ++b) {
        if (open >> b & 1) seen[a * kKinds + b] = static_cast<std::uint8_t>(seen[a * kKinds + b] | stages);
      }
    }
  }
  for (std::size_t i = 0; i < seen.size(); ++i) {
    pairs_[i] += seen[i] != 0;
    for (std::size_t s = 0; s < kStages; ++s) seen_[i][s] += seen[i] >> s & 1;
  }
}

void Coverage::merge(const Coverage& other) {
  for (std::size_t i = 0; i < pairs_.size(); ++i) {
    pairs_[i] += other.pairs_[i];
    for (std::size_t s = 0; s < kStages; ++s) seen_[i][s] += other.seen_[i][s];
  }
}

std::uint64_t Coverage::least() const {
  std::uint64_t least = ~std::uint64_t{0};
  for (std::size_t a = 0; a < kKinds; ++a) {
    for (std::size_t b = a + 1; b < kKinds; ++b) least = std::min(least, pairs_[a * kKinds + b]);
  }
  return least;
}

} // namespace fernward::lab::storm
