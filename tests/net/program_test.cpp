// The program as a separate process: its command line, configuration, signals and limits.
#include <doctest/doctest.h>
#include <signal.h>
#include <sys/syscall.h>

#include <algorithm>
#include <cerrno>

#include "program.h"
#include "scripted_peers.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

bool wait_for_exit(TestProgram& program) {
  const auto base = router::make_event_base();
  return run_until(base.get(), [&] { return program.has_exited(); });
}

// Scripted peers for a program under test: a discovery and one cache.
struct ServiceFixture {
  router::EventBasePtr base = router::make_event_base();
  ScriptedServer discovery{base.get(), [this](const http::Message& m) {
                             return m.target == "/v1/endpoints" ? ok_response(endpoint_list().dump())
                                                                : std::string();
                           }};
  ScriptedServer cache{base.get(), [](const http::Message& m) { return ok_response("v of " + m.target); }};
  Json endpoint_list() { return endpoint_list_json(1, true, {endpoint_json("s-1", cache.address)}); }
  Json config() { return config_json(discovery.address, endpoint_list()); }
  // Waits until the program is ready, by discovery's list or its own. It forwards no requests before.
  int wait_for_port(TestProgram& program) {
    run_until(base.get(), [&] { return program.port() != 0; });
    run_until(base.get(), [&] { return is_ready(program); });
    return program.port();
  }
  bool is_ready(TestProgram& program) {
    TestClient client(base.get(), program.port());
    return client.send_and_wait("GET /ready HTTP/1.1\r\n\r\n").status == 200;
  }
  bool wait_until(const std::function<bool()>& done) { return run_until(base.get(), done); }
};

} // namespace

TEST_CASE("the command line") {
  const auto run = [](const std::vector<std::string>& arguments, const Json& config = Json::object()) {
    TestProgram program(arguments, config);
    REQUIRE(wait_for_exit(program));
    return std::pair(program.exit_code, program.output);
  };
  CHECK(run({"version"}).first == 0);
  CHECK(run({"version"}).second.rfind("fernward ", 0) == 0);
  CHECK(run({"--help"}).first == 0);
  CHECK(run({}).first == 2);
  CHECK(run({"fly"}).first == 2);
  CHECK(run({"serve", "twice"}).first == 2);
  CHECK(run({"--unheard-of"}).first == 2);
  const Json valid_config = config_json("127.0.0.1:8500", nullptr);
  CHECK(run({"check-config"}, valid_config).first == 0);
  Json invalid_config = valid_config;
  invalid_config["settings"]["limits"]["max_attempts"] = "five";
  for (const char* command : {"check-config", "serve"}) { // each prints one line that names the key
    const auto [code, text] = run({command}, invalid_config);
    CHECK(code == 1);
    CHECK(text.find("settings.limits.max_attempts") != std::string::npos);
    CHECK(std::count(text.begin(), text.end(), '\n') == 1);
  }
  CHECK(run({"serve"}, "{").first == 1);
}

TEST_CASE("a listening address in use prevents the start and is named in the error") {
  ServiceFixture fixture;
  Json config = fixture.config();
  config["listen"] = fixture.cache.address;
  TestProgram program({"serve"}, config);
  REQUIRE(wait_for_exit(program));
  CHECK(program.exit_code == 1);
  CHECK(program.output.find("listen") != std::string::npos);
}

// Guards against requests lost in a planned restart.
TEST_CASE("SIGTERM: all accepted requests are answered and the program exits with 0") {
  ServiceFixture fixture;
  fixture.cache.script = [](const http::Message&) { return std::string(); };
  TestProgram program({"serve"}, fixture.config());
  TestClient client(fixture.base.get(), fixture.wait_for_port(program));
  client.send(get_request("/k/1", "r1"));
  REQUIRE(fixture.wait_until([&] { return fixture.cache.requests.size() == 1; }));
  program.signal(SIGTERM);
  TestClient late_client(fixture.base.get(), program.port());
  REQUIRE(fixture.wait_until([&] { return program.output_contains("graceful-shutdown"); }));
  fixture.cache.write_to_last(ok_response("in time"));
  REQUIRE(fixture.wait_until([&] { return program.has_exited(); }));
  CHECK(program.exit_code == 0);
  REQUIRE(client.responses.size() == 1);
  CHECK(client.responses[0].body == "in time");
}

