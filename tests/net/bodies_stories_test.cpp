// Stories of answers and bodies of any size, over loopback sockets against scripted peers.
#include <doctest/doctest.h>
#include <unistd.h>

#include <cerrno>

#include "peers.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

constexpr std::size_t kMb = 1 << 20;

std::string value_of(std::size_t size) { // no two places alike, so that nothing can be lost or swapped unseen
  std::string value(size, '\0');
  std::uint32_t state = 12345;
  for (char& c : value) {
    state = state * 1664525u + 1013904223u;
    c = static_cast<char>(state >> 24);
  }
  return value;
}

const std::string kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kUntilCloseHead = "HTTP/1.1 200 OK\r\n\r\n";
std::string length_head(std::size_t size) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
}

std::string chunk(std::string_view bytes) {
  char line[24];
  std::snprintf(line, sizeof line, "%zx\r\n", bytes.size());
  return line + std::string(bytes) + "\r\n";
}
std::string chunks(std::string_view value, std::size_t size) {
  std::string text;
  for (std::size_t at = 0; at < value.size(); at += size) text += chunk(value.substr(at, size));
  return text + "0\r\n\r\n";
}

bool all_given_back(World& w) {
  return w.until([&] { return w.router->bytes().held() == 0 && w.router->bytes().waiting() == 0; }) &&
         w.router->bytes().peak_held() <= w.router->bytes().total();
}

} // namespace

TEST_CASE("a node list of a thousand targets is taken") { // guards: the cap on bodies that met discovery too
  World w;
  std::vector<Json> many = w.all();
  for (int i = 0; i < 1000; ++i)
    many.push_back(endpoint("x-" + std::to_string(i), "127.0.0.1:1", "terminating"));
  REQUIRE(node_list(9, true, many).dump().size() > 100000);
  CHECK(w.tell(node_list(9, true, many)));
  CHECK(w.router->table().targets().size() == 1003);
}

TEST_CASE("an answer passed on is the answer sent, byte for byte") { // guards: bytes lost where pieces meet
  World w;
  std::string wire;
  w.caches([&](const http::Message&) { return wire; });
  const std::string whole = value_of(5 * kMb);
  int number = 0;
  const auto same = [&](const std::string& value, const std::string& sent, const char* what,
                        bool old = false) {
    wire = sent;
    CAPTURE(value.size());
    CAPTURE(what);
    Client client = w.client();
    std::string request = get("/k/" + std::to_string(number), "r" + std::to_string(number));
    if (old) request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
    const auto answer = client.ask(request);
    ++number;
    CHECK(answer.status == 200);
    CHECK(answer.body.size() == value.size());
    CHECK((answer.body == value)); // not printed
  };
  for (const std::size_t size : {0ul, 1ul, 1000ul, 4095ul, 4096ul, 4097ul, 65535ul, 65536ul, 65537ul,
                                 100000ul, 400000ul, 524288ul, 524289ul, 1000000ul, 5 * kMb}) {
    const std::string value = whole.substr(0, size);
    same(value, length_head(size) + value, "with its length");
    same(value, "!" + kUntilCloseHead + value, "until close"); // the script's mark: then close
    same(value, kChunkedHead + chunks(value, 8192), "in chunks");
    same(value, kChunkedHead + chunks(value, 65536), "in large chunks");
    same(value, kChunkedHead + chunks(value, 100003), "in chunks that meet no block", true);
  }
  same(whole.substr(0, 3000), kChunkedHead + chunks(whole.substr(0, 3000), 1), "in chunks of a byte");
  CHECK(all_given_back(w));
}

TEST_CASE(
    "an answer is the same wherever its bytes are cut") { // guards: a boundary in the middle of a chunk's line
  World w;
  const std::string value = value_of(40);
  const std::string wire = kChunkedHead + chunks(value, 17);
  w.caches([](const http::Message&) { return std::string(); });
  for (std::size_t cut = 1; cut < wire.size(); ++cut) {
    Client client = w.client();
    const std::size_t before = w.sent();
    client.send(get("/k/1", "r" + std::to_string(cut)));
    REQUIRE(w.until([&] { return w.sent() > before; }));
    Peer& cache = w.last_asked();
    cache.say(wire.substr(0, cut));
    run_for(w.base.get(), 1);
    cache.say(wire.substr(cut));
    REQUIRE(w.until([&] { return !client.answers.empty() || client.closed; }));
    REQUIRE(client.answers.size() == 1);
    CHECK((client.answers[0].body == value));
  }
}

