// Memory use stays bounded over a long run. A program of its own, as it replaces operator new and delete to
// count allocations.
#include <gtest/gtest.h>

#include <array>
#include <cstdlib>
#include <new>

#include "balancer_driver.h"

namespace {
long live_blocks = 0;
long allocated_blocks = 0; // allocated since the start
} // namespace

void* operator new(std::size_t size) {
  void* block = std::malloc(size);
  if (block == nullptr) throw std::bad_alloc();
  ++live_blocks;
  ++allocated_blocks;
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
class LongRunDriver {
 public:
  LongRunDriver() : balancer_(make_settings(), 3) {}

  void run(int rounds) {
    for (int i = 0; i < rounds; ++i) {
      if (i % 50 == 0) replace_caches();
      const RequestId id = ++last_request_;
      handle_event(Request{.id = id, .key = id, .deadline = now_ + 400, .write = i % 9 == 0});
      if (i % 7 == 0) handle_event(ClientDisconnected{id});
      now_ += 10;
      while (!timers_.empty() && timers_.begin()->first <= now_) {
        const auto token = timers_.begin()->second;
        timers_.erase(timers_.begin());
        handle_event(TimerFired{token});
      }
    }
  }

  long attempts_sent = 0;

 private:
  static Settings make_settings() {
    Settings settings = cache_aside_settings();
    settings.may_health_check = true;
    return settings;
  }

  void replace_caches() {
    EndpointList list{EndpointListKind::Full, {{.id = kOriginId, .kind = kOriginKind}}};
    for (int i = 0; i < 5; ++i)
      list.servers.push_back({.id = ++last_server_, .started_at = i == 0 ? now_ : 0});
    handle_event(list);
  }

  void handle_event(const Event& event) {
    std::vector<Action> actions;
    balancer_.on_event(now_, event, actions);
    for (const Action& action : actions) {
      if (const auto* timer = std::get_if<SetTimer>(&action))
        timers_.emplace(now_ + timer->delay_ms, timer->token);
      if (const auto* send = std::get_if<Send>(&action)) complete_attempt(*send);
      if (const auto* health_check = std::get_if<SendHealthCheck>(&action))
        handle_event(HealthCheckResult{.server = health_check->server});
    }
  }

  void complete_attempt(const Send& send) {
    constexpr std::array kResults = {
        AttemptResult::Ok, AttemptResult::CacheMiss, AttemptResult::Ok, AttemptResult::Overloaded,
        AttemptResult::Ok, AttemptResult::TimedOut,  AttemptResult::Ok, AttemptResult::ConnectFailed};
    const bool at_origin = send.server == kOriginId;
    const AttemptResult result = at_origin ? AttemptResult::Ok : kResults[send.id % kResults.size()];
    std::erase_if(attempt_counts_, [this](const auto& old) { return old.first + 200 < last_request_; });
    const std::uint32_t attempt = attempt_counts_[send.id]++;
    ++attempts_sent;
    handle_event(AttemptOutcome{.id = send.id,
                                .attempt = attempt,
                                .server = send.server,
                                .result = result,
                                .elapsed_ms = 5,
                                .request_ended = result == AttemptResult::Ok,
                                .load_report = {1, 5}});
  }

  Balancer balancer_;
  double now_ = 1000;
  RequestId last_request_ = 0;
  ServerId last_server_ = 1000;
  std::map<RequestId, std::uint32_t> attempt_counts_; // number of attempts sent so far
  std::multimap<double, std::uint64_t> timers_;
};

TEST(Memory, StaysBoundedOverALongRun) {
  LongRunDriver driver;
  driver.run(20000); // more keys than a router keeps
  const long early_blocks = live_blocks;
  driver.run(60000);
  EXPECT_LE(live_blocks, 2 * early_blocks); // leaking one block per request gives hundreds of times as many
  EXPECT_GT(driver.attempts_sent, 20000);
}

// Counts the allocations of single operations of a router with the given number of caches, after all
// containers have reached their final size.
class FleetAllocations {
 public:
  explicit FleetAllocations(std::uint32_t cache_count) : balancer_(cache_aside_settings(), 3) {
    EndpointList list{EndpointListKind::Full, {{.id = kOriginId, .kind = kOriginKind}}};
    for (std::uint32_t id = 1000; id < 1000 + cache_count; ++id) list.servers.push_back({.id = id});
    handle_event(list);
    for (int round = 0; round < kWarmUpRounds; ++round) drain_and_restore(), fire_tick(), serve_request();
  }

  long drain_and_restore() { // a server starts draining and becomes ready again
    const long blocks_before = allocated_blocks;
    handle_event(EndpointList{EndpointListKind::Delta, {{.id = 1007, .state = ServerState::Draining}}});
    handle_event(EndpointList{EndpointListKind::Delta, {{.id = 1007}}});
    return allocated_blocks - blocks_before;
  }
  long replace_cache() { // removes one server and adds another; counts only the addition and a tick
    handle_event(EndpointList{EndpointListKind::Delta, {{.id = newest_server_, .state = ServerState::Gone}}});
    const long blocks_before = allocated_blocks;
    handle_event(EndpointList{EndpointListKind::Delta, {{.id = ++newest_server_}}});
    fire_tick();
    return allocated_blocks - blocks_before;
  }
  long fire_tick() {
    const long blocks_before = allocated_blocks;
    now_ += kTickMs;
    handle_event(TimerFired{tick_token_});
    return allocated_blocks - blocks_before;
  }
  long serve_request() { // with its response
    const long blocks_before = allocated_blocks;
    const RequestId id = ++last_request_;
    const ServerId server = handle_event(Request{.id = id, .key = 77, .deadline = now_ + 400});
    AttemptOutcome outcome;
    outcome.id = id;
    outcome.server = server;
    outcome.request_ended = true;
    handle_event(outcome);
    return allocated_blocks - blocks_before;
  }

 private:
  static constexpr int kWarmUpRounds = 50;
  static constexpr double kTickMs = 100;

  ServerId handle_event(const Event& event) { // returns the server that was sent to; 0: none
    actions_.clear();
    balancer_.on_event(now_, event, actions_);
    ServerId sent_to = 0;
    for (const Action& action : actions_) {
      if (const auto* send = std::get_if<Send>(&action)) sent_to = send->server;
      const auto* timer = std::get_if<SetTimer>(&action);
      if (timer != nullptr && timer->delay_ms == kTickMs && tick_token_ == 0) tick_token_ = timer->token;
    }
    return sent_to;
  }

  Balancer balancer_;
  std::vector<Action> actions_;
  double now_ = 1000;
  std::uint64_t tick_token_ = 0;
  RequestId last_request_ = 0;
  ServerId newest_server_ = 900'000;
};

// Guards against work per endpoint change, tick and request that grows with the size of the fleet, measured
// by the allocations.
TEST(Memory, AllocationsPerOperationAreIndependentOfTheNumberOfCaches) {
  FleetAllocations small_fleet(200), large_fleet(3200);
  EXPECT_GT(small_fleet.drain_and_restore(), 0);
  EXPECT_EQ(large_fleet.drain_and_restore(), small_fleet.drain_and_restore());
  EXPECT_EQ(large_fleet.fire_tick(), small_fleet.fire_tick());
  EXPECT_EQ(large_fleet.serve_request(), small_fleet.serve_request());
  // Buckets of the hash ring, one for each point; whether a bucket grows depends on chance.
  constexpr long kRingBuckets = 64;
  EXPECT_LE(large_fleet.replace_cache(), small_fleet.replace_cache() + kRingBuckets);
}

} // namespace
} // namespace fernward::testing
