// Two events at the same moment, in the order that is hardest to handle. The order is forced: within one
// process the router's event loop does not run while both are written to its sockets; a separate process is
// stopped with SIGSTOP meanwhile. A period that has to elapse (a deadline, a window) elapses while nothing
// runs, so that a slow machine does not change the result.
#include <doctest/doctest.h>
#include <signal.h>
#include <unistd.h>

#include <set>

#include "peers.h"
#include "program.h"
#include "raw_client.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

void pass_ms(double ms) { // no event loop runs meanwhile
  const double end = loop::now_ms() + ms;
  while (loop::now_ms() < end) usleep(1000);
}

// Sets class timeouts so long that none of them ends a request during a test.
void patient(Json& file) {
  for (auto& c : file["settings"]["classes"]) c["aim"] = c["give_up"] = 100000;
}
std::string patient_get(const std::string& path, const std::string& id) {
  return "GET " + path + " HTTP/1.1\r\nX-Request-ID: " + id +
         "\r\nX-Priority-Class: read\r\nX-Timeout-Ms: 100000\r\n\r\n";
}
std::string many_behind(std::size_t bytes) { // at least so many bytes of further requests of the same client
  std::string all;
  for (int i = 0; all.size() < bytes; ++i) all += patient_get("/behind", "b" + std::to_string(i));
  return all;
}
const Peer::Script kSilent = [](const http::Message&) { return std::string(); };

std::string book(const std::string& id, int wait_ms = 100000) {
  return "PUT /k/" + id + " HTTP/1.1\r\nX-Request-ID: " + id +
         "\r\nX-Priority-Class: book\r\nIdempotency-Key: k-" + id +
         "\r\nX-Timeout-Ms: " + std::to_string(wait_ms) + "\r\nContent-Length: 1\r\n\r\nv";
}

// Waits until the router has started one more connection, to the origin. The kernel has established it, but
// neither side's event loop has seen that.
bool comes_up(World& w, std::uint64_t opened) {
  return w.until([&] { return w.router->pool().opened() > opened; }) &&
         w.origin.connections == static_cast<int>(opened);
}

// Like RouterFixture::wait_until, but also returns if the event loop is busy all the time.
bool until_even_busy(World& w, const std::function<bool()>& done) {
  const loop::EventPtr tick(event_new(
      w.base.get(), -1, EV_PERSIST,
      [](int, short, void* base) { event_base_loopbreak(static_cast<event_base*>(base)); }, w.base.get()));
  const timeval each{0, 2000};
  event_add(tick.get(), &each);
  const double end = loop::now_ms() + 5000;
  while (!done() && loop::now_ms() < end) event_base_loop(w.base.get(), EVLOOP_ONCE);
  return done();
}

} // namespace

// ---- client disconnects ----

// Guards against attempts for disconnected clients: the end of the connection is behind bytes that the
// router does not read yet.
TEST_CASE("a client disconnect is detected behind many unread bytes") {
  World w(patient);
  w.caches(kSilent);
  Raw client(w.router->port(), patient_get("/k/1", "r1"));
  REQUIRE(w.until([&] { return w.sent() == 1; }));
  client.send(many_behind(40 << 10)); // far more than the router reads ahead
  client.leave();
  REQUIRE(until_even_busy(w, [&] { return w.router->driver().unanswered_requests() == 0; }));
  CHECK(w.until([&] { return w.router->driver().attempts_in_flight() == 0; }));
  run_for(w.base.get(), 20);
  CHECK(w.sent() == 1);
}

// Guards against forwarding the next requests of a disconnected client after the response to the previous
// one.
TEST_CASE("a client that disconnects after pipelining requests: none behind the first is forwarded") {
  std::size_t behind = 0;
  SUBCASE("a few") { behind = 1 << 10; }
  SUBCASE("more than the router reads ahead") { behind = 40 << 10; }
  World w(patient);
  w.caches(kSilent);
  Raw client(w.router->port(), patient_get("/k/1", "r1") + many_behind(behind));
  REQUIRE(w.until([&] { return w.sent() == 1; }));
  client.leave();
  w.last_asked().say_now(ok("of the first"));
  CHECK(until_even_busy(w, [&] { return w.router->listener().connections() == 0; }));
  CHECK(w.sent() == 1);
}

// Guards against attempts for a client that disconnected before the router read what it had sent.
TEST_CASE("a request read together with the end of its connection is not forwarded") {
  World w(patient);
  REQUIRE(w.until([&] { return w.watched(); }));
  SUBCASE("on a new connection") {
    Raw client(w.router->port(), patient_get("/k/1", "r1"));
    client.leave();
  }
  SUBCASE("on a kept connection") {
    Raw client(w.router->port(), "GET /ready HTTP/1.1\r\n\r\n");
    REQUIRE(w.until([&] { return client.look(), client.answers.size() == 1; }));
    client.send(patient_get("/k/1", "r1"));
    client.leave();
  }
  SUBCASE("by a reset") {
    Raw client(w.router->port(), patient_get("/k/1", "r1"));
    client.reset();
  }
  pass_ms(150); // longer than the time after a disconnect in which an attempt may still begin
  Client other = w.client();
  CHECK(other.ask(get("/k/2", "r2")).status == 200);
  CHECK(w.until([&] { return w.router->driver().unanswered_requests() == 0; }));
  CHECK(w.sent() == 1); // the request of the other client
}

