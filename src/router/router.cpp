#include "router/router.h"

#include <algorithm>
#include <stdexcept>

#include "config/json.h"
#include "gossip/advice.h"
#include "log/log.h"

namespace fernward::router {

using fernward::ServerState;

namespace {

constexpr double kAcceptOnMs = 500;       // clients go on coming for this long after SIGTERM
constexpr double kFinishMs = 600;         // and what they brought gets this long beyond its deadline
constexpr double kLongestWaitedMs = 3000; // that the platform counts as the longest deadline before SIGKILL
constexpr double kServeOnMs = 1500;  // kept connections are served on for half of the time, but no longer
constexpr double kLastWordMs = 100;  // before the end, for what is given up then to reach its client
constexpr double kFiguresMs = 10000; // what was given up is told this often
constexpr std::size_t kShortBody = 64 * 1024;
constexpr std::size_t kKernelsOwn = 64 * 1024; // a connection's receive buffer as the kernel makes it, about
constexpr std::size_t kLeastReceived = 32 * 1024; // the kernel doubles it for its own
constexpr std::size_t kControlReserved = 4; // and these with the second address: half of the others lie idle
constexpr double kAskMs = 2500;             // for the process that this one replaces to answer
constexpr double kPassedMs = 5;             // passed connections that have not left are looked at this often
constexpr int kCallbacksAtOnce =
    64; // of traffic, before discovery and the operators' calls are looked for again
// A new process waits this long for discovery's first list before it serves from the list that it had last: what discovery
// has counts as told from the process's first moment. In an outage it serves from the old list then.
constexpr double kFirstListMs = 2000;

std::size_t reserved(const config::Config& config) {
  return config::kReserved + (config.control.empty() ? 0 : kControlReserved);
}

std::size_t places(const config::Config& config) {
  return std::max<std::size_t>(config.sockets, reserved(config) + 16) - reserved(config);
}

// What the kernel may hold for the connections of each side. It is no memory of this process, but of its machine.
std::size_t kernel_bytes(const config::Config& config) {
  return (static_cast<std::size_t>(config.memory_mb) << 20) / 4;
}

proxy::RequestDispatcherOptions driver_options(const config::Config& config) {
  proxy::RequestDispatcherOptions options;
  options.grace_ms = config.limits.grace_to_answer_ms;
  options.max_requests = static_cast<std::size_t>(config.limits.open_cap);
  options.discovery_poll_interval_ms =
      config.limits.drain_grace_ms / 10; // the rest of the grace is for reading the list
  return options;
}

upstream::ConnectionPoolOptions pool_options(const config::Config& config) {
  upstream::ConnectionPoolOptions options;
  options.connect_timeout_ms = config.limits.connect_timeout_ms;
  options.idle_ms = 0.7 * config.limits.conn_idle_ms; // well before the target closes it
  options.scarce_kind = config.settings.origin_kind;
  options.report_fields = config.names.report_fields;
  options.answers.max_body_bytes = config.answer_bytes;
  const std::size_t each = kernel_bytes(config) / (places(config) / 2);
  if (each < kKernelsOwn) options.receive_bytes = static_cast<int>(std::max(each, kLeastReceived));
  return options;
}

body_buffers::BufferBudgetOptions account_options(const config::Config& config) {
  body_buffers::BufferBudgetOptions options;
  options.total_bytes = config::body_bytes(config.memory_mb);
  options.max_holders =
      places(config); // of answers; and of bodies that are passed on, where these may be long
  if (config.request_bytes > kShortBody) options.max_holders *= 2;
  return options;
}

body_buffers::RetentionLimits keep_rules(const config::Config& config) {
  const std::uint64_t memory = static_cast<std::uint64_t>(config.memory_mb) << 20;
  body_buffers::RetentionLimits rules;
  rules.max_body_bytes = config.request_bytes;
  rules.max_memory_per_body = std::min<std::uint64_t>(memory / 64, 512 << 10);
  rules.max_memory_bytes = memory / 8;
  rules.max_file_bytes =
      config.body_folder.empty() ? 0 : static_cast<std::uint64_t>(config.body_folder_mb) << 20;
  rules.max_file_per_body = rules.max_file_bytes / 4;
  rules.stream_after_bytes = kShortBody;
  return rules;
}

downstream::ListenerOptions listener_options(const config::Config& config, hot_restart::Inherited* from) {
  downstream::ListenerOptions options;
  options.listening = from == nullptr ? -1 : from->listening.release();
  options.share_port = !config.control.empty(); // what is left where the channel fails
  options.address = config.listen;
  options.short_body = kShortBody;
  options.unsent_bytes = static_cast<int>(
      std::clamp(kernel_bytes(config) / (config.sockets / 3), std::size_t{16} << 10, std::size_t{64} << 10));
  // Clients hold at most a third of the descriptors for requests: none of them can open one more when all of
  // these rest, however many places this router has.
  options.clients.places = std::min<std::size_t>(config.sockets / 3, places(config));
  return options;
}

// How long a request that was taken at the last moment may still take. The platform waits no longer than kLongestWaitedMs for
// it; a sidecar, whose router is `movable`, for the longest of its own classes.
double longest_give_up(const config::Config& config) {
  double longest = 0;
  for (const auto& cls : config.settings.classes) longest = std::max(longest, cls.client_timeout_ms);
  if (!config.movable) longest = std::min(longest, kLongestWaitedMs);
  return longest > 0 ? longest : kLongestWaitedMs;
}

// Where lists are pushed a change counts at once, and half of the grace may pass before discovery is asked again. Where they
// are asked for it counts later, and discovery is one service that all routers load.
discovery::SubscriptionRules subscription_rules(const config::Config& config) {
  discovery::SubscriptionRules rules;
  const bool pushed = config.settings.discovery == fernward::DiscoveryMode::Push;
  rules.max_pause_ms = pushed ? std::min(config.limits.drain_grace_ms / 2, rules.max_useless_pause_ms)
                              : rules.max_useless_pause_ms;
  rules.first_pause_ms = std::min(rules.first_pause_ms, rules.max_pause_ms);
  return rules;
}

downstream::Rules ingress_rules(const config::Config& config) {
  return {config.names, config.settings, config.map, config.make_ids};
}

void take_log_rules(const config::LogRules& rules) {
  log::limit(rules.per_second, rules.burst);
  log::write_json(rules.json);
  log::write_routine(rules.connections);
}

} // namespace

BasePtr make_base() {
  event_config* config = event_config_new();
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER); // deadlines of some milliseconds
  event_config_set_max_dispatch_interval(config, nullptr, kCallbacksAtOnce, 1);
  BasePtr base(event_base_new_with_config(config));
  event_config_free(config);
  if (base != nullptr) event_base_priority_init(base.get(), 2); // all else is in the second
  if (base == nullptr) throw std::runtime_error("libevent: no event base");
  return base;
}

