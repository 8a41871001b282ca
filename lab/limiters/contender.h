// The interface of a limiter in the comparison, owned by one router or shared by all. It is that of
// concurrency::OriginConcurrencyLimiter, so that other limiters can take its place.
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

// The queue of requests before the limiter. OriginQueue: concurrency::OriginRequestQueue. UntilDeadline: by
// priority, requests wait until their deadline.
enum class Waiting { Leave, AtAim, CoDel };

struct Entry {
  std::string name, source;
  Waiting waiting;
  bool leaves_out_stuck; // attempts stuck on a silent connection do not count as in flight
  bool hears_queue;      // receives the server's reports of its queue length
  std::function<std::unique_ptr<Contender>(double nodes)> make;
};

const std::vector<Entry>& entries();

// A fixed limit of `limit` attempts, shared by all routers: the best possible result for a limiter that knows
// the server's capacity.
std::unique_ptr<Contender> fixed(double limit);

} // namespace fernward::limiters
