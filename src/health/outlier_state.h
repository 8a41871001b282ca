// Whether a server is ejected, by own attempts and by what other routers say. No I/O, no clock.
#pragma once

#include <cstdint>

#include "statistics/numbers.h"

namespace fernward::health {

constexpr double kMaxTrialBackoffMs = 8000; // the longest wait for a half-open trial

/// One server's outlier state; plain values, no allocation. A server that was restarted gets a new one.
///
///   in service -> ejected             enough failures in a row, or others report it as an outlier
///   ejected -> half-open trial        a request or health check is sent there, once trial_due()
///   half-open trial -> ejected        it fails; schedule_trial() doubles the wait
///   ejected or trial -> in service    record_success()
///
/// What others say counts only where it is younger than the server's last response here, and a good word of
/// theirs only brings the trial forward. Times: milliseconds on the caller's clock, which only advances.
class OutlierState {
 public:
  bool is_ejected() const { return ejected_; }
  bool trial_due(double now) const { return !half_open_trial_ && now >= next_trial_at_; }
  double next_trial_at() const { return next_trial_at_; }
  double last_response_at() const { return last_response_at_; }
  double last_failure_at() const { return last_failure_at_; }
  /// By this router's own attempts, since the last response.
  int consecutive_failures() const { return consecutive_failures_; }

  /// A request or health check goes there. While the server is ejected, it is the trial.
  void record_sent() { half_open_trial_ = ejected_; }
  /// The server responded, be it that it is overloaded.
  void record_response(double now) {
    last_response_at_ = now;
    consecutive_failures_ = 0;
  }
  /// A good response. True: the server was ejected and is back in service.
  bool record_success(double now);
  /// An attempt was refused, broke or came to nothing. `weight`: failures that it counts for; 0: none.
  /// `stays`: the server must not be ejected. True: it is ejected now; call schedule_trial().
  bool record_failure(double now, int weight, bool stays);
  /// Others report it as an outlier, by evidence as old as `observed_at`. True: it is ejected now; call
  /// schedule_trial().
  bool on_reported_outlier(double observed_at);
  void on_reported_healthy(double now, double observed_at);
  /// Sets the wait for the next trial. `slow_ms`: from when on an attempt is slow; `draw`: even from 0 to 1.
  void schedule_trial(double now, double slow_ms, double draw);

 private:
  int consecutive_failures_ = 0;
  bool ejected_ = false;
  bool half_open_trial_ = false;
  double last_response_at_ = kNever;
  double last_failure_at_ = kNever;
  double next_trial_at_ = 0;
  double trial_backoff_ms_ = 0; // kept for a while after a success, for a server that fails again
};

} // namespace fernward::health
