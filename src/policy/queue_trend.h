// Where a cache's queue is heading. Interface: include/fernward/balancer.h
#pragma once

#include <algorithm>

#include "statistics/numbers.h"

namespace fernward {

constexpr double kStableQueueLength = 30; // queues up to this do not trend (paper, figure 6)
constexpr double kSampleWeight = 0.2;     // of a new sample in a replica's moving averages
constexpr double kMaxReadings = 16;       // that a trend line rests on; older ones fade

/// The trend of one cache's reported queue (paper, section 4.2), by a line through the readings of the
/// present state. Stable: short, or without a direction. Stable turns to Rising or Falling where the queue
/// moves ever faster one way; these turn into each other where it moves or bends the other way, and to Stable
/// where the queue is short. Times: milliseconds; queues: requests.
class QueueTrend {
 public:
  void add(double at, double queue) {
    const double change = queue - last_queue_;
    const double bend = change - last_change_;
    const State next = has_reading_ ? next_state(queue, change, bend) : state_;
    if (next != state_) enter(next, queue);
    add_reading(at, queue);
    last_change_ = has_reading_ ? change : 0;
    last_queue_ = queue;
    last_at_ = at;
    has_reading_ = true;
  }

  /// The queue expected at `now`.
  double predict(double now) const {
    if (state_ == State::Stable) return mean_;
    const double spread = reading_count_ * time_square_sum_ - time_sum_ * time_sum_;
    if (reading_count_ < 2 || spread <= 0) return last_queue_;
    const double slope = (reading_count_ * time_queue_sum_ - time_sum_ * queue_sum_) / spread;
    // Pauses and late reports stretch stale lines: read no further ahead than the readings reach back.
    const double at = std::min(now, 2 * last_at_ - first_at_) - time_origin_;
    return std::max(0.0, (queue_sum_ - slope * time_sum_) / reading_count_ + slope * at);
  }

 private:
  enum class State { Stable, Rising, Falling };

  State next_state(double queue, double change, double bend) const {
    if (queue <= kStableQueueLength) return State::Stable;
    switch (state_) {
      case State::Stable:
        if (change > 0 && bend > 0) return State::Rising;
        return change < 0 && bend < 0 ? State::Falling : state_;
      case State::Rising: return change < 0 || bend < 0 ? State::Falling : state_;
      case State::Falling: return change > 0 || bend > 0 ? State::Rising : state_;
    }
    return state_;
  }

  // The line starts anew; the reading before begins it where it lies on the new side of the turn.
  void enter(State next, double queue) {
    const bool keep_last = starts_with_last(next, queue);
    state_ = next;
    reading_count_ = 0;
    if (keep_last) add_reading(last_at_, last_queue_);
  }
  bool starts_with_last(State next, double queue) const {
    if (state_ == State::Stable) return next == State::Rising;
    if (next == State::Falling) return last_queue_ > queue;
    return next == State::Rising && last_queue_ < queue;
  }

  void add_reading(double at, double queue) {
    if (reading_count_ == 0) {
      time_origin_ = at;
      first_at_ = at;
      time_sum_ = 0;
      queue_sum_ = 0;
      time_square_sum_ = 0;
      time_queue_sum_ = 0;
      mean_ = queue;
    } else if (reading_count_ >= kMaxReadings) {
      halve();
    }
    const double time = at - time_origin_;
    reading_count_ += 1;
    time_sum_ += time;
    queue_sum_ += queue;
    time_square_sum_ += time * time;
    time_queue_sum_ += time * queue;
    smooth(mean_, queue, kSampleWeight);
  }
  // Old readings fade, so that the sums need no list of them.
  void halve() {
    for (double* sum : {&reading_count_, &time_sum_, &queue_sum_, &time_square_sum_, &time_queue_sum_})
      *sum /= 2;
    first_at_ = (first_at_ + last_at_) / 2;
  }

  State state_ = State::Stable;
  bool has_reading_ = false;
  double last_at_ = 0;
  double last_queue_ = 0;
  double last_change_ = 0;
  // of the line; times count from time_origin_
  double time_origin_ = 0;
  double first_at_ = 0;
  double reading_count_ = 0;
  double mean_ = 0;
  double time_sum_ = 0;
  double queue_sum_ = 0;
  double time_square_sum_ = 0;
  double time_queue_sum_ = 0;
};

} // namespace fernward
