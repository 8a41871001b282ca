// Scenario files: units, errors with their positions, values from the command line, and writing a Spec to a
// file.
#include <doctest/doctest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <regex>
#include <sstream>

#include "lab/scenario/read.h"
#include "toml_document/units.h"

using namespace fernward::lab;
using namespace fernward::toml_document;
namespace model = fernward::model;

namespace {

const std::filesystem::path kSourceDir = FERNWARD_SOURCE_DIR;
const std::filesystem::path kCorpusDir = kSourceDir / "tests/corpus/lab";

std::string read_file(const std::filesystem::path& path) {
  std::ifstream in(path);
  std::ostringstream text;
  text << in.rdbuf();
  return text.str();
}

std::string errors_text(const std::vector<Diagnostic>& errors) {
  std::string text;
  for (const Diagnostic& error : errors) text += error.to_string() + "\n";
  return text;
}

Scenario fleet_with_settings(const std::string& settings) {
  return read_scenario("base = \"fleet.toml\"\n" + settings, (kCorpusDir / "here.toml").string(), {},
                       [](const auto& path) { return std::optional(read_file(path)); });
}

} // namespace

TEST_CASE("each error of an invalid file is reported at its position and no other error") {
  std::size_t file_count = 0, mark_count = 0;
  for (const auto& entry : std::filesystem::directory_iterator(kCorpusDir)) {
    const std::string path = entry.path().string();
    CAPTURE(path);
    struct Expected {
      unsigned line;
      std::string key, message;
    };
    std::vector<Expected> expected; // from the marks "# fault: KEY" and "# fault: KEY: WORDS"
    std::istringstream lines(read_file(path));
    std::string line;
    for (unsigned line_number = 1; std::getline(lines, line); ++line_number) {
      const std::regex mark_pattern("# fault: ([^:# ]+)(: ([^#]*[^# ]))?");
      for (std::sregex_iterator it(line.begin(), line.end(), mark_pattern), end; it != end; ++it) {
        expected.push_back({line_number, (*it)[1], (*it)[3]});
      }
    }
    const Scenario scenario = read_scenario_file(path);
    INFO("found:\n" << errors_text(scenario.errors));
    CHECK(scenario.errors.size() == expected.size());
    for (const Expected& e : expected) {
      CAPTURE(e.line);
      CAPTURE(e.key);
      CHECK(std::any_of(scenario.errors.begin(), scenario.errors.end(), [&](const Diagnostic& error) {
        return error.position.file == path && error.position.line == e.line && error.key == e.key &&
               error.position.column >= 1 && error.message.find(e.message) != std::string::npos;
      }));
    }
    ++file_count;
    mark_count += expected.size();
  }
  CHECK(file_count >= 14);
  CHECK(mark_count >= 50);
}

TEST_CASE("an error names file and line and column") {
  const Scenario scenario = fleet_with_settings("[load]\n  rate = \"410\"\n");
  REQUIRE(scenario.errors.size() == 1);
  CHECK(scenario.errors[0].to_string() ==
        (kCorpusDir / "here.toml").string() +
            ":3:10: load.rate: has no unit: must be a rate such as \"410/s\" or \"30/min\"");
}

TEST_CASE("quantities") {
  const struct {
    Unit unit;
    const char* text;
    double value; // negative: rejected
  } cases[] = {
      {Unit::Time, "750ms", 750},
      {Unit::Time, "1.5s", 1500},
      {Unit::Time, "2 min", 120000},
      {Unit::Time, "1h", 3600e3},
      {Unit::Time, "1d", 86400e3},
      {Unit::Time, "800us", 0.8},
      {Unit::Time, "0", 0},
      {Unit::Time, "5", -1},
      {Unit::Time, "5 parsecs", -1},
      {Unit::Time, "", -1},
      {Unit::Time, "s", -1},
      {Unit::Time, "1e999s", -1},
      {Unit::Bytes, "64KiB", 65536},
      {Unit::Bytes, "4MB", 4e6},
      {Unit::Bytes, "64 bytes", -1},
      {Unit::Mebibytes, "1GiB", 1024},
      {Unit::Mebibytes, "192MB", -1},
      {Unit::Rate, "410/s", 410},
      {Unit::Rate, "30/min", 0.5},
      {Unit::Rate, "410/fortnight", -1},
      {Unit::Share, "30%", 0.3},
      {Unit::Share, "0.3", 0.3},
      {Unit::ShareRate, "0.5%/s", 0.005},
      {Unit::Number, "3", -1},
      {Unit::Share, "nan%", -1},
      {Unit::Share, "30%%", -1},
  };
  for (const auto& c : cases) {
    CAPTURE(c.text);
    fernward::toml_document::ParseError error;
    const auto value = parse_quantity(c.unit, c.text, error);
    CHECK(value.value_or(-1) == c.value);
    CHECK(error.message.empty() == value.has_value());
  }
  // A written quantity is read back as exactly the same number.
  for (const Unit unit : {Unit::Time, Unit::Bytes, Unit::Rate, Unit::Share, Unit::ShareRate}) {
    for (const double value : {0.0, 0.07, 0.1, 1.0 / 3, 0.8, 750.0, 1500.0, 86400e3, 64e6, 65536.0, 1e-9}) {
      fernward::toml_document::ParseError error;
      CHECK(parse_quantity(unit, format_quantity(unit, value), error) == value);
    }
  }
  CHECK(format_quantity(Unit::Time, 1500) == "1.5s");
  CHECK(format_quantity(Unit::Bytes, 65536) == "64KiB");
  CHECK(format_quantity(Unit::Share, 0.07) == "7%");
}

