// Memory use stays bounded over a long run. A program of its own, as it replaces operator new and delete to
// count allocations.
#include <gtest/gtest.h>

#include <array>
#include <cstdlib>
#include <new>

#include "support.h"

namespace {
long live_blocks = 0;
long made_blocks = 0; // allocated since the start
} // namespace

void* operator new(std::size_t size) {
  void* block = std::malloc(size);
  if (block == nullptr) throw std::bad_alloc();
  ++live_blocks;
  ++made_blocks;
  return block;
}
void operator delete(void* block) noexcept {
  live_blocks -= block != nullptr;
  std::free(block);
}
void operator delete(void* block, std::size_t) noexcept { operator delete(block); }

namespace fernward::testing {
namespace {

// A router with new keys all the time, caches that are replaced, and requests with various results.
class LongRun {
 public:
  LongRun() : balancer_(settings(), 3) {}

  void play(int rounds) {
    for (int i = 0; i < rounds; ++i) {
      if (i % 50 == 0) renew_caches();
      const RequestId id = ++id_;
      feed(Request{.id = id, .key = id, .deadline = now_ + 400, .write = i % 9 == 0});
      if (i % 7 == 0) feed(ClientDisconnected{id});
      now_ += 10;
      while (!timers_.empty() && timers_.begin()->first <= now_) {
        const auto token = timers_.begin()->second;
        timers_.erase(timers_.begin());
        feed(TimerFired{token});
      }
    }
  }

  long sent = 0;

 private:
  static Settings settings() {
    Settings s = aside_settings();
    s.may_health_check = true;
    return s;
  }

  void renew_caches() {
    EndpointList list{EndpointListKind::Full, {{.id = kOrigin, .kind = kOriginKind}}};
    for (int i = 0; i < 5; ++i) list.servers.push_back({.id = ++server_, .started_at = i == 0 ? now_ : 0});
    feed(list);
  }

  void feed(const Event& event) {
    std::vector<Action> actions;
    balancer_.on_event(now_, event, actions);
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action))
        timers_.emplace(now_ + timer->delay_ms, timer->token);
      if (const auto* send = std::get_if<Send>(&action)) end(*send);
      if (const auto* probe = std::get_if<SendHealthCheck>(&action))
        feed(HealthCheckResult{.server = probe->server});
    }
  }

  void end(const Send& send) {
    constexpr std::array kEnds = {
        AttemptResult::Ok, AttemptResult::CacheMiss, AttemptResult::Ok, AttemptResult::Overloaded,
        AttemptResult::Ok, AttemptResult::TimedOut,  AttemptResult::Ok, AttemptResult::ConnectFailed};
    const bool at_origin = send.server == kOrigin;
    const AttemptResult result = at_origin ? AttemptResult::Ok : kEnds[send.id % kEnds.size()];
    std::erase_if(attempts_, [this](const auto& old) { return old.first + 200 < id_; });
    const std::uint32_t attempt = attempts_[send.id]++;
    ++sent;
    feed(AttemptOutcome{.id = send.id,
                        .attempt = attempt,
                        .server = send.server,
                        .result = result,
                        .elapsed_ms = 5,
                        .request_ended = result == AttemptResult::Ok,
                        .load_report = {1, 5}});
  }

  Balancer balancer_;
  double now_ = 1000;
  RequestId id_ = 0;
  ServerId server_ = 1000;
  std::map<RequestId, std::uint32_t> attempts_; // number of attempts sent so far
  std::multimap<double, std::uint64_t> timers_;
};

TEST(Memory, StaysBoundedOverALongRun) {
  LongRun run;
  run.play(20000); // more keys than a router keeps
  const long early = live_blocks;
  run.play(60000);
  EXPECT_LE(live_blocks, 2 * early); // leaking one block per request gives hundreds of times as many
  EXPECT_GT(run.sent, 20000);
}

// Counts the allocations of single operations of a router with the given number of caches, after all
// containers have reached their final size.
class FleetWork {
 public:
  explicit FleetWork(std::uint32_t caches) : balancer_(aside_settings(), 3) {
    EndpointList list{EndpointListKind::Full, {{.id = kOrigin, .kind = kOriginKind}}};
    for (std::uint32_t id = 1000; id < 1000 + caches; ++id) list.servers.push_back({.id = id});
    feed(list);
    for (int round = 0; round < kWarmUps; ++round) change(), tick(), request();
  }

  long change() { // a server starts draining and becomes ready again
    const long before = made_blocks;
    feed(EndpointList{EndpointListKind::Delta, {{.id = 1007, .state = ServerState::Draining}}});
    feed(EndpointList{EndpointListKind::Delta, {{.id = 1007}}});
    return made_blocks - before;
  }
  long replace() { // removes one server and adds another; counts only the addition and a tick
    feed(EndpointList{EndpointListKind::Delta, {{.id = newest_, .state = ServerState::Gone}}});
    const long before = made_blocks;
    feed(EndpointList{EndpointListKind::Delta, {{.id = ++newest_}}});
    tick();
    return made_blocks - before;
  }
  long tick() {
    const long before = made_blocks;
    now_ += kTickMs;
    feed(TimerFired{tick_});
    return made_blocks - before;
  }
  long request() { // with its response
    const long before = made_blocks;
    const RequestId id = ++id_;
    const ServerId server = feed(Request{.id = id, .key = 77, .deadline = now_ + 400});
    AttemptOutcome answer;
    answer.id = id;
    answer.server = server;
    answer.request_ended = true;
    feed(answer);
    return made_blocks - before;
  }

 private:
  static constexpr int kWarmUps = 50;
  static constexpr double kTickMs = 100;

  ServerId feed(const Event& event) { // returns the server that was sent to; 0: none
    actions_.clear();
    balancer_.on_event(now_, event, actions_);
    ServerId sent_to = 0;
    for (const Action& action : actions_) {
      if (const auto* send = std::get_if<Send>(&action)) sent_to = send->server;
      const auto* timer = std::get_if<SetTimer>(&action);
      if (timer != nullptr && timer->delay_ms == kTickMs && tick_ == 0) tick_ = timer->token;
    }
    return sent_to;
  }

  Balancer balancer_;
  std::vector<Action> actions_;
  double now_ = 1000;
  std::uint64_t tick_ = 0;
  RequestId id_ = 0;
  ServerId newest_ = 900'000;
};

// Guards against work per endpoint change, tick and request that grows with the size of the fleet, measured
// by the allocations.
TEST(Memory, AllocationsPerOperationAreIndependentOfTheNumberOfCaches) {
  FleetWork few(200), many(3200);
  EXPECT_GT(few.change(), 0);
  EXPECT_EQ(many.change(), few.change());
  EXPECT_EQ(many.tick(), few.tick());
  EXPECT_EQ(many.request(), few.request());
  // Buckets of the hash ring, one for each point; whether a bucket grows depends on chance.
  constexpr long kBuckets = 64;
  EXPECT_LE(many.replace(), few.replace() + kBuckets);
}

} // namespace
} // namespace fernward::testing
