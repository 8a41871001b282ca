// Executes many runs on several cores. Results are stored by the index of the run, so their order doesn't
// depend on which run ends first.
#pragma once

#include <atomic>
#include <exception>
#include <functional>
#include <mutex>
#include <stop_token>
#include <thread>
#include <vector>

namespace fernward::lab {

// Calls work(i) for each i below `count`, on `jobs` threads (at least one), and done(n) after each, where n
// is the number of finished calls. done is called by one thread at a time. If calls of work throw, the
// exception with the lowest index is rethrown once all threads have ended. After a stop request no further
// call begins.
inline void many(std::size_t count, unsigned jobs, std::stop_token stop,
                 const std::function<void(std::size_t)>& work, const std::function<void(std::size_t)>& done) {
  std::atomic<std::size_t> next = 0;
  std::mutex mutex;
  std::size_t over = 0;
  std::vector<std::exception_ptr> thrown(count);
  const auto run = [&] {
    for (std::size_t i = next++; i < count && !stop.stop_requested(); i = next++) {
      try {
        work(i);
      } catch (...) {
        thrown[i] = std::current_exception();
      }
      const std::lock_guard lock(mutex);
      done(++over);
    }
  };
  {
    std::vector<std::jthread> threads;
    for (unsigned j = 1; j < jobs && j < count; ++j) threads.emplace_back(run);
    run();
  }
  for (const auto& fault : thrown) {
    if (fault) std::rethrow_exception(fault);
  }
}

} // namespace fernward::lab
