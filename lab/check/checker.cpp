#include "lab/check/checker.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>

namespace fernward::lab {
namespace {

using namespace fernward::model;

constexpr std::size_t kBreachesTold = 5;
constexpr double kRememberMs = 5000; // a client try is kept this long after its response, for late attempts
constexpr double kEarlyMs =
    1000; // on sockets a node may receive an attempt before its client try is recorded
constexpr double kTellerSlackMs =
    50; // clients receive a response after it was sent; they allow the same delay
constexpr double kAfterTermMs = 700; // requests that arrive later after SIGTERM need no response
constexpr double kTippedByRouters = 2.0 / 3;

std::string ms(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.0f ms", value);
  return text;
}

std::string number(std::uint64_t value) { return std::to_string(value); }

} // namespace

const char* rule_name(Rule rule) {
  switch (rule) {
    case Rule::OneAnswer: return "one-answer";
    case Rule::NoLost: return "no-lost";
    case Rule::Repeats: return "repeats";
    case Rule::Drains: return "drains";
    case Rule::ColdNodes: return "cold-nodes";
    case Rule::Genuine: return "genuine";
    case Rule::Alive: return "alive";
    case Rule::Accounts: return "accounts";
  }
  return "";
}

const char* rule_text(Rule rule) {
  switch (rule) {
    case Rule::OneAnswer: return "exactly one final response for each request that a router accepted";
    case Rule::NoLost: return "no request without a response in time";
    case Rule::Repeats: return "no attempt or rejection that the request class forbids";
    case Rule::Drains: return "no new attempt to a draining or removed node after the grace period";
    case Rule::ColdNodes: return "no cold node overloaded until it failed";
    case Rule::Genuine: return "served only with responses that a node produced for the request";
    case Rule::Alive: return "no router process crashed";
    case Rule::Accounts: return "the lab recorded each request until it was closed";
  }
  return "";
}

bool Findings::kept() const {
  return std::all_of(rules.begin(), rules.end(), [](const RuleFinding& r) { return r.kept(); }) &&
         std::all_of(bounds.begin(), bounds.end(), [](const BoundFinding& b) { return b.kept; });
}

Checker::Checker(const Spec& spec, const Plan& plan, double slack_ms)
    : spec_(spec),
      plan_(plan),
      slack_ms_(slack_ms),
      routers_(plan.routers.size()),
      lists_(plan.routers.size() * plan.machines.size()),
      at_address_(plan.machines.size()) {
  for (std::size_t i = 0; i < kRules; ++i) findings_.rules[i].rule = static_cast<Rule>(i);
  const auto judged = [&](Rule rule, bool on) {
    findings_.rules[static_cast<std::size_t>(rule)].judged = on;
  };
  judged(Rule::OneAnswer, spec.holds.rules.one_answer);
  judged(Rule::NoLost, spec.holds.rules.no_lost);
  judged(Rule::Repeats, spec.holds.rules.repeats);
  judged(Rule::Drains, spec.holds.rules.drains);
  judged(Rule::ColdNodes, spec.holds.rules.cold_nodes);
  judged(Rule::Genuine, spec.holds.rules.genuine);
  // Only few machines ever use the address of another, so the sharers are stored per machine.
  std::unordered_map<MachineId, std::vector<MachineId>> by_address;
  for (const Machine& m : plan.machines) by_address[m.address_of].push_back(m.id);
  for (const auto& [address, machines] : by_address) {
    for (const MachineId m : machines) {
      std::copy_if(machines.begin(), machines.end(), std::back_inserter(at_address_[m]),
                   [&](MachineId other) { return other != m; });
    }
  }
  for (const Bound& b : spec.holds.bounds) meters_.push_back(make_meter(spec, plan, b));
  for (const Metric m : {Metric::Service, Metric::WorstWindow, Metric::WorstClass, Metric::WorstTenant}) {
    Bound bound;
    bound.metric = m;
    standard_.push_back(make_meter(spec, plan, bound));
  }
}

Checker::~Checker() = default;

void Checker::breach(Rule rule, double at, std::string what) {
  RuleFinding& finding = findings_.rules[static_cast<std::size_t>(rule)];
  ++finding.breaches;
  if (finding.first.size() < kBreachesTold) finding.first.push_back({at, std::move(what)});
}

std::string Checker::name(MachineId machine) const {
  return machine < plan_.machines.size() ? plan_.machines[machine].name : "machine " + number(machine);
}
std::string Checker::router_name(RouterId router) const {
  return router < plan_.routers.size() ? plan_.routers[router].name : "router " + number(router);
}

std::size_t Checker::remembers() const {
  return requests_.size() + tries_.size() + out_.size() + answered_.size() + early_.size() + closed_.size();
}

// ---- clients ----

void Checker::on(const Drawn& d) {
  for (auto& m : meters_) m->on(d);
  for (auto& m : standard_) m->on(d);
  forget(d.at);
  if (!requests_.emplace(d.request, Request{d.cls, 0}).second) {
    breach(Rule::Accounts, d.at, "request " + number(d.request) + " was generated twice");
  }
}

void Checker::on(const Tried& t) {
  const auto request = requests_.find(t.request);
  if (request == requests_.end()) {
    return breach(Rule::Accounts, t.at,
                  "a client try of request " + number(t.request) + ", which is not open");
  }
  ++request->second.open_tries;
  Try& entry = tries_[t.try_id];
  entry.request = t.request;
  entry.router = t.router;
  entry.cls = request->second.cls;
  entry.at = t.at;
  entry.due = t.due;
  entry.deadline = t.deadline;
  entry.taken = t.taken;
  for (auto it = early_.begin(); it != early_.end();) {
    if (it->arrived.try_id != t.try_id) {
      ++it;
      continue;
    }
    const Early early = *it;
    it = early_.erase(it);
    take_attempt(early.arrived, entry);
    if (early.ending) end_attempt(early.arrived.attempt, *early.ending);
  }
}

// Whether the router must respond to an accepted client try. It need not after it was killed, paused or cut
// off. After SIGTERM it must respond to what arrives within the next 700 ms.
bool Checker::owed(const Try& t, double until) const {
  if (!t.taken || t.router >= routers_.size()) return false;
  const RouterState& r = routers_[t.router];
  if (r.down || (r.down_at >= t.at && r.down_at <= until)) return false;
  return !(r.ended_at >= t.at && r.term_at >= 0 && t.at > r.term_at + kAfterTermMs);
}

void Checker::on(const Answered& a) {
  const auto found = tries_.find(a.try_id);
  if (found == tries_.end() || found->second.answered || a.surplus) {
    return breach(Rule::OneAnswer, a.at,
                  router_name(a.router) + " answered request " + number(a.request) + " more than once");
  }
  Try& t = found->second;
  t.answered = true;
  t.answered_at = a.at;
  t.heard = a.heard;
  answered_.emplace_back(a.at, a.try_id);
  if (const auto request = requests_.find(t.request); request != requests_.end()) {
    --request->second.open_tries;
  }
  const std::string what = "request " + number(a.request) + " that " + router_name(t.router) + " accepted ";
  // The router measures the client's timeout from the arrival of the request, and its response then needs the
  // network delay back to the client. To a distant client a response may be in transit when the client stops
  // waiting.
  double back = t.at - t.due;
  for (const TimedEvent& e : spec_.events) { // a link that became slow in the meantime adds delay
    const auto* slow = std::get_if<SlowLink>(&e.what);
    if (slow == nullptr || e.at_ms > a.at || (slow->until_ms > 0 && slow->until_ms < t.at)) continue;
    back = std::max(back, (t.at - t.due) * slow->factor);
  }
  const double latest_heard = t.deadline + (t.at - t.due) + back + spec_.routers.grace_to_answer_ms;
  const bool on_its_way = a.heard == Heard::Silence && latest_heard > a.at;
  if ((a.heard == Heard::Silence || a.heard == Heard::Broken) && !on_its_way && owed(t, a.at)) {
    breach(Rule::NoLost, a.at,
           what +
               (a.heard == Heard::Silence ? "received no response"
                                          : "had its connection closed before the response was complete") +
               ", " + ms(a.at - t.at) + " after it was sent");
  }
  const bool answer = a.heard == Heard::Served || a.heard == Heard::Refused || a.heard == Heard::Failed;
  const double latest = t.deadline + spec_.routers.grace_to_answer_ms + kTellerSlackMs + slack_ms_;
  if (answer && a.at > latest) {
    breach(Rule::NoLost, a.at, what + "was answered " + ms(a.at - t.deadline) + " after its deadline");
  }
  if (a.heard == Heard::Served && !a.genuine) {
    breach(Rule::Genuine, a.at, what + "was served with a response that no node produced for it");
  }
  if (a.heard == Heard::Refused) check_refusal(a.at, t);
}

void Checker::on(const Closed& c) {
  for (auto& m : meters_) m->on(c);
  for (auto& m : standard_) m->on(c);
  const auto found = requests_.find(c.request);
  if (found == requests_.end() || found->second.closed) {
    return breach(Rule::Accounts, c.at, "request " + number(c.request) + " was closed but is not open");
  }
  found->second.closed = true;
  closed_.emplace_back(c.at, c.request);
}

void Checker::forget(double now) {
  while (!closed_.empty() && closed_.front().first + kEarlyMs < now) {
    const auto [at, request] = closed_.front();
    closed_.pop_front();
    const auto found = requests_.find(request);
    if (found == requests_.end()) continue;
    if (found->second.open_tries > 0) {
      breach(Rule::Accounts, at, "request " + number(request) + " was closed while a client try is open");
    }
    requests_.erase(found);
  }
  while (!early_.empty() && early_.front().arrived.at + kEarlyMs < now) {
    const Arrived& a = early_.front().arrived;
    breach(Rule::Repeats, a.at,
           router_name(a.router) + " sent an attempt to " + name(a.machine) + " for no open request");
    early_.pop_front();
  }
  while (!answered_.empty() && answered_.front().first + kRememberMs < now) {
    const TryId id = answered_.front().second;
    answered_.pop_front();
    const auto found = tries_.find(id);
    if (found == tries_.end()) continue;
    // Attempts that are still in flight end later; their ends are no longer checked.
    for (const Attempt& attempt : found->second.attempts) {
      if (attempt.out) out_.erase(attempt.id);
    }
    tries_.erase(found);
  }
}

// ---- machines ----

bool Checker::same_group(const ClassSpec& cls, MachineId a, MachineId b) const {
  const Machine &x = plan_.machines[a], &y = plan_.machines[b];
  switch (cls.scope) {
    case IdempotencyScope::All: return true;
    case IdempotencyScope::Zone: return x.zone == y.zone;
    case IdempotencyScope::Cell: return x.cell == y.cell;
  }
  return false;
}

// A rejection promises that the client may safely send the request again.
void Checker::check_refusal(double at, const Try& t) {
  const ClassSpec& cls = spec_.classes[t.cls];
  if (cls.repeat == Idempotency::Idempotent ||
      (cls.repeat == Idempotency::WithKey && cls.scope == IdempotencyScope::All))
    return;
  for (const Attempt& attempt : t.attempts) {
    if (!attempt.counts()) continue;
    return breach(Rule::Repeats, at,
                  router_name(t.router) + " rejected request " + number(t.request) + " (" + cls.name +
                      ") that may have run on " + name(attempt.machine));
  }
}

void Checker::check_attempt(const Arrived& a, const Try& t) {
  const ClassSpec& cls = spec_.classes[t.cls];
  const std::string what = router_name(a.router) + " sent request " + number(t.request) + " (" + cls.name +
                           ") to " + name(a.machine);
  const bool final = t.heard == Heard::Served || t.heard == Heard::Refused || t.heard == Heard::Failed;
  if (t.answered && final && a.sent_at > t.answered_at + slack_ms_) {
    breach(Rule::Repeats, a.at, what + " " + ms(a.sent_at - t.answered_at) + " after its final response");
  }
  if (t.attempts.size() >= spec_.routers.max_attempts) {
    breach(Rule::Repeats, a.at,
           what + ", which is attempt " + number(t.attempts.size() + 1) + " of at most " +
               number(spec_.routers.max_attempts) + " allowed");
  }
  if (cls.repeat == Idempotency::Idempotent) return;
  for (const Attempt& earlier : t.attempts) {
    if (!earlier.counts()) continue;
    const std::string but = " though it may have run on " + name(earlier.machine);
    if (cls.repeat == Idempotency::NonIdempotent) return breach(Rule::Repeats, a.at, what + but);
    if (!same_group(cls, earlier.machine, a.machine)) {
      return breach(Rule::Repeats, a.at, what + but + ", which is outside the idempotency scope");
    }
    if (a.sent_at > earlier.sent_at + cls.window_ms + slack_ms_) {
      return breach(Rule::Repeats, a.at,
                    what + but + " " + ms(a.sent_at - earlier.sent_at) +
                        " before, and the idempotency window is " + ms(cls.window_ms));
    }
  }
}

// A router that knows only the previous machine at an address may reach the machine that uses the address
// now, so the notices of all machines that share the address count.
void Checker::check_drain(const Arrived& a) {
  if (a.router >= routers_.size() || a.machine >= plan_.machines.size()) return;
  const List* latest = nullptr;
  const auto look = [&](MachineId machine) {
    const List& l = list(a.router, machine);
    if (!l.named) return false;
    if (l.in_service) return true;
    if (!latest || l.at > latest->at) latest = &l;
    return false;
  };
  if (look(a.machine)) return;
  for (const MachineId other : at_address_[a.machine]) {
    if (look(other)) return;
  }
  const std::string what = router_name(a.router) + " sent an attempt to " + name(a.machine);
  if (!latest) return breach(Rule::Drains, a.at, what + ", which was never in its endpoint list");
  const double late = a.sent_at - latest->at;
  if (late > spec_.routers.drain_grace_ms + slack_ms_) {
    breach(Rule::Drains, a.at,
           what + " " + ms(late) + " after it was notified that the node drains or was removed");
  }
}

void Checker::on(const Arrived& a) {
  for (auto& m : meters_) m->on(a);
  check_drain(a);
  const auto found = tries_.find(a.try_id);
  if (found != tries_.end()) return take_attempt(a, found->second);
  // An attempt that was sent long ago may belong to a try that was already removed: it is ignored. One sent
  // recently belongs to a try that will be recorded soon, or to none, which is a violation.
  if (a.at - a.sent_at < kRememberMs / 2) early_.push_back({a, {}});
}

void Checker::take_attempt(const Arrived& a, Try& t) {
  check_attempt(a, t);
  t.attempts.push_back({a.attempt, a.machine, a.sent_at, true, false});
  out_.emplace(a.attempt, a.try_id);
  if (t.answered && t.heard == Heard::Refused) check_refusal(a.at, t);
}

void Checker::on(const AttemptEnded& e) {
  for (auto& m : meters_) m->on(e);
  end_attempt(e.attempt, e.ending);
}

void Checker::end_attempt(AttemptId id, Ending ending) {
  const auto found = out_.find(id);
  if (found == out_.end()) {
    for (Early& early : early_) {
      if (early.arrived.attempt == id) early.ending = ending;
    }
    return;
  }
  const auto t = tries_.find(found->second);
  out_.erase(found);
  if (t == tries_.end()) return;
  for (Attempt& attempt : t->second.attempts) {
    if (attempt.id != id) continue;
    attempt.out = false;
    attempt.may_have_run = model::may_have_run(ending);
  }
}

void Checker::on(const LoadSample& s) {
  for (auto& m : meters_) m->on(s);
}

void Checker::on(const NodeEvent& e) {
  if (e.what != NodeEvent::What::TippedOver || !e.cold) return;
  if (e.told_share < kTippedByRouters - 1e-9) return;
  char share[32];
  std::snprintf(share, sizeof share, "%.0f%%", e.told_share * 100);
  breach(Rule::ColdNodes, e.at,
         name(e.machine) + " was overloaded while cold, " + share +
             " of the load from routers notified of its start");
}

// ---- routers ----

void Checker::on(const RouterEvent& e) {
  if (e.router >= routers_.size()) return;
  RouterState& r = routers_[e.router];
  switch (e.what) {
    case RouterEvent::What::Started:
      r.down = false;
      r.term_at = -1;
      for (MachineId m = 0; m < plan_.machines.size(); ++m) list(e.router, m) = {};
      break;
    case RouterEvent::What::Ready:
    case RouterEvent::What::Reloaded: break;
    case RouterEvent::What::Woke: // it now reads the notifications that arrived while it was paused
      for (MachineId m = 0; m < plan_.machines.size(); ++m) {
        List& l = list(e.router, m);
        if (l.at >= r.down_at) l.at = e.at;
      }
      [[fallthrough]];
    case RouterEvent::What::Returned:
      r.down = false;
      r.down_at = e.at; // what arrived while it was silent may have been lost with the connection
      break;
    case RouterEvent::What::Killed:
    case RouterEvent::What::Silent:
    case RouterEvent::What::Paused:
      r.down = true;
      r.down_at = e.at;
      break;
    case RouterEvent::What::Term: r.term_at = e.at; break;
    case RouterEvent::What::Ended: r.ended_at = e.at; break;
    case RouterEvent::What::Crashed:
      r.ended_at = e.at;
      breach(Rule::Alive, e.at, router_name(e.router) + " crashed");
      break;
  }
}

void Checker::on(const Told& t) {
  if (t.router >= routers_.size() || t.machine >= plan_.machines.size()) return;
  List& l = list(t.router, t.machine);
  const bool in_service = t.state == ServerState::Ready;
  // A repeated notification of the same state doesn't restart the grace period.
  if (l.named && l.in_service == in_service) return;
  l = {t.at, true, in_service};
}

// ---- end of the run ----

Findings Checker::finish(bool whole) {
  forget(std::numeric_limits<double>::infinity());
  if (whole) {
    for (const auto& [id, t] : tries_) {
      if (!t.answered && t.taken) {
        breach(Rule::OneAnswer, t.at, router_name(t.router) + " never answered request " + number(t.request));
      }
    }
    for (const auto& [id, request] : requests_) {
      breach(Rule::Accounts, 0, "request " + number(id) + " was never closed");
    }
  }
  for (std::size_t i = 0; i < meters_.size(); ++i) {
    const Bound& b = spec_.holds.bounds[i];
    BoundFinding f{bound_text(spec_, b), b.metric, b.at_least, b.at_most, meters_[i]->value(), false};
    f.kept = f.value && (!b.at_least || *f.value >= *b.at_least) && (!b.at_most || *f.value <= *b.at_most);
    findings_.bounds.push_back(std::move(f));
  }
  findings_.whole = standard_[0]->value().value_or(1);
  findings_.worst_window = standard_[1]->value().value_or(1);
  findings_.worst_class = standard_[2]->value().value_or(1);
  findings_.worst_tenant = standard_[3]->value().value_or(1);
  const Holds& h = spec_.holds;
  const double weights =
      h.whole_weight + h.worst_window_weight + h.worst_class_weight + h.worst_tenant_weight;
  findings_.score =
      weights > 0
          ? (h.whole_weight * findings_.whole + h.worst_window_weight * findings_.worst_window +
             h.worst_class_weight * findings_.worst_class + h.worst_tenant_weight * findings_.worst_tenant) /
                weights
          : findings_.whole;
  return std::move(findings_);
}

} // namespace fernward::lab
