// Property tests with seeded random events and settings: the balancer's rules hold, and equal events lead to
// equal actions. There is no server model: outcomes, lists and timers occur in any order that the interface
// allows.
#include <random>
#include <set>

#include "balancer_driver.h"

namespace fernward::testing {
namespace {

struct RequestState { // the state of a request that is needed to check the rules
  Request request;
  std::vector<Send> sends;
  std::vector<double> sent_at_ms;
  std::vector<bool> active;
  std::vector<bool> may_have_run;
  bool ended = false;
};

// Drives a balancer with random events and records violations of its rules.
class RandomDriver {
 public:
  RandomDriver(std::uint64_t seed, bool inject_violation = false)
      : random_(seed), inject_violation_(inject_violation) {
    settings_ = plain_settings();
    settings_.classes.clear();
    for (int i = 0; i < 3; ++i) {
      ClassSettings class_settings;
      class_settings.latency_objective_ms = pick(100, 800);
      class_settings.client_timeout_ms = 2000;
      class_settings.late_response_value_share = pick(0, 1) * 0.3;
      class_settings.priority_weight = pick(1, 9);
      class_settings.idempotency = static_cast<Idempotency>(pick(0, 2));
      class_settings.idempotency_scope = static_cast<IdempotencyScope>(pick(0, 2));
      class_settings.idempotency_window_ms = pick(50, 1500);
      settings_.classes.push_back(class_settings);
    }
    settings_.router_count = static_cast<std::uint32_t>(pick(1, 8));
    settings_.origin_kind = pick(0, 2) == 0 ? -1 : 1;
    settings_.may_hedge = pick(0, 1) != 0;
    settings_.may_cancel = pick(0, 1) != 0;
    settings_.may_health_check = pick(0, 1) != 0;
    settings_.send_retry_after = pick(0, 1) != 0;
    settings_.max_attempts = static_cast<std::uint32_t>(pick(1, 6));
    settings_.discovery = static_cast<DiscoveryMode>(pick(0, 1));
    settings_.weight_kind = static_cast<WeightKind>(pick(0, 3));
    if (pick(0, 3) == 0) settings_.load_report_source = LoadReportSource::Never;
    if (pick(0, 3) == 0) settings_.load_report_fields = {LoadReportField::Inflight};
    balancer_ = std::make_unique<Balancer>(settings_, seed);
    for (ServerId id = 1; id <= 9; ++id) {
      servers_[id] = {.id = id, .kind = id == 9 ? 1u : 0u, .cell = id % 4, .zone = id % 3};
    }
    send_list(EndpointListKind::Cached);
  }

  void run(int steps) {
    for (int i = 0; i < steps; ++i) step();
    run_to_completion();
  }

  std::vector<std::string> violations;
  std::string transcript;

 private:
  int pick(int low, int high) {
    return low + static_cast<int>(random_() % static_cast<unsigned>(high - low + 1));
  }
  void add_violation(const std::string& description) { violations.push_back(description); }

  void send_list(EndpointListKind kind) {
    std::vector<Server> listed;
    for (const auto& [id, server] : servers_) {
      if (kind == EndpointListKind::Delta || server.state != ServerState::Gone) listed.push_back(server);
    }
    handle_event(EndpointList{kind, listed});
  }

  void handle_event(const Event& event) {
    std::vector<Action> actions;
    balancer_->on_event(now_, event, actions);
    for (const Action& action : actions) std::visit([this](const auto& a) { on_action(a); }, action);
  }

  RequestState* find_request(RequestId id, const char* action_name) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) add_violation(std::string(action_name) + " for an unknown request");
    return it == requests_.end() ? nullptr : &it->second;
  }

  void on_action(const Send& action) {
    transcript += "s" + std::to_string(action.id) + ":" + std::to_string(action.server);
    RequestState* state = find_request(action.id, "Send");
    if (state == nullptr) return;
    if (state->ended) add_violation("Send after the final answer");
    if (now_ > state->request.deadline) add_violation("Send after the deadline");
    const auto server = servers_.find(action.server);
    if (server == servers_.end()) return add_violation("Send to an unknown server");
    if (server->second.state != ServerState::Ready) add_violation("Send to a draining or gone server");
    if (state->sends.size() >= settings_.max_attempts) add_violation("more attempts than max_attempts");
    check_idempotency(*state, server->second);
    state->sends.push_back(action);
    state->sent_at_ms.push_back(now_);
    state->active.push_back(true);
    state->may_have_run.push_back(true);
  }

