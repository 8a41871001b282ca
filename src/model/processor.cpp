#include "model/processor.h"

#include <algorithm>
#include <limits>

namespace fernward::model {

void Processor::reach(double now) {
  if (now <= at_) return;
  const double step = rate_ * (now - at_);
  progress_ += step;
  done_ += step * static_cast<double>(jobs_.size());
  at_ = now;
}

void Processor::set_rate(double now, double per_job) {
  reach(now);
  rate_ = per_job;
}

void Processor::add(double now, std::uint32_t job, double work) {
  reach(now);
  const Job added{progress_ + work, job};
  // In front of jobs with the same finish: jobs are popped from the back, so earlier ones complete first.
  const auto place = std::lower_bound(jobs_.begin(), jobs_.end(), added,
                                      [](const Job& a, const Job& b) { return a.finish > b.finish; });
  jobs_.insert(place, added);
}

double Processor::remove(double now, std::uint32_t job) {
  reach(now);
  const auto found = std::find_if(jobs_.begin(), jobs_.end(), [&](const Job& j) { return j.id == job; });
  if (found == jobs_.end()) return 0;
  const double left = std::max(0.0, found->finish - progress_);
  jobs_.erase(found);
  return left;
}

double Processor::next() const {
  if (jobs_.empty() || !(rate_ > 0)) return std::numeric_limits<double>::infinity();
  return std::max(at_, at_ + (jobs_.back().finish - progress_) / rate_);
}

std::uint32_t Processor::pop() {
  reach(next());
  const std::uint32_t id = jobs_.back().id;
  jobs_.pop_back();
  return id;
}

double Processor::done(double now) const {
  return done_ + (now > at_ ? rate_ * (now - at_) * static_cast<double>(jobs_.size()) : 0);
}

} // namespace fernward::model
