#include "model/server_model.h"

#include <algorithm>
#include <boost/random/normal_distribution.hpp>
#include <cmath>
#include <limits>

namespace fernward::model {
namespace {

constexpr double kSmoothingFactor = 0.2; // weight of a new sample in the reported moving averages
constexpr double kNever = std::numeric_limits<double>::infinity();
constexpr std::size_t kMaxReadings = 64; // enough for a report delay of many periods

} // namespace

ServerModel::ServerModel(MachineId machine, const Limits& limits, std::uint64_t seed)
    : limits_(limits), machine_(machine), engine_(stream(seed, "station", machine)) {
  next_reading_ms_ = draw_uniform(0, limits_.report.period_ms, engine_);
}

double ServerModel::next_capacity_change_ms() const { return kNever; }

// ---- connections ----

bool ServerModel::connect(double now, ConnectionId id, ServerActions& actions) {
  process_until(now, actions);
  if (phase_ == ServerPhase::Off || connections_ >= limits_.max_connections) return false;
  ++connections_;
  ++new_connections_;
  if (limits_.handshake_work_ms > 0) {
    const std::uint32_t slot = take_slot();
    work_items_[slot].handshake = true;
    work_items_[slot].attempt.id = id;
    processor_.add(latest_ms_, slot, limits_.handshake_work_ms);
  } else {
    actions.push_back({.at = latest_ms_, .what = ServerAction::What::Connected, .id = id});
  }
  update_rate(latest_ms_);
  return true;
}

// Has no list for actions, so it must not advance the time past anything due: it uses the latest time seen.
void ServerModel::disconnect(double) {
  if (connections_ > 0) --connections_;
  update_rate(latest_ms_);
}

// ---- attempts ----

std::uint32_t ServerModel::take_slot() {
  if (free_slots_.empty()) {
    work_items_.emplace_back();
    free_slots_.push_back(static_cast<std::uint32_t>(work_items_.size() - 1));
  }
  const std::uint32_t slot = free_slots_.back();
  free_slots_.pop_back();
  work_items_[slot] = WorkItem{};
  work_items_[slot].in_use = true;
  return slot;
}

void ServerModel::arrive(double now, const ServerAttempt& attempt, ServerActions& actions) {
  process_until(now, actions);
  if (phase_ != ServerPhase::Off)
    on_arrival(latest_ms_, attempt, actions); // may overload the machine and stop it
  const std::uint32_t slot = take_slot();
  WorkItem& item = work_items_[slot];
  item.attempt = attempt;
  item.arrived_at = latest_ms_;
  if (phase_ == ServerPhase::Off) return end_attempt(latest_ms_, slot, ServerOutcome::Lost, actions);
  if (phase_ == ServerPhase::Draining) return end_attempt(latest_ms_, slot, ServerOutcome::Draining, actions);
  if (active_ < limits_.max_active) {
    start_work(latest_ms_, slot, actions);
  } else if (queue_.size() < limits_.max_queued) {
    queue_.push_back(slot);
  } else {
    return end_attempt(latest_ms_, slot, ServerOutcome::Full, actions);
  }
  update_rate(latest_ms_);
}

void ServerModel::start_work(double now, std::uint32_t slot, ServerActions& actions) {
  WorkItem& item = work_items_[slot];
  item.started = true;
  item.started_at = now;
  on_work_start(now, item);
  ++active_;
  processor_.add(now, slot, item.work);
  actions.push_back({.at = now, .what = ServerAction::What::Started, .id = item.attempt.id});
}

void ServerModel::cancel(double now, AttemptId id, ServerActions& actions) {
  process_until(now, actions);
  const auto found = std::find_if(work_items_.begin(), work_items_.end(), [&](const WorkItem& item) {
    return item.in_use && !item.handshake && item.attempt.id == id;
  });
  if (found == work_items_.end()) return;
  found->awaited = false;
  const auto slot = static_cast<std::uint32_t>(found - work_items_.begin());
  if (found->started) {
    if (limits_.cancel_policy != CancelPolicy::Stop) return;
    found->work -= processor_.remove(latest_ms_, slot);
    --active_;
  } else {
    if (limits_.cancel_policy == CancelPolicy::Keep) return;
    std::erase(queue_, slot);
  }
  end_attempt(latest_ms_, slot, ServerOutcome::Cancelled, actions);
  start_queued(latest_ms_, actions);
  update_rate(latest_ms_);
}

void ServerModel::end_attempt(double now, std::uint32_t slot, ServerOutcome outcome, ServerActions& actions) {
  WorkItem& item = work_items_[slot];
  actions.push_back({.at = now,
                     .what = ServerAction::What::Answered,
                     .id = item.attempt.id,
                     .outcome = outcome,
                     .started = item.started,
                     .awaited = item.awaited,
                     .queued_ms = (item.started ? item.started_at : now) - item.arrived_at,
                     .work_done_ms = item.started ? item.work : 0});
  item.in_use = false;
  free_slots_.push_back(slot);
}

void ServerModel::start_queued(double now, ServerActions& actions) {
  while (active_ < limits_.max_active && !queue_.empty()) {
    const std::uint32_t slot = queue_.front();
    queue_.pop_front();
    const ServerAttempt& attempt = work_items_[slot].attempt;
    if (limits_.drops_expired && attempt.deadline > 0 && now >= attempt.deadline) {
      end_attempt(now, slot, ServerOutcome::Expired, actions);
    } else {
      start_work(now, slot, actions);
    }
  }
}

void ServerModel::finish_job(double now, ServerActions& actions) {
  const std::uint32_t slot = processor_.pop_completed();
  WorkItem& item = work_items_[slot];
  if (item.handshake) {
    actions.push_back({.at = now, .what = ServerAction::What::Connected, .id = item.attempt.id});
    item.in_use = false;
    free_slots_.push_back(slot);
  } else {
    --active_;
    const double service_ms = now - item.started_at;
    mean_latency_ms_ = mean_latency_ms_ > 0
                           ? mean_latency_ms_ + kSmoothingFactor * (service_ms - mean_latency_ms_)
                           : service_ms;
    on_work_finished(now, item);
    const bool error = draw_with_probability(limits_.error_rate, engine_);
    ++(error ? errors_since_reading_ : served_since_reading_);
    end_attempt(now, slot, error ? ServerOutcome::Error : item.outcome, actions);
    start_queued(now, actions);
  }
  update_rate(now);
}

// ---- lifecycle ----

void ServerModel::start(double now, ServerActions& actions) {
  process_until(now, actions);
  phase_ = ServerPhase::Up;
  update_rate(latest_ms_);
}

void ServerModel::drain(double now, ServerActions& actions) {
  process_until(now, actions);
  if (phase_ == ServerPhase::Up) phase_ = ServerPhase::Draining;
}

void ServerModel::terminate(double now, ServerActions& actions) {
  process_until(now, actions);
  lose_all(latest_ms_, actions);
}

void ServerModel::lose_all(double now, ServerActions& actions) {
  phase_ = ServerPhase::Off;
  queue_.clear();
  for (std::uint32_t slot = 0; slot < work_items_.size(); ++slot) {
    if (!work_items_[slot].in_use) continue;
    if (work_items_[slot].started || work_items_[slot].handshake)
      work_items_[slot].work -= processor_.remove(now, slot);
    if (work_items_[slot].handshake) {
      work_items_[slot].in_use = false;
      free_slots_.push_back(slot);
    } else {
      end_attempt(now, slot, ServerOutcome::Lost, actions);
    }
  }
  active_ = 0;
  connections_ = 0;
  readings_.clear();
  mean_latency_ms_ = served_per_s_ = errors_per_s_ = served_since_reading_ = errors_since_reading_ = 0;
  on_terminated();
  update_rate(now);
}

// ---- time ----

double ServerModel::next_due_ms() const {
  if (phase_ == ServerPhase::Off) return next_capacity_change_ms();
  return std::min(processor_.next_completion_ms(), next_capacity_change_ms());
}

void ServerModel::advance(double now, ServerActions& actions) { process_until(now, actions); }

// Processes everything that is due by `now`, in order of time.
void ServerModel::process_until(double now, ServerActions& actions) {
  while (true) {
    const double next_job_ms = phase_ == ServerPhase::Off ? kNever : processor_.next_completion_ms(),
                 next_change_ms = next_capacity_change_ms();
    const double due_ms = std::min(next_job_ms, next_change_ms);
    if (due_ms > now || due_ms == kNever) break;
    const double at = std::max(due_ms, latest_ms_);
    take_readings_until(at);
    latest_ms_ = at;
    if (next_change_ms <= next_job_ms) {
      on_capacity_change(at, actions);
      update_rate(at);
    } else {
      finish_job(at, actions);
    }
  }
  take_readings_until(now);
  latest_ms_ = std::max(latest_ms_, now);
}

void ServerModel::update_rate(double now) {
  capacity_integral_ += capacity_share_ * (now - capacity_since_ms_);
  capacity_since_ms_ = now;
  capacity_share_ = phase_ == ServerPhase::Off ? 0 : std::max(0.0, capacity_share(now));
  const auto jobs = static_cast<double>(processor_.jobs());
  const double core_share = jobs > limits_.cores ? limits_.cores / jobs : 1;
  processor_.set_rate(now, limits_.speed * capacity_share_ * core_share);
}

// ---- reports ----

void ServerModel::take_readings_until(double now) {
  const double period_ms = limits_.report.period_ms;
  if (!limits_.report.enabled || !(period_ms > 0) || phase_ == ServerPhase::Off) {
    next_reading_ms_ = std::max(next_reading_ms_, now);
    return;
  }
  // Nothing has changed since latest_ms_, so after a long idle time only the last readings are taken.
  const double excess_ms = now - next_reading_ms_ - period_ms * static_cast<double>(kMaxReadings);
  if (excess_ms > 0) next_reading_ms_ += std::ceil(excess_ms / period_ms) * period_ms;
  for (; next_reading_ms_ <= now; next_reading_ms_ += period_ms) take_reading(next_reading_ms_);
}

void ServerModel::take_reading(double at) {
  const ReportSpec& report = limits_.report;
  const double period_ms = report.period_ms;
  served_per_s_ += kSmoothingFactor * (served_since_reading_ * 1000 / period_ms - served_per_s_);
  errors_per_s_ += kSmoothingFactor * (errors_since_reading_ * 1000 / period_ms - errors_per_s_);
  served_since_reading_ = errors_since_reading_ = 0;
  const double done = processor_.total_work(at),
               capacity = capacity_integral_ + capacity_share_ * (at - capacity_since_ms_);
  const double available_work = (capacity - capacity_at_reading_) * limits_.cores * limits_.speed;
  const double utilization =
      available_work > 0 ? std::min(1.0, (done - work_done_at_reading_) / available_work) : 0;
  work_done_at_reading_ = done;
  capacity_at_reading_ = capacity;
  Reading reading{at, {}};
  if (readings_.size() >= kMaxReadings) { // reuses the storage of the oldest reading
    reading.fields = std::move(readings_.front().fields);
    reading.fields.clear();
    readings_.pop_front();
  }
  boost::random::normal_distribution<double> normal(1, report.noise);
  for (const LoadReportField field : report.fields) {
    double value = 0;
    switch (field) {
      case LoadReportField::Inflight: value = static_cast<double>(active_ + queue_.size()); break;
      case LoadReportField::Queue: value = static_cast<double>(queue_.size()); break;
      case LoadReportField::Utilization: value = utilization; break;
      case LoadReportField::LatencyMs: value = mean_latency_ms_; break;
      case LoadReportField::RequestRate: value = served_per_s_; break;
      case LoadReportField::ErrorRate: value = errors_per_s_; break;
      case LoadReportField::Other: value = other_report_value(at); break;
    }
    if (report.noise > 0) value *= std::max(0.0, normal(engine_));
    reading.fields.push_back(static_cast<float>(value));
  }
  readings_.push_back(std::move(reading));
}

void ServerModel::report(double now, std::vector<float>& fields) {
  fields.clear();
  take_readings_until(now);
  for (auto reading = readings_.rbegin(); reading != readings_.rend(); ++reading) {
    if (reading->at + limits_.report.delay_ms > now) continue;
    fields = reading->fields;
    return;
  }
}

LoadSample ServerModel::sample(double now) {
  // There is no list for actions here either; see disconnect().
  latest_ms_ = std::max(latest_ms_, std::min(now, next_due_ms()));
  update_rate(latest_ms_);
  const double done = processor_.total_work(latest_ms_);
  LoadSample load_sample;
  load_sample.at = now;
  load_sample.machine = machine_;
  load_sample.active = static_cast<std::uint32_t>(active_);
  load_sample.queued = static_cast<std::uint32_t>(queue_.size());
  load_sample.connections = connections_;
  const double available_work = (capacity_integral_ - capacity_at_sample_) * limits_.cores * limits_.speed;
  load_sample.utilization =
      available_work > 0 ? std::min(1.0, (done - work_done_at_sample_) / available_work) : 0;
  load_sample.capacity = capacity_share_;
  load_sample.memory_bytes = memory_bytes();
  load_sample.new_connections = new_connections_;
  work_done_at_sample_ = done;
  capacity_at_sample_ = capacity_integral_;
  new_connections_ = 0;
  return load_sample;
}

} // namespace fernward::model
