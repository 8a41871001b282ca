// Lists the files of tests/corpus/config/`folder`, sorted by path.
#pragma once

#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

namespace fernward::tests {

inline std::vector<std::string> corpus_files(const std::string& folder) {
  std::vector<std::string> paths;
  for (const auto& entry :
       std::filesystem::directory_iterator(FERNWARD_SOURCE_DIR "/tests/corpus/config/" + folder)) {
    paths.push_back(entry.path().string());
  }
  std::sort(paths.begin(), paths.end());
  return paths;
}

} // namespace fernward::tests
