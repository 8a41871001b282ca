// Tests of the router over loopback sockets against scripted peers, one for each failure that was observed or
// that the protocol warns of. No test depends on tight timing.
#include <doctest/doctest.h>

#include <sys/resource.h>
#include <sys/syscall.h>
#include <unistd.h>

#include "peers.h"

// Replaces the C library's connect(), also for libevent: simulates shortages of this machine that no process
// limit can produce.
static int connect_fails = 0;
extern "C" int connect(int fd, const sockaddr* to, socklen_t size) {
  if (connect_fails != 0) {
    errno = connect_fails;
    return -1;
  }
  return static_cast<int>(syscall(SYS_connect, fd, to, size));
}

using namespace fernward;
using namespace fernward::tests;
using fernward::AttemptResult;

TEST_CASE("cache hit: request and response are forwarded unchanged") {
  World w;
  w.caches(
      [](const http::Message&) { return ok("value", "Content-Type: text/x\r\nX-Server-Load: queue=1\r\n"); });
  Client client = w.client();
  const auto answer = client.ask(get("/api/7f3a?day=2&x=%20", "9b1f"));
  CHECK(answer.status == 200);
  CHECK(answer.body == "value");
  CHECK(answer.header("content-type") == "text/x");
  REQUIRE(w.one.seen.size() + w.two.seen.size() == 1);
  const auto& seen = w.one.seen.empty() ? w.two.seen[0] : w.one.seen[0];
  CHECK(seen.method == "GET");
  CHECK(seen.target == "/api/7f3a?day=2&x=%20");
  CHECK(seen.header("x-request-id") == "9b1f");
  CHECK(seen.header("idempotency-key").empty());
  CHECK(std::stoi(std::string(seen.header("x-timeout-ms"))) <= 2000);
  CHECK(std::stoi(std::string(seen.header("x-timeout-ms"))) > 0);
}

// Guards against a new connection for each request.
TEST_CASE("a cache miss is fetched from the origin over reused connections") {
  World w;
  w.caches([](const http::Message&) { return kMiss; });
  Client client = w.client();
  for (int i = 0; i < 20; ++i) {
    CHECK(client.ask(get("/k/" + std::to_string(i), std::to_string(i))).body ==
          "from origin /k/" + std::to_string(i));
  }
  CHECK(w.origin.seen.size() == 20);
  CHECK(w.origin.connections == 1);
  CHECK(w.one.connections <= 1);
  CHECK(w.two.connections <= 1);
}

TEST_CASE("a write is sent to the origin with its idempotency key and body") {
  World w;
  Client client = w.client();
  const std::string value("v\0\r\n\xff", 5); // arbitrary bytes
  CHECK(client.ask(put("/k/1", "w1", value)).body == "from origin /k/1");
  REQUIRE(w.origin.seen.size() == 1);
  CHECK(w.origin.seen[0].method == "PUT");
  CHECK(w.origin.seen[0].body == value);
  CHECK(w.origin.seen[0].header("idempotency-key") == "k-w1");
  CHECK(w.one.seen.size() + w.two.seen.size() == 0);
}

// A refused connection and a response with X-Not-Processed both show that the request did not run.
TEST_CASE("a request that was not processed is retried at another endpoint") {
  World w;
  SUBCASE("refused") { w.one.refuse(); }
  SUBCASE("not processed") {
    w.one.script = [](const http::Message&) { return kTurnedAway; };
  }
  Client client = w.client();
  for (int i = 0; i < 10; ++i)
    CHECK(client.ask(get("/k/" + std::to_string(i), std::to_string(i))).status == 200);
}

TEST_CASE("a write whose connection closes after sending is not answered as not processed") {
  // The class is keyed and the key is known to all endpoints: the write may be retried and a rejection does
  // no harm, but no response may be served.
  World w;
  w.origin.script = [](const http::Message&) { return std::string("!"); };
  Client client = w.client();
  const auto answer = client.ask(put("/k/1", "w1", "v"));
  CHECK(answer.status >= 500);
  CHECK(w.origin.seen.size() <= 4); // max_attempts
  for (const auto& seen : w.origin.seen) CHECK(seen.header("idempotency-key") == "k-w1");
}