  void check_idempotency(const RequestState& state, const Server& target) {
    const ClassSettings& class_settings = settings_.classes[state.request.class_index];
    for (std::size_t i = 0; i < state.sends.size(); ++i) {
      if (state.active[i] && !settings_.may_hedge) add_violation("two concurrent attempts without hedging");
      if (!state.may_have_run[i] || class_settings.idempotency == Idempotency::Idempotent) continue;
      if (class_settings.idempotency == Idempotency::NonIdempotent)
        add_violation("non-idempotent request repeated");
      const Server& previous = servers_.at(state.sends[i].server);
      if (now_ - state.sent_at_ms[i] > class_settings.idempotency_window_ms)
        add_violation("request repeated after its idempotency window");
      if (class_settings.idempotency_scope == IdempotencyScope::Zone && previous.zone != target.zone)
        add_violation("request repeated outside its zone");
      if (class_settings.idempotency_scope == IdempotencyScope::Cell && previous.cell != target.cell)
        add_violation("request repeated outside its cell");
    }
  }

  void end_request(RequestId id, bool rejected) {
    RequestState* state = find_request(id, "final answer");
    if (state == nullptr) return;
    if (state->ended) add_violation("two final answers");
    state->ended = true;
    if (now_ > state->request.deadline + 20) add_violation("final answer after the deadline");
    const ClassSettings& class_settings = settings_.classes[state->request.class_index];
    const bool may_have_run = std::count(state->may_have_run.begin(), state->may_have_run.end(), true) != 0;
    const bool repeatable = class_settings.idempotency == Idempotency::Idempotent ||
                            (class_settings.idempotency == Idempotency::WithKey &&
                             class_settings.idempotency_scope == IdempotencyScope::All);
    if (rejected && may_have_run && !repeatable)
      add_violation("request rejected although it may have run and must not be repeated");
  }

  void on_action(const Reject& action) {
    transcript += "r" + std::to_string(action.id), end_request(action.id, true);
  }
  void on_action(const Fail& action) {
    transcript += "f" + std::to_string(action.id), end_request(action.id, false);
  }
  void on_action(const Cancel& action) {
    transcript += "c" + std::to_string(action.id);
    if (!settings_.may_cancel) add_violation("Cancel is not allowed");
    RequestState* state = find_request(action.id, "Cancel");
    if (state != nullptr && action.attempt >= state->sends.size())
      add_violation("Cancel of an attempt that was not sent");
  }
  void on_action(const SetTimer& action) {
    if (!(action.delay_ms >= 0)) add_violation("timer with a negative delay");
    timers_.emplace(now_ + action.delay_ms, action.token);
  }
  void on_action(const SendHealthCheck& action) {
    if (!settings_.may_health_check) add_violation("health check is not allowed");
    pending_health_checks_.push_back(action.server);
  }
  void on_action(const WatchEndpoints&) { watch_pending_ = true; }
  void on_action(const Log&) {}

  void step() {
    for (int ticks = pick(0, 3) == 0 ? pick(1, 8) : 1; ticks > 0; --ticks) tick();
    random_event();
  }

  void tick() { // fires the timers that are due within one event interval
    now_ += settings_.event_interval_ms;
    while (!timers_.empty() && timers_.begin()->first <= now_) {
      const auto token = timers_.begin()->second;
      timers_.erase(timers_.begin());
      handle_event(TimerFired{token});
    }
    for (auto& [id, r] : requests_) { // attempts that are active at the deadline time out
      if (now_ >= r.request.deadline) time_out_attempts(id, r);
    }
  }

  void random_event() {
    switch (pick(0, 20)) {
      case 0: change_servers(); break;
      case 1: handle_event(ClientDisconnected{recent_request(pick(0, 5))}); break;
      case 2:
        if (!pending_health_checks_.empty()) {
          handle_event(
              HealthCheckResult{pending_health_checks_.back(), 5, pick(0, 1) != 0, random_load_report()});
          pending_health_checks_.pop_back();
        }
        break;
      case 3: handle_event(AttemptOutcome{.id = last_request_ + 5, .attempt = 0, .server = 3}); break;
      case 4:
        if (watch_pending_)
          watch_pending_ = false,
          send_list(pick(0, 1) != 0 ? EndpointListKind::Delta : EndpointListKind::Failed);
        break;
      case 5:
      case 6:
      case 7:
      case 8:
      case 9: add_request(); break;
      default: finish_random_attempts(); break;
    }
  }

  RequestId recent_request(int age) { // a recent request, which is marked as ended before the event is sent
    const RequestId id =
        last_request_ > static_cast<RequestId>(age) ? last_request_ - static_cast<RequestId>(age) : 0;
    if (const auto it = requests_.find(id); it != requests_.end()) it->second.ended = true;
    return id;
  }

