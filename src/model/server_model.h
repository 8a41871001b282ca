// A machine that processes attempts: the common base of cache nodes and the origin.
//
// The caller reports what happens at `now` and receives ServerActions to execute, each with the time at which
// it took place (at `now` or since the last call). It calls advance() at next_due_ms() or later. On sockets a
// small delay is harmless, because actions are computed for the times at which they were due. Every attempt
// that arrives gets exactly one Answered action, at the latest from terminate(). Time never goes back: a call
// with an earlier `now` is treated as made at the latest time seen.
//
// Bounds: at most `max_active` + `max_queued` attempts and `max_connections` connections are held.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "model/plan.h"
#include "model/records.h"
#include "model/rng.h"
#include "model/shared_processor.h"

namespace fernward::model {

using ConnectionId = std::uint64_t;

struct ServerAttempt { // an attempt as it arrives
  AttemptId id = 0;    // not 0
  std::uint32_t cls = 0;
  std::uint64_t key = 0, idempotency_key = 0;
  bool write = false;
  bool notified = true; // see AttemptArrived in the records
  double work_ms = 0;   // work of the request; the origin draws its own
  double size_bytes = 0;
  double deadline = 0; // when the router stops waiting; 0: unknown
};

struct ServerAction {
  enum class What {
    Started,      // work on attempt `id` has started
    Answered,     // attempt `id` has ended
    Connected,    // the handshake of connection `id` is complete: attempts on it may be processed
    Warm,         // the node has its full capacity
    Overloaded,   // the node has failed from overload: all its attempts have ended with ServerOutcome::Lost
    OriginFailed, // the origin has failed in the same way; it recovers by itself
    OriginRecovered, // the origin has recovered
  };
  double at = 0;
  What what = What::Started;
  std::uint64_t id = 0;
  ServerOutcome outcome = ServerOutcome::Hit; // Answered, with the next four members
  bool started = false, awaited = true;
  double queued_ms = 0, work_done_ms = 0;
  bool cold = false; // Overloaded, with the next member
  double notified_share = 0;
};
using ServerActions = std::vector<ServerAction>;

enum class ServerPhase { Off, Up, Draining };

class ServerModel {
 public:
  virtual ~ServerModel() = default;
  ServerModel(const ServerModel&) = delete;
  ServerModel& operator=(const ServerModel&) = delete;

  ServerPhase phase() const { return phase_; }
  std::uint32_t connections() const { return connections_; }
  std::size_t active() const { return active_; }
  std::size_t queued() const { return queue_.size(); }

  // A connection reaches the machine. False: refused, as the machine is not running or its table is full.
  bool connect(double now, ConnectionId id, ServerActions& actions);
  void disconnect(double now); // closes any one connection that connect() accepted
  void arrive(double now, const ServerAttempt& attempt, ServerActions& actions);
  void cancel(double now, AttemptId id, ServerActions& actions); // the router no longer waits for the attempt

  virtual void start(double now, ServerActions& actions);
  void drain(double now, ServerActions& actions); // rejects new attempts and completes the others
  // The process ends: its attempts are lost, its connections closed.
  void terminate(double now, ServerActions& actions);

  double next_due_ms() const; // when advance() must be called; infinity: never
  void advance(double now, ServerActions& actions);

  // The load report that a response would carry now, in the order of ReportSpec::fields; empty: none.
  void report(double now, std::vector<float>& fields);
  // The state since the last sample, for the records; `at` and `machine` are set.
  LoadSample sample(double now);

 protected:
  struct WorkItem {
    ServerAttempt attempt;
    double arrived_at = 0, started_at = 0, work = 0;
    ServerOutcome outcome = ServerOutcome::Hit; // outcome once its work is done
    bool in_use = false, started = false, awaited = true, handshake = false;
  };
  struct Limits {
    double cores = 1, speed = 1;
    std::uint32_t max_active = 1, max_queued = 0, max_connections = 1;
    double handshake_work_ms = 0, error_rate = 0;
    bool drops_expired = false;
    CancelPolicy cancel_policy = CancelPolicy::Keep;
    ReportSpec report;
  };

  ServerModel(MachineId machine, const Limits& limits, std::uint64_t seed);

  // Called when work on an item starts: sets its `work` and `outcome`.
  virtual void on_work_start(double now, WorkItem& item) = 0;
  // Called before an attempt that arrives is started, queued or rejected; may stop the machine.
  virtual void on_arrival(double, const ServerAttempt&, ServerActions&) {}
  virtual void on_work_finished(double, WorkItem&) {}
  // The share of the full capacity that is available now.
  virtual double capacity_share(double now) const = 0;
  // When the capacity next changes by itself (see on_capacity_change()); infinity: never.
  virtual double next_capacity_change_ms() const;
  virtual void on_capacity_change(double, ServerActions&) {}
  virtual void on_terminated() {}
  virtual double other_report_value(double) { return 0; } // LoadReportField::Other
  virtual double memory_bytes() const { return 0; }       // LoadSample::memory_bytes

  void update_rate(double now);                      // call after every change that may affect the capacity
  void lose_all(double now, ServerActions& actions); // stops the machine: all attempts end as Lost
  double latest_ms() const { return latest_ms_; }
  double total_work_done() const { return processor_.total_work(latest_ms_); }
  const Limits limits_;
  const MachineId machine_;
  Engine engine_;
  ServerPhase phase_ = ServerPhase::Off;

 private:
  struct Reading {
    double at;
    std::vector<float> fields;
  };

  std::uint32_t take_slot();
  void start_work(double now, std::uint32_t slot, ServerActions& actions);
  void end_attempt(double now, std::uint32_t slot, ServerOutcome outcome, ServerActions& actions);
  void start_queued(double now, ServerActions& actions);
  void finish_job(double now, ServerActions& actions);
  void take_readings_until(double now);
  void take_reading(double at);
  void process_until(double now, ServerActions& actions);

  double latest_ms_ = 0;
  SharedProcessor processor_;
  std::vector<WorkItem> work_items_;
  std::vector<std::uint32_t> free_slots_;
  std::deque<std::uint32_t> queue_;
  std::size_t active_ = 0;
  std::uint32_t connections_ = 0;

  // Reports: values since the last reading, and the recent readings, some of them not available yet.
  double next_reading_ms_ = 0, served_since_reading_ = 0, errors_since_reading_ = 0, mean_latency_ms_ = 0,
         served_per_s_ = 0, errors_per_s_ = 0;
  double work_done_at_reading_ = 0, capacity_at_reading_ = 0; // capacity: its integral
  std::deque<Reading> readings_;

  // State of sample() and of the readings.
  // The current share of the capacity, since when, and its integral until then.
  double capacity_share_ = 0, capacity_since_ms_ = 0, capacity_integral_ = 0;
  double work_done_at_sample_ = 0, capacity_at_sample_ = 0; // at the last sample
  std::uint32_t new_connections_ = 0;
};

} // namespace fernward::model