// Guards against sending a request that no client waits for when its connection is established.
TEST_CASE("a client that disconnects while the upstream connection is being established: nothing is sent") {
  World w(patient);
  Raw client(w.router->port(), book("r1"));
  REQUIRE(comes_up(w, 0));
  SUBCASE("by an end") { client.leave(); }
  SUBCASE("by a reset") { client.reset(); }
  pass_ms(150);
  REQUIRE(w.until([&] { return w.router->driver().unanswered_requests() == 0; }));
  run_for(w.base.get(), 20);
  CHECK(w.origin.connections == 1);
  CHECK(w.origin.seen.empty());
}

// Guards against a retry for a client that disconnected at the moment in which the first attempt failed.
TEST_CASE("a server reset together with a client disconnect: no further attempt") {
  World w(patient);
  w.caches(kSilent);
  Raw client(w.router->port(), patient_get("/k/1", "r1"));
  REQUIRE(w.until([&] { return w.sent() == 1; }));
  Peer& asked = w.last_asked();
  SUBCASE("the reset first") { asked.break_off(Peer::End::Reset), client.leave(); }
  SUBCASE("the client first") { client.leave(), asked.break_off(Peer::End::Reset); }
  CHECK(w.until([&] { return w.router->driver().unanswered_requests() == 0; }));
  run_for(w.base.get(), 20);
  CHECK(w.sent() == 1);
  CHECK(w.router->driver().attempts_in_flight() == 0);
}

// Guards against a crash and against a response on the next client's connection.
TEST_CASE("a client that disconnects as its response arrives") {
  World w(patient);
  w.caches(kSilent);
  Raw client(w.router->port(), patient_get("/k/1", "r1"));
  REQUIRE(w.until([&] { return w.sent() == 1; }));
  Peer& asked = w.last_asked();
  SUBCASE("by an end") { asked.say_now(ok("v")), client.leave(); }
  SUBCASE("by a reset") { asked.say_now(ok("v")), client.reset(); }
  SUBCASE("first") { client.leave(), asked.say_now(ok("v")); }
  CHECK(w.until([&] { return w.router->listener().connections() == 0; }));
  CHECK(w.router->driver().unanswered_requests() == 0);
  w.caches([](const http::Message& m) { return ok("v of " + m.target); });
  CHECK(w.client().ask(get("/k/2", "r2")).body == "v of /k/2");
  CHECK(w.sent() == 2);
}

// Guards against requests to the origin for disconnected clients.
TEST_CASE("a client that disconnects while its request is queued for the origin: it is not sent") {
  World w([](Json& file) {
    patient(file);
    file["settings"]["balancers"] = 32; // one write at a time
  });
  w.origin.script = kSilent;
  Raw first(w.router->port(), book("r1"));
  REQUIRE(w.until([&] { return w.origin.seen.size() == 1; }));
  Raw second(w.router->port(), book("r2")), third(w.router->port(), book("r3"));
  REQUIRE(w.until([&] { return w.router->driver().unanswered_requests() == 3; }));
  CHECK(w.router->driver().attempts_in_flight() == 1); // the others are queued
  second.leave();
  w.origin.say_now(ok("written")); // at the same moment
  w.origin.script = [](const http::Message&) { return ok("written"); };
  CHECK(
      w.until([&] { return first.look(), third.look(), !first.answers.empty() && !third.answers.empty(); }));
  CHECK(w.until([&] { return w.router->driver().unanswered_requests() == 0; }));
  for (const auto& seen : w.origin.seen) CHECK(seen.header("x-request-id") != "r2");
}

// Guards against requests that hang after the client whose request fetched for them has disconnected, and
// against fetches for no client.
TEST_CASE(
    "coalesced requests: if any client disconnects the others are served and its request is not forwarded") {
  World w(patient);
  bool stored = false;
  w.caches([&](const http::Message&) { return stored ? ok("v") : kMiss; });
  w.origin.script = kSilent;
  Raw leader(w.router->port(), patient_get("/k/1", "leader"));
  REQUIRE(w.until([&] { return w.origin.seen.size() == 1; }));
  Raw follower(w.router->port(), patient_get("/k/1", "follower"));
  REQUIRE(w.until([&] {
    return w.router->driver().unanswered_requests() == 2 && w.router->driver().attempts_in_flight() == 1;
  }));
  run_for(w.base.get(), 20);
  REQUIRE(w.origin.seen.size() == 1); // the second request is coalesced with the first
  const std::size_t before = w.sent();
  SUBCASE("the follower") {
    follower.leave();
    stored = true;
    w.origin.say_now(ok("v"));
    CHECK(w.until([&] { return leader.look(), !leader.answers.empty(); }));
    CHECK(w.until([&] { return w.router->driver().unanswered_requests() == 0; }));
    run_for(w.base.get(), 20);
    CHECK(w.sent() == before);
  }
  SUBCASE("the leader") {
    w.origin.script = [](const http::Message&) { return ok("v"); };
    leader.leave();
    CHECK(w.until([&] { return follower.look(), !follower.answers.empty(); }));
    CHECK(follower.answers.at(0).body == "v");
  }
}

