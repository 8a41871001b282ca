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
  double slots_per_core = 4; // requests processed at once
  double queue_per_core = 3; // queued requests; beyond it requests are rejected
  double thrash = 0.05;      // efficiency lost for each request a core holds beyond `efficiency_loss_from`
  double thrash_at = 4;
  bool drops_expired = false; // a request whose deadline has passed is not started
  double fall_multiple = 0; // fails when sent this many times its capacity for `overload_window_ms`; 0: never
  double fall_ms = 2000, down_ms = 4000;
};

class Server {
 public:
  using Job = std::uint64_t;
  explicit Server(const ServerSpec& spec) : spec_(spec) {}

  enum class Taken { Begun, Waits, TurnedAway, Down };
  Taken arrives(double now, Job job, double work_ms, double expires);
  // Completes the work finished by `now` and appends its jobs to `done`. Expired jobs that were not started
  // are appended to `dropped`.
  void advance(double now, std::vector<Job>& done, std::vector<Job>& dropped);
  double next_end() const;               // with the present jobs; infinity: none
  void speed(double now, double factor); // factor of each core; 1 at the start
  // Fails when overloaded: returns true once, and appends all held jobs to `lost`.
  bool falls(double now, std::vector<Job>& lost);
  bool down(double now) const { return now < down_until_; }

  double held() const { return static_cast<double>(running_.size() + waiting_.size()); }
  double running() const { return static_cast<double>(running_.size()); }
  double waiting() const { return static_cast<double>(waiting_.size()); }
  double held_per_core() const { return held() / spec_.cores; }
  const ServerSpec& spec() const { return spec_; }

 private:
  struct Held {
    Job job;
    double work, expires;
  };
  double rate() const; // work done on one running job per ms
  void pass(double now);
  void begin(Held h) { running_.push({served_ + h.work, h.job}); }

  ServerSpec spec_;
  double speed_ = 1, at_ = 0, served_ = 0; // work_per_job_: cumulative work done on each running job
  using End = std::pair<double, Job>;
  std::priority_queue<End, std::vector<End>, std::greater<>> running_;
  std::deque<Held> waiting_;
  std::deque<std::pair<double, double>> sent_; // time and work of the last `overload_window_ms`
  double sent_work_ = 0, down_until_ = -1;
};

} // namespace fernward::limiters
