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
  Settings s;
  s.router_count = 3;
  s.classes = {{.latency_objective_ms = 500,
                .client_timeout_ms = 2000,
                .idempotency = Idempotency::Idempotent,
                .idempotency_scope = IdempotencyScope::All}};
  s.load_report_source = LoadReportSource::Responses;
  s.load_report_fields = {LoadReportField::Queue, LoadReportField::LatencyMs};
  s.may_cancel = s.may_hedge = true;
  s.max_attempts = 5;
  s.event_interval_ms = 5;
  s.slow_start_ms = 10000;
  s.slow_start_min_capacity = 0.2;
  s.overload_failure_ms = 2000;
  return s;
}

constexpr std::uint32_t kOriginKind = 1;
constexpr ServerId kOrigin = 900;

inline Settings aside_settings() {
  Settings s = plain_settings();
  s.origin_kind = kOriginKind;
  return s;
}

/// A Balancer with virtual time. It fires due timers and records all actions by kind.
class Node {
 public:
  explicit Node(const Settings& settings, std::uint64_t seed = 7) : balancer_(settings, seed) {}

  double now = 1000000;

  std::vector<Action> on(const Event& event) {
    std::vector<Action> actions;
    balancer_.on_event(now, event, actions);
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<Send>(&a)) {
        sends.push_back(*send);
      }
      if (const auto* timer = std::get_if<SetTimer>(&a)) timers_.emplace(now + timer->delay_ms, timer->token);
      if (const auto* refuse = std::get_if<Reject>(&a)) refused.push_back(*refuse);
      if (const auto* fail = std::get_if<Fail>(&a)) failed.push_back(fail->id);
      if (const auto* cancel = std::get_if<Cancel>(&a)) cancels.push_back(*cancel);
      if (const auto* probe = std::get_if<SendHealthCheck>(&a)) probes.push_back(probe->server);
      if (const auto* log = std::get_if<Log>(&a)) logs.push_back(log->text);
      watches += std::holds_alternative<WatchEndpoints>(a);
    }
    return actions;
  }

  void list(std::vector<Server> servers, EndpointListKind kind = EndpointListKind::Full) {
    on(EndpointList{kind, std::move(servers)});
  }

  // Lists caches 1 to `count`, and optionally the origin.
  void caches(std::uint32_t count, bool origin = false) {
    std::vector<Server> servers;
    for (std::uint32_t i = 1; i <= count; ++i) servers.push_back({.id = i});
    if (origin) servers.push_back({.id = kOrigin, .kind = kOriginKind});
    list(servers);
  }

  void request(RequestId id, std::uint64_t key, Request with = {}) {
    with.id = id;
    with.key = key;
    if (with.deadline == 0) with.deadline = now + 2000;
    on(with);
  }

  // Ends the latest attempt of a request, or the given one.
  void outcome(RequestId id, AttemptResult result, double elapsed_ms = 20, std::vector<float> report = {},
               int attempt = -1) {
    AttemptOutcome e;
    e.id = id;
    const auto sent = sends_of(id);
    const auto index = attempt < 0 ? sent.size() - 1 : static_cast<std::size_t>(attempt);
    e.attempt = static_cast<std::uint32_t>(index);
    e.server = sent.at(index).server;
    e.result = result;
    e.elapsed_ms = elapsed_ms;
    e.request_ended = result == AttemptResult::Ok;
    e.load_report = std::move(report);
    on(e);
  }

  void settle(RequestId id) { // as a caller does: all attempts of a finished request end
    const auto sent = sends_of(id).size();
    for (std::size_t i = 0; i < sent; ++i) outcome(id, AttemptResult::Cancelled, 1, {}, static_cast<int>(i));
  }

  // Advances the time and fires the timers that are due.
  void until(double time) {
    while (!timers_.empty() && timers_.begin()->first <= time) {
      now = std::max(now, timers_.begin()->first);
      const auto token = timers_.begin()->second;
      timers_.erase(timers_.begin());
      on(TimerFired{token});
    }
    now = time;
  }
  void wait(double ms) { until(now + ms); }

  std::vector<Send> sends_of(RequestId id) const {
    std::vector<Send> found;
    std::copy_if(sends.begin(), sends.end(), std::back_inserter(found),
                 [id](const Send& s) { return s.id == id; });
    return found;
  }
  ServerId last_server(RequestId id) const { return sends_of(id).back().server; }
  bool final_answer(RequestId id) const {
    return std::count(failed.begin(), failed.end(), id) != 0 ||
           std::any_of(refused.begin(), refused.end(), [id](const Reject& r) { return r.id == id; });
  }

  const Balancer& balancer() const { return balancer_; }

  std::vector<Send> sends;
  std::vector<Reject> refused;
  std::vector<RequestId> failed;
  std::vector<Cancel> cancels;
  std::vector<ServerId> probes;
  std::vector<std::string> logs;
  int watches = 0;

 private:
  Balancer balancer_;
  std::multimap<double, std::uint64_t> timers_;
};

} // namespace fernward::testing