// Guards against an end that looks like a crash.
TEST_CASE("SIGTERM again and again: the program exits with 0") {
  for (int run = 0; run < 10; ++run) {
    ServiceFixture fixture;
    TestProgram program({"serve"}, fixture.config());
    fixture.wait_for_port(program);
    program.signal(SIGTERM);
    REQUIRE(fixture.wait_until([&] { return program.output_contains("graceful-shutdown"); }));
    while (!program.has_exited()) program.signal(SIGTERM);
    CHECK(program.exit_code == 0);
  }
}

// Guards against a restart that moves all of its clients to other routers at once while it can still serve
// them.
TEST_CASE("SIGTERM: kept connections are served for a while and closed in time") {
  ServiceFixture fixture;
  TestProgram program({"serve"}, fixture.config());
  TestClient client(fixture.base.get(), fixture.wait_for_port(program)),
      idle_client(fixture.base.get(), program.port());
  CHECK(client.send_and_wait(get_request("/k/1", "r1")).keep_alive);
  CHECK(idle_client.send_and_wait(get_request("/k/1", "r2")).keep_alive);
  const double started_at_ms = loop::now_ms();
  program.signal(SIGTERM);
  REQUIRE(fixture.wait_until([&] { return program.output_contains("graceful-shutdown"); }));
  // Not ready, so that new clients use other routers.
  CHECK(client.send_and_wait("GET /ready HTTP/1.1\r\nHost: h\r\n\r\n").status == 503);
  run_for(fixture.base.get(), 800);
  CHECK(client.send_and_wait(get_request("/k/2", "r3")).body == "v of /k/2");
  CHECK_FALSE(idle_client.closed);
  fixture.cache.script = [](const http::Message&) { return std::string(); };
  // The server never responds: the client still receives an error before the exit.
  client.send(get_request("/k/3", "r4"));
  REQUIRE(fixture.wait_until([&] { return program.has_exited(); }));
  CHECK(program.exit_code == 0);
  CHECK(loop::now_ms() - started_at_ms < 2600 + 300);
  REQUIRE(fixture.wait_until([&] { return client.responses.size() == 4; }));
  CHECK(client.responses.back().status >= 500);
  CHECK(fixture.wait_until([&] { return idle_client.closed; }));
}

// Guards against a router that exits on SIGHUP, loses its list with the old discovery or accepts an
// invalid file.
TEST_CASE("SIGHUP: the watch moves to the new discovery and nothing else changes") {
  ServiceFixture fixture;
  ScriptedServer other_cache(fixture.base.get(),
                             [](const http::Message& m) { return ok_response("other's " + m.target); });
  bool next_is_up = false; // the new discovery does not answer at first
  ScriptedServer next_discovery(fixture.base.get(), [&](const http::Message& m) {
    return next_is_up && m.target == "/v1/endpoints"
               ? ok_response(endpoint_list_json(3, true, {endpoint_json("s-2", other_cache.address)}).dump())
               : std::string();
  });
  Json config = fixture.config();
  config["settings"]["classes"][0]["aim"] = config["settings"]["classes"][0]["give_up"] = 100000;
  TestProgram program({"serve"}, config);
  TestClient client(fixture.base.get(), fixture.wait_for_port(program)),
      waiting_client(fixture.base.get(), program.port());
  CHECK(client.send_and_wait(get_request("/k/1", "r1")).body == "v of /k/1");

  program.write_config(config.dump().substr(1)); // invalid: nothing changes
  program.signal(SIGHUP);
  REQUIRE(fixture.wait_until([&] { return program.output_contains("reload-refused why=\"NODE_CONFIG"); }));
  config["discovery"] = "nowhere";
  program.write_config(config.dump());
  program.signal(SIGHUP);
  REQUIRE(fixture.wait_until([&] { return program.output_contains("reload-refused why=\"discovery"); }));
  CHECK(client.send_and_wait(get_request("/k/1", "r2")).body == "v of /k/1");

  fixture.cache.script = [](const http::Message&) { return std::string(); };
  waiting_client.send("GET /k/1 HTTP/1.1\r\nHost: h\r\nX-Request-ID: r3\r\nX-Priority-Class: read\r\n\r\n");
  REQUIRE(fixture.wait_until([&] { return fixture.cache.requests.size() == 3; }));
  config["discovery"] = next_discovery.address;
  config["settings"]["limits"]["max_attempts"] = 2;
  program.write_config(config.dump());
  program.signal(SIGHUP);
  REQUIRE(fixture.wait_until(
      [&] { return program.output_contains("reload-discovery-moves from=" + fixture.discovery.address); }));
  CHECK(program.output_contains("reload-needs-restart key=settings.limits.max_attempts"));
  fixture.discovery.stop_listening();
  REQUIRE(fixture.wait_until([&] { return program.output_contains("discovery-ended code=connect-failed"); }));
  fixture.cache.write_to_last(ok_response("in time")); // for the request that was active during the reloads
  REQUIRE(fixture.wait_until([&] { return !waiting_client.responses.empty(); }));
  CHECK(waiting_client.responses[0].body == "in time");
  fixture.cache.script = [](const http::Message& m) { return ok_response("v of " + m.target); };
  CHECK(client.send_and_wait(get_request("/k/1", "r4")).body ==
        "v of /k/1"); // the list stays in force without any discovery

  next_is_up = true;
  REQUIRE(fixture.wait_until([&] { return program.output_contains("address=" + next_discovery.address); }));
  CHECK(client.send_and_wait(get_request("/k/1", "r5")).body == "other's /k/1"); // a snapshot: s-1 is removed
  CHECK_FALSE(client.closed);
  program.signal(SIGHUP);
  program.signal(SIGTERM);
  REQUIRE(fixture.wait_until([&] { return program.has_exited(); }));
  CHECK(program.exit_code == 0);
}

