// Tests of the sidecar's decisions: event sequences with their expected actions, and properties of any
// sequence.
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

// Runs a sequence of events and returns the actions. Events are letters: b begin, r ready, x router ended,
// a application ended with code 7, T/I/H the signals SIGTERM, SIGINT, SIGHUP; "+N" advances the time by N ms.
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
      {"a signal is sent to the application first", "brTax", "router application terminate end-router end",
       7},
      {"an application that ignores the signal is killed at the timeout", "brT+499+1ax",
       "router application terminate | kill | end-router end", 7},
      {"an interrupt is forwarded as an interrupt", "brIax", "router application interrupt end-router end",
       7},
      {"a second signal is forwarded without extending the timeout", "brT+300T+200ax",
       "router application terminate | terminate kill | end-router end", 7},
      {"a router that does not end is killed", "bra+800x", "router application end-router kill-router | end",
       7},
      {"a crashed router is restarted after a backoff that doubles", "brx+100x+199+1x+400x+400r",
       "router application router | | router | router | router |", 0},
      {"a crash after a long ready time resets the backoff", "brx+100x+200r+2500x+100",
       "router application router | router | | router |", 0},
      {"SIGTERM before the application has started", "bTx", "router end-router end", 143},
      {"SIGINT before the application has started", "bIx", "router end-router end", 130},
      {"SIGTERM while the router waits for its restart", "bxT", "router end", 143},
      {"the router is never ready: the application is not started", "b+1000x", "router end-router | end", 1},
      {"the router crashes at every start and is never ready", "bx+100x+200x+400x+300",
       "router router | router | router | end |", 1},
      {"a reload is forwarded, an early one once the router is ready", "bHrH",
       "router reload application reload", 0},
      {"reload while the router is down: it reads the file when it starts", "brxH+100r",
       "router application router |", 0},
      {"the router crashes while the application is ending", "brTx+100r+400ax",
       "router application terminate router | kill | end-router end", 7},
      {"the application ends while the router is down", "brxa", "router application end", 7},
  };
  for (const auto& row : rows) {
    CAPTURE(row.what);
    int code = -1;
    CHECK(played(row.events, &code) == row.actions);
    CHECK(code == row.code);
  }
}

// Guards against an application that is started without a ready router, a router that ends before its
// application, and a sidecar that never ends.
TEST_CASE("invariants hold for any sequence of events") {
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
        RC_ASSERT(ends == 0); // no action after End
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
            RC_ASSERT(router && !application); // the application ends first
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
    // From any state the sidecar ends, provided that the processes react to the signals.
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
