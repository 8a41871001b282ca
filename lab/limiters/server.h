// A simulated server: cores shared by the requests in its slots, a bounded queue, lower efficiency when
// congested, and failure under overload. Times are virtual milliseconds; work is in milliseconds of one core.
#pragma once

#include <cstdint>
#include <deque>
#include <queue>
#include <utility>
#include <vector>

namespace fernward::limiters {

struct ServerSpec {
  double cores = 8;
  double slots_per_core = 4; // requests in work at once
  double queue_per_core = 3; // requests that may wait; further ones are rejected
  double efficiency_loss =
      0.05; // efficiency lost for each request a core holds beyond `efficiency_loss_from`
  double efficiency_loss_from = 4;
  bool drops_expired = false; // a request whose deadline has passed is not started
  double overload_multiple =
      0; // fails when sent this many times its capacity for `overload_window_ms`; 0: never
  double overload_window_ms = 2000, down_ms = 4000; // down_ms: how long it is down after a failure
};

// One server, driven by the simulation: time passes for it only in calls, whose `now` never decreases.
class Server {
 public:
  using Job = std::uint64_t; // the caller's number of an attempt
  explicit Server(const ServerSpec& spec) : spec_(spec) {}

  enum class AdmissionResult { Started, Queued, Rejected, Down };
  // A job with the deadline `deadline` arrives. Rejected: the slots and the queue are full.
  AdmissionResult arrive(double now, Job job, double work_ms, double deadline);
  // Appends the jobs that are finished at `now` to `done` and starts queued ones in their slots. Expired jobs
  // that are not started are appended to `dropped`.
  void advance(double now, std::vector<Job>& done, std::vector<Job>& dropped);
  double next_completion_at() const;         // with the present jobs; infinity: none
  void set_speed(double now, double factor); // factor of each core; 1 at the start
  // Fails when overloaded: returns true once, and appends all held jobs to `lost`.
  bool fail_if_overloaded(double now, std::vector<Job>& lost);
  bool down(double now) const { return now < down_until_; }

  double held_count() const { return static_cast<double>(running_.size() + waiting_.size()); }
  double running_count() const { return static_cast<double>(running_.size()); }
  double waiting_count() const { return static_cast<double>(waiting_.size()); }
  double held_per_core() const { return held_count() / spec_.cores; }
  const ServerSpec& spec() const { return spec_; }

 private:
  struct HeldJob {
    Job job;
    double work_ms, deadline;
  };
  double work_rate() const; // work done on one running job per ms
  void advance_to(double now);
  void start(HeldJob held_job) { running_.push({work_per_job_ + held_job.work_ms, held_job.job}); }

  ServerSpec spec_;
  double speed_ = 1, now_ = 0, work_per_job_ = 0; // work_per_job_: cumulative work done on each running job
  using Completion = std::pair<double, Job>;
  std::priority_queue<Completion, std::vector<Completion>, std::greater<>> running_;
  std::deque<HeldJob> waiting_;
  std::deque<std::pair<double, double>>
      recent_arrivals_; // time and work of those in the last `overload_window_ms`
  double recent_work_ms_ = 0, down_until_ = -1;
};

} // namespace fernward::limiters
