// A minimal TCP relay on libevent, to measure the cost of forwarding a request's bytes through a process.
// Each accepted connection is connected to one target of a list, round robin, and bytes are forwarded in both
// directions until one side closes.
#pragma once

#include <string>
#include <vector>

namespace fernward::rig {

// Runs until SIGTERM or SIGINT and returns the exit code of the process. Addresses have the form
// "127.0.0.1:7070".
int relay(const std::string& listen, const std::vector<std::string>& targets);

// The same in place of a router: reads the configuration file that the environment variable NODE_CONFIG
// names, listens on its `listen`, and relays to the cache nodes of its `known` that are in service.
int relay_as_router();

} // namespace fernward::rig