namespace {

// A listening address whose connections are not established: its accept queue is full until clear_backlog().
// The connecting system then tries again a second later.
struct Late {
  Late() : listening(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof where;
    REQUIRE(bind(listening, reinterpret_cast<const sockaddr*>(&where), size) == 0);
    REQUIRE(listen(listening, 0) == 0);
    getsockname(listening, reinterpret_cast<sockaddr*>(&where), &size);
    fcntl(listening, F_SETFL, O_NONBLOCK);
    for (int i = 0; i < 2; ++i) {
      fills.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
      [[maybe_unused]] const int begun =
          ::connect(fills.back(), reinterpret_cast<const sockaddr*>(&where), size);
    }
    address = "127.0.0.1:" + std::to_string(ntohs(where.sin_port));
  }
  ~Late() {
    for (const int fd : fills) ::close(fd);
    for (const int fd : come) ::close(fd);
    ::close(listening);
  }
  void open() {
    for (const int fd : fills) loop::reset_on_close(fd), ::close(fd);
    fills.clear();
  }
  std::string take() { // reads what has arrived on all connections
    for (int fd; (fd = accept4(listening, nullptr, nullptr, SOCK_NONBLOCK)) >= 0;) come.push_back(fd);
    char bytes[65536];
    std::string text;
    for (const int fd : come) {
      for (ssize_t n; (n = recv(fd, bytes, sizeof bytes, 0)) > 0;)
        text.append(bytes, static_cast<std::size_t>(n));
    }
    return text;
  }
  int listening;
  std::vector<int> fills, come;
  std::string address;
};

} // namespace

// Guards against starting a long write for a disconnected client: the end of its connection was not read
// because there was no room for the body.
TEST_CASE(
    "a client that disconnects while its body is not read: nothing is sent when the connection is "
    "established") {
  Late origin;
  World w([&](Json& file) {
    patient(file);
    file["limits"]["request_bytes"] = 8 << 20;
    file["limits"]["memory_mb"] = 16; // only short bodies are kept in memory
    file["settings"]["limits"]["connect_timeout"] = 9000;
    file["known"]["endpoints"][2]["address"] = origin.address;
  });
  w.discovery.script = kSilent;
  Raw client(w.router->port(),
             "PUT /k/1 HTTP/1.1\r\nX-Request-ID: r1\r\nX-Priority-Class: book\r\nIdempotency-Key: k-1\r\n"
             "X-Timeout-Ms: 100000\r\nContent-Length: 6000000\r\n\r\n");
  // Sends until the router reads no more. This is well below the capacity of the kernel's buffers, so that
  // the end of the connection still arrives.
  for (std::size_t held = 0, same = 0; same < 3;) {
    client.send(std::string(8 << 10, 'b'));
    run_for(w.base.get(), 20);
    const std::size_t now = w.router->bytes().held();
    same = now > 0 && now == held ? same + 1 : 0;
    held = now;
  }
  REQUIRE(w.router->driver().attempts_in_flight() == 1);
  client.leave();
  pass_ms(150);
  origin.open();
  std::string written;
  CHECK(w.until([&] {
    written += origin.take();
    return w.router->driver().unanswered_requests() == 0 || !written.empty();
  }));
  run_for(w.base.get(), 20);
  written += origin.take();
  CHECK(written.empty());
}

// ---- connections that are established late ----

// Guards against a write that is executed twice because its key is no longer kept.
TEST_CASE(
    "an idempotency window that expires while the connection of a retry is being established: nothing is "
    "sent") {
  World w([](Json& file) {
    patient(file);
    file["settings"]["classes"][1]["window"] = 400;
  });
  w.origin.script = [](const http::Message&) { return std::string("!"); }; // it may have run
  Client client = w.client();
  client.send(book("r1"));
  REQUIRE(comes_up(w, 1)); // of the retry, which began within the window
  pass_ms(450);
  w.origin.script = [](const http::Message&) { return ok("twice"); };
  CHECK(w.until([&] { return !client.answers.empty() || client.closed; }));
  CHECK(w.origin.connections == 2);
  CHECK(w.origin.seen.size() == 1);
}

// Guards against work at a server for a request that has expired, and against sending a timeout that has
// already passed.
TEST_CASE("a request whose connection is established late sends the remaining timeout") {
  World w;
  REQUIRE(w.until([&] { return w.watched(); }));
  const auto asked = [&](int wait_ms, double passes_ms) {
    Client client = w.client();
    client.send(book("r1", wait_ms));
    REQUIRE(comes_up(w, 0));
    pass_ms(passes_ms);
    REQUIRE(w.until([&] { return !client.answers.empty(); }));
    return client.answers[0].status;
  };
  SUBCASE("some time remains") {
    CHECK(asked(2000, 500) == 200);
    REQUIRE(w.origin.seen.size() == 1);
    CHECK(std::stoi(std::string(w.origin.seen[0].header("x-timeout-ms"))) <= 1500);
  }
  SUBCASE("no time remains") {
    CHECK(asked(300, 350) >= 500);
    run_for(w.base.get(), 20);
    CHECK(w.origin.seen.empty());
  }
}

// Guards against requests to a server after discovery has reported it as draining (the third protocol
// rule), whatever the source of the report.
TEST_CASE(
    "a server reported as draining or gone while a connection to it is being established receives nothing") {
  std::string state;
  SUBCASE("draining") { state = "terminating"; }
  SUBCASE("gone") { state = "terminated"; }
  World w;
  REQUIRE(w.until([&] { return w.watched(); }));
  Client client = w.client();
  client.send(book("r1", 1000));
  REQUIRE(comes_up(w, 0));
  // Both events are in the sockets: the request is sent before the update is read, or not at all.
  w.discovery.say_now(ok(node_list(8, false, {endpoint("o-1", w.origin.address, state, "origin")}).dump()));
  REQUIRE(w.until([&] { return w.discovery.seen.back().target.find("since=8&") != std::string::npos; }));
  run_for(w.base.get(), 20);
  const std::size_t told = w.origin.seen.size();
  CHECK(told <= 1);
  CHECK(w.until([&] { return client.answers.size() == 1; }));
  CHECK(w.client().ask(book("r2", 300)).status >= 500);
  CHECK(w.origin.seen.size() == told);
}

