// Frames between two processes: each is taken whole or refused. And the shares.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <string>
#include <vector>

#include "hot_restart/state.h"

using namespace fernward::hot_restart;

namespace {

std::vector<Message> all() {
  Welcome welcome;
  welcome.list = R"({"index":4,"snapshot":true,"endpoints":[]})";
  welcome.known = {{"s-1", true, 0}, {"s-2", false, 1.5e12}};
  welcome.share = {120, 24};
  return {Hello{"n1", "127.0.0.1:7070", 28}, welcome,    Serving{},
          Asked{{"s-3", true, 7}},           Client{12}, Places{3}};
}

} // namespace

TEST_CASE("what is written reads the same, one frame behind the other") {
  std::string text;
  for (const Message& message : all()) text += encode(message);
  for (const Message& message : all()) {
    const Decoded decoded = decode(text);
    REQUIRE(decoded.message.has_value());
    CHECK(*decoded.message == message);
    text.erase(0, decoded.used);
  }
  CHECK(text.empty());
}

TEST_CASE("cut anywhere, a frame waits for its rest, with any byte changed, it is refused or waits") {
  for (const Message& message : all()) {
    const std::string text = encode(message);
    for (std::size_t n = 0; n < text.size(); ++n) {
      const Decoded cut = decode(text.substr(0, n));
      CHECK_FALSE(cut.message.has_value());
      CHECK(cut.fault == "");
      std::string bad = text;
      bad[n] = static_cast<char>(bad[n] ^ 0x21);
      CHECK_FALSE(decode(bad).message.has_value());
    }
  }
}

TEST_CASE("another version, another kind, no frame at all") {
  std::string text = encode(Serving{});
  text[4] = 2;
  CHECK(decode(text).fault == "version 2");
  text = encode(Serving{});
  text[8] = 40;
  CHECK(decode(text).fault == "checksum");
  CHECK(decode("GET / HTTP/1.1\r\n\r\n").fault == "no frame");
  text = encode(Serving{});
  text[15] = 0x7f; // a gigabyte and more
  CHECK(decode(text).fault == "too long");
}

TEST_CASE("shares: together never more than the whole, the new one has room to begin") {
  CHECK(rc::check([] {
    const auto places = *rc::gen::inRange<std::uint64_t>(40, 4096);
    const auto reserved = *rc::gen::inRange<std::uint64_t>(0, 40);
    const auto used = *rc::gen::inRange<std::uint64_t>(0, places);
    const Split s = split({places, 33}, used, reserved);
    RC_ASSERT(s.old.places + s.next.places + reserved <= places);
    RC_ASSERT(s.old.memory_mb + s.next.memory_mb == 33u);
    RC_ASSERT(s.next.places * 8 + 8 >= places - reserved);
    if (used <= (places - reserved) / 2) RC_ASSERT(s.old.places >= used);
  }));
}
