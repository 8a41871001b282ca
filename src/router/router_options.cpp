#include "router/router_options.h"

#include <algorithm>

#include "log/log.h"

namespace fernward::router {
namespace {

// Additional descriptors if the control port is enabled; half of the other reserved descriptors are unused.
constexpr std::size_t kControlReservedDescriptors = 4;
constexpr std::size_t kMinConnections = 16;       // at least, even if `limits.sockets` is smaller
constexpr std::size_t kNewProcessBytes = 6 << 20; // the program, its libraries and an endpoint list
constexpr std::size_t kShortBodyBytes = 64 << 10;
constexpr std::size_t kDefaultReceiveBytes = 64 << 10; // approximate default of the kernel, per connection
constexpr std::size_t kMinReceiveBytes = 32 << 10;     // the kernel doubles this value for its own overhead
constexpr std::size_t kMinUnsentBytes = 16 << 10;
constexpr std::size_t kMaxUnsentBytes = 64 << 10;
constexpr std::uint64_t kMaxRetainedBytes = 512 << 10; // of one body, in memory
// The router closes an idle connection after this fraction of the endpoints' idle timeout.
constexpr double kIdleTimeoutFraction = 0.7;

std::uint64_t memory_bytes(const config::Config& config) {
  return static_cast<std::uint64_t>(config.memory_mb) << 20;
}

// Kernel buffers for the connections of each side. They use memory of the machine, not of this process.
std::size_t kernel_buffer_bytes(const config::Config& config) {
  return static_cast<std::size_t>(memory_bytes(config)) / 4;
}

} // namespace

std::size_t reserved_descriptors(const config::Config& config) {
  return config::kReservedDescriptors + (config.control_address.empty() ? 0 : kControlReservedDescriptors);
}

std::size_t connection_descriptors(const config::Config& config) {
  const std::size_t reserved = reserved_descriptors(config);
  return std::max<std::size_t>(config.max_descriptors, reserved + kMinConnections) - reserved;
}

std::size_t reserved_memory_bytes(const config::Config& config) {
  return config.hot_restart_path.empty() ? 0 : kNewProcessBytes;
}

proxy::RequestDispatcherOptions dispatcher_options(const config::Config& config) {
  proxy::RequestDispatcherOptions options;
  options.grace_ms = config.limits.response_grace_ms;
  options.max_requests = static_cast<std::size_t>(config.limits.max_active_requests);
  // The remaining grace period is for reading the list.
  options.discovery_poll_interval_ms = config.limits.drain_grace_ms / 10;
  return options;
}

upstream::ConnectionPoolOptions pool_options(const config::Config& config) {
  upstream::ConnectionPoolOptions options;
  options.connect_timeout_ms = config.limits.connect_timeout_ms;
  options.idle_timeout_ms = kIdleTimeoutFraction * config.limits.idle_timeout_ms;
  options.reuse_delay_ms = config.reuse_delay_ms;
  options.scarce_kind = config.settings.origin_kind;
  options.load_report_fields = config.names.report_fields;
  options.response_limits.max_body_bytes = config.max_response_bytes;
  const std::size_t receive_bytes = kernel_buffer_bytes(config) / (connection_descriptors(config) / 2);
  if (receive_bytes < kDefaultReceiveBytes) {
    options.receive_buffer_bytes = static_cast<int>(std::max(receive_bytes, kMinReceiveBytes));
  }
  return options;
}

body_buffers::BufferBudgetOptions buffer_budget_options(const config::Config& config) {
  body_buffers::BufferBudgetOptions options;
  options.total_bytes = config::body_buffer_limit_bytes(config.memory_mb);
  options.expected_holders = connection_descriptors(config); // of responses
  if (config.max_request_bytes > kShortBodyBytes)
    options.expected_holders *= 2; // and of request bodies that are streamed
  return options;
}

body_buffers::RetentionLimits retention_limits(const config::Config& config) {
  const std::uint64_t memory = memory_bytes(config);
  body_buffers::RetentionLimits limits;
  limits.max_body_bytes = config.max_request_bytes;
  limits.max_memory_bytes_per_body = std::min(memory / 64, kMaxRetainedBytes);
  limits.max_memory_bytes = memory / 8;
  limits.max_file_bytes =
      config.spill_folder.empty() ? 0 : static_cast<std::uint64_t>(config.spill_limit_mb) << 20;
  limits.max_file_bytes_per_body = limits.max_file_bytes / 4;
  limits.stream_after_bytes = kShortBodyBytes;
  return limits;
}

downstream::ListenerOptions listener_options(const config::Config& config,
                                             hot_restart::InheritedState* inherited) {
  downstream::ListenerOptions options;
  options.inherited_fd = inherited == nullptr ? -1 : inherited->listen_socket.release();
  // A new process can then listen on the port even if the hot restart socket fails.
  options.share_port = !config.control_address.empty();
  options.address = config.listen_address;
  options.max_short_body_bytes = kShortBodyBytes;
  options.max_unsent_bytes = static_cast<int>(std::clamp(
      kernel_buffer_bytes(config) / (config.max_descriptors / 3), kMinUnsentBytes, kMaxUnsentBytes));
  // At most a third of the descriptors are for client connections that hold a request. While all of these are
  // idle, none of them can open a further one.
  options.admission.max_clients =
      std::min<std::size_t>(config.max_descriptors / 3, connection_descriptors(config));
  return options;
}

downstream::RequestRules downstream_rules(const config::Config& config) {
  return {config.names, config.settings, config.mappings, config.generate_request_ids};
}

// With pushed lists a change applies immediately, so at most half of the drain grace period may pass before
// the next request to discovery. With polled lists a change applies later anyway, and longer pauses reduce
// the load on discovery, a single service that all routers use.
discovery::SubscriptionSettings subscription_settings(const config::Config& config) {
  discovery::SubscriptionSettings settings;
  const bool pushed = config.settings.discovery == fernward::DiscoveryMode::Push;
  settings.max_reconnect_pause_ms =
      pushed ? std::min(config.limits.drain_grace_ms / 2, settings.max_rejected_pause_ms)
             : settings.max_rejected_pause_ms;
  settings.min_reconnect_pause_ms =
      std::min(settings.min_reconnect_pause_ms, settings.max_reconnect_pause_ms);
  return settings;
}

gossip_transport::Options gossip_options(const config::RouterFleetConfig& fleet,
                                         const config::Config& config) {
  gossip_transport::Options options;
  options.self = static_cast<gossip::MemberId>(fleet.self_index);
  options.listen = fleet.listen_address;
  options.peers = fleet.peer_addresses;
  options.membership_settings = {fleet.ping_interval_ms, fleet.indirect_ping_count};
  options.seed = config.seed;
  if (const auto zone = config.settings.zone) options.zone = static_cast<std::uint8_t>(*zone);
  return options;
}

void apply_log_settings(const config::LogSettings& settings) {
  log::set_rate_limit(settings.lines_per_s, settings.burst_lines);
  log::set_json_format(settings.json);
  log::enable_routine_lines(settings.log_connections);
}

} // namespace fernward::router