Router::Router(const config::Config& config, event_base* base, hot_restart::Inherited* from,
               const config::Fleet* fleet)
    : config_(config),
      base_(base),
      deadlines_(base),
      figures_(config.names.classes),
      account_(places(config)),
      buffers_(config::buffer_bytes(config.memory_mb)),
      bytes_(account_options(config)),
      bodies_(keep_rules(config), bytes_, config.body_folder),
      table_(config.names.zones, config.names.kinds, !config.handover.empty()),
      driver_(base, deadlines_, fernward::Balancer(config.settings, config.seed), config.settings, bytes_,
              driver_options(config)),
      pool_(base, deadlines_, account_, bytes_, figures_, pool_options(config), driver_,
            [this] { return listener_.let_go("recalled"); }),
      listener_(base, deadlines_, account_, buffers_, bytes_, bodies_, figures_,
                listener_options(config, from), ingress_rules(config), listener_calls()) {
  driver_.attach(listener_, pool_);
  driver_.set_discovery_poll([this] {
    if (next_watch_ != nullptr) next_watch_->look();
    if (watch_ != nullptr) watch_->look();
  });
  if (config_.movable) take_log_rules(config_.log);
  add_gauges();
  if (from != nullptr) bans_.adopt(from->welcome.known);
  take_first_list(from);
  if (!config_.handover.empty()) {
    HotRestartOptions options{config_.handover, config_.name,      config_.listen,
                              places(config_),  reserved(config_), config_.memory_mb};
    succession_ = std::make_unique<HotRestartCoordinator>(
        HotRestartParts{base_, deadlines_, account_, buffers_, bytes_, listener_, pool_, bans_, table_,
                        [this](const std::string& name) { relist(name); }, [this] { return serves(); }},
        std::move(options), from);
    succession_->began();
  }
  follow(config_);
  if (!config_.control.empty()) {
    control::PortOptions port;
    port.address = config_.control;
    control_ = std::make_unique<control::Port>(base_, deadlines_, port,
                                               [this](const control::Call& call) { return answer(call); });
  }
  if (fleet != nullptr) join(*fleet);
  again(kFiguresMs, [this] { tell_figures(); });
  log::line("serves", {{"name", config_.name},
                       {"listen", config_.listen},
                       {"port", port()},
                       {"nodes", !config_.discovery.empty()    ? config_.discovery
                                 : !config_.nodes_file.empty() ? config_.nodes_file
                                                               : "fixed"}});
}

