#include "router/hot_restart_coordinator.h"

#include <fcntl.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "config/config.h"
#include "log/log.h"

namespace fernward::router {

using hot_restart::Descriptor;
using hot_restart::ProcessConnection;
using loop::now_ms;

namespace {

constexpr double kTakeoverRequestTimeoutMs = 2000;
constexpr double kReleasePeriodMs = 50;
constexpr std::uint64_t kSpareDescriptors = 8; // kept during shutdown for further attempts

} // namespace

HotRestartCoordinator::HotRestartCoordinator(HotRestartParts parts, HotRestartOptions options,
                                             hot_restart::InheritedState* inherited)
    : parts_(std::move(parts)),
      options_(std::move(options)),
      memory_mb_(options_.memory_mb),
      inherited_descriptors_(options_.connection_descriptors),
      inherited_memory_mb_(options_.memory_mb) {
  if (inherited != nullptr) inherit(*inherited);
  listen();
}

HotRestartCoordinator::~HotRestartCoordinator() {
  for (auto* timer : {&takeover_request_timer_, &release_timer_, &disconnect_timer_})
    parts_.timers.cancel(*timer);
}

void HotRestartCoordinator::listen() {
  restart_listener_.reset();
  if (options_.socket_path.empty()) return;
  try {
    restart_listener_ = std::make_unique<hot_restart::RestartListener>(
        parts_.base, options_.socket_path, [this](Descriptor socket) { on_connect(std::move(socket)); });
  } catch (const std::runtime_error& error) {
    // A new process then listens on the same port in parallel with this one.
    log::line("hot-restart-off", {{"why", error.what()}});
  }
}

std::uint64_t HotRestartCoordinator::used_descriptors() const {
  return parts_.descriptors.used(descriptors::Side::Downstream) +
         parts_.descriptors.used(descriptors::Side::Upstream);
}

void HotRestartCoordinator::add_resources(std::uint64_t descriptors, std::uint64_t memory_mb) {
  parts_.descriptors.set_total(parts_.descriptors.total() + descriptors);
  if (memory_mb == 0) return;
  memory_mb_ += memory_mb;
  parts_.request_buffers.set_total_bytes(config::request_buffer_limit_bytes(memory_mb_));
  parts_.buffer_budget.set_total_bytes(config::body_buffer_limit_bytes(memory_mb_));
  parts_.memory.set_limit_mb(memory_mb_);
}

// ---- the old process ----

void HotRestartCoordinator::on_connect(Descriptor socket) {
  if (is_new_process_connected() || shutting_down_) {
    return log::line("hot-restart-refused",
                     {{"why", shutting_down_ ? "shutting down" : "another restart is in progress"}});
  }
  parts_.timers.cancel(disconnect_timer_);
  new_process_state_ = NewProcessState::Connected;
  new_process_ = std::make_unique<ProcessConnection>(
      parts_.base, std::move(socket),
      [this](hot_restart::Message message, const Descriptor&) { on_new_process_message(std::move(message)); },
      [this](const std::string& error) { on_new_process_closed(error); });
  parts_.timers.cancel(takeover_request_timer_);
  takeover_request_timer_ = parts_.timers.run_at(now_ms() + kTakeoverRequestTimeoutMs, [this] {
    takeover_request_timer_ = 0;
    if (!is_takeover_granted()) disconnect_new_process();
  });
}

// Deferred, because it is called from the connection's own callbacks.
void HotRestartCoordinator::disconnect_new_process_later() {
  parts_.timers.cancel(disconnect_timer_);
  disconnect_timer_ = parts_.timers.run_at(now_ms(), [this] {
    disconnect_timer_ = 0;
    disconnect_new_process();
  });
}

void HotRestartCoordinator::disconnect_new_process() {
  new_process_.reset();
  new_process_state_ = NewProcessState::None;
}

void HotRestartCoordinator::on_new_process_message(hot_restart::Message message) {
  if (const auto* request = std::get_if<hot_restart::TakeoverRequest>(&message)) {
    if (!is_takeover_granted()) grant(*request);
  } else if (!is_takeover_granted()) {
    disconnect_new_process_later();
  } else if (std::holds_alternative<hot_restart::NewProcessReady>(message)) {
    on_new_process_ready();
  } else if (const auto* override_change = std::get_if<hot_restart::OverrideChanged>(&message)) {
    apply_override(override_change->endpoint_override);
  }
}

void HotRestartCoordinator::grant(const hot_restart::TakeoverRequest& request) {
  const int listen_fd = parts_.listener.listening_fd();
  Descriptor descriptor(listen_fd < 0 ? -1 : fcntl(listen_fd, F_DUPFD_CLOEXEC, 0));
  if (request.listen_address != options_.listen_address || !descriptor) {
    log::line("hot-restart-refused",
              {{"why", descriptor ? "takeover request names another listen address: " + request.listen_address
                                  : std::strerror(errno)}});
    return disconnect_new_process_later();
  }
  const hot_restart::Resources granted = split_with_new_process(request.reserved_descriptors);
  new_process_state_ = NewProcessState::Granted;
  const std::string endpoint_list = parts_.table.index() == 0 ? "" : parts_.table.serialized_list();
  new_process_->send(hot_restart::TakeoverGrant{endpoint_list, parts_.overrides.snapshot(), granted},
                     std::move(descriptor));
  log::line("hot-restart-granted", {{"name", request.router_name},
                                    {"descriptors", granted.descriptors},
                                    {"kept", parts_.descriptors.total()}});
}

// Returns the limits of the new process. This process keeps the remaining resources, and closes idle
// connections that exceed them.
hot_restart::Resources HotRestartCoordinator::split_with_new_process(std::uint64_t reserved_descriptors) {
  const hot_restart::Resources total{parts_.descriptors.total(), memory_mb_};
  const hot_restart::ResourceSplit resource_split = hot_restart::split_resources(
      total, {used_descriptors(), parts_.memory.resident_mb()}, reserved_descriptors);
  granted_descriptors_ = total.descriptors - resource_split.old_process.descriptors;
  granted_memory_mb_ = resource_split.new_process.memory_mb;
  parts_.descriptors.set_total(resource_split.old_process.descriptors);
  memory_mb_ = 0;
  add_resources(0, resource_split.old_process.memory_mb);
  while (used_descriptors() > resource_split.old_process.descriptors &&
         parts_.pool.evict_oldest_free(upstream::CloseReason::Handover)) {}
  return resource_split.new_process;
}

// Both processes accept from one queue, so from now on the new process gets all new connections.
void HotRestartCoordinator::on_new_process_ready() {
  new_process_state_ = NewProcessState::Ready;
  if (shutting_down_) return;
  parts_.listener.hold_accepting(true);
  log::line("hot-restart-ready", {{"name", options_.router_name}});
}

void HotRestartCoordinator::on_new_process_closed(const std::string& error) {
  const bool was_granted = is_takeover_granted();
  new_process_state_ = NewProcessState::None;
  disconnect_new_process_later();
  if (!error.empty()) log::line("hot-restart-damaged", {{"why", error}});
  if (shutting_down_) return parts_.listener.cancel_handover();
  if (!was_granted) return;
  log::line("hot-restart-aborted", {{"name", options_.router_name}});
  add_resources(std::exchange(granted_descriptors_, 0), std::exchange(granted_memory_mb_, 0));
  parts_.listener.hold_accepting(false);
  listen(); // the new process had replaced the socket path
}

bool HotRestartCoordinator::begin_shutdown() {
  // SIGTERM may be handled before a NewProcessReady that was sent earlier.
  if (is_new_process_connected()) new_process_->read_now();
  shutting_down_ = true;
  restart_listener_.reset();
  if (!has_ready_new_process()) return false;
  pass_connections();
  return true;
}

void HotRestartCoordinator::pass_connections() {
  log::line("hot-restart-passing",
            {{"name", options_.router_name}, {"connections", parts_.listener.connection_count()}});
  release_descriptors();
  parts_.listener.hand_over([this](int fd, unsigned requests) { return pass_connection(fd, requests); });
}

bool HotRestartCoordinator::pass_connection(int fd, unsigned request_count) {
  if (!has_ready_new_process()) return false;
  new_process_->send(hot_restart::PassedConnection{request_count}, Descriptor(fd));
  // Its place in the descriptor budget passes to the new process.
  const std::size_t total = parts_.descriptors.total();
  parts_.descriptors.set_total(total - std::min<std::size_t>(1, total));
  return true;
}

void HotRestartCoordinator::release_descriptors() {
  if (!has_ready_new_process()) return;
  const std::uint64_t total = parts_.descriptors.total();
  const std::uint64_t needed = used_descriptors() + kSpareDescriptors;
  if (total > needed) {
    parts_.descriptors.set_total(needed);
    new_process_->send(hot_restart::ReleasedDescriptors{total - needed});
  }
  release_timer_ = parts_.timers.run_at(now_ms() + kReleasePeriodMs, [this] {
    release_timer_ = 0;
    release_descriptors();
  });
}

bool HotRestartCoordinator::is_flushed() const {
  return !is_new_process_connected() || new_process_->is_flushed();
}

// ---- the new process ----

void HotRestartCoordinator::inherit(hot_restart::InheritedState& inherited) {
  const hot_restart::Resources& granted = inherited.grant.resources;
  inherited_descriptors_ = std::min(granted.descriptors, options_.connection_descriptors);
  inherited_memory_mb_ = std::min(granted.memory_mb, options_.memory_mb);
  parts_.descriptors.set_total(0);
  memory_mb_ = 0;
  add_resources(inherited_descriptors_, inherited_memory_mb_);
  old_process_ = std::make_unique<ProcessConnection>(
      parts_.base, std::move(inherited.connection),
      [this](hot_restart::Message message, Descriptor descriptor) {
        on_old_process_message(std::move(message), std::move(descriptor));
      },
      [this](const std::string& error) { on_old_process_closed(error); }, std::move(inherited.reader));
  log::line("hot-restart-inherited",
            {{"descriptors", inherited_descriptors_}, {"memory_mb", inherited_memory_mb_}});
}

void HotRestartCoordinator::on_endpoints_updated() {
  if (ready_sent_ || !has_old_process() || !parts_.is_ready()) return;
  ready_sent_ = true;
  old_process_->send(hot_restart::NewProcessReady{});
}

void HotRestartCoordinator::on_old_process_message(hot_restart::Message message, Descriptor descriptor) {
  if (const auto* connection = std::get_if<hot_restart::PassedConnection>(&message)) {
    // An old process with a higher limit may pass more connections than this process has descriptors for: the
    // limit of this process applies.
    if (inherited_descriptors_ < options_.connection_descriptors) {
      ++inherited_descriptors_;
      add_resources(1, 0);
    }
    parts_.listener.adopt(descriptor.release(), connection->request_count);
  } else if (const auto* released = std::get_if<hot_restart::ReleasedDescriptors>(&message)) {
    const std::uint64_t missing_descriptors =
        options_.connection_descriptors - std::min(options_.connection_descriptors, inherited_descriptors_);
    const std::uint64_t added_descriptors = std::min(released->count, missing_descriptors);
    inherited_descriptors_ += added_descriptors;
    add_resources(added_descriptors, 0);
  } else if (const auto* override_change = std::get_if<hot_restart::OverrideChanged>(&message)) {
    apply_override(override_change->endpoint_override);
  }
}

void HotRestartCoordinator::on_old_process_closed(const std::string& error) {
  if (!error.empty()) log::line("hot-restart-damaged", {{"why", error}});
  log::line("hot-restart-complete", {{"name", options_.router_name}});
  const std::uint64_t previous_descriptors =
      std::exchange(inherited_descriptors_, options_.connection_descriptors);
  const std::uint64_t previous_memory_mb = std::exchange(inherited_memory_mb_, options_.memory_mb);
  add_resources(
      options_.connection_descriptors - std::min(options_.connection_descriptors, previous_descriptors),
      options_.memory_mb - previous_memory_mb);
}

// ---- both ----

void HotRestartCoordinator::apply_override(
    const admin_overrides::EndpointOverrides::Override& endpoint_override) {
  parts_.overrides.merge(endpoint_override);
  parts_.refresh_endpoint(endpoint_override.name);
}

void HotRestartCoordinator::on_override_changed(
    const admin_overrides::EndpointOverrides::Override& endpoint_override) {
  if (has_old_process()) old_process_->send(hot_restart::OverrideChanged{endpoint_override});
  if (is_new_process_connected() && is_takeover_granted())
    new_process_->send(hot_restart::OverrideChanged{endpoint_override});
}

} // namespace fernward::router
