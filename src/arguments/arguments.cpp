#include "arguments/arguments.h"

#include <cstdio>
#include <exception>

namespace fernward::arguments {
namespace {

int usage(std::FILE* out, const std::string& program, const std::string& about,
          const std::vector<Command>& commands) {
  std::fprintf(out, "%s: %s\n\nUsage: %s COMMAND [--help]\n\n", program.c_str(), about.c_str(),
               program.c_str());
  for (const Command& command : commands) std::fprintf(out, "  %-12s  %s\n", command.name, command.what);
  std::fprintf(out, "\nExit code: 0 success; 1 error; 2 usage error\n");
  return out == stdout ? kWell : kUsage;
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
      throw Help();
    }
    if (!parsed.unmatched().empty()) throw UsageError("unexpected argument: " + parsed.unmatched().front());
    return parsed;
  } catch (const UsageError&) {
    throw;
  } catch (const std::exception& error) { // the base class of cxxopts' exceptions differs between versions
    throw UsageError(error.what());
  }
}

int run(const std::string& program, const std::string& about, const std::vector<Command>& commands,
        const Arguments& arguments) {
  if (arguments.empty()) {
    std::fprintf(stderr, "%s: no command\n", program.c_str());
    return usage(stderr, program, about, commands);
  }
  const std::string& name = arguments.front();
  if (name == "--help" || name == "-h" || name == "help") return usage(stdout, program, about, commands);
  for (const Command& command : commands) {
    if (name != command.name) continue;
    const std::string whole = program + " " + name;
    try {
      return command.run(Arguments(arguments.begin() + 1, arguments.end()));
    } catch (const Help&) {
      return kWell;
    } catch (const UsageError& error) {
      std::fprintf(stderr, "%s: %s; see %s --help\n", whole.c_str(), error.what(), whole.c_str());
      return kUsage;
    } catch (const std::exception& error) {
      std::fprintf(stderr, "%s: %s\n", whole.c_str(), error.what());
      return kBad;
    }
  }
  std::fprintf(stderr, "%s: there is no command \"%s\"\n", program.c_str(), name.c_str());
  return usage(stderr, program, about, commands);
}

} // namespace fernward::arguments
