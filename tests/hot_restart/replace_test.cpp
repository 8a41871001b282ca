// Hot restart with real processes and scripted peers: requests, connections and overrides are kept, also when
// one of the processes fails during the restart.
#include <doctest/doctest.h>
#include <sys/stat.h>
#include <sys/un.h>

#include <map>
#include <thread>

#include "caller.h"
#include "hot_restart/link.h"
#include "program.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

// A router and the processes that replace each other: its address, its folder, its peers.
struct Line {
  Line() {
    config = config_json(discovery.address, list());
    config["listen"] = "127.0.0.1:" + std::to_string(port);
    folder_entry = "TMPDIR=" + folder.path;
    door = folder / ("fernward-127.0.0.1_" + std::to_string(port) + ".sock");
  }
  Json list() {
    return node_list(1, true,
                     {endpoint("s-1", one.address), endpoint("s-2", two.address),
                      endpoint("o-1", origin.address, "in_service", "origin")});
  }
  // Starts one more process, and by default waits until it is ready.
  Program& start(bool wait = true) {
    const int control = free_port();
    entries.push_back("NODE_CONTROL=127.0.0.1:" + std::to_string(control));
    controls.push_back(control);
    programs.push_back(std::make_unique<Program>(std::vector<std::string>{"serve"}, config,
                                                 std::vector<std::string>{folder_entry, entries.back()}));
    if (wait) REQUIRE(until([&] { return programs.back()->port() != 0; }));
    if (wait) REQUIRE(until([&] { return call("ready") == "ok\n"; }));
    return *programs.back();
  }
  // Sends a command to the newest process, or to the one `processes_back` before it.
  std::string call(const std::string& line, std::size_t back = 0) {
    Caller caller(base.get(), controls[controls.size() - 1 - back], line + "\n");
    until([&] { return caller.ended; });
    return caller.told;
  }
  bool until(const std::function<bool()>& done) { return run_until(base.get(), done); }

  router::BasePtr base = router::make_base();
  Peer discovery{base.get(), [this](const http::Message& m) {
                   return m.target == "/v1/endpoints" ? ok(list().dump()) : std::string();
                 }};
  Peer one{base.get(), [](const http::Message& m) { return ok("v of " + m.target); }};
  Peer two{base.get(), [](const http::Message& m) { return ok("v of " + m.target); }};
  Peer origin{base.get(), [](const http::Message& m) { return ok("v of " + m.target); }};
  int port = free_port();
  Folder folder;
  std::string folder_entry, door;
  std::deque<std::string> entries; // putenv() keeps pointers to them
  std::vector<int> controls;
  Json config;
  std::vector<std::unique_ptr<Program>> programs;
};

// A closed-loop client: sends the next request after each response, every seventh on a new connection.
struct Asker {
  Asker(Line& l, int number) : line(l), n(number) {}
  void go() {
    if (client == nullptr || asked % 7 == 0) client = std::make_unique<Client>(line.base.get(), line.port);
    sent_at = client->answers.size();
    id = "a" + std::to_string(n) + "-" + std::to_string(++asked);
    client->send(get("/k/" + id, id));
    waits = true;
  }
  void look() {
    if (!waits) return go();
    if (client->answers.size() > sent_at) {
      waits = false;
      ++answered;
      right += client->answers.back().status == 200 && client->answers.back().body == "v of /k/" + id;
      shed += client->answers.back().status == 503;
      if (!client->answers.back().keep_alive) client.reset(), ++told_to_close;
    } else if (client->closed) { // closed without a response
      waits = false;
      ++lost;
      client.reset();
    }
  }
  Line& line;
  int n, asked = 0, answered = 0, right = 0, shed = 0, lost = 0, told_to_close = 0;
  std::size_t sent_at = 0;
  std::string id;
  bool waits = false;
  std::unique_ptr<Client> client;
};

} // namespace