// Guards against invented or shortened values.
TEST_CASE("a truncated response is never forwarded") {
  World w;
  const Peer::Script cut = [](const http::Message&) {
    return std::string("!HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  };
  w.caches(cut);
  w.origin.script = cut;
  Client client = w.client();
  const auto answer = client.ask(get("/k/1", "r1"));
  CHECK(answer.status >= 500);
  CHECK(answer.body.find("half") == std::string::npos);
  CHECK_FALSE(answer.header("retry-after").empty());
}

// Guards against resets of requests that a new connection would serve.
TEST_CASE("an idle connection that its server has closed is not reused") {
  World w;
  Client client = w.client();
  CHECK(client.ask(get("/k/1", "r1")).status == 200);
  const std::size_t before = w.sent();
  w.one.hang_up();
  w.two.hang_up();
  CHECK(client.ask(get("/k/1", "r2")).status == 200);
  CHECK(w.sent() == before + 1); // a single attempt
}

// Guards against responses delivered to the wrong request.
TEST_CASE("unexpected bytes close an idle connection") {
  World w;
  Client client = w.client();
  CHECK(client.ask(get("/k/1", "r1")).status == 200);
  Peer& cache = w.one.seen.empty() ? w.two : w.one;
  cache.say(ok("of nobody"));
  CHECK(w.until([&] { return cache.open() == 0; }));
  CHECK(client.ask(get("/k/1", "r2")).body == "from cache /k/1");
}

// Guards against requests to a server after discovery has reported it as draining (the third protocol
// rule).
TEST_CASE("a draining server receives no new requests and its idle connections are closed") {
  World w;
  Client client = w.client();
  for (int i = 0; i < 20; ++i) client.ask(get("/k/" + std::to_string(i), std::to_string(i)));
  REQUIRE_FALSE(w.one.seen.empty());
  REQUIRE(w.tell(node_list(8, false, {endpoint("s-1", w.one.address, "terminating")})));
  CHECK(w.until([&] { return w.one.open() == 0; }));
  const std::size_t before = w.one.seen.size();
  for (int i = 0; i < 20; ++i)
    CHECK(client.ask(get("/k/" + std::to_string(i), "d" + std::to_string(i))).status == 200);
  CHECK(w.one.seen.size() == before);
}

// Guards against a gap between two watches.
TEST_CASE("the next watch starts immediately from the received index") {
  World w;
  REQUIRE(w.tell(node_list(9, false, {})));
  CHECK(w.discovery.seen.back().target.find("since=9&") != std::string::npos);
  CHECK(w.discovery.connections == 1);
}

TEST_CASE("a damaged discovery answer: the last list stays in force and a snapshot is requested") {
  World w;
  REQUIRE(w.until([&] { return w.watched(); }));
  SUBCASE("not JSON") { w.discovery.say(ok("<html>")); }
  SUBCASE("not HTTP") { w.discovery.say("garbage\r\n\r\n"); }
  SUBCASE("an error status") { w.discovery.say(status(500)); }
  SUBCASE("truncated body") { w.discovery.say("!HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"); }
  const std::size_t before = w.discovery.seen.size();
  REQUIRE(w.until([&] { return w.discovery.seen.size() > before; }));
  CHECK(w.discovery.seen[before].target == "/v1/endpoints");
  Client client = w.client();
  CHECK(client.ask(get("/k/1", "r1")).status == 200);
}

TEST_CASE("the router is not ready until it has a usable endpoint list") {
  World w([](Json& file) { file["known"] = node_list(1, true, {}); });
  // Discovery does not answer at first.
  w.discovery.script = [](const http::Message&) { return std::string(); };
  Client client = w.client();
  CHECK(client.ask("GET /ready HTTP/1.1\r\n\r\n").status == 503);
  REQUIRE(w.until([&] { return !w.discovery.seen.empty(); }));
  w.discovery.say(ok(node_list(2, true, w.all()).dump()));
  REQUIRE(w.until([&] { return w.discovery.seen.back().target.find("since=2&") != std::string::npos; }));
  CHECK(client.ask("GET /ready HTTP/1.1\r\n\r\n").status == 200);
}

// Guards against a client request that is not answered in time (the first protocol rule).
TEST_CASE("no server responds: the client receives 503 with Retry-After before its deadline passes") {
  World w;
  w.caches([](const http::Message&) { return std::string(); });
  w.origin.script = [](const http::Message&) { return std::string(); };
  Client client = w.client();
  const double asked = loop::now_ms();
  const auto answer = client.ask(get("/k/1", "r1"));
  CHECK(answer.status == 503);
  CHECK(std::stod("0" + std::string(answer.header("retry-after"))) > 0);
  CHECK(loop::now_ms() - asked < 2070); // the deadline, the grace period and the tolerance for sockets
}

// Guards against leaked requests and connections.
TEST_CASE("a client disconnect cancels its attempt") {
  // Timeouts so long that only the client's disconnect can end the request during the test.
  World w([](Json& file) {
    file["settings"]["classes"][0]["aim"] = file["settings"]["classes"][0]["give_up"] = 100000;
  });
  w.caches([](const http::Message&) { return std::string(); });
  Client client = w.client();
  const std::string patient = "X-Timeout-Ms: 100000\r\n";
  client.send("GET /k/1 HTTP/1.1\r\nX-Request-ID: r1\r\nX-Priority-Class: read\r\n" + patient + "\r\n");
  REQUIRE(w.until([&] { return w.sent() > 0; }));
  CHECK(w.router->driver().unanswered_requests() == 1);
  client.leave();
  CHECK(w.until([&] { return w.one.open() + w.two.open() == 0; })); // a response was outstanding: not pooled
  CHECK(w.router->driver().unanswered_requests() == 0);
  CHECK(w.router->driver().attempts_in_flight() == 0);
}

// Found in a simulation with few routers: a router whose event loop had been blocked read a request,
// forwarded it, and only then read that the client had disconnected 0.3 s before.
TEST_CASE("a request whose client has disconnected before it is read is not forwarded") {
  World w;
  const std::string far_behind = get("/k/2", "r2", "X-Pad: " + std::string(15000, 'p') + "\r\n");
  // Everything is in the socket before the router's event loop runs.
  const auto leave = [&](const std::string& bytes, bool reset) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    where.sin_port = htons(static_cast<std::uint16_t>(w.router->port()));
    REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0);
    REQUIRE(write(fd, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size()));
    if (reset) loop::reset_on_close(fd);
    close(fd);
  };
  SUBCASE("the end of the connection arrives with the request") { leave(get("/k/1", "r1"), false); }
  SUBCASE("a reset") { leave(get("/k/1", "r1"), true); }
  SUBCASE("the end is behind more bytes than the router reads ahead") {
    leave(get("/k/1", "r1") + far_behind + far_behind + far_behind, false);
  }
  SUBCASE("the end of the connection arrives with a write") { leave(put("/k/1", "r1", "value"), false); }
  Client after = w.client();
  for (int i = 0; i < 3; ++i) { // afterwards the router has handled everything that was received before
    CHECK(after.ask("GET /ready HTTP/1.1\r\n\r\n").status == 200);
  }
  CHECK(w.sent() == 0);
  CHECK(after.ask(get("/k/3", "r3")).status == 200); // other clients are not delayed
}

TEST_CASE("two pipelined requests are answered in order") {
  World w;
  Client client = w.client();
  client.send(get("/k/1", "r1") + get("/k/2", "r2"));
  CHECK(w.until([&] { return client.answers.size() == 2; }));
  CHECK(client.answers.at(0).body == "from cache /k/1");
  CHECK(client.answers.at(1).body == "from cache /k/2");
}