// Guards against a router that never serves because discovery is silent when it restarts. discovery_test.cpp
// checks that nothing is sent by the known list earlier, while discovery may still answer.
TEST_CASE("restarted after SIGKILL with a silent discovery it serves from the known list within 10 s") {
  ServiceFixture fixture;
  fixture.discovery.script = [](const http::Message&) { return std::string(); };
  Json config = fixture.config();
  for (int run_number = 0; run_number < 2; ++run_number) {
    const double started_at_ms = loop::now_ms();
    TestProgram program({"serve"}, config);
    TestClient client(fixture.base.get(), fixture.wait_for_port(program));
    CHECK(loop::now_ms() - started_at_ms < 10000);
    CHECK(client.send_and_wait("GET /ready HTTP/1.1\r\n\r\n").status == 200);
    CHECK(client.send_and_wait(get_request("/k/1", std::to_string(run_number))).body == "v of /k/1");
    // The next process uses the same address.
    config["listen"] = "127.0.0.1:" + std::to_string(program.port());
    program.signal(SIGKILL);
    REQUIRE(fixture.wait_until([&] { return program.has_exited(); }));
    CHECK(program.exit_code == 128 + SIGKILL);
  }
}

// Guards against an event loop that spins on accept(), and against a crash.
TEST_CASE("without free descriptors it continues to serve and does not spin on accept") {
  ServiceFixture fixture;
  TestProgram program({"serve"}, fixture.config());
  const int port = fixture.wait_for_port(program);
  program.limit_descriptors(24); // far fewer than configured
  TestClient first(fixture.base.get(), port);
  CHECK(first.send_and_wait(get_request("/k/1", "a")).status == 200);
  {
    std::vector<std::unique_ptr<TestClient>> other_clients;
    for (int i = 0; i < 60; ++i)
      other_clients.push_back(std::make_unique<TestClient>(fixture.base.get(), port));
    REQUIRE(fixture.wait_until([&] { return program.output_contains("descriptors-refused"); }));
    run_for(fixture.base.get(), 300);
    program.port(); // reads the output
    std::size_t lines = 0;
    for (auto at = program.output.find("descriptors-refused"); at != std::string::npos;
         at = program.output.find("descriptors-refused", at + 1)) {
      ++lines;
    }
    CHECK(lines < 50);
    CHECK(first.send_and_wait(get_request("/k/1", "b")).status == 200);
  }
  TestClient later_client(fixture.base.get(), port); // the other clients have disconnected
  CHECK(later_client.send_and_wait(get_request("/k/1", "c")).status == 200);
  program.signal(SIGTERM);
  REQUIRE(fixture.wait_until([&] { return program.has_exited(); }));
  CHECK(program.exit_code == 0);
}

