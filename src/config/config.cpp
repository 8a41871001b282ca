#include "config/config.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <optional>
#include <sstream>

#include "config/address.h"
#include "config/json.h"
#include "config/read.h"

namespace fernward::config {
namespace {

std::string from_environment(Lookup environment, const char* name) {
  const char* value = environment(name);
  return value == nullptr ? "" : value;
}

std::string address(const Part& file, const char* key, Lookup environment, const char* variable,
                    bool file_first = false) {
  std::string value = file_first ? file.word(key) : "";
  if (value.empty()) value = from_environment(environment, variable);
  const std::string named = file_first || value.empty() ? key : variable;
  if (value.empty()) file.read(key, value);
  if (value.empty()) throw Error(std::string(key) + ": is missing (and so is " + variable + ")");
  sockaddr_in where{};
  if (!parse_address(value, where) && !(named == "listen" && unix_path(value)))
    throw Error(named + ": \"" + value + "\" is not an address of the form 10.0.0.4:7070");
  return value;
}

// The listen address of the admin port; empty: no listener.
std::string control_address(const Part& file, Lookup environment) {
  std::string value = from_environment(environment, "NODE_CONTROL");
  const char* named = value.empty() ? "control" : "NODE_CONTROL";
  if (value.empty()) file.read("control", value);
  sockaddr_in where{};
  if (!value.empty() && !parse_address(value, where))
    throw Error(std::string(named) + ": \"" + value + "\" is not an address of the form 10.0.0.4:7071");
  return value;
}

// The socket is in the platform's folder for this router, which both processes can access. Its name contains
// the listen address, as two routers may share a folder.
std::string handover_path(const Config& config, Lookup environment) {
  const std::string folder = from_environment(environment, "TMPDIR");
  if (config.control.empty() || folder.empty() || config.listen.ends_with(":0")) return "";
  std::string name = config.listen;
  std::replace_if(
      name.begin(), name.end(), [](char c) { return c == ':' || c == '/'; }, '_');
  return folder + "/fernward-" + name + ".sock";
}

std::uint64_t seed_of(const Part& file) {
  const auto found = file.json.find("seed");
  if (found == file.json.end() || found->is_null()) return 1;
  if (found->is_number_unsigned()) return found->get<std::uint64_t>();
  const std::string text = file.word("seed");
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) {
    throw Error("seed: \"" + text + "\" is not a hexadecimal number of up to 16 digits");
  }
  return seed;
}

std::vector<Mapping> mappings(const Part& file) {
  std::vector<Mapping> all;
  for (const Part& entry : file.list("map")) {
    Mapping& m = all.emplace_back();
    entry.need("path", m.path);
    entry.read("method", m.method);
    entry.read("class", m.cls);
    entry.read("tenant", m.tenant);
    entry.range("timeout", m.timeout_ms);
  }
  return all;
}

LogRules log_rules(const Part& part) {
  LogRules rules;
  rules.json = part.word("format") == "json";
  part.read("connections", rules.connections);
  part.range("per_second", rules.per_second);
  part.range("burst", rules.burst);
  return rules;
}

Config parse_file(const std::string& text, Lookup environment, bool again) {
  Part file;
  file.json = parse_json(text);
  if (file.json.is_discarded()) throw Error("NODE_CONFIG: the file is not JSON, or nested too deeply");
  if (!file.json.is_object()) throw Error("NODE_CONFIG: the file must contain a JSON object");

  Config config;
  config.name = from_environment(environment, "NODE_NAME");
  if (config.name.empty()) file.read("name", config.name);
  if (config.name.empty()) config.name = "fernward";
  config.listen = address(file, "listen", environment, "NODE_LISTEN");
  config.control = control_address(file, environment);
  config.handover = handover_path(config, environment);
  file.read("nodes_file", config.nodes_file);
  file.read("nodes_fixed", config.nodes_fixed);
  if (config.nodes_file.empty() && !config.nodes_fixed) {
    config.discovery = address(file, "discovery", environment, "NODE_DISCOVERY", again);
  }
  config.map = mappings(file);
  file.read("make_ids", config.make_ids);
  config.log = log_rules(file.part("log"));
  file.read("movable", config.movable);
  config.seed = seed_of(file);
  const Part limits = file.part("limits");
  if (limits.json.contains("sockets")) limits.count("sockets", config.sockets);
  if (limits.json.contains("memory_mb")) limits.count("memory_mb", config.memory_mb, 8);
  if (limits.json.contains("answer_bytes")) limits.count("answer_bytes", config.answer_bytes, 1);
  if (limits.json.contains("request_bytes")) limits.count("request_bytes", config.request_bytes, 1);
  if (limits.json.contains("body_folder_mb")) limits.count("body_folder_mb", config.body_folder_mb, 1);
  limits.read("body_folder", config.body_folder);
  if (config.sockets < 64) throw Error("limits.sockets: must be 64 or more");
  if (const auto known = file.json.find("known"); known != file.json.end() && !known->is_null()) {
    if (!known->is_object()) throw Error("known: must be an object");
    config.known = *known;
  }
  const Part settings = file.needed_part("settings");
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
  config.fixed = std::move(file.json);
  for (const char* key : {"discovery", "known", "seed"}) config.fixed.erase(key);
  return config;
}

std::string read_file(Lookup environment) {
  const std::string path = from_environment(environment, "NODE_CONFIG");
  if (path.empty()) throw Error("NODE_CONFIG: is not set");
  std::ifstream file(path, std::ios::binary);
  if (!file) throw Error("NODE_CONFIG: cannot read " + path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

} // namespace

Config parse(const std::string& text, Lookup environment) { return parse_file(text, environment, false); }
Config load(Lookup environment) { return parse_file(read_file(environment), environment, false); }
Config reload(Lookup environment) { return parse_file(read_file(environment), environment, true); }

namespace {

// Appends the new names of `next` to `current`. A name absent from `next` keeps its index but gets a leading
// newline, which no header can carry. `source_index`: for each name of the result its index in `next`, or
// none.
std::vector<std::string> merged(const std::vector<std::string>& now, const std::vector<std::string>& next,
                                std::vector<std::optional<std::size_t>>& place) {
  std::vector<std::string> all;
  for (const std::string& name : now) {
    const auto found = std::find(next.begin(), next.end(), name);
    place.push_back(found == next.end()
                        ? std::nullopt
                        : std::optional<std::size_t>(static_cast<std::size_t>(found - next.begin())));
    all.push_back(found == next.end() ? "\n" + name : name);
  }
  for (std::size_t i = 0; i < next.size(); ++i) {
    if (std::find(now.begin(), now.end(), next[i]) != now.end()) continue;
    // A name that was removed before and returns gets its old index.
    const auto back = std::find(all.begin(), all.end(), "\n\n" + next[i]);
    if (back != all.end()) {
      *back = next[i];
      place[static_cast<std::size_t>(back - all.begin())] = i;
      continue;
    }
    all.push_back(next[i]);
    place.push_back(i);
  }
  for (std::string& name : all) {
    if (name.starts_with("\n\n")) name.erase(0, 1); // removed in an earlier reload
  }
  return all;
}

// Whether a reload may change the key. `path`: a JSON pointer in the platform file.
bool may_move(const std::string& path) {
  for (const char* part :
       {"/map", "/make_ids", "/log", "/nodes_file", "/nodes_fixed", "/settings/classes", "/settings/parties",
        "/settings/limits/max_attempts", "/settings/limits/may_cancel", "/settings/limits/may_duplicate",
        "/settings/limits/retry_after", "/settings/limits/max_retry_after", "/settings/over_share_worth"}) {
    if (path == part || path.starts_with(std::string(part) + "/")) return true;
  }
  return false;
}

} // namespace

Config moved(const Config& now, Config next) {
  for (const auto& change : nlohmann::json::diff(now.fixed, next.fixed)) {
    std::string path = change.at("path").get<std::string>();
    if (may_move(path)) continue;
    std::replace(path.begin(), path.end(), '/', '.');
    throw Error(path.substr(1) + ": holds until the next start");
  }
  std::vector<std::optional<std::size_t>> place;
  next.names.classes = merged(now.names.classes, next.names.classes, place);
  std::vector<fernward::ClassSettings> classes;
  for (std::size_t i = 0; i < place.size(); ++i) {
    classes.push_back(place[i] ? next.settings.classes[*place[i]] : now.settings.classes[i]);
  }
  next.settings.classes = std::move(classes);
  place.clear();
  next.names.tenants = merged(now.names.tenants, next.names.tenants, place);
  std::vector<fernward::TenantSettings> tenants;
  for (std::size_t i = 0; i < place.size(); ++i) {
    tenants.push_back(place[i] ? next.settings.tenants[*place[i]] : fernward::TenantSettings());
  }
  next.settings.tenants = std::move(tenants);
  return next;
}

std::vector<std::string> refused_changes(const Config& before, const Config& after) {
  std::vector<std::string> keys;
  for (const auto& change : nlohmann::json::diff(before.fixed, after.fixed)) {
    std::string key = change.at("path").get<std::string>().substr(1);
    std::replace(key.begin(), key.end(), '/', '.');
    keys.push_back(std::move(key));
  }
  return keys;
}

} // namespace fernward::config
