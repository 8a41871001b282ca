// What the router receives from a discovery that is slow, silent, disconnected or wrong: the program as a
// separate process against a scripted discovery. The order of events is forced: an answer is sent after a
// further call has arrived, or while the process is stopped. Times are the upper bounds that the protocol
// sets, measured from the event that they name.
#include <doctest/doctest.h>
#include <signal.h>

#include <algorithm>
#include <sstream>

#include "program.h"
#include "raw_client.h"
#include "scripted_discovery.h"
#include "scripted_peers.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

constexpr int kFirstIndex = 7;
constexpr int kDrainIndex = 8;
// Limits until a list is applied.
constexpr double kUpdateReceivedMs = 6000;    // a change, after a call that failed or stopped responding
constexpr double kUpdateAfterReloadMs = 4000; // a change, after SIGHUP with another discovery
constexpr double kAnswerReceivedMs = 1000;    // a valid answer on an open call
constexpr int kLongPollMs = 1000;

std::size_t count_occurrences(const std::string& pattern, const std::string& text) {
  std::size_t count = 0;
  for (auto at = text.find(pattern); at != std::string::npos; at = text.find(pattern, at + 1)) ++count;
  return count;
}

// Number of lists that the program's log reports as stale.
std::size_t stale_lists(const std::string& log) {
  std::istringstream lines(log);
  std::size_t count = 0;
  for (std::string line; std::getline(lines, line);) {
    const auto why = line.find(" why=");
    count += line.starts_with("list-damaged ") && why != std::string::npos &&
             line.find("stale", why) != std::string::npos;
  }
  return count;
}

// Two servers, a discovery and the program as a separate process.
struct DiscoveryFixture {
  // `change` is applied to the program's configuration.
  explicit DiscoveryFixture(const std::function<void(Json&)>& change = [](Json&) {}) {
    config = config_json(discovery.address, endpoint_list(kFirstIndex, server_1));
    config["limits"]["sockets"] = 1024;
    change(config);
  }

  // Exactly one of the two is in service, so that requests to the other one show that the list was not
  // applied.
  Json endpoint_list(int index, const ScriptedServer& in_service) {
    const auto state = [&](const ScriptedServer& server) {
      return &server == &in_service ? "in_service" : "terminating";
    };
    return endpoint_list_json(index, true,
                              {endpoint_json("s-1", server_1.address, state(server_1)),
                               endpoint_json("s-2", server_2.address, state(server_2))});
  }
  std::string endpoint_list_response(int index, const ScriptedServer& in_service) {
    return ok_response(endpoint_list(index, in_service).dump());
  }
  // A list that drains the first server.
  std::string drain_response() { return endpoint_list_response(kDrainIndex, server_2); }
  static std::string empty_update_response(int index) {
    return ok_response(endpoint_list_json(index, false, {}).dump());
  }

  // Starts the program and waits for its first call, which is not answered.
  void start() {
    program = std::make_unique<TestProgram>(std::vector<std::string>{"serve"}, config);
    REQUIRE(wait_until([&] { return program->port() != 0 && !discovery.calls.empty(); }));
  }

  // Starts the program, answers its first call and returns the long poll that follows.
  std::size_t start_watch() {
    start();
    discovery.reply(0, endpoint_list_response(kFirstIndex, server_1));
    REQUIRE(wait_for_index(discovery, kFirstIndex, loop::now_ms(), kAnswerReceivedMs));
    return discovery.calls.size() - 1;
  }

  bool wait_until(const std::function<bool()>& done, double within_ms = kUpdateReceivedMs + 1000) {
    const double end = loop::now_ms() + within_ms;
    run_until(base.get(), [&] { return done() || loop::now_ms() >= end; });
    program->output_contains(""); // reads the output
    return done();
  }

  // Waits until the router requests changes since `index`, which shows that the list with this index is
  // applied. Fails if that takes longer than `within_ms` after `begun_ms`.
  bool wait_for_index(const ScriptedDiscovery& source, int index, double begun_ms, double within_ms) {
    const auto watches_from_index = [&] {
      return std::any_of(source.calls.begin(), source.calls.end(),
                         [&](const auto& call) { return call.requests_changes_since(index); });
    };
    const bool received = wait_until(watches_from_index, begun_ms + within_ms - loop::now_ms());
    INFO(program->output);
    CHECK_MESSAGE(received, "index " << index << " not applied within " << within_ms << " ms");
    return received;
  }

