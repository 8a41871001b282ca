// Runs `fernward config` and `fernward serve --config` as processes, as a user does.
#include <doctest/doctest.h>

#include <cstdlib>
#include <nlohmann/json.hpp>

#include "corpus.h"
#include "program.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

struct CommandOutput {
  int code = -1;
  std::string text;
  bool contains(const std::string& part) const { return text.find(part) != std::string::npos; }
};

CommandOutput run_config_command(const std::string& arguments, const std::string& prefix = "") {
  const TemporaryFolder folder;
  const int status = std::system(
      (prefix + " " FERNWARD_PROGRAM " config " + arguments + " >" + folder / "out" + " 2>&1").c_str());
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, read_file(folder / "out")};
}

const std::string kGoodFolder = FERNWARD_SOURCE_DIR "/tests/corpus/config/good/";
const std::string kBrokenFolder = FERNWARD_SOURCE_DIR "/tests/corpus/config/broken/";

} // namespace

TEST_CASE("config commands exit with 2 on usage errors and with 1 on file errors and report all of them") {
  const struct {
    std::string arguments;
    int code;
    const char* expected_text;
  } cases[] = {
      {"", 2, "no command"},
      {"mend", 2, "no command \"mend\""},
      {"check", 2, "expected arguments: FILE..."},
      {"check --format xml " + kGoodFolder + "least.toml", 2, "text or json"},
      {"check --elsewhere " + kGoodFolder + "whole.toml", 0, "whole.toml: sound"},
      {"check /nowhere.toml", 1, "/nowhere.toml:1:1: unreadable: (file): can't be read"},
      {"check --elsewhere " + kBrokenFolder + "shares.toml", 1,
       "shares.toml:45:9: shares: tenants.agents.share: the shares of all tenants add up to 110%"},
      {"check --elsewhere " + kBrokenFolder + "no-zones.toml", 1, "no-zones.toml:20:8: unknown-name"},
      {"explain " + kGoodFolder + "whole.toml", 0, "with the same key, within 800ms of that attempt"},
      {"explain " + kGoodFolder + "whole.toml", 0, "About 5.0% of the requests reach it"},
      {"explain " + kBrokenFolder + "shares.toml", 1, "shares.toml:45:9"},
      {"diff " + kGoodFolder + "whole.toml " + kGoodFolder + "retries-none.toml", 0,
       "classes.book.retries: 2 -> 0 (reload)"},
      {"diff " + kGoodFolder + "whole.toml " + kGoodFolder + "tier.toml", 0, "a restart is needed"},
      {"diff " + kGoodFolder + "whole.toml", 2, "expected arguments: OLD NEW"},
      {"render " + kGoodFolder + "whole.toml", 0, "\"dedup_scope\": \"all\""},
      {"schema", 0, "json-schema.org"},
      {"reference", 0, "| `retry-past-window` |"},
      {"new", 2, "nodes come from one source"},
      {"new --discovery 127.0.0.1:8500 --node 127.0.0.1:1", 2, "one source"},
      {"new --node nowhere", 1, "address: fleet.nodes.cache-1.address"},
  };
  for (const auto& c : cases) {
    const CommandOutput output = run_config_command(c.arguments, "</dev/null");
    INFO(c.arguments << "\n" << output.text);
    CHECK(output.code == c.code);
    CHECK(output.contains(c.expected_text));
  }
  const auto found = nlohmann::json::parse(
      run_config_command("check --elsewhere --format json " + kBrokenFolder + "no-zones.toml").text);
  CHECK(found.size() == 3);
  CHECK(found[0]["line"] == 5);
  CHECK(found[0]["severity"] == "error");
}

