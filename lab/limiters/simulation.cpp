#include "simulation.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/normal_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <cmath>
#include <deque>
#include <limits>
#include <optional>
#include <pcg_random.hpp>
#include <set>

#include "concurrency/origin_request_queue.h"
#include "concurrency/retry_budget.h"

namespace fernward::limiters {
namespace {

using concurrency::AttemptEnding;

constexpr double kRoundTripMs = 1; // network round trip, all of it on the way back; attempts arrive at once
constexpr double kTickMs = 100;    // a router checks its queue at least this often
constexpr double kReportIntervalMs = 150; // least interval between reports of the server's queue length
constexpr double kWriteShare = 0.05;      // of the requests
constexpr unsigned kMaxAttempts = 5;      // for each try of a client
constexpr double kOverdueMultiple = 4; // multiple of the mean response time after which an attempt is overdue
constexpr double kMaxRetryAfterMs = 1500; // that clients follow

// A separate random stream for each concern, so that one limiter's decisions do not change the other draws.
struct RandomStreams {
  explicit RandomStreams(std::uint64_t seed)
      : arrivals(seed, 2), service_times(seed, 3), faults(seed, 4), clients(seed, 5) {}
  pcg64 arrivals, service_times, faults, clients;
  static double draw_unit(pcg64& engine) {
    return boost::random::uniform_real_distribution<double>(0, 1)(engine);
  }
};

struct Try { // a client's try of a request, at one router
  std::uint32_t request_id = 0, router_id = 0;
  double deadline = 0, client_deadline = 0; // end of the latency objective; when the client gives up
  unsigned attempts = 0, in_flight = 0;
  bool finished = false, queued = false;
};
struct Request {
  double first_try_at = 0, work_ms = 0, hint_ms = 0, priority_weight = 3;
  unsigned max_tries = 1, started_tries = 0;
  bool write = false, served_in_time = false;
};
struct Attempt {
  std::uint32_t try_id = 0; // index into tries_
  double sent_at = 0;
  // silent: it never reaches the server; reset: its response ends in a reset; stuck: see check_overdue().
  bool in_flight = true, silent = false, reset = false, stuck = false;
};

enum class EventKind : std::uint8_t {
  ClientArrival,
  ClientRetry,
  TryDeadline,
  OverdueCheck,
  Requeue,
  AttemptTimeout,
  ServerCompletion,
  AttemptResult,
  RouterTick,
  RouterRestart,
  ServerSpeed
};
struct Event { // `index`: of a request, try, attempt or router, by kind, or a server_version_
  double at;
  std::uint64_t order;
  EventKind kind;
  std::uint32_t index;
  std::uint32_t ending;
  bool operator>(const Event& o) const { return at != o.at ? at > o.at : order > o.order; }
};

// Facebook's CoDel variant for servers ("Fail at Scale", 2015): last in, first out, and a shorter maximum
// waiting time once the queue has not been empty for some time.
class CoDel {
 public:
  void add(double now, std::uint64_t id, double deadline) {
    if (queue_.empty()) last_empty_at_ = now;
    queue_.push_back({id, now, deadline});
  }
  std::optional<std::uint64_t> take(double now) {
    if (queue_.empty()) return std::nullopt;
    const auto id = queue_.back().id;
    queue_.pop_back();
    if (queue_.empty()) last_empty_at_ = now;
    return id;
  }
  void take_overdue(double now, double objective_ms, std::vector<std::uint64_t>& expired_ids) {
    const double max_wait_ms =
        now - last_empty_at_ > 0.3 * objective_ms ? 0.05 * objective_ms : 0.3 * objective_ms;
    while (!queue_.empty() && now - queue_.front().queued_at > max_wait_ms) {
      expired_ids.push_back(queue_.front().id);
      queue_.pop_front();
    }
    if (queue_.empty()) last_empty_at_ = now;
  }
  bool remove(std::uint64_t id) {
    const auto it = std::find_if(queue_.begin(), queue_.end(),
                                 [id](const auto& queued_try) { return queued_try.id == id; });
    if (it == queue_.end()) return false;
    queue_.erase(it);
    return true;
  }

