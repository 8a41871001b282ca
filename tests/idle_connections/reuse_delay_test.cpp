// Whether an attempt waits for an idle connection within its reuse delay, or opens another connection.
#include "idle_connections/reuse_delay.h"

#include <doctest/doctest.h>

#include "idle_connections/duplicate_recognition.h"

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

TEST_CASE("bodies are compared again a minute after two equal responses, at each server by itself") {
  DuplicateRecognition recognition;
  CHECK(recognition.is_allowed(1000, 1));
  recognition.on_equal_responses(1000, 1);
  CHECK_FALSE(recognition.is_allowed(1000, 1));
  CHECK_FALSE(recognition.is_allowed(60999, 1));
  CHECK(recognition.is_allowed(61000, 1));
  CHECK(recognition.is_allowed(1000, 2));
  recognition.on_equal_responses(70000, 1);
  recognition.forget(1);
  CHECK(recognition.is_allowed(70000, 1));
}
