// fernward-lab: an emulated fleet, experiments and reports. Only the command line is here.
#include <cstdio>
#include <exception>
#include <string>

#include "lab/commands/command.h"

#ifndef FERNWARD_VERSION
#define FERNWARD_VERSION "unknown"
#endif

namespace {

using namespace fernward::lab;

struct Command {
  const char* name;
  const char* what;
  int (*run)(const Arguments&);
};

constexpr Command kCommands[] = {
    {"try", "see routers at work before a small emulated fleet", &try_command},
    {"check", "read scenarios and name every fault", &check_command},
    {"run", "play one scenario, judge it and measure it", &run_command},
    {"sweep", "play it for values of a key and for many seeds", &sweep_command},
    {"compare", "play it two ways over the same seeds: which is better?", &compare_command},
    {"report", "draw the page of a run again", &report_command},
    {"keys", "print every key of a scenario", &keys_command},
    {"cost", "what the router costs beside a bare relay of bytes", &cost_command},
    {"relay", "that relay by itself", &relay_command},
};

int usage(std::FILE* out, int code) {
  std::fprintf(
      out,
      "fernward-lab: an emulated fleet before real or simulated routers\n\nUsage: fernward-lab COMMAND "
      "[--help]\n\n");
  for (const Command& command : kCommands) std::fprintf(out, "  %-8s  %s\n", command.name, command.what);
  std::fprintf(
      out,
      "  %-8s  print the version\n\nExit code: 0 well; 1 a fault, a broken rule, a missed bound or a "
      "void run; 2 wrong usage\n",
      "version");
  return code;
}

} // namespace

int main(int argc, char** argv) {
  if (argc < 2) return usage(stderr, kUsage);
  const std::string name = argv[1];
  if (name == "--help" || name == "-h" || name == "help") return usage(stdout, kWell);
  if (name == "version" || name == "--version") {
    std::printf("fernward-lab %s\n", FERNWARD_VERSION);
    return kWell;
  }
  for (const Command& command : kCommands) {
    if (name != command.name) continue;
    try {
      return command.run(Arguments(argv + 2, argv + argc));
    } catch (const Help&) {
      return kWell;
    } catch (const UsageError& error) {
      std::fprintf(stderr, "fernward-lab %s: %s; see fernward-lab %s --help\n", command.name, error.what(),
                   command.name);
      return kUsage;
    } catch (const std::exception& error) {
      std::fprintf(stderr, "fernward-lab %s: %s\n", command.name, error.what());
      return kBad;
    }
  }
  std::fprintf(stderr, "fernward-lab: there is no command \"%s\"\n", name.c_str());
  return usage(stderr, kUsage);
}
