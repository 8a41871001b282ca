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
#include "app_config/host.h"
#include "app_config/keys.h"
#include "app_config/ledger.h"
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

const char* nothing(const char*) { return nullptr; }

std::string shown(const toml_document::Faults& faults) {
  std::string all;
  for (const auto& fault : faults) all += fault.coded() + "\n";
  return all;
}

std::string as_file(app_config::App app) {
  const app_config::AppNames names(app);
  return toml_document::written(names, [&](toml_document::Visitor& v) { describe(v, app); });
}

app_config::App app_of(const std::string& text) {
  const auto made = app_config::read(text, "app.toml", &nothing, nullptr);
  INFO(shown(made.faults));
  REQUIRE(made.sound());
  return made.app;
}

const std::string kLeast =
    "name = \"a\"\nlisten = \"127.0.0.1:7070\"\n[fleet.nodes.n]\naddress = \"127.0.0.1:9001\"\n"
    "[classes.any]\ngive_up = \"1s\"\nrepeat = \"safe\"\n";

} // namespace

// Guards against an invalid file that is accepted, or rejected with the wrong code or position.
TEST_CASE("every invalid file is rejected with the code and position that it states") {
  std::set<std::string> seen;
  const auto files = corpus("broken");
  for (const std::string& file : files) {
    CAPTURE(file);
    std::multiset<std::string> expected, found;
    const std::regex mark("# expect: (.*)");
    std::istringstream lines(text_of(file));
    for (std::string line; std::getline(lines, line);) {
      std::smatch m;
      if (std::regex_match(line, m, mark)) expected.insert(m[1]);
    }
    REQUIRE_FALSE(expected.empty());
    const auto made = app_config::read_file(file, &nothing);
    for (const auto& f : made.faults) {
      const std::string base = std::filesystem::path(f.at.file).filename().string();
      found.insert(f.code + " " + std::to_string(f.at.line) + ":" + std::to_string(f.at.column) +
                   (file.ends_with("/" + base) ? "" : " in " + base));
      seen.insert(f.code);
    }
    INFO(shown(made.faults));
    CHECK(found == expected);
  }
  CHECK(files.size() >= 120);
  MESSAGE(files.size() << " broken files, " << seen.size() << " codes");
  // Every error code that does not depend on the host is produced by at least one file.
  for (const auto& code : app_config::codes()) {
    const std::string means = code.means;
    const bool warning = means.starts_with("warning"), host = means.ends_with("(not with `--elsewhere`)");
    const bool other = std::string(code.code) == "unreadable" || std::string(code.code) == "more";
    if (!warning && !host && !other) CHECK_MESSAGE(seen.contains(code.code), code.code);
  }
}

TEST_CASE("every valid file is accepted and survives a round trip and is accepted by the router") {
  const auto files = corpus("good");
  CHECK(files.size() >= 30);
  for (const std::string& file : files) {
    CAPTURE(file);
    const auto made = app_config::read_file(file, &nothing);
    INFO(shown(made.faults));
    REQUIRE(made.sound());
    const std::string written = as_file(made.app);
    const auto again = app_config::read(written, "again.toml", &nothing, nullptr);
    INFO(shown(again.faults) << written);
    REQUIRE(again.sound());
    CHECK(as_file(again.app) == written);
    CHECK(app_config::changes(made.app, again.app).empty());
    const config::Config config = config::parse(app_config::render(made.app).dump(), &nothing);
    CHECK(config.name == made.app.name);
    CHECK(config.names.classes.size() == made.app.classes.size());
  }
}

TEST_CASE("a file truncated at any byte is parsed without a crash and never accepted in part") {
  for (const std::string& text :
       {text_of(FERNWARD_SOURCE_DIR "/tests/corpus/config/good/whole.toml"), kLeast}) {
    for (std::size_t cut = 0; cut < text.size(); ++cut) {
      const auto made = app_config::read(text.substr(0, cut), "cut.toml", &nothing, nullptr);
      // A truncated file that is valid must be a complete file by itself.
      if (made.sound()) CHECK(app_config::read(as_file(made.app), "again.toml", &nothing, nullptr).sound());
    }
  }
}

TEST_CASE("files of ten megabytes or with endless nesting are rejected at once") {
  const Folder folder;
  std::string nested;
  while (nested.size() < 10u << 20) nested += "[a.b.c.d.e.f.g.h]\nx = [[[[[[[[1]]]]]]]]\n";
  const auto large = app_config::read_file(folder.write("large.toml", nested), &nothing);
  REQUIRE(large.faults.size() == 1);
  CHECK(large.faults[0].code == "unreadable");
  for (const char* open : {"[", "{a=", "a."}) {
    std::string deep = "x = ";
    for (int i = 0; i < 200000; ++i) deep += open;
    CHECK_FALSE(app_config::read(deep, "deep.toml", &nothing, nullptr).sound());
  }
}

