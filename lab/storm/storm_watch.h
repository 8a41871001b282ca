// Collects the observations of one run for the oracles: offered and served priority weight in steps of
// half a second, overall and by zone, class and tenant; the work done; attempts to nodes that only one
// router still has in service. Memory is proportional to the steps of the run x groups and to routers x
// machines, plus the open requests.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "model/plan.h"
#include "model/records.h"

namespace fernward::lab::storm {

constexpr double kStepMs = 500; // length of a step

struct ServiceCounts {
  double offered_weight = 0, served_weight = 0; // priority weights, of requests and earned by responses
  std::uint32_t requests = 0, served = 0;
  void add(const ServiceCounts& other) {
    offered_weight += other.offered_weight;
    served_weight += other.served_weight;
    requests += other.requests;
    served += other.served;
  }
  double service_share() const { return offered_weight > 0 ? served_weight / offered_weight : 1; }
};

using ServiceSeries = std::vector<ServiceCounts>; // by step; a request counts in the step of its arrival
// The sum of the steps that begin in [from_ms, to_ms).
ServiceCounts sum_between(const ServiceSeries& series, double from_ms, double to_ms);

struct RequestGroup { // the requests of one zone, class or tenant
  enum class By { Zone, Class, Tenant } by = By::Zone;
  std::uint32_t index = 0; // of the zone, class or tenant in the spec
  ServiceSeries series;
};

struct WorkCounts {
  std::uint64_t requests = 0, accepted_tries = 0;                    // tries that a router accepted
  std::uint64_t cache_attempts = 0, origin_attempts = 0, writes = 0; // writes: attempts at any machine
  double new_connections = 0;
};

// The state of the routers that share an origin limit by gossip, at one time.
struct SharedState {
  double at = 0;
  std::uint32_t reporting_routers = 0, running_routers = 0; // with a sample; with a running process
  double min_living = 0, max_living = 0;     // the routers' lowest and highest count of living routers
  double limit_sum = 0, shared_part_sum = 0; // sums of their limits at the origin and of their shared parts
  bool all_have_shared_part = false;         // each reporting router has a shared part
};

struct Observations {
  ServiceSeries overall;
  std::vector<SharedState> shared_states; // once a second, if routers share
  std::vector<RequestGroup> groups;
  WorkCounts work;
  // Attempts to a node that all other running routers had known for `min_withdrawn_ms` to be gone or
  // draining, at times when every running router could have been notified; and the longest time from the
  // withdrawal to such an attempt.
  std::uint64_t sole_router_attempts = 0;
  double max_stale_ms = 0, max_stale_at = 0;
  std::string max_stale_description;
  bool ended_early = false; // stopped because it took more events or time than it can require
  double ended_early_at = 0;
};

// Receives the records of one run in order of time and computes its Observations. `spec` and `plan` must
// outlive it. `min_withdrawn_ms`: see Observations::sole_router_attempts.
class StormWatch : public model::Sink {
 public:
  StormWatch(const model::Spec& spec, const model::Plan& plan, double min_withdrawn_ms);

  using model::Sink::on;
  void on(const model::DrawnRequest& record) override;
  void on(const model::TrySent& record) override;
  void on(const model::RequestEnded& record) override;
  void on(const model::AttemptArrived& record) override;
  void on(const model::LoadSample& record) override;
  void on(const model::RouterEvent& record) override;
  void on(const model::EndpointNotified& record) override;
  void on(const model::SharingSample& record) override;

  // Call once, after the last record.
  Observations take() { return std::move(observed_); }

 private:
  struct OpenRequest {
    std::uint32_t step = 0, zone = 0, cls = 0, tenant = 0;
    bool over_quota = false; // beyond its tenant's quota: no service is guaranteed
  };
  template <typename Update>
  void update_counts(const OpenRequest& request, Update update);
  bool missed_updates(model::RouterId router, double from, double to) const;
  void set_in_service(double now, model::RouterId router, model::MachineId machine, bool in_service);

  const model::Spec& spec_;
  const model::Plan& plan_;
  const double min_withdrawn_ms_;
  Observations observed_;
  std::unordered_map<model::RequestNumber, OpenRequest> open_requests_;
  std::vector<char> running_;                    // by router
  std::vector<char> partitioned_;                // by router: it is silent, cut off from everything
  std::vector<char> in_service_;                 // by router and machine: the router has it in service
  std::vector<std::uint32_t> in_service_counts_; // by machine: routers that have it in service
  // By machine: when the second to last router withdrew it, or when a router last added it.
  std::vector<double> withdrawn_at_;
  std::vector<double> reachable_from_;             // by router: it could not be notified before this time
  std::vector<std::pair<double, double>> outages_; // of discovery: begin and end, in ms
};

} // namespace fernward::lab::storm