 private:
  struct QueuedTry {
    std::uint64_t id;
    double queued_at, deadline;
  };
  std::deque<QueuedTry> queue_;
  double last_empty_at_ = 0;
};

struct Router { // one simulated router
  std::unique_ptr<LimiterUnderTest> limiter;
  concurrency::OriginRequestQueue queue;
  CoDel codel_queue;
  concurrency::RetryBudget retry_budget;
  std::uint32_t in_flight = 0, queued_tries = 0;
  double mean_response_ms = 0, latest_answered_sent_at = -1;
  bool tick_scheduled = false;
};

// One run: clients, routers and the server as a sequence of events. Used once.
class Simulation {
 public:
  using MakeLimiter = std::function<std::unique_ptr<LimiterUnderTest>()>;
  Simulation(const Load& load, std::uint64_t seed, unsigned routers, unsigned router_count,
             const LimiterEntry& entry, MakeLimiter make_limiter)
      : load_(load),
        conditions_(draw_conditions(seed, load, routers)),
        streams_(seed),
        server_(conditions_.server),
        queue_policy_(entry.queue_policy),
        excludes_stuck_(entry.excludes_stuck),
        receives_queue_length_(entry.receives_queue_length),
        make_limiter_(std::move(make_limiter)),
        routers_(router_count) {
    const double mean = conditions_.mean_work_ms * (1 + kWriteShare * (conditions_.write_work_factor - 1));
    capacity_per_ms_ = conditions_.server.cores / mean;
    objective_ms_ = load.objective_multiple * conditions_.mean_work_ms;
    for (Router& router : routers_) router.limiter = make_limiter_();
    const auto seconds = static_cast<std::size_t>(load.duration_s);
    outcome_.offered_weight_by_s.resize(seconds);
    outcome_.served_weight_by_s.resize(seconds);
    for (double second = 0; second < load.duration_s; second += 0.5)
      schedule_event(1000 * second, EventKind::ServerSpeed);
    if (load.restart_at_s >= 0) schedule_event(1000 * load.restart_at_s, EventKind::RouterRestart);
    schedule_arrival(0);
  }

  Outcome run() {
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      handle(event);
    }
    outcome_.mean_held_per_core = held_integral_ / std::max(1.0, now_) / conditions_.server.cores;
    outcome_.busy_share = busy_integral_ / (1000 * load_.duration_s);
    outcome_.late_per_request /= std::max<double>(1, static_cast<double>(requests_.size()));
    outcome_.attempts_per_request /= std::max<double>(1, static_cast<double>(requests_.size()));
    outcome_.rejected_share /= std::max<double>(1, static_cast<double>(requests_.size()));
    return std::move(outcome_);
  }

 private:
  void schedule_event(double when, EventKind kind, std::uint32_t index = 0, std::uint32_t ending = 0) {
    events_.push({std::max(when, now_), next_order_++, kind, index, ending});
  }

  void schedule_arrival(double from) {
    // Poisson arrivals, drawn at the highest rate and thinned out, so that changes of the load take effect at
    // once.
    double when = from;
    constexpr double kMaxOfferedShare = 4;
    do {
      when += boost::random::exponential_distribution<double>(kMaxOfferedShare *
                                                              capacity_per_ms_)(streams_.arrivals);
      if (when >= 1000 * load_.duration_s) return;
    } while (RandomStreams::draw_unit(streams_.arrivals) * kMaxOfferedShare >
             load_.offered_share(when / 1000));
    schedule_event(when, EventKind::ClientArrival);
  }

  void handle(const Event& event) {
    switch (event.kind) {
      case EventKind::ClientArrival: on_client_arrival(); break;
      case EventKind::ClientRetry: start_try(event.index); break;
      case EventKind::TryDeadline:
        if (!tries_[event.index].finished) reject_try(event.index);
        break;
      case EventKind::OverdueCheck: check_overdue(event.index); break;
      case EventKind::Requeue:
        if (!tries_[event.index].finished && tries_[event.index].in_flight == 0 &&
            !tries_[event.index].queued)
          enqueue(event.index);
        break;
      case EventKind::AttemptTimeout:
        if (attempts_[event.index].in_flight) on_attempt_ended(event.index, AttemptEnding::TimedOut);
        break;
      case EventKind::ServerCompletion:
        if (event.index == server_version_) advance_server();
        break;
      case EventKind::AttemptResult:
        if (attempts_[event.index].in_flight)
          on_attempt_ended(event.index, static_cast<AttemptEnding>(event.ending));
        break;
      case EventKind::RouterTick: on_tick(event.index); break;
      case EventKind::RouterRestart:
        for (Router& router : routers_) router.limiter = make_limiter_(), router.retry_budget = {};
        break;
      case EventKind::ServerSpeed:
        update_usage();
        server_.set_speed(now_, load_.speed_factor(now_ / 1000));
        advance_server();
        break;
    }
  }

