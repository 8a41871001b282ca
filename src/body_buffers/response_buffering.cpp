#include "body_buffers/response_buffering.h"

#include <algorithm>

namespace fernward::body_buffers {

AnswerStep next_step(const AnswerRules& rules, const AnswerFacts& facts) {
  if (!within(rules, std::max(facts.come, facts.length.value_or(0)))) return AnswerStep::Spoilt;
  if (facts.whole) return AnswerStep::Begin;
  if (facts.room == 0) return AnswerStep::Begin;
  if (facts.come == 0) return AnswerStep::Wait; // a head alone: the target may still break off
  if (!facts.early) return AnswerStep::Begin;
  const std::uint64_t holdable = std::min(rules.wait_most, facts.window);
  if (!facts.length) return facts.come >= holdable ? AnswerStep::Begin : AnswerStep::Wait;
  if (*facts.length <= holdable) return AnswerStep::Wait;
  return facts.come >= std::min<std::uint64_t>(rules.begin_after, holdable) ? AnswerStep::Begin
                                                                            : AnswerStep::Wait;
}

} // namespace fernward::body_buffers
