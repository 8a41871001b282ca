// Checks the records of a run (of clients, machines and routers) for violated rules, and measures the metrics
// that the scenario bounds.
//
// Each rule is checked against what the emulated clients and machines recorded, not against reports of a
// router. Where the records are ambiguous, no violation is reported. Memory is proportional to routers x
// machines, plus the open requests and those that ended within the last seconds.
#pragma once

#include <array>
#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "lab/check/meter.h"

namespace fernward::lab {

enum class Rule {
  OneAnswer, // exactly one final response for each client try that a router accepted
  NoLost,    // no accepted client try without a response in time
  Repeats,   // no attempt or rejection that the idempotency of the class forbids
  Drains,    // no new attempt to a draining or removed node after the grace period
  ColdNodes, // no cold node that routers overload until it fails
  Genuine,   // each served response was produced by a machine for this request
  Alive,     // no router process crashes
  Accounts,  // consistency of the lab itself: each generated request is closed exactly once
};
inline constexpr std::size_t kRules = 8;

struct Breach {
  double at_ms = 0;
  std::string what;
};

struct RuleFinding {
  Rule rule = Rule::OneAnswer;
  bool judged = true; // false: disabled by the scenario
  std::uint64_t breaches = 0;
  std::vector<Breach> first; // the first few violations
  bool kept() const { return !judged || breaches == 0; }
};

struct BoundFinding {
  std::string what;
  model::Metric metric = model::Metric::Service;
  std::optional<double> at_least, at_most, value; // no value: nothing was measured, so the bound fails
  bool kept = false;
};

struct Findings {
  std::array<RuleFinding, kRules> rules;
  std::vector<BoundFinding> bounds;
  // Service is the share of the requests' weight that was served: of the run, of its worst 10 s, of its worst
  // class and of its worst tenant. The score is their average by the scenario's weights.
  double whole = 1, worst_window = 1, worst_class = 1, worst_tenant = 1, score = 1;
  bool kept() const;
};

const char* rule_name(Rule rule);
const char* rule_text(Rule rule); // a sentence for reports

// Receives the records of one run in order of time. finish() is called once, after the last record.
class Checker : public model::Sink {
 public:
  // `slack_ms` is added to every time limit: one tick of the decision module in virtual time, 50 ms on
  // sockets. `spec` and `plan` must outlive the checker.
  Checker(const model::Spec& spec, const model::Plan& plan, double slack_ms);
  ~Checker() override;

  using model::Sink::on;
  void on(const model::Drawn& drawn) override;
  void on(const model::Tried& tried) override;
  void on(const model::Answered& answered) override;
  void on(const model::Closed& closed) override;
  void on(const model::Arrived& arrived) override;
  void on(const model::AttemptEnded& ended) override;
  void on(const model::LoadSample& sample) override;
  void on(const model::NodeEvent& event) override;
  void on(const model::RouterEvent& event) override;
  void on(const model::Told& told) override;

  // `whole`: the run continued until all requests were closed. A run that was stopped leaves requests open,
  // which is then no violation.
  Findings finish(bool whole = true);

  std::size_t remembers() const; // entries in all tables whose size changes during a run

 private:
  struct Attempt {
    model::AttemptId id = 0;
    model::MachineId machine = 0;
    double sent_at = 0;
    bool out = true, may_have_run = false;
    bool counts() const { return out || may_have_run; }
  };
  struct Try {
    model::RequestNumber request = 0;
    model::RouterId router = 0;
    std::uint32_t cls = 0;
    double at = 0, due = 0, deadline = 0, answered_at = 0;
    bool taken = false, answered = false;
    model::Heard heard = model::Heard::Silence;
    std::vector<Attempt> attempts;
  };
  struct Early { // an attempt that arrived at a machine before the record of its client try
    model::Arrived arrived;
    std::optional<model::Ending> ending;
  };
  struct Request {
    std::uint32_t cls = 0, open_tries = 0;
    bool closed = false; // the records of its tries and their ends may arrive shortly after
  };
  struct RouterState {
    bool down = false;
    double down_at = -1; // last killed, paused or made silent, or returned; below 0: never
    double term_at = -1, ended_at = -1;
  };
  struct List { // what a router was last notified of a machine
    double at = -1;
    bool named = false, in_service = false;
  };

  void breach(Rule rule, double at, std::string what);
  void check_refusal(double at, const Try& t);
  void check_attempt(const model::Arrived& a, const Try& t);
  void take_attempt(const model::Arrived& a, Try& t);
  void end_attempt(model::AttemptId attempt, model::Ending ending);
  void check_drain(const model::Arrived& a);
  bool owed(const Try& t, double until) const;
  void forget(double now);
  List& list(model::RouterId router, model::MachineId machine) {
    return lists_[std::size_t{router} * plan_.machines.size() + machine];
  }
  bool same_group(const model::ClassSpec& cls, model::MachineId a, model::MachineId b) const;
  std::string name(model::MachineId machine) const;
  std::string router_name(model::RouterId router) const;

  const model::Spec& spec_;
  const model::Plan& plan_;
  const double slack_ms_;
  Findings findings_;
  std::unordered_map<model::RequestNumber, Request> requests_;
  std::unordered_map<model::TryId, Try> tries_;
  std::unordered_map<model::AttemptId, model::TryId> out_;
  std::deque<Early> early_;                                    // ordered by time
  std::deque<std::pair<double, model::RequestNumber>> closed_; // requests to be removed, ordered by time
  std::deque<std::pair<double, model::TryId>> answered_;       // tries to be removed, ordered by time
  std::vector<RouterState> routers_;
  std::vector<List> lists_;
  std::vector<std::vector<model::MachineId>> at_address_; // by machine: the others that have used its address
  std::vector<std::unique_ptr<Meter>> meters_, standard_;
};

// Forwards each record to several sinks, in order.
class Tee : public model::Sink {
 public:
  explicit Tee(std::vector<model::Sink*> sinks) : sinks_(std::move(sinks)) {}
  using model::Sink::on;
  void on(const model::Drawn& r) override { pass(r); }
  void on(const model::Tried& r) override { pass(r); }
  void on(const model::Answered& r) override { pass(r); }
  void on(const model::Closed& r) override { pass(r); }
  void on(const model::Arrived& r) override { pass(r); }
  void on(const model::Begun& r) override { pass(r); }
  void on(const model::AttemptEnded& r) override { pass(r); }
  void on(const model::LoadSample& r) override { pass(r); }
  void on(const model::NodeEvent& r) override { pass(r); }
  void on(const model::RouterEvent& r) override { pass(r); }
  void on(const model::Shared& r) override { pass(r); }
  void on(const model::Told& r) override { pass(r); }
  void on(const model::Mark& r) override { pass(r); }
  void on(const model::RouterLog& r) override { pass(r); }

 private:
  template <typename Record>
  void pass(const Record& record) {
    for (model::Sink* sink : sinks_) sink->on(record);
  }
  std::vector<model::Sink*> sinks_;
};

} // namespace fernward::lab
