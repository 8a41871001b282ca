// Derives the options of the router's components from the limits and sizes of its configuration.
#pragma once

#include <cstddef>

#include "body_buffers/buffer_budget.h"
#include "body_buffers/retained_bodies.h"
#include "config/config.h"
#include "config/router_fleet.h"
#include "discovery/subscription.h"
#include "downstream/listener.h"
#include "gossip_transport/transport.h"
#include "hot_restart/restart_transport.h"
#include "proxy/request_dispatcher.h"
#include "upstream/connection_pool.h"

namespace fernward::router {

// The number of descriptors for other purposes than client and upstream connections, and the number for these
// connections.
std::size_t reserved_descriptors(const config::Config& config);
std::size_t connection_descriptors(const config::Config& config);

// Of the memory limit, kept free for a process that replaces this one: what it needs before it is given a share.
std::size_t reserved_memory_bytes(const config::Config& config);

proxy::RequestDispatcherOptions dispatcher_options(const config::Config& config);
upstream::ConnectionPoolOptions pool_options(const config::Config& config);
body_buffers::BufferBudgetOptions buffer_budget_options(const config::Config& config);
body_buffers::RetentionLimits retention_limits(const config::Config& config);
// Moves the listening descriptor out of `inherited` unless it is null.
downstream::ListenerOptions listener_options(const config::Config& config,
                                             hot_restart::InheritedState* inherited);
downstream::RequestRules downstream_rules(const config::Config& config);
discovery::SubscriptionSettings subscription_settings(const config::Config& config);
gossip_transport::Options gossip_options(const config::RouterFleetConfig& fleet,
                                         const config::Config& config);

void apply_log_settings(const config::LogSettings& settings);

} // namespace fernward::router
