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

class LimiterUnderTest {
 public:
  virtual ~LimiterUnderTest() = default;
  virtual bool may_send(double now, std::uint32_t in_flight, bool write) const = 0;
  virtual void on_request(double) {}
  virtual void on_sent(double now) = 0;
  virtual void on_ended(double now, const concurrency::AttemptSample& sample) = 0;
  virtual void on_queue_report(double, double /*queue*/) {}
  virtual double limit() const = 0;
  virtual double congestion(double now, double in_flight) const = 0;
};

// The queue of requests before the limiter. OriginQueue: concurrency::OriginRequestQueue. UntilDeadline: by
// priority, requests wait until their deadline.
enum class QueuePolicy { OriginQueue, UntilDeadline, CoDel };

struct LimiterEntry {
  std::string name, source;
  QueuePolicy queue_policy;
  bool excludes_stuck;        // attempts stuck on a silent connection do not count as in flight
  bool receives_queue_length; // receives the server's reports of its queue length
  std::function<std::unique_ptr<LimiterUnderTest>(double nodes)> make;
};

const std::vector<LimiterEntry>& limiter_entries();

// A fixed limit of `limit` attempts, shared by all routers: the best possible result for a limiter that knows
// the server's capacity.
std::unique_ptr<LimiterUnderTest> make_fixed_limiter(double limit);

} // namespace fernward::limiters
