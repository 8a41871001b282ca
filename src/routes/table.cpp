#include "routes/table.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

#include "config/address.h"
#include "config/json.h"
#include "log/log.h"

namespace fernward::routes {

using fernward::ListKind;
using fernward::ServerState;
using nlohmann::json;

std::uint64_t hash_of(const std::string& text) { // FNV-1a, then splitmix64's finisher to spread short names
  std::uint64_t h = 0xcbf29ce484222325ull;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ull;
  h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9ull;
  h = (h ^ (h >> 27)) * 0x94d049bb133111ebull;
  return h ^ (h >> 31);
}

fernward::ServerId id_of(const std::string& name) {
  return static_cast<fernward::ServerId>(hash_of(name) >> 32);
}

std::uint32_t index_of(const std::string& name, const std::vector<std::string>& names) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found != names.end()) return static_cast<std::uint32_t>(found - names.begin());
  return static_cast<std::uint32_t>(names.size() + (hash_of(name) >> 34));
}

Target Table::parse(const json& from) const {
  Target target;
  from.at("name").get_to(target.name);
  from.at("address").get_to(target.address);
  const auto status = from.at("status").get<std::string>();
  // An unknown word gets the careful meaning: nothing new is sent there.
  target.entry.state = status == "in_service"   ? ServerState::Ready
                       : status == "terminated" ? ServerState::Gone
                                                : ServerState::Draining;
  if (target.name.empty()) throw Damaged("an endpoint without a name");
  if (!config::parse_address(target.address, target.where) && target.entry.state != ServerState::Gone) {
    throw Damaged("endpoint " + target.name + ": no address: " + target.address);
  }
  target.entry.id = id_of(target.name);
  target.entry.zone = index_of(from.value("zone", ""), zones_);
  target.entry.kind = index_of(from.value("type", ""), kinds_);
  const json group = from.value("group", json(0));
  target.entry.cell = group.is_number_unsigned() ? group.get<std::uint32_t>() : index_of(group.dump(), {});
  target.entry.weight = from.value("weight", 1.0);
  target.entry.booted_at = from.value("since_ms", 0.0);
  return target;
}

// Two names with one number would share a cache node's connections: at every router the lesser name has it.
bool Table::place(const Target& target, std::map<fernward::ServerId, Target>& into) const {
  const auto [it, added] = into.try_emplace(target.entry.id, target);
  if (!added && it->second.name != target.name) {
    log::line("route-number-shared", // the lesser name keeps it
              {{"a", target.name}, {"b", it->second.name}, {"number", target.entry.id}});
    if (it->second.name < target.name) return false;
  }
  it->second = target;
  return true;
}

fernward::ServerList Table::apply(const std::string& text) {
  const json from = config::parse_json(text);
  if (from.is_discarded()) throw Damaged("not JSON, or nested too deeply");
  return apply(from);
}

fernward::ServerList Table::apply(const json& from) {
  try {
    const auto index = from.at("index").get<std::uint64_t>();
    const bool whole = from.at("snapshot").get<bool>();
    std::vector<Target> entries;
    std::map<fernward::ServerId, std::string> texts;
    for (const json& entry : from.at("endpoints")) {
      entries.push_back(parse(entry));
      if (keeps_) texts[entries.back().entry.id] = entry.dump(-1, ' ', false, json::error_handler_t::replace);
    }
    // All of it is sound: only now does the table change.
    std::map<fernward::ServerId, Target> targets;
    if (!whole) targets = targets_;
    fernward::ServerList list;
    list.kind = whole ? ListKind::Full : ListKind::Delta;
    for (const Target& target : entries) {
      if (place(target, targets) && !whole) list.servers.push_back(target.entry);
    }
    std::erase_if(targets, [](const auto& t) { return t.second.entry.state == ServerState::Gone; });
    if (whole) {
      for (const auto& [id, target] : targets) list.servers.push_back(target.entry);
    }
    targets_ = std::move(targets);
    if (keeps_) {
      if (!whole) texts.merge(told_);
      std::erase_if(texts, [this](const auto& t) { return targets_.count(t.first) == 0; });
      told_ = std::move(texts);
    }
    index_ = index;
    return list;
  } catch (const json::exception& error) {
    throw Damaged(error.what());
  }
}

std::string Table::told() const {
  std::string out = "{\"index\":" + std::to_string(index_) + ",\"snapshot\":true,\"endpoints\":[";
  bool first = true;
  for (const auto& [id, text] : told_) {
    if (!std::exchange(first, false)) out += ',';
    out += text;
  }
  return out + "]}";
}

bool Table::usable() const {
  return std::any_of(targets_.begin(), targets_.end(),
                     [](const auto& t) { return t.second.entry.state == ServerState::Ready; });
}

} // namespace fernward::routes
