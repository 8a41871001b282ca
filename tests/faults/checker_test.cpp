// Tests that the check of the fault cells detects faults: each test records what clients and nodes would
// observe with a faulty router.
#include <doctest/doctest.h>
#include <unistd.h>

#include "witness.h"

using namespace fernward;
using namespace fernward::tests;
using Heard = model::Heard;

namespace {

struct Told : Witness {
  Told() {
    for (const model::MachineId m : {0u, 1u, ledger()}) told(m, ServerState::Ready);
  }
  bool finds(const std::string& rule) { return judge().find(rule + ": ") != std::string::npos; }
};

} // namespace

TEST_CASE("checker of the fault cells: a correct router causes no breach") {
  Told t;
  t.asked("a", 0);
  t.ended(t.came("a", 0, loop::now_ms()), model::Ending::Miss);
  t.ended(t.came("a", t.ledger(), loop::now_ms()), model::Ending::Fetched);
  t.heard("a", Heard::Served);
  CHECK(t.judge() == "");
}

TEST_CASE("checker of the fault cells: each fault of a router is detected") {
  Told t;
  SUBCASE("two responses to one request") {
    t.asked("a", 0);
    t.heard("a", Heard::Served);
    t.heard("a", Heard::Served);
    CHECK(t.finds("one-answer"));
  }
  SUBCASE("a connection that ends without a response") {
    t.asked("a", 0);
    t.heard("a", Heard::Broken);
    CHECK(t.finds("no-lost"));
  }
  SUBCASE("a response after the client timeout") {
    t.asked("a", 0);
    usleep(static_cast<useconds_t>(1000 * (kGiveUpMs + 200)));
    t.heard("a", Heard::Failed);
    CHECK(t.finds("no-lost"));
  }
  SUBCASE("a value that no node sent") {
    t.asked("a", 0);
    t.heard("a", Heard::Served, false);
    CHECK(t.finds("genuine"));
  }
  SUBCASE("a non-idempotent request sent again after it may have run") {
    t.asked("a", 2);
    t.ended(t.came("a", t.ledger(), loop::now_ms()), model::Ending::Lost);
    t.ended(t.came("a", t.ledger(), loop::now_ms()), model::Ending::Written);
    t.heard("a", Heard::Served);
    CHECK(t.finds("repeats"));
  }
  SUBCASE("a non-idempotent request rejected as if it had not run") {
    t.asked("a", 2);
    t.ended(t.came("a", t.ledger(), loop::now_ms()), model::Ending::Lost);
    t.heard("a", Heard::Refused);
    CHECK(t.finds("repeats"));
  }
  SUBCASE("an attempt for an unknown request") {
    t.came("stranger", 0, loop::now_ms());
    CHECK(t.finds("repeats"));
  }
  SUBCASE("a new request sent to a node long after it started to drain") {
    t.told(0, ServerState::Draining);
    usleep(450000);
    t.asked("a", 0);
    t.ended(t.came("a", 0, loop::now_ms()), model::Ending::Hit);
    t.heard("a", Heard::Served);
    CHECK(t.finds("drains"));
  }
  SUBCASE("a request given up with no attempt in flight but not answered at once") {
    t.asked("a", 1);
    t.ended(t.came("a", t.ledger(), loop::now_ms()), model::Ending::Error);
    usleep(250000);
    t.heard("a", Heard::Refused);
    CHECK(t.finds("at-once"));
  }
}
