// Implementation class of the Balancer. Interface: include/fernward/balancer.h
#pragma once

#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "concurrency/admission_controller.h"
#include "concurrency/retry_budget.h"
#include "concurrency/slow_attempt_tracker.h"
#include "fernward/balancer.h"
#include "placement/key_demand.h"
#include "placement/placement.h"
#include "policy/endpoint_poll_schedule.h"
#include "policy/fetch_coalescer.h"
#include "policy/origin_dispatch.h"
#include "policy/outlier_ejection.h"
#include "policy/replica.h"
#include "policy/retry_policy.h"
#include "policy/slow_start.h"
#include "policy/tenant_quotas.h"
#include "requests/request_state.h"

namespace fernward {

/// The Balancer's components and the event handlers that connect them; owned by the Balancer. The functions
/// are split by topic into the source files named below.
struct Balancer::Impl {
  Settings settings;
  Random random;
  double now = 0;
  std::vector<Action>* actions = nullptr;
  std::map<ServerId, Replica> replicas;
  placement::Placement<Replica> placement;
  placement::KeyDemand demand;
  Replica* origin = nullptr;
  OriginDispatch origin_dispatch;
  std::vector<RequestId> expired; // scratch buffer of dispatch_to_origin()
  concurrency::RetryBudget retry_budget;
  bool dispatching_origin = false;
  std::unordered_map<RequestId, RequestState> requests;
  std::vector<RequestId> finished; // no attempt in flight: erased once the event is handled
  FetchCoalescer fetches;
  concurrency::AdmissionController admission;
  double shortest_objective_ms = 0; // over the classes
  double cache_response_ms = 0;     // moving average over all caches' response times
  double cache_queue_length = 0;    // moving average over all caches' reported queues
  concurrency::SlowAttemptTracker cache_slow_attempts, origin_slow_attempts;
  TenantQuotas quotas{settings};
  OutlierEjection ejection{settings};
  SlowStart slow_start{settings};
  RetryPolicy retry_policy{settings};
  EndpointPollSchedule poll_schedule;
  std::vector<ServerId> leaving; // no longer listed; removed once they have no attempt in flight
  std::set<ServerId> listed_origins;
  double health_check_credit = 0; // health checks that may be sent to obtain load reports
  double live_routers = 0;        // routers in service, as far as known
  double origin_demand = -1;      // moving average of attempts in flight or queued; below 0: unknown
  bool ticking = false;
  double logged_at = kNever;

  Impl(const Settings& s, std::uint64_t seed);
  void apply_classes(); // settings.cpp

  // balancer.cpp: events, the endpoint list, timers
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

  // choose.cpp: request arrival and cache selection
  void on_request(const Request& received);
  double latency_objective_ms(const RequestState& request) const;
  using Choice = placement::Placement<Replica>::Choice;
  Choice cache_candidates(const RequestState& request, std::uint64_t key);
  bool has_room(Replica& replica, const RequestState& request, bool first_candidate);
  double cache_score(const Replica& replica, std::uint64_t key, bool likely_holder, double origin_ms) const;
  bool send_to_best_cache(RequestState& request);
  double origin_cost_ms() const;
  bool send_attempt(RequestState& request, Replica& replica);
  void record_attempt(RequestState& request, Replica& replica);

  // health.cpp: cache ejection and half-open trials
  bool responded_lately(const Replica& replica);
  void record_failure(Replica& replica, int weight);
  void eject(Replica& replica);
  void schedule_trial(Replica& replica);
  void record_success(Replica& replica);

  // outcome.cpp: attempts that end or are slow
  void on_attempt_outcome(const AttemptOutcome& outcome);
  void on_response_started(const ResponseStarted& started);
  void on_health_check_result(const HealthCheckResult& result);
  void learn_from_outcome(RequestState& request, Attempt& attempt, Replica& replica,
                          const AttemptOutcome& outcome);
  void learn_cache_outcome(RequestState& request, const Attempt& attempt, Replica& replica,
                           const AttemptOutcome& outcome, double elapsed);
  void learn_overloaded(Replica& replica, bool retried);
  void learn_unanswered(Replica& replica, double elapsed);
  void learn_origin_outcome(Replica& replica, const AttemptOutcome& outcome, double elapsed);
  bool update_cache_limit(const RequestState& request, Replica& replica, const AttemptOutcome& outcome,
                          double elapsed);
  bool update_origin_limit(const RequestState& request, const Replica& replica, const AttemptOutcome& outcome,
                           double elapsed);
  void record_lookup(RequestState& request, const Attempt& attempt, bool hit);
  void continue_request(RequestState& request, const AttemptOutcome& outcome);
  void retry(RequestState& request, const AttemptOutcome& outcome);
  void retry_at_origin(RequestState& request, const AttemptOutcome& outcome);
  void on_slow_attempt(RequestState& request, std::size_t index);
  void cancel_for_retry(const RequestState& request, std::size_t index);
  void hedge(RequestState& request, const Attempt& slow, Replica& replica);

  // origin.cpp: cache misses, writes and origin dispatch
  void continue_after_miss(RequestState& request);
  void queue_for_origin(RequestState& request);
  void dispatch_to_origin();
  void complete_fetch(RequestState& leader, bool stored);

  // give_up.cpp: final answers and cancellation
  void on_client_disconnected(const ClientDisconnected& event);
  void finish_request(RequestState& request, bool served);
  void cancel_attempts(const RequestState& request, std::size_t except);
  void give_up(RequestState& request, GiveUpReason why);
};

} // namespace fernward
