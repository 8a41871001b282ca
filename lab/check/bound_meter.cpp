#include "lab/check/bound_meter.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <deque>

#include "lab/stats/latency_histogram.h"

namespace fernward::lab {
namespace {

using namespace fernward::model;

constexpr double kWindowStepMs = 1000; // by which the window of WorstWindowMeter slides
constexpr std::size_t kMaxIncompleteSteps =
    100000; // beyond it the oldest steps are completed with requests still open

struct MeasuredRequest {
  double drawn_at_ms = 0, weight = 0;
  std::uint32_t class_index = 0, tenant_index = 0;
};

// Base of meters of the requests that a bound selects by class, tenant and time interval.
class RequestMeter : public BoundMeter {
 public:
  RequestMeter(const Spec& spec, const Bound& bound)
      : bound_(bound), to_ms_(bound.to_ms > 0 ? bound.to_ms : spec.duration_ms) {}

  using Sink::on;
  void on(const DrawnRequest& drawn) final {
    advance_time(drawn.at);
    if (bound_.cls && *bound_.cls != drawn.cls) return;
    if (bound_.tenant && *bound_.tenant != drawn.tenant) return;
    if (drawn.at < bound_.from_ms || drawn.at >= to_ms_) return;
    const MeasuredRequest request{drawn.at, drawn.priority_weight, drawn.cls, drawn.tenant};
    open_requests_.emplace(drawn.request, request);
    request_drawn(request);
  }
  void on(const RequestEnded& ended) final {
    advance_time(ended.at);
    const auto found = open_requests_.find(ended.request);
    if (found == open_requests_.end()) return;
    const MeasuredRequest request = found->second;
    open_requests_.erase(found);
    request_closed(request, ended);
  }

 protected:
  virtual void request_drawn(const MeasuredRequest&) {}
  virtual void request_closed(const MeasuredRequest&, const RequestEnded&) {}
  virtual void advance_time(double) {}

  const Bound bound_;
  const double to_ms_;

 private:
  std::unordered_map<RequestNumber, MeasuredRequest> open_requests_;
};

struct WeightTotals {
  double drawn = 0, served = 0; // priority weight
  std::optional<double> service() const { return drawn > 0 ? std::optional(served / drawn) : std::nullopt; }
};

// Share of the drawn priority weight that responses earned.
class ServiceMeter final : public RequestMeter {
 public:
  using RequestMeter::RequestMeter;
  std::optional<double> value() override { return totals_.service(); }

 private:
  void request_drawn(const MeasuredRequest& request) override { totals_.drawn += request.weight; }
  void request_closed(const MeasuredRequest&, const RequestEnded& ended) override {
    totals_.served += ended.earned_weight;
  }
  WeightTotals totals_;
};

// Service of the class or tenant with the lowest service.
class WorstGroupServiceMeter final : public RequestMeter {
 public:
  WorstGroupServiceMeter(const Spec& spec, const Bound& bound)
      : RequestMeter(spec, bound), by_class_(bound.metric == Metric::WorstClass) {}
  std::optional<double> value() override {
    std::optional<double> lowest_service;
    for (const WeightTotals& totals : group_totals_) {
      const auto service = totals.service();
      if (service && (!lowest_service || *service < *lowest_service)) lowest_service = service;
    }
    return lowest_service;
  }

 private:
  WeightTotals& group_totals(const MeasuredRequest& request) {
    const std::size_t i = by_class_ ? request.class_index : request.tenant_index;
    if (i >= group_totals_.size()) group_totals_.resize(i + 1);
    return group_totals_[i];
  }
  void request_drawn(const MeasuredRequest& request) override {
    group_totals(request).drawn += request.weight;
  }
  void request_closed(const MeasuredRequest& request, const RequestEnded& ended) override {
    group_totals(request).served += ended.earned_weight;
  }
  const bool by_class_;
  std::vector<WeightTotals> group_totals_;
};

// Share of the drawn requests with the outcome that the bound limits.
class OutcomeShareMeter final : public RequestMeter {
 public:
  using RequestMeter::RequestMeter;
  std::optional<double> value() override {
    return drawn_count_ > 0
               ? std::optional(static_cast<double>(matching_count_) / static_cast<double>(drawn_count_))
               : std::nullopt;
  }

 private:
  void request_drawn(const MeasuredRequest&) override { ++drawn_count_; }
  void request_closed(const MeasuredRequest&, const RequestEnded& ended) override {
    const bool served = ended.outcome == TryOutcome::Served, rejected = ended.outcome == TryOutcome::Rejected;
    matching_count_ += bound_.metric == Metric::Served     ? served
                       : bound_.metric == Metric::Rejected ? rejected
                                                           : !served && !rejected;
  }
  std::uint64_t drawn_count_ = 0, matching_count_ = 0;
};

// Latency quantile of served requests.
class LatencyMeter final : public RequestMeter {
 public:
  using RequestMeter::RequestMeter;
  std::optional<double> value() override {
    return histogram_.count() > 0 ? std::optional(histogram_.quantile(bound_.quantile)) : std::nullopt;
  }

