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

// Calls run_item(i) for each i below `count`, on `jobs` threads (at least one; the calling thread is one of
// them), and on_finished(n) after each, where n is the number of finished calls. on_finished is called by one
// thread at a time. If calls of run_item throw, the exception of the lowest index is rethrown once all threads
// have ended. After a stop request no further call begins.
inline void run_parallel(std::size_t count, unsigned jobs, std::stop_token stop,
                         const std::function<void(std::size_t)>& run_item,
                         const std::function<void(std::size_t)>& on_finished) {
  std::atomic<std::size_t> next_index = 0;
  std::mutex mutex;
  std::size_t finished_count = 0;
  std::vector<std::exception_ptr> exceptions(count);
  const auto run_next_items = [&] {
    for (std::size_t i = next_index++; i < count && !stop.stop_requested(); i = next_index++) {
      try {
        run_item(i);
      } catch (...) {
        exceptions[i] = std::current_exception();
      }
      const std::lock_guard lock(mutex);
      on_finished(++finished_count);
    }
  };
  {
    std::vector<std::jthread> threads;
    for (unsigned j = 1; j < jobs && j < count; ++j) threads.emplace_back(run_next_items);
    run_next_items();
  }
  for (const auto& exception : exceptions) {
    if (exception) std::rethrow_exception(exception);
  }
}

} // namespace fernward::lab