TEST_CASE("an invalid request is rejected and closes the connection without being forwarded") {
  World w;
  const auto request = [](const std::string& headers) { return "GET /k HTTP/1.1\r\n" + headers + "\r\n"; };
  const std::vector<std::pair<std::string, int>> table = {
      {"nonsense\r\n\r\n", 400},
      {request("X-Priority-Class: read\r\n"), 400},
      {request("X-Request-ID: r\r\nX-Priority-Class: unheard-of\r\n"), 400},
      {request("X-Request-ID: r\r\nX-Priority-Class: read\r\nX-Timeout-Ms: soon\r\n"), 400},
      {"PUT /k HTTP/1.1\r\nX-Request-ID: r\r\nX-Priority-Class: book\r\nContent-Length: 1\r\n\r\nv",
       400}, // no idempotency key
      {request("X-Request-ID: r\r\nX-Request-ID: r\r\nX-Priority-Class: read\r\n"), 400},
      {request("X-Request-ID: r\r\nX-Priority-Class: read\r\nX-Priority-Class: book\r\n"), 400},
      {request("X-Request-ID: r\r\nX-Priority-Class: read\r\nX-Timeout-Ms: 5\r\nX-Timeout-Ms: 900\r\n"), 400},
      {request("X-Request-ID: two words\r\nX-Priority-Class: read\r\n"), 400},
      {request("X-Request-ID: " + std::string(200, 'r') + "\r\nX-Priority-Class: read\r\n"), 400},
      {"PUT /k HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
      {"PUT /k HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody", 400},
      {"PUT /k HTTP/1.1\r\nContent-Length: 60000000\r\n\r\n" + std::string(1 << 20, 'x'), 413},
      {"DELETE /k HTTP/1.1\r\nX-Request-ID: r\r\nX-Priority-Class: read\r\n\r\n", 405},
      {"PUT /k HTTP/1.1\r\nContent-Length: 33554433\r\n\r\n" + std::string(65537, 'x'), 413},
      {request("A: " + std::string(70000, 'a') + "\r\n"), 431},
  };
  for (const auto& [text, code] : table) {
    Client client = w.client();
    CAPTURE(text.substr(0, 60));
    CHECK(client.ask(text).status == code);
    CHECK(w.until([&] { return client.closed; }));
  }
  CHECK(w.sent() == 0);
}

TEST_CASE("requests over the limit of active requests are shed with Retry-After") {
  World w([](Json& file) { file["settings"]["limits"]["open_cap"] = 1; });
  w.caches([](const http::Message&) { return std::string(); });
  Client first = w.client(), second = w.client();
  first.send(get("/k/1", "r1"));
  REQUIRE(w.until([&] { return w.router->driver().unanswered_requests() == 1; }));
  const auto answer = second.ask(get("/k/1", "r2"));
  CHECK(answer.status == 503);
  CHECK_FALSE(answer.header("retry-after").empty());
}

// Guards against clients that can't connect.
TEST_CASE("a full table of client connections closes idle ones for new clients") {
  World w([](Json& file) { file["limits"]["sockets"] = 64; }); // 9 client connections
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 30; ++i) {
    clients.push_back(std::make_unique<Client>(w.base.get(), w.router->port()));
    CHECK(clients.back()->ask(get("/k/1", std::to_string(i))).status == 200);
  }
}

// Guards against connections that are never used again and occupy every place that clients may have.
TEST_CASE("clients that keep a connection after one request don't lock out new clients") {
  World w([](Json& file) { file["limits"]["sockets"] = 128; }); // clients hold at most 42 for requests
  Client regular = w.client();
  std::vector<std::unique_ptr<Client>> kept;
  int served = 0, unsent = 0;
  for (int i = 0; i < 200; ++i) {
    std::erase_if(kept, [](const auto& c) { return c->closed; });
    if (kept.size() < 41) {
      kept.push_back(std::make_unique<Client>(w.base.get(), w.router->port()));
      served += kept.back()->ask(get("/k/1", std::to_string(i))).status == 200;
    } else {
      ++unsent; // no connection is left to send it on
    }
    CHECK(regular.ask(get("/k/1", "regular" + std::to_string(i))).status == 200);
    run_for(w.base.get(), 2);
  }
  MESSAGE("of 200 requests on new connections " << served << " were served, " << unsent << " never sent");
  CHECK(served >= 190);
  CHECK_FALSE(regular.closed);
}

// Guards against closing the connections of regular clients that were idle slightly longer than those of
// new ones.
TEST_CASE("frequently used connections stay open while many new clients connect") {
  World w([](Json& file) { file["limits"]["sockets"] = 64; });
  std::vector<std::unique_ptr<Client>> often, crowd;
  for (int i = 0; i < 4; ++i) often.push_back(std::make_unique<Client>(w.base.get(), w.router->port()));
  int number = 0, lost = 0;
  for (int round = 0; round < 12; ++round) {
    for (auto& client : often) CHECK(client->ask(get("/k/1", "o" + std::to_string(number++))).status == 200);
    // Between two requests of the regular clients, more new clients than the table has places for. They stay
    // connected until the router closes them.
    for (int i = 0; i < (round == 0 ? 0 : 25); ++i) {
      std::erase_if(crowd, [](const auto& c) { return c->closed; });
      crowd.push_back(std::make_unique<Client>(w.base.get(), w.router->port()));
      lost += crowd.back()->ask(get("/k/1", std::to_string(number++))).status != 200;
    }
  }
  CHECK(lost == 0);
  for (const auto& client : often) CHECK_FALSE(client->closed);
}

TEST_CASE("descriptors that clients hold beyond their share are returned to upstream connections") {
  World w([](Json& file) { file["limits"]["sockets"] = 64; }); // 40 connections, at most 30 for one side
  w.caches([](const http::Message&) { return std::string(); });
  w.origin.script = w.one.script;
  std::vector<std::unique_ptr<Client>> silent, busy;
  for (int i = 0; i < 30; ++i) silent.push_back(std::make_unique<Client>(w.base.get(), w.router->port()));
  run_for(w.base.get(), 150); // long enough to find that they send nothing
  CHECK(w.router->listener().connections() == 30);
  for (int i = 0; i < 15; ++i) { // each needs a downstream and an upstream connection
    busy.push_back(std::make_unique<Client>(w.base.get(), w.router->port()));
    busy.back()->send(get("/k/" + std::to_string(i), std::to_string(i)));
    CHECK(w.until([&] { return w.sent() == static_cast<std::size_t>(i + 1); }));
  }
}

