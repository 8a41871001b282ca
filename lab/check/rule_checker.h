// Checks the records of a run (of clients, machines and routers) for violated rules, and measures the metrics
// that the scenario bounds.
//
// Each rule is checked against what the emulated clients and machines recorded, not against what routers
// report. Where the records are ambiguous, no violation is reported. Memory is proportional to routers x
// machines, plus the open requests and those that ended within the last seconds.
#pragma once

#include <array>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/check/bound_meter.h"

namespace fernward::lab {

enum class Rule {
  OneFinalResponse,    // exactly one final response for each client try that a router accepted
  NoLostRequest,       // no accepted client try without a response in time
  SafeRepeats,         // no attempt or rejection that the idempotency of the class forbids
  NoTrafficAfterDrain, // no new attempt to a draining or removed node after the grace period
  NoColdOverload,      // no cold node that routers overload until it fails
  GenuineResponses,    // each served response was produced by a machine for this request
  NoRouterCrash,       // no router process crashes
  RequestAccounting,   // consistency of the lab itself: each drawn request is closed exactly once
};
inline constexpr std::size_t kRuleCount = 8;

struct RuleViolation {
  double at_ms = 0;
  std::string description;
};

struct RuleResult {
  Rule rule = Rule::OneFinalResponse;
  bool enabled = true; // false: disabled by the scenario
  std::uint64_t violation_count = 0;
  std::vector<RuleViolation> first_violations; // the first five at most
  bool passed() const { return !enabled || violation_count == 0; }
};

struct BoundResult {
  std::string description;
  model::Metric metric = model::Metric::Service;
  std::optional<double> at_least, at_most, value; // no value: nothing was measured, so the bound fails
  bool passed = false;
};

struct CheckResult {
  std::array<RuleResult, kRuleCount> rules;
  std::vector<BoundResult> bounds;
  // Service is the share of the requests' weight that was served: of the run, of its worst 10 s, of its worst
  // class and of its worst tenant. The score is their mean, weighted by the scenario.
  double overall_service = 1, worst_window_service = 1, worst_class_service = 1, worst_tenant_service = 1,
         score = 1;
  bool passed() const; // no enabled rule was violated and every bound holds
};

const char* rule_name(Rule rule);        // its name in run.json
const char* rule_description(Rule rule); // a sentence for reports

// Checks one run. Receives its records in order of time; finish() is called once, after the last record.
class RuleChecker : public model::Sink {
 public:
  // `slack_ms` is added to every time limit: one tick of the decision module in virtual time, 50 ms on
  // sockets. `spec` and `plan` must outlive the checker.
  RuleChecker(const model::Spec& spec, const model::Plan& plan, double slack_ms);
  ~RuleChecker() override;

  using model::Sink::on;
  void on(const model::DrawnRequest& drawn) override;
  void on(const model::TrySent& sent) override;
  void on(const model::TryEnded& ended) override;
  void on(const model::RequestEnded& ended) override;
  void on(const model::AttemptArrived& arrival) override;
  void on(const model::AttemptEnded& ended) override;
  void on(const model::LoadSample& sample) override;
  void on(const model::NodeEvent& event) override;
  void on(const model::RouterEvent& event) override;
  void on(const model::EndpointNotified& notification) override;

  // `run_complete`: the run continued until all requests were closed. A run that was stopped leaves requests
  // open, which is then no violation.
  CheckResult finish(bool run_complete = true);

  std::size_t table_entries() const; // entries in the checker's own tables whose size changes during a run

