// Requests with long bodies: where the bodies are stored, and which requests are retried.
#include <doctest/doctest.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdlib>

#include "delayed_listener.h"
#include "raw_client.h"
#include "scripted_peers.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

constexpr std::size_t kMb = 1 << 20;

std::string make_value(std::size_t size) {
  std::string value(size, '\0');
  std::uint32_t state = 777;
  for (char& c : value) {
    state = state * 1664525u + 1013904223u;
    c = static_cast<char>(state >> 24);
  }
  return value;
}

std::string request_head(const std::string& id, const std::string& framing,
                         const std::string& class_name = "book") {
  return "PUT /k/1 HTTP/1.1\r\nHost: h\r\nX-Request-ID: " + id + "\r\nX-Priority-Class: " + class_name +
         "\r\nIdempotency-Key: k-" + id + "\r\nX-Timeout-Ms: 2000\r\n" + framing + "\r\n";
}
std::string content_length_header(std::size_t size) {
  return "Content-Length: " + std::to_string(size) + "\r\n";
}

// A folder for stored bodies, removed by the destructor.
struct BodyFolder {
  BodyFolder() {
    char name[] = "/tmp/fernward-bodies-XXXXXX";
    path = mkdtemp(name);
  }
  ~BodyFolder() { rmdir(path.c_str()); } // fails if files are left in it
  std::string path;
};

enum class BodyStorage { Memory, File, Streamed };

// Memory: with a limit of 64 MB, a body of 400 KB is stored in memory. File and Streamed: with 16 MB it is
// stored in a file if there is a folder, and otherwise only streamed.
struct UploadFixture {
  explicit UploadFixture(
      BodyStorage storage, std::function<void(Json&)> change = [](Json&) {})
      : fixture([&](Json& file) {
          file["limits"]["request_bytes"] = 8 << 20;
          file["limits"]["memory_mb"] = storage == BodyStorage::Memory ? 64 : 16;
          if (storage == BodyStorage::File) file["limits"]["body_folder"] = folder.path;
          file["settings"]["classes"].push_back(
              {{"name", "once"}, {"aim", 900}, {"give_up", 2000}, {"repeat", "unsafe"}, {"worth", 1}});
          change(file);
        }) {}
  // Waits until all memory, files and attempts are released.
  bool everything_released() {
    return fixture.wait_until([&] {
      return fixture.router->retained_bodies().memory_bytes() +
                     fixture.router->retained_bodies().file_bytes() +
                     fixture.router->retained_bodies().open_files() ==
                 0 &&
             fixture.router->buffer_budget().held_bytes() == 0 &&
             fixture.router->dispatcher().attempts_in_flight() == 0;
    }) && fixture.router->buffer_budget().peak_held_bytes() <= fixture.router->buffer_budget().total_bytes();
  }
  BodyFolder folder;
  RouterFixture fixture;
};

bool received_body(const ScriptedServer& peer, std::size_t at, const std::string& value) {
  return peer.requests.size() > at && peer.requests[at].body == value;
}

} // namespace

TEST_CASE("a long body reaches its server byte for byte wherever it is stored") {
  const std::string full_value = make_value(6 * kMb);
  for (const BodyStorage storage : {BodyStorage::Memory, BodyStorage::File, BodyStorage::Streamed}) {
    UploadFixture upload(storage);
    for (const std::size_t size : {65536ul, 65537ul, 100000ul, 400000ul, 6 * kMb}) {
      for (const bool chunked : {false, true}) {
        CAPTURE(static_cast<int>(storage));
        CAPTURE(size);
        CAPTURE(chunked);
        const std::string value = full_value.substr(0, size);
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
        const std::size_t before = upload.fixture.origin.requests.size();
        TestClient client = upload.fixture.connect_client();
        const std::string id = "r" + std::to_string(before);
        const auto response = client.send_and_wait(
            request_head(id, chunked ? "Transfer-Encoding: chunked\r\n" : content_length_header(size)) +
            text);
        CHECK(response.body == "from origin /k/1");
        CHECK(response.keep_alive);
        // The bytes of the next request are intact.
        CHECK(client.send_and_wait(get_request("/k/2", id + "-next")).status == 200);
        REQUIRE(upload.fixture.origin.requests.size() == before + 1);
        CHECK(received_body(upload.fixture.origin, before, value));
        CHECK(upload.fixture.origin.requests[before].header("idempotency-key") == "k-" + id);
      }
    }
    CHECK(upload.everything_released());
  }
}

