// Tests of the memcached binary protocol codec: byte-level examples, and properties over random frames that
// are split at random positions.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

#include "memcache/meaning.h"
#include "memcache/parser.h"

using namespace fernward;
using namespace fernward::memcache;

namespace {

std::string bytes(std::initializer_list<int> values) {
  std::string all;
  for (const int v : values) all.push_back(static_cast<char>(v));
  return all;
}

// The example request of the published protocol: get "Hello".
const std::string kGetHello =
    bytes({0x80, 0, 0, 5, 0, 0, 0, 0, 0, 0, 0, 5, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}) + "Hello";
// The response to it: flags 0xdeadbeef, CAS 1, value "World".
const std::string kWorld = bytes({0x81, 0, 0, 0, 4, 0, 0, 0, 0, 0, 0,    9,    0,    0,
                                  0,    0, 0, 0, 0, 0, 0, 0, 0, 1, 0xde, 0xad, 0xbe, 0xef}) +
                           "World";

Frame one(const std::string& text, Magic magic = Magic::Request) {
  Parser parser(magic, 1024);
  CHECK(parser.feed(text) == text.size());
  REQUIRE(parser.done());
  return parser.take();
}

Fault fault(const std::string& text, std::size_t* taken = nullptr) {
  Parser parser(Magic::Request, 1024, 1 << 20);
  const std::size_t n = parser.feed(text);
  if (taken != nullptr) *taken = n;
  return parser.fault();
}

std::string header(int opcode, int key, int extras, std::uint64_t total, int type = 0) {
  std::string h = bytes({0x80, opcode, key >> 8, key & 255, extras, type, 0, 0});
  for (int i = 3; i >= 0; --i) h.push_back(static_cast<char>(total >> (8 * i) & 255));
  return h + std::string(12, '\0');
}

Frame random_frame(Magic magic) {
  const auto text = [](std::size_t most) {
    return *rc::gen::container<std::string>(*rc::gen::inRange<std::size_t>(0, most + 1),
                                            rc::gen::arbitrary<char>());
  };
  Frame f;
  f.magic = magic;
  f.opcode = *rc::gen::arbitrary<std::uint8_t>();
  f.status = *rc::gen::arbitrary<std::uint16_t>();
  f.opaque = *rc::gen::arbitrary<std::uint32_t>();
  f.cas = *rc::gen::arbitrary<std::uint64_t>();
  f.extras = text(kLongestExtras);
  f.key = text(kLongestKey);
  f.value = text(200);
  return f;
}

} // namespace

TEST_CASE("the published examples are decoded and encoded") {
  const Frame get = one(kGetHello);
  CHECK(get.command() == Opcode::Get);
  CHECK(get.key == "Hello");
  CHECK(get.value.empty());
  CHECK(write(get) == kGetHello);
  const Frame world = one(kWorld, Magic::Response);
  CHECK(flags_of(world) == 0xdeadbeef);
  CHECK(world.cas == 1);
  CHECK(world.value == "World");
  CHECK(write(world) == kWorld);
  CHECK(write_head(world, 5) + "World" == kWorld);
}

TEST_CASE("invalid input ends the stream at the first byte that shows it") {
  std::size_t taken = 1;
  CHECK(fault("get slot-1\r\n", &taken) == Fault::NotBinary); // the text protocol
  CHECK(taken == 0);
  CHECK(fault("GET / HTTP/1.1\r\n") == Fault::NotBinary);
  CHECK(fault(kWorld) == Fault::WrongWay);
  CHECK(fault(header(0, 251, 0, 251)) == Fault::KeyTooLong);
  CHECK(fault(header(0, 250, 0, 250)) == Fault::None);
  CHECK(fault(header(0, 1, 21, 22)) == Fault::Extras);
  CHECK(fault(header(0, 5, 4, 8)) == Fault::Lengths);
  CHECK(fault(header(0, 5, 4, 9, 1)) == Fault::DataType);
  CHECK(fault(header(1, 1, 8, 0xffffffff)) == Fault::TooLong);
}

