// What may be sent beyond each request's first attempt: retries and second copies, from one budget. Decides; no I/O,
// no clock.
//
// Every request earns a share of a further attempt. The share grows while there is proven room (few signs of
// crowding, limits that are not reached) and falls to the fixed least under crowding, so that a storm of retries
// cannot feed itself: what was saved up in good times is cut with it. A server's own crowding is told with each
// attempt that would go there.
//
//  - Units: milliseconds on the caller's clock, which only advances; shares from 0 to 1.
//  - Ownership: plain values, no allocation; one for each router.
#pragma once

namespace fernward::concurrency {

class RetryBudget {
 public:
  enum class Use { Retry, Hedge };

  // One came from a client: it earns. `dead`: how likely an attempt that is late will never be answered. Copies are
  // worth what they cost only as far as it is not just slow.
  void on_request(double now, double dead);
  // An attempt ended, or a request was turned away here: `crowded` where that showed a server or the fleet full
  // (turned away, shed, over a limit, late through waiting); `failed` where it brought nothing.
  void on_attempt_ended(double now, bool crowded, bool failed = false);

  // Takes one further attempt out of the budget where it holds one. `crowding`: of the server that it would go to,
  // as Limiter::crowding() tells it; a full one gets no copies, and retries from the least share alone.
  bool try_consume(double now, Use use, double crowding);

  void refund(Use use); // what spend() gave could not be sent after all

  double proven_capacity() const { return room_; } // proven, 0 to 1
  double balance() const { return saved_; }        // further attempts that may go out now
  double earned_per_request() const;               // earned by each request at present

 private:
  void pass(double now);

  double room_ = 0;    // starts unproven: a router may have been restarted by a storm
  double crowded_ = 0; // share of attempts lately that showed crowding
  double failed_ = 0;  // and that brought nothing
  double saved_ = 10;  // a few at the start, as requests that would have earned them may be out already
  double least_ = 10;  // of it, what is earned under crowding too
  double copies_ = 1;  // of it, what copies may take
  double changed_at_ = -1e18;
};

} // namespace fernward::concurrency
