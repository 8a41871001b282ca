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
  Settings set;
  Random random;
  double now = 0;
  std::vector<Action>* actions = nullptr;
  std::map<ServerId, Replica> replicas;
  placement::Placement<Replica> places;
  placement::KeyDemand demand;
  Replica* origin = nullptr;
  concurrency::OriginConcurrencyLimiter origin_limit =
      concurrency::OriginConcurrencyLimiter::for_router_count(1);
  concurrency::ConnectionCapacityEstimator origin_places;
  concurrency::OriginRequestQueue origin_queue;
  std::vector<RequestId> leaving_queue; // scratch
  concurrency::RetryBudget allowance;
  bool pumping = false;
  std::unordered_map<RequestId, RequestState> open;
  std::vector<RequestId> done; // concluded with nothing out: dropped once the event is handled
  std::unordered_map<std::uint64_t, std::vector<RequestId>> fetches; // by key: who waits for the leader
  concurrency::AdmissionController shedder;
  std::vector<double> tenant_rate;    // requests a second here
  double aim_ms = 3000, fleet_ms = 0; // the shortest aim; mean of the caches' response times
  concurrency::SlowAttemptTracker cache_late, origin_late;
  double failing = 0;     // share of the caches' attempts that fail
  double fleet_queue = 0; // mean of the caches' reported queues
  double request_rate = 0, requests_now = 0;
  std::size_t caches = 0, ejected = 0;   // in service; and of those, left out
  std::vector<ServerId> leaving;         // gone from the list, dropped once nothing is out there
  std::set<ServerId> origins;            // that are listed
  double probes = 0;                     // saved up
  double living = 0, ledger_demand = -1; // nodes in service, attempts wanted at the origin; as far as known
  bool ticking = false, subscribed = false, asked = false;
  double ask_at = 0, ask_wait = 0, logged_at = kNever;
  SlowStartCounts slow_start; // what it has decided

  Impl(const Settings& s, std::uint64_t seed);
  void take_classes(); // settings.cpp

  // balancer.cpp: events, the server list, timers
  void start();
  template <typename Kind>
  void act(Kind action) {
    actions->emplace_back(std::in_place_type<Kind>, std::move(action));
  }
  void log(const char* what, double figure);
  void take(const EndpointList& list);
  void take(const TimerFired& e);
  void take(const FleetState& e);
  void take(const OutlierReport& e);
  void update(const Server& server);
  void tally(const Replica& r, int sign);
  void arrange(const std::vector<ServerId>& changed);
  void drop_leaving();
  void probe(Replica& r);
  void probe_due();
  void tick();
  Replica* find(ServerId id) {
    const auto it = replicas.find(id);
    return it == replicas.end() ? nullptr : &it->second;
  }
  RequestState* live(RequestId id) {
    const auto it = open.find(id);
    return it == open.end() || it->second.over ? nullptr : &it->second;
  }
  concurrency::SlowAttemptTracker& lateness(const Replica& r) {
    return is_origin(r) ? origin_late : cache_late;
  }
  bool is_origin(const Replica& r) const {
    return static_cast<std::int64_t>(r.entry.kind) == set.origin_kind;
  }

  // choose.cpp: a request arrives, and the choice among the caches
  void take(const Request& in);
  bool cold(const Replica& r) const { return now - r.cold_since < set.slow_start_ms; }
  double warmth(const Replica& r) const;
  bool start_allows(const Replica& r, const RequestState& o, bool first);
  bool usable(const Replica& r) const;
  bool repeatable(const RequestState& o, const Replica& r) const {
    return (o.out == 0 || set.may_hedge) && may_repeat(set, o, r.entry, now);
  }
  double aim_of(const RequestState& o) const;
  bool over_quota(std::uint32_t tenant);
  bool choose(RequestState& o);
  double origin_turn_ms() const;
  bool send(RequestState& o, Replica& r);

  // health.cpp: which caches are left out
  bool answers_others(const Replica& r);
  void strike(Replica& r, int weight);
  void leave_out(Replica& r);
  void postpone_trial(Replica& r);
  void heard(Replica& r);

  // outcome.cpp: an attempt ends or is overdue
  void take(const AttemptOutcome& e);
  void take(const ResponseStarted& e);
  void take(const HealthCheckResult& e);
  void learn(RequestState& o, Attempt& a, Replica& r, const AttemptOutcome& e);
  void learn_cache(RequestState& o, const Attempt& a, Replica& r, const AttemptOutcome& e, double elapsed);
  void learn_origin(Replica& r, const AttemptOutcome& e, double elapsed);
  bool limit(const RequestState& o, Replica& r, const AttemptOutcome& e, double elapsed);
  void note_hit(RequestState& o, const Attempt& a, bool hit);
  void next_step(RequestState& o, const AttemptOutcome& e);
  void overdue(RequestState& o, std::size_t attempt);

  // origin.cpp: misses, writes and the origin
  void after_miss(RequestState& o);
  void to_origin(RequestState& o);
  void pump_origin();
  void end_fetch(RequestState& leader, bool stored);

  // answer.cpp: the final answer
  void take(const ClientDisconnected& e);
  void finish(RequestState& o, bool served);
  void cancel_out(const RequestState& o, std::size_t but);
  void conclude(RequestState& o, GiveUpReason why);
  GiveUpReason blocked(const RequestState& o, const Replica& r) const;
};

} // namespace fernward