void Router::join(const config::Fleet& fleet) {
  gossip_transport::Options options;
  options.self = static_cast<gossip::Id>(fleet.self);
  options.listen = fleet.listen;
  options.peers = fleet.peers;
  options.rules = {fleet.period_ms, fleet.asked};
  options.seed = config_.seed;
  if (const auto zone = config_.settings.zone) options.zone = static_cast<std::uint8_t>(*zone);
  const gossip::Uses uses{fleet.ledger, fleet.count, fleet.findings};
  const auto own = [this, uses] { return gossip::own_of(driver_.balancer(), uses); };
  const auto heard = [this, uses](gossip::Fleet& told, double now) {
    std::vector<fernward::Event> events;
    gossip::advise(now, told.view(now), told, uses, events);
    driver_.on_fleet_events(std::move(events));
  };
  peers_ = std::make_unique<gossip_transport::Link>(deadlines_, options, gossip_transport::Calls{own, heard});
  figures_.gauge("fleet_living", [this] { return static_cast<double>(peers_->fleet().members().living()); });
  figures_.gauge("fleet_limit", [this] { return 1000 * driver_.origin_budget().limit; });
  figures_.gauge("fleet_doubted", [this] { return static_cast<double>(peers_->fleet().doubted()); });
  figures_.gauge("fleet_heard", [this] { return peers_->fleet().view(loop::now_ms()).heard; });
}

Router::~Router() {
  tell_figures();
  log::line("ends", {{"name", config_.name},
                     {"unanswered", driver_.unanswered_requests()},
                     {"egress_opened", pool_.opened()},
                     {"resets_after_rest", pool_.reset_after_rest()},
                     {"dropped", log::dropped()}});
}

void Router::again(double every_ms, std::function<void()> what) {
  deadlines_.at(loop::now_ms() + every_ms, [this, every_ms, what] {
    what();
    again(every_ms, what);
  });
}

// One line for all that was given up since the last one: a line each would be cut when it matters.
void Router::tell_figures() {
  constexpr const char* kNames[] = {"shed",     "queued-late", "unanswered", "unsent",  "allowance",
                                    "attempts", "class",       "no-target",  "rejected"};
  static_assert(std::size(kNames) == static_cast<std::size_t>(fernward::GiveUpReason::Count));
  std::vector<log::Field> fields;
  const auto& given_up = driver_.give_up_counts();
  for (std::size_t i = 0; i < given_up.size(); ++i) {
    if (given_up[i] != told_[i]) fields.emplace_back(kNames[i], given_up[i] - told_[i]);
  }
  told_ = given_up;
  using figures::Outcome;
  const std::uint64_t ended = figures_.all(Outcome::Answered) + figures_.all(Outcome::Deferred) +
                              figures_.all(Outcome::Errored) + figures_.all(Outcome::Gone);
  if (std::exchange(ended_told_, ended) != ended) {
    log::line("figures", {{"answered", figures_.all(Outcome::Answered)},
                          {"deferred", figures_.all(Outcome::Deferred)},
                          {"errored", figures_.all(Outcome::Errored)},
                          {"gone", figures_.all(Outcome::Gone)},
                          {"sends", figures_.sends()},
                          {"current", figures_.current()}});
  }
  tell_slow_start();
  if (peers_ != nullptr) {
    const gossip::Counts c = peers_->fleet().counts();
    log::line("fleet", {{"living", peers_->fleet().members().living()},
                        {"sent", c.sent},
                        {"bytes", c.sent_bytes},
                        {"taken", c.taken},
                        {"damaged", c.damaged},
                        {"passed_over", c.passed_over},
                        {"strangers", peers_->strangers()}});
  }
  if (!fields.empty()) log::line("given-up", fields.data(), fields.size());
}

