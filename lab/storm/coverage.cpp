#include "lab/storm/coverage.h"

#include <algorithm>

namespace fernward::lab::storm {

const std::array<const char*, kStageCount> kStageNames = {"first try", "further try", "cache", "ledger",
                                                          "answer"};

FaultStageRecorder::FaultStageRecorder(const model::Spec& spec, model::MachineId origin) : origin_(origin) {
  for (const FaultSpan& span : fault_spans(spec)) {
    const int change = static_cast<int>(span.kind) + 1;
    changes_.emplace_back(span.from_ms, change);
    changes_.emplace_back(span.to_ms, -change);
  }
  std::sort(changes_.begin(), changes_.end());
  current_stages_ = &stages_by_fault_set_[0];
}

void FaultStageRecorder::record_stage(double at, Stage stage) {
  bool changed = false;
  for (; next_change_ < changes_.size() && changes_[next_change_].first <= at; ++next_change_) {
    const int change = changes_[next_change_].second;
    open_counts_[static_cast<std::size_t>(std::abs(change) - 1)] += change > 0 ? 1 : -1;
    changed = true;
  }
  if (changed) {
    open_faults_ = 0;
    for (std::size_t k = 0; k < kFaultKindCount; ++k)
      open_faults_ |= open_counts_[k] > 0 ? FaultSet{1} << k : 0;
    current_stages_ = &stages_by_fault_set_[open_faults_];
  }
  *current_stages_ = static_cast<std::uint8_t>(*current_stages_ | 1u << static_cast<unsigned>(stage));
}

void Coverage::add(const FaultStageRecorder& run) {
  std::array<std::uint8_t, kFaultKindCount * kFaultKindCount> stages_by_pair{};
  for (const auto& [open_faults, stages] : run.stages_by_fault_set()) {
    for (std::size_t a = 0; a < kFaultKindCount; ++a) {
      if (!(open_faults >> a & 1)) continue;
      for (std::size_t b = a + 1; b < kFaultKindCount; ++b) {
        if (open_faults >> b & 1)
          stages_by_pair[a * kFaultKindCount + b] =
              static_cast<std::uint8_t>(stages_by_pair[a * kFaultKindCount + b] | stages);
      }
    }
  }
  for (std::size_t i = 0; i < stages_by_pair.size(); ++i) {
    storms_by_pair_[i] += stages_by_pair[i] != 0;
    for (std::size_t s = 0; s < kStageCount; ++s) storms_by_stage_[i][s] += stages_by_pair[i] >> s & 1;
  }
}

void Coverage::merge(const Coverage& other) {
  for (std::size_t i = 0; i < storms_by_pair_.size(); ++i) {
    storms_by_pair_[i] += other.storms_by_pair_[i];
    for (std::size_t s = 0; s < kStageCount; ++s) storms_by_stage_[i][s] += other.storms_by_stage_[i][s];
  }
}

std::uint64_t Coverage::min_storms_of_any_pair() const {
  std::uint64_t min_storms = ~std::uint64_t{0};
  for (std::size_t a = 0; a < kFaultKindCount; ++a) {
    for (std::size_t b = a + 1; b < kFaultKindCount; ++b)
      min_storms = std::min(min_storms, storms_by_pair_[a * kFaultKindCount + b]);
  }
  return min_storms;
}

} // namespace fernward::lab::storm
