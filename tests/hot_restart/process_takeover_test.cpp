// Hot restart with real processes and scripted peers: requests, connections and overrides are kept, also when
// one of the processes fails during the restart.
#include <doctest/doctest.h>
#include <sys/stat.h>
#include <sys/un.h>

#include <map>
#include <thread>

#include "control_client.h"
#include "hot_restart/restart_transport.h"
#include "program.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

// A router whose processes replace each other, with its address, its folder and scripted peers.
struct RestartingRouter {
  RestartingRouter() {
    config = config_json(discovery.address, list());
    config["listen"] = "127.0.0.1:" + std::to_string(port);
    folder_variable = "TMPDIR=" + folder.path;
    socket_path = folder / ("fernward-127.0.0.1_" + std::to_string(port) + ".sock");
  }
  Json list() {
    return endpoint_list_json(1, true,
                              {endpoint_json("s-1", cache_1.address), endpoint_json("s-2", cache_2.address),
                               endpoint_json("o-1", origin.address, "in_service", "origin")});
  }
  // Starts one more process, and waits until it is ready unless `wait` is false.
  TestProgram& start(bool wait = true) {
    const int control_port = free_port();
    environment_entries.push_back("NODE_CONTROL=127.0.0.1:" + std::to_string(control_port));
    control_ports.push_back(control_port);
    programs.push_back(
        std::make_unique<TestProgram>(std::vector<std::string>{"serve"}, config,
                                      std::vector<std::string>{folder_variable, environment_entries.back()}));
    if (wait) REQUIRE(wait_until([&] { return programs.back()->port() != 0; }));
    if (wait) REQUIRE(wait_until([&] { return send_command("ready") == "ok\n"; }));
    return *programs.back();
  }
  // Sends a command to the newest process, or to the one `processes_back` before it.
  std::string send_command(const std::string& command, std::size_t processes_back = 0) {
    ControlClient client(base.get(), control_ports[control_ports.size() - 1 - processes_back],
                         command + "\n");
    wait_until([&] { return client.closed; });
    return client.received;
  }
  bool wait_until(const std::function<bool()>& done) { return run_until(base.get(), done); }

  router::EventBasePtr base = router::make_event_base();
  ScriptedServer discovery{base.get(), [this](const http::Message& m) {
                             return m.target == "/v1/endpoints" ? ok_response(list().dump()) : std::string();
                           }};
  ScriptedServer cache_1{base.get(), [](const http::Message& m) { return ok_response("v of " + m.target); }};
  ScriptedServer cache_2{base.get(), [](const http::Message& m) { return ok_response("v of " + m.target); }};
  ScriptedServer origin{base.get(), [](const http::Message& m) { return ok_response("v of " + m.target); }};
  int port = free_port();
  TemporaryFolder folder;
  std::string folder_variable, socket_path;
  std::deque<std::string> environment_entries; // putenv() keeps pointers to them
  std::vector<int> control_ports;
  Json config;
  std::vector<std::unique_ptr<TestProgram>> programs;
};

// A closed-loop client: sends the next request after each response, every seventh on a new connection.
struct ClosedLoopClient {
  ClosedLoopClient(RestartingRouter& restarting_router, int client_number)
      : router(restarting_router), number(client_number) {}
  void send_next() {
    if (client == nullptr || sent_requests % 7 == 0)
      client = std::make_unique<TestClient>(router.base.get(), router.port);
    responses_before = client->responses.size();
    id = "a" + std::to_string(number) + "-" + std::to_string(++sent_requests);
    client->send(get_request("/k/" + id, id));
    awaiting_response = true;
  }
  void advance() {
    if (!awaiting_response) return send_next();
    if (client->responses.size() > responses_before) {
      awaiting_response = false;
      ++answered;
      correct += client->responses.back().status == 200 && client->responses.back().body == "v of /k/" + id;
      shed += client->responses.back().status == 503;
      if (!client->responses.back().keep_alive) client.reset(), ++closed_by_response;
    } else if (client->closed) { // closed without a response
      awaiting_response = false;
      ++lost;
      client.reset();
    }
  }
  RestartingRouter& router;
  int number, sent_requests = 0, answered = 0, correct = 0, shed = 0, lost = 0, closed_by_response = 0;
  std::size_t responses_before = 0;
  std::string id;
  bool awaiting_response = false;
  std::unique_ptr<TestClient> client;
};

} // namespace

