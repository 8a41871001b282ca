// Commands on the control port: each line is accepted completely or rejected with a reason.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

#include "control/control_command.h"

using namespace fernward::control;

TEST_CASE("the four commands are parsed") {
  CHECK(parse_command("ready").command.type == CommandType::Ready);
  CHECK(parse_command("  show-stat\t").command.type == CommandType::ShowStat);
  CHECK(parse_command("disable-server s-1").command.type == CommandType::DisableServer);
  CHECK(parse_command("disable-server s-1").command.endpoint_name == "s-1");
  CHECK(parse_command("enable-server   s-1 ").command.endpoint_name == "s-1");
  for (const char* line : {"ready", "show-stat", "disable-server x", "enable-server x"})
    CHECK(parse_command(line).error == "");
}

TEST_CASE("any other line is rejected") {
  for (const std::string line :
       {"", "   ", "READY", "ready now", "show-stat all", "show", "disable-server", "disable-server a b",
        "enable-server", "disable-servers a", "GET / HTTP/1.1", "ready\r", "disable-server a\001"}) {
    CAPTURE(line);
    CHECK(parse_command(line).error != "");
  }
  CHECK(parse_command("disable-server " + std::string(129, 'x')).error != "");
  CHECK(parse_command(std::string("ready\0", 6)).error != "");
}

TEST_CASE("for any input an error is one line and an id is one word") {
  CHECK(rc::check([](const std::string& line) {
    const ParsedCommand parsed = parse_command(line);
    RC_ASSERT(parsed.error.find_first_of("\r\n") == std::string::npos);
    if (parsed.error.empty())
      RC_ASSERT(parsed.command.endpoint_name.find_first_of(" \t\r\n") == std::string::npos);
  }));
}