  // ---- clients ----

  void on_client_arrival() {
    schedule_arrival(now_);
    Request request;
    request.first_try_at = now_;
    // The expected work of requests differs by a factor of up to five; the service time varies around it.
    const double expected_work_factor =
        std::exp(RandomStreams::draw_unit(streams_.service_times) * std::log(5.0)) / (4 / std::log(5.0));
    const double service_time_factor =
        conditions_.service_time_sigma > 0
            ? std::exp(boost::random::normal_distribution<double>(
                           0, conditions_.service_time_sigma)(streams_.service_times) -
                       conditions_.service_time_sigma * conditions_.service_time_sigma / 2)
            : boost::random::exponential_distribution<double>(1)(streams_.service_times);
    request.write = RandomStreams::draw_unit(streams_.service_times) < kWriteShare;
    request.hint_ms =
        conditions_.mean_work_ms * expected_work_factor * (request.write ? conditions_.write_work_factor : 1);
    request.work_ms = request.hint_ms * service_time_factor;
    if (!conditions_.has_work_hints) request.hint_ms = 0;
    request.priority_weight = request.write ? 8 : 3;
    request.max_tries =
        1 + static_cast<unsigned>(conditions_.mean_retries + RandomStreams::draw_unit(streams_.clients));
    const auto second =
        std::min(outcome_.offered_weight_by_s.size() - 1, static_cast<std::size_t>(now_ / 1000));
    outcome_.offered_weight += request.priority_weight;
    outcome_.offered_weight_by_s[second] += request.priority_weight;
    requests_.push_back(request);
    start_try(static_cast<std::uint32_t>(requests_.size() - 1));
  }

  void start_try(std::uint32_t request_id) {
    Request& request = requests_[request_id];
    ++request.started_tries;
    Try new_try;
    new_try.request_id = request_id;
    new_try.router_id = static_cast<std::uint32_t>(RandomStreams::draw_unit(streams_.clients) *
                                                   static_cast<double>(routers_.size()));
    new_try.client_deadline = request.first_try_at + 2 * objective_ms_;
    new_try.deadline = std::min(new_try.client_deadline, now_ + objective_ms_);
    const auto id = static_cast<std::uint32_t>(tries_.size());
    tries_.push_back(new_try);
    routers_[new_try.router_id].retry_budget.on_request(now_, 1);
    routers_[new_try.router_id].limiter->on_request(now_);
    schedule_event(new_try.deadline, EventKind::TryDeadline, id);
    enqueue(id);
  }

  // The router's final response to a try that was not served. The client may retry.
  void reject_try(std::uint32_t id) {
    Try& rejected_try = tries_[id];
    Router& router = routers_[rejected_try.router_id];
    if (rejected_try.queued) dequeue(id);
    rejected_try.finished = true;
    Request& request = requests_[rejected_try.request_id];
    double backoff_ms =
        conditions_.backoff_ms * (conditions_.exponential_backoff ? std::exp2(request.started_tries - 1) : 1);
    if (RandomStreams::draw_unit(streams_.clients) < conditions_.retry_after_share) {
      backoff_ms = std::max(backoff_ms, std::min(kMaxRetryAfterMs, router.queue.retry_after_ms()));
    }
    if (request.started_tries < request.max_tries &&
        now_ + backoff_ms < request.first_try_at + 2 * objective_ms_) {
      schedule_event(now_ + backoff_ms, EventKind::ClientRetry, rejected_try.request_id);
    } else {
      ++outcome_.rejected_share;
    }
  }

  // ---- a router ----

  // By Little's law: the limit divided by the mean response time.
  static double service_rate_per_ms(const Router& router) {
    return router.mean_response_ms > 0 ? router.limiter->limit() / router.mean_response_ms : 0;
  }

  void enqueue(std::uint32_t id) {
    Try& queued_try = tries_[id];
    Router& router = routers_[queued_try.router_id];
    const Request& request = requests_[queued_try.request_id];
    router.queue.set_service_rate(service_rate_per_ms(router), router.mean_response_ms);
    if (queue_policy_ == QueuePolicy::OriginQueue) {
      if (!router.queue.add(now_, id, request.priority_weight, queued_try.deadline, request.write))
        return reject_try(id);
    } else if (queue_policy_ == QueuePolicy::CoDel) {
      router.codel_queue.add(now_, id, queued_try.deadline);
    } else {
      deadline_queue_.insert({queued_try.router_id, -request.priority_weight, ~std::uint64_t{id}});
    }
    queued_try.queued = true;
    ++router.queued_tries;
    dispatch(queued_try.router_id);
    if (!router.tick_scheduled && router.queued_tries > 0)
      router.tick_scheduled = true,
      schedule_event(now_ + kTickMs, EventKind::RouterTick, queued_try.router_id);
  }

