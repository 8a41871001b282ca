// Drives a Balancer with hand-written events and records its actions.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "fernward/balancer.h"

namespace fernward::testing {

inline Settings plain_settings() {
  Settings settings;
  settings.router_count = 3;
  settings.classes = {{.latency_objective_ms = 500,
                       .client_timeout_ms = 2000,
                       .idempotency = Idempotency::Idempotent,
                       .idempotency_scope = IdempotencyScope::All}};
  settings.load_report_source = LoadReportSource::Responses;
  settings.load_report_fields = {LoadReportField::Queue, LoadReportField::LatencyMs};
  settings.may_cancel = settings.may_hedge = true;
  settings.max_attempts = 5;
  settings.event_interval_ms = 5;
  settings.slow_start_ms = 10000;
  settings.slow_start_min_capacity = 0.2;
  settings.overload_failure_ms = 2000;
  return settings;
}

constexpr std::uint32_t kOriginKind = 1;
constexpr ServerId kOriginId = 900;

inline Settings cache_aside_settings() {
  Settings settings = plain_settings();
  settings.origin_kind = kOriginKind;
  return settings;
}

/// A Balancer with virtual time. It fires due timers and records all actions by kind.
class BalancerDriver {
 public:
  explicit BalancerDriver(const Settings& settings, std::uint64_t seed = 7) : balancer_(settings, seed) {}

  double now = 1000000;

  std::vector<Action> send_event(const Event& event) {
    std::vector<Action> actions;
    balancer_.on_event(now, event, actions);
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<Send>(&action)) {
        sends.push_back(*send);
      }
      if (const auto* timer = std::get_if<SetTimer>(&action))
        timers_.emplace(now + timer->delay_ms, timer->token);
      if (const auto* reject = std::get_if<Reject>(&action)) rejected.push_back(*reject);
      if (const auto* fail = std::get_if<Fail>(&action)) failed.push_back(fail->id);
      if (const auto* cancel = std::get_if<Cancel>(&action)) cancels.push_back(*cancel);
      if (const auto* health_check = std::get_if<SendHealthCheck>(&action))
        health_checks.push_back(health_check->server);
      if (const auto* log = std::get_if<Log>(&action)) logs.push_back(log->text);
      watch_count += std::holds_alternative<WatchEndpoints>(action);
    }
    return actions;
  }

  void update_endpoints(std::vector<Server> servers, EndpointListKind kind = EndpointListKind::Full) {
    send_event(EndpointList{kind, std::move(servers)});
  }

  // Lists caches 1 to `count`, and optionally the origin.
  void list_caches(std::uint32_t cache_count, bool with_origin = false) {
    std::vector<Server> servers;
    for (std::uint32_t i = 1; i <= cache_count; ++i) servers.push_back({.id = i});
    if (with_origin) servers.push_back({.id = kOriginId, .kind = kOriginKind});
    update_endpoints(servers);
  }

  void send_request(RequestId id, std::uint64_t key, Request request_template = {}) {
    request_template.id = id;
    request_template.key = key;
    if (request_template.deadline == 0) request_template.deadline = now + 2000;
    send_event(request_template);
  }

  // Ends the latest attempt of a request, or the given one.
  void end_attempt(RequestId id, AttemptResult result, double elapsed_ms = 20,
                   std::vector<float> load_report = {}, int attempt = -1) {
    AttemptOutcome outcome;
    outcome.id = id;
    const auto sent_attempts = sends_of(id);
    const auto attempt_index = attempt < 0 ? sent_attempts.size() - 1 : static_cast<std::size_t>(attempt);
    outcome.attempt = static_cast<std::uint32_t>(attempt_index);
    outcome.server = sent_attempts.at(attempt_index).server;
    outcome.result = result;
    outcome.elapsed_ms = elapsed_ms;
    outcome.request_ended = result == AttemptResult::Ok;
    outcome.load_report = std::move(load_report);
    send_event(outcome);
  }

  // Ends all attempts of a finished request, as a caller does.
  void cancel_attempts(RequestId id) {
    const auto attempt_count = sends_of(id).size();
    for (std::size_t i = 0; i < attempt_count; ++i)
      end_attempt(id, AttemptResult::Cancelled, 1, {}, static_cast<int>(i));
  }

  // Advances the time and fires the timers that are due.
  void advance_to(double target_time) {
    while (!timers_.empty() && timers_.begin()->first <= target_time) {
      now = std::max(now, timers_.begin()->first);
      const auto token = timers_.begin()->second;
      timers_.erase(timers_.begin());
      send_event(TimerFired{token});
    }
    now = target_time;
  }
  void advance(double duration_ms) { advance_to(now + duration_ms); }

  std::vector<Send> sends_of(RequestId id) const {
    std::vector<Send> matching_sends;
    std::copy_if(sends.begin(), sends.end(), std::back_inserter(matching_sends),
                 [id](const Send& s) { return s.id == id; });
    return matching_sends;
  }
  ServerId last_server(RequestId id) const { return sends_of(id).back().server; }
  bool rejected_or_failed(RequestId id) const {
    return std::count(failed.begin(), failed.end(), id) != 0 ||
           std::any_of(rejected.begin(), rejected.end(), [id](const Reject& r) { return r.id == id; });
  }

  const Balancer& balancer() const { return balancer_; }

  std::vector<Send> sends;
  std::vector<Reject> rejected;
  std::vector<RequestId> failed;
  std::vector<Cancel> cancels;
  std::vector<ServerId> health_checks;
  std::vector<std::string> logs;
  int watch_count = 0;

 private:
  Balancer balancer_;
  std::multimap<double, std::uint64_t> timers_;
};

} // namespace fernward::testing
