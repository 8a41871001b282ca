// Parses the command lines of all programs with cxxopts, with uniform error reporting.
//
// Exit codes: 0 success; 1 error; 2 usage error.
#pragma once

// Commas within option values must not split them, so the delimiter of vector options is a control character.
#define CXXOPTS_VECTOR_DELIMITER '\x1f'
#include <cxxopts.hpp>
#include <stdexcept>
#include <string>
#include <vector>

namespace fernward::arguments {

inline constexpr int kSuccess = 0, kFailure = 1, kUsageFailure = 2;

struct UsageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};
struct HelpPrinted {}; // thrown after the requested help has been printed

using Arguments = std::vector<std::string>; // without the name of the subcommand

// Throws UsageError, and HelpPrinted if help was requested.
cxxopts::ParseResult parse(cxxopts::Options& options, const Arguments& arguments);

struct Command {
  const char* name;
  const char* description; // shown in the list of commands
  int (*run)(const Arguments&);
};

// Runs the command named by the first of `arguments` and returns the exit code. `program` is used in
// messages, `summary` in the list of commands.
int run_command(const std::string& program, const std::string& summary, const std::vector<Command>& commands,
                const Arguments& arguments);

} // namespace fernward::arguments
