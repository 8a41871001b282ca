// What the router has done and what it has in hand: counters that are written where a thing happens, each in
// one place, and gauges that are asked when somebody reads. One registry; the operators' port, the log and
// the lab read it.
//
// Counting is an addition to a number: nothing is looked up or allocated. One thread. Counters begin at 0
// with the process.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace fernward::figures {

enum class Outcome { Answered, Deferred, Errored, Gone }; // Gone: nobody was there to take an answer

class Figures {
 public:
  using Gauge = std::function<double()>;

  explicit Figures(std::vector<std::string> classes) { name(std::move(classes)); }
  Figures(const Figures&) = delete;
  Figures& operator=(const Figures&) = delete;

  // After a reload: classes keep their numbers, new ones follow them.
  void name(std::vector<std::string> classes);
  void gauge(std::string name, Gauge gauge) { gauges_.emplace_back(std::move(name), std::move(gauge)); }

  // A request that the router has taken. It is counted when it ends, once, by its first outcome.
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

    void whole() { // its last byte has come: from now on it is one of `current`
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

  void sent() { ++sends_; } // an attempt's last byte has left for its node

  std::uint64_t count(std::size_t cls, Outcome how) const;
  std::uint64_t all(Outcome how) const;
  std::uint64_t sends() const { return sends_; }
  std::uint64_t current() const { return current_; }

  std::string lines() const; // "router.NAME=VALUE", a line each

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