// Guards against a value that is taken from another source than the documented precedence says.
TEST_CASE("precedence of environment and file and profile and includes") {
  const Folder folder;
  folder.write(
      "first.toml",
      "[limits]\nsockets = 101\nopen = 11\n[attempts]\nmost = 11\n[profiles.busy.limits]\nsockets = 301\n");
  folder.write("second.toml", "[limits]\nsockets = 102\nopen = 12\n");
  const std::string own = "include = [\"first.toml\", \"second.toml\"]\n" + kLeast;
  const auto read = [&](const std::string& text, app_config::Environment environment = &nothing) {
    auto made = app_config::read_file(folder.write("app.toml", text), environment);
    INFO(shown(made.faults));
    CHECK(made.sound());
    return made;
  };
  CHECK(read(kLeast).app.limits.sockets == 1024);
  CHECK(read(own).app.limits.sockets == 102); // the last include has precedence
  CHECK(read(own).app.attempts.most == 11);   // keys that it omits come from the include before it
  CHECK(read("profile = \"busy\"\n" + own).app.limits.sockets == 301);
  CHECK(read("profile = \"busy\"\n" + own).app.limits.open == 12);
  CHECK(read("profile = \"busy\"\n" + own + "[limits]\nsockets = 400\n").app.limits.sockets == 400);
  const auto with = read(own, [](const char* name) -> const char* {
    const std::string n = name;
    return n == "FERNWARD_PROFILE" ? "busy"
           : n == "NODE_LISTEN"    ? "127.0.0.1:1"
           : n == "NODE_NAME"      ? ""
                                   : nullptr;
  });
  CHECK(with.app.limits.sockets == 301);
  CHECK(with.app.listen == "127.0.0.1:1");
  CHECK(with.app.name == "a"); // an empty variable counts as not set
  std::map<std::string, std::string> from;
  for (const auto& v : app_config::values(with)) from[v.key] = v.from;
  CHECK(from["listen"] == "NODE_LISTEN");
  CHECK(from["limits.sockets"].find("first.toml:7:11") != std::string::npos);
  CHECK(from["limits.open"].find("second.toml:3:8") != std::string::npos);
  CHECK(from["limits.memory"] == "default");
}

TEST_CASE("schema and reference and parser have the same keys") {
  const auto schema = app_config::schema();
  std::size_t keys = 0;
  const std::string reference = app_config::reference();
  app_config::App app = app_of(text_of(FERNWARD_SOURCE_DIR "/tests/corpus/config/good/whole.toml"));
  for (const auto& leaf : toml_document::leaves(app_config::AppNames(app),
                                                [&](toml_document::Visitor& v) { describe(v, app); })) {
    const nlohmann::ordered_json* at = &schema;
    std::istringstream steps(leaf.key);
    std::string last;
    for (std::string step; std::getline(steps, step, '.');) {
      const std::string name = step.substr(0, step.find('['));
      const bool top = at == &schema;
      if (!top && at->contains("additionalProperties") && at->at("additionalProperties").is_object()) {
        at = &at->at("additionalProperties"); // a name
      } else {
        CAPTURE(leaf.key);
        const auto& properties = top ? schema.at("$defs") : at->at("properties");
        REQUIRE(properties.contains(name));
        at = &properties.at(name);
        if (at->contains("items") && step != name) at = &at->at("items");
      }
      last = name;
    }
    CHECK(reference.find("`" + last + "`") != std::string::npos);
    ++keys;
  }
  CHECK(keys > 60);
  // The operators' page contains exactly what the program prints.
  const std::string page = text_of(FERNWARD_SOURCE_DIR "/docs/operators/config-reference.md");
  CHECK(page.find(app_config::reference()) != std::string::npos);
  CHECK(page.find(app_config::code_reference()) != std::string::npos);
}