// Guards against responses delivered to the wrong client.
TEST_CASE("a request ID that is already active is rejected") {
  World w;
  w.caches([](const http::Message&) { return std::string(); });
  Client first = w.client(), second = w.client();
  first.send(get("/k/1", "r1"));
  REQUIRE(w.until([&] { return w.sent() == 1; }));
  CHECK(second.ask(get("/k/2", "r1")).status == 409);
  (w.one.seen.empty() ? w.two : w.one).say(ok("of the first"));
  REQUIRE(w.until([&] { return !first.answers.empty(); }));
  CHECK(first.answers[0].body == "of the first");
  w.caches([](const http::Message&) { return ok("v"); });
  CHECK(w.client().ask(get("/k/2", "r1")).status == 200); // the ID can be used again
}

// Guards against invalid requests that use up, at five attempts each, the retry budget that other clients
// need.
TEST_CASE("a request that a cache rejects with 400 is not retried") {
  World w;
  w.caches([](const http::Message&) { return status(400); });
  w.origin.script = [](const http::Message&) { return status(400); };
  Client client = w.client();
  CHECK(client.ask(get("/k/1", "r1")).status == 502);
  CHECK(w.sent() == 1);
}

// Guards against descriptors held by connections without a request.
TEST_CASE("a client that sends nothing or an incomplete request is disconnected") {
  World w;
  const double begun = loop::now_ms();
  Client silent = w.client(), half = w.client(), second = w.client();
  half.send("GET /k/1 HTTP/1.1\r\nX-Requ");
  CHECK(second.ask(get("/k/1", "r1")).status == 200);
  second.send("GET /k/1 HTTP/1.1\r\n");
  CHECK(w.until([&] { return silent.closed && half.closed && second.closed; }));
  CHECK(loop::now_ms() - begun < 8000);
  CHECK(silent.answers.empty());
  REQUIRE(half.answers.size() == 1);
  CHECK(half.answers[0].status == 408);
  REQUIRE(second.answers.size() == 2);
  CHECK(second.answers[1].status == 408);
}

TEST_CASE("a connection with hundreds of pipelined requests serves a few and is closed") {
  World w;
  Client client = w.client();
  std::string all;
  for (int i = 0; i < 300; ++i) all += get("/k/" + std::to_string(i), std::to_string(i));
  client.send(all);
  CHECK(w.until([&] { return client.closed; }));
  REQUIRE_FALSE(client.answers.empty());
  CHECK(client.answers.back().status == 503);
  CHECK(w.sent() <= 5);
}

// Guards against a router killed for its memory use.
TEST_CASE("the memory of all incomplete requests together is limited") {
  World w([](Json& file) { file["limits"]["memory_mb"] = 8; }); // 1 MB for them
  std::vector<std::unique_ptr<Client>> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(std::make_unique<Client>(w.base.get(), w.router->port()));
    clients.back()->send("PUT /k HTTP/1.1\r\nContent-Length: 60001\r\n\r\n" + std::string(60000, 'x'));
  }
  const auto shed = [&] {
    return std::count_if(clients.begin(), clients.end(),
                         [](const auto& c) { return !c->answers.empty() && c->answers[0].status == 503; });
  };
  CHECK(w.until([&] { return shed() >= 20; }));
  CHECK(shed() < 30);
}

// Guards against clients locked out by many silent connections.
TEST_CASE("silent connections are closed in favor of a client that sends a request") {
  World w([](Json& file) { file["limits"]["sockets"] = 64; }); // 20 client connections
  std::vector<std::unique_ptr<Client>> crowd;
  for (int i = 0; i < 30; ++i) crowd.push_back(std::make_unique<Client>(w.base.get(), w.router->port()));
  Client client = w.client();
  CHECK(client.ask(get("/k/1", "r1")).status == 200);
}

TEST_CASE("graceful shutdown: accepted requests are answered and all connections close in time") {
  World w;
  std::string held;
  w.caches([](const http::Message&) { return std::string(); });
  Client busy = w.client(), idle = w.client();
  CHECK(idle.ask("GET /ready HTTP/1.1\r\n\r\n").status == 200);
  busy.send(get("/k/1", "r1"));
  REQUIRE(w.until([&] { return w.sent() > 0; }));
  Peer& cache = w.one.seen.empty() ? w.two : w.one;
  w.router->begin_shutdown();
  Client late = w.client(); // new clients are still accepted
  CHECK(late.ask("GET /ready HTTP/1.1\r\n\r\n").status == 503);
  cache.say(ok("late"));
  REQUIRE(w.until([&] { return busy.closed && idle.closed && late.closed; }));
  REQUIRE(busy.answers.size() == 1);
  CHECK(busy.answers[0].body == "late");
}

// ---- the upstream connection pool without a router ----

namespace {

struct PoolWorld : proxy::AttemptCallbacks {
  explicit PoolWorld(std::size_t most = 10, const upstream::ConnectionPoolOptions& options = {}) {
    account = std::make_unique<descriptors::DescriptorBudget>(most);
    pool = std::make_unique<upstream::ConnectionPool>(base.get(), deadlines, *account, bytes, figures,
                                                      options, *this, [] { return false; });
    list("in_service");
  }
  void list(const std::string& state, double since_ms = 0, const std::string& address = "") {
    Json entry = endpoint("s-1", address.empty() ? peer.address : address, state);
    entry["since_ms"] = since_ms;
    table.apply(node_list(1, true, {entry}));
    pool->update_endpoints(table.targets());
  }
  auto start(loop::Handle attempt, const char* target = "s-1") {
    auto call = std::make_shared<proxy::ClientRequest>();
    call->path = "/k/" + std::to_string(attempt);
    call->id = "r";
    return pool->start(attempt, endpoints::id_of(target), call, loop::now_ms() + 5000);
  }
  void on_attempt_complete(loop::Handle, proxy::AttemptCompletion e) override {
    endings.push_back(e.result);
    last = std::move(e);
  }
  double buffer_until(loop::Handle) override { return 1e15; }
  bool may_write_request(loop::Handle) override { return waits; }
  bool start_response(loop::Handle, proxy::ResponseHead) override { return false; }
  std::size_t writable_bytes(loop::Handle) override { return 0; }
  void write(loop::Handle, std::string_view, loop::IoBuffer&) override {}
  bool splice_from(loop::Handle, int, std::size_t, loop::IoBuffer&, loop::Received&, std::size_t&) override {
    return false;
  }