// Guards against requests lost because the router can't open the descriptors that it expected to have.
TEST_CASE("a lowered descriptor limit: all requests are answered including later ones") {
  ServiceFixture fixture;
  TestProgram program({"serve"}, fixture.config()); // with 256 descriptors
  const int port = fixture.wait_for_port(program);
  std::vector<std::unique_ptr<TestClient>> clients;
  int number = 0, unanswered = 0;
  const auto send_requests = [&](std::size_t count) { // on new connections, which stay open
    for (std::size_t i = 0; i < count; ++i) {
      clients.push_back(std::make_unique<TestClient>(fixture.base.get(), port));
      unanswered +=
          clients.back()->send_and_wait(get_request("/k/1", std::to_string(number++))).status != 200;
    }
  };
  send_requests(20);
  program.limit_descriptors(static_cast<rlim_t>(program.open_descriptors())); // none is free
  send_requests(60);
  program.limit_descriptors(20); // fewer than it holds
  send_requests(60);
  CHECK(unanswered == 0);
  program.limit_descriptors(256);
  run_for(fixture.base.get(), 1200);
  send_requests(20);
  CHECK(unanswered == 0);
  program.signal(SIGTERM);
  REQUIRE(fixture.wait_until([&] { return program.has_exited(); }));
  CHECK(program.exit_code == 0);
}

TEST_CASE("256 descriptors and 20 caches: all requests are served within the limit") {
  ServiceFixture fixture;
  std::vector<std::unique_ptr<ScriptedServer>> caches;
  std::vector<Json> entries;
  for (int i = 0; i < 20; ++i) {
    caches.push_back(std::make_unique<ScriptedServer>(
        fixture.base.get(), [](const http::Message& m) { return ok_response("v of " + m.target); }));
    entries.push_back(endpoint_json("s-" + std::to_string(i), caches.back()->address));
  }
  Json config = fixture.config();
  config["known"] = endpoint_list_json(1, true, entries);
  fixture.discovery.script = [&](const http::Message& m) {
    return m.target == "/v1/endpoints" ? ok_response(config["known"].dump()) : std::string();
  };
  TestProgram program({"serve"}, config);
  const int port = fixture.wait_for_port(program);
  std::vector<std::unique_ptr<TestClient>> silent_clients, kept_clients;
  std::size_t max_open_descriptors = 0;
  int number = 0, unanswered = 0;
  for (int round = 0; round < 8; ++round) {
    for (int i = 0; i < 40; ++i)
      silent_clients.push_back(std::make_unique<TestClient>(fixture.base.get(), port));
    std::vector<std::unique_ptr<TestClient>> concurrent_clients;
    for (int i = 0; i < 30; ++i) {
      concurrent_clients.push_back(std::make_unique<TestClient>(fixture.base.get(), port));
      concurrent_clients.back()->send(get_request("/k/" + std::to_string(number), std::to_string(number)));
      ++number;
    }
    const auto done = [&] {
      return std::all_of(concurrent_clients.begin(), concurrent_clients.end(),
                         [](const auto& c) { return !c->responses.empty(); });
    };
    CHECK(fixture.wait_until(done));
    for (auto& client : concurrent_clients) {
      unanswered += client->responses.empty() || client->responses[0].status != 200;
      kept_clients.push_back(std::move(client));
    }
    max_open_descriptors = std::max(max_open_descriptors, program.open_descriptors());
  }
  CHECK(unanswered == 0);
  CHECK(max_open_descriptors <= 256);
  CHECK(max_open_descriptors > 150); // descriptors that the other side does not need are used
}

// Guards against a planned restart that cuts off a response which its server is still writing.
TEST_CASE("SIGTERM while a server writes a long response for longer than any timeout: it is completed") {
  constexpr std::size_t kPartBytes = 256 << 10, kParts = 8;
  ServiceFixture fixture;
  const std::string value(kParts * kPartBytes, 'v');
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(value.size()) + "\r\n\r\n";
  fixture.cache.script = [&](const http::Message&) { return head + value.substr(0, kPartBytes); };
  TestProgram program({"serve"}, fixture.config());
  TestClient client(fixture.base.get(), fixture.wait_for_port(program));
  client.send(get_request("/k/1", "r1"));
  REQUIRE(fixture.wait_until([&] { return client.partial_body_bytes() == kPartBytes; }));
  program.signal(SIGTERM);
  for (std::size_t part = 1; part < kParts; ++part) { // 4.2 s; the longest timeout is 2 s
    run_for(fixture.base.get(), 600);
    CHECK_FALSE(program.has_exited());
    fixture.cache.write_to_last(value.substr(part * kPartBytes, kPartBytes));
  }
  REQUIRE(fixture.wait_until([&] { return !client.responses.empty() || client.closed; }));
  REQUIRE(client.responses.size() == 1);
  CHECK(client.responses[0].body == value);
  REQUIRE(fixture.wait_until([&] { return program.has_exited(); }));
  CHECK(program.exit_code == 0);
}

