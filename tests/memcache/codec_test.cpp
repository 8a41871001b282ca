// Tests of the memcached binary protocol codec: byte-level examples, and properties over random frames that
// are split at random positions.
#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <set>

#include "memcache/parser.h"
#include "memcache/response_mapping.h"

using namespace fernward;
using namespace fernward::memcache;

namespace {

std::string bytes(std::initializer_list<int> values) {
  std::string result;
  for (const int value : values) result.push_back(static_cast<char>(value));
  return result;
}

// The example request of the published protocol: get "Hello".
const std::string kGetHello =
    bytes({0x80, 0, 0, 5, 0, 0, 0, 0, 0, 0, 0, 5, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0}) + "Hello";
// The response to it: flags 0xdeadbeef, CAS 1, value "World".
const std::string kGetResponse = bytes({0x81, 0, 0, 0, 4, 0, 0, 0, 0, 0, 0,    9,    0,    0,
                                        0,    0, 0, 0, 0, 0, 0, 0, 0, 1, 0xde, 0xad, 0xbe, 0xef}) +
                                 "World";

Frame decode_one(const std::string& text, Magic magic = Magic::Request) {
  Parser parser(magic, 1024);
  CHECK(parser.feed(text) == text.size());
  REQUIRE(parser.done());
  return parser.take_frame();
}

ParseError parse_error(const std::string& text, std::size_t* consumed = nullptr) {
  Parser parser(Magic::Request, 1024, 1 << 20);
  const std::size_t consumed_bytes = parser.feed(text);
  if (consumed != nullptr) *consumed = consumed_bytes;
  return parser.error();
}

std::string header(int opcode, int key_bytes, int extras_bytes, std::uint64_t body_bytes, int data_type = 0) {
  std::string encoded = bytes({0x80, opcode, key_bytes >> 8, key_bytes & 255, extras_bytes, data_type, 0, 0});
  for (int i = 3; i >= 0; --i) encoded.push_back(static_cast<char>(body_bytes >> (8 * i) & 255));
  return encoded + std::string(12, '\0');
}

Frame random_frame(Magic magic) {
  const auto random_text = [](std::size_t max_bytes) {
    return *rc::gen::container<std::string>(*rc::gen::inRange<std::size_t>(0, max_bytes + 1),
                                            rc::gen::arbitrary<char>());
  };
  Frame frame;
  frame.magic = magic;
  frame.opcode = *rc::gen::arbitrary<std::uint8_t>();
  frame.status = *rc::gen::arbitrary<std::uint16_t>();
  frame.opaque = *rc::gen::arbitrary<std::uint32_t>();
  frame.cas = *rc::gen::arbitrary<std::uint64_t>();
  frame.extras = random_text(kMaxExtrasBytes);
  frame.key = random_text(kMaxKeyBytes);
  frame.value = random_text(200);
  return frame;
}

} // namespace

TEST_CASE("the published examples are decoded and encoded") {
  const Frame get = decode_one(kGetHello);
  CHECK(get.command() == Opcode::Get);
  CHECK(get.key == "Hello");
  CHECK(get.value.empty());
  CHECK(encode(get) == kGetHello);
  const Frame response = decode_one(kGetResponse, Magic::Response);
  CHECK(flags_of(response) == 0xdeadbeef);
  CHECK(response.cas == 1);
  CHECK(response.value == "World");
  CHECK(encode(response) == kGetResponse);
  CHECK(encode_head(response, 5) + "World" == kGetResponse);
}

TEST_CASE("invalid input ends the stream at the first byte that shows it") {
  std::size_t consumed = 1;
  CHECK(parse_error("get slot-1\r\n", &consumed) == ParseError::NotBinary); // the text protocol
  CHECK(consumed == 0);
  CHECK(parse_error("GET / HTTP/1.1\r\n") == ParseError::NotBinary);
  CHECK(parse_error(kGetResponse) == ParseError::WrongDirection);
  CHECK(parse_error(header(0, 251, 0, 251)) == ParseError::KeyTooLong);
  CHECK(parse_error(header(0, 250, 0, 250)) == ParseError::None);
  CHECK(parse_error(header(0, 1, 21, 22)) == ParseError::ExtrasTooLong);
  CHECK(parse_error(header(0, 5, 4, 8)) == ParseError::InconsistentLengths);
  CHECK(parse_error(header(0, 5, 4, 9, 1)) == ParseError::DataType);
  CHECK(parse_error(header(1, 1, 8, 0xffffffff)) == ParseError::ValueTooLong);
}

