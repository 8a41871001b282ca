#include "discovery/router_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

namespace fernward::bench::discovery {
namespace {

using Json = nlohmann::json;

constexpr auto kTerminationTimeout = std::chrono::seconds(5); // a graceful shutdown takes 4 s at most
constexpr auto kTerminationPoll = std::chrono::milliseconds(20);
constexpr int kExitNotStarted = 127;

Json settings() {
  return Json::parse(R"({"balancers": 1, "my_zone": 0, "tick": 1, "dcs": ["a"], "kinds": ["cache", "origin"],
    "classes": [{"name": "read", "aim": 900, "give_up": 2000, "repeat": "safe", "worth": 1}],
    "parties": [{"name": "acme", "share": 1, "quota_per_s": 1000}],
    "telemetry": {"via": "inline", "columns": ["queue", "latency_ms"]},
    "limits": {"max_attempts": 4, "may_cancel": true, "may_duplicate": true, "retry_after": true,
               "max_retry_after": 1500, "connect_timeout": 1000, "conn_idle": 20000},
    "obligations": {"grace_to_answer": 20, "warm_after": 0, "start_capacity": 1, "tip_after": 2000}})");
}

std::string hexadecimal(std::uint64_t number) {
  char text[24];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
  return text;
}

std::string write_config(const RouterOptions& options) {
  const Json config = {{"name", options.router_name},
                       {"listen", "127.0.0.1:0"},
                       {"discovery", options.discovery_address},
                       {"seed", hexadecimal(options.seed)},
                       {"limits", {{"sockets", 256}}},
                       {"settings", settings()}};
  std::string path = (options.folder / "config.json").string();
  std::ofstream(path) << config.dump();
  return path;
}

/// Runs in the child between fork and exec, so it makes only async-signal-safe calls.
[[noreturn]] void exec_router(const char* program, char* const* arguments, char* const* environment,
                              pid_t parent) {
  prctl(PR_SET_PDEATHSIG, SIGKILL); // the kernel kills the router if the benchmark ends first
  if (getppid() != parent) _exit(kExitNotStarted);
  const int null_device = open("/dev/null", O_WRONLY | O_CLOEXEC);
  dup2(null_device, STDOUT_FILENO);
  dup2(null_device, STDERR_FILENO);
  execve(program, arguments, environment);
  _exit(kExitNotStarted);
}

} // namespace

RouterProcess::RouterProcess(const RouterOptions& options) : pid_(0) {
  std::string config_variable = "NODE_CONFIG=" + write_config(options);
  std::string tmpdir_variable = "TMPDIR=" + options.folder.string();
  std::string program = options.program;
  std::string command = "serve";
  const std::vector<char*> arguments{program.data(), command.data(), nullptr};
  const std::vector<char*> environment{config_variable.data(), tmpdir_variable.data(), nullptr};
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ < 0) throw std::runtime_error("cannot start " + options.program);
  if (pid_ == 0) exec_router(program.c_str(), arguments.data(), environment.data(), parent);
}

RouterProcess::RouterProcess(RouterProcess&& other) noexcept : pid_(std::exchange(other.pid_, 0)) {}

RouterProcess::~RouterProcess() {
  terminate();
  const auto kill_at = std::chrono::steady_clock::now() + kTerminationTimeout;
  while (running()) {
    if (std::chrono::steady_clock::now() > kill_at) kill(pid_, SIGKILL);
    std::this_thread::sleep_for(kTerminationPoll);
  }
}

void RouterProcess::terminate() {
  if (pid_ > 0) kill(pid_, SIGTERM);
}

bool RouterProcess::running() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) pid_ = 0;
  return pid_ > 0;
}

double RouterProcess::cpu_ms() const {
  constexpr double kNanosecondsPerMs = 1e6;
  const std::filesystem::path threads = "/proc/" + std::to_string(pid_) + "/task";
  double nanoseconds = 0;
  for (const auto& thread : std::filesystem::directory_iterator(threads)) {
    double thread_nanoseconds = 0;
    std::ifstream(thread.path() / "schedstat") >> thread_nanoseconds;
    nanoseconds += thread_nanoseconds;
  }
  return nanoseconds / kNanosecondsPerMs;
}

double RouterProcess::peak_resident_mb() const {
  constexpr double kKilobytesPerMb = 1024;
  const std::string field_name = "VmHWM:";
  std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.compare(0, field_name.size(), field_name) == 0) {
      return std::strtod(line.c_str() + field_name.size(), nullptr) / kKilobytesPerMb;
    }
  }
  throw std::runtime_error("cannot find " + field_name + " of process " + std::to_string(pid_));
}

} // namespace fernward::bench::discovery
