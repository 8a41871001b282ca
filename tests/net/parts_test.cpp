// Components that need no sockets: configuration, endpoint table, slot map, timers, codecs, endpoint file.
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

TEST_CASE("an invalid configuration is rejected with one line that names the key") {
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

TEST_CASE("environment variables override the configuration file") {
  const auto environment = [](const char* name) -> const char* {
    return std::string(name) == "NODE_LISTEN" ? "127.0.0.9:70" : nullptr;
  };
  const auto config = config::parse(config_json("127.0.0.1:8500", nullptr).dump(), environment);
  CHECK(config.listen == "127.0.0.9:70");
  CHECK(config.discovery == "127.0.0.1:8500");
  CHECK(config.seed == 0x8c1f30d27a5be964ull);
}

TEST_CASE("on reload the file overrides the environment for discovery and only discovery may change") {
  static std::string path; // the environment of a program that was started with all of its variables set
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

// Guards against ID collisions.
TEST_CASE("IDs depend only on the name and two names with the same ID give one endpoint") {
  CHECK(endpoints::id_of("s-5be2a07c") == 1166140301u); // must be the same for all routers and versions
  CHECK(endpoints::index_of("b", {"a", "b"}) == 1);
  CHECK(endpoints::index_of("c", {"a", "b"}) >= 2);
  CHECK(endpoints::index_of("c", {"a", "b"}) == endpoints::index_of("c", {"a", "b"}));
  // Two names with the same ID, found by search: a collision is likely among 2^17 names (birthday problem).
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

// Guards against responses delivered to a reused slot.
TEST_CASE("a handle to a removed slot finds nothing") {
  loop::SlotMap<int> slots(2);
  const auto first = slots.add(1);
  const auto second = slots.add(2);
  CHECK(slots.add(3) == 0); // full
  slots.remove(first);
  slots.remove(first);
  const auto third = slots.add(3);
  CHECK(third != first);
  CHECK(third < (1ull << 52)); // the balancer's limit for IDs
  CHECK(slots.find(first) == nullptr);
  CHECK(*slots.find(second) == 2);
  CHECK(*slots.find(third) == 3);
  CHECK(slots.size() == 2);
}

TEST_CASE("timers fire in order and canceled ones never") {
  const auto base = router::make_base();
  loop::TimerQueue timers(base.get());
  std::string order;
  const double now = loop::now_ms();
  timers.at(now + 20, [&] { order += 'c'; });
  auto cancelled = timers.at(now + 5, [&] { order += 'x'; });
  auto inner = timers.at(now + 15, [&] { order += 'y'; });
  timers.at(now + 10, [&] {
    order += 'a';
    timers.cancel(inner); // from within another timer
    timers.at(now + 10, [&] { order += 'b'; });
  });
  timers.cancel(cancelled);
  CHECK(cancelled == 0);
  CHECK(run_until(base.get(), [&] { return timers.size() == 0; }));
  CHECK(order == "abc");
}

TEST_CASE("a deferrable timer runs with the first timer in its interval or at the end of the interval") {
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
  CHECK(inner > first); // runs with a later timer, before the end of its own interval
  CHECK(inner < now + 5000);
  CHECK_FALSE(cancelled_ran);
  timers.within(now, now + 500, [&] { alone = loop::now_ms(); });
  CHECK(run_until(base.get(), [&] { return alone > 0; }));
  CHECK(alone >= now + 500);
}

// Guards against a heap that loses its order, and against an ID that cancels another timer.
TEST_CASE("thousands of timers with most canceled: the others fire in order and once") {
  const auto base = router::make_base();
  loop::TimerQueue timers(base.get());
  std::mt19937 draw(11);
  std::vector<std::pair<double, int>> fired; // due time and number
  std::map<int, double> due;
  std::vector<std::pair<loop::TimerQueue::TimerId, int>> ids;
  const double now = loop::now_ms();
  for (int i = 0; i < 20000; ++i) {
    const double when = now + static_cast<int>(draw() % 50); // many at the same time
    ids.emplace_back(timers.at(when, [&fired, when, i] { fired.emplace_back(when, i); }), i);
    due[i] = when;
    if (draw() % 8 == 0) continue;
    const std::size_t one = draw() % ids.size(); // may be canceled already
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

TEST_CASE("responses of an endpoint are classified by status and X-Not-Processed") {
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
  CHECK(result(503, "") == AttemptResult::Error); // without X-Not-Processed the request may have run
  CHECK(result(500, "1") == AttemptResult::Error);
  CHECK(result(301, "") == AttemptResult::Error);
  CHECK(result(429, "") == AttemptResult::Error);
  CHECK(result(400, "") == AttemptResult::InvalidRequest); // no other endpoint would accept it either
}

TEST_CASE("load reports are returned in the order of the settings") {
  const std::vector<std::string> fields = {"eps", "latency_ms", "queue"};
  CHECK(upstream::parse_report("queue=3, latency_ms=12.5,x9=1", fields) == std::vector<float>{-1, 12.5, 3});
  CHECK(upstream::parse_report("", fields).empty());
  // Guards against balancing by the readable part of a damaged report.
  for (const char* bad :
       {"queue=3,latency_ms=x", "queue=3,noise", "queue=3,queue=4", "queue=1e30", "queue=-1"}) {
    CAPTURE(bad);
    CHECK(upstream::parse_report(bad, fields).empty());
  }
  CHECK(upstream::parse_report("queue=nan,eps=-1,latency_ms=1e,=,,", fields).empty());
}

TEST_CASE("client headers are decoded into a request") {
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
  // The key is the last segment of the path without the query.
  CHECK(read.call.key == decode(get("/other/7f", "r2")).call.key);
  CHECK(read.call.key != decode(get("/api/80", "r2")).call.key);
  CHECK(decode(get("/api/", "r2")).call.key == 0);
  CHECK(read.call.tenant == 0);
  // X-Cost is a hint: an invalid value is ignored.
  CHECK(decode(get("/a", "r", "X-Cost: lots\r\n")).call.expected_work_ms == 0);
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

// Guards against a process that any list or file can crash.
TEST_CASE("JSON nested two million levels deep is rejected") {
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

TEST_CASE("open_cap must be a valid table size") {
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

// Guards against a list that is never read because there were no descriptors at the only attempt, and
// against blocking on a pipe.
TEST_CASE("an endpoint file is read once it becomes readable and a pipe is not waited for") {
  const router::BasePtr base = router::make_base();
  loop::TimerQueue deadlines(base.get());
  char folder[] = "/tmp/fernward-test-XXXXXX";
  REQUIRE(mkdtemp(folder) != nullptr);
  const std::string path = std::string(folder) + "/nodes.json";
  int taken = 0;
  const auto take = [&taken](const std::string&) { return static_cast<std::uint64_t>(++taken); };
  SUBCASE("no descriptor at the first read") {
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
    alarm(20); // otherwise a blocking open would never return
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