TEST_CASE("a value at the limit is kept and a longer one is discarded before the next frame is parsed") {
  for (const std::size_t length : {1023u, 1024u, 1025u, 5000u}) {
    Frame set;
    set.opcode = static_cast<std::uint8_t>(Opcode::Set);
    set.extras = std::string(8, '\0');
    set.key = "k";
    set.value = std::string(length, 'v');
    const std::string text = encode(set) + kGetHello;
    Parser parser(Magic::Request, 1024);
    std::size_t at = 0, max_bytes = 0;
    while (!parser.done()) {
      at += parser.feed(std::string_view(text).substr(at, 100));
      max_bytes = std::max(max_bytes, parser.buffered_bytes());
    }
    const Frame decoded = parser.take_frame();
    CHECK(decoded.key == "k");
    CHECK(decoded.value.size() == (length > 1024 ? 0 : length));
    CHECK(decoded.skipped_value_bytes == (length > 1024 ? length : 0));
    CHECK(max_bytes <= kHeaderBytes + 9 + 1024);
    CHECK(parser.feed(std::string_view(text).substr(at)) == kGetHello.size());
    CHECK(parser.take_frame().key == "Hello");
  }
}

TEST_CASE("a header alone reserves no memory for the announced body") {
  Parser parser(Magic::Request, 1 << 20);
  parser.feed(header(1, 1, 8, 9 + (1 << 20)));
  CHECK(parser.frame_bytes() == kHeaderBytes + 9 + (1 << 20));
  CHECK(parser.buffered_bytes() == kHeaderBytes);
}

TEST_CASE("requests whose format does not match their command are detected") {
  const auto frame = [](Opcode opcode, std::size_t extras, const char* key, const char* value) {
    Frame result;
    result.opcode = static_cast<std::uint8_t>(opcode);
    result.extras = std::string(extras, '\0');
    result.key = key;
    result.value = value;
    return result;
  };
  CHECK(request_format_error(frame(Opcode::GetKQ, 0, "k", "")) == nullptr);
  CHECK(request_format_error(frame(Opcode::Get, 0, "", "")) != nullptr);
  CHECK(request_format_error(frame(Opcode::Get, 4, "k", "")) != nullptr);
  CHECK(request_format_error(frame(Opcode::Get, 0, "k", "v")) != nullptr);
  CHECK(request_format_error(frame(Opcode::SetQ, 8, "k", "")) == nullptr);
  CHECK(request_format_error(frame(Opcode::Set, 0, "k", "v")) != nullptr);
  CHECK(request_format_error(frame(Opcode::Increment, 20, "k", "")) == nullptr);
  CHECK(request_format_error(frame(Opcode::Append, 0, "k", "v")) == nullptr);
  CHECK(request_format_error(frame(Opcode::Append, 8, "k", "v")) != nullptr);
  CHECK(request_format_error(frame(Opcode::Gat, 4, "k", "")) == nullptr);
  CHECK(request_format_error(frame(Opcode::Noop, 0, "", "")) == nullptr);
  CHECK(request_format_error(frame(Opcode::Noop, 0, "k", "")) != nullptr);
  CHECK(request_format_error(frame(Opcode::Flush, 4, "", "")) == nullptr);
  // The format of an unknown command is not checked.
  CHECK(request_format_error(frame(static_cast<Opcode>(0x77), 3, "k", "v")) == nullptr);
  CHECK(command_info(0x77).kind == CommandKind::Unknown);
  CHECK(command_info(static_cast<std::uint8_t>(Opcode::Flush)).kind == CommandKind::AllServers);
  for (int opcode = 0; opcode < 256; ++opcode) { // each quiet command has a non-quiet one of the same kind
    const CommandInfo& info = command_info(static_cast<std::uint8_t>(opcode));
    if (info.kind == CommandKind::Unknown) continue;
    const CommandInfo& non_quiet = command_info(static_cast<std::uint8_t>(info.non_quiet_opcode));
    CHECK_FALSE(non_quiet.quiet);
    CHECK(non_quiet.kind == info.kind);
    CHECK(non_quiet.non_idempotent == info.non_idempotent);
  }
  Frame set = frame(Opcode::Set, 0, "k", "v");
  set.extras = bytes({0, 0, 0, 5, 0, 0, 0, 60});
  CHECK(flags_of(set) == 5);
  CHECK(expiration_of(set) == 60);
}

