#include "sidecar/runner.h"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/un.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <memory>
#include <stdexcept>
#include <utility>

#include "config/address.h"
#include "log/log.h"
#include "loop/blocked_signals.h"
#include "loop/net.h"
#include "loop/timer_queue.h"

namespace fernward::sidecar {
namespace {

constexpr double kReadinessCheckIntervalMs = 20;             // between checks until the router is ready
constexpr int kExitNotFound = 127, kExitNotExecutable = 126; // the exit codes that a shell uses

// A single readiness check: one GET /ready on a connection of its own. Calls the callback once, unless
// failed().
class ReadinessCheck {
 public:
  ReadinessCheck(event_base* base, const std::string& address, std::function<void(bool)> callback)
      : callback_(std::move(callback)) {
    connection_ = loop::make_bufferevent(base, -1);
    bufferevent_setcb(connection_.get(), &ReadinessCheck::on_readable, nullptr, &ReadinessCheck::on_event,
                      this);
    sockaddr_in tcp_address{};
    sockaddr_un unix_address{};
    int connect_result = 0;
    if (const auto socket_path = config::unix_path(address)) {
      unix_address.sun_family = AF_UNIX;
      std::memcpy(unix_address.sun_path, socket_path->c_str(), socket_path->size() + 1);
      connect_result = bufferevent_socket_connect(
          connection_.get(), reinterpret_cast<sockaddr*>(&unix_address), sizeof unix_address);
    } else {
      config::parse_address(address, tcp_address);
      connect_result = bufferevent_socket_connect(
          connection_.get(), reinterpret_cast<sockaddr*>(&tcp_address), sizeof tcp_address);
    }
    if (connect_result != 0) failed_ = true;
    const timeval timeout{1, 0};
    bufferevent_set_timeouts(connection_.get(), &timeout, &timeout);
    constexpr char kReadyRequest[] = "GET /ready HTTP/1.1\r\nHost: router\r\nConnection: close\r\n\r\n";
    bufferevent_write(connection_.get(), kReadyRequest, sizeof kReadyRequest - 1);
    bufferevent_enable(connection_.get(), EV_READ | EV_WRITE);
  }
  bool failed() const { return failed_; } // the connection could not be started; the callback is not called

 private:
  static void on_readable(bufferevent* io, void* self) {
    const std::string_view input = loop::pending_input(io);
    if (input.size() < 12) return;
    static_cast<ReadinessCheck*>(self)->finish(input.substr(9, 3) == "200");
  }
  static void on_event(bufferevent*, short events, void* self) {
    if ((events & BEV_EVENT_CONNECTED) == 0) static_cast<ReadinessCheck*>(self)->finish(false);
  }
  void finish(bool ready) {
    if (std::exchange(finished_, true)) return;
    const auto callback = callback_;
    callback(ready); // the callback may destroy this object
  }
  std::function<void(bool)> callback_;
  loop::BuffereventPtr connection_;
  bool finished_ = false, failed_ = false;
};

// Executes the supervisor's actions, and reports process exits, signals and router readiness to it.
class SidecarRunner {
 public:
  SidecarRunner(const Programs& programs, const SupervisorSettings& settings, event_base* base)
      : programs_(programs),
        base_(base),
        timers_(base),
        supervisor_(settings),
        has_terminal_(isatty(STDIN_FILENO) == 1) {
    for (const int signal_number : {SIGTERM, SIGINT, SIGHUP, SIGCHLD, SIGUSR1, SIGUSR2, SIGQUIT}) {
      signals_.emplace_back(evsignal_new(base, signal_number, &SidecarRunner::on_signal, this));
      event_add(signals_.back().get(), nullptr);
    }
  }
  int run() {
    handle_event(Start{});
    event_base_dispatch(base_);
    return supervisor_.exit_code();
  }

 private:
  static void on_signal(int signal_number, short, void* self) {
    static_cast<SidecarRunner*>(self)->handle_signal(signal_number);
  }

  void handle_signal(int signal_number) {
    switch (signal_number) {
      case SIGCHLD: return reap_children();
      case SIGHUP: return handle_event(SignalReceived{Signal::Reload});
      case SIGTERM: return handle_event(SignalReceived{Signal::Terminate});
      case SIGINT: return handle_event(SignalReceived{Signal::Interrupt});
      default:
        if (application_pid_ > 0 && !(signal_number == SIGQUIT && has_terminal_))
          kill(application_pid_, signal_number);
    }
  }

  void reap_children() {
    int status = 0;
    for (pid_t pid; (pid = waitpid(-1, &status, WNOHANG)) > 0;) {
      const int exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
      if (pid == router_pid_) {
        router_pid_ = 0;
        readiness_check_.reset();
        log::line("sidecar-router-ended", {{"process", pid}, {"code", exit_code}});
        handle_event(RouterEnded{});
      } else if (pid == application_pid_) {
        application_pid_ = 0;
        log::line("sidecar-application-ended", {{"process", pid}, {"code", exit_code}});
        handle_event(ApplicationEnded{exit_code});
      }
    }
  }

