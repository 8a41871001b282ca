// The answers of one crowded discovery server: made one after another at a fixed rate, then sent in pieces that take
// turns at a fixed bandwidth.
//
// Capacity that was spent on a call that is given up meanwhile is not given back.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "lab/shared/loop.h"
#include "loop/slot_map.h"
#include "model/spec.h"

namespace fernward::rig {

class AnswerQueue {
 public:
  using Handle = loop::Handle;

  // The calls that wait for answers.
  class Calls {
   public:
    enum class State { Open, Silent, Closed }; // Silent: nothing may be sent to it now

    virtual State state(Handle call) = 0;
    // Its answer as of now, headers included; none: the call no longer waits for one.
    virtual std::optional<std::string> make_answer(Handle call) = 0;
    virtual void send_piece(Handle call, std::string_view piece, bool is_last) = 0;

   protected:
    ~Calls() = default;
  };

  // `spec` and `calls` outlive it.
  AnswerQueue(const model::CongestionSpec& spec, Loop& loop, Calls& calls)
      : spec_(spec), loop_(loop), calls_(calls) {}

  void add(Handle call);

 private:
  struct Answer {
    Handle call = 0;
    std::string bytes;
    std::size_t sent = 0;
    double due = 0; // the next piece goes out at this time or later
  };

  void make_next();
  void made();
  void send_next();
  std::optional<Answer> take_due(double now);
  void sent();
  std::size_t piece_size(const Answer& answer) const;

  const model::CongestionSpec& spec_;
  Loop& loop_;
  Calls& calls_;
  std::deque<Handle> waiting_;    // for their answers to be made; the first is being made where `making_`
  std::deque<Answer> sending_;    // in turn
  std::optional<Answer> on_wire_; // whose next piece is being sent
  bool making_ = false;
  double made_at_ = 0, sent_at_ = 0;    // when the present answer is made, the present piece sent
  loop::TimerQueue::TimerId pause_ = 0; // until the next piece is due
};

} // namespace fernward::rig
