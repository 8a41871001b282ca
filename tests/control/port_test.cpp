// The control port over loopback: each command, invalid clients, and disabling and enabling a cache.
#include <doctest/doctest.h>
#include <sys/resource.h>

#include <string>

#include "caller.h"

using namespace fernward;
using namespace fernward::tests;

TEST_CASE("there is no control port unless it is configured") {
  World w;
  CHECK(w.router->control_port() == 0);
}

TEST_CASE("ready succeeds while the process accepts clients") {
  Controlled w;
  CHECK(w.call("ready") == "ok\n");
  CHECK(w.call("ready\r") == "ok\n");
  Client holds = w.client(); // otherwise the router would stop immediately
  w.caches([](const http::Message&) { return std::string(); });
  holds.send(get("/k/1", "r1"));
  REQUIRE(w.until([&] { return w.sent() == 1; }));
  w.router->begin_shutdown();
  CHECK(w.call("ready").starts_with("fail "));
}

TEST_CASE("ready fails before an endpoint is known") {
  Controlled w([](Json& file) { file["known"] = nullptr; });
  w.discovery.script = [](const http::Message&) { return std::string(); };
  CHECK(w.call("ready").starts_with("fail "));
}

TEST_CASE("a disabled cache gets no requests whatever the list states and an enabled one does") {
  Controlled w;
  CHECK(w.ask(40) >= 20); // some requests of the burst are shed
  REQUIRE(w.one.seen.size() > 0);
  CHECK(w.call("disable-server s-1") == "ok\n");
  CHECK(w.call("disable-server s-1") == "ok\n");
  const auto before = w.one.seen.size();
  CHECK(w.ask(40) >= 20); // some requests of the burst are shed
  REQUIRE(w.tell(node_list(8, true, w.all())));
  CHECK(w.ask(40) >= 20); // some requests of the burst are shed
  REQUIRE(w.tell(node_list(9, false, {endpoint("s-1", w.one.address, "terminated")})));
  REQUIRE(w.tell(node_list(10, false, {endpoint("s-1", w.one.address)})));
  CHECK(w.ask(40) >= 20); // some requests of the burst are shed
  CHECK(w.one.seen.size() == before);
  CHECK(w.call("enable-server s-1") == "ok\n");
  CHECK(w.ask(40) >= 20); // some requests of the burst are shed
  CHECK(w.one.seen.size() > before);
  CHECK(w.router->overrides().size() == 2);
}

TEST_CASE("a request that waits for its connection is not written to a node taken out meanwhile") {
  Controlled w;
  w.one.script = w.two.script = [](const http::Message&) { return std::string(); };
  Client client = w.client();
  client.send(get("/k/1", "r1"));
  REQUIRE(w.until([&] { return w.one.connections + w.two.connections == 1 || w.sent() == 1; }));
  for (const char* id : {"s-1", "s-2"}) CHECK(w.call(std::string("disable-server ") + id) == "ok\n");
  const auto before = w.one.seen.size() + w.two.seen.size();
  Client second = w.client();
  CHECK(second.ask(get("/k/2", "r2")).body.starts_with("from origin"));
  CHECK(w.one.seen.size() + w.two.seen.size() == before);
}

TEST_CASE("ids that are not those of a cache") {
  Controlled w;
  CHECK(w.call("disable-server s-9").starts_with("fail "));
  CHECK(w.call("enable-server s-9").starts_with("fail "));
  CHECK(w.call("disable-server o-1").starts_with("fail ")); // the origin
  REQUIRE(w.tell(node_list(8, false, {endpoint("s-1", w.one.address, "terminated")})));
  CHECK(w.call("disable-server s-1") == "ok\n"); // it was listed once
}

