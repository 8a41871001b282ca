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
  placement::KeyDemand key_demand;
  Replica* origin = nullptr;
  OriginDispatch origin_dispatch;
  std::vector<RequestId> expired_request_ids; // scratch buffer of dispatch_to_origin()
  concurrency::RetryBudget retry_budget;
  bool dispatching_to_origin = false;
  std::unordered_map<RequestId, RequestState> requests;
  std::vector<RequestId> finished_request_ids; // no attempt in flight: erased once the event is handled
  FetchCoalescer fetch_coalescer;
  concurrency::AdmissionController admission;
  double shortest_objective_ms = 0;   // over the classes
  double mean_cache_response_ms = 0;  // moving average over all caches' response times
  double mean_cache_queue_length = 0; // moving average over all caches' reported queues
  concurrency::SlowAttemptTracker cache_slow_attempts, origin_slow_attempts;
  TenantQuotas tenant_quotas{settings};
  OutlierEjection outlier_ejection{settings};
  SlowStart slow_start{settings};
  RetryPolicy retry_policy{settings};
  EndpointPollSchedule poll_schedule;
  std::vector<ServerId> departed_server_ids; // no longer listed; removed once they have no attempt in flight
  std::set<ServerId> listed_origin_ids;
  double health_check_credit = 0; // health checks that may be sent to obtain load reports
  double live_routers = 0;        // routers in service, as far as known
  double mean_origin_demand = -1; // moving average of attempts in flight or queued; below 0: unknown
  bool tick_timer_started = false;
  double last_log_at = kNever;

  Impl(const Settings& initial_settings, std::uint64_t seed);
  void apply_classes(); // settings.cpp

  // balancer.cpp: events, the endpoint list, timers
  void start_timers_once();
  void dispatch_event(const Event& event);
  template <typename ActionType>
  void emit(ActionType action) {
    actions->emplace_back(std::in_place_type<ActionType>, std::move(action));
  }
  void log(const char* message, double value);
  void on_endpoint_list(const EndpointList& list);
  void on_timer(const TimerFired& timer);
  void on_fleet_state(const FleetState& fleet);
  void on_outlier_report(const OutlierReport& report);
  void update_server(const Server& listed_server);
  void update_placement(const std::vector<ServerId>& changed_ids);
  void remove_departed_servers();
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

  // cache_selection.cpp: request arrival and cache selection
  void on_request(const Request& new_request);
  void on_deadline_changed(const DeadlineChanged& event);
  double response_deadline(const RequestState& request) const;
  void start_give_up_timer(RequestState& request);
  double latency_objective_ms(const RequestState& request) const;
  using CandidateList = placement::Placement<Replica>::Choice;
  CandidateList cache_candidates(const RequestState& request, std::uint64_t key);
  bool can_accept_attempt(Replica& replica, const RequestState& request, bool first_candidate);
  double cache_score(const Replica& replica, std::uint64_t key, bool likely_has_key,
                     double origin_fetch_cost_ms) const;
  bool send_to_best_cache(RequestState& request);
  double origin_cost_ms() const;
  bool send_attempt(RequestState& request, Replica& replica);
  void record_attempt_sent(RequestState& request, Replica& replica);

  // cache_ejection.cpp: cache ejection and half-open trials
  bool responded_recently(const Replica& replica);
  void record_failure(Replica& replica, int weight);
  void eject(Replica& replica);
  void schedule_trial(Replica& replica);
  void record_success(Replica& replica);

  // attempt_outcome.cpp: attempts that end or are slow
  void on_attempt_outcome(const AttemptOutcome& outcome);
  void on_response_head_received(const ResponseHeadReceived& head);
  void on_response_started(const ResponseStarted& started);
  void on_health_check_result(const HealthCheckResult& result);
  void record_outcome(RequestState& request, Attempt& attempt, Replica& replica,
                      const AttemptOutcome& outcome);
  void record_cache_outcome(RequestState& request, const Attempt& attempt, Replica& replica,
                            const AttemptOutcome& outcome, double elapsed_ms);
  void record_overloaded(Replica& replica, bool is_retry);
  void record_unanswered(Replica& replica, double elapsed_ms);
  void record_origin_outcome(Replica& replica, const AttemptOutcome& outcome, double elapsed_ms);
  bool update_cache_limit(const RequestState& request, Replica& replica, const AttemptOutcome& outcome,
                          double elapsed_ms);
  bool update_origin_limit(const RequestState& request, const Replica& replica, const AttemptOutcome& outcome,
                           double elapsed_ms);
  void record_cache_lookup(RequestState& request, const Attempt& attempt, bool hit);
  void continue_request(RequestState& request, const AttemptOutcome& outcome);
  void retry(RequestState& request, const AttemptOutcome& outcome);
  void retry_at_origin(RequestState& request, const AttemptOutcome& outcome);
  void on_slow_attempt(RequestState& request, std::size_t attempt_index);
  void cancel_for_retry(const RequestState& request, std::size_t attempt_index);
  void hedge(RequestState& request, const Attempt& slow_attempt, Replica& replica);

  // origin_fetch.cpp: cache misses, writes and origin dispatch
  void continue_after_miss(RequestState& request);
  void queue_for_origin(RequestState& request);
  void dispatch_to_origin();
  void complete_fetch(RequestState& leader, bool response_stored);

  // give_up.cpp: final answers and cancellation
  void on_client_disconnected(const ClientDisconnected& event);
  void finish_request(RequestState& request, bool served);
  void cancel_attempts(const RequestState& request, std::size_t excluded_attempt);
  double give_up_at(const RequestState& request) const;
  void on_give_up_timer(RequestState& request);
  void give_up(RequestState& request, GiveUpReason reason);
};

} // namespace fernward
