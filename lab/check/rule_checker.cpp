#include "lab/check/rule_checker.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <limits>

namespace fernward::lab {
namespace {

using namespace fernward::model;

constexpr std::size_t kMaxStoredViolations = 5;
constexpr double kEndedTryRetentionMs =
    5000; // a client try is kept this long after its end, for late attempts
constexpr double kMaxRecordDelayMs =
    1000; // on sockets a node may receive an attempt before its client try is recorded
constexpr double kClientDelaySlackMs =
    50; // for the delay until a client receives a response; the clients allow the same
constexpr double kAcceptAfterTermMs =
    700; // a router need not respond to requests sent more than this after SIGTERM
constexpr double kNotifiedShareThreshold =
    2.0 / 3; // NodeEvent::notified_share from which routers are responsible for an overload

std::string milliseconds_text(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.0f ms", value);
  return text;
}

std::string number_text(std::uint64_t value) { return std::to_string(value); }

} // namespace

const char* rule_name(Rule rule) {
  switch (rule) {
    case Rule::OneFinalResponse: return "one-answer";
    case Rule::NoLostRequest: return "no-lost";
    case Rule::SafeRepeats: return "repeats";
    case Rule::NoTrafficAfterDrain: return "drains";
    case Rule::NoColdOverload: return "cold-nodes";
    case Rule::GenuineResponses: return "genuine";
    case Rule::NoRouterCrash: return "alive";
    case Rule::RequestAccounting: return "accounts";
  }
  return "";
}

const char* rule_description(Rule rule) {
  switch (rule) {
    case Rule::OneFinalResponse: return "exactly one final answer for each request that a router took";
    case Rule::NoLostRequest: return "no request without an answer in time";
    case Rule::SafeRepeats: return "no attempt or refusal beyond what the class allows";
    case Rule::NoTrafficAfterDrain: return "nothing new to a draining or gone node after the grace";
    case Rule::NoColdOverload: return "no cold node pushed over";
    case Rule::GenuineResponses: return "served only with what a node made for the request";
    case Rule::NoRouterCrash: return "no router crashes";
    case Rule::RequestAccounting: return "the lab followed each request to its end";
  }
  return "";
}

bool CheckResult::passed() const {
  return std::all_of(rules.begin(), rules.end(),
                     [](const RuleResult& rule_result) { return rule_result.passed(); }) &&
         std::all_of(bounds.begin(), bounds.end(), [](const BoundResult& b) { return b.passed; });
}

RuleChecker::RuleChecker(const Spec& spec, const Plan& plan, double slack_ms)
    : spec_(spec),
      plan_(plan),
      slack_ms_(slack_ms),
      routers_(plan.routers.size()),
      machine_notices_(plan.routers.size() * plan.machines.size()),
      address_sharers_(plan.machines.size()) {
  for (std::size_t i = 0; i < kRuleCount; ++i) result_.rules[i].rule = static_cast<Rule>(i);
  const auto set_enabled = [&](Rule rule, bool enabled) {
    result_.rules[static_cast<std::size_t>(rule)].enabled = enabled;
  };
  set_enabled(Rule::OneFinalResponse, spec.expectations.rules.one_response);
  set_enabled(Rule::NoLostRequest, spec.expectations.rules.no_lost_requests);
  set_enabled(Rule::SafeRepeats, spec.expectations.rules.safe_repeats);
  set_enabled(Rule::NoTrafficAfterDrain, spec.expectations.rules.drains_respected);
  set_enabled(Rule::NoColdOverload, spec.expectations.rules.cold_nodes_protected);
  set_enabled(Rule::GenuineResponses, spec.expectations.rules.genuine_bodies);
  // Few machines ever use the address of another, so each machine stores a list of the others.
  std::unordered_map<MachineId, std::vector<MachineId>> by_address;
  for (const PlannedMachine& m : plan.machines) by_address[m.address_of].push_back(m.id);
  for (const auto& [address, machines] : by_address) {
    for (const MachineId m : machines) {
      std::copy_if(machines.begin(), machines.end(), std::back_inserter(address_sharers_[m]),
                   [&](MachineId other) { return other != m; });
    }
  }
  for (const Bound& b : spec.expectations.bounds) bound_meters_.push_back(make_meter(spec, plan, b));
  for (const Metric m : {Metric::Service, Metric::WorstWindow, Metric::WorstClass, Metric::WorstTenant}) {
    Bound bound;
    bound.metric = m;
    score_meters_.push_back(make_meter(spec, plan, bound));
  }
}

RuleChecker::~RuleChecker() = default;

void RuleChecker::add_violation(Rule rule, double at_ms, std::string description) {
  RuleResult& rule_result = result_.rules[static_cast<std::size_t>(rule)];
  ++rule_result.violation_count;
  if (rule_result.first_violations.size() < kMaxStoredViolations)
    rule_result.first_violations.push_back({at_ms, std::move(description)});
}

std::string RuleChecker::machine_name(MachineId machine) const {
  return machine < plan_.machines.size() ? plan_.machines[machine].name : "machine " + number_text(machine);
}
std::string RuleChecker::router_name(RouterId router) const {
  return router < plan_.routers.size() ? plan_.routers[router].name : "router " + number_text(router);
}

std::size_t RuleChecker::table_entries() const {
  return requests_.size() + tries_.size() + attempts_in_flight_.size() + ended_tries_.size() +
         unmatched_attempts_.size() + closed_requests_.size();
}

// ---- clients ----

void RuleChecker::on(const DrawnRequest& drawn) {
  for (auto& m : bound_meters_) m->on(drawn);
  for (auto& m : score_meters_) m->on(drawn);
  expire_entries(drawn.at);
  if (!requests_.emplace(drawn.request, RequestState{drawn.cls, 0}).second) {
    add_violation(Rule::RequestAccounting, drawn.at,
                  "request " + number_text(drawn.request) + " was drawn twice");
  }
}

void RuleChecker::on(const TrySent& sent) {
  const auto request = requests_.find(sent.request);
  if (request == requests_.end()) {
    return add_violation(Rule::RequestAccounting, sent.at,
                         "a try of request " + number_text(sent.request) + ", which is not open");
  }
  ++request->second.open_tries;
  ClientTryState& client_try = tries_[sent.try_id];
  client_try.request = sent.request;
  client_try.router = sent.router;
  client_try.class_index = request->second.class_index;
  client_try.sent_at_ms = sent.at;
  client_try.due_ms = sent.scheduled_at;
  client_try.deadline_ms = sent.deadline;
  client_try.accepted = sent.accepted;
  for (auto it = unmatched_attempts_.begin(); it != unmatched_attempts_.end();) {
    if (it->arrival.try_id != sent.try_id) {
      ++it;
      continue;
    }
    const UnmatchedAttempt early = *it;
    it = unmatched_attempts_.erase(it);
    add_attempt(early.arrival, client_try);
    if (early.outcome) end_attempt(early.arrival.attempt, *early.outcome);
  }
}

// Whether the router had to respond to a client try that ended at `until_ms`. It need not if it was killed,
// paused or silent in the meantime. A router that ends after SIGTERM must respond to tries that were sent up
// to 700 ms after the signal.
bool RuleChecker::response_required(const ClientTryState& client_try, double until_ms) const {
  if (!client_try.accepted || client_try.router >= routers_.size()) return false;
  const RouterState& router = routers_[client_try.router];
  if (router.down || (router.down_at_ms >= client_try.sent_at_ms && router.down_at_ms <= until_ms))
    return false;
  return !(router.ended_at_ms >= client_try.sent_at_ms && router.term_at_ms >= 0 &&
           client_try.sent_at_ms > router.term_at_ms + kAcceptAfterTermMs);
}

void RuleChecker::on(const TryEnded& ended) {
  const auto found = tries_.find(ended.try_id);
  if (found == tries_.end() || found->second.ended || ended.surplus) {
    return add_violation(
        Rule::OneFinalResponse, ended.at,
        router_name(ended.router) + " answered request " + number_text(ended.request) + " once more");
  }
  ClientTryState& client_try = found->second;
  client_try.ended = true;
  client_try.ended_at_ms = ended.at;
  client_try.outcome = ended.outcome;
  ended_tries_.emplace_back(ended.at, ended.try_id);
  if (const auto request = requests_.find(client_try.request); request != requests_.end()) {
    --request->second.open_tries;
  }
  const std::string subject_text =
      "request " + number_text(ended.request) + " that " + router_name(client_try.router) + " took ";
  // The router measures the client's timeout from the arrival of the request, and its response then needs the
  // network delay back to the client. To a distant client a response may be in transit when the client stops
  // waiting.
  double return_delay_ms = client_try.sent_at_ms - client_try.due_ms;
  for (const TimedEvent& event : spec_.events) { // a link that became slow in the meantime adds delay
    const auto* slow_link = std::get_if<SlowLink>(&event.what);
    if (slow_link == nullptr || event.at_ms > ended.at ||
        (slow_link->until_ms > 0 && slow_link->until_ms < client_try.sent_at_ms))
      continue;
    return_delay_ms =
        std::max(return_delay_ms, (client_try.sent_at_ms - client_try.due_ms) * slow_link->factor);
  }
  const double latest_receipt_ms = client_try.deadline_ms + (client_try.sent_at_ms - client_try.due_ms) +
                                   return_delay_ms + spec_.routers.response_grace_ms;
  const bool response_in_transit = ended.outcome == TryOutcome::TimedOut && latest_receipt_ms > ended.at;
  if ((ended.outcome == TryOutcome::TimedOut || ended.outcome == TryOutcome::ConnectionLost) &&
      !response_in_transit && response_required(client_try, ended.at)) {
    add_violation(
        Rule::NoLostRequest, ended.at,
        subject_text +
            (ended.outcome == TryOutcome::TimedOut ? "had no answer"
                                                   : "had its connection ended without a whole answer") +
            ", " + milliseconds_text(ended.at - client_try.sent_at_ms) + " after it was sent");
  }
  const bool final_response = ended.outcome == TryOutcome::Served || ended.outcome == TryOutcome::Rejected ||
                              ended.outcome == TryOutcome::Failed;
  const double latest_response_ms =
      client_try.deadline_ms + spec_.routers.response_grace_ms + kClientDelaySlackMs + slack_ms_;
  if (final_response && ended.at > latest_response_ms) {
    add_violation(Rule::NoLostRequest, ended.at,
                  subject_text + "was answered " + milliseconds_text(ended.at - client_try.deadline_ms) +
                      " after its deadline");
  }
  if (ended.outcome == TryOutcome::Served && !ended.genuine) {
    add_violation(Rule::GenuineResponses, ended.at,
                  subject_text + "was served with something that no node made for it");
  }
  if (ended.outcome == TryOutcome::Rejected) check_rejection(ended.at, client_try);
}

void RuleChecker::on(const RequestEnded& ended) {
  for (auto& m : bound_meters_) m->on(ended);
  for (auto& m : score_meters_) m->on(ended);
  const auto found = requests_.find(ended.request);
  if (found == requests_.end() || found->second.closed) {
    return add_violation(Rule::RequestAccounting, ended.at,
                         "request " + number_text(ended.request) + " was closed, and is not open");
  }
  found->second.closed = true;
  closed_requests_.emplace_back(ended.at, ended.request);
}

void RuleChecker::expire_entries(double now_ms) {
  while (!closed_requests_.empty() && closed_requests_.front().first + kMaxRecordDelayMs < now_ms) {
    const auto [at, request] = closed_requests_.front();
    closed_requests_.pop_front();
    const auto found = requests_.find(request);
    if (found == requests_.end()) continue;
    if (found->second.open_tries > 0) {
      add_violation(Rule::RequestAccounting, at,
                    "request " + number_text(request) + " was closed while a try is open");
    }
    requests_.erase(found);
  }
  while (!unmatched_attempts_.empty() &&
         unmatched_attempts_.front().arrival.at + kMaxRecordDelayMs < now_ms) {
    const AttemptArrived& arrival = unmatched_attempts_.front().arrival;
    add_violation(Rule::SafeRepeats, arrival.at,
                  router_name(arrival.router) + " sent an attempt to " + machine_name(arrival.machine) +
                      " for no open request");
    unmatched_attempts_.pop_front();
  }
  while (!ended_tries_.empty() && ended_tries_.front().first + kEndedTryRetentionMs < now_ms) {
    const TryId id = ended_tries_.front().second;
    ended_tries_.pop_front();
    const auto found = tries_.find(id);
    if (found == tries_.end()) continue;
    // The ends of attempts that are still in flight are no longer checked.
    for (const AttemptState& attempt : found->second.attempts) {
      if (attempt.in_flight) attempts_in_flight_.erase(attempt.id);
    }
    tries_.erase(found);
  }
}

// ---- machines ----

bool RuleChecker::same_idempotency_scope(const ClassSpec& cls, MachineId a, MachineId b) const {
  const PlannedMachine &first = plan_.machines[a], &second = plan_.machines[b];
  switch (cls.idempotency_scope) {
    case IdempotencyScope::All: return true;
    case IdempotencyScope::Zone: return first.zone == second.zone;
    case IdempotencyScope::Cell: return first.cell == second.cell;
  }
  return false;
}

// A rejection promises that the client may safely send the request again.
void RuleChecker::check_rejection(double at_ms, const ClientTryState& client_try) {
  const ClassSpec& cls = spec_.classes[client_try.class_index];
  if (cls.idempotency == Idempotency::Idempotent ||
      (cls.idempotency == Idempotency::WithKey && cls.idempotency_scope == IdempotencyScope::All))
    return;
  for (const AttemptState& attempt : client_try.attempts) {
    if (!attempt.may_have_effect()) continue;
    return add_violation(Rule::SafeRepeats, at_ms,
                         router_name(client_try.router) + " refused request " +
                             number_text(client_try.request) + " (" + cls.name + ") that may have run on " +
                             machine_name(attempt.machine_id));
  }
}

void RuleChecker::check_attempt(const AttemptArrived& arrival, const ClientTryState& client_try) {
  const ClassSpec& cls = spec_.classes[client_try.class_index];
  const std::string event_text = router_name(arrival.router) + " sent request " +
                                 number_text(client_try.request) + " (" + cls.name + ") to " +
                                 machine_name(arrival.machine);
  const bool final_response = client_try.outcome == TryOutcome::Served ||
                              client_try.outcome == TryOutcome::Rejected ||
                              client_try.outcome == TryOutcome::Failed;
  if (client_try.ended && final_response && arrival.sent_at > client_try.ended_at_ms + slack_ms_) {
    add_violation(Rule::SafeRepeats, arrival.at,
                  event_text + " " + milliseconds_text(arrival.sent_at - client_try.ended_at_ms) +
                      " after its final answer");
  }
  if (client_try.attempts.size() >= spec_.routers.max_attempts) {
    add_violation(Rule::SafeRepeats, arrival.at,
                  event_text + ", which is attempt " + number_text(client_try.attempts.size() + 1) + " of " +
                      number_text(spec_.routers.max_attempts) + " allowed");
  }
  if (cls.idempotency == Idempotency::Idempotent) return;
  for (const AttemptState& earlier : client_try.attempts) {
    if (!earlier.may_have_effect()) continue;
    const std::string earlier_run_text = " though it may have run on " + machine_name(earlier.machine_id);
    if (cls.idempotency == Idempotency::NonIdempotent)
      return add_violation(Rule::SafeRepeats, arrival.at, event_text + earlier_run_text);
    if (!same_idempotency_scope(cls, earlier.machine_id, arrival.machine)) {
      return add_violation(Rule::SafeRepeats, arrival.at,
                           event_text + earlier_run_text + ", which does not drop its repeats");
    }
    if (arrival.sent_at > earlier.sent_at_ms + cls.idempotency_window_ms + slack_ms_) {
      return add_violation(
          Rule::SafeRepeats, arrival.at,
          event_text + earlier_run_text + " " + milliseconds_text(arrival.sent_at - earlier.sent_at_ms) +
              " before, and repeats are dropped for " + milliseconds_text(cls.idempotency_window_ms));
    }
  }
}

// A router that knows only the previous machine at an address may reach the machine that uses the address
// now, so the notices of all machines that share the address count.
void RuleChecker::check_drain(const AttemptArrived& arrival) {
  if (arrival.router >= routers_.size() || arrival.machine >= plan_.machines.size()) return;
  const MachineNotice* latest = nullptr;
  const auto is_in_service = [&](MachineId machine) {
    const MachineNotice& notice = machine_notice(arrival.router, machine);
    if (!notice.listed) return false;
    if (notice.in_service) return true;
    if (!latest || notice.notified_at_ms > latest->notified_at_ms) latest = &notice;
    return false;
  };
  if (is_in_service(arrival.machine)) return;
  for (const MachineId other : address_sharers_[arrival.machine]) {
    if (is_in_service(other)) return;
  }
  const std::string event_text =
      router_name(arrival.router) + " sent an attempt to " + machine_name(arrival.machine);
  if (!latest)
    return add_violation(Rule::NoTrafficAfterDrain, arrival.at, event_text + ", which its list never named");
  const double delay_ms = arrival.sent_at - latest->notified_at_ms;
  if (delay_ms > spec_.routers.drain_grace_ms + slack_ms_) {
    add_violation(
        Rule::NoTrafficAfterDrain, arrival.at,
        event_text + " " + milliseconds_text(delay_ms) + " after it was told that it drains or is gone");
  }
}

void RuleChecker::on(const AttemptArrived& arrival) {
  for (auto& m : bound_meters_) m->on(arrival);
  check_drain(arrival);
  const auto found = tries_.find(arrival.try_id);
  if (found != tries_.end()) return add_attempt(arrival, found->second);
  // An attempt that was sent long ago may belong to a try that was already removed: it is ignored. One sent
  // recently belongs to a try that will be recorded soon, or to none, which is a violation.
  if (arrival.at - arrival.sent_at < kEndedTryRetentionMs / 2) unmatched_attempts_.push_back({arrival, {}});
}

void RuleChecker::add_attempt(const AttemptArrived& arrival, ClientTryState& client_try) {
  check_attempt(arrival, client_try);
  client_try.attempts.push_back({arrival.attempt, arrival.machine, arrival.sent_at, true, false});
  attempts_in_flight_.emplace(arrival.attempt, arrival.try_id);
  if (client_try.ended && client_try.outcome == TryOutcome::Rejected) check_rejection(arrival.at, client_try);
}

void RuleChecker::on(const AttemptEnded& ended) {
  for (auto& m : bound_meters_) m->on(ended);
  end_attempt(ended.attempt, ended.outcome);
}

void RuleChecker::end_attempt(AttemptId id, ServerOutcome outcome) {
  const auto found = attempts_in_flight_.find(id);
  if (found == attempts_in_flight_.end()) {
    for (UnmatchedAttempt& early : unmatched_attempts_) {
      if (early.arrival.attempt == id) early.outcome = outcome;
    }
    return;
  }
  const auto found_try = tries_.find(found->second);
  attempts_in_flight_.erase(found);
  if (found_try == tries_.end()) return;
  for (AttemptState& attempt : found_try->second.attempts) {
    if (attempt.id != id) continue;
    attempt.in_flight = false;
    attempt.may_have_run = model::may_have_run(outcome);
  }
}

void RuleChecker::on(const LoadSample& sample) {
  for (auto& m : bound_meters_) m->on(sample);
}

void RuleChecker::on(const NodeEvent& event) {
  if (event.what != NodeEvent::What::Overloaded || !event.cold) return;
  if (event.notified_share < kNotifiedShareThreshold - 1e-9) return;
  char share_text[32];
  std::snprintf(share_text, sizeof share_text, "%.0f%%", event.notified_share * 100);
  add_violation(Rule::NoColdOverload, event.at,
                machine_name(event.machine) + " was pushed over while cold, " + share_text +
                    " of it by routers that knew");
}

// ---- routers ----

void RuleChecker::on(const RouterEvent& event) {
  if (event.router >= routers_.size()) return;
  RouterState& router = routers_[event.router];
  switch (event.what) {
    case RouterEvent::What::Started:
      router.down = false;
      router.term_at_ms = -1;
      for (MachineId machine = 0; machine < plan_.machines.size(); ++machine)
        machine_notice(event.router, machine) = {};
      break;
    case RouterEvent::What::Ready:
    case RouterEvent::What::Reloaded: break;
    case RouterEvent::What::Resumed: // it now reads the notifications that arrived while it was paused
      for (MachineId machine = 0; machine < plan_.machines.size(); ++machine) {
        MachineNotice& notice = machine_notice(event.router, machine);
        if (notice.notified_at_ms >= router.down_at_ms) notice.notified_at_ms = event.at;
      }
      [[fallthrough]];
    case RouterEvent::What::Returned:
      router.down = false;
      router.down_at_ms =
          event.at; // requests sent before it came back may have been lost with their connections
      break;
    case RouterEvent::What::Killed:
    case RouterEvent::What::Silent:
    case RouterEvent::What::Paused:
      router.down = true;
      router.down_at_ms = event.at;
      break;
    case RouterEvent::What::Term: router.term_at_ms = event.at; break;
    case RouterEvent::What::Ended: router.ended_at_ms = event.at; break;
    case RouterEvent::What::Crashed:
      router.ended_at_ms = event.at;
      add_violation(Rule::NoRouterCrash, event.at, router_name(event.router) + " crashed");
      break;
  }
}

void RuleChecker::on(const EndpointNotified& notification) {
  if (notification.router >= routers_.size() || notification.machine >= plan_.machines.size()) return;
  MachineNotice& notice = machine_notice(notification.router, notification.machine);
  const bool in_service = notification.state == ServerState::Ready;
  // A repeated notification of the same state doesn't restart the grace period.
  if (notice.listed && notice.in_service == in_service) return;
  notice = {notification.at, true, in_service};
}

// ---- end of the run ----

CheckResult RuleChecker::finish(bool run_complete) {
  expire_entries(std::numeric_limits<double>::infinity());
  if (run_complete) {
    for (const auto& [id, client_try] : tries_) {
      if (!client_try.ended && client_try.accepted) {
        add_violation(
            Rule::OneFinalResponse, client_try.sent_at_ms,
            router_name(client_try.router) + " never answered request " + number_text(client_try.request));
      }
    }
    for (const auto& [id, request] : requests_) {
      add_violation(Rule::RequestAccounting, 0, "request " + number_text(id) + " was never closed");
    }
  }
  for (std::size_t i = 0; i < bound_meters_.size(); ++i) {
    const Bound& bound = spec_.expectations.bounds[i];
    BoundResult bound_result{bound_description(spec_, bound), bound.metric, bound.at_least, bound.at_most,
                             bound_meters_[i]->value(),       false};
    bound_result.passed = bound_result.value && (!bound.at_least || *bound_result.value >= *bound.at_least) &&
                          (!bound.at_most || *bound_result.value <= *bound.at_most);
    result_.bounds.push_back(std::move(bound_result));
  }
  result_.overall_service = score_meters_[0]->value().value_or(1);
  result_.worst_window_service = score_meters_[1]->value().value_or(1);
  result_.worst_class_service = score_meters_[2]->value().value_or(1);
  result_.worst_tenant_service = score_meters_[3]->value().value_or(1);
  const Expectations& score_weights = spec_.expectations;
  const double total_weight = score_weights.overall_weight + score_weights.worst_window_weight +
                              score_weights.worst_class_weight + score_weights.worst_tenant_weight;
  result_.score = total_weight > 0 ? (score_weights.overall_weight * result_.overall_service +
                                      score_weights.worst_window_weight * result_.worst_window_service +
                                      score_weights.worst_class_weight * result_.worst_class_service +
                                      score_weights.worst_tenant_weight * result_.worst_tenant_service) /
                                         total_weight
                                   : result_.overall_service;
  return std::move(result_);
}

} // namespace fernward::lab
