#include "memory/resident_memory.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>

namespace fernward::memory {

#if defined(__SANITIZE_ADDRESS__)

ResidentMemory resident_memory() { return {}; }

#else

ResidentMemory resident_memory() {
  const int file = open("/proc/self/statm", O_RDONLY | O_CLOEXEC);
  if (file < 0) return {};
  char text[128];
  const ssize_t bytes = read(file, text, sizeof text - 1);
  close(file);
  if (bytes <= 0) return {};
  text[bytes] = '\0';
  std::size_t resident_pages = 0, file_pages = 0;
  if (std::sscanf(text, "%*s %zu %zu", &resident_pages, &file_pages) != 2) return {};
  const auto page_bytes = static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  return {(resident_pages - file_pages) * page_bytes, file_pages * page_bytes};
}

#endif

} // namespace fernward::memory
