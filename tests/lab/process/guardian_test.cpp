// The guardian process: it starts the programs of the lab and ends them with the lab, however the lab ends.
// Guards against processes and directories left behind by a crashed or killed lab.
#include "lab/process/guardian.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>

#include <filesystem>
#include <fstream>

#include "lab/process/watch.h"
#include "support.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

struct Directory {
  Directory() {
    char name[] = "/tmp/fernward-test-XXXXXX";
    path = mkdtemp(name);
  }
  ~Directory() { std::filesystem::remove_all(path); }
  std::string path;
};

// A zombie counts as gone: the test does not reap it.
bool gone(pid_t pid) {
  if (kill(pid, 0) != 0) return true;
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string number, name, state;
  file >> number >> name >> state;
  return state.empty() || state == "Z";
}

rig::ProgramStart shell(const std::string& script, int output = -1) {
  rig::ProgramStart start;
  start.id = 7;
  start.command = {"/bin/sh", "-c", script};
  start.environment = {"LAB_WORD=heather"};
  start.output = output;
  return start;
}

std::optional<rig::ProgramNews> next(rig::Guardian& guardian) { return guardian.news(5000); }

pid_t number_in(const std::string& path) { // 0: not written yet
  std::ifstream file(path);
  pid_t pid = 0;
  file >> pid;
  return pid;
}

} // namespace

TEST_CASE("a program starts as configured and its end is reported with its CPU time") {
  Directory directory;
  rig::Guardian guardian("");
  const std::string path = directory.path + "/out";
  const int output = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  const struct {
    std::string script;
    std::uint32_t descriptors;
    int status;
    std::string says;
  } cases[] = {
      {"echo $LAB_WORD; exit 3", 0, 3, "heather\n"},
      {"ulimit -n", 77, 0, "77\n"},
      {"ls /proc/self/fd | wc -l", 0, 0, "4\n"}, // the three standard ones and one of ls: none inherited
      {"trap '' HUP; kill -HUP $$; echo on", 0, 0, "on\n"},
      {"kill -TERM $$; echo on", 0, -1, ""}}; // signals ignored by the guardian are not ignored here
  for (const auto& c : cases) {
    CAPTURE(c.script);
    REQUIRE(ftruncate(output, 0) == 0);
    lseek(output, 0, SEEK_SET);
    auto start = shell(c.script, output);
    start.descriptors = c.descriptors;
    guardian.start(start);
    const auto began = next(guardian), ended = next(guardian);
    REQUIRE(began);
    REQUIRE(ended);
    CHECK_FALSE(began->ended);
    CHECK(ended->ended);
    CHECK(ended->id == 7);
    CHECK(ended->pid == began->pid);
    CHECK((WIFEXITED(ended->status) ? WEXITSTATUS(ended->status) : -1) == c.status);
    CHECK(ended->cpu_s > 0);
    std::ifstream said(path);
    CHECK(std::string(std::istreambuf_iterator<char>(said), {}) == c.says);
  }
  close(output);
  rig::ProgramStart missing;
  missing.command = {"/nowhere/at/all"};
  guardian.start(missing);
  next(guardian);
  const auto ended = next(guardian);
  REQUIRE(ended);
  CHECK(WEXITSTATUS(ended->status) == 127);
}

TEST_CASE("the guardian ends by killing programs and their children and removing the directory") {
  Directory directory;
  const std::string inner = directory.path + "/run";
  std::filesystem::create_directory(inner);
  const std::string child = directory.path + "/child";
  pid_t pid = 0;
  {
    rig::Guardian guardian(inner);
    // The program and its child ignore signals.
    guardian.start(shell("trap '' TERM INT HUP; sleep 600 & echo $! > " + child + "; wait; sleep 600"));
    const auto began = next(guardian);
    REQUIRE(began);
    pid = began->pid;
    REQUIRE(until([&] { return number_in(child) > 0; }));
    guardian.signal(7, SIGTERM);
    usleep(50000);
    CHECK_FALSE(gone(pid));
    CHECK(rig::memory_mb(pid) > 0);
    CHECK(rig::peak_memory_mb(pid) >= rig::memory_mb(pid));
    CHECK(rig::cpu_s(pid) > 0);
    CHECK(rig::descriptors(pid) >= 3);
  }
  CHECK(gone(pid));
  CHECK(until([&] { return gone(number_in(child)); }, 1000));
  CHECK_FALSE(std::filesystem::exists(inner));
}

TEST_CASE("programs and the guardian end when the lab is killed by SIGKILL") {
  for (const bool guardian_too : {false, true}) {
    CAPTURE(guardian_too);
    Directory directory;
    const std::string inner = directory.path + "/run", pids = directory.path + "/pids";
    std::filesystem::create_directory(inner);
    const pid_t lab = fork();
    if (lab == 0) { // a separate lab process that never ends by itself
      rig::Guardian guardian(inner);
      guardian.start(shell("sleep 600"));
      const auto began = next(guardian);
      std::ofstream(pids + ".new") << began->pid << " " << guardian.pid() << "\n";
      std::filesystem::rename(pids + ".new", pids);
      for (;;) pause();
    }
    REQUIRE(until([&] { return std::filesystem::exists(pids); }));
    pid_t program = 0, guardian = 0;
    std::ifstream(pids) >> program >> guardian;
    CHECK_FALSE(gone(program));
    if (guardian_too) kill(guardian, SIGKILL); // the programs must end without the guardian
    kill(lab, SIGKILL);
    waitpid(lab, nullptr, 0);
    CHECK(until([&] { return gone(program) && gone(guardian); }, 5000));
    if (!guardian_too) CHECK(until([&] { return !std::filesystem::exists(inner); }, 5000));
  }
}

TEST_CASE("the death of the guardian is detected") {
  rig::Guardian guardian("");
  guardian.start(shell("sleep 600"));
  REQUIRE(next(guardian));
  kill(guardian.pid(), SIGKILL);
  CHECK(until([&] {
    guardian.news();
    return !guardian.lives();
  }));
}