  void dequeue(std::uint32_t id) {
    Try& queued_try = tries_[id];
    Router& router = routers_[queued_try.router_id];
    if (!queued_try.queued) return;
    queued_try.queued = false;
    --router.queued_tries;
    if (queue_policy_ == QueuePolicy::OriginQueue) {
      router.queue.remove(id);
    } else if (queue_policy_ == QueuePolicy::CoDel) {
      router.codel_queue.remove(id);
    } else {
      deadline_queue_.erase(
          {queued_try.router_id, -requests_[queued_try.request_id].priority_weight, ~std::uint64_t{id}});
    }
  }

  std::optional<std::uint64_t> take_next(std::uint32_t router_id) {
    Router& router = routers_[router_id];
    const bool may_read = router.limiter->may_send(now_, router.in_flight, false);
    const bool may_write = router.limiter->may_send(now_, router.in_flight, true);
    if (!may_read && !may_write) return std::nullopt;
    if (queue_policy_ == QueuePolicy::OriginQueue) return router.queue.take(now_, may_read, may_write);
    if (queue_policy_ == QueuePolicy::CoDel) return may_read ? router.codel_queue.take(now_) : std::nullopt;
    for (auto it = deadline_queue_.lower_bound({router_id, -1e9, 0});
         it != deadline_queue_.end() && it->router_id == router_id; ++it) {
      const auto id = static_cast<std::uint32_t>(~it->inverted_try_id);
      if (requests_[tries_[id].request_id].write ? may_write : may_read) {
        deadline_queue_.erase(it);
        return id;
      }
    }
    return std::nullopt;
  }

  void dispatch(std::uint32_t router_id) {
    Router& router = routers_[router_id];
    while (const auto next_id = take_next(router_id)) {
      const auto id = static_cast<std::uint32_t>(*next_id);
      Try& queued_try = tries_[id];
      queued_try.queued = false;
      --router.queued_tries;
      if (!requests_[queued_try.request_id].write && queued_try.deadline - now_ < router.mean_response_ms &&
          queue_policy_ == QueuePolicy::UntilDeadline) {
        reject_try(id);
        continue;
      }
      send_attempt(id);
    }
    std::vector<std::uint64_t> expired_ids;
    if (queue_policy_ == QueuePolicy::OriginQueue) {
      router.queue.set_service_rate(service_rate_per_ms(router), router.mean_response_ms);
      router.queue.take_expired(now_, expired_ids);
    } else if (queue_policy_ == QueuePolicy::CoDel) {
      router.codel_queue.take_overdue(now_, objective_ms_, expired_ids);
    }
    for (const auto id : expired_ids) {
      Try& queued_try = tries_[id];
      if (!queued_try.queued) continue;
      queued_try.queued = false;
      --router.queued_tries;
      reject_try(static_cast<std::uint32_t>(id));
    }
  }

  void on_tick(std::uint32_t router_id) {
    dispatch(router_id);
    Router& router = routers_[router_id];
    router.tick_scheduled = router.queued_tries > 0;
    if (router.tick_scheduled) schedule_event(now_ + kTickMs, EventKind::RouterTick, router_id);
  }