// Guards against a write that is sent twice, or that fails although it could be retried.
TEST_CASE(
    "a server that closes its connection: retries depend on the class and the window and the stored body") {
  struct Row {
    BodyStorage storage;
    const char* class_name;
    // Closes after half of the body, so that the request has not run; otherwise after all of it.
    bool closes_early;
    int attempts;
  };
  for (const Row& row : std::initializer_list<Row>{
           {BodyStorage::Memory, "book", false, 2},
           {BodyStorage::Memory, "once", false, 1},
           {BodyStorage::File, "book", true, 2},
           {BodyStorage::File, "book", false, 2},
           {BodyStorage::File, "once", true, 2},
           {BodyStorage::File, "once", false, 1},
           {BodyStorage::Streamed, "book", true, 1},
           {BodyStorage::Streamed, "book", false, 1},
           {BodyStorage::Streamed, "once", false, 1},
       }) {
    CAPTURE(static_cast<int>(row.storage));
    CAPTURE(row.class_name);
    CAPTURE(row.closes_early);
    UploadFixture upload(row.storage);
    const std::string value = make_value(400000);
    int request_count = 0;
    const auto close_first_request = [&](const http::Message&) {
      return ++request_count == 1 ? std::string("!") : ok_response("stored");
    };
    row.closes_early ? upload.fixture.origin.early_response =
                           [&](const http::Message& request) {
                             return request_count == 0 ? close_first_request(request) : std::string();
                           }
                     : upload.fixture.origin.script = close_first_request;
    if (row.closes_early)
      upload.fixture.origin.script = [](const http::Message&) { return ok_response("stored"); };
    TestClient client = upload.fixture.connect_client();
    client.send(request_head("r1", content_length_header(value.size()), row.class_name) +
                value.substr(0, 200000));
    if (row.closes_early)
      REQUIRE(upload.fixture.wait_until([&] {
        return upload.fixture.origin.accepted_connections == 1 &&
               upload.fixture.origin.open_connections() == 0;
      }));
    client.send(value.substr(200000));
    REQUIRE(upload.fixture.wait_until([&] { return !client.responses.empty() || client.closed; }));
    REQUIRE(client.responses.size() == 1);
    CHECK((client.responses[0].status == 200) == (row.attempts == 2));
    CHECK(upload.fixture.origin.accepted_connections == row.attempts);
    for (const auto& request : upload.fixture.origin.requests)
      CHECK((request.body == value)); // never a partial body
    CHECK(upload.everything_released());
  }
}

TEST_CASE("a write is not retried after its idempotency window") {
  UploadFixture upload(BodyStorage::File, [](Json& file) { file["settings"]["classes"][1]["window"] = 100; });
  const std::string value = make_value(400000);
  upload.fixture.origin.script = [](const http::Message&) { return std::string(); };
  TestClient client = upload.fixture.connect_client();
  client.send(request_head("r1", content_length_header(value.size())) + value);
  REQUIRE(upload.fixture.wait_until([&] { return upload.fixture.origin.requests.size() == 1; }));
  run_for(upload.fixture.base.get(), 150);
  upload.fixture.origin.shutdown_all();
  REQUIRE(upload.fixture.wait_until([&] { return !client.responses.empty(); }));
  CHECK(client.responses[0].status >= 500);
  CHECK(upload.fixture.origin.requests.size() == 1);
}

