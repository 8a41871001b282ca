#include "app_config/read.h"

#include <algorithm>
#include <set>

#include "app_config/keys.h"
#include "app_config/sound.h"
#include "toml_document/reader.h"
#include "toml_document/value.h"

namespace fernward::app_config {
namespace {

using toml_document::Fault;
using toml_document::Layer;
using toml_document::Source;

const std::set<std::string> kApart{"include", "profile", "profiles"};

std::string variable(Environment environment, const char* name) {
  const char* value = environment == nullptr ? nullptr : environment(name);
  return value == nullptr ? "" : value;
}

const toml::table* profiles_of(const Layer& layer) {
  const toml::node* node = layer.table.get("profiles");
  return node == nullptr ? nullptr : node->as_table();
}

struct Profile {
  std::string name;
  const toml::table* table = nullptr;
  const Layer* layer = nullptr;
};

// Collects the profiles of all files; reports entries that are not valid profiles.
std::vector<Profile> profiles(const toml_document::Layers& layers, toml_document::Faults& faults) {
  std::vector<Profile> all;
  for (const auto& layer : layers) {
    const toml::node* node = layer->table.get("profiles");
    if (node != nullptr && !node->is_table()) {
      faults.push_back(
          {toml_document::position(node->source(), *layer), "profiles", "must be a table", "type"});
    }
    const toml::table* table = profiles_of(*layer);
    if (table == nullptr) continue;
    for (const auto& [key, entry] : *table) {
      const std::string name(key.str());
      if (!entry.is_table()) {
        faults.push_back(
            {toml_document::position(entry.source(), *layer), "profiles." + name, "must be a table", "type"});
        continue;
      }
      for (const std::string& apart : kApart) {
        const toml::node* stray = entry.as_table()->get(apart);
        if (stray == nullptr) continue;
        faults.push_back({toml_document::position(stray->source(), *layer), "profiles." + name + "." + apart,
                          "is not allowed in a profile", "unknown-key"});
      }
      all.push_back({name, entry.as_table(), layer.get()});
    }
  }
  return all;
}

// The name of the active profile; empty: none.
std::string chosen_profile(const toml_document::Layers& layers, const std::vector<Profile>& all,
                           Environment environment, Setup& setup) {
  std::string name = variable(environment, "FERNWARD_PROFILE");
  toml_document::Position at{layers.front()->file};
  if (!name.empty()) setup.variables["profile"] = "FERNWARD_PROFILE";
  for (const auto& layer : layers) {
    const toml::node* node = layer->table.get("profile");
    if (node == nullptr) continue;
    const auto text = node->value_exact<std::string>();
    if (!text || text->empty()) {
      setup.faults.push_back({toml_document::position(node->source(), *layer), "profile",
                              "must be the name of a profile, in quotes", "type"});
    } else if (name.empty()) {
      name = *text;
      at = toml_document::position(node->source(), *layer);
    }
  }
  const auto is = [&](const Profile& p) { return p.name == name; };
  if (name.empty() || std::any_of(all.begin(), all.end(), is)) return name;
  std::vector<std::string> names;
  names.reserve(all.size());
  for (const Profile& p : all) names.push_back(p.name);
  const std::string near = toml_document::nearest(name, names);
  setup.faults.push_back({std::move(at), "profile",
                          "there is no profile " + toml_document::shown(name) +
                              (near.empty() ? "" : "; is \"" + near + "\" meant?"),
                          "unknown-name"});
  return "";
}

// Checks the form of inactive profiles too, as they may be activated later. Missing keys and unknown names
// are ignored: they depend on the other sources.
void check_others(const std::vector<Profile>& all, const std::string& chosen, const App& app,
                  toml_document::Faults& faults) {
  for (const Profile& p : all) {
    if (p.name == chosen) continue;
    App scratch = app;
    toml_document::Faults found;
    toml_document::Places places;
    const AppNames names(scratch);
    toml_document::Reader reader({{p.table, p.layer}}, names, found, places, kApart);
    describe(reader, scratch);
    reader.close();
    for (Fault& fault : found) {
      if (fault.code == "missing" || fault.code == "unknown-name") continue;
      fault.key = "profiles." + p.name + "." + fault.key;
      faults.push_back(std::move(fault));
    }
  }
}

} // namespace

toml_document::Position place_of(const Setup& setup, std::string member, const std::string& file) {
  while (!member.empty()) {
    if (const auto found = setup.places.find(member); found != setup.places.end()) return found->second;
    const std::size_t cut = member.find_last_of(".[");
    member = cut == std::string::npos ? "" : member.substr(0, cut);
  }
  return {file, 1, 1};
}

Setup read(std::string_view text, const std::string& file, Environment environment,
           const toml_document::Loader& load) {
  Setup setup;
  toml_document::Layers layers;
  const bool parsed =
      toml_document::parse_layers(std::string(text), file, "include", load, setup.faults, layers);
  for (const auto& layer : layers) setup.files.push_back(layer->file);
  if (!parsed) {
    toml_document::tidy(setup.faults);
    return setup;
  }
  const std::vector<Profile> all = profiles(layers, setup.faults);
  setup.profile = chosen_profile(layers, all, environment, setup);
  std::vector<Source> sources{{&layers.front()->table, layers.front().get()}};
  for (const Profile& p : all) {
    if (!setup.profile.empty() && p.name == setup.profile) sources.push_back({p.table, p.layer});
  }
  for (std::size_t i = 1; i < layers.size(); ++i) sources.push_back({&layers[i]->table, layers[i].get()});

  const AppNames names(setup.app);
  // Keys given by the environment are not required in the file.
  toml::table given;
  for (const auto& [name, member] : {std::pair("NODE_NAME", "name"), {"NODE_LISTEN", "listen"}}) {
    const std::string value = variable(environment, name);
    if (value.empty()) continue;
    given.insert(member, value);
    setup.variables[member] = name;
  }
  if (const std::string value = variable(environment, "NODE_DISCOVERY"); !value.empty()) {
    given.insert("fleet", toml::table{{"discovery", value}});
    setup.variables["fleet.discovery"] = "NODE_DISCOVERY";
  }
  const Layer from_environment{"(environment)", {}};
  sources.insert(sources.begin(), {&given, &from_environment});
  toml_document::Reader reader(std::move(sources), names, setup.faults, setup.places, kApart);
  describe(reader, setup.app);
  const std::set<std::string> broken = reader.close();
  for (Fault& fault : setup.faults) {
    if (fault.at.file.empty() || (fault.at.file == from_environment.file && fault.code == "missing")) {
      fault.at = {file, 1, 1}; // a table that no file contains
    }
  }
  check_others(all, setup.profile, setup.app, setup.faults);
  check_sound(setup, file, broken);
  toml_document::tidy(setup.faults);
  toml_document::tidy(setup.warnings);
  return setup;
}

toml_document::Fault unreadable(const std::string& path) {
  Fault fault;
  fault.at.file = path;
  fault.key = "(file)";
  fault.why = "can't be read, or is over 1 MiB";
  fault.code = "unreadable";
  return fault;
}

Setup read_file(const std::string& path, Environment environment) {
  if (const auto text = toml_document::load_file(path)) return read(*text, path, environment);
  Setup setup;
  setup.faults.push_back(unreadable(path));
  return setup;
}

} // namespace fernward::app_config
