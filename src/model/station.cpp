#include "model/station.h"

#include <algorithm>
#include <boost/random/normal_distribution.hpp>
#include <cmath>
#include <limits>

namespace fernward::model {
namespace {

constexpr double kSmooth = 0.2; // weight of a new sample in the reported moving averages
constexpr double kForever = std::numeric_limits<double>::infinity();
constexpr std::size_t kReadings = 64; // enough for a report delay of many periods

} // namespace

Station::Station(MachineId machine, const Limits& limits, std::uint64_t seed)
    : limits_(limits), machine_(machine), engine_(stream(seed, "station", machine)) {
  next_reading_ = draw_uniform(0, limits_.report.period_ms, engine_);
}

double Station::next_change() const { return kForever; }

// ---- connections ----

bool Station::connect(double now, ConnectionId id, Acts& acts) {
  reach(now, acts);
  if (phase_ == Phase::Off || connections_ >= limits_.connections) return false;
  ++connections_;
  ++new_connections_;
  if (limits_.handshake_ms > 0) {
    const std::uint32_t slot = take_slot();
    held_[slot].handshake = true;
    held_[slot].attempt.id = id;
    processor_.add(now_, slot, limits_.handshake_ms);
  } else {
    acts.push_back({.at = now_, .what = Act::What::Connected, .id = id});
  }
  refresh(now_);
  return true;
}

// Has no list for actions, so it must not advance time past anything due: it uses the latest time seen.
void Station::disconnect(double) {
  if (connections_ > 0) --connections_;
  refresh(now_);
}

// ---- attempts ----

std::uint32_t Station::take_slot() {
  if (free_.empty()) {
    held_.emplace_back();
    free_.push_back(static_cast<std::uint32_t>(held_.size() - 1));
  }
  const std::uint32_t slot = free_.back();
  free_.pop_back();
  held_[slot] = Held{};
  held_[slot].in_use = true;
  return slot;
}

void Station::arrive(double now, const Attempt& attempt, Acts& acts) {
  reach(now, acts);
  if (phase_ != Phase::Off) on_arrival(now_, attempt, acts); // may overload the machine and stop it
  const std::uint32_t slot = take_slot();
  Held& held = held_[slot];
  held.attempt = attempt;
  held.came_at = now_;
  if (phase_ == Phase::Off) return answer(now_, slot, Ending::Lost, acts);
  if (phase_ == Phase::Draining) return answer(now_, slot, Ending::Draining, acts);
  if (in_work_ < limits_.places) {
    start_work(now_, slot, acts);
  } else if (queue_.size() < limits_.waiting) {
    queue_.push_back(slot);
  } else {
    return answer(now_, slot, Ending::Full, acts);
  }
  refresh(now_);
}

void Station::start_work(double now, std::uint32_t slot, Acts& acts) {
  Held& held = held_[slot];
  held.begun = true;
  held.began_at = now;
  begin(now, held);
  ++in_work_;
  processor_.add(now, slot, held.work);
  acts.push_back({.at = now, .what = Act::What::Began, .id = held.attempt.id});
}

void Station::cancel(double now, AttemptId id, Acts& acts) {
  reach(now, acts);
  const auto found = std::find_if(held_.begin(), held_.end(), [&](const Held& h) {
    return h.in_use && !h.handshake && h.attempt.id == id;
  });
  if (found == held_.end()) return;
  found->wanted = false;
  const auto slot = static_cast<std::uint32_t>(found - held_.begin());
  if (found->begun) {
    if (limits_.on_cancel != OnCancel::Stop) return;
    found->work -= processor_.remove(now_, slot);
    --in_work_;
  } else {
    if (limits_.on_cancel == OnCancel::Keep) return;
    std::erase(queue_, slot);
  }
  answer(now_, slot, Ending::Dropped, acts);
  fill_places(now_, acts);
  refresh(now_);
}

void Station::answer(double now, std::uint32_t slot, Ending ending, Acts& acts) {
  Held& held = held_[slot];
  acts.push_back({.at = now,
                  .what = Act::What::Answered,
                  .id = held.attempt.id,
                  .ending = ending,
                  .begun = held.begun,
                  .wanted = held.wanted,
                  .waited_ms = (held.begun ? held.began_at : now) - held.came_at,
                  .worked_ms = held.begun ? held.work : 0});
  held.in_use = false;
  free_.push_back(slot);
}

void Station::fill_places(double now, Acts& acts) {
  while (in_work_ < limits_.places && !queue_.empty()) {
    const std::uint32_t slot = queue_.front();
    queue_.pop_front();
    const Attempt& attempt = held_[slot].attempt;
    if (limits_.drops_expired && attempt.deadline > 0 && now >= attempt.deadline) {
      answer(now, slot, Ending::Overdue, acts);
    } else {
      start_work(now, slot, acts);
    }
  }
}

void Station::job_done(double now, Acts& acts) {
  const std::uint32_t slot = processor_.pop();
  Held& held = held_[slot];
  if (held.handshake) {
    acts.push_back({.at = now, .what = Act::What::Connected, .id = held.attempt.id});
    held.in_use = false;
    free_.push_back(slot);
  } else {
    --in_work_;
    const double took = now - held.began_at;
    latency_ = latency_ > 0 ? latency_ + kSmooth * (took - latency_) : took;
    finished(now, held);
    const bool error = draw_chance(limits_.error_rate, engine_);
    ++(error ? errors_ : served_);
    answer(now, slot, error ? Ending::Error : held.ending, acts);
    fill_places(now, acts);
  }
  refresh(now);
}

// ---- life ----

void Station::start(double now, Acts& acts) {
  reach(now, acts);
  phase_ = Phase::Up;
  refresh(now_);
}

void Station::drain(double now, Acts& acts) {
  reach(now, acts);
  if (phase_ == Phase::Up) phase_ = Phase::Draining;
}

void Station::end(double now, Acts& acts) {
  reach(now, acts);
  lose_all(now_, acts);
}

void Station::lose_all(double now, Acts& acts) {
  phase_ = Phase::Off;
  queue_.clear();
  for (std::uint32_t slot = 0; slot < held_.size(); ++slot) {
    if (!held_[slot].in_use) continue;
    if (held_[slot].begun || held_[slot].handshake) held_[slot].work -= processor_.remove(now, slot);
    if (held_[slot].handshake) {
      held_[slot].in_use = false;
      free_.push_back(slot);
    } else {
      answer(now, slot, Ending::Lost, acts);
    }
  }
  in_work_ = 0;
  connections_ = 0;
  readings_.clear();
  latency_ = qps_ = eps_ = served_ = errors_ = 0;
  ended();
  refresh(now);
}

// ---- time ----

double Station::next() const {
  if (phase_ == Phase::Off) return next_change();
  return std::min(processor_.next(), next_change());
}

void Station::advance(double now, Acts& acts) { reach(now, acts); }

// Processes everything that is due by `now`, in order of time.
void Station::reach(double now, Acts& acts) {
  while (true) {
    const double job = phase_ == Phase::Off ? kForever : processor_.next(), own = next_change();
    const double due = std::min(job, own);
    if (due > now || due == kForever) break;
    const double at = std::max(due, now_);
    read_until(at);
    now_ = at;
    if (own <= job) {
      change(at, acts);
      refresh(at);
    } else {
      job_done(at, acts);
    }
  }
  read_until(now);
  now_ = std::max(now_, now);
}

void Station::refresh(double now) {
  capacity_sum_ += capacity_ * (now - capacity_at_);
  capacity_at_ = now;
  capacity_ = phase_ == Phase::Off ? 0 : std::max(0.0, capacity(now));
  const auto jobs = static_cast<double>(processor_.jobs());
  const double share = jobs > limits_.cores ? limits_.cores / jobs : 1;
  processor_.set_rate(now, limits_.speed * capacity_ * share);
}

// ---- reports ----

void Station::read_until(double now) {
  const double period = limits_.report.period_ms;
  if (!limits_.report.on || !(period > 0) || phase_ == Phase::Off) {
    next_reading_ = std::max(next_reading_, now);
    return;
  }
  // Nothing has changed since now_, so after a long idle time only the last readings are taken.
  const double behind = now - next_reading_ - period * static_cast<double>(kReadings);
  if (behind > 0) next_reading_ += std::ceil(behind / period) * period;
  for (; next_reading_ <= now; next_reading_ += period) read(next_reading_);
}

void Station::read(double at) {
  const ReportSpec& report = limits_.report;
  const double period = report.period_ms;
  qps_ += kSmooth * (served_ * 1000 / period - qps_);
  eps_ += kSmooth * (errors_ * 1000 / period - eps_);
  served_ = errors_ = 0;
  const double done = processor_.done(at), capacity = capacity_sum_ + capacity_ * (at - capacity_at_);
  const double room = (capacity - read_capacity_) * limits_.cores * limits_.speed;
  const double used = room > 0 ? std::min(1.0, (done - read_done_) / room) : 0;
  read_done_ = done;
  read_capacity_ = capacity;
  Reading reading{at, {}};
  if (readings_.size() >= kReadings) { // reuses the storage of the oldest reading
    reading.fields = std::move(readings_.front().fields);
    reading.fields.clear();
    readings_.pop_front();
  }
  boost::random::normal_distribution<double> normal(1, report.noise);
  for (const LoadReportField field : report.fields) {
    double value = 0;
    switch (field) {
      case LoadReportField::Inflight: value = static_cast<double>(in_work_ + queue_.size()); break;
      case LoadReportField::Queue: value = static_cast<double>(queue_.size()); break;
      case LoadReportField::Util: value = used; break;
      case LoadReportField::LatencyMs: value = latency_; break;
      case LoadReportField::Qps: value = qps_; break;
      case LoadReportField::Eps: value = eps_; break;
      case LoadReportField::Other: value = other_report(at); break;
    }
    if (report.noise > 0) value *= std::max(0.0, normal(engine_));
    reading.fields.push_back(static_cast<float>(value));
  }
  readings_.push_back(std::move(reading));
}

void Station::report(double now, std::vector<float>& fields) {
  fields.clear();
  read_until(now);
  for (auto it = readings_.rbegin(); it != readings_.rend(); ++it) {
    if (it->at + limits_.report.delay_ms > now) continue;
    fields = it->fields;
    return;
  }
}

LoadSample Station::sample(double now) {
  now_ = std::max(now_, std::min(now, next())); // has no list for actions either; see disconnect()
  refresh(now_);
  const double done = processor_.done(now_);
  LoadSample s;
  s.at = now;
  s.machine = machine_;
  s.in_work = static_cast<std::uint32_t>(in_work_);
  s.waiting = static_cast<std::uint32_t>(queue_.size());
  s.connections = connections_;
  const double room = (capacity_sum_ - sampled_capacity_) * limits_.cores * limits_.speed;
  s.used = room > 0 ? std::min(1.0, (done - sampled_done_) / room) : 0;
  s.capacity = capacity_;
  s.memory_bytes = memory_bytes();
  s.new_connections = new_connections_;
  sampled_done_ = done;
  sampled_capacity_ = capacity_sum_;
  new_connections_ = 0;
  return s;
}

} // namespace fernward::model
