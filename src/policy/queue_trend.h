// Trend prediction for a cache's queue. Interface: include/fernward/balancer.h
#pragma once

#include <algorithm>

#include "statistics/numbers.h"

namespace fernward {

constexpr double kStableQueueLength = 30; // queues up to this have no trend (paper, figure 6)
constexpr double kSampleWeight = 0.2;     // of a new sample in a replica's moving averages
constexpr double kMaxTrendSamples = 16;   // used for a trend line; older ones fade

/// Trend of one cache's reported queue (paper, section 4.2): a regression line through the samples since the
/// last state change. Stable: short queue, or no direction. Stable changes to Rising or Falling if the queue
/// changes in one direction at an increasing speed. Rising and Falling change into each other if the change
/// or its acceleration reverses, and to Stable if the queue is short. Owned by a Replica. Times:
/// milliseconds; queue lengths: requests.
class QueueTrend {
 public:
  void add(double sampled_at, double queue) {
    const double change = queue - last_queue_;
    const double change_delta = change - last_change_;
    const State following_state = has_sample_ ? next_state(queue, change, change_delta) : state_;
    if (following_state != state_) enter_state(following_state, queue);
    add_trend_sample(sampled_at, queue);
    last_change_ = has_sample_ ? change : 0;
    last_queue_ = queue;
    last_at_ = sampled_at;
    has_sample_ = true;
  }

  /// The queue length expected at `now`.
  double predict(double now) const {
    if (state_ == State::Stable) return queue_mean_;
    const double time_spread = sample_count_ * time_square_sum_ - time_sum_ * time_sum_;
    if (sample_count_ < 2 || time_spread <= 0) return last_queue_;
    const double slope = (sample_count_ * time_queue_sum_ - time_sum_ * queue_sum_) / time_spread;
    // After a pause or a late report the line is outdated: do not extrapolate further ahead than the samples
    // reach back.
    const double prediction_time = std::min(now, 2 * last_at_ - first_at_) - time_origin_;
    return std::max(0.0, (queue_sum_ - slope * time_sum_) / sample_count_ + slope * prediction_time);
  }

 private:
  enum class State { Stable, Rising, Falling };

  State next_state(double queue, double change, double change_delta) const {
    if (queue <= kStableQueueLength) return State::Stable;
    switch (state_) {
      case State::Stable:
        if (change > 0 && change_delta > 0) return State::Rising;
        return change < 0 && change_delta < 0 ? State::Falling : state_;
      case State::Rising: return change < 0 || change_delta < 0 ? State::Falling : state_;
      case State::Falling: return change > 0 || change_delta > 0 ? State::Rising : state_;
    }
    return state_;
  }

  // Starts a new line. The previous sample is its first one if it lies on the new side of the turning point.
  void enter_state(State next, double queue) {
    const bool keep_last_sample = keeps_last_sample(next, queue);
    state_ = next;
    sample_count_ = 0;
    if (keep_last_sample) add_trend_sample(last_at_, last_queue_);
  }
  bool keeps_last_sample(State next, double queue) const {
    if (state_ == State::Stable) return next == State::Rising;
    if (next == State::Falling) return last_queue_ > queue;
    return next == State::Rising && last_queue_ < queue;
  }

  void add_trend_sample(double sampled_at, double queue) {
    if (sample_count_ == 0) {
      time_origin_ = sampled_at;
      first_at_ = sampled_at;
      time_sum_ = 0;
      queue_sum_ = 0;
      time_square_sum_ = 0;
      time_queue_sum_ = 0;
      queue_mean_ = queue;
    } else if (sample_count_ >= kMaxTrendSamples) {
      halve_sums();
    }
    const double time = sampled_at - time_origin_;
    sample_count_ += 1;
    time_sum_ += time;
    queue_sum_ += queue;
    time_square_sum_ += time * time;
    time_queue_sum_ += time * queue;
    update_moving_average(queue_mean_, queue, kSampleWeight);
  }
  // Fades old samples by halving the sums, so that no list of samples is needed.
  void halve_sums() {
    for (double* sum : {&sample_count_, &time_sum_, &queue_sum_, &time_square_sum_, &time_queue_sum_})
      *sum /= 2;
    first_at_ = (first_at_ + last_at_) / 2;
  }

  State state_ = State::Stable;
  bool has_sample_ = false;
  double last_at_ = 0;
  double last_queue_ = 0;
  double last_change_ = 0;
  // Sums of the regression line; times are relative to time_origin_.
  double time_origin_ = 0;
  double first_at_ = 0;
  double sample_count_ = 0;
  double queue_mean_ = 0;
  double time_sum_ = 0;
  double queue_sum_ = 0;
  double time_square_sum_ = 0;
  double time_queue_sum_ = 0;
};

} // namespace fernward
