// Settings with one fault each, given to the program as a separate process: it exits with 1 and prints one
// line that names the key. Guards against a router that starts or crashes with invalid settings, and against
// errors that don't name the invalid key.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "program.h"
#include "scripted_peers.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

// Valid settings with other classes, features and limits than in the other tests.
Json valid_settings() {
  return Json::parse(R"({"balancers": 5, "me": 2, "my_zone": 1, "dcs": ["quay", "hill"], "tick": 10,
    "kinds": ["small", "large", "store"], "over_share_worth": 0.3,
    "classes": [{"name": "glance", "give_up": 400, "aim": 200, "aim_stretch": 0.5, "late_share": 0.6, "worth": 1,
                 "repeat": "safe", "max_attempts": 2, "may_duplicate": true, "stream": false},
                {"name": "hold", "give_up": 5000, "aim": 1500, "late_share": 0.4, "worth": 4, "repeat": "keyed",
                 "dedup_scope": "zone", "window": 220},
                {"name": "issue", "give_up": 6000, "aim": 2000, "worth": 20, "repeat": "unsafe"}],
    "parties": [{"name": "desk", "share": 0.6, "quota_per_s": 40}, {"name": "wire", "share": 0.4, "quota_per_s": 0}],
    "extra": {"mode": "aside", "origin_kind": 2},
    "telemetry": {"via": "inline", "columns": ["inflight", "util"]},
    "registry_mode": "push", "weight_kind": "rough",
    "limits": {"may_probe": false, "may_cancel": false, "may_duplicate": false, "retry_after": true,
               "max_retry_after": 4000, "max_attempts": 3, "connect_timeout": 700, "conn_idle": 2000,
               "open_cap": 20000},
    "obligations": {"ask_every": 0, "warm_after": 18000, "start_capacity": 0.15, "tip_after": 3000,
                    "grace_to_answer": 20},
    "resize": {"settle": 1000, "ledger_multiple": 2, "second_holder": 0.1}})");
}

// The program's name for a JSON pointer: settings.classes[0].give_up for `/classes/0/give_up`.
std::string key_name(const std::string& path) {
  std::string name = "settings";
  for (std::size_t at = 0; at < path.size();) {
    const std::size_t end = std::min(path.find('/', at + 1), path.size());
    const std::string part = path.substr(at + 1, end - at - 1);
    const bool is_index = part.find_first_not_of("0123456789") == std::string::npos;
    name += is_index ? "[" + part + "]" : "." + part;
    at = end;
  }
  return name;
}

std::pair<int, std::string> run_check_config(const Json& settings) {
  Json file = config_json("127.0.0.1:8500", nullptr);
  file["settings"] = settings;
  TestProgram program({"check-config"}, file);
  const auto base = router::make_event_base();
  REQUIRE(run_until(base.get(), [&] { return program.has_exited(); }));
  return {program.exit_code, program.output};
}

void check_rejected(const Json& settings, const std::string& path) {
  const auto [code, text] = run_check_config(settings);
  CAPTURE(text);
  CHECK(code == 1);
  CHECK(text.find(" " + key_name(path) + ": ") != std::string::npos);
  CHECK(std::count(text.begin(), text.end(), '\n') == 1);
}

void check_rejected_without(const std::string& path) {
  CAPTURE(path);
  const Json::json_pointer at(path);
  Json settings = valid_settings();
  settings.at(at.parent_pointer()).erase(at.back());
  check_rejected(settings, path);
  settings = valid_settings();
  settings.at(at) = nullptr;
  check_rejected(settings, path);
}

// `expected_path`: the path that the error names, if that is the list and not its entry; empty: `path`.
void check_rejected_with(const std::string& path, const std::vector<Json>& values,
                         const std::string& expected_path = "") {
  for (const Json& value : values) {
    Json settings = valid_settings();
    settings.at(Json::json_pointer(path)) = value;
    CAPTURE(path);
    CAPTURE(value.dump());
    check_rejected(settings, expected_path.empty() ? path : expected_path);
  }
}

const std::vector<Json> kNotNumbers = {"many", true};
const std::vector<Json> kNotBooleans = {"yes", 1};
const std::vector<Json> kNotStrings = {1, Json::array()};

} // namespace

