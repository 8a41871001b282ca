// Preloaded into the sidecar by a test: the router's process stops itself between fork() and the reset of its signal
// handlers, where it calls setpgid(), until it is continued.
#include <signal.h>
#include <sys/syscall.h>
#include <unistd.h>

extern "C" int setpgid(pid_t pid, pid_t group) {
  raise(SIGSTOP);
  return static_cast<int>(syscall(SYS_setpgid, pid, group));
}
