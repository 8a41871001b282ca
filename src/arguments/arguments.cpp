#include "arguments/arguments.h"

#include <cstdio>
#include <exception>

namespace fernward::arguments {
namespace {

int print_usage(std::FILE* out, const std::string& program, const std::string& summary,
                const std::vector<Command>& commands) {
  std::fprintf(out, "%s: %s\n\nUsage: %s COMMAND [--help]\n\n", program.c_str(), summary.c_str(),
               program.c_str());
  for (const Command& command : commands)
    std::fprintf(out, "  %-12s  %s\n", command.name, command.description);
  std::fprintf(out, "\nExit code: 0 success; 1 error; 2 usage error\n");
  return out == stdout ? kSuccess : kUsageFailure;
}

} // namespace

cxxopts::ParseResult parse(cxxopts::Options& options, const Arguments& arguments) {
  options.add_options()("h,help", "Print this help");
  std::vector<const char*> argv{options.program().c_str()};
  for (const std::string& argument : arguments) argv.push_back(argument.c_str());
  try {
    auto parsed = options.parse(static_cast<int>(argv.size()), argv.data());
    if (parsed.count("help") > 0) {
      std::printf("%s", options.help().c_str());
      throw HelpPrinted();
    }
    if (!parsed.unmatched().empty()) throw UsageError("unexpected argument: " + parsed.unmatched().front());
    return parsed;
  } catch (const UsageError&) {
    throw;
  } catch (const std::exception& error) { // the base class of cxxopts' exceptions differs between versions
    throw UsageError(error.what());
  }
}

int run_command(const std::string& program, const std::string& summary, const std::vector<Command>& commands,
                const Arguments& arguments) {
  if (arguments.empty()) {
    std::fprintf(stderr, "%s: no command\n", program.c_str());
    return print_usage(stderr, program, summary, commands);
  }
  const std::string& name = arguments.front();
  if (name == "--help" || name == "-h" || name == "help")
    return print_usage(stdout, program, summary, commands);
  for (const Command& command : commands) {
    if (name != command.name) continue;
    const std::string full_name = program + " " + name;
    try {
      return command.run(Arguments(arguments.begin() + 1, arguments.end()));
    } catch (const HelpPrinted&) {
      return kSuccess;
    } catch (const UsageError& error) {
      std::fprintf(stderr, "%s: %s; see %s --help\n", full_name.c_str(), error.what(), full_name.c_str());
      return kUsageFailure;
    } catch (const std::exception& error) {
      std::fprintf(stderr, "%s: %s\n", full_name.c_str(), error.what());
      return kFailure;
    }
  }
  std::fprintf(stderr, "%s: there is no command \"%s\"\n", program.c_str(), name.c_str());
  return print_usage(stderr, program, summary, commands);
}

} // namespace fernward::arguments
