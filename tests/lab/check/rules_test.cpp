// Tables of short runs, written as records by hand: each rule holds for a correct router and is broken by a
// faulty one. Guards against a rule that reports correct behavior or misses a fault.
#include <doctest/doctest.h>

#include <functional>

#include "support.h"

using namespace fernward::lab;
using namespace fernward::lab::test;

namespace {

using RecordSequence = std::function<void(RecordScript&)>;

// Returns the number of violations of each rule.
std::array<std::uint64_t, kRuleCount> violation_counts(const RecordSequence& run, bool complete = true) {
  RecordScript script;
  run(script);
  const CheckResult findings = script.checker.finish(complete);
  std::array<std::uint64_t, kRuleCount> counts{};
  for (std::size_t i = 0; i < kRuleCount; ++i) {
    counts[i] = findings.rules[i].violation_count;
  }
  return counts;
}

std::array<std::uint64_t, kRuleCount> only_rule(Rule rule, std::uint64_t count = 1) {
  std::array<std::uint64_t, kRuleCount> counts{};
  counts[static_cast<std::size_t>(rule)] = count;
  return counts;
}

constexpr auto kReady = ServerState::Ready;
constexpr auto kDraining = ServerState::Draining;
constexpr auto kGone = ServerState::Gone;
using RouterEventKind = RouterEvent::What;

// One request with two attempts: the first ends with `first_outcome`, then the second arrives at `machine`.
RecordSequence two_attempts(std::uint32_t request_class, ServerOutcome first_outcome, MachineId machine,
                            double second_at_ms = 200) {
  return [=](RecordScript& s) {
    s.draw(0, 1, request_class)
        .send_try(0, 1)
        .arrive(10, 1, 1, 0, request_class)
        .end_attempt(100, 1, first_outcome);
    s.arrive(second_at_ms, 2, 1, machine, request_class)
        .end_attempt(second_at_ms + 50, 2, ServerOutcome::Hit);
    s.end_try(second_at_ms + 60, 1).end_request(second_at_ms + 60, 1);
  };
}
// The same, but the second attempt arrives while the first is still open.
RecordSequence two_concurrent_attempts(std::uint32_t request_class, MachineId machine) {
  return [=](RecordScript& s) {
    s.draw(0, 1, request_class)
        .send_try(0, 1)
        .arrive(10, 1, 1, 0, request_class)
        .arrive(20, 2, 1, machine, request_class);
    s.end_try(60, 1)
        .end_request(60, 1)
        .end_attempt(70, 1, ServerOutcome::Hit)
        .end_attempt(80, 2, ServerOutcome::Hit);
  };
}
RecordSequence rejected_after_attempt(std::uint32_t request_class, ServerOutcome first_outcome) {
  return [=](RecordScript& s) {
    s.draw(0, 1, request_class)
        .send_try(0, 1)
        .arrive(10, 1, 1, 0, request_class)
        .end_attempt(100, 1, first_outcome);
    s.end_try(150, 1, TryOutcome::Rejected).end_request(150, 1, TryOutcome::Rejected, 0);
  };
}
RecordSequence single_try(const std::function<void(RecordScript&)>& during_try, TryOutcome outcome,
                          double ended_at_ms = 1560) {
  return [=](RecordScript& s) {
    s.draw(0, 1).send_try(0, 1);
    during_try(s);
    s.end_try(ended_at_ms, 1, outcome).end_request(ended_at_ms, 1, outcome, 0);
  };
}
void no_records(RecordScript&) {}

} // namespace