TEST_CASE(
    "ten upgrades under load: each request answered once, none lost at the door, bans kept, limits held") {
  Line line;
  std::map<std::string, int> ran; // attempts at the servers, by request id
  const auto count = [&](const http::Message& m) {
    ++ran[std::string(m.header("x-request-id"))];
    return ok("v of " + m.target);
  };
  line.one.script = line.two.script = line.origin.script = count;
  line.start();
  std::vector<std::unique_ptr<Asker>> askers;
  for (int i = 0; i < 24; ++i) askers.push_back(std::make_unique<Asker>(line, i));
  std::vector<std::unique_ptr<Client>> rest; // send one request and keep their connections
  for (int i = 0; i < 20; ++i) rest.push_back(std::make_unique<Client>(line.base.get(), line.port));
  for (std::size_t i = 0; i < rest.size(); ++i)
    CHECK(rest[i]->ask(get("/k/r", "rest" + std::to_string(i))).status == 200);
  const auto play = [&](const std::function<bool()>& done) {
    return line.until([&] {
      for (const auto& asker : askers) asker->look();
      return done();
    });
  };
  CHECK(line.call("disable-server s-1") == "ok\n");
  std::size_t most_descriptors = 0;
  for (int upgrade = 0; upgrade < 10; ++upgrade) {
    Program& old = *line.programs.back();
    line.start(false);
    Program& next = *line.programs.back();
    REQUIRE(play([&] { return next.port() != 0; }));
    most_descriptors = std::max(most_descriptors, old.descriptors() + next.descriptors());
    old.signal(SIGTERM);
    REQUIRE(play([&] { return old.ended(); }));
    CHECK(old.code == 0);
    CHECK(old.says("hot-restart-passing"));
    most_descriptors = std::max(most_descriptors, next.descriptors());
    const double until = loop::now_ms() + 60;
    play([&] { return loop::now_ms() > until; });
  }
  CHECK(most_descriptors <= 256);
  REQUIRE(line.until([&] {
    bool all = true;
    for (const auto& asker : askers) {
      if (asker->waits) asker->look();
      all &= !asker->waits;
    }
    return all;
  }));
  int answered = 0, lost = 0, told_to_close = 0, wrong = 0;
  for (const auto& asker : askers) {
    answered += asker->answered;
    lost += asker->lost;
    told_to_close += asker->told_to_close;
    wrong += asker->answered - asker->right - asker->shed;
  }
  MESSAGE(answered, " requests over ten upgrades, ", lost, " lost, ", told_to_close, " connections ended");
  CHECK(answered > 500);
  CHECK(lost == 0);
  CHECK(wrong == 0);
  for (const auto& client : rest) CHECK_FALSE(client->closed); // idle clients are not affected
  // The first ones may be shed right after the load, but are answered.
  for (std::size_t i = 0; i < rest.size(); ++i) {
    const int status = rest[i]->ask(get("/k/r", "again" + std::to_string(i))).status;
    CHECK((status == 200 || status == 503));
  }
  const std::size_t before = line.one.seen.size(); // s-1 has been disabled since before the first upgrade
  CHECK(line.call("enable-server s-1") == "ok\n");
  std::vector<std::unique_ptr<Client>> burst;
  for (int i = 0; i < 40; ++i) {
    burst.push_back(std::make_unique<Client>(line.base.get(), line.port));
    burst.back()->send(get("/k/b" + std::to_string(i), "b" + std::to_string(i)));
  }
  CHECK(line.until([&] { return line.one.seen.size() > before; }));
  for (const auto& message : line.one.seen) {
    const std::string id(message.header("x-request-id"));
    CHECK((id.starts_with("rest") || id.starts_with("b")));
  }
}

TEST_CASE("an active request is answered by its process and then its connection is passed on") {
  Line line;
  line.one.script = line.two.script = [](const http::Message&) { return std::string(); };
  line.start();
  Client client(line.base.get(), line.port), long_one(line.base.get(), line.port);
  client.send(get("/k/1", "r1"));
  REQUIRE(line.until([&] { return line.one.seen.size() + line.two.seen.size() == 1; }));
  Peer& asked = line.one.seen.empty() ? line.two : line.one;
  Program& old = *line.programs.back();
  line.start();
  old.signal(SIGTERM);
  REQUIRE(line.until([&] { return old.says("hot-restart-passing"); }));
  run_for(line.base.get(), 50);
  CHECK_FALSE(old.ended());
  asked.say(ok("in time"));
  REQUIRE(line.until([&] { return !client.answers.empty(); }));
  CHECK(client.answers[0].body == "in time");
  CHECK(client.answers[0].keep_alive);
  REQUIRE(line.until([&] { return old.ended(); }));
  line.one.script = line.two.script = [](const http::Message& m) { return ok("v of " + m.target); };
  CHECK(client.ask(get("/k/2", "r2")).body == "v of /k/2");
}

