// The parts that need no sockets: configuration, endpoint table, slots, timers, codecs.
#include <doctest/doctest.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <map>
#include <random>

#include "downstream/codec.h"
#include "endpoints/endpoint_file_watch.h"
#include "endpoints/endpoint_table.h"
#include "peers.h"
#include "upstream/codec.h"

using namespace fernward;
using namespace fernward::tests;
using fernward::AttemptResult;
using fernward::ServerState;

TEST_CASE("a faulty configuration is told by its key") { // guards: one line naming the key
  const auto message = [](const std::function<void(Json&)>& change) -> std::string {
    Json file = config_json("127.0.0.1:8500", nullptr);
    change(file);
    try {
      config::parse(file.dump(), &no_environment);
    } catch (const config::Error& error) {
      return error.what();
    }
    return "";
  };
  CHECK(message([](Json&) {}) == "");
  const auto says = [&](const char* key, const std::function<void(Json&)>& change) {
    CAPTURE(key);
    const std::string text = message(change);
    CHECK(text.rfind(std::string(key) + ":", 0) == 0);
    CHECK(text.find('\n') == std::string::npos);
  };
  says("listen", [](Json& f) { f.erase("listen"); });
  says("listen", [](Json& f) { f["listen"] = "nowhere"; });
  says("discovery", [](Json& f) { f["discovery"] = "10.0.0.1:99999"; });
  says("seed", [](Json& f) { f["seed"] = "xyz"; });
  says("limits.sockets", [](Json& f) { f["limits"]["sockets"] = -1; });
  says("known", [](Json& f) { f["known"] = 3; });
  says("settings", [](Json& f) { f.erase("settings"); });
  says("settings.balancers", [](Json& f) { f["settings"]["balancers"] = "three"; });
  says("settings.balancers", [](Json& f) { f["settings"]["balancers"] = 0; });
  says("settings.my_zone", [](Json& f) { f["settings"]["my_zone"] = -2; });
  says("settings.classes", [](Json& f) { f["settings"].erase("classes"); });
  says("settings.classes[1].give_up", [](Json& f) { f["settings"]["classes"][1].erase("give_up"); });
  says("settings.classes[0].aim", [](Json& f) { f["settings"]["classes"][0]["aim"] = -5; });
  says("settings.limits.max_attempts", [](Json& f) { f["settings"]["limits"].erase("max_attempts"); });
  says("settings.limits.conn_idle", [](Json& f) { f["settings"]["limits"]["conn_idle"] = 0; });
  says("settings.limits.open_cap", [](Json& f) { f["settings"]["limits"]["open_cap"] = "many"; });
  says("settings.obligations.start_capacity",
       [](Json& f) { f["settings"]["obligations"]["start_capacity"] = 2; });
  says("settings.parties[0].share", [](Json& f) { f["settings"]["parties"][0]["share"] = 7; });
  CHECK_THROWS_WITH_AS(config::parse("{", &no_environment),
                       "NODE_CONFIG: the file is not JSON, or nested too deeply", config::Error);
  CHECK_THROWS_WITH_AS(config::load(&no_environment), "NODE_CONFIG: is not set", config::Error);
}

TEST_CASE("the environment goes before the file") {
  const auto environment = [](const char* name) -> const char* {
    return std::string(name) == "NODE_LISTEN" ? "127.0.0.9:70" : nullptr;
  };
  const auto config = config::parse(config_json("127.0.0.1:8500", nullptr).dump(), environment);
  CHECK(config.listen == "127.0.0.9:70");
  CHECK(config.discovery == "127.0.0.1:8500");
  CHECK(config.seed == 0x8c1f30d27a5be964ull);
}

