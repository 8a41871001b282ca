// The supervisor process: it starts the programs of the lab and ends them with the lab, however the lab
// ends. Guards against processes and directories left behind by a crashed or killed lab.
#include "lab/process/supervisor.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>

#include <filesystem>
#include <fstream>

#include "lab/process/proc_stats.h"
#include "support.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

struct TemporaryDirectory {
  TemporaryDirectory() {
    char name[] = "/tmp/fernward-test-XXXXXX";
    path = mkdtemp(name);
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(path); }
  std::string path;
};

// A zombie counts as gone: the test does not reap it.
bool is_gone(pid_t pid) {
  if (kill(pid, 0) != 0) return true;
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string number, name, state;
  file >> number >> name >> state;
  return state.empty() || state == "Z";
}

rig::ProgramStart shell_command(const std::string& script, int output = -1) {
  rig::ProgramStart start;
  start.id = 7;
  start.command = {"/bin/sh", "-c", script};
  start.environment = {"LAB_WORD=heather"};
  start.output = output;
  return start;
}

std::optional<rig::ProgramEvent> next_event(rig::ProcessSupervisor& supervisor) {
  return supervisor.next_event(5000);
}

pid_t read_pid(const std::string& path) { // 0: not written yet
  std::ifstream file(path);
  pid_t pid = 0;
  file >> pid;
  return pid;
}

} // namespace

TEST_CASE("a program starts as configured and its end is reported with its CPU time") {
  TemporaryDirectory directory;
  rig::ProcessSupervisor supervisor("");
  const std::string path = directory.path + "/out";
  const int output = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  const struct {
    std::string script;
    std::uint32_t descriptors;
    int status;
    std::string expected_output;
  } cases[] = {
      {"echo $LAB_WORD; exit 3", 0, 3, "heather\n"},
      {"ulimit -n", 77, 0, "77\n"},
      {"ls /proc/self/fd | wc -l", 0, 0, "4\n"}, // the three standard ones and one of ls: none inherited
      {"trap '' HUP; kill -HUP $$; echo on", 0, 0, "on\n"},
      {"kill -TERM $$; echo on", 0, -1, ""}}; // the supervisor ignores signals, its programs do not
  for (const auto& c : cases) {
    CAPTURE(c.script);
    REQUIRE(ftruncate(output, 0) == 0);
    lseek(output, 0, SEEK_SET);
    auto start = shell_command(c.script, output);
    start.descriptors = c.descriptors;
    supervisor.start(start);
    const auto started = next_event(supervisor), ended = next_event(supervisor);
    REQUIRE(started);
    REQUIRE(ended);
    CHECK_FALSE(started->ended);
    CHECK(ended->ended);
    CHECK(ended->id == 7);
    CHECK(ended->pid == started->pid);
    CHECK((WIFEXITED(ended->status) ? WEXITSTATUS(ended->status) : -1) == c.status);
    CHECK(ended->cpu_s > 0);
    std::ifstream output_file(path);
    CHECK(std::string(std::istreambuf_iterator<char>(output_file), {}) == c.expected_output);
  }
  close(output);
  rig::ProgramStart missing;
  missing.command = {"/nowhere/at/all"};
  supervisor.start(missing);
  next_event(supervisor);
  const auto ended = next_event(supervisor);
  REQUIRE(ended);
  CHECK(WEXITSTATUS(ended->status) == 127);
}

TEST_CASE("at its end the supervisor kills programs and their children and removes the directory") {
  TemporaryDirectory directory;
  const std::string run_directory = directory.path + "/run";
  std::filesystem::create_directory(run_directory);
  const std::string child = directory.path + "/child";
  pid_t pid = 0;
  {
    rig::ProcessSupervisor supervisor(run_directory);
    // The program and its child ignore SIGTERM, SIGINT and SIGHUP.
    supervisor.start(
        shell_command("trap '' TERM INT HUP; sleep 600 & echo $! > " + child + "; wait; sleep 600"));
    const auto started = next_event(supervisor);
    REQUIRE(started);
    pid = started->pid;
    REQUIRE(wait_until([&] { return read_pid(child) > 0; }));
    supervisor.signal(7, SIGTERM);
    usleep(50000);
    CHECK_FALSE(is_gone(pid));
    CHECK(rig::resident_memory_mb(pid) > 0);
    CHECK(rig::peak_memory_mb(pid) >= rig::resident_memory_mb(pid));
    CHECK(rig::cpu_time_s(pid) > 0);
    CHECK(rig::open_descriptors(pid) >= 3);
  }
  CHECK(is_gone(pid));
  CHECK(wait_until([&] { return is_gone(read_pid(child)); }, 1000));
  CHECK_FALSE(std::filesystem::exists(run_directory));
}

TEST_CASE("programs and the supervisor end when the lab is killed by SIGKILL") {
  for (const bool kill_supervisor : {false, true}) {
    CAPTURE(kill_supervisor);
    TemporaryDirectory directory;
    const std::string run_directory = directory.path + "/run", pids = directory.path + "/pids";
    std::filesystem::create_directory(run_directory);
    const pid_t lab = fork();
    if (lab == 0) { // a separate lab process that never ends by itself
      rig::ProcessSupervisor supervisor(run_directory);
      supervisor.start(shell_command("sleep 600"));
      const auto started = next_event(supervisor);
      std::ofstream(pids + ".new") << started->pid << " " << supervisor.pid() << "\n";
      std::filesystem::rename(pids + ".new", pids);
      for (;;) pause();
    }
    REQUIRE(wait_until([&] { return std::filesystem::exists(pids); }));
    pid_t program = 0, supervisor = 0;
    std::ifstream(pids) >> program >> supervisor;
    CHECK_FALSE(is_gone(program));
    if (kill_supervisor) kill(supervisor, SIGKILL); // the programs must end without the supervisor
    kill(lab, SIGKILL);
    waitpid(lab, nullptr, 0);
    CHECK(wait_until([&] { return is_gone(program) && is_gone(supervisor); }, 5000));
    if (!kill_supervisor) CHECK(wait_until([&] { return !std::filesystem::exists(run_directory); }, 5000));
  }
}

TEST_CASE("the end of the supervisor is detected") {
  rig::ProcessSupervisor supervisor("");
  supervisor.start(shell_command("sleep 600"));
  REQUIRE(next_event(supervisor));
  kill(supervisor.pid(), SIGKILL);
  CHECK(wait_until([&] {
    supervisor.next_event();
    return !supervisor.alive();
  }));
}
