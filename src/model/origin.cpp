#include "model/origin.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fernward::model {
namespace {

constexpr double kForever = std::numeric_limits<double>::infinity();

// Capacity times service time (Little's law) gives the number of cores; it may have a fraction.
double cores(const OriginSpec& o) { return o.capacity_per_s * o.time_ms / 1000; }

} // namespace

Origin::Origin(const Spec& spec, const Machine& machine, Repeats& repeats)
    : Station(machine.id,
              {.cores = cores(spec.origin),
               .speed = 1,
               .places = static_cast<std::uint32_t>(std::ceil(std::max(1.0, cores(spec.origin)))),
               .waiting = static_cast<std::uint32_t>(
                   std::ceil(spec.origin.capacity_per_s * spec.origin.queue_ms / 1000)),
               .connections = spec.origin.connections,
               .handshake_ms = 0, // its front end does the handshakes: they cost time but no capacity
               .error_rate = spec.origin.error_rate,
               .drops_expired = spec.origin.drops_expired,
               .on_cancel = OnCancel::Keep,
               .report = spec.origin.report},
              spec.seed),
      spec_(spec),
      place_(machine),
      repeats_(repeats),
      back_at_(kForever),
      sent_(spec.origin.fall_ms),
      times_(stream(spec.seed, "origin")) {
  phase_ = Phase::Up;
  refresh(0);
}

void Origin::slow(double now, double share, Acts& acts) {
  advance(now, acts);
  share_ = std::max(0.0, share);
  refresh(seen());
}

void Origin::fall(double now, double down_ms, Acts& acts) {
  advance(now, acts);
  if (phase_ != Phase::Off) go_down(seen(), down_ms, acts);
}

void Origin::go_down(double now, double down_ms, Acts& acts) {
  lose_all(now, acts);
  sent_.clear();
  back_at_ = now + down_ms;
  acts.push_back({.at = now, .what = Act::What::Fell});
}

void Origin::change(double now, Acts& acts) {
  back_at_ = kForever;
  phase_ = Phase::Up;
  acts.push_back({.at = now, .what = Act::What::Returned});
}

void Origin::on_arrival(double now, const Attempt& attempt, Acts& acts) {
  const OriginSpec& o = spec_.origin;
  if (!(o.fall_multiple > 0)) return;
  sent_.add(now, attempt.write ? o.write_multiple : 1);
  if (sent_.sum(now) > o.fall_multiple * o.capacity_per_s * o.fall_ms / 1000) go_down(now, o.down_ms, acts);
}

bool Origin::repeated(double now, const Attempt& a) {
  if (!a.write || a.repeat_key == 0 || a.cls >= spec_.classes.size()) return false;
  const ClassSpec& cls = spec_.classes[a.cls];
  return cls.repeat == Idempotency::WithKey &&
         repeats_.seen(now, repeat_group(cls.scope, place_), a.repeat_key, cls.window_ms);
}

void Origin::begin(double now, Held& held) {
  const OriginSpec& o = spec_.origin;
  if (repeated(now, held.attempt)) {
    held.ending = Ending::Repeat;
    held.work = 0;
    return;
  }
  held.ending = held.attempt.write ? Ending::Written : Ending::Fetched;
  const Shape shape = o.time_cv > 0 ? Shape::LogNormal : Shape::Fixed;
  held.work = draw({shape, o.time_ms, o.time_cv}, times_) * (held.attempt.write ? o.write_multiple : 1);
}

double Origin::capacity(double) const {
  const OriginSpec& o = spec_.origin;
  const double full = limits_.waiting > 0 ? static_cast<double>(waiting()) / limits_.waiting : 0;
  const double crowd = o.crowded_at < 1 ? std::max(0.0, full - o.crowded_at) / (1 - o.crowded_at) : 0;
  return share_ / (1 + o.crowded_loss * crowd);
}

} // namespace fernward::model
