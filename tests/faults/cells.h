// The table of faults against stages, as data: cells.txt, one line a cell. The page docs/fault-table.md is made from it.
#pragma once

#include <fstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace fernward::tests {

struct Cell {
  std::string stage, fault;
  bool played = false; // by faults_test.cpp; else `how` names a test, or says why it can't happen
  std::string how;
};

inline std::vector<Cell> read_cells(const std::string& path) {
  std::ifstream in(path);
  std::vector<Cell> cells;
  for (std::string line; std::getline(in, line);) {
    if (line.empty() || line.front() == '#') continue;
    const auto first = line.find(" | "), second = line.find(" | ", first + 3);
    if (second == std::string::npos) throw std::runtime_error("cells.txt: " + line);
    Cell cell{line.substr(0, first), line.substr(first + 3, second - first - 3), false,
              line.substr(second + 3)};
    cell.played = cell.how == "played";
    if (!cell.played && !cell.how.starts_with("test: ") && !cell.how.starts_with("never: "))
      throw std::runtime_error("cells.txt: neither played, nor a test, nor never: " + line);
    cells.push_back(cell);
  }
  return cells;
}

} // namespace fernward::tests
