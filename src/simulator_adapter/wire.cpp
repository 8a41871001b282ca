#include "simulator_adapter/wire.h"

#include <bit>
#include <utility>

namespace fernward::simulator_adapter {

static_assert(std::endian::native == std::endian::little, "the codec copies little-endian fields");

namespace {

template <typename Enum>
Enum decode_enum(std::uint8_t code, std::uint8_t first, std::uint8_t last, const char* field_name) {
  if (code < first || code > last) {
    throw BadInput("unknown " + std::string(field_name) + " code " + std::to_string(code));
  }
  return static_cast<Enum>(code - first);
}

std::vector<float> read_load_report(Reader& reader) {
  std::vector<float> values(reader.read<std::uint8_t>());
  for (float& value : values) value = reader.read<float>();
  return values;
}

AttemptResult read_result(Reader& reader) {
  return decode_enum<AttemptResult>(reader.read<std::uint8_t>(), 1, 9, "outcome");
}

Server read_server(Reader& reader) {
  Server server;
  server.kind = reader.read<std::uint16_t>();
  server.cell = reader.read<std::uint16_t>();
  server.weight = reader.read<float>();
  server.started_at = reader.read<double>();
  server.zone = reader.read<std::uint8_t>();
  server.id = reader.read<std::uint32_t>();
  server.state = decode_enum<ServerState>(reader.read<std::uint8_t>(), 0, 2, "availability");
  return server;
}

ServerList read_server_list(Reader& reader) {
  constexpr std::size_t kServerBytes = 22;
  ServerList list;
  list.list_number = reader.read<std::uint8_t>();
  if (list.list_number > 15)
    throw BadInput("list number " + std::to_string(list.list_number) + " is above 15");
  const auto count = reader.read<std::uint32_t>();
  if (count > reader.remaining() / kServerBytes) throw BadInput("truncated record");
  list.servers.reserve(count);
  for (std::uint32_t i = 0; i < count; ++i) list.servers.push_back(read_server(reader));
  return list;
}

Event read_request(Reader& reader) {
  Request request;
  request.id = reader.read<std::uint64_t>();
  request.class_index = reader.read<std::uint8_t>();
  request.tenant = reader.read<std::uint32_t>();
  request.key = reader.read<std::uint64_t>();
  request.deadline = reader.read<double>();
  const auto work_hint_ms = reader.read<double>();
  reader.read<float>(); // the value's size
  const auto flags = reader.read<std::uint8_t>();
  request.expected_work_ms = (flags & 1u) != 0 ? work_hint_ms : 0;
  request.write = (flags & 4u) != 0;
  return request;
}

Event read_response_started(Reader& reader) {
  ResponseStarted response;
  response.id = reader.read<std::uint64_t>();
  response.server = reader.read<std::uint32_t>();
  response.elapsed_ms = reader.read<double>();
  response.attempt = reader.read<std::uint16_t>();
  return response;
}

Event read_outcome(Reader& reader) {
  AttemptOutcome outcome;
  outcome.id = reader.read<std::uint64_t>();
  outcome.attempt = reader.read<std::uint16_t>();
  outcome.server = reader.read<std::uint32_t>();
  outcome.result = read_result(reader);
  outcome.elapsed_ms = reader.read<double>();
  outcome.request_ended = reader.read<std::uint8_t>() != 0;
  reader.read<std::uint32_t>(); // an additional value from the server, not used
  outcome.load_report = read_load_report(reader);
  return outcome;
}

Event read_health_check(Reader& reader) {
  HealthCheckResult result;
  result.server = reader.read<std::uint32_t>();
  result.elapsed_ms = reader.read<double>();
  result.ok = read_result(reader) == AttemptResult::Ok;
  result.load_report = read_load_report(reader);
  return result;
}

} // namespace

BatchHeader read_header(std::string_view bytes) {
  Reader reader(bytes);
  BatchHeader header;
  header.record_count = reader.read<std::uint32_t>();
  header.frame_bytes = reader.read<std::uint32_t>();
  header.now_ms = reader.read<double>();
  header.batch_number = reader.read<std::uint32_t>();
  if (header.frame_bytes < kBatchHeaderBytes || header.frame_bytes > kMaxFrameBytes) {
    throw BadInput("wrong frame length " + std::to_string(header.frame_bytes));
  }
  return header;
}

Record read_record(Reader& reader) {
  const auto code = reader.read<std::uint8_t>();
  if (code == 110) return {0, read_server_list(reader)};
  Record record;
  record.instance = reader.read<std::uint16_t>();
  switch (code) {
    case 10: {
      Boot boot;
      boot.seed = reader.read<std::uint64_t>();
      boot.settings = reader.read_bytes(reader.read<std::uint32_t>());
      record.body = boot;
      break;
    }
    case 20: {
      ListAnnouncement announcement;
      announcement.kind = decode_enum<EndpointListKind>(reader.read<std::uint8_t>(), 0, 3, "list mode");
      reader.read<std::uint64_t>(); // the list's version; changes come in order and without gaps
      announcement.list_number = reader.read<std::uint8_t>();
      record.body = announcement;
      break;
    }
    case 30: record.body = read_request(reader); break;
    case 40: record.body = read_response_started(reader); break;
    case 50: record.body = read_outcome(reader); break;
    case 60: record.body = Event(ClientDisconnected{reader.read<std::uint64_t>()}); break;
    case 70: record.body = Event(TimerFired{reader.read<std::uint64_t>()}); break;
    case 80: record.body = read_health_check(reader); break;
    case 90: // a message from another router: ignored, as each router decides alone
      reader.read<std::uint16_t>();
      reader.read_bytes(reader.read<std::uint16_t>());
      record.body = IgnoredRecord{};
      break;
    case 100: record.body = Teardown{}; break;
    default: throw BadInput("unknown event code " + std::to_string(code));
  }
  return record;
}

void Reply::begin(std::uint32_t batch_number) {
  bytes_.clear();
  put<std::uint32_t>(0);
  put<std::uint32_t>(batch_number);
}

void Reply::add(std::uint16_t instance, const Action& action) {
  std::visit([&](const auto& a) { put(instance, a); }, action);
}

const std::string& Reply::finish() {
  const auto frame_bytes = static_cast<std::uint32_t>(bytes_.size());
  std::memcpy(bytes_.data(), &frame_bytes, sizeof frame_bytes);
  return bytes_;
}

void Reply::put_header(std::uint8_t code, std::uint16_t instance) {
  put<std::uint8_t>(code);
  put<std::uint16_t>(instance);
}

void Reply::put(std::uint16_t instance, const Send& action) {
  put_header(10, instance);
  put<std::uint64_t>(action.id);
  put<std::uint32_t>(action.server);
  put<double>(action.timeout_ms);
}

void Reply::put(std::uint16_t instance, const Reject& action) {
  put_header(20, instance);
  put<std::uint64_t>(action.id);
  put<double>(action.retry_after_ms);
}

void Reply::put(std::uint16_t instance, const Fail& action) {
  put_header(30, instance);
  put<std::uint64_t>(action.id);
}

void Reply::put(std::uint16_t instance, const Cancel& action) {
  put_header(40, instance);
  put<std::uint64_t>(action.id);
  put<std::uint16_t>(static_cast<std::uint16_t>(action.attempt));
}

void Reply::put(std::uint16_t instance, const SetTimer& action) {
  put_header(50, instance);
  put<double>(action.delay_ms);
  put<std::uint64_t>(action.token);
}

void Reply::put(std::uint16_t instance, const SendHealthCheck& action) {
  put_header(60, instance);
  put<std::uint32_t>(action.server);
}

void Reply::put(std::uint16_t instance, const WatchEndpoints&) {
  put_header(110, instance);
  put<std::uint8_t>(1);
}

void Reply::put(std::uint16_t instance, const Log& action) {
  put_header(90, instance);
  const std::string_view text = std::string_view(action.text).substr(0, 1000);
  put<std::uint16_t>(static_cast<std::uint16_t>(text.size()));
  bytes_.append(text);
}

} // namespace fernward::simulator_adapter
