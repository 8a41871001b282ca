#include "membership/wire.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace fernward::membership {
namespace {

constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kHead = 16, kWord = 13, kSum = 4;
constexpr std::size_t kMostWords = (kMostBytes - kHead - kSum) / kWord;

} // namespace

std::size_t room_for_facts(const Datagram& d) {
  return kMostBytes - kHead - kSum - std::min(d.words.size(), kMostWords) * kWord;
}

std::string encode(const Datagram& d) {
  const std::size_t words = std::min(d.words.size(), kMostWords);
  std::string bytes;
  bytes.reserve(kMostBytes);
  put(bytes, kVersion);
  put(bytes, static_cast<std::uint8_t>(kHead));
  put(bytes, static_cast<std::uint8_t>(d.kind));
  put(bytes, static_cast<std::uint8_t>(words));
  put(bytes, d.from);
  put(bytes, d.about);
  put(bytes, d.stamp.incarnation);
  put(bytes, d.stamp.sequence);
  put(bytes, d.round);
  for (std::size_t i = 0; i < words; ++i) {
    const Word& w = d.words[i];
    put(bytes, w.who);
    put(bytes, static_cast<std::uint8_t>(w.standing));
    put(bytes, w.stamp.incarnation);
    put(bytes, w.stamp.sequence);
    put(bytes, w.by);
    put(bytes, std::uint16_t{0});
  }
  if (d.facts.size() <= room_for_facts(d)) bytes += d.facts;
  put(bytes, static_cast<std::uint32_t>(XXH32(bytes.data(), bytes.size(), 0)));
  return bytes;
}

std::optional<Datagram> decode(std::string_view bytes) {
  if (bytes.size() < kHead + kSum || bytes.size() > kMostBytes) return std::nullopt;
  const std::size_t end = bytes.size() - kSum;
  if (get<std::uint32_t>(bytes, end) != XXH32(bytes.data(), end, 0)) return std::nullopt;
  const auto head = get<std::uint8_t>(bytes, 1), kind = get<std::uint8_t>(bytes, 2),
             words = get<std::uint8_t>(bytes, 3);
  if (get<std::uint8_t>(bytes, 0) != kVersion || head < kHead || kind > static_cast<int>(Kind::Nack) ||
      head + words * kWord > end)
    return std::nullopt;
  Datagram d;
  d.kind = static_cast<Kind>(kind);
  d.from = get<Id>(bytes, 4);
  d.about = get<Id>(bytes, 6);
  d.stamp = {get<std::uint32_t>(bytes, 8), get<std::uint16_t>(bytes, 12)};
  d.round = get<std::uint16_t>(bytes, 14);
  for (std::size_t i = 0, at = head; i < words; ++i, at += kWord) {
    const auto standing = get<std::uint8_t>(bytes, at + 2);
    if (standing > static_cast<int>(Standing::Left)) return std::nullopt;
    d.words.push_back({get<Id>(bytes, at),
                       static_cast<Standing>(standing),
                       {get<std::uint32_t>(bytes, at + 3), get<std::uint16_t>(bytes, at + 7)},
                       get<Id>(bytes, at + 9)});
  }
  d.facts.assign(bytes.substr(head + words * kWord, end - head - words * kWord));
  return d;
}

} // namespace fernward::membership
