#include "sidecar/supervisor.h"

#include <algorithm>

namespace fernward::sidecar {
namespace {

// The exit codes that a shell uses.
constexpr int kExitTerminated = 143, kExitInterrupted = 130, kExitFailure = 1;

} // namespace

void Supervisor::on_event(double now_ms, const Event& event, std::vector<Action>& actions) {
  if (std::holds_alternative<Start>(event)) return start(now_ms, actions);
  if (std::holds_alternative<RouterReady>(event)) return router_ready(now_ms, actions);
  if (std::holds_alternative<RouterEnded>(event)) return router_ended(now_ms, actions);
  if (const auto* ended = std::get_if<ApplicationEnded>(&event))
    return application_ended(now_ms, ended->exit_code, actions);
  if (const auto* signal = std::get_if<SignalReceived>(&event))
    return signal_received(now_ms, signal->signal, actions);
  timer_expired(now_ms, actions);
}

std::optional<double> Supervisor::next_deadline() const {
  std::optional<double> earliest;
  for (const auto& deadline : {ready_deadline_, restart_at_, kill_application_at_, kill_router_at_}) {
    if (deadline && (!earliest || *deadline < *earliest)) earliest = deadline;
  }
  return earliest;
}

void Supervisor::start(double now_ms, std::vector<Action>& actions) {
  if (router_state_ != RouterState::NotStarted) return;
  router_state_ = RouterState::Starting;
  ready_deadline_ = now_ms + settings_.ready_timeout_ms;
  actions.push_back(Action::StartRouter);
}

void Supervisor::router_ready(double now_ms, std::vector<Action>& actions) {
  if (router_state_ != RouterState::Starting) return;
  router_state_ = RouterState::Ready;
  router_ready_at_ = now_ms;
  ready_deadline_.reset();
  if (reload_pending_) actions.push_back(Action::ReloadRouter);
  reload_pending_ = false;
  if (application_state_ != ApplicationState::NotStarted) return;
  application_state_ = ApplicationState::Running;
  actions.push_back(Action::StartApplication);
}

void Supervisor::router_ended(double now_ms, std::vector<Action>& actions) {
  if (router_state_ == RouterState::Stopping) {
    router_state_ = RouterState::Stopped;
    kill_router_at_.reset();
    actions.push_back(Action::Exit);
    return;
  }
  if (router_state_ != RouterState::Starting && router_state_ != RouterState::Ready) return;
  if (router_state_ == RouterState::Ready && now_ms - router_ready_at_ >= settings_.backoff_reset_ms)
    restart_backoff_ms_ = settings_.restart_backoff_min_ms;
  router_state_ = RouterState::Backoff;
  reload_pending_ = false; // the router reads the configuration when it starts
  restart_at_ = now_ms + restart_backoff_ms_;
  restart_backoff_ms_ = std::min(2 * restart_backoff_ms_, settings_.restart_backoff_max_ms);
}

void Supervisor::application_ended(double now_ms, int application_exit_code, std::vector<Action>& actions) {
  if (application_state_ != ApplicationState::Running && application_state_ != ApplicationState::Stopping)
    return;
  application_state_ = ApplicationState::Stopped;
  kill_application_at_.reset();
  exit_code_ = application_exit_code;
  stop_router(now_ms, actions);
}

void Supervisor::stop_router(double now_ms, std::vector<Action>& actions) {
  ready_deadline_.reset();
  restart_at_.reset();
  if (router_state_ == RouterState::Starting || router_state_ == RouterState::Ready) {
    router_state_ = RouterState::Stopping;
    kill_router_at_ = now_ms + settings_.drain_timeout_ms;
    actions.push_back(Action::TerminateRouter);
  } else if (router_state_ == RouterState::NotStarted || router_state_ == RouterState::Backoff) {
    router_state_ = RouterState::Stopped;
    actions.push_back(Action::Exit);
  }
}

void Supervisor::signal_received(double now_ms, Signal signal, std::vector<Action>& actions) {
  if (signal == Signal::Reload) {
    if (router_state_ == RouterState::Ready) actions.push_back(Action::ReloadRouter);
    // A router that is not ready may not handle the signal yet.
    reload_pending_ = reload_pending_ || router_state_ == RouterState::Starting;
    return;
  }
  const bool interrupt = signal == Signal::Interrupt;
  switch (application_state_) {
    case ApplicationState::NotStarted:
      application_state_ = ApplicationState::Stopped;
      exit_code_ = interrupt ? kExitInterrupted : kExitTerminated;
      return stop_router(now_ms, actions);
    case ApplicationState::Running:
      application_state_ = ApplicationState::Stopping;
      kill_application_at_ = now_ms + settings_.stop_timeout_ms;
      [[fallthrough]];
    case ApplicationState::Stopping:
      // Repeated signals are forwarded: the application may react to the second one.
      return actions.push_back(interrupt ? Action::InterruptApplication : Action::TerminateApplication);
    case ApplicationState::Stopped: return; // the router is already ending
  }
}

void Supervisor::timer_expired(double now_ms, std::vector<Action>& actions) {
  const auto take_if_due = [now_ms](std::optional<double>& deadline) {
    if (!deadline || now_ms < *deadline) return false;
    deadline.reset();
    return true;
  };
  if (take_if_due(kill_router_at_)) actions.push_back(Action::KillRouter);
  if (take_if_due(kill_application_at_)) actions.push_back(Action::KillApplication);
  if (take_if_due(ready_deadline_)) {
    application_state_ = ApplicationState::Stopped;
    router_never_ready_ = true;
    exit_code_ = kExitFailure;
    return stop_router(now_ms, actions);
  }
  if (!take_if_due(restart_at_)) return;
  router_state_ = RouterState::Starting;
  ++router_restarts_;
  actions.push_back(Action::StartRouter);
}

} // namespace fernward::sidecar
