// A file that tells the nodes, in discovery's form: a whole list, or only its array of endpoints. It is
// looked at four times a second and read when it has changed; what can't be read leaves the list as it is,
// with a line in the log.
#pragma once

#include <sys/stat.h>

#include <cstdint>
#include <functional>
#include <string>

#include "loop/timer_queue.h"

namespace fernward::endpoints {

class EndpointFileWatch {
 public:
  // Takes a whole list; throws Damaged. It is called first from within the constructor, where the file can be
  // read.
  using Take = std::function<std::uint64_t(const std::string& text)>;

  EndpointFileWatch(loop::TimerQueue& timers, const std::string& path, Take take);
  ~EndpointFileWatch();
  EndpointFileWatch(const EndpointFileWatch&) = delete;
  EndpointFileWatch& operator=(const EndpointFileWatch&) = delete;

  const std::string& path() const { return path_; }
  bool has_list() const { return has_list_; } // a list has been taken

 private:
  void poll();
  void read();
  void set_fault(const std::string& why);

  loop::TimerQueue& timers_;
  std::string path_;
  Take take_;
  std::uint64_t versions_ = 0;
  struct stat seen_ {};
  bool has_list_ = false;
  std::string fault_; // told last: it is not told again and again
  loop::TimerQueue::TimerId poll_timer_ = 0;
};

} // namespace fernward::endpoints