  void send_attempt(std::uint32_t id) {
    Try& sent_try = tries_[id];
    Router& router = routers_[sent_try.router_id];
    Attempt attempt;
    attempt.try_id = id;
    attempt.sent_at = now_;
    if (now_ >= 1000 * load_.faults_from_s) {
      attempt.silent = RandomStreams::draw_unit(streams_.faults) < load_.silent_share;
      attempt.reset = RandomStreams::draw_unit(streams_.faults) < load_.reset_share;
    }
    ++sent_try.attempts;
    ++sent_try.in_flight;
    ++router.in_flight;
    ++outcome_.attempts_per_request;
    router.limiter->on_sent(now_);
    const auto attempt_id = static_cast<std::uint32_t>(attempts_.size());
    attempts_.push_back(attempt);
    schedule_event(sent_try.client_deadline, EventKind::AttemptTimeout, attempt_id);
    if (router.mean_response_ms > 0)
      schedule_event(now_ + kOverdueMultiple * router.mean_response_ms, EventKind::OverdueCheck, attempt_id);
    if (attempt.silent) return;
    update_usage();
    const auto admission =
        server_.arrive(now_, attempt_id, requests_[sent_try.request_id].work_ms, sent_try.client_deadline);
    if (admission == Server::AdmissionResult::Rejected)
      schedule_event(now_ + kRoundTripMs, EventKind::AttemptResult, attempt_id,
                     static_cast<std::uint32_t>(AttemptEnding::Rejected));
    if (admission == Server::AdmissionResult::Down)
      schedule_event(now_ + kRoundTripMs, EventKind::AttemptResult, attempt_id,
                     static_cast<std::uint32_t>(AttemptEnding::ConnectFailed));
    outcome_.peak_held_per_core = std::max(outcome_.peak_held_per_core, server_.held_per_core());
    std::vector<Server::Job> lost;
    if (server_.fail_if_overloaded(now_, lost)) {
      ++outcome_.overload_failures;
      for (const auto job : lost)
        schedule_event(now_ + kRoundTripMs, EventKind::AttemptResult, static_cast<std::uint32_t>(job),
                       static_cast<std::uint32_t>(AttemptEnding::Fault));
    }
    schedule_completion();
  }

  void on_attempt_ended(std::uint32_t attempt_id, AttemptEnding ending) {
    Attempt& attempt = attempts_[attempt_id];
    attempt.in_flight = false;
    Try& ended_try = tries_[attempt.try_id];
    Router& router = routers_[ended_try.router_id];
    --ended_try.in_flight;
    if (!attempt.stuck || !excludes_stuck_) --router.in_flight;
    Request& request = requests_[ended_try.request_id];
    const double elapsed = now_ - attempt.sent_at;
    if (ending == AttemptEnding::Answered) {
      if (receives_queue_length_) router.limiter->on_queue_report(now_, reported_queue_length_);
      if (router.mean_response_ms == 0) router.mean_response_ms = elapsed;
      router.latest_answered_sent_at = std::max(router.latest_answered_sent_at, attempt.sent_at);
      update_moving_average(router.mean_response_ms, elapsed, 0.1);
    }
    router.limiter->on_ended(
        now_, {ending, elapsed, request.hint_ms, objective_ms_, request.write, router.in_flight});
    router.retry_budget.on_attempt_ended(
        now_, ending == AttemptEnding::Rejected || ending == AttemptEnding::ConnectFailed ||
                  (ending == AttemptEnding::Answered && elapsed > objective_ms_));
    if (ending == AttemptEnding::Answered && now_ > request.first_try_at + objective_ms_)
      ++outcome_.late_per_request;
    if (!ended_try.finished) continue_try(attempt.try_id, ending);
    dispatch(ended_try.router_id);
  }

  void continue_try(std::uint32_t id, AttemptEnding ending) {
    Try& continued_try = tries_[id];
    Router& router = routers_[continued_try.router_id];
    Request& request = requests_[continued_try.request_id];
    if (ending == AttemptEnding::Answered) {
      continued_try.finished = true;
      if (!request.served_in_time && now_ <= request.first_try_at + objective_ms_) {
        request.served_in_time = true;
        outcome_.served_weight += request.priority_weight;
        outcome_.served_weight_by_s[std::min(outcome_.served_weight_by_s.size() - 1,
                                             static_cast<std::size_t>(request.first_try_at / 1000))] +=
            request.priority_weight;
      }
      return;
    }
    if (continued_try.in_flight > 0 || continued_try.queued) return;
    if (continued_try.attempts >= kMaxAttempts || ending == AttemptEnding::TimedOut) return reject_try(id);
    if (ending == AttemptEnding::Fault) {
      if (!router.retry_budget.try_consume(now_, concurrency::RetryBudget::Use::Retry, congestion(router)))
        return reject_try(id);
      return enqueue(id);
    }
    schedule_event(
        now_ + std::max(5.0, router.mean_response_ms) * (0.5 + RandomStreams::draw_unit(streams_.clients)),
        EventKind::Requeue, id);
  }

  double congestion(const Router& router) const {
    return router.limiter->congestion(now_, router.in_flight + router.queued_tries);
  }