TEST_CASE("a new process that dies: the old one serves on, with all there is") {
  Line line;
  line.start();
  Program& old = *line.programs.back();
  for (int i = 0; i < 3; ++i) {
    Program& next = line.start();
    REQUIRE(line.until([&] { return old.says("hot-restart-ready"); }));
    next.signal(SIGKILL);
    REQUIRE(line.until([&] { return next.ended(); }));
    line.programs.pop_back();
    line.controls.pop_back();
    REQUIRE(line.until([&] { return old.says("hot-restart-aborted"); }));
    old.text.clear();
    Client client(line.base.get(), line.port);
    CHECK(client.ask(get("/k/1", "r" + std::to_string(i))).status == 200);
  }
  Program& last = line.start(); // it can still be replaced
  old.signal(SIGTERM);
  REQUIRE(line.until([&] { return old.ended(); }));
  REQUIRE(line.until([&] { return last.says("hot-restart-complete"); }));
  Client client(line.base.get(), line.port);
  CHECK(client.ask(get("/k/1", "r9")).status == 200);
}

TEST_CASE("an old process that is killed in the middle: the new one has all") {
  Line line;
  line.start();
  Program& old = *line.programs.back();
  Program& next = line.start();
  old.signal(SIGKILL);
  REQUIRE(line.until([&] { return next.says("hot-restart-complete"); }));
  Client client(line.base.get(), line.port);
  CHECK(client.ask(get("/k/1", "r1")).status == 200);
  line.start(); // immediately afterwards
  next.signal(SIGTERM);
  REQUIRE(line.until([&] { return next.ended(); }));
  CHECK(client.ask(get("/k/2", "r2")).status == 200);
}

TEST_CASE("overrides set in either process apply in both") {
  Line line;
  line.start();
  line.start();
  CHECK(line.call("disable-server s-1", 1) == "ok\n"); // the old process
  CHECK(line.call("disable-server s-2") == "ok\n");    // the new process
  REQUIRE(line.until([&] { return line.programs[0]->says("hot-restart-ready"); }));
  CHECK(line.until([&] {
    return line.call("show-stat").find("unhealthy=2") != std::string::npos &&
           line.call("show-stat", 1).find("unhealthy=2") != std::string::npos;
  }));
  CHECK(line.call("enable-server s-1") == "ok\n");
  CHECK(line.until([&] { return line.call("show-stat", 1).find("unhealthy=1") != std::string::npos; }));
}

TEST_CASE("a process starts whatever it finds at the socket path") {
  Line line;
  SUBCASE("a socket left by a crash") {
    const int fd = socket(AF_UNIX, SOCK_STREAM, 0);
    sockaddr_un where{};
    where.sun_family = AF_UNIX;
    line.door.copy(where.sun_path, sizeof where.sun_path - 1);
    REQUIRE(bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0);
    close(fd);
  }
  SUBCASE("a file") { std::ofstream(line.door) << "FWHO"; }
  SUBCASE("a directory") { mkdir(line.door.c_str(), 0700); }
  SUBCASE("a missing directory") { line.folder_entry = "TMPDIR=/nowhere/at/all"; }
  line.start();
  Client client(line.base.get(), line.port);
  CHECK(client.ask(get("/k/1", "r1")).status == 200);
}

