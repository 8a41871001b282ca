#include "lab/process/supervisor.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/signalfd.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <map>
#include <stdexcept>

#include "lab/process/messages.h"
#include "loop/blocked_signals.h"

namespace fernward::rig {
namespace {

using messages::Signal;

constexpr int kKillTimeoutMs =
    5000; // time for killed processes to end; after it, one that the kernel blocks is abandoned

double seconds(const timeval& time) {
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
}

// ---- in the supervisor process ----

// Starts and signals programs as the lab requests, and reports their starts and ends, until the lab ends.
class SupervisorProcess {
 public:
  SupervisorProcess(int socket, int children, const std::string& directory)
      : socket_(socket), children_(children), directory_(directory) {}

  void run() {
    for (;;) {
      pollfd ready[2] = {{socket_, POLLIN, 0}, {children_, POLLIN, 0}};
      if (poll(ready, 2, -1) < 0 && errno != EINTR) break;
      if (ready[1].revents != 0) reap();
      if (ready[0].revents != 0 && !read()) break;
    }
    finish();
  }

 private:
  bool read() { // false: the lab has ended
    int output = -1;
    bool ended = false;
    const std::string packet = messages::receive_packet(socket_, output, ended);
    if (const auto start = messages::parse_start(packet)) launch(*start, output);
    if (const auto signal = messages::parse_signal(packet)) send(*signal);
    if (output >= 0) close(output);
    return !ended;
  }

  void launch(const ProgramStart& start, int output) {
    const pid_t supervisor_pid = getpid();
    const loop::BlockedSignals
        blocked; // the supervisor ignores some signals: one sent to the new program at once must not be lost
    const pid_t pid = fork();
    if (pid == 0) exec_program(start, output, supervisor_pid);
    ProgramEvent event;
    event.id = start.id;
    event.pid = pid;
    event.ended = pid < 0;
    if (pid < 0) {
      event.status = 127 << 8;
    } else {
      setpgid(pid, pid); // in both processes, as either may run first
      programs_[pid] = start.id;
    }
    send_event(event);
  }

  [[noreturn]] static void exec_program(const ProgramStart& start, int output, pid_t supervisor_pid) {
    setpgid(0, 0);
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != supervisor_pid) _exit(127); // it died before PR_SET_PDEATHSIG took effect
    // Signals that are ignored would stay ignored after exec.
    loop::BlockedSignals::deliver_by_default({SIGINT, SIGTERM, SIGHUP, SIGPIPE});
    if (start.descriptors > 0) {
      const rlimit limit{start.descriptors, start.descriptors};
      setrlimit(RLIMIT_NOFILE, &limit);
    }
    const rlimit no_core{0, 0};
    setrlimit(RLIMIT_CORE, &no_core);
    const int null_fd = open("/dev/null", O_RDWR);
    dup2(null_fd, 0);
    dup2(output >= 0 ? output : null_fd, 1);
    dup2(output >= 0 ? output : null_fd, 2);
    close_range(3, ~0u, 0);
    for (const auto& variable : start.environment) {
      const auto equals_position = variable.find('=');
      if (equals_position != std::string::npos) {
        setenv(variable.substr(0, equals_position).c_str(), variable.c_str() + equals_position + 1, 1);
      }
    }
    std::vector<char*> arguments;
    for (const auto& argument : start.command) arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    execvp(arguments[0], arguments.data());
    const std::string error = start.command[0] + ": " + std::strerror(errno) + "\n";
    [[maybe_unused]] const auto ignored_size = write(2, error.data(), error.size());
    _exit(127);
  }

  void send(const Signal& signal) const {
    for (const auto& [pid, id] : programs_) {
      if (id == signal.id) kill(signal.number == SIGKILL ? -pid : pid, signal.number);
    }
  }

