// Transfers records from the threads that produce them to the one that passes them to the sink.
#pragma once

#include <cstdint>
#include <mutex>
#include <queue>
#include <string>
#include <variant>
#include <vector>

#include "model/record.h"

namespace fernward::rig {

struct OwnedLog { // a RouterLog that owns its text
  double at = 0;
  model::RouterId router = 0;
  std::string text;
};

using Record = std::variant<model::Drawn, model::Tried, model::Answered, model::Closed, model::Arrived,
                            model::Begun, model::AttemptEnded, model::LoadSample, model::NodeEvent,
                            model::RouterEvent, model::Told, model::Mark, OwnedLog>;

class Tape {
 public:
  void add(Record record) { // from any thread
    const std::lock_guard lock(mutex_);
    records_.push_back(std::move(record));
  }
  void take(std::vector<Record>& into) { // swaps: `records` must be empty
    const std::lock_guard lock(mutex_);
    records_.swap(into);
  }

 private:
  std::mutex mutex_;
  std::vector<Record> records_;
};

// Sorts the records of several buffers by time and passes them to the sink.
//
// Records older than `reorder_window_ms` are passed on, so the queue is bounded by the record rate. A record
// that arrives later than that is passed on at once.
class Merger {
 public:
  Merger(model::Sink& sink, double hold_ms) : sink_(sink), hold_ms_(hold_ms) {}

  void take(Tape& tape);
  void release(double now); // passes on records older than the window
  void release_all();
  std::size_t held() const { return waiting_.size(); }

 private:
  struct Waiting {
    double at;
    std::uint64_t number; // order of arrival, for equal times
    Record record;
  };
  struct Later {
    bool operator()(const Waiting& a, const Waiting& b) const {
      return a.at != b.at ? a.at > b.at : a.number > b.number;
    }
  };
  void out();

  model::Sink& sink_;
  double hold_ms_;
  std::uint64_t taken_ = 0;
  std::vector<Record> batch_;
  std::vector<Waiting> waiting_; // a heap
};

} // namespace fernward::rig
