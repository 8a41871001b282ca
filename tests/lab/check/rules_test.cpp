// Each rule is kept by a sound router and seen to be broken by a bad one: a table of short runs, told by hand.
#include <doctest/doctest.h>

#include <functional>

#include "support.h"

using namespace fernward::lab;
using namespace fernward::lab::test;

namespace {

using Run = std::function<void(Script&)>;

// How often each rule was broken.
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

// One request of a class with two attempts: the first ends as said, and the second comes to `machine`.
Run twice(std::uint32_t cls, Ending first, MachineId machine, double second_at = 200) {
  return [=](Script& s) {
    s.drawn(0, 1, cls).tried(0, 1).arrived(10, 1, 1, 0, cls).ended(100, 1, first);
    s.arrived(second_at, 2, 1, machine, cls).ended(second_at + 50, 2, Ending::Hit);
    s.answered(second_at + 60, 1).closed(second_at + 60, 1);
  };
}
// The same with the first attempt still out.
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

TEST_CASE("runs that keep every rule") {
  const struct {
    const char* what;
    Run run;
  } cases[] = {
      {"a plain request", twice(0, Ending::Miss, 3)},
      {"a safe request may run twice at once", both_out(0, 2)},
      {"a keyed one too, within its group", both_out(1, 2)},
      {"within its zone", both_out(2, 1)},
      {"turned away, it never ran", twice(4, Ending::Full, 2)},
      {"refused after it was turned away", refused_after(4, Ending::Draining)},
      {"keyed for all, it may be refused though it ran", refused_after(1, Ending::Error)},
      {"repeated within the window", twice(1, Ending::Error, 2, 900)},
      {"a router that was killed owes nothing",
       one_try([](Script& s) { s.router(100, 0, What::Killed); }, Heard::Broken, 101)},
      {"an answer that is still on its long way back",
       [](Script& s) {
         s.drawn(0, 1)
             .tried(60, 1, 0, true, 60)
             .answered(1570, 1, Heard::Silence)
             .closed(1570, 1, Heard::Silence, 0);
       }},
      {"nor does a silent one", one_try([](Script& s) { s.router(100, 0, What::Silent); }, Heard::Silence)},
      {"nor one that was silent meanwhile",
       one_try([](Script& s) { s.router(100, 0, What::Silent).router(900, 0, What::Returned); },
               Heard::Broken, 950)},
      {"what it never took",
       [](Script& s) {
         s.drawn(0, 1)
             .tried(0, 1, 0, false)
             .answered(5, 1, Heard::Unreachable)
             .closed(5, 1, Heard::Unreachable, 0);
       }},
      {"a client that leaves", one_try(nothing, Heard::Left, 300)},
      {"taken long after SIGTERM",
       [](Script& s) {
         s.router(0, 0, What::Term).drawn(800, 1).tried(800, 1).router(900, 0, What::Ended);
         s.answered(901, 1, Heard::Broken).closed(901, 1, Heard::Broken, 0);
       }},
      {"sent within the grace",
       [](Script& s) {
         s.told(100, 0, 0, kDraining)
             .drawn(300, 1)
             .tried(300, 1)
             .arrived(340, 1, 1, 0)
             .ended(350, 1, Ending::Hit);
         s.answered(360, 1).closed(360, 1);
       }},
      {"back in service",
       [](Script& s) {
         s.told(100, 0, 0, kGone).told(600, 0, 0, kReady).drawn(900, 1).tried(900, 1).arrived(910, 1, 1, 0);
         s.ended(920, 1, Ending::Hit).answered(930, 1).closed(930, 1);
       }},
      {"the successor at the address, asked by one that does not know yet",
       [](Script& s) {
         s.drawn(6000, 1).tried(6000, 1).arrived(6010, 1, 1, 4).ended(6020, 1, Ending::Hit);
         s.answered(6030, 1).closed(6030, 1);
       }},
      {"a warm node falls over", [](Script& s) { s.tipped(100, 0, false, 1); }},
      {"a cold one by routers that could not know", [](Script& s) { s.tipped(100, 0, true, 0.6); }},
      {"an attempt that its node saw before the client's side told of the try",
       [](Script& s) {
         s.drawn(0, 1, 4).arrived(5, 1, 1, 0, 4).ended(6, 1, Ending::Full).tried(7, 1);
         s.arrived(20, 2, 1, 1, 4).ended(30, 2, Ending::Hit).answered(40, 1).closed(40, 1);
       }},
      {"closed a moment before its try and its end are told",
       [](Script& s) { s.drawn(0, 1).closed(50, 1).tried(51, 1, 0, false).answered(51, 1, Heard::Silence); }},
      {"an attempt that came late on its way",
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

TEST_CASE("runs that break one rule") {
  const struct {
    const char* what;
    Rule rule;
    Run run;
  } cases[] = {
      {"answered twice", Rule::OneAnswer,
       [](Script& s) { s.drawn(0, 1).tried(0, 1).answered(50, 1).closed(50, 1).answered(60, 1); }},
      {"a surplus answer, as the lab marks it", Rule::OneAnswer,
       [](Script& s) {
         s.drawn(0, 1).tried(0, 1).answered(50, 1).closed(50, 1);
         Answered a;
         a.request = a.try_id = 1;
         a.surplus = true;
         s.checker.on(a);
       }},
      {"no answer by the deadline", Rule::NoLost, one_try(nothing, Heard::Silence)},
      {"ended without a whole answer", Rule::NoLost, one_try(nothing, Heard::Broken, 300)},
      {"answered after the grace", Rule::NoLost, one_try(nothing, Heard::Failed, 1700)},
      {"killed before it took the request, not after", Rule::NoLost,
       [](Script& s) {
         s.router(0, 0, What::Killed).router(100, 0, What::Started).drawn(200, 1).tried(200, 1);
         s.answered(1760, 1, Heard::Silence).closed(1760, 1, Heard::Silence, 0);
       }},
      {"taken soon after SIGTERM", Rule::NoLost,
       [](Script& s) {
         s.router(0, 0, What::Term).drawn(600, 1).tried(600, 1).router(900, 0, What::Ended);
         s.answered(901, 1, Heard::Broken).closed(901, 1, Heard::Broken, 0);
       }},
      {"unsafe, sent again after an error", Rule::Repeats, twice(4, Ending::Error, 0)},
      {"unsafe, sent again after the node was lost", Rule::Repeats, twice(4, Ending::Lost, 0)},
      {"unsafe, sent again, the first one seen before its try", Rule::Repeats,
       [](Script& s) {
         s.drawn(0, 1, 4).arrived(5, 1, 1, 0, 4).ended(6, 1, Ending::Error).tried(7, 1);
         s.arrived(20, 2, 1, 1, 4).ended(30, 2, Ending::Hit).answered(40, 1).closed(40, 1);
       }},
      {"unsafe, a second copy", Rule::Repeats, both_out(4, 0)},
      {"unsafe, refused though it ran", Rule::Repeats, refused_after(4, Ending::Hit)},
      {"keyed in a zone, refused though it may have run", Rule::Repeats, refused_after(2, Ending::Error)},
      {"keyed in a zone, repeated in another", Rule::Repeats, both_out(2, 2)},
      {"keyed in a cell, repeated in another", Rule::Repeats, both_out(3, 1)},
      {"keyed, repeated after its window", Rule::Repeats, twice(1, Ending::Error, 0, 1200)},
      {"unsafe, sent before it was refused and seen after", Rule::Repeats,
       [](Script& s) {
         s.drawn(0, 1, 4).tried(0, 1).answered(50, 1, Heard::Refused).closed(50, 1, Heard::Refused, 0);
         s.arrived(51, 1, 1, 0, 4).ended(80, 1, Ending::Hit);
       }},
      {"sent after its final answer", Rule::Repeats,
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
      {"for a request that never was", Rule::Repeats,
       [](Script& s) { s.arrived(100, 1, 77, 0).ended(110, 1, Ending::Hit); }},
      {"to a draining node after the grace", Rule::Drains,
       [](Script& s) {
         s.told(100, 0, 0, kDraining)
             .drawn(350, 1)
             .tried(350, 1)
             .arrived(402, 1, 1, 0)
             .ended(410, 1, Ending::Hit);
         s.answered(420, 1).closed(420, 1);
       }},
      {"told again that it is gone, the time goes on", Rule::Drains,
       [](Script& s) {
         s.told(100, 0, 0, kDraining)
             .told(350, 0, 0, kGone)
             .drawn(350, 1)
             .tried(350, 1)
             .arrived(402, 1, 1, 0);
         s.ended(410, 1, Ending::Hit).answered(420, 1).closed(420, 1);
       }},
      {"to the address of one that is gone", Rule::Drains,
       [](Script& s) {
         s.told(5600, 0, 1, kGone).drawn(6000, 1).tried(6000, 1).arrived(6010, 1, 1, 4);
         s.ended(6020, 1, Ending::Hit).answered(6030, 1).closed(6030, 1);
       }},
      {"a restarted router knows its own list only", Rule::Drains,
       [](Script& s) {
         s.router(100, 0, What::Killed).router(200, 0, What::Started).told(200, 0, 2, kReady);
         s.drawn(300, 1)
             .tried(300, 1)
             .arrived(310, 1, 1, 0)
             .ended(320, 1, Ending::Hit)
             .answered(330, 1)
             .closed(330, 1);
       }},
      {"pushed over by those who knew", Rule::ColdNodes, [](Script& s) { s.tipped(100, 0, true, 0.7); }},
      {"served with something else", Rule::Genuine,
       [](Script& s) { s.drawn(0, 1).tried(0, 1).answered(50, 1, Heard::Served, false).closed(50, 1); }},
      {"a crash", Rule::Alive, [](Script& s) { s.router(100, 1, What::Crashed); }},
      {"closed twice", Rule::Accounts,
       [](Script& s) { s.drawn(0, 1).tried(0, 1).answered(50, 1).closed(50, 1).closed(51, 1); }},
      {"never closed", Rule::Accounts, [](Script& s) { s.drawn(0, 1).tried(0, 1).answered(50, 1); }},
      {"closed while a try is open", Rule::Accounts,
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

TEST_CASE("no record of an answer at all") {
  const Run run = [](Script& s) { s.drawn(0, 1).tried(0, 1); };
  auto expected = only(Rule::OneAnswer);
  expected[static_cast<std::size_t>(Rule::Accounts)] = 1;
  CHECK(breaches(run) == expected);
  CHECK(breaches(run, false) == std::array<std::uint64_t, kRules>{}); // the run was stopped
}

TEST_CASE("a rule that is switched off is not judged, and the rest still is") {
  Spec spec = small_spec();
  spec.holds.rules.no_lost = false;
  const Plan plan = make_plan(spec);
  Checker checker(spec, plan, 0);
  checker.on(RouterEvent{0, 0, RouterEvent::What::Crashed});
  const Findings findings = checker.finish();
  CHECK_FALSE(findings.rules[static_cast<std::size_t>(Rule::NoLost)].judged);
  CHECK_FALSE(findings.kept());
}

TEST_CASE("what is remembered is bounded by what is open, not by the length") {
  Script s;
  std::size_t most = 0;
  for (std::uint64_t n = 1; n <= 200000; ++n) { // 1,000 a second for 200 s
    const auto at = static_cast<double>(n);
    s.drawn(at, n).tried(at, n).arrived(at + 1, n, n, 0);
    if (n > 50) s.ended(at, n - 50, Ending::Hit).answered(at, n - 50).closed(at, n - 50);
    most = std::max(most, s.checker.remembers());
  }
  CHECK(most < 13000); // 5 s of tries, 1 s of requests, 50 of them open
}
