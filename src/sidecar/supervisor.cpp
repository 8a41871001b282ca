#include "sidecar/supervisor.h"

#include <algorithm>

namespace fernward::sidecar {
namespace {

constexpr int kTerminated = 143, kInterrupted = 130, kFault = 1; // the exit codes that a shell uses

} // namespace

void Supervisor::on(double now, const Event& event, std::vector<Do>& actions) {
  if (std::holds_alternative<Begin>(event)) return begin(now, actions);
  if (std::holds_alternative<RouterReady>(event)) return ready(now, actions);
  if (std::holds_alternative<RouterEnded>(event)) return router_ended(now, actions);
  if (const auto* ended = std::get_if<ApplicationEnded>(&event))
    return application_ended(now, ended->code, actions);
  if (const auto* signal = std::get_if<Signalled>(&event)) return signalled(now, signal->signal, actions);
  tick(now, actions);
}

std::optional<double> Supervisor::next() const {
  std::optional<double> first;
  for (const auto& at : {give_up_at_, start_at_, kill_application_at_, kill_router_at_}) {
    if (at && (!first || *at < *first)) first = at;
  }
  return first;
}

void Supervisor::begin(double now, std::vector<Do>& actions) {
  if (router_ != Router::Off) return;
  router_ = Router::Starting;
  give_up_at_ = now + rules_.ready_ms;
  actions.push_back(Do::StartRouter);
}

void Supervisor::ready(double now, std::vector<Do>& actions) {
  if (router_ != Router::Starting) return;
  router_ = Router::Ready;
  ready_at_ = now;
  give_up_at_.reset();
  if (reload_due_) actions.push_back(Do::ReloadRouter);
  reload_due_ = false;
  if (application_ != Application::Before) return;
  application_ = Application::Running;
  actions.push_back(Do::StartApplication);
}

void Supervisor::router_ended(double now, std::vector<Do>& actions) {
  if (router_ == Router::Ending) {
    router_ = Router::Gone;
    kill_router_at_.reset();
    actions.push_back(Do::End);
    return;
  }
  if (router_ != Router::Starting && router_ != Router::Ready) return;
  if (router_ == Router::Ready && now - ready_at_ >= rules_.steady_ms) wait_ms_ = rules_.restart_first_ms;
  router_ = Router::Waiting;
  reload_due_ = false; // the router reads the configuration when it starts
  start_at_ = now + wait_ms_;
  wait_ms_ = std::min(2 * wait_ms_, rules_.restart_most_ms);
}

void Supervisor::application_ended(double now, int code, std::vector<Do>& actions) {
  if (application_ != Application::Running && application_ != Application::Ending) return;
  application_ = Application::Gone;
  kill_application_at_.reset();
  code_ = code;
  end_router(now, actions);
}

void Supervisor::end_router(double now, std::vector<Do>& actions) {
  give_up_at_.reset();
  start_at_.reset();
  if (router_ == Router::Starting || router_ == Router::Ready) {
    router_ = Router::Ending;
    kill_router_at_ = now + rules_.drain_ms;
    actions.push_back(Do::TerminateRouter);
  } else if (router_ == Router::Off || router_ == Router::Waiting) {
    router_ = Router::Gone;
    actions.push_back(Do::End);
  }
}

void Supervisor::signalled(double now, Signal signal, std::vector<Do>& actions) {
  if (signal == Signal::Reload) {
    if (router_ == Router::Ready) actions.push_back(Do::ReloadRouter);
    // A router that is not ready may not handle the signal yet.
    reload_due_ = reload_due_ || router_ == Router::Starting;
    return;
  }
  const bool interrupt = signal == Signal::Interrupt;
  switch (application_) {
    case Application::Before:
      application_ = Application::Gone;
      code_ = interrupt ? kInterrupted : kTerminated;
      return end_router(now, actions);
    case Application::Running:
      application_ = Application::Ending;
      kill_application_at_ = now + rules_.stop_ms;
      [[fallthrough]];
    case Application::Ending: // repeated signals are forwarded: the application may react to the second one
      return actions.push_back(interrupt ? Do::InterruptApplication : Do::TerminateApplication);
    case Application::Gone: return; // the router is already ending
  }
}

void Supervisor::tick(double now, std::vector<Do>& actions) {
  const auto due = [now](std::optional<double>& at) {
    if (!at || now < *at) return false;
    at.reset();
    return true;
  };
  if (due(kill_router_at_)) actions.push_back(Do::KillRouter);
  if (due(kill_application_at_)) actions.push_back(Do::KillApplication);
  if (due(give_up_at_)) {
    application_ = Application::Gone;
    never_ready_ = true;
    code_ = kFault;
    return end_router(now, actions);
  }
  if (!due(start_at_)) return;
  router_ = Router::Starting;
  ++restarts_;
  actions.push_back(Do::StartRouter);
}

} // namespace fernward::sidecar
