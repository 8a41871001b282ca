// Tests of responses and request bodies of any size, over loopback sockets against scripted peers.
#include <doctest/doctest.h>
#include <unistd.h>

#include <cerrno>

#include "peers.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

constexpr std::size_t kMb = 1 << 20;

std::string value_of(std::size_t size) { // pseudo-random, so that lost or swapped bytes are detected
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

// Guards against applying the limit for bodies to answers of discovery.
TEST_CASE("an endpoint list with a thousand servers is accepted") {
  World w;
  std::vector<Json> many = w.all();
  for (int i = 0; i < 1000; ++i)
    many.push_back(endpoint("x-" + std::to_string(i), "127.0.0.1:1", "terminating"));
  REQUIRE(node_list(9, true, many).dump().size() > 100000);
  CHECK(w.tell(node_list(9, true, many)));
  CHECK(w.router->table().targets().size() == 1003);
}

// Guards against bytes lost between two buffers.
TEST_CASE("a response is forwarded byte for byte") {
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
    CHECK((answer.body == value)); // the inner parentheses keep doctest from printing the body
  };
  for (const std::size_t size : {0ul, 1ul, 1000ul, 4095ul, 4096ul, 4097ul, 65535ul, 65536ul, 65537ul,
                                 100000ul, 400000ul, 524288ul, 524289ul, 1000000ul, 5 * kMb}) {
    const std::string value = whole.substr(0, size);
    same(value, length_head(size) + value, "with its length");
    same(value, "!" + kUntilCloseHead + value, "until close"); // "!": the server then closes the connection
    same(value, kChunkedHead + chunks(value, 8192), "in chunks");
    same(value, kChunkedHead + chunks(value, 65536), "in large chunks");
    same(value, kChunkedHead + chunks(value, 100003), "in chunks not aligned with the buffers", true);
  }
  same(whole.substr(0, 3000), kChunkedHead + chunks(whole.substr(0, 3000), 1), "in chunks of a byte");
  CHECK(all_given_back(w));
}

