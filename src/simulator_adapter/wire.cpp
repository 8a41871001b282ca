#include "simulator_adapter/wire.h"

#include <bit>
#include <utility>

namespace fernward::simulator_adapter {

static_assert(std::endian::native == std::endian::little, "the codec copies little-endian fields");

namespace {

template <typename Enum>
Enum pick(std::uint8_t code, std::uint8_t first, std::uint8_t last, const char* what) {
  if (code < first || code > last) {
    throw BadInput("unknown " + std::string(what) + " code " + std::to_string(code));
  }
  return static_cast<Enum>(code - first);
}

std::vector<float> read_report(Reader& in) {
  std::vector<float> values(in.get<std::uint8_t>());
  for (float& value : values) value = in.get<float>();
  return values;
}

AttemptResult read_result(Reader& in) { return pick<AttemptResult>(in.get<std::uint8_t>(), 1, 9, "outcome"); }

Server read_server(Reader& in) {
  Server server;
  server.kind = in.get<std::uint16_t>();
  server.cell = in.get<std::uint16_t>();
  server.weight = in.get<float>();
  server.started_at = in.get<double>();
  server.zone = in.get<std::uint8_t>();
  server.id = in.get<std::uint32_t>();
  server.state = pick<ServerState>(in.get<std::uint8_t>(), 0, 2, "availability");
  return server;
}

Roster read_roster(Reader& in) {
  constexpr std::size_t kEntry = 22;
  Roster roster;
  roster.slot = in.get<std::uint8_t>();
  if (roster.slot > 15) throw BadInput("list number " + std::to_string(roster.slot) + " is above 15");
  const auto count = in.get<std::uint32_t>();
  if (count > in.left() / kEntry) throw BadInput("truncated record");
  roster.servers.reserve(count);
  for (std::uint32_t i = 0; i < count; ++i) roster.servers.push_back(read_server(in));
  return roster;
}

Event read_call(Reader& in) {
  Request request;
  request.id = in.get<std::uint64_t>();
  request.class_index = in.get<std::uint8_t>();
  request.tenant = in.get<std::uint32_t>();
  request.key = in.get<std::uint64_t>();
  request.deadline = in.get<double>();
  const auto hint = in.get<double>();
  in.get<float>(); // the value's size
  const auto bits = in.get<std::uint8_t>();
  request.expected_work_ms = (bits & 1u) != 0 ? hint : 0;
  request.write = (bits & 4u) != 0;
  return request;
}

Event read_opened(Reader& in) {
  ResponseStarted opened;
  opened.id = in.get<std::uint64_t>();
  opened.server = in.get<std::uint32_t>();
  opened.elapsed_ms = in.get<double>();
  opened.attempt = in.get<std::uint16_t>();
  return opened;
}

Event read_completed(Reader& in) {
  AttemptOutcome outcome;
  outcome.id = in.get<std::uint64_t>();
  outcome.attempt = in.get<std::uint16_t>();
  outcome.server = in.get<std::uint32_t>();
  outcome.result = read_result(in);
  outcome.elapsed_ms = in.get<double>();
  outcome.request_ended = in.get<std::uint8_t>() != 0;
  in.get<std::uint32_t>(); // an additional value from the server, not used
  outcome.load_report = read_report(in);
  return outcome;
}

Event read_health(Reader& in) {
  HealthCheckResult result;
  result.server = in.get<std::uint32_t>();
  result.elapsed_ms = in.get<double>();
  result.ok = read_result(in) == AttemptResult::Ok;
  result.load_report = read_report(in);
  return result;
}

} // namespace

BatchHeader read_header(std::string_view bytes) {
  Reader in(bytes);
  BatchHeader header;
  header.records = in.get<std::uint32_t>();
  header.length = in.get<std::uint32_t>();
  header.now = in.get<double>();
  header.number = in.get<std::uint32_t>();
  if (header.length < kBatchHeader || header.length > kMaxFrame) {
    throw BadInput("wrong frame length " + std::to_string(header.length));
  }
  return header;
}

Record read_record(Reader& in) {
  const auto code = in.get<std::uint8_t>();
  if (code == 110) return {0, read_roster(in)};
  Record record;
  record.instance = in.get<std::uint16_t>();
  switch (code) {
    case 10: {
      Boot boot;
      boot.seed = in.get<std::uint64_t>();
      boot.settings = in.take(in.get<std::uint32_t>());
      record.body = boot;
      break;
    }
    case 20: {
      Announce announce;
      announce.kind = pick<EndpointListKind>(in.get<std::uint8_t>(), 0, 3, "list mode");
      in.get<std::uint64_t>(); // the list's version; changes come in order and without gaps
      announce.slot = in.get<std::uint8_t>();
      record.body = announce;
      break;
    }
    case 30: record.body = read_call(in); break;
    case 40: record.body = read_opened(in); break;
    case 50: record.body = read_completed(in); break;
    case 60: record.body = Event(ClientDisconnected{in.get<std::uint64_t>()}); break;
    case 70: record.body = Event(TimerFired{in.get<std::uint64_t>()}); break;
    case 80: record.body = read_health(in); break;
    case 90: // a message from another router: ignored, as each router decides alone
      in.get<std::uint16_t>();
      in.take(in.get<std::uint16_t>());
      record.body = Ignored{};
      break;
    case 100: record.body = Teardown{}; break;
    default: throw BadInput("unknown event code " + std::to_string(code));
  }
  return record;
}

void Reply::begin(std::uint32_t batch) {
  bytes_.clear();
  put<std::uint32_t>(0);
  put<std::uint32_t>(batch);
}

void Reply::add(std::uint16_t instance, const Action& action) {
  std::visit([&](const auto& a) { put(instance, a); }, action);
}

const std::string& Reply::finish() {
  const auto length = static_cast<std::uint32_t>(bytes_.size());
  std::memcpy(bytes_.data(), &length, sizeof length);
  return bytes_;
}

void Reply::head(std::uint8_t code, std::uint16_t instance) {
  put<std::uint8_t>(code);
  put<std::uint16_t>(instance);
}

void Reply::put(std::uint16_t instance, const Send& a) {
  head(10, instance);
  put<std::uint64_t>(a.id);
  put<std::uint32_t>(a.server);
  put<double>(a.timeout_ms);
}

void Reply::put(std::uint16_t instance, const Reject& a) {
  head(20, instance);
  put<std::uint64_t>(a.id);
  put<double>(a.retry_after_ms);
}

void Reply::put(std::uint16_t instance, const Fail& a) {
  head(30, instance);
  put<std::uint64_t>(a.id);
}

void Reply::put(std::uint16_t instance, const Cancel& a) {
  head(40, instance);
  put<std::uint64_t>(a.id);
  put<std::uint16_t>(static_cast<std::uint16_t>(a.attempt));
}

void Reply::put(std::uint16_t instance, const SetTimer& a) {
  head(50, instance);
  put<double>(a.delay_ms);
  put<std::uint64_t>(a.token);
}

void Reply::put(std::uint16_t instance, const SendHealthCheck& a) {
  head(60, instance);
  put<std::uint32_t>(a.server);
}

void Reply::put(std::uint16_t instance, const WatchEndpoints&) {
  head(110, instance);
  put<std::uint8_t>(1);
}

void Reply::put(std::uint16_t instance, const Log& a) {
  head(90, instance);
  const std::string_view text = std::string_view(a.text).substr(0, 1000);
  put<std::uint16_t>(static_cast<std::uint16_t>(text.size()));
  bytes_.append(text);
}

} // namespace fernward::simulator_adapter
