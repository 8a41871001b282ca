// What the router receives from a discovery that is slow, silent, disconnected or wrong: the program as a
// separate process against a scripted discovery. The order of events is forced: an answer is sent after a
// further call has arrived, or while the process is stopped. Times are the upper bounds that the protocol
// sets, measured from the event that they name.
#include <doctest/doctest.h>
#include <signal.h>

#include <algorithm>
#include <sstream>

#include "peers.h"
#include "program.h"
#include "raw_client.h"
#include "scripted_discovery.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

constexpr int kFirstIndex = 7;
constexpr int kDrainIndex = 8;
constexpr double kHeardMs = 6000;       // limit for a change after a call that failed or stopped responding
constexpr double kReloadHeardMs = 4000; // limit for a change after SIGHUP with another discovery
constexpr double kAnswerHeardMs = 1000; // limit for a valid answer on an open call
constexpr int kLongPollMs = 1000;

std::size_t count_of(const std::string& what, const std::string& text) {
  std::size_t count = 0;
  for (auto at = text.find(what); at != std::string::npos; at = text.find(what, at + 1)) ++count;
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
struct Fleet {
  explicit Fleet(const std::function<void(Json&)>& change = [](Json&) {}) {
    config = config_json(discovery.address, servers(kFirstIndex, first));
    config["limits"]["sockets"] = 1024;
    change(config);
  }

  // Exactly one of the two is in service, so that requests to the other one show that the list was not
  // applied.
  Json servers(int index, const Peer& in_service) {
    const auto state = [&](const Peer& server) {
      return &server == &in_service ? "in_service" : "terminating";
    };
    return node_list(
        index, true,
        {endpoint("s-1", first.address, state(first)), endpoint("s-2", second.address, state(second))});
  }
  std::string list(int index, const Peer& in_service) { return ok(servers(index, in_service).dump()); }
  std::string drain() { return list(kDrainIndex, second); } // of the first server
  static std::string nothing_new(int index) { return ok(node_list(index, false, {}).dump()); }

  // Starts the program and waits for its first call, which is not answered.
  void start() {
    program = std::make_unique<Program>(std::vector<std::string>{"serve"}, config);
    REQUIRE(until([&] { return program->port() != 0 && !discovery.calls.empty(); }));
  }

  // Starts the program, answers its first call and returns the long poll that follows.
  std::size_t start_watch() {
    start();
    discovery.reply(0, list(kFirstIndex, first));
    REQUIRE(hears(discovery, kFirstIndex, loop::now_ms(), kAnswerHeardMs));
    return discovery.calls.size() - 1;
  }

  bool until(const std::function<bool()>& done, double within_ms = kHeardMs + 1000) {
    const double end = loop::now_ms() + within_ms;
    run_until(base.get(), [&] { return done() || loop::now_ms() >= end; });
    program->says(""); // reads the output
    return done();
  }

  // Waits until the router requests changes since `index`, which shows that the list with this index is
  // applied. Fails if that takes longer than `within_ms` after `begun_ms`.
  bool hears(const ScriptedDiscovery& from, int index, double begun_ms, double within_ms) {
    const auto watches_on = [&] {
      return std::any_of(from.calls.begin(), from.calls.end(),
                         [&](const auto& call) { return call.asks_for_changes_since(index); });
    };
    const bool heard = until(watches_on, begun_ms + within_ms - loop::now_ms());
    INFO(program->text);
    CHECK_MESSAGE(heard, "index " << index << " not applied within " << within_ms << " ms");
    return heard;
  }

  // Checks that the drain of the first server is received in time and applied.
  void check_drain(const ScriptedDiscovery& from, double begun_ms, double within_ms) {
    if (hears(from, kDrainIndex, begun_ms, within_ms)) check_served_by(second);
  }

  // Sends requests with different keys sequentially and checks that all are answered, only by this server.
  void check_served_by(const Peer& server) {
    constexpr std::size_t kRequests = 20;
    const Peer& other = &server == &first ? second : first;
    const std::size_t before = server.seen.size(), before_other = other.seen.size();
    Raw client(program->port());
    for (std::size_t i = 0; i < kRequests; ++i) CHECK(status_of(client) == 200);
    CHECK(server.seen.size() == before + kRequests);
    CHECK(other.seen.size() == before_other);
  }

  // Sends one request and waits for its status. 0: no response.
  int status_of(Raw& client) {
    const std::string number = std::to_string(++requests);
    return answer_to(client, get("/k/" + number, "r" + number));
  }
  int readiness() {
    Raw client(program->port());
    return answer_to(client, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
  }
  int answer_to(Raw& client, const std::string& request) {
    const std::size_t before = client.answers.size();
    client.send(request);
    until([&] { return client.look(), client.answers.size() > before || client.closed; });
    return client.answers.size() > before ? client.answers.back().status : 0;
  }

  // Configures `next` as the discovery, sends SIGHUP and waits until the program has logged the reload.
  void reload(const ScriptedDiscovery& next) {
    const std::size_t before = count_of("reload-discovery-", program->text);
    config["discovery"] = next.address;
    program->rewrite(config.dump());
    program->signal(SIGHUP);
    REQUIRE(until([&] { return program->says(""), count_of("reload-discovery-", program->text) > before; }));
  }

  router::BasePtr base = router::make_base();
  Peer first{base.get(), [](const http::Message& m) { return ok("v of " + m.target); }};
  Peer second{base.get(), [](const http::Message& m) { return ok("v of " + m.target); }};
  ScriptedDiscovery discovery{base.get()};
  Json config;
  std::unique_ptr<Program> program;
  int requests = 0;
};

std::string first_half(const std::string& text) { return text.substr(0, text.size() / 2); }
std::string second_half(const std::string& text) { return text.substr(text.size() / 2); }

} // namespace

// ---- calls that may be dead: a second call in parallel ----

// Guards against a slow list that is discarded again and again.
TEST_CASE("an answer that stalls until a second call is open: its remainder is accepted") {
  Fleet f;
  std::size_t call = 0;
  SUBCASE("the full list for a new process") { f.start(); }
  SUBCASE("a long poll") { call = f.start_watch(); }
  f.discovery.reply_part(call, first_half(f.drain()));
  REQUIRE(f.until([&] { return f.discovery.calls.size() >= call + 2; }));
  run_for(f.base.get(), 50); // long enough for the event loop to detect a close
  CHECK(f.discovery.is_open(call));
  f.discovery.reply(call, second_half(f.drain()));
  f.check_drain(f.discovery, loop::now_ms(), kAnswerHeardMs);
  CHECK(f.until([&] { return f.discovery.open_connections() == 1; }, kAnswerHeardMs));
  CHECK(f.discovery.most_open_connections <= 2);
}

// Guards against consecutive failures that add up to more than the time limit for a change.
TEST_CASE("a watch and the next call stop responding and the third is reset: a drain is applied within 6 s") {
  Fleet f;
  const std::size_t watch = f.start_watch();
  const double silent_at = f.discovery.calls[watch].asked_at_ms;
  f.discovery.on_call = [&](std::size_t call) {
    if (call == watch + 2) f.discovery.reset(call);
    if (call > watch + 2 && !f.discovery.calls[call].asks_for_changes_since(kDrainIndex))
      f.discovery.reply(call, f.drain());
  };
  f.check_drain(f.discovery, silent_at, kHeardMs);
  CHECK(f.discovery.most_open_connections <= 2);
}

// Guards against an endless answer taken for a live call.
TEST_CASE("an endless answer of single bytes: a second call is opened in parallel") {
  Fleet f;
  const std::size_t watch = f.start_watch();
  const double begun_at = f.discovery.calls[watch].asked_at_ms;
  f.discovery.reply_part(watch, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n{");
  const auto trickle_until = [&](const std::function<bool()>& done, double within_ms) {
    return f.until([&] { return f.discovery.reply_part(watch, " "), done(); }, within_ms);
  };
  REQUIRE(trickle_until([&] { return f.discovery.calls.size() > watch + 1; }, kHeardMs));
  const double some_turns_end = loop::now_ms() + 50; // long enough for the event loop to detect a close
  trickle_until([&] { return loop::now_ms() >= some_turns_end; }, kHeardMs);
  CHECK(f.discovery.is_open(watch));
  f.discovery.reply(watch + 1, f.drain());
  f.check_drain(f.discovery, begun_at, kHeardMs);
}

namespace {

// A discovery that answers each call and reports each change with a fixed delay.
class LateDiscovery {
 public:
  LateDiscovery(Fleet& fleet, double late_ms) : fleet_(fleet), late_ms_(late_ms) {
    fleet_.discovery.on_call = [this](std::size_t call) {
      const bool waits = fleet_.discovery.calls[call].asks_for_changes_since(index_);
      reply_after(call, waits ? timeout_of(call) + late_ms_ : late_ms_);
    };
  }
  void publish(int index, const Peer& in_service) {
    index_ = index;
    in_service_ = &in_service;
    for (std::size_t call = 0; call < fleet_.discovery.calls.size(); ++call) reply_after(call, late_ms_);
  }

 private:
  double timeout_of(std::size_t call) const {
    const std::string& target = fleet_.discovery.calls[call].target;
    return std::stod(target.substr(target.rfind('=') + 1));
  }
  void reply_after(std::size_t call, double ms) {
    deadlines_.at(loop::now_ms() + ms, [this, call] { reply(call); });
  }
  void reply(std::size_t call) {
    const auto& asked = fleet_.discovery.calls[call];
    if (asked.answered) return;
    const bool knows = asked.asks_for_changes_since(index_);
    fleet_.discovery.reply(call, knows ? Fleet::nothing_new(index_) : fleet_.list(index_, *in_service_));
  }

  Fleet& fleet_;
  double late_ms_;
  loop::TimerQueue deadlines_{fleet_.base.get()};
  int index_ = kFirstIndex;
  const Peer* in_service_ = &fleet_.first;
};

} // namespace

// Guards against calls that are given up just before their answer arrives, and against connections that
// accumulate at a discovery which is already slow.
TEST_CASE(
    "a discovery that answers each call 0.8 s late: changes are received over at most two connections") {
  Fleet f;
  LateDiscovery late(f, 800);
  f.start();
  REQUIRE(f.hears(f.discovery, kFirstIndex, loop::now_ms(), kHeardMs));
  for (int index = kDrainIndex; index < kDrainIndex + 3; ++index) {
    const double changed_at = loop::now_ms();
    const Peer& in_service = index % 2 == 0 ? f.second : f.first;
    late.publish(index, in_service);
    if (!f.hears(f.discovery, index, changed_at, kHeardMs)) break;
    f.check_served_by(in_service);
  }
  CHECK(f.discovery.most_open_connections <= 2);
}

// ---- backoff ----

// Guards against a backoff longer than the time limit for a drain although discovery could be reached
// again.
TEST_CASE("discovery closes 12 connections in a row: the next call follows within 150 ms of the last close") {
  constexpr std::size_t kCloses = 12;
  constexpr double kAskedAgainMs = 150;
  Fleet f;
  const std::size_t watch = f.start_watch();
  std::size_t closes = 0;
  double closed_at = 0, longest_pause_ms = 0;
  f.discovery.on_connection = [&](std::size_t connection) {
    if (closes > 0) longest_pause_ms = std::max(longest_pause_ms, loop::now_ms() - closed_at);
    if (closes == kCloses) return;
    f.discovery.close_connection(connection);
    ++closes;
    closed_at = loop::now_ms();
  };
  f.discovery.close(watch);
  REQUIRE(f.until([&] { return f.discovery.calls.size() > watch + 1; }, 10000));
  REQUIRE(closes == kCloses);
  CHECK(f.discovery.calls[watch + 1].asked_at_ms - closed_at < kAskedAgainMs);
  CHECK(longest_pause_ms < kAskedAgainMs);
  f.discovery.reply(watch + 1, f.drain());
  f.check_drain(f.discovery, f.discovery.calls[watch + 1].asked_at_ms, kAnswerHeardMs);
}

// The same with a discovery that refuses connections.
TEST_CASE(
    "discovery is down: a call arrives within 150 ms of its return and an update is applied within 250 ms") {
  constexpr int kRounds = 10;
  constexpr double kAskedAgainMs = 150, kHeardAgainMs = 250;
  Fleet f;
  ScriptedDiscovery restarted(f.base.get(), free_port());
  f.config["discovery"] = restarted.address;
  f.program = std::make_unique<Program>(std::vector<std::string>{"serve"}, f.config);
  int index = kFirstIndex;
  double worst_asked_ms = 0, worst_heard_ms = 0;
  REQUIRE(f.until([&] { return !restarted.calls.empty(); }));
  for (int round = 0; round < kRounds; ++round) {
    restarted.reply(restarted.calls.size() - 1, f.list(index, f.first));
    REQUIRE(f.hears(restarted, index, loop::now_ms(), kAnswerHeardMs));
    const std::size_t watch = restarted.calls.size() - 1;
    restarted.stop_listening();
    restarted.reset(watch);
    run_for(f.base.get(), 400 + 20 * round); // so that discovery returns at different points of the backoff
    restarted.listen();
    const double listens_at = loop::now_ms();
    REQUIRE(f.until([&] { return restarted.calls.size() > watch + 1; }));
    worst_asked_ms = std::max(worst_asked_ms, restarted.calls[watch + 1].asked_at_ms - listens_at);
    restarted.reply(watch + 1, f.list(++index, f.first));
    REQUIRE(f.hears(restarted, index, listens_at, kHeardMs));
    worst_heard_ms = std::max(worst_heard_ms, restarted.calls[watch + 2].asked_at_ms - listens_at);
    restarted.reply(watch + 2, f.list(++index, f.first));
    REQUIRE(f.hears(restarted, index, loop::now_ms(), kAnswerHeardMs));
    ++index;
  }
  CHECK(worst_asked_ms < kAskedAgainMs);
  CHECK(worst_heard_ms < kHeardAgainMs);
}

// Guards against a loop of calls that keeps discovery and the router busy without effect.
TEST_CASE("long polls answered immediately without changes: at most 40 calls in any second") {
  Fleet f;
  f.discovery.on_call = [&](std::size_t call) {
    const bool whole = f.discovery.calls[call].asks_for_whole_list();
    f.discovery.reply(call, whole ? f.list(kFirstIndex, f.first) : Fleet::nothing_new(kFirstIndex));
  };
  f.start();
  run_for(f.base.get(), 2500);
  CHECK(f.discovery.most_calls_in_a_second() <= 40);
  CHECK(f.discovery.calls.size() > 10);
  CHECK(f.discovery.whole_lists_asked() == 1);
}

// ---- SIGHUP ----

// Guards against keeping a watch that no longer responds for its full timeout although operators have
// named its discovery again.
TEST_CASE("SIGHUP to the current discovery opens a new call in parallel with the open long poll") {
  constexpr double kAskedAnewMs = 500;
  Fleet f;
  const std::size_t watch = f.start_watch();
  ScriptedDiscovery other(f.base.get());
  SUBCASE("the same address") {}
  SUBCASE("another address and back") {
    f.reload(other);
    REQUIRE(f.until([&] { return !other.calls.empty(); }));
  }
  REQUIRE(f.discovery.calls.size() == watch + 1); // the long poll is still the last call
  f.reload(f.discovery);
  const double logged_at = loop::now_ms();
  REQUIRE(f.until([&] { return f.discovery.calls.size() > watch + 1; }));
  CHECK(f.discovery.calls[watch + 1].asked_at_ms - logged_at < kAskedAnewMs);
  CHECK(f.discovery.is_open(watch));
  f.discovery.reply(watch + 1, f.drain());
  f.check_drain(f.discovery, logged_at, kReloadHeardMs);
  CHECK(f.discovery.most_open_connections <= 2);
}

// Guards against a drain that only the new discovery knows and that is received later than operators rely
// on.
TEST_CASE("SIGHUP to a discovery that does not answer its first two calls: its drain is applied within 4 s") {
  Fleet f;
  f.start_watch();
  ScriptedDiscovery next(f.base.get()), third(f.base.get());
  std::size_t unanswered = 0;
  next.on_call = [&](std::size_t call) {
    if (next.calls[call].asks_for_changes_since(kDrainIndex)) return;
    if (unanswered < 2) {
      ++unanswered;
    } else {
      next.reply(call, f.drain());
    }
  };
  SUBCASE("one SIGHUP") {}
  SUBCASE("several in quick succession: the last one applies") {
    f.reload(f.discovery);
    f.reload(next);
    f.reload(third);
    unanswered = 0;
  }
  const double signalled_at = loop::now_ms();
  f.reload(next);
  f.check_drain(next, signalled_at, kReloadHeardMs);
  CHECK(next.most_open_connections <= 2);
}

// ---- a new process ----

// Guards against requests to a server of the configured list that has been drained or removed since.
TEST_CASE("a new process does not serve from its known list while discovery may still answer") {
  Fleet f;
  f.start();
  CHECK(f.readiness() == 503);
  for (int i = 0; i < 10; ++i) {
    Raw client(f.program->port());
    CHECK(f.status_of(client) == 503);
  }
  CHECK(f.first.seen.empty());
  f.discovery.reply(0, f.drain()); // after all of the requests have been answered
  REQUIRE(f.hears(f.discovery, kDrainIndex, loop::now_ms(), kAnswerHeardMs));
  CHECK(f.readiness() == 200);
  f.check_served_by(f.second);
}

// Guards against a router that never serves because discovery is down when it starts.
TEST_CASE(
    "a new process whose discovery stays silent: it is not ready immediately and serves from its known list "
    "within 3 s") {
  constexpr double kServesMs = 3000;
  Fleet f;
  const double started_at = loop::now_ms();
  f.start();
  CHECK(f.readiness() == 503);
  while (f.readiness() != 200 && loop::now_ms() - started_at < kServesMs) run_for(f.base.get(), 10);
  CHECK(f.readiness() == 200);
  CHECK(loop::now_ms() - started_at < kServesMs);
  f.check_served_by(f.first);
}

// ---- a drain and requests that are in the router's sockets at the same time ----

// Guards against requests to a server that discovery has already drained because they are read before its
// answer.
TEST_CASE(
    "a drain and 100 requests that a paused process reads together: none is sent to the drained server") {
  constexpr int kRounds = 5;
  constexpr std::size_t kClients = 50, kRequestsEach = 2;
  Fleet f;
  f.start_watch();
  std::vector<std::unique_ptr<Raw>> clients;
  for (std::size_t i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<Raw>(f.program->port()));
    REQUIRE(f.status_of(*clients.back()) == 200);
  }
  Peer* in_service = &f.first;
  std::size_t answers = 1; // per client
  for (int index = kDrainIndex; index < kDrainIndex + kRounds; ++index) {
    Peer& drained = *in_service;
    in_service = &drained == &f.first ? &f.second : &f.first;
    const std::size_t before = drained.seen.size(), taken_before = in_service->seen.size();
    f.program->hold();
    for (auto& client : clients) {
      for (std::size_t i = 0; i < kRequestsEach; ++i) {
        const std::string number = std::to_string(++f.requests);
        client->send(get("/k/" + number, "r" + number));
      }
    }
    f.discovery.reply(f.discovery.calls.size() - 1, f.list(index, *in_service));
    f.program->go_on();
    answers += kRequestsEach;
    CHECK(f.until([&] {
      return std::all_of(clients.begin(), clients.end(),
                         [&](auto& client) { return client->look(), client->answers.size() == answers; });
    }));
    const std::size_t reached = drained.seen.size() - before, taken = in_service->seen.size() - taken_before;
    CAPTURE(index);
    CHECK(reached == 0);
    CHECK(taken > 0);
    REQUIRE(f.hears(f.discovery, index, loop::now_ms(), kAnswerHeardMs));
  }
}

// ---- what is requested and what is accepted ----

// Guards against requests for the full list by each of many routers when a discovery restarts.
TEST_CASE("a long poll that fails or stops responding: changes are requested and then the full list") {
  Fleet f;
  const std::size_t watch = f.start_watch();
  CHECK(f.discovery.calls[watch].waits_for(kLongPollMs));
  SUBCASE("reset") { f.discovery.reset(watch); }
  SUBCASE("closed") { f.discovery.close(watch); }
  SUBCASE("silent") {}
  REQUIRE(f.until([&] { return f.discovery.calls.size() > watch + 1; }));
  CHECK(f.discovery.calls[watch + 1].asks_for_changes_since(kFirstIndex));
  CHECK(f.discovery.calls[watch + 1].waits_for(1));
  CHECK(f.discovery.whole_lists_asked() == 1);
  const double failed_at = loop::now_ms();
  f.discovery.reset(watch + 1);
  REQUIRE(f.until([&] { return f.discovery.calls.size() > watch + 2; }));
  CHECK(f.discovery.calls[watch + 2].asks_for_whole_list());
  f.discovery.reply(watch + 2, f.drain());
  f.check_drain(f.discovery, failed_at, kHeardMs);
}

// Guards against a drain that an older list undoes, and against never accepting a discovery that restarted
// its index.
TEST_CASE("a list with a lower index than before is stale and the third in a row is accepted") {
  constexpr int kLowerIndex = 3;
  Fleet f;
  std::size_t call = f.start_watch();
  const std::string lower = f.list(kLowerIndex, f.second);
  for (std::size_t stale = 1; stale <= 2; ++stale) {
    f.discovery.reply(call, lower);
    REQUIRE(f.until([&] { return f.discovery.calls.size() > call + 1; }));
    CHECK(stale_lists(f.program->text) == stale);
    CHECK_FALSE(f.discovery.calls.back().asks_for_changes_since(kLowerIndex));
    f.check_served_by(f.first); // which only the stale list drains
    call = f.discovery.calls.size() - 1;
  }
  f.discovery.reply(call, lower);
  REQUIRE(f.hears(f.discovery, kLowerIndex, loop::now_ms(), kAnswerHeardMs));
  CHECK(stale_lists(f.program->text) == 2);
  f.check_served_by(f.second);
}

// Guards against a lost list, a router without servers or one that makes no more calls after an unusable
// answer.
TEST_CASE("an unusable answer is logged and the last list stays in force until the next answer") {
  constexpr std::size_t kMiB = 1 << 20;
  Fleet f;
  const std::size_t watch = f.start_watch();
  std::string answer;
  bool closes = false, whole_list_follows = true;
  SUBCASE("not HTTP") { answer = "SMTP ready\r\n\r\n"; }
  SUBCASE("not JSON") { answer = ok("{\"index\":8,\"snapshot\":true,\"endpoints\":[}"); }
  SUBCASE("truncated in the middle") {
    answer = first_half(f.drain());
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
    answer = f.list(kFirstIndex - 1, f.second);
    whole_list_follows = false; // requesting changes is sufficient
  }
  SUBCASE("a status of 500") { answer = status(500); }
  const std::size_t logged_before = f.program->text.size();
  const double failed_at = loop::now_ms();
  f.discovery.reply(watch, answer);
  if (closes) f.discovery.close(watch);
  REQUIRE(f.until([&] { return f.discovery.calls.size() > watch + 1; }));
  const std::string logged = f.program->text.substr(logged_before);
  INFO(logged);
  const bool says_why =
      logged.find(" why=") != std::string::npos || logged.find(" code=") != std::string::npos;
  CHECK(says_why);
  CHECK_FALSE(f.discovery.calls[watch + 1].asks_for_changes_since(kFirstIndex - 1));
  if (whole_list_follows) CHECK(f.discovery.calls[watch + 1].asks_for_whole_list());
  f.check_served_by(f.first);
  f.discovery.reply(f.discovery.calls.size() - 1, f.drain());
  f.check_drain(f.discovery, loop::now_ms(), kAnswerHeardMs);
  CHECK(loop::now_ms() - failed_at < kHeardMs);
}

// Guards against 300 routers that send to draining servers for up to 2 s after an outage of discovery: a
// call for the full list made during the outage is never answered, and no other call was open.
TEST_CASE("a change that discovery reports when it returns from an outage is applied immediately") {
  constexpr double kGraceMs = 250;
  Fleet f;
  SUBCASE("for a router that watches") { f.start_watch(); }
  SUBCASE("for a router that starts during the outage with a configured list") { f.start(); }
  const std::size_t before = f.discovery.calls.size();
  // The outage lasts for some calls and ends when one more call has arrived.
  REQUIRE(f.until([&] { return f.discovery.calls.size() >= before + 3; }, 15000));
  const std::string drain = f.drain();
  std::size_t answered = 0;
  for (std::size_t call = 0; call < f.discovery.calls.size(); ++call) {
    const bool for_changes = f.discovery.calls[call].asks_for_changes_since(kFirstIndex);
    if (!for_changes || !f.discovery.is_open(call)) continue;
    f.discovery.reply(call, drain);
    ++answered;
  }
  CHECK(answered > 0);
  f.discovery.on_call = [&](std::size_t call) {
    if (f.discovery.calls[call].asks_for_whole_list()) f.discovery.reply(call, drain);
  };
  f.check_drain(f.discovery, loop::now_ms(), kGraceMs);
}
