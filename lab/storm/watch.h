// Collects the observations of one run for the oracles: offered and served priority weight in steps of half a
// second, overall and by zone, class and tenant; the work done; attempts to nodes that only one router still
// has in service. Memory: the steps of the run and the open requests.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "model/plan.h"
#include "model/record.h"

namespace fernward::lab::storm {

constexpr double kStepMs = 500;

struct Cell {
  double asked = 0, earned = 0; // priority weight
  std::uint32_t drawn = 0, served = 0;
  void add(const Cell& other) {
    asked += other.asked;
    earned += other.earned;
    drawn += other.drawn;
    served += other.served;
  }
  double service() const { return asked > 0 ? earned / asked : 1; }
};

using Series = std::vector<Cell>; // by step; a request counts in the step of its arrival
Cell over(const Series& series, double from_ms, double to_ms); // the steps that begin in [from_ms, to_ms)

struct Group { // of requests with the same zone, class or tenant
  enum class By { Zone, Class, Tenant } by = By::Zone;
  std::uint32_t number = 0;
  Series series;
};

struct Work {
  std::uint64_t requests = 0, tries = 0; // tries: accepted by a router
  std::uint64_t at_caches = 0, at_origin = 0, writes = 0;
  double connections = 0;
};

// The state of the routers that share an origin limit by gossip, at one time.
struct Held {
  double at = 0;
  std::uint32_t routers = 0, up = 0;        // that reported; whose process runs
  double least_living = 0, most_living = 0; // living routers as counted by one of them
  double limits = 0, parts = 0;             // at the origin, summed; parts: of those that have one
  bool all_parts = false;                   // each reporting router has a shared part
};

struct Seen {
  Series whole;
  std::vector<Held> held; // once a second, if routers share
  std::vector<Group> groups;
  Work work;
  // Attempts to a node that all other running routers had known for `min_withdrawn_ms` to be gone or
  // draining, from a router that could have been notified; and the longest time after the withdrawal at which
  // one was sent.
  std::uint64_t alone = 0;
  double alone_ms = 0, alone_at = 0;
  std::string alone_what;
  bool endless = false; // more events occurred than the run can require, so it was ended
  double endless_at = 0;
};

class Watch : public model::Sink {
 public:
  Watch(const model::Spec& spec, const model::Plan& plan, double withdrawn_ms);

  using model::Sink::on;
  void on(const model::Drawn& d) override;
  void on(const model::Tried& t) override;
  void on(const model::Closed& c) override;
  void on(const model::Arrived& a) override;
  void on(const model::LoadSample& s) override;
  void on(const model::RouterEvent& e) override;
  void on(const model::Told& t) override;
  void on(const model::Shared& s) override;

  Seen take() { return std::move(seen_); }

 private:
  struct Open {
    std::uint32_t step = 0, zone = 0, cls = 0, tenant = 0;
    bool over = false; // beyond its tenant's quota: no service is guaranteed
  };
  template <typename Do>
  void each(const Open& open, Do what);
  bool excused(model::RouterId router, double from, double to) const;
  void believes(double now, model::RouterId router, model::MachineId machine, bool in_service);

  const model::Spec& spec_;
  const model::Plan& plan_;
  const double withdrawn_ms_;
  Seen seen_;
  std::unordered_map<model::RequestNumber, Open> open_;
  std::vector<char> up_;       // by router
  std::vector<char> silent_;   // by router: currently cut off from everything
  std::vector<char> believed_; // by router and machine: the router has it in service
  std::vector<std::uint32_t> believers_;
  std::vector<double> withdrawn_at_;  // by machine: when fewer than two routers still had it in service
  std::vector<double> unheard_until_; // by router: it could not be notified before this time
  std::vector<std::pair<double, double>> outages_;
};

} // namespace fernward::lab::storm