  router::BasePtr base = router::make_base();
  loop::TimerQueue deadlines{base.get()};
  endpoints::EndpointTable table{{}, {}};
  std::unique_ptr<descriptors::DescriptorBudget> account;
  body_buffers::BufferBudget bytes{{}};
  figures::Figures figures{{"read"}};
  std::vector<AttemptResult> endings;
  proxy::AttemptCompletion last;
  bool waits = true; // whether the requests of all attempts are still active
  int connections_seen = 0;
  Peer peer{base.get(), [](const http::Message&) { return ok("v"); }};
  std::unique_ptr<upstream::ConnectionPool> pool;
};

using Start = proxy::UpstreamConnections::StartResult;

} // namespace

// Guards against requests to a server after discovery has reported it as draining (the third protocol
// rule).
TEST_CASE("a connection established after its server began draining sends nothing") {
  PoolWorld w;
  REQUIRE(w.start(1) == Start::Started);
  w.list("terminating"); // before the event loop sees that the connection is established
  CHECK(run_until(w.base.get(), [&] { return !w.endings.empty(); }));
  CHECK(w.endings.at(0) == AttemptResult::ConnectFailed);
  CHECK(w.start(2) == Start::NoEndpoint);
  run_for(w.base.get(), 30);
  CHECK(w.peer.seen.empty());
}

// Found in full-size simulations: a write was rejected while its connection to the origin was being
// established, and sent 33 ms later.
TEST_CASE(
    "a connection established after its request was answered sends nothing and serves the next request") {
  PoolWorld w;
  REQUIRE(w.start(1) == Start::Started);
  w.waits = false;
  CHECK(run_until(w.base.get(), [&] { return !w.endings.empty(); }));
  CHECK(w.endings.at(0) == AttemptResult::Abandoned);
  w.waits = true;
  REQUIRE(w.start(2) == Start::Started);
  CHECK(run_until(w.base.get(), [&] { return w.endings.size() == 2; }));
  REQUIRE(w.peer.seen.size() == 1);
  CHECK(w.peer.seen[0].target == "/k/2");
  CHECK(w.peer.connections == 1);
}

TEST_CASE("a connection established after its attempt was canceled serves the next one") {
  PoolWorld w;
  REQUIRE(w.start(1) == Start::Started);
  w.pool->cancel(1);
  REQUIRE(w.start(2) == Start::Started);
  CHECK(run_until(w.base.get(), [&] { return !w.endings.empty(); }));
  REQUIRE(w.peer.seen.size() == 1);
  CHECK(w.peer.seen[0].target == "/k/2");
  CHECK(w.peer.connections == 1);
}

// Guards against the late response of the canceled attempt being taken for that of the next one.
TEST_CASE("the connection of a canceled attempt is never reused") {
  PoolWorld w;
  w.peer.script = [](const http::Message&) { return std::string(); };
  REQUIRE(w.start(1) == Start::Started);
  REQUIRE(run_until(w.base.get(), [&] { return w.peer.seen.size() == 1; }));
  w.pool->cancel(1);
  CHECK(w.pool->connections() == 0);
  CHECK(w.endings.empty()); // a canceled attempt is not reported to the dispatcher
  REQUIRE(w.start(2) == Start::Started);
  CHECK(run_until(w.base.get(), [&] { return w.peer.connections == 2; }));
}

// Guards against resets where a new connection would succeed.
TEST_CASE("a connection whose end has not been read yet is not reused") {
  PoolWorld w;
  REQUIRE(w.start(1) == Start::Started);
  REQUIRE(run_until(w.base.get(), [&] { return w.endings.size() == 1; }));
  w.peer.hang_up();
  REQUIRE(w.start(2) == Start::Started); // before the event loop sees the end of the connection
  REQUIRE(run_until(w.base.get(), [&] { return w.endings.size() == 2; }));
  CHECK(w.endings[1] == AttemptResult::Ok);
  CHECK(w.peer.connections == 2);
}

// Guards against requests written to connections that their server has dropped without notice, and against
// closing the connections of other servers for it.
TEST_CASE(
    "a server that drops idle connections after 300 ms is detected and another server's connections stay "
    "open") {
  PoolWorld w;
  Peer neighbour(w.base.get(), [](const http::Message&) { return ok("v"); });
  w.table.apply(node_list(2, true, {endpoint("s-1", w.peer.address), endpoint("s-2", neighbour.address)}));
  w.pool->update_endpoints(w.table.targets());
  // The server closes its connection when the next request arrives, as if it had closed earlier: until then
  // the pool can't detect it.
  double answered_at = 0;
  w.peer.script = [&](const http::Message&) {
    const double rest = loop::now_ms() - std::exchange(answered_at, loop::now_ms());
    return rest < 300 || w.peer.seen.size() == 1 || w.peer.connections > w.connections_seen
               ? (w.connections_seen = w.peer.connections, ok("v"))
               : std::string("!");
  };
  loop::Handle attempt = 0;
  const auto ask = [&](const char* name) {
    REQUIRE(w.start(++attempt, name) == Start::Started);
    REQUIRE(run_until(w.base.get(), [&] { return w.endings.size() == attempt; }));
    return w.endings.back();
  };
  for (int i = 0; i < 5; ++i) {
    CHECK(ask("s-1") == AttemptResult::Ok);
    CHECK(ask("s-2") == AttemptResult::Ok);
    run_for(w.base.get(), 50);
  }
  for (int i = 0; i < 3; ++i) {
    run_for(w.base.get(), 350);
    CHECK(ask("s-2") == AttemptResult::Ok);
  }
  CHECK(ask("s-1") != AttemptResult::Ok); // the first after an idle time of a second
  int resets = 0;
  for (int i = 0; i < 6; ++i) {
    run_for(w.base.get(), 320);
    resets += ask("s-1") == AttemptResult::Reset;
    CHECK(ask("s-2") == AttemptResult::Ok);
  }
  MESSAGE("of 6 requests after an idle time of 320 ms "
          << resets << " were written to a connection closed without notice");
  CHECK(resets <= 2);
  CHECK(w.pool->resets_after_idle() == static_cast<std::uint64_t>(resets) + 1);
  CHECK(w.peer.connections <= 7);
  CHECK(neighbour.connections == 1);
  for (int i = 0; i < 3; ++i) { // after short idle times the connection of the first server is reused
    const int before = w.peer.connections;
    run_for(w.base.get(), 50);
    CHECK(ask("s-1") == AttemptResult::Ok);
    CHECK(w.peer.connections == before);
  }
  w.list("in_service", 5); // a restart: the detected idle limit is forgotten
  w.peer.script = [](const http::Message&) { return ok("v"); };
  CHECK(ask("s-1") == AttemptResult::Ok);
  const int before = w.peer.connections;
  run_for(w.base.get(), 400);
  CHECK(ask("s-1") == AttemptResult::Ok);
  CHECK(w.peer.connections == before);
}

