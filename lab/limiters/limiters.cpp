// The limiters that are compared. Each is a short version of its source's algorithm, except FernwardLimiter,
// which wraps that of the router. The router uses none of these classes.
#include <algorithm>
#include <cmath>

#include "limiter_under_test.h"

namespace fernward::limiters {
namespace {

using concurrency::AttemptEnding;
using concurrency::AttemptSample;

// A limit below one is a sending rate, as in the router: with a minimum of one attempt each, many routers
// together would overload a small server.
bool within_limit(double limit, double now, double last_sent_at, double mean_response_ms,
                  std::uint32_t in_flight) {
  if (limit < 1) return in_flight == 0 && (now - last_sent_at) * 1.5 * limit >= mean_response_ms;
  return in_flight < limit;
}

bool signals_overload(const AttemptSample& sample) {
  return sample.ending == AttemptEnding::Rejected || sample.ending == AttemptEnding::ConnectFailed ||
         sample.ending == AttemptEnding::TimedOut || sample.elapsed_ms > sample.latency_objective_ms;
}

// The router's previous limiter: reduces the limit when responses take longer than half of the class's
// latency objective.
class PreviousLimiter final : public LimiterUnderTest {
 public:
  explicit PreviousLimiter(double) {}
  bool may_send(double now, std::uint32_t in_flight, bool write) const override {
    const double limit_for_kind = write ? std::max(limit_, 1.0) : 0.8 * limit_;
    return within_limit(limit_for_kind, now, last_sent_at_, mean_response_ms_, in_flight);
  }
  void on_sent(double now) override { last_sent_at_ = now; }
  void on_ended(double now, const AttemptSample& sample) override {
    if (sample.ending == AttemptEnding::Rejected || sample.ending == AttemptEnding::ConnectFailed)
      return reduce(now, 0.7);
    const bool fault = sample.ending == AttemptEnding::Fault || sample.ending == AttemptEnding::TimedOut;
    if (sample.ending != AttemptEnding::Answered && !(fault && sample.elapsed_ms >= mean_response_ms_))
      return;
    const double elapsed = std::min(sample.elapsed_ms, sample.latency_objective_ms);
    if (mean_response_ms_ == 0) mean_response_ms_ = elapsed;
    update_moving_average(mean_response_ms_, elapsed, 0.1);
    update_moving_average(objective_ratio_, elapsed / sample.latency_objective_ms, limit_ < 1 ? 0.5 : 0.1);
    if (objective_ratio_ > 0.5) {
      if (now - last_reduced_at_ >= mean_response_ms_) limit_ = std::min(limit_, sample.in_flight + 1.0);
      reduce(now, 0.8);
    } else if (sample.in_flight + 1 >= limit_ / 2) {
      limit_ += last_reduced_at_ == kNever ? 1 : std::min(1.0, 1 / limit_);
    } else if (limit_ > kIdleLimit) {
      limit_ *= 0.98;
    }
  }
  double limit() const override { return limit_; }
  double congestion(double, double demand) const override {
    return std::max(demand / limit_, objective_ratio_ / 0.5);
  }

 private:
  static constexpr double kIdleLimit =
      8; // initial limit; a larger one falls to it while less than half is in use
  void reduce(double now, double factor) {
    if (now - last_reduced_at_ < mean_response_ms_) return;
    last_reduced_at_ = now;
    limit_ = std::max(1.0 / 64, limit_ * factor);
  }
  double limit_ = kIdleLimit, objective_ratio_ = 0, mean_response_ms_ = 0, last_reduced_at_ = kNever,
         last_sent_at_ = kNever;
};

// The router's limiter.
class FernwardLimiter final : public LimiterUnderTest {
 public:
  explicit FernwardLimiter(double router_count)
      : limiter_(concurrency::OriginConcurrencyLimiter::for_router_count(router_count)) {}
  bool may_send(double now, std::uint32_t in_flight, bool write) const override {
    return limiter_.has_capacity(now, in_flight, write);
  }
  void on_sent(double now) override { limiter_.on_attempt_sent(now); }
  void on_ended(double now, const AttemptSample& sample) override { limiter_.on_attempt_ended(now, sample); }
  double limit() const override { return limiter_.limit(); }
  double congestion(double now, double demand) const override { return limiter_.utilization(now, demand); }

 private:
  concurrency::OriginConcurrencyLimiter limiter_;
};

// Base of limiters whose state is the limit and response times only.
class LimitFromResponses : public LimiterUnderTest {
 public:
  explicit LimitFromResponses(double limit) : limit_(limit) {}
  bool may_send(double now, std::uint32_t in_flight, bool write) const override {
    return write && in_flight == 0 ? true
                                   : within_limit(limit_, now, last_sent_at_, mean_response_ms_, in_flight);
  }
  void on_sent(double now) override { last_sent_at_ = now; }
  void on_ended(double now, const AttemptSample& sample) override {
    if (sample.ending == AttemptEnding::Answered) {
      if (mean_response_ms_ == 0) mean_response_ms_ = sample.elapsed_ms;
      update_moving_average(mean_response_ms_, sample.elapsed_ms, 0.1);
    }
    update_limit(now, sample);
    limit_ = std::clamp(limit_, min_limit_, 1000.0);
  }
  double limit() const override { return limit_; }
  double congestion(double, double demand) const override { return demand / limit_; }

