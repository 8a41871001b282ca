// Tests of the simulator adapter's codec: the published example bytes, and damaged frames.
#include <gtest/gtest.h>

#include <random>

#include "simulator_adapter/simulator_adapter.h"

namespace fernward::simulator_adapter {
namespace {

std::string bytes(std::string_view hex) {
  std::string out;
  std::string digits;
  for (const char c : hex) {
    if (c == ' ') continue;
    digits.push_back(c);
    if (digits.size() == 2) {
      out.push_back(static_cast<char>(std::stoi(digits, nullptr, 16)));
      digits.clear();
    }
  }
  return out;
}

const char* const kCall =
    "1e 0300 c4913a5dc99e0300 00 00000000 640ad2557c3bf091 0000000020e6c040 0000000000002840 00000000 01";

template <typename T>
std::string raw(T value) {
  return {reinterpret_cast<const char*>(&value), sizeof value};
}

std::string frame(const std::vector<std::string>& records, double now = 8412.25, std::uint32_t number = 1) {
  std::string body;
  for (const auto& r : records) body += r;
  return raw(static_cast<std::uint32_t>(records.size())) + raw(static_cast<std::uint32_t>(20 + body.size())) +
         raw(now) + raw(number) + body;
}

std::string boot(const std::string& settings) {
  return bytes("0a 0300 0100000000000000") + raw(static_cast<std::uint32_t>(settings.size())) + settings;
}

const char* const kSettings = R"({"balancers": 3, "me": 0, "unheard_of": [1],
  "classes": [{"give_up": 2000.0, "aim": 600.0, "repeat": "safe", "name": "any"}],
  "limits": {"max_attempts": 5, "may_cancel": true}, "obligations": {"grace_to_answer": 20.0}})";

// The published example of a list, and its announcement for instance 3.
const char* const kRoster =
    "6e 00 02000000 0000 0000 0000803f 0000000000000000 00 074a1203 00 "
    "0000 0000 0000c03f 0000000000d4b740 01 f211902c 00";
const char* const kAnnounce = "14 0300 02 2900000000000000 00";

std::string settled_frame(std::vector<std::string> more = {}) {
  std::vector<std::string> records = {boot(kSettings), bytes(kRoster), bytes(kAnnounce)};
  records.insert(records.end(), more.begin(), more.end());
  return frame(records);
}

TEST(Wire, AnswersAnEmptyBatchAsPublished) {
  SimulatorAdapter drill;
  EXPECT_EQ(drill.answer(bytes("00000000 14000000 00000000206ec040 01000000")), bytes("08000000 01000000"));
}

TEST(Wire, ReadsThePublishedRequest) {
  const std::string text = bytes(kCall);
  Reader in(text);
  const Record record = read_record(in);
  const auto& request = std::get<Request>(std::get<Event>(record.body));
  EXPECT_EQ(record.instance, 3);
  EXPECT_EQ(request.id, 0x39ec95d3a91c4u);
  EXPECT_EQ(request.key, 0x91f03b7c55d20a64u);
  EXPECT_DOUBLE_EQ(request.deadline, 8652.25);
  EXPECT_DOUBLE_EQ(request.expected_work_ms, 12);
  EXPECT_FALSE(request.write);
  EXPECT_EQ(in.left(), 0u);
}

TEST(Wire, ReadsThePublishedOutcome) {
  const std::string text = bytes(
      "32 0300 c4913a5dc99e0300 0000 074a1203 01 0000000000803240 01 00000000 03 00000c430000684100004040");
  Reader in(text);
  const Record record = read_record(in);
  const auto& outcome = std::get<AttemptOutcome>(std::get<Event>(record.body));
  EXPECT_EQ(outcome.id, 0x39ec95d3a91c4u);
  EXPECT_EQ(outcome.server, 0x03124a07u);
  EXPECT_EQ(outcome.result, AttemptResult::Ok);
  EXPECT_DOUBLE_EQ(outcome.elapsed_ms, 18.5);
  EXPECT_TRUE(outcome.request_ended);
  EXPECT_EQ(outcome.load_report, (std::vector<float>{140, 14.5, 3}));
}

