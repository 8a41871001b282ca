// The messages that the two processes of a router exchange during a hot restart, their encoding as frames,
// and the split of descriptors and memory between the processes. No sockets.
//
// A frame consists of "FWHO", version, kind, length of the contents (4 bytes each, least significant first),
// checksum of kind and contents (8 bytes), and contents (CBOR). A frame is decoded completely or rejected;
// other versions are rejected. Kinds, keys and version must not change, as processes of old and new programs
// replace each other.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "admin_overrides/endpoint_overrides.h"

namespace fernward::hot_restart {

constexpr std::uint32_t kVersion = 1;
constexpr std::size_t kHeaderBytes = 24;
constexpr std::size_t kMaxContentsBytes = 16 << 20; // endpoint lists of about 50,000 servers

// ---- resources ----

// The limits of one process.
struct Resources {
  std::uint64_t descriptors = 0; // for client and upstream connections
  std::uint64_t memory_mb = 0;
  bool operator==(const Resources&) const = default;
};

struct ResourceSplit {
  Resources old_process;
  Resources new_process;
};
// Splits `total` between the processes. `used`: descriptors of connections, and memory, of the old process.
// `reserved_descriptors`: needed by the new process for purposes other than connections, in addition to those
// that the old one has reserved for itself.
ResourceSplit split_resources(const Resources& total, const Resources& used,
                              std::uint64_t reserved_descriptors);

// ---- messages ----

// Sent first, by the new process: asks to take over from the old one.
struct TakeoverRequest {
  std::string router_name;
  std::string listen_address;
  std::uint64_t reserved_descriptors = 0; // see split_resources()
  bool operator==(const TakeoverRequest&) const = default;
};
// Response of the old process, accompanied by the listening descriptor.
struct TakeoverGrant {
  std::string endpoint_list; // the current endpoint list in discovery's format; empty: none received yet
  std::vector<admin_overrides::EndpointOverrides::Override> overrides;
  Resources resources;
  bool operator==(const TakeoverGrant&) const = default;
};
// Sent by the new process: it accepts connections, so the old one can stop accepting.
struct NewProcessReady {
  bool operator==(const NewProcessReady&) const = default;
};
// Sent by either process: an operator has changed an override.
struct OverrideChanged {
  admin_overrides::EndpointOverrides::Override endpoint_override;
  bool operator==(const OverrideChanged&) const = default;
};
// Sent by the old process: an idle client connection, accompanied by its descriptor. The descriptor's place
// in the budget passes to the new process.
struct PassedConnection {
  std::uint32_t request_count = 0; // requests received on it so far
  bool operator==(const PassedConnection&) const = default;
};
// Sent by the old process: the number of descriptors in its budget that it no longer needs.
struct ReleasedDescriptors {
  std::uint64_t count = 0;
  bool operator==(const ReleasedDescriptors&) const = default;
};
// The index of the alternative is the kind of the frame.
using Message = std::variant<TakeoverRequest, TakeoverGrant, NewProcessReady, OverrideChanged,
                             PassedConnection, ReleasedDescriptors>;

std::string encode(const Message& message);

// The result of decoding the start of a byte stream: a message and the length of its frame, or no message if
// more bytes are needed. `error` is set if the bytes are not a frame of this version; later bytes can't be
// decoded then.
struct DecodeResult {
  std::optional<Message> message;
  std::size_t frame_bytes = 0;
  std::string error;
};
DecodeResult decode(std::string_view bytes);

} // namespace fernward::hot_restart