// Guards against requests that are lost or answered wrongly, idle connections that are closed, overrides that
// are forgotten and descriptors beyond the limit while processes replace each other under load.
TEST_CASE(
    "ten upgrades under load: each request answered once, none lost at the door, bans kept, limits held") {
  RestartingRouter restarting_router;
  std::map<std::string, int> attempts_by_id; // attempts at the servers, by request ID
  const auto count_attempt = [&](const http::Message& m) {
    ++attempts_by_id[std::string(m.header("x-request-id"))];
    return ok_response("v of " + m.target);
  };
  restarting_router.cache_1.script = restarting_router.cache_2.script = restarting_router.origin.script =
      count_attempt;
  restarting_router.start();
  std::vector<std::unique_ptr<ClosedLoopClient>> load_clients;
  for (int i = 0; i < 24; ++i)
    load_clients.push_back(std::make_unique<ClosedLoopClient>(restarting_router, i));
  std::vector<std::unique_ptr<TestClient>> idle_clients; // send one request and keep their connections
  for (int i = 0; i < 20; ++i)
    idle_clients.push_back(
        std::make_unique<TestClient>(restarting_router.base.get(), restarting_router.port));
  for (std::size_t i = 0; i < idle_clients.size(); ++i)
    CHECK(idle_clients[i]->send_and_wait(get_request("/k/r", "rest" + std::to_string(i))).status == 200);
  const auto run_load_until = [&](const std::function<bool()>& done) {
    return restarting_router.wait_until([&] {
      for (const auto& load_client : load_clients) load_client->advance();
      return done();
    });
  };
  CHECK(restarting_router.send_command("disable-server s-1") == "ok\n");
  std::size_t max_descriptors = 0;
  for (int upgrade = 0; upgrade < 10; ++upgrade) {
    TestProgram& old = *restarting_router.programs.back();
    restarting_router.start(false);
    TestProgram& next = *restarting_router.programs.back();
    REQUIRE(run_load_until([&] { return next.port() != 0; }));
    max_descriptors = std::max(max_descriptors, old.open_descriptors() + next.open_descriptors());
    old.signal(SIGTERM);
    REQUIRE(run_load_until([&] { return old.has_exited(); }));
    CHECK(old.exit_code == 0);
    CHECK(old.output_contains("hot-restart-passing"));
    max_descriptors = std::max(max_descriptors, next.open_descriptors());
    const double load_end_ms = loop::now_ms() + 60;
    run_load_until([&] { return loop::now_ms() > load_end_ms; });
  }
  CHECK(max_descriptors <= 256);
  REQUIRE(restarting_router.wait_until([&] {
    bool all_answered = true;
    for (const auto& load_client : load_clients) {
      if (load_client->awaiting_response) load_client->advance();
      all_answered &= !load_client->awaiting_response;
    }
    return all_answered;
  }));
  int answered = 0, lost = 0, ended_by_response = 0, wrong = 0;
  for (const auto& load_client : load_clients) {
    answered += load_client->answered;
    lost += load_client->lost;
    ended_by_response += load_client->closed_by_response;
    wrong += load_client->answered - load_client->correct - load_client->shed;
  }
  MESSAGE(answered, " requests over ten upgrades, ", lost, " lost, ", ended_by_response,
          " connections ended");
  CHECK(answered > 500);
  CHECK(lost == 0);
  CHECK(wrong == 0);
  for (const auto& client : idle_clients) CHECK_FALSE(client->closed); // idle clients are not affected
  // The first ones may be shed right after the load, but are answered.
  for (std::size_t i = 0; i < idle_clients.size(); ++i) {
    const int status =
        idle_clients[i]->send_and_wait(get_request("/k/r", "again" + std::to_string(i))).status;
    CHECK((status == 200 || status == 503));
  }
  // s-1 has been disabled since before the first upgrade.
  const std::size_t before = restarting_router.cache_1.requests.size();
  CHECK(restarting_router.send_command("enable-server s-1") == "ok\n");
  std::vector<std::unique_ptr<TestClient>> burst_clients;
  for (int i = 0; i < 40; ++i) {
    burst_clients.push_back(
        std::make_unique<TestClient>(restarting_router.base.get(), restarting_router.port));
    burst_clients.back()->send(get_request("/k/b" + std::to_string(i), "b" + std::to_string(i)));
  }
  CHECK(restarting_router.wait_until([&] { return restarting_router.cache_1.requests.size() > before; }));
  for (const auto& message : restarting_router.cache_1.requests) {
    const std::string id(message.header("x-request-id"));
    CHECK((id.starts_with("rest") || id.starts_with("b")));
  }
}

