// A call on the second address: one line. No sockets.
#pragma once

#include <string>
#include <string_view>

namespace fernward::control {

enum class Command { Ready, ShowStat, DisableServer, EnableServer };

struct Call {
  Command command = Command::Ready;
  std::string endpoint; // of a cache, where the command takes one
};

// Of a line without its end. A call, or what is wrong with it: then `fault` is not empty and nothing may be
// done.
struct Parsed {
  Call call;
  std::string fault;
};
Parsed parse(std::string_view line);

} // namespace fernward::control