TEST_CASE("a file read again: its discovery goes first, and only that may change") {
  static std::string path; // the environment of a program that was started with all its variables
  const auto environment = [](const char* name) -> const char* {
    const std::string variable = name;
    return variable == "NODE_CONFIG"      ? path.c_str()
           : variable == "NODE_DISCOVERY" ? "127.0.0.9:8500"
           : variable == "NODE_LISTEN"    ? "127.0.0.9:70"
                                          : nullptr;
  };
  char name[] = "/tmp/fernward-test-XXXXXX";
  close(mkstemp(name));
  path = name;
  Json file = config_json("127.0.0.1:8500", nullptr);
  std::ofstream(path) << file.dump();
  const auto before = config::load(environment);
  CHECK(before.discovery == "127.0.0.9:8500");
  file["discovery"] = "127.0.0.1:8600";
  file["seed"] = "1";
  file["known"] = node_list(2, true, {});
  std::ofstream(path) << file.dump();
  const auto after = config::reload(environment);
  CHECK(after.discovery == "127.0.0.1:8600");
  CHECK(after.listen == "127.0.0.9:70");
  CHECK(config::refused_changes(before, after).empty());
  file["settings"]["classes"][1]["window"] = 5;
  file["limits"]["sockets"] = 999;
  file.erase("discovery");
  std::ofstream(path) << file.dump();
  const auto refused = config::refused_changes(before, config::reload(environment));
  CHECK(refused == std::vector<std::string>{"limits.sockets", "settings.classes.1.window"});
  unlink(name);
}

TEST_CASE("numbers depend on the name alone, and two names never share a target") { // guards: id collisions
  CHECK(endpoints::id_of("s-5be2a07c") == 1166140301u); // the same at every router and version
  CHECK(endpoints::index_of("b", {"a", "b"}) == 1);
  CHECK(endpoints::index_of("c", {"a", "b"}) >= 2);
  CHECK(endpoints::index_of("c", {"a", "b"}) == endpoints::index_of("c", {"a", "b"}));
  // Two names that share a number, found by search: a birthday among 2^17 names.
  std::map<fernward::ServerId, std::string> taken;
  std::string first, second;
  for (int i = 0; second.empty(); ++i) {
    const auto [it, added] =
        taken.emplace(endpoints::id_of("s-" + std::to_string(i)), "s-" + std::to_string(i));
    if (!added) first = it->second, second = "s-" + std::to_string(i);
  }
  const std::string lesser = std::min(first, second);
  for (const bool swapped : {false, true}) {
    endpoints::EndpointTable table({}, {});
    table.apply(node_list(1, true,
                          {endpoint(swapped ? second : first, "127.0.0.1:1"),
                           endpoint(swapped ? first : second, "127.0.0.1:2")}));
    REQUIRE(table.targets().size() == 1);
    CHECK(table.targets().begin()->second.name == lesser);
  }
}

TEST_CASE("a handle that was kept too long finds nothing") { // guards: answers on reused slots
  loop::SlotMap<int> slots(2);
  const auto first = slots.add(1);
  const auto second = slots.add(2);
  CHECK(slots.add(3) == 0); // full
  slots.remove(first);
  slots.remove(first);
  const auto third = slots.add(3);
  CHECK(third != first);
  CHECK(third < (1ull << 52)); // as the module's ids must be
  CHECK(slots.find(first) == nullptr);
  CHECK(*slots.find(second) == 2);
  CHECK(*slots.find(third) == 3);
  CHECK(slots.size() == 2);
}

TEST_CASE("timers fire in order, and not once cancelled") {
  const auto base = router::make_base();
  loop::TimerQueue timers(base.get());
  std::string order;
  const double now = loop::now_ms();
  timers.at(now + 20, [&] { order += 'c'; });
  auto cancelled = timers.at(now + 5, [&] { order += 'x'; });
  auto inner = timers.at(now + 15, [&] { order += 'y'; });
  timers.at(now + 10, [&] {
    order += 'a';
    timers.cancel(inner); // from within another
    timers.at(now + 10, [&] { order += 'b'; });
  });
  timers.cancel(cancelled);
  CHECK(cancelled == 0);
  CHECK(run_until(base.get(), [&] { return timers.size() == 0; }));
  CHECK(order == "abc");
}

TEST_CASE("what is not urgent runs with the first timer of its span, at its end without one, or not at all") {
  const auto base = router::make_base();
  loop::TimerQueue timers(base.get());
  const double now = loop::now_ms();
  double first = 0, inner = 0, alone = 0;
  bool cancelled_ran = false;
  timers.within(now + 100, now + 9000, [&] {
    first = loop::now_ms();
    timers.within(now, now + 9000, [&] { inner = loop::now_ms(); });
  });
  auto cancelled = timers.within(now, now + 400, [&] { cancelled_ran = true; });
  for (const double ms : {10, 200, 300}) timers.at(now + ms, [] {});
  timers.cancel(cancelled);
  CHECK(run_until(base.get(), [&] { return timers.size() == 0; }));
  CHECK(first >= now + 100);
  CHECK(first < now + 5000);
  CHECK(inner > first); // with a later wake, and it need not wait for its own end
  CHECK(inner < now + 5000);
  CHECK_FALSE(cancelled_ran);
  timers.within(now, now + 500, [&] { alone = loop::now_ms(); });
  CHECK(run_until(base.get(), [&] { return alone > 0; }));
  CHECK(alone >= now + 500);
}