TEST_CASE("an active request is answered by its process and then its connection is passed on") {
  RestartingRouter restarting_router;
  restarting_router.cache_1.script =
      restarting_router.cache_2.script = [](const http::Message&) { return std::string(); };
  restarting_router.start();
  TestClient client(restarting_router.base.get(), restarting_router.port),
      silent_client(restarting_router.base.get(), restarting_router.port);
  client.send(get_request("/k/1", "r1"));
  REQUIRE(restarting_router.wait_until([&] {
    return restarting_router.cache_1.requests.size() + restarting_router.cache_2.requests.size() == 1;
  }));
  ScriptedServer& cache =
      restarting_router.cache_1.requests.empty() ? restarting_router.cache_2 : restarting_router.cache_1;
  TestProgram& old = *restarting_router.programs.back();
  restarting_router.start();
  old.signal(SIGTERM);
  REQUIRE(restarting_router.wait_until([&] { return old.output_contains("hot-restart-passing"); }));
  run_for(restarting_router.base.get(), 50);
  CHECK_FALSE(old.has_exited());
  cache.write_to_last(ok_response("in time"));
  REQUIRE(restarting_router.wait_until([&] { return !client.responses.empty(); }));
  CHECK(client.responses[0].body == "in time");
  CHECK(client.responses[0].keep_alive);
  REQUIRE(restarting_router.wait_until([&] { return old.has_exited(); }));
  restarting_router.cache_1.script = restarting_router.cache_2.script = [](const http::Message& m) {
    return ok_response("v of " + m.target);
  };
  CHECK(client.send_and_wait(get_request("/k/2", "r2")).body == "v of /k/2");
}

// Guards against an old process that no longer serves, or can no longer be replaced, after a new process was
// killed before it took over.
TEST_CASE("a new process that dies: the old one serves on, with all there is") {
  RestartingRouter restarting_router;
  restarting_router.start();
  TestProgram& old = *restarting_router.programs.back();
  for (int i = 0; i < 3; ++i) {
    TestProgram& next = restarting_router.start();
    REQUIRE(restarting_router.wait_until([&] { return old.output_contains("hot-restart-ready"); }));
    next.signal(SIGKILL);
    REQUIRE(restarting_router.wait_until([&] { return next.has_exited(); }));
    restarting_router.programs.pop_back();
    restarting_router.control_ports.pop_back();
    REQUIRE(restarting_router.wait_until([&] { return old.output_contains("hot-restart-aborted"); }));
    old.output.clear();
    TestClient client(restarting_router.base.get(), restarting_router.port);
    CHECK(client.send_and_wait(get_request("/k/1", "r" + std::to_string(i))).status == 200);
  }
  TestProgram& last = restarting_router.start(); // it can still be replaced
  old.signal(SIGTERM);
  REQUIRE(restarting_router.wait_until([&] { return old.has_exited(); }));
  REQUIRE(restarting_router.wait_until([&] { return last.output_contains("hot-restart-complete"); }));
  TestClient client(restarting_router.base.get(), restarting_router.port);
  CHECK(client.send_and_wait(get_request("/k/1", "r9")).status == 200);
}

