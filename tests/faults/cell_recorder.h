// Records what the clients and nodes of one cell observed, and checks the records with the lab's checker at
// the end of the cell. The router's own statistics and logs are not used.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lab/check/rule_checker.h"
#include "loop/timer_queue.h"

namespace fernward::tests {

constexpr double kObjectiveMs = 250, kClientTimeoutMs = 400, kIdempotencyWindowMs = 1000;

// Caches s-1 and s-2, a third machine that may take over an address, and the origin. The classes are those of
// the test router's settings.
inline model::Spec cell_spec() {
  model::Spec spec;
  spec.name = "cell";
  spec.zones = {{"a", 1}};
  model::NodeKind kind;
  kind.name = "cache";
  spec.kinds = {kind};
  model::NodeGroup caches;
  caches.name = "s";
  caches.count = 2;
  caches.standby = 1;
  spec.nodes = {caches};
  spec.routers.groups = {{0, 1}};
  spec.routers.max_attempts = 4;
  for (const auto& [name, repeat] : {std::pair("read", Idempotency::Idempotent),
                                     {"book", Idempotency::WithKey},
                                     {"once", Idempotency::NonIdempotent}}) {
    model::ClassSpec class_spec;
    class_spec.name = name;
    class_spec.idempotency = repeat;
    class_spec.latency_objective_ms = kObjectiveMs;
    class_spec.client_timeout_ms = kClientTimeoutMs;
    class_spec.idempotency_window_ms = kIdempotencyWindowMs;
    spec.classes.push_back(class_spec);
  }
  spec.tenants = {{"acme", 1, 1, 0}};
  return spec;
}

// Usage: call the on_... functions as the events happen and record_loop_gap() in each iteration of the event
// loop, then check(). Clients and nodes identify requests by their X-Request-ID. Times are milliseconds.
class CellRecorder {
 public:
  using TryOutcome = model::TryOutcome;

  model::MachineId origin() const { return plan_.origin; }

  // A client has sent, or is about to send, the last byte of a request. `expects_response` false: the request
  // stays incomplete, or its client disconnects, so that no response is required.
  void on_request(const std::string& id, std::uint32_t class_index, bool expects_response = true) {
    Request& recorded = requests_[id];
    if (recorded.number != 0) return;
    recorded.number = requests_.size();
    recorded.started_at = now();
    model::DrawnRequest drawn;
    drawn.at = recorded.started_at;
    drawn.request = recorded.number;
    drawn.cls = class_index;
    drawn.priority_weight = 1;
    drawn.latency_objective_ms = kObjectiveMs;
    drawn.client_timeout_ms = kClientTimeoutMs;
    append_record(drawn);
    model::TrySent sent_try;
    sent_try.at = sent_try.scheduled_at = recorded.started_at;
    sent_try.request = sent_try.try_id = recorded.number;
    sent_try.accepted = expects_response;
    sent_try.deadline =
        recorded.started_at + (expects_response ? kClientTimeoutMs : 1e6); // without a response: no deadline
    recorded.expects_response = expects_response;
    append_record(sent_try);
  }
  // A client has received its response, or its connection has ended without one. A further call for the same
  // request is recorded as surplus.
  void on_response(const std::string& id, TryOutcome outcome, bool genuine = true) {
    Request& recorded = requests_.at(id);
    if (recorded.finished) return record_surplus(recorded, outcome);
    recorded.finished = true;
    recorded.outcome = outcome;
    recorded.answered_at = now();
    model::TryEnded try_ended;
    try_ended.at = recorded.answered_at;
    try_ended.request = try_ended.try_id = recorded.number;
    try_ended.outcome = outcome;
    try_ended.genuine = genuine;
    append_record(try_ended);
    model::RequestEnded request_ended;
    request_ended.at = recorded.answered_at;
    request_ended.request = recorded.number;
    request_ended.outcome = outcome;
    request_ended.tries = 1;
    append_record(request_ended);
  }
  bool is_known(const std::string& id) const { return requests_.count(id) > 0; }
  bool is_finished(const std::string& id) const {
    return requests_.count(id) > 0 && requests_.at(id).finished;
  }

