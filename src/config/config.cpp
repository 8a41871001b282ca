#include "config/config.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <optional>
#include <sstream>

#include "config/address.h"
#include "config/json.h"
#include "config/json_reader.h"

namespace fernward::config {
namespace {

std::string environment_value(EnvironmentLookup environment, const char* name) {
  const char* value = environment(name);
  return value == nullptr ? "" : value;
}

std::string read_required_address(const JsonObject& file, const char* key, EnvironmentLookup environment,
                                  const char* variable, bool prefer_file = false) {
  std::string value = prefer_file ? file.string_or_empty(key) : "";
  if (value.empty()) value = environment_value(environment, variable);
  const std::string source_name = prefer_file || value.empty() ? key : variable;
  if (value.empty()) file.read_optional(key, value);
  if (value.empty()) throw Error(std::string(key) + ": is missing (and so is " + variable + ")");
  sockaddr_in parsed{};
  if (!parse_address(value, parsed) && !(source_name == "listen" && unix_path(value)))
    throw Error(source_name + ": \"" + value + "\" is not an address of the form 10.0.0.4:7070");
  return value;
}

// The listen address of the admin port; empty: no listener.
std::string read_control_address(const JsonObject& file, EnvironmentLookup environment) {
  std::string value = environment_value(environment, "NODE_CONTROL");
  const char* source_name = value.empty() ? "control" : "NODE_CONTROL";
  if (value.empty()) file.read_optional("control", value);
  sockaddr_in parsed{};
  if (!value.empty() && !parse_address(value, parsed))
    throw Error(std::string(source_name) + ": \"" + value + "\" is not an address of the form 10.0.0.4:7071");
  return value;
}

// The socket is in the platform's folder for this router, which both processes can access. Its name contains
// the listen address, as two routers may share a folder.
std::string make_hot_restart_path(const Config& config, EnvironmentLookup environment) {
  const std::string folder = environment_value(environment, "TMPDIR");
  if (config.control_address.empty() || folder.empty() || config.listen_address.ends_with(":0")) return "";
  std::string name = config.listen_address;
  std::replace_if(
      name.begin(), name.end(), [](char c) { return c == ':' || c == '/'; }, '_');
  return folder + "/fernward-" + name + ".sock";
}

std::uint64_t read_seed(const JsonObject& file) {
  const auto found = file.json.find("seed");
  if (found == file.json.end() || found->is_null()) return 1;
  if (found->is_number_unsigned()) return found->get<std::uint64_t>();
  const std::string text = file.string_or_empty("seed");
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
    throw Error("seed: \"" + text + "\" is not a hexadecimal number of up to 16 digits");
  }
  return seed;
}

std::vector<Mapping> read_mappings(const JsonObject& file) {
  std::vector<Mapping> result;
  for (const JsonObject& entry : file.object_list("map")) {
    Mapping& mapping = result.emplace_back();
    entry.read_required("path", mapping.path_prefix);
    entry.read_optional("method", mapping.method);
    entry.read_optional("class", mapping.class_name);
    entry.read_optional("tenant", mapping.tenant_name);
    entry.read_range("timeout", mapping.client_timeout_ms);
  }
  return result;
}

LogSettings read_log_settings(const JsonObject& log_json) {
  LogSettings settings;
  settings.json = log_json.string_or_empty("format") == "json";
  log_json.read_optional("connections", settings.log_connections);
  log_json.read_range("per_second", settings.lines_per_s);
  log_json.read_range("burst", settings.burst_lines);
  return settings;
}

Config parse_file(const std::string& text, EnvironmentLookup environment, bool reloading) {
  JsonObject file;
  file.json = parse_json(text);
  if (file.json.is_discarded()) throw Error("NODE_CONFIG: the file is not JSON, or nested too deeply");
  if (!file.json.is_object()) throw Error("NODE_CONFIG: the file must contain a JSON object");

  Config config;
  config.name = environment_value(environment, "NODE_NAME");
  if (config.name.empty()) file.read_optional("name", config.name);
  if (config.name.empty()) config.name = "fernward";
  config.listen_address = read_required_address(file, "listen", environment, "NODE_LISTEN");
  config.control_address = read_control_address(file, environment);
  config.hot_restart_path = make_hot_restart_path(config, environment);
  file.read_optional("nodes_file", config.nodes_file);
  file.read_optional("nodes_fixed", config.static_nodes);
  if (config.nodes_file.empty() && !config.static_nodes) {
    config.discovery_address =
        read_required_address(file, "discovery", environment, "NODE_DISCOVERY", reloading);
  }
  config.mappings = read_mappings(file);
  file.read_optional("make_ids", config.generate_request_ids);
  config.log = read_log_settings(file.optional_object("log"));
  file.read_optional("movable", config.reloadable);
  config.seed = read_seed(file);
  const JsonObject limits = file.optional_object("limits");
  if (limits.json.contains("sockets")) limits.read_count("sockets", config.max_descriptors);
  if (limits.json.contains("memory_mb")) limits.read_count("memory_mb", config.memory_mb, 8);
  if (limits.json.contains("answer_bytes")) limits.read_count("answer_bytes", config.max_response_bytes, 1);
  if (limits.json.contains("request_bytes")) limits.read_count("request_bytes", config.max_request_bytes, 1);
  if (limits.json.contains("body_folder_mb")) limits.read_count("body_folder_mb", config.spill_limit_mb, 1);
  if (limits.json.contains("reuse_delay_ms")) limits.read_count("reuse_delay_ms", config.reuse_delay_ms);
  limits.read_optional("body_folder", config.spill_folder);
  if (config.max_descriptors < 64) throw Error("limits.sockets: must be 64 or more");
  if (const auto known = file.json.find("known"); known != file.json.end() && !known->is_null()) {
    if (!known->is_object()) throw Error("known: must be an object");
    config.known_endpoints = *known;
  }
  const JsonObject settings = file.required_object("settings");
  try {
    config.settings = parse_settings(settings.json);
    config.names = parse_names(settings.json);
    config.limits = parse_limits(settings.json);
    fernward::validate(config.settings);
  } catch (const Error& error) {
    throw Error("settings." + std::string(error.what()));
  } catch (const std::invalid_argument& error) {
    throw Error(error.what());
  }
  config.static_keys = std::move(file.json);
  for (const char* key : {"discovery", "known", "seed"}) config.static_keys.erase(key);
  return config;
}

std::string read_file(EnvironmentLookup environment) {
  const std::string path = environment_value(environment, "NODE_CONFIG");
  if (path.empty()) throw Error("NODE_CONFIG: is not set");
  std::ifstream file(path, std::ios::binary);
  if (!file) throw Error("NODE_CONFIG: cannot read " + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace

Config parse(const std::string& text, EnvironmentLookup environment) {
  return parse_file(text, environment, false);
}
Config load(EnvironmentLookup environment) { return parse_file(read_file(environment), environment, false); }
Config reload(EnvironmentLookup environment) { return parse_file(read_file(environment), environment, true); }

namespace {

// Appends the new names of `next` to `current`. A name absent from `next` keeps its index but gets a leading
// newline, which no header can carry. `source_index`: for each name of the result its index in `next`, or
// none.
std::vector<std::string> merge_names(const std::vector<std::string>& current,
                                     const std::vector<std::string>& next,
                                     std::vector<std::optional<std::size_t>>& source_index) {
  std::vector<std::string> result;
  for (const std::string& name : current) {
    const auto found = std::find(next.begin(), next.end(), name);
    source_index.push_back(found == next.end()
                               ? std::nullopt
                               : std::optional<std::size_t>(static_cast<std::size_t>(found - next.begin())));
    result.push_back(found == next.end() ? "\n" + name : name);
  }
  for (std::size_t i = 0; i < next.size(); ++i) {
    if (std::find(current.begin(), current.end(), next[i]) != current.end()) continue;
    // A name that was removed before and returns gets its old index.
    const auto restored = std::find(result.begin(), result.end(), "\n\n" + next[i]);
    if (restored != result.end()) {
      *restored = next[i];
      source_index[static_cast<std::size_t>(restored - result.begin())] = i;
      continue;
    }
    result.push_back(next[i]);
    source_index.push_back(i);
  }
  for (std::string& name : result) {
    if (name.starts_with("\n\n")) name.erase(0, 1); // removed in an earlier reload
  }
  return result;
}

// Whether a reload may change the key. `path`: a JSON pointer in the platform file.
bool is_reloadable(const std::string& path) {
  for (const char* prefix :
       {"/map", "/make_ids", "/log", "/nodes_file", "/nodes_fixed", "/settings/classes", "/settings/parties",
        "/settings/limits/max_attempts", "/settings/limits/may_cancel", "/settings/limits/may_duplicate",
        "/settings/limits/retry_after", "/settings/limits/max_retry_after", "/settings/over_share_worth"}) {
    if (path == prefix || path.starts_with(std::string(prefix) + "/")) return true;
  }
  return false;
}

} // namespace

Config merge_reloaded(const Config& current, Config next) {
  for (const auto& change : nlohmann::json::diff(current.static_keys, next.static_keys)) {
    std::string path = change.at("path").get<std::string>();
    if (is_reloadable(path)) continue;
    std::replace(path.begin(), path.end(), '/', '.');
    throw Error(path.substr(1) + ": holds until the next start");
  }
  std::vector<std::optional<std::size_t>> source_index;
  next.names.classes = merge_names(current.names.classes, next.names.classes, source_index);
  std::vector<fernward::ClassSettings> classes;
  for (std::size_t i = 0; i < source_index.size(); ++i) {
    classes.push_back(source_index[i] ? next.settings.classes[*source_index[i]]
                                      : current.settings.classes[i]);
  }
  next.settings.classes = std::move(classes);
  source_index.clear();
  next.names.tenants = merge_names(current.names.tenants, next.names.tenants, source_index);
  std::vector<fernward::TenantSettings> tenants;
  for (std::size_t i = 0; i < source_index.size(); ++i) {
    tenants.push_back(source_index[i] ? next.settings.tenants[*source_index[i]] : fernward::TenantSettings());
  }
  next.settings.tenants = std::move(tenants);
  return next;
}

std::vector<std::string> non_reloadable_changes(const Config& before, const Config& after) {
  std::vector<std::string> keys;
  for (const auto& change : nlohmann::json::diff(before.static_keys, after.static_keys)) {
    std::string key = change.at("path").get<std::string>().substr(1);
    std::replace(key.begin(), key.end(), '/', '.');
    keys.push_back(std::move(key));
  }
  return keys;
}

} // namespace fernward::config
