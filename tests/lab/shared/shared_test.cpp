// The types shared by the parts of the rig: bodies, ids of tries, merging of records, addresses, lateness
// and the event loop.
#include <doctest/doctest.h>

#include <cmath>
#include <set>
#include <thread>

#include "http/message.h"
#include "lab/shared/addresses.h"
#include "lab/shared/body.h"
#include "lab/shared/lateness.h"
#include "lab/shared/loop.h"
#include "lab/shared/records.h"
#include "lab/shared/try_registry.h"
#include "support.h"

using namespace fernward;
using namespace fernward::tests;

TEST_CASE("a body encodes what it was made for and any changed byte is detected") {
  const rig::BodyCodec bodies(5), other_run_bodies(6);
  const rig::BodyMetadata metadata{16 * 7, 3, 2, 99};
  for (const double size : {0.0, 200.0, 4000.0, 1e9, -1.0, std::nan("")}) {
    CAPTURE(size);
    std::string body = bodies.encode(metadata, size);
    CHECK(body.size() <= http::kMaxBodyBytes);
    const auto decoded = bodies.decode(body);
    REQUIRE(decoded);
    CHECK(decoded->try_id == metadata.try_id);
    CHECK(decoded->attempt == metadata.attempt);
    CHECK(decoded->machine == metadata.machine);
    CHECK(decoded->key == metadata.key);
    CHECK_FALSE(other_run_bodies.decode(body));
    CHECK_FALSE(bodies.decode(body + "x"));
    CHECK_FALSE(bodies.decode(std::string_view(body).substr(0, body.size() - 1)));
    for (std::size_t at = 0; at < body.size(); at += 1 + body.size() / 50) {
      body[at] = static_cast<char>(body[at] ^ 1);
      CHECK_FALSE(bodies.decode(body));
      body[at] = static_cast<char>(body[at] ^ 1);
    }
  }
  CHECK_FALSE(bodies.decode(""));
}

TEST_CASE("ids decode to their tries and tries are removed after their retention time") {
  rig::TryRegistry tries(0x1234567890abcdefull, 1000);
  for (const model::TryId id : {16ull, 17ull, 1ull << 40, ~0ull}) {
    const std::string text = tries.request_id(id);
    CHECK(text.size() == 16);
    CHECK(tries.try_id_of(text) == id);
  }
  CHECK(tries.request_id(16) != tries.request_id(17));
  for (const char* text : {"", "12", "zzzzzzzzzzzzzzzz", "00000000000000001", "-000000000000001"}) {
    CHECK_FALSE(tries.try_id_of(text));
  }
  tries.add(0, 16, {});
  tries.add(900, 17, {});
  CHECK(tries.find(16));
  tries.add(1500, 18, {});
  CHECK_FALSE(tries.find(16));
  CHECK(tries.find(17));
}

TEST_CASE("records of several threads are merged in order of time") {
  struct RecordingSink : model::Sink {
    void on(const model::AttemptStarted& b) override { received.push_back({b.at, b.attempt}); }
    void on(const model::RouterLogLine& l) override { log_text = l.text; }
    std::vector<std::pair<double, std::uint64_t>> received;
    std::string log_text;
  } sink;
  rig::RecordMerger merger(sink, 100);
  rig::RecordBuffer one, two;
  std::thread other([&] {
    for (int i = 0; i < 1000; ++i) two.add(model::AttemptStarted{i * 2.0, static_cast<std::uint64_t>(i), 1});
  });
  for (int i = 0; i < 1000; ++i) one.add(model::AttemptStarted{i * 3.0, static_cast<std::uint64_t>(i), 0});
  other.join();
  two.add(rig::BufferedRouterLog{5, 0, "a line"});
  merger.add_from(one);
  merger.add_from(two);
  merger.release(1100);
  CHECK(std::is_sorted(sink.received.begin(), sink.received.end(),
                       [](const auto& a, const auto& b) { return a.first < b.first; }));
  CHECK(sink.received.back().first == 1000); // later records are still held
  CHECK(sink.log_text == "a line");
  merger.release_all();
  CHECK(sink.received.size() == 2000);
  CHECK(merger.queued() == 0);
}

TEST_CASE("two runs have different addresses and each participant has its own") {
  const rig::RunAddresses a(3, 300), b(3, 300);
  std::set<std::string> distinct_addresses;
  std::size_t count = 0;
  const auto add = [&](const sockaddr_in& address) {
    distinct_addresses.insert(rig::address_text(address));
    ++count;
  };
  for (const rig::RunAddresses* addresses : {&a, &b}) {
    for (model::RouterId r = 0; r < 3; ++r) {
      add(addresses->router(r)), add(addresses->discovery(r, 0)), add(addresses->discovery(r, 1)),
          add(addresses->peer_listen(r)), add(addresses->all_peers(r));
      for (model::RouterId other = 0; other < 3; ++other) add(addresses->peer(r, other));
      for (model::MachineId m = 0; m < 300; ++m) add(addresses->machine(r, m));
    }
  }
  CHECK(distinct_addresses.size() == count);
}

TEST_CASE("percentiles are never below the measured values") {
  rig::LatenessHistogram lateness;
  CHECK(lateness.quantiles().max == 0);
  for (int i = 1; i <= 1000; ++i) lateness.add(i / 100.0);
  const auto quantiles = lateness.quantiles();
  CHECK(quantiles.p50 >= 5.0);
  CHECK(quantiles.p50 < 5.4);
  CHECK(quantiles.p99 >= 9.9);
  CHECK(quantiles.max == doctest::Approx(10));
  rig::LatenessHistogram none;
  for (int i = 0; i < 10; ++i) none.add(0);
  CHECK(none.quantiles().p99 == 0);
}

TEST_CASE("functions posted by other threads run in the loop in order") {
  rig::RunClock clock;
  rig::RunLoop loop(clock);
  std::vector<int> executed;
  std::thread other([&] {
    for (int i = 0; i < 100; ++i) loop.run_in_loop([&executed, i] { executed.push_back(i); });
    loop.stop();
  });
  loop.run();
  other.join();
  REQUIRE(executed.size() == 100);
  CHECK(std::is_sorted(executed.begin(), executed.end()));
}