// Guards against a new process that never completes the takeover because the old one was killed.
TEST_CASE("an old process that is killed in the middle: the new one has all") {
  RestartingRouter restarting_router;
  restarting_router.start();
  TestProgram& old = *restarting_router.programs.back();
  TestProgram& next = restarting_router.start();
  old.signal(SIGKILL);
  REQUIRE(restarting_router.wait_until([&] { return next.output_contains("hot-restart-complete"); }));
  TestClient client(restarting_router.base.get(), restarting_router.port);
  CHECK(client.send_and_wait(get_request("/k/1", "r1")).status == 200);
  restarting_router.start(); // immediately afterwards
  next.signal(SIGTERM);
  REQUIRE(restarting_router.wait_until([&] { return next.has_exited(); }));
  CHECK(client.send_and_wait(get_request("/k/2", "r2")).status == 200);
}

TEST_CASE("overrides set in either process apply in both") {
  RestartingRouter restarting_router;
  restarting_router.start();
  restarting_router.start();
  CHECK(restarting_router.send_command("disable-server s-1", 1) == "ok\n"); // the old process
  CHECK(restarting_router.send_command("disable-server s-2") == "ok\n");    // the new process
  REQUIRE(restarting_router.wait_until(
      [&] { return restarting_router.programs[0]->output_contains("hot-restart-ready"); }));
  CHECK(restarting_router.wait_until([&] {
    return restarting_router.send_command("show-stat").find("unhealthy=2") != std::string::npos &&
           restarting_router.send_command("show-stat", 1).find("unhealthy=2") != std::string::npos;
  }));
  CHECK(restarting_router.send_command("enable-server s-1") == "ok\n");
  CHECK(restarting_router.wait_until([&] {
    return restarting_router.send_command("show-stat", 1).find("unhealthy=1") != std::string::npos;
  }));
}

TEST_CASE("a process starts whatever it finds at the socket path") {
  RestartingRouter restarting_router;
  SUBCASE("a socket left by a crash") {
    const int fd = socket(AF_UNIX, SOCK_STREAM, 0);
    sockaddr_un socket_address{};
    socket_address.sun_family = AF_UNIX;
    restarting_router.socket_path.copy(socket_address.sun_path, sizeof socket_address.sun_path - 1);
    REQUIRE(bind(fd, reinterpret_cast<const sockaddr*>(&socket_address), sizeof socket_address) == 0);
    close(fd);
  }
  SUBCASE("a file") { std::ofstream(restarting_router.socket_path) << "FWHO"; }
  SUBCASE("a directory") { mkdir(restarting_router.socket_path.c_str(), 0700); }
  SUBCASE("a missing directory") { restarting_router.folder_variable = "TMPDIR=/nowhere/at/all"; }
  restarting_router.start();
  TestClient client(restarting_router.base.get(), restarting_router.port);
  CHECK(client.send_and_wait(get_request("/k/1", "r1")).status == 200);
}

namespace {

// Listens at the socket path in place of a router process. It sends the same bytes, or none, to each
// connection and then closes it or keeps it open.
struct FakeProcess {
  FakeProcess(event_base* base, const std::string& path, std::string bytes, bool closes_connections)
      : response(std::move(bytes)), closes(closes_connections) {
    sockaddr_un socket_address{};
    socket_address.sun_family = AF_UNIX;
    path.copy(socket_address.sun_path, sizeof socket_address.sun_path - 1);
    listener = evconnlistener_new_bind(base, &FakeProcess::on_accepted, this, LEV_OPT_CLOSE_ON_FREE, 4,
                                       reinterpret_cast<sockaddr*>(&socket_address), sizeof socket_address);
    REQUIRE(listener != nullptr);
  }
  ~FakeProcess() {
    evconnlistener_free(listener);
    for (const int fd : open_sockets) close(fd);
  }
  static void on_accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
    auto* fake_process = static_cast<FakeProcess*>(self);
    [[maybe_unused]] const auto n = write(fd, fake_process->response.data(), fake_process->response.size());
    fake_process->closes ? void(close(fd)) : fake_process->open_sockets.push_back(fd);
  }
  std::string response;
  bool closes;
  evconnlistener* listener = nullptr;
  std::vector<int> open_sockets;
};

} // namespace

