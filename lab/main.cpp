// fernward-lab: an emulated fleet, experiments and reports. This file contains only the command line.
#include <cstdio>

#include "lab/commands/command.h"

#ifndef FERNWARD_VERSION
#define FERNWARD_VERSION "unknown"
#endif

using namespace fernward;

namespace {

int version_command(const arguments::Arguments& given) {
  cxxopts::Options options("fernward-lab version", "Print the version");
  arguments::parse(options, given);
  std::printf("fernward-lab %s\n", FERNWARD_VERSION);
  return arguments::kSuccess;
}

} // namespace

int main(int argc, char** argv) {
  return arguments::run_command(
      "fernward-lab", "an emulated fleet behind real or simulated routers",
      {{"try", "demonstrate routers in front of a small emulated fleet", &lab::try_command},
       {"check", "validate scenarios and print every fault", &lab::check_command},
       {"run", "run one scenario, check it and print its statistics", &lab::run_command},
       {"sweep", "run it for several values of a key and many seeds", &lab::sweep_command},
       {"compare", "compare two configurations over the same seeds", &lab::compare_command},
       {"storm", "generate faults from seeds, check them by oracles, shrink them", &lab::storm_command},
       {"report", "rebuild the report of a run", &lab::report_command},
       {"keys", "print every key of a scenario", &lab::keys_command},
       {"cost", "measure the CPU cost of the router against a plain byte relay", &lab::cost_command},
       {"relay", "run that relay alone", &lab::relay_command},
       {"version", "print the version", &version_command}},
      {argv + 1, argv + argc});
}