// Guards against ejecting a server that only closed an idle connection.
TEST_CASE("an attempt result reports whether its connection was reused and how long it was idle") {
  PoolWorld w;
  REQUIRE(w.start(1) == Start::Started);
  REQUIRE(run_until(w.base.get(), [&] { return w.endings.size() == 1; }));
  CHECK_FALSE(w.last.on_reused_connection);
  w.peer.script = [](const http::Message&) { return std::string("!"); };
  run_for(w.base.get(), 40);
  REQUIRE(w.start(2) == Start::Started);
  REQUIRE(run_until(w.base.get(), [&] { return w.endings.size() == 2; }));
  CHECK(w.last.result == AttemptResult::Reset);
  CHECK(w.last.on_reused_connection);
  CHECK(w.last.idle_ms >= 35);
  CHECK(w.last.idle_ms < 5000);
}

// Guards against requests to a process that has exited, or to a different process at its old address.
TEST_CASE("a server that moved to another address receives no new requests at the old one") {
  PoolWorld w;
  Peer moved(w.base.get(), [](const http::Message&) { return ok("v"); });
  SUBCASE("while a request is active there") {
    w.peer.script = [](const http::Message&) { return std::string(); };
    REQUIRE(w.start(1) == Start::Started);
    REQUIRE(run_until(w.base.get(), [&] { return w.peer.seen.size() == 1; }));
    w.list("in_service", 0, moved.address);
    w.peer.say(ok("v"));
    REQUIRE(run_until(w.base.get(), [&] { return w.endings.size() == 1; }));
    CHECK(w.endings[0] == AttemptResult::Ok);
  }
  SUBCASE("while a connection there is being established") {
    REQUIRE(w.start(1) == Start::Started);
    w.list("in_service", 0, moved.address);
    REQUIRE(run_until(w.base.get(), [&] { return w.endings.size() == 1; }));
    CHECK(w.endings[0] == AttemptResult::ConnectFailed);
  }
  const std::size_t before = w.peer.seen.size();
  REQUIRE(w.start(2) == Start::Started);
  REQUIRE(run_until(w.base.get(), [&] { return w.endings.size() == 2; }));
  CHECK(w.endings[1] == AttemptResult::Ok);
  CHECK(w.peer.seen.size() == before);
  CHECK(moved.seen.size() == 1);
}

TEST_CASE("connections to the previous incarnation of a server are not reused") {
  PoolWorld w;
  w.peer.script = [](const http::Message&) { return std::string(); };
  REQUIRE(w.start(1) == Start::Started);
  REQUIRE(run_until(w.base.get(), [&] { return w.peer.seen.size() == 1; }));
  w.list("in_service", 5);
  w.peer.script = [](const http::Message&) { return ok("v"); };
  w.peer.say(ok("v"));
  REQUIRE(run_until(w.base.get(), [&] { return w.endings.size() == 1; }));
  REQUIRE(w.start(2) == Start::Started);
  REQUIRE(run_until(w.base.get(), [&] { return w.endings.size() == 2; }));
  CHECK(w.peer.connections == 2);
}

// The server's machine drops the first packet without an answer; a full accept queue has the same effect.
TEST_CASE("a connection attempt times out and returns its descriptor") {
  upstream::ConnectionPoolOptions options;
  options.connect_timeout_ms = 80;
  PoolWorld w(10, options);
  const int deaf = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in where{};
  where.sin_family = AF_INET;
  where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof where;
  REQUIRE(bind(deaf, reinterpret_cast<const sockaddr*>(&where), size) == 0);
  REQUIRE(listen(deaf, 0) == 0);
  getsockname(deaf, reinterpret_cast<sockaddr*>(&where), &size);
  std::vector<int> fills;
  for (int i = 0; i < 4; ++i) {
    fills.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    ::connect(fills.back(), reinterpret_cast<const sockaddr*>(&where), size);
  }
  w.list("in_service", 0, "127.0.0.1:" + std::to_string(ntohs(where.sin_port)));
  const double begun = loop::now_ms();
  REQUIRE(w.start(1) == Start::Started);
  REQUIRE(run_until(w.base.get(), [&] { return !w.endings.empty(); }));
  CHECK(w.endings[0] == AttemptResult::ConnectFailed);
  CHECK(loop::now_ms() - begun >= 75);
  CHECK(w.pool->connections() == 0);
  CHECK(w.account->used(descriptors::Side::Upstream) == 0);
  for (const int fd : fills) close(fd);
  close(deaf);
}

TEST_CASE("a connection established after its attempt was canceled stays idle for the next one") {
  PoolWorld w;
  REQUIRE(w.start(1) == Start::Started);
  w.pool->cancel(1);
  REQUIRE(run_until(w.base.get(), [&] { return w.peer.connections == 1; }));
  run_for(w.base.get(), 5);
  CHECK(w.pool->connections() == 1);
  REQUIRE(w.start(2) == Start::Started);
  REQUIRE(run_until(w.base.get(), [&] { return !w.endings.empty(); }));
  CHECK(w.endings[0] == AttemptResult::Ok);
  CHECK(w.peer.connections == 1);
}

