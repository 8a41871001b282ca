// Lists the files of tests/corpus/config/`folder`, sorted by path.
#pragma once

#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

namespace fernward::tests {

inline std::vector<std::string> corpus(const std::string& folder) {
  std::vector<std::string> all;
  for (const auto& entry :
       std::filesystem::directory_iterator(FERNWARD_SOURCE_DIR "/tests/corpus/config/" + folder)) {
    all.push_back(entry.path().string());
  }
  std::sort(all.begin(), all.end());
  return all;
}

} // namespace fernward::tests