TEST_CASE("runs that keep every rule have no violation") {
  const struct {
    const char* what;
    RecordSequence run;
  } cases[] = {
      {"a plain request", two_attempts(0, ServerOutcome::Miss, 3)},
      {"a safe request may run twice concurrently", two_concurrent_attempts(0, 2)},
      {"a request with an idempotency key may run twice, within its scope", two_concurrent_attempts(1, 2)},
      {"with an idempotency key for a zone, twice within the zone", two_concurrent_attempts(2, 1)},
      {"an unsafe request is retried after a node rejected it unprocessed",
       two_attempts(4, ServerOutcome::Full, 2)},
      {"rejected after a draining node rejected it", rejected_after_attempt(4, ServerOutcome::Draining)},
      {"with an idempotency key for all nodes, rejected although it may have run",
       rejected_after_attempt(1, ServerOutcome::Error)},
      {"retried within the idempotency window", two_attempts(1, ServerOutcome::Error, 2, 900)},
      {"a killed router owes no response",
       single_try([](RecordScript& s) { s.router_event(100, 0, RouterEventKind::Killed); },
                  TryOutcome::ConnectionLost, 101)},
      {"a response delayed by a slow network",
       [](RecordScript& s) {
         s.draw(0, 1)
             .send_try(60, 1, 0, true, 60)
             .end_try(1570, 1, TryOutcome::TimedOut)
             .end_request(1570, 1, TryOutcome::TimedOut, 0);
       }},
      {"a silent router owes no response",
       single_try([](RecordScript& s) { s.router_event(100, 0, RouterEventKind::Silent); },
                  TryOutcome::TimedOut)},
      {"a router that was silent during the try owes no response",
       single_try(
           [](RecordScript& s) {
             s.router_event(100, 0, RouterEventKind::Silent).router_event(900, 0, RouterEventKind::Returned);
           },
           TryOutcome::ConnectionLost, 950)},
      {"a try that the router did not accept",
       [](RecordScript& s) {
         s.draw(0, 1)
             .send_try(0, 1, 0, false)
             .end_try(5, 1, TryOutcome::Unreachable)
             .end_request(5, 1, TryOutcome::Unreachable, 0);
       }},
      {"a client that disconnects", single_try(no_records, TryOutcome::Abandoned, 300)},
      {"accepted long after SIGTERM",
       [](RecordScript& s) {
         s.router_event(0, 0, RouterEventKind::Term)
             .draw(800, 1)
             .send_try(800, 1)
             .router_event(900, 0, RouterEventKind::Ended);
         s.end_try(901, 1, TryOutcome::ConnectionLost).end_request(901, 1, TryOutcome::ConnectionLost, 0);
       }},
      {"sent to a draining node within the grace period",
       [](RecordScript& s) {
         s.notify(100, 0, 0, kDraining)
             .draw(300, 1)
             .send_try(300, 1)
             .arrive(340, 1, 1, 0)
             .end_attempt(350, 1, ServerOutcome::Hit);
         s.end_try(360, 1).end_request(360, 1);
       }},
      {"sent to a node that is ready again",
       [](RecordScript& s) {
         s.notify(100, 0, 0, kGone)
             .notify(600, 0, 0, kReady)
             .draw(900, 1)
             .send_try(900, 1)
             .arrive(910, 1, 1, 0);
         s.end_attempt(920, 1, ServerOutcome::Hit).end_try(930, 1).end_request(930, 1);
       }},
      {"sent to the replacement at the address by a router not yet notified",
       [](RecordScript& s) {
         s.draw(6000, 1).send_try(6000, 1).arrive(6010, 1, 1, 4).end_attempt(6020, 1, ServerOutcome::Hit);
         s.end_try(6030, 1).end_request(6030, 1);
       }},
      {"a warm node is overloaded until it fails", [](RecordScript& s) { s.overload(100, 0, false, 1); }},
      {"a cold node fails under load from routers not notified of its start",
       [](RecordScript& s) { s.overload(100, 0, true, 0.6); }},
      {"an attempt recorded by the node before the client records the try",
       [](RecordScript& s) {
         s.draw(0, 1, 4).arrive(5, 1, 1, 0, 4).end_attempt(6, 1, ServerOutcome::Full).send_try(7, 1);
         s.arrive(20, 2, 1, 1, 4).end_attempt(30, 2, ServerOutcome::Hit).end_try(40, 1).end_request(40, 1);
       }},
      {"closed just before its try and its end are recorded",
       [](RecordScript& s) {
         s.draw(0, 1).end_request(50, 1).send_try(51, 1, 0, false).end_try(51, 1, TryOutcome::TimedOut);
       }},
      {"an attempt delayed by the network beyond the retention of its try",
       [](RecordScript& s) {
         s.draw(0, 1).send_try(0, 1).end_try(50, 1).end_request(50, 1).draw(9000, 2).send_try(9000, 2);
         s.end_try(9050, 2).end_request(9050, 2);
         AttemptArrived late;
         late.at = 9100;
         late.sent_at = 40;
         late.attempt = 7;
         late.try_id = 1;
         s.checker.on(late);
       }},
  };
  for (const auto& c : cases) {
    const std::string what = c.what;
    CAPTURE(what);
    CHECK(violation_counts(c.run) == std::array<std::uint64_t, kRuleCount>{});
  }
}