 private:
  void request_closed(const MeasuredRequest&, const RequestEnded& ended) override {
    if (ended.outcome == TryOutcome::Served) histogram_.add(ended.latency_ms);
  }
  LatencyHistogram histogram_;
};

// Divides the time into steps and completes them in order. A step is complete once its time is over and all
// requests drawn in it have ended.
class SteppedMeter : public RequestMeter {
 public:
  SteppedMeter(const Spec& spec, const Bound& bound, double step_ms)
      : RequestMeter(spec, bound), step_ms_(step_ms) {}
  std::optional<double> value() final {
    while (!steps_.empty()) complete_first_step();
    return result();
  }

 protected:
  virtual void step_complete(std::uint64_t number,
                             const WeightTotals& totals) = 0; // number 0 begins at bound_.from_ms
  virtual std::optional<double> result() = 0;
  const double step_ms_;

 private:
  struct Step {
    WeightTotals totals;
    std::uint64_t open_requests = 0;
  };
  std::uint64_t step_number(const MeasuredRequest& request) const {
    return static_cast<std::uint64_t>((request.drawn_at_ms - bound_.from_ms) / step_ms_);
  }
  void request_drawn(const MeasuredRequest& request) override {
    const std::uint64_t number = step_number(request);
    while (first_step_number_ + steps_.size() <= number) steps_.emplace_back();
    if (number < first_step_number_) return;
    Step& step = steps_[number - first_step_number_];
    step.totals.drawn += request.weight;
    ++step.open_requests;
    while (steps_.size() > kMaxIncompleteSteps) complete_first_step();
  }
  void request_closed(const MeasuredRequest& request, const RequestEnded& ended) override {
    const std::uint64_t number = step_number(request);
    if (number < first_step_number_) return;
    Step& step = steps_[number - first_step_number_];
    step.totals.served += ended.earned_weight;
    --step.open_requests;
  }
  void advance_time(double at) override {
    while (!steps_.empty() && steps_.front().open_requests == 0 &&
           at >= bound_.from_ms + static_cast<double>(first_step_number_ + 1) * step_ms_) {
      complete_first_step();
    }
  }
  void complete_first_step() {
    const WeightTotals totals = steps_.front().totals;
    steps_.pop_front();
    step_complete(first_step_number_++, totals);
  }

  std::deque<Step> steps_;
  std::uint64_t first_step_number_ = 0;
};

// Lowest service of a sliding window.
class WorstWindowMeter final : public SteppedMeter {
 public:
  WorstWindowMeter(const Spec& spec, const Bound& bound)
      : SteppedMeter(spec, bound, std::min(kWindowStepMs, bound.window_ms)),
        steps_per_window_(static_cast<std::size_t>(std::max(1.0, std::round(bound.window_ms / step_ms_)))) {}

 private:
  void step_complete(std::uint64_t, const WeightTotals& totals) override {
    window_.push_back(totals);
    if (window_.size() > steps_per_window_) window_.pop_front();
    if (window_.size() == steps_per_window_) update_lowest();
  }
  std::optional<double> result() override {
    if (!lowest_service_) update_lowest(); // no complete window could be measured: use the last steps
    return lowest_service_;
  }
  void update_lowest() {
    WeightTotals sum; // summed again each time, because a running sum would accumulate rounding errors
    for (const WeightTotals& step : window_) {
      sum.drawn += step.drawn;
      sum.served += step.served;
    }
    const auto service = sum.service();
    if (service && (!lowest_service_ || *service < *lowest_service_)) lowest_service_ = service;
  }
  const std::size_t steps_per_window_;
  std::deque<WeightTotals> window_;
  std::optional<double> lowest_service_;
};

// Time from the start of the interval to the end of the last window whose service is below the level.
class RecoveryMeter final : public SteppedMeter {
 public:
  RecoveryMeter(const Spec& spec, const Bound& bound) : SteppedMeter(spec, bound, bound.window_ms) {}

 private:
  void step_complete(std::uint64_t number, const WeightTotals& totals) override {
    const auto service = totals.service();
    has_service_ |= service.has_value();
    if (service && *service < bound_.level) recovered_after_windows_ = number + 1;
  }
  std::optional<double> result() override {
    return has_service_ ? std::optional(static_cast<double>(recovered_after_windows_) * step_ms_)
                        : std::nullopt;
  }
  std::uint64_t recovered_after_windows_ =
      0; // number of windows up to and including the last one below the level
  bool has_service_ = false;
};

// Requests that arrive at the origin: mean rate, or highest number in any second of the run's clock.
class OriginRateMeter final : public BoundMeter {
 public:
  OriginRateMeter(const Spec& spec, const Plan& plan, const Bound& bound)
      : bound_(bound), origin_(plan.origin), to_ms_(bound.to_ms > 0 ? bound.to_ms : spec.duration_ms) {}

