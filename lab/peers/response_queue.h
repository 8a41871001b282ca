// The responses of one congested discovery server: they are made one after another at a fixed rate, then sent
// in pieces, in round-robin order, at a fixed bandwidth.
//
// Capacity spent on a call that is cancelled meanwhile is not recovered.
#pragma once

#include <deque>
#include <optional>
#include <string>
#include <string_view>

#include "lab/shared/loop.h"
#include "loop/slot_map.h"
#include "model/spec.h"

namespace fernward::rig {

// The queue of one server. Used on its loop's thread only.
class ResponseQueue {
 public:
  using Handle = loop::Handle;

  // The calls that wait for responses.
  class PendingCalls {
   public:
    enum class State { Open, Silent, Closed }; // Silent: nothing may be sent to the caller now

    virtual State state(Handle call) = 0;
    // The response as of now, headers included; none: the call no longer waits for one.
    virtual std::optional<std::string> make_response(Handle call) = 0;
    virtual void send_piece(Handle call, std::string_view piece, bool is_last) = 0;

   protected:
    ~PendingCalls() = default;
  };

  // `spec` and `calls` must outlive it.
  ResponseQueue(const model::CongestionSpec& spec, RunLoop& loop, PendingCalls& calls)
      : spec_(spec), loop_(loop), calls_(calls) {}

  void add(Handle call); // the call waits for a response

 private:
  struct QueuedResponse {
    Handle call = 0;
    std::string bytes;
    std::size_t sent_bytes = 0;
    double next_piece_at = 0; // earliest time of the next piece
  };

  void make_next();
  void on_made();
  void send_next();
  std::optional<QueuedResponse> take_due(double now);
  void on_piece_sent();
  std::size_t piece_size(const QueuedResponse& response) const;

  const model::CongestionSpec& spec_;
  RunLoop& loop_;
  PendingCalls& calls_;
  std::deque<Handle> waiting_; // calls without responses; if `making_`, the first response is being made
  std::deque<QueuedResponse> sending_;       // responses to send, in round-robin order
  std::optional<QueuedResponse> being_sent_; // the response of which a piece is being sent
  bool making_ = false;
  double made_at_ = 0, sent_at_ = 0; // when the current response is made, the current piece sent
  loop::TimerQueue::TimerId next_piece_timer_ = 0; // fires when the next piece is due
};

} // namespace fernward::rig
