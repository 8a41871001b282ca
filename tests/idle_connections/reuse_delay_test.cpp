// Whether an attempt waits for an idle connection within its reuse delay, or opens another connection.
#include "idle_connections/reuse_delay.h"

#include <doctest/doctest.h>

using namespace fernward::idle_connections;

TEST_CASE("an attempt waits for the reuse delay only where another connection is not available sooner") {
  const struct {
    const char* name;
    ReuseDelayState state;
    bool waits;
  } cases[] = {{"opening is quicker", {20, 0.2, false, false}, false},
               {"the delay ends sooner", {5, 16, false, false}, true},
               {"as soon as the other", {16, 16, false, false}, true},
               {"scarce connections", {20, 0.2, true, false}, true},
               {"no descriptor", {20, 0.2, false, true}, true}};
  for (const auto& tested : cases) {
    CAPTURE(tested.name);
    CHECK(should_await_reuse(tested.state) == tested.waits);
  }
}