// Guards against writes that fail because the disk is full or the folder is unusable.
TEST_CASE("disk failures: the body is still sent exactly once") {
  const std::string value = make_value(2 * kMb);
  rlimit before{};
  REQUIRE(getrlimit(RLIMIT_FSIZE, &before) == 0);
  signal(SIGXFSZ, SIG_IGN);
  bool limit_file_size = false, remove_folder = false, expects_retry = false;
  BodyStorage storage = BodyStorage::File;
  std::string other_folder;
  SUBCASE("no folder") { other_folder = "/nonexistent/folder"; }
  SUBCASE("a folder without write access") { other_folder = "/proc"; }
  SUBCASE("no space left") { limit_file_size = true; }
  SUBCASE("the folder is removed while a body is in it") { remove_folder = expects_retry = true; }
  UploadFixture upload(storage, [&](Json& file) {
    file["limits"]["body_folder_mb"] = 64;
    if (!other_folder.empty()) file["limits"]["body_folder"] = other_folder;
  });
  int request_count = 0;
  if (expects_retry)
    upload.fixture.origin.script = [&](const http::Message&) {
      return ++request_count == 1 ? std::string("!") : ok_response("stored");
    };
  if (limit_file_size) { // the first file is written partly: one write is short
    const rlimit file_size_limit{700001, before.rlim_max};
    REQUIRE(setrlimit(RLIMIT_FSIZE, &file_size_limit) == 0);
  }
  TestClient client = upload.fixture.connect_client();
  client.send(request_head("r1", content_length_header(value.size())) + value.substr(0, kMb));
  REQUIRE(upload.fixture.wait_until([&] { return upload.fixture.origin.partial_body_bytes > 500000; }));
  if (remove_folder)
    CHECK(rmdir(upload.folder.path.c_str()) == 0); // possible because the files in it are unlinked
  client.send(value.substr(kMb));
  upload.fixture.wait_until([&] { return !client.responses.empty() || client.closed; });
  setrlimit(RLIMIT_FSIZE, &before);
  REQUIRE(client.responses.size() == 1);
  CHECK(client.responses[0].status == 200);
  // The retry reads the file, whose folder no longer exists.
  CHECK(upload.fixture.origin.requests.size() == (expects_retry ? 2 : 1));
  for (const auto& request : upload.fixture.origin.requests) CHECK((request.body == value));
  CHECK(upload.everything_released());
}

TEST_CASE("a client that disconnects in the middle of a streamed body: the request is never completed") {
  for (const BodyStorage storage : {BodyStorage::File, BodyStorage::Streamed}) {
    UploadFixture upload(storage);
    {
      TestClient client = upload.fixture.connect_client();
      client.send(request_head("r1", content_length_header(kMb)) + make_value(300000));
      REQUIRE(upload.fixture.wait_until([&] { return upload.fixture.origin.partial_body_bytes > 200000; }));
    }
    CHECK(upload.fixture.wait_until([&] { return upload.fixture.origin.open_connections() == 0; }));
    CHECK(upload.fixture.origin.requests.empty());
    CHECK(upload.everything_released());
  }
}

TEST_CASE("a body that is not received in time is answered with 408 and its attempt ends") {
  UploadFixture upload(BodyStorage::Streamed);
  TestClient client = upload.fixture.connect_client();
  const double started_at_ms = loop::now_ms();
  client.send(request_head("r1", content_length_header(kMb)) + make_value(100000));
  REQUIRE(upload.fixture.wait_until([&] { return !client.responses.empty(); }));
  CHECK(client.responses[0].status == 408);
  // The time limit grows with the bytes received.
  CHECK(loop::now_ms() - started_at_ms > 2000 + 100000 / 256.0 - 100);
  CHECK(upload.fixture.wait_until(
      [&] { return upload.fixture.origin.open_connections() == 0 && client.closed; }));
  CHECK(upload.fixture.origin.requests.empty());
  CHECK(upload.everything_released());
}

TEST_CASE("a server that responds before the body is sent") {
  UploadFixture upload(BodyStorage::Streamed);
  const std::string value = make_value(4 * kMb);
  std::string early_response;
  int status = 0;
  SUBCASE("413: the request is invalid") {
    early_response = http::write_response(413, {}, "", true), status = 502;
  }
  SUBCASE("not processed and the sent part of the body is not stored") {
    early_response = kNotProcessed, status = 503;
  }
  SUBCASE("200 for an incomplete request: never forwarded") {
    early_response = ok_response("invented"), status = 503;
  }
  upload.fixture.origin.early_response = [&](const http::Message&) { return early_response; };
  upload.fixture.origin.reading_paused = false;
  TestClient client = upload.fixture.connect_client();
  client.send(request_head("r1", content_length_header(value.size())) + value.substr(0, kMb));
  REQUIRE(upload.fixture.wait_until([&] { return !client.responses.empty() || client.closed; }));
  REQUIRE(client.responses.size() == 1);
  CHECK(client.responses[0].status == status);
  CHECK(client.responses[0].body.find("invented") == std::string::npos);
  CHECK_FALSE(client.responses[0].keep_alive);
  CHECK(upload.fixture.origin.accepted_connections == 1);
  CHECK(upload.fixture.wait_until([&] { return client.closed; }));
  CHECK(upload.everything_released());
}

