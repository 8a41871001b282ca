#include "body_buffers/retained_bodies.h"

#include <algorithm>
#include <utility>

namespace fernward::body_buffers {

bool may_send(const BodyAvailability& body, Idempotency idempotency, double key_window_ms,
              const AttemptHistory& history) {
  if (history.attempts == 0) return body.first_attempt;
  if (!history.in_flight && !history.may_have_executed) return body.retry_if_not_executed;
  if (history.in_flight && !body.hedge) return false;
  if (history.may_have_executed && !body.retry_if_executed) return false;
  return idempotency == Idempotency::Idempotent ||
         (idempotency == Idempotency::WithKey && history.elapsed_since_first_ms < key_window_ms);
}

RetainedBodies::Body::Body(RetainedBodies& bodies, std::optional<std::uint64_t> announced_bytes)
    : bodies_(bodies), announced_bytes_(announced_bytes) {
  if (!announced_bytes) return;
  if (*announced_bytes > bodies_.limits_.max_body_bytes) {
    too_long_ = true;
  } else if (fits_memory(*announced_bytes)) {
    bodies_.memory_bytes_ += reserved_memory_bytes_ = *announced_bytes;
  } else if (fits_file(*announced_bytes)) {
    move_to_file();
    bodies_.file_bytes_ += reserved_file_bytes_ = *announced_bytes;
  } else {
    retention_ = Retention::None;
  }
}

RetainedBodies::Body::~Body() {
  bodies_.memory_bytes_ -= reserved_memory_bytes_;
  bodies_.file_bytes_ -= reserved_file_bytes_;
  bodies_.open_files_ -= has_file_;
}

void RetainedBodies::Body::move_to_file() {
  retention_ = Retention::File;
  has_file_ = true;
  ++bodies_.open_files_;
}

bool RetainedBodies::Body::fits_memory(std::uint64_t bytes) const {
  if (bodies_.memory_ != nullptr && bytes > bodies_.memory_->free_bytes(memory_budget::Purpose::Transit))
    return false;
  return stored_memory_bytes_ + bytes <= bodies_.limits_.max_memory_bytes_per_body &&
         bodies_.memory_bytes_ + bytes <= bodies_.limits_.max_memory_bytes;
}

bool RetainedBodies::Body::fits_file(std::uint64_t bytes) const {
  if (!has_file_ && bodies_.open_files_ >= bodies_.limits_.max_files) return false;
  return stored_file_bytes_ + bytes <= bodies_.limits_.max_file_bytes_per_body &&
         bodies_.file_bytes_ + bytes <= bodies_.limits_.max_file_bytes;
}

RetainedBodies::Placement RetainedBodies::Body::append(std::uint64_t bytes) {
  if (too_long_ || received_bytes_ + bytes > announced_bytes_.value_or(bodies_.limits_.max_body_bytes))
    return Placement::TooLong;
  received_bytes_ += bytes;
  if (retention_ == Retention::Memory) {
    const bool fits = announced_bytes_ || fits_memory(bytes);
    if (fits) {
      stored_memory_bytes_ += bytes;
      if (stored_memory_bytes_ > reserved_memory_bytes_)
        bodies_.memory_bytes_ +=
            stored_memory_bytes_ - std::exchange(reserved_memory_bytes_, stored_memory_bytes_);
      return Placement::Memory;
    }
    fits_file(bytes) ? move_to_file() : void(retention_ = Retention::None);
  }
  if (retention_ == Retention::File) {
    const bool fits = announced_bytes_ || fits_file(bytes);
    if (fits) {
      stored_file_bytes_ += bytes;
      if (stored_file_bytes_ > reserved_file_bytes_)
        bodies_.file_bytes_ += stored_file_bytes_ - std::exchange(reserved_file_bytes_, stored_file_bytes_);
      return Placement::File;
    }
    retention_ = Retention::None;
  }
  return Placement::Unretained;
}

void RetainedBodies::Body::on_file_failure(std::uint64_t bytes) {
  retention_ = Retention::None;
  stored_file_bytes_ -= std::min(bytes, stored_file_bytes_);
  // Releases the reservation for bytes not yet received. Bytes stored earlier can still be read.
  bodies_.file_bytes_ -= reserved_file_bytes_ - stored_file_bytes_;
  reserved_file_bytes_ = stored_file_bytes_;
}

bool RetainedBodies::Body::may_stream(bool complete) const {
  return complete ||
         (retention_ != Retention::Memory && received_bytes_ >= bodies_.limits_.stream_after_bytes);
}

BodyAvailability RetainedBodies::Body::availability() const {
  if (retention_ != Retention::None) return {};
  // Streamed bytes have a single reader, so another attempt is possible only before that reader has started.
  return {!consumed_, !consumed_, false, false};
}

double RetainedBodies::Body::receive_timeout_ms(double base_ms) const {
  return base_ms + static_cast<double>(received_bytes_) / bodies_.limits_.min_bytes_per_ms;
}

} // namespace fernward::body_buffers
