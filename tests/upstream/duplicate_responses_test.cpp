// A server may send its last response a second time, some milliseconds late. The order of the duplicate and of
// the next request is forced: the server sends the duplicate when the next attempt has started.
#include "pool_fixture.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

constexpr ServerId kServer = PoolFixture::kServer;
constexpr double kNeverOverMs = 60000; // a reuse delay that outlasts every test
constexpr double kShortDelayMs = 200;  // longer than a busy machine holds the test up

upstream::ConnectionPoolOptions options_with(double reuse_delay_ms, bool scarce = false) {
  upstream::ConnectionPoolOptions options;
  options.reuse_delay_ms = reuse_delay_ms;
  options.idle_timeout_ms = 2 * kNeverOverMs;
  if (scarce) options.scarce_kind = 0; // the kind of the fixture's server
  return options;
}

// The server answers a first request on its first connection.
void serve_first_request(PoolFixture& fixture, const std::string& response, bool is_write = false) {
  const loop::Handle first = fixture.start("r1", is_write);
  REQUIRE(fixture.wait_until_received(1));
  fixture.server.write_to(0, response);
  REQUIRE(fixture.wait_until_ended(first));
}

// The first response is sent a second time when a second attempt has started. That attempt has to go to another
// connection and to get its own response.
void check_duplicate_is_not_used(const std::string& response, bool scarce, bool is_write) {
  CAPTURE(response);
  CAPTURE(scarce);
  CAPTURE(is_write);
  PoolFixture fixture(options_with(kNeverOverMs, scarce));
  serve_first_request(fixture, response, is_write);
  const loop::Handle second = fixture.start("r2");
  if (!scarce) REQUIRE(fixture.wait_until_received(2));
  fixture.server.write_to(0, response);
  const auto has_ended = [&] { return fixture.attempts.ended.count(second) > 0; };
  REQUIRE(fixture.wait_until([&] { return has_ended() || fixture.server.accepted_connections == 2; }));
  REQUIRE(fixture.wait_until([&] { return has_ended() || fixture.pool.connection_count() == 1; }));
  REQUIRE_FALSE(has_ended());
  REQUIRE(fixture.wait_until_received(2));
  fixture.server.write_to_last(ok_response("v of r2"));
  REQUIRE(fixture.wait_until_ended(second));
  CHECK(fixture.attempts.ended[second].result == AttemptResult::Ok);
  CHECK(fixture.attempts.ended[second].body == "v of r2");
  CHECK(fixture.server.requests.size() == 2);
}

} // namespace

// Guards against a client that is served the response to another request, against a request that is executed
// twice after another request's 404, and against one that is rejected after another request's 503.
TEST_CASE("a late duplicate of the last response is not read as the response to the next request") {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nv of r1\r\n0\r\n\r\n";
  const std::string interim = "HTTP/1.1 102 Processing\r\n\r\n";
  for (const std::string& response : {ok_response("v of r1"), chunked, interim + ok_response("v of r1"),
                                      kCacheMiss, kNotProcessed, status_response(500), status_response(504)})
    check_duplicate_is_not_used(response, false, false);
}

// Guards against the same at the origin, for responses that do not differ from one request to the next.
TEST_CASE(
    "a late duplicate of an error or of a write's response is not used at a server with scarce connections") {
  for (const std::string& response :
       {kCacheMiss, kNotProcessed, status_response(500), status_response(504), ok_response("")})
    check_duplicate_is_not_used(response, true, false);
  check_duplicate_is_not_used(ok_response("written"), true, true);
  check_duplicate_is_not_used(ok_response(std::string(20000, 'v')), true, false); // too long to be compared
}

// Guards against a client that is served the origin's response to another request, and against a slot of the
// origin that stays unused while a request waits.
TEST_CASE("a late duplicate of a value fails the next request at a server with scarce connections") {
  PoolFixture fixture(options_with(kNeverOverMs, true));
  serve_first_request(fixture, ok_response("v of r1"));
  const loop::Handle second = fixture.start("r2");
  REQUIRE(fixture.wait_until_received(2)); // without a delay
  CHECK(fixture.server.accepted_connections == 1);
  fixture.server.write_to(0, ok_response("v of r1"));
  REQUIRE(fixture.wait_until_ended(second));
  CHECK(fixture.attempts.ended[second].result == AttemptResult::Error); // it may have run
  CHECK(fixture.attempts.ended[second].body.empty());
  CHECK(fixture.pool.connection_count() == 0);
}