TEST_CASE("a process starts if the listener at the socket path answers incorrectly") {
  RestartingRouter restarting_router;
  std::string response, expected_reason;
  bool closes = false;
  SUBCASE("silence") { expected_reason = "no takeover grant received in time"; }
  // Either "old process closed the connection" or "old process did not accept the takeover request", by
  // timing.
  SUBCASE("the connection is closed") { closes = true, expected_reason = "old process "; }
  SUBCASE("noise") {
    response = "HTTP/1.1 400 Bad Request\r\n\r\n", expected_reason = "bytes are not a hot restart frame";
  }
  SUBCASE("an unexpected message") {
    response = hot_restart::encode(hot_restart::NewProcessReady{}),
    expected_reason = "first message is not a takeover grant";
  }
  SUBCASE("a grant without its descriptor") {
    response = hot_restart::encode(hot_restart::TakeoverGrant{}),
    expected_reason = "message has no file descriptor";
  }
  const FakeProcess fake_process(restarting_router.base.get(), restarting_router.socket_path, response,
                                 closes);
  TestProgram& program = restarting_router.start();
  INFO(program.output);
  CHECK(program.output_contains("hot-restart-failed why=\"" + expected_reason));
  TestClient client(restarting_router.base.get(), restarting_router.port);
  CHECK(client.send_and_wait(get_request("/k/1", "r1")).status == 200);
}

TEST_CASE("invalid connections to the socket path change nothing") {
  RestartingRouter restarting_router;
  TestProgram& program = restarting_router.start();
  const auto send_to_socket = [&](const std::string& text) {
    const int fd = socket(AF_UNIX, SOCK_STREAM, 0);
    sockaddr_un socket_address{};
    socket_address.sun_family = AF_UNIX;
    restarting_router.socket_path.copy(socket_address.sun_path, sizeof socket_address.sun_path - 1);
    REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&socket_address), sizeof socket_address) == 0);
    REQUIRE(send(fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
    run_for(restarting_router.base.get(), 50);
    char bytes[256];
    CHECK(recv(fd, bytes, sizeof bytes, MSG_DONTWAIT) == 0); // closed without a response
    close(fd);
  };
  std::string request = hot_restart::encode(
      hot_restart::TakeoverRequest{"n1", "127.0.0.1:" + std::to_string(restarting_router.port), 28});
  request[4] = 9; // a future version
  send_to_socket(request);
  send_to_socket("GET / HTTP/1.1\r\n\r\n");
  send_to_socket(hot_restart::encode(hot_restart::TakeoverRequest{"n1", "127.0.0.1:1", 28}));
  send_to_socket(hot_restart::encode(hot_restart::NewProcessReady{}));
  CHECK(program.output_contains("hot-restart-refused why=\"takeover request names another listen address"));
  TestClient client(restarting_router.base.get(), restarting_router.port);
  CHECK(client.send_and_wait(get_request("/k/1", "r1")).status == 200);
  restarting_router.start();
  program.signal(SIGTERM);
  REQUIRE(restarting_router.wait_until([&] { return program.has_exited(); }));
  CHECK(program.output_contains("hot-restart-passing"));
}

TEST_CASE("without the Unix socket both processes listen and the old one drains normally") {
  RestartingRouter restarting_router;
  restarting_router.folder_variable = "TMPDIR=/nowhere/at/all";
  restarting_router.start();
  TestProgram& old = *restarting_router.programs.back();
  restarting_router.start();
  old.signal(SIGTERM);
  REQUIRE(restarting_router.wait_until([&] { return old.has_exited(); }));
  CHECK(old.exit_code == 0);
  TestClient client(restarting_router.base.get(), restarting_router.port);
  CHECK(client.send_and_wait(get_request("/k/1", "r1")).status == 200);
}