TEST_CASE("settings of another deployment are accepted also without optional keys") {
  CHECK(run_check_config(valid_settings()).first == 0);
  // These keys have defaults, see docs/operators/config.md and README.md. A list of kinds, zones or tenants
  // may be empty.
  for (const char* path : {"/me",
                           "/my_zone",
                           "/dcs",
                           "/tick",
                           "/kinds",
                           "/over_share_worth",
                           "/classes/0/aim",
                           "/classes/0/aim_stretch",
                           "/classes/0/late_share",
                           "/classes/0/worth",
                           "/classes/0/max_attempts",
                           "/classes/0/may_duplicate",
                           "/classes/0/stream",
                           "/classes/1/dedup_scope",
                           "/classes/1/window",
                           "/parties",
                           "/parties/0/share",
                           "/parties/0/quota_per_s",
                           "/extra",
                           "/telemetry",
                           "/telemetry/via",
                           "/telemetry/columns",
                           "/registry_mode",
                           "/weight_kind",
                           "/limits/may_probe",
                           "/limits/may_cancel",
                           "/limits/may_duplicate",
                           "/limits/retry_after",
                           "/limits/max_retry_after",
                           "/limits/connect_timeout",
                           "/limits/conn_idle",
                           "/limits/open_cap",
                           "/obligations/ask_every",
                           "/obligations/warm_after",
                           "/obligations/start_capacity",
                           "/obligations/tip_after",
                           "/obligations/grace_to_answer",
                           "/resize",
                           "/resize/settle"}) {
    CAPTURE(path);
    const Json::json_pointer at(path);
    Json settings = valid_settings();
    settings.at(at.parent_pointer()).erase(at.back());
    const auto [code, text] = run_check_config(settings);
    CAPTURE(text);
    CHECK(code == 0);
  }
}

TEST_CASE("a missing required key of the settings is named in the error") {
  for (const char* path : {"/balancers", "/classes/0/name", "/classes/0/give_up", "/classes/0/repeat",
                           "/classes/1/repeat", "/classes/2/give_up", "/parties/1/name", "/extra/origin_kind",
                           "/limits", "/limits/max_attempts", "/obligations"}) {
    check_rejected_without(path);
  }
  Json without_classes = valid_settings();
  without_classes.erase("classes");
  check_rejected(without_classes, "/classes");
  check_rejected_with("/classes", {nullptr, Json::array()});
}

TEST_CASE("a key of the settings with a wrong type or a value out of range is named in the error") {
  const std::vector<Json> invalid_amounts = {-0.5, 1e301}, invalid_shares = {-0.1, 1.5};
  for (const char* path :
       {"/tick", "/classes/0/give_up", "/classes/0/aim", "/classes/0/aim_stretch", "/classes/0/worth",
        "/classes/1/window", "/parties/0/quota_per_s", "/limits/max_retry_after", "/obligations/ask_every",
        "/obligations/warm_after", "/obligations/tip_after", "/resize/settle", "/resize/ledger_multiple"}) {
    check_rejected_with(path, kNotNumbers);
    check_rejected_with(path, invalid_amounts);
  }
  for (const char* path : {"/over_share_worth", "/classes/0/late_share", "/parties/0/share",
                           "/obligations/start_capacity", "/resize/second_holder"}) {
    check_rejected_with(path, kNotNumbers);
    check_rejected_with(path, invalid_shares);
  }
  for (const char* path :
       {"/balancers", "/classes/0/max_attempts", "/limits/max_attempts"}) { // counts of at least 1
    check_rejected_with(path, kNotNumbers);
    check_rejected_with(path, {0, -1, 2.5, 4294967296.0, 1e301});
  }
  for (const char* path : {"/my_zone", "/extra/origin_kind"}) { // indexes into a list
    check_rejected_with(path, kNotNumbers);
    check_rejected_with(path, {-1, 0.5, 3, 4294967295.0, 4294967296.0, 1e301});
  }
  for (const char* path : {"/limits/connect_timeout", "/limits/conn_idle", "/limits/open_cap",
                           "/obligations/grace_to_answer"}) { // above 0
    check_rejected_with(path, kNotNumbers);
    check_rejected_with(path, {0, -1});
  }
  check_rejected_with("/limits/open_cap", {1e7, 0.5});
  check_rejected_with("/resize/ledger_multiple", {0.5});
  for (const char* path : {"/limits/may_probe", "/limits/may_cancel", "/limits/may_duplicate",
                           "/limits/retry_after", "/classes/0/stream", "/classes/0/may_duplicate"}) {
    check_rejected_with(path, kNotBooleans);
  }
  for (const char* path :
       {"/classes/0/name", "/classes/0/repeat", "/classes/1/dedup_scope", "/parties/0/name", "/extra/mode",
        "/telemetry/via", "/registry_mode", "/weight_kind"}) {
    check_rejected_with(path, kNotStrings);
  }
  for (const char* path :
       {"/extra", "/telemetry", "/limits", "/obligations", "/resize", "/classes/0", "/parties/0"}) {
    check_rejected_with(path, {"x", Json::array()});
  }
  for (const char* path : {"/classes", "/parties", "/dcs", "/kinds", "/telemetry/columns"}) {
    check_rejected_with(path, {"x", Json::object()});
  }
  for (const char* path : {"/dcs", "/kinds", "/telemetry/columns"})
    check_rejected_with(path + std::string("/0"), kNotStrings, path);
  for (const char* path : {"/classes/1/name", "/parties/1/name"}) { // empty, or the previous entry's name
    check_rejected_with(path, {"", path[1] == 'c' ? "glance" : "desk"});
  }
}
