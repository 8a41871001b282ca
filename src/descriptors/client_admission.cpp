#include "descriptors/client_admission.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace fernward::descriptors {
namespace {

constexpr double kRateWindowMs = 1000;
constexpr double kReturnQuantile = 0.9;
constexpr double kReturnStep = 0.2; // of the quantile's logarithm
constexpr double kMinReturnMs = 1;
constexpr double kMaxReturnMs = 3600e3;
constexpr double kReturnShareWeight = 1.0 / 16; // of one client
constexpr double kLowReturnShare = 0.5;         // below it idle clients are assumed not to return

} // namespace

void EventRate::count(double now) {
  rate_ = per_second(now) + 1000 / kRateWindowMs;
  counted_at_ = now;
}

double EventRate::per_second(double now) const {
  return rate_ * std::exp(-std::max(0.0, now - counted_at_) / kRateWindowMs);
}

// ---- Events ----

void ClientAdmission::on_accepted(double now, Id id) {
  const auto [it, added] = clients_.try_emplace(id);
  if (!added) return;
  it->second.accepted_at = now;
  insert(it->second, State::NoRequest, now, id);
}

void ClientAdmission::on_request_active(double, Id id) {
  if (const auto it = clients_.find(id); it != clients_.end()) remove(it->second);
}

void ClientAdmission::on_request_partial(double now, Id id) {
  const auto it = clients_.find(id);
  if (it != clients_.end() && !it->second.lingering) insert(it->second, State::PartialRequest, now, id);
}

void ClientAdmission::on_request_complete(double now, Id id) {
  const auto it = clients_.find(id);
  if (it == clients_.end() || it->second.lingering) return;
  Client& client = it->second;
  remove(client);
  ++client.requests;
  if (client.requests == 1) {
    ++active_;
  } else if (client.idle_at >= client.request_at) {
    const double idle_ms = now - client.idle_at;
    const double log_idle_ms = std::log(1 + idle_ms);
    const bool second = client.requests == 2;
    (second ? after_one_ : after_many_).on_return(idle_ms);
    client.log_idle_ms = second ? log_idle_ms : client.log_idle_ms + (log_idle_ms - client.log_idle_ms) / 4;
    log_usual_idle_ms_ =
        usual_idle_known_ ? log_usual_idle_ms_ + (log_idle_ms - log_usual_idle_ms_) / 64 : log_idle_ms;
    usual_idle_known_ = true;
  }
  client.previous_request_at = client.requests == 1 ? now : client.request_at;
  client.request_at = now;
}

void ClientAdmission::on_idle(double now, Id id) {
  const auto it = clients_.find(id);
  if (it == clients_.end() || it->second.lingering) return;
  Client& client = it->second;
  client.idle_at = now;
  if (client.requests == 0) { // it has only sent health checks of this router
    insert(client, State::NoRequest, client.accepted_at, id);
  } else if (client.requests == 1) {
    insert(client, State::IdleAfterOne, now, id);
  } else {
    insert(client, State::IdleAfterMany, client.previous_request_at, id);
  }
}

void ClientAdmission::on_lingering(double now, Id id) {
  const auto it = clients_.find(id);
  if (it == clients_.end() || it->second.lingering) return;
  it->second.lingering = true;
  if (it->second.requests > 0) --active_;
  insert(it->second, State::Lingering, now, id);
}

void ClientAdmission::on_closed(double now, Id id, ClosedBy by) {
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  Client& client = it->second;
  const bool idle = client.indexed && client.key.state >= State::IdleAfterOne;
  const bool had_time_to_return = by == ClosedBy::Client || now - client.idle_at >= options_.min_idle_ms;
  if (idle && had_time_to_return) (client.requests == 1 ? after_one_ : after_many_).on_no_return();
  if (by == ClosedBy::Client && client.requests > 0 && !client.told_to_close) leavers_.count(now);
  if (client.requests > 0 && !client.lingering) --active_;
  remove(client);
  clients_.erase(it);
}