// guards: a part that passes for the whole
TEST_CASE("an answer that has begun and breaks off: the client can tell, and nobody else is asked") {
  World w;
  const std::string value = value_of(kMb);
  const std::string part = value.substr(0, 700000);
  std::string wire;
  bool old = false;
  SUBCASE("with its length") { wire = "!" + length_head(value.size()) + part; }
  SUBCASE("in chunks, between two") { wire = "!" + kChunkedHead + chunk(part); }
  SUBCASE("in chunks, in the middle of one") { wire = "!" + kChunkedHead + chunk(value).substr(0, 700000); }
  SUBCASE("to a client that knows no chunks") {
    wire = "!" + kChunkedHead + chunk(part);
    old = true;
  }
  SUBCASE("noise in place of a chunk") { wire = kChunkedHead + chunk(part) + "noise\r\n"; }
  w.caches([&](const http::Message&) { return wire; });
  Client client = w.client();
  std::string request = get("/k/1", "r1");
  if (old) request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
  const auto answer = client.ask(request);
  CHECK(answer.status == 0); // none that is whole
  CHECK(client.closed);
  CHECK(client.reset == old); // its end alone would be the end of the answer
  CHECK(w.sent() == 1);
  CHECK(w.router->driver().unanswered_requests() == 0);
  CHECK(all_given_back(w));
}

TEST_CASE(
    "an answer that breaks off or stalls before it has begun is asked for elsewhere") { // guards: lost worth
  World w;
  const std::string value = value_of(400000);
  std::string wire;
  SUBCASE("it ends after 300 of 400 KB") { wire = "!" + length_head(value.size()) + value.substr(0, 300000); }
  SUBCASE("it stalls after 300 of 400 KB") { wire = length_head(value.size()) + value.substr(0, 300000); }
  SUBCASE("in chunks, cut") { wire = "!" + kChunkedHead + chunk(value); }
  SUBCASE("a trailer of 400 KB") {
    wire = kChunkedHead + chunk("v") + "0\r\nA: " + value.substr(0, 0) + std::string(400000, 'a');
  }
  SUBCASE("three gigabytes announced") { wire = length_head(3000000000) + value; }
  SUBCASE("two lengths") {
    wire = "HTTP/1.1 200 OK\r\nContent-Length: 400000\r\n" + length_head(400000).substr(17) + value;
  }
  int asked = 0;
  w.caches([&](const http::Message&) { return ++asked == 1 ? wire : length_head(value.size()) + value; });
  const auto answer = w.client().ask(get("/k/1", "r1"));
  CHECK(answer.status == 200);
  CHECK((answer.body == value));
  CHECK(w.sent() == 2);
  CHECK(all_given_back(w));
}

TEST_CASE("an answer without end is cut at the longest that may be, and no more is read than is passed on") {
  World w([](Json& file) { file["limits"]["answer_bytes"] = 2 << 20; });
  const std::string value = value_of(3 * kMb);
  w.caches([&](const http::Message&) { return kChunkedHead + chunks(value, 50000); });
  Client client = w.client();
  client.send(get("/k/1", "r1"));
  REQUIRE(w.until([&] { return client.closed; }));
  CHECK(client.answers.empty());
  CHECK(client.come() <= 2 * kMb);
  CHECK(client.come() > kMb);
  CHECK(all_given_back(w));
}

TEST_CASE("a client that takes nothing stops the reading from the node, and gets all once it reads on") {
  World w([](Json& file) { file["limits"]["memory_mb"] = 32; });
  const std::string value = value_of(16 * kMb - 1);
  bool chunked = false;
  SUBCASE("with its length") {}
  SUBCASE("in chunks") { chunked = true; }
  w.caches([&](const http::Message&) {
    return chunked ? kChunkedHead + chunks(value, 100000) : length_head(value.size()) + value;
  });
  Client slow(w.base.get(), w.router->port(), 4096);
  slow.stop_reading();
  slow.send(get("/k/1", "slow"));
  // The rest waits with the node, as no socket's buffer takes 16 MB.
  REQUIRE(w.until([&] { return w.router->bytes().held() > 300000; }));
  run_for(w.base.get(), 50);
  CHECK(w.router->bytes().held() <= 512 * 1024 + loop::IoBuffer::size());
  w.caches([](const http::Message&) { return ok("quick"); });
  Client other = w.client();
  for (int i = 0; i < 20; ++i) CHECK(other.ask(get("/k/2", "q" + std::to_string(i))).body == "quick");
  slow.read_on();
  REQUIRE(w.until([&] { return !slow.answers.empty() || slow.closed; }));
  REQUIRE(slow.answers.size() == 1);
  CHECK((slow.answers[0].body == value));
  CHECK(all_given_back(w));
}

