// Where a cache's queue is heading. Interface: include/fernward/balancer.h
#pragma once

#include <algorithm>

#include "statistics/numbers.h"

namespace fernward {

constexpr double kStableQueue = 30; // queues up to this do not trend (paper, figure 6)
constexpr double kSmooth = 0.2;     // weight of a new sample in the moving averages
constexpr double kReadings = 16;    // readings a trend line rests on; older ones fade

// Where a cache's queue is heading (paper, section 4.2): state, and running sums of the readings kept in it.
struct Trend {
  enum class State { Stable, Rising, Falling };
  State state = State::Stable;
  double count = 0, first_at = 0, last_at = 0, last = 0, last_change = 0, mean = 0;
  double st = 0, sq = 0, stt = 0, stq = 0; // times count from `base`
  double base = 0;
  bool seen = false;

  void take(double at, double queue) {
    const double change = queue - last, turn = change - last_change;
    const State next = seen ? judge(queue, change, turn) : state;
    if (next != state) {
      const bool keep_last = state == State::Stable   ? next == State::Rising
                             : next == State::Falling ? last > queue
                             : next == State::Rising  ? last < queue
                                                      : false;
      state = next;
      count = 0;
      if (keep_last) keep(last_at, last);
    }
    keep(at, queue);
    last_change = seen ? change : 0;
    last = queue;
    last_at = at;
    seen = true;
  }

  double predict(double now) const {
    if (state == State::Stable) return mean;
    const double spread = count * stt - st * st;
    if (count < 2 || spread <= 0) return last;
    const double slope = (count * stq - st * sq) / spread;
    // Pauses and late reports stretch stale lines: read no further ahead than the readings reach back.
    const double at = std::min(now, 2 * last_at - first_at) - base;
    return std::max(0.0, (sq - slope * st) / count + slope * at);
  }

 private:
  State judge(double queue, double change, double turn) const {
    if (queue <= kStableQueue) return State::Stable;
    switch (state) {
      case State::Stable:
        return change > 0 && turn > 0 ? State::Rising : change < 0 && turn < 0 ? State::Falling : state;
      case State::Rising: return change < 0 || turn < 0 ? State::Falling : state;
      default: return change > 0 || turn > 0 ? State::Rising : state;
    }
  }

  void keep(double at, double queue) {
    if (count == 0) {
      base = first_at = at;
      st = sq = stt = stq = 0;
      mean = queue;
    } else if (count >= kReadings) { // fade the old ones, so that sums need no list of readings
      for (double* sum : {&count, &st, &sq, &stt, &stq}) *sum /= 2;
      first_at = (first_at + last_at) / 2;
    }
    const double t = at - base;
    count += 1;
    st += t;
    sq += queue;
    stt += t * t;
    stq += t * queue;
    smooth(mean, queue, kSmooth);
  }
};

} // namespace fernward
