// Datagrams between routers: one layout, 256 bytes at most, little-endian. Pure.
//
//   0  u8  version (1)            another one is dropped and counted
//   1  u8  length of this head    a longer one has fields that this version passes over
//   2  u8  kind                   ping, ack, ask (ping somebody for me), nack
//   3  u8  number of words
//   4  u16 from, u16 about        numbers in the tier; about: of whom an ask, an ack or a nack speaks
//   8  u32 incarnation, u16 sequence: the sender's stamp
//  14  u16 round                  an ack or nack bears its ping's
//  16  words, 13 bytes each: u16 who, u8 standing, u32 incarnation, u16 sequence, u16 by, u16 reserved (0)
//  ..  facts, as gossip/entries.h has them, up to
//  -4  u32 xxHash32 of all before it
//
//  - Ownership: encode() and decode() copy; a Datagram holds no reference into the bytes.
//  - Misuse: bytes that are not whole, or hold what can't be, give none; nothing of them is taken.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fernward::membership {

constexpr std::size_t kMostBytes = 256; // of a datagram, by the protocol

using Id = std::uint16_t; // a router's number in its tier

// What a router says of itself bears one that only grows: the start of its process, then the number of its
// word.
struct Stamp {
  std::uint32_t incarnation = 0; // tenths of a second of the wall's clock since 2020 at the start
  std::uint16_t sequence = 0;
  auto operator<=>(const Stamp&) const = default;
};

enum class Standing : std::uint8_t { Alive, Suspect, Dead, Left };

// That somebody with this stamp is thought of so. Left is its own word.
struct Word {
  Id who = 0;
  Standing standing = Standing::Alive;
  Stamp stamp;
  Id by = 0;
};

enum class Kind : std::uint8_t { Ping, Ack, Ask, Nack };

struct Datagram {
  Kind kind = Kind::Ping;
  Id from = 0, about = 0;
  Stamp stamp;
  std::uint16_t round = 0;
  std::vector<Word> words;
  std::string facts;
};

std::size_t room_for_facts(const Datagram& d); // bytes
std::string encode(const Datagram& d);         // words and facts that don't fit are left out
std::optional<Datagram> decode(std::string_view bytes);

// Little-endian numbers, for all that is written into a datagram.
template <typename T>
void put(std::string& to, T value) {
  for (std::size_t i = 0; i < sizeof(T); ++i) to.push_back(static_cast<char>(value >> (8 * i) & 0xff));
}
template <typename T>
T get(std::string_view bytes, std::size_t at) { // at + sizeof(T) <= size
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i) {
    value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[at + i])) << (8 * i);
  }
  return static_cast<T>(value);
}

} // namespace fernward::membership
