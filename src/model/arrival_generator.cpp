#include "model/arrival_generator.h"

#include <algorithm>
#include <boost/math/constants/constants.hpp>
#include <cmath>
#include <limits>

namespace fernward::model {
namespace {

boost::random::discrete_distribution<std::uint32_t> distribution_of(std::vector<double> weights) {
  if (weights.empty()) weights.push_back(1);
  return {weights.begin(), weights.end()};
}

std::vector<double> class_shares(const Spec& spec) {
  std::vector<double> weights;
  for (const ClassSpec& class_spec : spec.classes) weights.push_back(class_spec.share);
  return weights;
}

std::vector<double> tenant_shares(const Spec& spec) {
  std::vector<double> weights;
  for (const TenantSpec& tenant : spec.tenants) weights.push_back(tenant.share * tenant.usage_factor);
  return weights;
}

double max_shape_factor(const Spec& spec) {
  switch (spec.load.shape) {
    case LoadShape::Steady: return 1;
    case LoadShape::Ramp: return std::max(1.0, spec.load.ramp_to);
    case LoadShape::Day: return 1 + spec.load.swing;
  }
  return 1;
}

} // namespace

ArrivalGenerator::ArrivalGenerator(const Spec& spec, const Plan& plan, KeySpace& keys)
    : spec_(spec),
      plan_(plan),
      keys_(keys),
      arrival_engine_(stream(spec.seed, "arrivals")),
      attribute_engine_(stream(spec.seed, "mix")),
      key_engine_(stream(spec.seed, "keys")),
      work_engine_(stream(spec.seed, "work")),
      hint_engine_(stream(spec.seed, "hints")),
      classes_(distribution_of(class_shares(spec))),
      tenants_(distribution_of(tenant_shares(spec))),
      zones_(distribution_of(plan.client_share)),
      max_shape_factor_(max_shape_factor(spec)),
      quota_buckets_(spec.tenants.size()) {
  for (std::size_t i = 0; i < quota_buckets_.size(); ++i)
    quota_buckets_[i].tokens = spec.tenants[i].quota_per_s;
  for (const RateChange& change : plan_.rate_changes) {
    rate_change_times_.push_back(change.from_ms);
    rate_change_times_.push_back(change.to_ms);
  }
  std::sort(rate_change_times_.begin(), rate_change_times_.end());
}

double ArrivalGenerator::shape_factor(double now) const {
  const LoadSpec& load = spec_.load;
  switch (load.shape) {
    case LoadShape::Steady: return 1;
    case LoadShape::Ramp: return 1 + (load.ramp_to - 1) * now / spec_.duration_ms;
    case LoadShape::Day: {
      const double radians_per_ms = boost::math::constants::two_pi<double>() / load.period_ms;
      return 1 + load.swing * std::cos(radians_per_ms * (now - load.peak_at_ms));
    }
  }
  return 1;
}

double ArrivalGenerator::event_factor(double now) const {
  double product = 1;
  for (const RateChange& change : plan_.rate_changes) {
    if (now >= change.from_ms && now < change.to_ms) product *= change.factor;
  }
  return product;
}

double ArrivalGenerator::rate_per_s(double now) const {
  return spec_.load.rate_per_s * shape_factor(now) * event_factor(now);
}

// A Poisson process with a varying rate, by thinning: candidates are drawn at the maximum rate of each period
// between two rate changes and accepted with the probability that the shape gives. Drawing starts again at
// each change, which is correct because the process is memoryless.
std::optional<double> ArrivalGenerator::next_time() {
  while (now_ < spec_.duration_ms) {
    const auto change = std::upper_bound(rate_change_times_.begin(), rate_change_times_.end(), now_);
    const double period_end_ms =
        std::min(spec_.duration_ms, change == rate_change_times_.end() ? spec_.duration_ms : *change);
    const double max_rate_per_ms = spec_.load.rate_per_s / 1000 * max_shape_factor_ * event_factor(now_);
    const double at = max_rate_per_ms > 0 ? now_ + draw_exponential(1 / max_rate_per_ms, arrival_engine_)
                                          : std::numeric_limits<double>::infinity();
    now_ = std::min(at, period_end_ms);
    if (at < period_end_ms && draw_with_probability(shape_factor(at) / max_shape_factor_, arrival_engine_))
      return at;
  }
  return std::nullopt;
}

bool ArrivalGenerator::exceeds_quota(const DrawnRequest& drawn) {
  if (spec_.tenants.empty()) return false;
  const double quota = spec_.tenants[drawn.tenant].quota_per_s;
  if (!(quota > 0)) return false;
  Bucket& bucket = quota_buckets_[drawn.tenant];
  bucket.tokens = std::min(std::max(1.0, quota), bucket.tokens + (drawn.at - bucket.at) / 1000 * quota);
  bucket.at = drawn.at;
  if (bucket.tokens < 1) return true;
  bucket.tokens -= 1;
  return false;
}

std::optional<DrawnRequest> ArrivalGenerator::next() {
  const auto at = next_time();
  if (!at) return std::nullopt;
  DrawnRequest request;
  request.at = *at;
  request.request = ++last_request_;
  request.cls = classes_(attribute_engine_);
  request.tenant = tenants_(attribute_engine_);
  request.zone = zones_(attribute_engine_);
  const ClassSpec& class_spec = spec_.classes[request.cls];
  request.write = class_spec.write;
  request.key = keys_.draw(request.at, key_engine_);
  for (const HotKeyPeriod& hot_key : plan_.hot_key_periods) {
    if (!request.write && request.at >= hot_key.from_ms && request.at < hot_key.to_ms &&
        draw_with_probability(hot_key.share, key_engine_))
      request.key = hot_key.key;
  }
  request.size_bytes = keys_.size_bytes(request.key);
  request.work_ms = draw(class_spec.work, work_engine_);
  if (class_spec.hint_error >= 0)
    request.hint_ms = request.work_ms * draw_factor(class_spec.hint_error, hint_engine_);
  request.over_quota = exceeds_quota(request);
  request.priority_weight = class_spec.priority_weight *
                            (spec_.weight_basis == WeightBasis::Work ? request.work_ms : 1) *
                            (request.over_quota ? spec_.routers.over_quota_weight : 1);
  request.latency_objective_ms = std::min(
      class_spec.client_timeout_ms,
      (class_spec.latency_objective_ms > 0 ? class_spec.latency_objective_ms : class_spec.client_timeout_ms) +
          class_spec.objective_per_work * request.work_ms);
  request.late_value_share = class_spec.late_value_share;
  request.client_timeout_ms = class_spec.client_timeout_ms;
  return request;
}

} // namespace fernward::model
