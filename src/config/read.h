// Typed reads from JSON. Errors name the invalid key.
#pragma once

#include <cmath>
#include <nlohmann/json.hpp>
#include <string>

#include "config/settings.h"

namespace fernward::config {

// A JSON object and its path, which is used in messages.
struct Part {
  nlohmann::json json;
  std::string path;

  std::string at(const std::string& key) const { return path.empty() ? key : path + "." + key; }

  // `into` keeps its value if the key is absent or null.
  template <typename T>
  void read(const std::string& key, T& into) const {
    const auto found = json.find(key);
    if (found == json.end() || found->is_null()) return;
    try {
      found->get_to(into);
    } catch (const nlohmann::json::exception&) {
      throw Error(at(key) + ": has the wrong type (" + found->type_name() + ")");
    }
  }
  template <typename T>
  void need(const std::string& key, T& into) const {
    if (!json.is_object()) throw Error((path.empty() ? "settings" : path) + ": must be an object");
    if (!json.contains(key) || json.at(key).is_null()) throw Error(at(key) + ": is missing");
    read(key, into);
  }
  // Reads a number from 0 to `max`. `into` keeps its value if the key is absent.
  void range(const std::string& key, double& into, double most = 1e300) const {
    read(key, into);
    if (!(into >= 0 && into <= most)) throw Error(at(key) + ": must be a number of at least 0" + limit(most));
  }
  static std::string limit(double most) {
    return most < 1e300 ? " and at most " + std::to_string(std::lround(most)) : "";
  }
  // Reads a required count. Rejects values such as -1 or 2.5, which must not be converted silently.
  void count(const std::string& key, std::uint32_t& into, double least = 0) const {
    double value = into;
    need(key, value);
    if (!(value >= least && value <= 4294967295.0) || value != std::floor(value)) {
      throw Error(at(key) + ": must be an integer of " + std::to_string(std::lround(least)) + " or more");
    }
    into = static_cast<std::uint32_t>(value);
  }
  // An optional object; empty if absent. Throws Error if it has another type.
  Part part(const std::string& key) const {
    const auto found = json.find(key);
    if (found == json.end() || found->is_null()) return {nlohmann::json::object(), at(key)};
    if (!found->is_object()) throw Error(at(key) + ": must be an object");
    return {*found, at(key)};
  }
  Part needed_part(const std::string& key) const {
    if (!json.is_object()) throw Error((path.empty() ? "settings" : path) + ": must be an object");
    if (!json.contains(key) || json.at(key).is_null()) throw Error(at(key) + ": is missing");
    return part(key);
  }
  // The objects of an optional list.
  std::vector<Part> list(const std::string& key) const {
    std::vector<Part> parts;
    const auto found = json.find(key);
    if (found == json.end() || found->is_null()) return parts;
    if (!found->is_array()) throw Error(at(key) + ": must be a list");
    for (std::size_t i = 0; i < found->size(); ++i) {
      parts.push_back({(*found)[i], at(key) + "[" + std::to_string(i) + "]"});
      if (!parts.back().json.is_object()) throw Error(parts.back().path + ": must be an object");
    }
    return parts;
  }
  std::string word(const std::string& key) const {
    std::string text;
    read(key, text);
    return text;
  }
};

} // namespace fernward::config
