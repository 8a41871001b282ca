// Checks of an application's file against this machine: is its address ours and free, are its folders there,
// does the system grant what it asks for, can others read what should stay secret.
#pragma once

#include "app_config/read.h"

namespace fernward::app_config {

void check_host(Setup& setup, const std::string& file); // adds to setup.faults and setup.warnings

} // namespace fernward::app_config
