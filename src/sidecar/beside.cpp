#include "sidecar/beside.h"

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

constexpr double kAskMs = 20;                 // interval between readiness checks until the router is ready
constexpr int kNotFound = 127, kNotRun = 126; // the exit codes that a shell uses

// A single readiness check: one GET /ready on a connection of its own. Calls the callback once, unless
// failed().
class Look {
 public:
  Look(event_base* base, const std::string& address, std::function<void(bool)> told)
      : told_(std::move(told)) {
    io_ = loop::make_bufferevent(base, -1);
    bufferevent_setcb(io_.get(), &Look::readable, nullptr, &Look::changed, this);
    sockaddr_in where{};
    sockaddr_un path{};
    int begun = 0;
    if (const auto at = config::unix_path(address)) {
      path.sun_family = AF_UNIX;
      std::memcpy(path.sun_path, at->c_str(), at->size() + 1);
      begun = bufferevent_socket_connect(io_.get(), reinterpret_cast<sockaddr*>(&path), sizeof path);
    } else {
      config::parse_address(address, where);
      begun = bufferevent_socket_connect(io_.get(), reinterpret_cast<sockaddr*>(&where), sizeof where);
    }
    if (begun != 0) failed_ = true;
    const timeval most{1, 0};
    bufferevent_set_timeouts(io_.get(), &most, &most);
    constexpr char kReadyRequest[] = "GET /ready HTTP/1.1\r\nHost: router\r\nConnection: close\r\n\r\n";
    bufferevent_write(io_.get(), kReadyRequest, sizeof kReadyRequest - 1);
    bufferevent_enable(io_.get(), EV_READ | EV_WRITE);
  }
  bool failed() const { return failed_; } // the connection could not be started; the callback is not called

 private:
  static void readable(bufferevent* io, void* self) {
    const std::string_view input = loop::pending_input(io);
    if (input.size() < 12) return;
    static_cast<Look*>(self)->tell(input.substr(9, 3) == "200");
  }
  static void changed(bufferevent*, short what, void* self) {
    if ((what & BEV_EVENT_CONNECTED) == 0) static_cast<Look*>(self)->tell(false);
  }
  void tell(bool ready) {
    if (std::exchange(done_, true)) return;
    const auto told = told_;
    told(ready); // the callback may destroy this object
  }
  std::function<void(bool)> told_;
  loop::BuffereventPtr io_;
  bool done_ = false, failed_ = false;
};

// Executes the supervisor's actions, and reports process exits, signals and router readiness to it.
class Beside {
 public:
  Beside(const Programs& programs, const Rules& rules, event_base* base)
      : programs_(programs),
        base_(base),
        deadlines_(base),
        supervisor_(rules),
        terminal_(isatty(STDIN_FILENO) == 1) {
    for (const int number : {SIGTERM, SIGINT, SIGHUP, SIGCHLD, SIGUSR1, SIGUSR2, SIGQUIT}) {
      signals_.emplace_back(evsignal_new(base, number, &Beside::signalled, this));
      event_add(signals_.back().get(), nullptr);
    }
  }
  int run() {
    take(Begin{});
    event_base_dispatch(base_);
    return supervisor_.code();
  }

 private:
  static void signalled(int number, short, void* self) { static_cast<Beside*>(self)->signal(number); }

  void signal(int number) {
    switch (number) {
      case SIGCHLD: return reap();
      case SIGHUP: return take(Signalled{Signal::Reload});
      case SIGTERM: return take(Signalled{Signal::Terminate});
      case SIGINT: return take(Signalled{Signal::Interrupt});
      default:
        if (application_ > 0 && !(number == SIGQUIT && terminal_)) kill(application_, number);
    }
  }

  void reap() {
    int status = 0;
    for (pid_t pid; (pid = waitpid(-1, &status, WNOHANG)) > 0;) {
      const int code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
      if (pid == router_) {
        router_ = 0;
        look_.reset();
        log::line("sidecar-router-ended", {{"process", pid}, {"code", code}});
        take(RouterEnded{});
      } else if (pid == application_) {
        application_ = 0;
        log::line("sidecar-application-ended", {{"process", pid}, {"code", code}});
        take(ApplicationEnded{code});
      }
    }
  }

  void take(const Event& event) {
    std::vector<Do> actions;
    supervisor_.on(loop::now_ms(), event, actions);
    for (const Do action : actions) carry_out(action);
    deadlines_.cancel(ticket_);
    if (const auto due = supervisor_.next()) ticket_ = deadlines_.at(*due, [this] { take(Tick{}); });
  }

