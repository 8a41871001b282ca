// An application's file: errors are reported with their position, and a valid file survives a round trip.
#include <doctest/doctest.h>

#include <cmath>
#include <fstream>
#include <list>
#include <random>
#include <regex>
#include <set>
#include <sstream>
#include <unordered_map>

#include "app_config/explain.h"
#include "app_config/host_checks.h"
#include "app_config/keys.h"
#include "app_config/origin_load.h"
#include "app_config/read.h"
#include "app_config/render.h"
#include "app_config/schema.h"
#include "config/config.h"
#include "corpus.h"
#include "program.h"
#include "toml_document/writer.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

const char* empty_environment(const char*) { return nullptr; }

std::string format_errors(const toml_document::Diagnostics& diagnostics) {
  std::string all;
  for (const auto& diagnostic : diagnostics) all += diagnostic.to_string_with_code() + "\n";
  return all;
}

std::string config_to_toml(app_config::AppConfig app) {
  const app_config::AppConfigNames names(app);
  return toml_document::to_toml(names, [&](toml_document::Visitor& visitor) { describe(visitor, app); });
}

app_config::AppConfig parse_valid_config(const std::string& text) {
  const auto loaded = app_config::parse_config(text, "app.toml", &empty_environment, nullptr);
  INFO(format_errors(loaded.errors));
  REQUIRE(loaded.valid());
  return loaded.app;
}

const std::string kMinimalConfig =
    "name = \"a\"\nlisten = \"127.0.0.1:7070\"\n[fleet.nodes.n]\naddress = \"127.0.0.1:9001\"\n"
    "[classes.any]\ngive_up = \"1s\"\nrepeat = \"safe\"\n";

} // namespace

// Guards against an invalid file that is accepted, or rejected with the wrong code or position.
TEST_CASE("every invalid file is rejected with the code and position that it states") {
  std::set<std::string> reported_codes;
  const auto files = corpus_files("broken");
  for (const std::string& file : files) {
    CAPTURE(file);
    std::multiset<std::string> expected, found;
    const std::regex expectation("# expect: (.*)");
    std::istringstream lines(read_file(file));
    for (std::string line; std::getline(lines, line);) {
      std::smatch match;
      if (std::regex_match(line, match, expectation)) expected.insert(match[1]);
    }
    REQUIRE_FALSE(expected.empty());
    const auto loaded = app_config::load_config(file, &empty_environment);
    for (const auto& error : loaded.errors) {
      const std::string file_name = std::filesystem::path(error.position.file).filename().string();
      found.insert(error.code + " " + std::to_string(error.position.line) + ":" +
                   std::to_string(error.position.column) +
                   (file.ends_with("/" + file_name) ? "" : " in " + file_name));
      reported_codes.insert(error.code);
    }
    INFO(format_errors(loaded.errors));
    CHECK(found == expected);
  }
  CHECK(files.size() >= 120);
  MESSAGE(files.size() << " broken files, " << reported_codes.size() << " codes");
  // Every error code that does not depend on the host is produced by at least one file.
  for (const auto& code : app_config::diagnostic_codes()) {
    const std::string meaning = code.meaning;
    const bool warning = meaning.starts_with("warning"),
               depends_on_host = meaning.ends_with("(not with `--elsewhere`)");
    const bool has_no_file = std::string(code.code) == "unreadable" || std::string(code.code) == "more";
    if (!warning && !depends_on_host && !has_no_file)
      CHECK_MESSAGE(reported_codes.contains(code.code), code.code);
  }
}

TEST_CASE("every valid file is accepted and survives a round trip and is accepted by the router") {
  const auto files = corpus_files("good");
  CHECK(files.size() >= 30);
  for (const std::string& file : files) {
    CAPTURE(file);
    const auto loaded = app_config::load_config(file, &empty_environment);
    INFO(format_errors(loaded.errors));
    REQUIRE(loaded.valid());
    const std::string written = config_to_toml(loaded.app);
    const auto reparsed = app_config::parse_config(written, "again.toml", &empty_environment, nullptr);
    INFO(format_errors(reparsed.errors) << written);
    REQUIRE(reparsed.valid());
    CHECK(config_to_toml(reparsed.app) == written);
    CHECK(app_config::compare(loaded.app, reparsed.app).empty());
    const config::Config config =
        config::parse(app_config::to_platform_json(loaded.app).dump(), &empty_environment);
    CHECK(config.name == loaded.app.name);
    CHECK(config.names.classes.size() == loaded.app.classes.size());
  }
}

