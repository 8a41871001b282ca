// A scope in which no signal is delivered to the calling thread.
//
// For fork() and exec(): a signal that is sent to the new process before it has put its handlers back would run a handler
// that it inherited, or be ignored as its parent ignores it, and be lost. Blocked, it stays pending until
// deliver_by_default() has put the handlers back.
#pragma once

#include <signal.h>

#include <initializer_list>

namespace fernward::loop {

class BlockedSignals {
 public:
  BlockedSignals() {
    sigset_t all;
    sigfillset(&all);
    sigprocmask(SIG_BLOCK, &all, &before_);
  }
  ~BlockedSignals() { sigprocmask(SIG_SETMASK, &before_, nullptr); }
  BlockedSignals(const BlockedSignals&) = delete;
  BlockedSignals& operator=(const BlockedSignals&) = delete;

  /// In a new process, before exec(): these get their default actions, and what came meanwhile is delivered. Safe between
  /// fork() and exec().
  static void deliver_by_default(std::initializer_list<int> signals) {
    for (const int number : signals) ::signal(number, SIG_DFL);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
  }

 private:
  sigset_t before_{};
};

} // namespace fernward::loop
