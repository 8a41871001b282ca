// End-to-end tests of the sidecar program with real applications: start and stop order, crashes, claims,
// reloads.
#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <string>

#include "program.h"
#include "sidecar/claim.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

struct Beside {
  router::BasePtr base = router::make_base();
  Peer node{base.get(), [](const http::Message& m) { return ok("v of " + m.target); }};
  Folder folder;
  int port = free_port();

  std::string text(const std::string& name, const std::string& more = "",
                   const std::string& cls = "read") const {
    return "name = \"" + name + "\"\nlisten = \"127.0.0.1:" + std::to_string(port) +
           "\"\n[fleet.nodes.n-1]\naddress = \"" + node.address + "\"\n[classes." + cls +
           "]\ngive_up = \"10s\"\nrepeat = \"safe\"\n[application]\nruntime_folder = \"" + folder.path +
           "\"\nstop = \"400ms\"\n" + more;
  }
  std::vector<std::string> words(const std::string& file, const std::string& script) const {
    return {"sidecar", "--config", file, "--", "/bin/sh", "-c", script};
  }
  bool until(const std::function<bool()>& done) { return run_until(base.get(), done); }
  // The process id in the last log line "EVENT process=N"; 0 if there is none.
  static pid_t process(Program& program, const std::string& event) {
    const auto at = program.text.rfind(event + " process=");
    return at == std::string::npos ? 0 : std::stoi(program.text.substr(at + event.size() + 9));
  }
};

// A field of /proc/PID/status; empty if there is none.
std::string status_of(pid_t process, const std::string& key) {
  std::ifstream lines("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(key + ":\t")) return line.substr(key.size() + 2);
  }
  return "";
}

std::string read_of(const std::string& id) { // like get_request() of peers.h, but with the class "read"
  return "GET /k/1 HTTP/1.1\r\nX-Request-ID: " + id + "\r\nX-Priority-Class: read\r\n\r\n";
}

} // namespace

TEST_CASE("the application starts once the router is ready and its exit code becomes the sidecar's") {
  Beside s;
  const std::string file = s.folder.write("app.toml", s.text("bookings", "environment = [\"MODE=fast\"]\n"));
  Program program(s.words(file, "echo at=$FERNWARD_ADDRESS mode=$MODE; exit 7"), Json::object());
  REQUIRE(s.until([&] { return program.ended(); }));
  INFO(program.text);
  CHECK(program.code == 7);
  CHECK(program.says("at=127.0.0.1:" + std::to_string(s.port) + " mode=fast"));
  CHECK(program.text.find("listening name=bookings") < program.text.find("at=127"));
  CHECK(program.text.find("sidecar-application-ended") < program.text.find("graceful-shutdown"));
  Program missing({"sidecar", "--config", file, "--", "/no/such/program"}, Json::object());
  REQUIRE(s.until([&] { return missing.ended(); }));
  CHECK(missing.code == 127);
}

TEST_CASE("wrong usage and invalid configuration files are rejected") {
  Beside s;
  const auto run = [&](const std::vector<std::string>& words) {
    Program program(words, Json::object());
    REQUIRE(s.until([&] { return program.ended(); }));
    return std::pair(program.code, program.text);
  };
  CHECK(run({"sidecar", "--", "true"}).first == 2);
  CHECK(run({"sidecar", "--config", "/nowhere"}).first == 2);
  CHECK(run({"sidecar", "--config", "/nowhere", "--", "true"}).first == 1);
  // Guards against a configuration that sends all requests of an application to the origin.
  const std::string ledger =
      s.folder.write("ledger.toml", s.text("a", "[fleet]\nledger = \"slots\"\n[fleet.kinds.slots]\n"));
  const auto [code, text] = run(s.words(ledger, "echo begun"));
  INFO(text);
  CHECK(code == 1);
  CHECK(text.find("ledger-only: fleet.ledger: 100% of the requests would go to the ledger") !=
        std::string::npos);
  CHECK(text.find("begun") == std::string::npos);
}

TEST_CASE(
    "of two sidecars started together on one address exactly one serves and the other names the owner") {
  Beside s;
  const std::string a = s.folder.write("a.toml", s.text("one")), b = s.folder.write("b.toml", s.text("two"));
  constexpr int kRounds = 50;
  int firsts = 0;
  for (int round = 0; round < kRounds; ++round) {
    s.port = free_port();
    s.folder.write("a.toml", s.text("one"));
    s.folder.write("b.toml", s.text("two"));
    Program one(s.words(a, "sleep 60"), Json::object()), two(s.words(b, "sleep 60"), Json::object());
    REQUIRE(s.until([&] { return one.ended() || two.ended(); }));
    Program& loser = one.ended() ? one : two;
    Program& winner = &loser == &one ? two : one;
    INFO(one.text << two.text);
    CHECK(loser.code == 1);
    CHECK(loser.says(std::string("is claimed by application ") + (&winner == &one ? "one" : "two") +
                     " (process "));
    CHECK_FALSE(loser.says("listening"));
    REQUIRE(s.until([&] { return winner.says("sidecar-application-started"); }));
    firsts += &winner == &one;
    winner.signal(SIGKILL); // the claim left behind does not matter: each round has its own address
  }
  MESSAGE("the sidecar started first served " << firsts << " times out of " << kRounds);
}

