// Property tests with seeded random events and settings: the balancer's rules hold, and equal events lead to
// equal actions. There is no server model: outcomes, lists and timers occur in any order that the interface
// allows.
#include <random>
#include <set>

#include "support.h"

namespace fernward::testing {
namespace {

struct Tracked { // the state of a request that is needed to check the rules
  Request in;
  std::vector<Send> sends;
  std::vector<double> sent_at;
  std::vector<bool> out;
  std::vector<bool> may_have_run;
  bool ended = false;
};

// Drives a balancer with random events and records violations of its rules.
class Drive {
 public:
  Drive(std::uint64_t seed, bool break_a_rule = false) : random_(seed), break_a_rule_(break_a_rule) {
    settings_ = plain_settings();
    settings_.classes.clear();
    for (int i = 0; i < 3; ++i) {
      ClassSettings c;
      c.latency_objective_ms = pick(100, 800);
      c.client_timeout_ms = 2000;
      c.late_value_share = pick(0, 1) * 0.3;
      c.priority_weight = pick(1, 9);
      c.idempotency = static_cast<Idempotency>(pick(0, 2));
      c.idempotency_scope = static_cast<IdempotencyScope>(pick(0, 2));
      c.idempotency_window_ms = pick(50, 1500);
      settings_.classes.push_back(c);
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
    announce(EndpointListKind::Cached);
  }

  void run(int steps) {
    for (int i = 0; i < steps; ++i) step();
    settle();
  }

  std::vector<std::string> broken;
  std::string transcript;

 private:
  int pick(int low, int high) {
    return low + static_cast<int>(random_() % static_cast<unsigned>(high - low + 1));
  }
  void fault(const std::string& what) { broken.push_back(what); }

  void announce(EndpointListKind kind) {
    std::vector<Server> listed;
    for (const auto& [id, server] : servers_) {
      if (kind == EndpointListKind::Delta || server.state != ServerState::Gone) listed.push_back(server);
    }
    feed(EndpointList{kind, listed});
  }

  void feed(const Event& event) {
    std::vector<Action> actions;
    balancer_->on_event(now_, event, actions);
    for (const Action& action : actions) std::visit([this](const auto& a) { take(a); }, action);
  }

  Tracked* known(RequestId id, const char* what) {
    const auto it = requests_.find(id);
    if (it == requests_.end()) fault(std::string(what) + " for an unknown request");
    return it == requests_.end() ? nullptr : &it->second;
  }

  void take(const Send& a) {
    transcript += "s" + std::to_string(a.id) + ":" + std::to_string(a.server);
    Tracked* r = known(a.id, "Send");
    if (r == nullptr) return;
    if (r->ended) fault("Send after the final answer");
    if (now_ > r->in.deadline) fault("Send after the deadline");
    const auto server = servers_.find(a.server);
    if (server == servers_.end()) return fault("Send to an unknown server");
    if (server->second.state != ServerState::Ready) fault("Send to a draining or gone server");
    if (r->sends.size() >= settings_.max_attempts) fault("more attempts than max_attempts");
    check_repeat(*r, server->second);
    r->sends.push_back(a);
    r->sent_at.push_back(now_);
    r->out.push_back(true);
    r->may_have_run.push_back(true);
  }

  void check_repeat(const Tracked& r, const Server& to) {
    const ClassSettings& c = settings_.classes[r.in.class_index];
    for (std::size_t i = 0; i < r.sends.size(); ++i) {
      if (r.out[i] && !settings_.may_hedge) fault("two concurrent attempts without hedging");
      if (!r.may_have_run[i] || c.idempotency == Idempotency::Idempotent) continue;
      if (c.idempotency == Idempotency::NonIdempotent) fault("non-idempotent request repeated");
      const Server& ran = servers_.at(r.sends[i].server);
      if (now_ - r.sent_at[i] > c.idempotency_window_ms)
        fault("request repeated after its idempotency window");
      if (c.idempotency_scope == IdempotencyScope::Zone && ran.zone != to.zone)
        fault("request repeated outside its zone");
      if (c.idempotency_scope == IdempotencyScope::Cell && ran.cell != to.cell)
        fault("request repeated outside its cell");
    }
  }

  void end(RequestId id, bool refusal) {
    Tracked* r = known(id, "final answer");
    if (r == nullptr) return;
    if (r->ended) fault("two final answers");
    r->ended = true;
    if (now_ > r->in.deadline + 20) fault("final answer after the deadline");
    const ClassSettings& c = settings_.classes[r->in.class_index];
    const bool may_have_run = std::count(r->may_have_run.begin(), r->may_have_run.end(), true) != 0;
    const bool repeatable =
        c.idempotency == Idempotency::Idempotent ||
        (c.idempotency == Idempotency::WithKey && c.idempotency_scope == IdempotencyScope::All);
    if (refusal && may_have_run && !repeatable)
      fault("request rejected although it may have run and must not be repeated");
  }

  void take(const Reject& a) { transcript += "r" + std::to_string(a.id), end(a.id, true); }
  void take(const Fail& a) { transcript += "f" + std::to_string(a.id), end(a.id, false); }
  void take(const Cancel& a) {
    transcript += "c" + std::to_string(a.id);
    if (!settings_.may_cancel) fault("Cancel is not allowed");
    Tracked* r = known(a.id, "Cancel");
    if (r != nullptr && a.attempt >= r->sends.size()) fault("Cancel of an attempt that was not sent");
  }
  void take(const SetTimer& a) {
    if (!(a.delay_ms >= 0)) fault("timer with a negative delay");
    timers_.emplace(now_ + a.delay_ms, a.token);
  }
  void take(const SendHealthCheck& a) {
    if (!settings_.may_health_check) fault("health check is not allowed");
    probes_.push_back(a.server);
  }
  void take(const WatchEndpoints&) { watching_ = true; }
  void take(const Log&) {}

  void step() {
    for (int ticks = pick(0, 3) == 0 ? pick(1, 8) : 1; ticks > 0; --ticks) tick();
    act_up();
  }

  void tick() { // fires the timers that are due within one event interval
    now_ += settings_.event_interval_ms;
    while (!timers_.empty() && timers_.begin()->first <= now_) {
      const auto token = timers_.begin()->second;
      timers_.erase(timers_.begin());
      feed(TimerFired{token});
    }
    for (auto& [id, r] : requests_) { // attempts that are active at the deadline time out
      if (now_ >= r.in.deadline) time_out(id, r);
    }
  }

  void act_up() {
    switch (pick(0, 20)) {
      case 0: change_servers(); break;
      case 1: feed(ClientDisconnected{kept(pick(0, 5))}); break;
      case 2:
        if (!probes_.empty()) {
          feed(HealthCheckResult{probes_.back(), 5, pick(0, 1) != 0, report()});
          probes_.pop_back();
        }
        break;
      case 3: feed(AttemptOutcome{.id = next_ + 5, .attempt = 0, .server = 3}); break;
      case 4:
        if (watching_)
          watching_ = false, announce(pick(0, 1) != 0 ? EndpointListKind::Delta : EndpointListKind::Failed);
        break;
      case 5:
      case 6:
      case 7:
      case 8:
      case 9: arrive(); break;
      default: finish_some(); break;
    }
  }

  RequestId kept(int back) { // a recent request, which is marked as ended before the event is sent
    const RequestId id = next_ > static_cast<RequestId>(back) ? next_ - static_cast<RequestId>(back) : 0;
    if (const auto it = requests_.find(id); it != requests_.end()) it->second.ended = true;
    return id;
  }

  void change_servers() {
    Server& s = servers_[static_cast<ServerId>(pick(1, 9))];
    s.state = static_cast<ServerState>(pick(0, 2));
    if (pick(0, 1) != 0) s.state = ServerState::Ready;
    if (pick(0, 3) == 0) s.started_at = now_;
    announce(pick(0, 2) == 0 ? EndpointListKind::Full : EndpointListKind::Delta);
  }

  void arrive() {
    Request in;
    in.id = ++next_;
    in.class_index = static_cast<std::uint32_t>(pick(0, 2));
    in.key = static_cast<std::uint64_t>(pick(0, 30));
    in.deadline = now_ + pick(5, 900);
    in.write = pick(0, 5) == 0;
    requests_[in.id].in = in;
    feed(in);
    if (break_a_rule_ && next_ % 50 == 0) { // actions of a balancer that violates the rules
      take(Reject{in.id, 0});
      take(Send{in.id, 1, 0});
    }
  }

  std::vector<float> report() {
    if (pick(0, 2) == 0) return {};
    return {static_cast<float>(pick(-1, 60)), static_cast<float>(pick(0, 200))};
  }

  void time_out(RequestId id, Tracked& r) {
    for (std::size_t i = 0; i < r.out.size(); ++i) {
      if (r.out[i]) end_attempt(id, r, i, AttemptResult::TimedOut);
    }
  }

  void end_attempt(RequestId id, Tracked& r, std::size_t i, AttemptResult result) {
    r.out[i] = false;
    r.may_have_run[i] = result != AttemptResult::Overloaded && result != AttemptResult::ConnectFailed &&
                        result != AttemptResult::Abandoned && result != AttemptResult::CacheMiss;
    const bool over = r.ended || result == AttemptResult::Ok;
    r.ended = over;
    const ServerId server = r.sends[i].server;
    feed(AttemptOutcome{id, static_cast<std::uint32_t>(i), server, result, now_ - r.sent_at[i], over,
                        report(), false});
  }

  void finish_some() {
    for (auto& [id, r] : requests_) {
      for (std::size_t i = 0; i < r.out.size(); ++i) {
        if (!r.out[i] || pick(0, 5) != 0) continue;
        const AttemptResult result = static_cast<AttemptResult>(pick(0, 8));
        if (result == AttemptResult::TimedOut) continue; // attempts time out only at the deadline
        end_attempt(id, r, i, pick(0, 2) == 0 ? AttemptResult::Ok : result);
        break;
      }
    }
    std::erase_if(requests_, [this](const auto& entry) {
      const Tracked& r = entry.second;
      if (now_ > r.in.deadline + 20 && !r.ended) fault("no final answer");
      return now_ > r.in.deadline + 100 && std::count(r.out.begin(), r.out.end(), true) == 0;
    });
  }

  void settle() {
    for (int i = 0; i < 2000; ++i) tick();
    for (const auto& [id, r] : requests_) {
      if (!r.ended) fault("request without a final answer");
    }
  }

  std::mt19937_64 random_;
  bool break_a_rule_;
  Settings settings_;
  std::unique_ptr<Balancer> balancer_;
  double now_ = 5000;
  RequestId next_ = 0;
  std::map<RequestId, Tracked> requests_;
  std::map<ServerId, Server> servers_;
  std::multimap<double, std::uint64_t> timers_;
  std::vector<ServerId> probes_;
  bool watching_ = false;
};

class RandomEvents : public ::testing::TestWithParam<int> {};

TEST_P(RandomEvents, SatisfyTheRules) {
  for (int i = 0; i < 10; ++i) {
    Drive drive(static_cast<std::uint64_t>(GetParam() * 10 + i));
    drive.run(4000);
    EXPECT_TRUE(drive.broken.empty()) << "seed " << GetParam() * 10 + i << ": " << drive.broken.front();
    EXPECT_GT(drive.transcript.size(), 1000u);
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomEvents, ::testing::Range(0, 10));

TEST(RandomEventsDeterminism, EqualEventsLeadToEqualActions) {
  Drive one(3), two(3);
  one.run(3000);
  two.run(3000);
  EXPECT_EQ(one.transcript, two.transcript);
}

TEST(RandomEventsChecks, DetectARuleViolation) {
  Drive drive(3, true);
  drive.run(1000);
  const std::set<std::string> found(drive.broken.begin(), drive.broken.end());
  EXPECT_EQ(found.count("Send after the final answer"), 1u);
}

} // namespace
} // namespace fernward::testing
