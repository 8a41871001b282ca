// The driver in virtual time: runs a scenario with fernward::Balancer in place of router processes.
//
// Records are byte-identical for the same spec. A driver uses one thread; several drivers may run in separate
// threads.
#pragma once

#include <cstdint>
#include <memory>

#include "lab/driver.h"
#include "lab/virtual/planted_defect.h"

namespace fernward::lab {

// `variation`: 0 runs a spec as its seed determines. Other values keep the machines, requests and faults, and
// redraw what a run in real time would not repeat either: work of attempts, delays, discovery, the routers'
// random choices, and the assignment of keys to nodes.
std::unique_ptr<Driver> make_virtual_driver(PlantedDefect planted_defect = PlantedDefect::None,
                                            std::uint64_t variation = 0);

} // namespace fernward::lab