TEST(Wire, ReadsThePublishedListAndAnnouncement) {
  const std::string text = bytes(std::string(kRoster) + kAnnounce);
  Reader in(text);
  const Record record = read_record(in);
  const auto& roster = std::get<Roster>(record.body);
  ASSERT_EQ(roster.servers.size(), 2u);
  EXPECT_EQ(roster.servers[0].id, 0x03124a07u);
  EXPECT_DOUBLE_EQ(roster.servers[1].weight, 1.5);
  EXPECT_DOUBLE_EQ(roster.servers[1].started_at, 6100);
  EXPECT_EQ(roster.servers[1].zone, 1u);
  const Record announce = read_record(in);
  EXPECT_EQ(std::get<Announce>(announce.body).kind, EndpointListKind::Cached);
}

TEST(Wire, WritesThePublishedActions) {
  Reply reply;
  reply.begin(12);
  reply.add(3, Send{0x39ec95d3a91c4u, 0x03124a07u, 80});
  reply.add(3, SetTimer{500, 77});
  reply.add(3, Log{"two servers known"});
  EXPECT_EQ(reply.finish(), bytes("48000000 0c000000 0a 0300 c4913a5dc99e0300 074a1203 0000000000005440 "
                                  "32 0300 0000000000407f40 4d00000000000000 "
                                  "5a 0300 1100 74776f2073657276657273206b6e6f776e"));
}

TEST(Wire, SendsThePublishedRequestToAListedServer) {
  SimulatorAdapter drill;
  const std::string reply = drill.answer(settled_frame({bytes(kCall)}));
  const std::string send = bytes("0a 0300 c4913a5dc99e0300");
  const auto at = reply.find(send);
  ASSERT_NE(at, std::string::npos);
  const std::string server = reply.substr(at + send.size(), 4);
  EXPECT_TRUE(server == bytes("074a1203") || server == bytes("f211902c"));
}

TEST(Wire, IgnoresMessagesFromOtherRouters) {
  SimulatorAdapter drill;
  const std::string quiet = drill.answer(settled_frame());
  SimulatorAdapter other;
  EXPECT_EQ(other.answer(settled_frame({bytes("5a 0300 0100 0400 68692037")})), quiet);
}

TEST(Wire, RejectsMalformedInput) {
  const auto rejects = [](const std::string& input) {
    EXPECT_THROW(SimulatorAdapter().answer(input), std::runtime_error);
  };
  rejects(frame({}).substr(0, 12));
  rejects(frame({}) + "x");
  rejects(frame({bytes("ff 0300")}));                  // unknown code
  rejects(frame({bytes(kCall)}));                      // request before Boot
  rejects(frame({boot(kSettings), bytes(kAnnounce)})); // announced list was not sent
  rejects(frame({boot("not json"), bytes(kRoster)}));
  rejects(frame({boot("{}")}));                                                    // required keys missing
  rejects(frame({bytes("6e 10 00000000")}));                                       // list number above 15
  rejects(frame({bytes("6e 00 ffffffff")}));                                       // count beyond the frame
  rejects(settled_frame({bytes(kCall).substr(0, 20)}));                            // truncated record
  rejects(settled_frame({bytes("32 0300 c4913a5dc99e0300 0000 074a1203 0a 00")})); // unknown outcome
}

TEST(Wire, SurvivesDamagedFrames) {
  std::mt19937_64 random(20);
  const std::string whole = settled_frame({bytes(kCall), bytes("46 0300 4d00000000000000")});
  int rejected = 0;
  for (int i = 0; i < 3000; ++i) {
    std::string damaged = whole;
    for (int flips = 0; flips < 3; ++flips)
      damaged[8 + random() % (damaged.size() - 8)] = static_cast<char>(random());
    if (i % 2 == 0) {
      damaged.resize(20 + random() % (damaged.size() - 20));
      const auto length = static_cast<std::uint32_t>(damaged.size());
      std::memcpy(damaged.data() + 4, &length, sizeof length);
    }
    try {
      EXPECT_GE(SimulatorAdapter().answer(damaged).size(), 8u);
    } catch (const BadInput&) {
      ++rejected;
    } catch (const std::invalid_argument&) {
      ++rejected;
    }
  }
  EXPECT_GT(rejected, 1000);
}

} // namespace
} // namespace fernward::simulator_adapter