// Guards against a server whose keys have equal values and at which every other request fails.
TEST_CASE("after an equal value the reuse delay applies at a server with scarce connections") {
  PoolFixture fixture(options_with(kNeverOverMs, true));
  fixture.server.script = [](const http::Message&) { return ok_response("equal"); };
  for (const bool equal : {false, true, false}) { // the second one closes its connection
    const loop::Handle attempt = fixture.start("r");
    REQUIRE(fixture.wait_until_ended(attempt));
    CHECK(fixture.attempts.ended[attempt].result == (equal ? AttemptResult::Error : AttemptResult::Ok));
  }
  const loop::Handle waiting = fixture.start("r4");
  fixture.server.write_to_last(ok_response("equal"));
  REQUIRE(fixture.wait_until_ended(waiting)); // on another connection
  CHECK(fixture.attempts.ended[waiting].result == AttemptResult::Ok);
  CHECK(fixture.server.accepted_connections == 3);
}

TEST_CASE("a different value is the response to the next request at a server with scarce connections") {
  PoolFixture fixture(options_with(kShortDelayMs, true));
  serve_first_request(fixture, ok_response("v of r1"));
  for (const char* const body : {"v of r2", "v of r3"}) {
    const loop::Handle next = fixture.start("next");
    REQUIRE(fixture.wait_until([&] { return fixture.server.requests.size() >= next; }));
    fixture.server.write_to(0, ok_response(body));
    REQUIRE(fixture.wait_until_ended(next));
    CHECK(fixture.attempts.ended[next].result == AttemptResult::Ok);
    CHECK(fixture.attempts.ended[next].body == body);
  }
  CHECK(fixture.server.accepted_connections == 1);
}

// Guards against a duplicate that is later than a quick response to the request after it.
TEST_CASE(
    "after a quick response the delay of the value before it applies at a server with scarce connections") {
  PoolFixture fixture(options_with(kNeverOverMs, true));
  serve_first_request(fixture, ok_response("v of r1"));
  const loop::Handle second = fixture.start("r2");
  REQUIRE(fixture.wait_until_received(2));
  fixture.server.write_to(0, ok_response("v of r2"));
  REQUIRE(fixture.wait_until_ended(second));
  const loop::Handle third = fixture.start("r3");
  fixture.server.write_to(0, ok_response("v of r1"));
  REQUIRE(fixture.wait_until_received(3));
  CHECK(fixture.server.accepted_connections == 2);
  fixture.server.write_to(1, ok_response("v of r3"));
  REQUIRE(fixture.wait_until_ended(third));
  CHECK(fixture.attempts.ended[third].body == "v of r3");
}

// Guards against connections that the origin has to refuse, and against a request that waits for longer.
TEST_CASE("a server with scarce connections gets the next request when the reuse delay is over") {
  PoolFixture fixture(options_with(kShortDelayMs, true));
  serve_first_request(fixture, kNotProcessed);
  const double served_at_ms = loop::now_ms();
  const loop::Handle second = fixture.start("r2");
  REQUIRE(fixture.wait_until_received(2));
  CHECK(fixture.server.last_request_at_ms >= served_at_ms + kShortDelayMs - 1); // read after the response
  fixture.server.write_to_last(ok_response("v of r2"));
  REQUIRE(fixture.wait_until_ended(second));
  CHECK(fixture.server.accepted_connections == 1);
}

// Guards against idle connections of other servers that are closed to save a few milliseconds.
TEST_CASE("without a free descriptor the next request waits for the reuse delay") {
  PoolFixture fixture(options_with(kShortDelayMs), 1);
  serve_first_request(fixture, kNotProcessed);
  fixture.start("r2");
  REQUIRE(fixture.wait_until_received(2));
  CHECK(fixture.server.accepted_connections == 1);
}