TEST_CASE("the status of a response determines the result of the attempt") {
  const auto result_of = [](Opcode opcode, Status status) {
    return attempt_result(static_cast<std::uint8_t>(opcode), static_cast<std::uint16_t>(status));
  };
  CHECK(result_of(Opcode::GetQ, Status::Ok) == AttemptResult::Ok);
  CHECK(result_of(Opcode::GetQ, Status::NotFound) == AttemptResult::CacheMiss);
  CHECK(result_of(Opcode::Delete, Status::NotFound) == AttemptResult::Ok); // the request ran
  CHECK(result_of(Opcode::Set, Status::Exists) == AttemptResult::Ok);
  CHECK(result_of(Opcode::Add, Status::NotStored) == AttemptResult::Ok);
  CHECK(result_of(Opcode::Set, Status::OutOfMemory) == AttemptResult::Overloaded);
  CHECK(result_of(Opcode::Set, Status::TemporaryFailure) == AttemptResult::Overloaded);
  CHECK(result_of(Opcode::Set, Status::TooLarge) == AttemptResult::InvalidRequest);
  CHECK(result_of(Opcode::Set, Status::InternalError) == AttemptResult::Error);
  CHECK(attempt_result(1, 0x7777) == AttemptResult::Error);
  const auto may_omit = [](Opcode opcode, Status status) {
    return may_omit_response(static_cast<std::uint8_t>(opcode), static_cast<std::uint16_t>(status));
  };
  CHECK(may_omit(Opcode::GetKQ, Status::NotFound));
  CHECK_FALSE(may_omit(Opcode::GetKQ, Status::Busy)); // an error response is never omitted
  CHECK_FALSE(may_omit(Opcode::GetKQ, Status::Ok));
  CHECK(may_omit(Opcode::SetQ, Status::Ok));
  CHECK_FALSE(may_omit(Opcode::SetQ, Status::NotStored));
  CHECK_FALSE(may_omit(Opcode::Set, Status::Ok));
  std::set<Status> statuses;
  for (const ErrorReason reason :
       {ErrorReason::Rejected, ErrorReason::Failed, ErrorReason::Malformed, ErrorReason::TooLarge,
        ErrorReason::UnknownCommand, ErrorReason::NotSupported}) {
    CHECK(statuses.insert(error_status(reason)).second);
    CHECK(error_message(reason)[0] != '\0');
    CHECK(attempt_result(0, static_cast<std::uint16_t>(error_status(reason))) != AttemptResult::Ok);
  }
}

TEST_CASE("properties of the codec") {
  CHECK(rc::check("encoded frames decode to the same frames, however the stream is split", [] {
    const Magic magic = *rc::gen::arbitrary<bool>() ? Magic::Request : Magic::Response;
    std::vector<Frame> frames;
    std::string text;
    for (int frames_left = *rc::gen::inRange(1, 5); frames_left > 0; --frames_left) {
      frames.push_back(random_frame(magic));
      text += encode(frames.back());
    }
    Parser parser(magic, 200);
    std::vector<Frame> decoded;
    std::string_view remaining = text;
    while (!remaining.empty()) {
      std::string_view piece = remaining.substr(0, *rc::gen::inRange<std::size_t>(1, 60));
      remaining.remove_prefix(piece.size());
      while (!piece.empty()) {
        piece.remove_prefix(parser.feed(piece));
        RC_ASSERT(parser.error() == ParseError::None);
        if (parser.done()) decoded.push_back(parser.take_frame());
      }
    }
    RC_ASSERT(decoded == frames);
    RC_ASSERT(!parser.has_started());
  }));
  CHECK(rc::check("a truncated frame is neither complete nor an error", [] {
    const std::string text = encode(random_frame(Magic::Request));
    Parser parser(Magic::Request, 200);
    parser.feed(std::string_view(text).substr(0, *rc::gen::inRange<std::size_t>(0, text.size())));
    RC_ASSERT(!parser.done());
    RC_ASSERT(parser.error() == ParseError::None);
  }));
}
