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

constexpr double kRequestTimeoutMs = 2000;
constexpr double kReleasePeriodMs = 50;
constexpr std::uint64_t kKeptDescriptors = 8; // kept during shutdown for further attempts

} // namespace

HotRestartCoordinator::HotRestartCoordinator(HotRestartParts parts, HotRestartOptions options,
                                             hot_restart::Inherited* inherited)
    : parts_(std::move(parts)),
      options_(std::move(options)),
      memory_mb_(options_.memory_mb),
      inherited_descriptors_(options_.descriptors),
      inherited_memory_mb_(options_.memory_mb) {
  if (inherited != nullptr) inherit(*inherited);
  listen();
}

HotRestartCoordinator::~HotRestartCoordinator() {
  for (auto* timer : {&request_timer_, &release_timer_, &disconnect_timer_}) parts_.timers.cancel(*timer);
}

void HotRestartCoordinator::listen() {
  restart_listener_.reset();
  if (options_.path.empty()) return;
  try {
    restart_listener_ = std::make_unique<hot_restart::RestartListener>(
        parts_.base, options_.path, [this](Descriptor socket) { on_connect(std::move(socket)); });
  } catch (const std::runtime_error& fault) {
    // A new process then listens on the same port in parallel with this one.
    log::line("hot-restart-off", {{"why", fault.what()}});
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
  parts_.request_buffers.set_total(config::buffer_bytes(memory_mb_));
  parts_.buffer_budget.set_total(config::body_bytes(memory_mb_));
}

// ---- the old process ----

void HotRestartCoordinator::on_connect(Descriptor socket) {
  if (is_connected() || shutting_down_) {
    return log::line("hot-restart-refused",
                     {{"why", shutting_down_ ? "shutting down" : "another restart is in progress"}});
  }
  parts_.timers.cancel(disconnect_timer_);
  new_state_ = NewProcess::Connected;
  new_process_ = std::make_unique<ProcessConnection>(
      parts_.base, std::move(socket),
      [this](hot_restart::Message message, const Descriptor&) { on_new_process_message(std::move(message)); },
      [this](const std::string& fault) { on_new_process_closed(fault); });
  parts_.timers.cancel(request_timer_);
  request_timer_ = parts_.timers.at(now_ms() + kRequestTimeoutMs, [this] {
    request_timer_ = 0;
    if (!is_granted()) disconnect();
  });
}

// Deferred, because it is called from the connection's own callbacks.
void HotRestartCoordinator::disconnect_later() {
  parts_.timers.cancel(disconnect_timer_);
  disconnect_timer_ = parts_.timers.at(now_ms(), [this] {
    disconnect_timer_ = 0;
    disconnect();
  });
}

void HotRestartCoordinator::disconnect() {
  new_process_.reset();
  new_state_ = NewProcess::None;
}

void HotRestartCoordinator::on_new_process_message(hot_restart::Message message) {
  if (const auto* request = std::get_if<hot_restart::TakeoverRequest>(&message)) {
    if (!is_granted()) grant(*request);
  } else if (!is_granted()) {
    disconnect_later();
  } else if (std::holds_alternative<hot_restart::NewProcessReady>(message)) {
    on_new_process_ready();
  } else if (const auto* override_change = std::get_if<hot_restart::OverrideChanged>(&message)) {
    adopt(override_change->changed);
  }
}

void HotRestartCoordinator::grant(const hot_restart::TakeoverRequest& request) {
  const int listening = parts_.listener.listening();
  Descriptor descriptor(listening < 0 ? -1 : fcntl(listening, F_DUPFD_CLOEXEC, 0));
  if (request.listen != options_.listen || !descriptor) {
    log::line("hot-restart-refused",
              {{"why", descriptor ? "takeover request names another listen address: " + request.listen
                                  : std::strerror(errno)}});
    return disconnect_later();
  }
  const hot_restart::Resources share = share_resources(request.reserved);
  new_state_ = NewProcess::Granted;
  const std::string list = parts_.table.index() == 0 ? "" : parts_.table.told();
  new_process_->send(hot_restart::TakeoverGrant{list, parts_.overrides.snapshot(), share},
                     std::move(descriptor));
  log::line(
      "hot-restart-granted",
      {{"name", request.name}, {"descriptors", share.descriptors}, {"kept", parts_.descriptors.total()}});
}

// Returns the limits of the new process. This process keeps the remaining resources, and closes idle
// connections that exceed them.
hot_restart::Resources HotRestartCoordinator::share_resources(std::uint64_t reserved) {
  const hot_restart::Resources total{parts_.descriptors.total(), memory_mb_};
  const hot_restart::ResourceSplit shares = hot_restart::split(total, used_descriptors(), reserved);
  granted_descriptors_ = total.descriptors - shares.old_process.descriptors;
  granted_memory_mb_ = shares.new_process.memory_mb;
  parts_.descriptors.set_total(shares.old_process.descriptors);
  memory_mb_ = 0;
  add_resources(0, shares.old_process.memory_mb);
  while (used_descriptors() > shares.old_process.descriptors &&
         parts_.pool.evict_oldest_idle(upstream::CloseReason::Handover)) {}
  return shares.new_process;
}

// Both processes accept from one queue, so from now on the new process gets all new connections.
void HotRestartCoordinator::on_new_process_ready() {
  new_state_ = NewProcess::Ready;
  if (shutting_down_) return;
  parts_.listener.hold(true);
  log::line("hot-restart-ready", {{"name", options_.name}});
}

void HotRestartCoordinator::on_new_process_closed(const std::string& fault) {
  const bool was_granted = is_granted();
  new_state_ = NewProcess::None;
  disconnect_later();
  if (!fault.empty()) log::line("hot-restart-damaged", {{"why", fault}});
  if (shutting_down_) return parts_.listener.pass_no_more();
  if (!was_granted) return;
  log::line("hot-restart-aborted", {{"name", options_.name}});
  add_resources(std::exchange(granted_descriptors_, 0), std::exchange(granted_memory_mb_, 0));
  parts_.listener.hold(false);
  listen(); // the new process had replaced the socket path
}

bool HotRestartCoordinator::begin_shutdown() {
  // SIGTERM may be handled before a NewProcessReady that was sent earlier.
  if (is_connected()) new_process_->read_now();
  shutting_down_ = true;
  restart_listener_.reset();
  if (!has_ready_new_process()) return false;
  pass_connections();
  return true;
}

void HotRestartCoordinator::pass_connections() {
  log::line("hot-restart-passing", {{"name", options_.name}, {"connections", parts_.listener.connections()}});
  release_descriptors();
  parts_.listener.hand_over([this](int fd, unsigned requests) { return pass_connection(fd, requests); });
}

bool HotRestartCoordinator::pass_connection(int fd, unsigned requests) {
  if (!has_ready_new_process()) return false;
  new_process_->send(hot_restart::PassedConnection{requests}, Descriptor(fd));
  // Its place in the descriptor budget passes to the new process.
  const std::size_t total = parts_.descriptors.total();
  parts_.descriptors.set_total(total - std::min<std::size_t>(1, total));
  return true;
}

void HotRestartCoordinator::release_descriptors() {
  if (!has_ready_new_process()) return;
  const std::uint64_t total = parts_.descriptors.total();
  const std::uint64_t needed = used_descriptors() + kKeptDescriptors;
  if (total > needed) {
    parts_.descriptors.set_total(needed);
    new_process_->send(hot_restart::ReleasedDescriptors{total - needed});
  }
  release_timer_ = parts_.timers.at(now_ms() + kReleasePeriodMs, [this] {
    release_timer_ = 0;
    release_descriptors();
  });
}

bool HotRestartCoordinator::is_flushed() const { return !is_connected() || new_process_->is_flushed(); }

// ---- the new process ----

void HotRestartCoordinator::inherit(hot_restart::Inherited& inherited) {
  const hot_restart::Resources& share = inherited.grant.resources;
  inherited_descriptors_ = std::min(share.descriptors, options_.descriptors);
  inherited_memory_mb_ = std::min(share.memory_mb, options_.memory_mb);
  parts_.descriptors.set_total(0);
  memory_mb_ = 0;
  add_resources(inherited_descriptors_, inherited_memory_mb_);
  old_process_ = std::make_unique<ProcessConnection>(
      parts_.base, std::move(inherited.connection),
      [this](hot_restart::Message message, Descriptor descriptor) {
        on_old_process_message(std::move(message), std::move(descriptor));
      },
      [this](const std::string& fault) { on_old_process_closed(fault); }, std::move(inherited.reader));
  log::line("hot-restart-inherited",
            {{"descriptors", inherited_descriptors_}, {"memory_mb", inherited_memory_mb_}});
}

void HotRestartCoordinator::on_endpoints_updated() {
  if (ready_sent_ || !has_old_process() || !parts_.ready()) return;
  ready_sent_ = true;
  old_process_->send(hot_restart::NewProcessReady{});
}

void HotRestartCoordinator::on_old_process_message(hot_restart::Message message, Descriptor descriptor) {
  if (const auto* connection = std::get_if<hot_restart::PassedConnection>(&message)) {
    // An old process with a higher limit may pass more connections than this process has descriptors for: the
    // limit of this process applies.
    if (inherited_descriptors_ < options_.descriptors) {
      ++inherited_descriptors_;
      add_resources(1, 0);
    }
    parts_.listener.adopt(descriptor.release(), connection->requests);
  } else if (const auto* released = std::get_if<hot_restart::ReleasedDescriptors>(&message)) {
    const std::uint64_t missing =
        options_.descriptors - std::min(options_.descriptors, inherited_descriptors_);
    const std::uint64_t added = std::min(released->count, missing);
    inherited_descriptors_ += added;
    add_resources(added, 0);
  } else if (const auto* override_change = std::get_if<hot_restart::OverrideChanged>(&message)) {
    adopt(override_change->changed);
  }
}

void HotRestartCoordinator::on_old_process_closed(const std::string& fault) {
  if (!fault.empty()) log::line("hot-restart-damaged", {{"why", fault}});
  log::line("hot-restart-complete", {{"name", options_.name}});
  const std::uint64_t had_descriptors = std::exchange(inherited_descriptors_, options_.descriptors);
  const std::uint64_t had_memory_mb = std::exchange(inherited_memory_mb_, options_.memory_mb);
  add_resources(options_.descriptors - std::min(options_.descriptors, had_descriptors),
                options_.memory_mb - had_memory_mb);
}

// ---- both ----

void HotRestartCoordinator::adopt(const admin_overrides::EndpointOverrides::Override& changed) {
  parts_.overrides.adopt(changed);
  parts_.refresh_endpoint(changed.name);
}

void HotRestartCoordinator::on_override(const admin_overrides::EndpointOverrides::Override& changed) {
  if (has_old_process()) old_process_->send(hot_restart::OverrideChanged{changed});
  if (is_connected() && is_granted()) new_process_->send(hot_restart::OverrideChanged{changed});
}

} // namespace fernward::router
