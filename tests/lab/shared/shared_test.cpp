// The types shared by the parts of the rig: bodies, ids of tries, record merging, addresses, lateness, event
// loop.
#include <doctest/doctest.h>

#include <cmath>
#include <set>
#include <thread>

#include "http/message.h"
#include "lab/shared/addresses.h"
#include "lab/shared/body.h"
#include "lab/shared/lateness.h"
#include "lab/shared/loop.h"
#include "lab/shared/tape.h"
#include "lab/shared/tries.h"
#include "support.h"

using namespace fernward;
using namespace fernward::tests;

TEST_CASE("a body encodes what it was made for and any changed byte is detected") {
  const rig::Bodies bodies(5), others(6);
  const rig::BodyFacts facts{16 * 7, 3, 2, 99};
  for (const double size : {0.0, 200.0, 4000.0, 1e9, -1.0, std::nan("")}) {
    CAPTURE(size);
    std::string body = bodies.make(facts, size);
    CHECK(body.size() <= http::kMaxBody);
    const auto read = bodies.read(body);
    REQUIRE(read);
    CHECK(read->try_id == facts.try_id);
    CHECK(read->attempt == facts.attempt);
    CHECK(read->machine == facts.machine);
    CHECK(read->key == facts.key);
    CHECK_FALSE(others.read(body)); // of another run
    CHECK_FALSE(bodies.read(body + "x"));
    CHECK_FALSE(bodies.read(std::string_view(body).substr(0, body.size() - 1)));
    for (std::size_t at = 0; at < body.size(); at += 1 + body.size() / 50) {
      body[at] = static_cast<char>(body[at] ^ 1);
      CHECK_FALSE(bodies.read(body));
      body[at] = static_cast<char>(body[at] ^ 1);
    }
  }
  CHECK_FALSE(bodies.read(""));
}

TEST_CASE("ids decode to their tries and tries are removed after their retention time") {
  rig::Tries tries(0x1234567890abcdefull, 1000);
  for (const model::TryId id : {16ull, 17ull, 1ull << 40, ~0ull}) {
    const std::string text = tries.id(id);
    CHECK(text.size() == 16);
    CHECK(tries.number(text) == id);
  }
  CHECK(tries.id(16) != tries.id(17));
  for (const char* text : {"", "12", "zzzzzzzzzzzzzzzz", "00000000000000001", "-000000000000001"}) {
    CHECK_FALSE(tries.number(text));
  }
  tries.note(0, 16, {});
  tries.note(900, 17, {});
  CHECK(tries.find(16));
  tries.note(1500, 18, {});
  CHECK_FALSE(tries.find(16));
  CHECK(tries.find(17));
}

TEST_CASE("records of several threads are merged in order of time") {
  struct Order : model::Sink {
    void on(const model::Begun& b) override { seen.push_back({b.at, b.attempt}); }
    void on(const model::RouterLog& l) override { text = l.text; }
    std::vector<std::pair<double, std::uint64_t>> seen;
    std::string text;
  } order;
  rig::Merger merger(order, 100);
  rig::Tape one, two;
  std::thread other([&] {
    for (int i = 0; i < 1000; ++i) two.add(model::Begun{i * 2.0, static_cast<std::uint64_t>(i), 1});
  });
  for (int i = 0; i < 1000; ++i) one.add(model::Begun{i * 3.0, static_cast<std::uint64_t>(i), 0});
  other.join();
  two.add(rig::OwnedLog{5, 0, "a line"});
  merger.take(one);
  merger.take(two);
  merger.release(1100);
  CHECK(std::is_sorted(order.seen.begin(), order.seen.end(),
                       [](const auto& a, const auto& b) { return a.first < b.first; }));
  CHECK(order.seen.back().first == 1000); // later records are still held
  CHECK(order.text == "a line");
  merger.release_all();
  CHECK(order.seen.size() == 2000);
  CHECK(merger.held() == 0);
}

TEST_CASE("two runs have different addresses and each participant has its own") {
  const rig::Addresses a(3, 300), b(3, 300);
  std::set<std::string> all;
  std::size_t count = 0;
  const auto add = [&](const sockaddr_in& where) {
    all.insert(rig::text_of(where));
    ++count;
  };
  for (const rig::Addresses* one : {&a, &b}) {
    for (model::RouterId r = 0; r < 3; ++r) {
      add(one->router(r)), add(one->agent(r, 0)), add(one->agent(r, 1)), add(one->peer_listen(r)),
          add(one->peers_all(r));
      for (model::RouterId other = 0; other < 3; ++other) add(one->peer(r, other));
      for (model::MachineId m = 0; m < 300; ++m) add(one->machine(r, m));
    }
  }
  CHECK(all.size() == count);
}

TEST_CASE("percentiles are never below the measured values") {
  rig::Lateness lateness;
  CHECK(lateness.quantiles().max == 0);
  for (int i = 1; i <= 1000; ++i) lateness.add(i / 100.0);
  const auto q = lateness.quantiles();
  CHECK(q.p50 >= 5.0);
  CHECK(q.p50 < 5.4);
  CHECK(q.p99 >= 9.9);
  CHECK(q.max == doctest::Approx(10));
  rig::Lateness none;
  for (int i = 0; i < 10; ++i) none.add(0);
  CHECK(none.quantiles().p99 == 0);
}

TEST_CASE("functions posted by other threads run in the loop in order") {
  rig::Clock clock;
  rig::Loop loop(clock);
  std::vector<int> done;
  std::thread other([&] {
    for (int i = 0; i < 100; ++i) loop.post([&done, i] { done.push_back(i); });
    loop.stop();
  });
  loop.run();
  other.join();
  REQUIRE(done.size() == 100);
  CHECK(std::is_sorted(done.begin(), done.end()));
}
