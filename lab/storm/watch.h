// What the oracles judge by, of one run: worth asked and earned in steps of half a second, of the whole and of each zone,
// class and tenant; work done for it; what nobody but one router believed. Memory: the run's steps and what is open.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "model/plan.h"
#include "model/record.h"

namespace fernward::lab::storm {

constexpr double kStepMs = 500;

struct Cell {
  double asked = 0, earned = 0; // worth
  std::uint32_t drawn = 0, served = 0;
  void add(const Cell& other) {
    asked += other.asked;
    earned += other.earned;
    drawn += other.drawn;
    served += other.served;
  }
  double service() const { return asked > 0 ? earned / asked : 1; }
};

using Series = std::vector<Cell>;                              // by step; a request counts where it was drawn
Cell over(const Series& series, double from_ms, double to_ms); // steps that begin within

struct Group { // of requests
  enum class By { Zone, Class, Tenant } by = By::Zone;
  std::uint32_t number = 0;
  Series series;
};

struct Work {
  std::uint64_t requests = 0, tries = 0; // tries that a router took
  std::uint64_t at_caches = 0, at_origin = 0, writes = 0;
  double connections = 0;
};

// What routers that share hold, at one moment.
struct Held {
  double at = 0;
  std::uint32_t routers = 0, up = 0;        // that said something; whose process runs
  double least_living = 0, most_living = 0; // that one of them counts
  double limits = 0, parts = 0;             // at the origin, of all; parts: as far as they have one
  bool all_parts = false;                   // each has one
};

struct Seen {
  Series whole;
  std::vector<Held> held; // once a second, where routers share
  std::vector<Group> groups;
  Work work;
  // Attempts to a node that every other router in service had been told for `withdrawn_ms` that it is gone or drains,
  // from one that could have been told, and how long after that the latest went out.
  std::uint64_t alone = 0;
  double alone_ms = 0, alone_at = 0;
  std::string alone_what;
  bool endless = false; // more was done than the run can ask for: it was ended
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
    bool over = false; // beyond its tenant's quota: it is promised nothing
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
  std::vector<char> up_;       // routers
  std::vector<char> silent_;   // those that are cut off from everything, for now
  std::vector<char> believed_; // by router and machine
  std::vector<std::uint32_t> believers_;
  std::vector<double> withdrawn_at_;  // by machine: when fewer than two were left that believed it in service
  std::vector<double> unheard_until_; // by router: it could not be told before this
  std::vector<std::pair<double, double>> outages_;
};

} // namespace fernward::lab::storm