// Guards against a boundary in the middle of a chunk's size line.
TEST_CASE("a response is forwarded unchanged wherever its bytes are split") {
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

// Guards against a partial response that looks complete.
TEST_CASE("a response that is truncated after forwarding began: the client detects it and no retry is sent") {
  World w;
  const std::string value = value_of(kMb);
  const std::string part = value.substr(0, 700000);
  std::string wire;
  bool old = false;
  SUBCASE("with its length") { wire = "!" + length_head(value.size()) + part; }
  SUBCASE("between two chunks") { wire = "!" + kChunkedHead + chunk(part); }
  SUBCASE("in the middle of a chunk") { wire = "!" + kChunkedHead + chunk(value).substr(0, 700000); }
  SUBCASE("to a client without chunked encoding") {
    wire = "!" + kChunkedHead + chunk(part);
    old = true;
  }
  SUBCASE("garbage in place of a chunk") { wire = kChunkedHead + chunk(part) + "noise\r\n"; }
  w.caches([&](const http::Message&) { return wire; });
  Client client = w.client();
  std::string request = get("/k/1", "r1");
  if (old) request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0");
  const auto answer = client.ask(request);
  CHECK(answer.status == 0); // no complete response
  CHECK(client.closed);
  CHECK(client.reset == old); // for HTTP/1.0 a plain close would mark the end of the response
  CHECK(w.sent() == 1);
  CHECK(w.router->driver().unanswered_requests() == 0);
  CHECK(all_given_back(w));
}

// Guards against requests that fail although a retry succeeds.
TEST_CASE("a response that is truncated or stalls before forwarding began is retried at another endpoint") {
  World w;
  const std::string value = value_of(400000);
  std::string wire;
  SUBCASE("it ends after 300 of 400 KB") { wire = "!" + length_head(value.size()) + value.substr(0, 300000); }
  SUBCASE("it stalls after 300 of 400 KB") { wire = length_head(value.size()) + value.substr(0, 300000); }
  SUBCASE("truncated between chunks") { wire = "!" + kChunkedHead + chunk(value); }
  SUBCASE("a trailer of 400 KB") {
    wire = kChunkedHead + chunk("v") + "0\r\nA: " + value.substr(0, 0) + std::string(400000, 'a');
  }
  SUBCASE("a Content-Length of 3 GB") { wire = length_head(3000000000) + value; }
  SUBCASE("two Content-Length headers") {
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

TEST_CASE("an endless response is truncated at the size limit and no more is read than is forwarded") {
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

TEST_CASE(
    "a client that does not read pauses reading from the server and receives everything when it resumes") {
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
  // The remainder stays at the server because no socket buffer holds 16 MB.
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

// Guards against a router without memory, and against clients that wait for others that do not read.
TEST_CASE(
    "200 clients that do not read their 400 KB with 32 MB of memory while another client sends requests") {
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
    run_for(w.base.get(), 10); // not a burst, which would test the balancer's admission
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

TEST_CASE("of two hedged attempts the response that begins first is forwarded and the other is canceled") {
  World w;
  const std::string value = value_of(kMb);
  int asked = 0;
  // The first server is silent: the hedged request follows after a third of the latency objective.
  w.caches(
      [&](const http::Message&) { return ++asked == 1 ? std::string() : length_head(value.size()) + value; });
  Client client = w.client();
  const auto answer = client.ask(get("/k/1", "r1"));
  CHECK((answer.body == value));
  CHECK(asked == 2);
  Peer& silent = &w.last_asked() == &w.one ? w.two : w.one;
  CHECK(w.until([&] { return silent.open() == 0; }));
  CHECK(client.ask(get("/k/2", "r2")).status == 200); // the client's connection stays open
}

TEST_CASE("graceful shutdown: a response being forwarded is completed and its connection closed") {
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

// Guards against leaks.
TEST_CASE("a client that disconnects while its response is forwarded cancels the attempt") {
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

// Guards against reading megabytes to keep a connection.
TEST_CASE("the unused body of a response is not read") {
  World w;
  const std::string value = value_of(3 * kMb);
  w.caches([&](const http::Message&) { return "HTTP/1.1 404 X\r\nContent-Length: 3145728\r\n\r\n" + value; });
  CHECK(w.client().ask(get("/k/1", "r1")).body == "from origin /k/1");
  CHECK(w.until([&] { return w.one.open() + w.two.open() == 0; }));
}

TEST_CASE("a reset after half of a response on a reused connection is retried once at another endpoint") {
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
  for (int i = 0; i < 4; ++i) { // afterwards both caches have an idle connection
    CHECK((client.ask(get("/k/" + std::to_string(i), "r" + std::to_string(i))).body == value));
  }
  run_for(w.base.get(), 50);
  breaks = true;
  asked = 0;
  CHECK((client.ask(get("/k/1", "last")).body == value));
  CHECK(asked == 2);
  CHECK(all_given_back(w));
}

// Guards against response buffers that are held forever.
TEST_CASE("a client that reads a response very slowly is disconnected") {
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
  CHECK(loop::now_ms() - begun > 4000); // meanwhile the client has read less than one byte per second
  CHECK(w.until([&] { return w.one.open() + w.two.open() == 0; }));
  CHECK(w.router->driver().unanswered_requests() == 0);
}

// Guards against a whole block for each small piece.
TEST_CASE("buffered bytes use at most twice their size in memory") {
  loop::IoBuffer block;
  const char* const first = block.data();
  std::vector<loop::Buffer> waiting(50);
  for (auto& buffer : waiting) {
    for (int i = 0; i < 20; ++i) buffer.add({block.data(), 1000}, block);
    CHECK(block.data() == first); // small pieces are copied: the block is reused
  }
  loop::Buffer large;
  std::string sent;
  for (int i = 0; i < 5; ++i) {
    char* const at = block.data();
    std::fill(at, at + loop::IoBuffer::size(), static_cast<char>('a' + i));
    const std::size_t size = loop::IoBuffer::size() / 2 + static_cast<std::size_t>(i) * 1000;
    large.add({at, size}, block);
    sent.append(at, size);
    CHECK(block.data() != at); // a block that is referenced is not reused
  }
  CHECK((large.text() == sent));
  std::string got(large.size(), '\0');
  CHECK(large.take(got.data(), 70000) == 70000);
  CHECK(large.take(got.data() + 70000, got.size()) == got.size() - 70000);
  CHECK((got == sent));
  CHECK(large.size() == 0);
}

// Guards against long responses that are truncated.
TEST_CASE("a response that began in time may take longer than the timeout of its request") {
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
        [&] { return client.come() > before || !client.answers.empty(); })); // each part is forwarded at once
  }
  REQUIRE(w.until([&] { return !client.answers.empty(); }));
  CHECK(client.answers.front().body == value);
  CHECK(w.sent() == 1);
  CHECK(all_given_back(w));
}

// Guards against connections that are held forever.
TEST_CASE("a server that stops in the middle of a response times out") {
  World w;
  const std::string value = value_of(300 << 10);
  w.caches([&](const http::Message&) { return length_head(value.size()) + value.substr(0, 100 << 10); });
  Client client = w.client();
  client.send(get("/k", "r1"));
  REQUIRE(w.until([&] { return client.come() > 0; }));
  CHECK(w.until([&] { return client.closed; }));
  CHECK(client.answers.empty()); // the client detects that the response is incomplete
  CHECK(all_given_back(w));
}

TEST_CASE("a client that reads a fully received response slowly receives all of it") {
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

TEST_CASE(
    "32 MB bodies in both directions through slow peers exceed the memory limit and other clients are "
    "served") {
  World w([](Json& file) { file["limits"]["memory_mb"] = 32; });
  const std::string value = value_of(32 * kMb);
  const std::string head = length_head(value.size());
  w.caches([&](const http::Message& m) { return m.target == "/k/long" ? head + value : ok("short"); });
  std::vector<std::unique_ptr<Client>> readers, writers;
  const std::string upload = put("/k/up", "up", value_of(32 * kMb));
  const std::size_t upload_head = upload.size() - value.size();
  w.origin.stopped = true; // does not read yet
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
    CHECK(readers[i]->answers.front().body == value);
  }
  for (const auto& writer : writers) writer->leave();
  CHECK(all_given_back(w));
}