// Guards against ejecting healthy servers for a shortage on this machine.
TEST_CASE("without a local port an attempt ends with LocalLimit and without a route with NoEndpoint") {
  PoolWorld w;
  connect_fails = EADDRNOTAVAIL;
  const Start no_port = w.start(1);
  connect_fails = ENETUNREACH;
  const Start no_way = w.start(2);
  connect_fails = 0;
  CHECK(no_port == Start::LocalLimit);
  CHECK(no_way == Start::NoEndpoint);
  CHECK(w.pool->connections() == 0);
  CHECK(w.account->used(descriptors::Side::Upstream) == 0);
}

// Guards against a write that waits a minute for a server that no longer exists.
TEST_CASE("a server that stops reading a request body times out as not processed") {
  upstream::ConnectionPoolOptions options;
  options.silent_ms = 100;
  PoolWorld w(10, options);
  w.peer.stopped = true;
  body_buffers::BufferBudget bytes{{}};
  body_buffers::RetentionLimits rules;
  rules.max_body_bytes = 16 << 20;
  rules.max_memory_per_body = rules.max_memory_bytes = 16 << 20;
  proxy::BodyStores stores(rules, bytes, "");
  loop::IoBuffer block;
  auto call = std::make_shared<proxy::ClientRequest>();
  call->write = true;
  call->path = "/k";
  call->id = "r";
  call->streamed_body = std::make_shared<proxy::RequestBody>(stores, std::uint64_t{8 << 20});
  const std::string part(60000, 'b');
  while (call->streamed_body->received_bytes() < (8u << 20)) {
    const std::size_t most =
        std::min<std::size_t>(part.size(), (8u << 20) - call->streamed_body->received_bytes());
    REQUIRE(call->streamed_body->append(std::string_view(part).substr(0, most), block));
  }
  call->streamed_body->complete();
  const double begun = loop::now_ms();
  REQUIRE(w.pool->start(1, endpoints::id_of("s-1"), call, loop::now_ms() + 60000) == Start::Started);
  REQUIRE(run_until(w.base.get(), [&] { return w.endings.size() == 1; }));
  CHECK(w.endings[0] == AttemptResult::ConnectFailed); // the last byte of the body was never sent
  CHECK(loop::now_ms() - begun >= 100);
  CHECK(w.pool->connections() == 0);
  CHECK(w.peer.seen.empty());
}

// The table lists what a server sends before it closes. Whether the request may have run by then, the
// class decides.
TEST_CASE("a server that closes its connection at any moment: retried or failed once as the class requires") {
  const std::string whole = ok("v");
  const std::vector<std::pair<const char*, std::string>> moments = {
      {"on receipt", "!"},
      {"after 100", "!HTTP/1.1 100 Continue\r\n\r\n"},
      {"in the status line", "!HTTP/1.1 2"},
      {"between head and body", "!HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"},
      {"before the last byte", "!HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nva"},
      {"before the last chunk", "!HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nv\r\n"},
      {"after the complete response", "!" + whole},
      {"with bytes behind the response", "!" + whole + "more"},
      {"with Connection: close", "!HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 1\r\n\r\nv"}};
  for (const auto& [when, wire] : moments) {
    for (const char* cls : {"read", "book", "once"}) {
      for (const bool rested : {false, true}) { // on a new or a reused connection
        CAPTURE(when);
        CAPTURE(cls);
        CAPTURE(rested);
        World w([](Json& file) {
          file["settings"]["classes"].push_back(
              {{"name", "once"}, {"aim", 900}, {"give_up", 2000}, {"repeat", "unsafe"}, {"worth", 1}});
        });
        const bool read = std::string(cls) == "read";
        const auto text = [&](const std::string& id) {
          if (read) return get("/k/1", id);
          return "PUT /k/1 HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id + "\r\nX-Priority-Class: " + cls +
                 "\r\nIdempotency-Key: k-" + id + "\r\nX-Timeout-Ms: 2000\r\nContent-Length: 1\r\n\r\nb";
        };
        Client client = w.client();
        if (rested) REQUIRE(client.ask(text("r0")).status == 200);
        const std::size_t before = w.sent();
        bool spoilt = false;
        const Peer::Script once = [&, wire = wire](const http::Message&) {
          return std::exchange(spoilt, true) ? ok("other") : wire;
        };
        w.caches(once);
        w.origin.script = once;
        const auto answer = client.ask(text("r1"));
        const bool came_whole =
            wire.find(whole) != std::string::npos || wire.find("close") != std::string::npos;
        const std::string body = came_whole ? "v" : "other";
        if (came_whole || std::string(cls) != "once") {
          CHECK(answer.status == 200);
          CHECK(answer.body == body);
          CHECK(w.sent() == before + (came_whole ? 1 : 2));
        } else {
          // The request may have run: it is not retried and not reported as not processed.
          CHECK(answer.status == 502);
          CHECK(w.sent() == before + 1);
        }
        CHECK(client.ask(text("r2")).status == 200);
        CHECK(client.answers.size() == (rested ? 3u : 2u));
        CHECK(w.router->driver().attempts_in_flight() == 0);
      }
    }
  }
}

TEST_CASE("a full connection pool reports LocalLimit instead of queueing") {
  PoolWorld w(1);
  w.peer.script = [](const http::Message&) { return std::string(); };
  REQUIRE(w.start(1) == Start::Started);
  CHECK(w.start(2) == Start::LocalLimit);
  REQUIRE(run_until(w.base.get(), [&] { return w.peer.seen.size() == 1; }));
  w.peer.say(ok("v"));
  REQUIRE(run_until(w.base.get(), [&] { return w.endings.size() == 1; }));
  CHECK(w.start(3) == Start::Started); // on the connection that is now idle
  CHECK(w.pool->opened() == 1);
}

// Guards against ejecting healthy servers for a shortage on this machine.
TEST_CASE("without a free descriptor an attempt ends with LocalLimit") {
  PoolWorld w;
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
  const rlimit none{0, before.rlim_max};
  REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
  const Start start = w.start(1);
  REQUIRE(setrlimit(RLIMIT_NOFILE, &before) == 0);
  CHECK(start == Start::LocalLimit);
  CHECK(w.start(2) == Start::Started);
}