// ---- responses ----

// Guards against delivering the response of one request to another.
TEST_CASE("a second response that arrives with the next request is not used for that request") {
  for (const std::string& extra : {ok("v of r1"), std::string("H"), std::string("\r\n")}) {
    for (const bool first : {true, false}) {
      CAPTURE(extra);
      CAPTURE(first);
      World w(patient);
      w.caches([](const http::Message& m) { return ok("v of " + std::string(m.header("x-request-id"))); });
      Raw next(w.router->port());
      Client client = w.client();
      CHECK(client.ask(get("/k/1", "r1")).body == "v of r1");
      Peer& asked = w.last_asked();
      if (first) asked.say_now(extra);
      next.send(get("/k/1", "r2"));
      if (!first) asked.say_now(extra);
      REQUIRE(w.until([&] { return next.look(), !next.answers.empty() || next.closed; }));
      REQUIRE(next.answers.size() == 1);
      CHECK(next.answers[0].body == "v of r2");
      CHECK(w.sent() == 2);
    }
  }
}

// Guards against a truncated response taken as complete.
TEST_CASE("a response without Content-Length ends with its connection but not with a reset") {
  World w(patient);
  const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
  w.caches([&](const http::Message&) { return w.sent() == 1 ? head + "half" : ok("whole"); });
  Raw client(w.router->port(), patient_get("/k/1", "r1"));
  REQUIRE(w.until([&] { return w.sent() == 1; }));
  run_for(w.base.get(), 20);
  Peer& asked = w.last_asked();
  SUBCASE("end of connection") {
    asked.say_now(" and half");
    asked.break_off(Peer::End::Half);
    REQUIRE(w.until([&] { return client.look(), !client.answers.empty() || client.closed; }));
    REQUIRE(client.answers.size() == 1);
    CHECK(client.answers[0].body == "half and half");
    CHECK(w.sent() == 1);
  }
  SUBCASE("a reset") {
    asked.break_off(Peer::End::Reset);
    REQUIRE(w.until([&] { return client.look(), !client.answers.empty() || client.closed; }));
    REQUIRE(client.answers.size() == 1);
    CHECK(client.answers[0].body == "whole"); // retried at another endpoint
  }
  SUBCASE("more of the body together with a reset") {
    asked.say_now(" and more");
    asked.break_off(Peer::End::Reset);
    REQUIRE(w.until([&] { return client.look(), !client.answers.empty() || client.closed; }));
    REQUIRE(client.answers.size() == 1);
    CHECK(client.answers[0].body == "whole");
  }
}

// The same after the head was forwarded: the client must be able to detect that the response is
// incomplete.
TEST_CASE("a response without Content-Length that is reset after its head was forwarded is incomplete") {
  World w(patient);
  const std::string part(1 << 20, 'p');
  w.caches([&](const http::Message&) { return "HTTP/1.1 200 OK\r\n\r\n" + part; });
  Client client = w.client();
  std::string request = patient_get("/k/1", "r1");
  bool old = false;
  SUBCASE("to a client that supports chunked encoding") {}
  SUBCASE("to a client that does not") { old = true; }
  if (old) request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
  client.send(request);
  REQUIRE(w.until([&] { return client.come() == part.size(); }));
  w.last_asked().break_off(Peer::End::Reset);
  REQUIRE(w.until([&] { return client.closed; }));
  CHECK(client.answers.empty());
  CHECK(client.reset == old);
  CHECK(w.sent() == 1);
}

// ---- discovery ----

// Guards against parser state lost between two reads on any of the three sides.
TEST_CASE("requests and responses and endpoint lists are parsed correctly one byte at a time") {
  World w(patient);
  REQUIRE(w.until([&] { return w.watched(); }));
  w.caches(kSilent);
  const auto turn = [&] { event_base_loop(w.base.get(), EVLOOP_NONBLOCK); };
  for (const char c : ok(node_list(8, false, {endpoint("s-1", w.one.address, "terminating")}).dump(2))) {
    w.discovery.say_now(std::string(1, c));
    turn(), turn();
  }
  REQUIRE(w.until([&] { return w.discovery.seen.back().target.find("since=8&") != std::string::npos; }));
  Raw client(w.router->port());
  for (const char c : patient_get("/k/1", "r1")) {
    client.send(std::string(1, c));
    turn(), turn();
  }
  REQUIRE(w.until([&] { return w.sent() == 1; }));
  CHECK(w.two.seen.size() == 1); // the other cache is draining
  for (const char c : ok("value")) {
    w.two.say_now(std::string(1, c));
    turn(), turn();
  }
  REQUIRE(w.until([&] { return client.look(), !client.answers.empty(); }));
  CHECK(client.answers[0].body == "value");
}

// Guards against applying a truncated update, and against losing an update with its connection.
TEST_CASE("a truncated update is ignored and the following snapshot is used") {
  World w;
  REQUIRE(w.until([&] { return w.watched(); }));
  const std::string change = ok(node_list(8, false, {endpoint("s-1", w.one.address, "terminating")}).dump());
  bool drains = false;
  w.discovery.script = [&](const http::Message& m) {
    if (m.target != "/v1/endpoints") return std::string();
    return ok(node_list(9, true, w.all(drains ? "terminating" : "in_service")).dump());
  };
  SUBCASE("by an end") {
    w.discovery.say_now(change.substr(0, change.size() - 1));
    w.discovery.break_off(Peer::End::Fin);
  }
  SUBCASE("by a reset while the server is draining") {
    drains = true;
    w.discovery.say_now(change.substr(0, change.size() / 2));
    w.discovery.break_off(Peer::End::Reset);
  }
  REQUIRE(w.until([&] { return w.discovery.seen.back().target.find("since=9&") != std::string::npos; }));
  Client client = w.client();
  for (int i = 0; i < 30; ++i)
    CHECK(client.ask(get("/k/" + std::to_string(i), std::to_string(i))).status == 200);
  CHECK(w.one.seen.empty() == drains);
}

