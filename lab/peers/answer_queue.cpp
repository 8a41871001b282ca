#include "lab/peers/answer_queue.h"

#include <algorithm>
#include <utility>

namespace fernward::rig {

namespace {

constexpr double kSilentRetryMs = 20; // interval between checks of a silent call

double cost_ms(double amount, double per_second) { return per_second > 0 ? 1000 * amount / per_second : 0; }

} // namespace

void AnswerQueue::add(Handle call) {
  waiting_.push_back(call);
  if (making_) return;
  made_at_ = loop::now_ms();
  make_next();
}

// Times advance from the planned time, not from the time at which a late timer fires, so that the capacity is
// exact.
void AnswerQueue::make_next() {
  while (!waiting_.empty() && calls_.state(waiting_.front()) == Calls::State::Closed) waiting_.pop_front();
  making_ = !waiting_.empty();
  if (!making_) return;
  made_at_ += cost_ms(1, spec_.answers_per_second);
  loop_.deadlines().at(made_at_, [this] { made(); });
}

void AnswerQueue::made() {
  const Handle call = waiting_.front();
  waiting_.pop_front();
  if (auto bytes = calls_.make_answer(call)) sending_.push_back({call, std::move(*bytes), 0, 0});
  make_next();
  if (on_wire_) return;
  sent_at_ = loop::now_ms();
  send_next();
}

void AnswerQueue::send_next() {
  loop_.deadlines().cancel(pause_);
  const double now = loop::now_ms();
  on_wire_ = take_due(now);
  if (on_wire_) {
    sent_at_ += cost_ms(static_cast<double>(piece_size(*on_wire_)), spec_.bytes_per_second);
    loop_.deadlines().at(sent_at_, [this] { sent(); });
    return;
  }
  if (sending_.empty()) return;
  const auto first = std::min_element(sending_.begin(), sending_.end(),
                                      [](const Answer& a, const Answer& b) { return a.due < b.due; });
  pause_ = loop_.deadlines().at(first->due, [this] {
    pause_ = 0;
    sent_at_ = loop::now_ms();
    send_next();
  });
}

// Takes the first response whose next piece may be sent. Responses to closed calls are dropped.
std::optional<AnswerQueue::Answer> AnswerQueue::take_due(double now) {
  std::erase_if(sending_, [&](const Answer& a) { return calls_.state(a.call) == Calls::State::Closed; });
  for (auto answer = sending_.begin(); answer != sending_.end(); ++answer) {
    if (answer->due > now) continue;
    if (calls_.state(answer->call) == Calls::State::Silent) {
      answer->due = now + kSilentRetryMs;
      continue;
    }
    std::optional<Answer> taken = std::move(*answer);
    sending_.erase(answer);
    return taken;
  }
  return std::nullopt;
}

void AnswerQueue::sent() {
  Answer answer = std::move(*on_wire_);
  on_wire_.reset();
  const std::size_t size = piece_size(answer);
  const auto state = calls_.state(answer.call);
  if (state == Calls::State::Open) {
    const std::size_t begin = std::exchange(answer.sent, answer.sent + size);
    const bool is_last = answer.sent == answer.bytes.size();
    calls_.send_piece(answer.call, std::string_view(answer.bytes).substr(begin, size), is_last);
    answer.due = loop::now_ms() + spec_.piece_interval_ms;
    if (!is_last) sending_.push_back(std::move(answer));
  } else if (state == Calls::State::Silent) {
    answer.due = loop::now_ms() + kSilentRetryMs;
    sending_.push_back(std::move(answer));
  }
  // A call made while the piece was sent may already have started the next one.
  if (!on_wire_) send_next();
}

std::size_t AnswerQueue::piece_size(const Answer& answer) const {
  const std::size_t left = answer.bytes.size() - answer.sent;
  const auto most = static_cast<std::size_t>(spec_.piece_size_bytes);
  return most > 0 ? std::min(most, left) : left;
}

} // namespace fernward::rig
