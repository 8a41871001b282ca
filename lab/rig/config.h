// The configuration of a router process, from the scenario.
#pragma once

#include <nlohmann/json.hpp>

#include "lab/shared/run_context.h"

namespace fernward::rig {

// The `settings` of the platform's JSON.
nlohmann::json settings_json(const model::Spec& spec, const model::Plan& plan, model::RouterId router);
// The router's configuration as the platform's JSON file. `address_version`: see RunAddresses::discovery().
// `known`: the endpoint list that the router starts with.
nlohmann::json router_json(const RunContext& context, model::RouterId router, std::uint32_t address_version,
                           std::uint64_t seed, nlohmann::json known);
// The operators' file on what routers share (docs/operators/fleet.md).
std::string fleet_toml(const model::SharingSpec& sharing);
// The router's configuration as an application's file (src/app_config/). It has no node list: nodes come from
// discovery only.
std::string router_toml(const RunContext& context, model::RouterId router, std::uint32_t address_version,
                        std::uint64_t seed, const std::string& runtime_folder);

} // namespace fernward::rig