// guards: a router out of memory, and others who wait for those who do not read
TEST_CASE("32 MB and 200 clients that do not read their 400 KB, while others ask") {
  World w([](Json& file) {
    file["limits"]["memory_mb"] = 32;
    file["limits"]["sockets"] = 1024;
    file["settings"]["classes"][0]["aim"] = file["settings"]["classes"][0]["give_up"] = 60000;
  });
  const std::string value = value_of(400000);
  w.caches([&](const http::Message& m) {
    return m.target == "/k/quick" ? ok("quick") : length_head(value.size()) + value;
  });
  w.origin.script = w.one.script;
  std::vector<std::unique_ptr<Client>> slow;
  for (int i = 0; i < 200; ++i) {
    slow.push_back(std::make_unique<Client>(w.base.get(), w.router->port(), 4096));
    slow.back()->stop_reading();
    slow.back()->send("GET /k/" + std::to_string(i) + " HTTP/1.1\r\nX-Request-ID: s" + std::to_string(i) +
                      "\r\nX-Priority-Class: read\r\n\r\n");
    run_for(w.base.get(), 10); // no burst: that would be the module's story
  }
  REQUIRE(w.until([&] { return w.router->bytes().held() > 2 * kMb; }));
  Client quick = w.client();
  const double begun = loop::now_ms();
  for (int i = 0; i < 200; ++i) CHECK(quick.ask(get("/k/quick", "q" + std::to_string(i))).body == "quick");
  CHECK(loop::now_ms() - begun < 5000);
  CHECK(w.router->bytes().peak_held() <= w.router->bytes().total());
  for (auto& client : slow) client->read_on();
  CHECK(w.until([&] {
    return std::all_of(slow.begin(), slow.end(),
                       [](const auto& c) { return !c->answers.empty() || c->closed; });
  }));
  const auto right = std::count_if(slow.begin(), slow.end(), [&](const auto& c) {
    return c->answers.size() == 1 && c->answers[0].status == 200 && c->answers[0].body == value;
  });
  CHECK(right == 200);
  CHECK(all_given_back(w));
}

TEST_CASE("of two copies the one that begins first is the answer, the other is cut off") {
  World w;
  const std::string value = value_of(kMb);
  int asked = 0;
  w.caches([&](const http::Message&) { // the first is silent: after a third of the aim another is asked
    return ++asked == 1 ? std::string() : length_head(value.size()) + value;
  });
  Client client = w.client();
  const auto answer = client.ask(get("/k/1", "r1"));
  CHECK((answer.body == value));
  CHECK(asked == 2);
  Peer& silent = &w.last_asked() == &w.one ? w.two : w.one;
  CHECK(w.until([&] { return silent.open() == 0; }));
  CHECK(client.ask(get("/k/2", "r2")).status == 200); // the connection goes on
}

TEST_CASE("winding down: an answer that passes through comes to its end, and its connection with it") {
  World w;
  const std::string value = value_of(kMb);
  w.caches([&](const http::Message&) { return length_head(value.size()) + value.substr(0, 700000); });
  Client client = w.client();
  client.send(get("/k/1", "r1"));
  REQUIRE(w.until([&] { return client.come() > 0; }));
  w.router->begin_shutdown();
  run_for(w.base.get(), 600); // the listening socket is closed
  w.last_asked().say(value.substr(700000));
  REQUIRE(w.until([&] { return client.closed; }));
  REQUIRE(client.answers.size() == 1);
  CHECK((client.answers[0].body == value));
}

TEST_CASE("a client that leaves while its answer passes takes the attempt along") { // guards: leaks
  World w;
  const std::string value = value_of(kMb);
  w.caches([&](const http::Message&) { return length_head(value.size()) + value.substr(0, 700000); });
  {
    Client client = w.client();
    client.send(get("/k/1", "r1"));
    REQUIRE(w.until([&] { return client.come() > 0; }));
  }
  CHECK(w.until([&] { return w.one.open() + w.two.open() == 0; }));
  CHECK(w.router->driver().attempts_in_flight() == 0);
  CHECK(w.router->driver().unanswered_requests() == 0);
  CHECK(all_given_back(w));
}

