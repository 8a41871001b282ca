#include "membership/wire.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace fernward::membership {
namespace {

constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kHeaderBytes = 16, kUpdateBytes = 13, kChecksumBytes = 4;
constexpr std::size_t kMaxUpdates = (kMaxDatagramBytes - kHeaderBytes - kChecksumBytes) / kUpdateBytes;

} // namespace

std::size_t max_payload_bytes(const Datagram& datagram) {
  return kMaxDatagramBytes - kHeaderBytes - kChecksumBytes -
         std::min(datagram.updates.size(), kMaxUpdates) * kUpdateBytes;
}

std::string encode(const Datagram& datagram) {
  const std::size_t update_count = std::min(datagram.updates.size(), kMaxUpdates);
  std::string bytes;
  bytes.reserve(kMaxDatagramBytes);
  put(bytes, kVersion);
  put(bytes, static_cast<std::uint8_t>(kHeaderBytes));
  put(bytes, static_cast<std::uint8_t>(datagram.kind));
  put(bytes, static_cast<std::uint8_t>(update_count));
  put(bytes, datagram.from);
  put(bytes, datagram.subject);
  put(bytes, datagram.stamp.incarnation);
  put(bytes, datagram.stamp.sequence);
  put(bytes, datagram.round);
  for (std::size_t i = 0; i < update_count; ++i) {
    const MemberUpdate& update = datagram.updates[i];
    put(bytes, update.member);
    put(bytes, static_cast<std::uint8_t>(update.state));
    put(bytes, update.stamp.incarnation);
    put(bytes, update.stamp.sequence);
    put(bytes, update.reporter);
    put(bytes, std::uint16_t{0});
  }
  if (datagram.payload.size() <= max_payload_bytes(datagram)) bytes += datagram.payload;
  put(bytes, static_cast<std::uint32_t>(XXH32(bytes.data(), bytes.size(), 0)));
  return bytes;
}

std::optional<Datagram> decode(std::string_view bytes) {
  if (bytes.size() < kHeaderBytes + kChecksumBytes || bytes.size() > kMaxDatagramBytes) return std::nullopt;
  const std::size_t checksum_at = bytes.size() - kChecksumBytes;
  if (get<std::uint32_t>(bytes, checksum_at) != XXH32(bytes.data(), checksum_at, 0)) return std::nullopt;
  const auto header_bytes = get<std::uint8_t>(bytes, 1), kind = get<std::uint8_t>(bytes, 2),
             update_count = get<std::uint8_t>(bytes, 3);
  if (get<std::uint8_t>(bytes, 0) != kVersion || header_bytes < kHeaderBytes ||
      kind > static_cast<int>(MessageKind::Nack) || header_bytes + update_count * kUpdateBytes > checksum_at)
    return std::nullopt;
  Datagram datagram;
  datagram.kind = static_cast<MessageKind>(kind);
  datagram.from = get<MemberId>(bytes, 4);
  datagram.subject = get<MemberId>(bytes, 6);
  datagram.stamp = {get<std::uint32_t>(bytes, 8), get<std::uint16_t>(bytes, 12)};
  datagram.round = get<std::uint16_t>(bytes, 14);
  for (std::size_t i = 0, offset = header_bytes; i < update_count; ++i, offset += kUpdateBytes) {
    const auto state = get<std::uint8_t>(bytes, offset + 2);
    if (state > static_cast<int>(MemberState::Left)) return std::nullopt;
    datagram.updates.push_back(
        {get<MemberId>(bytes, offset),
         static_cast<MemberState>(state),
         {get<std::uint32_t>(bytes, offset + 3), get<std::uint16_t>(bytes, offset + 7)},
         get<MemberId>(bytes, offset + 9)});
  }
  datagram.payload.assign(bytes.substr(header_bytes + update_count * kUpdateBytes,
                                       checksum_at - header_bytes - update_count * kUpdateBytes));
  return datagram;
}

} // namespace fernward::membership