// Guards against a drain that is never received because the watch stopped responding before it.
TEST_CASE("a watch that stops responding: a drain is received in time on the next watch") {
  World w;
  REQUIRE(w.until([&] { return w.watched(); }));
  const double silent_at = loop::now_ms();
  bool drains = false;
  w.discovery.script = [&](const http::Message& m) {
    return m.target == "/v1/endpoints"
               ? ok(node_list(9, true, w.all(drains ? "terminating" : "in_service")).dump())
               : std::string();
  };
  SUBCASE("before the first byte") {}
  SUBCASE("in the middle of a line") { w.discovery.say_now("HTTP/1.1 200 OK\r\nContent-Le"); }
  drains = true; // not reported on the open watch
  const auto anew = [&] { return w.discovery.seen.back().target.find("since=9&") != std::string::npos; };
  CHECK((w.until(anew) || w.until(anew)));
  CHECK(loop::now_ms() - silent_at < 12000); // 2 s after the end of the wait
  Client client = w.client();
  for (int i = 0; i < 20; ++i)
    CHECK(client.ask(get("/k/" + std::to_string(i), std::to_string(i))).status == 200);
  CHECK(w.one.seen.empty());
}

// ---- the router's own timeouts ----

namespace {

// The downstream listener without a router, with its own timeouts.
struct Door {
  explicit Door(const std::function<void(downstream::ListenerOptions&)>& change) {
    config = config::parse(config_json("127.0.0.1:1", nullptr).dump(), &no_environment);
    downstream::ListenerOptions options;
    options.address = "127.0.0.1:0";
    options.clients.max_clients = 20;
    change(options);
    downstream::ListenerCalls calls;
    calls.open = [this](loop::Handle client, proxy::ClientRequest call) {
      asked.push_back(call.id);
      last = client;
      return static_cast<loop::Handle>(asked.size());
    };
    calls.is_open = [](const std::string&) { return false; };
    calls.whole = calls.gone = calls.drained = [](loop::Handle) {};
    calls.ready = [] { return true; };
    calls.emptied = [] {};
    calls.recall = [] { return false; };
    listener = std::make_unique<downstream::Listener>(
        base.get(), deadlines, account, buffers, bytes, bodies, figures, options,
        downstream::Rules{config.names, config.settings, {}, false}, std::move(calls));
  }
  bool until(const std::function<bool()>& done) { return run_until(base.get(), done); }
  void refuse() { // a rejection is the simplest complete response
    proxy::ClientResponse answer{proxy::ClientResponse::Kind::Rejected,
                                 {{}, body_buffers::BufferBudget::Reservation(bytes)},
                                 "",
                                 1000};
    listener->send_response(last, std::move(answer));
  }

  router::BasePtr base = router::make_base();
  loop::TimerQueue deadlines{base.get()};
  descriptors::DescriptorBudget account{40};
  descriptors::RequestBufferBudget buffers{1 << 20};
  body_buffers::BufferBudget bytes{{}};
  proxy::BodyStores bodies{{}, bytes, ""};
  figures::Figures figures{{"read", "book"}};
  config::Config config;
  std::vector<std::string> asked;
  loop::Handle last = 0;
  std::unique_ptr<downstream::Listener> listener;
};

} // namespace

// Guards against a request that is read and lost because the idle timeout expired at the same moment.
TEST_CASE("a request that arrives as the idle timeout of its connection expires is answered") {
  Door d([](downstream::ListenerOptions& o) { o.idle_ms = 60, o.write_ms = 40; });
  Raw client(d.listener->port(), get("/k/1", "r1"));
  REQUIRE(d.until([&] { return d.asked.size() == 1; }));
  d.refuse();
  REQUIRE(d.until([&] { return client.look(), client.answers.size() == 1; }));
  pass_ms(80); // the idle timeout has expired, but the event loop has not run
  client.send(get("/k/1", "r2"));
  REQUIRE(d.until([&] { return client.look(), d.asked.size() == 2 || client.closed; }));
  REQUIRE(d.asked.size() == 2);
  d.refuse();
  CHECK(d.until([&] { return client.look(), client.answers.size() == 2; }));
  CHECK(d.until([&] { return client.look(), client.closed; })); // the idle timeout applies again
}

// The same for the first request of a connection.
TEST_CASE("a first request that arrives as the request timeout of its connection expires is answered") {
  Door d([](downstream::ListenerOptions& o) { o.request_ms = 60; });
  Raw client(d.listener->port()), silent(d.listener->port());
  REQUIRE(d.until([&] { return d.listener->connections() == 2; }));
  pass_ms(80);
  client.send(get("/k/1", "r1"));
  REQUIRE(d.until([&] { return client.look(), d.asked.size() == 1 || client.closed; }));
  REQUIRE(d.asked.size() == 1);
  d.refuse();
  CHECK(d.until([&] { return client.look(), client.answers.size() == 1; }));
  CHECK(d.until([&] { return silent.look(), silent.closed; }));
  // The silent client's connection is shut for sending; the router waits for its end no longer than that
  // timeout.
  CHECK(d.until([&] { return d.listener->connections() == 1; }));
}

