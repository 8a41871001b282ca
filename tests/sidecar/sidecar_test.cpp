// End-to-end tests of the sidecar program with real applications: start and stop order, crashes, claims,
// reloads.
#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <string>

#include "program.h"
#include "sidecar/address_claim.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

// A server, a port and a runtime folder for the sidecars of a test.
struct SidecarFixture {
  router::EventBasePtr base = router::make_event_base();
  ScriptedServer server{base.get(), [](const http::Message& m) { return ok_response("v of " + m.target); }};
  TemporaryFolder folder;
  int port = free_port();

  std::string config_text(const std::string& name, const std::string& extra = "",
                          const std::string& class_name = "read") const {
    return "name = \"" + name + "\"\nlisten = \"127.0.0.1:" + std::to_string(port) +
           "\"\n[fleet.nodes.n-1]\naddress = \"" + server.address + "\"\n[classes." + class_name +
           "]\ngive_up = \"10s\"\nrepeat = \"safe\"\n[application]\nruntime_folder = \"" + folder.path +
           "\"\nstop = \"400ms\"\n" + extra;
  }
  std::vector<std::string> arguments(const std::string& file, const std::string& script) const {
    return {"sidecar", "--config", file, "--", "/bin/sh", "-c", script};
  }
  bool wait_until(const std::function<bool()>& condition) { return run_until(base.get(), condition); }
  // The process id in the last log line "EVENT process=N"; 0 if there is none.
  static pid_t logged_process_id(TestProgram& program, const std::string& event) {
    const auto position = program.output.rfind(event + " process=");
    return position == std::string::npos ? 0 : std::stoi(program.output.substr(position + event.size() + 9));
  }
};

// A field of /proc/PID/status; empty if there is none.
std::string process_status(pid_t process_id, const std::string& key) {
  std::ifstream lines("/proc/" + std::to_string(process_id) + "/status");
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(key + ":\t")) return line.substr(key.size() + 2);
  }
  return "";
}

// A request without a tenant or a timeout, unlike get_request().
std::string read_request(const std::string& id) {
  return "GET /k/1 HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id + "\r\nX-Priority-Class: read\r\n\r\n";
}

} // namespace

TEST_CASE("the application starts once the router is ready and its exit code becomes the sidecar's") {
  SidecarFixture fixture;
  const std::string file =
      fixture.folder.write("app.toml", fixture.config_text("bookings", "environment = [\"MODE=fast\"]\n"));
  TestProgram program(fixture.arguments(file, "echo at=$FERNWARD_ADDRESS mode=$MODE; exit 7"),
                      Json::object());
  REQUIRE(fixture.wait_until([&] { return program.has_exited(); }));
  INFO(program.output);
  CHECK(program.exit_code == 7);
  CHECK(program.output_contains("at=127.0.0.1:" + std::to_string(fixture.port) + " mode=fast"));
  CHECK(program.output.find("listening name=bookings") < program.output.find("at=127"));
  CHECK(program.output.find("sidecar-application-ended") < program.output.find("graceful-shutdown"));
  TestProgram missing({"sidecar", "--config", file, "--", "/no/such/program"}, Json::object());
  REQUIRE(fixture.wait_until([&] { return missing.has_exited(); }));
  CHECK(missing.exit_code == 127);
}

TEST_CASE("wrong usage and invalid configuration files are rejected") {
  SidecarFixture fixture;
  const auto run = [&](const std::vector<std::string>& words) {
    TestProgram program(words, Json::object());
    REQUIRE(fixture.wait_until([&] { return program.has_exited(); }));
    return std::pair(program.exit_code, program.output);
  };
  CHECK(run({"sidecar", "--", "true"}).first == 2);
  CHECK(run({"sidecar", "--config", "/nowhere"}).first == 2);
  CHECK(run({"sidecar", "--config", "/nowhere", "--", "true"}).first == 1);
  // Guards against a configuration that sends all requests of an application to the origin.
  const std::string ledger = fixture.folder.write(
      "ledger.toml", fixture.config_text("a", "[fleet]\nledger = \"slots\"\n[fleet.kinds.slots]\n"));
  const auto [code, text] = run(fixture.arguments(ledger, "echo begun"));
  INFO(text);
  CHECK(code == 1);
  CHECK(text.find("ledger-only: fleet.ledger: 100% of the requests would go to the ledger") !=
        std::string::npos);
  CHECK(text.find("begun") == std::string::npos);
}

