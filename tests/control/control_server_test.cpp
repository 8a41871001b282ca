// The control port over loopback: each command, invalid clients, and disabling and enabling a cache.
#include <doctest/doctest.h>
#include <sys/resource.h>

#include <string>

#include "control_client.h"

using namespace fernward;
using namespace fernward::tests;

TEST_CASE("there is no control port unless it is configured") {
  RouterFixture fixture;
  CHECK(fixture.router->control_port() == 0);
}

TEST_CASE("ready succeeds while the process accepts clients") {
  RouterWithControlPort fixture;
  CHECK(fixture.send_command("ready") == "ok\n");
  CHECK(fixture.send_command("ready\r") == "ok\n");
  TestClient pending_client = fixture.connect_client(); // without it the router would stop at once
  fixture.script_caches([](const http::Message&) { return std::string(); });
  pending_client.send(get_request("/k/1", "r1"));
  REQUIRE(fixture.wait_until([&] { return fixture.requests_sent() == 1; }));
  fixture.router->begin_shutdown();
  CHECK(fixture.send_command("ready").starts_with("fail "));
}

TEST_CASE("ready fails before an endpoint is known") {
  RouterWithControlPort fixture([](Json& file) { file["known"] = nullptr; });
  fixture.discovery.script = [](const http::Message&) { return std::string(); };
  CHECK(fixture.send_command("ready").starts_with("fail "));
}

TEST_CASE("a disabled cache gets no requests whatever the list states and an enabled one does") {
  RouterWithControlPort fixture;
  CHECK(fixture.send_requests(40) >= 20); // some requests of the burst are shed
  REQUIRE(fixture.cache_1.requests.size() > 0);
  CHECK(fixture.send_command("disable-server s-1") == "ok\n");
  CHECK(fixture.send_command("disable-server s-1") == "ok\n");
  const auto before = fixture.cache_1.requests.size();
  CHECK(fixture.send_requests(40) >= 20); // some requests of the burst are shed
  REQUIRE(fixture.send_endpoint_update(endpoint_list_json(8, true, fixture.all_endpoints())));
  CHECK(fixture.send_requests(40) >= 20); // some requests of the burst are shed
  REQUIRE(fixture.send_endpoint_update(
      endpoint_list_json(9, false, {endpoint_json("s-1", fixture.cache_1.address, "terminated")})));
  REQUIRE(fixture.send_endpoint_update(
      endpoint_list_json(10, false, {endpoint_json("s-1", fixture.cache_1.address)})));
  CHECK(fixture.send_requests(40) >= 20); // some requests of the burst are shed
  CHECK(fixture.cache_1.requests.size() == before);
  CHECK(fixture.send_command("enable-server s-1") == "ok\n");
  CHECK(fixture.send_requests(40) >= 20); // some requests of the burst are shed
  CHECK(fixture.cache_1.requests.size() > before);
  CHECK(fixture.router->overrides().size() == 2);
}

TEST_CASE("a request that waits for its connection is not written to a node taken out meanwhile") {
  RouterWithControlPort fixture;
  fixture.cache_1.script = fixture.cache_2.script = [](const http::Message&) { return std::string(); };
  TestClient client = fixture.connect_client();
  client.send(get_request("/k/1", "r1"));
  REQUIRE(fixture.wait_until([&] {
    return fixture.cache_1.accepted_connections + fixture.cache_2.accepted_connections == 1 ||
           fixture.requests_sent() == 1;
  }));
  for (const char* id : {"s-1", "s-2"})
    CHECK(fixture.send_command(std::string("disable-server ") + id) == "ok\n");
  const auto before = fixture.cache_1.requests.size() + fixture.cache_2.requests.size();
  TestClient second_client = fixture.connect_client();
  CHECK(second_client.send_and_wait(get_request("/k/2", "r2")).body.starts_with("from origin"));
  CHECK(fixture.cache_1.requests.size() + fixture.cache_2.requests.size() == before);
}

TEST_CASE("ids that are not those of a cache") {
  RouterWithControlPort fixture;
  CHECK(fixture.send_command("disable-server s-9").starts_with("fail "));
  CHECK(fixture.send_command("enable-server s-9").starts_with("fail "));
  CHECK(fixture.send_command("disable-server o-1").starts_with("fail ")); // the origin
  REQUIRE(fixture.send_endpoint_update(
      endpoint_list_json(8, false, {endpoint_json("s-1", fixture.cache_1.address, "terminated")})));
  CHECK(fixture.send_command("disable-server s-1") == "ok\n"); // it was listed once
}

