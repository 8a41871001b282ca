// Time measurement for the benchmarks.
#pragma once

#include <algorithm>
#include <ctime>
#include <vector>

namespace fernward::bench {

// CPU time of this thread, in microseconds.
inline double thread_cpu_us() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 + static_cast<double>(time.tv_nsec) / 1e3;
}

// `values` must not be empty.
inline double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

} // namespace fernward::bench
