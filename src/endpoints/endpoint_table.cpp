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
using Outcome = EndpointReading::Outcome;

struct Envelope {
  std::uint64_t index = 0;
  bool whole = false;
  const json& endpoints;
};

const json& field(const json& message, const char* key) {
  const auto found = message.find(key);
  if (found == message.end()) throw Damaged(std::string("field missing: ") + key);
  return *found;
}

Envelope read_envelope(const json& message) {
  if (!message.is_object()) throw Damaged("message is not a JSON object");
  const json& index = field(message, "index");
  if (!index.is_number_integer() || index < 0) throw Damaged("index: expected an integer from 0");
  const json& whole = field(message, "snapshot");
  if (!whole.is_boolean()) throw Damaged("snapshot: expected true or false");
  const json& endpoints = field(message, "endpoints");
  if (!endpoints.is_array()) throw Damaged("endpoints: expected an array");
  return {index.get<std::uint64_t>(), whole.get<bool>(), endpoints};
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

  std::vector<fernward::Server> take(const TargetSet& targets) {
    for (fernward::Server& server : servers_) {
      const Endpoint* holder = targets.holder(server.id);
      if (holder != nullptr) {
        server = holder->entry;
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

void EndpointTable::Damage::add(const EndpointReading& reading) {
  if (reading.outcome == Outcome::Sound) return;
  if (!any()) {
    first = reading.target.name;
    why = reading.fault;
  }
  dropped += reading.outcome == Outcome::Dropped;
  draining += reading.outcome == Outcome::Draining;
  repaired += reading.outcome == Outcome::Repaired;
}

fernward::EndpointList EndpointTable::apply(const std::string& text, std::uint64_t at_least) {
  const json message = config::parse_json(text);
  if (message.is_discarded()) throw Damaged("not JSON, or nested too deeply");
  return apply(message, at_least);
}

fernward::EndpointList EndpointTable::apply(const json& message, std::uint64_t at_least) {
  const Envelope envelope = read_envelope(message);
  if (envelope.index < at_least) {
    throw Stale("stale: index " + std::to_string(envelope.index) + " after " + std::to_string(at_least));
  }
  auto list = envelope.whole ? replace(envelope.endpoints) : change(envelope.endpoints);
  index_ = envelope.index;
  return list;
}

// Fields of invalid entries are taken from the current contents, which are therefore replaced only after all
// entries have been parsed.
fernward::EndpointList EndpointTable::replace(const json& endpoints) {
  Contents next;
  Damage damage;
  std::set<std::string> ended; // by this message: their previous values are not used any more
  const auto find_last = [this, &next, &ended](const std::string& name) {
    const Endpoint* in_message = next.targets.find(name);
    if (in_message != nullptr || ended.contains(name)) return in_message;
    return contents_.targets.find(name);
  };
  for (const json& entry : endpoints) {
    const EndpointReading reading = reader_.read(entry, find_last);
    damage.add(reading);
    if (reading.outcome == Outcome::Dropped) continue;
    if (reading.target.entry.state == ServerState::Gone) ended.insert(reading.target.name);
    put(reading, entry, next);
  }
  if (!endpoints.empty() && damage.dropped + damage.draining == endpoints.size()) {
    throw Damaged("none of " + std::to_string(endpoints.size()) +
                  " entries is valid; first error: " + damage.first + ": " + damage.why);
  }
  contents_ = std::move(next);
  report(damage);
  fernward::EndpointList list;
  list.kind = EndpointListKind::Full;
  for (const auto& [id, target] : targets()) list.servers.push_back(target.entry);
  return list;
}

fernward::EndpointList EndpointTable::change(const json& endpoints) {
  Damage damage;
  ChangedServers changed;
  const auto find_last = [this](const std::string& name) { return contents_.targets.find(name); };
  for (const json& entry : endpoints) {
    const EndpointReading reading = reader_.read(entry, find_last);
    damage.add(reading);
    if (reading.outcome == Outcome::Dropped) continue;
    put(reading, entry, contents_);
    changed.add(reading.target.entry);
  }
  report(damage);
  fernward::EndpointList list;
  list.kind = EndpointListKind::Delta;
  list.servers = changed.take(contents_.targets);
  return list;
}

void EndpointTable::put(const EndpointReading& reading, const json& entry, Contents& into) const {
  const Endpoint& target = reading.target;
  into.targets.put(target);
  if (!keeps_) return;
  if (target.entry.state == ServerState::Gone) {
    into.texts.erase(target.name);
  } else {
    into.texts[target.name] = text_of(reading, entry, into);
  }
}

const std::string* EndpointTable::find_text(const Contents& contents, const std::string& name) {
  const auto found = contents.texts.find(name);
  return found == contents.texts.end() ? nullptr : &found->second;
}

std::string EndpointTable::text_of(const EndpointReading& reading, const json& entry,
                                   const Contents& contents) const {
  const auto write = [](const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
  };
  if (reading.outcome == Outcome::Sound) return write(entry);
  const std::string* last = find_text(contents, reading.target.name);
  if (last == nullptr) last = find_text(contents_, reading.target.name);
  return write(repaired_entry(entry, reading.target, last == nullptr ? json() : config::parse_json(*last)));
}

void EndpointTable::report(const Damage& damage) {
  if (!damage.any()) return;
  dropped_entries_ += damage.dropped;
  log::line("list-entries-damaged", {{"dropped", damage.dropped},
                                     {"draining", damage.draining},
                                     {"repaired", damage.repaired},
                                     {"first", damage.first},
                                     {"why", damage.why}});
}

std::string EndpointTable::told() const {
  std::string out = "{\"index\":" + std::to_string(index_) + ",\"snapshot\":true,\"endpoints\":[";
  bool first = true;
  for (const auto& [name, text] : contents_.texts) {
    if (!std::exchange(first, false)) out += ',';
    out += text;
  }
  return out + "]}";
}

} // namespace fernward::endpoints