  using Sink::on;
  void on(const AttemptArrived& arrival) override {
    if (arrival.machine != origin_ || arrival.at < bound_.from_ms || arrival.at >= to_ms_) return;
    if (bound_.cls && *bound_.cls != arrival.cls) return;
    ++total_requests_;
    const auto second = static_cast<std::uint64_t>(arrival.at / 1000);
    if (second != current_second_) {
      current_second_ = second;
      requests_in_second_ = 0;
    }
    peak_per_second_ = std::max(peak_per_second_, ++requests_in_second_);
  }
  std::optional<double> value() override {
    if (bound_.metric == Metric::OriginPeakPerS) return static_cast<double>(peak_per_second_);
    return static_cast<double>(total_requests_) * 1000 / (to_ms_ - bound_.from_ms);
  }

 private:
  const Bound bound_;
  const MachineId origin_;
  const double to_ms_;
  std::uint64_t total_requests_ = 0, current_second_ = 0, requests_in_second_ = 0, peak_per_second_ = 0;
};

// Highest number of fetches within one second, relative to the mean rate before the interval.
class FetchSurgeMeter final : public BoundMeter {
 public:
  FetchSurgeMeter(const Spec& spec, const Plan& plan, const Bound& bound)
      : bound_(bound), origin_(plan.origin), to_ms_(bound.to_ms > 0 ? bound.to_ms : spec.duration_ms) {}

  using Sink::on;
  void on(const AttemptArrived& arrival) override {
    if (arrival.machine != origin_ || arrival.write || (bound_.cls && *bound_.cls != arrival.cls)) return;
    const double baseline_from_ms =
        bound_.from_ms / 4; // the baseline omits the first quarter, in which connections and limits build up
    if (arrival.at >= baseline_from_ms && arrival.at < bound_.from_ms) ++baseline_fetches_;
    if (arrival.at < bound_.from_ms || arrival.at >= to_ms_) return;
    last_second_arrivals_ms_.push_back(arrival.at);
    while (last_second_arrivals_ms_.front() <= arrival.at - 1000) last_second_arrivals_ms_.pop_front();
    peak_per_second_ = std::max(peak_per_second_, last_second_arrivals_ms_.size());
  }
  std::optional<double> value() override {
    if (baseline_fetches_ == 0) return std::nullopt;
    return static_cast<double>(peak_per_second_) * 0.75 * bound_.from_ms / 1000 /
           static_cast<double>(baseline_fetches_);
  }

 private:
  const Bound bound_;
  const MachineId origin_;
  const double to_ms_;
  std::deque<double> last_second_arrivals_ms_; // times of the arrivals within the last second
  std::uint64_t baseline_fetches_ = 0;
  std::size_t peak_per_second_ = 0;
};

// Hits as a share of the hits and misses of reads at caches.
class HitRatioMeter final : public BoundMeter {
 public:
  HitRatioMeter(const Spec& spec, const Bound& bound)
      : bound_(bound), to_ms_(bound.to_ms > 0 ? bound.to_ms : spec.duration_ms) {}

  using Sink::on;
  void on(const AttemptArrived& arrival) override {
    if (arrival.write || arrival.at < bound_.from_ms || arrival.at >= to_ms_) return;
    if (!bound_.cls || *bound_.cls == arrival.cls) reads_in_flight_.emplace(arrival.attempt, arrival.at);
  }
  void on(const AttemptEnded& ended) override {
    if (reads_in_flight_.erase(ended.attempt) == 0) return;
    if (ended.outcome == ServerOutcome::Hit) ++hits_;
    if (ended.outcome == ServerOutcome::Miss || ended.outcome == ServerOutcome::Pending) ++misses_;
  }
  std::optional<double> value() override {
    if (hits_ + misses_ == 0) return std::nullopt;
    return static_cast<double>(hits_) / static_cast<double>(hits_ + misses_);
  }

 private:
  const Bound bound_;
  const double to_ms_;
  std::unordered_map<AttemptId, double> reads_in_flight_;
  std::uint64_t hits_ = 0, misses_ = 0;
};

// New connections to machines for each drawn request.
class HandshakeMeter final : public BoundMeter {
 public:
  HandshakeMeter(const Spec& spec, const Bound& bound)
      : bound_(bound), to_ms_(bound.to_ms > 0 ? bound.to_ms : spec.duration_ms) {}

