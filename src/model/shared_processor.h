// A processor-sharing queue: all jobs progress at the same rate, which may change at any time.
#pragma once

#include <cstdint>
#include <vector>

namespace fernward::model {

class SharedProcessor {
 public:
  // Sets the work done per millisecond for each job from `now` on.
  void set_rate(double now, double rate_per_job);
  void add(double now, std::uint32_t job, double work);
  double remove(double now, std::uint32_t job); // returns its remaining work; 0 if there is no such job

  std::size_t jobs() const { return jobs_.size(); }
  // Completion time of the next job at the current rate; infinity: none completes.
  double next_completion_ms() const;
  // Advances to next_completion_ms() and returns the job that completes then. Requires that there is one.
  std::uint32_t pop_completed();
  // All work done so far, over all jobs.
  double total_work(double now) const;

 private:
  struct Job {
    double finish; // value of work_per_job_ at which the job is complete
    std::uint32_t id;
  };
  void advance(double now);

  double now_ = 0, rate_ = 0; // rate_: work per ms for each job
  double work_per_job_ = 0;   // work done for a job that has been present since the beginning
  double completed_work_ = 0;
  std::vector<Job> jobs_; // sorted by descending `finish`: the next to complete is last
};

} // namespace fernward::model