TEST_CASE("SIGHUP and SIGTERM while a response is forwarded: it is completed and the program exits") {
  ServiceFixture fixture;
  const std::string value(3 << 20, 'v');
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(value.size()) + "\r\n\r\n";
  fixture.cache.script = [&](const http::Message&) { return head + value.substr(0, 2 << 20); };
  Json config = fixture.config();
  TestProgram program({"serve"}, config);
  TestClient client(fixture.base.get(), fixture.wait_for_port(program)),
      idle_client(fixture.base.get(), program.port());
  client.send(get_request("/k/1", "r1"));
  REQUIRE(fixture.wait_until([&] { return client.partial_body_bytes() == 2 << 20; }));
  config["limits"]["answer_bytes"] = 1; // takes effect only after a restart
  program.write_config(config.dump());
  program.signal(SIGHUP);
  REQUIRE(fixture.wait_until(
      [&] { return program.output_contains("reload-needs-restart key=limits.answer_bytes"); }));
  program.signal(SIGTERM);
  REQUIRE(
      fixture.wait_until([&] { return idle_client.closed; })); // by then the listening socket is closed too
  CHECK_FALSE(program.has_exited());
  fixture.cache.write_to_last(value.substr(2 << 20));
  REQUIRE(fixture.wait_until([&] { return client.closed; }));
  REQUIRE(client.responses.size() == 1);
  CHECK((client.responses[0].body == value));
  REQUIRE(fixture.wait_until([&] { return program.has_exited(); }));
  CHECK(program.exit_code == 0);
}

// Guards against a rejected call taken for the end of the server's connection, which truncated the
// response while the server was still sending.
TEST_CASE("a system that rejects splice: forwarded responses are complete") {
  const std::string value(3 << 20, 'v');
  const std::size_t first_part_bytes = 1 << 20;
  for (const int error : {EINVAL, ENOSYS, EPERM}) {
    CAPTURE(error);
    ServiceFixture fixture;
    const std::string head =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(value.size()) + "\r\n\r\n";
    fixture.cache.script = [&](const http::Message&) { return head + value.substr(0, first_part_bytes); };
    TestProgram program({"serve"}, fixture.config(), {}, {{SYS_splice, SYS_sendfile, SYS_tee}, error});
    TestClient client(fixture.base.get(), fixture.wait_for_port(program));
    for (const char* id : {"r1", "r2"}) { // the request that detects the rejected call and one after it
      client.send(get_request("/k/1", id));
      // The client has read everything: the following bytes have nothing buffered before them and are
      // spliced.
      REQUIRE(fixture.wait_until([&] { return client.partial_body_bytes() == first_part_bytes; }));
      fixture.cache.write_to_last(value.substr(first_part_bytes));
      const std::size_t before = client.responses.size();
      REQUIRE(fixture.wait_until([&] { return client.responses.size() > before || client.closed; }));
      REQUIRE(client.responses.size() == before + 1);
      CHECK((client.responses.back().body == value));
      CHECK_FALSE(client.closed);
    }
    program.signal(SIGTERM);
    REQUIRE(fixture.wait_until([&] { return program.has_exited(); }));
    CHECK(program.exit_code == 0);
  }
}

// Guards against a router that blocks when the reader of its log does.
TEST_CASE("a log pipe that is not read does not block requests") {
  ServiceFixture fixture;
  TestProgram program({"serve"}, fixture.config());
  const int port = fixture.wait_for_port(program);
  program.stop_reading();
  int served = 0;
  for (int i = 0; i < 400; ++i) { // each logs a line, far more than the pipe holds
    TestClient client(fixture.base.get(), port);
    served +=
        client.send_and_wait(get_request("/k/" + std::to_string(i), "r" + std::to_string(i))).status == 200;
  }
  CHECK(served == 400);
}

// Guards against a process that is ended by a failing write to a file.
TEST_CASE(
    "a limit on the file size: bodies that need a file are streamed without one and the program continues") {
  ServiceFixture fixture;
  TemporaryFolder folder;
  Json config = fixture.config();
  config["limits"]["memory_mb"] = 16; // 256 KiB of a body are kept in memory
  config["limits"]["body_folder"] = folder.path;
  config["settings"]["extra"] = {{"mode", "through"}}; // the only server accepts writes
  TestProgram program({"serve"}, config);
  TestClient client(fixture.base.get(), fixture.wait_for_port(program));
  program.limit_file_size(100000);
  fixture.cache.script = [](const http::Message& m) { return ok_response(std::to_string(m.body.size())); };
  const auto answer = client.send_and_wait(put_request("/k/1", "r1", std::string(2 << 20, 'b')));
  INFO(program.output);
  CHECK(answer.body == std::to_string(2 << 20));
  CHECK_FALSE(program.has_exited());
}