TEST_CASE(
    "of two sidecars started together on one address exactly one serves and the other names the owner") {
  SidecarFixture fixture;
  const std::string file_one = fixture.folder.write("a.toml", fixture.config_text("one")),
                    file_two = fixture.folder.write("b.toml", fixture.config_text("two"));
  constexpr int kRounds = 50;
  int first_served_count = 0;
  for (int round = 0; round < kRounds; ++round) {
    fixture.port = free_port();
    fixture.folder.write("a.toml", fixture.config_text("one"));
    fixture.folder.write("b.toml", fixture.config_text("two"));
    TestProgram one(fixture.arguments(file_one, "sleep 60"), Json::object()),
        two(fixture.arguments(file_two, "sleep 60"), Json::object());
    REQUIRE(fixture.wait_until([&] { return one.has_exited() || two.has_exited(); }));
    TestProgram& rejected = one.has_exited() ? one : two;
    TestProgram& serving = &rejected == &one ? two : one;
    INFO(one.output << two.output);
    CHECK(rejected.exit_code == 1);
    CHECK(rejected.output_contains(std::string("is claimed by application ") +
                                   (&serving == &one ? "one" : "two") + " (process "));
    CHECK_FALSE(rejected.output_contains("listening"));
    REQUIRE(fixture.wait_until([&] { return serving.output_contains("sidecar-application-started"); }));
    first_served_count += &serving == &one;
    serving.signal(SIGKILL); // the claim left behind does not matter: each round has its own address
  }
  MESSAGE("the sidecar started first served " << first_served_count << " times out of " << kRounds);
}

TEST_CASE("after a crash the application and the router end and the next sidecar takes over the claim") {
  SidecarFixture fixture;
  const std::string file = fixture.folder.write("app.toml", fixture.config_text("bookings"));
  TestProgram first(fixture.arguments(file, "sleep 60"), Json::object());
  REQUIRE(fixture.wait_until([&] { return first.output_contains("sidecar-application-started"); }));
  const pid_t application = SidecarFixture::logged_process_id(first, "sidecar-application-started");
  first.signal(SIGKILL);
  REQUIRE(fixture.wait_until([&] { return first.has_exited(); }));
  TestProgram second(fixture.arguments(file, "echo begun; sleep 60"), Json::object());
  const bool started = fixture.wait_until([&] { return second.output_contains("begun"); });
  INFO(second.output);
  CHECK(started);
  CHECK(fixture.wait_until([&] { return kill(application, 0) != 0; }));
  second.signal(SIGTERM);
  REQUIRE(fixture.wait_until([&] { return second.has_exited(); }));
  CHECK(second.exit_code == 143);
  // A normal exit leaves no claim file behind.
  for (const auto& entry : std::filesystem::directory_iterator(fixture.folder.path)) {
    CHECK(entry.path().extension() != ".claim");
  }
}

TEST_CASE("SIGTERM: the application is served until it ends and is killed if it ignores the signal") {
  SidecarFixture fixture;
  const std::string file =
      fixture.folder.write("app.toml", fixture.config_text("bookings", "ready = \"5s\"\n"));
  {
    TestProgram program(
        fixture.arguments(
            file, "trap 'echo ending; sleep 0.2; exit 3' TERM; echo begun; while :; do sleep 0.02; done"),
        Json::object());
    REQUIRE(fixture.wait_until([&] { return program.output_contains("begun"); }));
    TestClient client(fixture.base.get(), fixture.port);
    CHECK(client.send_and_wait(read_request("r1")).body == "v of /k/1");
    program.signal(SIGTERM);
    REQUIRE(fixture.wait_until([&] { return program.output_contains("ending"); }));
    CHECK(client.send_and_wait(read_request("r2")).body == "v of /k/1");
    REQUIRE(fixture.wait_until([&] { return program.has_exited(); }));
    CHECK(program.exit_code == 3);
    CHECK(program.output.find("sidecar-application-ended") < program.output.find("graceful-shutdown"));
  }
  TestProgram program(fixture.arguments(file, "trap '' TERM; echo begun; while :; do sleep 0.02; done"),
                      Json::object());
  REQUIRE(fixture.wait_until([&] { return program.output_contains("begun"); }));
  program.signal(SIGTERM);
  REQUIRE(fixture.wait_until([&] { return program.has_exited(); }));
  CHECK(program.exit_code == 128 + SIGKILL);
  CHECK(program.output_contains("sidecar-application-killed"));
}

