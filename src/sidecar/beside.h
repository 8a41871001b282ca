// The sidecar's hands: processes, signals, and the look whether the router is ready.
#pragma once

#include <string>
#include <vector>

#include "sidecar/supervisor.h"

namespace fernward::sidecar {

struct Programs {
  std::vector<std::string> router;      // command line
  std::vector<std::string> application; // command line
  std::vector<std::string> environment; // further variables of the application, NAME=VALUE
  std::string address;                  // of the router: IPv4, or "unix:PATH"
};

// Runs until both have ended; returns the application's exit code. Throws std::runtime_error before anything
// has started.
int run(const Programs& programs, const Rules& rules);

} // namespace fernward::sidecar