// Guards against unbounded memory use.
TEST_CASE("a server that reads slowly pauses reading from the client") {
  UploadFixture upload(BodyStorage::Streamed);
  const std::string value = make_value(8 * kMb);
  upload.fixture.origin.reading_paused = true;
  TestClient client = upload.fixture.connect_client();
  client.send(request_head("r1", content_length_header(value.size())) + value);
  REQUIRE(upload.fixture.wait_until([&] { return upload.fixture.origin.accepted_connections == 1; }));
  run_for(upload.fixture.base.get(), 300);
  CHECK(upload.fixture.router->buffer_budget().held_bytes() > 0);
  // Of 8 MB; the limit for all bodies is 4 MB.
  CHECK(upload.fixture.router->buffer_budget().peak_held_bytes() < kMb);
  upload.fixture.origin.resume_reading();
  REQUIRE(upload.fixture.wait_until([&] { return !client.responses.empty() || client.closed; }));
  REQUIRE(client.responses.size() == 1);
  CHECK(client.responses[0].status == 200);
  CHECK(received_body(upload.fixture.origin, 0, value));
  CHECK(upload.everything_released());
}

// Guards against servers that work on for seconds after the client has given up.
TEST_CASE("the timeout told to the server of a long body that is arriving is at most the client's") {
  UploadFixture upload(BodyStorage::Streamed);
  const std::string value = make_value(kMb);
  TestClient client = upload.fixture.connect_client();
  client.send(request_head("r1", content_length_header(value.size())) + value.substr(0, kMb / 2));
  REQUIRE(upload.fixture.wait_until([&] { return upload.fixture.origin.partial_body_bytes > 0; }));
  CHECK(client.send_and_wait(value.substr(kMb / 2)).status == 200);
  CHECK(std::stod(std::string(upload.fixture.origin.requests.at(0).header("x-timeout-ms"))) <= 2000);
}

// Guards against a final response that comes seconds after its time, because the router counted the time from when
// it read the last byte, and did not read it while the server accepted none of the body.
TEST_CASE(
    "a long body that its server does not accept: the final response is in time after the last byte is "
    "sent") {
  constexpr double kTimeoutMs = 400;
  const std::string timeout_header = "X-Timeout-Ms: 400\r\n";
  for (const std::size_t size : {300000ul, 700000ul, 2000000ul}) {
    for (const bool chunked : {false, true}) {
      CAPTURE(size);
      CAPTURE(chunked);
      DelayedListener origin;
      UploadFixture upload(BodyStorage::Streamed, [&](Json& file) {
        file["limits"]["memory_mb"] = 8;
        file["known"]["endpoints"][2]["address"] = origin.address;
      });
      const std::string value = make_value(size);
      char chunk_line[24];
      std::snprintf(chunk_line, sizeof chunk_line, "%zx\r\n", size);
      std::string head =
          request_head("r1", chunked ? "Transfer-Encoding: chunked\r\n" : content_length_header(size));
      head.replace(head.find("X-Timeout-Ms: 2000\r\n"), timeout_header.size() + 1, timeout_header);
      RawClient client(upload.fixture.router->port(),
                       head + (chunked ? chunk_line + value + "\r\n0\r\n\r\n" : value));
      REQUIRE(client.sent_completely);
      const double sent_at_ms = loop::now_ms();
      CHECK(upload.fixture.wait_until([&] {
        client.receive_available();
        return !client.responses.empty() || client.closed;
      }));
      REQUIRE(client.responses.size() == 1);
      CHECK(client.responses[0].status >= 500);
      CHECK(loop::now_ms() - sent_at_ms < kTimeoutMs + 500);
    }
  }
}

// The guard above must not end requests of clients that are still sending.
TEST_CASE("a long body that is read late once and sent slowly: the timeout counts from its last byte") {
  // More than the sockets towards the server hold.
  constexpr std::size_t kFirstBytes = 11 * kMb, kPartBytes = kMb / 8, kParts = 8;
  UploadFixture upload(BodyStorage::Streamed, [](Json& file) { file["limits"]["request_bytes"] = 16 << 20; });
  const std::string value = make_value(kFirstBytes + kParts * kPartBytes);
  std::string head = request_head("r1", content_length_header(value.size()));
  head.replace(head.find("2000\r\n"), 4, "400");
  upload.fixture.origin.reading_paused = true;
  TestClient client = upload.fixture.connect_client();
  client.send(head + value.substr(0, kFirstBytes));
  REQUIRE(upload.fixture.wait_until([&] { return upload.fixture.origin.accepted_connections == 1; }));
  run_for(upload.fixture.base.get(), 200);                          // half of the timeout
  REQUIRE(upload.fixture.router->buffer_budget().held_bytes() > 0); // reading is delayed
  upload.fixture.origin.resume_reading();
  REQUIRE(upload.fixture.wait_until([&] { return upload.fixture.origin.partial_body_bytes == kFirstBytes; }));
  for (std::size_t part = 0; part < kParts; ++part) { // twice the timeout
    run_for(upload.fixture.base.get(), 100);
    client.send(value.substr(kFirstBytes + part * kPartBytes, kPartBytes));
  }
  REQUIRE(upload.fixture.wait_until([&] { return !client.responses.empty() || client.closed; }));
  REQUIRE(client.responses.size() == 1);
  CHECK(client.responses[0].status == 200);
  CHECK(received_body(upload.fixture.origin, 0, value));
}