  using Sink::on;
  void on(const DrawnRequest& drawn) override { drawn_requests_ += in_interval(drawn.at) ? 1 : 0; }
  void on(const LoadSample& sample) override {
    handshakes_ += in_interval(sample.at) ? sample.new_connections : 0;
  }
  std::optional<double> value() override {
    return drawn_requests_ > 0 ? std::optional(handshakes_ / static_cast<double>(drawn_requests_))
                               : std::nullopt;
  }

 private:
  bool in_interval(double at) const { return at >= bound_.from_ms && at < to_ms_; }
  const Bound bound_;
  const double to_ms_;
  std::uint64_t drawn_requests_ = 0;
  double handshakes_ = 0;
};

std::string percent_text(double share) { // for configured shares such as 99%, without trailing zeros
  char text[32];
  std::snprintf(text, sizeof text, "%.6g%%", share * 100);
  return text;
}

std::string seconds_text(double ms) {
  char text[32];
  std::snprintf(text, sizeof text, "%.6gs", ms / 1000);
  return text;
}

} // namespace

std::unique_ptr<BoundMeter> make_meter(const Spec& spec, const Plan& plan, const Bound& bound) {
  switch (bound.metric) {
    case Metric::Service: return std::make_unique<ServiceMeter>(spec, bound);
    case Metric::WorstWindow: return std::make_unique<WorstWindowMeter>(spec, bound);
    case Metric::WorstClass:
    case Metric::WorstTenant: return std::make_unique<WorstGroupServiceMeter>(spec, bound);
    case Metric::Served:
    case Metric::Rejected:
    case Metric::Failed: return std::make_unique<OutcomeShareMeter>(spec, bound);
    case Metric::LatencyMs: return std::make_unique<LatencyMeter>(spec, bound);
    case Metric::OriginPerS:
    case Metric::OriginPeakPerS: return std::make_unique<OriginRateMeter>(spec, plan, bound);
    case Metric::FetchSurgeFactor: return std::make_unique<FetchSurgeMeter>(spec, plan, bound);
    case Metric::HitRatio: return std::make_unique<HitRatioMeter>(spec, bound);
    case Metric::HandshakesPerRequest: return std::make_unique<HandshakeMeter>(spec, bound);
    case Metric::RecoveryMs: return std::make_unique<RecoveryMeter>(spec, bound);
  }
  return nullptr;
}

std::string metric_value_text(Metric metric, double value) {
  char text[48];
  switch (metric) {
    case Metric::LatencyMs: std::snprintf(text, sizeof text, "%.0fms", value); break;
    case Metric::RecoveryMs: std::snprintf(text, sizeof text, "%.1fs", value / 1000); break;
    case Metric::OriginPerS:
    case Metric::OriginPeakPerS: std::snprintf(text, sizeof text, "%.1f/s", value); break;
    case Metric::HandshakesPerRequest: std::snprintf(text, sizeof text, "%.4f", value); break;
    case Metric::FetchSurgeFactor: std::snprintf(text, sizeof text, "%.2f", value); break;
    default: std::snprintf(text, sizeof text, "%.2f%%", value * 100);
  }
  return text;
}

std::string bound_description(const Spec& spec, const Bound& bound) {
  std::string text;
  switch (bound.metric) {
    case Metric::Service: text = "service"; break;
    case Metric::WorstWindow: text = "service of the worst " + seconds_text(bound.window_ms); break;
    case Metric::WorstClass: text = "service of the worst class"; break;
    case Metric::WorstTenant: text = "service of the worst tenant"; break;
    case Metric::Served: text = "served"; break;
    case Metric::Rejected: text = "refused"; break;
    case Metric::Failed: text = "failed"; break;
    case Metric::LatencyMs: text = "latency, " + percent_text(bound.quantile) + " within"; break;
    case Metric::OriginPerS: text = "requests to the origin"; break;
    case Metric::OriginPeakPerS: text = "requests to the origin in the worst second"; break;
    case Metric::FetchSurgeFactor: text = "fetches in the worst second, beside the steady rate"; break;
    case Metric::HitRatio: text = "hit ratio"; break;
    case Metric::HandshakesPerRequest: text = "new connections to machines for each request"; break;
    case Metric::RecoveryMs:
      text = "until each " + seconds_text(bound.window_ms) + " is served to " + percent_text(bound.level);
      break;
  }
  if (bound.cls && *bound.cls < spec.classes.size()) text += ", class " + spec.classes[*bound.cls].name;
  if (bound.tenant && *bound.tenant < spec.tenants.size())
    text += ", tenant " + spec.tenants[*bound.tenant].name;
  if (bound.from_ms > 0) text += ", from " + seconds_text(bound.from_ms);
  if (bound.to_ms > 0) text += ", to " + seconds_text(bound.to_ms);
  return text;
}

} // namespace fernward::lab
