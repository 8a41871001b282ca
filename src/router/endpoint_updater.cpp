#include "router/endpoint_updater.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "log/log.h"
#include "router/router_options.h"

namespace fernward::router {
namespace {

// How long requests are shed while waiting for discovery's first list. After that the configuration's list is
// used.
constexpr double kInitialListTimeoutMs = 2000;
// The same while discovery is silent. An outage may last 8 s, and a restarted process has to be ready within
// 10 s.
constexpr double kSilentDiscoveryTimeoutMs = 9000;
constexpr double kSilenceCheckIntervalMs = 100;

} // namespace

EndpointUpdater::EndpointUpdater(const config::Config& config, EndpointUpdaterParts parts)
    : config_(config),
      parts_(parts),
      table_(config.names.zones, config.names.kinds, !config.hot_restart_path.empty()) {}

// ---- the configuration's list ----

// The dispatcher receives the configuration's list even while discovery's list is pending: applying
// discovery's list then costs only the differences.
void EndpointUpdater::load_initial_list(bool inherited) {
  if (inherited || config_.static_nodes || config_.discovery_address.empty()) return load_configured_list();
  if (read_configured_list()) apply(full_list(fernward::EndpointListKind::Cached));
  const double now = loop::now_ms();
  initial_list_timer_ = parts_.timers.run_at(now + kInitialListTimeoutMs, [this, now] {
    if (is_discovery_silent())
      log::line("discovery-silent-at-start",
                {{"name", config_.name}, {"waits_up_to_ms", kSilentDiscoveryTimeoutMs}});
    check_initial_list(now);
  });
}

void EndpointUpdater::check_initial_list(double started_at_ms) {
  initial_list_timer_ = 0;
  const double waited_ms = loop::now_ms() - started_at_ms;
  if (!is_discovery_silent() || waited_ms >= kSilentDiscoveryTimeoutMs)
    return log::line("cached-endpoints-used", {{"name", config_.name}, {"waited_ms", waited_ms}});
  initial_list_timer_ = parts_.timers.run_at(
      std::min(loop::now_ms() + kSilenceCheckIntervalMs, started_at_ms + kSilentDiscoveryTimeoutMs),
      [this, started_at_ms] { check_initial_list(started_at_ms); });
}

// Where lists are pushed, discovery answers at once with the changes that it has, and those count from the start
// of this process. So while it does not answer, the configuration's list may name servers that drain.
bool EndpointUpdater::is_discovery_silent() const {
  return config_.settings.discovery == fernward::DiscoveryMode::Push && discovery_watch_ != nullptr &&
         discovery_watch_->is_awaiting_response();
}

void EndpointUpdater::load_configured_list() {
  if (!read_configured_list()) return;
  apply(full_list(config_.static_nodes ? fernward::EndpointListKind::Full
                                       : fernward::EndpointListKind::Cached));
}

bool EndpointUpdater::read_configured_list() {
  if (config_.known_endpoints.is_null()) return false;
  try {
    table_.apply(config_.known_endpoints);
    return true;
  } catch (const endpoints::InvalidEndpointList& invalid_list) {
    log::line("cached-endpoints-damaged", {{"why", invalid_list.what()}});
    return false;
  }
}

fernward::EndpointList EndpointUpdater::full_list(fernward::EndpointListKind kind) const {
  fernward::EndpointList list;
  list.kind = kind;
  for (const auto& [id, endpoint] : table_.endpoints_by_id()) list.servers.push_back(endpoint.server);
  return list;
}

// ---- sources ----

void EndpointUpdater::watch_sources() {
  if (config_.nodes_file.empty()) {
    file_watch_.reset();
  } else if (file_watch_ == nullptr || file_watch_->path() != config_.nodes_file) {
    file_watch_ = watch_file(config_.nodes_file);
  }
  const std::string& discovery = config_.discovery_address;
  if (discovery.empty()) {
    discovery_watch_.reset();
    new_discovery_watch_.reset();
  } else if (discovery_watch_ == nullptr) {
    new_discovery_watch_.reset();
    discovery_watch_ = watch_discovery(discovery);
  } else if (discovery_watch_->address() == discovery) {
    new_discovery_watch_.reset(); // back to the old address before the new one has provided a list
    discovery_watch_->refresh();  // its pending request may never get a response
  } else if (new_discovery_watch_ != nullptr && new_discovery_watch_->address() == discovery) {
    new_discovery_watch_->refresh();
  } else {
    new_discovery_watch_ = watch_discovery(discovery);
  }
}

std::unique_ptr<endpoints::EndpointFileWatch> EndpointUpdater::watch_file(const std::string& path) {
  return std::make_unique<endpoints::EndpointFileWatch>(parts_.timers, path, [this](const std::string& text) {
    apply(table_.apply(text));
    return table_.index();
  });
}

std::unique_ptr<endpoints::EndpointWatch> EndpointUpdater::watch_discovery(const std::string& address) {
  return std::make_unique<endpoints::EndpointWatch>(
      parts_.base, parts_.timers, address,
      discovery::Subscription(subscription_settings(config_), config_.seed, known_index()),
      [this, address](const std::string& text, std::uint64_t min_index) {
        return on_discovery_response(text, address, min_index);
      });
}

// The index of the current list, to which deltas can be applied; none: there is no list.
std::optional<std::uint64_t> EndpointUpdater::known_index() const {
  if (table_.endpoints_by_id().empty()) return std::nullopt;
  return table_.index();
}

void EndpointUpdater::poll_discovery() {
  if (new_discovery_watch_ != nullptr) new_discovery_watch_->poll();
  if (discovery_watch_ != nullptr) discovery_watch_->poll();
}

discovery::Answer EndpointUpdater::on_discovery_response(const std::string& text,
                                                         const std::string& source_address,
                                                         std::uint64_t min_index) {
  const double started_ms = loop::now_ms();
  fernward::EndpointList list = table_.apply(text, min_index);
  const bool complete = list.kind == fernward::EndpointListKind::Full;
  const std::size_t entry_count = list.servers.size();
  parts_.timers.cancel(initial_list_timer_);
  apply(std::move(list));
  log::routine_line("endpoints-updated", {{"index", table_.index()},
                                          {"complete", complete ? "yes" : "no"},
                                          {"entries", entry_count},
                                          {"ms", loop::now_ms() - started_ms}});
  if (complete && new_discovery_watch_ != nullptr && new_discovery_watch_->address() == source_address) {
    log::line("discovery-connected", {{"name", config_.name}, {"address", source_address}});
    discovery_watch_ = std::move(new_discovery_watch_);
  }
  return {table_.index(), complete};
}

// ---- table, overrides, pool, dispatcher ----

void EndpointUpdater::apply(fernward::EndpointList list) {
  const bool is_delta = list.kind == fernward::EndpointListKind::Delta;
  if (is_delta) {
    for (fernward::Server& server : list.servers) apply_change(server);
  } else {
    apply_full(list);
  }
  if (!is_delta || !list.servers.empty()) parts_.dispatcher.update_endpoints(std::move(list));
  if (on_updated_) on_updated_();
}

void EndpointUpdater::apply_full(fernward::EndpointList& list) {
  auto endpoints = table_.endpoints_by_id();
  std::vector<std::string> cache_names;
  for (const auto& [id, endpoint] : endpoints) {
    if (is_cache(endpoint.server)) cache_names.push_back(endpoint.name);
  }
  overrides_.set_endpoints(cache_names);
  for (auto& [id, endpoint] : endpoints) endpoint.server = overrides_.apply(endpoint.name, endpoint.server);
  for (fernward::Server& server : list.servers) {
    if (const auto found = endpoints.find(server.id); found != endpoints.end()) server = found->second.server;
  }
  parts_.pool.update_endpoints(endpoints);
}

void EndpointUpdater::apply_change(fernward::Server& server) {
  const endpoints::Endpoint* const previous = parts_.pool.endpoint(server.id);
  const auto found = table_.endpoints_by_id().find(server.id);
  const bool is_listed = found != table_.endpoints_by_id().end();
  const bool is_listed_cache = is_listed && is_cache(found->second.server);
  if (previous != nullptr && is_cache(previous->server) &&
      (!is_listed_cache || found->second.name != previous->name)) {
    overrides_.endpoint_removed(previous->name);
  }
  if (is_listed_cache) overrides_.endpoint_added(found->second.name);
  if (!is_listed) return parts_.pool.update_endpoint(server.id, nullptr);
  endpoints::Endpoint endpoint = found->second;
  endpoint.server = overrides_.apply(endpoint.name, endpoint.server);
  server = endpoint.server;
  parts_.pool.update_endpoint(server.id, &endpoint);
}

void EndpointUpdater::refresh_endpoint(const std::string& name) {
  const auto found = table_.endpoints_by_id().find(endpoints::id_of(name));
  if (found == table_.endpoints_by_id().end() || found->second.name != name) return;
  fernward::EndpointList list;
  list.kind = fernward::EndpointListKind::Delta;
  list.servers.push_back(found->second.server);
  apply(std::move(list));
}

bool EndpointUpdater::is_cache(const fernward::Server& server) const {
  return static_cast<std::int64_t>(server.kind) != config_.settings.origin_kind;
}

} // namespace fernward::router
