#include "router/endpoint_updater.h"

#include <utility>
#include <vector>

#include "log/log.h"
#include "router/router_options.h"

namespace fernward::router {
namespace {

// How long requests are shed while waiting for discovery's first list. After that the configuration's list is
// used.
constexpr double kFirstListWaitMs = 2000;

} // namespace

EndpointUpdater::EndpointUpdater(const config::Config& config, EndpointUpdaterParts parts)
    : config_(config),
      parts_(parts),
      table_(config.names.zones, config.names.kinds, !config.handover.empty()) {}

// ---- the configuration's list ----

// The dispatcher receives the configuration's list even while discovery's list is pending: applying
// discovery's list then costs only the differences.
void EndpointUpdater::load_first_list(bool inherited) {
  if (inherited || config_.nodes_fixed || config_.discovery.empty()) return load_configured_list();
  if (read_configured_list()) apply(full_list(fernward::EndpointListKind::Cached));
  first_list_timer_ = parts_.timers.at(loop::now_ms() + kFirstListWaitMs, [this] {
    first_list_timer_ = 0;
    log::line("cached-endpoints-used", {{"name", config_.name}, {"waited_ms", kFirstListWaitMs}});
  });
}

void EndpointUpdater::load_configured_list() {
  if (!read_configured_list()) return;
  apply(
      full_list(config_.nodes_fixed ? fernward::EndpointListKind::Full : fernward::EndpointListKind::Cached));
}

bool EndpointUpdater::read_configured_list() {
  if (config_.known.is_null()) return false;
  try {
    table_.apply(config_.known);
    return true;
  } catch (const endpoints::Damaged& damage) {
    log::line("cached-endpoints-damaged", {{"why", damage.what()}});
    return false;
  }
}

fernward::EndpointList EndpointUpdater::full_list(fernward::EndpointListKind kind) const {
  fernward::EndpointList list;
  list.kind = kind;
  for (const auto& [id, endpoint] : table_.targets()) list.servers.push_back(endpoint.entry);
  return list;
}

// ---- sources ----

void EndpointUpdater::watch_sources() {
  if (config_.nodes_file.empty()) {
    file_watch_.reset();
  } else if (file_watch_ == nullptr || file_watch_->path() != config_.nodes_file) {
    file_watch_ = watch_file(config_.nodes_file);
  }
  const std::string& discovery = config_.discovery;
  if (discovery.empty()) {
    watch_.reset();
    next_watch_.reset();
  } else if (watch_ == nullptr) {
    next_watch_.reset();
    watch_ = watch_discovery(discovery);
  } else if (watch_->address() == discovery) {
    next_watch_.reset(); // back to the old address before the new one has provided a list
    watch_->refresh();   // its pending call may never be answered
  } else if (next_watch_ != nullptr && next_watch_->address() == discovery) {
    next_watch_->refresh();
  } else {
    next_watch_ = watch_discovery(discovery);
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
      discovery::Subscription(subscription_rules(config_), config_.seed, known_version()),
      [this, address](const std::string& text, std::uint64_t at_least) {
        return on_discovery_answer(text, address, at_least);
      });
}

// The index of the current list, to which deltas can be applied; none: there is no list.
std::optional<std::uint64_t> EndpointUpdater::known_version() const {
  if (table_.targets().empty()) return std::nullopt;
  return table_.index();
}

void EndpointUpdater::poll_discovery() {
  if (next_watch_ != nullptr) next_watch_->poll();
  if (watch_ != nullptr) watch_->poll();
}

discovery::Answer EndpointUpdater::on_discovery_answer(const std::string& text, const std::string& from,
                                                       std::uint64_t at_least) {
  const double started_ms = loop::now_ms();
  fernward::EndpointList list = table_.apply(text, at_least);
  const bool complete = list.kind == fernward::EndpointListKind::Full;
  const std::size_t entries = list.servers.size();
  parts_.timers.cancel(first_list_timer_);
  apply(std::move(list));
  log::routine("endpoints-updated", {{"index", table_.index()},
                                     {"complete", complete ? "yes" : "no"},
                                     {"entries", entries},
                                     {"ms", loop::now_ms() - started_ms}});
  if (complete && next_watch_ != nullptr && next_watch_->address() == from) {
    log::line("discovery-connected", {{"name", config_.name}, {"address", from}});
    watch_ = std::move(next_watch_);
  }
  return {table_.index(), complete};
}

// ---- table, overrides, pool, dispatcher ----

void EndpointUpdater::apply(fernward::EndpointList list) {
  const bool is_change = list.kind == fernward::EndpointListKind::Delta;
  if (is_change) {
    for (fernward::Server& server : list.servers) apply_change(server);
  } else {
    apply_full(list);
  }
  if (!is_change || !list.servers.empty()) parts_.dispatcher.update_endpoints(std::move(list));
  if (updated_) updated_();
}

void EndpointUpdater::apply_full(fernward::EndpointList& list) {
  auto endpoints = table_.targets();
  std::vector<std::string> caches;
  for (const auto& [id, endpoint] : endpoints) {
    if (is_cache(endpoint.entry)) caches.push_back(endpoint.name);
  }
  overrides_.set_endpoints(caches);
  for (auto& [id, endpoint] : endpoints) endpoint.entry = overrides_.apply(endpoint.name, endpoint.entry);
  for (fernward::Server& server : list.servers) {
    if (const auto found = endpoints.find(server.id); found != endpoints.end()) server = found->second.entry;
  }
  parts_.pool.update_endpoints(endpoints);
}

void EndpointUpdater::apply_change(fernward::Server& server) {
  const endpoints::Endpoint* const before = parts_.pool.endpoint(server.id);
  const auto found = table_.targets().find(server.id);
  const bool listed = found != table_.targets().end();
  const bool cache = listed && is_cache(found->second.entry);
  if (before != nullptr && is_cache(before->entry) && (!cache || found->second.name != before->name)) {
    overrides_.endpoint_removed(before->name);
  }
  if (cache) overrides_.endpoint_added(found->second.name);
  if (!listed) return parts_.pool.update_endpoint(server.id, nullptr);
  endpoints::Endpoint endpoint = found->second;
  endpoint.entry = overrides_.apply(endpoint.name, endpoint.entry);
  server = endpoint.entry;
  parts_.pool.update_endpoint(server.id, &endpoint);
}

void EndpointUpdater::refresh(const std::string& name) {
  const auto found = table_.targets().find(endpoints::id_of(name));
  if (found == table_.targets().end() || found->second.name != name) return;
  fernward::EndpointList list;
  list.kind = fernward::EndpointListKind::Delta;
  list.servers.push_back(found->second.entry);
  apply(std::move(list));
}

bool EndpointUpdater::is_cache(const fernward::Server& server) const {
  return static_cast<std::int64_t>(server.kind) != config_.settings.origin_kind;
}

} // namespace fernward::router
