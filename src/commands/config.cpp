// fernward config: creates, checks, explains and compares application files, and renders them as platform
// JSON.
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>

#include "app_config/explain.h"
#include "app_config/fresh.h"
#include "app_config/host.h"
#include "app_config/render.h"
#include "app_config/schema.h"
#include "commands/command.h"
#include "commands/shared.h"

namespace fernward::commands {
namespace {

using namespace arguments;
using nlohmann::ordered_json;

std::vector<std::string> files(cxxopts::Options& options, const Arguments& given,
                               cxxopts::ParseResult& parsed, std::size_t least, std::size_t most,
                               const char* wanted) {
  options.add_options()("files", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"files"});
  options.positional_help(wanted);
  parsed = parse(options, given);
  std::vector<std::string> names;
  if (parsed.count("files") > 0) names = parsed["files"].as<std::vector<std::string>>();
  if (names.size() < least || names.size() > most)
    throw UsageError(std::string("expected arguments: ") + wanted);
  return names;
}

ordered_json json_of(const toml_document::Fault& f, const char* severity) {
  return {{"file", f.at.file}, {"line", f.at.line}, {"column", f.at.column}, {"severity", severity},
          {"code", f.code},    {"key", f.key},      {"message", f.why}};
}

int check(const Arguments& given) {
  cxxopts::Options options(
      "fernward config check",
      "Report every error of files, with file, line, column and code. Exits with 1 if there is one");
  options.add_options()("format", "text or json", cxxopts::value<std::string>()->default_value("text"))(
      "elsewhere", "The file is for another host: skip the checks against this host")(
      "strict", "Treat warnings as errors");
  cxxopts::ParseResult parsed;
  const auto names = files(options, given, parsed, 1, 1000, "FILE...");
  const std::string format = parsed["format"].as<std::string>();
  if (format != "text" && format != "json") throw UsageError("--format must be text or json");
  bool good = true;
  ordered_json all = ordered_json::array();
  for (const std::string& name : names) {
    app_config::Setup setup = app_config::read_file(name, &environment);
    if (parsed.count("elsewhere") == 0 && setup.sound()) app_config::check_host(setup, name);
    good = good && setup.sound() && (parsed.count("strict") == 0 || setup.warnings.empty());
    if (format == "json") {
      for (const auto& fault : setup.faults) all.push_back(json_of(fault, "error"));
      for (const auto& fault : setup.warnings) all.push_back(json_of(fault, "warning"));
      continue;
    }
    for (const auto& fault : setup.faults) std::printf("%s\n", fault.coded().c_str());
    for (const auto& fault : setup.warnings) std::printf("%s (warning)\n", fault.coded().c_str());
    if (setup.sound()) std::printf("%s: sound\n", name.c_str());
  }
  if (format == "json")
    std::printf("%s\n", all.dump(1, ' ', false, ordered_json::error_handler_t::replace).c_str());
  return good ? kWell : kBad;
}

int explain(const Arguments& given) {
  cxxopts::Options options(
      "fernward config explain",
      "Print every effective value, its source, and the resulting behavior of the router");
  options.add_options()("format", "text or json", cxxopts::value<std::string>()->default_value("text"));
  cxxopts::ParseResult parsed;
  const auto names = files(options, given, parsed, 1, 1, "FILE");
  const app_config::Setup setup = app_config::read_file(names.front(), &environment);
  if (!tell(setup)) return kBad;
  const auto values = app_config::values(setup);
  if (parsed["format"].as<std::string>() == "json") {
    ordered_json all = ordered_json::array();
    for (const auto& v : values) all.push_back({{"key", v.key}, {"value", v.value}, {"from", v.from}});
    std::printf("%s\n", all.dump(1).c_str());
    return kWell;
  }
  if (!setup.profile.empty()) std::printf("profile %s is active\n\n", setup.profile.c_str());
  std::size_t widest = 0, longest = 0;
  for (const auto& v : values) {
    widest = std::max(widest, v.key.size());
    longest = std::min<std::size_t>(40, std::max(longest, v.value.size()));
  }
  for (const auto& v : values) {
    std::printf("%-*s  %-*s  %s\n", static_cast<int>(widest), v.key.c_str(), static_cast<int>(longest),
                v.value.c_str(), v.from.c_str());
  }
  std::printf("\n%s", app_config::behaviour(setup.app).c_str());
  return kWell;
}

int diff(const Arguments& given) {
  cxxopts::Options options("fernward config diff",
                           "What a new file changes, and whether a reload (SIGHUP) applies it. Exits with 1 "
                           "if a file has an error");
  cxxopts::ParseResult parsed;
  const auto names = files(options, given, parsed, 2, 2, "OLD NEW");
  const app_config::Setup before = app_config::read_file(names[0], &environment),
                          after = app_config::read_file(names[1], &environment);
  const bool before_sound = tell(before), after_sound = tell(after); // print the errors of both files
  if (!before_sound || !after_sound) return kBad;
  bool by_reload = true;
  const auto changes = app_config::changes(before.app, after.app);
  for (const auto& c : changes) {
    by_reload = by_reload && c.by_reload;
    std::printf("%s: %s -> %s (%s)\n", c.key.c_str(), c.before.empty() ? "absent" : c.before.c_str(),
                c.after.empty() ? "absent" : c.after.c_str(), c.by_reload ? "reload" : "restart");
  }
  std::printf("%s\n", changes.empty() ? "nothing changes"
                      : by_reload     ? "a reload applies all changes"
                                      : "a restart is needed: a reload is rejected and applies nothing");
  return kWell;
}

int render(const Arguments& given) {
  cxxopts::Options options("fernward config render", "Print the file as platform JSON");
  cxxopts::ParseResult parsed;
  const auto names = files(options, given, parsed, 1, 1, "FILE");
  const app_config::Setup setup = app_config::read_file(names.front(), &environment);
  if (!tell(setup)) return kBad;
  std::printf(
      "%s\n",
      app_config::render(setup.app).dump(1, ' ', false, nlohmann::json::error_handler_t::replace).c_str());
  return kWell;
}

std::string ask(const std::string& question, const std::string& otherwise) {
  std::printf("%s [%s]: ", question.c_str(), otherwise.c_str());
  std::fflush(stdout);
  std::string answer;
  if (!std::getline(std::cin, answer)) throw std::runtime_error("no answer on standard input");
  return answer.empty() ? otherwise : answer;
}

int fresh(const Arguments& given) {
  cxxopts::Options options(
      "fernward config new",
      "Create a file for one application that passes `check`. Without options it prompts");
  options.add_options()("name", "Name of the application", cxxopts::value<std::string>())(
      "listen", "Listen address of the router, such as 127.0.0.1:7070 or unix:/run/app/router.sock",
      cxxopts::value<std::string>())("discovery", "Address of the discovery service",
                                     cxxopts::value<std::string>())("nodes-file", "File with the node list",
                                                                    cxxopts::value<std::string>())(
      "node", "Address of a node; may be repeated", cxxopts::value<std::vector<std::string>>())(
      "ledger", "Address of the ledger", cxxopts::value<std::string>())(
      "no-ledger", "There is no ledger: nodes serve all requests")(
      "out", "Output file; default: standard output", cxxopts::value<std::string>())(
      "force", "Overwrite an existing file");
  const auto parsed = parse(options, given);
  const auto text = [&](const char* option, std::string otherwise) {
    return parsed.count(option) > 0 ? parsed[option].as<std::string>() : otherwise;
  };
  app_config::Wishes wishes;
  wishes.name = text("name", wishes.name);
  wishes.listen = text("listen", wishes.listen);
  wishes.discovery = text("discovery", "");
  wishes.file = text("nodes-file", "");
  wishes.ledger = text("ledger", "");
  wishes.has_ledger = parsed.count("no-ledger") == 0;
  if (parsed.count("node") > 0) wishes.nodes = parsed["node"].as<std::vector<std::string>>();
  std::string out = text("out", "");
  if (given.empty() && isatty(STDIN_FILENO) == 1) {
    wishes.name = ask("name of the application", wishes.name);
    wishes.listen = ask("listen address of the router", wishes.listen);
    const std::string source = ask("source of nodes: an address, a file's path, or \"list\"", "list");
    if (source == "list") {
      for (std::string node; !(node = ask("address of a node, or \"end\"", "end")).empty() && node != "end";)
        wishes.nodes.push_back(node);
      const std::string ledger = ask("address of the ledger, or \"none\"", "none");
      if (ledger != "none") wishes.ledger = ledger;
    } else {
      (source.find('/') == std::string::npos ? wishes.discovery : wishes.file) = source;
    }
    out = ask("file", wishes.name + ".toml");
  }
  const int sources = !wishes.discovery.empty() + !wishes.file.empty() + !wishes.nodes.empty();
  if (sources != 1)
    throw UsageError("nodes come from one source: set one of --discovery, --nodes-file and --node");
  const std::string made = app_config::fresh(wishes);
  const app_config::Setup read = app_config::read(made, out.empty() ? "(new)" : out, nullptr);
  if (!tell(read)) return kBad;
  if (out.empty()) {
    std::printf("%s", made.c_str());
    return kWell;
  }
  if (parsed.count("force") == 0 && std::filesystem::exists(out))
    throw std::runtime_error(out + " already exists; --force overwrites it");
  app_config::save(out, made);
  std::printf("wrote %s; next: fernward config check %s\n", out.c_str(), out.c_str());
  return kWell;
}

int schema(const Arguments& given) {
  cxxopts::Options options("fernward config schema", "Print the keys as a JSON schema, for editors");
  parse(options, given);
  std::printf("%s\n", app_config::schema().dump(1).c_str());
  return kWell;
}

int reference(const Arguments& given) {
  cxxopts::Options options("fernward config reference", "Print all keys and codes as Markdown");
  parse(options, given);
  std::printf("## Keys\n\n%s\n## Codes\n\n%s", app_config::reference().c_str(),
              app_config::code_reference().c_str());
  return kWell;
}

} // namespace

int config(const Arguments& given) {
  return run("fernward config", "the configuration file of one application",
             {{"new", "create a file", &fresh},
              {"check", "report every error", &check},
              {"explain", "print every value, its source and the resulting behavior", &explain},
              {"diff", "what another file changes", &diff},
              {"render", "the platform's JSON", &render},
              {"schema", "a JSON schema of the keys", &schema},
              {"reference", "all keys and codes", &reference}},
             given);
}

} // namespace fernward::commands
