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

// ClientGone: the client disconnected before its response.
enum class Outcome { Answered, Deferred, Errored, Gone };

class Figures {
 public:
  using Gauge = std::function<double()>;

  explicit Figures(std::vector<std::string> classes) { name(std::move(classes)); }
  Figures(const Figures&) = delete;
  Figures& operator=(const Figures&) = delete;

  // Called at construction and after a reload: existing classes keep their index, new ones are appended.
  void name(std::vector<std::string> classes);
  void gauge(std::string name, Gauge gauge) { gauges_.emplace_back(std::move(name), std::move(gauge)); }

  // Tracks one accepted request. It is counted once, when it ends, by its first outcome; if it is destroyed
  // without one, as ClientGone.
  class Taken {
   public:
    Taken() = default;
    Taken(Taken&& other) noexcept
        : figures_(std::exchange(other.figures_, nullptr)), cls_(other.cls_), whole_(other.whole_) {}
    Taken& operator=(Taken&& other) noexcept {
      if (this == &other) return *this;
      end(Outcome::Gone);
      figures_ = std::exchange(other.figures_, nullptr);
      cls_ = other.cls_;
      whole_ = other.whole_;
      return *this;
    }
    ~Taken() { end(Outcome::Gone); }

    void whole() { // the request has been received completely: counts as active from now on
      if (figures_ != nullptr && !std::exchange(whole_, true)) ++figures_->current_;
    }
    void end(Outcome how) {
      if (figures_ == nullptr) return;
      figures_->current_ -= whole_;
      std::exchange(figures_, nullptr)->ended(cls_, how);
    }

   private:
    friend class Figures;
    Taken(Figures& figures, std::size_t cls) : figures_(&figures), cls_(cls) {}
    Figures* figures_ = nullptr;
    std::size_t cls_ = 0;
    bool whole_ = false;
  };
  Taken take(std::size_t cls) { return {*this, cls}; }

  void sent() { ++sends_; } // the last byte of an attempt has been sent to its server

  std::uint64_t count(std::size_t cls, Outcome how) const;
  std::uint64_t all(Outcome how) const;
  std::uint64_t sends() const { return sends_; }
  std::uint64_t current() const { return current_; }

  std::string lines() const; // one line "router.NAME=VALUE" per counter and gauge

 private:
  struct Class {
    std::string name;
    std::uint64_t ended[4] = {};
  };
  void ended(std::size_t cls, Outcome how) {
    if (cls < classes_.size()) ++classes_[cls].ended[static_cast<std::size_t>(how)];
  }

  std::vector<Class> classes_;
  std::uint64_t sends_ = 0, current_ = 0;
  std::vector<std::pair<std::string, Gauge>> gauges_;
};

} // namespace fernward::figures
