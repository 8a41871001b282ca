#include "lab/check/meter.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>

#include "lab/stats/latency.h"

namespace fernward::lab {
namespace {

using namespace fernward::model;

constexpr double kStepMs = 1000; // step of the sliding window
constexpr std::size_t kMostWindows =
    100000; // beyond it the oldest steps are completed with requests still open

struct Asked {
  double at = 0, worth = 0;
  std::uint32_t cls = 0, tenant = 0;
};

// Base of meters that observe the requests selected by a bound: its class, tenant and time interval.
class RequestMeter : public Meter {
 public:
  RequestMeter(const Spec& spec, const Bound& bound)
      : bound_(bound), to_ms_(bound.to_ms > 0 ? bound.to_ms : spec.duration_ms) {}

  using Sink::on;
  void on(const Drawn& d) final {
    now(d.at);
    if (bound_.cls && *bound_.cls != d.cls) return;
    if (bound_.tenant && *bound_.tenant != d.tenant) return;
    if (d.at < bound_.from_ms || d.at >= to_ms_) return;
    const Asked asked{d.at, d.worth, d.cls, d.tenant};
    open_.emplace(d.request, asked);
    drawn(asked);
  }
  void on(const Closed& c) final {
    now(c.at);
    const auto found = open_.find(c.request);
    if (found == open_.end()) return;
    const Asked asked = found->second;
    open_.erase(found);
    closed(asked, c);
  }

 protected:
  virtual void drawn(const Asked&) {}
  virtual void closed(const Asked&, const Closed&) {}
  virtual void now(double) {}

  const Bound bound_;
  const double to_ms_;

 private:
  std::unordered_map<RequestNumber, Asked> open_;
};

struct Worth {
  double asked = 0, earned = 0;
  std::optional<double> service() const { return asked > 0 ? std::optional(earned / asked) : std::nullopt; }
};

class ServiceMeter final : public RequestMeter {
 public:
  using RequestMeter::RequestMeter;
  std::optional<double> value() override { return sum_.service(); }

 private:
  void drawn(const Asked& a) override { sum_.asked += a.worth; }
  void closed(const Asked&, const Closed& c) override { sum_.earned += c.earned; }
  Worth sum_;
};

// Service of the class or tenant with the lowest service.
class WorstOfMeter final : public RequestMeter {
 public:
  WorstOfMeter(const Spec& spec, const Bound& bound)
      : RequestMeter(spec, bound), by_class_(bound.metric == Metric::WorstClass) {}
  std::optional<double> value() override {
    std::optional<double> least;
    for (const Worth& w : sums_) {
      const auto service = w.service();
      if (service && (!least || *service < *least)) least = service;
    }
    return least;
  }

 private:
  Worth& of(const Asked& a) {
    const std::size_t i = by_class_ ? a.cls : a.tenant;
    if (i >= sums_.size()) sums_.resize(i + 1);
    return sums_[i];
  }
  void drawn(const Asked& a) override { of(a).asked += a.worth; }
  void closed(const Asked& a, const Closed& c) override { of(a).earned += c.earned; }
  const bool by_class_;
  std::vector<Worth> sums_;
};

class ShareMeter final : public RequestMeter {
 public:
  using RequestMeter::RequestMeter;
  std::optional<double> value() override {
    return drawn_ > 0 ? std::optional(static_cast<double>(met_) / static_cast<double>(drawn_)) : std::nullopt;
  }

 private:
  void drawn(const Asked&) override { ++drawn_; }
  void closed(const Asked&, const Closed& c) override {
    const bool served = c.end == Heard::Served, refused = c.end == Heard::Refused;
    met_ += bound_.metric == Metric::Served    ? served
            : bound_.metric == Metric::Refused ? refused
                                               : !served && !refused;
  }
  std::uint64_t drawn_ = 0, met_ = 0;
};

class LatencyMeter final : public RequestMeter {
 public:
  using RequestMeter::RequestMeter;
  std::optional<double> value() override {
    return latency_.count() > 0 ? std::optional(latency_.quantile(bound_.quantile)) : std::nullopt;
  }

