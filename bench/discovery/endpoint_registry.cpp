#include "discovery/endpoint_registry.h"

#include <algorithm>

namespace fernward::bench::discovery {
namespace {

constexpr RegistryIndex kFirstIndex = 41; // any value above 0, which stands for no index
constexpr std::size_t kGroups = 16;       // the servers are in these groups in turn

std::string body_start(RegistryIndex index, bool snapshot) {
  return "{\"index\":" + std::to_string(index) + ",\"snapshot\":" + (snapshot ? "true" : "false") +
         ",\"endpoints\":[";
}
constexpr const char* kBodyEnd = "]}";

/// The odd factor gives distinct names (for up to 2^32 servers) that are not in the order of the numbers.
std::string server_name(std::size_t server) {
  char name[16];
  std::snprintf(name, sizeof name, "s-%08zx", server * 2654435761u % 0x100000000u);
  return name;
}

/// No process listens at these addresses: routers without clients do not connect to servers.
std::string server_address(std::size_t server) {
  return "127.1." + std::to_string(server / 250) + "." + std::to_string(server % 250 + 1) + ":7070";
}

} // namespace

EndpointRegistry::EndpointRegistry(std::size_t server_count) : index_(kFirstIndex), servers_(server_count) {
  for (std::size_t i = 0; i < server_count; ++i) {
    servers_[i].json_before_status =
        "{\"name\":\"" + server_name(i) + "\",\"address\":\"" + server_address(i) +
        "\",\"zone\":\"a\",\"type\":\"cache\",\"group\":" + std::to_string(i % kGroups) + ",\"status\":\"";
    servers_[i].json_after_status = "\",\"weight\":1.0,\"since_ms\":0}";
  }
}

RegistryIndex EndpointRegistry::set_terminating(std::size_t server, bool terminating) {
  servers_[server].terminating = terminating;
  ++index_;
  change_history_.push_back({index_, server});
  return index_;
}

void EndpointRegistry::append_entry(std::string& body, std::size_t server) const {
  if (body.back() != '[') body += ',';
  const ServerEntry& entry = servers_[server];
  body += entry.json_before_status;
  body += entry.terminating ? "terminating" : "in_service";
  body += entry.json_after_status;
}

const std::string& EndpointRegistry::snapshot() {
  if (snapshot_index_ == index_) return snapshot_;
  snapshot_ = body_start(index_, true);
  for (std::size_t i = 0; i < servers_.size(); ++i) append_entry(snapshot_, i);
  snapshot_ += kBodyEnd;
  snapshot_index_ = index_;
  return snapshot_;
}

std::string EndpointRegistry::changes_after(RegistryIndex since) const {
  std::vector<std::size_t> changed;
  for (auto change = change_history_.rbegin(); change != change_history_.rend() && change->index > since;
       ++change) {
    changed.push_back(change->server);
  }
  std::sort(changed.begin(), changed.end());
  changed.erase(std::unique(changed.begin(), changed.end()), changed.end());
  std::string body = body_start(index_, false);
  for (const std::size_t server : changed) append_entry(body, server);
  return body + kBodyEnd;
}

} // namespace fernward::bench::discovery
