// The driver in virtual time: the scenario with fernward::Balancer in place of the router processes.
//
// Byte-identical records for the same spec. One thread; several drivers may run in threads of their own.
#pragma once

#include <cstdint>
#include <memory>

#include "lab/driver.h"
#include "lab/virtual/planted.h"

namespace fernward::lab {

// `chance`: 0 plays a spec as its seed has it. Others play the same machines, requests and faults, and draw anew what a
// run in real time would not repeat either: work of attempts, delays, discovery, what routers draw, and which node holds which key.
std::unique_ptr<Driver> make_virtual_driver(Planted planted = Planted::None, std::uint64_t chance = 0);

} // namespace fernward::lab
