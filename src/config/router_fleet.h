// What the routers of a tier share with one another. Enabled by a separate file of the operators
// (`serve --fleet FILE`), each part independently. Without the file there is no socket, timer or traffic.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/config.h"

namespace fernward::config {

struct RouterFleetConfig {
  double ping_interval_ms = 400;         // one other router is pinged per interval
  std::uint32_t indirect_ping_count = 3; // routers that are asked to ping one that does not answer
  bool share_origin_limit = true;        // distribute the origin limit by demand
  bool use_live_router_count = true; // use the number of live routers instead of the configured one, if safe
  bool share_node_findings = false;  // use consistent reports of several routers about a cache
  // From the platform file:
  std::uint32_t self_index = 0;
  std::string listen_address;
  std::vector<std::string> peer_addresses;
};

// Adds the tier's members from the platform file. Throws Error if `peer_listen`, `peers` or `settings.me` is
// missing or invalid.
void add_peers(const Config& config, RouterFleetConfig& fleet);

} // namespace fernward::config
