// The checker of the cells is seen to fail: each way a wrong router could act, told as its clients and nodes would see it.
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

TEST_CASE("the cells' checker: a sound router breaks nothing") {
  Told t;
  t.asked("a", 0);
  t.ended(t.came("a", 0, loop::now_ms()), model::Ending::Miss);
  t.ended(t.came("a", t.ledger(), loop::now_ms()), model::Ending::Fetched);
  t.heard("a", Heard::Served);
  CHECK(t.judge() == "");
}

TEST_CASE("the cells' checker: what a wrong router does is found") {
  Told t;
  SUBCASE("two answers") {
    t.asked("a", 0);
    t.heard("a", Heard::Served);
    t.heard("a", Heard::Served);
    CHECK(t.finds("one-answer"));
  }
  SUBCASE("a connection that ends without one") {
    t.asked("a", 0);
    t.heard("a", Heard::Broken);
    CHECK(t.finds("no-lost"));
  }
  SUBCASE("an answer past its time") {
    t.asked("a", 0);
    usleep(static_cast<useconds_t>(1000 * (kGiveUpMs + 200)));
    t.heard("a", Heard::Failed);
    CHECK(t.finds("no-lost"));
  }
  SUBCASE("a value that no node made") {
    t.asked("a", 0);
    t.heard("a", Heard::Served, false);
    CHECK(t.finds("genuine"));
  }
  SUBCASE("a request of a class that may not be repeated, sent again after it may have run") {
    t.asked("a", 2);
    t.ended(t.came("a", t.ledger(), loop::now_ms()), model::Ending::Lost);
    t.ended(t.came("a", t.ledger(), loop::now_ms()), model::Ending::Written);
    t.heard("a", Heard::Served);
    CHECK(t.finds("repeats"));
  }
  SUBCASE("the same refused as if it had not run") {
    t.asked("a", 2);
    t.ended(t.came("a", t.ledger(), loop::now_ms()), model::Ending::Lost);
    t.heard("a", Heard::Refused);
    CHECK(t.finds("repeats"));
  }
  SUBCASE("an attempt for nobody") {
    t.came("stranger", 0, loop::now_ms());
    CHECK(t.finds("repeats"));
  }
  SUBCASE("something new to a node long after it was told to drain") {
    t.told(0, ServerState::Draining);
    usleep(450000);
    t.asked("a", 0);
    t.ended(t.came("a", 0, loop::now_ms()), model::Ending::Hit);
    t.heard("a", Heard::Served);
    CHECK(t.finds("drains"));
  }
  SUBCASE("given up with nothing out, and held until its time was over") {
    t.asked("a", 1);
    t.ended(t.came("a", t.ledger(), loop::now_ms()), model::Ending::Error);
    usleep(250000);
    t.heard("a", Heard::Refused);
    CHECK(t.finds("at-once"));
  }
}