 private:
  void closed(const Asked&, const Closed& c) override {
    if (c.end == Heard::Served) latency_.add(c.latency_ms);
  }
  Latency latency_;
};

// Divides the time into steps and completes them in order. A step is complete once its time is over and all
// requests generated in it have ended.
class SteppedMeter : public RequestMeter {
 public:
  SteppedMeter(const Spec& spec, const Bound& bound, double step_ms)
      : RequestMeter(spec, bound), step_ms_(step_ms) {}
  std::optional<double> value() final {
    while (!steps_.empty()) finish_first();
    return result();
  }

 protected:
  virtual void complete(std::uint64_t number, const Worth& worth) = 0; // number 0 begins at bound_.from_ms
  virtual std::optional<double> result() = 0;
  const double step_ms_;

 private:
  struct Step {
    Worth worth;
    std::uint64_t open = 0;
  };
  std::uint64_t number_of(const Asked& a) const {
    return static_cast<std::uint64_t>((a.at - bound_.from_ms) / step_ms_);
  }
  void drawn(const Asked& a) override {
    const std::uint64_t number = number_of(a);
    while (first_ + steps_.size() <= number) steps_.emplace_back();
    if (number < first_) return;
    Step& step = steps_[number - first_];
    step.worth.asked += a.worth;
    ++step.open;
    while (steps_.size() > kMostWindows) finish_first();
  }
  void closed(const Asked& a, const Closed& c) override {
    const std::uint64_t number = number_of(a);
    if (number < first_) return;
    Step& step = steps_[number - first_];
    step.worth.earned += c.earned;
    --step.open;
  }
  void now(double at) override {
    while (!steps_.empty() && steps_.front().open == 0 &&
           at >= bound_.from_ms + static_cast<double>(first_ + 1) * step_ms_) {
      finish_first();
    }
  }
  void finish_first() {
    const Worth worth = steps_.front().worth;
    steps_.pop_front();
    complete(first_++, worth);
  }

  std::deque<Step> steps_;
  std::uint64_t first_ = 0;
};

class WorstWindowMeter final : public SteppedMeter {
 public:
  WorstWindowMeter(const Spec& spec, const Bound& bound)
      : SteppedMeter(spec, bound, std::min(kStepMs, bound.window_ms)),
        steps_(static_cast<std::size_t>(std::max(1.0, std::round(bound.window_ms / step_ms_)))) {}

 private:
  void complete(std::uint64_t, const Worth& worth) override {
    window_.push_back(worth);
    if (window_.size() > steps_) window_.pop_front();
    if (window_.size() == steps_) look();
  }
  std::optional<double> result() override {
    if (!least_) look(); // the run is shorter than a window: use all of it
    return least_;
  }
  void look() {
    Worth sum; // summed again each time, because a running sum would accumulate rounding errors
    for (const Worth& w : window_) {
      sum.asked += w.asked;
      sum.earned += w.earned;
    }
    const auto service = sum.service();
    if (service && (!least_ || *service < *least_)) least_ = service;
  }
  const std::size_t steps_;
  std::deque<Worth> window_;
  std::optional<double> least_;
};

class RecoveryMeter final : public SteppedMeter {
 public:
  RecoveryMeter(const Spec& spec, const Bound& bound) : SteppedMeter(spec, bound, bound.window_ms) {}

 private:
  void complete(std::uint64_t number, const Worth& worth) override {
    const auto service = worth.service();
    any_ |= service.has_value();
    if (service && *service < bound_.level) recovered_ = number + 1;
  }
  std::optional<double> result() override {
    return any_ ? std::optional(static_cast<double>(recovered_) * step_ms_) : std::nullopt;
  }
  std::uint64_t recovered_ = 0; // number of windows up to the end of the last one below the level
  bool any_ = false;
};

class OriginMeter final : public Meter {
 public:
  OriginMeter(const Spec& spec, const Plan& plan, const Bound& bound)
      : bound_(bound), origin_(plan.origin), to_ms_(bound.to_ms > 0 ? bound.to_ms : spec.duration_ms) {}