TEST_CASE("what nobody wants of an answer is not read") { // guards: megabytes read to keep a connection
  World w;
  const std::string value = value_of(3 * kMb);
  w.caches([&](const http::Message&) { return "HTTP/1.1 404 X\r\nContent-Length: 3145728\r\n\r\n" + value; });
  CHECK(w.client().ask(get("/k/1", "r1")).body == "from origin /k/1");
  CHECK(w.until([&] { return w.one.open() + w.two.open() == 0; }));
}

TEST_CASE("a reset after half of an answer, on a connection that had rested: asked for elsewhere, once") {
  World w;
  const std::string value = value_of(400000);
  bool breaks = false;
  int asked = 0;
  const Peer::Script script = [&](const http::Message&) {
    ++asked;
    if (!std::exchange(breaks, false)) return length_head(value.size()) + value;
    return "!" + length_head(value.size()) + value.substr(0, 200000);
  };
  w.caches(script);
  w.origin.script = script;
  Client client = w.client();
  for (int i = 0; i < 4; ++i) { // both caches have a connection at rest
    CHECK((client.ask(get("/k/" + std::to_string(i), "r" + std::to_string(i))).body == value));
  }
  run_for(w.base.get(), 50);
  breaks = true;
  asked = 0;
  CHECK((client.ask(get("/k/1", "last")).body == value));
  CHECK(asked == 2);
  CHECK(all_given_back(w));
}

TEST_CASE("a client that takes an answer a byte at a time is let go") { // guards: windows held for good
  World w([](Json& file) {
    file["settings"]["classes"][0]["aim"] = file["settings"]["classes"][0]["give_up"] = 60000;
  });
  const std::string value = value_of(2 * kMb);
  w.caches([&](const http::Message&) { return length_head(value.size()) + value; });
  Client slow(w.base.get(), w.router->port(), 2048);
  slow.stop_reading();
  slow.send("GET /k/1 HTTP/1.1\r\nX-Request-ID: r1\r\nX-Priority-Class: read\r\n\r\n");
  REQUIRE(w.until([&] { return w.router->bytes().held() > 0; }));
  const double begun = loop::now_ms();
  REQUIRE(w.until([&] { return w.router->bytes().held() == 0; }));
  CHECK(loop::now_ms() - begun > 4000); // what it has taken meanwhile is less than a byte a second
  CHECK(w.until([&] { return w.one.open() + w.two.open() == 0; }));
  CHECK(w.router->driver().unanswered_requests() == 0);
}

TEST_CASE(
    "what waits takes no more memory than twice its size, however it came") { // guards: blocks for crumbs
  loop::IoBuffer block;
  const char* const first = block.data();
  std::vector<loop::Buffer> waiting(50);
  for (auto& buffer : waiting) {
    for (int i = 0; i < 20; ++i) buffer.add({block.data(), 1000}, block);
    CHECK(block.data() == first); // crumbs are copied: the block is used again
  }
  loop::Buffer large;
  std::string sent;
  for (int i = 0; i < 5; ++i) {
    char* const at = block.data();
    std::fill(at, at + loop::IoBuffer::size(), static_cast<char>('a' + i));
    const std::size_t size = loop::IoBuffer::size() / 2 + static_cast<std::size_t>(i) * 1000;
    large.add({at, size}, block);
    sent.append(at, size);
    CHECK(block.data() != at); // what was taken by reference is left alone
  }
  CHECK((large.text() == sent));
  std::string got(large.size(), '\0');
  CHECK(large.take(got.data(), 70000) == 70000);
  CHECK(large.take(got.data() + 70000, got.size()) == got.size() - 70000);
  CHECK((got == sent));
  CHECK(large.size() == 0);
}

TEST_CASE(
    "an answer that has begun in time may take longer than its request may") { // guards: long answers cut off
  World w;
  const std::string value = value_of(300 << 10);
  w.caches([&](const http::Message&) { return length_head(value.size()) + value.substr(0, 100 << 10); });
  Client client = w.client();
  client.send(
      "GET /k HTTP/1.1\r\nHost: h\r\nX-Request-ID: r1\r\nX-Priority-Class: read\r\nX-Timeout-Ms: "
      "400\r\n\r\n");
  REQUIRE(w.until([&] { return w.sent() == 1 && client.come() > 0; }));
  for (std::size_t at = 100 << 10; at < value.size(); at += 40 << 10) {
    run_for(w.base.get(), 200);
    const std::size_t before = client.come();
    w.last_asked().say(value.substr(at, 40 << 10));
    CHECK(w.until(
        [&] { return client.come() > before || !client.answers.empty(); })); // none of it is held back
  }
  REQUIRE(w.until([&] { return !client.answers.empty(); }));
  CHECK(client.answers.front().body == value);
  CHECK(w.sent() == 1);
  CHECK(all_given_back(w));
}