TEST_CASE("runs that break one rule have violations of that rule only") {
  const struct {
    const char* what;
    Rule rule;
    RecordSequence run;
  } cases[] = {
      {"answered twice", Rule::OneFinalResponse,
       [](RecordScript& s) { s.draw(0, 1).send_try(0, 1).end_try(50, 1).end_request(50, 1).end_try(60, 1); }},
      {"a response that the lab marked as surplus", Rule::OneFinalResponse,
       [](RecordScript& s) {
         s.draw(0, 1).send_try(0, 1).end_try(50, 1).end_request(50, 1);
         TryEnded surplus_end;
         surplus_end.request = surplus_end.try_id = 1;
         surplus_end.surplus = true;
         s.checker.on(surplus_end);
       }},
      {"no response by the deadline", Rule::NoLostRequest, single_try(no_records, TryOutcome::TimedOut)},
      {"ended without a complete response", Rule::NoLostRequest,
       single_try(no_records, TryOutcome::ConnectionLost, 300)},
      {"a response after the grace period", Rule::NoLostRequest,
       single_try(no_records, TryOutcome::Failed, 1700)},
      {"killed before it accepted the request, not after", Rule::NoLostRequest,
       [](RecordScript& s) {
         s.router_event(0, 0, RouterEventKind::Killed)
             .router_event(100, 0, RouterEventKind::Started)
             .draw(200, 1)
             .send_try(200, 1);
         s.end_try(1760, 1, TryOutcome::TimedOut).end_request(1760, 1, TryOutcome::TimedOut, 0);
       }},
      {"accepted soon after SIGTERM", Rule::NoLostRequest,
       [](RecordScript& s) {
         s.router_event(0, 0, RouterEventKind::Term)
             .draw(600, 1)
             .send_try(600, 1)
             .router_event(900, 0, RouterEventKind::Ended);
         s.end_try(901, 1, TryOutcome::ConnectionLost).end_request(901, 1, TryOutcome::ConnectionLost, 0);
       }},
      {"unsafe, retried after an error", Rule::SafeRepeats, two_attempts(4, ServerOutcome::Error, 0)},
      {"unsafe, retried after the node was lost", Rule::SafeRepeats, two_attempts(4, ServerOutcome::Lost, 0)},
      {"unsafe, retried, the first attempt recorded before its try", Rule::SafeRepeats,
       [](RecordScript& s) {
         s.draw(0, 1, 4).arrive(5, 1, 1, 0, 4).end_attempt(6, 1, ServerOutcome::Error).send_try(7, 1);
         s.arrive(20, 2, 1, 1, 4).end_attempt(30, 2, ServerOutcome::Hit).end_try(40, 1).end_request(40, 1);
       }},
      {"unsafe, a second concurrent attempt", Rule::SafeRepeats, two_concurrent_attempts(4, 0)},
      {"unsafe, rejected although it ran", Rule::SafeRepeats, rejected_after_attempt(4, ServerOutcome::Hit)},
      {"idempotency key for a zone, rejected although it may have run", Rule::SafeRepeats,
       rejected_after_attempt(2, ServerOutcome::Error)},
      {"idempotency key for a zone, repeated in another", Rule::SafeRepeats, two_concurrent_attempts(2, 2)},
      {"idempotency key for a cell, repeated in another", Rule::SafeRepeats, two_concurrent_attempts(3, 1)},
      {"idempotency key, retried after its window", Rule::SafeRepeats,
       two_attempts(1, ServerOutcome::Error, 0, 1200)},
      {"unsafe, sent before it was rejected and arrived after", Rule::SafeRepeats,
       [](RecordScript& s) {
         s.draw(0, 1, 4)
             .send_try(0, 1)
             .end_try(50, 1, TryOutcome::Rejected)
             .end_request(50, 1, TryOutcome::Rejected, 0);
         s.arrive(51, 1, 1, 0, 4).end_attempt(80, 1, ServerOutcome::Hit);
       }},
      {"sent after its final response", Rule::SafeRepeats,
       [](RecordScript& s) {
         s.draw(0, 1)
             .send_try(0, 1)
             .end_try(50, 1)
             .end_request(50, 1)
             .arrive(200, 1, 1, 0)
             .end_attempt(201, 1, ServerOutcome::Hit);
       }},
      {"more attempts than allowed", Rule::SafeRepeats,
       [](RecordScript& s) {
         s.draw(0, 1).send_try(0, 1);
         for (AttemptId i = 1; i <= 6; ++i)
           s.arrive(10.0 * static_cast<double>(i), i, 1, 0)
               .end_attempt(10.0 * static_cast<double>(i) + 5, i, ServerOutcome::Full);
         s.end_try(100, 1).end_request(100, 1);
       }},
      {"an attempt for an unknown request", Rule::SafeRepeats,
       [](RecordScript& s) { s.arrive(100, 1, 77, 0).end_attempt(110, 1, ServerOutcome::Hit); }},
      {"sent to a draining node after the grace period", Rule::NoTrafficAfterDrain,
       [](RecordScript& s) {
         s.notify(100, 0, 0, kDraining)
             .draw(350, 1)
             .send_try(350, 1)
             .arrive(402, 1, 1, 0)
             .end_attempt(410, 1, ServerOutcome::Hit);
         s.end_try(420, 1).end_request(420, 1);
       }},
      {"a later notification that it is gone does not restart the grace period", Rule::NoTrafficAfterDrain,
       [](RecordScript& s) {
         s.notify(100, 0, 0, kDraining)
             .notify(350, 0, 0, kGone)
             .draw(350, 1)
             .send_try(350, 1)
             .arrive(402, 1, 1, 0);
         s.end_attempt(410, 1, ServerOutcome::Hit).end_try(420, 1).end_request(420, 1);
       }},
      {"sent to the address of a node that is gone", Rule::NoTrafficAfterDrain,
       [](RecordScript& s) {
         s.notify(5600, 0, 1, kGone).draw(6000, 1).send_try(6000, 1).arrive(6010, 1, 1, 4);
         s.end_attempt(6020, 1, ServerOutcome::Hit).end_try(6030, 1).end_request(6030, 1);
       }},
      {"a restarted router may use only the endpoints listed since its start", Rule::NoTrafficAfterDrain,
       [](RecordScript& s) {
         s.router_event(100, 0, RouterEventKind::Killed)
             .router_event(200, 0, RouterEventKind::Started)
             .notify(200, 0, 2, kReady);
         s.draw(300, 1)
             .send_try(300, 1)
             .arrive(310, 1, 1, 0)
             .end_attempt(320, 1, ServerOutcome::Hit)
             .end_try(330, 1)
             .end_request(330, 1);
       }},
      {"a cold node fails under load from routers notified of its start", Rule::NoColdOverload,
       [](RecordScript& s) { s.overload(100, 0, true, 0.7); }},
      {"served with another value", Rule::GenuineResponses,
       [](RecordScript& s) {
         s.draw(0, 1).send_try(0, 1).end_try(50, 1, TryOutcome::Served, false).end_request(50, 1);
       }},
      {"a crash", Rule::NoRouterCrash,
       [](RecordScript& s) { s.router_event(100, 1, RouterEventKind::Crashed); }},
      {"closed twice", Rule::RequestAccounting,
       [](RecordScript& s) {
         s.draw(0, 1).send_try(0, 1).end_try(50, 1).end_request(50, 1).end_request(51, 1);
       }},
      {"never closed", Rule::RequestAccounting,
       [](RecordScript& s) { s.draw(0, 1).send_try(0, 1).end_try(50, 1); }},
      {"a request closed while a try is open", Rule::RequestAccounting,
       [](RecordScript& s) {
         s.draw(0, 1).send_try(0, 1).end_request(40, 1).draw(1100, 2).end_try(1101, 1).end_request(1102, 2);
       }},
  };
  for (const auto& c : cases) {
    const std::string what = c.what;
    CAPTURE(what);
    CHECK(violation_counts(c.run) == only_rule(c.rule));
  }
}