// ---- other deployments ----

namespace {

struct Deployment {
  const char* description;
  std::function<void(Json&)> change;
};

} // namespace

TEST_CASE("deployments with other timeouts and sizes and classes start and serve and time out and exit") {
  const std::vector<Deployment> deployments = {
      {"latency objectives of 20 ms",
       [](Json& f) {
         for (auto& c : f["settings"]["classes"]) c["aim"] = 20, c["give_up"] = 50;
       }},
      {"timeouts of 30 s",
       [](Json& f) {
         for (auto& c : f["settings"]["classes"]) c["aim"] = 15000, c["give_up"] = 30000;
       }},
      {"64 descriptors, 8 MB",
       [](Json& f) {
         f["limits"] = {{"sockets", 64}, {"memory_mb", 8}};
       }},
      {"10,000 descriptors, 4 GB",
       [](Json& f) {
         f["limits"] = {{"sockets", 10000}, {"memory_mb", 4096}};
       }},
      {"no origin",
       [](Json& f) {
         f["settings"]["extra"] = {{"mode", "through"}};
       }},
      {"one class and nothing allowed",
       [](Json& f) {
         f["settings"]["classes"] =
             Json::array({{{"name", "read"}, {"give_up", 1000}, {"repeat", "unsafe"}}});
         f["settings"]["limits"] = {{"max_attempts", 1}};
       }},
      {"twenty classes, a hundred tenants, 500 routers",
       [](Json& f) {
         for (int i = 0; i < 18; ++i)
           f["settings"]["classes"].push_back(
               {{"name", "c" + std::to_string(i)}, {"give_up", 100 + i}, {"repeat", "safe"}});
         for (int i = 0; i < 100; ++i)
           f["settings"]["parties"].push_back({{"name", "t" + std::to_string(i)}, {"share", 0.01}});
         f["settings"]["balancers"] = 500;
       }},
      {"a thousand nodes",
       [](Json& f) {
         const std::string address = f["known"]["endpoints"][0]["address"];
         for (int i = 0; i < 1000; ++i)
           f["known"]["endpoints"].push_back(endpoint_json("x-" + std::to_string(i), address));
       }},
      {"a control address", [](Json& f) { f["limits"]["sockets"] = 64, f["control"] = "127.0.0.1:0"; }}};
  for (const Deployment& deployment : deployments) {
    CAPTURE(deployment.description);
    ServiceFixture fixture;
    Json config = fixture.config();
    deployment.change(config);
    TestProgram program({"serve"}, config);
    const int port = fixture.wait_for_port(program);
    REQUIRE(port != 0);
    TestClient client(fixture.base.get(), port);
    int served = 0, answered = 0;
    for (int i = 0; i < 20; ++i) {
      const int status =
          client.send_and_wait(get_request("/k/" + std::to_string(i), "r" + std::to_string(i))).status;
      served += status == 200;
      answered += status != 0;
    }
    CHECK(answered == 20);
    CHECK(served >= 1); // a busy machine may miss a latency objective of 20 ms
    // The server stops responding: the request is answered at its timeout, or at the latest before the exit.
    fixture.cache.script = [](const http::Message&) { return std::string(); };
    const std::size_t requests_before = fixture.cache.requests.size();
    // Without X-Timeout-Ms the timeout of its class applies.
    client.send("GET /k/s HTTP/1.1\r\nHost: h\r\nX-Request-ID: silent\r\nX-Priority-Class: read\r\n\r\n");
    REQUIRE(fixture.wait_until(
        [&] { return fixture.cache.requests.size() > requests_before || client.responses.size() > 20; }));
    program.signal(SIGTERM);
    const double signaled_at_ms = loop::now_ms();
    REQUIRE(fixture.wait_until([&] { return program.has_exited(); }));
    CHECK(program.exit_code == 0);
    // The platform kills after 3.7 s; the remainder allows for a busy machine.
    CHECK(loop::now_ms() - signaled_at_ms < 4200);
    REQUIRE(fixture.wait_until([&] { return client.responses.size() == 21 || client.closed; }));
    REQUIRE(client.responses.size() == 21);
    CHECK(client.responses.back().status >= 500);
  }
}