  // Checks an overdue attempt. If an attempt that was sent later has been answered, the connection of the overdue
  // one is assumed stuck: a hedged request may be sent, and with excludes_stuck the attempt no longer counts as
  // in flight.
  void check_overdue(std::uint32_t attempt_id) {
    Attempt& attempt = attempts_[attempt_id];
    Try& overdue_try = tries_[attempt.try_id];
    Router& router = routers_[overdue_try.router_id];
    if (!attempt.in_flight || attempt.stuck) return;
    if (router.latest_answered_sent_at <= attempt.sent_at)
      return schedule_event(now_ + std::max(10.0, router.mean_response_ms), EventKind::OverdueCheck,
                            attempt_id);
    attempt.stuck = true;
    if (excludes_stuck_) --router.in_flight;
    const bool may_hedge = !overdue_try.finished && overdue_try.in_flight == 1 &&
                           overdue_try.attempts < kMaxAttempts && !requests_[overdue_try.request_id].write;
    if (may_hedge && router.limiter->may_send(now_, router.in_flight, false) &&
        router.retry_budget.try_consume(now_, concurrency::RetryBudget::Use::Hedge, congestion(router))) {
      send_attempt(attempt.try_id);
    }
    dispatch(overdue_try.router_id);
  }

  // ---- the server ----

  void update_usage() {
    held_integral_ += server_.held_count() * (now_ - usage_updated_at_);
    if (now_ < 1000 * load_.duration_s)
      busy_integral_ +=
          std::min(1.0, server_.running_count() / conditions_.server.cores) * (now_ - usage_updated_at_);
    usage_updated_at_ = now_;
  }
  void schedule_completion() {
    const double next = server_.next_completion_at();
    if (next < std::numeric_limits<double>::infinity())
      schedule_event(next, EventKind::ServerCompletion, ++server_version_);
  }
  void advance_server() {
    update_usage();
    if (now_ - queue_reported_at_ > kReportIntervalMs)
      queue_reported_at_ = now_, reported_queue_length_ = server_.waiting_count();
    std::vector<Server::Job> done, dropped;
    server_.advance(now_, done, dropped);
    for (const auto job : done) {
      const auto attempt_id = static_cast<std::uint32_t>(job);
      schedule_event(now_ + kRoundTripMs, EventKind::AttemptResult, attempt_id,
                     static_cast<std::uint32_t>(attempts_[attempt_id].reset ? AttemptEnding::Fault
                                                                            : AttemptEnding::Answered));
    }
    for (const auto job : dropped)
      schedule_event(now_ + kRoundTripMs, EventKind::AttemptResult, static_cast<std::uint32_t>(job),
                     static_cast<std::uint32_t>(AttemptEnding::Rejected));
    schedule_completion();
  }

  struct QueuePosition { // in the queue of a router: by descending priority weight, then the latest try first
    std::uint32_t router_id;
    double negated_weight;
    std::uint64_t inverted_try_id;
    auto operator<=>(const QueuePosition&) const = default;
  };

  const Load& load_;
  DrawnConditions conditions_;
  RandomStreams streams_;
  Server server_;
  QueuePolicy queue_policy_;
  bool excludes_stuck_, receives_queue_length_;
  MakeLimiter make_limiter_;
  std::vector<Router> routers_;
  std::set<QueuePosition> deadline_queue_;
  std::vector<Request> requests_;
  std::vector<Try> tries_;
  std::vector<Attempt> attempts_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::uint64_t next_order_ = 0;
  std::uint32_t server_version_ = 0; // identifies the latest ServerCompletion event; earlier ones are void
  double queue_reported_at_ = 0, reported_queue_length_ = 0; // last report of the server
  double now_ = 0, capacity_per_ms_ = 0, objective_ms_ = 0, held_integral_ = 0, busy_integral_ = 0,
         usage_updated_at_ = 0;
  Outcome outcome_;
};

} // namespace

Outcome simulate(const Load& load, std::uint64_t seed, unsigned routers, const LimiterEntry& limiter) {
  return Simulation(load, seed, routers, routers, limiter, [&] { return limiter.make(routers); }).run();
}

Outcome simulate_fixed_limit(const Load& load, std::uint64_t seed, unsigned routers, double limit_per_core) {
  const double limit = std::max(1.0, limit_per_core * draw_conditions(seed, load, routers).server.cores);
  const LimiterEntry entry{"fixed", "", QueuePolicy::OriginQueue, true, false, {}};
  return Simulation(load, seed, routers, 1, entry, [=] { return make_fixed_limiter(limit); }).run();
}

} // namespace fernward::limiters
