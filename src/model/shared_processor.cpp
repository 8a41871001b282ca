#include "model/shared_processor.h"

#include <algorithm>
#include <limits>

namespace fernward::model {

void SharedProcessor::advance(double now) {
  if (now <= now_) return;
  const double step = rate_ * (now - now_);
  work_per_job_ += step;
  completed_work_ += step * static_cast<double>(jobs_.size());
  now_ = now;
}

void SharedProcessor::set_rate(double now, double rate_per_job) {
  advance(now);
  rate_ = rate_per_job;
}

void SharedProcessor::add(double now, std::uint32_t job, double work) {
  advance(now);
  const Job added{work_per_job_ + work, job};
  // In front of jobs with the same finish: jobs are popped from the back, so earlier ones complete first.
  const auto position = std::lower_bound(jobs_.begin(), jobs_.end(), added,
                                         [](const Job& a, const Job& b) { return a.finish > b.finish; });
  jobs_.insert(position, added);
}

double SharedProcessor::remove(double now, std::uint32_t job) {
  advance(now);
  const auto found = std::find_if(jobs_.begin(), jobs_.end(), [&](const Job& j) { return j.id == job; });
  if (found == jobs_.end()) return 0;
  const double remaining = std::max(0.0, found->finish - work_per_job_);
  jobs_.erase(found);
  return remaining;
}

double SharedProcessor::next_completion_ms() const {
  if (jobs_.empty() || !(rate_ > 0)) return std::numeric_limits<double>::infinity();
  return std::max(now_, now_ + (jobs_.back().finish - work_per_job_) / rate_);
}

std::uint32_t SharedProcessor::pop_completed() {
  advance(next_completion_ms());
  const std::uint32_t id = jobs_.back().id;
  jobs_.pop_back();
  return id;
}

double SharedProcessor::total_work(double now) const {
  return completed_work_ + (now > now_ ? rate_ * (now - now_) * static_cast<double>(jobs_.size()) : 0);
}

} // namespace fernward::model
