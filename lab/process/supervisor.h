// A supervisor process that starts the lab's programs, and outlives the lab until it has ended them.
//
// Each program runs in its own process group, with its standard output and error redirected as the lab
// requests, and is killed if the supervisor dies. When the lab ends, is killed, or destroys its
// ProcessSupervisor, the supervisor kills every remaining group, removes the lab's directory and exits. It is
// not in the terminal's process group, so that Ctrl-C reaches only the lab.
//
// Create it before the lab starts threads; use it from one thread.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fernward::rig {

struct ProgramStart {
  std::uint32_t id = 0;                 // assigned by the caller
  std::vector<std::string> command;     // the program, found as execvp does, and its arguments
  std::vector<std::string> environment; // NAME=value, added to the lab's own environment
  std::uint32_t descriptors = 0;        // RLIMIT_NOFILE; 0: the lab's
  int output = -1;                      // standard output and error; the caller keeps its descriptor
};

// A program was started or has ended.
struct ProgramEvent {
  std::uint32_t id = 0; // as in ProgramStart
  pid_t pid = 0;
  bool ended = false; // false: started
  int status = 0;     // ended: as returned by waitpid; as for exit code 127 if fork failed
  double cpu_s = 0;   // ended: its CPU time
};

// The lab's end of the connection to the supervisor process.
class ProcessSupervisor {
 public:
  // `directory` is removed at the end with its contents; empty: none.
  explicit ProcessSupervisor(const std::string& directory); // throws std::runtime_error
  ~ProcessSupervisor(); // returns when the programs have ended and the directory is removed
  ProcessSupervisor(const ProcessSupervisor&) = delete;
  ProcessSupervisor& operator=(const ProcessSupervisor&) = delete;

  void start(const ProgramStart& start);     // next_event() reports its start and end
  void signal(std::uint32_t id, int number); // to the program; SIGKILL: to its process group
  // Returns the next event, if any; waits up to `wait_ms` for one.
  std::optional<ProgramEvent> next_event(int wait_ms = 0);
  bool alive() const { return !connection_lost_; } // false: the supervisor process has ended
  int fd() const { return socket_; }               // readable when there are events
  pid_t pid() const { return pid_; }               // of the supervisor process

 private:
  pid_t pid_ = -1;
  int socket_ = -1;
  bool connection_lost_ = false;
};

} // namespace fernward::rig
