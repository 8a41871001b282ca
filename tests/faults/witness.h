// Records what the clients and nodes of one cell observed, and checks the records with the lab's checker at
// the end of the cell. The router's own statistics and logs are not used.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lab/check/checker.h"
#include "loop/timer_queue.h"

namespace fernward::tests {

constexpr double kAimMs = 250, kGiveUpMs = 400, kWindowMs = 1000;

// Caches s-1 and s-2, a third machine that may take over an address, and the origin. The classes are those of
// the test router's settings.
inline model::Spec cell_spec() {
  model::Spec s;
  s.name = "cell";
  s.zones = {{"a", 1}};
  model::NodeKind kind;
  kind.name = "cache";
  s.kinds = {kind};
  model::NodeGroup caches;
  caches.name = "s";
  caches.count = 2;
  caches.standby = 1;
  s.nodes = {caches};
  s.routers.groups = {{0, 1}};
  s.routers.max_attempts = 4;
  for (const auto& [name, repeat] : {std::pair("read", Idempotency::Idempotent),
                                     {"book", Idempotency::WithKey},
                                     {"once", Idempotency::NonIdempotent}}) {
    model::ClassSpec c;
    c.name = name;
    c.repeat = repeat;
    c.aim_ms = kAimMs;
    c.give_up_ms = kGiveUpMs;
    c.window_ms = kWindowMs;
    s.classes.push_back(c);
  }
  s.tenants = {{"acme", 1, 1, 0}};
  return s;
}

class Witness {
 public:
  using Heard = model::Heard;

  model::MachineId ledger() const { return plan_.origin; }

  // A client has sent, or is about to send, the last byte of a request. `expects_response` false: the request
  // stays incomplete, or its client disconnects, so that no response is required.
  void asked(const std::string& id, std::uint32_t cls, bool owed = true) {
    Request& r = requests_[id];
    if (r.number != 0) return;
    r.number = requests_.size();
    r.at = now();
    model::Drawn drawn;
    drawn.at = r.at;
    drawn.request = r.number;
    drawn.cls = cls;
    drawn.worth = 1;
    drawn.aim_ms = kAimMs;
    drawn.give_up_ms = kGiveUpMs;
    tell(drawn);
    model::Tried tried;
    tried.at = tried.due = r.at;
    tried.request = tried.try_id = r.number;
    tried.taken = owed;
    tried.deadline = r.at + (owed ? kGiveUpMs : 1e6); // incomplete: it has no deadline
    r.owed = owed;
    tell(tried);
  }
  // A client has its response, or its connection has ended without one. A second one is recorded as surplus.
  void heard(const std::string& id, Heard how, bool genuine = true) {
    Request& r = requests_.at(id);
    if (r.over) return surplus(r, how);
    r.over = true;
    r.how = how;
    r.answered_at = now();
    model::Answered answered;
    answered.at = r.answered_at;
    answered.request = answered.try_id = r.number;
    answered.heard = how;
    answered.genuine = genuine;
    tell(answered);
    model::Closed closed;
    closed.at = r.answered_at;
    closed.request = r.number;
    closed.end = how;
    closed.tries = 1;
    tell(closed);
  }
  bool known(const std::string& id) const { return requests_.count(id) > 0; }
  bool is_over(const std::string& id) const { return requests_.count(id) > 0 && requests_.at(id).over; }

  // A node has received a complete attempt. `first_byte_at`: when its first byte arrived.
  model::AttemptId came(const std::string& id, model::MachineId machine, double begun_at) {
    const auto found = requests_.find(id);
    model::Arrived a;
    a.at = now();
    a.sent_at = begun_at;
    a.attempt = ++attempts_;
    a.machine = machine;
    a.try_id = found == requests_.end() ? 1u << 30 : found->second.number; // of an unknown request: a breach
    out_[a.attempt] = id;
    tell(a);
    return a.attempt;
  }
  void ended(model::AttemptId attempt, model::Ending how) {
    const auto found = out_.find(attempt);
    if (found == out_.end()) return;
    if (const auto r = requests_.find(found->second); r != requests_.end()) r->second.cause_at = now();
    out_.erase(found);
    model::AttemptEnded e;
    e.at = now();
    e.attempt = attempt;
    e.ending = how;
    tell(e);
  }
  void told(model::MachineId machine, ServerState state) {
    model::Told t;
    t.at = now();
    t.machine = machine;
    t.state = state;
    tell(t);
    caused();
  }
  void caused() { // an event that may have ended a request
    for (auto& [id, r] : requests_) r.cause_at = now();
  }
  void terminated() { tell(model::RouterEvent{now(), 0, model::RouterEvent::What::Term}); }

  // To be called in each iteration of the event loop. Measures the longest time for which the machine did not
  // run this process; every limit is extended accordingly.
  void looked() {
    const double at = now();
    if (looked_at_ > 0) worst_gap_ms_ = std::max(worst_gap_ms_, at - looked_at_);
    looked_at_ = at;
  }

  // Returns a description of all breaches; empty: none. `queued`: requests wait for the attempts of other
  // requests.
  std::string judge(bool queued = false) {
    const double slack = 60 + 2 * worst_gap_ms_;
    lab::Checker checker(spec_, plan_, slack);
    for (const auto& record : records_) record(checker);
    const lab::Findings findings = checker.finish();
    std::string broken;
    for (const lab::RuleFinding& rule : findings.rules) {
      for (const lab::Breach& b : rule.first)
        broken += std::string(lab::rule_name(rule.rule)) + ": " + b.what + "\n";
    }
    // A request that is given up must be answered at once: with no attempt in flight there is nothing to wait
    // for.
    for (const auto& [id, r] : requests_) {
      if (!r.over || !r.owed || (r.how != Heard::Refused && r.how != Heard::Failed)) continue;
      const bool waits = (queued && !out_.empty()) ||
                         std::any_of(out_.begin(), out_.end(), [&](const auto& a) { return a.second == id; });
      const double since = r.answered_at - std::max(r.at, r.cause_at);
      if (!waits && since > kAtOnceMs + slack)
        broken += "at-once: " + id + " was given up " + std::to_string(since) +
                  " ms after its last attempt ended\n";
    }
    return broken;
  }

 private:
  struct Request {
    std::uint64_t number = 0;
    double at = 0, answered_at = 0, cause_at = 0;
    bool over = false, owed = true;
    Heard how = Heard::Served;
  };
  // A retry at the origin waits for about one response time of the origin, some milliseconds here.
  static constexpr double kAtOnceMs = 50;

  static double now() { return loop::now_ms(); }
  void surplus(const Request& r, Heard how) {
    model::Answered again;
    again.at = now();
    again.request = again.try_id = r.number;
    again.heard = how;
    again.surplus = true;
    tell(again);
  }
  template <typename Record>
  void tell(const Record& record) {
    records_.push_back([record](lab::Checker& checker) { checker.on(record); });
  }

  const model::Spec spec_ = cell_spec();
  const model::Plan plan_ = model::make_plan(spec_);
  std::vector<std::function<void(lab::Checker&)>> records_;
  std::map<std::string, Request> requests_;
  std::map<model::AttemptId, std::string> out_;
  model::AttemptId attempts_ = 0;
  double looked_at_ = 0, worst_gap_ms_ = 0;
};

} // namespace fernward::tests
