// Requests with long bodies: where the bodies are stored, and which requests are retried.
#include <doctest/doctest.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdlib>

#include "peers.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

constexpr std::size_t kMb = 1 << 20;

std::string value_of(std::size_t size) {
  std::string value(size, '\0');
  std::uint32_t state = 777;
  for (char& c : value) {
    state = state * 1664525u + 1013904223u;
    c = static_cast<char>(state >> 24);
  }
  return value;
}

std::string head_of(const std::string& id, const std::string& framing, const std::string& cls = "book") {
  return "PUT /k/1 HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id + "\r\nX-Priority-Class: " + cls +
         "\r\nIdempotency-Key: k-" + id + "\r\nX-Timeout-Ms: 2000\r\n" + framing + "\r\n";
}
std::string announced(std::size_t size) { return "Content-Length: " + std::to_string(size) + "\r\n"; }

struct Folder {
  Folder() {
    char name[] = "/tmp/fernward-bodies-XXXXXX";
    path = mkdtemp(name);
  }
  ~Folder() { rmdir(path.c_str()); } // fails if files are left in it
  std::string path;
};

enum class Where { Memory, File, Passing };

// A body of 400 KB is stored in memory if the limit is 64 MB or more, otherwise in a file if there is a
// folder, otherwise it is only streamed.
struct Uploads {
  explicit Uploads(
      Where where, std::function<void(Json&)> change = [](Json&) {})
      : w([&](Json& file) {
          file["limits"]["request_bytes"] = 8 << 20;
          file["limits"]["memory_mb"] = where == Where::Memory ? 64 : 16;
          if (where == Where::File) file["limits"]["body_folder"] = folder.path;
          file["settings"]["classes"].push_back(
              {{"name", "once"}, {"aim", 900}, {"give_up", 2000}, {"repeat", "unsafe"}, {"worth", 1}});
          change(file);
        }) {}
  // Waits until all memory, files and attempts are released.
  bool clean() {
    return w.until([&] {
      return w.router->kept().memory_bytes() + w.router->kept().file_bytes() +
                     w.router->kept().open_files() ==
                 0 &&
             w.router->bytes().held() == 0 && w.router->driver().attempts_in_flight() == 0;
    }) && w.router->bytes().peak_held() <= w.router->bytes().total();
  }
  Folder folder;
  World w;
};

bool is_whole(const Peer& peer, std::size_t at, const std::string& value) {
  return peer.seen.size() > at && peer.seen[at].body == value;
}

} // namespace

TEST_CASE("a long body reaches its server byte for byte wherever it is stored") {
  const std::string whole = value_of(6 * kMb);
  for (const Where where : {Where::Memory, Where::File, Where::Passing}) {
    Uploads u(where);
    for (const std::size_t size : {65536ul, 65537ul, 100000ul, 400000ul, 6 * kMb}) {
      for (const bool chunked : {false, true}) {
        CAPTURE(static_cast<int>(where));
        CAPTURE(size);
        CAPTURE(chunked);
        const std::string value = whole.substr(0, size);
        std::string text;
        if (chunked) {
          for (std::size_t at = 0; at < size; at += 50001) {
            const std::string part = value.substr(at, 50001);
            char line[24];
            std::snprintf(line, sizeof line, "%zx\r\n", part.size());
            text += line + part + "\r\n";
          }
          text += "0\r\n\r\n";
        } else {
          text = value;
        }
        const std::size_t before = u.w.origin.seen.size();
        Client client = u.w.client();
        const std::string id = "r" + std::to_string(before);
        const auto answer =
            client.ask(head_of(id, chunked ? "Transfer-Encoding: chunked\r\n" : announced(size)) + text);
        CHECK(answer.body == "from origin /k/1");
        CHECK(answer.keep_alive);
        CHECK(client.ask(get("/k/2", id + "-next")).status ==
              200); // the bytes of the next request are intact
        REQUIRE(u.w.origin.seen.size() == before + 1);
        CHECK(is_whole(u.w.origin, before, value));
        CHECK(u.w.origin.seen[before].header("idempotency-key") == "k-" + id);
      }
    }
    CHECK(u.clean());
  }
}

