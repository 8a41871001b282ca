// Memory of this process as the system counts it.
#pragma once

#include <cstddef>

namespace fernward::memory {

struct ResidentMemory {
  std::size_t private_bytes = 0; // anonymous pages: what the process has allocated, and unused parts of it
  std::size_t file_bytes = 0;    // pages of the program and its libraries
};

/// From /proc/self/statm. Zeros if it cannot be read, and in a build with the address sanitizer: its own memory can't
/// be told from the program's.
ResidentMemory resident_memory();

} // namespace fernward::memory
