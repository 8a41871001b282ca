// The router's statistics: counters, each incremented in one place where the event occurs, and gauges, which
// are computed when they are read. There is one registry per router; the control port, the log and the lab
// read it.
//
// Counting only increments an integer, without lookup or allocation. Not thread-safe. Counters start at 0
// with the process.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace fernward::figures {

// Deferred: rejected with status 503, so that the client can retry later. Errored: any other failure.
// ClientDisconnected: the client disconnected before its response.
enum class Outcome { Answered, Deferred, Errored, ClientDisconnected };

class RouterStats {
 public:
  using Gauge = std::function<double()>;

  explicit RouterStats(std::vector<std::string> class_names) { set_class_names(std::move(class_names)); }
  RouterStats(const RouterStats&) = delete;
  RouterStats& operator=(const RouterStats&) = delete;

  // Called at construction and after a reload: existing classes keep their index, new ones are appended.
  void set_class_names(std::vector<std::string> class_names);
  void add_gauge(std::string name, Gauge gauge) { gauges_.emplace_back(std::move(name), std::move(gauge)); }

  // Tracks one accepted request. It is counted once, when it ends, by its first outcome; if it is destroyed
  // without one, as ClientDisconnected.
  class RequestTracker {
   public:
    RequestTracker() = default;
    RequestTracker(RequestTracker&& other) noexcept
        : stats_(std::exchange(other.stats_, nullptr)),
          class_index_(other.class_index_),
          complete_(other.complete_) {}
    RequestTracker& operator=(RequestTracker&& other) noexcept {
      if (this == &other) return *this;
      end(Outcome::ClientDisconnected);
      stats_ = std::exchange(other.stats_, nullptr);
      class_index_ = other.class_index_;
      complete_ = other.complete_;
      return *this;
    }
    ~RequestTracker() { end(Outcome::ClientDisconnected); }

    void set_complete() { // the request has been received completely: counts as active from now on
      if (stats_ != nullptr && !std::exchange(complete_, true)) ++stats_->active_requests_;
    }
    void end(Outcome outcome) {
      if (stats_ == nullptr) return;
      stats_->active_requests_ -= complete_;
      std::exchange(stats_, nullptr)->count_outcome(class_index_, outcome);
    }

   private:
    friend class RouterStats;
    RequestTracker(RouterStats& stats, std::size_t class_index) : stats_(&stats), class_index_(class_index) {}
    RouterStats* stats_ = nullptr;
    std::size_t class_index_ = 0;
    bool complete_ = false;
  };
  RequestTracker track_request(std::size_t class_index) { return {*this, class_index}; }

  void count_attempt() { ++attempts_sent_; } // the last byte of an attempt has been sent to its server

  std::uint64_t count(std::size_t class_index, Outcome outcome) const;
  std::uint64_t total(Outcome outcome) const;
  std::uint64_t attempts_sent() const { return attempts_sent_; }
  std::uint64_t active_requests() const { return active_requests_; }

  std::string to_text() const; // one line "router.NAME=VALUE" per counter and gauge

 private:
  struct ClassCounts {
    std::string name;
    std::uint64_t outcome_counts[4] = {};
  };
  void count_outcome(std::size_t class_index, Outcome outcome) {
    if (class_index < class_counts_.size())
      ++class_counts_[class_index].outcome_counts[static_cast<std::size_t>(outcome)];
  }

  std::vector<ClassCounts> class_counts_;
  std::uint64_t attempts_sent_ = 0, active_requests_ = 0;
  std::vector<std::pair<std::string, Gauge>> gauges_;
};

} // namespace fernward::figures
