// Runs a router and an application: starts and ends the processes, handles signals, and checks whether the
// router is ready. The decisions are made by Supervisor.
#pragma once

#include <string>
#include <vector>

#include "sidecar/supervisor.h"

namespace fernward::sidecar {

struct Programs {
  std::vector<std::string> router_command;      // program and arguments
  std::vector<std::string> application_command; // program and arguments
  std::vector<std::string> environment;         // additional variables for the application, NAME=VALUE
  std::string router_address;                   // an IPv4 address with port, or "unix:PATH"
};

// Runs until both processes have ended and returns the application's exit code. Throws std::runtime_error if
// the event loop cannot be created; no process has been started then.
int run(const Programs& programs, const SupervisorSettings& settings);

} // namespace fernward::sidecar