// ---- the program as a separate process ----

namespace {

struct Started {
  explicit Started(const std::function<void(Json&)>& change = [](Json&) {}) {
    config = config_json(discovery.address, node_list(7, true, all("in_service")));
    change(config);
    program = std::make_unique<Program>(std::vector<std::string>{"serve"}, config);
    REQUIRE(until([&] { return program->port() != 0; }));
    REQUIRE(until([&] { return watched(discovery, 7); }));
  }
  std::vector<Json> all(const std::string& first) {
    return {endpoint("s-1", one.address, first), endpoint("s-2", two.address)};
  }
  std::string change(int index, const std::string& first) { // updates only the first cache
    return ok(node_list(index, false, {endpoint("s-1", one.address, first)}).dump());
  }
  static bool watched(const Peer& who, int index) {
    return !who.seen.empty() &&
           who.seen.back().target.find("since=" + std::to_string(index) + "&") != std::string::npos;
  }
  bool until(const std::function<bool()>& done) { return run_until(base.get(), done); }
  bool answered(Raw& client, std::size_t times = 1) {
    until([&] { return client.look(), client.answers.size() >= times || client.closed; });
    return client.answers.size() == times;
  }
  bool closed(Raw& client) {
    return until([&] { return client.look(), client.closed; });
  }
  int port() { return program->port(); }
  std::set<std::string> sent_on() const {
    std::set<std::string> ids;
    for (const Peer* peer : {&one, &two})
      for (const auto& seen : peer->seen) ids.emplace(seen.header("x-request-id"));
    return ids;
  }
  bool ends() {
    return until([&] { return program->ended(); }) && program->code == 0;
  }

  router::BasePtr base = router::make_base();
  Peer one{base.get(), [](const http::Message& m) { return ok("v of " + m.target); }};
  Peer two{base.get(), [](const http::Message& m) { return ok("v of " + m.target); }};
  Peer discovery{base.get(), [this](const http::Message& m) {
                   return m.target == "/v1/endpoints" ? ok(node_list(7, true, all("in_service")).dump())
                                                      : std::string();
                 }};
  Json config;
  std::unique_ptr<Program> program;
};

// Uses all the time that the platform grants: draining begins 1.5 s after SIGTERM, and the process exits 2.1
// s later.
void longest(Json& file) {
  for (auto& c : file["settings"]["classes"]) c["give_up"] = 3000;
}

std::string half(const std::string& text) { return text.substr(0, text.size() / 2); }
std::string other_half(const std::string& text) { return text.substr(text.size() / 2); }

} // namespace

// Guards against requests lost with a connection that the router closes at shutdown.
TEST_CASE("SIGTERM together with unread requests: all of them are answered") {
  Started s;
  Raw kept(s.port(), get("/k/1", "r1")), half_sent(s.port(), get("/k/1", "r2")),
      rests(s.port(), get("/k/1", "r3"));
  REQUIRE(s.answered(kept));
  REQUIRE(s.answered(half_sent));
  REQUIRE(s.answered(rests));
  s.program->hold();
  const std::string rest = get("/k/2", "r6");
  kept.send(get("/k/2", "r4"));
  Raw fresh(s.port(), get("/k/2", "r5"));
  half_sent.send(half(rest));
  s.program->signal(SIGTERM);
  s.program->go_on();
  CHECK(s.answered(kept, 2));
  CHECK(s.answered(fresh));
  CHECK(s.closed(rests)); // draining has begun: only connections with an incomplete request are kept
  half_sent.send(other_half(rest));
  REQUIRE(s.answered(half_sent, 2));
  CHECK(half_sent.answers[1].status == 200);
  CHECK_FALSE(half_sent.answers[1].keep_alive);
  CHECK(s.closed(half_sent));
  CHECK(s.ends());
  for (const Raw* client : {&kept, &fresh}) CHECK(client->answers.back().status == 200);
}

// Guards against connections that the kernel has accepted and that are reset with the listening socket.
TEST_CASE("connections in the accept queue when the listening socket closes are served") {
  double behind_ms = 0;
  SUBCASE("as accepting ends") { behind_ms = 600; }
  SUBCASE("as accepting ends and draining begins at the same time") { behind_ms = 1600; }
  Started s(longest);
  s.program->signal(SIGTERM);
  REQUIRE(s.until([&] { return s.program->says("graceful-shutdown"); }));
  s.program->hold();
  pass_ms(behind_ms);
  const std::string text = get("/k/1", "r2");
  Raw whole(s.port(), get("/k/1", "r1")), half_sent(s.port(), half(text));
  s.program->go_on();
  REQUIRE(s.answered(whole));
  CHECK(whole.answers[0].status == 200);
  half_sent.send(other_half(text));
  REQUIRE(s.answered(half_sent));
  CHECK(half_sent.answers[0].status == 200);
  CHECK(s.ends());
}

// Guards against queued connections reset for lack of a descriptor while idle connections hold some.
TEST_CASE(
    "the listening socket closes without free descriptors: idle clients are closed to accept waiting ones") {
  Started s;
  std::vector<std::unique_ptr<Raw>> rest, wait;
  for (int i = 0; i < 8; ++i) {
    rest.push_back(std::make_unique<Raw>(s.port(), get("/k/1", "r" + std::to_string(i))));
    REQUIRE(s.answered(*rest.back()));
  }
  s.program->signal(SIGTERM);
  REQUIRE(s.until([&] { return s.program->says("graceful-shutdown"); }));
  s.program->hold();
  pass_ms(600);
  s.program->limit_descriptors(static_cast<rlim_t>(s.program->descriptors())); // none is free
  for (int i = 0; i < 3; ++i)
    wait.push_back(std::make_unique<Raw>(s.port(), get("/k/1", "w" + std::to_string(i))));
  s.program->go_on();
  for (auto& client : wait) {
    const bool answered = s.answered(*client);
    s.program->says("");
    INFO(s.program->text);
    CHECK(answered);
  }
  CHECK(s.ends());
}

