// Decides when a sidecar starts, restarts and ends the router and the application, and how it reacts to
// signals. Has no access to processes or a clock: it receives events with the current time and returns
// actions, which the caller executes in order.
//
//  - Order: the application starts once the router is ready, and ends before it.
//  - A router that ends unexpectedly is restarted after a backoff that doubles up to a limit; the application
//    keeps running.
//  - When the application ends, the sidecar ends the router and exits with the application's exit code.
//
// Units: milliseconds on a clock that only advances. One thread.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace fernward::sidecar {

struct SupervisorSettings {
  // For the router to become ready at startup, before the application is started.
  double ready_timeout_ms = 10000;
  double stop_timeout_ms = 10000;  // for the application to end after a signal before it is killed
  double drain_timeout_ms = 10000; // the same for the router
  double restart_backoff_min_ms = 100, restart_backoff_max_ms = 10000;
  // After the router has been ready for this long, the restart backoff starts from its first value again.
  double backoff_reset_ms = 10000;
};

// ---- events ----

struct Start {};
struct RouterReady {};
struct RouterEnded {};
struct ApplicationEnded {
  int exit_code = 0; // as in a shell: 128 plus the signal number if a signal ended it
};
enum class Signal { Terminate, Interrupt, Reload }; // received by the sidecar
struct SignalReceived {
  Signal signal = Signal::Terminate;
};
struct TimerExpired {}; // the time returned by `next_deadline()` has come

using Event = std::variant<Start, RouterReady, RouterEnded, ApplicationEnded, SignalReceived, TimerExpired>;

// ---- actions ----

enum class Action {
  StartRouter,
  StartApplication,
  TerminateRouter, // graceful shutdown: active requests are completed first
  ReloadRouter,
  KillRouter,
  TerminateApplication, // the received signal is forwarded
  InterruptApplication,
  KillApplication,
  Exit // the sidecar exits with exit_code()
};

class Supervisor {
 public:
  explicit Supervisor(const SupervisorSettings& settings)
      : settings_(settings), restart_backoff_ms_(settings.restart_backoff_min_ms) {}

  void on_event(double now_ms, const Event& event, std::vector<Action>& actions);
  std::optional<double> next_deadline() const; // when the next TimerExpired is due; empty: none
  int exit_code() const { return exit_code_; }
  std::uint64_t router_restarts() const { return router_restarts_; }
  bool router_never_ready() const { return router_never_ready_; }

 private:
  enum class RouterState {
    NotStarted,
    Starting,
    Ready,
    Backoff,
    Stopping,
    Stopped
  } router_state_ = RouterState::NotStarted;
  enum class ApplicationState {
    NotStarted,
    Running,
    Stopping,
    Stopped
  } application_state_ = ApplicationState::NotStarted;

  void start(double now_ms, std::vector<Action>& actions);
  void router_ready(double now_ms, std::vector<Action>& actions);
  void router_ended(double now_ms, std::vector<Action>& actions);
  void application_ended(double now_ms, int application_exit_code, std::vector<Action>& actions);
  void signal_received(double now_ms, Signal signal, std::vector<Action>& actions);
  void timer_expired(double now_ms, std::vector<Action>& actions);
  void stop_router(double now_ms, std::vector<Action>& actions);

  SupervisorSettings settings_;
  // Pending deadlines, in ms; none: not pending.
  std::optional<double> ready_deadline_;      // end of the wait for the router's first readiness
  std::optional<double> restart_at_;          // restart of the router after its backoff
  std::optional<double> kill_application_at_; // the application has been asked to end
  std::optional<double> kill_router_at_;      // the router has been asked to end
  double router_ready_at_ = 0, restart_backoff_ms_;
  int exit_code_ = 0;
  std::uint64_t router_restarts_ = 0;
  bool router_never_ready_ = false, reload_pending_ = false;
};

} // namespace fernward::sidecar
