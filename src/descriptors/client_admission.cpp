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
  per_second_ = per_second(now) + 1000 / kRateWindowMs;
  counted_at_ = now;
}

double EventRate::per_second(double now) const {
  return per_second_ * std::exp(-std::max(0.0, now - counted_at_) / kRateWindowMs);
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
  ++client.request_count;
  if (client.request_count == 1) {
    ++active_clients_;
  } else if (client.idle_at >= client.request_at) {
    const double idle_ms = now - client.idle_at;
    const double log_idle = std::log(1 + idle_ms);
    const bool is_second_request = client.request_count == 2;
    (is_second_request ? return_after_one_ : return_after_many_).on_return(idle_ms);
    client.mean_log_idle =
        is_second_request ? log_idle : client.mean_log_idle + (log_idle - client.mean_log_idle) / 4;
    mean_log_idle_ = mean_log_idle_known_ ? mean_log_idle_ + (log_idle - mean_log_idle_) / 64 : log_idle;
    mean_log_idle_known_ = true;
  }
  client.previous_request_at = client.request_count == 1 ? now : client.request_at;
  client.request_at = now;
}

void ClientAdmission::on_idle(double now, Id id) {
  const auto it = clients_.find(id);
  if (it == clients_.end() || it->second.lingering) return;
  Client& client = it->second;
  client.idle_at = now;
  if (client.request_count == 0) { // it has only sent health checks of this router
    insert(client, State::NoRequest, client.accepted_at, id);
  } else if (client.request_count == 1) {
    insert(client, State::IdleAfterOne, now, id);
  } else {
    insert(client, State::IdleAfterMany, client.previous_request_at, id);
  }
}

void ClientAdmission::on_lingering(double now, Id id) {
  const auto it = clients_.find(id);
  if (it == clients_.end() || it->second.lingering) return;
  it->second.lingering = true;
  if (it->second.request_count > 0) --active_clients_;
  insert(it->second, State::Lingering, now, id);
}

void ClientAdmission::on_closed(double now, Id id, ClosedBy by) {
  const auto it = clients_.find(id);
  if (it == clients_.end()) return;
  Client& client = it->second;
  const bool idle = client.in_eviction_order && client.eviction_key.state >= State::IdleAfterOne;
  const bool had_time_to_return = by == ClosedBy::Client || now - client.idle_at >= options_.min_idle_ms;
  if (idle && had_time_to_return)
    (client.request_count == 1 ? return_after_one_ : return_after_many_).on_no_return();
  if (by == ClosedBy::Client && client.request_count > 0 && !client.close_announced)
    departure_rate_.count(now);
  if (client.request_count > 0 && !client.lingering) --active_clients_;
  remove(client);
  clients_.erase(it);
}

void ClientAdmission::ReturnEstimate::on_return(double idle_ms) {
  return_share += kReturnShareWeight * (1 - return_share);
  // Steps up are nine times as large as steps down, so that one in ten idle times is above the estimate.
  const double step = idle_ms > return_within_ms ? kReturnQuantile : kReturnQuantile - 1;
  return_within_ms = std::clamp(return_within_ms * std::exp(kReturnStep * step), kMinReturnMs, kMaxReturnMs);
}

void ClientAdmission::ReturnEstimate::on_no_return() { return_share -= kReturnShareWeight * return_share; }

// ---- Decisions ----

// Extrapolates the current net rate of new clients.
double ClientAdmission::time_until_full_ms(double now) const {
  const double free_slots = free_client_slots();
  if (free_slots <= 0) return 0;
  const double net_arrivals_per_second = arrival_rate_.per_second(now) - departure_rate_.per_second(now);
  return net_arrivals_per_second <= 0 ? std::numeric_limits<double>::infinity()
                                      : free_slots / net_arrivals_per_second * 1000;
}

bool ClientAdmission::should_close_after_response(double now, Id id) {
  const auto it = clients_.find(id);
  if (it == clients_.end() || it->second.request_count == 0) return false;
  if (it->second.request_count == 1) arrival_rate_.count(now);
  it->second.close_announced = should_close(now, it->second);
  return it->second.close_announced;
}

bool ClientAdmission::should_close(double now, const Client& client) const {
  const double min_kept_clients = max_clients() / 4;
  if (static_cast<double>(active_clients_) <= min_kept_clients) return false;
  if (client.request_count == 1) {
    // Some connections are kept whatever the estimate, as it could not be updated otherwise.
    if (count_in_state(State::IdleAfterOne) < min_kept_clients && !under_pressure()) return false;
    return return_after_one_.return_share < kLowReturnShare ||
           time_until_full_ms(now) < return_after_one_.return_within_ms;
  }
  // Clients with one request are closed first. Only if these do not suffice and many other clients are idle,
  // the half of those that returns later is closed, or all of them if they no longer return.
  if (free_client_slots() + count_in_state(State::IdleAfterOne) >= max_clients() / 8 ||
      count_in_state(State::IdleAfterMany) <= min_kept_clients) {
    return false;
  }
  return return_after_many_.return_share < kLowReturnShare || client.mean_log_idle > mean_log_idle_;
}

std::optional<ClientAdmission::Id> ClientAdmission::expired_idle(double now) const {
  const auto first_idle = eviction_order_.lower_bound(EvictionKey{State::IdleAfterOne, -1, 0});
  if (first_idle == eviction_order_.end()) return std::nullopt;
  const auto expired = [&](const EvictionKey& key) {
    return now - clients_.at(key.id).idle_at >= options_.min_idle_ms;
  };
  // Frees capacity for new clients if many clients with one request are idle and do not return.
  const bool unlikely_to_return = count_in_state(State::IdleAfterOne) >= max_clients() / 4 &&
                                  return_after_one_.return_share < kLowReturnShare;
  if (first_idle->state == State::IdleAfterOne && (unlikely_to_return || under_pressure()) &&
      expired(*first_idle)) {
    return first_idle->id;
  }
  if (!under_pressure()) return std::nullopt;
  auto it = eviction_order_.lower_bound(EvictionKey{State::IdleAfterMany, -1, 0});
  for (int remaining_tries = kMaxTries; it != eviction_order_.end() && remaining_tries > 0;
       --remaining_tries, ++it) {
    if (expired(*it)) return it->id;
  }
  return std::nullopt;
}

// ---- Eviction order ----

void ClientAdmission::insert(Client& client, State state, double time, Id id) {
  remove(client);
  client.eviction_key = {state, time, id};
  if (client.node.empty()) {
    eviction_order_.insert(client.eviction_key);
  } else {
    client.node.value() = client.eviction_key;
    eviction_order_.insert(std::move(client.node));
  }
  client.in_eviction_order = true;
  ++state_counts_[static_cast<std::size_t>(state)];
}

void ClientAdmission::remove(Client& client) {
  if (!client.in_eviction_order) return;
  client.in_eviction_order = false;
  --state_counts_[static_cast<std::size_t>(client.eviction_key.state)];
  client.node = eviction_order_.extract(client.eviction_key);
}

} // namespace fernward::descriptors