// Guards against a new process that fails because its descriptor limit is lower than that of the old process.
TEST_CASE("a new process with far fewer descriptors takes what it has places for, and lives") {
  RestartingRouter restarting_router;
  restarting_router.config["limits"]["sockets"] = 512;
  restarting_router.start();
  TestProgram& old = *restarting_router.programs.back();
  std::vector<std::unique_ptr<TestClient>> idle_clients;
  for (int i = 0; i < 120; ++i) {
    idle_clients.push_back(
        std::make_unique<TestClient>(restarting_router.base.get(), restarting_router.port));
    REQUIRE(idle_clients.back()->send_and_wait(get_request("/k/r", "rest" + std::to_string(i))).status ==
            200);
  }
  restarting_router.config["limits"]["sockets"] = 64;
  TestProgram& next = restarting_router.start();
  old.signal(SIGTERM);
  REQUIRE(restarting_router.wait_until([&] { return old.has_exited(); }));
  REQUIRE(restarting_router.wait_until(
      [&] { return next.output_contains("hot-restart-complete") || next.has_exited(); }));
  CHECK_FALSE(next.has_exited());
  CHECK(next.open_descriptors() <= 64);
  TestClient client(restarting_router.base.get(), restarting_router.port);
  CHECK(client.send_and_wait(get_request("/k/1", "r1")).status == 200);
}

// Guards against a lost, truncated or repeated request if its process is replaced at any stage of the
// request.
TEST_CASE("an upgrade at each stage of a request: one whole answer, one attempt") {
  const std::string value(1 << 20, 'L'), body(1 << 20, 'b');
  const std::string upload =
      "PUT /k/1 HTTP/1.1\r\nHost: h\r\nX-Request-ID: r1\r\nX-Priority-Class: book\r\nIdempotency-Key: "
      "k\r\nX-Timeout-Ms: 6000\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  const std::string lookup = get_request("/k/1", "r1");
  const struct {
    const char* name;
    std::string request, response;
    std::size_t request_bytes_sent, response_bytes_sent; // bytes sent before the upgrade
  } stages[] = {{"connected", lookup, ok_response("v"), 0, 0},
                {"head", lookup, ok_response("v"), 30, 0},
                {"body", upload, ok_response("v"), 600 << 10, 0},
                {"awaiting", lookup, ok_response("v"), lookup.size(), 0},
                {"answer head", lookup, ok_response("v"), lookup.size(), 20},
                {"answer body", lookup, ok_response("value"), lookup.size(), ok_response("value").size() - 1},
                {"passing", lookup, ok_response(value), lookup.size(), 300 << 10}};
  for (const auto& stage : stages) {
    CAPTURE(stage.name);
    RestartingRouter restarting_router;
    for (auto& c : restarting_router.config["settings"]["classes"]) c["aim"] = 6000, c["give_up"] = 6000;
    bool paused = true;
    const ScriptedServer::Script script = [&](const http::Message& m) {
      if (m.header("x-request-id") != "r1") return ok_response("v of " + m.target);
      return paused ? stage.response.substr(0, stage.response_bytes_sent) : stage.response;
    };
    restarting_router.cache_1.script = restarting_router.cache_2.script = restarting_router.origin.script =
        script;
    restarting_router.start();
    TestClient client(restarting_router.base.get(), restarting_router.port);
    const auto requests_received = [&] {
      return restarting_router.cache_1.requests.size() + restarting_router.cache_2.requests.size() +
             restarting_router.origin.requests.size();
    };
    client.send(stage.request.substr(0, stage.request_bytes_sent));
    const bool request_complete = stage.request_bytes_sent == stage.request.size();
    REQUIRE(restarting_router.wait_until([&] {
      return request_complete
                 ? requests_received() == 1
                 : stage.request_bytes_sent < 1000 || restarting_router.origin.partial_body_bytes > 0;
    }));
    if (stage.response_bytes_sent > 100000)
      REQUIRE(restarting_router.wait_until([&] { return client.partial_body_bytes() > 0; }));
    TestProgram& old = *restarting_router.programs.back();
    restarting_router.start();
    old.signal(SIGTERM);
    REQUIRE(restarting_router.wait_until([&] { return old.output_contains("hot-restart-passing"); }));
    run_for(restarting_router.base.get(), 30);
    paused = false;
    client.send(stage.request.substr(stage.request_bytes_sent));
    if (request_complete) {
      for (ScriptedServer* peer :
           {&restarting_router.cache_1, &restarting_router.cache_2, &restarting_router.origin}) {
        if (!peer->requests.empty()) peer->write_to_last(stage.response.substr(stage.response_bytes_sent));
      }
    }
    REQUIRE(restarting_router.wait_until([&] { return !client.responses.empty() || client.closed; }));
    REQUIRE(client.responses.size() == 1);
    CHECK(client.responses[0].status == 200);
    CHECK((client.responses[0].body == stage.response.substr(stage.response.find("\r\n\r\n") + 4)));
    CHECK(requests_received() == 1);
    REQUIRE(restarting_router.wait_until([&] { return old.has_exited(); }));
    CHECK(old.exit_code == 0);
    CHECK(restarting_router.programs.back()->output_contains("hot-restart-complete"));
  }
}

