// Runs `fernward config` and `fernward serve --config` as processes, as a user does.
#include <doctest/doctest.h>

#include <cstdlib>
#include <nlohmann/json.hpp>

#include "corpus.h"
#include "program.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

// Exit code of a command, and its standard output and standard error.
struct CommandOutput {
  int code = -1;
  std::string text;
  bool contains(const std::string& part) const { return text.find(part) != std::string::npos; }
};

// `prefix`: shell text before the command, such as a redirection.
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
  for (const auto& test_case : cases) {
    const CommandOutput output = run_config_command(test_case.arguments, "</dev/null");
    INFO(test_case.arguments << "\n" << output.text);
    CHECK(output.code == test_case.code);
    CHECK(output.contains(test_case.expected_text));
  }
  const auto diagnostics = nlohmann::json::parse(
      run_config_command("check --elsewhere --format json " + kBrokenFolder + "no-zones.toml").text);
  CHECK(diagnostics.size() == 3);
  CHECK(diagnostics[0]["line"] == 5);
  CHECK(diagnostics[0]["severity"] == "error");
}

TEST_CASE("config new writes files that pass the check and keeps an existing file if writing fails") {
  const TemporaryFolder folder;
  const std::string path = folder / "app.toml";
  for (const char* options : {"--node 127.0.0.1:9001 --ledger 127.0.0.1:9002", "--node 127.0.0.1:9001",
                              "--discovery 127.0.0.1:8500", "--nodes-file /tmp/nodes.json --no-ledger"}) {
    CAPTURE(options);
    CHECK(run_config_command(std::string("new --force --name x --listen 127.0.0.1:0 --out ") + path + " " +
                             options)
              .code == 0);
    const CommandOutput output = run_config_command("check " + path);
    INFO(output.text);
    CHECK(output.code == 0);
  }
  const std::string previous_text = read_file(path);
  CHECK(run_config_command("new --node 127.0.0.1:1 --out " + path).contains("already exists"));
  // The process may not write a file of more than one block.
  const CommandOutput failed_write =
      run_config_command("new --force --node 127.0.0.1:1 --out " + path, "trap '' XFSZ; ulimit -f 1;");
  CHECK(failed_write.code == 1);
  CHECK(failed_write.contains("the old file is unchanged"));
  CHECK(read_file(path) == previous_text);
  // No temporary file is left.
  CHECK(std::distance(std::filesystem::directory_iterator(folder.path), {}) == 1);
}

TEST_CASE("every valid corpus file starts a router") {
  const router::EventBasePtr base = router::make_event_base();
  for (const std::string& file : corpus_files("good")) {
    CAPTURE(file);
    std::vector<std::string> environment;
    if (!file.ends_with("unix-socket.toml")) environment.push_back("NODE_LISTEN=127.0.0.1:0");
    TestProgram program({"serve", "--config", file}, Json::object(), environment);
    const bool logs_json = file.ends_with("log-json.toml");
    const bool is_listening = run_until(base.get(), [&] {
      return program.output_contains(logs_json ? "{\"event\":\"listening\",\"name\":" : "listening name=") ||
             program.has_exited();
    });
    INFO(program.output);
    CHECK(is_listening);
    CHECK_FALSE(program.has_exited());
  }
}

TEST_CASE("a node list file is reread when it changes and an invalid one is ignored") {
  const router::EventBasePtr base = router::make_event_base();
  const auto respond_with = [&](const std::string& body) {
    return [body](const http::Message&) { return ok_response(body); };
  };
  ScriptedServer server_a(base.get(), respond_with("a")), server_b(base.get(), respond_with("b"));
  const TemporaryFolder folder;
  const std::string list_path = folder / "nodes.json";
  const auto entry = [](const std::string& name, const ScriptedServer& peer) {
    return Json{{"name", name},
                {"address", peer.address},
                {"zone", "here"},
                {"type", "node"},
                {"status", "in_service"}};
  };
  const std::string file = folder.write(
      "app.toml",
      "name = \"a\"\nlisten = \"127.0.0.1:0\"\nmake_ids = true\n[fleet]\nfile = \"" + list_path +
          "\"\n[classes.any]\ngive_up = \"2s\"\nrepeat = \"safe\"\n[[map]]\npath = \"/\"\nclass = \"any\"\n");
  TestProgram program({"serve", "--config", file}, Json::object());
  REQUIRE(run_until(base.get(), [&] { return program.port() != 0; }));
  TestClient client(base.get(), program.port());
  CHECK(client.send_and_wait("GET /ready HTTP/1.1\r\n\r\n").status == 503); // the file does not exist
  const auto write_list = [&](const std::string& text) {
    folder.write("nodes.json.new", text);
    std::filesystem::rename(folder / "nodes.json.new", list_path);
  };
  const auto is_served = [&](const std::string& body) {
    return run_until(base.get(), [&] {
      TestClient new_client(base.get(), program.port());
      // Without headers for the request ID, the class and the timeout.
      return new_client.send_and_wait("GET /k/1 HTTP/1.1\r\nHost: h\r\n\r\n").body == body;
    });
  };
  write_list(Json::array({entry("n-a", server_a)}).dump());
  CHECK(is_served("a"));
  write_list("[{\"name\":");
  CHECK(run_until(base.get(), [&] { return program.output_contains("list-file-damaged"); }));
  CHECK(is_served("a"));
  write_list(Json{{"endpoints", Json::array({entry("n-b", server_b)})}}.dump());
  CHECK(is_served("b"));
  CHECK(program.output_contains("list-file-sound"));
}
