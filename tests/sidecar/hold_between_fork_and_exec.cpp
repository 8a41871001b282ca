// Preloaded into the sidecar by a test. Replaces setpgid(), which the router's process calls between fork()
// and the reset of its signal handlers, so that the process stops there until it receives SIGCONT.
#include <signal.h>
#include <sys/syscall.h>
#include <unistd.h>

extern "C" int setpgid(pid_t pid, pid_t group) {
  raise(SIGSTOP);
  return static_cast<int>(syscall(SYS_setpgid, pid, group));
}
