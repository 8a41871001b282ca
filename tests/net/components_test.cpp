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
#include "scripted_peers.h"
#include "upstream/codec.h"

using namespace fernward;
using namespace fernward::tests;
using fernward::AttemptResult;
using fernward::ServerState;

TEST_CASE("an invalid configuration is rejected with one line that names the key") {
  const auto error_message = [](const std::function<void(Json&)>& change) -> std::string {
    Json file = config_json("127.0.0.1:8500", nullptr);
    change(file);
    try {
      config::parse(file.dump(), &no_environment);
    } catch (const config::Error& error) {
      return error.what();
    }
    return "";
  };
  CHECK(error_message([](Json&) {}) == "");
  const auto check_error = [&](const char* key, const std::function<void(Json&)>& change) {
    CAPTURE(key);
    const std::string text = error_message(change);
    CHECK(text.rfind(std::string(key) + ":", 0) == 0);
    CHECK(text.find('\n') == std::string::npos);
  };
  check_error("listen", [](Json& f) { f.erase("listen"); });
  check_error("listen", [](Json& f) { f["listen"] = "nowhere"; });
  check_error("discovery", [](Json& f) { f["discovery"] = "10.0.0.1:99999"; });
  check_error("seed", [](Json& f) { f["seed"] = "xyz"; });
  check_error("limits.sockets", [](Json& f) { f["limits"]["sockets"] = -1; });
  check_error("known", [](Json& f) { f["known"] = 3; });
  check_error("settings", [](Json& f) { f.erase("settings"); });
  check_error("settings.balancers", [](Json& f) { f["settings"]["balancers"] = "three"; });
  check_error("settings.balancers", [](Json& f) { f["settings"]["balancers"] = 0; });
  check_error("settings.my_zone", [](Json& f) { f["settings"]["my_zone"] = -2; });
  check_error("settings.classes", [](Json& f) { f["settings"].erase("classes"); });
  check_error("settings.classes[1].give_up", [](Json& f) { f["settings"]["classes"][1].erase("give_up"); });
  check_error("settings.classes[0].aim", [](Json& f) { f["settings"]["classes"][0]["aim"] = -5; });
  check_error("settings.limits.max_attempts", [](Json& f) { f["settings"]["limits"].erase("max_attempts"); });
  check_error("settings.limits.conn_idle", [](Json& f) { f["settings"]["limits"]["conn_idle"] = 0; });
  check_error("settings.limits.open_cap", [](Json& f) { f["settings"]["limits"]["open_cap"] = "many"; });
  check_error("settings.obligations.start_capacity",
              [](Json& f) { f["settings"]["obligations"]["start_capacity"] = 2; });
  check_error("settings.parties[0].share", [](Json& f) { f["settings"]["parties"][0]["share"] = 7; });
  CHECK_THROWS_WITH_AS(config::parse("{", &no_environment),
                       "NODE_CONFIG: the file is not JSON, or nested too deeply", config::Error);
  CHECK_THROWS_WITH_AS(config::load(&no_environment), "NODE_CONFIG: is not set", config::Error);
}

TEST_CASE("environment variables override the configuration file") {
  const auto environment = [](const char* name) -> const char* {
    return std::string(name) == "NODE_LISTEN" ? "127.0.0.9:70" : nullptr;
  };
  const auto config = config::parse(config_json("127.0.0.1:8500", nullptr).dump(), environment);
  CHECK(config.listen_address == "127.0.0.9:70");
  CHECK(config.discovery_address == "127.0.0.1:8500");
  CHECK(config.seed == 0x8c1f30d27a5be964ull);
}

