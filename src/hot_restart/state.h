// What one process of a router tells the other while one replaces the other: frames, their contents, and how the limits
// are shared. No sockets.
//
// A frame: "FWHO", version, kind, length of the contents (each 4 bytes, least first), checksum of kind and contents (8
// bytes), contents (CBOR). A frame is taken whole or not at all; another version is refused.
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
constexpr std::size_t kHeader = 24;
constexpr std::size_t kMostContents = 16 << 20; // lists of some 50,000 nodes

// ---- shares ----

// Of the descriptors that connections take, and of the memory: what one process may have.
struct Share {
  std::uint64_t places = 0;
  std::uint64_t memory_mb = 0;
  bool operator==(const Share&) const = default;
};

// Two processes are one router: what `whole` the old one had, and `used` of its places. First the old one's share, then
// the new one's. `reserved`: descriptors that the new process needs for all but connections, above those that the old
// one has kept back for itself.
struct Split {
  Share old, next;
};
Split split(const Share& whole, std::uint64_t used, std::uint64_t reserved);

// ---- messages ----

struct Hello { // the new process, first
  std::string name, listen;
  std::uint64_t reserved = 0; // see split()
  bool operator==(const Hello&) const = default;
};
struct Welcome {    // the old one's answer, with the listening descriptor beside it
  std::string list; // as last told, in discovery's form; empty: none was told
  std::vector<admin_overrides::EndpointOverrides::Known> known;
  Share share;
  bool operator==(const Welcome&) const = default;
};
struct Serving { // the new one takes clients: the old one need not accept any more
  bool operator==(const Serving&) const = default;
};
struct Asked { // a ban or a call back, of either while both live
  admin_overrides::EndpointOverrides::Known what;
  bool operator==(const Asked&) const = default;
};
struct Client { // of the old one, with a connection at rest beside it, and its place
  std::uint32_t requests = 0;
  bool operator==(const Client&) const = default;
};
struct Places { // of the old one: it has let so many go, the new one may have them
  std::uint64_t more = 0;
  bool operator==(const Places&) const = default;
};
using Message = std::variant<Hello, Welcome, Serving, Asked, Client, Places>;

std::string encode(const Message& message);

// From the front of `bytes`: a message and how many bytes it took; none where more is needed. `fault` is set where what
// stands there is no frame of this version: nothing after it can be read either.
struct Decoded {
  std::optional<Message> message;
  std::size_t used = 0;
  std::string fault;
};
Decoded decode(std::string_view bytes);

} // namespace fernward::hot_restart