TEST_CASE("after a crash the application and the router end and the next sidecar takes over the claim") {
  Beside s;
  const std::string file = s.folder.write("app.toml", s.text("bookings"));
  Program first(s.words(file, "sleep 60"), Json::object());
  REQUIRE(s.until([&] { return first.says("sidecar-application-started"); }));
  const pid_t application = Beside::process(first, "sidecar-application-started");
  first.signal(SIGKILL);
  REQUIRE(s.until([&] { return first.ended(); }));
  Program second(s.words(file, "echo begun; sleep 60"), Json::object());
  const bool begun = s.until([&] { return second.says("begun"); });
  INFO(second.text);
  CHECK(begun);
  CHECK(s.until([&] { return kill(application, 0) != 0; }));
  second.signal(SIGTERM);
  REQUIRE(s.until([&] { return second.ended(); }));
  CHECK(second.code == 143);
  // A normal exit leaves no claim file behind.
  for (const auto& entry : std::filesystem::directory_iterator(s.folder.path)) {
    CHECK(entry.path().extension() != ".claim");
  }
}

TEST_CASE("SIGTERM: the application is served until it ends and is killed if it ignores the signal") {
  Beside s;
  const std::string file = s.folder.write("app.toml", s.text("bookings", "ready = \"5s\"\n"));
  {
    Program program(
        s.words(file, "trap 'echo ending; sleep 0.2; exit 3' TERM; echo begun; while :; do sleep 0.02; done"),
        Json::object());
    REQUIRE(s.until([&] { return program.says("begun"); }));
    Client client(s.base.get(), s.port);
    CHECK(client.ask(read_of("r1")).body == "v of /k/1");
    program.signal(SIGTERM);
    REQUIRE(s.until([&] { return program.says("ending"); }));
    CHECK(client.ask(read_of("r2")).body == "v of /k/1");
    REQUIRE(s.until([&] { return program.ended(); }));
    CHECK(program.code == 3);
    CHECK(program.text.find("sidecar-application-ended") < program.text.find("graceful-shutdown"));
  }
  Program program(s.words(file, "trap '' TERM; echo begun; while :; do sleep 0.02; done"), Json::object());
  REQUIRE(s.until([&] { return program.says("begun"); }));
  program.signal(SIGTERM);
  REQUIRE(s.until([&] { return program.ended(); }));
  CHECK(program.code == 128 + SIGKILL);
  CHECK(program.says("sidecar-application-killed"));
}

