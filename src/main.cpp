// fernward: a router before a fleet of cache nodes. Only the command line is here.
#include <cstdio>

#include "commands/command.h"

#ifndef FERNWARD_VERSION
#define FERNWARD_VERSION "unknown"
#endif

using namespace fernward;

namespace {

int version(const arguments::Arguments& given) {
  cxxopts::Options options("fernward version", "Print the version");
  arguments::parse(options, given);
  std::printf("fernward %s\n", FERNWARD_VERSION);
  return arguments::kWell;
}

} // namespace

int main(int argc, char** argv) {
  return arguments::run("fernward", "a router before a fleet of cache nodes",
                        {{"serve", "run the router", &commands::serve},
                         {"sidecar", "run the router and an application beside it", &commands::sidecar},
                         {"config", "write, check and explain an application's file", &commands::config},
                         {"check-config", "check the file that NODE_CONFIG names", &commands::check_config},
                         {"version", "print the version", &version}},
                        {argv + 1, argv + argc});
}