  using Sink::on;
  void on(const Arrived& a) override {
    if (a.machine != origin_ || a.at < bound_.from_ms || a.at >= to_ms_) return;
    if (bound_.cls && *bound_.cls != a.cls) return;
    ++all_;
    const auto second = static_cast<std::uint64_t>(a.at / 1000);
    if (second != second_) {
      second_ = second;
      in_second_ = 0;
    }
    peak_ = std::max(peak_, ++in_second_);
  }
  std::optional<double> value() override {
    if (bound_.metric == Metric::OriginPeakPerS) return static_cast<double>(peak_);
    return static_cast<double>(all_) * 1000 / (to_ms_ - bound_.from_ms);
  }

 private:
  const Bound bound_;
  const MachineId origin_;
  const double to_ms_;
  std::uint64_t all_ = 0, second_ = 0, in_second_ = 0, peak_ = 0;
};

class SurgeMeter final : public Meter {
 public:
  SurgeMeter(const Spec& spec, const Plan& plan, const Bound& bound)
      : bound_(bound), origin_(plan.origin), to_ms_(bound.to_ms > 0 ? bound.to_ms : spec.duration_ms) {}

  using Sink::on;
  void on(const Arrived& a) override {
    if (a.machine != origin_ || a.write || (bound_.cls && *bound_.cls != a.cls)) return;
    const double begin =
        bound_.from_ms / 4; // the baseline skips the first quarter: connections and limits build up
    if (a.at >= begin && a.at < bound_.from_ms) ++before_;
    if (a.at < bound_.from_ms || a.at >= to_ms_) return;
    window_.push_back(a.at);
    while (window_.front() <= a.at - 1000) window_.pop_front();
    peak_ = std::max(peak_, window_.size());
  }
  std::optional<double> value() override {
    if (before_ == 0) return std::nullopt;
    return static_cast<double>(peak_) * 0.75 * bound_.from_ms / 1000 / static_cast<double>(before_);
  }

 private:
  const Bound bound_;
  const MachineId origin_;
  const double to_ms_;
  std::deque<double> window_; // arrivals within the last second
  std::uint64_t before_ = 0;
  std::size_t peak_ = 0;
};

class HitMeter final : public Meter {
 public:
  HitMeter(const Spec& spec, const Bound& bound)
      : bound_(bound), to_ms_(bound.to_ms > 0 ? bound.to_ms : spec.duration_ms) {}

  using Sink::on;
  void on(const Arrived& a) override {
    if (a.write || a.at < bound_.from_ms || a.at >= to_ms_) return;
    if (!bound_.cls || *bound_.cls == a.cls) out_.emplace(a.attempt, a.at);
  }
  void on(const AttemptEnded& e) override {
    if (out_.erase(e.attempt) == 0) return;
    if (e.ending == Ending::Hit) ++hits_;
    if (e.ending == Ending::Miss || e.ending == Ending::Pending) ++misses_;
  }
  std::optional<double> value() override {
    if (hits_ + misses_ == 0) return std::nullopt;
    return static_cast<double>(hits_) / static_cast<double>(hits_ + misses_);
  }

 private:
  const Bound bound_;
  const double to_ms_;
  std::unordered_map<AttemptId, double> out_;
  std::uint64_t hits_ = 0, misses_ = 0;
};

class HandshakeMeter final : public Meter {
 public:
  HandshakeMeter(const Spec& spec, const Bound& bound)
      : bound_(bound), to_ms_(bound.to_ms > 0 ? bound.to_ms : spec.duration_ms) {}

  using Sink::on;
  void on(const Drawn& d) override { drawn_ += in(d.at) ? 1 : 0; }
  void on(const LoadSample& s) override { handshakes_ += in(s.at) ? s.new_connections : 0; }
  std::optional<double> value() override {
    return drawn_ > 0 ? std::optional(handshakes_ / static_cast<double>(drawn_)) : std::nullopt;
  }

