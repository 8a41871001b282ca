#include "descriptors/client_admission.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fernward::descriptors {
namespace {

constexpr double kRateMs = 1000;
constexpr double kBackQuantile = 0.9;
constexpr double kShareStep = 1.0 / 16;

} // namespace

void Rate::count(double now) {
  rate_ = per_second(now) + 1000 / kRateMs;
  at_ = now;
}

double Rate::per_second(double now) const { return rate_ * std::exp(-std::max(0.0, now - at_) / kRateMs); }

// ---- what happens ----

void ClientAdmission::on_accepted(double now, Id id) {
  const auto [it, added] = clients_.try_emplace(id);
  if (!added) return;
  it->second.came_at = now;
  put(it->second, Rank::Silent, now, id);
}

void ClientAdmission::on_request_active(double, Id id) {
  if (const auto it = clients_.find(id); it != clients_.end()) take_out(it->second);
}

void ClientAdmission::on_request_partial(double now, Id id) {
  const auto it = clients_.find(id);
  if (it != clients_.end() && !it->second.lingers) put(it->second, Rank::Begun, now, id);
}

void ClientAdmission::on_request_complete(double now, Id id) {
  const auto it = clients_.find(id);
  if (it == clients_.end() || it->second.lingers) return;
  Client& c = it->second;
  take_out(c);
  if (++c.asked == 1) {
    ++asking_;
  } else if (c.rested_at >= c.asked_at) {
    const double rest = now - c.rested_at, log_rest = std::log(1 + rest);
    (c.asked == 2 ? once_ : often_).came_back(rest);
    c.log_rest = c.asked == 2 ? log_rest : c.log_rest + (log_rest - c.log_rest) / 4;
    log_usual_rest_ = usual_known_ ? log_usual_rest_ + (log_rest - log_usual_rest_) / 64 : log_rest;
    usual_known_ = true;
  }
  c.asked_before = c.asked == 1 ? now : c.asked_at;
  c.asked_at = now;
}

void ClientAdmission::on_idle(double now, Id id) {
  const auto it = clients_.find(id);
  if (it == clients_.end() || it->second.lingers) return;
  Client& c = it->second;
  c.rested_at = now;
  if (c.asked == 0)
    return put(c, Rank::Silent, c.came_at, id); // it has but asked whether the router is ready
  c.asked == 1 ? put(c, Rank::Once, now, id) : put(c, Rank::Often, c.asked_before, id);
}

void ClientAdmission::on_lingering(double now, Id id) {
  const auto it = clients_.find(id);
  if (it == clients_.end() || it->second.lingers) return;
  it->second.lingers = true;
  asking_ -= it->second.asked > 0;
  put(it->second, Rank::Lingering, now, id);
}

void ClientAdmission::on_closed(double now, Id id, ClosedBy how) {
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  Client& c = it->second;
  const bool rested = c.indexed && c.key.rank >= Rank::Once;
  if (rested && (how == ClosedBy::Client ||
                 now - c.rested_at >= options_.min_idle_ms)) { // else it had no time to come back
    (c.asked == 1 ? once_ : often_).stayed_away();
  }
  if (how == ClosedBy::Client && c.asked > 0 && !c.told_to_end) leavers_.count(now);
  asking_ -= c.asked > 0 && !c.lingers;
  take_out(c);
  clients_.erase(it);
}

void ClientAdmission::Returns::came_back(double rest) {
  share += kShareStep * (1 - share);
  // A quantile followed in steps: they rise nine times as far as they fall, so that it stands where one in
  // ten is above it.
  ms = std::clamp(ms * std::exp(0.2 * (rest > ms ? kBackQuantile : kBackQuantile - 1)), 1.0, 3600e3);
}

void ClientAdmission::Returns::stayed_away() { share -= kShareStep * share; }

// ---- what to do ----

// How long the places last at the rate of new clients that stay.
double ClientAdmission::full_in(double now, double places) const {
  if (places <= 0) return 0;
  const double per_second = newcomers_.per_second(now) - leavers_.per_second(now);
  return per_second <= 0 ? std::numeric_limits<double>::infinity() : places / per_second * 1000;
}

bool ClientAdmission::should_close_after_response(double now, Id id) {
  const auto it = clients_.find(id);
  if (it == clients_.end() || it->second.asked == 0) return false;
  if (it->second.asked == 1) newcomers_.count(now);
  return it->second.told_to_end = may_end(now, it->second);
}

bool ClientAdmission::may_end(double now, const Client& c) const {
  const double few = places() / 4;
  if (static_cast<double>(asking_) <= few) return false;
  if (c.asked == 1) {
    // Some stay whatever is believed: without them nothing would be learnt.
    if (waiting(Rank::Once) < few && !under_pressure()) return false;
    return once_.share < 0.5 || full_in(now, left()) < once_.ms;
  }
  // Those that came once go first. Only where they do not suffice, and many places lie idle under clients
  // that come often, the rarer half of these gives way; all of them where they do not come back any more.
  if (left() + waiting(Rank::Once) >= places() / 8 || waiting(Rank::Often) <= few) return false;
  return often_.share < 0.5 || c.log_rest > log_usual_rest_;
}

std::optional<ClientAdmission::Id> ClientAdmission::expired_idle(double now) const {
  const auto first = index_.lower_bound(Key{Rank::Once, -1, 0});
  if (first == index_.end()) return std::nullopt;
  const auto rested = [&](const Key& key) {
    return now - clients_.at(key.id).rested_at >= options_.min_idle_ms;
  };
  const bool untried = waiting(Rank::Once) >= places() / 4 && once_.share < 0.5; // makes room for a newer one
  if (first->rank == Rank::Once && (untried || under_pressure()) && rested(*first)) return first->id;
  if (!under_pressure()) return std::nullopt;
  int tries = kMostTries;
  for (auto often = index_.lower_bound(Key{Rank::Often, -1, 0}); often != index_.end() && tries-- > 0;
       ++often) {
    if (rested(*often)) return often->id;
  }
  return std::nullopt;
}

// ---- the index ----

void ClientAdmission::put(Client& c, Rank rank, double time, Id id) {
  take_out(c);
  c.key = {rank, time, id};
  if (c.node.empty()) {
    index_.insert(c.key);
  } else {
    c.node.value() = c.key;
    index_.insert(std::move(c.node));
  }
  c.indexed = true;
  ++waiting_[static_cast<std::size_t>(rank)];
}

void ClientAdmission::take_out(Client& c) {
  if (!c.indexed) return;
  c.indexed = false;
  --waiting_[static_cast<std::size_t>(c.key.rank)];
  c.node = index_.extract(c.key);
}

} // namespace fernward::descriptors