 private:
  struct AttemptState {
    model::AttemptId id = 0;
    model::MachineId machine_id = 0;
    double sent_at_ms = 0;
    bool in_flight = true, may_have_run = false;
    bool may_have_effect() const { return in_flight || may_have_run; }
  };
  struct ClientTryState {
    model::RequestNumber request = 0;
    model::RouterId router = 0;
    std::uint32_t class_index = 0;
    double sent_at_ms = 0, due_ms = 0, deadline_ms = 0, ended_at_ms = 0;
    bool accepted = false, ended = false;
    model::TryOutcome outcome = model::TryOutcome::TimedOut;
    std::vector<AttemptState> attempts;
  };
  struct UnmatchedAttempt { // an attempt that arrived at a machine before the record of its client try
    model::AttemptArrived arrival;
    std::optional<model::ServerOutcome> outcome;
  };
  struct RequestState {
    std::uint32_t class_index = 0, open_tries = 0;
    bool closed = false; // records of its tries and their ends may still arrive for a short time
  };
  struct RouterState {
    bool down = false;
    double down_at_ms = -1; // when it last went down (killed, paused or silent) or came back; below 0: never
    double term_at_ms = -1, ended_at_ms = -1; // below 0: never
  };
  struct MachineNotice { // the last notification that a router received about a machine
    double notified_at_ms = -1;
    bool listed = false, in_service = false;
  };

  void add_violation(Rule rule, double at_ms, std::string description);
  void check_rejection(double at_ms, const ClientTryState& client_try);
  void check_attempt(const model::AttemptArrived& arrival, const ClientTryState& client_try);
  void add_attempt(const model::AttemptArrived& arrival, ClientTryState& client_try);
  void end_attempt(model::AttemptId id, model::ServerOutcome outcome);
  void check_drain(const model::AttemptArrived& arrival);
  bool response_required(const ClientTryState& client_try, double until_ms) const;
  void expire_entries(double now_ms);
  MachineNotice& machine_notice(model::RouterId router, model::MachineId machine) {
    return machine_notices_[std::size_t{router} * plan_.machines.size() + machine];
  }
  bool same_idempotency_scope(const model::ClassSpec& cls, model::MachineId a, model::MachineId b) const;
  std::string machine_name(model::MachineId machine) const;
  std::string router_name(model::RouterId router) const;

  const model::Spec& spec_;
  const model::Plan& plan_;
  const double slack_ms_;
  CheckResult result_;
  std::unordered_map<model::RequestNumber, RequestState> requests_;
  std::unordered_map<model::TryId, ClientTryState> tries_;
  std::unordered_map<model::AttemptId, model::TryId> attempts_in_flight_;
  std::deque<UnmatchedAttempt> unmatched_attempts_; // ordered by time
  std::deque<std::pair<double, model::RequestNumber>>
      closed_requests_;                                     // requests to be removed, ordered by time
  std::deque<std::pair<double, model::TryId>> ended_tries_; // tries to be removed, ordered by time
  std::vector<RouterState> routers_;
  std::vector<MachineNotice> machine_notices_;
  std::vector<std::vector<model::MachineId>>
      address_sharers_; // by machine: the others that have used its address
  std::vector<std::unique_ptr<BoundMeter>> bound_meters_, score_meters_;
};

// Forwards each record to several sinks, in order. The sinks must outlive it.
class TeeSink : public model::Sink {
 public:
  explicit TeeSink(std::vector<model::Sink*> sinks) : sinks_(std::move(sinks)) {}
  using model::Sink::on;
  void on(const model::DrawnRequest& r) override { forward(r); }
  void on(const model::TrySent& r) override { forward(r); }
  void on(const model::TryEnded& r) override { forward(r); }
  void on(const model::RequestEnded& r) override { forward(r); }
  void on(const model::AttemptArrived& r) override { forward(r); }
  void on(const model::AttemptStarted& r) override { forward(r); }
  void on(const model::AttemptEnded& r) override { forward(r); }
  void on(const model::LoadSample& r) override { forward(r); }
  void on(const model::NodeEvent& r) override { forward(r); }
  void on(const model::RouterEvent& r) override { forward(r); }
  void on(const model::SharingSample& r) override { forward(r); }
  void on(const model::EndpointNotified& r) override { forward(r); }
  void on(const model::EventMark& r) override { forward(r); }
  void on(const model::RouterLogLine& r) override { forward(r); }

 private:
  template <typename Record>
  void forward(const Record& record) {
    for (model::Sink* sink : sinks_) sink->on(record);
  }
  std::vector<model::Sink*> sinks_;
};

} // namespace fernward::lab