// Guards against requests that are read and dropped as draining starts, and against forwarding requests
// behind the last response of a connection.
TEST_CASE(
    "idle clients at shutdown: a request that arrives as draining starts is answered and none behind it is "
    "forwarded") {
  Started s(longest);
  std::vector<std::unique_ptr<Raw>> meet, rest;
  for (int i = 0; i < 5; ++i) {
    for (auto* clients : {&meet, &rest}) {
      clients->push_back(std::make_unique<Raw>(s.port(), get("/k/1", "r")));
      REQUIRE(s.answered(*clients->back()));
    }
  }
  const double told = loop::now_ms();
  s.program->signal(SIGTERM);
  REQUIRE(s.until([&] { return s.program->says("graceful-shutdown"); }));
  s.program->hold();
  pass_ms(1600); // draining is due but has not begun
  for (std::size_t i = 0; i < meet.size(); ++i) meet[i]->send(get("/k/2", "meets" + std::to_string(i)));
  s.program->go_on();
  const double went_on = loop::now_ms() - told;
  CAPTURE(went_on);
  for (auto& client : rest) {
    REQUIRE(s.closed(*client));
    CHECK(client->answers.size() == 1);
    client->send(get("/k/3", "behind"));
  }
  for (auto& client : meet) {
    const bool answered = s.answered(*client, 2);
    s.program->says(""); // reads the output
    INFO(s.program->text);
    REQUIRE(answered);
    CHECK(client->answers[1].status == 200);
    CHECK_FALSE(client->answers[1].keep_alive);
    client->send(get("/k/3", "behind"));
  }
  for (auto& client : meet) CHECK(s.closed(*client));
  CHECK(s.ends());
  CHECK(s.sent_on().count("behind") == 0);
}

// Guards against a router that never exits, or that exits with unanswered requests, while its clients
// continue to send.
TEST_CASE(
    "clients that continue sending after SIGTERM: forwarded requests are answered and the router exits") {
  Started s;
  std::vector<std::unique_ptr<Raw>> clients;
  std::vector<std::size_t> sent(8, 0);
  for (std::size_t i = 0; i < sent.size(); ++i) clients.push_back(std::make_unique<Raw>(s.port()));
  Raw flood(s.port());
  int answers = 0;
  const auto go_on = [&] {
    for (std::size_t i = 0; i < sent.size(); ++i) {
      clients[i]->look();
      // Sends also after a response with Connection: close.
      if (clients[i]->answers.size() < sent[i]) continue;
      clients[i]->send(get("/k/" + std::to_string(i), std::to_string(i) + "-" + std::to_string(sent[i])));
      ++sent[i];
      ++answers;
    }
    flood.look();
    flood.send(get("/flood", "f" + std::to_string(answers)));
    return s.program->ended();
  };
  REQUIRE(s.until([&] { return go_on(), answers > 100; }));
  s.program->signal(SIGTERM);
  const double told = loop::now_ms();
  CHECK(s.until(go_on));
  CHECK(s.program->code == 0);
  CHECK(loop::now_ms() - told < 3700); // then the platform kills the process; the router's own limit is 2.6 s
  const auto ids = s.sent_on();
  for (std::size_t i = 0; i < sent.size(); ++i) {
    REQUIRE(s.closed(*clients[i]));
    for (std::size_t k = clients[i]->answers.size(); k < sent[i]; ++k)
      CHECK(ids.count(std::to_string(i) + "-" + std::to_string(k)) == 0);
  }
}

// Guards against a drain that is missed while the watch moves to another discovery.
TEST_CASE(
    "SIGHUP together with a drain: the server receives no more requests whichever discovery reported it") {
  Started s;
  std::string told;
  Peer next(s.base.get(),
            [&](const http::Message& m) { return m.target == "/v1/endpoints" ? told : std::string(); });
  const auto moves = [&] {
    s.config["discovery"] = next.address;
    s.program->rewrite(s.config.dump());
    s.program->signal(SIGHUP);
  };
  SUBCASE("the old discovery reports it and the new one is silent") {
    bool first = false;
    SUBCASE("the list arrives first") { first = true; }
    SUBCASE("the signal arrives first") {}
    s.program->hold();
    if (first) s.discovery.say_now(s.change(8, "terminating"));
    moves();
    if (!first) s.discovery.say_now(s.change(8, "terminating"));
    s.program->go_on();
    REQUIRE(s.until([&] { return Started::watched(s.discovery, 8); }));
    REQUIRE(s.until([&] { return s.program->says("reload-discovery-moves"); }));
  }
  SUBCASE("the new discovery reports it and the old one reports the opposite") {
    bool old_first = false;
    SUBCASE("the old one first") { old_first = true; }
    SUBCASE("the new one first") {}
    moves();
    REQUIRE(s.until([&] { return next.seen.size() == 1; }));
    s.program->hold();
    if (old_first) s.discovery.say_now(s.change(9, "in_service"));
    next.say_now(ok(node_list(3, true, s.all("terminating")).dump()));
    if (!old_first) s.discovery.say_now(s.change(9, "in_service"));
    s.program->go_on();
    REQUIRE(s.until([&] { return s.program->says("discovery-connected"); }));
  }
  SUBCASE("the new discovery reports it in an update") {
    told = ok(node_list(3, true, s.all("in_service")).dump());
    moves();
    REQUIRE(s.until([&] { return Started::watched(next, 3); }));
    s.program->hold();
    next.say_now(s.change(4, "terminating"));
    s.program->signal(SIGHUP); // a second reload
    s.program->go_on();
    REQUIRE(s.until([&] { return Started::watched(next, 4); }));
  }
  Raw client(s.port());
  for (std::size_t i = 0; i < 20; ++i) {
    client.send(get("/k/" + std::to_string(i), std::to_string(i)));
    REQUIRE(s.answered(client, i + 1));
    INFO(s.program->text);
    CHECK(client.answers[i].status == 200);
  }
  CHECK(s.one.seen.empty());
}