// Guards against a write that is sent twice, or that fails although it could be retried.
TEST_CASE(
    "a server that closes its connection: retries depend on the class and the window and the stored body") {
  struct Row {
    Where where;
    const char* cls;
    bool half; // closes after half of the body, so that the request has not run; otherwise after all of it
    int attempts;
  };
  for (const Row& row : std::initializer_list<Row>{
           {Where::Memory, "book", false, 2},
           {Where::Memory, "once", false, 1},
           {Where::File, "book", true, 2},
           {Where::File, "book", false, 2},
           {Where::File, "once", true, 2},
           {Where::File, "once", false, 1},
           {Where::Passing, "book", true, 1},
           {Where::Passing, "book", false, 1},
           {Where::Passing, "once", false, 1},
       }) {
    CAPTURE(static_cast<int>(row.where));
    CAPTURE(row.cls);
    CAPTURE(row.half);
    Uploads u(row.where);
    const std::string value = value_of(400000);
    int seen = 0;
    const auto die = [&](const http::Message&) { return ++seen == 1 ? std::string("!") : ok("stored"); };
    row.half ? u.w.origin.early = [&](const http::Message& m) { return seen == 0 ? die(m) : std::string(); }
             : u.w.origin.script = die;
    if (row.half) u.w.origin.script = [](const http::Message&) { return ok("stored"); };
    Client client = u.w.client();
    client.send(head_of("r1", announced(value.size()), row.cls) + value.substr(0, 200000));
    if (row.half) REQUIRE(u.w.until([&] { return u.w.origin.connections == 1 && u.w.origin.open() == 0; }));
    client.send(value.substr(200000));
    REQUIRE(u.w.until([&] { return !client.answers.empty() || client.closed; }));
    REQUIRE(client.answers.size() == 1);
    CHECK((client.answers[0].status == 200) == (row.attempts == 2));
    CHECK(u.w.origin.connections == row.attempts);
    for (const auto& m : u.w.origin.seen) CHECK((m.body == value)); // never a partial body
    CHECK(u.clean());
  }
}

TEST_CASE("a write is not retried after its idempotency window") {
  Uploads u(Where::File, [](Json& file) { file["settings"]["classes"][1]["window"] = 100; });
  const std::string value = value_of(400000);
  u.w.origin.script = [](const http::Message&) { return std::string(); };
  Client client = u.w.client();
  client.send(head_of("r1", announced(value.size())) + value);
  REQUIRE(u.w.until([&] { return u.w.origin.seen.size() == 1; }));
  run_for(u.w.base.get(), 150);
  u.w.origin.hang_up();
  REQUIRE(u.w.until([&] { return !client.answers.empty(); }));
  CHECK(client.answers[0].status >= 500);
  CHECK(u.w.origin.seen.size() == 1);
}

// Guards against a full disk that blocks writes.
TEST_CASE("disk failures: the body is still sent exactly once") {
  const std::string value = value_of(2 * kMb);
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_FSIZE, &before) == 0);
  signal(SIGXFSZ, SIG_IGN);
  bool limited = false, gone = false, again = false;
  Where where = Where::File;
  std::string elsewhere;
  SUBCASE("no folder") { elsewhere = "/nonexistent/folder"; }
  SUBCASE("a folder without write access") { elsewhere = "/proc"; }
  SUBCASE("no space left") { limited = true; }
  SUBCASE("the folder is removed while a body is in it") { gone = again = true; }
  Uploads u(where, [&](Json& file) {
    file["limits"]["body_folder_mb"] = 64;
    if (!elsewhere.empty()) file["limits"]["body_folder"] = elsewhere;
  });
  int asked = 0;
  if (again)
    u.w.origin.script = [&](const http::Message&) { return ++asked == 1 ? std::string("!") : ok("stored"); };
  if (limited) { // the first file is written partly: one write is short
    const rlimit little{700001, before.rlim_max};
    REQUIRE(setrlimit(RLIMIT_FSIZE, &little) == 0);
  }
  Client client = u.w.client();
  client.send(head_of("r1", announced(value.size())) + value.substr(0, kMb));
  REQUIRE(u.w.until([&] { return u.w.origin.body_come > 500000; }));
  if (gone) CHECK(rmdir(u.folder.path.c_str()) == 0); // possible because the files in it are unlinked
  client.send(value.substr(kMb));
  u.w.until([&] { return !client.answers.empty() || client.closed; });
  setrlimit(RLIMIT_FSIZE, &before);
  REQUIRE(client.answers.size() == 1);
  CHECK(client.answers[0].status == 200);
  CHECK(u.w.origin.seen.size() == (again ? 2 : 1)); // the retry reads the file, whose folder no longer exists
  for (const auto& m : u.w.origin.seen) CHECK((m.body == value));
  CHECK(u.clean());
}

TEST_CASE("a client that disconnects in the middle of a streamed body: the request is never completed") {
  for (const Where where : {Where::File, Where::Passing}) {
    Uploads u(where);
    {
      Client client = u.w.client();
      client.send(head_of("r1", announced(kMb)) + value_of(300000));
      REQUIRE(u.w.until([&] { return u.w.origin.body_come > 200000; }));
    }
    CHECK(u.w.until([&] { return u.w.origin.open() == 0; }));
    CHECK(u.w.origin.seen.empty());
    CHECK(u.clean());
  }
}

