#include "model/arrivals.h"

#include <algorithm>
#include <boost/math/constants/constants.hpp>
#include <cmath>
#include <limits>

namespace fernward::model {
namespace {

boost::random::discrete_distribution<std::uint32_t> shares(std::vector<double> of) {
  if (of.empty()) of.push_back(1);
  return {of.begin(), of.end()};
}

std::vector<double> class_shares(const Spec& spec) {
  std::vector<double> all;
  for (const ClassSpec& c : spec.classes) all.push_back(c.share);
  return all;
}

std::vector<double> tenant_shares(const Spec& spec) {
  std::vector<double> all;
  for (const TenantSpec& t : spec.tenants) all.push_back(t.share * t.usage);
  return all;
}

double highest(const Spec& spec) {
  switch (spec.load.shape) {
    case LoadShape::Steady: return 1;
    case LoadShape::Ramp: return std::max(1.0, spec.load.ramp_to);
    case LoadShape::Day: return 1 + spec.load.swing;
  }
  return 1;
}

} // namespace

Arrivals::Arrivals(const Spec& spec, const Plan& plan, Keys& keys)
    : spec_(spec),
      plan_(plan),
      keys_(keys),
      times_(stream(spec.seed, "arrivals")),
      mix_(stream(spec.seed, "mix")),
      key_draws_(stream(spec.seed, "keys")),
      work_(stream(spec.seed, "work")),
      hints_(stream(spec.seed, "hints")),
      classes_(shares(class_shares(spec))),
      tenants_(shares(tenant_shares(spec))),
      zones_(shares(plan.client_share)),
      highest_(highest(spec)),
      quotas_(spec.tenants.size()) {
  for (std::size_t i = 0; i < quotas_.size(); ++i) quotas_[i].tokens = spec.tenants[i].quota_per_s;
  for (const RateChange& r : plan_.rates) {
    changes_.push_back(r.from_ms);
    changes_.push_back(r.to_ms);
  }
  std::sort(changes_.begin(), changes_.end());
}

double Arrivals::shape(double now) const {
  const LoadSpec& load = spec_.load;
  switch (load.shape) {
    case LoadShape::Steady: return 1;
    case LoadShape::Ramp: return 1 + (load.ramp_to - 1) * now / spec_.duration_ms;
    case LoadShape::Day: {
      const double turn = boost::math::constants::two_pi<double>() / load.period_ms;
      return 1 + load.swing * std::cos(turn * (now - load.peak_at_ms));
    }
  }
  return 1;
}

double Arrivals::factor(double now) const {
  double all = 1;
  for (const RateChange& r : plan_.rates) {
    if (now >= r.from_ms && now < r.to_ms) all *= r.factor;
  }
  return all;
}

double Arrivals::rate(double now) const { return spec_.load.rate_per_s * shape(now) * factor(now); }

// A Poisson process with a varying rate, by thinning: candidates are drawn at the maximum rate of each period
// between two rate changes and accepted with the probability that the shape gives. Drawing starts again at
// each change, which is correct because the process is memoryless.
std::optional<double> Arrivals::next_time() {
  while (now_ < spec_.duration_ms) {
    const auto change = std::upper_bound(changes_.begin(), changes_.end(), now_);
    const double until = std::min(spec_.duration_ms, change == changes_.end() ? spec_.duration_ms : *change);
    const double per_ms = spec_.load.rate_per_s / 1000 * highest_ * factor(now_);
    const double at =
        per_ms > 0 ? now_ + draw_exponential(1 / per_ms, times_) : std::numeric_limits<double>::infinity();
    now_ = std::min(at, until);
    if (at < until && draw_chance(shape(at) / highest_, times_)) return at;
  }
  return std::nullopt;
}

bool Arrivals::over_share(const Drawn& drawn) {
  if (spec_.tenants.empty()) return false;
  const double quota = spec_.tenants[drawn.tenant].quota_per_s;
  if (!(quota > 0)) return false;
  Bucket& bucket = quotas_[drawn.tenant];
  bucket.tokens = std::min(std::max(1.0, quota), bucket.tokens + (drawn.at - bucket.at) / 1000 * quota);
  bucket.at = drawn.at;
  if (bucket.tokens < 1) return true;
  bucket.tokens -= 1;
  return false;
}

std::optional<Drawn> Arrivals::next() {
  const auto at = next_time();
  if (!at) return std::nullopt;
  Drawn d;
  d.at = *at;
  d.request = ++drawn_;
  d.cls = classes_(mix_);
  d.tenant = tenants_(mix_);
  d.zone = zones_(mix_);
  const ClassSpec& cls = spec_.classes[d.cls];
  d.write = cls.write;
  d.key = keys_.draw(d.at, key_draws_);
  for (const HotSpell& hot : plan_.hot) {
    if (!d.write && d.at >= hot.from_ms && d.at < hot.to_ms && draw_chance(hot.share, key_draws_))
      d.key = hot.key;
  }
  d.size_bytes = keys_.size_bytes(d.key);
  d.work_ms = draw(cls.work, work_);
  if (cls.hint_error >= 0) d.hint_ms = d.work_ms * draw_factor(cls.hint_error, hints_);
  d.over_share = over_share(d);
  d.worth = cls.worth * (spec_.counted_by == CountedBy::Work ? d.work_ms : 1) *
            (d.over_share ? spec_.routers.over_share_worth : 1);
  d.aim_ms =
      std::min(cls.give_up_ms, (cls.aim_ms > 0 ? cls.aim_ms : cls.give_up_ms) + cls.aim_stretch * d.work_ms);
  d.late_share = cls.late_share;
  d.give_up_ms = cls.give_up_ms;
  return d;
}

} // namespace fernward::model
