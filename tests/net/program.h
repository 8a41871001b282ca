// Runs the program as a child process and collects its output.
#pragma once

#include <doctest/doctest.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <random>
#include <string>
#include <vector>

#include "peers.h"

namespace fernward::tests {

// System calls that fail with `error` in a program, as in a container whose seccomp filter does not know
// them.
struct Refused {
  std::vector<long> calls;
  int error = 0;
};

// Applies to this process and the programs that it executes; needs no privileges.
inline bool refuse_calls(const Refused& refused) {
  std::vector<sock_filter> filter = {BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(seccomp_data, nr))};
  for (const long call : refused.calls) {
    filter.push_back(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, static_cast<unsigned>(call), 0, 1));
    filter.push_back(BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ERRNO | static_cast<unsigned>(refused.error)));
  }
  filter.push_back(BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW));
  const sock_fprog program{static_cast<unsigned short>(filter.size()), filter.data()};
  return prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) == 0 &&
         prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &program) == 0;
}

// A running program and what it has written to standard output and standard error.
class Program {
 public:
  Program(const std::vector<std::string>& words, const Json& config,
          const std::vector<std::string>& environment = {}, const Refused& refused = {}) {
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    char path[] = "/tmp/fernward-test-XXXXXX";
    const int file = mkstemp(path);
    path_ = path;
    std::ofstream(path_) << (config.is_string() ? config.get<std::string>() : config.dump());
    close(file);
    pid_ = fork();
    if (pid_ == 0) {
      dup2(ends[1], 1);
      dup2(ends[1], 2);
      for (int fd = 3; fd < 1024; ++fd) close(fd);
      setenv("NODE_CONFIG", path_.c_str(), 1);
      for (const char* name : {"NODE_NAME", "NODE_LISTEN", "NODE_DISCOVERY"}) unsetenv(name);
      for (const auto& entry : environment) putenv(const_cast<char*>(entry.c_str()));
      std::vector<char*> arguments = {const_cast<char*>(FERNWARD_PROGRAM)};
      for (const auto& word : words) arguments.push_back(const_cast<char*>(word.c_str()));
      arguments.push_back(nullptr);
      if (!refused.calls.empty() && !refuse_calls(refused)) _exit(126);
      execv(FERNWARD_PROGRAM, arguments.data());
      _exit(127);
    }
    close(ends[1]);
    out_ = ends[0];
    fcntl(out_, F_SETFL, O_NONBLOCK);
  }
  ~Program() {
    if (pid_ > 0) kill(pid_, SIGKILL), waitpid(pid_, nullptr, 0);
    close(out_);
    unlink(path_.c_str());
  }
  Program(const Program&) = delete;

  void signal(int number) { kill(pid_, number); }
  void hold() { // on return the process is stopped; its sockets still receive
    kill(pid_, SIGSTOP);
    int status = 0;
    REQUIRE(waitpid(pid_, &status, WUNTRACED) == pid_);
    REQUIRE(WIFSTOPPED(status));
  }
  void go_on() { kill(pid_, SIGCONT); }
  void rewrite(const std::string& config) { std::ofstream(path_) << config; }
  struct Use {
    double cpu_ms = 0, wakes = 0;
  };
  Use use() const { // since the process started
    const std::string proc = "/proc/" + std::to_string(pid_);
    Use u;
    std::ifstream(proc + "/schedstat") >> u.cpu_ms;
    u.cpu_ms /= 1e6;
    std::ifstream status(proc + "/status");
    for (std::string word; status >> word;) {
      if (word == "voluntary_ctxt_switches:") status >> u.wakes;
    }
    return u;
  }
  std::size_t descriptors() const {
    const std::filesystem::directory_iterator open("/proc/" + std::to_string(pid_) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(open), end(open)));
  }
  void limit_descriptors(rlim_t most) {
    rlimit limit{};
    REQUIRE(prlimit(pid_, RLIMIT_NOFILE, nullptr, &limit) == 0);
    limit.rlim_cur = most;
    REQUIRE(prlimit(pid_, RLIMIT_NOFILE, &limit, nullptr) == 0);
  }
  void limit_files(rlim_t most) { // bytes of each file that the program writes
    const rlimit limit{most, RLIM_INFINITY};
    REQUIRE(prlimit(pid_, RLIMIT_FSIZE, &limit, nullptr) == 0);
  }
  void stop_reading() { // no longer reads the output; the pipe is reduced to its minimum size
    reads_ = false;
    REQUIRE(fcntl(out_, F_SETPIPE_SZ, 4096) >= 0);
  }
  bool ended() { // sets the exit code; 128 plus the signal's number if a signal ended the process
    int status = 0;
    if (pid_ > 0 && waitpid(pid_, &status, WNOHANG) == pid_) {
      code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
      pid_ = 0;
    }
    read_on();
    return pid_ == 0;
  }
  bool says(const std::string& what) {
    read_on();
    return text.find(what) != std::string::npos;
  }
  int port() { // 0 until the program listens
    read_on();
    const auto line = text.find("listening name="), at = text.find(" port=", line);
    if (line == std::string::npos || at == std::string::npos || text.find('\n', at) == std::string::npos)
      return 0;
    return std::stoi(text.substr(at + 6));
  }
  std::string text;
  int code = -1;

 private:
  void read_on() {
    if (!reads_) return;
    char bytes[4096];
    for (ssize_t n; (n = read(out_, bytes, sizeof bytes)) > 0;)
      text.append(bytes, static_cast<std::size_t>(n));
  }
  std::string path_;
  pid_t pid_ = 0;
  int out_ = -1;
  bool reads_ = true;
};

// Draws below the system's ephemeral port range: from that range, another test's client could get the port
// before the router binds it.
inline int free_port() {
  static std::mt19937 draw(std::random_device{}());
  for (;;) {
    const int port = std::uniform_int_distribution<int>(10240, 32000)(draw);
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    where.sin_port = htons(static_cast<std::uint16_t>(port));
    const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0;
    close(fd);
    if (free) return port;
  }
}

// A temporary folder, removed by the destructor.
struct Folder {
  Folder() {
    char name[] = "/tmp/fernward-test-XXXXXX";
    path = mkdtemp(name);
  }
  ~Folder() { std::filesystem::remove_all(path); }
  Folder(const Folder&) = delete;
  std::string operator/(const std::string& name) const { return path + "/" + name; }
  std::string write(const std::string& name, const std::string& text) const {
    std::ofstream(path + "/" + name, std::ios::binary) << text;
    return path + "/" + name;
  }
  std::string path;
};

inline std::string text_of(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

} // namespace fernward::tests
