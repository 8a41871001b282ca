// Reads and writes unsigned integers in network byte order (big-endian).
#pragma once

#include <cstdint>
#include <string>

namespace fernward::memcache {

inline std::uint64_t read_big_endian(const char* data, int byte_count) {
  std::uint64_t value = 0;
  for (int i = 0; i < byte_count; ++i) value = value << 8 | static_cast<unsigned char>(data[i]);
  return value;
}
inline std::uint16_t read_uint16(const char* data) {
  return static_cast<std::uint16_t>(read_big_endian(data, 2));
}
inline std::uint32_t read_uint32(const char* data) {
  return static_cast<std::uint32_t>(read_big_endian(data, 4));
}
inline std::uint64_t read_uint64(const char* data) { return read_big_endian(data, 8); }

inline void append_big_endian(std::string& output, std::uint64_t value, int byte_count) {
  for (int i = byte_count - 1; i >= 0; --i) output.push_back(static_cast<char>(value >> (8 * i) & 0xff));
}

} // namespace fernward::memcache
