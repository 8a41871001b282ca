// Responses whose head comes at once and whose body comes late, with the program as a separate process.
#include <doctest/doctest.h>
#include <signal.h>

#include <memory>
#include <string>
#include <vector>

#include "program.h"
#include "scripted_peers.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

constexpr double kObjectiveMs = 300;
constexpr double kClientTimeoutMs = 1500;

// A program with one cache and an origin, and responses that have no value after their latency objective.
struct LateBodyFixture {
  router::EventBasePtr base = router::make_event_base();
  ScriptedServer discovery{base.get(), [this](const http::Message& request) {
                             return request.target == "/v1/endpoints" ? ok_response(endpoint_list().dump())
                                                                      : std::string();
                           }};
  ScriptedServer cache{base.get(), [](const http::Message&) { return std::string(); }};
  ScriptedServer origin{base.get(), [](const http::Message&) { return std::string(); }};
  std::unique_ptr<TestProgram> program;
  std::vector<std::unique_ptr<TestClient>> clients;

  LateBodyFixture() {
    Json config = config_json(discovery.address, endpoint_list());
    for (Json& request_class : config["settings"]["classes"]) {
      request_class["aim"] = kObjectiveMs;
      request_class["give_up"] = kClientTimeoutMs;
    }
    program = std::make_unique<TestProgram>(std::vector<std::string>{"serve"}, config);
    REQUIRE(wait_until([&] { return program->port() != 0; }));
    REQUIRE(wait_until([&] {
      return TestClient(base.get(), program->port()).send_and_wait(get_request("/ready", "ready")).status ==
             200;
    }));
  }
  Json endpoint_list() {
    return endpoint_list_json(
        1, true,
        {endpoint_json("s-1", cache.address), endpoint_json("o-1", origin.address, "in_service", "origin")});
  }
  bool wait_until(const std::function<bool()>& condition) { return run_until(base.get(), condition); }
  // Sends a request and waits until `server` has it. A request that is active has a connection of its own to
  // the server, so its number among the clients is that of the connection.
  TestClient& start_request(ScriptedServer& server, const std::string& text) {
    const std::size_t before = server.requests.size();
    clients.push_back(std::make_unique<TestClient>(base.get(), program->port()));
    clients.back()->send(text);
    REQUIRE(wait_until([&] { return server.requests.size() > before; }));
    return *clients.back();
  }
};

// A response in the three framings: its head, and its body in two parts that end it together.
struct FramedResponse {
  std::string head, first_part, last_part;
};
std::vector<FramedResponse> framed_responses(const std::string& first_part, const std::string& last_part) {
  const auto chunk = [](const std::string& bytes) {
    char size_line[24];
    std::snprintf(size_line, sizeof size_line, "%zx\r\n", bytes.size());
    return bytes.empty() ? std::string() : size_line + bytes + "\r\n";
  };
  const std::string length = std::to_string(first_part.size() + last_part.size());
  return {{"HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n", first_part, last_part},
          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", chunk(first_part),
           chunk(last_part) + "0\r\n\r\n"},
          {"HTTP/1.1 200 OK\r\n\r\n", first_part, "!" + last_part}};
}

} // namespace

