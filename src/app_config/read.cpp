#include "app_config/read.h"

#include <algorithm>
#include <set>

#include "app_config/keys.h"
#include "app_config/semantic_checks.h"
#include "toml_document/reader.h"
#include "toml_document/value.h"

namespace fernward::app_config {
namespace {

using toml_document::Diagnostic;
using toml_document::Layer;
using toml_document::SourceTable;

const std::set<std::string> kNonMemberKeys{"include", "profile", "profiles"};

std::string environment_value(EnvironmentLookup environment, const char* name) {
  const char* value = environment == nullptr ? nullptr : environment(name);
  return value == nullptr ? "" : value;
}

const toml::table* profiles_table(const Layer& layer) {
  const toml::node* node = layer.table.get("profiles");
  return node == nullptr ? nullptr : node->as_table();
}

struct Profile {
  std::string name;
  const toml::table* table = nullptr;
  const Layer* layer = nullptr;
};

// Collects the profiles of all files; reports entries that are not valid profiles.
std::vector<Profile> collect_profiles(const toml_document::Layers& layers,
                                      toml_document::Diagnostics& errors) {
  std::vector<Profile> result;
  for (const auto& layer : layers) {
    const toml::node* node = layer->table.get("profiles");
    if (node != nullptr && !node->is_table()) {
      errors.push_back(
          {toml_document::position_of(node->source(), *layer), "profiles", "must be a table", "type"});
    }
    const toml::table* table = profiles_table(*layer);
    if (table == nullptr) continue;
    for (const auto& [key, entry] : *table) {
      const std::string name(key.str());
      if (!entry.is_table()) {
        errors.push_back({toml_document::position_of(entry.source(), *layer), "profiles." + name,
                          "must be a table", "type"});
        continue;
      }
      for (const std::string& reserved_key : kNonMemberKeys) {
        const toml::node* unexpected = entry.as_table()->get(reserved_key);
        if (unexpected == nullptr) continue;
        errors.push_back({toml_document::position_of(unexpected->source(), *layer),
                          "profiles." + name + "." + reserved_key, "is not allowed in a profile",
                          "unknown-key"});
      }
      result.push_back({name, entry.as_table(), layer.get()});
    }
  }
  return result;
}

// The name of the active profile; empty: none.
std::string select_profile(const toml_document::Layers& layers, const std::vector<Profile>& profiles,
                           EnvironmentLookup environment, LoadedConfig& config) {
  std::string name = environment_value(environment, "FERNWARD_PROFILE");
  toml_document::Position position{layers.front()->file};
  if (!name.empty()) config.environment_variables["profile"] = "FERNWARD_PROFILE";
  for (const auto& layer : layers) {
    const toml::node* node = layer->table.get("profile");
    if (node == nullptr) continue;
    const auto text = node->value_exact<std::string>();
    if (!text || text->empty()) {
      config.errors.push_back({toml_document::position_of(node->source(), *layer), "profile",
                               "must be the name of a profile, in quotes", "type"});
    } else if (name.empty()) {
      name = *text;
      position = toml_document::position_of(node->source(), *layer);
    }
  }
  const auto has_name = [&](const Profile& profile) { return profile.name == name; };
  if (name.empty() || std::any_of(profiles.begin(), profiles.end(), has_name)) return name;
  std::vector<std::string> names;
  names.reserve(profiles.size());
  for (const Profile& profile : profiles) names.push_back(profile.name);
  const std::string suggestion = toml_document::closest_match(name, names);
  config.errors.push_back({std::move(position), "profile",
                           "there is no profile " + toml_document::quoted_excerpt(name) +
                               (suggestion.empty() ? "" : "; is \"" + suggestion + "\" meant?"),
                           "unknown-name"});
  return "";
}

// Checks the form of inactive profiles too, as they may be activated later. Missing keys and unknown names
// are ignored: they depend on the other sources.
void check_inactive_profiles(const std::vector<Profile>& profiles, const std::string& active_profile,
                             const AppConfig& app, toml_document::Diagnostics& errors) {
  for (const Profile& profile : profiles) {
    if (profile.name == active_profile) continue;
    AppConfig profile_app = app;
    toml_document::Diagnostics profile_errors;
    toml_document::Positions positions;
    const AppConfigNames names(profile_app);
    toml_document::Reader reader({{profile.table, profile.layer}}, names, profile_errors, positions,
                                 kNonMemberKeys);
    describe(reader, profile_app);
    reader.finish();
    for (Diagnostic& error : profile_errors) {
      if (error.code == "missing" || error.code == "unknown-name") continue;
      error.key = "profiles." + profile.name + "." + error.key;
      errors.push_back(std::move(error));
    }
  }
}

} // namespace

toml_document::Position member_position(const LoadedConfig& config, std::string member,
                                        const std::string& file) {
  while (!member.empty()) {
    if (const auto found = config.positions.find(member); found != config.positions.end())
      return found->second;
    const std::size_t separator = member.find_last_of(".[");
    member = separator == std::string::npos ? "" : member.substr(0, separator);
  }
  return {file, 1, 1};
}

LoadedConfig parse_config(std::string_view text, const std::string& file, EnvironmentLookup environment,
                          const toml_document::FileLoader& load) {
  LoadedConfig config;
  toml_document::Layers layers;
  const bool parsed =
      toml_document::parse_layers(std::string(text), file, "include", load, config.errors, layers);
  for (const auto& layer : layers) config.files_read.push_back(layer->file);
  if (!parsed) {
    toml_document::sort_and_limit(config.errors);
    return config;
  }
  const std::vector<Profile> profiles = collect_profiles(layers, config.errors);
  config.active_profile = select_profile(layers, profiles, environment, config);
  std::vector<SourceTable> sources{{&layers.front()->table, layers.front().get()}};
  for (const Profile& profile : profiles) {
    if (!config.active_profile.empty() && profile.name == config.active_profile)
      sources.push_back({profile.table, profile.layer});
  }
  for (std::size_t i = 1; i < layers.size(); ++i) sources.push_back({&layers[i]->table, layers[i].get()});

  const AppConfigNames names(config.app);
  // Keys given by the environment are not required in the file.
  toml::table environment_table;
  for (const auto& [name, member] : {std::pair("NODE_NAME", "name"), {"NODE_LISTEN", "listen"}}) {
    const std::string value = environment_value(environment, name);
    if (value.empty()) continue;
    environment_table.insert(member, value);
    config.environment_variables[member] = name;
  }
  if (const std::string value = environment_value(environment, "NODE_DISCOVERY"); !value.empty()) {
    environment_table.insert("fleet", toml::table{{"discovery", value}});
    config.environment_variables["fleet.discovery"] = "NODE_DISCOVERY";
  }
  const Layer environment_layer{"(environment)", {}};
  sources.insert(sources.begin(), {&environment_table, &environment_layer});
  toml_document::Reader reader(std::move(sources), names, config.errors, config.positions, kNonMemberKeys);
  describe(reader, config.app);
  const std::set<std::string> invalid_members = reader.finish();
  for (Diagnostic& error : config.errors) {
    if (error.position.file.empty() ||
        (error.position.file == environment_layer.file && error.code == "missing")) {
      error.position = {file, 1, 1}; // a table that no file contains
    }
  }
  check_inactive_profiles(profiles, config.active_profile, config.app, config.errors);
  check_semantics(config, file, invalid_members);
  toml_document::sort_and_limit(config.errors);
  toml_document::sort_and_limit(config.warnings);
  return config;
}

toml_document::Diagnostic unreadable_file(const std::string& path) {
  Diagnostic error;
  error.position.file = path;
  error.key = "(file)";
  error.message = "can't be read, or is over 1 MiB";
  error.code = "unreadable";
  return error;
}

LoadedConfig load_config(const std::string& path, EnvironmentLookup environment) {
  if (const auto text = toml_document::load_file(path)) return parse_config(*text, path, environment);
  LoadedConfig config;
  config.errors.push_back(unreadable_file(path));
  return config;
}

} // namespace fernward::app_config
