// Transfers records from the threads that produce them to the one that passes them to the sink.
#pragma once

#include <cstdint>
#include <mutex>
#include <queue>
#include <string>
#include <variant>
#include <vector>

#include "model/records.h"

namespace fernward::rig {

struct BufferedRouterLog { // a RouterLogLine that owns its text
  double at = 0;
  model::RouterId router = 0;
  std::string text;
};

using Record = std::variant<model::DrawnRequest, model::TrySent, model::TryEnded, model::RequestEnded,
                            model::AttemptArrived, model::AttemptStarted, model::AttemptEnded,
                            model::LoadSample, model::NodeEvent, model::RouterEvent, model::EndpointNotified,
                            model::EventMark, BufferedRouterLog>;

// Holds the records of all threads until the merger takes them.
class RecordBuffer {
 public:
  void add(Record record) { // from any thread
    const std::lock_guard lock(mutex_);
    records_.push_back(std::move(record));
  }
  void swap_out(std::vector<Record>& records) { // takes all records; `records` must be empty
    const std::lock_guard lock(mutex_);
    records_.swap(records);
  }

 private:
  std::mutex mutex_;
  std::vector<Record> records_;
};

// Sorts buffered records by time and passes them to the sink. Used by one thread.
//
// Records older than `reorder_window_ms` are passed on, so that the record rate bounds the queue. A record
// that arrives later than that is passed on out of order by the next release().
class RecordMerger {
 public:
  RecordMerger(model::Sink& sink, double reorder_window_ms)
      : sink_(sink), reorder_window_ms_(reorder_window_ms) {}

  void add_from(RecordBuffer& buffer);
  void release(double now); // passes on records older than the window
  void release_all();
  std::size_t queued() const { return queue_.size(); }

 private:
  struct QueuedRecord {
    double at;
    std::uint64_t number; // order of arrival, for equal times
    Record record;
  };
  struct OrderedAfter {
    bool operator()(const QueuedRecord& a, const QueuedRecord& b) const {
      return a.at != b.at ? a.at > b.at : a.number > b.number;
    }
  };
  void emit_earliest();

  model::Sink& sink_;
  double reorder_window_ms_;
  std::uint64_t record_count_ = 0;
  std::vector<Record> batch_;
  std::vector<QueuedRecord> queue_; // a heap
};

} // namespace fernward::rig
