#include "router/router.h"

#include <stdexcept>
#include <utility>
#include <vector>

#include "config/json.h"
#include "gossip/advice.h"
#include "log/log.h"
#include "router/router_options.h"

namespace fernward::router {
namespace {

constexpr int kMaxCallbacksAtOnce = 64; // of traffic, before checking for events of the first priority again
constexpr int kPriorities = 2;          // first: discovery and the control port; second: everything else
constexpr double kInheritTimeoutMs = 2500;

} // namespace

BasePtr make_base() {
  event_config* config = event_config_new();
  // Deadlines are as short as a few milliseconds.
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_config_set_max_dispatch_interval(config, nullptr, kMaxCallbacksAtOnce, 1);
  BasePtr base(event_base_new_with_config(config));
  event_config_free(config);
  if (base == nullptr) throw std::runtime_error("libevent: cannot create an event base");
  event_base_priority_init(base.get(), kPriorities);
  return base;
}

Router::Router(const config::Config& config, event_base* base, hot_restart::Inherited* inherited,
               const config::Fleet* fleet)
    : config_(config),
      base_(base),
      timers_(base),
      figures_(config.names.classes),
      descriptors_(connection_descriptors(config)),
      request_buffers_(config::buffer_bytes(config.memory_mb)),
      buffer_budget_(buffer_budget_options(config)),
      bodies_(retention_limits(config), buffer_budget_, config.body_folder),
      dispatcher_(base, timers_, fernward::Balancer(config.settings, config.seed), config.settings,
                  buffer_budget_, dispatcher_options(config)),
      pool_(base, timers_, descriptors_, buffer_budget_, figures_, pool_options(config), dispatcher_,
            [this] { return listener_.let_go("recalled"); }),
      listener_(base, timers_, descriptors_, request_buffers_, buffer_budget_, bodies_, figures_,
                listener_options(config, inherited), downstream_rules(config), listener_calls()),
      endpoints_(config_, {base_, timers_, dispatcher_, pool_}),
      shutdown_({base_, timers_, dispatcher_, listener_}),
      reload_({config_, dispatcher_, listener_, figures_, endpoints_}),
      stats_({timers_, figures_, dispatcher_, endpoints_}),
      control_calls_({figures_, shutdown_, endpoints_, [this](const auto& changed) {
                        if (hot_restart_ != nullptr) hot_restart_->on_override(changed);
                      }}) {
  dispatcher_.attach(listener_, pool_);
  dispatcher_.set_discovery_poll([this] { endpoints_.poll_discovery(); });
  endpoints_.on_updated([this] {
    if (hot_restart_ != nullptr) hot_restart_->on_endpoints_updated();
  });
  if (config_.movable) apply_log_rules(config_.log);
  load_first_list(inherited);
  if (!config_.handover.empty()) start_hot_restart(inherited);
  endpoints_.watch_sources();
  if (!config_.control.empty()) start_control();
  if (fleet != nullptr) start_gossip(*fleet);
  stats_.start();
  log_listening();
}

Router::~Router() {
  stats_.report();
  log::line("stopped", {{"name", config_.name},
                        {"unanswered", dispatcher_.unanswered_requests()},
                        {"egress_opened", pool_.opened()},
                        {"resets_after_rest", pool_.resets_after_idle()},
                        {"dropped", log::dropped()}});
}

void Router::load_first_list(hot_restart::Inherited* inherited) {
  if (inherited != nullptr) endpoints_.overrides().adopt(inherited->grant.overrides);
  const bool with_list = inherited != nullptr && !inherited->grant.list.empty();
  if (with_list) config_.known = config::parse_json(inherited->grant.list);
  endpoints_.load_first_list(with_list);
}

void Router::start_hot_restart(hot_restart::Inherited* inherited) {
  HotRestartOptions options{config_.handover,
                            config_.name,
                            config_.listen,
                            connection_descriptors(config_),
                            reserved_descriptors(config_),
                            config_.memory_mb};
  HotRestartParts parts{base_,
                        timers_,
                        descriptors_,
                        request_buffers_,
                        buffer_budget_,
                        listener_,
                        pool_,
                        endpoints_.overrides(),
                        endpoints_.table(),
                        [this](const std::string& name) { endpoints_.refresh(name); },
                        [this] { return ready(); }};
  hot_restart_ = std::make_unique<HotRestartCoordinator>(std::move(parts), std::move(options), inherited);
  shutdown_.set_hot_restart(hot_restart_.get());
  hot_restart_->on_endpoints_updated();
}

void Router::start_control() {
  control::PortOptions options;
  options.address = config_.control;
  control_ = std::make_unique<control::Port>(
      base_, timers_, options, [this](const control::Call& call) { return control_calls_.answer(call); });
}

void Router::start_gossip(const config::Fleet& fleet) {
  const gossip::Uses uses{fleet.ledger, fleet.count, fleet.findings};
  const auto own = [this, uses] { return gossip::own_of(dispatcher_.balancer(), uses); };
  const auto heard = [this, uses](gossip::Fleet& told, double now) {
    std::vector<fernward::Event> events;
    gossip::advise(now, told.view(now), told, uses, events);
    dispatcher_.on_fleet_events(std::move(events));
  };
  gossip_ = std::make_unique<gossip_transport::Link>(timers_, gossip_options(fleet, config_),
                                                     gossip_transport::Calls{own, heard});
  shutdown_.set_gossip(gossip_.get());
  stats_.add_gossip(*gossip_);
}

void Router::log_listening() const {
  const char* nodes = "fixed";
  if (!config_.nodes_file.empty()) nodes = config_.nodes_file.c_str();
  if (!config_.discovery.empty()) nodes = config_.discovery.c_str();
  log::line("listening",
            {{"name", config_.name}, {"listen", config_.listen}, {"port", port()}, {"nodes", nodes}});
}

downstream::ListenerCalls Router::listener_calls() {
  return {[this](loop::Handle client, proxy::ClientRequest request) {
            // The configuration's list may be out of date.
            if (endpoints_.awaits_first_list()) return loop::Handle{0};
            return dispatcher_.open_request(client, std::move(request));
          },
          [this](const std::string& id) { return dispatcher_.is_waiting_for(id); },
          [this](loop::Handle request) { dispatcher_.body_complete(request); },
          [this](loop::Handle request) { dispatcher_.client_disconnected(request); },
          [this] { return endpoints_.ready(); },
          [this] { shutdown_.on_connections_closed(); },
          [this] { return pool_.evict_oldest_idle(upstream::CloseReason::Recalled); },
          [this](loop::Handle request) { dispatcher_.response_drained(request); }};
}

std::optional<hot_restart::Inherited> inherit(const config::Config& config) {
  if (config.handover.empty()) return std::nullopt;
  const hot_restart::TakeoverRequest request{config.name, config.listen, reserved_descriptors(config)};
  std::string fault;
  auto inherited = hot_restart::request_takeover(config.handover, request, kInheritTimeoutMs, fault);
  // After a failure this process listens in parallel with the old one.
  if (!fault.empty()) log::line("hot-restart-failed", {{"why", fault}});
  return inherited;
}

} // namespace fernward::router
