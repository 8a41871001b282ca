// Where a cache's queue is heading. Interface: include/fernward/balancer.h
#pragma once

#include <algorithm>

#include "statistics/numbers.h"

namespace fernward {

constexpr double kStableQueueLength = 30; // queues up to this do not trend (paper, figure 6)
constexpr double kSampleWeight = 0.2;     // weight of a new sample in the moving averages
constexpr double kMaxReadings = 16;       // readings a trend line rests on; older ones fade

// Where a cache's queue is heading (paper, section 4.2): state, and running sums of the readings kept in it.
struct QueueTrend {
  enum class State { Stable, Rising, Falling };
  State state = State::Stable;
  double reading_count = 0, first_at = 0, last_at = 0, last_queue = 0, last_change = 0, mean = 0;
  double time_sum = 0, queue_sum = 0, time_square_sum = 0, time_queue_sum = 0; // times count from `base`
  double time_origin = 0;
  bool has_reading = false;

  void add(double at, double queue) {
    const double change = queue - last_queue, turn = change - last_change;
    const State next = has_reading ? next_state(queue, change, turn) : state;
    if (next != state) {
      const bool keep_last = state == State::Stable   ? next == State::Rising
                             : next == State::Falling ? last_queue > queue
                             : next == State::Rising  ? last_queue < queue
                                                      : false;
      state = next;
      reading_count = 0;
      if (keep_last) add_reading(last_at, last_queue);
    }
    add_reading(at, queue);
    last_change = has_reading ? change : 0;
    last_queue = queue;
    last_at = at;
    has_reading = true;
  }

  double predict(double now) const {
    if (state == State::Stable) return mean;
    const double spread = reading_count * time_square_sum - time_sum * time_sum;
    if (reading_count < 2 || spread <= 0) return last_queue;
    const double slope = (reading_count * time_queue_sum - time_sum * queue_sum) / spread;
    // Pauses and late reports stretch stale lines: read no further ahead than the readings reach back.
    const double at = std::min(now, 2 * last_at - first_at) - time_origin;
    return std::max(0.0, (queue_sum - slope * time_sum) / reading_count + slope * at);
  }

 private:
  State next_state(double queue, double change, double turn) const {
    if (queue <= kStableQueueLength) return State::Stable;
    switch (state) {
      case State::Stable:
        return change > 0 && turn > 0 ? State::Rising : change < 0 && turn < 0 ? State::Falling : state;
      case State::Rising: return change < 0 || turn < 0 ? State::Falling : state;
      default: return change > 0 || turn > 0 ? State::Rising : state;
    }
  }

  void add_reading(double at, double queue) {
    if (reading_count == 0) {
      time_origin = first_at = at;
      time_sum = queue_sum = time_square_sum = time_queue_sum = 0;
      mean = queue;
    } else if (reading_count >= kMaxReadings) { // fade the old ones, so that sums need no list of readings
      for (double* sum : {&reading_count, &time_sum, &queue_sum, &time_square_sum, &time_queue_sum})
        *sum /= 2;
      first_at = (first_at + last_at) / 2;
    }
    const double t = at - time_origin;
    reading_count += 1;
    time_sum += t;
    queue_sum += queue;
    time_square_sum += t * t;
    time_queue_sum += t * queue;
    smooth(mean, queue, kSampleWeight);
  }
};

} // namespace fernward
