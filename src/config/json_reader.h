// Typed reads from JSON. Errors name the invalid key.
#pragma once

#include <cmath>
#include <nlohmann/json.hpp>
#include <string>

#include "config/settings.h"

namespace fernward::config {

// A JSON object and its path, which is used in messages.
struct JsonObject {
  nlohmann::json json;
  std::string path;

  std::string key_path(const std::string& key) const { return path.empty() ? key : path + "." + key; }

  // `into` keeps its value if the key is absent or null.
  template <typename T>
  void read_optional(const std::string& key, T& into) const {
    const auto found = json.find(key);
    if (found == json.end() || found->is_null()) return;
    try {
      found->get_to(into);
    } catch (const nlohmann::json::exception&) {
      throw Error(key_path(key) + ": has the wrong type (" + found->type_name() + ")");
    }
  }
  template <typename T>
  void read_required(const std::string& key, T& into) const {
    if (!json.is_object()) throw Error((path.empty() ? "settings" : path) + ": must be an object");
    if (!json.contains(key) || json.at(key).is_null()) throw Error(key_path(key) + ": is missing");
    read_optional(key, into);
  }
  // Reads a number from 0 to `max`. `into` keeps its value if the key is absent.
  void read_range(const std::string& key, double& into, double max = 1e300) const {
    read_optional(key, into);
    if (!(into >= 0 && into <= max))
      throw Error(key_path(key) + ": must be a number of at least 0" + range_suffix(max));
  }
  static std::string range_suffix(double max) {
    return max < 1e300 ? " and at most " + std::to_string(std::lround(max)) : "";
  }
  // Reads a required count. Rejects values such as -1 or 2.5, which must not be converted silently.
  void read_count(const std::string& key, std::uint32_t& into, double min = 0) const {
    double value = into;
    read_required(key, value);
    if (!(value >= min && value <= 4294967295.0) || value != std::floor(value)) {
      throw Error(key_path(key) + ": must be an integer of " + std::to_string(std::lround(min)) + " or more");
    }
    into = static_cast<std::uint32_t>(value);
  }
  // An optional object; empty if absent. Throws Error if it has another type.
  JsonObject optional_object(const std::string& key) const {
    const auto found = json.find(key);
    if (found == json.end() || found->is_null()) return {nlohmann::json::object(), key_path(key)};
    if (!found->is_object()) throw Error(key_path(key) + ": must be an object");
    return {*found, key_path(key)};
  }
  JsonObject required_object(const std::string& key) const {
    if (!json.is_object()) throw Error((path.empty() ? "settings" : path) + ": must be an object");
    if (!json.contains(key) || json.at(key).is_null()) throw Error(key_path(key) + ": is missing");
    return optional_object(key);
  }
  // The objects of an optional list.
  std::vector<JsonObject> object_list(const std::string& key) const {
    std::vector<JsonObject> objects;
    const auto found = json.find(key);
    if (found == json.end() || found->is_null()) return objects;
    if (!found->is_array()) throw Error(key_path(key) + ": must be a list");
    for (std::size_t i = 0; i < found->size(); ++i) {
      objects.push_back({(*found)[i], key_path(key) + "[" + std::to_string(i) + "]"});
      if (!objects.back().json.is_object()) throw Error(objects.back().path + ": must be an object");
    }
    return objects;
  }
  std::string string_or_empty(const std::string& key) const {
    std::string text;
    read_optional(key, text);
    return text;
  }
};

} // namespace fernward::config
