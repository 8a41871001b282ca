// The limiters that are compared. Each is a short version of its source's algorithm. The router uses none of
// these classes.
#include <algorithm>
#include <cmath>

#include "contender.h"

namespace fernward::limiters {
namespace {

using concurrency::AttemptEnding;
using concurrency::AttemptSample;

// A limit below one is a sending rate, as in the router: with a minimum of one attempt each, many routers
// together would overload a small server.
bool paced(double limit, double now, double sent_at, double recent_ms, std::uint32_t out) {
  if (limit < 1) return out == 0 && (now - sent_at) * 1.5 * limit >= recent_ms;
  return out < limit;
}

bool dropped(const AttemptSample& s) {
  return s.outcome == AttemptEnding::Rejected || s.outcome == AttemptEnding::ConnectFailed ||
         s.outcome == AttemptEnding::TimedOut || s.elapsed_ms > s.latency_objective_ms;
}

// The router's previous limiter: reduces the limit when responses take longer than half of the class's
// latency objective.
class Today final : public Contender {
 public:
  explicit Today(double) {}
  bool room(double now, std::uint32_t out, bool write) const override {
    const double mine = write ? std::max(limit_, 1.0) : 0.8 * limit_;
    return paced(mine, now, sent_at_, recent_ms_, out);
  }
  void sent(double now) override { sent_at_ = now; }
  void ended(double now, const AttemptSample& s) override {
    if (s.outcome == AttemptEnding::Rejected || s.outcome == AttemptEnding::ConnectFailed)
      return cut(now, 0.7);
    const bool fault = s.outcome == AttemptEnding::Fault || s.outcome == AttemptEnding::TimedOut;
    if (s.outcome != AttemptEnding::Answered && !(fault && s.elapsed_ms >= recent_ms_)) return;
    const double elapsed = std::min(s.elapsed_ms, s.latency_objective_ms);
    if (recent_ms_ == 0) recent_ms_ = elapsed;
    smooth(recent_ms_, elapsed, 0.1);
    smooth(lateness_, elapsed / s.latency_objective_ms, limit_ < 1 ? 0.5 : 0.1);
    if (lateness_ > 0.5) {
      if (now - cut_at_ >= recent_ms_) limit_ = std::min(limit_, s.in_flight + 1.0);
      cut(now, 0.8);
    } else if (s.in_flight + 1 >= limit_ / 2) {
      limit_ += cut_at_ == kNever ? 1 : std::min(1.0, 1 / limit_);
    } else if (limit_ > kRest) {
      limit_ *= 0.98;
    }
  }
  double limit() const override { return limit_; }
  double crowding(double, double out) const override { return std::max(out / limit_, lateness_ / 0.5); }

 private:
  static constexpr double kRest = 8;
  void cut(double now, double factor) {
    if (now - cut_at_ < recent_ms_) return;
    cut_at_ = now;
    limit_ = std::max(1.0 / 64, limit_ * factor);
  }
  double limit_ = kRest, lateness_ = 0, recent_ms_ = 0, cut_at_ = kNever, sent_at_ = kNever;
};

class Ours final : public Contender {
 public:
  explicit Ours(double nodes) : limiter_(concurrency::OriginConcurrencyLimiter::for_router_count(nodes)) {}
  bool room(double now, std::uint32_t out, bool write) const override {
    return limiter_.has_capacity(now, out, write);
  }
  void sent(double now) override { limiter_.on_attempt_sent(now); }
  void ended(double now, const AttemptSample& s) override { limiter_.on_attempt_ended(now, s); }
  double limit() const override { return limiter_.limit(); }
  double crowding(double now, double out) const override { return limiter_.utilization(now, out); }

 private:
  concurrency::OriginConcurrencyLimiter limiter_;
};

// Base of limiters whose state is the limit and response times only.
class Plain : public Contender {
 public:
  explicit Plain(double limit) : limit_(limit) {}
  bool room(double now, std::uint32_t out, bool write) const override {
    return write && out == 0 ? true : paced(limit_, now, sent_at_, recent_ms_, out);
  }
  void sent(double now) override { sent_at_ = now; }
  void ended(double now, const AttemptSample& s) override {
    if (s.outcome == AttemptEnding::Answered) {
      if (recent_ms_ == 0) recent_ms_ = s.elapsed_ms;
      smooth(recent_ms_, s.elapsed_ms, 0.1);
    }
    learn(now, s);
    limit_ = std::clamp(limit_, least_, 1000.0);
  }
  double limit() const override { return limit_; }
  double crowding(double, double out) const override { return out / limit_; }