// guards: a heap that loses its order, or an id that cancels the timer of another
TEST_CASE("thousands of timers, most of them cancelled: the rest fire in order, each once") {
  const auto base = router::make_base();
  loop::TimerQueue timers(base.get());
  std::mt19937 draw(11);
  std::vector<std::pair<double, int>> fired; // when it was due, and its number
  std::map<int, double> due;
  std::vector<std::pair<loop::TimerQueue::TimerId, int>> ids;
  const double now = loop::now_ms();
  for (int i = 0; i < 20000; ++i) {
    const double when = now + static_cast<int>(draw() % 50); // many at the same time
    ids.emplace_back(timers.at(when, [&fired, when, i] { fired.emplace_back(when, i); }), i);
    due[i] = when;
    if (draw() % 8 == 0) continue;
    const std::size_t one = draw() % ids.size(); // perhaps one that is cancelled already
    auto timer = ids[one].first;
    timers.cancel(timer);
    due.erase(ids[one].second);
  }
  CHECK(timers.size() == due.size());
  CHECK(run_until(base.get(), [&] { return timers.size() == 0; }));
  CHECK(fired.size() == due.size());
  for (const auto& [when, number] : fired) CHECK(due.count(number) == 1);
  CHECK(std::is_sorted(fired.begin(), fired.end()));
}

TEST_CASE("what the response of an endpoint means") {
  const auto result = [](int code, const char* not_processed) {
    http::Message answer;
    answer.status = code;
    if (*not_processed != '\0') answer.headers.emplace_back("x-not-processed", not_processed);
    return upstream::decode(answer, {}).result;
  };
  CHECK(result(200, "") == AttemptResult::Ok);
  CHECK(result(404, "") == AttemptResult::CacheMiss);
  CHECK(result(503, "1") == AttemptResult::Overloaded);
  CHECK(result(504, "1") == AttemptResult::Overloaded);
  CHECK(result(503, "") == AttemptResult::Error); // without the word it may have run
  CHECK(result(500, "1") == AttemptResult::Error);
  CHECK(result(301, "") == AttemptResult::Error);
  CHECK(result(429, "") == AttemptResult::Error);
  CHECK(result(400, "") == AttemptResult::InvalidRequest); // the request's fault: no other would take it
}

TEST_CASE("load reports stand in the order of the settings") {
  const std::vector<std::string> fields = {"eps", "latency_ms", "queue"};
  CHECK(upstream::parse_report("queue=3, latency_ms=12.5,x9=1", fields) == std::vector<float>{-1, 12.5, 3});
  CHECK(upstream::parse_report("", fields).empty());
  // guards: a damaged report that steers requests by the part of it that can be read
  for (const char* bad :
       {"queue=3,latency_ms=x", "queue=3,noise", "queue=3,queue=4", "queue=1e30", "queue=-1"}) {
    CAPTURE(bad);
    CHECK(upstream::parse_report(bad, fields).empty());
  }
  CHECK(upstream::parse_report("queue=nan,eps=-1,latency_ms=1e,=,,", fields).empty());
}

