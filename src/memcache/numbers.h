// Reads and writes unsigned integers in network byte order (big-endian).
#pragma once

#include <cstdint>
#include <string>

namespace fernward::memcache {

inline std::uint64_t read_number(const char* from, int bytes) {
  std::uint64_t n = 0;
  for (int i = 0; i < bytes; ++i) n = n << 8 | static_cast<unsigned char>(from[i]);
  return n;
}
inline std::uint16_t read16(const char* from) { return static_cast<std::uint16_t>(read_number(from, 2)); }
inline std::uint32_t read32(const char* from) { return static_cast<std::uint32_t>(read_number(from, 4)); }
inline std::uint64_t read64(const char* from) { return read_number(from, 8); }

inline void append_number(std::string& to, std::uint64_t n, int bytes) {
  for (int i = bytes - 1; i >= 0; --i) to.push_back(static_cast<char>(n >> (8 * i) & 0xff));
}

} // namespace fernward::memcache
