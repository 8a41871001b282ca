#include "endpoints/endpoint.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "config/address.h"

namespace fernward::endpoints {
namespace {

using fernward::ServerState;
using nlohmann::json;
using Outcome = EndpointReading::Outcome;

const json* find_field(const json& entry, const char* key) {
  const auto found = entry.find(key);
  return found == entry.end() ? nullptr : &*found;
}

const std::string* find_text(const json& entry, const char* key) {
  const json* value = find_field(entry, key);
  return value == nullptr ? nullptr : value->get_ptr<const std::string*>();
}

bool is_group(const json& value) { return value.is_number() || value.is_string(); }

std::optional<std::uint32_t> read_index(const json& value, const std::vector<std::string>& names) {
  const auto* text = value.get_ptr<const std::string*>();
  if (text == nullptr) return std::nullopt;
  return index_of(*text, names);
}

std::optional<std::uint32_t> read_group(const json& value) {
  if (!is_group(value)) return std::nullopt;
  return value.is_number_unsigned() ? value.get<std::uint32_t>() : index_of(value.dump(), {});
}

// A finite number that is not negative, else the fallback. None: not a number.
std::optional<double> read_amount(const json& value, double otherwise) {
  if (!value.is_number()) return std::nullopt;
  const auto amount = value.get<double>();
  return std::isfinite(amount) && amount >= 0 ? amount : otherwise;
}

ServerState state_of(const std::string& status) {
  if (status == "in_service") return ServerState::Ready;
  if (status == "terminated") return ServerState::Gone;
  return ServerState::Draining; // "terminating"; an unknown status is treated as draining, the safe choice
}

const char* status_of(ServerState state) {
  switch (state) {
    case ServerState::Ready: return "in_service";
    case ServerState::Gone: return "terminated";
    case ServerState::Draining: break;
  }
  return "terminating";
}

// Parses one entry and collects the result.
class Reading {
 public:
  Reading(const json& entry, const fernward::Server& defaults, const EndpointReader::FindLast& find_last)
      : entry_(entry), defaults_(defaults), find_last_(find_last) {}

  EndpointReading take() { return std::move(result_); }

  bool read_name() {
    const std::string* name = entry_.is_object() ? find_text(entry_, "name") : nullptr;
    if (name == nullptr || name->empty()) {
      result_.outcome = Outcome::Dropped;
      result_.fault = entry_.is_object() ? "name" : "entry is not a JSON object";
      return false;
    }
    result_.target.name = *name;
    result_.target.entry.id = id_of(*name);
    return true;
  }

  void read_optional_fields(const std::vector<std::string>& zones, const std::vector<std::string>& kinds) {
    using fernward::Server;
    read_optional("zone", &Server::zone, [&zones](const json& value) { return read_index(value, zones); });
    read_optional("type", &Server::kind, [&kinds](const json& value) { return read_index(value, kinds); });
    read_optional("group", &Server::cell, read_group);
    read_optional("weight", &Server::weight,
                  [this](const json& value) { return read_amount(value, defaults_.weight); });
    read_optional("since_ms", &Server::started_at,
                  [this](const json& value) { return read_amount(value, defaults_.started_at); });
  }

  void read_state_and_address() {
    const std::string* status = find_text(entry_, "status");
    if (status == nullptr) return keep_from_service("status");
    Endpoint& target = result_.target;
    target.entry.state = state_of(*status);
    if (read_address() || target.entry.state == ServerState::Gone) return;
    if (target.entry.state == ServerState::Ready) return keep_from_service("address");
    damaged(Outcome::Repaired, "address");
    keep_last_address();
  }

 private:
  template <typename Value, typename Read>
  void read_optional(const char* key, Value fernward::Server::*member, const Read& read) {
    fernward::Server& server = result_.target.entry;
    server.*member = defaults_.*member;
    const json* value = find_field(entry_, key);
    if (value == nullptr) return;
    if (const std::optional<Value> sound = read(*value)) {
      server.*member = *sound;
      return;
    }
    damaged(Outcome::Repaired, key);
    if (last() != nullptr) server.*member = last()->entry.*member;
  }

  bool read_address() {
    const std::string* address = find_text(entry_, "address");
    if (address == nullptr) return false;
    result_.target.address = *address;
    return config::parse_address(*address, result_.target.where);
  }

  void keep_last_address() {
    const Endpoint* known = last();
    result_.target.address = known == nullptr ? "" : known->address;
    result_.target.where = known == nullptr ? sockaddr_in{} : known->where;
  }

  // The server's address or its state is unknown: a request sent there may be lost.
  void keep_from_service(const char* key) {
    damaged(last() == nullptr ? Outcome::Dropped : Outcome::Draining, key);
    result_.target.entry.state = ServerState::Draining;
    keep_last_address();
  }

  void damaged(Outcome outcome, const char* key) {
    if (result_.outcome == Outcome::Sound) result_.fault = key;
    result_.outcome = std::max(result_.outcome, outcome);
  }

  const Endpoint* last() {
    if (!last_) last_ = find_last_(result_.target.name);
    return *last_;
  }

  const json& entry_;
  const fernward::Server& defaults_;
  const EndpointReader::FindLast& find_last_;
  std::optional<const Endpoint*> last_; // none: not looked up yet
  EndpointReading result_;
};

} // namespace

// FNV-1a, then the splitmix64 finalizer, as FNV-1a alone distributes short names poorly.
std::uint64_t hash_of(const std::string& text) {
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

EndpointReader::EndpointReader(std::vector<std::string> zones, std::vector<std::string> kinds)
    : zones_(std::move(zones)), kinds_(std::move(kinds)) {
  defaults_.zone = index_of("", zones_);
  defaults_.kind = index_of("", kinds_);
  // Hashed, so that it differs from the small numbers that lists use for groups.
  defaults_.cell = index_of("0", {});
}

EndpointReading EndpointReader::read(const json& entry, const FindLast& find_last) const {
  Reading reading(entry, defaults_, find_last);
  if (reading.read_name()) {
    reading.read_optional_fields(zones_, kinds_);
    reading.read_state_and_address();
  }
  return reading.take();
}

json repaired_entry(const json& entry, const Endpoint& target, const json& last_entry) {
  json repaired = entry;
  repaired["address"] = target.address;
  repaired["status"] = status_of(target.entry.state);
  repaired["weight"] = target.entry.weight;
  repaired["since_ms"] = target.entry.started_at;
  for (const char* key : {"zone", "type", "group"}) {
    const json* value = find_field(entry, key);
    if (value == nullptr || value->is_string() || (key == std::string("group") && is_group(*value))) continue;
    const json* last = last_entry.is_object() ? find_field(last_entry, key) : nullptr;
    if (last != nullptr) {
      repaired[key] = *last;
    } else {
      repaired.erase(key);
    }
  }
  return repaired;
}

} // namespace fernward::endpoints
