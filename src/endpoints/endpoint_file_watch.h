// Watches a file with the endpoint list, in discovery's format: a full list, or only its array of endpoints.
// The file is checked four times a second and read when it has changed. If it is invalid, the current list
// stays in use and the error is logged.
#pragma once

#include <sys/stat.h>

#include <cstdint>
#include <functional>
#include <string>

#include "loop/timer_queue.h"

namespace fernward::endpoints {

class EndpointFileWatch {
 public:
  // Applies a full list and returns its index; throws InvalidEndpointList. The constructor already calls it
  // if the file is readable.
  using OnList = std::function<std::uint64_t(const std::string& text)>;

  EndpointFileWatch(loop::TimerQueue& timers, const std::string& path, OnList on_list);
  ~EndpointFileWatch();
  EndpointFileWatch(const EndpointFileWatch&) = delete;
  EndpointFileWatch& operator=(const EndpointFileWatch&) = delete;

  const std::string& path() const { return path_; }
  bool has_list() const { return has_list_; } // a list has been applied

 private:
  void poll();
  void read();
  void report_error(const std::string& error);

  loop::TimerQueue& timers_;
  std::string path_;
  OnList on_list_;
  std::uint64_t last_list_index_ = 0; // index assigned to the list read last; an index in the file is ignored
  struct stat last_file_status_ {};
  bool has_list_ = false;
  std::string last_error_; // the error logged last; a repeated error is not logged again
  loop::TimerQueue::TimerId poll_timer_ = 0;
};

} // namespace fernward::endpoints