TEST_CASE("a Spec is unchanged after writing and reading a file") {
  for (const char* name : {"fleet.toml", "every-event.toml"}) {
    const Scenario first = read_scenario_file(kCorpusDir / name);
    REQUIRE(errors_text(first.errors) == "");
    const std::string text = scenario_text(first.spec);
    const Scenario second = read_scenario(text, "written.toml");
    CHECK(errors_text(second.errors) == "");
    CHECK(scenario_text(second.spec) == text);
    CHECK(second.spec.events.size() == first.spec.events.size());
  }
  const Scenario scenario = read_scenario_file(kCorpusDir / "every-event.toml");
  REQUIRE(scenario.spec.events.size() == std::variant_size_v<model::EventAction>);
  std::vector<bool> present(scenario.spec.events.size());
  for (const auto& e : scenario.spec.events) present[e.what.index()] = true;
  CHECK(std::all_of(present.begin(), present.end(), [](bool b) { return b; }));
  const auto& kill_routers = std::get<model::RestartRouters>(scenario.spec.events[9].what);
  CHECK(kill_routers.how == model::RouterEnd::Kill);
  CHECK(kill_routers.who.share == 0.5);
  CHECK(scenario.spec.expectations.bounds[6].metric == model::Metric::RecoveryMs);
  CHECK(scenario.spec.expectations.bounds[6].at_most == 8000);
}

TEST_CASE("a file overrides its base table by table and lists are replaced completely") {
  const Scenario scenario =
      fleet_with_settings("duration = \"5s\"\n[origin]\ntime = \"90ms\"\n[[tenants]]\nname = \"one\"\n");
  CHECK(errors_text(scenario.errors) == "");
  CHECK(scenario.spec.duration_ms == 5000);
  CHECK(scenario.spec.origin.service_time_ms == 90);
  CHECK(scenario.spec.origin.capacity_per_s == 80);
  CHECK(scenario.spec.tenants.size() == 1);
  CHECK(scenario.spec.classes.size() == 2);
  CHECK(scenario.spec.name == "here");
  // An error in the base file is reported with the base file's name.
  CHECK(fleet_with_settings("[load]\nshape = \"ramp\"\nramp_to = 5000\n")
            .errors.at(0)
            .position.file.ends_with("fleet.toml"));
}

TEST_CASE("values set from the command line are checked together with the whole scenario") {
  const struct {
    const char* setting;
    const char* expected_error; // part of the message; empty: the setting is accepted
  } cases[] = {
      {"load.rate=820/s", ""},
      {"load.rate=820", "has no unit"},
      {"load.rate=999999/s", "this machine can offer"},
      {"kinds[fast].cores=8", ""},
      {"kinds[1].report.period=\"50ms\"", ""},
      {"kinds[slow].cores=8", "no such key"},
      {"kinds.cores=8", "no such key"},
      {"routers.max_attempts=3", ""},
      {"classes[book].work.mean=80ms", ""},
      {"classes[book].repeat=unsafe", ""},
      {"classes[book].repeat=perhaps", "must be one of"},
      {"events[0].until=9s", ""},
      {"events[0].until=1s", "must be after the start of the event"},
      {"events[0].what=kill-nodes", "can't be set"},
      {"events[0].who.count=2", ""},
      {"load.rate", "KEY=VALUE"},
      {"seed=7\nname=\"x\"", "one value"},
  };
  for (const auto& c : cases) {
    CAPTURE(c.setting);
    Scenario scenario =
        fleet_with_settings("[[events]]\nat = \"2s\"\nwhat = \"neighbour\"\nuntil = \"5s\"\n");
    REQUIRE(scenario.is_valid());
    const std::string text_before = scenario_text(scenario.spec);
    set_values(scenario, {c.setting});
    if (*c.expected_error == '\0') {
      CHECK(errors_text(scenario.errors) == "");
      CHECK(scenario_text(scenario.spec) != text_before);
    } else {
      REQUIRE(scenario.errors.size() >= 1);
      CHECK(scenario.errors[0].to_string().find(c.expected_error) != std::string::npos);
    }
  }
}

TEST_CASE("the operators' page has the key reference as generated by the reader") {
  const std::string page = read_file(kSourceDir / "docs/operators/lab.md");
  CHECK(page.find(key_reference()) != std::string::npos);
}
