// Tables of short runs, written as records by hand: each rule holds for a correct router and is broken by a
// faulty one. Guards against a rule that reports correct behavior or misses a fault.
#include <doctest/doctest.h>

#include <functional>

#include "support.h"

using namespace fernward::lab;
using namespace fernward::lab::test;

namespace {

using Run = std::function<void(Script&)>;

// Returns the number of breaches of each rule.
std::array<std::uint64_t, kRules> breaches(const Run& run, bool whole = true) {
  Script script;
  run(script);
  const Findings findings = script.checker.finish(whole);
  std::array<std::uint64_t, kRules> all{};
  for (std::size_t i = 0; i < kRules; ++i) {
    all[i] = findings.rules[i].breaches;
  }
  return all;
}

std::array<std::uint64_t, kRules> only(Rule rule, std::uint64_t count = 1) {
  std::array<std::uint64_t, kRules> all{};
  all[static_cast<std::size_t>(rule)] = count;
  return all;
}

constexpr auto kReady = ServerState::Ready;
constexpr auto kDraining = ServerState::Draining;
constexpr auto kGone = ServerState::Gone;
using What = RouterEvent::What;

// One request with two attempts: the first ends with `first_ending`, then the second arrives at `machine`.
Run twice(std::uint32_t cls, Ending first, MachineId machine, double second_at = 200) {
  return [=](Script& s) {
    s.drawn(0, 1, cls).tried(0, 1).arrived(10, 1, 1, 0, cls).ended(100, 1, first);
    s.arrived(second_at, 2, 1, machine, cls).ended(second_at + 50, 2, Ending::Hit);
    s.answered(second_at + 60, 1).closed(second_at + 60, 1);
  };
}
// The same, but the second attempt arrives while the first is still open.
Run both_out(std::uint32_t cls, MachineId machine) {
  return [=](Script& s) {
    s.drawn(0, 1, cls).tried(0, 1).arrived(10, 1, 1, 0, cls).arrived(20, 2, 1, machine, cls);
    s.answered(60, 1).closed(60, 1).ended(70, 1, Ending::Hit).ended(80, 2, Ending::Hit);
  };
}
Run refused_after(std::uint32_t cls, Ending first) {
  return [=](Script& s) {
    s.drawn(0, 1, cls).tried(0, 1).arrived(10, 1, 1, 0, cls).ended(100, 1, first);
    s.answered(150, 1, Heard::Refused).closed(150, 1, Heard::Refused, 0);
  };
}
Run one_try(const std::function<void(Script&)>& meanwhile, Heard heard, double at = 1560) {
  return [=](Script& s) {
    s.drawn(0, 1).tried(0, 1);
    meanwhile(s);
    s.answered(at, 1, heard).closed(at, 1, heard, 0);
  };
}
void nothing(Script&) {}

} // namespace

