#include "lab/peers/response_queue.h"

#include <algorithm>
#include <utility>

namespace fernward::rig {

namespace {

constexpr double kSilentRetryMs = 20; // interval between checks of a silent call

double cost_ms(double amount, double per_second) { return per_second > 0 ? 1000 * amount / per_second : 0; }

} // namespace

void ResponseQueue::add(Handle call) {
  waiting_.push_back(call);
  if (making_) return;
  made_at_ = loop::now_ms();
  make_next();
}

// Times advance from the planned time, not from the time at which a late timer runs, so that lateness does
// not reduce the capacity.
void ResponseQueue::make_next() {
  while (!waiting_.empty() && calls_.state(waiting_.front()) == PendingCalls::State::Closed)
    waiting_.pop_front();
  making_ = !waiting_.empty();
  if (!making_) return;
  made_at_ += cost_ms(1, spec_.answers_per_second);
  loop_.timers().run_at(made_at_, [this] { on_made(); });
}

void ResponseQueue::on_made() {
  const Handle call = waiting_.front();
  waiting_.pop_front();
  if (auto bytes = calls_.make_response(call)) sending_.push_back({call, std::move(*bytes), 0, 0});
  make_next();
  if (being_sent_) return;
  sent_at_ = loop::now_ms();
  send_next();
}

void ResponseQueue::send_next() {
  loop_.timers().cancel(next_piece_timer_);
  const double now = loop::now_ms();
  being_sent_ = take_due(now);
  if (being_sent_) {
    sent_at_ += cost_ms(static_cast<double>(piece_size(*being_sent_)), spec_.bytes_per_second);
    loop_.timers().run_at(sent_at_, [this] { on_piece_sent(); });
    return;
  }
  if (sending_.empty()) return;
  const auto earliest = std::min_element(
      sending_.begin(), sending_.end(),
      [](const QueuedResponse& a, const QueuedResponse& b) { return a.next_piece_at < b.next_piece_at; });
  next_piece_timer_ = loop_.timers().run_at(earliest->next_piece_at, [this] {
    next_piece_timer_ = 0;
    sent_at_ = loop::now_ms();
    send_next();
  });
}

// Takes the first response whose next piece may be sent. Responses to closed calls are dropped.
std::optional<ResponseQueue::QueuedResponse> ResponseQueue::take_due(double now) {
  std::erase_if(sending_, [&](const QueuedResponse& response) {
    return calls_.state(response.call) == PendingCalls::State::Closed;
  });
  for (auto response = sending_.begin(); response != sending_.end(); ++response) {
    if (response->next_piece_at > now) continue;
    if (calls_.state(response->call) == PendingCalls::State::Silent) {
      response->next_piece_at = now + kSilentRetryMs;
      continue;
    }
    std::optional<QueuedResponse> taken = std::move(*response);
    sending_.erase(response);
    return taken;
  }
  return std::nullopt;
}

void ResponseQueue::on_piece_sent() {
  QueuedResponse response = std::move(*being_sent_);
  being_sent_.reset();
  const std::size_t size = piece_size(response);
  const auto state = calls_.state(response.call);
  if (state == PendingCalls::State::Open) {
    const std::size_t offset = std::exchange(response.sent_bytes, response.sent_bytes + size);
    const bool is_last = response.sent_bytes == response.bytes.size();
    calls_.send_piece(response.call, std::string_view(response.bytes).substr(offset, size), is_last);
    response.next_piece_at = loop::now_ms() + spec_.piece_interval_ms;
    if (!is_last) sending_.push_back(std::move(response));
  } else if (state == PendingCalls::State::Silent) {
    response.next_piece_at = loop::now_ms() + kSilentRetryMs;
    sending_.push_back(std::move(response));
  }
  // A call made while the piece was sent may already have started the next one.
  if (!being_sent_) send_next();
}

std::size_t ResponseQueue::piece_size(const QueuedResponse& response) const {
  const std::size_t remaining = response.bytes.size() - response.sent_bytes;
  const auto max_size = static_cast<std::size_t>(spec_.piece_size_bytes);
  return max_size > 0 ? std::min(max_size, remaining) : remaining;
}

} // namespace fernward::rig
