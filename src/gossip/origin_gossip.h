// Gossip of each router's state at the origin: demand, limit and response time. Each report is owned by one
// router, and only that router overwrites it. No I/O, no clock.
//
// Merging is a join: of two reports of one owner the one with the later stamp is kept; with equal stamps the
// greater age. Order, duplicates and losses therefore don't matter: merging is commutative, associative and
// idempotent. A report from the owner's own address takes precedence over a relayed one, whatever stamp the
// latter carries.
//
// Each row of kQuantityBounds states the bounds of a quantity, how its weight decays, what is assumed when no
// report is available, and the worst effect of a false value.
//
//  - Units: milliseconds on the caller's clock, which only advances.
//  - Ownership: plain values; a table with one entry per router, 64 bytes each. Single-threaded.
//  - Cost: a datagram carries the sender's own report and as many randomly drawn reports of other routers as
//    fit, so the cost does not depend on the size of the fleet.
//  - Misuse: reports with router numbers out of range or non-finite values are ignored and counted.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "gossip/entries.h"
#include "membership/wire.h"
#include "statistics/numbers.h"

namespace fernward::gossip {

using membership::MemberId;
using membership::Stamp;

enum class OriginQuantity : std::uint8_t {
  Demand,       // concurrent attempts that this router wants at the origin, queued ones included
  Limit,        // concurrent attempts at the origin that this router's concurrency limiter allows
  ResponseTime, // recent response time of the origin at this router, ms; 0: no response for 0.8 s
  Count
};
constexpr std::size_t kQuantityCount = static_cast<std::size_t>(OriginQuantity::Count);

struct QuantityBounds {
  const char* name;
  double min_value, max_value;       // values beyond are clamped
  double half_life_ms;               // of a value's weight in aggregates over routers
  double expiry_ms;                  // older values are not used
  const char* when_missing;          // what is assumed without reports
  const char* effect_of_false_value; // the worst effect of a false value
};
inline constexpr std::array<QuantityBounds, kQuantityCount> kQuantityBounds = {{
    {"demand", 0, 4096, 4000, 12000, "equal demand on all routers: each router keeps its own limit",
     "none on other routers' shares: a share depends on the router's own demand"},
    {"limit", 1.0 / 1024, 4096, 4000, 12000, "the limit that the router learned by itself",
     "with fewer than an eighth false (than two in small tiers): shares stay within correct routers' limits"},
    {"response time", 0, 8192, 300, 3000, "the response times that the router measured by itself",
     "with fewer than an eighth false (than two in small tiers): the mean stays within correct routers' "
     "response times"},
}};

using OriginValues = std::array<double, kQuantityCount>;

class OriginGossip {
 public:
  OriginGossip(MemberId self, std::size_t router_count, std::uint64_t seed);

  void set_own_report(double now, Stamp stamp, const OriginValues& values); // replaces this router's report
  // Merges a report of `owner`; `is_direct`: it came from the owner's own address. Returns false if the
  // report is ignored because it is not newer, is invalid or is this router's own.
  bool merge(double now, MemberId owner, Stamp stamp, double age_ms, const OriginValues& values,
             bool is_direct);

  // Encodes reports into at most `room_bytes`: this router's own first, then randomly drawn reports of other
  // routers, with a preference for recent ones.
  std::string write_entries(double now, std::size_t max_bytes);
  struct Update {
    MemberId owner;
    Stamp stamp;
  };
  // Merges all reports of a datagram from the router `sender`. Appends the owner and stamp of each new report
  // to `updates`, for the membership. A damaged tail is ignored and counted.
  void read_entries(double now, MemberId sender, std::string_view bytes, std::vector<Update>& updates);

  // The median demand over this router and all routers whose reports have not expired.
  double median_demand(double now);
  // This router's share of the fleet's total limit at the origin, in proportion to its demand plus an idle
  // allowance. All values are taken as of the time of the other routers' reports, this router's own demand
  // too: its current demand against their older ones would distribute more than the total while demand rises.
  // The shares of all routers therefore add up to the total limit. Excluded are the eighth of the routers
  // with the highest limit for their demand and the one with the lowest: a false report moves no share beyond
  // the limits of correct routers, in however many rounds. Above its own limit a router gets at most half of
  // what the fleet would have if each router had the second-highest limit: if only one router has demand, the
  // shares add up to at most one and a half times the previous total.
  double origin_limit_share(double now);
  // The recent response time of the origin: the weighted mean over routers, without the eighth at each end.
  // `age_ms`: the mean age of these reports. All zero if fewer than three routers have a response time.
  struct ResponseTime {
    double ms = 0, age_ms = 0;
  };
  ResponseTime response_time(double now);
  std::size_t fresh_report_count(double now) const; // other routers whose reports have not expired

  std::uint64_t ignored() const { return ignored_; }

 private:
  struct Report {
    Stamp stamp;
    double made_at = kNever;
    OriginValues values{};
    bool known = false, is_direct = false;
  };
  void write_report(double now, MemberId owner, const Report& report, std::string& buffer) const;

  MemberId self_;
  Random random_;
  std::vector<Report> reports_;
  struct DemandSample {
    double demand, limit, weight, age_ms;
    bool is_own;
  };
  double own_demand_at(double time) const; // this router's
  void collect_demand_samples(double now);
  struct ResponseSample {
    double ms, weight, age_ms;
  };
  std::vector<DemandSample> demand_samples_;          // scratch
  std::vector<ResponseSample> response_samples_;      // scratch
  std::deque<std::pair<double, double>> own_demands_; // this router's demands: time and value
  std::uint64_t ignored_ = 0;
};

} // namespace fernward::gossip