TEST_CASE("a file truncated at any byte is parsed without a crash and never accepted in part") {
  for (const std::string& text :
       {read_file(FERNWARD_SOURCE_DIR "/tests/corpus/config/good/whole.toml"), kMinimalConfig}) {
    for (std::size_t cut = 0; cut < text.size(); ++cut) {
      const auto loaded =
          app_config::parse_config(text.substr(0, cut), "cut.toml", &empty_environment, nullptr);
      // A truncated file that is valid must be a complete file by itself.
      if (loaded.valid())
        CHECK(app_config::parse_config(config_to_toml(loaded.app), "again.toml", &empty_environment, nullptr)
                  .valid());
    }
  }
}

TEST_CASE("files of ten megabytes or with endless nesting are rejected at once") {
  const TemporaryFolder folder;
  std::string nested;
  while (nested.size() < 10u << 20) nested += "[a.b.c.d.e.f.g.h]\nx = [[[[[[[[1]]]]]]]]\n";
  const auto large = app_config::load_config(folder.write("large.toml", nested), &empty_environment);
  REQUIRE(large.errors.size() == 1);
  CHECK(large.errors[0].code == "unreadable");
  for (const char* opening : {"[", "{a=", "a."}) {
    std::string deep = "x = ";
    for (int i = 0; i < 200000; ++i) deep += opening;
    CHECK_FALSE(app_config::parse_config(deep, "deep.toml", &empty_environment, nullptr).valid());
  }
}

// Guards against a value that is taken from another source than the documented precedence says.
TEST_CASE("precedence of environment and file and profile and includes") {
  const TemporaryFolder folder;
  folder.write(
      "first.toml",
      "[limits]\nsockets = 101\nopen = 11\n[attempts]\nmost = 11\n[profiles.busy.limits]\nsockets = 301\n");
  folder.write("second.toml", "[limits]\nsockets = 102\nopen = 12\n");
  const std::string with_includes = "include = [\"first.toml\", \"second.toml\"]\n" + kMinimalConfig;
  const auto load = [&](const std::string& text,
                        app_config::EnvironmentLookup environment = &empty_environment) {
    auto loaded = app_config::load_config(folder.write("app.toml", text), environment);
    INFO(format_errors(loaded.errors));
    CHECK(loaded.valid());
    return loaded;
  };
  CHECK(load(kMinimalConfig).app.limits.max_descriptors == 1024);
  CHECK(load(with_includes).app.limits.max_descriptors == 102); // the last include has precedence
  // Keys that it omits come from the include before it.
  CHECK(load(with_includes).app.attempts.max_attempts == 11);
  CHECK(load("profile = \"busy\"\n" + with_includes).app.limits.max_descriptors == 301);
  CHECK(load("profile = \"busy\"\n" + with_includes).app.limits.max_active_requests == 12);
  CHECK(
      load("profile = \"busy\"\n" + with_includes + "[limits]\nsockets = 400\n").app.limits.max_descriptors ==
      400);
  const auto with_environment = load(with_includes, [](const char* name) -> const char* {
    const std::string variable = name;
    return variable == "FERNWARD_PROFILE" ? "busy"
           : variable == "NODE_LISTEN"    ? "127.0.0.1:1"
           : variable == "NODE_NAME"      ? ""
                                          : nullptr;
  });
  CHECK(with_environment.app.limits.max_descriptors == 301);
  CHECK(with_environment.app.listen_address == "127.0.0.1:1");
  CHECK(with_environment.app.name == "a"); // an empty variable counts as not set
  std::map<std::string, std::string> sources;
  for (const auto& value : app_config::explain_values(with_environment)) sources[value.key] = value.source;
  CHECK(sources["listen"] == "NODE_LISTEN");
  CHECK(sources["limits.sockets"].find("first.toml:7:11") != std::string::npos);
  CHECK(sources["limits.open"].find("second.toml:3:8") != std::string::npos);
  CHECK(sources["limits.memory"] == "default");
}

