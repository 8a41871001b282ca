// Compares the router's statistics with the exact counts of scripted clients and servers.
#include <doctest/doctest.h>

#include <map>
#include <sstream>

#include "caller.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

std::map<std::string, long> read_figures(Controlled& w) {
  std::map<std::string, long> all;
  std::istringstream lines(w.call("show-stat"));
  std::string line;
  for (; std::getline(lines, line) && line != "eof";) {
    const auto equals = line.find('=');
    REQUIRE(equals != std::string::npos);
    all[line.substr(0, equals)] = std::stol(line.substr(equals + 1));
  }
  CHECK(line == "eof");
  return all;
}

} // namespace

TEST_CASE("counted outcomes and attempts equal those seen by clients and servers") {
  Controlled w([](Json& file) {
    file["settings"]["classes"].push_back(
        {{"name", "once"}, {"aim", 900}, {"give_up", 2000}, {"repeat", "unsafe"}, {"worth", 1}});
  });
  int asked_of_nodes = 0;
  const auto count = [&](const std::string& answer) {
    return [&asked_of_nodes, answer](const http::Message& m) {
      ++asked_of_nodes;
      return m.method == "PUT" && answer.empty() ? ok("stored") : answer;
    };
  };
  std::map<std::string, int> seen;
  int id = 0;
  const auto play = [&](const std::string& from_caches, const std::string& from_origin, int times) {
    w.caches(count(from_caches));
    w.origin.script = count(from_origin);
    for (int i = 0; i < times; ++i) {
      Client client = w.client();
      const std::string name = std::to_string(++id);
      const std::string cls = i % 3 == 0 ? "read" : i % 3 == 1 ? "book" : "once";
      std::string text = cls == "read" ? get("/k/" + name, "w" + name) : put("/k/" + name, "w" + name, "v");
      if (cls == "once") text.replace(text.find("book"), 4, "once");
      const int status = client.ask(text).status;
      ++seen["router." +
             std::string(status == 200   ? "answered."
                         : status == 503 ? "deferred."
                                         : "errored.") +
             cls];
    }
  };
  play(ok("hit"), ok("stored"), 12);
  play(kMiss, ok("fetched"), 9);
  play(status(500), status(500), 9);
  play(kTurnedAway, kTurnedAway, 6);
  Client bad = w.client();
  CHECK(bad.ask("GET /k HTTP/1.1\r\nX-Request-ID: r\r\nX-Priority-Class: none\r\n\r\n").status ==
        400); // without a class it is not counted
  auto told = read_figures(w);
  for (const char* how : {"answered", "deferred", "errored"}) {
    for (const char* cls : {"read", "book", "once"}) {
      const std::string name = std::string("router.") + how + "." + cls;
      CAPTURE(name);
      REQUIRE(told.count(name) == 1);
      CHECK(told[name] == seen[name]);
    }
  }
  CHECK(told["router.sends"] == asked_of_nodes);
  CHECK(told["router.current"] == 0);
  CHECK(told["router.cluster_size"] == 2);
  CHECK(told["router.answered.read"] > 0);
  CHECK(told["router.errored.once"] > 0);
}

TEST_CASE("active requests are counted once their body is complete and until they end") {
  Controlled w;
  w.caches([](const http::Message&) { return std::string(); });
  w.origin.script = [](const http::Message&) { return std::string(); };
  std::vector<std::unique_ptr<Client>> all;
  for (int i = 0; i < 5; ++i) {
    all.push_back(std::make_unique<Client>(w.base.get(), w.router->port()));
    all.back()->send(get("/k/" + std::to_string(i), "r" + std::to_string(i)));
  }
  Client half = w.client();
  const std::string long_put = put("/k/1", "long", std::string(600 << 10, 'x'));
  half.send(long_put.substr(0, 200 << 10));
  REQUIRE(w.until([&] { return w.sent() >= 5; }));
  run_for(w.base.get(), 50);
  CHECK(read_figures(w)["router.current"] == 5);
  half.send(long_put.substr(200 << 10));
  REQUIRE(w.until([&] { return read_figures(w)["router.current"] == 6; }));
  all.clear(); // these clients disconnect
  half.leave();
  CHECK(w.until([&] { return read_figures(w)["router.current"] == 0; }));
  auto told = read_figures(w);
  CHECK(told["router.answered.read"] + told["router.deferred.read"] + told["router.errored.read"] == 0);
}

TEST_CASE("an attempt is counted when its last byte has been sent") {
  Controlled w;
  w.origin.stopped = true; // reads nothing
  Client client = w.client();
  client.send(put("/k/1", "long", std::string(24 << 20, 'x')));
  run_for(w.base.get(), 1000);
  CHECK(read_figures(w)["router.sends"] == 0);
}

TEST_CASE("the cluster gauges count listed caches and unavailable ones") {
  Controlled w;
  auto told = read_figures(w);
  CHECK(told["router.cluster_size"] == 2);
  CHECK(told["router.cluster_unhealthy"] == 0);
  CHECK(w.call("disable-server s-1") == "ok\n");
  CHECK(read_figures(w)["router.cluster_unhealthy"] == 1);
  REQUIRE(w.tell(node_list(8, false, {endpoint("s-1", w.one.address, "terminated")})));
  told = read_figures(w);
  CHECK(told["router.cluster_size"] == 1); // not listed: not counted, although it stays disabled
  CHECK(told["router.cluster_unhealthy"] == 0);
  REQUIRE(w.tell(node_list(9, false, {endpoint("s-1", w.one.address)})));
  CHECK(read_figures(w)["router.cluster_unhealthy"] == 1);
  CHECK(w.call("enable-server s-1") == "ok\n");
  CHECK(read_figures(w)["router.cluster_unhealthy"] == 0);
  w.two.refuse(); // ejected after failed attempts
  for (int i = 0; i < 40; ++i) w.ask(10);
  CHECK(read_figures(w)["router.cluster_unhealthy"] == 1);
}

TEST_CASE("a client that sends its command byte by byte gets all statistics") {
  Controlled w;
  Caller slow(w.base.get(), w.router->control_port(), "");
  for (const char c : std::string("show-stat\n")) {
    slow.say(std::string(1, c));
    run_for(w.base.get(), 10);
  }
  REQUIRE(w.until([&] { return slow.ended; }));
  CHECK(slow.told.ends_with("\neof\n"));
}