 protected:
  virtual void update_limit(double now, const AttemptSample& sample) = 0;
  double limit_, mean_response_ms_ = 0, last_sent_at_ = kNever, min_limit_ = 1;
};

// Brakmo, O'Malley, Peterson, "TCP Vegas" (1994), as implemented in Netflix's concurrency-limits: the
// estimated queue is the part of the limit beyond what the minimum response time requires; a short queue is
// allowed. The minimum is reset periodically.
class Vegas final : public LimitFromResponses {
 public:
  explicit Vegas(double router_count) : LimitFromResponses(std::max(1.0, 20 / router_count)) {}

 private:
  void update_limit(double, const AttemptSample& sample) override {
    const double step = std::max(1.0, std::log10(limit_));
    if (signals_overload(sample)) {
      limit_ -= step;
      return;
    }
    if (sample.ending != AttemptEnding::Answered) return;
    if (++samples_since_reset_ > 30 * limit_) samples_since_reset_ = 0, min_response_ms_ = 0;
    if (min_response_ms_ == 0 || sample.elapsed_ms < min_response_ms_) {
      min_response_ms_ = sample.elapsed_ms;
      return;
    }
    if (2 * (sample.in_flight + 1) < limit_) return;
    const double queue = std::ceil(limit_ * (1 - min_response_ms_ / sample.elapsed_ms));
    if (queue <= step) {
      limit_ += 6 * step;
    } else if (queue < 3 * step) {
      limit_ += step;
    } else if (queue > 6 * step) {
      limit_ -= step;
    }
  }
  double min_response_ms_ = 0, samples_since_reset_ = 0;
};

// Netflix concurrency-limits, Gradient2Limit: multiplies the limit by the ratio of the long-term mean response
// time to the present one, with a tolerance of 1.5, and adds an allowed queue of four.
class Gradient2 final : public LimitFromResponses {
 public:
  explicit Gradient2(double router_count) : LimitFromResponses(std::max(1.0, 20 / router_count)) {}

 private:
  void update_limit(double, const AttemptSample& sample) override {
    if (sample.ending != AttemptEnding::Answered) return;
    sample_count_ = std::min(sample_count_ + 1, 600.0);
    update_moving_average(long_term_response_ms_, sample.elapsed_ms,
                          sample_count_ < 10 ? 1 / sample_count_ : 2 / (600 + 1.0));
    if (long_term_response_ms_ / sample.elapsed_ms > 2) long_term_response_ms_ *= 0.95;
    if (2 * (sample.in_flight + 1) < limit_) return;
    const double gradient = std::clamp(1.5 * long_term_response_ms_ / sample.elapsed_ms, 0.5, 1.0);
    update_moving_average(limit_, limit_ * gradient + 4, 0.2);
  }
  double long_term_response_ms_ = 0, sample_count_ = 0;
};

// Chiu, Jain (1989), as in Netflix's AIMDLimit: adds one while the limit is in use, and multiplies by 0.9 at
// each rejection, timeout or late response.
class Aimd final : public LimitFromResponses {
 public:
  explicit Aimd(double router_count) : LimitFromResponses(std::max(1.0, 20 / router_count)) {}

 private:
  void update_limit(double, const AttemptSample& sample) override {
    if (signals_overload(sample)) {
      limit_ *= 0.9;
    } else if (sample.ending == AttemptEnding::Answered && 2 * (sample.in_flight + 1) >= limit_) {
      limit_ += 1;
    }
  }
};

class FixedLimiter final : public LimiterUnderTest {
 public:
  explicit FixedLimiter(double limit) : limit_(limit) {}
  bool may_send(double, std::uint32_t in_flight, bool) const override { return in_flight < limit_; }
  void on_sent(double) override {}
  void on_ended(double, const AttemptSample&) override {}
  double limit() const override { return limit_; }
  double congestion(double, double demand) const override { return demand / limit_; }

 private:
  double limit_;
};

template <typename Kind>
std::unique_ptr<LimiterUnderTest> make_limiter(double router_count) {
  return std::make_unique<Kind>(router_count);
}

} // namespace

const std::vector<LimiterEntry>& limiter_entries() {
  static const std::vector<LimiterEntry> entry_list = {
      {"none", "no limit", QueuePolicy::OriginQueue, false, false,
       [](double) { return make_fixed_limiter(1e9); }},
      {"today", "reduced at half of the latency objective; queues until the objective",
       QueuePolicy::UntilDeadline, false, false, make_limiter<PreviousLimiter>},
      {"codel", "the limiter of `today`, with a CoDel queue", QueuePolicy::CoDel, false, false,
       make_limiter<PreviousLimiter>},
      {"vegas", "TCP Vegas", QueuePolicy::OriginQueue, false, false, make_limiter<Vegas>},
      {"gradient2", "Netflix Gradient2", QueuePolicy::OriginQueue, false, false, make_limiter<Gradient2>},
      {"aimd", "AIMD on rejections and late responses", QueuePolicy::OriginQueue, false, false,
       make_limiter<Aimd>},
      {"fernward", "src/concurrency", QueuePolicy::OriginQueue, true, false, make_limiter<FernwardLimiter>},
      {"fernward+queue", "the same, with reports of the server's queue length", QueuePolicy::OriginQueue,
       true, true, make_limiter<FernwardLimiter>},
  };
  return entry_list;
}

std::unique_ptr<LimiterUnderTest> make_fixed_limiter(double limit) {
  return std::make_unique<FixedLimiter>(limit);
}

} // namespace fernward::limiters
