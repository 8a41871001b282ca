// Parses a command of the control port: one line of text. Does no I/O.
#pragma once

#include <string>
#include <string_view>

namespace fernward::control {

enum class CommandType { Ready, ShowStat, DisableServer, EnableServer };

struct ControlCommand {
  CommandType type = CommandType::Ready;
  std::string endpoint_name; // name of a cache, for commands that require one
};

// The result of parsing. If `error` is not empty it describes why the line is invalid, and the command must
// not be executed.
struct ParsedCommand {
  ControlCommand command;
  std::string error;
};
ParsedCommand parse_command(std::string_view line); // `line` has no line terminator

} // namespace fernward::control