TEST_CASE("a router that crashes is restarted repeatedly while the application keeps running") {
  SidecarFixture fixture;
  const std::string file = fixture.folder.write(
      "app.toml", fixture.config_text("bookings", "restart_first = \"50ms\"\nrestart_most = \"100ms\"\n"));
  TestProgram program(fixture.arguments(file, "echo begun; sleep 60"), Json::object());
  REQUIRE(fixture.wait_until([&] { return program.output_contains("begun"); }));
  kill(SidecarFixture::logged_process_id(program, "sidecar-router-started"), SIGKILL);
  REQUIRE(fixture.wait_until([&] { return program.output_contains("restarts=1"); }));
  CHECK(fixture.wait_until([&] {
    TestClient client(fixture.base.get(), fixture.port);
    run_for(fixture.base.get(), 20);
    return !client.closed &&
           client.send_and_wait(read_request("r" + std::to_string(loop::now_ms()))).status == 200;
  }));
  // While another socket occupies its address, the router ends right after each start.
  const int occupying_socket = socket(AF_INET, SOCK_STREAM, 0), enable = 1;
  setsockopt(occupying_socket, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(fixture.port));
  kill(SidecarFixture::logged_process_id(program, "sidecar-router-started"), SIGKILL);
  REQUIRE(fixture.wait_until([&] {
    return bind(occupying_socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0 &&
           listen(occupying_socket, 1) == 0;
  }));
  REQUIRE(fixture.wait_until([&] { return program.output_contains("restarts=5"); }));
  close(occupying_socket);
  CHECK(fixture.wait_until([&] {
    return program.output_contains("restarts=5") &&
           program.output.rfind("listening name") > program.output.find("restarts=5");
  }));
  CHECK(program.output.find("sidecar-application-ended") == std::string::npos);
  program.signal(SIGTERM);
  REQUIRE(fixture.wait_until([&] { return program.has_exited(); }));
}

TEST_CASE("the application is not started if the router is never ready or SIGTERM arrives before") {
  SidecarFixture fixture;
  std::string text = fixture.config_text(
      "bookings", "ready = \"300ms\"\n[fleet]\nfile = \"" + fixture.folder.path + "/none.json\"\n");
  const auto nodes = text.find("[fleet.nodes"), classes = text.find("[classes");
  text.erase(nodes, classes - nodes);
  const std::string file = fixture.folder.write("app.toml", text);
  TestProgram program(fixture.arguments(file, "echo begun"), Json::object());
  REQUIRE(fixture.wait_until([&] { return program.has_exited(); }));
  INFO(program.output);
  CHECK(program.exit_code == 1);
  CHECK(program.output_contains("sidecar-router-never-ready"));
  CHECK_FALSE(program.output_contains("begun"));
  TestProgram terminated_program(fixture.arguments(file, "echo begun"), Json::object());
  REQUIRE(fixture.wait_until([&] { return terminated_program.output_contains("sidecar-router-started"); }));
  terminated_program.signal(SIGTERM);
  REQUIRE(fixture.wait_until([&] { return terminated_program.has_exited(); }));
  CHECK(terminated_program.exit_code == 143);
  CHECK_FALSE(terminated_program.output_contains("begun"));
}

// Guards against a lost SIGTERM: while the router starts, the signal would run a handler that the new process
// has inherited from the sidecar, and have no effect.
TEST_CASE("SIGTERM before the router's process has reset its signal handlers is not lost") {
  SidecarFixture fixture;
  const std::string file = fixture.folder.write("app.toml", fixture.config_text("bookings"));
  TestProgram program(fixture.arguments(file, "echo begun"), Json::object(),
                      {"LD_PRELOAD=" FERNWARD_HOLD_LIBRARY, "ASAN_OPTIONS=verify_asan_link_order=0"});
  REQUIRE(fixture.wait_until([&] { return program.output_contains(" restarts=0"); }));
  const pid_t router_id = SidecarFixture::logged_process_id(program, "sidecar-router-started");
  const auto status = [&](const std::string& key) { return process_status(router_id, key); };
  REQUIRE(fixture.wait_until([&] { return status("State").starts_with("T"); }));
  program.signal(SIGTERM);
  const auto sigterm_is_pending = [&] {
    return (std::stoull(status("ShdPnd"), nullptr, 16) >> (SIGTERM - 1) & 1) == 1;
  };
  REQUIRE(fixture.wait_until(sigterm_is_pending));
  kill(router_id, SIGCONT);
  const double continued_at = loop::now_ms();
  REQUIRE(fixture.wait_until([&] { return program.has_exited(); }));
  INFO(program.output);
  CHECK(loop::now_ms() - continued_at < 4000); // well below the 10 s drain timeout
  CHECK(program.exit_code == 143);
  CHECK_FALSE(program.output_contains("begun"));
}

TEST_CASE("reload: an invalid file and a class renamed under an active request lose no request") {
  SidecarFixture fixture;
  const std::string file = fixture.folder.write("app.toml", fixture.config_text("bookings"));
  TestProgram program(fixture.arguments(file, "echo begun; sleep 60"), Json::object());
  REQUIRE(fixture.wait_until([&] { return program.output_contains("begun"); }));
  TestClient sequential_client(fixture.base.get(), fixture.port),
      waiting_client(fixture.base.get(), fixture.port);
  int request_count = 0;
  const auto served = [&] {
    const auto answer = sequential_client.send_and_wait(read_request("r" + std::to_string(++request_count)));
    return answer.status == 200;
  };
  CHECK(served());
  fixture.folder.write("app.toml", "name = ");
  program.signal(SIGHUP);
  REQUIRE(fixture.wait_until([&] { return program.output_contains("reload-refused") && served(); }));
  // A reload is applied completely or not at all.
  fixture.folder.write("app.toml", fixture.config_text("bookings", "[limits]\nsockets = 300\n"));
  program.signal(SIGHUP);
  REQUIRE(fixture.wait_until(
      [&] { return program.output_contains("limits.sockets: holds until the next start") && served(); }));

  const auto script = fixture.server.script;
  fixture.server.script = [](const http::Message&) { return std::string(); };
  waiting_client.send(read_request("open"));
  const auto requests_before = fixture.server.requests.size();
  REQUIRE(fixture.wait_until([&] { return fixture.server.requests.size() == requests_before + 1; }));
  fixture.folder.write("app.toml", fixture.config_text("bookings", "", "lookup"));
  program.signal(SIGHUP);
  REQUIRE(fixture.wait_until([&] { return program.output_contains("config-reloaded"); }));
  fixture.server.write_to_last(ok_response("in time"));
  REQUIRE(fixture.wait_until([&] { return !waiting_client.responses.empty(); }));
  CHECK(waiting_client.responses[0].body == "in time");
  fixture.server.script = script;
  CHECK(sequential_client
            .send_and_wait(
                "GET /k/1 HTTP/1.1\r\nHost: h\r\nX-Request-ID: n1\r\nX-Priority-Class: lookup\r\n\r\n")
            .status == 200);
  // The class no longer exists under its old name.
  CHECK(sequential_client.send_and_wait(read_request("n2")).status == 400);
  CHECK_FALSE(program.output_contains("sidecar-router-ended"));
  program.signal(SIGTERM);
  REQUIRE(fixture.wait_until([&] { return program.has_exited(); }));
}

TEST_CASE("a unix socket is served and removed on exit and one left by a crash is taken over") {
  SidecarFixture fixture;
  const std::string path = fixture.folder / "router.sock";
  std::string text = fixture.config_text("bookings");
  const std::string tcp_address = "127.0.0.1:" + std::to_string(fixture.port);
  text.replace(text.find(tcp_address), tcp_address.size(), "unix:" + path);
  const std::string file = fixture.folder.write("app.toml", text);
  {
    TestProgram program({"serve", "--config", file}, Json::object());
    REQUIRE(fixture.wait_until([&] { return program.output_contains("listening name="); }));
    program.signal(SIGKILL);
    REQUIRE(fixture.wait_until([&] { return program.has_exited(); }));
  }
  CHECK(std::filesystem::exists(path));
  // The application starts only if the readiness check on the socket succeeds.
  TestProgram program(fixture.arguments(file, "echo at=$FERNWARD_ADDRESS"), Json::object());
  REQUIRE(fixture.wait_until([&] { return program.has_exited(); }));
  INFO(program.output);
  CHECK(program.exit_code == 0);
  CHECK(program.output_contains("at=unix:" + path));
  CHECK_FALSE(std::filesystem::exists(path));
}
