#include "router/router.h"

#include <stdexcept>
#include <utility>
#include <vector>

#include "config/json.h"
#include "gossip/balancer_exchange.h"
#include "log/log.h"
#include "memory/allocations.h"
#include "router/router_options.h"

namespace fernward::router {
namespace {

// Callbacks of traffic before checking for events of the first priority again.
constexpr int kMaxCallbacksPerDispatch = 64;
constexpr int kPriorityCount = 2; // first: discovery and the control port; second: everything else
constexpr double kTakeoverTimeoutMs = 2500;

// Null: allocations are not counted.
memory_budget::MemoryBudget::Measure measure_of_allocations() {
  if (!memory::is_counting()) return nullptr;
  return [] { return memory::allocated_bytes(); };
}

} // namespace

EventBasePtr make_event_base() {
  event_config* config = event_config_new();
  // Deadlines are as short as a few milliseconds.
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_config_set_max_dispatch_interval(config, nullptr, kMaxCallbacksPerDispatch, 1);
  EventBasePtr base(event_base_new_with_config(config));
  event_config_free(config);
  if (base == nullptr) throw std::runtime_error("libevent: cannot create an event base");
  event_base_priority_init(base.get(), kPriorityCount);
  return base;
}

Router::Router(const config::Config& config, event_base* base, hot_restart::InheritedState* inherited,
               const config::RouterFleetConfig* fleet)
    : config_(config),
      base_(base),
      timers_(base),
      router_stats_(config.names.classes),
      descriptors_(connection_descriptors(config)),
      memory_budget_(static_cast<std::size_t>(config.memory_mb) << 20, measure_of_allocations()),
      request_buffers_(config::request_buffer_limit_bytes(config.memory_mb), &memory_budget_),
      buffer_budget_(buffer_budget_options(config), &memory_budget_),
      body_stores_(retention_limits(config), buffer_budget_, config.spill_folder, &memory_budget_),
      dispatcher_(base, timers_, fernward::Balancer(config.settings, config.seed), config.settings,
                  buffer_budget_, dispatcher_options(config)),
      pool_(base, timers_, descriptors_, buffer_budget_, router_stats_, pool_options(config), dispatcher_,
            [this] { return listener_.evict_connection("recalled"); }),
      listener_(base, timers_, descriptors_, memory_budget_, request_buffers_, buffer_budget_, body_stores_,
                router_stats_, listener_options(config, inherited), downstream_rules(config),
                listener_callbacks()),
      endpoint_updater_(config_, {base_, timers_, dispatcher_, pool_}),
      shutdown_({base_, timers_, dispatcher_, listener_}),
      reload_({config_, dispatcher_, listener_, router_stats_, endpoint_updater_}),
      memory_monitor_(
          {timers_, router_stats_, memory_budget_, request_buffers_, buffer_budget_, body_stores_.retained,
           listener_, [this] { dispatcher_.resume_responses_awaiting_budget(); }},
          config.memory_mb, reserved_memory_bytes(config)),
      stats_reporter_({timers_, router_stats_, dispatcher_, endpoint_updater_, memory_monitor_}),
      control_commands_({router_stats_, shutdown_, endpoint_updater_, [this](const auto& endpoint_override) {
                           if (hot_restart_ != nullptr) hot_restart_->on_override_changed(endpoint_override);
                         }}) {
  dispatcher_.attach(listener_, pool_);
  dispatcher_.set_discovery_poll([this] { endpoint_updater_.poll_discovery(); });
  endpoint_updater_.set_on_updated([this] {
    if (hot_restart_ != nullptr) hot_restart_->on_endpoints_updated();
  });
  if (config_.reloadable) apply_log_settings(config_.log);
  load_initial_list(inherited);
  if (!config_.hot_restart_path.empty()) start_hot_restart(inherited);
  endpoint_updater_.watch_sources();
  if (!config_.control_address.empty()) start_control();
  if (fleet != nullptr) start_gossip(*fleet);
  stats_reporter_.start();
  log_listening();
}

Router::~Router() {
  stats_reporter_.report();
  log::line("stopped", {{"name", config_.name},
                        {"unanswered", dispatcher_.unanswered_requests()},
                        {"egress_opened", pool_.opened_count()},
                        {"resets_after_rest", pool_.resets_after_idle()},
                        {"dropped", log::dropped_lines()}});
}

void Router::load_initial_list(hot_restart::InheritedState* inherited) {
  if (inherited != nullptr) endpoint_updater_.overrides().merge(inherited->grant.overrides);
  const bool has_inherited_list = inherited != nullptr && !inherited->grant.endpoint_list.empty();
  if (has_inherited_list) config_.known_endpoints = config::parse_json(inherited->grant.endpoint_list);
  endpoint_updater_.load_initial_list(has_inherited_list);
}

void Router::start_hot_restart(hot_restart::InheritedState* inherited) {
  HotRestartOptions options{config_.hot_restart_path,      config_.name,
                            config_.listen_address,        connection_descriptors(config_),
                            reserved_descriptors(config_), config_.memory_mb};
  HotRestartParts parts{base_,
                        timers_,
                        descriptors_,
                        request_buffers_,
                        buffer_budget_,
                        memory_monitor_,
                        listener_,
                        pool_,
                        endpoint_updater_.overrides(),
                        endpoint_updater_.table(),
                        [this](const std::string& name) { endpoint_updater_.refresh_endpoint(name); },
                        [this] { return is_ready(); }};
  hot_restart_ = std::make_unique<HotRestartCoordinator>(std::move(parts), std::move(options), inherited);
  shutdown_.set_hot_restart(hot_restart_.get());
  hot_restart_->on_endpoints_updated();
}

void Router::start_control() {
  control::ControlServerOptions options;
  options.address = config_.control_address;
  control_server_ = std::make_unique<control::ControlServer>(
      base_, timers_, options,
      [this](const control::ControlCommand& command) { return control_commands_.handle(command); });
}

void Router::start_gossip(const config::RouterFleetConfig& fleet) {
  const gossip::GossipFeatures features{fleet.share_origin_limit, fleet.use_live_router_count,
                                        fleet.share_node_findings};
  const auto own_state = [this, features] { return gossip::local_reports(dispatcher_.balancer(), features); };
  const auto on_fleet_updated = [this, features](gossip::GossipNode& gossip_node, double now_ms) {
    std::vector<fernward::Event> events;
    gossip::append_fleet_events(now_ms, gossip_node.view(now_ms), gossip_node, features, events);
    dispatcher_.on_fleet_events(std::move(events));
  };
  gossip_ = std::make_unique<gossip_transport::Transport>(
      timers_, gossip_options(fleet, config_), gossip_transport::Callbacks{own_state, on_fleet_updated});
  shutdown_.set_gossip(gossip_.get());
  stats_reporter_.add_gossip(*gossip_);
}

void Router::log_listening() const {
  const char* endpoint_source = "fixed";
  if (!config_.nodes_file.empty()) endpoint_source = config_.nodes_file.c_str();
  if (!config_.discovery_address.empty()) endpoint_source = config_.discovery_address.c_str();
  log::line("listening", {{"name", config_.name},
                          {"listen", config_.listen_address},
                          {"port", port()},
                          {"nodes", endpoint_source}});
}

downstream::ListenerCallbacks Router::listener_callbacks() {
  return {[this](loop::Handle client, proxy::ClientRequest request) {
            // The configuration's list may be out of date.
            if (endpoint_updater_.is_awaiting_initial_list()) return loop::Handle{0};
            return dispatcher_.open_request(client, std::move(request));
          },
          [this](const std::string& id) { return dispatcher_.is_active_id(id); },
          [this](loop::Handle request, double received_at_ms) {
            dispatcher_.update_received_at(request, received_at_ms);
          },
          [this](loop::Handle request) { dispatcher_.client_disconnected(request); },
          [this] { return endpoint_updater_.is_ready(); },
          [this] { shutdown_.on_connections_closed(); },
          [this] { return pool_.evict_oldest_free(upstream::CloseReason::EvictedForClient); },
          [this](loop::Handle request) { dispatcher_.response_drained(request); }};
}

std::optional<hot_restart::InheritedState> request_inherited_state(const config::Config& config) {
  if (config.hot_restart_path.empty()) return std::nullopt;
  const hot_restart::TakeoverRequest request{config.name, config.listen_address,
                                             reserved_descriptors(config)};
  std::string error;
  auto inherited = hot_restart::request_takeover(config.hot_restart_path, request, kTakeoverTimeoutMs, error);
  // After a failure this process listens in parallel with the old one.
  if (!error.empty()) log::line("hot-restart-failed", {{"why", error}});
  return inherited;
}

} // namespace fernward::router