TEST_CASE("a value at the limit is kept and a longer one is discarded before the next frame is parsed") {
  for (const std::size_t length : {1023u, 1024u, 1025u, 5000u}) {
    Frame set;
    set.opcode = static_cast<std::uint8_t>(Opcode::Set);
    set.extras = std::string(8, '\0');
    set.key = "k";
    set.value = std::string(length, 'v');
    const std::string text = write(set) + kGetHello;
    Parser parser(Magic::Request, 1024);
    std::size_t at = 0, most = 0;
    while (!parser.done()) {
      at += parser.feed(std::string_view(text).substr(at, 100));
      most = std::max(most, parser.held());
    }
    const Frame got = parser.take();
    CHECK(got.key == "k");
    CHECK(got.value.size() == (length > 1024 ? 0 : length));
    CHECK(got.skipped == (length > 1024 ? length : 0));
    CHECK(most <= kHeader + 9 + 1024);
    CHECK(parser.feed(std::string_view(text).substr(at)) == kGetHello.size());
    CHECK(parser.take().key == "Hello");
  }
}

TEST_CASE("a header alone reserves no memory for the announced body") {
  Parser parser(Magic::Request, 1 << 20);
  parser.feed(header(1, 1, 8, 9 + (1 << 20)));
  CHECK(parser.announced() == kHeader + 9 + (1 << 20));
  CHECK(parser.held() == kHeader);
}

TEST_CASE("requests whose format does not match their command are detected") {
  const auto frame = [](Opcode op, std::size_t extras, const char* key, const char* value) {
    Frame f;
    f.opcode = static_cast<std::uint8_t>(op);
    f.extras = std::string(extras, '\0');
    f.key = key;
    f.value = value;
    return f;
  };
  CHECK(misshapen(frame(Opcode::GetKQ, 0, "k", "")) == nullptr);
  CHECK(misshapen(frame(Opcode::Get, 0, "", "")) != nullptr);
  CHECK(misshapen(frame(Opcode::Get, 4, "k", "")) != nullptr);
  CHECK(misshapen(frame(Opcode::Get, 0, "k", "v")) != nullptr);
  CHECK(misshapen(frame(Opcode::SetQ, 8, "k", "")) == nullptr);
  CHECK(misshapen(frame(Opcode::Set, 0, "k", "v")) != nullptr);
  CHECK(misshapen(frame(Opcode::Increment, 20, "k", "")) == nullptr);
  CHECK(misshapen(frame(Opcode::Append, 0, "k", "v")) == nullptr);
  CHECK(misshapen(frame(Opcode::Append, 8, "k", "v")) != nullptr);
  CHECK(misshapen(frame(Opcode::Gat, 4, "k", "")) == nullptr);
  CHECK(misshapen(frame(Opcode::Noop, 0, "", "")) == nullptr);
  CHECK(misshapen(frame(Opcode::Noop, 0, "k", "")) != nullptr);
  CHECK(misshapen(frame(Opcode::Flush, 4, "", "")) == nullptr);
  CHECK(misshapen(frame(static_cast<Opcode>(0x77), 3, "k", "v")) ==
        nullptr); // unknown command: its format is not checked
  CHECK(command(0x77).does == Does::Unknown);
  CHECK(command(static_cast<std::uint8_t>(Opcode::Flush)).does == Does::Everyone);
  for (int op = 0; op < 256; ++op) { // each quiet command has a non-quiet one of the same kind
    const Command& c = command(static_cast<std::uint8_t>(op));
    if (c.does == Does::Unknown) continue;
    const Command& loud = command(static_cast<std::uint8_t>(c.loud));
    CHECK_FALSE(loud.quiet);
    CHECK(loud.does == c.does);
    CHECK(loud.repeats_harm == c.repeats_harm);
  }
  Frame set = frame(Opcode::Set, 0, "k", "v");
  set.extras = bytes({0, 0, 0, 5, 0, 0, 0, 60});
  CHECK(flags_of(set) == 5);
  CHECK(lifetime_of(set) == 60);
}