TEST_CASE("a request without records of its end and of the end of its try breaks two rules") {
  const RecordSequence run = [](RecordScript& s) { s.draw(0, 1).send_try(0, 1); };
  auto expected = only_rule(Rule::OneFinalResponse);
  expected[static_cast<std::size_t>(Rule::RequestAccounting)] = 1;
  CHECK(violation_counts(run) == expected);
  CHECK(violation_counts(run, false) == std::array<std::uint64_t, kRuleCount>{}); // the run was stopped
}

TEST_CASE("a disabled rule is not judged and the others still are") {
  Spec spec = small_spec();
  spec.expectations.rules.no_lost_requests = false;
  const Plan plan = make_plan(spec);
  RuleChecker checker(spec, plan, 0);
  checker.on(RouterEvent{0, 0, RouterEvent::What::Crashed});
  const CheckResult findings = checker.finish();
  CHECK_FALSE(findings.rules[static_cast<std::size_t>(Rule::NoLostRequest)].enabled);
  CHECK_FALSE(findings.passed());
}

TEST_CASE("the checker's state is bounded by the open requests and not by the run length") {
  RecordScript s;
  std::size_t max_entries = 0;
  for (std::uint64_t request = 1; request <= 200000; ++request) { // 1,000 requests per second for 200 s
    const auto at = static_cast<double>(request);
    s.draw(at, request).send_try(at, request).arrive(at + 1, request, request, 0);
    if (request > 50)
      s.end_attempt(at, request - 50, ServerOutcome::Hit)
          .end_try(at, request - 50)
          .end_request(at, request - 50);
    max_entries = std::max(max_entries, s.checker.table_entries());
  }
  CHECK(max_entries < 13000); // tries of 5 s and requests of 1 s, 50 of them open
}