void ClientAdmission::ReturnEstimate::on_return(double idle_ms) {
  return_share += kReturnShareWeight * (1 - return_share);
  // Steps up are nine times as large as steps down, so that one in ten idle times is above the estimate.
  const double step = idle_ms > return_ms ? kReturnQuantile : kReturnQuantile - 1;
  return_ms = std::clamp(return_ms * std::exp(kReturnStep * step), kMinReturnMs, kMaxReturnMs);
}

void ClientAdmission::ReturnEstimate::on_no_return() { return_share -= kReturnShareWeight * return_share; }

// ---- Decisions ----

// Extrapolates the current net rate of new clients.
double ClientAdmission::time_until_full_ms(double now) const {
  const double places = free_places();
  if (places <= 0) return 0;
  const double per_second = newcomers_.per_second(now) - leavers_.per_second(now);
  return per_second <= 0 ? std::numeric_limits<double>::infinity() : places / per_second * 1000;
}

bool ClientAdmission::should_close_after_response(double now, Id id) {
  const auto it = clients_.find(id);
  if (it == clients_.end() || it->second.requests == 0) return false;
  if (it->second.requests == 1) newcomers_.count(now);
  it->second.told_to_close = may_close(now, it->second);
  return it->second.told_to_close;
}

bool ClientAdmission::may_close(double now, const Client& client) const {
  const double few = max_clients() / 4;
  if (static_cast<double>(active_) <= few) return false;
  if (client.requests == 1) {
    // Some connections are kept whatever the estimate, as it could not be updated otherwise.
    if (count(State::IdleAfterOne) < few && !under_pressure()) return false;
    return after_one_.return_share < kLowReturnShare || time_until_full_ms(now) < after_one_.return_ms;
  }
  // Clients with one request are closed first. Only if these do not suffice and many other clients are idle,
  // the half of those that returns later is closed, or all of them if they no longer return.
  if (free_places() + count(State::IdleAfterOne) >= max_clients() / 8 || count(State::IdleAfterMany) <= few) {
    return false;
  }
  return after_many_.return_share < kLowReturnShare || client.log_idle_ms > log_usual_idle_ms_;
}

std::optional<ClientAdmission::Id> ClientAdmission::expired_idle(double now) const {
  const auto first = index_.lower_bound(Key{State::IdleAfterOne, -1, 0});
  if (first == index_.end()) return std::nullopt;
  const auto expired = [&](const Key& key) {
    return now - clients_.at(key.id).idle_at >= options_.min_idle_ms;
  };
  // Frees capacity for new clients if many clients with one request are idle and do not return.
  const bool unlikely_to_return =
      count(State::IdleAfterOne) >= max_clients() / 4 && after_one_.return_share < kLowReturnShare;
  if (first->state == State::IdleAfterOne && (unlikely_to_return || under_pressure()) && expired(*first)) {
    return first->id;
  }
  if (!under_pressure()) return std::nullopt;
  auto it = index_.lower_bound(Key{State::IdleAfterMany, -1, 0});
  for (int tries = kMaxTries; it != index_.end() && tries > 0; --tries, ++it) {
    if (expired(*it)) return it->id;
  }
  return std::nullopt;
}

// ---- Index ----

void ClientAdmission::insert(Client& client, State state, double time, Id id) {
  remove(client);
  client.key = {state, time, id};
  if (client.node.empty()) {
    index_.insert(client.key);
  } else {
    client.node.value() = client.key;
    index_.insert(std::move(client.node));
  }
  client.indexed = true;
  ++counts_[static_cast<std::size_t>(state)];
}

void ClientAdmission::remove(Client& client) {
  if (!client.indexed) return;
  client.indexed = false;
  --counts_[static_cast<std::size_t>(client.key.state)];
  client.node = index_.extract(client.key);
}

} // namespace fernward::descriptors