TEST_CASE("on reload the file overrides the environment for discovery and only discovery may change") {
  static std::string path; // static, so that the lookup needs no capture
  // The environment of a program that was started with all of its variables set.
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
  CHECK(before.discovery_address == "127.0.0.9:8500");
  file["discovery"] = "127.0.0.1:8600";
  file["seed"] = "1";
  file["known"] = endpoint_list_json(2, true, {});
  std::ofstream(path) << file.dump();
  const auto after = config::reload(environment);
  CHECK(after.discovery_address == "127.0.0.1:8600");
  CHECK(after.listen_address == "127.0.0.9:70");
  CHECK(config::non_reloadable_changes(before, after).empty());
  file["settings"]["classes"][1]["window"] = 5;
  file["limits"]["sockets"] = 999;
  file.erase("discovery");
  std::ofstream(path) << file.dump();
  const auto changed_keys = config::non_reloadable_changes(before, config::reload(environment));
  CHECK(changed_keys == std::vector<std::string>{"limits.sockets", "settings.classes.1.window"});
  unlink(name);
}

// Guards against ID collisions.
TEST_CASE("IDs depend only on the name and two names with the same ID give one endpoint") {
  CHECK(endpoints::id_of("s-5be2a07c") == 1166140301u); // must be the same for all routers and versions
  CHECK(endpoints::index_of("b", {"a", "b"}) == 1);
  CHECK(endpoints::index_of("c", {"a", "b"}) >= 2);
  CHECK(endpoints::index_of("c", {"a", "b"}) == endpoints::index_of("c", {"a", "b"}));
  // Two names with the same ID, found by search: a collision is likely among 2^17 names (birthday problem).
  std::map<fernward::ServerId, std::string> names_by_id;
  std::string first, second;
  for (int i = 0; second.empty(); ++i) {
    const auto [entry, added] =
        names_by_id.emplace(endpoints::id_of("s-" + std::to_string(i)), "s-" + std::to_string(i));
    if (!added) first = entry->second, second = "s-" + std::to_string(i);
  }
  const std::string lesser = std::min(first, second);
  for (const bool swapped : {false, true}) {
    endpoints::EndpointTable table({}, {});
    table.apply(endpoint_list_json(1, true,
                                   {endpoint_json(swapped ? second : first, "127.0.0.1:1"),
                                    endpoint_json(swapped ? first : second, "127.0.0.1:2")}));
    REQUIRE(table.endpoints_by_id().size() == 1);
    CHECK(table.endpoints_by_id().begin()->second.name == lesser);
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
  const auto base = router::make_event_base();
  loop::TimerQueue timers(base.get());
  std::string order;
  const double now = loop::now_ms();
  timers.run_at(now + 20, [&] { order += 'c'; });
  auto canceled = timers.run_at(now + 5, [&] { order += 'x'; });
  auto canceled_by_timer = timers.run_at(now + 15, [&] { order += 'y'; });
  timers.run_at(now + 10, [&] {
    order += 'a';
    timers.cancel(canceled_by_timer); // from within another timer
    timers.run_at(now + 10, [&] { order += 'b'; });
  });
  timers.cancel(canceled);
  CHECK(canceled == 0);
  CHECK(run_until(base.get(), [&] { return timers.size() == 0; }));
  CHECK(order == "abc");
}

TEST_CASE("a deferrable timer runs with the first timer in its interval or at the end of the interval") {
  const auto base = router::make_event_base();
  loop::TimerQueue timers(base.get());
  const double now = loop::now_ms();
  double first_ran_at_ms = 0, nested_ran_at_ms = 0, alone_ran_at_ms = 0;
  bool canceled_ran = false;
  timers.run_within(now + 100, now + 9000, [&] {
    first_ran_at_ms = loop::now_ms();
    timers.run_within(now, now + 9000, [&] { nested_ran_at_ms = loop::now_ms(); });
  });
  auto canceled = timers.run_within(now, now + 400, [&] { canceled_ran = true; });
  for (const double ms : {10, 200, 300}) timers.run_at(now + ms, [] {});
  timers.cancel(canceled);
  CHECK(run_until(base.get(), [&] { return timers.size() == 0; }));
  CHECK(first_ran_at_ms >= now + 100);
  CHECK(first_ran_at_ms < now + 5000);
  CHECK(nested_ran_at_ms > first_ran_at_ms); // runs with a later timer, before the end of its own interval
  CHECK(nested_ran_at_ms < now + 5000);
  CHECK_FALSE(canceled_ran);
  timers.run_within(now, now + 500, [&] { alone_ran_at_ms = loop::now_ms(); });
  CHECK(run_until(base.get(), [&] { return alone_ran_at_ms > 0; }));
  CHECK(alone_ran_at_ms >= now + 500);
}

// Guards against a heap that loses its order, and against an ID that cancels another timer.
TEST_CASE("thousands of timers with most canceled: the others fire in order and once") {
  const auto base = router::make_event_base();
  loop::TimerQueue timers(base.get());
  std::mt19937 generator(11);
  std::vector<std::pair<double, int>> fired; // due time and number
  std::map<int, double> due;
  std::vector<std::pair<loop::TimerQueue::TimerId, int>> ids;
  const double now = loop::now_ms();
  for (int i = 0; i < 20000; ++i) {
    const double when = now + static_cast<int>(generator() % 50); // many at the same time
    ids.emplace_back(timers.run_at(when, [&fired, when, i] { fired.emplace_back(when, i); }), i);
    due[i] = when;
    if (generator() % 8 == 0) continue;
    const std::size_t picked = generator() % ids.size(); // may be canceled already
    auto timer = ids[picked].first;
    timers.cancel(timer);
    due.erase(ids[picked].second);
  }
  CHECK(timers.size() == due.size());
  CHECK(run_until(base.get(), [&] { return timers.size() == 0; }));
  CHECK(fired.size() == due.size());
  for (const auto& [when, number] : fired) CHECK(due.count(number) == 1);
  CHECK(std::is_sorted(fired.begin(), fired.end()));
}

TEST_CASE("responses of an endpoint are classified by status and X-Not-Processed") {
  const auto result = [](int code, const char* not_processed) {
    http::Message response;
    response.status = code;
    if (*not_processed != '\0') response.headers.emplace_back("x-not-processed", not_processed);
    return upstream::decode(response, {}).result;
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
  const std::vector<std::string> report_fields = {"eps", "latency_ms", "queue"};
  CHECK(upstream::decode_load_report("queue=3, latency_ms=12.5,x9=1", report_fields) ==
        std::vector<float>{-1, 12.5, 3});
  CHECK(upstream::decode_load_report("", report_fields).empty());
  // Guards against balancing by the readable part of a damaged report.
  for (const char* invalid :
       {"queue=3,latency_ms=x", "queue=3,noise", "queue=3,queue=4", "queue=1e30", "queue=-1"}) {
    CAPTURE(invalid);
    CHECK(upstream::decode_load_report(invalid, report_fields).empty());
  }
  CHECK(upstream::decode_load_report("queue=nan,eps=-1,latency_ms=1e,=,,", report_fields).empty());
}

TEST_CASE("client headers are decoded into a request") {
  const auto config = config::parse(config_json("127.0.0.1:1", nullptr).dump(), &no_environment);
  const auto decode = [&](const std::string& text) {
    http::Parser parser(http::MessageKind::Request);
    parser.feed(text);
    return downstream::decode(parser.take_message(), {config.names, config.settings, {}, false});
  };
  const auto decoded = decode(get_request("/api/7f?q=a/b", "r1", "X-Cost: 12500\r\nX-Attrs: a=b\r\n"));
  CHECK(decoded.status == 0);
  CHECK(decoded.request.path == "/api/7f?q=a/b");
  CHECK(decoded.request.expected_work_ms == doctest::Approx(12.5));
  // The key is the last segment of the path without the query.
  CHECK(decoded.request.placement_key == decode(get_request("/other/7f", "r2")).request.placement_key);
  CHECK(decoded.request.placement_key != decode(get_request("/api/80", "r2")).request.placement_key);
  CHECK(decode(get_request("/api/", "r2")).request.placement_key == 0);
  CHECK(decoded.request.tenant == 0);
  CHECK(decode(get_request("/a", "r")).request.expected_work_ms == 0);
  for (const char* invalid : {"lots", "-1", "nan", "1 2"}) {
    CAPTURE(invalid);
    CHECK(decode(get_request("/a", "r", std::string("X-Cost: ") + invalid + "\r\n")).status == 400);
  }
  CHECK(decode("GET /a HTTP/1.1\r\nHost: h\r\nX-Request-ID: i\r\nX-Priority-Class: read\r\n\r\n")
            .request.timeout_ms == 2000);
  const auto timeout = [&](const std::string& value) {
    return decode(
        "GET /a HTTP/1.1\r\nHost: h\r\nX-Request-ID: i\r\nX-Priority-Class: read\r\nX-Timeout-Ms: " + value +
        "\r\n\r\n");
  };
  CHECK(timeout("480").request.timeout_ms == 480);
  CHECK(timeout("99999999").request.timeout_ms == 2000);
  for (const char* invalid : {"", "soon", "-5", "+5", "1.5", "1e3", "5 5", "99999999999999999999999"}) {
    CAPTURE(invalid);
    CHECK(timeout(invalid).status == 400);
  }
}

// Guards against an endpoint list or a configuration file that crashes the process.
TEST_CASE("JSON nested two million levels deep is rejected") {
  const std::string nested = std::string(2000000, '[') + std::string(2000000, ']');
  endpoints::EndpointTable table({}, {}, true);
  table.apply(endpoint_list_json(1, true, {endpoint_json("s-1", "127.0.0.1:1")}));
  Json entry = endpoint_json("s-2", "127.0.0.1:2");
  entry["group"] = "DEEP";
  std::string text = endpoint_list_json(2, true, {entry}).dump();
  text.replace(text.find("\"DEEP\""), 6, nested);
  CHECK_THROWS_AS(table.apply(text), endpoints::InvalidEndpointList);
  CHECK(table.endpoints_by_id().size() == 1);
  std::string file = config_json("127.0.0.1:1", "DEEP").dump();
  file.replace(file.find("\"DEEP\""), 6, "{\"endpoints\":" + nested + "}");
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
  CHECK(config::parse(file.dump(), &no_environment).limits.max_active_requests == 20000);
}

// Guards against a file that is never read because no descriptor was free at the first attempt, and against
// blocking on a pipe.
TEST_CASE("an endpoint file is read once it becomes readable and a pipe is not waited for") {
  const router::EventBasePtr base = router::make_event_base();
  loop::TimerQueue timers(base.get());
  char folder[] = "/tmp/fernward-test-XXXXXX";
  REQUIRE(mkdtemp(folder) != nullptr);
  const std::string path = std::string(folder) + "/nodes.json";
  int reads = 0;
  const auto count_read = [&reads](const std::string&) { return static_cast<std::uint64_t>(++reads); };
  SUBCASE("no descriptor at the first read") {
    std::ofstream(path) << "[]";
    rlimit original_limit{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &original_limit) == 0);
    const rlimit no_descriptors{0, original_limit.rlim_max};
    REQUIRE(setrlimit(RLIMIT_NOFILE, &no_descriptors) == 0);
    const endpoints::EndpointFileWatch watch(timers, path, count_read);
    const int reads_without_descriptors = reads;
    REQUIRE(setrlimit(RLIMIT_NOFILE, &original_limit) == 0);
    CHECK(reads_without_descriptors == 0);
    CHECK(run_until(base.get(), [&] { return reads == 1; }));
  }
  SUBCASE("a pipe") {
    REQUIRE(mkfifo(path.c_str(), 0600) == 0);
    alarm(20); // otherwise a blocking open would never return
    const endpoints::EndpointFileWatch watch(timers, path, count_read);
    alarm(0);
    CHECK(reads == 0);
    unlink(path.c_str());
    std::ofstream(path) << "[]";
    CHECK(run_until(base.get(), [&] { return reads == 1; }));
  }
  unlink(path.c_str());
  rmdir(folder);
}
