#include "body_buffers/buffer_budget.h"

#include <algorithm>

namespace fernward::body_buffers {

BufferBudget::BufferBudget(const BufferBudgetOptions& options, const memory_budget::MemoryBudget* memory)
    : options_(options), memory_(memory) {
  const std::size_t holder_count = std::max<std::size_t>(options_.expected_holders, 1);
  options_.reserved_bytes_per_holder =
      std::min(options_.reserved_bytes_per_holder, options_.total_bytes / 2 / holder_count);
  options_.max_bytes_per_holder = std::max(options_.max_bytes_per_holder, options_.reserved_bytes_per_holder);
  shared_total_bytes_ = options_.total_bytes - options_.reserved_bytes_per_holder * holder_count;
}

void BufferBudget::set_total_bytes(std::size_t total_bytes) {
  const std::size_t reserved_bytes = options_.total_bytes - shared_total_bytes_;
  options_.total_bytes = std::max(total_bytes, reserved_bytes);
  shared_total_bytes_ = options_.total_bytes - reserved_bytes;
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

void BufferBudget::Reservation::set_bytes(std::size_t bytes) {
  if (budget_ == nullptr) return;
  budget_->held_bytes_ -= bytes_;
  budget_->shared_held_bytes_ -= bytes_beyond_reserved();
  bytes_ = bytes;
  budget_->held_bytes_ += bytes_;
  budget_->shared_held_bytes_ += bytes_beyond_reserved();
  budget_->peak_held_bytes_ = std::max(budget_->peak_held_bytes_, budget_->held_bytes_);
}

bool BufferBudget::Reservation::acquire(std::size_t bytes) {
  if (bytes == 0) return true;
  if (budget_ == nullptr || bytes > budget_->free_bytes()) return false;
  set_bytes(bytes_ + bytes);
  return true;
}

void BufferBudget::Reservation::release(std::size_t bytes) { set_bytes(bytes_ - std::min(bytes, bytes_)); }

void BufferBudget::Reservation::merge(Reservation&& other) {
  if (this == &other || other.budget_ == nullptr) return;
  if (budget_ == nullptr) budget_ = other.budget_;
  const std::size_t bytes = other.bytes_;
  other.release_all();
  other.budget_ = nullptr;
  set_bytes(bytes_ + bytes);
}

void BufferBudget::Reservation::release_all() {
  set_bytes(0);
  stop_waiting();
}

std::size_t BufferBudget::Reservation::window_bytes() const {
  if (budget_ == nullptr) return 0;
  const auto& options = budget_->options_;
  const auto shared_window_bytes =
      static_cast<std::size_t>(options.max_share_of_free * static_cast<double>(budget_->shared_free_bytes()));
  return std::min(options.reserved_bytes_per_holder + shared_window_bytes, options.max_bytes_per_holder);
}

std::size_t BufferBudget::Reservation::available_bytes() const {
  const std::size_t max_held_bytes = window_bytes();
  if (max_held_bytes <= bytes_) return 0;
  const std::size_t unused_reserved_bytes = budget_->options_.reserved_bytes_per_holder > bytes_
                                                ? budget_->options_.reserved_bytes_per_holder - bytes_
                                                : 0;
  return std::min(
      {max_held_bytes - bytes_, unused_reserved_bytes + budget_->shared_free_bytes(), budget_->free_bytes()});
}

bool BufferBudget::Reservation::may_resume() const {
  return available_bytes() > 0 && bytes_ <= window_bytes() / 2;
}

void BufferBudget::Reservation::wait_for_bytes(std::uint64_t holder_id) {
  if (wait_position_ || budget_ == nullptr) return;
  wait_position_ = budget_->waiting_list_.emplace(budget_->waiting_list_.end(), holder_id, this);
}

void BufferBudget::Reservation::stop_waiting() {
  if (!wait_position_) return;
  budget_->waiting_list_.erase(*wait_position_);
  wait_position_.reset();
}

std::optional<std::uint64_t> BufferBudget::next_resumable() {
  for (const auto& [holder_id, reservation] : waiting_list_) {
    if (!reservation->may_resume()) continue;
    const std::uint64_t resumable_id = holder_id;
    reservation->stop_waiting();
    return resumable_id;
  }
  return std::nullopt;
}

} // namespace fernward::body_buffers
