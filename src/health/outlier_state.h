// Outlier state of one server, from this router's attempts and other routers' reports. No I/O, no clock.
#pragma once

#include <cstdint>

#include "statistics/numbers.h"

namespace fernward::health {

constexpr double kMaxTrialBackoffMs = 8000; // upper bound of the wait for a half-open trial

/// Outlier state of one server; plain values, no allocation. Owned by the server's Replica; a restarted
/// server gets a new one.
///
///   in service -> ejected             enough consecutive failures, or other routers report it as an outlier
///   ejected -> half-open trial        a request or health check is sent to it, once trial_due()
///   half-open trial -> ejected        the trial fails; schedule_trial() doubles the wait
///   ejected or trial -> in service    record_success()
///
/// Other routers' outlier reports count only if they are more recent than the server's last response to this
/// router; their reports that it is healthy only bring the trial forward. Times: milliseconds on the caller's
/// monotonic clock.
class OutlierState {
 public:
  bool is_ejected() const { return ejected_; }
  bool trial_due(double now) const { return !half_open_trial_ && now >= next_trial_at_; }
  double next_trial_at() const { return next_trial_at_; }
  double last_response_at() const { return last_response_at_; }
  double last_failure_at() const { return last_failure_at_; }
  /// Sum of the failure weights of this router's attempts since the last response.
  int consecutive_failures() const { return consecutive_failures_; }

  /// A request or health check is sent to the server. While the server is ejected, this is the trial.
  void record_attempt_sent() { half_open_trial_ = ejected_; }
  /// The server responded, possibly that it is overloaded.
  void record_response(double now) {
    last_response_at_ = now;
    consecutive_failures_ = 0;
  }
  /// The server responded successfully. Returns true if it was ejected and is now back in service.
  bool record_success(double now);
  /// An attempt failed, or is slow. `weight`: number of failures that it counts as; 0: none.
  /// `exempt_from_ejection`: do not eject the server. Returns true if the server is now ejected; the caller
  /// then calls schedule_trial().
  bool record_failure(double now, int weight, bool exempt_from_ejection);
  /// Other routers report it as an outlier, from observations made at `observed_at`. Returns true if it is
  /// now ejected; the caller then calls schedule_trial().
  bool on_reported_outlier(double observed_at);
  /// Other routers report it as healthy, from observations made at `observed_at`.
  void on_reported_healthy(double now, double observed_at);
  /// Sets the wait for the next trial. `slow_threshold_ms`: elapsed time from which an attempt is
  /// slow; `random_unit`: uniform random number in [0, 1).
  void schedule_trial(double now, double slow_threshold_ms, double random_unit);

 private:
  int consecutive_failures_ = 0;
  bool ejected_ = false;
  bool half_open_trial_ = false;
  double last_response_at_ = kNever;
  double last_failure_at_ = kNever;
  double next_trial_at_ = 0;
  double trial_backoff_ms_ = 0; // kept for a while after a success, in case the server fails again
};

} // namespace fernward::health
