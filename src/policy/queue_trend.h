// Trend prediction for a cache's queue. Interface: include/fernward/balancer.h
#pragma once

#include <algorithm>

#include "statistics/numbers.h"

namespace fernward {

constexpr double kMaxStableQueueLength = 30; // queues up to this have no trend (TAP paper, figure 6)
constexpr double kReplicaSampleWeight = 0.2; // of a new sample in a replica's moving averages
constexpr double kMaxTrendSamples = 16;      // used for a trend line; older ones fade

/// Trend of one cache's reported queue, as in section 4.2 of the TAP paper (policy/replica.h): a regression
/// line through the samples since the last state change. Stable: short queue, or no direction. Stable changes
/// to Rising or Falling if the queue changes in one direction at an increasing speed. Rising and Falling
/// change into each other if the change or its acceleration reverses, and to Stable if the queue is short.
/// Owned by a Replica. Times: milliseconds; queue lengths: requests.
class QueueTrend {
 public:
  void add(double sampled_at, double queue_length) {
    const double change = queue_length - last_queue_length_;
    const double change_delta = change - last_change_;
    const State new_state = has_sample_ ? next_state(queue_length, change, change_delta) : state_;
    if (new_state != state_) enter_state(new_state, queue_length);
    add_trend_sample(sampled_at, queue_length);
    last_change_ = has_sample_ ? change : 0;
    last_queue_length_ = queue_length;
    last_sampled_at_ = sampled_at;
    has_sample_ = true;
  }

  /// The queue length expected at `now`.
  double predict(double now) const {
    if (state_ == State::Stable) return mean_queue_length_;
    const double time_spread = sample_count_ * time_square_sum_ - time_sum_ * time_sum_;
    if (sample_count_ < 2 || time_spread <= 0) return last_queue_length_;
    const double slope = (sample_count_ * time_queue_sum_ - time_sum_ * queue_sum_) / time_spread;
    // After a pause or a late report the line is outdated: do not extrapolate further ahead than the samples
    // reach back.
    const double prediction_time_ms = std::min(now, 2 * last_sampled_at_ - first_sampled_at_) - time_origin_;
    return std::max(0.0, (queue_sum_ - slope * time_sum_) / sample_count_ + slope * prediction_time_ms);
  }

 private:
  enum class State { Stable, Rising, Falling };

  State next_state(double queue_length, double change, double change_delta) const {
    if (queue_length <= kMaxStableQueueLength) return State::Stable;
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
  void enter_state(State new_state, double queue_length) {
    const bool keep_last_sample = keeps_last_sample(new_state, queue_length);
    state_ = new_state;
    sample_count_ = 0;
    if (keep_last_sample) add_trend_sample(last_sampled_at_, last_queue_length_);
  }
  bool keeps_last_sample(State new_state, double queue_length) const {
    if (state_ == State::Stable) return new_state == State::Rising;
    if (new_state == State::Falling) return last_queue_length_ > queue_length;
    return new_state == State::Rising && last_queue_length_ < queue_length;
  }

  void add_trend_sample(double sampled_at, double queue_length) {
    if (sample_count_ == 0) {
      time_origin_ = sampled_at;
      first_sampled_at_ = sampled_at;
      time_sum_ = 0;
      queue_sum_ = 0;
      time_square_sum_ = 0;
      time_queue_sum_ = 0;
      mean_queue_length_ = queue_length;
    } else if (sample_count_ >= kMaxTrendSamples) {
      halve_sums();
    }
    const double relative_time_ms = sampled_at - time_origin_;
    sample_count_ += 1;
    time_sum_ += relative_time_ms;
    queue_sum_ += queue_length;
    time_square_sum_ += relative_time_ms * relative_time_ms;
    time_queue_sum_ += relative_time_ms * queue_length;
    update_moving_average(mean_queue_length_, queue_length, kReplicaSampleWeight);
  }
  // Fades old samples by halving the sums, so that no list of samples is needed.
  void halve_sums() {
    for (double* sum : {&sample_count_, &time_sum_, &queue_sum_, &time_square_sum_, &time_queue_sum_})
      *sum /= 2;
    first_sampled_at_ = (first_sampled_at_ + last_sampled_at_) / 2;
  }

  State state_ = State::Stable;
  bool has_sample_ = false;
  double last_sampled_at_ = 0;
  double last_queue_length_ = 0;
  double last_change_ = 0;
  // Sums of the regression line; times are relative to time_origin_.
  double time_origin_ = 0;
  double first_sampled_at_ = 0;
  double sample_count_ = 0;
  double mean_queue_length_ = 0;
  double time_sum_ = 0;
  double queue_sum_ = 0;
  double time_square_sum_ = 0;
  double time_queue_sum_ = 0;
};

} // namespace fernward