// Guards against losing a list with a drain during shutdown, while requests on kept connections are still
// served.
TEST_CASE("SIGTERM together with a drain: later requests go to another server") {
  Started s;
  Raw client(s.port(), get("/k/1", "r"));
  REQUIRE(s.answered(client));
  const std::size_t before = s.one.seen.size();
  s.program->hold();
  s.program->signal(SIGTERM);
  s.discovery.say_now(s.change(8, "terminating"));
  s.program->go_on();
  REQUIRE(s.until([&] { return Started::watched(s.discovery, 8); }));
  for (std::size_t i = 1; i < 10; ++i) {
    client.send(get("/k/" + std::to_string(i), std::to_string(i)));
    if (!s.answered(client, i + 1)) break; // the router closed the connection between two requests
    CHECK(client.answers[i].status == 200);
  }
  CHECK(client.answers.size() > 1);
  CHECK(s.one.seen.size() == before);
  CHECK(s.ends());
}

// Guards against a client that waits for a process that no longer exists, or that is served twice.
TEST_CASE(
    "killed with a connection in the accept queue: its client is notified immediately and the next process "
    "serves it") {
  Started s;
  const int port = s.port();
  s.program->hold();
  Raw client(port, get("/k/1", "r1")), silent(port);
  s.program->signal(SIGKILL);
  REQUIRE(s.until([&] { return s.program->ended(); }));
  CHECK(s.closed(client));
  CHECK(s.closed(silent));
  CHECK(client.answers.empty());
  CHECK(s.sent_on().empty());
  s.config["listen"] = "127.0.0.1:" + std::to_string(port);
  const std::size_t calls = s.discovery.seen.size();
  Program again({"serve"}, s.config);
  REQUIRE(s.until([&] { return again.port() == port; }));
  REQUIRE(s.until([&] { return s.discovery.seen.size() > calls + 1; })); // it has its list and watches
  Raw once_more(port, get("/k/1", "r1"));
  REQUIRE(s.answered(once_more));
  CHECK(once_more.answers[0].status == 200);
}

// Guards against a router that receives no drains, does not answer its operators or uses a full CPU
// because clients hold all descriptors.
TEST_CASE(
    "clients hold all the descriptors they may: discovery and the control address and a server keep theirs") {
  const int control = free_port();
  Started s([&](Json& file) {
    file["limits"]["sockets"] = 64;
    file["control"] = "127.0.0.1:" + std::to_string(control);
  });
  s.program->limit_descriptors(64);
  std::vector<std::unique_ptr<Raw>> crowd;
  for (int i = 0; i < 120; ++i) { // without, with an incomplete and with a complete request
    const std::string text = get("/k/" + std::to_string(i), "c" + std::to_string(i));
    crowd.push_back(std::make_unique<Raw>(s.port(), i % 3 == 0 ? "" : i % 3 == 1 ? half(text) : text));
  }
  run_for(s.base.get(), 100);
  const double cpu = s.program->use().cpu_ms;
  run_for(s.base.get(), 500);
  CHECK(s.program->use().cpu_ms - cpu < 250); // of 500
  s.discovery.script = [&](const http::Message& m) {
    return m.target == "/v1/endpoints" ? ok(node_list(8, true, s.all("terminating")).dump()) : std::string();
  };
  s.discovery.break_off(Peer::End::Reset);
  CHECK(s.until([&] { return Started::watched(s.discovery, 8); }));
  Raw operators(control, "ready\n");
  CHECK(s.closed(operators));
  CHECK(operators.told == "ok\n");
  const std::size_t before = s.one.seen.size();
  Raw client(s.port(), get("/k/1", "r"));
  REQUIRE(s.answered(client));
  CHECK(client.answers[0].status == 200);
  CHECK(s.one.seen.size() == before);
}

// Guards against a full CPU for as long as a request waits whose client has sent much behind it.
TEST_CASE("unread bytes behind a waiting request use no CPU and the request is answered") {
  Started s([](Json& file) { patient(file); });
  s.one.script = s.two.script = kSilent;
  Raw client(s.port(), patient_get("/k/1", "r1"));
  REQUIRE(s.until([&] { return !s.sent_on().empty(); }));
  client.send(many_behind(40 << 10));
  run_for(s.base.get(), 50);
  const double cpu = s.program->use().cpu_ms;
  run_for(s.base.get(), 500);
  CHECK(s.program->use().cpu_ms - cpu < 250); // of 500
  Peer& asked = s.one.seen.empty() ? s.two : s.one;
  asked.say(ok("of the first"));
  REQUIRE(s.until([&] { return client.look(), !client.answers.empty() || client.closed; }));
  REQUIRE(!client.answers.empty());
  CHECK(client.answers[0].body == "of the first");
}
