// What the two processes of a router tell each other during a hot restart: frames, their contents, and how
// the limits are shared out. No sockets.
//
// A frame: "FWHO", version, kind, length of the contents (4 bytes each, least significant first), checksum of
// kind and contents (8 bytes), contents (CBOR). A frame is taken whole or not at all; another version is
// refused. Kinds, keys and version stay as they are: processes of old and new programs replace each other.
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
constexpr std::size_t kMaxContentsBytes = 16 << 20; // lists of some 50,000 servers

// ---- resources ----

// What one process may have.
struct Resources {
  std::uint64_t descriptors = 0; // for connections
  std::uint64_t memory_mb = 0;
  bool operator==(const Resources&) const = default;
};

struct ResourceSplit {
  Resources old_process;
  Resources new_process;
};
// Shares out `total`, of which `used` descriptors hold connections of the old process. `reserved`:
// descriptors that the new process needs for all but connections, beyond those that the old one has reserved
// for itself.
ResourceSplit split(const Resources& total, std::uint64_t used, std::uint64_t reserved);

// ---- messages ----

// New process, first: it wants to take over.
struct TakeoverRequest {
  std::string name;
  std::string listen;
  std::uint64_t reserved = 0; // see split()
  bool operator==(const TakeoverRequest&) const = default;
};
// Old process, in response, with the listening descriptor beside it.
struct TakeoverGrant {
  std::string list; // the endpoint list in discovery's form, as last told; empty: none was told
  std::vector<admin_overrides::EndpointOverrides::Override> overrides;
  Resources resources;
  bool operator==(const TakeoverGrant&) const = default;
};
// New process: it accepts connections, the old one need not any more.
struct NewProcessReady {
  bool operator==(const NewProcessReady&) const = default;
};
// Either process: an operator has changed an override.
struct OverrideChanged {
  admin_overrides::EndpointOverrides::Override changed;
  bool operator==(const OverrideChanged&) const = default;
};
// Old process: an idle client connection, its descriptor beside it and its share of the descriptors with it.
struct PassedConnection {
  std::uint32_t requests = 0; // that it has had
  bool operator==(const PassedConnection&) const = default;
};
// Old process: descriptors that it does not need any more.
struct ReleasedDescriptors {
  std::uint64_t count = 0;
  bool operator==(const ReleasedDescriptors&) const = default;
};
// The position is the kind of the frame.
using Message = std::variant<TakeoverRequest, TakeoverGrant, NewProcessReady, OverrideChanged,
                             PassedConnection, ReleasedDescriptors>;

std::string encode(const Message& message);

// From the front of `bytes`: a message and how many bytes it took; no message where more bytes are needed.
// `fault` is set where they are no frame of this version: nothing after it can be read either.
struct Decoded {
  std::optional<Message> message;
  std::size_t used = 0;
  std::string fault;
};
Decoded decode(std::string_view bytes);

} // namespace fernward::hot_restart