TEST_CASE("schema and reference and parser have the same keys") {
  const auto schema = app_config::json_schema();
  std::size_t key_count = 0;
  const std::string reference = app_config::markdown_reference();
  app_config::AppConfig app =
      parse_valid_config(read_file(FERNWARD_SOURCE_DIR "/tests/corpus/config/good/whole.toml"));
  for (const auto& leaf :
       toml_document::leaves(app_config::AppConfigNames(app),
                             [&](toml_document::Visitor& visitor) { describe(visitor, app); })) {
    const nlohmann::ordered_json* node = &schema;
    std::istringstream path(leaf.key);
    std::string last_name;
    for (std::string segment; std::getline(path, segment, '.');) {
      const std::string name = segment.substr(0, segment.find('['));
      const bool at_root = node == &schema;
      if (!at_root && node->contains("additionalProperties") &&
          node->at("additionalProperties").is_object()) {
        node = &node->at("additionalProperties"); // a name
      } else {
        CAPTURE(leaf.key);
        const auto& properties = at_root ? schema.at("$defs") : node->at("properties");
        REQUIRE(properties.contains(name));
        node = &properties.at(name);
        if (node->contains("items") && segment != name) node = &node->at("items");
      }
      last_name = name;
    }
    CHECK(reference.find("`" + last_name + "`") != std::string::npos);
    ++key_count;
  }
  CHECK(key_count > 60);
  // The operators' page contains exactly what the program prints.
  const std::string page = read_file(FERNWARD_SOURCE_DIR "/docs/operators/config-reference.md");
  CHECK(page.find(app_config::markdown_reference()) != std::string::npos);
  CHECK(page.find(app_config::markdown_code_reference()) != std::string::npos);
}

TEST_CASE("estimated origin load matches a simulated LRU cache and counts writes and overflow") {
  std::mt19937 random(7);
  for (const auto& [key_count, zipf, capacity] :
       {std::tuple(1000u, 1.0, 100u), {5000u, 0.8, 1000u}, {300u, 0.6, 30u}}) {
    std::vector<double> weights;
    for (std::uint32_t rank = 1; rank <= key_count; ++rank) weights.push_back(std::pow(rank, -zipf));
    std::discrete_distribution<std::uint32_t> draw_key(weights.begin(), weights.end());
    std::list<std::uint32_t> lru_order;
    std::unordered_map<std::uint32_t, std::list<std::uint32_t>::iterator> position_of;
    int hits = 0, lookups = 0;
    for (int i = 0; i < 120000; ++i) {
      const std::uint32_t key = draw_key(random);
      const auto found = position_of.find(key);
      if (i >= 20000) ++lookups, hits += found != position_of.end();
      if (found != position_of.end()) {
        lru_order.splice(lru_order.begin(), lru_order, found->second);
        continue;
      }
      lru_order.push_front(key);
      position_of[key] = lru_order.begin();
      if (lru_order.size() > capacity) position_of.erase(lru_order.back()), lru_order.pop_back();
    }
    CHECK(std::fabs(app_config::lru_hit_ratio(key_count, zipf, capacity) -
                    static_cast<double>(hits) / lookups) < 0.02);
  }
  app_config::AppConfig app =
      parse_valid_config(read_file(FERNWARD_SOURCE_DIR "/tests/corpus/config/good/whole.toml"));
  const auto load = app_config::estimate_origin_load(app); // 5% writes; 128 MB hold all 20,000 keys of 4 kB
  CHECK(load.request_share == doctest::Approx(0.05));
  // 16,000 requests per second of 2 ms are work for 32 cores, of which reads need 30.4; the caches have 8.
  app.expected_load.rate_per_s = 16000;
  CHECK(app_config::estimate_origin_load(app).overflow_share == doctest::Approx(0.95 * (1 - 8 / 30.4)));
}

