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
#include "model/processor.h"
#include "model/record.h"
#include "model/rng.h"

namespace fernward::model {

using ConnectionId = std::uint64_t;

struct Attempt {    // an attempt as it arrives
  AttemptId id = 0; // not 0
  std::uint32_t cls = 0;
  std::uint64_t key = 0, repeat_key = 0;
  bool write = false;
  bool told = true;   // see AttemptArrived in the records
  double work_ms = 0; // work of the request; the origin draws its own
  double size_bytes = 0;
  double deadline = 0; // when the router stops waiting; 0: unknown
};

struct Act {
  enum class What {
    Began,      // work on attempt `id` has started
    Answered,   // attempt `id` has ended
    Connected,  // the handshake of connection `id` is complete: attempts on it may be processed
    Warm,       // the node has its full capacity
    TippedOver, // the node has failed from overload: all its attempts have ended with ServerOutcome::Lost
    Fell,       // the origin has failed in the same way; it recovers by itself
    Returned,   // the origin has recovered
  };
  double at = 0;
  What what = What::Began;
  std::uint64_t id = 0;
  Ending ending = Ending::Hit; // Answered, with the next four members
  bool begun = false, wanted = true;
  double waited_ms = 0, worked_ms = 0;
  bool cold = false; // Overloaded, with the next member
  double told_share = 0;
};
using Acts = std::vector<Act>;

enum class Phase { Off, Up, Draining };

class Station {
 public:
  virtual ~Station() = default;
  Station(const Station&) = delete;
  Station& operator=(const Station&) = delete;

  Phase phase() const { return phase_; }
  std::uint32_t connections() const { return connections_; }
  std::size_t in_work() const { return in_work_; }
  std::size_t waiting() const { return queue_.size(); }

  // A connection reaches the machine. False: refused, as the machine is not running or its table is full.
  bool connect(double now, ConnectionId id, Acts& acts);
  void disconnect(double now); // closes any one connection that connect() accepted
  void arrive(double now, const Attempt& attempt, Acts& acts);
  void cancel(double now, AttemptId id, Acts& acts); // the router no longer waits for the attempt

  virtual void start(double now, Acts& acts);
  void drain(double now, Acts& acts);
  void end(double now, Acts& acts); // the process ends: its attempts are lost, its connections closed

  double next() const; // when advance() must be called; infinity: never
  void advance(double now, Acts& acts);

  // The load report that a response would carry now, in the order of ReportSpec::fields; empty: none.
  void report(double now, std::vector<float>& fields);
  // The state since the last sample, for the records; `at` and `machine` are set.
  LoadSample sample(double now);

 protected:
  struct Held {
    Attempt attempt;
    double came_at = 0, began_at = 0, work = 0;
    Ending ending = Ending::Hit; // outcome once its work is done
    bool in_use = false, begun = false, wanted = true, handshake = false;
  };
  struct Limits {
    double cores = 1, speed = 1;
    std::uint32_t places = 1, waiting = 0, connections = 1;
    double handshake_ms = 0, error_rate = 0;
    bool drops_expired = false;
    OnCancel on_cancel = OnCancel::Keep;
    ReportSpec report;
  };

  Station(MachineId machine, const Limits& limits, std::uint64_t seed);

  // Called when work on an item starts: sets its `work` and `outcome`.
  virtual void begin(double now, Held& held) = 0;
  virtual void on_arrival(double, const Attempt&, Acts&) {}
  virtual void finished(double, Held&) {}
  // The share of the full capacity that is available now.
  virtual double capacity(double now) const = 0;
  // When the capacity next changes by itself (see on_capacity_change()); infinity: never.
  virtual double next_change() const;
  virtual void change(double, Acts&) {}
  virtual void ended() {}
  virtual double other_report(double) { return 0; }
  virtual double memory_bytes() const { return 0; }

  void refresh(double now); // call after every change that may affect the capacity
  void lose_all(double now, Acts& acts);
  double seen() const { return now_; }
  double work_done() const { return processor_.done(now_); }
  const Limits limits_;
  const MachineId machine_;
  Engine engine_;
  Phase phase_ = Phase::Off;

 private:
  struct Reading {
    double at;
    std::vector<float> fields;
  };

  std::uint32_t take_slot();
  void start_work(double now, std::uint32_t slot, Acts& acts);
  void answer(double now, std::uint32_t slot, Ending ending, Acts& acts);
  void fill_places(double now, Acts& acts);
  void job_done(double now, Acts& acts);
  void read_until(double now);
  void read(double at);
  void reach(double now, Acts& acts);

  double now_ = 0;
  Processor processor_;
  std::vector<Held> held_;
  std::vector<std::uint32_t> free_;
  std::deque<std::uint32_t> queue_;
  std::size_t in_work_ = 0;
  std::uint32_t connections_ = 0;

  // Reports: values since the last reading, and the recent readings, some of them not available yet.
  double next_reading_ = 0, served_ = 0, errors_ = 0, latency_ = 0, qps_ = 0, eps_ = 0;
  double read_done_ = 0, read_capacity_ = 0; // work done and integral of the capacity at the last reading
  std::deque<Reading> readings_;

  // State of sample().
  double capacity_ = 0, capacity_at_ = 0, capacity_sum_ = 0; // current share, since when; its integral
  double sampled_done_ = 0, sampled_capacity_ = 0;
  std::uint32_t new_connections_ = 0;
};

} // namespace fernward::model