TEST_CASE("a request that is cancelled within the reuse delay leaves its connection to the next one") {
  PoolFixture fixture(options_with(kShortDelayMs, true));
  serve_first_request(fixture, kNotProcessed);
  const loop::Handle cancelled = fixture.start("r2");
  fixture.pool.cancel(cancelled);
  CHECK(fixture.pool.connection_count() == 1);
  fixture.start("r3");
  REQUIRE(fixture.wait_until_received(2));
  CHECK(fixture.server.requests.back().header("x-request-id") == "r3");
  CHECK(fixture.server.accepted_connections == 1);
  CHECK(fixture.attempts.ended.count(cancelled) == 0);
}

// Guards against attempts for a client that has disconnected.
TEST_CASE("a request that may no longer be sent when the reuse delay is over is abandoned") {
  PoolFixture fixture(options_with(kShortDelayMs, true));
  serve_first_request(fixture, kNotProcessed);
  fixture.attempts.permits_writing = false;
  const loop::Handle second = fixture.start("r2");
  REQUIRE(fixture.wait_until_ended(second));
  CHECK(fixture.attempts.ended[second].result == AttemptResult::Abandoned);
  CHECK(fixture.server.requests.size() == 1);
  CHECK(fixture.pool.connection_count() == 1);
}

// Guards against requests to a server that discovery has reported as draining.
TEST_CASE("a server that drains within the reuse delay receives nothing") {
  PoolFixture fixture(options_with(kShortDelayMs, true));
  serve_first_request(fixture, kNotProcessed);
  const loop::Handle second = fixture.start("r2");
  fixture.update_server(ServerState::Draining);
  REQUIRE(fixture.wait_until_ended(second));
  CHECK(fixture.attempts.ended[second].result == AttemptResult::ConnectFailed);
  CHECK(fixture.server.requests.size() == 1);
  CHECK(fixture.pool.connection_count() == 0);
}

// Guards against connections that are kept to a server that is no longer in service.
TEST_CASE("a request that is cancelled within the reuse delay of a draining server closes its connection") {
  PoolFixture fixture(options_with(kNeverOverMs, true));
  serve_first_request(fixture, kNotProcessed);
  const loop::Handle second = fixture.start("r2");
  fixture.update_server(ServerState::Draining);
  CHECK(fixture.pool.connection_count() == 1);
  fixture.pool.cancel(second);
  CHECK(fixture.pool.connection_count() == 0);
}

// Guards against a request that is lost with the connection that it waits for.
TEST_CASE("a connection that ends or whose server restarts within the reuse delay is replaced") {
  for (const bool closed : {true, false}) {
    CAPTURE(closed);
    PoolFixture fixture(options_with(closed ? kNeverOverMs : kShortDelayMs, true));
    serve_first_request(fixture, kNotProcessed);
    const loop::Handle second = fixture.start("r2");
    if (closed) fixture.server.close_all(ScriptedServer::CloseMode::Fin);
    if (!closed) fixture.update_server(ServerState::Ready, 1000);
    REQUIRE(fixture.wait_until_received(2));
    CHECK(fixture.server.accepted_connections == 2);
    fixture.server.write_to_last(ok_response("v of r2"));
    REQUIRE(fixture.wait_until_ended(second));
    CHECK(fixture.attempts.ended[second].body == "v of r2");
  }
}

// Guards against surplus connections to the origin that are closed before they could be used again.
TEST_CASE("a surplus connection outlasts its reuse delay") {
  constexpr double kDelayMs = 30;
  PoolFixture fixture(options_with(kDelayMs, true));
  fixture.server.script = [](const http::Message&) { return kNotProcessed; };
  const loop::Handle first = fixture.start("r1"), second = fixture.start("r2");
  REQUIRE(fixture.wait_until_ended(first));
  REQUIRE(fixture.wait_until_ended(second));
  const double served_at_ms = loop::now_ms();
  REQUIRE(fixture.pool.connection_count() == 2);
  REQUIRE(fixture.wait_until([&] { return fixture.pool.connection_count() == 1; }));
  CHECK(loop::now_ms() >= served_at_ms + kDelayMs - 1);
}
