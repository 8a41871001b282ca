// fernward config: creates, checks, explains and compares application files, and renders them as platform
// JSON.
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>

#include "app_config/explain.h"
#include "app_config/host_checks.h"
#include "app_config/new_config.h"
#include "app_config/render.h"
#include "app_config/schema.h"
#include "commands/command.h"
#include "commands/common.h"

namespace fernward::commands {
namespace {

using namespace arguments;
using nlohmann::ordered_json;

std::vector<std::string> parse_files(cxxopts::Options& options, const Arguments& args,
                                     cxxopts::ParseResult& parsed, std::size_t min_count,
                                     std::size_t max_count, const char* usage) {
  options.add_options()("files", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"files"});
  options.positional_help(usage);
  parsed = parse(options, args);
  std::vector<std::string> paths;
  if (parsed.count("files") > 0) paths = parsed["files"].as<std::vector<std::string>>();
  if (paths.size() < min_count || paths.size() > max_count)
    throw UsageError(std::string("expected arguments: ") + usage);
  return paths;
}

ordered_json diagnostic_json(const toml_document::Diagnostic& diagnostic, const char* severity) {
  return {{"file", diagnostic.position.file},
          {"line", diagnostic.position.line},
          {"column", diagnostic.position.column},
          {"severity", severity},
          {"code", diagnostic.code},
          {"key", diagnostic.key},
          {"message", diagnostic.message}};
}

int check(const Arguments& args) {
  cxxopts::Options options(
      "fernward config check",
      "Report every error of files, with file, line, column and code. Exits with 1 if there is one");
  options.add_options()("format", "text or json", cxxopts::value<std::string>()->default_value("text"))(
      "elsewhere", "The file is for another host: skip the checks against this host")(
      "strict", "Treat warnings as errors");
  cxxopts::ParseResult parsed;
  const auto paths = parse_files(options, args, parsed, 1, 1000, "FILE...");
  const std::string format = parsed["format"].as<std::string>();
  if (format != "text" && format != "json") throw UsageError("--format must be text or json");
  bool all_valid = true;
  ordered_json diagnostics = ordered_json::array();
  for (const std::string& path : paths) {
    app_config::LoadedConfig config = app_config::load_config(path, &environment_variable);
    if (parsed.count("elsewhere") == 0 && config.valid()) app_config::check_host(config, path);
    all_valid = all_valid && config.valid() && (parsed.count("strict") == 0 || config.warnings.empty());
    if (format == "json") {
      for (const auto& diagnostic : config.errors)
        diagnostics.push_back(diagnostic_json(diagnostic, "error"));
      for (const auto& diagnostic : config.warnings)
        diagnostics.push_back(diagnostic_json(diagnostic, "warning"));
      continue;
    }
    for (const auto& diagnostic : config.errors)
      std::printf("%s\n", diagnostic.to_string_with_code().c_str());
    for (const auto& diagnostic : config.warnings)
      std::printf("%s (warning)\n", diagnostic.to_string_with_code().c_str());
    if (config.valid()) std::printf("%s: sound\n", path.c_str());
  }
  if (format == "json")
    std::printf("%s\n", diagnostics.dump(1, ' ', false, ordered_json::error_handler_t::replace).c_str());
  return all_valid ? kSuccess : kFailure;
}

int explain(const Arguments& args) {
  cxxopts::Options options(
      "fernward config explain",
      "Print every effective value, its source, and the resulting behavior of the router");
  options.add_options()("format", "text or json", cxxopts::value<std::string>()->default_value("text"));
  cxxopts::ParseResult parsed;
  const auto paths = parse_files(options, args, parsed, 1, 1, "FILE");
  const app_config::LoadedConfig config = app_config::load_config(paths.front(), &environment_variable);
  if (!print_errors(config)) return kFailure;
  const auto values = app_config::explain_values(config);
  if (parsed["format"].as<std::string>() == "json") {
    ordered_json entries = ordered_json::array();
    for (const auto& value : values)
      entries.push_back({{"key", value.key}, {"value", value.value}, {"from", value.source}});
    std::printf("%s\n", entries.dump(1).c_str());
    return kSuccess;
  }
  if (!config.active_profile.empty()) std::printf("profile %s is active\n\n", config.active_profile.c_str());
  std::size_t key_width = 0, value_width = 0;
  for (const auto& value : values) {
    key_width = std::max(key_width, value.key.size());
    value_width = std::min<std::size_t>(40, std::max(value_width, value.value.size()));
  }
  for (const auto& value : values) {
    std::printf("%-*s  %-*s  %s\n", static_cast<int>(key_width), value.key.c_str(),
                static_cast<int>(value_width), value.value.c_str(), value.source.c_str());
  }
  std::printf("\n%s", app_config::describe_behavior(config.app).c_str());
  return kSuccess;
}

int diff(const Arguments& args) {
  cxxopts::Options options("fernward config diff",
                           "What a new file changes, and whether a reload (SIGHUP) applies it. Exits with 1 "
                           "if a file has an error");
  cxxopts::ParseResult parsed;
  const auto paths = parse_files(options, args, parsed, 2, 2, "OLD NEW");
  const app_config::LoadedConfig before = app_config::load_config(paths[0], &environment_variable),
                                 after = app_config::load_config(paths[1], &environment_variable);
  const bool before_valid = print_errors(before),
             after_valid = print_errors(after); // both, so that the errors of each file are printed
  if (!before_valid || !after_valid) return kFailure;
  bool all_reloadable = true;
  const auto changes = app_config::compare(before.app, after.app);
  for (const auto& change : changes) {
    all_reloadable = all_reloadable && change.reloadable;
    std::printf(
        "%s: %s -> %s (%s)\n", change.key.c_str(), change.before.empty() ? "absent" : change.before.c_str(),
        change.after.empty() ? "absent" : change.after.c_str(), change.reloadable ? "reload" : "restart");
  }
  std::printf("%s\n", changes.empty()  ? "nothing changes"
                      : all_reloadable ? "a reload applies all changes"
                                       : "a restart is needed: a reload is rejected and applies nothing");
  return kSuccess;
}

int render(const Arguments& args) {
  cxxopts::Options options("fernward config render", "Print the file as platform JSON");
  cxxopts::ParseResult parsed;
  const auto paths = parse_files(options, args, parsed, 1, 1, "FILE");
  const app_config::LoadedConfig config = app_config::load_config(paths.front(), &environment_variable);
  if (!print_errors(config)) return kFailure;
  std::printf("%s\n", app_config::to_platform_json(config.app)
                          .dump(1, ' ', false, nlohmann::json::error_handler_t::replace)
                          .c_str());
  return kSuccess;
}

std::string prompt(const std::string& question, const std::string& default_value) {
  std::printf("%s [%s]: ", question.c_str(), default_value.c_str());
  std::fflush(stdout);
  std::string answer;
  if (!std::getline(std::cin, answer)) throw std::runtime_error("no answer on standard input");
  return answer.empty() ? default_value : answer;
}

int create(const Arguments& args) {
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
  const auto parsed = parse(options, args);
  const auto option_text = [&](const char* option, std::string default_value) {
    return parsed.count(option) > 0 ? parsed[option].as<std::string>() : default_value;
  };
  app_config::NewConfigOptions new_options;
  new_options.name = option_text("name", new_options.name);
  new_options.listen_address = option_text("listen", new_options.listen_address);
  new_options.discovery_address = option_text("discovery", "");
  new_options.nodes_file = option_text("nodes-file", "");
  new_options.origin_address = option_text("ledger", "");
  new_options.has_origin = parsed.count("no-ledger") == 0;
  if (parsed.count("node") > 0) new_options.node_addresses = parsed["node"].as<std::vector<std::string>>();
  std::string out_path = option_text("out", "");
  if (args.empty() && isatty(STDIN_FILENO) == 1) {
    new_options.name = prompt("name of the application", new_options.name);
    new_options.listen_address = prompt("listen address of the router", new_options.listen_address);
    const std::string source = prompt("source of nodes: an address, a file's path, or \"list\"", "list");
    if (source == "list") {
      for (std::string node;
           !(node = prompt("address of a node, or \"end\"", "end")).empty() && node != "end";)
        new_options.node_addresses.push_back(node);
      const std::string origin_address = prompt("address of the ledger, or \"none\"", "none");
      if (origin_address != "none") new_options.origin_address = origin_address;
    } else {
      (source.find('/') == std::string::npos ? new_options.discovery_address : new_options.nodes_file) =
          source;
    }
    out_path = prompt("file", new_options.name + ".toml");
  }
  const int source_count = !new_options.discovery_address.empty() + !new_options.nodes_file.empty() +
                           !new_options.node_addresses.empty();
  if (source_count != 1)
    throw UsageError("nodes come from one source: set one of --discovery, --nodes-file and --node");
  const std::string file_text = app_config::new_config_text(new_options);
  const app_config::LoadedConfig checked =
      app_config::parse_config(file_text, out_path.empty() ? "(new)" : out_path, nullptr);
  if (!print_errors(checked)) return kFailure;
  if (out_path.empty()) {
    std::printf("%s", file_text.c_str());
    return kSuccess;
  }
  if (parsed.count("force") == 0 && std::filesystem::exists(out_path))
    throw std::runtime_error(out_path + " already exists; --force overwrites it");
  app_config::write_atomically(out_path, file_text);
  std::printf("wrote %s; next: fernward config check %s\n", out_path.c_str(), out_path.c_str());
  return kSuccess;
}

int schema(const Arguments& args) {
  cxxopts::Options options("fernward config schema", "Print the keys as a JSON schema, for editors");
  parse(options, args);
  std::printf("%s\n", app_config::json_schema().dump(1).c_str());
  return kSuccess;
}

int reference(const Arguments& args) {
  cxxopts::Options options("fernward config reference", "Print all keys and codes as Markdown");
  parse(options, args);
  std::printf("## Keys\n\n%s\n## Codes\n\n%s", app_config::markdown_reference().c_str(),
              app_config::markdown_code_reference().c_str());
  return kSuccess;
}

} // namespace

int config(const Arguments& args) {
  return run_command("fernward config", "the configuration file of one application",
                     {{"new", "create a file", &create},
                      {"check", "report every error", &check},
                      {"explain", "print every value, its source and the resulting behavior", &explain},
                      {"diff", "what another file changes", &diff},
                      {"render", "the platform's JSON", &render},
                      {"schema", "a JSON schema of the keys", &schema},
                      {"reference", "all keys and codes", &reference}},
                     args);
}

} // namespace fernward::commands
