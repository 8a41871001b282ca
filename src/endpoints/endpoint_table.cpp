#include "endpoints/endpoint_table.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <utility>

#include "config/json.h"
#include "log/log.h"

namespace fernward::endpoints {
namespace {

using fernward::EndpointListKind;
using fernward::ServerState;
using nlohmann::json;
using Outcome = ParsedEndpoint::Outcome;

struct Envelope {
  std::uint64_t index = 0;
  bool is_snapshot = false;
  const json& endpoints;
};

const json& required_field(const json& message, const char* key) {
  const auto found = message.find(key);
  if (found == message.end()) throw InvalidEndpointList(std::string("field missing: ") + key);
  return *found;
}

Envelope read_envelope(const json& message) {
  if (!message.is_object()) throw InvalidEndpointList("message is not a JSON object");
  const json& index = required_field(message, "index");
  if (!index.is_number_integer() || index < 0) throw InvalidEndpointList("index: expected an integer from 0");
  const json& snapshot = required_field(message, "snapshot");
  if (!snapshot.is_boolean()) throw InvalidEndpointList("snapshot: expected true or false");
  const json& endpoints = required_field(message, "endpoints");
  if (!endpoints.is_array()) throw InvalidEndpointList("endpoints: expected an array");
  return {index.get<std::uint64_t>(), snapshot.get<bool>(), endpoints};
}

// Collects the servers that a delta changes: each id once, with its state after all entries of the delta.
class ChangedServers {
 public:
  void add(const fernward::Server& server) {
    const auto [it, added] = positions_.try_emplace(server.id, servers_.size());
    if (added) {
      servers_.push_back(server);
    } else {
      servers_[it->second] = server;
    }
  }

  std::vector<fernward::Server> take(const EndpointSet& endpoints) {
    for (fernward::Server& server : servers_) {
      const Endpoint* endpoint = endpoints.find_by_id(server.id);
      if (endpoint != nullptr) {
        server = endpoint->server;
      } else {
        server.state = ServerState::Gone;
      }
    }
    return std::move(servers_);
  }

 private:
  std::vector<fernward::Server> servers_;
  std::unordered_map<fernward::ServerId, std::size_t> positions_;
};

} // namespace

void EndpointTable::EntryErrors::add(const ParsedEndpoint& parsed) {
  if (parsed.outcome == Outcome::Valid) return;
  if (!any()) {
    first_name = parsed.endpoint.name;
    first_error = parsed.first_error;
  }
  dropped += parsed.outcome == Outcome::Dropped;
  draining += parsed.outcome == Outcome::Draining;
  repaired += parsed.outcome == Outcome::Repaired;
}

fernward::EndpointList EndpointTable::apply(const std::string& text, std::uint64_t min_index) {
  const json message = config::parse_json(text);
  if (message.is_discarded()) throw InvalidEndpointList("not JSON, or nested too deeply");
  return apply(message, min_index);
}

fernward::EndpointList EndpointTable::apply(const json& message, std::uint64_t min_index) {
  const Envelope envelope = read_envelope(message);
  if (envelope.index < min_index) {
    throw StaleEndpointList("stale: index " + std::to_string(envelope.index) + " after " +
                            std::to_string(min_index));
  }
  auto list = envelope.is_snapshot ? apply_full(envelope.endpoints) : apply_delta(envelope.endpoints);
  index_ = envelope.index;
  return list;
}

// Fields of invalid entries are taken from the current contents, which are therefore replaced only after all
// entries have been parsed.
fernward::EndpointList EndpointTable::apply_full(const json& endpoints) {
  Contents next;
  EntryErrors errors;
  std::set<std::string> terminated_names; // by this message: their previous values are not used any more
  const auto find_previous = [this, &next, &terminated_names](const std::string& name) {
    const Endpoint* endpoint_in_message = next.endpoints.find(name);
    if (endpoint_in_message != nullptr || terminated_names.contains(name)) return endpoint_in_message;
    return contents_.endpoints.find(name);
  };
  for (const json& entry : endpoints) {
    const ParsedEndpoint parsed = endpoint_parser_.parse(entry, find_previous);
    errors.add(parsed);
    if (parsed.outcome == Outcome::Dropped) continue;
    if (parsed.endpoint.server.state == ServerState::Gone) terminated_names.insert(parsed.endpoint.name);
    store_entry(parsed, entry, next);
  }
  if (!endpoints.empty() && errors.dropped + errors.draining == endpoints.size()) {
    throw InvalidEndpointList("none of " + std::to_string(endpoints.size()) +
                              " entries is valid; first error: " + errors.first_name + ": " +
                              errors.first_error);
  }
  contents_ = std::move(next);
  log_errors(errors);
  fernward::EndpointList list;
  list.kind = EndpointListKind::Full;
  for (const auto& [id, endpoint] : endpoints_by_id()) list.servers.push_back(endpoint.server);
  return list;
}

fernward::EndpointList EndpointTable::apply_delta(const json& endpoints) {
  EntryErrors errors;
  ChangedServers changed;
  const auto find_previous = [this](const std::string& name) { return contents_.endpoints.find(name); };
  for (const json& entry : endpoints) {
    const ParsedEndpoint parsed = endpoint_parser_.parse(entry, find_previous);
    errors.add(parsed);
    if (parsed.outcome == Outcome::Dropped) continue;
    store_entry(parsed, entry, contents_);
    changed.add(parsed.endpoint.server);
  }
  log_errors(errors);
  fernward::EndpointList list;
  list.kind = EndpointListKind::Delta;
  list.servers = changed.take(contents_.endpoints);
  return list;
}

void EndpointTable::store_entry(const ParsedEndpoint& parsed, const json& entry, Contents& contents) const {
  const Endpoint& endpoint = parsed.endpoint;
  contents.endpoints.update(endpoint);
  if (!keep_entry_texts_) return;
  if (endpoint.server.state == ServerState::Gone) {
    contents.entry_texts.erase(endpoint.name);
  } else {
    contents.entry_texts[endpoint.name] = entry_text(parsed, entry, contents);
  }
}

const std::string* EndpointTable::find_entry_text(const Contents& contents, const std::string& name) {
  const auto found = contents.entry_texts.find(name);
  return found == contents.entry_texts.end() ? nullptr : &found->second;
}

std::string EndpointTable::entry_text(const ParsedEndpoint& parsed, const json& entry,
                                      const Contents& contents) const {
  const auto write = [](const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
  };
  if (parsed.outcome == Outcome::Valid) return write(entry);
  const std::string* previous_text = find_entry_text(contents, parsed.endpoint.name);
  if (previous_text == nullptr) previous_text = find_entry_text(contents_, parsed.endpoint.name);
  return write(repaired_entry(entry, parsed.endpoint,
                              previous_text == nullptr ? json() : config::parse_json(*previous_text)));
}

void EndpointTable::log_errors(const EntryErrors& errors) {
  if (!errors.any()) return;
  dropped_entries_ += errors.dropped;
  log::line("list-entries-damaged", {{"dropped", errors.dropped},
                                     {"draining", errors.draining},
                                     {"repaired", errors.repaired},
                                     {"first", errors.first_name},
                                     {"why", errors.first_error}});
}

std::string EndpointTable::serialized_list() const {
  std::string out = "{\"index\":" + std::to_string(index_) + ",\"snapshot\":true,\"endpoints\":[";
  bool first = true;
  for (const auto& [name, text] : contents_.entry_texts) {
    if (!std::exchange(first, false)) out += ',';
    out += text;
  }
  return out + "]}";
}

} // namespace fernward::endpoints
