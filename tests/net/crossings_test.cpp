// Crossings: two events that meet in the same moment, in the order that hurts. The order is forced. Within one process the
// router's loop does not run while both are put into its sockets; a started program is stopped with SIGSTOP meanwhile. A
// span that has to pass (a deadline, a window) passes while nothing runs: to be slower changes no verdict.
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

void pass_ms(double ms) { // nothing runs meanwhile
  const double end = loop::now_ms() + ms;
  while (loop::now_ms() < end) usleep(1000);
}

// So patient that no time of its own ends a request in the time of a test.
void patient(Json& file) {
  for (auto& c : file["settings"]["classes"]) c["aim"] = c["give_up"] = 100000;
}
std::string patient_get(const std::string& path, const std::string& id) {
  return "GET " + path + " HTTP/1.1\r\nX-Request-ID: " + id +
         "\r\nX-Priority-Class: read\r\nX-Timeout-Ms: 100000\r\n\r\n";
}
std::string many_behind(std::size_t bytes) { // further requests of the same client
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

// Up to the moment in which the router waits for one connection more, to the origin: it is up already, but neither side's
// loop has looked.
bool comes_up(World& w, std::uint64_t opened) {
  return w.until([&] { return w.router->pool().opened() > opened; }) &&
         w.origin.connections == static_cast<int>(opened);
}

// As World::until, and ends also where the loop never comes to rest.
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

// ---- a client that leaves ----

// guards: attempts for clients that have gone, as their end lies behind bytes that the router does not read yet
TEST_CASE("a client that leaves with much unread behind its request is seen to leave") {
  World w(patient);
  w.caches(kSilent);
  Raw client(w.router->port(), patient_get("/k/1", "r1"));
  REQUIRE(w.until([&] { return w.sent() == 1; }));
  client.send(many_behind(40 << 10)); // far more than is read ahead
  client.leave();
  REQUIRE(until_even_busy(w, [&] { return w.router->driver().unanswered_requests() == 0; }));
  CHECK(w.until([&] { return w.router->driver().attempts_in_flight() == 0; }));
  run_for(w.base.get(), 20);
  CHECK(w.sent() == 1);
}

// guards: the next requests of a client that has gone, sent on once the answer before them is out
TEST_CASE("a client that leaves with requests behind the first: none of them is sent on") {
  std::size_t behind = 0;
  SUBCASE("a few") { behind = 1 << 10; }
  SUBCASE("more than is read ahead") { behind = 40 << 10; }
  World w(patient);
  w.caches(kSilent);
  Raw client(w.router->port(), patient_get("/k/1", "r1") + many_behind(behind));
  REQUIRE(w.until([&] { return w.sent() == 1; }));
  client.leave();
  w.last_asked().say_now(ok("of the first"));
  CHECK(until_even_busy(w, [&] { return w.router->listener().connections() == 0; }));
  CHECK(w.sent() == 1);
}

// guards: attempts for a client that went before the router came to read what it had sent
TEST_CASE("a request and its client's end that lie in the socket together: nothing is sent on") {
  World w(patient);
  REQUIRE(w.until([&] { return w.watched(); }));
  SUBCASE("on a new connection") {
    Raw client(w.router->port(), patient_get("/k/1", "r1"));
    client.leave();
  }
  SUBCASE("on a kept one") {
    Raw client(w.router->port(), "GET /ready HTTP/1.1\r\n\r\n");
    REQUIRE(w.until([&] { return client.look(), client.answers.size() == 1; }));
    client.send(patient_get("/k/1", "r1"));
    client.leave();
  }
  SUBCASE("by a reset") {
    Raw client(w.router->port(), patient_get("/k/1", "r1"));
    client.reset();
  }
  pass_ms(150); // it has been gone for longer than an attempt may begin behind it
  Client other = w.client();
  CHECK(other.ask(get("/k/2", "r2")).status == 200);
  CHECK(w.until([&] { return w.router->driver().unanswered_requests() == 0; }));
  CHECK(w.sent() == 1); // the other's
}

// guards: a request written for nobody once its connection is up
TEST_CASE("a client that leaves while its request's connection comes up: nothing is written") {
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

// guards: a further attempt for a client that went in the moment in which the first one broke
TEST_CASE("a target that resets as the client leaves: no further attempt") {
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

// guards: a crash, or an answer on the next client's connection
TEST_CASE("a client that leaves as its answer comes") {
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

// guards: the origin asked for clients that have gone
TEST_CASE("a client that leaves while its request waits in the origin's queue: it is not sent") {
  World w([](Json& file) {
    patient(file);
    file["settings"]["balancers"] = 32; // one write at a time
  });
  w.origin.script = kSilent;
  Raw first(w.router->port(), book("r1"));
  REQUIRE(w.until([&] { return w.origin.seen.size() == 1; }));
  Raw second(w.router->port(), book("r2")), third(w.router->port(), book("r3"));
  REQUIRE(w.until([&] { return w.router->driver().unanswered_requests() == 3; }));
  CHECK(w.router->driver().attempts_in_flight() == 1); // the others wait
  second.leave();
  w.origin.say_now(ok("written")); // in the same moment
  w.origin.script = [](const http::Message&) { return ok("written"); };
  CHECK(
      w.until([&] { return first.look(), third.look(), !first.answers.empty() && !third.answers.empty(); }));
  CHECK(w.until([&] { return w.router->driver().unanswered_requests() == 0; }));
  for (const auto& seen : w.origin.seen) CHECK(seen.header("x-request-id") != "r2");
}

// guards: requests that hang where the one that fetched for them has gone, and fetches for nobody
TEST_CASE("one fetch for several clients: whoever leaves it, the others are served and it is not sent on") {
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
  REQUIRE(w.origin.seen.size() == 1); // it follows
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

// An address whose connections do not come up: its queue is full until `open`, and the system tries again a second later.
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
  std::string take() { // what has come, on all connections
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

// guards: a long booking begun for a client that has gone, as its end was not read for want of room for the body
TEST_CASE("a client that leaves while its body is not read: nothing is written once the connection is up") {
  Late origin;
  World w([&](Json& file) {
    patient(file);
    file["limits"]["request_bytes"] = 8 << 20;
    file["limits"]["memory_mb"] = 16; // no body that is longer than a short one is kept
    file["settings"]["limits"]["connect_timeout"] = 9000;
    file["known"]["endpoints"][2]["address"] = origin.address;
  });
  w.discovery.script = kSilent;
  Raw client(w.router->port(),
             "PUT /k/1 HTTP/1.1\r\nX-Request-ID: r1\r\nX-Priority-Class: book\r\nIdempotency-Key: k-1\r\n"
             "X-Timeout-Ms: 100000\r\nContent-Length: 6000000\r\n\r\n");
  // More and more, until no more is taken: well below what the kernel holds besides, so that the end gets through.
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

// ---- a connection that comes up late ----

// guards: a booking made twice, as its key is kept no longer
TEST_CASE("a key's window that passes while a further attempt's connection comes up: nothing is written") {
  World w([](Json& file) {
    patient(file);
    file["settings"]["classes"][1]["window"] = 400;
  });
  w.origin.script = [](const http::Message&) { return std::string("!"); }; // it may have run
  Client client = w.client();
  client.send(book("r1"));
  REQUIRE(comes_up(w, 1)); // the further attempt's, begun within the window
  pass_ms(450);
  w.origin.script = [](const http::Message&) { return ok("twice"); };
  CHECK(w.until([&] { return !client.answers.empty() || client.closed; }));
  CHECK(w.origin.connections == 2);
  CHECK(w.origin.seen.size() == 1);
}

// guards: work at a node that nobody waits for any more, or that is told a time that has passed
TEST_CASE("a request whose connection comes up late tells the time that is left then") {
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
  SUBCASE("some is left") {
    CHECK(asked(2000, 500) == 200);
    REQUIRE(w.origin.seen.size() == 1);
    CHECK(std::stoi(std::string(w.origin.seen[0].header("x-timeout-ms"))) <= 1500);
  }
  SUBCASE("none is left") {
    CHECK(asked(300, 350) >= 500);
    run_for(w.base.get(), 20);
    CHECK(w.origin.seen.empty());
  }
}

// guards: the third rule, whatever told the drain
TEST_CASE("a node that is told draining or gone while a connection to it comes up gets nothing") {
  std::string state;
  SUBCASE("draining") { state = "terminating"; }
  SUBCASE("gone") { state = "terminated"; }
  World w;
  REQUIRE(w.until([&] { return w.watched(); }));
  Client client = w.client();
  client.send(book("r1", 1000));
  REQUIRE(comes_up(w, 0));
  // Both lie in the sockets: it is written to before the change is read, or not at all.
  w.discovery.say_now(ok(node_list(8, false, {endpoint("o-1", w.origin.address, state, "origin")}).dump()));
  REQUIRE(w.until([&] { return w.discovery.seen.back().target.find("since=8&") != std::string::npos; }));
  run_for(w.base.get(), 20);
  const std::size_t told = w.origin.seen.size();
  CHECK(told <= 1);
  CHECK(w.until([&] { return client.answers.size() == 1; }));
  CHECK(w.client().ask(book("r2", 300)).status >= 500);
  CHECK(w.origin.seen.size() == told);
}

// ---- answers ----

// guards: the answer of one request given to another
TEST_CASE("a second answer that comes as the next request does: the next one is answered by its own") {
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

// guards: half an answer taken for a whole one
TEST_CASE("an answer without length: its connection's end is its end, a reset is none") {
  World w(patient);
  const std::string head = "HTTP/1.1 200 OK\r\n\r\n";
  w.caches([&](const http::Message&) { return w.sent() == 1 ? head + "half" : ok("whole"); });
  Raw client(w.router->port(), patient_get("/k/1", "r1"));
  REQUIRE(w.until([&] { return w.sent() == 1; }));
  run_for(w.base.get(), 20);
  Peer& asked = w.last_asked();
  SUBCASE("an end") {
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
    CHECK(client.answers[0].body == "whole"); // asked for elsewhere
  }
  SUBCASE("more of it and a reset at once") {
    asked.say_now(" and more");
    asked.break_off(Peer::End::Reset);
    REQUIRE(w.until([&] { return client.look(), !client.answers.empty() || client.closed; }));
    REQUIRE(client.answers.size() == 1);
    CHECK(client.answers[0].body == "whole");
  }
}

// guards: the same, long after the head went out: the client has to be able to tell
TEST_CASE("an answer without length that is reset long after its head was passed on is no whole answer") {
  World w(patient);
  const std::string part(1 << 20, 'p');
  w.caches([&](const http::Message&) { return "HTTP/1.1 200 OK\r\n\r\n" + part; });
  Client client = w.client();
  std::string request = patient_get("/k/1", "r1");
  bool old = false;
  SUBCASE("to a client that knows chunks") {}
  SUBCASE("to one that does not") { old = true; }
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

// guards: state lost between two reads, on any of the three sides
TEST_CASE("request, answer and list that come a byte at a time read the same") {
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
  CHECK(w.two.seen.size() == 1); // the other one drains
  for (const char c : ok("value")) {
    w.two.say_now(std::string(1, c));
    turn(), turn();
  }
  REQUIRE(w.until([&] { return client.look(), !client.answers.empty(); }));
  CHECK(client.answers[0].body == "value");
}

// guards: a half-told change that is believed, or one that is lost with its connection
TEST_CASE(
    "a change that breaks off in the middle: the whole list that follows counts, and nothing before it") {
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
  SUBCASE("by a reset, and the node does drain") {
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

// guards: a drain that is never heard, as the watch fell silent before it
TEST_CASE("a watch that falls silent: a drain is heard in time on the one that is opened anew") {
  World w;
  REQUIRE(w.until([&] { return w.watched(); }));
  const double silent_at = loop::now_ms();
  bool drains = false;
  w.discovery.script = [&](const http::Message& m) {
    return m.target == "/v1/endpoints"
               ? ok(node_list(9, true, w.all(drains ? "terminating" : "in_service")).dump())
               : std::string();
  };
  SUBCASE("at once") {}
  SUBCASE("in the middle of a line") { w.discovery.say_now("HTTP/1.1 200 OK\r\nContent-Le"); }
  drains = true; // and the open watch says nothing of it
  const auto anew = [&] { return w.discovery.seen.back().target.find("since=9&") != std::string::npos; };
  CHECK((w.until(anew) || w.until(anew)));
  CHECK(loop::now_ms() - silent_at < 12000); // 2 s after the wait is over
  Client client = w.client();
  for (int i = 0; i < 20; ++i)
    CHECK(client.ask(get("/k/" + std::to_string(i), std::to_string(i))).status == 200);
  CHECK(w.one.seen.empty());
}

// ---- the router's own times ----

namespace {

// The client's side alone, with times of its own.
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
  void refuse() { // whatever is a whole answer
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

// guards: a request that was read and lost, as the connection's time was over in the same moment
TEST_CASE("a request that comes as its connection has rested for long enough: it is answered") {
  Door d([](downstream::ListenerOptions& o) { o.idle_ms = 60, o.write_ms = 40; });
  Raw client(d.listener->port(), get("/k/1", "r1"));
  REQUIRE(d.until([&] { return d.asked.size() == 1; }));
  d.refuse();
  REQUIRE(d.until([&] { return client.look(), client.answers.size() == 1; }));
  pass_ms(80); // its time is over, and the loop has not seen it
  client.send(get("/k/1", "r2"));
  REQUIRE(d.until([&] { return client.look(), d.asked.size() == 2 || client.closed; }));
  REQUIRE(d.asked.size() == 2);
  d.refuse();
  CHECK(d.until([&] { return client.look(), client.answers.size() == 2; }));
  CHECK(d.until([&] { return client.look(), client.closed; })); // the next rest has the same time
}

// guards: the same with the first request of a connection
TEST_CASE("a first request that comes as its connection has been silent for long enough: it is answered") {
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
  CHECK(d.until(
      [&] { return d.listener->connections() == 1; })); // told the end, it is waited for no longer than that
}

// ---- a started program ----

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
  std::string change(int index, const std::string& first) { // of the first alone
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
  std::set<std::string> sent_on() const { // ids
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

// As long as the platform waits: the drain begins 1.5 s after SIGTERM, and the process ends 2.1 s later.
void longest(Json& file) {
  for (auto& c : file["settings"]["classes"]) c["give_up"] = 3000;
}

std::string half(const std::string& text) { return text.substr(0, text.size() / 2); }
std::string other_half(const std::string& text) { return text.substr(text.size() / 2); }

} // namespace

// guards: requests lost with the connection that a router closes as it ends
TEST_CASE("SIGTERM together with requests that nobody has read: all of them are answered") {
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
  CHECK(s.closed(rests)); // the drain: half a request is kept beyond it
  half_sent.send(other_half(rest));
  REQUIRE(s.answered(half_sent, 2));
  CHECK(half_sent.answers[1].status == 200);
  CHECK_FALSE(half_sent.answers[1].keep_alive);
  CHECK(s.closed(half_sent));
  CHECK(s.ends());
  for (const Raw* client : {&kept, &fresh}) CHECK(client->answers.back().status == 200);
}

// guards: connections that the kernel had taken, reset with the listening socket
TEST_CASE("connections that wait to be accepted as the listening socket closes: all are served") {
  double behind_ms = 0;
  SUBCASE("as accepting ends") { behind_ms = 600; }
  SUBCASE("as accepting ends and the drain begins, both at once") { behind_ms = 1600; }
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

// guards: connections in the queue reset for want of a descriptor, while others rest
TEST_CASE(
    "the listening socket closes as descriptors are short: who waits is accepted in place of who rests") {
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
  s.program->limit_descriptors(static_cast<rlim_t>(s.program->descriptors())); // not one more
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

// guards: requests read and dropped at the drain; requests sent on behind a connection's end
TEST_CASE(
    "clients that rest until the router ends: a request that meets the drain is answered, none behind it") {
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
  pass_ms(1600); // the drain is due, and has not begun
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
    s.program->says(""); // reads what it has said
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

// guards: a router that never ends, or ends with requests unanswered, as its clients go on
TEST_CASE(
    "clients that never stop sending after SIGTERM: what was sent on is answered, and the router ends") {
  Started s;
  std::vector<std::unique_ptr<Raw>> clients;
  std::vector<std::size_t> sent(8, 0);
  for (std::size_t i = 0; i < sent.size(); ++i) clients.push_back(std::make_unique<Raw>(s.port()));
  Raw flood(s.port());
  int answers = 0;
  const auto go_on = [&] {
    for (std::size_t i = 0; i < sent.size(); ++i) {
      clients[i]->look();
      if (clients[i]->answers.size() < sent[i]) continue; // also on one that was told to end
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
  CHECK(loop::now_ms() - told < 3700); // the platform kills then; what it allows itself is 2.6 s
  const auto ids = s.sent_on();
  for (std::size_t i = 0; i < sent.size(); ++i) {
    REQUIRE(s.closed(*clients[i]));
    for (std::size_t k = clients[i]->answers.size(); k < sent[i]; ++k)
      CHECK(ids.count(std::to_string(i) + "-" + std::to_string(k)) == 0);
  }
}

// guards: a drain that is missed while the watch moves to another discovery
TEST_CASE("SIGHUP and a drain in the same moment: the node gets nothing more, whoever told it") {
  Started s;
  std::string told;
  Peer next(s.base.get(),
            [&](const http::Message& m) { return m.target == "/v1/endpoints" ? told : std::string(); });
  const auto moves = [&] {
    s.config["discovery"] = next.address;
    s.program->rewrite(s.config.dump());
    s.program->signal(SIGHUP);
  };
  SUBCASE("the old discovery tells, the new one is silent") {
    bool first = false;
    SUBCASE("the list lies there first") { first = true; }
    SUBCASE("the signal comes first") {}
    s.program->hold();
    if (first) s.discovery.say_now(s.change(8, "terminating"));
    moves();
    if (!first) s.discovery.say_now(s.change(8, "terminating"));
    s.program->go_on();
    REQUIRE(s.until([&] { return Started::watched(s.discovery, 8); }));
    REQUIRE(s.until([&] { return s.program->says("reload-discovery-moves"); }));
  }
  SUBCASE("the new one tells, the old one something else") {
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
  SUBCASE("the new one tells in a change") {
    told = ok(node_list(3, true, s.all("in_service")).dump());
    moves();
    REQUIRE(s.until([&] { return Started::watched(next, 3); }));
    s.program->hold();
    next.say_now(s.change(4, "terminating"));
    s.program->signal(SIGHUP); // once more
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

// guards: a list that is lost with a drain, as the router ends: kept connections are served on
TEST_CASE("SIGTERM and a drain in the same moment: what is still served goes elsewhere") {
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
    if (!s.answered(client, i + 1)) break; // it was ended between two
    CHECK(client.answers[i].status == 200);
  }
  CHECK(client.answers.size() > 1);
  CHECK(s.one.seen.size() == before);
  CHECK(s.ends());
}

// guards: a client that waits for nobody, or is served twice
TEST_CASE(
    "killed as a connection waits to be accepted: its client sees it at once, the next process serves it") {
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
  REQUIRE(s.until([&] { return s.discovery.seen.size() > calls + 1; })); // it has heard its list, and watches
  Raw once_more(port, get("/k/1", "r1"));
  REQUIRE(s.answered(once_more));
  CHECK(once_more.answers[0].status == 200);
}

// guards: a router deaf to drains and to its operators, or with a full CPU, as clients hold all descriptors
TEST_CASE("clients hold all that they may: discovery, the second address and a node keep their descriptors") {
  const int control = free_port();
  Started s([&](Json& file) {
    file["limits"]["sockets"] = 64;
    file["control"] = "127.0.0.1:" + std::to_string(control);
  });
  s.program->limit_descriptors(64);
  std::vector<std::unique_ptr<Raw>> crowd;
  for (int i = 0; i < 120; ++i) { // idle, half and whole ones
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

// guards: a full CPU for as long as a request waits whose client has sent much behind it
TEST_CASE("much unread behind a request that waits costs no CPU, and the request is answered") {
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