TEST_CASE("invalid clients get an error or are disconnected") {
  RouterWithControlPort fixture;
  const auto result_for = [&](const std::string& text, bool half_close = false) {
    ControlClient client(fixture.base.get(), fixture.router->control_port(), text);
    if (half_close) {
      run_for(fixture.base.get(), 20);
      client.half_close();
    }
    CHECK(fixture.wait_until([&] { return client.closed; }));
    return client.received;
  };
  CHECK(result_for("fly\n").starts_with("fail "));
  CHECK(result_for("\n").starts_with("fail "));
  CHECK(result_for("ready ready\n").starts_with("fail "));
  CHECK(result_for("ready\nready\n").starts_with("fail "));
  CHECK(result_for("disable-server s-1", true).starts_with("fail ")); // an incomplete command is not executed
  CHECK_FALSE(fixture.router->overrides().is_disabled("s-1"));
  CHECK(result_for(std::string(300, 'x')).starts_with("fail "));
  CHECK(result_for("", true) == "");
  const double started_ms = loop::now_ms();
  CHECK(result_for("read").starts_with("fail ")); // the line is never completed
  CHECK(loop::now_ms() - started_ms < 3500);
}

TEST_CASE("silent control clients do not delay the next one") {
  RouterWithControlPort fixture;
  std::vector<std::unique_ptr<ControlClient>> silent_clients;
  for (int i = 0; i < 60; ++i)
    silent_clients.push_back(std::make_unique<ControlClient>(
        fixture.base.get(), fixture.router->control_port(), i % 2 == 0 ? "" : "rea"));
  const double started_ms = loop::now_ms();
  CHECK(fixture.send_command("ready") == "ok\n");
  CHECK(loop::now_ms() - started_ms < 1000);
}

TEST_CASE("a command is answered while clients overload the router") {
  RouterWithControlPort fixture;
  fixture.script_caches([](const http::Message&) { return std::string(); }); // no request is answered
  std::vector<std::unique_ptr<TestClient>> clients;
  for (int i = 0; i < 200; ++i) {
    clients.push_back(std::make_unique<TestClient>(fixture.base.get(), fixture.router->port()));
    clients.back()->send(get_request("/k/" + std::to_string(i), "f" + std::to_string(i)));
  }
  for (int i = 0; i < 5; ++i) {
    const double started_ms = loop::now_ms();
    CHECK(fixture.send_command("ready") == "ok\n");
    CHECK(loop::now_ms() - started_ms < 1000);
  }
}

TEST_CASE("an invalid control address is reported with its key") {
  RouterFixture fixture;
  Json file = config_json(fixture.discovery.address, nullptr);
  file["control"] = "here";
  try {
    config::parse(file.dump(), &no_environment);
    FAIL("taken");
  } catch (const config::Error& error) {
    CHECK(std::string(error.what()).starts_with("control: \"here\""));
  }
  const auto environment = [](const char* name) -> const char* {
    return std::string(name) == "NODE_CONTROL" ? "127.0.0.1:70000" : nullptr;
  };
  try {
    config::parse(file.dump(), environment);
    FAIL("taken");
  } catch (const config::Error& error) {
    CHECK(std::string(error.what()).starts_with("NODE_CONTROL: "));
  }
  file["control"] = fixture.cache_1.address; // already in use
  CHECK_THROWS_WITH(router::Router(config::parse(file.dump(), &no_environment), fixture.base.get()),
                    doctest::Contains("control: cannot listen"));
}

// Guards against a router that stalls because a control connection can't be accepted: its event has priority
// over all traffic and fires again and again.
TEST_CASE(
    "a control client that can't be accepted without descriptors delays nothing and is answered later") {
  const router::EventBasePtr base = router::make_event_base();
  loop::TimerQueue timers(base.get());
  control::ControlServerOptions options;
  options.address = "127.0.0.1:0";
  control::ControlServer server(base.get(), timers, options,
                                [](const control::ControlCommand&) { return std::string("ok\n"); });
  // The client waits in the accept queue: the event loop has not run.
  ControlClient client(base.get(), server.port(), "ready\n");
  rlimit previous_limit{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &previous_limit) == 0);
  const rlimit no_descriptors{0, previous_limit.rlim_max};
  REQUIRE(setrlimit(RLIMIT_NOFILE, &no_descriptors) == 0);
  bool traffic_event_ran = false;
  timers.run_at(loop::now_ms() + 120, [&] { traffic_event_ran = true; }); // traffic
  const double started_ms = loop::now_ms();
  while (!traffic_event_ran && loop::now_ms() < started_ms + 3000) event_base_loop(base.get(), EVLOOP_ONCE);
  REQUIRE(setrlimit(RLIMIT_NOFILE, &previous_limit) == 0);
  CHECK(traffic_event_ran);
  CHECK(run_until(base.get(), [&] { return client.closed; }));
  CHECK(client.received == "ok\n");
}
