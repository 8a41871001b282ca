// Simulation in virtual time: random requests, one Balancer, and servers that respond according to a script.
#pragma once

#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

#include "fernward/balancer.h"
#include "statistics/numbers.h"

namespace fernward::testing {

struct ScriptedResponse {
  AttemptResult result = AttemptResult::Ok;
  double after_ms = 20; // kNoResponseMs: no response
  bool first_on_connection = false;
};
constexpr double kNoResponseMs = 1e12;

/// Feeds a Balancer with random requests and scripted attempt outcomes, and counts how the requests end.
class BalancerSimulation {
 public:
  using Script = std::function<ScriptedResponse(ServerId server, double now, Random& random)>;

  BalancerSimulation(const Settings& settings, std::vector<Server> servers, Script script,
                     std::uint64_t seed = 1)
      : settings_(settings), random_{seed * 7919}, script_(std::move(script)), balancer_(settings, seed) {
    send_event(EndpointList{EndpointListKind::Full, std::move(servers)});
  }

  double now = 1e6;
  std::size_t served = 0, late = 0, failed = 0, rejected = 0, send_count = 0;
  std::array<std::size_t, static_cast<std::size_t>(GiveUpReason::Count)> give_up_counts{};
  std::map<ServerId, std::size_t> sends_by_server;
  std::map<ServerId, std::size_t> max_in_flight;
  double rejected_wait_ms = 0; // total time from arrival to rejection

  std::size_t finished_requests() const { return served + late + failed + rejected; }
  double served_share() const {
    return finished_requests() == 0 ? 0
                                    : static_cast<double>(served) / static_cast<double>(finished_requests());
  }
  std::size_t give_up_count(GiveUpReason reason) const {
    return give_up_counts[static_cast<std::size_t>(reason)];
  }
  void reset_counts() {
    served = late = failed = rejected = send_count = 0, rejected_wait_ms = 0, give_up_counts = {},
    sends_by_server.clear();
  }

  // Sends random requests for `duration_ms`, on average `requests_per_s`; `write_share`: 0 to 1.
  void run(double duration_ms, double requests_per_s, double write_share = 0, std::uint64_t key_count = 500) {
    const double end_at = now + duration_ms;
    double next_arrival = now;
    while (true) {
      next_arrival += -std::log(1 - random_.next_unit()) * 1000 / requests_per_s;
      advance_to(std::min(next_arrival, end_at));
      if (next_arrival >= end_at) return;
      Request request;
      request.id = ++last_id_;
      request.key = 1 + static_cast<std::uint64_t>(random_.next_unit() * static_cast<double>(key_count));
      request.write = random_.next_unit() < write_share;
      request.deadline = now + settings_.classes[0].client_timeout_ms;
      active_requests_[request.id] = {now, now + settings_.classes[0].latency_objective_ms, {}, false};
      send_event(request);
    }
  }
  void advance_to(double target_time) {
    while (!pending_events_.empty() && pending_events_.begin()->first <= target_time) {
      now = std::max(now, pending_events_.begin()->first);
      const auto event_handler = std::move(pending_events_.begin()->second);
      pending_events_.erase(pending_events_.begin());
      event_handler();
    }
    now = target_time;
  }

 private:
  struct ActiveRequest {
    double arrived_at, objective_deadline;
    std::vector<bool> attempt_in_flight;
    bool finished;
  };

  void send_event(const Event& event) {
    std::vector<Action> actions;
    balancer_.on_event(now, event, actions);
    for (const Action& action : actions) execute(action);
  }
  void execute(const Action& action) {
    if (const auto* send = std::get_if<Send>(&action)) {
      start_attempt(*send);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      pending_events_.emplace(now + timer->delay_ms,
                              [this, token = timer->token] { send_event(TimerFired{token}); });
    } else if (const auto* reject = std::get_if<Reject>(&action)) {
      ++rejected, ++give_up_counts[static_cast<std::size_t>(reject->reason)];
      rejected_wait_ms += now - active_requests_.at(reject->id).arrived_at;
      active_requests_.at(reject->id).finished = true;
    } else if (const auto* fail = std::get_if<Fail>(&action)) {
      ++failed, ++give_up_counts[static_cast<std::size_t>(fail->reason)];
      active_requests_.at(fail->id).finished = true;
    } else if (const auto* cancel = std::get_if<Cancel>(&action)) {
      pending_events_.emplace(
          now, [this, c = *cancel] { end_attempt(c.id, c.attempt, AttemptResult::Cancelled); });
    }
  }
  void start_attempt(const Send& send) {
    ActiveRequest& request = active_requests_.at(send.id);
    const auto attempt = static_cast<std::uint32_t>(request.attempt_in_flight.size());
    request.attempt_in_flight.push_back(true);
    attempts_in_flight_[{send.id, attempt}] = {send.server, now};
    ++send_count, ++sends_by_server[send.server];
    max_in_flight[send.server] = std::max(max_in_flight[send.server], ++in_flight_[send.server]);
    const ScriptedResponse response = script_(send.server, now, random_);
    const double remaining_ms = request.arrived_at + settings_.classes[0].client_timeout_ms - now;
    pending_events_.emplace(now + std::min(response.after_ms, remaining_ms), [this, id = send.id, attempt,
                                                                              response, remaining_ms] {
      end_attempt(id, attempt, response.after_ms <= remaining_ms ? response.result : AttemptResult::TimedOut,
                  response.first_on_connection);
    });
  }
  void end_attempt(RequestId id, std::uint32_t attempt, AttemptResult result,
                   bool first_on_connection = false) {
    ActiveRequest& request = active_requests_.at(id);
    if (!request.attempt_in_flight[attempt]) return;
    request.attempt_in_flight[attempt] = false;
    const auto [server, sent_at] = attempts_in_flight_.at({id, attempt});
    attempts_in_flight_.erase({id, attempt});
    --in_flight_[server];
    AttemptOutcome outcome{id, attempt, server, result, now - sent_at, request.finished, {}, false};
    outcome.first_on_connection = first_on_connection;
    if (result == AttemptResult::Ok && !request.finished) {
      request.finished = outcome.request_ended = true;
      ++(now <= request.objective_deadline ? served : late);
    }
    send_event(outcome);
  }

  Settings settings_;
  Random random_;
  Script script_;
  Balancer balancer_;
  std::multimap<double, std::function<void()>> pending_events_;
  std::unordered_map<RequestId, ActiveRequest> active_requests_;
  std::map<std::pair<RequestId, std::uint32_t>, std::pair<ServerId, double>> attempts_in_flight_;
  std::map<ServerId, std::size_t> in_flight_;
  RequestId last_id_ = 0;
};

} // namespace fernward::testing
