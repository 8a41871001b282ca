// Commands on the control port: each line is accepted completely or rejected with a reason.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>

#include "control/call.h"

using namespace fernward::control;

TEST_CASE("the four commands are parsed") {
  CHECK(parse("ready").call.command == Command::Ready);
  CHECK(parse("  show-stat\t").call.command == Command::ShowStat);
  CHECK(parse("disable-server s-1").call.command == Command::DisableServer);
  CHECK(parse("disable-server s-1").call.endpoint == "s-1");
  CHECK(parse("enable-server   s-1 ").call.endpoint == "s-1");
  for (const char* line : {"ready", "show-stat", "disable-server x", "enable-server x"})
    CHECK(parse(line).fault == "");
}

TEST_CASE("any other line is rejected") {
  for (const std::string line :
       {"", "   ", "READY", "ready now", "show-stat all", "show", "disable-server", "disable-server a b",
        "enable-server", "disable-servers a", "GET / HTTP/1.1", "ready\r", "disable-server a\001"}) {
    CAPTURE(line);
    CHECK(parse(line).fault != "");
  }
  CHECK(parse("disable-server " + std::string(129, 'x')).fault != "");
  CHECK(parse(std::string("ready\0", 6)).fault != "");
}

TEST_CASE("for any input an error is one line and an id is one word") {
  CHECK(rc::check([](const std::string& line) {
    const Parsed parsed = parse(line);
    RC_ASSERT(parsed.fault.find_first_of("\r\n") == std::string::npos);
    if (parsed.fault.empty()) RC_ASSERT(parsed.call.endpoint.find_first_of(" \t\r\n") == std::string::npos);
  }));
}