// Guards against a request that is completed seconds after its client has left, because the end of its connection was
// behind the bytes that the router had not read.
TEST_CASE(
    "a client that sends a long body and disconnects while it is not read: the request is never completed") {
  constexpr std::size_t kSize = 2000000;
  DelayedListener origin;
  UploadFixture upload(BodyStorage::Streamed, [&](Json& file) {
    file["limits"]["memory_mb"] = 8;
    file["known"]["endpoints"][2]["address"] = origin.address;
    file["settings"]["limits"]["connect_timeout"] = 9000;
    for (Json& request_class : file["settings"]["classes"])
      request_class["aim"] = request_class["give_up"] = 9000;
  });
  std::string head = request_head("r1", content_length_header(kSize));
  head.replace(head.find("2000\r\n"), 4, "9000");
  {
    RawClient client(upload.fixture.router->port(), head + make_value(kSize));
    REQUIRE(client.sent_completely);
    REQUIRE(upload.fixture.wait_until(
        [&] { return upload.fixture.router->dispatcher().attempts_in_flight() == 1; }));
  }
  origin.clear_backlog();
  std::string received;
  CHECK(upload.fixture.wait_until([&] {
    received += origin.receive_all();
    return upload.fixture.router->dispatcher().attempts_in_flight() == 0;
  }));
  received += origin.receive_all();
  CHECK(received.size() < kSize);
  CHECK(upload.everything_released());
}

// Guards against one id that is executed twice: both bodies were arriving when the ids were checked.
TEST_CASE("two long bodies with the same id that arrive at the same time: the second request gets 409") {
  UploadFixture upload(BodyStorage::Memory);
  upload.fixture.origin.script = [](const http::Message&) { return std::string(); };
  const std::string value = make_value(100000);
  const std::string head = request_head("r1", content_length_header(value.size()));
  TestClient first = upload.fixture.connect_client(), second = upload.fixture.connect_client();
  first.send(head + value.substr(0, 70000));
  second.send(head + value.substr(0, 70000));
  REQUIRE(upload.fixture.wait_until(
      [&] { return upload.fixture.router->retained_bodies().memory_bytes() == 200000; }));
  first.send(value.substr(70000));
  REQUIRE(upload.fixture.wait_until([&] { return upload.fixture.origin.requests.size() == 1; }));
  CHECK(second.send_and_wait(value.substr(70000)).status == 409);
  upload.fixture.origin.write_to_last(ok_response("stored"));
  REQUIRE(upload.fixture.wait_until([&] { return !first.responses.empty(); }));
  CHECK(first.responses[0].status == 200);
  CHECK(upload.fixture.origin.requests.size() == 1);
  CHECK(upload.everything_released());
}

// Guards against one id that is executed twice, as the origin still works for a client that has disconnected.
TEST_CASE("the id of a request whose client has disconnected is refused while its attempt is in flight") {
  RouterFixture fixture;
  fixture.origin.script = [](const http::Message&) { return std::string(); };
  const std::string request = put_request("/k/1", "r1", "value");
  {
    TestClient client = fixture.connect_client();
    client.send(request);
    REQUIRE(fixture.wait_until([&] { return fixture.origin.requests.size() == 1; }));
  }
  REQUIRE(fixture.wait_until([&] { return fixture.router->dispatcher().unanswered_requests() == 0; }));
  REQUIRE(fixture.router->dispatcher().attempts_in_flight() == 1);
  CHECK(fixture.connect_client().send_and_wait(request).status == 409);
  CHECK(fixture.origin.requests.size() == 1);
  fixture.origin.write_to_last(ok_response("stored"));
  REQUIRE(fixture.wait_until([&] { return fixture.router->dispatcher().attempts_in_flight() == 0; }));
  fixture.origin.script = [](const http::Message&) { return ok_response("stored again"); };
  CHECK(fixture.connect_client().send_and_wait(request).status == 200); // the id is not remembered
}