  void handle_event(const Event& event) {
    std::vector<Action> actions;
    supervisor_.on_event(loop::now_ms(), event, actions);
    for (const Action action : actions) execute(action);
    timers_.cancel(deadline_timer_);
    if (const auto deadline = supervisor_.next_deadline())
      deadline_timer_ = timers_.run_at(*deadline, [this] { handle_event(TimerExpired{}); });
  }

  void execute(Action action) {
    switch (action) {
      case Action::StartRouter:
        router_pid_ = start_process(programs_.router_command, true);
        log::line("sidecar-router-started",
                  {{"process", router_pid_}, {"restarts", supervisor_.router_restarts()}});
        return check_readiness();
      case Action::StartApplication:
        application_pid_ = start_process(programs_.application_command, false);
        return log::line("sidecar-application-started",
                         {{"process", application_pid_}, {"address", programs_.router_address}});
      case Action::TerminateRouter: return send_signal(router_pid_, SIGTERM);
      case Action::ReloadRouter: return send_signal(router_pid_, SIGHUP);
      case Action::KillRouter: return send_signal(router_pid_, SIGKILL);
      case Action::TerminateApplication: return send_signal(application_pid_, SIGTERM);
      case Action::InterruptApplication: // a terminal sends SIGINT to the application directly
        if (!has_terminal_) send_signal(application_pid_, SIGINT);
        return;
      case Action::KillApplication:
        log::line("sidecar-application-killed", {{"process", application_pid_}});
        return send_signal(application_pid_, SIGKILL);
      case Action::Exit:
        if (supervisor_.router_never_ready())
          log::line("sidecar-router-never-ready", {{"address", programs_.router_address}});
        event_base_loopbreak(base_);
    }
  }
  static void send_signal(pid_t pid, int signal_number) {
    if (pid > 0) kill(pid, signal_number);
  }

  void check_readiness() {
    readiness_check_.reset();
    if (router_pid_ <= 0) return;
    readiness_check_ = std::make_unique<ReadinessCheck>(base_, programs_.router_address, [this](bool ready) {
      // Deferred to the event loop, as the check that calls this is still running and must not be destroyed.
      timers_.run_at(loop::now_ms() + (ready ? 0 : kReadinessCheckIntervalMs),
                     [this, ready, pid = router_pid_] {
                       if (pid != router_pid_ || router_pid_ <= 0) return;
                       if (!ready) return check_readiness();
                       readiness_check_.reset();
                       handle_event(RouterReady{});
                     });
    });
    if (readiness_check_->failed()) {
      timers_.run_at(loop::now_ms() + kReadinessCheckIntervalMs, [this, pid = router_pid_] {
        if (pid == router_pid_ && router_pid_ > 0) check_readiness();
      });
    }
  }

  // The calls of the child between fork and exec are safe because the process has a single thread.
  pid_t start_process(const std::vector<std::string>& command_line, bool is_router) {
    const pid_t parent = getpid();
    // In the child, signals stay blocked until its handlers are reset, so that no earlier signal is lost.
    const loop::BlockedSignals blocked_signals;
    const pid_t pid = fork();
    if (pid < 0) {
      log::line("sidecar-cannot-start", {{"program", command_line.front()}, {"why", std::strerror(errno)}});
      return 0;
    }
    if (pid > 0) return pid;
    // If the sidecar dies, the child is terminated, as no other process would end it.
    prctl(PR_SET_PDEATHSIG, SIGTERM);
    if (getppid() != parent) _exit(kExitNotExecutable);
    if (is_router) setpgid(0, 0); // Ctrl-C must reach only the application; the router ends after it
    loop::BlockedSignals::deliver_by_default(
        {SIGTERM, SIGINT, SIGHUP, SIGCHLD, SIGUSR1, SIGUSR2, SIGQUIT, SIGPIPE});
    if (!is_router) {
      for (const std::string& variable : programs_.environment) putenv(const_cast<char*>(variable.c_str()));
    }
    std::vector<char*> argv;
    argv.reserve(command_line.size() + 1);
    for (const std::string& argument : command_line) argv.push_back(const_cast<char*>(argument.c_str()));
    argv.push_back(nullptr);
    execvp(argv[0], argv.data());
    const int exit_code = errno == ENOENT ? kExitNotFound : kExitNotExecutable;
    std::fprintf(stderr, "fernward sidecar: %s: %s\n", argv[0], std::strerror(errno));
    std::fflush(stderr);
    _exit(exit_code);
  }

  const Programs& programs_;
  event_base* base_;
  loop::TimerQueue timers_;
  Supervisor supervisor_;
  bool has_terminal_;
  std::vector<loop::EventPtr> signals_;
  std::unique_ptr<ReadinessCheck> readiness_check_;
  pid_t router_pid_ = 0, application_pid_ = 0;
  loop::TimerQueue::TimerId deadline_timer_ = 0;
};

} // namespace

int run(const Programs& programs, const SupervisorSettings& settings) {
  ::signal(SIGPIPE, SIG_IGN);
  const std::unique_ptr<event_base, void (*)(event_base*)> base(event_base_new(), &event_base_free);
  if (base == nullptr) throw std::runtime_error("cannot create the event loop of libevent");
  SidecarRunner runner(programs, settings, base.get());
  return runner.run();
}

} // namespace fernward::sidecar
