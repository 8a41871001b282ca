// What a configuration means for the parts of the router: the options of each, worked out from limits and
// sizes.
#pragma once

#include <cstddef>

#include "body_buffers/buffer_budget.h"
#include "body_buffers/retained_bodies.h"
#include "config/config.h"
#include "config/fleet.h"
#include "discovery/subscription.h"
#include "downstream/listener.h"
#include "gossip_transport/link.h"
#include "hot_restart/link.h"
#include "proxy/request_dispatcher.h"
#include "upstream/connection_pool.h"

namespace fernward::router {

// Descriptors for all but client and upstream connections, and those that are left for connections.
std::size_t reserved_descriptors(const config::Config& config);
std::size_t connection_descriptors(const config::Config& config);

proxy::RequestDispatcherOptions dispatcher_options(const config::Config& config);
upstream::ConnectionPoolOptions pool_options(const config::Config& config);
body_buffers::BufferBudgetOptions buffer_budget_options(const config::Config& config);
body_buffers::RetentionLimits retention_limits(const config::Config& config);
// Takes the listening descriptor out of `inherited`, if there is one.
downstream::ListenerOptions listener_options(const config::Config& config, hot_restart::Inherited* inherited);
downstream::Rules downstream_rules(const config::Config& config);
discovery::SubscriptionRules subscription_rules(const config::Config& config);
gossip_transport::Options gossip_options(const config::Fleet& fleet, const config::Config& config);

void apply_log_rules(const config::LogRules& rules);

} // namespace fernward::router