TEST_CASE("estimated origin load matches a simulated LRU cache and counts writes and overflow") {
  std::mt19937 draw(7);
  for (const auto& [keys, zipf, held] :
       {std::tuple(1000u, 1.0, 100u), {5000u, 0.8, 1000u}, {300u, 0.6, 30u}}) {
    std::vector<double> weights;
    for (std::uint32_t k = 1; k <= keys; ++k) weights.push_back(std::pow(k, -zipf));
    std::discrete_distribution<std::uint32_t> pick(weights.begin(), weights.end());
    std::list<std::uint32_t> order;
    std::unordered_map<std::uint32_t, std::list<std::uint32_t>::iterator> at;
    int hits = 0, counted = 0;
    for (int i = 0; i < 120000; ++i) {
      const std::uint32_t key = pick(draw);
      const auto found = at.find(key);
      if (i >= 20000) ++counted, hits += found != at.end();
      if (found != at.end()) {
        order.splice(order.begin(), order, found->second);
        continue;
      }
      order.push_front(key);
      at[key] = order.begin();
      if (order.size() > held) at.erase(order.back()), order.pop_back();
    }
    CHECK(std::fabs(app_config::lru_hits(keys, zipf, held) - static_cast<double>(hits) / counted) < 0.02);
  }
  app_config::App app = app_of(text_of(FERNWARD_SOURCE_DIR "/tests/corpus/config/good/whole.toml"));
  const auto load = app_config::ledger_load(app); // 5% writes; 128 MB hold all 20,000 keys of 4 kB
  CHECK(load.share == doctest::Approx(0.05));
  app.expect.rate_per_s = 16000; // x 2 ms: work for 32 cores, of which reads need 30.4; the caches have 8
  CHECK(app_config::ledger_load(app).no_room == doctest::Approx(0.95 * (1 - 8 / 30.4)));
}

TEST_CASE("a reload applies completely or not at all and classes keep their indexes") {
  const auto config = [](const std::string& more, const std::string& base = kLeast) {
    return config::parse(app_config::render(app_of(base + more)).dump(), &nothing);
  };
  const auto now =
      config("[classes.book]\ngive_up = \"1s\"\nrepeat = \"unsafe\"\n[tenants.t]\nshare = 0.5\n");
  REQUIRE(now.names.classes == std::vector<std::string>{"any", "book"});
  // "book" is renamed and "aaa" is new; existing classes keep their indexes.
  const auto next = config(
      "[classes.booking]\ngive_up = \"2s\"\nrepeat = \"unsafe\"\n[classes.aaa]\ngive_up = \"3s\"\nrepeat = "
      "\"safe\"\n[attempts]\nmost = 2\n");
  const auto moved = config::moved(now, next);
  CHECK(moved.names.classes == std::vector<std::string>{"any", "\nbook", "aaa", "booking"});
  CHECK(moved.settings.classes[1].client_timeout_ms == 1000);
  CHECK(moved.settings.classes[2].client_timeout_ms == 3000);
  CHECK(moved.settings.max_attempts == 2);
  CHECK(moved.names.tenants == std::vector<std::string>{"\nt"});
  const auto back = config::moved(moved, now); // a class that returns gets its old index
  CHECK(back.names.classes == std::vector<std::string>{"any", "book", "\naaa", "\nbooking"});
  const auto twice = config::moved(back, now);
  CHECK(twice.names.classes == back.names.classes);
  for (const char* more :
       {"[limits]\nsockets = 500\n", "[tier]\nrouters = 3\n", "[attempts]\nidle = \"3s\"\n", "seed = 4\n"}) {
    if (std::string(more).starts_with("seed")) continue; // applies only at startup, as in the platform file
    CAPTURE(more);
    CHECK_THROWS_AS(config::moved(now, config(more)), config::Error);
  }
}

TEST_CASE("host checks of addresses in use and folders and descriptors and secrets") {
  const router::BasePtr base = router::make_base();
  const Peer taken(base.get(), [](const http::Message&) { return std::string(); });
  const Folder folder;
  const auto codes = [&](const std::string& listen, const std::string& more, mode_t mode = 0600) {
    std::string text = kLeast;
    text.replace(text.find("127.0.0.1:7070"), 14, listen);
    const std::string path = folder.write("app.toml", text + more);
    chmod(path.c_str(), mode);
    auto made = app_config::read_file(path, &nothing);
    REQUIRE(made.sound());
    app_config::check_host(made, path);
    std::string all;
    for (const auto& f : made.faults) all += (all.empty() ? "" : " ") + f.code;
    return all;
  };
  const std::string secret = "[application]\nenvironment = [\"DB_PASSWORD=x\"]\n";
  CHECK(codes("127.0.0.1:0", "") == "");
  CHECK(codes(taken.address, "") == "listen-taken");
  CHECK(codes("192.0.2.1:7070", "") == "listen-elsewhere");
  CHECK(codes("unix:/nowhere/x.sock", "") == "listen-path");
  CHECK(codes("unix:" + folder.path + "/app.toml", "") == "listen-path"); // a regular file
  CHECK(codes("127.0.0.1:0", "[limits]\nbody_folder = \"/nowhere\"\n") == "folder");
  CHECK(codes("127.0.0.1:0", "[limits]\nsockets = 4000000000\nmemory = \"30000000MiB\"\n") == "descriptors");
  CHECK(codes("127.0.0.1:0", secret) == "");
  CHECK(codes("127.0.0.1:0", secret, 0644) == "secret-readable");
}