// Guards against rejecting a request, and so cutting off its response, after a server has begun to respond.
TEST_CASE("a body that is late beyond the latency objective is delivered in every framing") {
  LateBodyFixture fixture;
  std::string head_and_first_part;
  const ScriptedServer::Script script = [&](const http::Message&) { return head_and_first_part; };
  fixture.cache.script = fixture.origin.script = script;
  std::vector<FramedResponse> responses;
  const std::string long_part(100000, 'b');
  SUBCASE("a long body, nothing of it in time") { responses = framed_responses("", long_part); }
  SUBCASE("a short body, nothing of it in time") { responses = framed_responses("", "short"); }
  SUBCASE("a short body, a part of it in time") { responses = framed_responses("first ", "last"); }
  SUBCASE("a long body, a part of it in time") { responses = framed_responses(long_part, long_part); }
  for (ScriptedServer* const server : {&fixture.cache, &fixture.origin}) {
    fixture.clients.clear();
    for (const FramedResponse& response : responses) {
      const std::string id = (server == &fixture.cache ? "r" : "w") + std::to_string(fixture.clients.size());
      head_and_first_part = response.head + response.first_part;
      fixture.start_request(*server, server == &fixture.cache ? get_request("/k/" + id, id)
                                                              : put_request("/k/" + id, id, "value"));
    }
    run_for(fixture.base.get(), 2 * kObjectiveMs);
    for (std::size_t i = 0; i < responses.size(); ++i) server->write_to(i, responses[i].last_part);
    for (const auto& client : fixture.clients) {
      REQUIRE(fixture.wait_until([&] { return !client->responses.empty() || client->closed; }));
      REQUIRE(client->responses.size() == 1);
      CHECK(client->responses[0].status == 200);
      CHECK(client->responses[0].body.size() == (responses[0].first_part + responses[0].last_part).size());
    }
    CHECK(server->requests.size() == responses.size());
  }
}

// Guards against a client that waits for a response that does not go on.
TEST_CASE("a response that stops before the client's timeout is ended soon after it") {
  LateBodyFixture fixture;
  std::string head_and_first_part;
  fixture.cache.script = [&](const http::Message&) { return head_and_first_part; };
  std::vector<FramedResponse> responses;
  bool has_begun = false;
  SUBCASE("nothing of the body came") { responses = framed_responses("", "body"); }
  SUBCASE("a part of a short body came") { responses = {framed_responses("first ", "last").front()}; }
  SUBCASE("a part of a long body came") {
    responses = framed_responses(std::string(100000, 'b'), "last");
    has_begun = true;
  }
  std::vector<double> started_at_ms;
  for (const FramedResponse& response : responses) {
    const std::string id = "r" + std::to_string(fixture.clients.size());
    head_and_first_part = response.head + response.first_part;
    started_at_ms.push_back(loop::now_ms());
    std::string request = get_request("/k/" + id, id);
    request.replace(request.find("2000"), 4, std::to_string(static_cast<int>(kClientTimeoutMs)));
    fixture.start_request(fixture.cache, request);
  }
  constexpr double kLostAfterMs = 500; // after the client's timeout
  for (std::size_t i = 0; i < responses.size(); ++i) {
    TestClient& client = *fixture.clients[i];
    REQUIRE(fixture.wait_until([&] { return !client.responses.empty() || client.closed; }));
    CHECK(loop::now_ms() - started_at_ms[i] < kClientTimeoutMs + kLostAfterMs + 50);
    // The client can tell that a response that has begun is incomplete.
    if (has_begun) {
      CHECK(client.responses.empty());
    } else {
      REQUIRE(client.responses.size() == 1);
      CHECK(client.responses[0].status == 503);
    }
  }
}

// Guards against waiting for a body that is not used.
TEST_CASE("a cache miss whose body is late is continued at the origin at once") {
  LateBodyFixture fixture;
  fixture.cache.script = [](const http::Message&) {
    return std::string("HTTP/1.1 404 Not Found\r\nContent-Length: 10\r\n\r\n");
  };
  fixture.origin.script = [](const http::Message&) { return ok_response("from origin"); };
  TestClient client(fixture.base.get(), fixture.program->port());
  CHECK(client.send_and_wait(get_request("/k/1", "r1")).body == "from origin");
  // Its connection is used again once the body has come.
  fixture.cache.write_to(0, "not found\n");
  fixture.cache.script = [](const http::Message&) { return ok_response("from cache"); };
  run_for(fixture.base.get(), 100);
  CHECK(client.send_and_wait(get_request("/k/1", "r2")).body == "from cache");
  CHECK(fixture.cache.accepted_connections == 1);
}
