// What a limiter looks like to the comparison: that of concurrency::OriginConcurrencyLimiter, for others in its place.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "concurrency/origin_concurrency_limiter.h"

namespace fernward::limiters {

class Contender {
 public:
  virtual ~Contender() = default;
  virtual bool room(double now, std::uint32_t out, bool write) const = 0;
  virtual void wanted(double) {}
  virtual void sent(double now) = 0;
  virtual void ended(double now, const concurrency::AttemptSample& sample) = 0;
  virtual void reported(double, double /*queue*/) {}
  virtual double limit() const = 0;
  virtual double crowding(double now, double out) const = 0;
};

enum class Waiting { Leave, AtAim, CoDel }; // which waiting room stands before it

struct Entry {
  std::string name, source;
  Waiting waiting;
  bool leaves_out_stuck; // attempts stuck on a silent connection take no room
  bool hears_queue;      // the server tells how many wait there
  std::function<std::unique_ptr<Contender>(double nodes)> make;
};

const std::vector<Entry>& entries();

// All routers together hold one gate of this many attempts: what is best possible for one that knows the server.
std::unique_ptr<Contender> fixed(double limit);

} // namespace fernward::limiters