TEST_CASE("the status of a response determines the result of the attempt") {
  const auto means = [](Opcode op, Status s) {
    return meaning(static_cast<std::uint8_t>(op), static_cast<std::uint16_t>(s));
  };
  CHECK(means(Opcode::GetQ, Status::Ok) == AttemptResult::Ok);
  CHECK(means(Opcode::GetQ, Status::NotFound) == AttemptResult::CacheMiss);
  CHECK(means(Opcode::Delete, Status::NotFound) == AttemptResult::Ok); // the request ran
  CHECK(means(Opcode::Set, Status::Exists) == AttemptResult::Ok);
  CHECK(means(Opcode::Add, Status::NotStored) == AttemptResult::Ok);
  CHECK(means(Opcode::Set, Status::OutOfMemory) == AttemptResult::Overloaded);
  CHECK(means(Opcode::Set, Status::Temporary) == AttemptResult::Overloaded);
  CHECK(means(Opcode::Set, Status::TooLarge) == AttemptResult::InvalidRequest);
  CHECK(means(Opcode::Set, Status::Internal) == AttemptResult::Error);
  CHECK(meaning(1, 0x7777) == AttemptResult::Error);
  const auto quiet = [](Opcode op, Status s) {
    return silent(static_cast<std::uint8_t>(op), static_cast<std::uint16_t>(s));
  };
  CHECK(quiet(Opcode::GetKQ, Status::NotFound));
  CHECK_FALSE(quiet(Opcode::GetKQ, Status::Busy)); // an error response is never omitted
  CHECK_FALSE(quiet(Opcode::GetKQ, Status::Ok));
  CHECK(quiet(Opcode::SetQ, Status::Ok));
  CHECK_FALSE(quiet(Opcode::SetQ, Status::NotStored));
  CHECK_FALSE(quiet(Opcode::Set, Status::Ok));
  std::set<Status> told;
  for (const End end :
       {End::Refused, End::Failed, End::Malformed, End::TooLarge, End::Unknown, End::NotSupported}) {
    CHECK(told.insert(status_of(end)).second);
    CHECK(text_of(end)[0] != '\0');
    CHECK(meaning(0, static_cast<std::uint16_t>(status_of(end))) != AttemptResult::Ok);
  }
}

TEST_CASE("properties of the codec") {
  CHECK(rc::check("encoded frames decode to the same frames, however the stream is split", [] {
    const Magic magic = *rc::gen::arbitrary<bool>() ? Magic::Request : Magic::Response;
    std::vector<Frame> frames;
    std::string text;
    for (int n = *rc::gen::inRange(1, 5); n > 0; --n) {
      frames.push_back(random_frame(magic));
      text += write(frames.back());
    }
    Parser parser(magic, 200);
    std::vector<Frame> got;
    std::string_view rest = text;
    while (!rest.empty()) {
      std::string_view piece = rest.substr(0, *rc::gen::inRange<std::size_t>(1, 60));
      rest.remove_prefix(piece.size());
      while (!piece.empty()) {
        piece.remove_prefix(parser.feed(piece));
        RC_ASSERT(parser.fault() == Fault::None);
        if (parser.done()) got.push_back(parser.take());
      }
    }
    RC_ASSERT(got == frames);
    RC_ASSERT(!parser.begun());
  }));
  CHECK(rc::check("a truncated frame is neither complete nor an error", [] {
    const std::string text = write(random_frame(Magic::Request));
    Parser parser(Magic::Request, 200);
    parser.feed(std::string_view(text).substr(0, *rc::gen::inRange<std::size_t>(0, text.size())));
    RC_ASSERT(!parser.done());
    RC_ASSERT(parser.fault() == Fault::None);
  }));
}