  void change_servers() {
    Server& server = servers_[static_cast<ServerId>(pick(1, 9))];
    server.state = static_cast<ServerState>(pick(0, 2));
    if (pick(0, 1) != 0) server.state = ServerState::Ready;
    if (pick(0, 3) == 0) server.started_at = now_;
    send_list(pick(0, 2) == 0 ? EndpointListKind::Full : EndpointListKind::Delta);
  }

  void add_request() {
    Request request;
    request.id = ++last_request_;
    request.class_index = static_cast<std::uint32_t>(pick(0, 2));
    request.key = static_cast<std::uint64_t>(pick(0, 30));
    request.deadline = now_ + pick(5, 900);
    request.write = pick(0, 5) == 0;
    requests_[request.id].request = request;
    handle_event(request);
    if (inject_violation_ && last_request_ % 50 == 0) { // actions of a balancer that violates the rules
      on_action(Reject{request.id, 0});
      on_action(Send{request.id, 1, 0});
    }
  }

  std::vector<float> random_load_report() {
    if (pick(0, 2) == 0) return {};
    return {static_cast<float>(pick(-1, 60)), static_cast<float>(pick(0, 200))};
  }

  void time_out_attempts(RequestId id, RequestState& state) {
    for (std::size_t i = 0; i < state.active.size(); ++i) {
      if (state.active[i]) end_attempt(id, state, i, AttemptResult::TimedOut);
    }
  }

  void end_attempt(RequestId id, RequestState& state, std::size_t i, AttemptResult result) {
    state.active[i] = false;
    state.may_have_run[i] = result != AttemptResult::Overloaded && result != AttemptResult::ConnectFailed &&
                            result != AttemptResult::Abandoned && result != AttemptResult::CacheMiss;
    const bool request_ended = state.ended || result == AttemptResult::Ok;
    state.ended = request_ended;
    const ServerId server = state.sends[i].server;
    handle_event(AttemptOutcome{id, static_cast<std::uint32_t>(i), server, result, now_ - state.sent_at_ms[i],
                                request_ended, random_load_report(), false});
  }

  void finish_random_attempts() {
    for (auto& [id, r] : requests_) {
      for (std::size_t i = 0; i < r.active.size(); ++i) {
        if (!r.active[i] || pick(0, 5) != 0) continue;
        const AttemptResult result = static_cast<AttemptResult>(pick(0, 8));
        if (result == AttemptResult::TimedOut) continue; // attempts time out only at the deadline
        end_attempt(id, r, i, pick(0, 2) == 0 ? AttemptResult::Ok : result);
        break;
      }
    }
    std::erase_if(requests_, [this](const auto& entry) {
      const RequestState& r = entry.second;
      if (now_ > r.request.deadline + 20 && !r.ended) add_violation("no final answer");
      return now_ > r.request.deadline + 100 && std::count(r.active.begin(), r.active.end(), true) == 0;
    });
  }

  void run_to_completion() {
    for (int i = 0; i < 2000; ++i) tick();
    for (const auto& [id, r] : requests_) {
      if (!r.ended) add_violation("request without a final answer");
    }
  }

  std::mt19937_64 random_;
  bool inject_violation_;
  Settings settings_;
  std::unique_ptr<Balancer> balancer_;
  double now_ = 5000;
  RequestId last_request_ = 0;
  std::map<RequestId, RequestState> requests_;
  std::map<ServerId, Server> servers_;
  std::multimap<double, std::uint64_t> timers_;
  std::vector<ServerId> pending_health_checks_;
  bool watch_pending_ = false;
};

class RandomEvents : public ::testing::TestWithParam<int> {};

TEST_P(RandomEvents, SatisfyTheRules) {
  for (int i = 0; i < 10; ++i) {
    RandomDriver driver(static_cast<std::uint64_t>(GetParam() * 10 + i));
    driver.run(4000);
    EXPECT_TRUE(driver.violations.empty())
        << "seed " << GetParam() * 10 + i << ": " << driver.violations.front();
    EXPECT_GT(driver.transcript.size(), 1000u);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomEvents, ::testing::Range(0, 10));

TEST(RandomEventsDeterminism, EqualEventsLeadToEqualActions) {
  RandomDriver first(3), second(3);
  first.run(3000);
  second.run(3000);
  EXPECT_EQ(first.transcript, second.transcript);
}

TEST(RandomEventsChecks, DetectARuleViolation) {
  RandomDriver driver(3, true);
  driver.run(1000);
  const std::set<std::string> found(driver.violations.begin(), driver.violations.end());
  EXPECT_EQ(found.count("Send after the final answer"), 1u);
}

} // namespace
} // namespace fernward::testing