void Router::tell_slow_start() {
  const fernward::Balancer::SlowStartCounts now = driver_.balancer().slow_start_counts();
  const fernward::Balancer::SlowStartCounts before = std::exchange(slow_start_told_, now);
  if (now.attempts == before.attempts && now.denied == before.denied) return;
  log::line("slow-start",
            {{"sent", now.attempts - before.attempts}, {"held_back", now.denied - before.denied}});
}

downstream::ListenerCalls Router::listener_calls() {
  return {[this](loop::Handle client, proxy::ClientRequest call) {
            if (known_waits_ != 0) return loop::Handle{0}; // the list that the module has may be old
            return driver_.open_request(client, std::move(call));
          },
          [this](const std::string& id) { return driver_.is_waiting_for(id); },
          [this](loop::Handle exchange) { driver_.body_complete(exchange); },
          [this](loop::Handle exchange) { driver_.client_disconnected(exchange); },
          [this] { return known_waits_ == 0 && table_.usable(); },
          [this] { emptied(); },
          [this] { return pool_.let_go("recalled"); },
          [this](loop::Handle exchange) { driver_.response_drained(exchange); }};
}

// The list to begin with. The process that this one replaces has just been told its list. The one in the configuration may be
// old: nothing is sent by it while discovery's own may still come, but changes are laid over it. The module has it all the
// same, so that discovery's list costs it what has changed: a process that has just started must not be held up between
// that list and the changes behind it.
void Router::take_first_list(const hot_restart::Inherited* from) {
  const bool inherited = from != nullptr && !from->welcome.list.empty();
  if (inherited) config_.known = config::parse_json(from->welcome.list);
  if (inherited || config_.nodes_fixed || config_.discovery.empty()) return take_known();
  if (read_known()) spread(all_targets(fernward::EndpointListKind::Cached));
  known_waits_ = deadlines_.at(loop::now_ms() + kFirstListMs, [this] {
    known_waits_ = 0;
    log::line("known-list-used", {{"name", config_.name}, {"waited_ms", kFirstListMs}});
  });
}

bool Router::read_known() {
  if (config_.known.is_null()) return false;
  try {
    table_.apply(config_.known);
    return true;
  } catch (const endpoints::Damaged& damage) {
    log::line("known-damaged", {{"why", damage.what()}});
    return false;
  }
}

void Router::take_known() {
  if (!read_known()) return;
  spread(all_targets(config_.nodes_fixed ? fernward::EndpointListKind::Full
                                         : fernward::EndpointListKind::Cached));
}

fernward::EndpointList Router::all_targets(fernward::EndpointListKind kind) const {
  fernward::EndpointList list;
  list.kind = kind;
  for (const auto& [id, target] : table_.targets()) list.servers.push_back(target.entry);
  return list;
}

// Whoever tells the nodes from now on. The list that was told last stays until then.
void Router::follow(const config::Config& next) {
  if (!next.nodes_file.empty()) {
    if (file_ == nullptr || file_->path() != next.nodes_file) file_ = watch_file(next.nodes_file);
  } else {
    file_.reset();
  }
  if (next.discovery.empty()) {
    watch_.reset();
    next_watch_.reset();
  } else if (watch_ == nullptr) {
    next_watch_.reset();
    watch_ = watch(next.discovery);
  } else if (watch_->address() == next.discovery) {
    next_watch_.reset(); // back again before the other has told anything
    watch_->refresh();   // its open call may be one that is never answered
  } else if (next_watch_ != nullptr && next_watch_->address() == next.discovery) {
    next_watch_->refresh();
  } else {
    // Whatever becomes of the old watch, the route table stays as it is until the new discovery tells its list.
    next_watch_ = watch(next.discovery);
  }
}

std::unique_ptr<endpoints::EndpointFileWatch> Router::watch_file(const std::string& path) {
  return std::make_unique<endpoints::EndpointFileWatch>(deadlines_, path, [this](const std::string& text) {
    spread(table_.apply(text));
    return table_.index();
  });
}

