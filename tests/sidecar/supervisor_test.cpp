// What a sidecar decides: stories as tables, and what holds over any sequence of events.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <string>
#include <vector>

#include "sidecar/supervisor.h"

using namespace fernward::sidecar;

namespace {

const char* word(Do action) {
  constexpr const char* kWords[] = {"router",    "application", "end-router", "reload", "kill-router",
                                    "terminate", "interrupt",   "kill",       "end"};
  return kWords[static_cast<std::size_t>(action)];
}

// Events as letters: b begin, r ready, x router ended, a application ended with 7, T, I, H signals, and "+N" for N ms.
std::string played(const std::string& events, int* code = nullptr) {
  Rules rules;
  rules.ready_ms = 1000, rules.stop_ms = 500, rules.drain_ms = 800, rules.restart_first_ms = 100,
  rules.restart_most_ms = 400;
  rules.steady_ms = 2000;
  Supervisor supervisor(rules);
  std::string said;
  double now = 0;
  const auto take = [&](const Event& event) {
    std::vector<Do> actions;
    supervisor.on(now, event, actions);
    for (const Do action : actions) said += (said.empty() ? "" : " ") + std::string(word(action));
  };
  for (std::size_t i = 0; i < events.size(); ++i) {
    switch (events[i]) {
      case 'b': take(Begin{}); break;
      case 'r': take(RouterReady{}); break;
      case 'x': take(RouterEnded{}); break;
      case 'a': take(ApplicationEnded{7}); break;
      case 'T': take(Signalled{Signal::Terminate}); break;
      case 'I': take(Signalled{Signal::Interrupt}); break;
      case 'H': take(Signalled{Signal::Reload}); break;
      case '+': {
        const double end = now + std::stod(events.substr(i + 1));
        while (supervisor.next() && *supervisor.next() <= end) {
          now = *supervisor.next();
          take(Tick{});
        }
        now = end;
        while (i + 1 < events.size() && std::isdigit(events[i + 1])) ++i;
        said += said.empty() ? "|" : " |";
        break;
      }
      default: break;
    }
  }
  if (code != nullptr) *code = supervisor.code();
  return said;
}

} // namespace

TEST_CASE("stories") {
  const struct {
    const char* what;
    std::string events, actions;
    int code;
  } rows[] = {
      {"the application ends: the router drains after it", "brax", "router application end-router end", 7},
      {"a signal goes to the application first", "brTax", "router application terminate end-router end", 7},
      {"one that ignores it is killed in time", "brT+499+1ax",
       "router application terminate | kill | end-router end", 7},
      {"an interrupt is passed on as one", "brIax", "router application interrupt end-router end", 7},
      {"a second signal goes on too, and the time stays", "brT+300T+200ax",
       "router application terminate | terminate kill | end-router end", 7},
      {"a router that hangs at its end is killed", "bra+800x",
       "router application end-router kill-router | end", 7},
      {"a crash: started again after a wait that doubles", "brx+100x+199+1x+400x+400r",
       "router application router | | router | router | router |", 0},
      {"a steady router's crash counts as the first", "brx+100x+200r+2500x+100",
       "router application router | router | | router |", 0},
      {"SIGTERM before the application has begun", "bTx", "router end-router end", 143},
      {"interrupted there", "bIx", "router end-router end", 130},
      {"SIGTERM while a router that crashed waits", "bxT", "router end", 143},
      {"never ready: the application is not begun", "b+1000x", "router end-router | end", 1},
      {"crashes at once each time, and never ready", "bx+100x+200x+400x+300",
       "router router | router | router | end |", 1},
      {"reload, and one that comes too early", "bHrH", "router reload application reload", 0},
      {"reload while it is down: it reads the file as it starts", "brxH+100r", "router application router |",
       0},
      {"the router ends while the application is ending", "brTx+100r+400ax",
       "router application terminate router | kill | end-router end", 7},
      {"and the application's end finds it down", "brxa", "router application end", 7},
  };
  for (const auto& row : rows) {
    CAPTURE(row.what);
    int code = -1;
    CHECK(played(row.events, &code) == row.actions);
    CHECK(code == row.code);
  }
}

// guards: an application without a router, a router that goes before its application, a sidecar that never ends
TEST_CASE("whatever happens in whatever order") {
  CHECK(rc::check("order", [] {
    Rules rules;
    Supervisor supervisor(rules);
    double now = 0;
    bool router = false, ready = false, application = false, began = false, over = false,
         asked_to_end = false;
    int ends = 0;
    double asked_at = 1e18;
    const auto take = [&](const Event& event) {
      std::vector<Do> actions;
      supervisor.on(now, event, actions);
      for (const Do action : actions) {
        RC_ASSERT(ends == 0); // nothing after the end
        switch (action) {
          case Do::StartRouter:
            RC_ASSERT(!router);
            router = true, ready = false;
            break;
          case Do::StartApplication:
            RC_ASSERT(ready && !began);
            application = began = true;
            break;
          case Do::TerminateRouter:
            RC_ASSERT(router && !application); // the application goes first
            break;
          case Do::ReloadRouter: RC_ASSERT(router && ready); break;
          case Do::KillRouter: RC_ASSERT(router && asked_to_end); break;
          case Do::TerminateApplication:
          case Do::InterruptApplication:
          case Do::KillApplication:
            RC_ASSERT(application && asked_to_end);
            if (action == Do::KillApplication) RC_ASSERT(now >= asked_at + rules.stop_ms);
            break;
          case Do::End:
            RC_ASSERT(!router && !application);
            ++ends;
            over = true;
        }
        if (action == Do::TerminateRouter) asked_to_end = true;
      }
    };
    take(Begin{});
    const auto steps = *rc::gen::inRange(0, 60);
    for (int i = 0; i < steps && !over; ++i) {
      now += *rc::gen::inRange(0, 4000);
      if (supervisor.next() && *supervisor.next() <= now) take(Tick{});
      if (over) break;
      switch (*rc::gen::inRange(0, 7)) {
        case 0:
          if (router) ready = true, take(RouterReady{});
          break;
        case 1:
          if (router) router = ready = false, take(RouterEnded{});
          break;
        case 2:
          if (application) application = false, take(ApplicationEnded{3});
          break;
        case 3:
          asked_to_end = true, asked_at = std::min(asked_at, application ? now : 1e18),
          take(Signalled{Signal::Terminate});
          break;
        case 4:
          asked_to_end = true, asked_at = std::min(asked_at, application ? now : 1e18),
          take(Signalled{Signal::Interrupt});
          break;
        case 5: take(Signalled{Signal::Reload}); break;
        default: take(Tick{});
      }
    }
    // From anywhere it comes to its end, when the processes do as they are told.
    if (!over)
      asked_to_end = true, asked_at = std::min(asked_at, application ? now : 1e18),
      take(Signalled{Signal::Terminate});
    for (int i = 0; i < 10 && !over; ++i) {
      if (application) application = false, take(ApplicationEnded{3});
      if (!over && router) router = ready = false, take(RouterEnded{});
      if (!over && supervisor.next()) now = std::max(now, *supervisor.next()), take(Tick{});
    }
    RC_ASSERT(over && ends == 1);
  }));
}
