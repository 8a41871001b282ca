#include "body_buffers/buffer_budget.h"

#include <algorithm>

namespace fernward::body_buffers {

BufferBudget::BufferBudget(const BufferBudgetOptions& options) : options_(options) {
  const std::size_t holders = std::max<std::size_t>(options_.max_holders, 1);
  options_.reserved_per_holder = std::min(options_.reserved_per_holder, options_.total_bytes / 2 / holders);
  options_.max_per_holder = std::max(options_.max_per_holder, options_.reserved_per_holder);
  shared_total_ = options_.total_bytes - options_.reserved_per_holder * holders;
}

void BufferBudget::set_total(std::size_t total) {
  const std::size_t own = options_.total_bytes - shared_total_;
  options_.total_bytes = std::max(total, own);
  shared_total_ = options_.total_bytes - own;
}

BufferBudget::Reservation::Reservation(Reservation&& other) noexcept
    : budget_(std::exchange(other.budget_, nullptr)),
      bytes_(std::exchange(other.bytes_, 0)),
      wait_position_(std::exchange(other.wait_position_, std::nullopt)) {
  if (wait_position_) (*wait_position_)->second = this;
}

BufferBudget::Reservation& BufferBudget::Reservation::operator=(Reservation&& other) noexcept {
  if (this == &other) return *this;
  release_all();
  budget_ = std::exchange(other.budget_, nullptr);
  bytes_ = std::exchange(other.bytes_, 0);
  wait_position_ = std::exchange(other.wait_position_, std::nullopt);
  if (wait_position_) (*wait_position_)->second = this;
  return *this;
}

void BufferBudget::Reservation::set(std::size_t bytes) {
  if (budget_ == nullptr) return;
  budget_->held_ -= bytes_;
  budget_->shared_held_ -= beyond_reserved();
  bytes_ = bytes;
  budget_->held_ += bytes_;
  budget_->shared_held_ += beyond_reserved();
  budget_->peak_held_ = std::max(budget_->peak_held_, budget_->held_);
}

bool BufferBudget::Reservation::acquire(std::size_t bytes) {
  if (bytes == 0) return true;
  if (budget_ == nullptr || bytes > budget_->free()) return false;
  set(bytes_ + bytes);
  return true;
}

void BufferBudget::Reservation::release(std::size_t bytes) { set(bytes_ - std::min(bytes, bytes_)); }

void BufferBudget::Reservation::merge(Reservation&& other) {
  if (this == &other || other.budget_ == nullptr) return;
  if (budget_ == nullptr) budget_ = other.budget_;
  const std::size_t bytes = other.bytes_;
  other.release_all();
  other.budget_ = nullptr;
  set(bytes_ + bytes);
}

void BufferBudget::Reservation::release_all() {
  set(0);
  stop_waiting();
}

std::size_t BufferBudget::Reservation::window() const {
  if (budget_ == nullptr) return 0;
  const auto& options = budget_->options_;
  const auto share =
      static_cast<std::size_t>(options.share_of_free * static_cast<double>(budget_->shared_free()));
  return std::min(options.reserved_per_holder + share, options.max_per_holder);
}

std::size_t BufferBudget::Reservation::available() const {
  const std::size_t allowed = window();
  if (allowed <= bytes_) return 0;
  const std::size_t own =
      budget_->options_.reserved_per_holder > bytes_ ? budget_->options_.reserved_per_holder - bytes_ : 0;
  return std::min({allowed - bytes_, own + budget_->shared_free(), budget_->free()});
}

bool BufferBudget::Reservation::may_resume() const { return available() > 0 && bytes_ <= window() / 2; }

void BufferBudget::Reservation::wait_for_bytes(std::uint64_t who) {
  if (wait_position_ || budget_ == nullptr) return;
  wait_position_ = budget_->waiting_.emplace(budget_->waiting_.end(), who, this);
}

void BufferBudget::Reservation::stop_waiting() {
  if (!wait_position_) return;
  budget_->waiting_.erase(*wait_position_);
  wait_position_.reset();
}

std::optional<std::uint64_t> BufferBudget::next_resumable() {
  for (const auto& [who, hold] : waiting_) {
    if (!hold->may_resume()) continue;
    const std::uint64_t found = who;
    hold->stop_waiting();
    return found;
  }
  return std::nullopt;
}

} // namespace fernward::body_buffers