std::unique_ptr<endpoints::EndpointWatch> Router::watch(const std::string& address) {
  return std::make_unique<endpoints::EndpointWatch>(
      base_, deadlines_, address,
      discovery::Subscription(subscription_rules(config_), config_.seed, known_version()),
      [this, address](const std::string& text, std::uint64_t at_least) {
        return take(text, address, at_least);
      });
}

// Of the list that changes can be laid over.
std::optional<std::uint64_t> Router::known_version() const {
  if (table_.targets().empty()) return std::nullopt;
  return table_.index();
}

discovery::Answer Router::take(const std::string& text, const std::string& from, std::uint64_t at_least) {
  const double begun = loop::now_ms();
  fernward::EndpointList list = table_.apply(text, at_least);
  const bool whole = list.kind == fernward::EndpointListKind::Full;
  const std::size_t entries = list.servers.size();
  deadlines_.cancel(known_waits_);
  spread(std::move(list));
  log::routine("list-taken", {{"index", table_.index()},
                              {"whole", whole ? "yes" : "no"},
                              {"entries", entries},
                              {"ms", loop::now_ms() - begun}});
  // The first whole list of the new discovery: the old one has no more say.
  if (whole && next_watch_ != nullptr && next_watch_->address() == from) {
    log::line("follows-discovery", {{"name", config_.name}, {"address", from}});
    watch_ = std::move(next_watch_);
  }
  return {table_.index(), whole};
}

// What discovery tells, with what the operators have said laid over it.
void Router::spread(fernward::EndpointList list) {
  if (list.kind == fernward::EndpointListKind::Delta) {
    for (fernward::Server& server : list.servers) spread_change(server);
  } else {
    spread_whole(list);
  }
  if (list.kind != fernward::EndpointListKind::Delta || !list.servers.empty())
    driver_.update_endpoints(std::move(list));
  if (succession_ != nullptr) succession_->began();
}

void Router::spread_whole(fernward::EndpointList& list) {
  auto targets = table_.targets();
  std::vector<std::string> caches;
  for (const auto& [id, target] : targets) {
    if (!is_origin(target.entry)) caches.push_back(target.name);
  }
  bans_.list(caches);
  for (auto& [id, target] : targets) target.entry = bans_.over(target.name, target.entry);
  for (fernward::Server& server : list.servers) {
    if (const auto target = targets.find(server.id); target != targets.end()) server = target->second.entry;
  }
  pool_.update(targets);
}

// At a cost that does not grow with the number of targets: a process with a small share of a core must not be held up
// past the grace of a drain by the changes of others.
void Router::spread_change(fernward::Server& server) {
  const endpoints::Endpoint* const before = pool_.target(server.id);
  const auto found = table_.targets().find(server.id);
  const bool listed = found != table_.targets().end();
  const bool cache = listed && !is_origin(found->second.entry);
  if (before != nullptr && !is_origin(before->entry) && (!cache || found->second.name != before->name)) {
    bans_.unlisted(before->name);
  }
  if (cache) bans_.listed(found->second.name);
  if (!listed) return pool_.update(server.id, nullptr);
  endpoints::Endpoint target = found->second;
  target.entry = bans_.over(target.name, target.entry);
  server = target.entry;
  pool_.update(server.id, &target);
}

bool Router::is_origin(const fernward::Server& entry) const {
  return static_cast<std::int64_t>(entry.kind) == config_.settings.origin_kind;
}

// ---- the operators' calls ----

bool Router::serves() const { return !winding_down_ && known_waits_ == 0 && table_.usable(); }

std::string Router::answer(const control::Call& call) {
  switch (call.word) {
    case control::Word::Ready:
      if (winding_down_) return "fail winding down\n";
      return serves() ? "ok\n" : "fail no node in service is known\n";
    case control::Word::ShowStat: return figures_.lines() + "eof\n";
    case control::Word::DisableServer:
    case control::Word::EnableServer: return maintain(call);
  }
  return "fail unknown call\n";
}

void Router::add_gauges() {
  figures_.gauge("cluster_size", [this] { return static_cast<double>(caches(false)); });
  figures_.gauge("cluster_unhealthy", [this] { return static_cast<double>(caches(true)); });
}

