// Datagrams between routers: one layout, 256 bytes at most, little-endian. No I/O.
//
//   0  u8  version (1)            datagrams of another version are dropped and counted
//   1  u8  length of this header  a longer one has fields that this version ignores
//   2  u8  kind                   ping, ack, ping request (indirect ping through another member), nack
//   3  u8  number of updates
//   4  u16 from, u16 subject      router numbers; subject: the router that a ping request, ack or nack
//                                 concerns
//   8  u32 incarnation, u16 sequence: the sender's stamp
//  14  u16 round                  an ack or nack carries its ping's
//  16  updates, 13 bytes each: u16 member, u8 state, u32 incarnation, u16 sequence, u16 reporter,
//      u16 reserved (0)
//  ..  payload: entries as in gossip/entries.h, up to
//  -4  u32 xxHash32 of all preceding bytes
//
//  - Ownership: encode() and decode() copy; a Datagram holds no reference into the bytes.
//  - Misuse: incomplete datagrams and datagrams with invalid field values are rejected completely.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fernward::membership {

constexpr std::size_t kMaxDatagramBytes = 256; // of a datagram, set by the protocol

using MemberId = std::uint16_t; // a router's number in its tier

// The version of a router's statement about itself. It only increases: the start time of the process, then a
// sequence number.
struct Stamp {
  std::uint32_t incarnation = 0; // wall-clock start time of the process, in tenths of a second since 2020
  std::uint16_t sequence = 0;
  auto operator<=>(const Stamp&) const = default;
};

enum class MemberState : std::uint8_t { Alive, Suspect, Dead, Left };

// A statement that the member with this stamp is in this state. Left is only sent by the member itself.
struct MemberUpdate {
  MemberId member = 0;
  MemberState state = MemberState::Alive;
  Stamp stamp;
  MemberId reporter = 0;
};

enum class MessageKind : std::uint8_t { Ping, Ack, PingRequest, Nack };

struct Datagram {
  MessageKind kind = MessageKind::Ping;
  MemberId from = 0, subject = 0;
  Stamp stamp;
  std::uint16_t round = 0;
  std::vector<MemberUpdate> updates;
  std::string payload;
};

std::size_t max_payload_bytes(const Datagram& datagram); // after its updates
std::string encode(const Datagram& datagram);            // omits updates and a payload that don't fit
std::optional<Datagram> decode(std::string_view bytes);

// Little-endian integers, used for all fields of a datagram.
template <typename T>
void put(std::string& buffer, T value) {
  for (std::size_t i = 0; i < sizeof(T); ++i) buffer.push_back(static_cast<char>(value >> (8 * i) & 0xff));
}
template <typename T>
T get(std::string_view bytes, std::size_t offset) { // offset + sizeof(T) <= bytes.size()
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[offset + i])) << (8 * i);
  }
  return static_cast<T>(value);
}

} // namespace fernward::membership
