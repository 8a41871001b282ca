// Parses a command of the control port: one line of text. Does no I/O.
#pragma once

#include <string>
#include <string_view>

namespace fernward::control {

enum class Command { Ready, ShowStat, DisableServer, EnableServer };

struct Call {
  Command command = Command::Ready;
  std::string endpoint; // name of a cache, for commands that require one
};

// The result of parsing. If `error` is not empty it describes why the line is invalid, and the command must
// not be executed.
struct Parsed {
  Call call;
  std::string fault;
};
Parsed parse(std::string_view line); // `line` has no line terminator

} // namespace fernward::control