 private:
  bool in(double at) const { return at >= bound_.from_ms && at < to_ms_; }
  const Bound bound_;
  const double to_ms_;
  std::uint64_t drawn_ = 0;
  double handshakes_ = 0;
};

std::string plain_share(double share) { // for configured shares such as 99%, without trailing zeros
  char text[32];
  std::snprintf(text, sizeof text, "%.6g%%", share * 100);
  return text;
}

std::string shown(double ms) {
  char text[32];
  std::snprintf(text, sizeof text, "%.6gs", ms / 1000);
  return text;
}

} // namespace

std::unique_ptr<Meter> make_meter(const Spec& spec, const Plan& plan, const Bound& bound) {
  switch (bound.metric) {
    case Metric::Service: return std::make_unique<ServiceMeter>(spec, bound);
    case Metric::WorstWindow: return std::make_unique<WorstWindowMeter>(spec, bound);
    case Metric::WorstClass:
    case Metric::WorstTenant: return std::make_unique<WorstOfMeter>(spec, bound);
    case Metric::Served:
    case Metric::Refused:
    case Metric::Failed: return std::make_unique<ShareMeter>(spec, bound);
    case Metric::LatencyMs: return std::make_unique<LatencyMeter>(spec, bound);
    case Metric::OriginPerS:
    case Metric::OriginPeakPerS: return std::make_unique<OriginMeter>(spec, plan, bound);
    case Metric::FetchSurge: return std::make_unique<SurgeMeter>(spec, plan, bound);
    case Metric::HitRatio: return std::make_unique<HitMeter>(spec, bound);
    case Metric::HandshakesPerRequest: return std::make_unique<HandshakeMeter>(spec, bound);
    case Metric::RecoveryMs: return std::make_unique<RecoveryMeter>(spec, bound);
  }
  return nullptr;
}

std::string metric_text(Metric metric, double value) {
  char text[48];
  switch (metric) {
    case Metric::LatencyMs: std::snprintf(text, sizeof text, "%.0fms", value); break;
    case Metric::RecoveryMs: std::snprintf(text, sizeof text, "%.1fs", value / 1000); break;
    case Metric::OriginPerS:
    case Metric::OriginPeakPerS: std::snprintf(text, sizeof text, "%.1f/s", value); break;
    case Metric::HandshakesPerRequest: std::snprintf(text, sizeof text, "%.4f", value); break;
    case Metric::FetchSurge: std::snprintf(text, sizeof text, "%.2f", value); break;
    default: std::snprintf(text, sizeof text, "%.2f%%", value * 100);
  }
  return text;
}

std::string bound_text(const Spec& spec, const Bound& b) {
  std::string text;
  switch (b.metric) {
    case Metric::Service: text = "service"; break;
    case Metric::WorstWindow: text = "service of the worst " + shown(b.window_ms); break;
    case Metric::WorstClass: text = "service of the worst class"; break;
    case Metric::WorstTenant: text = "service of the worst tenant"; break;
    case Metric::Served: text = "served"; break;
    case Metric::Refused: text = "refused"; break;
    case Metric::Failed: text = "failed"; break;
    case Metric::LatencyMs: text = "latency, " + plain_share(b.quantile) + " within"; break;
    case Metric::OriginPerS: text = "requests to the origin"; break;
    case Metric::OriginPeakPerS: text = "requests to the origin in the worst second"; break;
    case Metric::FetchSurge: text = "origin reads in the worst second, relative to the steady rate"; break;
    case Metric::HitRatio: text = "hit ratio"; break;
    case Metric::HandshakesPerRequest: text = "new connections to machines per request"; break;
    case Metric::RecoveryMs:
      text = "until the service of each " + shown(b.window_ms) + " reaches " + plain_share(b.level);
      break;
  }
  if (b.cls && *b.cls < spec.classes.size()) text += ", class " + spec.classes[*b.cls].name;
  if (b.tenant && *b.tenant < spec.tenants.size()) text += ", tenant " + spec.tenants[*b.tenant].name;
  if (b.from_ms > 0) text += ", from " + shown(b.from_ms);
  if (b.to_ms > 0) text += ", to " + shown(b.to_ms);
  return text;
}

} // namespace fernward::lab
