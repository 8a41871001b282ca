// The interface of the limiters that are compared. It follows that of concurrency::OriginConcurrencyLimiter, so
// that other limiters can take its place. Times are virtual milliseconds, limits are numbers of attempts.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "concurrency/origin_concurrency_limiter.h"

namespace fernward::limiters {

// Limits the attempts of the simulated router that owns it.
class LimiterUnderTest {
 public:
  virtual ~LimiterUnderTest() = default;
  // Whether one more attempt may be sent while `in_flight` attempts are in flight.
  virtual bool may_send(double now, std::uint32_t in_flight, bool write) const = 0;
  virtual void on_request(double /*now*/) {}
  virtual void on_sent(double now) = 0;
  virtual void on_ended(double now, const concurrency::AttemptSample& sample) = 0;
  virtual void on_queue_report(double /*now*/, double /*queued_requests*/) {}
  virtual double limit() const = 0;
  // For the retry budget: 0: idle; 1: the limit is used up. `demand`: attempts in flight and waiting.
  virtual double congestion(double now, double demand) const = 0;
};

// The queue of requests before the limiter. OriginQueue: concurrency::OriginRequestQueue. UntilDeadline: by
// priority, requests wait until their deadline. CoDel: the last request first, with a bounded waiting time.
enum class QueuePolicy { OriginQueue, UntilDeadline, CoDel };

// A limiter of the comparison, and how the simulated routers use it.
struct LimiterEntry {
  std::string name, source; // source: its algorithm or where that is from, for --list
  QueuePolicy queue_policy;
  bool excludes_stuck;        // attempts stuck on a silent connection do not count as in flight
  bool receives_queue_length; // receives the server's reports of its queue length
  std::function<std::unique_ptr<LimiterUnderTest>(double router_count)> make;
};

const std::vector<LimiterEntry>& limiter_entries();

// A fixed limit of `limit` attempts. One router with the best such limit is the reference: a limiter that knows
// the server's capacity, shared by all routers.
std::unique_ptr<LimiterUnderTest> make_fixed_limiter(double limit);

} // namespace fernward::limiters