TEST_CASE("runs that keep every rule have no breach") {
  const struct {
    const char* what;
    Run run;
  } cases[] = {
      {"a plain request", twice(0, Ending::Miss, 3)},
      {"a safe request may run twice concurrently", both_out(0, 2)},
      {"a request with an idempotency key may run twice, within its scope", both_out(1, 2)},
      {"with an idempotency key for a zone, twice within the zone", both_out(2, 1)},
      {"an unsafe request is retried after a node rejected it unprocessed", twice(4, Ending::Full, 2)},
      {"refused after a draining node rejected it", refused_after(4, Ending::Draining)},
      {"with an idempotency key for all nodes, refused although it may have run",
       refused_after(1, Ending::Error)},
      {"retried within the idempotency window", twice(1, Ending::Error, 2, 900)},
      {"a killed router owes no response",
       one_try([](Script& s) { s.router(100, 0, What::Killed); }, Heard::Broken, 101)},
      {"a response still on a slow path back",
       [](Script& s) {
         s.drawn(0, 1)
             .tried(60, 1, 0, true, 60)
             .answered(1570, 1, Heard::Silence)
             .closed(1570, 1, Heard::Silence, 0);
       }},
      {"a silent router owes no response",
       one_try([](Script& s) { s.router(100, 0, What::Silent); }, Heard::Silence)},
      {"a router that was silent during the try owes no response",
       one_try([](Script& s) { s.router(100, 0, What::Silent).router(900, 0, What::Returned); },
               Heard::Broken, 950)},
      {"a try that the router did not accept",
       [](Script& s) {
         s.drawn(0, 1)
             .tried(0, 1, 0, false)
             .answered(5, 1, Heard::Unreachable)
             .closed(5, 1, Heard::Unreachable, 0);
       }},
      {"a client that disconnects", one_try(nothing, Heard::Left, 300)},
      {"accepted long after SIGTERM",
       [](Script& s) {
         s.router(0, 0, What::Term).drawn(800, 1).tried(800, 1).router(900, 0, What::Ended);
         s.answered(901, 1, Heard::Broken).closed(901, 1, Heard::Broken, 0);
       }},
      {"sent to a draining node within the grace period",
       [](Script& s) {
         s.told(100, 0, 0, kDraining)
             .drawn(300, 1)
             .tried(300, 1)
             .arrived(340, 1, 1, 0)
             .ended(350, 1, Ending::Hit);
         s.answered(360, 1).closed(360, 1);
       }},
      {"sent to a node that is ready again",
       [](Script& s) {
         s.told(100, 0, 0, kGone).told(600, 0, 0, kReady).drawn(900, 1).tried(900, 1).arrived(910, 1, 1, 0);
         s.ended(920, 1, Ending::Hit).answered(930, 1).closed(930, 1);
       }},
      {"sent to the replacement at the address by a router not yet notified",
       [](Script& s) {
         s.drawn(6000, 1).tried(6000, 1).arrived(6010, 1, 1, 4).ended(6020, 1, Ending::Hit);
         s.answered(6030, 1).closed(6030, 1);
       }},
      {"a warm node is overloaded until it fails", [](Script& s) { s.tipped(100, 0, false, 1); }},
      {"a cold node fails under load from routers not notified of its start",
       [](Script& s) { s.tipped(100, 0, true, 0.6); }},
      {"an attempt recorded by the node before the client records the try",
       [](Script& s) {
         s.drawn(0, 1, 4).arrived(5, 1, 1, 0, 4).ended(6, 1, Ending::Full).tried(7, 1);
         s.arrived(20, 2, 1, 1, 4).ended(30, 2, Ending::Hit).answered(40, 1).closed(40, 1);
       }},
      {"closed just before its try and its end are recorded",
       [](Script& s) { s.drawn(0, 1).closed(50, 1).tried(51, 1, 0, false).answered(51, 1, Heard::Silence); }},
      {"an attempt delayed by the network beyond the retention of its try",
       [](Script& s) {
         s.drawn(0, 1).tried(0, 1).answered(50, 1).closed(50, 1).drawn(9000, 2).tried(9000, 2);
         s.answered(9050, 2).closed(9050, 2);
         Arrived late;
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
    CHECK(breaches(c.run) == std::array<std::uint64_t, kRules>{});
  }
}

TEST_CASE("runs that break one rule have breaches of that rule only") {
  const struct {
    const char* what;
    Rule rule;
    Run run;
  } cases[] = {
      {"answered twice", Rule::OneAnswer,
       [](Script& s) { s.drawn(0, 1).tried(0, 1).answered(50, 1).closed(50, 1).answered(60, 1); }},
      {"an answer that the lab marked as surplus", Rule::OneAnswer,
       [](Script& s) {
         s.drawn(0, 1).tried(0, 1).answered(50, 1).closed(50, 1);
         Answered a;
         a.request = a.try_id = 1;
         a.surplus = true;
         s.checker.on(a);
       }},
      {"no answer by the deadline", Rule::NoLost, one_try(nothing, Heard::Silence)},
      {"ended without a complete response", Rule::NoLost, one_try(nothing, Heard::Broken, 300)},
      {"answered after the grace period", Rule::NoLost, one_try(nothing, Heard::Failed, 1700)},
      {"killed before it accepted the request, not after", Rule::NoLost,
       [](Script& s) {
         s.router(0, 0, What::Killed).router(100, 0, What::Started).drawn(200, 1).tried(200, 1);
         s.answered(1760, 1, Heard::Silence).closed(1760, 1, Heard::Silence, 0);
       }},
      {"accepted soon after SIGTERM", Rule::NoLost,
       [](Script& s) {
         s.router(0, 0, What::Term).drawn(600, 1).tried(600, 1).router(900, 0, What::Ended);
         s.answered(901, 1, Heard::Broken).closed(901, 1, Heard::Broken, 0);
       }},
      {"unsafe, retried after an error", Rule::Repeats, twice(4, Ending::Error, 0)},
      {"unsafe, retried after the node was lost", Rule::Repeats, twice(4, Ending::Lost, 0)},
      {"unsafe, retried, the first attempt recorded before its try", Rule::Repeats,
       [](Script& s) {
         s.drawn(0, 1, 4).arrived(5, 1, 1, 0, 4).ended(6, 1, Ending::Error).tried(7, 1);
         s.arrived(20, 2, 1, 1, 4).ended(30, 2, Ending::Hit).answered(40, 1).closed(40, 1);
       }},
      {"unsafe, a second concurrent attempt", Rule::Repeats, both_out(4, 0)},
      {"unsafe, refused although it ran", Rule::Repeats, refused_after(4, Ending::Hit)},
      {"idempotency key for a zone, refused although it may have run", Rule::Repeats,
       refused_after(2, Ending::Error)},
      {"idempotency key for a zone, repeated in another", Rule::Repeats, both_out(2, 2)},
      {"idempotency key for a cell, repeated in another", Rule::Repeats, both_out(3, 1)},
      {"idempotency key, retried after its window", Rule::Repeats, twice(1, Ending::Error, 0, 1200)},
      {"unsafe, sent before it was refused and arrived after", Rule::Repeats,
       [](Script& s) {
         s.drawn(0, 1, 4).tried(0, 1).answered(50, 1, Heard::Refused).closed(50, 1, Heard::Refused, 0);
         s.arrived(51, 1, 1, 0, 4).ended(80, 1, Ending::Hit);
       }},
      {"sent after its final response", Rule::Repeats,
       [](Script& s) {
         s.drawn(0, 1)
             .tried(0, 1)
             .answered(50, 1)
             .closed(50, 1)
             .arrived(200, 1, 1, 0)
             .ended(201, 1, Ending::Hit);
       }},
      {"more attempts than allowed", Rule::Repeats,
       [](Script& s) {
         s.drawn(0, 1).tried(0, 1);
         for (AttemptId i = 1; i <= 6; ++i)
           s.arrived(10.0 * static_cast<double>(i), i, 1, 0)
               .ended(10.0 * static_cast<double>(i) + 5, i, Ending::Full);
         s.answered(100, 1).closed(100, 1);
       }},
      {"an attempt for an unknown request", Rule::Repeats,
       [](Script& s) { s.arrived(100, 1, 77, 0).ended(110, 1, Ending::Hit); }},
      {"sent to a draining node after the grace period", Rule::Drains,
       [](Script& s) {
         s.told(100, 0, 0, kDraining)
             .drawn(350, 1)
             .tried(350, 1)
             .arrived(402, 1, 1, 0)
             .ended(410, 1, Ending::Hit);
         s.answered(420, 1).closed(420, 1);
       }},
      {"a later notification that it is gone does not restart the grace period", Rule::Drains,
       [](Script& s) {
         s.told(100, 0, 0, kDraining)
             .told(350, 0, 0, kGone)
             .drawn(350, 1)
             .tried(350, 1)
             .arrived(402, 1, 1, 0);
         s.ended(410, 1, Ending::Hit).answered(420, 1).closed(420, 1);
       }},
      {"sent to the address of a node that is gone", Rule::Drains,
       [](Script& s) {
         s.told(5600, 0, 1, kGone).drawn(6000, 1).tried(6000, 1).arrived(6010, 1, 1, 4);
         s.ended(6020, 1, Ending::Hit).answered(6030, 1).closed(6030, 1);
       }},
      {"a restarted router may use only the endpoints listed since its start", Rule::Drains,
       [](Script& s) {
         s.router(100, 0, What::Killed).router(200, 0, What::Started).told(200, 0, 2, kReady);
         s.drawn(300, 1)
             .tried(300, 1)
             .arrived(310, 1, 1, 0)
             .ended(320, 1, Ending::Hit)
             .answered(330, 1)
             .closed(330, 1);
       }},
      {"a cold node fails under load from routers notified of its start", Rule::ColdNodes,
       [](Script& s) { s.tipped(100, 0, true, 0.7); }},
      {"served with another value", Rule::Genuine,
       [](Script& s) { s.drawn(0, 1).tried(0, 1).answered(50, 1, Heard::Served, false).closed(50, 1); }},
      {"a crash", Rule::Alive, [](Script& s) { s.router(100, 1, What::Crashed); }},
      {"closed twice", Rule::Accounts,
       [](Script& s) { s.drawn(0, 1).tried(0, 1).answered(50, 1).closed(50, 1).closed(51, 1); }},
      {"never closed", Rule::Accounts, [](Script& s) { s.drawn(0, 1).tried(0, 1).answered(50, 1); }},
      {"a request closed while a try is open", Rule::Accounts,
       [](Script& s) {
         s.drawn(0, 1).tried(0, 1).closed(40, 1).drawn(1100, 2).answered(1101, 1).closed(1102, 2);
       }},
  };
  for (const auto& c : cases) {
    const std::string what = c.what;
    CAPTURE(what);
    CHECK(breaches(c.run) == only(c.rule));
  }
}

TEST_CASE("a request without any answer record breaks two rules") {
  const Run run = [](Script& s) { s.drawn(0, 1).tried(0, 1); };
  auto expected = only(Rule::OneAnswer);
  expected[static_cast<std::size_t>(Rule::Accounts)] = 1;
  CHECK(breaches(run) == expected);
  CHECK(breaches(run, false) == std::array<std::uint64_t, kRules>{}); // the run was stopped
}

TEST_CASE("a disabled rule is not judged and the others still are") {
  Spec spec = small_spec();
  spec.holds.rules.no_lost = false;
  const Plan plan = make_plan(spec);
  Checker checker(spec, plan, 0);
  checker.on(RouterEvent{0, 0, RouterEvent::What::Crashed});
  const Findings findings = checker.finish();
  CHECK_FALSE(findings.rules[static_cast<std::size_t>(Rule::NoLost)].judged);
  CHECK_FALSE(findings.kept());
}

TEST_CASE("the checker's state is bounded by the open requests and not by the run length") {
  Script s;
  std::size_t most = 0;
  for (std::uint64_t n = 1; n <= 200000; ++n) { // 1,000 requests per second for 200 s
    const auto at = static_cast<double>(n);
    s.drawn(at, n).tried(at, n).arrived(at + 1, n, n, 0);
    if (n > 50) s.ended(at, n - 50, Ending::Hit).answered(at, n - 50).closed(at, n - 50);
    most = std::max(most, s.checker.remembers());
  }
  CHECK(most < 13000); // 5 s of tries, 1 s of requests, 50 of them open
}
