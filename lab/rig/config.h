// What a router process is told: its configuration as JSON.
#pragma once

#include <nlohmann/json.hpp>

#include "lab/shared/stage.h"

namespace fernward::rig {

nlohmann::json settings_json(const model::Spec& spec, const model::Plan& plan, model::RouterId router);
nlohmann::json router_json(const Stage& stage, model::RouterId router, std::uint32_t moves,
                           std::uint64_t seed, nlohmann::json known);
// The operators' file on what routers share (docs/operators/fleet.md).
std::string fleet_toml(const model::SharingSpec& sharing);
// The same as an application's file (src/app_config/); the list of nodes comes from discovery alone.
std::string router_toml(const Stage& stage, model::RouterId router, std::uint32_t moves, std::uint64_t seed,
                        const std::string& runtime_folder);

} // namespace fernward::rig
