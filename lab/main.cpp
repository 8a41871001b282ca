// fernward-lab: an emulated fleet, experiments and reports. Only the command line is here.
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
  return arguments::kWell;
}

} // namespace

int main(int argc, char** argv) {
  return arguments::run(
      "fernward-lab", "an emulated fleet before real or simulated routers",
      {{"try", "see routers at work before a small emulated fleet", &lab::try_command},
       {"check", "read scenarios and name every fault", &lab::check_command},
       {"run", "play one scenario, judge it and measure it", &lab::run_command},
       {"sweep", "play it for values of a key and for many seeds", &lab::sweep_command},
       {"compare", "play it two ways over the same seeds: which is better?", &lab::compare_command},
       {"storm", "faults drawn from seeds, judged by oracles, and made smaller", &lab::storm_command},
       {"report", "draw the page of a run again", &lab::report_command},
       {"keys", "print every key of a scenario", &lab::keys_command},
       {"cost", "what the router costs beside a bare relay of bytes", &lab::cost_command},
       {"relay", "that relay by itself", &lab::relay_command},
       {"version", "print the version", &version_command}},
      {argv + 1, argv + argc});
}