// Guards against requests that are executed and never answered: they become complete after SIGTERM, with a
// timeout that is longer than the rest of the old process's time.
TEST_CASE(
    "requests that are complete only after SIGTERM of an upgrade are answered before the process exits") {
  RestartingRouter restarting_router;
  Json& classes = restarting_router.config["settings"]["classes"];
  classes.push_back({{"name", "once"}, {"repeat", "unsafe"}, {"worth", 1}});
  for (auto& c : classes) c["aim"] = c["give_up"] = 100000;
  const auto head_of = [](const std::string& request_line, const std::string& id) {
    return request_line + " HTTP/1.1\r\nHost: h\r\nX-Timeout-Ms: 100000\r\nX-Request-ID: " + id;
  };
  const auto write_of = [&](const std::string& id, std::size_t body_bytes) {
    return head_of("PUT /k/" + id, id) +
           "\r\nX-Priority-Class: once\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
           std::string(body_bytes, 'b');
  };
  const std::string requests[] = {head_of("GET /k/1", "r1") + "\r\nX-Priority-Class: read\r\n\r\n",
                                  write_of("r2", 1000), write_of("r3", 1 << 20)};
  const ScriptedServer::Script no_response = [](const http::Message&) { return std::string(); };
  for (ScriptedServer* peer :
       {&restarting_router.cache_1, &restarting_router.cache_2, &restarting_router.origin})
    peer->script = no_response;
  TestProgram& old = restarting_router.start();
  std::vector<std::unique_ptr<TestClient>> clients;
  for (const std::string& request : requests) {
    clients.push_back(std::make_unique<TestClient>(restarting_router.base.get(), restarting_router.port));
    clients.back()->send(request.substr(0, request.size() / 2));
  }
  // The half of the long body that has arrived is forwarded, so that the other halves have been read as well.
  REQUIRE(restarting_router.wait_until([&] { return restarting_router.origin.partial_body_bytes > 0; }));
  restarting_router.start();
  old.signal(SIGTERM);
  REQUIRE(restarting_router.wait_until([&] { return old.output_contains("hot-restart-passing"); }));
  for (std::size_t i = 0; i < clients.size(); ++i)
    clients[i]->send(requests[i].substr(requests[i].size() / 2));
  REQUIRE(restarting_router.wait_until([&] {
    return restarting_router.cache_1.requests.size() + restarting_router.cache_2.requests.size() > 0 &&
           restarting_router.origin.requests.size() == 2;
  }));
  REQUIRE(restarting_router.wait_until([&] { return old.has_exited(); }));
  CHECK(old.exit_code == 0);
  for (const auto& client : clients) {
    REQUIRE(restarting_router.wait_until([&] { return !client->responses.empty() || client->closed; }));
    REQUIRE(client->responses.size() == 1);
    // The writes may have been executed and may not be repeated, so that they must not be rejected.
    CHECK(client->responses[0].status == (client == clients.front() ? 503 : 502));
  }
}
