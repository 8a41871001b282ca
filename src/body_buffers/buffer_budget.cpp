#include "body_buffers/buffer_budget.h"

#include <algorithm>

namespace fernward::body_buffers {

BufferBudget::BufferBudget(const BufferBudgetOptions& options) : options_(options) {
  const std::size_t holders = std::max<std::size_t>(options_.holders, 1);
  options_.least = std::min(options_.least, options_.total / 2 / holders);
  options_.most = std::max(options_.most, options_.least);
  common_ = options_.total - options_.least * holders;
}

void BufferBudget::limit(std::size_t total) {
  const std::size_t own = options_.total - common_;
  options_.total = std::max(total, own);
  common_ = options_.total - own;
}

BufferBudget::Hold::Hold(Hold&& other) noexcept
    : account_(std::exchange(other.account_, nullptr)),
      bytes_(std::exchange(other.bytes_, 0)),
      waits_(std::exchange(other.waits_, std::nullopt)) {
  if (waits_) (*waits_)->second = this;
}

BufferBudget::Hold& BufferBudget::Hold::operator=(Hold&& other) noexcept {
  if (this == &other) return *this;
  reset();
  account_ = std::exchange(other.account_, nullptr);
  bytes_ = std::exchange(other.bytes_, 0);
  waits_ = std::exchange(other.waits_, std::nullopt);
  if (waits_) (*waits_)->second = this;
  return *this;
}

void BufferBudget::Hold::set(std::size_t bytes) {
  if (account_ == nullptr) return;
  account_->held_ -= bytes_;
  account_->beyond_ -= beyond();
  bytes_ = bytes;
  account_->held_ += bytes_;
  account_->beyond_ += beyond();
  account_->most_held_ = std::max(account_->most_held_, account_->held_);
}

bool BufferBudget::Hold::take(std::size_t bytes) {
  if (bytes == 0) return true;
  if (account_ == nullptr || bytes > account_->free()) return false;
  set(bytes_ + bytes);
  return true;
}

void BufferBudget::Hold::give(std::size_t bytes) { set(bytes_ - std::min(bytes, bytes_)); }

void BufferBudget::Hold::absorb(Hold&& other) {
  if (this == &other || other.account_ == nullptr) return;
  if (account_ == nullptr) account_ = other.account_;
  const std::size_t bytes = other.bytes_;
  other.reset();
  other.account_ = nullptr;
  set(bytes_ + bytes);
}

void BufferBudget::Hold::reset() {
  set(0);
  go_on();
}

std::size_t BufferBudget::Hold::window() const {
  if (account_ == nullptr) return 0;
  const auto& options = account_->options_;
  const auto share = static_cast<std::size_t>(options.share * static_cast<double>(account_->common_free()));
  return std::min(options.least + share, options.most);
}

std::size_t BufferBudget::Hold::room() const {
  const std::size_t allowed = window();
  if (allowed <= bytes_) return 0;
  const std::size_t own = account_->options_.least > bytes_ ? account_->options_.least - bytes_ : 0;
  return std::min({allowed - bytes_, own + account_->common_free(), account_->free()});
}

bool BufferBudget::Hold::may_go_on() const { return room() > 0 && bytes_ <= window() / 2; }

void BufferBudget::Hold::wait(std::uint64_t who) {
  if (waits_ || account_ == nullptr) return;
  waits_ = account_->waiting_.emplace(account_->waiting_.end(), who, this);
}

void BufferBudget::Hold::go_on() {
  if (!waits_) return;
  account_->waiting_.erase(*waits_);
  waits_.reset();
}

std::optional<std::uint64_t> BufferBudget::next() {
  for (const auto& [who, hold] : waiting_) {
    if (!hold->may_go_on()) continue;
    const std::uint64_t found = who;
    hold->go_on();
    return found;
  }
  return std::nullopt;
}

} // namespace fernward::body_buffers
