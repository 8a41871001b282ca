// Tests of the simulator adapter's codec: the published example bytes, and damaged frames.
#include <gtest/gtest.h>

#include <random>

#include "simulator_adapter/simulator_adapter.h"

namespace fernward::simulator_adapter {
namespace {

std::string from_hex(std::string_view hex) {
  std::string decoded;
  std::string digits;
  for (const char c : hex) {
    if (c == ' ') continue;
    digits.push_back(c);
    if (digits.size() == 2) {
      decoded.push_back(static_cast<char>(std::stoi(digits, nullptr, 16)));
      digits.clear();
    }
  }
  return decoded;
}

const char* const kRequestRecord =
    "1e 0300 c4913a5dc99e0300 00 00000000 640ad2557c3bf091 0000000020e6c040 0000000000002840 00000000 01";

template <typename T>
std::string encode(T value) {
  return {reinterpret_cast<const char*>(&value), sizeof value};
}

std::string frame(const std::vector<std::string>& records, double now = 8412.25, std::uint32_t number = 1) {
  std::string body;
  for (const auto& record : records) body += record;
  return encode(static_cast<std::uint32_t>(records.size())) +
         encode(static_cast<std::uint32_t>(20 + body.size())) + encode(now) + encode(number) + body;
}

std::string boot(const std::string& settings) {
  return from_hex("0a 0300 0100000000000000") + encode(static_cast<std::uint32_t>(settings.size())) +
         settings;
}

const char* const kSettings = R"({"balancers": 3, "me": 0, "unheard_of": [1],
  "classes": [{"give_up": 2000.0, "aim": 600.0, "repeat": "safe", "name": "any"}],
  "limits": {"max_attempts": 5, "may_cancel": true}, "obligations": {"grace_to_answer": 20.0}})";

// The published example of a list, and its announcement for instance 3.
const char* const kServerListRecord =
    "6e 00 02000000 0000 0000 0000803f 0000000000000000 00 074a1203 00 "
    "0000 0000 0000c03f 0000000000d4b740 01 f211902c 00";
const char* const kAnnouncementRecord = "14 0300 02 2900000000000000 00";

std::string initialized_frame(std::vector<std::string> extra_records = {}) {
  std::vector<std::string> records = {boot(kSettings), from_hex(kServerListRecord),
                                      from_hex(kAnnouncementRecord)};
  records.insert(records.end(), extra_records.begin(), extra_records.end());
  return frame(records);
}

TEST(Wire, AnswersAnEmptyBatchAsPublished) {
  SimulatorAdapter adapter;
  EXPECT_EQ(adapter.process_batch(from_hex("00000000 14000000 00000000206ec040 01000000")),
            from_hex("08000000 01000000"));
}

TEST(Wire, ReadsThePublishedRequest) {
  const std::string text = from_hex(kRequestRecord);
  Reader reader(text);
  const Record record = read_record(reader);
  const auto& request = std::get<Request>(std::get<Event>(record.body));
  EXPECT_EQ(record.instance, 3);
  EXPECT_EQ(request.id, 0x39ec95d3a91c4u);
  EXPECT_EQ(request.key, 0x91f03b7c55d20a64u);
  EXPECT_DOUBLE_EQ(request.deadline, 8652.25);
  EXPECT_DOUBLE_EQ(request.expected_work_ms, 12);
  EXPECT_FALSE(request.write);
  EXPECT_EQ(reader.remaining(), 0u);
}

TEST(Wire, ReadsThePublishedOutcome) {
  const std::string text = from_hex(
      "32 0300 c4913a5dc99e0300 0000 074a1203 01 0000000000803240 01 00000000 03 00000c430000684100004040");
  Reader reader(text);
  const Record record = read_record(reader);
  const auto& outcome = std::get<AttemptOutcome>(std::get<Event>(record.body));
  EXPECT_EQ(outcome.id, 0x39ec95d3a91c4u);
  EXPECT_EQ(outcome.server, 0x03124a07u);
  EXPECT_EQ(outcome.result, AttemptResult::Ok);
  EXPECT_DOUBLE_EQ(outcome.elapsed_ms, 18.5);
  EXPECT_TRUE(outcome.request_ended);
  EXPECT_EQ(outcome.load_report, (std::vector<float>{140, 14.5, 3}));
}

