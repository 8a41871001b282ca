// Compares the router's statistics with the exact counts of scripted clients and servers.
#include <doctest/doctest.h>

#include <map>
#include <sstream>

#include "control_client.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

std::map<std::string, long> read_stats(RouterWithControlPort& fixture) {
  std::map<std::string, long> stats;
  std::istringstream lines(fixture.send_command("show-stat"));
  std::string line;
  for (; std::getline(lines, line) && line != "eof";) {
    const auto equals = line.find('=');
    REQUIRE(equals != std::string::npos);
    stats[line.substr(0, equals)] = std::stol(line.substr(equals + 1));
  }
  CHECK(line == "eof");
  return stats;
}

} // namespace

TEST_CASE("counted outcomes and attempts equal those seen by clients and servers") {
  RouterWithControlPort fixture([](Json& file) {
    file["settings"]["classes"].push_back(
        {{"name", "once"}, {"aim", 900}, {"give_up", 2000}, {"repeat", "unsafe"}, {"worth", 1}});
  });
  int received_attempts = 0;
  const auto count_and_respond = [&](const std::string& response) {
    return [&received_attempts, response](const http::Message& request) {
      ++received_attempts;
      return request.method == "PUT" && response.empty() ? ok_response("stored") : response;
    };
  };
  std::map<std::string, int> expected;
  int last_id = 0;
  const auto run_requests = [&](const std::string& cache_response, const std::string& origin_response,
                                int request_count) {
    fixture.script_caches(count_and_respond(cache_response));
    fixture.origin.script = count_and_respond(origin_response);
    for (int i = 0; i < request_count; ++i) {
      TestClient client = fixture.connect_client();
      const std::string name = std::to_string(++last_id);
      const std::string class_name = i % 3 == 0 ? "read" : i % 3 == 1 ? "book" : "once";
      std::string text = class_name == "read" ? get_request("/k/" + name, "w" + name)
                                              : put_request("/k/" + name, "w" + name, "v");
      if (class_name == "once") text.replace(text.find("book"), 4, "once");
      const int status = client.send_and_wait(text).status;
      ++expected["router." +
                 std::string(status == 200   ? "answered."
                             : status == 503 ? "deferred."
                                             : "errored.") +
                 class_name];
    }
  };
  run_requests(ok_response("hit"), ok_response("stored"), 12);
  run_requests(kCacheMiss, ok_response("fetched"), 9);
  run_requests(status_response(500), status_response(500), 9);
  run_requests(kNotProcessed, kNotProcessed, 6);
  TestClient invalid_client = fixture.connect_client();
  // Without a class it is not counted.
  CHECK(invalid_client
            .send_and_wait("GET /k HTTP/1.1\r\nHost: h\r\nX-Request-ID: r\r\nX-Priority-Class: none\r\n\r\n")
            .status == 400);
  auto stats = read_stats(fixture);
  for (const char* outcome : {"answered", "deferred", "errored"}) {
    for (const char* class_name : {"read", "book", "once"}) {
      const std::string name = std::string("router.") + outcome + "." + class_name;
      CAPTURE(name);
      REQUIRE(stats.count(name) == 1);
      CHECK(stats[name] == expected[name]);
    }
  }
  CHECK(stats["router.sends"] == received_attempts);
  CHECK(stats["router.current"] == 0);
  CHECK(stats["router.cluster_size"] == 2);
  CHECK(stats["router.answered.read"] > 0);
  CHECK(stats["router.errored.once"] > 0);
}

TEST_CASE("active requests are counted once their body is complete and until they end") {
  RouterWithControlPort fixture;
  fixture.script_caches([](const http::Message&) { return std::string(); });
  fixture.origin.script = [](const http::Message&) { return std::string(); };
  std::vector<std::unique_ptr<TestClient>> clients;
  for (int i = 0; i < 5; ++i) {
    clients.push_back(std::make_unique<TestClient>(fixture.base.get(), fixture.router->port()));
    clients.back()->send(get_request("/k/" + std::to_string(i), "r" + std::to_string(i)));
  }
  TestClient incomplete_client = fixture.connect_client();
  const std::string long_put = put_request("/k/1", "long", std::string(600 << 10, 'x'));
  incomplete_client.send(long_put.substr(0, 200 << 10));
  REQUIRE(fixture.wait_until([&] { return fixture.requests_sent() >= 5; }));
  run_for(fixture.base.get(), 50);
  CHECK(read_stats(fixture)["router.current"] == 5);
  incomplete_client.send(long_put.substr(200 << 10));
  REQUIRE(fixture.wait_until([&] { return read_stats(fixture)["router.current"] == 6; }));
  clients.clear(); // these clients disconnect
  incomplete_client.close();
  CHECK(fixture.wait_until([&] { return read_stats(fixture)["router.current"] == 0; }));
  auto stats = read_stats(fixture);
  CHECK(stats["router.answered.read"] + stats["router.deferred.read"] + stats["router.errored.read"] == 0);
}

TEST_CASE("an attempt is counted when its last byte has been sent") {
  RouterWithControlPort fixture;
  fixture.origin.reading_paused = true;
  TestClient client = fixture.connect_client();
  client.send(put_request("/k/1", "long", std::string(24 << 20, 'x')));
  run_for(fixture.base.get(), 1000);
  CHECK(read_stats(fixture)["router.sends"] == 0);
}

TEST_CASE("the cluster gauges count listed caches and unavailable ones") {
  RouterWithControlPort fixture;
  auto stats = read_stats(fixture);
  CHECK(stats["router.cluster_size"] == 2);
  CHECK(stats["router.cluster_unhealthy"] == 0);
  CHECK(fixture.send_command("disable-server s-1") == "ok\n");
  CHECK(read_stats(fixture)["router.cluster_unhealthy"] == 1);
  REQUIRE(fixture.send_endpoint_update(
      endpoint_list_json(8, false, {endpoint_json("s-1", fixture.cache_1.address, "terminated")})));
  stats = read_stats(fixture);
  CHECK(stats["router.cluster_size"] == 1); // not listed: not counted, although it stays disabled
  CHECK(stats["router.cluster_unhealthy"] == 0);
  REQUIRE(fixture.send_endpoint_update(
      endpoint_list_json(9, false, {endpoint_json("s-1", fixture.cache_1.address)})));
  CHECK(read_stats(fixture)["router.cluster_unhealthy"] == 1);
  CHECK(fixture.send_command("enable-server s-1") == "ok\n");
  CHECK(read_stats(fixture)["router.cluster_unhealthy"] == 0);
  fixture.cache_2.stop_listening(); // ejected after failed attempts
  for (int i = 0; i < 40; ++i) fixture.send_requests(10);
  CHECK(read_stats(fixture)["router.cluster_unhealthy"] == 1);
}

TEST_CASE("a client that sends its command byte by byte gets all statistics") {
  RouterWithControlPort fixture;
  ControlClient slow_client(fixture.base.get(), fixture.router->control_port(), "");
  for (const char c : std::string("show-stat\n")) {
    slow_client.send(std::string(1, c));
    run_for(fixture.base.get(), 10);
  }
  REQUIRE(fixture.wait_until([&] { return slow_client.closed; }));
  CHECK(slow_client.received.ends_with("\neof\n"));
}
