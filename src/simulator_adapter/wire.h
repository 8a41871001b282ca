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

constexpr std::size_t kBatchHeader = 20;
constexpr std::uint32_t kMaxFrame = 1u << 30; // far above any batch; limits the allocation

struct BatchHeader {
  std::uint32_t records = 0;
  std::uint32_t length = 0; // of the complete frame, in bytes
  double now = 0;
  std::uint32_t number = 0;
};

// Reads fixed-width fields from a frame; throws BadInput if the frame is too short.
class Reader {
 public:
  explicit Reader(std::string_view bytes) : bytes_(bytes) {}

  template <typename T>
  T get() {
    T value;
    std::memcpy(&value, take(sizeof value).data(), sizeof value);
    return value;
  }
  std::string_view take(std::size_t count) {
    if (count > left()) throw BadInput("truncated record");
    const auto part = bytes_.substr(at_, count);
    at_ += count;
    return part;
  }
  std::size_t left() const { return bytes_.size() - at_; }

 private:
  std::string_view bytes_;
  std::size_t at_ = 0;
};

BatchHeader read_header(std::string_view bytes);

// The records of a batch. Records for an instance hold an event of the balancer.
struct Boot {
  std::uint64_t seed = 0;
  std::string_view settings;
};
struct Teardown {};
struct Roster {
  std::uint8_t slot = 0;
  std::vector<Server> servers;
};
struct Announce {
  EndpointListKind kind = EndpointListKind::Full;
  std::uint8_t slot = 0;
};
struct Ignored {}; // valid, but not used by the balancer
struct Record {
  std::uint16_t instance = 0; // unused in a ServerList record
  std::variant<Boot, Teardown, Roster, Announce, Event, Ignored> body;
};
Record read_record(Reader& in);

// Encodes a reply frame.
class Reply {
 public:
  void begin(std::uint32_t batch);
  void add(std::uint16_t instance, const Action& action);
  const std::string& finish(); // valid until the next begin()

 private:
  template <typename T>
  void put(T value) {
    char raw[sizeof value];
    std::memcpy(raw, &value, sizeof value);
    bytes_.append(raw, sizeof value);
  }
  void head(std::uint8_t code, std::uint16_t instance);
  void put(std::uint16_t instance, const Send& a);
  void put(std::uint16_t instance, const Reject& a);
  void put(std::uint16_t instance, const Fail& a);
  void put(std::uint16_t instance, const Cancel& a);
  void put(std::uint16_t instance, const SetTimer& a);
  void put(std::uint16_t instance, const SendHealthCheck& a);
  void put(std::uint16_t instance, const WatchEndpoints& a);
  void put(std::uint16_t instance, const Log& a);

  std::string bytes_;
};

} // namespace fernward::simulator_adapter
