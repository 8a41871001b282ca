#include "body_buffers/retained_bodies.h"

#include <algorithm>
#include <utility>

namespace fernward::body_buffers {

bool may_send(const BodyAvailability& body, Idempotency repeat, double window_ms,
              const AttemptHistory& past) {
  if (past.attempts == 0) return body.first_attempt;
  if (!past.in_flight && !past.may_have_run) return body.retry_if_not_run;
  if (past.in_flight && !body.hedge) return false;
  if (past.may_have_run && !body.retry_if_run) return false;
  return repeat == Idempotency::Idempotent ||
         (repeat == Idempotency::WithKey && past.since_first_ms < window_ms);
}

RetainedBodies::Body::Body(RetainedBodies& keeper, std::optional<std::uint64_t> length)
    : all_(keeper), length_(length) {
  if (!length) return;
  if (*length > all_.limits_.max_body_bytes) {
    too_long_ = true;
  } else if (fits_memory(*length)) {
    all_.memory_bytes_ += reserved_memory_ = *length;
  } else if (fits_file(*length)) {
    move_to_file();
    all_.file_bytes_ += reserved_file_ = *length;
  } else {
    retention_ = Retention::None;
  }
}

RetainedBodies::Body::~Body() {
  all_.memory_bytes_ -= reserved_memory_;
  all_.file_bytes_ -= reserved_file_;
  all_.open_files_ -= has_file_;
}

void RetainedBodies::Body::move_to_file() {
  retention_ = Retention::File;
  has_file_ = true;
  ++all_.open_files_;
}

bool RetainedBodies::Body::fits_memory(std::uint64_t bytes) const {
  return memory_bytes_ + bytes <= all_.limits_.max_memory_per_body &&
         all_.memory_bytes_ + bytes <= all_.limits_.max_memory_bytes;
}

bool RetainedBodies::Body::fits_file(std::uint64_t bytes) const {
  if (!has_file_ && all_.open_files_ >= all_.limits_.max_files) return false;
  return file_bytes_ + bytes <= all_.limits_.max_file_per_body &&
         all_.file_bytes_ + bytes <= all_.limits_.max_file_bytes;
}

RetainedBodies::Placement RetainedBodies::Body::append(std::uint64_t bytes) {
  if (too_long_ || received_bytes_ + bytes > length_.value_or(all_.limits_.max_body_bytes))
    return Placement::TooLong;
  received_bytes_ += bytes;
  if (retention_ == Retention::Memory) {
    const bool fits = length_ || fits_memory(bytes);
    if (fits) {
      memory_bytes_ += bytes;
      if (memory_bytes_ > reserved_memory_)
        all_.memory_bytes_ += memory_bytes_ - std::exchange(reserved_memory_, memory_bytes_);
      return Placement::Memory;
    }
    fits_file(bytes) ? move_to_file() : void(retention_ = Retention::None);
  }
  if (retention_ == Retention::File) {
    const bool fits = length_ || fits_file(bytes);
    if (fits) {
      file_bytes_ += bytes;
      if (file_bytes_ > reserved_file_)
        all_.file_bytes_ += file_bytes_ - std::exchange(reserved_file_, file_bytes_);
      return Placement::File;
    }
    retention_ = Retention::None;
  }
  return Placement::Unretained;
}

void RetainedBodies::Body::on_file_failure(std::uint64_t bytes) {
  retention_ = Retention::None;
  file_bytes_ -= std::min(bytes, file_bytes_);
  // Releases the reservation for bytes not yet received. Bytes stored earlier can still be read.
  all_.file_bytes_ -= reserved_file_ - file_bytes_;
  reserved_file_ = file_bytes_;
}

bool RetainedBodies::Body::may_stream(bool whole) const {
  return whole || (retention_ != Retention::Memory && received_bytes_ >= all_.limits_.stream_after_bytes);
}

BodyAvailability RetainedBodies::Body::availability() const {
  if (retention_ != Retention::None) return {};
  // Streamed bytes have a single reader, so another attempt is possible only before that reader has started.
  return {!consumed_, !consumed_, false, false};
}

double RetainedBodies::Body::receive_timeout_ms(double base_ms) const {
  return base_ms + static_cast<double>(received_bytes_) / all_.limits_.min_bytes_per_ms;
}

} // namespace fernward::body_buffers