namespace {

// Listens at the socket path in place of a router process: sends fixed bytes, or none, to each connection and
// may close it.
struct Impostor {
  Impostor(event_base* base, const std::string& path, std::string what, bool hangs_up)
      : word(std::move(what)), ends(hangs_up) {
    sockaddr_un where{};
    where.sun_family = AF_UNIX;
    path.copy(where.sun_path, sizeof where.sun_path - 1);
    listener = evconnlistener_new_bind(base, &Impostor::accepted, this, LEV_OPT_CLOSE_ON_FREE, 4,
                                       reinterpret_cast<sockaddr*>(&where), sizeof where);
    REQUIRE(listener != nullptr);
  }
  ~Impostor() {
    evconnlistener_free(listener);
    for (const int fd : open) close(fd);
  }
  static void accepted(evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
    auto* impostor = static_cast<Impostor*>(self);
    [[maybe_unused]] const auto n = write(fd, impostor->word.data(), impostor->word.size());
    impostor->ends ? void(close(fd)) : impostor->open.push_back(fd);
  }
  std::string word;
  bool ends;
  evconnlistener* listener = nullptr;
  std::vector<int> open;
};

} // namespace

TEST_CASE("a process starts if the listener at the socket path answers incorrectly") {
  Line line;
  std::string word, why;
  bool ends = false;
  SUBCASE("silence") { why = "no takeover grant received in time"; }
  // Either "old process closed the connection" or "old process did not accept the takeover request", by
  // timing.
  SUBCASE("the connection is closed") { ends = true, why = "old process "; }
  SUBCASE("noise") { word = "HTTP/1.1 400 Bad Request\r\n\r\n", why = "bytes are not a hot restart frame"; }
  SUBCASE("an unexpected message") {
    word = hot_restart::encode(hot_restart::NewProcessReady{}), why = "first message is not a takeover grant";
  }
  SUBCASE("a grant without its descriptor") {
    word = hot_restart::encode(hot_restart::TakeoverGrant{}), why = "message has no file descriptor";
  }
  const Impostor impostor(line.base.get(), line.door, word, ends);
  Program& program = line.start();
  INFO(program.text);
  CHECK(program.says("hot-restart-failed why=\"" + why));
  Client client(line.base.get(), line.port);
  CHECK(client.ask(get("/k/1", "r1")).status == 200);
}