// Guards against a pipelined request that gets its whole timeout again after it waited behind another one.
TEST_CASE("a request that waits unread behind another one: its timeout counts from when it was received") {
  RouterFixture fixture;
  fixture.script_caches([](const http::Message&) { return std::string(); });
  TestClient client = fixture.connect_client();
  client.send(get_request("/k/1", "r1") + get_request("/k/2", "r2"));
  REQUIRE(fixture.wait_until([&] { return fixture.requests_sent() == 1; }));
  run_for(fixture.base.get(), 200); // less than a slow attempt takes
  fixture.last_requested_cache().write_to_last(ok_response("first"));
  REQUIRE(fixture.wait_until([&] { return fixture.requests_sent() == 2; }));
  const auto& requests = fixture.last_requested_cache().requests;
  REQUIRE(requests.back().header("x-request-id") == "r2");
  CHECK(std::stod(std::string(requests.back().header("x-timeout-ms"))) <= 1800);
}

TEST_CASE("a client with Expect: 100-continue may send its body once the request is admitted") {
  UploadFixture upload(BodyStorage::Streamed);
  const std::string value = make_value(400000);
  TestClient client = upload.fixture.connect_client();
  client.send(request_head("r1", content_length_header(value.size()) + "Expect: 100-continue\r\n"));
  run_for(upload.fixture.base.get(), 50);
  CHECK(client.responses.empty());
  CHECK(client.send_and_wait(value).status == 200); // the interim response is not counted as one
  CHECK(received_body(upload.fixture.origin, 0, value));
  TestClient invalid_client = upload.fixture.connect_client();
  CHECK(invalid_client
            .send_and_wait(request_head(
                "r2", content_length_header(value.size()) + "Expect: 100-continue\r\n", "unheard-of"))
            .status == 400);
  TestClient too_long_client = upload.fixture.connect_client();
  CHECK(too_long_client
            .send_and_wait(request_head("r3", content_length_header(9 * kMb) + "Expect: 100-continue\r\n"))
            .status == 413);
  CHECK(upload.fixture.origin.requests.size() == 1);
}

// Guards against answering 408 to clients on slow links.
TEST_CASE("a header that takes 2 s and a body at 64 kB per second are accepted") {
  RouterFixture fixture;
  const std::string body = make_value(96 << 10), short_body = make_value(60 << 10);
  for (const std::string& body_sent : {short_body, body}) {
    TestClient client = fixture.connect_client();
    const std::string text = put_request("/k", "r" + std::to_string(body_sent.size()), body_sent);
    const std::size_t head_bytes = text.size() - body_sent.size();
    client.send(text.substr(0, head_bytes / 2));
    run_for(fixture.base.get(), 2000);
    client.send(text.substr(head_bytes / 2, head_bytes - head_bytes / 2));
    for (std::size_t at = 0; at < body_sent.size(); at += 6400) {
      run_for(fixture.base.get(), 100);
      client.send(body_sent.substr(at, 6400));
    }
    REQUIRE(fixture.wait_until([&] { return !client.responses.empty() || client.closed; }));
    REQUIRE(client.responses.size() == 1);
    CHECK(client.responses.front().status == 200);
    CHECK(fixture.origin.requests.back().body == body_sent);
  }
}

// Guards against a request that fails a moment after its body, as the time that the body could have taken was
// subtracted from the rest of the shutdown.
TEST_CASE("a long body that is complete during a shutdown: its request has the remaining time") {
  RouterFixture fixture;
  fixture.origin.script = [](const http::Message&) { return std::string(); };
  TestClient client = fixture.connect_client();
  const std::string body(kMb, 'b');
  const std::string head = request_head("r1", content_length_header(body.size()));
  client.send(head.substr(0, head.size() / 2));
  REQUIRE(fixture.wait_until([&] { return fixture.router->listener().connection_count() == 1; }));
  fixture.router->begin_shutdown();
  client.send(head.substr(head.size() / 2) + body);
  REQUIRE(fixture.wait_until([&] { return fixture.origin.requests.size() == 1; }));
  run_for(fixture.base.get(), 100); // far longer than it was given, and a twentieth of its timeout
  fixture.origin.write_to_last(ok_response("written"));
  REQUIRE(fixture.wait_until([&] { return !client.responses.empty() || client.closed; }));
  REQUIRE(client.responses.size() == 1);
  CHECK(client.responses[0].status == 200);
}