TEST_CASE("invalid clients get an error or are disconnected") {
  Controlled w;
  const auto told = [&](const std::string& text, bool half_close = false) {
    Caller caller(w.base.get(), w.router->control_port(), text);
    if (half_close) {
      run_for(w.base.get(), 20);
      caller.half_close();
    }
    CHECK(w.until([&] { return caller.ended; }));
    return caller.told;
  };
  CHECK(told("fly\n").starts_with("fail "));
  CHECK(told("\n").starts_with("fail "));
  CHECK(told("ready ready\n").starts_with("fail "));
  CHECK(told("ready\nready\n").starts_with("fail "));
  CHECK(told("disable-server s-1", true).starts_with("fail ")); // an incomplete command is not executed
  CHECK_FALSE(w.router->overrides().is_disabled("s-1"));
  CHECK(told(std::string(300, 'x')).starts_with("fail "));
  CHECK(told("", true) == "");
  const double begun = loop::now_ms();
  CHECK(told("read").starts_with("fail ")); // the line is never completed
  CHECK(loop::now_ms() - begun < 3500);
}

TEST_CASE("silent control clients do not delay the next one") {
  Controlled w;
  std::vector<std::unique_ptr<Caller>> silent;
  for (int i = 0; i < 60; ++i)
    silent.push_back(
        std::make_unique<Caller>(w.base.get(), w.router->control_port(), i % 2 == 0 ? "" : "rea"));
  const double begun = loop::now_ms();
  CHECK(w.call("ready") == "ok\n");
  CHECK(loop::now_ms() - begun < 1000);
}

TEST_CASE("a command is answered while clients overload the router") {
  Controlled w;
  w.caches([](const http::Message&) { return std::string(); }); // no request is answered
  std::vector<std::unique_ptr<Client>> crowd;
  for (int i = 0; i < 200; ++i) {
    crowd.push_back(std::make_unique<Client>(w.base.get(), w.router->port()));
    crowd.back()->send(get("/k/" + std::to_string(i), "f" + std::to_string(i)));
  }
  for (int i = 0; i < 5; ++i) {
    const double begun = loop::now_ms();
    CHECK(w.call("ready") == "ok\n");
    CHECK(loop::now_ms() - begun < 1000);
  }
}

TEST_CASE("an invalid control address is reported with its key") {
  World w;
  Json file = config_json(w.discovery.address, nullptr);
  file["control"] = "here";
  try {
    config::parse(file.dump(), &no_environment);
    FAIL("taken");
  } catch (const config::Error& error) {
    CHECK(std::string(error.what()).starts_with("control: \"here\""));
  }
  const auto told = [](const char* name) -> const char* {
    return std::string(name) == "NODE_CONTROL" ? "127.0.0.1:70000" : nullptr;
  };
  try {
    config::parse(file.dump(), told);
    FAIL("taken");
  } catch (const config::Error& error) {
    CHECK(std::string(error.what()).starts_with("NODE_CONTROL: "));
  }
  file["control"] = w.one.address; // already in use
  CHECK_THROWS_WITH(router::Router(config::parse(file.dump(), &no_environment), w.base.get()),
                    doctest::Contains("control: cannot listen"));
}

// Guards against a router that stalls because a control connection can't be accepted: its event has priority
// over all traffic and fires again and again.
TEST_CASE(
    "a control client that can't be accepted without descriptors delays nothing and is answered later") {
  const router::BasePtr base = router::make_base();
  loop::TimerQueue deadlines(base.get());
  control::PortOptions options;
  options.address = "127.0.0.1:0";
  control::Port port(base.get(), deadlines, options,
                     [](const control::Call&) { return std::string("ok\n"); });
  Caller caller(base.get(), port.port(), "ready\n"); // waits in the backlog: the loop has not run
  rlimit usual{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &usual) == 0);
  const rlimit none{0, usual.rlim_max};
  REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
  bool passed = false;
  deadlines.at(loop::now_ms() + 120, [&] { passed = true; }); // traffic
  const double begun = loop::now_ms();
  while (!passed && loop::now_ms() < begun + 3000) event_base_loop(base.get(), EVLOOP_ONCE);
  REQUIRE(setrlimit(RLIMIT_NOFILE, &usual) == 0);
  CHECK(passed);
  CHECK(run_until(base.get(), [&] { return caller.ended; }));
  CHECK(caller.told == "ok\n");
}
