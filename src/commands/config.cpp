// fernward config: an application's file, written, checked, explained, compared, and turned into the
// platform's JSON.
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
  if (names.size() < least || names.size() > most) throw UsageError(std::string("wanted: ") + wanted);
  return names;
}

ordered_json json_of(const toml_document::Fault& f, const char* severity) {
  return {{"file", f.at.file}, {"line", f.at.line}, {"column", f.at.column}, {"severity", severity},
          {"code", f.code},    {"key", f.key},      {"message", f.why}};
}

int check(const Arguments& given) {
  cxxopts::Options options(
      "fernward config check",
      "Name every fault of files, by file, line, column and code. Ends with 1 where there is one");
  options.add_options()("format", "text or json", cxxopts::value<std::string>()->default_value("text"))(
      "elsewhere", "The file is for another host: nothing is held against this one")(
      "strict", "Warnings count as faults");
  cxxopts::ParseResult parsed;
  const auto names = files(options, given, parsed, 1, 1000, "FILE...");
  const std::string format = parsed["format"].as<std::string>();
  if (format != "text" && format != "json") throw UsageError("--format is text or json");
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
  cxxopts::Options options("fernward config explain",
                           "Every value that counts, where it came from, and what the router will do");
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
  if (!setup.profile.empty()) std::printf("profile %s counts\n\n", setup.profile.c_str());
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
                           "What a new file changes, and whether a reload (SIGHUP) takes it. Ends with 1 "
                           "where a file has a fault");
  cxxopts::ParseResult parsed;
  const auto names = files(options, given, parsed, 2, 2, "OLD NEW");
  const app_config::Setup before = app_config::read_file(names[0], &environment),
                          after = app_config::read_file(names[1], &environment);
  const bool before_sound = tell(before), after_sound = tell(after); // the faults of both are shown
  if (!before_sound || !after_sound) return kBad;
  bool by_reload = true;
  const auto changes = app_config::changes(before.app, after.app);
  for (const auto& c : changes) {
    by_reload = by_reload && c.by_reload;
    std::printf("%s: %s -> %s (%s)\n", c.key.c_str(), c.before.empty() ? "absent" : c.before.c_str(),
                c.after.empty() ? "absent" : c.after.c_str(), c.by_reload ? "reload" : "restart");
  }
  std::printf("%s\n", changes.empty() ? "nothing changes"
                      : by_reload     ? "a reload takes all of it"
                                      : "a restart is needed: a reload is refused whole");
  return kWell;
}

int render(const Arguments& given) {
  cxxopts::Options options("fernward config render", "The file as the platform's JSON");
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
  if (!std::getline(std::cin, answer)) throw std::runtime_error("no answer");
  return answer.empty() ? otherwise : answer;
}

int fresh(const Arguments& given) {
  cxxopts::Options options("fernward config new",
                           "Write a file for one application, which passes `check`. Without options it asks");
  options.add_options()("name", "Of the application", cxxopts::value<std::string>())(
      "listen", "Where it asks, such as 127.0.0.1:7070 or unix:/run/app/router.sock",
      cxxopts::value<std::string>())("discovery", "An address that tells the nodes",
                                     cxxopts::value<std::string>())("nodes-file", "A file that tells them",
                                                                    cxxopts::value<std::string>())(
      "node", "Or the address of a node; may be given again", cxxopts::value<std::vector<std::string>>())(
      "ledger", "And of the ledger", cxxopts::value<std::string>())(
      "no-ledger", "Nodes answer everything themselves")("out", "The file; without it it is printed",
                                                         cxxopts::value<std::string>())(
      "force", "Write over a file that is there");
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
    wishes.listen = ask("where it asks", wishes.listen);
    const std::string source = ask("where nodes are told: an address, a file's path, or \"list\"", "list");
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
  if (sources != 1) throw UsageError("nodes come from one source: give --discovery, --nodes-file or --node");
  const std::string made = app_config::fresh(wishes);
  const app_config::Setup read = app_config::read(made, out.empty() ? "(new)" : out, nullptr);
  if (!tell(read)) return kBad;
  if (out.empty()) {
    std::printf("%s", made.c_str());
    return kWell;
  }
  if (parsed.count("force") == 0 && std::filesystem::exists(out))
    throw std::runtime_error(out + " is there already; --force writes over it");
  app_config::save(out, made);
  std::printf("%s is written; next: fernward config check %s\n", out.c_str(), out.c_str());
  return kWell;
}

int schema(const Arguments& given) {
  cxxopts::Options options("fernward config schema", "The keys as a JSON schema, for editors");
  parse(options, given);
  std::printf("%s\n", app_config::schema().dump(1).c_str());
  return kWell;
}

int reference(const Arguments& given) {
  cxxopts::Options options("fernward config reference", "Every key and every code, as Markdown");
  parse(options, given);
  std::printf("## Keys\n\n%s\n## Codes\n\n%s", app_config::reference().c_str(),
              app_config::code_reference().c_str());
  return kWell;
}

} // namespace

int config(const Arguments& given) {
  return run("fernward config", "one application's file",
             {{"new", "write one", &fresh},
              {"check", "name every fault", &check},
              {"explain", "every value, where it came from, and what follows", &explain},
              {"diff", "what another file changes", &diff},
              {"render", "the platform's JSON", &render},
              {"schema", "a JSON schema of the keys", &schema},
              {"reference", "all keys and codes", &reference}},
             given);
}

} // namespace fernward::commands
