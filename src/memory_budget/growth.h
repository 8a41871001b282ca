// Growth of strings that hold bodies while they arrive.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string>
#include <string_view>

namespace fernward::memory_budget {

/// Appends, and allocates at most `step_bytes`, or an eighth, more than the string then holds: std::string would
/// allocate up to twice its size.
inline void append_in_steps(std::string& to, std::string_view bytes, std::size_t step_bytes) {
  const std::size_t size = to.size() + bytes.size();
  if (size > to.capacity()) {
    std::string grown; // reserve() on `to` itself would double its capacity as well
    grown.reserve(size + std::max(step_bytes, size / 8));
    grown.append(to);
    to.swap(grown);
  }
  to.append(bytes);
}

} // namespace fernward::memory_budget