TEST_CASE(
    "a node that falls silent in the middle of an answer is given up") { // guards: connections held for good
  World w;
  const std::string value = value_of(300 << 10);
  w.caches([&](const http::Message&) { return length_head(value.size()) + value.substr(0, 100 << 10); });
  Client client = w.client();
  client.send(get("/k", "r1"));
  REQUIRE(w.until([&] { return client.come() > 0; }));
  CHECK(w.until([&] { return client.closed; }));
  CHECK(client.answers.empty()); // it can tell
  CHECK(all_given_back(w));
}

TEST_CASE("a client that takes a whole answer slowly gets all of it, however long that takes") {
  World w([](Json& file) { file["limits"]["memory_mb"] = 32; });
  const std::string value = value_of(400 << 10);
  w.caches([&](const http::Message&) { return ok(value); });
  const int fd = socket(AF_INET, SOCK_STREAM, 0), few = 8 << 10;
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &few, sizeof few);
  sockaddr_in where{};
  where.sin_family = AF_INET;
  where.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  where.sin_port = htons(static_cast<std::uint16_t>(w.router->port()));
  REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0);
  const std::string text = get("/k", "r1", "Connection: close\r\n");
  REQUIRE(::send(fd, text.data(), text.size(), 0) == static_cast<ssize_t>(text.size()));
  std::string told;
  const double begun = loop::now_ms();
  for (bool open = true; open;) {
    run_for(w.base.get(), loop::now_ms() - begun < 6000 ? 1500 : 2);
    char bytes[40 << 10];
    const auto n = recv(fd, bytes, sizeof bytes, MSG_DONTWAIT);
    open = n > 0 || (n < 0 && errno == EAGAIN);
    if (n > 0) told.append(bytes, static_cast<std::size_t>(n));
  }
  close(fd);
  CHECK(loop::now_ms() - begun > 6000);
  CHECK(told.ends_with(value));
}

TEST_CASE("32 MB both ways through slow peers, far over the memory limit together, and others are served") {
  World w([](Json& file) { file["limits"]["memory_mb"] = 32; });
  const std::string value = value_of(32 * kMb);
  const std::string head = length_head(value.size());
  w.caches([&](const http::Message& m) { return m.target == "/k/long" ? head + value : ok("short"); });
  std::vector<std::unique_ptr<Client>> readers, writers;
  const std::string upload = put("/k/up", "up", value_of(32 * kMb));
  const std::size_t upload_head = upload.size() - value.size();
  w.origin.stopped = true; // takes nothing yet
  for (int i = 0; i < 4; ++i) {
    readers.push_back(std::make_unique<Client>(w.base.get(), w.router->port(), 16 << 10));
    readers.back()->stop_reading();
    readers.back()->send(get("/k/long", "long" + std::to_string(i)));
  }
  for (int i = 0; i < 2; ++i) {
    writers.push_back(std::make_unique<Client>(w.base.get(), w.router->port()));
    std::string text = upload;
    text.replace(text.find("X-Request-ID: up"), 16, "X-Request-ID: u" + std::to_string(i));
    writers.back()->send(text.substr(0, upload_head + 4 * kMb));
  }
  Client other = w.client();
  for (int i = 0; i < 20; ++i)
    CHECK(other.ask(get("/k/s" + std::to_string(i), "s" + std::to_string(i))).status == 200);
  CHECK(w.router->bytes().peak_held() <= w.router->bytes().total());
  CHECK(w.router->bytes().total() <= std::size_t{8} * kMb);
  for (const auto& reader : readers) reader->read_on();
  for (std::size_t i = 0; i < readers.size(); ++i) {
    REQUIRE(w.until([&] { return !readers[i]->answers.empty() || readers[i]->closed; }));
    REQUIRE(!readers[i]->answers.empty());
    CHECK(readers[i]->answers.front().body == value); // byte for byte
  }
  for (const auto& writer : writers) writer->leave();
  CHECK(all_given_back(w));
}
