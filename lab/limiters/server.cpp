#include "server.h"

#include <algorithm>
#include <limits>

namespace fernward::limiters {

double Server::work_rate() const {
  const double running_jobs = static_cast<double>(running_.size());
  if (running_jobs == 0) return 0;
  const double excess_per_core = std::max(0.0, held_per_core() - spec_.efficiency_loss_from);
  return speed_ * std::min(1.0, spec_.cores / running_jobs) / (1 + spec_.efficiency_loss * excess_per_core);
}

void Server::advance_to(double now) {
  if (now <= now_) return;
  work_per_job_ += (now - now_) * work_rate();
  now_ = now;
}

Server::AdmissionResult Server::arrive(double now, Job job, double work_ms, double deadline) {
  advance_to(now);
  if (down(now)) return AdmissionResult::Down;
  if (spec_.overload_multiple > 0) {
    recent_arrivals_.emplace_back(now, work_ms);
    recent_work_ms_ += work_ms;
  }
  if (static_cast<double>(running_.size()) < spec_.cores * spec_.slots_per_core) {
    start({job, work_ms, deadline});
    return AdmissionResult::Started;
  }
  if (waiting_count() >= spec_.cores * spec_.queue_per_core) return AdmissionResult::Rejected;
  waiting_.push_back({job, work_ms, deadline});
  return AdmissionResult::Queued;
}

double Server::next_completion_at() const {
  if (running_.empty()) return std::numeric_limits<double>::infinity();
  return now_ + std::max(0.0, running_.top().first - work_per_job_) / work_rate();
}

void Server::advance(double now, std::vector<Job>& done, std::vector<Job>& dropped) {
  advance_to(now);
  while (!running_.empty() && running_.top().first <= work_per_job_ + 1e-9) {
    done.push_back(running_.top().second);
    running_.pop();
  }
  while (!waiting_.empty() && static_cast<double>(running_.size()) < spec_.cores * spec_.slots_per_core) {
    const HeldJob next_job = waiting_.front();
    waiting_.pop_front();
    if (spec_.drops_expired && next_job.deadline <= now) {
      dropped.push_back(next_job.job);
    } else {
      start(next_job);
    }
  }
}

void Server::set_speed(double now, double factor) {
  advance_to(now);
  speed_ = factor;
}

bool Server::fail_if_overloaded(double now, std::vector<Job>& lost) {
  if (spec_.overload_multiple <= 0) return false;
  while (!recent_arrivals_.empty() && recent_arrivals_.front().first < now - spec_.overload_window_ms) {
    recent_work_ms_ -= recent_arrivals_.front().second;
    recent_arrivals_.pop_front();
  }
  if (down(now) ||
      recent_work_ms_ <= spec_.overload_multiple * spec_.cores * speed_ * spec_.overload_window_ms)
    return false;
  advance_to(now);
  down_until_ = now + spec_.down_ms;
  for (; !running_.empty(); running_.pop()) lost.push_back(running_.top().second);
  for (const HeldJob& held_job : waiting_) lost.push_back(held_job.job);
  waiting_.clear();
  recent_arrivals_.clear();
  recent_work_ms_ = 0;
  return true;
}

} // namespace fernward::limiters