// Cache nodes in discovery's list; or those of them that get no work now: taken out by hand, not in service, or left out
// by the module.
std::size_t Router::caches(bool avoided) const {
  std::size_t n = 0;
  for (const auto& [id, target] : table_.targets()) {
    if (is_origin(target.entry)) continue;
    n += !avoided || target.entry.state != ServerState::Ready || bans_.out(target.name) ||
         driver_.is_ejected(id);
  }
  return n;
}

std::string Router::maintain(const control::Call& call) {
  using Said = admin_overrides::EndpointOverrides::Said;
  const bool out = call.word == control::Word::DisableServer;
  const bool was_out = bans_.out(call.id);
  const Said said = out ? bans_.take_out(call.id) : bans_.put_back(loop::now_ms(), call.id);
  if (said == Said::NeverListed) return "fail " + call.id + " was never listed as a cache node\n";
  if (said == Said::TooMany) return "fail too many cache nodes are out\n";
  if (was_out != out) {
    log::line(out ? "taken-out" : "put-back", {{"node", call.id}});
    relist(call.id);
    if (succession_ != nullptr) succession_->asked(bans_.of(call.id));
  }
  return "ok\n";
}

// Tells pool and module of one node again, as it reads now.
void Router::relist(const std::string& name) {
  fernward::EndpointList list;
  list.kind = fernward::EndpointListKind::Delta;
  const auto target = table_.targets().find(endpoints::id_of(name));
  if (target == table_.targets().end() || target->second.name != name) return;
  list.servers.push_back(target->second.entry);
  spread(std::move(list));
}

void Router::reload(const config::Config& next) {
  if (config_.movable) return move(config::moved(config_, next));
  for (const auto& key : config::refused_changes(config_, next)) {
    log::line("reload-holds-until-start", {{"key", key}});
  }
  if (next.discovery == config_.discovery) {
    log::line("reload-discovery-stays", {{"address", config_.discovery}});
    return follow(config_);
  }
  log::line("reload-discovery-moves", {{"from", config_.discovery}, {"to", next.discovery}});
  config_.discovery = next.discovery;
  follow(config_);
}

// All of it, or nothing: what can fail comes first.
void Router::move(config::Config next) {
  try {
    driver_.update_settings(next.settings);
  } catch (const std::invalid_argument& fault) {
    throw config::Error(fault.what());
  }
  listener_.change(ingress_rules(next));
  figures_.name(next.names.classes);
  take_log_rules(next.log);
  const bool fixed = next.nodes_fixed && next.known != config_.known;
  config_ = std::move(next);
  if (fixed) take_known();
  follow(config_);
  log::line("reload-taken", {{"name", config_.name}});
}

// The last connection has ended or was passed on: once that has left, so can this process.
void Router::emptied() {
  if (succession_ == nullptr || succession_->idle()) {
    event_base_loopbreak(base_);
    return;
  }
  deadlines_.at(loop::now_ms() + kPassedMs, [this] { emptied(); });
}

void Router::wind_down() {
  if (winding_down_) return;
  winding_down_ = true;
  if (peers_ != nullptr) peers_->leave();
  log::line("winds-down", {{"name", config_.name}});
  const double now = loop::now_ms(), last = longest_give_up(config_) + kFinishMs;
  driver_.answer_all_by(now + last - kLastWordMs);
  if (succession_ == nullptr || !succession_->wind_down()) {
    listener_.ends_by(now + last - kLastWordMs);
    deadlines_.at(now + kAcceptOnMs, [this] { listener_.stop_accepting(); });
    deadlines_.at(now + std::max(kAcceptOnMs, std::min(last / 2, kServeOnMs)), [this] {
      listener_.drain();
      listener_.stop();
    });
  }
  deadlines_.at(now + last, [this] { event_base_loopbreak(base_); });
}

std::optional<hot_restart::Inherited> inherit(const config::Config& config) {
  if (config.handover.empty()) return std::nullopt;
  std::string why;
  auto from = hot_restart::ask(config.handover, {config.name, config.listen, reserved(config)}, kAskMs, why);
  if (!why.empty()) log::line("handover-fails", {{"why", why}}); // it listens beside the other then
  return from;
}

} // namespace fernward::router