// A close without a response is reported as a reset because the request may have run.
TEST_CASE("a close without a response is a reset and bytes behind a response close the connection") {
  PoolWorld w;
  w.peer.script = [](const http::Message&) { return std::string("!"); };
  REQUIRE(w.start(1) == Start::Started);
  REQUIRE(run_until(w.base.get(), [&] { return w.endings.size() == 1; }));
  CHECK(w.endings[0] == AttemptResult::Reset);
  w.peer.script = [](const http::Message&) { return ok("v") + "more"; };
  REQUIRE(w.start(2) == Start::Started);
  REQUIRE(run_until(w.base.get(), [&] { return w.endings.size() == 2; }));
  CHECK(w.endings[1] == AttemptResult::Ok);
  CHECK(w.pool->connections() == 0); // bytes followed the response: not pooled
}

// Guards against malformed responses reported as resets, which eject healthy servers, and against reuse of
// their connections.
TEST_CASE("a malformed response is an error and its connection is not reused") {
  PoolWorld w;
  std::string spoilt;
  SUBCASE("noise") { spoilt = "\x01\x02\x03 noise\r\n\r\n"; }
  SUBCASE("a header without end") { spoilt = "HTTP/1.1 200 OK\r\nA: " + std::string(70000, 'a'); }
  SUBCASE("a negative Content-Length") { spoilt = "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nhello"; }
  SUBCASE("another protocol") { spoilt = "HTTP/1.1 101 Switching\r\n\r\n"; }
  SUBCASE("two Content-Length headers") {
    spoilt = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!";
  }
  SUBCASE("a Content-Length of 3 GB") {
    spoilt = "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhello";
  }
  w.peer.script = [&](const http::Message&) { return spoilt; };
  REQUIRE(w.start(1) == Start::Started);
  REQUIRE(run_until(w.base.get(), [&] { return w.endings.size() == 1; }));
  CHECK(w.endings[0] == AttemptResult::Error);
  CHECK(w.pool->connections() == 0);
}

// Guards against lost valid responses.
TEST_CASE("a malformed load report is ignored and the response is forwarded") {
  World w;
  w.caches([](const http::Message&) {
    return "HTTP/1.1 103 Early\r\nA: b\r\n\r\n" + ok("value", "X-Server-Load: \x01\x7f=\x02\xff\r\n");
  });
  CHECK(w.client().ask(get("/k/1", "r1")).body == "value");
  CHECK(w.sent() == 1);
}

// Guards against memory that grows with each new cache.
TEST_CASE("the pool keeps no state of a removed server") {
  PoolWorld w;
  w.peer.script = [](const http::Message&) { return std::string(); };
  REQUIRE(w.start(1) == Start::Started);
  REQUIRE(run_until(w.base.get(), [&] { return w.peer.seen.size() == 1; }));
  w.table.apply(node_list(2, true, {}));
  w.pool->update_endpoints(w.table.targets());
  w.pool->cancel(1);
  CHECK(w.pool->connections() == 0);
  CHECK(w.pool->pooled_endpoints() == 0);
}

// Guards against requests that fail although a retry succeeds.
TEST_CASE("a malformed response of the origin is retried and the client served") {
  World w;
  w.caches([](const http::Message&) { return kMiss; });
  w.origin.script = [&](const http::Message& m) {
    return w.origin.seen.size() % 2 == 1 ? std::string("noise\r\n") : ok("from origin " + m.target);
  };
  Client client = w.client();
  for (int i = 0; i < 10; ++i) {
    CHECK(client.ask(get("/k/" + std::to_string(i), std::to_string(i))).body ==
          "from origin /k/" + std::to_string(i));
  }
  CHECK(w.origin.seen.size() == 20);
}

// Guards against a client request that is never answered (the first protocol rule).
TEST_CASE("a request that the balancer ignores fails at its deadline") {
  struct Clients : proxy::DownstreamConnections {
    void send_response(loop::Handle, proxy::ClientResponse response) override {
      kinds.push_back(response.kind);
    }
    bool is_connected(loop::Handle) override { return true; }
    bool start_response(loop::Handle, proxy::ResponseHead) override { return false; }
    std::size_t writable_bytes(loop::Handle) override { return 0; }
    void write(loop::Handle, std::string_view, loop::IoBuffer&) override {}
    bool splice_from(loop::Handle, int, std::size_t, loop::IoBuffer&, loop::Received&,
                     std::size_t&) override {
      return false;
    }
    void end_response(loop::Handle, bool) override {}
    std::vector<proxy::ClientResponse::Kind> kinds;
  } clients;
  PoolWorld w;
  const auto config = config::parse(config_json("127.0.0.1:1", nullptr).dump(), &no_environment);
  proxy::RequestDispatcher driver(w.base.get(), w.deadlines, fernward::Balancer(config.settings, 1),
                                  config.settings, w.bytes, {});
  driver.attach(clients, *w.pool);
  proxy::ClientRequest call;
  call.class_index = 99; // unknown to the balancer, which then makes no decision
  call.timeout_ms = 50;
  REQUIRE(driver.open_request(1, call) != 0);
  CHECK(run_until(w.base.get(), [&] { return driver.unanswered_requests() == 0; }));
  REQUIRE(clients.kinds.size() == 1);
  CHECK(clients.kinds[0] == proxy::ClientResponse::Kind::Failed);
}

// Guards against connection places held by requests that never become complete.
TEST_CASE("many incomplete requests do not lock out a complete one") {
  World w([](Json& file) { file["limits"]["sockets"] = 96; });
  std::vector<std::unique_ptr<Client>> crowd;
  for (int i = 0; i < 150; ++i) {
    crowd.push_back(std::make_unique<Client>(w.base.get(), w.router->port()));
    crowd.back()->send("GET /k/half HTTP/1.1\r\nX-Request-ID: h" + std::to_string(i) + "\r\n");
    if (i % 10 == 0) run_for(w.base.get(), 5);
  }
  for (int i = 0; i < 5; ++i) {
    Client client = w.client();
    const double begun = loop::now_ms();
    CHECK(client.ask(get("/k/" + std::to_string(i), "r" + std::to_string(i))).status == 200);
    CHECK(loop::now_ms() - begun < 1800); // before the incomplete requests time out
  }
}