  // Checks that the program is ready within `within_ms` after its start, without an answer of discovery.
  void check_serves_from_known_list(double started_at_ms, double within_ms) {
    while (ready_status() != 200 && loop::now_ms() - started_at_ms < within_ms) run_for(base.get(), 10);
    CHECK(ready_status() == 200);
    CHECK(loop::now_ms() - started_at_ms < within_ms);
    check_served_by(server_1);
  }

  // Checks that the drain of the first server is received in time and applied.
  void check_drain(const ScriptedDiscovery& source, double begun_ms, double within_ms) {
    if (wait_for_index(source, kDrainIndex, begun_ms, within_ms)) check_served_by(server_2);
  }

  // Sends requests with different keys sequentially and checks that all are answered, only by this server.
  void check_served_by(const ScriptedServer& server) {
    constexpr std::size_t kRequests = 20;
    const ScriptedServer& other = &server == &server_1 ? server_2 : server_1;
    const std::size_t before = server.requests.size(), before_other = other.requests.size();
    RawClient client(program->port());
    for (std::size_t i = 0; i < kRequests; ++i) CHECK(send_request(client) == 200);
    CHECK(server.requests.size() == before + kRequests);
    CHECK(other.requests.size() == before_other);
  }

  // Sends one request and waits for its status. 0: no response.
  int send_request(RawClient& client) {
    const std::string number = std::to_string(++request_count);
    return send_and_wait(client, get_request("/k/" + number, "r" + number));
  }
  int ready_status() {
    RawClient client(program->port());
    return send_and_wait(client, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  int send_and_wait(RawClient& client, const std::string& request) {
    const std::size_t before = client.responses.size();
    client.send(request);
    wait_until([&] { return client.receive_available(), client.responses.size() > before || client.closed; });
    return client.responses.size() > before ? client.responses.back().status : 0;
  }

  // Configures `next` as the discovery, sends SIGHUP and waits until the program has logged the reload.
  void reload(const ScriptedDiscovery& next) {
    const std::size_t before = count_occurrences("reload-discovery-", program->output);
    config["discovery"] = next.address;
    program->write_config(config.dump());
    program->signal(SIGHUP);
    REQUIRE(wait_until([&] {
      return program->output_contains(""), count_occurrences("reload-discovery-", program->output) > before;
    }));
  }

  router::EventBasePtr base = router::make_event_base();
  ScriptedServer server_1{base.get(), [](const http::Message& m) { return ok_response("v of " + m.target); }};
  ScriptedServer server_2{base.get(), [](const http::Message& m) { return ok_response("v of " + m.target); }};
  ScriptedDiscovery discovery{base.get()};
  Json config;
  std::unique_ptr<TestProgram> program;
  int request_count = 0;
};

std::string first_half(const std::string& text) { return text.substr(0, text.size() / 2); }
std::string second_half(const std::string& text) { return text.substr(text.size() / 2); }

} // namespace

// ---- calls without an answer: a second call in parallel ----

// Guards against a slow list that is discarded again and again.
TEST_CASE("an answer that stalls until a second call is open: its remainder is accepted") {
  DiscoveryFixture fixture;
  std::size_t call = 0;
  SUBCASE("the full list for a new process") { fixture.start(); }
  SUBCASE("a long poll") { call = fixture.start_watch(); }
  fixture.discovery.reply_part(call, first_half(fixture.drain_response()));
  REQUIRE(fixture.wait_until([&] { return fixture.discovery.calls.size() >= call + 2; }));
  run_for(fixture.base.get(), 50); // long enough for the event loop to detect a close
  CHECK(fixture.discovery.is_open(call));
  fixture.discovery.reply(call, second_half(fixture.drain_response()));
  fixture.check_drain(fixture.discovery, loop::now_ms(), kAnswerReceivedMs);
  CHECK(fixture.wait_until([&] { return fixture.discovery.open_connections() == 1; }, kAnswerReceivedMs));
  CHECK(fixture.discovery.max_open_connections <= 2);
}

// Guards against consecutive failures that add up to more than the time limit for a change.
TEST_CASE("a watch and the next call stop responding and the third is reset: a drain is applied within 6 s") {
  DiscoveryFixture fixture;
  const std::size_t watch = fixture.start_watch();
  const double silent_since_ms = fixture.discovery.calls[watch].received_at_ms;
  fixture.discovery.on_call = [&](std::size_t call) {
    if (call == watch + 2) fixture.discovery.reset(call);
    if (call > watch + 2 && !fixture.discovery.calls[call].requests_changes_since(kDrainIndex))
      fixture.discovery.reply(call, fixture.drain_response());
  };
  fixture.check_drain(fixture.discovery, silent_since_ms, kUpdateReceivedMs);
  CHECK(fixture.discovery.max_open_connections <= 2);
}

// Guards against a call that is never given up because bytes keep arriving.
TEST_CASE("an endless answer of single bytes: a second call is opened in parallel") {
  DiscoveryFixture fixture;
  const std::size_t watch = fixture.start_watch();
  const double watch_began_at_ms = fixture.discovery.calls[watch].received_at_ms;
  fixture.discovery.reply_part(watch, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{");
  const auto trickle_until = [&](const std::function<bool()>& done, double within_ms) {
    return fixture.wait_until([&] { return fixture.discovery.reply_part(watch, " "), done(); }, within_ms);
  };
  REQUIRE(trickle_until([&] { return fixture.discovery.calls.size() > watch + 1; }, kUpdateReceivedMs));
  const double trickle_until_ms = loop::now_ms() + 50; // long enough for the event loop to detect a close
  trickle_until([&] { return loop::now_ms() >= trickle_until_ms; }, kUpdateReceivedMs);
  CHECK(fixture.discovery.is_open(watch));
  fixture.discovery.reply(watch + 1, fixture.drain_response());
  fixture.check_drain(fixture.discovery, watch_began_at_ms, kUpdateReceivedMs);
}

namespace {

// A discovery that answers each call and reports each change with a fixed delay.
class SlowDiscovery {
 public:
  SlowDiscovery(DiscoveryFixture& fixture, double delay_ms) : fixture_(fixture), delay_ms_(delay_ms) {
    fixture_.discovery.on_call = [this](std::size_t call) {
      const bool is_long_poll = fixture_.discovery.calls[call].requests_changes_since(index_);
      reply_after(call, is_long_poll ? timeout_of(call) + delay_ms_ : delay_ms_);
    };
  }
  void publish(int index, const ScriptedServer& in_service) {
    index_ = index;
    in_service_ = &in_service;
    for (std::size_t call = 0; call < fixture_.discovery.calls.size(); ++call) reply_after(call, delay_ms_);
  }

 private:
  double timeout_of(std::size_t call) const {
    const std::string& target = fixture_.discovery.calls[call].target;
    return std::stod(target.substr(target.rfind('=') + 1));
  }
  void reply_after(std::size_t call, double ms) {
    timers_.run_at(loop::now_ms() + ms, [this, call] { reply(call); });
  }
  void reply(std::size_t call) {
    const auto& pending = fixture_.discovery.calls[call];
    if (pending.answered) return;
    const bool is_current = pending.requests_changes_since(index_);
    fixture_.discovery.reply(call, is_current ? DiscoveryFixture::empty_update_response(index_)
                                              : fixture_.endpoint_list_response(index_, *in_service_));
  }

  DiscoveryFixture& fixture_;
  double delay_ms_;
  loop::TimerQueue timers_{fixture_.base.get()};
  int index_ = kFirstIndex;
  const ScriptedServer* in_service_ = &fixture_.server_1;
};

} // namespace

// Guards against calls that are given up just before their answer arrives, and against connections that
// accumulate at a discovery which is already slow.
TEST_CASE(
    "a discovery that answers each call 0.8 s late: changes are received over at most two connections") {
  DiscoveryFixture fixture;
  SlowDiscovery slow_discovery(fixture, 800);
  fixture.start();
  REQUIRE(fixture.wait_for_index(fixture.discovery, kFirstIndex, loop::now_ms(), kUpdateReceivedMs));
  for (int index = kDrainIndex; index < kDrainIndex + 3; ++index) {
    const double changed_at_ms = loop::now_ms();
    const ScriptedServer& in_service = index % 2 == 0 ? fixture.server_2 : fixture.server_1;
    slow_discovery.publish(index, in_service);
    if (!fixture.wait_for_index(fixture.discovery, index, changed_at_ms, kUpdateReceivedMs)) break;
    fixture.check_served_by(in_service);
  }
  CHECK(fixture.discovery.max_open_connections <= 2);
}

// ---- backoff ----

// Guards against a backoff longer than the time limit for a drain although discovery could be reached
// again.
TEST_CASE("discovery closes 12 connections in a row: the next call follows within 150 ms of the last close") {
  constexpr std::size_t kCloses = 12;
  constexpr double kMaxRetryMs = 150;
  DiscoveryFixture fixture;
  const std::size_t watch = fixture.start_watch();
  std::size_t closes = 0;
  double closed_at_ms = 0, longest_pause_ms = 0;
  fixture.discovery.on_connection = [&](std::size_t connection) {
    if (closes > 0) longest_pause_ms = std::max(longest_pause_ms, loop::now_ms() - closed_at_ms);
    if (closes == kCloses) return;
    fixture.discovery.close_connection(connection);
    ++closes;
    closed_at_ms = loop::now_ms();
  };
  fixture.discovery.close(watch);
  REQUIRE(fixture.wait_until([&] { return fixture.discovery.calls.size() > watch + 1; }, 10000));
  REQUIRE(closes == kCloses);
  CHECK(fixture.discovery.calls[watch + 1].received_at_ms - closed_at_ms < kMaxRetryMs);
  CHECK(longest_pause_ms < kMaxRetryMs);
  fixture.discovery.reply(watch + 1, fixture.drain_response());
  fixture.check_drain(fixture.discovery, fixture.discovery.calls[watch + 1].received_at_ms,
                      kAnswerReceivedMs);
}

// The same with a discovery that refuses connections.
TEST_CASE(
    "discovery is down: a call arrives within 150 ms of its return and an update is applied within 250 ms") {
  constexpr int kRounds = 10;
  constexpr double kMaxRetryMs = 150, kUpdateAfterRestartMs = 250;
  DiscoveryFixture fixture;
  ScriptedDiscovery restarted_discovery(fixture.base.get(), free_port());
  fixture.config["discovery"] = restarted_discovery.address;
  fixture.program = std::make_unique<TestProgram>(std::vector<std::string>{"serve"}, fixture.config);
  int index = kFirstIndex;
  double max_retry_ms = 0, max_update_ms = 0;
  REQUIRE(fixture.wait_until([&] { return !restarted_discovery.calls.empty(); }));
  for (int round = 0; round < kRounds; ++round) {
    restarted_discovery.reply(restarted_discovery.calls.size() - 1,
                              fixture.endpoint_list_response(index, fixture.server_1));
    REQUIRE(fixture.wait_for_index(restarted_discovery, index, loop::now_ms(), kAnswerReceivedMs));
    const std::size_t watch = restarted_discovery.calls.size() - 1;
    restarted_discovery.stop_listening();
    restarted_discovery.reset(watch);
    // Discovery returns at a different point of the backoff in each round.
    run_for(fixture.base.get(), 400 + 20 * round);
    restarted_discovery.listen();
    const double listening_at_ms = loop::now_ms();
    REQUIRE(fixture.wait_until([&] { return restarted_discovery.calls.size() > watch + 1; }));
    max_retry_ms =
        std::max(max_retry_ms, restarted_discovery.calls[watch + 1].received_at_ms - listening_at_ms);
    restarted_discovery.reply(watch + 1, fixture.endpoint_list_response(++index, fixture.server_1));
    REQUIRE(fixture.wait_for_index(restarted_discovery, index, listening_at_ms, kUpdateReceivedMs));
    max_update_ms =
        std::max(max_update_ms, restarted_discovery.calls[watch + 2].received_at_ms - listening_at_ms);
    restarted_discovery.reply(watch + 2, fixture.endpoint_list_response(++index, fixture.server_1));
    REQUIRE(fixture.wait_for_index(restarted_discovery, index, loop::now_ms(), kAnswerReceivedMs));
    ++index;
  }
  CHECK(max_retry_ms < kMaxRetryMs);
  CHECK(max_update_ms < kUpdateAfterRestartMs);
}

// Guards against a loop of calls that keeps discovery and the router busy without effect.
TEST_CASE("long polls answered immediately without changes: at most 40 calls in any second") {
  DiscoveryFixture fixture;
  fixture.discovery.on_call = [&](std::size_t call) {
    const bool full_list = fixture.discovery.calls[call].requests_full_list();
    fixture.discovery.reply(call, full_list ? fixture.endpoint_list_response(kFirstIndex, fixture.server_1)
                                            : DiscoveryFixture::empty_update_response(kFirstIndex));
  };
  fixture.start();
  run_for(fixture.base.get(), 2500);
  CHECK(fixture.discovery.max_calls_per_second() <= 40);
  CHECK(fixture.discovery.calls.size() > 10);
  CHECK(fixture.discovery.full_list_requests() == 1);
}

// ---- SIGHUP ----

// Guards against keeping a watch that no longer responds for its full timeout although operators have
// named its discovery again.
TEST_CASE("SIGHUP to the current discovery opens a new call in parallel with the open long poll") {
  constexpr double kNewCallMs = 500;
  DiscoveryFixture fixture;
  const std::size_t watch = fixture.start_watch();
  ScriptedDiscovery other_discovery(fixture.base.get());
  SUBCASE("the same address") {}
  SUBCASE("another address and back") {
    fixture.reload(other_discovery);
    REQUIRE(fixture.wait_until([&] { return !other_discovery.calls.empty(); }));
  }
  REQUIRE(fixture.discovery.calls.size() == watch + 1); // the long poll is still the last call
  fixture.reload(fixture.discovery);
  const double logged_at_ms = loop::now_ms();
  REQUIRE(fixture.wait_until([&] { return fixture.discovery.calls.size() > watch + 1; }));
  CHECK(fixture.discovery.calls[watch + 1].received_at_ms - logged_at_ms < kNewCallMs);
  CHECK(fixture.discovery.is_open(watch));
  fixture.discovery.reply(watch + 1, fixture.drain_response());
  fixture.check_drain(fixture.discovery, logged_at_ms, kUpdateAfterReloadMs);
  CHECK(fixture.discovery.max_open_connections <= 2);
}

// Guards against a drain that only the new discovery knows and that is received too late: operators rely on
// 4 s.
TEST_CASE("SIGHUP to a discovery that does not answer its first two calls: its drain is applied within 4 s") {
  DiscoveryFixture fixture;
  fixture.start_watch();
  ScriptedDiscovery next_discovery(fixture.base.get()), third_discovery(fixture.base.get());
  std::size_t unanswered = 0;
  next_discovery.on_call = [&](std::size_t call) {
    if (next_discovery.calls[call].requests_changes_since(kDrainIndex)) return;
    if (unanswered < 2) {
      ++unanswered;
    } else {
      next_discovery.reply(call, fixture.drain_response());
    }
  };
  SUBCASE("one SIGHUP") {}
  SUBCASE("several in quick succession: the last one applies") {
    fixture.reload(fixture.discovery);
    fixture.reload(next_discovery);
    fixture.reload(third_discovery);
    unanswered = 0;
  }
  const double signaled_at_ms = loop::now_ms();
  fixture.reload(next_discovery);
  fixture.check_drain(next_discovery, signaled_at_ms, kUpdateAfterReloadMs);
  CHECK(next_discovery.max_open_connections <= 2);
}

// ---- a new process ----

// Guards against requests to a server of the configured list that has been drained or removed since.
TEST_CASE("a new process does not serve from its known list while discovery may still answer") {
  DiscoveryFixture fixture;
  fixture.start();
  CHECK(fixture.ready_status() == 503);
  for (int i = 0; i < 10; ++i) {
    RawClient client(fixture.program->port());
    CHECK(fixture.send_request(client) == 503);
  }
  CHECK(fixture.server_1.requests.empty());
  fixture.discovery.reply(0, fixture.drain_response()); // after all of the requests have been answered
  REQUIRE(fixture.wait_for_index(fixture.discovery, kDrainIndex, loop::now_ms(), kAnswerReceivedMs));
  CHECK(fixture.ready_status() == 200);
  fixture.check_served_by(fixture.server_2);
}

// Guards against requests to a server that was drained while the process was away, in an outage of discovery.
TEST_CASE("a new process whose discovery is silent for 8 s sends nothing to a server that drains meanwhile") {
  constexpr double kOutageMs = 8000;
  DiscoveryFixture fixture;
  const double started_at_ms = loop::now_ms();
  fixture.start();
  while (loop::now_ms() - started_at_ms < kOutageMs) {
    RawClient client(fixture.program->port());
    CHECK(fixture.send_request(client) == 503);
    CHECK(fixture.ready_status() == 503);
    run_for(fixture.base.get(), 100);
  }
  CHECK(fixture.server_1.requests.empty());
  for (std::size_t call = 0; call < fixture.discovery.calls.size(); ++call) {
    if (fixture.discovery.is_open(call)) fixture.discovery.reply(call, fixture.drain_response());
  }
  REQUIRE(fixture.wait_for_index(fixture.discovery, kDrainIndex, loop::now_ms(), kAnswerReceivedMs));
  CHECK(fixture.ready_status() == 200);
  fixture.check_served_by(fixture.server_2);
  CHECK(fixture.server_1.requests.empty());
}

// Guards against a router that never serves because discovery is down when it starts.
TEST_CASE("a new process whose discovery stays silent serves from its known list within 10 s") {
  constexpr double kReadyMs = 10000;
  DiscoveryFixture fixture;
  const double started_at_ms = loop::now_ms();
  fixture.start();
  CHECK(fixture.ready_status() == 503);
  fixture.check_serves_from_known_list(started_at_ms, kReadyMs);
}

// Discovery that does not accept or ends its calls is not silent: nothing is known to be waiting there.
TEST_CASE("a new process whose discovery fails all calls serves from its known list within 3 s") {
  constexpr double kServesFromKnownListMs = 3000;
  DiscoveryFixture fixture;
  SUBCASE("refused") { fixture.discovery.stop_listening(); }
  SUBCASE("closed") {
    fixture.discovery.on_call = [&](std::size_t call) { fixture.discovery.close(call); };
  }
  const double started_at_ms = loop::now_ms();
  fixture.program = std::make_unique<TestProgram>(std::vector<std::string>{"serve"}, fixture.config);
  REQUIRE(fixture.wait_until([&] { return fixture.program->port() != 0; }));
  CHECK(fixture.ready_status() == 503);
  fixture.check_serves_from_known_list(started_at_ms, kServesFromKnownListMs);
}

// Where lists are polled, a change counts only later: waiting for it would cost availability for nothing.
TEST_CASE("a new process that polls a silent discovery serves from its known list within 3 s") {
  constexpr double kServesFromKnownListMs = 3000;
  DiscoveryFixture fixture([](Json& file) { file["settings"]["registry_mode"] = "ask"; });
  const double started_at_ms = loop::now_ms();
  fixture.start();
  fixture.check_serves_from_known_list(started_at_ms, kServesFromKnownListMs);
}

// ---- a drain and requests that are in the router's sockets at the same time ----

// Guards against requests to a server that discovery has already drained because they are read before its
// answer.
TEST_CASE(
    "a drain and 100 requests that a paused process reads together: none is sent to the drained server") {
  constexpr int kRounds = 5;
  constexpr std::size_t kClients = 50, kRequestsEach = 2;
  DiscoveryFixture fixture;
  fixture.start_watch();
  std::vector<std::unique_ptr<RawClient>> clients;
  for (std::size_t i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<RawClient>(fixture.program->port()));
    REQUIRE(fixture.send_request(*clients.back()) == 200);
  }
  ScriptedServer* in_service = &fixture.server_1;
  std::size_t expected_responses = 1; // per client
  for (int index = kDrainIndex; index < kDrainIndex + kRounds; ++index) {
    ScriptedServer& drained = *in_service;
    in_service = &drained == &fixture.server_1 ? &fixture.server_2 : &fixture.server_1;
    const std::size_t drained_before = drained.requests.size(),
                      in_service_before = in_service->requests.size();
    fixture.program->pause();
    for (auto& client : clients) {
      for (std::size_t i = 0; i < kRequestsEach; ++i) {
        const std::string number = std::to_string(++fixture.request_count);
        client->send(get_request("/k/" + number, "r" + number));
      }
    }
    fixture.discovery.reply(fixture.discovery.calls.size() - 1,
                            fixture.endpoint_list_response(index, *in_service));
    fixture.program->resume();
    expected_responses += kRequestsEach;
    CHECK(fixture.wait_until([&] {
      return std::all_of(clients.begin(), clients.end(), [&](auto& client) {
        return client->receive_available(), client->responses.size() == expected_responses;
      });
    }));
    const std::size_t sent_to_drained = drained.requests.size() - drained_before,
                      sent_to_in_service = in_service->requests.size() - in_service_before;
    CAPTURE(index);
    CHECK(sent_to_drained == 0);
    CHECK(sent_to_in_service > 0);
    REQUIRE(fixture.wait_for_index(fixture.discovery, index, loop::now_ms(), kAnswerReceivedMs));
  }
}

// ---- what is requested and what is accepted ----

// Guards against requests for the full list by each of many routers when a discovery restarts.
TEST_CASE("a long poll that fails or stops responding: changes are requested and then the full list") {
  DiscoveryFixture fixture;
  const std::size_t watch = fixture.start_watch();
  CHECK(fixture.discovery.calls[watch].has_timeout(kLongPollMs));
  SUBCASE("reset") { fixture.discovery.reset(watch); }
  SUBCASE("closed") { fixture.discovery.close(watch); }
  SUBCASE("silent") {}
  REQUIRE(fixture.wait_until([&] { return fixture.discovery.calls.size() > watch + 1; }));
  CHECK(fixture.discovery.calls[watch + 1].requests_changes_since(kFirstIndex));
  CHECK(fixture.discovery.calls[watch + 1].has_timeout(1));
  CHECK(fixture.discovery.full_list_requests() == 1);
  const double failed_at_ms = loop::now_ms();
  fixture.discovery.reset(watch + 1);
  REQUIRE(fixture.wait_until([&] { return fixture.discovery.calls.size() > watch + 2; }));
  CHECK(fixture.discovery.calls[watch + 2].requests_full_list());
  fixture.discovery.reply(watch + 2, fixture.drain_response());
  fixture.check_drain(fixture.discovery, failed_at_ms, kUpdateReceivedMs);
}

// Guards against a drain that an older list undoes, and against never accepting a discovery that restarted
// its index.
TEST_CASE("a list with a lower index than before is stale and the third in a row is accepted") {
  constexpr int kLowerIndex = 3;
  DiscoveryFixture fixture;
  std::size_t call = fixture.start_watch();
  const std::string lower_index_list = fixture.endpoint_list_response(kLowerIndex, fixture.server_2);
  for (std::size_t stale = 1; stale <= 2; ++stale) {
    fixture.discovery.reply(call, lower_index_list);
    REQUIRE(fixture.wait_until([&] { return fixture.discovery.calls.size() > call + 1; }));
    CHECK(stale_lists(fixture.program->output) == stale);
    CHECK_FALSE(fixture.discovery.calls.back().requests_changes_since(kLowerIndex));
    fixture.check_served_by(fixture.server_1); // which only the stale list drains
    call = fixture.discovery.calls.size() - 1;
  }
  fixture.discovery.reply(call, lower_index_list);
  REQUIRE(fixture.wait_for_index(fixture.discovery, kLowerIndex, loop::now_ms(), kAnswerReceivedMs));
  CHECK(stale_lists(fixture.program->output) == 2);
  fixture.check_served_by(fixture.server_2);
}

// Guards against a router that loses its list, or makes no more calls, after an unusable answer.
TEST_CASE("an unusable answer is logged and the last list stays in force until the next answer") {
  constexpr std::size_t kMiB = 1 << 20;
  DiscoveryFixture fixture;
  const std::size_t watch = fixture.start_watch();
  std::string answer;
  bool closes = false, expects_full_list_request = true;
  SUBCASE("not HTTP") { answer = "SMTP ready\r\n\r\n"; }
  SUBCASE("not JSON") { answer = ok_response("{\"index\":8,\"snapshot\":true,\"endpoints\":[}"); }
  SUBCASE("truncated in the middle") {
    answer = first_half(fixture.drain_response());
    closes = true;
  }
  SUBCASE("a header without end") {
    answer = "HTTP/1.1 200 OK\r\n";
    while (answer.size() < kMiB) answer += "X-Filler: abcdefghijklmnopqrstuvwxyz\r\n";
  }
  SUBCASE("a Content-Length over 8 MiB") {
    answer = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(8 * kMiB + 1) + "\r\n\r\n{";
  }
  SUBCASE("a chunked body that grows beyond 8 MiB") {
    answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string chunk = "10000\r\n" + std::string(0x10000, ' ') + "\r\n";
    while (answer.size() < 9 * kMiB) answer += chunk;
  }
  SUBCASE("a stale index") {
    answer = fixture.endpoint_list_response(kFirstIndex - 1, fixture.server_2);
    expects_full_list_request = false; // requesting changes is sufficient
  }
  SUBCASE("a status of 500") { answer = status_response(500); }
  const std::size_t logged_before = fixture.program->output.size();
  const double failed_at_ms = loop::now_ms();
  fixture.discovery.reply(watch, answer);
  if (closes) fixture.discovery.close(watch);
  REQUIRE(fixture.wait_until([&] { return fixture.discovery.calls.size() > watch + 1; }));
  const std::string logged = fixture.program->output.substr(logged_before);
  INFO(logged);
  const bool reason_logged =
      logged.find(" why=") != std::string::npos || logged.find(" code=") != std::string::npos;
  CHECK(reason_logged);
  CHECK_FALSE(fixture.discovery.calls[watch + 1].requests_changes_since(kFirstIndex - 1));
  if (expects_full_list_request) CHECK(fixture.discovery.calls[watch + 1].requests_full_list());
  fixture.check_served_by(fixture.server_1);
  fixture.discovery.reply(fixture.discovery.calls.size() - 1, fixture.drain_response());
  fixture.check_drain(fixture.discovery, loop::now_ms(), kAnswerReceivedMs);
  CHECK(loop::now_ms() - failed_at_ms < kUpdateReceivedMs);
}

// Guards against 300 routers that send to draining servers for up to 2 s after an outage of discovery: a
// call for the full list made during the outage is never answered, and no other call is open.
TEST_CASE("a change that discovery reports when it returns from an outage is applied immediately") {
  constexpr double kUpdateAfterOutageMs = 250;
  DiscoveryFixture fixture;
  SUBCASE("for a router that watches") { fixture.start_watch(); }
  SUBCASE("for a router that starts during the outage with a configured list") { fixture.start(); }
  const std::size_t before = fixture.discovery.calls.size();
  // The outage lasts for some calls and ends when one more call has arrived.
  REQUIRE(fixture.wait_until([&] { return fixture.discovery.calls.size() >= before + 3; }, 15000));
  const std::string drain = fixture.drain_response();
  std::size_t answered = 0;
  for (std::size_t call = 0; call < fixture.discovery.calls.size(); ++call) {
    const bool waits_for_changes = fixture.discovery.calls[call].requests_changes_since(kFirstIndex);
    if (!waits_for_changes || !fixture.discovery.is_open(call)) continue;
    fixture.discovery.reply(call, drain);
    ++answered;
  }
  CHECK(answered > 0);
  fixture.discovery.on_call = [&](std::size_t call) {
    if (fixture.discovery.calls[call].requests_full_list()) fixture.discovery.reply(call, drain);
  };
  fixture.check_drain(fixture.discovery, loop::now_ms(), kUpdateAfterOutageMs);
}