TEST_CASE("what a client's headers become") {
  const auto config = config::parse(config_json("127.0.0.1:1", nullptr).dump(), &no_environment);
  const auto decode = [&](const std::string& text) {
    http::Parser parser(http::Kind::Request);
    parser.feed(text);
    return downstream::decode(parser.take(), {config.names, config.settings, {}, false});
  };
  const auto read = decode(get("/api/7f?q=a/b", "r1", "X-Cost: 12500\r\nX-Attrs: a=b\r\n"));
  CHECK(read.status == 0);
  CHECK(read.call.path == "/api/7f?q=a/b");
  CHECK(read.call.expected_work_ms == doctest::Approx(12.5));
  CHECK(read.call.key == decode(get("/other/7f", "r2")).call.key); // the path's last part, not the query's
  CHECK(read.call.key != decode(get("/api/80", "r2")).call.key);
  CHECK(decode(get("/api/", "r2")).call.key == 0);
  CHECK(read.call.tenant == 0);
  CHECK(decode(get("/a", "r", "X-Cost: lots\r\n")).call.expected_work_ms == 0); // a hint: a bad one is none
  CHECK(decode("GET /a HTTP/1.1\r\nX-Request-ID: i\r\nX-Priority-Class: read\r\n\r\n").call.timeout_ms ==
        2000);
  const auto timeout = [&](const std::string& value) {
    return decode("GET /a HTTP/1.1\r\nX-Request-ID: i\r\nX-Priority-Class: read\r\nX-Timeout-Ms: " + value +
                  "\r\n\r\n");
  };
  CHECK(timeout("480").call.timeout_ms == 480);
  CHECK(timeout("99999999").call.timeout_ms == 2000);
  for (const char* bad : {"", "soon", "-5", "+5", "1.5", "1e3", "5 5", "99999999999999999999999"}) {
    CAPTURE(bad);
    CHECK(timeout(bad).status == 400);
  }
}

// guards: a process that any list, any file can end
TEST_CASE("what is nested a million deep is refused like other noise") {
  const std::string deep = std::string(2000000, '[') + std::string(2000000, ']');
  endpoints::EndpointTable table({}, {}, true);
  table.apply(node_list(1, true, {endpoint("s-1", "127.0.0.1:1")}));
  Json entry = endpoint("s-2", "127.0.0.1:2");
  entry["group"] = "DEEP";
  std::string text = node_list(2, true, {entry}).dump();
  text.replace(text.find("\"DEEP\""), 6, deep);
  CHECK_THROWS_AS(table.apply(text), endpoints::Damaged);
  CHECK(table.targets().size() == 1);
  std::string file = config_json("127.0.0.1:1", "DEEP").dump();
  file.replace(file.find("\"DEEP\""), 6, "{\"endpoints\":" + deep + "}");
  CHECK_THROWS_AS(config::parse(file, &no_environment), config::Error);
}

TEST_CASE("the number of open requests is a number that a table can have") {
  for (const char* value : {"0", "0.5", "-1", "1e300", "\"many\"", "[]"}) {
    Json file = config_json("127.0.0.1:1", nullptr);
    file["settings"]["limits"]["open_cap"] = Json::parse(value);
    CAPTURE(value);
    CHECK_THROWS_AS(config::parse(file.dump(), &no_environment), config::Error);
  }
  Json file = config_json("127.0.0.1:1", nullptr);
  file["settings"]["limits"]["open_cap"] = 20000.0;
  CHECK(config::parse(file.dump(), &no_environment).limits.open_cap == 20000);
}

// guards: a list that is never read, as its one look met a moment without descriptors; a pipe that is waited for
TEST_CASE("a node file that could not be read is read once it can be, what is no file is told") {
  const router::BasePtr base = router::make_base();
  loop::TimerQueue deadlines(base.get());
  char folder[] = "/tmp/fernward-test-XXXXXX";
  REQUIRE(mkdtemp(folder) != nullptr);
  const std::string path = std::string(folder) + "/nodes.json";
  int taken = 0;
  const auto take = [&taken](const std::string&) { return static_cast<std::uint64_t>(++taken); };
  SUBCASE("no descriptor at the first look") {
    std::ofstream(path) << "[]";
    rlimit usual{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &usual) == 0);
    const rlimit none{0, usual.rlim_max};
    REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
    const endpoints::EndpointFileWatch watch(deadlines, path, take);
    const int at_first = taken;
    REQUIRE(setrlimit(RLIMIT_NOFILE, &usual) == 0);
    CHECK(at_first == 0);
    CHECK(run_until(base.get(), [&] { return taken == 1; }));
  }
  SUBCASE("a pipe") {
    REQUIRE(mkfifo(path.c_str(), 0600) == 0);
    alarm(20); // it would be waited for without end
    const endpoints::EndpointFileWatch watch(deadlines, path, take);
    alarm(0);
    CHECK(taken == 0);
    unlink(path.c_str());
    std::ofstream(path) << "[]";
    CHECK(run_until(base.get(), [&] { return taken == 1; }));
  }
  unlink(path.c_str());
  rmdir(folder);
}