TEST(Wire, ReadsThePublishedListAndAnnouncement) {
  const std::string text = from_hex(std::string(kServerListRecord) + kAnnouncementRecord);
  Reader reader(text);
  const Record record = read_record(reader);
  const auto& list = std::get<ServerList>(record.body);
  ASSERT_EQ(list.servers.size(), 2u);
  EXPECT_EQ(list.servers[0].id, 0x03124a07u);
  EXPECT_DOUBLE_EQ(list.servers[1].weight, 1.5);
  EXPECT_DOUBLE_EQ(list.servers[1].started_at, 6100);
  EXPECT_EQ(list.servers[1].zone, 1u);
  const Record announcement = read_record(reader);
  EXPECT_EQ(std::get<ListAnnouncement>(announcement.body).kind, EndpointListKind::Cached);
}

TEST(Wire, WritesThePublishedActions) {
  Reply reply;
  reply.begin(12);
  reply.add(3, Send{0x39ec95d3a91c4u, 0x03124a07u, 80});
  reply.add(3, SetTimer{500, 77});
  reply.add(3, Log{"two servers known"});
  EXPECT_EQ(reply.finish(), from_hex("48000000 0c000000 0a 0300 c4913a5dc99e0300 074a1203 0000000000005440 "
                                     "32 0300 0000000000407f40 4d00000000000000 "
                                     "5a 0300 1100 74776f2073657276657273206b6e6f776e"));
}

TEST(Wire, SendsThePublishedRequestToAListedServer) {
  SimulatorAdapter adapter;
  const std::string reply = adapter.process_batch(initialized_frame({from_hex(kRequestRecord)}));
  const std::string send = from_hex("0a 0300 c4913a5dc99e0300");
  const auto at = reply.find(send);
  ASSERT_NE(at, std::string::npos);
  const std::string server = reply.substr(at + send.size(), 4);
  EXPECT_TRUE(server == from_hex("074a1203") || server == from_hex("f211902c"));
}

TEST(Wire, IgnoresMessagesFromOtherRouters) {
  SimulatorAdapter adapter;
  const std::string expected_reply = adapter.process_batch(initialized_frame());
  SimulatorAdapter other_adapter;
  EXPECT_EQ(other_adapter.process_batch(initialized_frame({from_hex("5a 0300 0100 0400 68692037")})),
            expected_reply);
}

TEST(Wire, RejectsMalformedInput) {
  const auto rejects = [](const std::string& input) {
    EXPECT_THROW(SimulatorAdapter().process_batch(input), std::runtime_error);
  };
  rejects(frame({}).substr(0, 12));
  rejects(frame({}) + "x");
  rejects(frame({from_hex("ff 0300")}));                            // unknown code
  rejects(frame({from_hex(kRequestRecord)}));                       // request before Boot
  rejects(frame({boot(kSettings), from_hex(kAnnouncementRecord)})); // announced list was not sent
  rejects(frame({boot("not json"), from_hex(kServerListRecord)}));
  rejects(frame({boot("{}")}));                                         // required keys missing
  rejects(frame({from_hex("6e 10 00000000")}));                         // list number above 15
  rejects(frame({from_hex("6e 00 ffffffff")}));                         // count beyond the frame
  rejects(initialized_frame({from_hex(kRequestRecord).substr(0, 20)})); // truncated record
  rejects(initialized_frame({from_hex("32 0300 c4913a5dc99e0300 0000 074a1203 0a 00")})); // unknown outcome
}

TEST(Wire, SurvivesDamagedFrames) {
  std::mt19937_64 random(20);
  const std::string intact =
      initialized_frame({from_hex(kRequestRecord), from_hex("46 0300 4d00000000000000")});
  int rejected = 0;
  for (int i = 0; i < 3000; ++i) {
    std::string damaged = intact;
    for (int flips = 0; flips < 3; ++flips)
      damaged[8 + random() % (damaged.size() - 8)] = static_cast<char>(random());
    if (i % 2 == 0) {
      damaged.resize(20 + random() % (damaged.size() - 20));
      const auto length = static_cast<std::uint32_t>(damaged.size());
      std::memcpy(damaged.data() + 4, &length, sizeof length);
    }
    try {
      EXPECT_GE(SimulatorAdapter().process_batch(damaged).size(), 8u);
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