TEST_CASE("config new writes files that pass the check and keeps an existing file if writing fails") {
  const TemporaryFolder folder;
  const std::string out = folder / "app.toml";
  for (const char* how : {"--node 127.0.0.1:9001 --ledger 127.0.0.1:9002", "--node 127.0.0.1:9001",
                          "--discovery 127.0.0.1:8500", "--nodes-file /tmp/nodes.json --no-ledger"}) {
    CAPTURE(how);
    CHECK(
        run_config_command(std::string("new --force --name x --listen 127.0.0.1:0 --out ") + out + " " + how)
            .code == 0);
    const CommandOutput output = run_config_command("check " + out);
    INFO(output.text);
    CHECK(output.code == 0);
  }
  const std::string was = read_file(out);
  CHECK(run_config_command("new --node 127.0.0.1:1 --out " + out).contains("already exists"));
  // The process may not write a file of more than one block.
  const CommandOutput full =
      run_config_command("new --force --node 127.0.0.1:1 --out " + out, "trap '' XFSZ; ulimit -f 1;");
  CHECK(full.code == 1);
  CHECK(full.contains("the old file is unchanged"));
  CHECK(read_file(out) == was);
  CHECK(std::distance(std::filesystem::directory_iterator(folder.path), {}) ==
        1); // no temporary file is left
}

TEST_CASE("every valid corpus file starts a router") {
  const router::EventBasePtr base = router::make_event_base();
  for (const std::string& file : corpus_files("good")) {
    CAPTURE(file);
    std::vector<std::string> environment;
    if (!file.ends_with("unix-socket.toml")) environment.push_back("NODE_LISTEN=127.0.0.1:0");
    TestProgram program({"serve", "--config", file}, Json::object(), environment);
    const bool json = file.ends_with("log-json.toml");
    const bool up = run_until(base.get(), [&] {
      return program.output_contains(json ? "{\"event\":\"listening\",\"name\":" : "listening name=") ||
             program.has_exited();
    });
    INFO(program.output);
    CHECK(up);
    CHECK_FALSE(program.has_exited());
  }
}

TEST_CASE("a node list file is reread when it changes and an invalid one is ignored") {
  const router::EventBasePtr base = router::make_event_base();
  const auto answers = [&](const std::string& what) {
    return [what](const http::Message&) { return ok_response(what); };
  };
  ScriptedServer a(base.get(), answers("a")), b(base.get(), answers("b"));
  const TemporaryFolder folder;
  const std::string list = folder / "nodes.json";
  const auto entry = [](const std::string& name, const ScriptedServer& peer) {
    return Json{{"name", name},
                {"address", peer.address},
                {"zone", "here"},
                {"type", "node"},
                {"status", "in_service"}};
  };
  const std::string file = folder.write(
      "app.toml",
      "name = \"a\"\nlisten = \"127.0.0.1:0\"\nmake_ids = true\n[fleet]\nfile = \"" + list +
          "\"\n[classes.any]\ngive_up = \"2s\"\nrepeat = \"safe\"\n[[map]]\npath = \"/\"\nclass = \"any\"\n");
  TestProgram program({"serve", "--config", file}, Json::object());
  REQUIRE(run_until(base.get(), [&] { return program.port() != 0; }));
  TestClient client(base.get(), program.port());
  CHECK(client.send_and_wait("GET /ready HTTP/1.1\r\n\r\n").status == 503); // the file does not exist
  const auto put = [&](const std::string& text) {
    folder.write("nodes.json.new", text);
    std::filesystem::rename(folder / "nodes.json.new", list);
  };
  const auto becomes = [&](const std::string& body) {
    return run_until(base.get(), [&] {
      TestClient asking(base.get(), program.port());
      return asking.send_and_wait("GET /k/1 HTTP/1.1\r\n\r\n").body == body; // no id, class or timeout header
    });
  };
  put(Json::array({entry("n-a", a)}).dump());
  CHECK(becomes("a"));
  put("[{\"name\":");
  CHECK(run_until(base.get(), [&] { return program.output_contains("list-file-damaged"); }));
  CHECK(becomes("a"));
  put(Json{{"endpoints", Json::array({entry("n-b", b)})}}.dump());
  CHECK(becomes("b"));
  CHECK(program.output_contains("list-file-sound"));
}
