// Blocks all signals for the calling thread within a scope, around fork() and exec().
//
// A signal that reaches the new process before it has reset its handlers would run an inherited handler, or
// be lost if the parent ignores it. A blocked signal stays pending until deliver_by_default().
#pragma once

#include <signal.h>

#include <initializer_list>

namespace fernward::loop {

class BlockedSignals {
 public:
  BlockedSignals() {
    sigset_t all_signals;
    sigfillset(&all_signals);
    sigprocmask(SIG_BLOCK, &all_signals, &previous_mask_);
  }
  ~BlockedSignals() { sigprocmask(SIG_SETMASK, &previous_mask_, nullptr); }
  BlockedSignals(const BlockedSignals&) = delete;
  BlockedSignals& operator=(const BlockedSignals&) = delete;

  /// For the new process, before exec(): resets `signals` to their default actions and unblocks all signals,
  /// which delivers the pending ones. Async-signal-safe: may be called between fork() and exec().
  static void deliver_by_default(std::initializer_list<int> signals) {
    for (const int signal_number : signals) ::signal(signal_number, SIG_DFL);
    sigset_t no_signals;
    sigemptyset(&no_signals);
    sigprocmask(SIG_SETMASK, &no_signals, nullptr);
  }

 private:
  sigset_t previous_mask_{};
};

} // namespace fernward::loop