  void reap() {
    signalfd_siginfo info;
    while (::read(children_, &info, sizeof info) > 0) {}
    collect();
  }
  void collect() {
    int status = 0;
    rusage usage{};
    for (pid_t pid; (pid = wait4(-1, &status, WNOHANG, &usage)) > 0;) {
      const auto found = programs_.find(pid);
      if (found == programs_.end()) continue;
      kill(-pid, SIGKILL); // the processes that it started
      ProgramEvent event;
      event.id = found->second;
      event.pid = pid;
      event.ended = true;
      event.status = status;
      event.cpu_s = seconds(usage.ru_utime) + seconds(usage.ru_stime);
      programs_.erase(found);
      send_event(event);
    }
  }

  void send_event(const ProgramEvent& event) const {
    [[maybe_unused]] const auto ignored_size =
        ::send(socket_, &event, sizeof event, MSG_NOSIGNAL | MSG_DONTWAIT);
  }

  void finish() {
    for (const auto& [pid, id] : programs_) kill(-pid, SIGKILL);
    for (int waited = 0; !programs_.empty() && waited < kKillTimeoutMs; waited += 5) {
      collect();
      if (!programs_.empty()) usleep(5000);
    }
    std::error_code ignored;
    if (!directory_.empty()) std::filesystem::remove_all(directory_, ignored);
  }

  int socket_, children_;
  std::string directory_;
  std::map<pid_t, std::uint32_t> programs_;
};

[[noreturn]] void run_supervisor(int socket, const std::string& directory) {
  setpgid(0, 0);
  prctl(PR_SET_NAME, "lab-guardian");
  for (const int number : {SIGINT, SIGTERM, SIGHUP, SIGPIPE}) ::signal(number, SIG_IGN);
  sigset_t children;
  sigemptyset(&children);
  sigaddset(&children, SIGCHLD);
  sigprocmask(SIG_SETMASK, &children, nullptr); // replaces the signal mask inherited from the lab
  // Closes the descriptors inherited from the lab: a reader that waits for the end of one must not wait for
  // this process.
  const int socket_copy = fcntl(socket, F_DUPFD_CLOEXEC, 3);
  close_range(socket_copy + 1, ~0u, 0);
  for (int fd = 0; fd < socket_copy; ++fd) close(fd);
  const int null_fd = open("/dev/null", O_RDWR);
  while (dup(null_fd) < 2) {}
  SupervisorProcess(socket_copy, signalfd(-1, &children, SFD_NONBLOCK | SFD_CLOEXEC), directory).run();
  _exit(0);
}

} // namespace

// ---- in the lab's process ----

ProcessSupervisor::ProcessSupervisor(const std::string& directory) {
  int sockets[2];
  if (socketpair(AF_UNIX, SOCK_SEQPACKET | SOCK_CLOEXEC, 0, sockets) != 0) {
    throw std::runtime_error(std::string("the lab's process supervisor cannot be started: ") +
                             std::strerror(errno));
  }
  pid_ = fork();
  if (pid_ == 0) {
    close(sockets[0]);
    run_supervisor(sockets[1], directory);
  }
  close(sockets[1]);
  socket_ = sockets[0];
  if (pid_ < 0) {
    close(socket_);
    throw std::runtime_error(std::string("the lab's process supervisor cannot be started: ") +
                             std::strerror(errno));
  }
}

ProcessSupervisor::~ProcessSupervisor() {
  close(socket_);
  int status = 0;
  while (waitpid(pid_, &status, 0) < 0 && errno == EINTR) {}
}

void ProcessSupervisor::start(const ProgramStart& start) {
  if (!messages::send_packet(socket_, messages::pack(start), start.output)) connection_lost_ = true;
}

void ProcessSupervisor::signal(std::uint32_t id, int number) {
  if (!messages::send_packet(socket_, messages::pack(Signal{id, number}), -1)) connection_lost_ = true;
}

std::optional<ProgramEvent> ProcessSupervisor::next_event(int wait_ms) {
  pollfd ready{socket_, POLLIN, 0};
  if (wait_ms > 0) poll(&ready, 1, wait_ms);
  ProgramEvent event;
  const ssize_t received = recv(socket_, &event, sizeof event, MSG_DONTWAIT);
  if (received == sizeof event) return event;
  if (received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR))
    connection_lost_ = true;
  return std::nullopt;
}

} // namespace fernward::rig