TEST_CASE("a reload applies completely or not at all and classes keep their indexes") {
  const auto config = [](const std::string& more, const std::string& base = kMinimalConfig) {
    return config::parse(app_config::to_platform_json(parse_valid_config(base + more)).dump(),
                         &empty_environment);
  };
  const auto current =
      config("[classes.book]\ngive_up = \"1s\"\nrepeat = \"unsafe\"\n[tenants.t]\nshare = 0.5\n");
  REQUIRE(current.names.classes == std::vector<std::string>{"any", "book"});
  // "book" is renamed to "booking" and "aaa" is new; existing classes keep their indexes.
  const auto reloaded = config(
      "[classes.booking]\ngive_up = \"2s\"\nrepeat = \"unsafe\"\n[classes.aaa]\ngive_up = \"3s\"\nrepeat = "
      "\"safe\"\n[attempts]\nmost = 2\n");
  const auto merged = config::merge_reloaded(current, reloaded);
  CHECK(merged.names.classes == std::vector<std::string>{"any", "\nbook", "aaa", "booking"});
  CHECK(merged.settings.classes[1].client_timeout_ms == 1000);
  CHECK(merged.settings.classes[2].client_timeout_ms == 3000);
  CHECK(merged.settings.max_attempts == 2);
  CHECK(merged.names.tenants == std::vector<std::string>{"\nt"});
  // A class that is added again gets its old index.
  const auto merged_back = config::merge_reloaded(merged, current);
  CHECK(merged_back.names.classes == std::vector<std::string>{"any", "book", "\naaa", "\nbooking"});
  const auto merged_again = config::merge_reloaded(merged_back, current);
  CHECK(merged_again.names.classes == merged_back.names.classes);
  for (const char* more :
       {"[limits]\nsockets = 500\n", "[tier]\nrouters = 3\n", "[attempts]\nidle = \"3s\"\n", "seed = 4\n"}) {
    if (std::string(more).starts_with("seed")) continue; // applies only at startup, as in the platform file
    CAPTURE(more);
    CHECK_THROWS_AS(config::merge_reloaded(current, config(more)), config::Error);
  }
}

TEST_CASE("host checks of addresses in use and folders and descriptors and secrets") {
  const router::EventBasePtr base = router::make_event_base();
  const ScriptedServer listening_server(base.get(), [](const http::Message&) { return std::string(); });
  const TemporaryFolder folder;
  const auto reported_codes = [&](const std::string& listen, const std::string& more, mode_t mode = 0600) {
    std::string text = kMinimalConfig;
    text.replace(text.find("127.0.0.1:7070"), 14, listen);
    const std::string path = folder.write("app.toml", text + more);
    chmod(path.c_str(), mode);
    auto loaded = app_config::load_config(path, &empty_environment);
    REQUIRE(loaded.valid());
    app_config::check_host(loaded, path);
    std::string all;
    for (const auto& error : loaded.errors) all += (all.empty() ? "" : " ") + error.code;
    return all;
  };
  const std::string secret = "[application]\nenvironment = [\"DB_PASSWORD=x\"]\n";
  CHECK(reported_codes("127.0.0.1:0", "") == "");
  CHECK(reported_codes(listening_server.address, "") == "listen-taken");
  CHECK(reported_codes("192.0.2.1:7070", "") == "listen-elsewhere");
  CHECK(reported_codes("unix:/nowhere/x.sock", "") == "listen-path");
  CHECK(reported_codes("unix:" + folder.path + "/app.toml", "") == "listen-path"); // a regular file
  CHECK(reported_codes("127.0.0.1:0", "[limits]\nbody_folder = \"/nowhere\"\n") == "folder");
  CHECK(reported_codes("127.0.0.1:0", "[limits]\nsockets = 4000000000\nmemory = \"30000000MiB\"\n") ==
        "descriptors");
  CHECK(reported_codes("127.0.0.1:0", secret) == "");
  CHECK(reported_codes("127.0.0.1:0", secret, 0644) == "secret-readable");
}