 protected:
  virtual void learn(double now, const AttemptSample& s) = 0;
  double limit_, recent_ms_ = 0, sent_at_ = kNever, least_ = 1;
};

// Brakmo, O'Malley, Peterson, "TCP Vegas" (1994), as implemented in Netflix's concurrency-limits: the
// estimated queue is the part of the limit beyond what the minimum response time requires; a short queue is
// allowed. The minimum is reset periodically.
class Vegas final : public Plain {
 public:
  explicit Vegas(double nodes) : Plain(std::max(1.0, 20 / nodes)) {}

 private:
  void learn(double, const AttemptSample& s) override {
    const double step = std::max(1.0, std::log10(limit_));
    if (dropped(s)) {
      limit_ -= step;
      return;
    }
    if (s.outcome != AttemptEnding::Answered) return;
    if (++seen_ > 30 * limit_) seen_ = 0, least_ms_ = 0;
    if (least_ms_ == 0 || s.elapsed_ms < least_ms_) {
      least_ms_ = s.elapsed_ms;
      return;
    }
    if (2 * (s.in_flight + 1) < limit_) return;
    const double queue = std::ceil(limit_ * (1 - least_ms_ / s.elapsed_ms));
    if (queue <= step) {
      limit_ += 6 * step;
    } else if (queue < 3 * step) {
      limit_ += step;
    } else if (queue > 6 * step) {
      limit_ -= step;
    }
  }
  double least_ms_ = 0, seen_ = 0;
};

// Netflix concurrency-limits, Gradient2Limit: the ratio of the long-term mean response time to the present
// one, with a tolerance of 1.5 and an allowed queue of four.
class Gradient2 final : public Plain {
 public:
  explicit Gradient2(double nodes) : Plain(std::max(1.0, 20 / nodes)) {}

 private:
  void learn(double, const AttemptSample& s) override {
    if (s.outcome != AttemptEnding::Answered) return;
    seen_ = std::min(seen_ + 1, 600.0);
    smooth(long_ms_, s.elapsed_ms, seen_ < 10 ? 1 / seen_ : 2 / (600 + 1.0));
    if (long_ms_ / s.elapsed_ms > 2) long_ms_ *= 0.95;
    if (2 * (s.in_flight + 1) < limit_) return;
    const double gradient = std::clamp(1.5 * long_ms_ / s.elapsed_ms, 0.5, 1.0);
    smooth(limit_, limit_ * gradient + 4, 0.2);
  }
  double long_ms_ = 0, seen_ = 0;
};

// Chiu, Jain (1989), as in Netflix's AIMDLimit: adds one while the limit is in use, and multiplies by 0.9 at
// each rejection, timeout or late response.
class Aimd final : public Plain {
 public:
  explicit Aimd(double nodes) : Plain(std::max(1.0, 20 / nodes)) {}

 private:
  void learn(double, const AttemptSample& s) override {
    if (dropped(s)) {
      limit_ *= 0.9;
    } else if (s.outcome == AttemptEnding::Answered && 2 * (s.in_flight + 1) >= limit_) {
      limit_ += 1;
    }
  }
};

class Fixed final : public Contender {
 public:
  explicit Fixed(double limit) : limit_(limit) {}
  bool room(double, std::uint32_t out, bool) const override { return out < limit_; }
  void sent(double) override {}
  void ended(double, const AttemptSample&) override {}
  double limit() const override { return limit_; }
  double crowding(double, double out) const override { return out / limit_; }

 private:
  double limit_;
};

template <typename Kind>
std::unique_ptr<Contender> make(double nodes) {
  return std::make_unique<Kind>(nodes);
}

} // namespace

const std::vector<Entry>& entries() {
  static const std::vector<Entry> all = {
      {"none", "no limit", Waiting::Leave, false, false, [](double) { return fixed(1e9); }},
      {"today", "reduced at half of the latency objective; queues until the objective", Waiting::AtAim, false,
       false, make<Today>},
      {"codel", "the limit of today, with a CoDel queue", Waiting::CoDel, false, false, make<Today>},
      {"vegas", "TCP Vegas", Waiting::Leave, false, false, make<Vegas>},
      {"gradient2", "Netflix Gradient2", Waiting::Leave, false, false, make<Gradient2>},
      {"aimd", "AIMD on rejections and late responses", Waiting::Leave, false, false, make<Aimd>},
      {"fernward", "src/concurrency", Waiting::Leave, true, false, make<Ours>},
      {"fernward+queue", "the same, with reports of the server's queue length", Waiting::Leave, true, true,
       make<Ours>},
  };
  return all;
}

std::unique_ptr<Contender> fixed(double limit) { return std::make_unique<Fixed>(limit); }

} // namespace fernward::limiters