TEST_CASE("invalid connections to the socket path change nothing") {
  Line line;
  Program& program = line.start();
  const auto knock = [&](const std::string& text) {
    const int fd = socket(AF_UNIX, SOCK_STREAM, 0);
    sockaddr_un where{};
    where.sun_family = AF_UNIX;
    line.door.copy(where.sun_path, sizeof where.sun_path - 1);
    REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0);
    REQUIRE(send(fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
    run_for(line.base.get(), 50);
    char bytes[256];
    CHECK(recv(fd, bytes, sizeof bytes, MSG_DONTWAIT) == 0); // closed without a response
    close(fd);
  };
  std::string other =
      hot_restart::encode(hot_restart::TakeoverRequest{"n1", "127.0.0.1:" + std::to_string(line.port), 28});
  other[4] = 9; // a future version
  knock(other);
  knock("GET / HTTP/1.1\r\n\r\n");
  knock(hot_restart::encode(hot_restart::TakeoverRequest{"n1", "127.0.0.1:1", 28}));
  knock(hot_restart::encode(hot_restart::NewProcessReady{}));
  CHECK(program.says("hot-restart-refused why=\"takeover request names another listen address"));
  Client client(line.base.get(), line.port);
  CHECK(client.ask(get("/k/1", "r1")).status == 200);
  line.start();
  program.signal(SIGTERM);
  REQUIRE(line.until([&] { return program.ended(); }));
  CHECK(program.says("hot-restart-passing"));
}

TEST_CASE("without the Unix socket both processes listen and the old one drains normally") {
  Line line;
  line.folder_entry = "TMPDIR=/nowhere/at/all";
  line.start();
  Program& old = *line.programs.back();
  line.start();
  old.signal(SIGTERM);
  REQUIRE(line.until([&] { return old.ended(); }));
  CHECK(old.code == 0);
  Client client(line.base.get(), line.port);
  CHECK(client.ask(get("/k/1", "r1")).status == 200);
}

// Guards against a new process that fails because its descriptor limit is lower than that of the old process.
TEST_CASE("a new process with far fewer descriptors takes what it has places for, and lives") {
  Line line;
  line.config["limits"]["sockets"] = 512;
  line.start();
  Program& old = *line.programs.back();
  std::vector<std::unique_ptr<Client>> rest;
  for (int i = 0; i < 120; ++i) {
    rest.push_back(std::make_unique<Client>(line.base.get(), line.port));
    REQUIRE(rest.back()->ask(get("/k/r", "rest" + std::to_string(i))).status == 200);
  }
  line.config["limits"]["sockets"] = 64;
  Program& next = line.start();
  old.signal(SIGTERM);
  REQUIRE(line.until([&] { return old.ended(); }));
  REQUIRE(line.until([&] { return next.says("hot-restart-complete") || next.ended(); }));
  CHECK_FALSE(next.ended());
  CHECK(next.descriptors() <= 64);
  Client client(line.base.get(), line.port);
  CHECK(client.ask(get("/k/1", "r1")).status == 200);
}

// Guards against a lost, truncated or repeated request if its process is replaced at any stage of the
// request.
TEST_CASE("an upgrade at each stage of a request: one whole answer, one attempt") {
  const std::string value(1 << 20, 'L'), body(1 << 20, 'b');
  const std::string upload =
      "PUT /k/1 HTTP/1.1\r\nHost: h\r\nX-Request-ID: r1\r\nX-Priority-Class: book\r\nIdempotency-Key: "
      "k\r\nX-Timeout-Ms: 6000\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body;
  const std::string lookup = get("/k/1", "r1");
  const struct {
    const char* name;
    std::string request, answer;
    std::size_t sent, said; // bytes of request and answer sent before the upgrade
  } stages[] = {{"connected", lookup, ok("v"), 0, 0},
                {"head", lookup, ok("v"), 30, 0},
                {"body", upload, ok("v"), 600 << 10, 0},
                {"awaiting", lookup, ok("v"), lookup.size(), 0},
                {"answer head", lookup, ok("v"), lookup.size(), 20},
                {"answer body", lookup, ok("value"), lookup.size(), ok("value").size() - 1},
                {"passing", lookup, ok(value), lookup.size(), 300 << 10}};
  for (const auto& stage : stages) {
    CAPTURE(stage.name);
    Line line;
    for (auto& c : line.config["settings"]["classes"]) c["aim"] = 6000, c["give_up"] = 6000;
    bool paused = true;
    const Peer::Script script = [&](const http::Message& m) {
      if (m.header("x-request-id") != "r1") return ok("v of " + m.target);
      return paused ? stage.answer.substr(0, stage.said) : stage.answer;
    };
    line.one.script = line.two.script = line.origin.script = script;
    line.start();
    Client client(line.base.get(), line.port);
    const auto asked = [&] { return line.one.seen.size() + line.two.seen.size() + line.origin.seen.size(); };
    client.send(stage.request.substr(0, stage.sent));
    const bool whole = stage.sent == stage.request.size();
    REQUIRE(
        line.until([&] { return whole ? asked() == 1 : stage.sent < 1000 || line.origin.body_come > 0; }));
    if (stage.said > 100000) REQUIRE(line.until([&] { return client.come() > 0; }));
    Program& old = *line.programs.back();
    line.start();
    old.signal(SIGTERM);
    REQUIRE(line.until([&] { return old.says("hot-restart-passing"); }));
    run_for(line.base.get(), 30);
    paused = false;
    client.send(stage.request.substr(stage.sent));
    if (whole) {
      for (Peer* peer : {&line.one, &line.two, &line.origin}) {
        if (!peer->seen.empty()) peer->say(stage.answer.substr(stage.said));
      }
    }
    REQUIRE(line.until([&] { return !client.answers.empty() || client.closed; }));
    REQUIRE(client.answers.size() == 1);
    CHECK(client.answers[0].status == 200);
    CHECK((client.answers[0].body == stage.answer.substr(stage.answer.find("\r\n\r\n") + 4)));
    CHECK(asked() == 1);
    REQUIRE(line.until([&] { return old.ended(); }));
    CHECK(old.code == 0);
    CHECK(line.programs.back()->says("hot-restart-complete"));
  }
}
