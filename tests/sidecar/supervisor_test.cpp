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

const char* action_name(Action action) {
  constexpr const char* kActionNames[] = {"router",    "application", "end-router", "reload", "kill-router",
                                          "terminate", "interrupt",   "kill",       "end"};
  return kActionNames[static_cast<std::size_t>(action)];
}

// Runs a sequence of events and returns the actions. Events are letters: b begin, r ready, x router ended,
// a application ended with code 7, T/I/H the signals SIGTERM, SIGINT, SIGHUP; "+N" advances the time by N ms.
std::string run_events(const std::string& events, int* code = nullptr) {
  SupervisorSettings settings;
  settings.ready_timeout_ms = 1000, settings.stop_timeout_ms = 500, settings.drain_timeout_ms = 800,
  settings.restart_backoff_min_ms = 100, settings.restart_backoff_max_ms = 400;
  settings.backoff_reset_ms = 2000;
  Supervisor supervisor(settings);
  std::string performed;
  double now = 0;
  const auto handle = [&](const Event& event) {
    std::vector<Action> actions;
    supervisor.on_event(now, event, actions);
    for (const Action action : actions)
      performed += (performed.empty() ? "" : " ") + std::string(action_name(action));
  };
  for (std::size_t i = 0; i < events.size(); ++i) {
    switch (events[i]) {
      case 'b': handle(Start{}); break;
      case 'r': handle(RouterReady{}); break;
      case 'x': handle(RouterEnded{}); break;
      case 'a': handle(ApplicationEnded{7}); break;
      case 'T': handle(SignalReceived{Signal::Terminate}); break;
      case 'I': handle(SignalReceived{Signal::Interrupt}); break;
      case 'H': handle(SignalReceived{Signal::Reload}); break;
      case '+': {
        const double end_time = now + std::stod(events.substr(i + 1));
        while (supervisor.next_deadline() && *supervisor.next_deadline() <= end_time) {
          now = *supervisor.next_deadline();
          handle(TimerExpired{});
        }
        now = end_time;
        while (i + 1 < events.size() && std::isdigit(events[i + 1])) ++i;
        performed += performed.empty() ? "|" : " |";
        break;
      }
      default: break;
    }
  }
  if (code != nullptr) *code = supervisor.exit_code();
  return performed;
}

} // namespace

// Guards against a wrong order of actions when the application ends, the router crashes or signals arrive.
TEST_CASE("stories") {
  const struct {
    const char* description;
    std::string events, actions;
    int exit_code;
  } cases[] = {
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
  for (const auto& test_case : cases) {
    CAPTURE(test_case.description);
    int exit_code = -1;
    CHECK(run_events(test_case.events, &exit_code) == test_case.actions);
    CHECK(exit_code == test_case.exit_code);
  }
}

// Guards against an application that is started without a ready router, a router that ends before its
// application, and a sidecar that never ends.
TEST_CASE("invariants hold for any sequence of events") {
  CHECK(rc::check("order", [] {
    SupervisorSettings settings;
    Supervisor supervisor(settings);
    double now = 0;
    bool router_running = false, router_ready = false, application_running = false,
         application_started = false, exited = false, stop_requested = false;
    int exit_count = 0;
    double stop_requested_at = 1e18;
    const auto handle = [&](const Event& event) {
      std::vector<Action> actions;
      supervisor.on_event(now, event, actions);
      for (const Action action : actions) {
        RC_ASSERT(exit_count == 0); // no action after Exit
        switch (action) {
          case Action::StartRouter:
            RC_ASSERT(!router_running);
            router_running = true, router_ready = false;
            break;
          case Action::StartApplication:
            RC_ASSERT(router_ready && !application_started);
            application_running = application_started = true;
            break;
          case Action::TerminateRouter:
            RC_ASSERT(router_running && !application_running); // the application ends first
            break;
          case Action::ReloadRouter: RC_ASSERT(router_running && router_ready); break;
          case Action::KillRouter: RC_ASSERT(router_running && stop_requested); break;
          case Action::TerminateApplication:
          case Action::InterruptApplication:
          case Action::KillApplication:
            RC_ASSERT(application_running && stop_requested);
            if (action == Action::KillApplication)
              RC_ASSERT(now >= stop_requested_at + settings.stop_timeout_ms);
            break;
          case Action::Exit:
            RC_ASSERT(!router_running && !application_running);
            ++exit_count;
            exited = true;
        }
        if (action == Action::TerminateRouter) stop_requested = true;
      }
    };
    handle(Start{});
    const auto steps = *rc::gen::inRange(0, 60);
    for (int i = 0; i < steps && !exited; ++i) {
      now += *rc::gen::inRange(0, 4000);
      if (supervisor.next_deadline() && *supervisor.next_deadline() <= now) handle(TimerExpired{});
      if (exited) break;
      switch (*rc::gen::inRange(0, 7)) {
        case 0:
          if (router_running) router_ready = true, handle(RouterReady{});
          break;
        case 1:
          if (router_running) router_running = router_ready = false, handle(RouterEnded{});
          break;
        case 2:
          if (application_running) application_running = false, handle(ApplicationEnded{3});
          break;
        case 3:
          stop_requested = true,
          stop_requested_at = std::min(stop_requested_at, application_running ? now : 1e18),
          handle(SignalReceived{Signal::Terminate});
          break;
        case 4:
          stop_requested = true,
          stop_requested_at = std::min(stop_requested_at, application_running ? now : 1e18),
          handle(SignalReceived{Signal::Interrupt});
          break;
        case 5: handle(SignalReceived{Signal::Reload}); break;
        default: handle(TimerExpired{});
      }
    }
    // From any state the sidecar ends, provided that the processes react to the signals.
    if (!exited)
      stop_requested = true,
      stop_requested_at = std::min(stop_requested_at, application_running ? now : 1e18),
      handle(SignalReceived{Signal::Terminate});
    for (int i = 0; i < 10 && !exited; ++i) {
      if (application_running) application_running = false, handle(ApplicationEnded{3});
      if (!exited && router_running) router_running = router_ready = false, handle(RouterEnded{});
      if (!exited && supervisor.next_deadline())
        now = std::max(now, *supervisor.next_deadline()), handle(TimerExpired{});
    }
    RC_ASSERT(exited && exit_count == 1);
  }));
}
