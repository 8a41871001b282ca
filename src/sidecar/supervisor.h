// Decides what a sidecar does: when the router and the application start, restart and end, and what a signal
// means. No processes, no clock: events with `now` in, actions out, to be carried out in order.
//
//  - Order: the application starts once the router is ready, and ends before it.
//  - A router that ends by itself is started again, after a wait that doubles up to a bound; the application
//    goes on.
//  - An application that ends, ends the whole, with its exit code.
//
// Units: milliseconds on a clock that only advances. One thread.
#pragma once

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace fernward::sidecar {

struct Rules {
  double ready_ms = 10000; // for the router to be ready at the start; the application has not begun then
  double stop_ms = 10000;  // for the application to end after a signal; then it is killed
  double drain_ms = 10000; // and for the router
  double restart_first_ms = 100, restart_most_ms = 10000;
  // Ready for so long, a router has proved itself: the next crash counts as the first.
  double steady_ms = 10000;
};

// ---- events ----

struct Begin {};
struct RouterReady {};
struct RouterEnded {};
struct ApplicationEnded {
  int code = 0; // as a shell has it: 128 and the signal's number for one that a signal ended
};
enum class Signal { Terminate, Interrupt, Reload }; // to the sidecar
struct Signalled {
  Signal signal = Signal::Terminate;
};
struct Tick {}; // `next()` is due

using Event = std::variant<Begin, RouterReady, RouterEnded, ApplicationEnded, Signalled, Tick>;

// ---- actions ----

enum class Do {
  StartRouter,
  StartApplication,
  TerminateRouter, // it answers what it has taken, and ends
  ReloadRouter,
  KillRouter,
  TerminateApplication, // the signal that came goes on to it
  InterruptApplication,
  KillApplication,
  End // with code()
};

class Supervisor {
 public:
  explicit Supervisor(const Rules& rules) : rules_(rules), wait_ms_(rules.restart_first_ms) {}

  void on(double now, const Event& event, std::vector<Do>& actions);
  std::optional<double> next() const; // a Tick is wanted then
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
  // What is due, and when.
  std::optional<double> give_up_at_;          // the first start
  std::optional<double> start_at_;            // a router that crashed, again
  std::optional<double> kill_application_at_; // that was told to end
  std::optional<double> kill_router_at_;      // the same
  double ready_at_ = 0, wait_ms_;
  int code_ = 0;
  std::uint64_t restarts_ = 0;
  bool never_ready_ = false, reload_due_ = false;
};

} // namespace fernward::sidecar