TEST_CASE("a body that is not received in time is answered with 408 and its attempt ends") {
  Uploads u(Where::Passing);
  Client client = u.w.client();
  const double begun = loop::now_ms();
  client.send(head_of("r1", announced(kMb)) + value_of(100000));
  REQUIRE(u.w.until([&] { return !client.answers.empty(); }));
  CHECK(client.answers[0].status == 408);
  CHECK(loop::now_ms() - begun > 2000 + 100000 / 256.0 - 100); // the time limit grows with the bytes received
  CHECK(u.w.until([&] { return u.w.origin.open() == 0 && client.closed; }));
  CHECK(u.w.origin.seen.empty());
  CHECK(u.clean());
}

TEST_CASE("a server that responds before the body is sent") {
  Uploads u(Where::Passing);
  const std::string value = value_of(4 * kMb);
  std::string said;
  int status = 0;
  SUBCASE("413: the request is invalid") { said = http::write_response(413, {}, "", true), status = 502; }
  SUBCASE("not processed and the sent part of the body is not stored") { said = kTurnedAway, status = 503; }
  SUBCASE("200 for an incomplete request: never forwarded") { said = ok("invented"), status = 503; }
  u.w.origin.early = [&](const http::Message&) { return said; };
  u.w.origin.stopped = false;
  Client client = u.w.client();
  client.send(head_of("r1", announced(value.size())) + value.substr(0, kMb));
  REQUIRE(u.w.until([&] { return !client.answers.empty() || client.closed; }));
  REQUIRE(client.answers.size() == 1);
  CHECK(client.answers[0].status == status);
  CHECK(client.answers[0].body.find("invented") == std::string::npos);
  CHECK_FALSE(client.answers[0].keep_alive);
  CHECK(u.w.origin.connections == 1);
  CHECK(u.w.until([&] { return client.closed; }));
  CHECK(u.clean());
}

// Guards against unbounded memory use.
TEST_CASE("a server that reads slowly pauses reading from the client") {
  Uploads u(Where::Passing);
  const std::string value = value_of(8 * kMb);
  u.w.origin.stopped = true;
  Client client = u.w.client();
  client.send(head_of("r1", announced(value.size())) + value);
  REQUIRE(u.w.until([&] { return u.w.origin.connections == 1; }));
  run_for(u.w.base.get(), 300);
  CHECK(u.w.router->bytes().held() > 0);
  CHECK(u.w.router->bytes().peak_held() < kMb); // of 8 MB; the limit for all requests is 4 MB
  u.w.origin.read_on();
  REQUIRE(u.w.until([&] { return !client.answers.empty() || client.closed; }));
  REQUIRE(client.answers.size() == 1);
  CHECK(client.answers[0].status == 200);
  CHECK(is_whole(u.w.origin, 0, value));
  CHECK(u.clean());
}

TEST_CASE("a client with Expect: 100-continue may send its body once the request is admitted") {
  Uploads u(Where::Passing);
  const std::string value = value_of(400000);
  Client client = u.w.client();
  client.send(head_of("r1", announced(value.size()) + "Expect: 100-continue\r\n"));
  run_for(u.w.base.get(), 50);
  CHECK(client.answers.empty());
  CHECK(client.ask(value).status == 200); // the interim response is not counted as one
  CHECK(is_whole(u.w.origin, 0, value));
  Client wrong = u.w.client();
  CHECK(wrong.ask(head_of("r2", announced(value.size()) + "Expect: 100-continue\r\n", "unheard-of")).status ==
        400);
  Client too_long = u.w.client();
  CHECK(too_long.ask(head_of("r3", announced(9 * kMb) + "Expect: 100-continue\r\n")).status == 413);
  CHECK(u.w.origin.seen.size() == 1);
}

// Guards against answering 408 to clients on slow links.
TEST_CASE("a header that takes 2 s and a body at 64 kB per second are accepted") {
  World w;
  const std::string body = value_of(96 << 10), short_body = value_of(60 << 10);
  for (const std::string& what : {short_body, body}) {
    Client client = w.client();
    const std::string text = put("/k", "r" + std::to_string(what.size()), what);
    const std::size_t head = text.size() - what.size();
    client.send(text.substr(0, head / 2));
    run_for(w.base.get(), 2000);
    client.send(text.substr(head / 2, head - head / 2));
    for (std::size_t at = 0; at < what.size(); at += 6400) {
      run_for(w.base.get(), 100);
      client.send(what.substr(at, 6400));
    }
    REQUIRE(w.until([&] { return !client.answers.empty() || client.closed; }));
    REQUIRE(client.answers.size() == 1);
    CHECK(client.answers.front().status == 200);
    CHECK(w.origin.seen.back().body == what);
  }
}