TEST_CASE("a router that crashes is restarted repeatedly while the application keeps running") {
  Beside s;
  const std::string file =
      s.folder.write("app.toml", s.text("bookings", "restart_first = \"50ms\"\nrestart_most = \"100ms\"\n"));
  Program program(s.words(file, "echo begun; sleep 60"), Json::object());
  REQUIRE(s.until([&] { return program.says("begun"); }));
  kill(Beside::process(program, "sidecar-router-started"), SIGKILL);
  REQUIRE(s.until([&] { return program.says("restarts=1"); }));
  CHECK(s.until([&] {
    Client client(s.base.get(), s.port);
    run_for(s.base.get(), 20);
    return !client.closed && client.ask(read_of("r" + std::to_string(loop::now_ms()))).status == 200;
  }));
  // While another socket occupies its address, the router ends right after each start.
  const int thief = socket(AF_INET, SOCK_STREAM, 0), on = 1;
  setsockopt(thief, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in where{};
  where.sin_family = AF_INET;
  where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  where.sin_port = htons(static_cast<std::uint16_t>(s.port));
  kill(Beside::process(program, "sidecar-router-started"), SIGKILL);
  REQUIRE(s.until([&] {
    return bind(thief, reinterpret_cast<sockaddr*>(&where), sizeof where) == 0 && listen(thief, 1) == 0;
  }));
  REQUIRE(s.until([&] { return program.says("restarts=5"); }));
  close(thief);
  CHECK(s.until([&] {
    return program.says("restarts=5") &&
           program.text.rfind("listening name") > program.text.find("restarts=5");
  }));
  CHECK(program.text.find("sidecar-application-ended") == std::string::npos);
  program.signal(SIGTERM);
  REQUIRE(s.until([&] { return program.ended(); }));
}

TEST_CASE("the application is not started if the router is never ready or SIGTERM arrives before") {
  Beside s;
  std::string text =
      s.text("bookings", "ready = \"300ms\"\n[fleet]\nfile = \"" + s.folder.path + "/none.json\"\n");
  const auto nodes = text.find("[fleet.nodes"), classes = text.find("[classes");
  text.erase(nodes, classes - nodes);
  const std::string file = s.folder.write("app.toml", text);
  Program program(s.words(file, "echo begun"), Json::object());
  REQUIRE(s.until([&] { return program.ended(); }));
  INFO(program.text);
  CHECK(program.code == 1);
  CHECK(program.says("sidecar-router-never-ready"));
  CHECK_FALSE(program.says("begun"));
  Program ended(s.words(file, "echo begun"), Json::object());
  REQUIRE(s.until([&] { return ended.says("sidecar-router-started"); }));
  ended.signal(SIGTERM);
  REQUIRE(s.until([&] { return ended.ended(); }));
  CHECK(ended.code == 143);
  CHECK_FALSE(ended.says("begun"));
}

// Guards against a lost SIGTERM: while the router was starting, the signal ran a handler that the new process
// had inherited from the sidecar, and had no effect.
TEST_CASE("SIGTERM before the router's process has reset its signal handlers is not lost") {
  Beside s;
  const std::string file = s.folder.write("app.toml", s.text("bookings"));
  Program program(s.words(file, "echo begun"), Json::object(),
                  {"LD_PRELOAD=" FERNWARD_HOLD_LIBRARY, "ASAN_OPTIONS=verify_asan_link_order=0"});
  REQUIRE(s.until([&] { return program.says(" restarts=0"); }));
  const pid_t router = Beside::process(program, "sidecar-router-started");
  const auto status = [&](const std::string& key) { return status_of(router, key); };
  REQUIRE(s.until([&] { return status("State").starts_with("T"); }));
  program.signal(SIGTERM);
  const auto sigterm_pends = [&] {
    return (std::stoull(status("ShdPnd"), nullptr, 16) >> (SIGTERM - 1) & 1) == 1;
  };
  REQUIRE(s.until(sigterm_pends));
  kill(router, SIGCONT);
  const double told = loop::now_ms();
  REQUIRE(s.until([&] { return program.ended(); }));
  INFO(program.text);
  CHECK(loop::now_ms() - told < 4000); // well below the 10 s drain timeout
  CHECK(program.code == 143);
  CHECK_FALSE(program.says("begun"));
}

TEST_CASE("reload: an invalid file and a class renamed under an active request lose no request") {
  Beside s;
  const std::string file = s.folder.write("app.toml", s.text("bookings"));
  Program program(s.words(file, "echo begun; sleep 60"), Json::object());
  REQUIRE(s.until([&] { return program.says("begun"); }));
  Client steady(s.base.get(), s.port), waiting(s.base.get(), s.port);
  int asked = 0;
  const auto served = [&] {
    const auto answer = steady.ask(read_of("r" + std::to_string(++asked)));
    return answer.status == 200;
  };
  CHECK(served());
  s.folder.write("app.toml", "name = ");
  program.signal(SIGHUP);
  REQUIRE(s.until([&] { return program.says("reload-refused") && served(); }));
  // A reload is applied completely or not at all.
  s.folder.write("app.toml", s.text("bookings", "[limits]\nsockets = 300\n"));
  program.signal(SIGHUP);
  REQUIRE(s.until([&] { return program.says("limits.sockets: holds until the next start") && served(); }));

  const auto script = s.node.script;
  s.node.script = [](const http::Message&) { return std::string(); };
  waiting.send(read_of("open"));
  const auto before = s.node.seen.size();
  REQUIRE(s.until([&] { return s.node.seen.size() == before + 1; }));
  s.folder.write("app.toml", s.text("bookings", "", "lookup"));
  program.signal(SIGHUP);
  REQUIRE(s.until([&] { return program.says("config-reloaded"); }));
  s.node.say(ok("in time"));
  REQUIRE(s.until([&] { return !waiting.answers.empty(); }));
  CHECK(waiting.answers[0].body == "in time");
  s.node.script = script;
  CHECK(steady.ask("GET /k/1 HTTP/1.1\r\nX-Request-ID: n1\r\nX-Priority-Class: lookup\r\n\r\n").status ==
        200);
  CHECK(steady.ask(read_of("n2")).status == 400); // the class no longer exists under its old name
  CHECK_FALSE(program.says("sidecar-router-ended"));
  program.signal(SIGTERM);
  REQUIRE(s.until([&] { return program.ended(); }));
}

TEST_CASE("a unix socket is served and removed on exit and one left by a crash is taken over") {
  Beside s;
  const std::string path = s.folder / "router.sock";
  std::string text = s.text("bookings");
  const std::string tcp = "127.0.0.1:" + std::to_string(s.port);
  text.replace(text.find(tcp), tcp.size(), "unix:" + path);
  const std::string file = s.folder.write("app.toml", text);
  {
    Program program({"serve", "--config", file}, Json::object());
    REQUIRE(s.until([&] { return program.says("listening name="); }));
    program.signal(SIGKILL);
    REQUIRE(s.until([&] { return program.ended(); }));
  }
  CHECK(std::filesystem::exists(path));
  // The application starts only if the readiness check on the socket succeeds.
  Program program(s.words(file, "echo at=$FERNWARD_ADDRESS"), Json::object());
  REQUIRE(s.until([&] { return program.ended(); }));
  INFO(program.text);
  CHECK(program.code == 0);
  CHECK(program.says("at=unix:" + path));
  CHECK_FALSE(std::filesystem::exists(path));
}
