#include "body_buffers/retained_bodies.h"

#include <algorithm>
#include <utility>

namespace fernward::body_buffers {

bool may_send(const Allows& body, Idempotency repeat, double window_ms, const Past& past) {
  if (past.attempts == 0) return body.first;
  if (!past.out && !past.may_have_run) return body.not_run;
  if (past.out && !body.copy) return false;
  if (past.may_have_run && !body.again) return false;
  return repeat == Idempotency::Idempotent ||
         (repeat == Idempotency::WithKey && past.since_first_ms < window_ms);
}

RetainedBodies::Body::Body(RetainedBodies& keeper, std::optional<std::uint64_t> length)
    : keeper_(keeper), length_(length) {
  if (!length) return;
  if (*length > keeper_.rules_.ceiling) {
    too_long_ = true;
  } else if (fits_memory(*length)) {
    keeper_.memory_ += memory_ = *length;
  } else if (fits_file(*length)) {
    to_file();
    keeper_.file_ += file_ = *length;
  } else {
    level_ = Level::Passing;
  }
}

RetainedBodies::Body::~Body() {
  keeper_.memory_ -= memory_;
  keeper_.file_ -= file_;
  keeper_.files_ -= has_file_;
}

void RetainedBodies::Body::to_file() {
  level_ = Level::File;
  has_file_ = true;
  ++keeper_.files_;
}

bool RetainedBodies::Body::fits_memory(std::uint64_t bytes) const {
  return in_memory_ + bytes <= keeper_.rules_.memory_most &&
         keeper_.memory_ + bytes <= keeper_.rules_.memory_all;
}

bool RetainedBodies::Body::fits_file(std::uint64_t bytes) const {
  if (!has_file_ && keeper_.files_ >= keeper_.rules_.files) return false;
  return in_file_ + bytes <= keeper_.rules_.file_most && keeper_.file_ + bytes <= keeper_.rules_.file_all;
}

RetainedBodies::Put RetainedBodies::Body::put(std::uint64_t bytes) {
  if (too_long_ || come_ + bytes > length_.value_or(keeper_.rules_.ceiling)) return Put::TooLong;
  come_ += bytes;
  if (level_ == Level::Memory) {
    const bool fits = length_ || fits_memory(bytes);
    if (fits) {
      in_memory_ += bytes;
      if (in_memory_ > memory_) keeper_.memory_ += in_memory_ - std::exchange(memory_, in_memory_);
      return Put::Memory;
    }
    fits_file(bytes) ? to_file() : void(level_ = Level::Passing);
  }
  if (level_ == Level::File) {
    const bool fits = length_ || fits_file(bytes);
    if (fits) {
      in_file_ += bytes;
      if (in_file_ > file_) keeper_.file_ += in_file_ - std::exchange(file_, in_file_);
      return Put::File;
    }
    level_ = Level::Passing;
  }
  return Put::Passing;
}

void RetainedBodies::Body::file_failed(std::uint64_t bytes) {
  level_ = Level::Passing;
  in_file_ -= std::min(bytes, in_file_);
  // What was set aside for the rest is free again; what came before may still be read.
  keeper_.file_ -= file_ - in_file_;
  file_ = in_file_;
}

bool RetainedBodies::Body::may_flow(bool whole) const {
  return whole || (level_ != Level::Memory && come_ >= keeper_.rules_.flow_after);
}

Allows RetainedBodies::Body::allows() const {
  if (level_ != Level::Passing) return {};
  // Of what is handed on as it comes there is one reader, and a second attempt only before it has begun to read.
  return {!dropped_, !dropped_, false, false};
}

double RetainedBodies::Body::due_ms(double base_ms) const {
  return base_ms + static_cast<double>(come_) / keeper_.rules_.least_rate;
}

} // namespace fernward::body_buffers
