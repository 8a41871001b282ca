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
using Outcome = ParsedEndpoint::Outcome;

const json* find_field(const json& entry, const char* key) {
  const auto found = entry.find(key);
  return found == entry.end() ? nullptr : &*found;
}

const std::string* find_string(const json& entry, const char* key) {
  const json* value = find_field(entry, key);
  return value == nullptr ? nullptr : value->get_ptr<const std::string*>();
}

bool is_valid_group(const json& value) { return value.is_number() || value.is_string(); }

std::optional<std::uint32_t> read_index(const json& value, const std::vector<std::string>& names) {
  const auto* text = value.get_ptr<const std::string*>();
  if (text == nullptr) return std::nullopt;
  return index_of(*text, names);
}

std::optional<std::uint32_t> read_group(const json& value) {
  if (!is_valid_group(value)) return std::nullopt;
  return value.is_number_unsigned() ? value.get<std::uint32_t>() : index_of(value.dump(), {});
}

// A finite number that is not negative, else the fallback. None: not a number.
std::optional<double> read_amount(const json& value, double fallback) {
  if (!value.is_number()) return std::nullopt;
  const auto amount = value.get<double>();
  return std::isfinite(amount) && amount >= 0 ? amount : fallback;
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
class EntryParser {
 public:
  EntryParser(const json& entry, const fernward::Server& defaults,
              const EndpointParser::FindPrevious& find_previous)
      : entry_(entry), defaults_(defaults), find_previous_(find_previous) {}

  ParsedEndpoint take_result() { return std::move(result_); }

  bool read_name() {
    const std::string* name = entry_.is_object() ? find_string(entry_, "name") : nullptr;
    if (name == nullptr || name->empty()) {
      result_.outcome = Outcome::Dropped;
      result_.first_error = entry_.is_object() ? "name" : "entry is not a JSON object";
      return false;
    }
    result_.endpoint.name = *name;
    result_.endpoint.server.id = id_of(*name);
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
    const std::string* status = find_string(entry_, "status");
    if (status == nullptr) return mark_draining("status");
    Endpoint& endpoint = result_.endpoint;
    endpoint.server.state = state_of(*status);
    if (read_address() || endpoint.server.state == ServerState::Gone) return;
    if (endpoint.server.state == ServerState::Ready) return mark_draining("address");
    record_error(Outcome::Repaired, "address");
    keep_previous_address();
  }

 private:
  template <typename Value, typename Read>
  void read_optional(const char* key, Value fernward::Server::*member, const Read& read) {
    fernward::Server& server = result_.endpoint.server;
    server.*member = defaults_.*member;
    const json* value = find_field(entry_, key);
    if (value == nullptr) return;
    if (const std::optional<Value> parsed_value = read(*value)) {
      server.*member = *parsed_value;
      return;
    }
    record_error(Outcome::Repaired, key);
    if (previous() != nullptr) server.*member = previous()->server.*member;
  }

  bool read_address() {
    const std::string* address = find_string(entry_, "address");
    if (address == nullptr) return false;
    result_.endpoint.address = *address;
    return config::parse_address(*address, result_.endpoint.socket_address);
  }

  void keep_previous_address() {
    const Endpoint* previous_endpoint = previous();
    result_.endpoint.address = previous_endpoint == nullptr ? "" : previous_endpoint->address;
    result_.endpoint.socket_address =
        previous_endpoint == nullptr ? sockaddr_in{} : previous_endpoint->socket_address;
  }

  // The server's address or its state is unknown: a request sent there may be lost.
  void mark_draining(const char* key) {
    record_error(previous() == nullptr ? Outcome::Dropped : Outcome::Draining, key);
    result_.endpoint.server.state = ServerState::Draining;
    keep_previous_address();
  }

  void record_error(Outcome outcome, const char* key) {
    if (result_.outcome == Outcome::Valid) result_.first_error = key;
    result_.outcome = std::max(result_.outcome, outcome);
  }

  const Endpoint* previous() {
    if (!previous_) previous_ = find_previous_(result_.endpoint.name);
    return *previous_;
  }

  const json& entry_;
  const fernward::Server& defaults_;
  const EndpointParser::FindPrevious& find_previous_;
  std::optional<const Endpoint*> previous_; // none: not looked up yet
  ParsedEndpoint result_;
};

} // namespace

// FNV-1a, then the splitmix64 finalizer, as FNV-1a alone distributes short names poorly.
std::uint64_t hash_of(const std::string& text) {
  std::uint64_t hash = 0xcbf29ce484222325ull;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ull;
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ull;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebull;
  return hash ^ (hash >> 31);
}

fernward::ServerId id_of(const std::string& name) {
  return static_cast<fernward::ServerId>(hash_of(name) >> 32);
}

std::uint32_t index_of(const std::string& name, const std::vector<std::string>& names) {
  const auto found = std::find(names.begin(), names.end(), name);
  if (found != names.end()) return static_cast<std::uint32_t>(found - names.begin());
  return static_cast<std::uint32_t>(names.size() + (hash_of(name) >> 34));
}

EndpointParser::EndpointParser(std::vector<std::string> zones, std::vector<std::string> kinds)
    : zones_(std::move(zones)), kinds_(std::move(kinds)) {
  defaults_.zone = index_of("", zones_);
  defaults_.kind = index_of("", kinds_);
  // Hashed, so that it differs from the small numbers that lists use for groups.
  defaults_.cell = index_of("0", {});
}

ParsedEndpoint EndpointParser::parse(const json& entry, const FindPrevious& find_previous) const {
  EntryParser entry_parser(entry, defaults_, find_previous);
  if (entry_parser.read_name()) {
    entry_parser.read_optional_fields(zones_, kinds_);
    entry_parser.read_state_and_address();
  }
  return entry_parser.take_result();
}

json repaired_entry(const json& entry, const Endpoint& endpoint, const json& previous_entry) {
  json repaired = entry;
  repaired["address"] = endpoint.address;
  repaired["status"] = status_of(endpoint.server.state);
  repaired["weight"] = endpoint.server.weight;
  repaired["since_ms"] = endpoint.server.started_at;
  for (const char* key : {"zone", "type", "group"}) {
    const json* value = find_field(entry, key);
    if (value == nullptr || value->is_string() || (key == std::string("group") && is_valid_group(*value)))
      continue;
    const json* previous_value = previous_entry.is_object() ? find_field(previous_entry, key) : nullptr;
    if (previous_value != nullptr) {
      repaired[key] = *previous_value;
    } else {
      repaired.erase(key);
    }
  }
  return repaired;
}

} // namespace fernward::endpoints
