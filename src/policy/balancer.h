// What a node decides from, and the decisions by concern. Interface: include/fernward/balancer.h
#pragma once

#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "concurrency/admission_controller.h"
#include "concurrency/connection_capacity_estimator.h"
#include "concurrency/origin_concurrency_limiter.h"
#include "concurrency/origin_request_queue.h"
#include "concurrency/retry_budget.h"
#include "concurrency/slow_attempt_tracker.h"
#include "fernward/balancer.h"
#include "placement/key_demand.h"
#include "placement/placement.h"
#include "policy/replica.h"
#include "requests/request_state.h"

namespace fernward {

constexpr double kTickMs = 100; // housekeeping

struct Balancer::Impl {
  Settings settings;
  Random random;
  double now = 0;
  std::vector<Action>* actions = nullptr;
  std::map<ServerId, Replica> replicas;
  placement::Placement<Replica> placement;
  placement::KeyDemand demand;
  Replica* origin = nullptr;
  concurrency::OriginConcurrencyLimiter origin_limit = concurrency::OriginConcurrencyLimiter::origin(1);
  concurrency::ConnectionCapacityEstimator origin_connections;
  concurrency::OriginRequestQueue origin_queue;
  std::vector<RequestId> expired; // scratch
  concurrency::RetryBudget retry_budget;
  bool dispatching_origin = false;
  std::unordered_map<RequestId, RequestState> requests;
  std::vector<RequestId> finished; // concluded with nothing out: dropped once the event is handled
  std::unordered_map<std::uint64_t, std::vector<RequestId>>
      fetch_followers; // by key: who waits for the leader
  concurrency::AdmissionController admission;
  std::vector<double> tenant_rate; // requests a second here
  double shortest_objective_ms = 3000,
         cache_response_ms = 0; // the shortest aim; mean of the caches' response times
  concurrency::SlowAttemptTracker cache_slow_attempts, origin_slow_attempts;
  double cache_failure_rate = 0; // share of the caches' attempts that fail
  double cache_queue_length = 0; // mean of the caches' reported queues
  double request_rate = 0, requests_this_tick = 0;
  std::size_t ready_caches = 0, ejected_servers = 0; // in service; and of those, left out
  std::vector<ServerId> leaving;                     // gone from the list, dropped once nothing is out there
  std::set<ServerId> listed_origins;                 // that are listed
  double health_check_credit = 0;                    // saved up
  double live_routers = 0,
         origin_demand = -1; // nodes in service, attempts wanted at the origin; as far as known
  bool ticking = false, subscribed = false, watch_pending = false;
  double watch_at = 0, watch_backoff_ms = 0, logged_at = kNever;
  SlowStartCounts slow_start_counts; // what it has decided

  Impl(const Settings& s, std::uint64_t seed);
  void apply_classes(); // settings.cpp

  // balancer.cpp: events, the server list, timers
  void start();
  void dispatch(const Event& event);
  template <typename Kind>
  void emit(Kind action) {
    actions->emplace_back(std::in_place_type<Kind>, std::move(action));
  }
  void log(const char* what, double figure);
  void on_endpoint_list(const EndpointList& list);
  void on_timer(const TimerFired& timer);
  void on_fleet_state(const FleetState& fleet);
  void on_outlier_report(const OutlierReport& report);
  void update_server(const Server& listed);
  void count_server(const Replica& replica, int sign);
  void place_servers(const std::vector<ServerId>& changed);
  void drop_departed();
  void send_health_check(Replica& replica);
  void send_due_health_checks();
  void tick();
  Replica* find_server(ServerId id) {
    const auto it = replicas.find(id);
    return it == replicas.end() ? nullptr : &it->second;
  }
  RequestState* find_request(RequestId id) {
    const auto it = requests.find(id);
    return it == requests.end() || it->second.finished ? nullptr : &it->second;
  }
  concurrency::SlowAttemptTracker& slow_attempts(const Replica& replica) {
    return is_origin(replica) ? origin_slow_attempts : cache_slow_attempts;
  }
  bool is_origin(const Replica& replica) const {
    return static_cast<std::int64_t>(replica.entry.kind) == settings.origin_kind;
  }

  // choose.cpp: a request arrives, and the choice among the caches
  void on_request(const Request& received);
  bool in_slow_start(const Replica& replica) const {
    return now - replica.slow_start_began_at < settings.slow_start_ms;
  }
  double slow_start_factor(const Replica& replica) const;
  bool slow_start_admits(const Replica& replica, const RequestState& request, bool first);
  bool is_usable(const Replica& replica) const;
  bool may_attempt_at(const RequestState& request, const Replica& replica) const {
    return (request.in_flight == 0 || settings.may_hedge) &&
           idempotency_allows(settings, request, replica.entry, now);
  }
  double latency_objective_ms(const RequestState& request) const;
  bool over_quota(std::uint32_t tenant);
  bool send_to_best_cache(RequestState& request);
  double origin_cost_ms() const;
  bool send_attempt(RequestState& request, Replica& replica);

  // health.cpp: which caches are left out
  bool responded_lately(const Replica& replica);
  void record_failure(Replica& replica, int weight);
  void eject(Replica& replica);
  void schedule_trial(Replica& replica);
  void record_success(Replica& replica);

  // outcome.cpp: an attempt ends or is overdue
  void on_attempt_outcome(const AttemptOutcome& outcome);
  void on_response_started(const ResponseStarted& started);
  void on_health_check_result(const HealthCheckResult& result);
  void learn_from_outcome(RequestState& request, Attempt& attempt, Replica& replica,
                          const AttemptOutcome& outcome);
  void learn_cache_outcome(RequestState& request, const Attempt& attempt, Replica& replica,
                           const AttemptOutcome& outcome, double elapsed);
  void learn_origin_outcome(Replica& replica, const AttemptOutcome& outcome, double elapsed);
  bool update_limits(const RequestState& request, Replica& replica, const AttemptOutcome& outcome,
                     double elapsed);
  void record_lookup(RequestState& request, const Attempt& attempt, bool hit);
  void continue_request(RequestState& request, const AttemptOutcome& outcome);
  void on_slow_attempt(RequestState& request, std::size_t index);

  // origin.cpp: misses, writes and the origin
  void continue_after_miss(RequestState& request);
  void queue_for_origin(RequestState& request);
  void dispatch_to_origin();
  void complete_fetch(RequestState& leader, bool stored);

  // answer.cpp: the final answer
  void on_client_disconnected(const ClientDisconnected& event);
  void finish_request(RequestState& request, bool served);
  void cancel_attempts(const RequestState& request, std::size_t except);
  void give_up(RequestState& request, GiveUpReason why);
  GiveUpReason give_up_reason(const RequestState& request, const Replica& replica) const;
};

} // namespace fernward
