// Codec of the simulator's protocol: binary little-endian frames on standard input and output, see
// docs/design.md.
#pragma once

#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "fernward/balancer.h"

namespace fernward::simulator_adapter {

// Invalid input; the message is printed to standard error.
struct BadInput : std::runtime_error {
  using std::runtime_error::runtime_error;
};

constexpr std::size_t kBatchHeaderBytes = 20;
constexpr std::uint32_t kMaxFrameBytes = 1u << 30; // far above any batch; limits the allocation

struct BatchHeader {
  std::uint32_t record_count = 0;
  std::uint32_t frame_bytes = 0; // of the complete frame, including this header
  double now_ms = 0;
  std::uint32_t batch_number = 0;
};

// Reads fixed-width fields from a frame; throws BadInput if the frame is too short.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}

  template <typename T>
  T read() {
    T value;
    std::memcpy(&value, read_bytes(sizeof value).data(), sizeof value);
    return value;
  }
  std::string_view read_bytes(std::size_t byte_count) {
    if (byte_count > remaining()) throw BadInput("truncated record");
    const auto field_bytes = bytes_.substr(position_, byte_count);
    position_ += byte_count;
    return field_bytes;
  }
  std::size_t remaining() const { return bytes_.size() - position_; }

 private:
  std::string_view bytes_;
  std::size_t position_ = 0;
};

BatchHeader read_header(std::string_view bytes);

// The records of a batch. Records for an instance hold an event of the balancer.
struct Boot {
  std::uint64_t seed = 0;
  std::string_view settings;
};
struct Teardown {};
struct ServerList {
  std::uint8_t list_number = 0;
  std::vector<Server> servers;
};
struct ListAnnouncement {
  EndpointListKind kind = EndpointListKind::Full;
  std::uint8_t list_number = 0;
};
struct IgnoredRecord {}; // valid, but not used by the balancer
struct Record {
  std::uint16_t instance = 0; // unused in a ServerList record
  std::variant<Boot, Teardown, ServerList, ListAnnouncement, Event, IgnoredRecord> body;
};
Record read_record(Reader& reader);

// Encodes a reply frame.
class Reply {
 public:
  void begin(std::uint32_t batch_number);
  void add(std::uint16_t instance, const Action& action);
  const std::string& finish(); // valid until the next begin()

 private:
  template <typename T>
  void put(T value) {
    char raw[sizeof value];
    std::memcpy(raw, &value, sizeof value);
    bytes_.append(raw, sizeof value);
  }
  void put_header(std::uint8_t code, std::uint16_t instance);
  void put(std::uint16_t instance, const Send& action);
  void put(std::uint16_t instance, const Reject& action);
  void put(std::uint16_t instance, const Fail& action);
  void put(std::uint16_t instance, const Cancel& action);
  void put(std::uint16_t instance, const SetTimer& action);
  void put(std::uint16_t instance, const SendHealthCheck& action);
  void put(std::uint16_t instance, const WatchEndpoints& action);
  void put(std::uint16_t instance, const Log& action);

  std::string bytes_;
};

} // namespace fernward::simulator_adapter
