// The driver in virtual time: the scenario with fernward::Balancer in place of the router processes.
//
// Byte-identical records for the same spec. One thread; several drivers may run in threads of their own.
#pragma once

#include <memory>

#include "lab/driver.h"
#include "lab/virtual/planted.h"

namespace fernward::lab {

std::unique_ptr<Driver> make_virtual_driver(Planted planted = Planted::None);

} // namespace fernward::lab