  // A node has received a complete attempt. `first_byte_at`: when its first byte arrived.
  model::AttemptId on_attempt_received(const std::string& id, model::MachineId machine,
                                       double first_byte_at) {
    const auto found = requests_.find(id);
    model::AttemptArrived arrival;
    arrival.at = now();
    arrival.sent_at = first_byte_at;
    arrival.attempt = ++attempts_;
    arrival.machine = machine;
    arrival.try_id =
        found == requests_.end() ? 1u << 30 : found->second.number; // of an unknown request: a violation
    open_attempts_[arrival.attempt] = id;
    append_record(arrival);
    return arrival.attempt;
  }
  void on_attempt_ended(model::AttemptId attempt, model::ServerOutcome ending) {
    const auto found = open_attempts_.find(attempt);
    if (found == open_attempts_.end()) return;
    if (const auto request = requests_.find(found->second); request != requests_.end())
      request->second.last_cause_at = now();
    open_attempts_.erase(found);
    model::AttemptEnded attempt_end;
    attempt_end.at = now();
    attempt_end.attempt = attempt;
    attempt_end.outcome = ending;
    append_record(attempt_end);
  }
  void on_endpoint_state(model::MachineId machine, ServerState state) {
    model::EndpointNotified state_change;
    state_change.at = now();
    state_change.machine = machine;
    state_change.state = state;
    append_record(state_change);
    on_cause();
  }
  void on_cause() { // an event that may have ended a request
    for (auto& [id, request] : requests_) request.last_cause_at = now();
  }
  void on_sigterm() { append_record(model::RouterEvent{now(), 0, model::RouterEvent::What::Term}); }

  // To be called in each iteration of the event loop. Measures the longest time for which the machine did not
  // run this process; every limit is extended accordingly.
  void record_loop_gap() {
    const double checked_at = now();
    if (last_loop_at_ > 0) max_loop_gap_ms_ = std::max(max_loop_gap_ms_, checked_at - last_loop_at_);
    last_loop_at_ = checked_at;
  }

  // Returns a description of all violations; empty: none. `queued`: requests wait for the attempts of other
  // requests, so that one without an attempt may be given up while any attempt is in flight.
  std::string check(bool queued = false) {
    const double slack_ms = 60 + 2 * max_loop_gap_ms_;
    lab::RuleChecker checker(spec_, plan_, slack_ms);
    for (const auto& record : records_) record(checker);
    const lab::CheckResult findings = checker.finish();
    std::string violations;
    for (const lab::RuleResult& rule : findings.rules) {
      for (const lab::RuleViolation& violation : rule.first_violations)
        violations += std::string(lab::rule_name(rule.rule)) + ": " + violation.description + "\n";
    }
    // A request that is given up must be answered at once: with no attempt in flight there is nothing to wait
    // for.
    for (const auto& [id, request] : requests_) {
      if (!request.finished || !request.expects_response ||
          (request.outcome != TryOutcome::Rejected && request.outcome != TryOutcome::Failed))
        continue;
      const bool is_waiting =
          (queued && !open_attempts_.empty()) || std::any_of(open_attempts_.begin(), open_attempts_.end(),
                                                             [&](const auto& a) { return a.second == id; });
      const double elapsed_ms = request.answered_at - std::max(request.started_at, request.last_cause_at);
      if (!is_waiting && elapsed_ms > kPromptFailureMs + slack_ms)
        violations += "at-once: " + id + " was given up " + std::to_string(elapsed_ms) +
                      " ms after its last attempt ended\n";
    }
    return violations;
  }

 private:
  struct Request {
    std::uint64_t number = 0;
    double started_at = 0, answered_at = 0, last_cause_at = 0;
    bool finished = false, expects_response = true;
    TryOutcome outcome = TryOutcome::Served;
  };
  // A retry at the origin waits for about one response time of the origin, some milliseconds here.
  static constexpr double kPromptFailureMs = 50;

  static double now() { return loop::now_ms(); }
  void record_surplus(const Request& recorded, TryOutcome outcome) {
    model::TryEnded surplus_end;
    surplus_end.at = now();
    surplus_end.request = surplus_end.try_id = recorded.number;
    surplus_end.outcome = outcome;
    surplus_end.surplus = true;
    append_record(surplus_end);
  }
  template <typename Record>
  void append_record(const Record& record) {
    records_.push_back([record](lab::RuleChecker& checker) { checker.on(record); });
  }

  const model::Spec spec_ = cell_spec();
  const model::Plan plan_ = model::make_plan(spec_);
  std::vector<std::function<void(lab::RuleChecker&)>> records_;
  std::map<std::string, Request> requests_;
  std::map<model::AttemptId, std::string> open_attempts_;
  model::AttemptId attempts_ = 0;
  double last_loop_at_ = 0, max_loop_gap_ms_ = 0;
};

} // namespace fernward::tests
