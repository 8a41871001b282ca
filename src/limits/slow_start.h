// Slow start: how many requests this router lets servers have that are still cold. Decides; no I/O, no clock.
//
// The settings tell how many times its present capacity a cold server may be sent within a window, and which share of
// its capacity it has by then, but no capacity. A warm server can do at least what it answers, and what the routers hear
// from it adds up to that, however many they are and however unevenly they are asked. So each lets a cold server have
// its part of the multiple, times the warmth, times what it hears from a warm one of that weight, within any window: all
// together stay below what the settings allow. A share of what comes would grow with a spike, a hot key, or clients that
// come again while other servers are full.
//
//  - Units: ticks of the caller, all of one length; requests.
//  - Ownership: plain values, no allocation; SlowStart one for each router, TokenBucket one for each server.
#pragma once

#include <algorithm>

#include "fernward/choice.h"
#include "numbers/numbers.h"

namespace fernward::limits {

class TokenBucket {
 public:
  TokenBucket() = default;
  explicit TokenBucket(double tokens) : tokens_(tokens) {}

  bool holds() const { return tokens_ >= 1; }
  void take() { tokens_ -= holds(); }
  // `more` comes in; up to `most` is saved up, and always one.
  void fill(double more, double most) { tokens_ = std::min(tokens_ + more, std::max(most, 1.0)); }

 private:
  double tokens_ = 0;
};

// What a cold server is let have by this router alone.
struct StartPart {
  TokenBucket bucket;
  bool whole = false; // it comes to a request and more within the window
};

class SlowStart {
 public:
  // `draw`: evenly from 0 to 1. No router begins with a whole token, else a thousand of them begin with a thousand at
  // once. Beginnings are spread, so that all together let through what their rates come to, at any moment and also
  // where each has a part of one request alone; and who starts again has no more of it.
  SlowStart(double draw, double tick_ms) : draw_(draw), tick_ms_(tick_ms), all_(draw) {}

  StartPart part() const { return {TokenBucket(draw_), false}; } // of a server that has just started

  // A server answered and had what it was asked for: a miss takes too little work to tell of its capacity.
  void hit(bool cold) { hits_ += !cold; }

  bool known() const {
    return rate_ >= 0;
  } // before the first hit of a warm server nothing is, and nothing is bounded here

  // What is under one request for each server is bounded for all of them together, else most of it would wait for a
  // request that goes elsewhere.
  bool allows(const StartPart& part) const {
    return !known() || (all_.holds() && (part.bucket.holds() || !part.whole));
  }
  void sent(StartPart& part) {
    all_.take();
    part.bucket.take();
  }

  // A tick is over. `warmth(member)`: what it has of its capacity, up to 1; 0: it takes no part. A member has
  // `Server entry` and `StartPart part`.
  template <typename Members, typename Warmth>
  void tick(Members& members, const Settings& set, Warmth warmth) {
    const bool weighted = set.weight_kind != WeightKind::Live; // live weights tell of load, not of size
    const double window = set.tip_after_ms / tick_ms_;
    if (!(window > 0)) return void(rate_ = -1); // nothing falls over
    double warm = 0, all = 0;
    for (const auto& [id, m] : members) {
      if (m.entry.state == ServerState::Ready && warmth(m) >= 1) warm += size(m, weighted);
    }
    // With no warm server left what was seen last holds on.
    if (warm > 0 && (known() || hits_ > 0)) {
      ticks_ = std::min(ticks_ + 1, kTicks);
      smooth(rate_, hits_ / warm, 1 / ticks_);
    }
    hits_ = 0;
    if (!known()) return;
    // What is saved up may go out within the window too.
    const double times = (set.fall_multiple > 0 ? set.fall_multiple : kMultiple) / (1 + kSaved);
    for (auto& [id, m] : members) {
      const double share = warmth(m), more = times * share * rate_ * size(m, weighted);
      if (share >= 1 || m.entry.state != ServerState::Ready) continue;
      m.part.whole = more * window >= 1;
      m.part.bucket.fill(more, more * window * kSaved);
      all += more;
    }
    all_.fill(all, all * window * kSaved);
    if (all == 0) all_ = TokenBucket(draw_);
  }

 private:
  static constexpr double kMultiple = 2; // where none is told
  static constexpr double kSaved = 0.5;  // of a window's requests: requests come unevenly
  static constexpr double kTicks =
      200; // that the mean is over: servers that died are told within a part of it

  template <typename Member>
  static double size(const Member& m, bool weighted) {
    return weighted ? m.entry.weight : 1;
  }

  double draw_, tick_ms_;
  TokenBucket all_; // of all cold servers
  double hits_ = 0, ticks_ = 0;
  double rate_ = -1; // hits at a warm server of weight 1 in a tick; below 0: not known yet
};

} // namespace fernward::limits
