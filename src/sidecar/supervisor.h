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

struct Rules {
  double ready_ms = 10000; // for the router to become ready at startup, before the application is started
  double stop_ms = 10000;  // for the application to end after a signal before it is killed
  double drain_ms = 10000; // the same for the router
  double restart_first_ms = 100, restart_most_ms = 10000;
  // After the router has been ready for this long, the restart backoff starts from its first value again.
  double steady_ms = 10000;
};

// ---- events ----

struct Begin {};
struct RouterReady {};
struct RouterEnded {};
struct ApplicationEnded {
  int code = 0; // as in a shell: 128 plus the signal number if a signal ended it
};
enum class Signal { Terminate, Interrupt, Reload }; // received by the sidecar
struct Signalled {
  Signal signal = Signal::Terminate;
};
struct Tick {}; // the time returned by `next_deadline()` has come

using Event = std::variant<Begin, RouterReady, RouterEnded, ApplicationEnded, Signalled, Tick>;

// ---- actions ----

enum class Do {
  StartRouter,
  StartApplication,
  TerminateRouter, // graceful shutdown: active requests are completed first
  ReloadRouter,
  KillRouter,
  TerminateApplication, // the received signal is forwarded
  InterruptApplication,
  KillApplication,
  End // the sidecar exits with exit_code()
};

class Supervisor {
 public:
  explicit Supervisor(const Rules& rules) : rules_(rules), wait_ms_(rules.restart_first_ms) {}

  void on(double now, const Event& event, std::vector<Do>& actions);
  std::optional<double> next() const; // when the next TimerExpired is due; empty: none
  int code() const { return code_; }
  std::uint64_t restarts() const { return restarts_; }
  bool never_ready() const { return never_ready_; }

 private:
  enum class Router { Off, Starting, Ready, Waiting, Ending, Gone } router_ = Router::Off;
  enum class Application { Before, Running, Ending, Gone } application_ = Application::Before;

  void begin(double now, std::vector<Do>& actions);
  void ready(double now, std::vector<Do>& actions);
  void router_ended(double now, std::vector<Do>& actions);
  void application_ended(double now, int code, std::vector<Do>& actions);
  void signalled(double now, Signal signal, std::vector<Do>& actions);
  void tick(double now, std::vector<Do>& actions);
  void end_router(double now, std::vector<Do>& actions);

  Rules rules_;
  // Pending deadlines.
  std::optional<double> give_up_at_;          // end of the wait for the router's first readiness
  std::optional<double> start_at_;            // restart of the router after its backoff
  std::optional<double> kill_application_at_; // the application has been asked to end
  std::optional<double> kill_router_at_;      // the router has been asked to end
  double ready_at_ = 0, wait_ms_;
  int code_ = 0;
  std::uint64_t restarts_ = 0;
  bool never_ready_ = false, reload_due_ = false;
};

} // namespace fernward::sidecar