  void carry_out(Do action) {
    switch (action) {
      case Do::StartRouter:
        router_ = start(programs_.router, true);
        log::line("sidecar-router-started", {{"process", router_}, {"restarts", supervisor_.restarts()}});
        return ask();
      case Do::StartApplication:
        application_ = start(programs_.application, false);
        return log::line("sidecar-application-started",
                         {{"process", application_}, {"address", programs_.address}});
      case Do::TerminateRouter: return send(router_, SIGTERM);
      case Do::ReloadRouter: return send(router_, SIGHUP);
      case Do::KillRouter: return send(router_, SIGKILL);
      case Do::TerminateApplication: return send(application_, SIGTERM);
      case Do::InterruptApplication: // on a terminal the application receives it as well
        if (!terminal_) send(application_, SIGINT);
        return;
      case Do::KillApplication:
        log::line("sidecar-application-killed", {{"process", application_}});
        return send(application_, SIGKILL);
      case Do::End:
        if (supervisor_.never_ready())
          log::line("sidecar-router-never-ready", {{"address", programs_.address}});
        event_base_loopbreak(base_);
    }
  }
  static void send(pid_t pid, int number) {
    if (pid > 0) kill(pid, number);
  }

  void ask() {
    look_.reset();
    if (router_ <= 0) return;
    look_ = std::make_unique<Look>(base_, programs_.address, [this](bool ready) {
      // Deferred to the event loop, as the check that calls this is still running and must not be destroyed.
      deadlines_.at(loop::now_ms() + (ready ? 0 : kAskMs), [this, ready, pid = router_] {
        if (pid != router_ || router_ <= 0) return;
        if (!ready) return ask();
        look_.reset();
        take(RouterReady{});
      });
    });
    if (look_->failed()) {
      deadlines_.at(loop::now_ms() + kAskMs, [this, pid = router_] {
        if (pid == router_ && router_ > 0) ask();
      });
    }
  }

  // The calls of the child between fork and exec are safe because the process has a single thread.
  pid_t start(const std::vector<std::string>& command, bool is_router) {
    const pid_t parent = getpid();
    // In the child, signals stay blocked until its handlers are reset, so that no earlier signal is lost.
    const loop::BlockedSignals blocked;
    const pid_t pid = fork();
    if (pid < 0) {
      log::line("sidecar-cannot-start", {{"program", command.front()}, {"why", std::strerror(errno)}});
      return 0;
    }
    if (pid > 0) return pid;
    // If the sidecar dies, the child is terminated, as no other process would end it.
    prctl(PR_SET_PDEATHSIG, SIGTERM);
    if (getppid() != parent) _exit(kNotRun);
    if (is_router) setpgid(0, 0); // Ctrl-C must reach only the application; the router ends after it
    loop::BlockedSignals::deliver_by_default(
        {SIGTERM, SIGINT, SIGHUP, SIGCHLD, SIGUSR1, SIGUSR2, SIGQUIT, SIGPIPE});
    if (!is_router) {
      for (const std::string& entry : programs_.environment) putenv(const_cast<char*>(entry.c_str()));
    }
    std::vector<char*> argv;
    argv.reserve(command.size() + 1);
    for (const std::string& word : command) argv.push_back(const_cast<char*>(word.c_str()));
    argv.push_back(nullptr);
    execvp(argv[0], argv.data());
    const int code = errno == ENOENT ? kNotFound : kNotRun;
    std::fprintf(stderr, "fernward sidecar: %s: %s\n", argv[0], std::strerror(errno));
    std::fflush(stderr);
    _exit(code);
  }

  const Programs& programs_;
  event_base* base_;
  loop::TimerQueue deadlines_;
  Supervisor supervisor_;
  bool terminal_;
  std::vector<loop::EventPtr> signals_;
  std::unique_ptr<Look> look_;
  pid_t router_ = 0, application_ = 0;
  loop::TimerQueue::TimerId ticket_ = 0;
};

} // namespace

int run(const Programs& programs, const Rules& rules) {
  ::signal(SIGPIPE, SIG_IGN);
  const std::unique_ptr<event_base, void (*)(event_base*)> base(event_base_new(), &event_base_free);
  if (base == nullptr) throw std::runtime_error("libevent: no event base");
  Beside beside(programs, rules, base.get());
  return beside.run();
}

} // namespace fernward::sidecar
