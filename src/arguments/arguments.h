// Command lines of all programs: cxxopts, with one way to say what is wrong.
//
// Exit codes: 0 well; 1 a fault; 2 wrong usage.
#pragma once

// An option may hold a list: commas are its own.
#define CXXOPTS_VECTOR_DELIMITER '\x1f'
#include <cxxopts.hpp>
#include <stdexcept>
#include <string>
#include <vector>

namespace fernward::arguments {

inline constexpr int kWell = 0, kBad = 1, kUsage = 2;

struct UsageError : std::runtime_error {
  using std::runtime_error::runtime_error;
};
struct Help {}; // it was asked for, and has been printed

using Arguments = std::vector<std::string>; // after the sub-command's name

// Throws UsageError, and Help where help was asked for and printed.
cxxopts::ParseResult parse(cxxopts::Options& options, const Arguments& arguments);

struct Command {
  const char* name;
  const char* what; // it does, for the list of commands
  int (*run)(const Arguments&);
};

// The command that `arguments` name, run; `program` for messages, `about` for the list.
int run(const std::string& program, const std::string& about, const std::vector<Command>& commands,
        const Arguments& arguments);

} // namespace fernward::arguments
