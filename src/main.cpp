// Entry point of the fernward program: the table of its subcommands and the version command.
#include <cstdio>

#include "commands/command.h"

#ifndef FERNWARD_VERSION
#define FERNWARD_VERSION "unknown"
#endif

using namespace fernward;

namespace {

int version(const arguments::Arguments& args) {
  cxxopts::Options options("fernward version", "Print the version");
  arguments::parse(options, args);
  std::printf("fernward %s\n", FERNWARD_VERSION);
  return arguments::kSuccess;
}

} // namespace

int main(int argc, char** argv) {
  return arguments::run_command(
      "fernward", "a router in front of a fleet of cache servers",
      {{"serve", "run the router", &commands::serve},
       {"sidecar", "run the router as a sidecar together with an application", &commands::sidecar},
       {"config", "create, check and explain an application's configuration file", &commands::config},
       {"check-config", "check the configuration file named by NODE_CONFIG", &commands::check_config},
       {"version", "print the version", &version}},
      {argv + 1, argv + argc});
}
