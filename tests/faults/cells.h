// Reads cells.txt: the table of faults against stages of a request, one cell per line. The page
// docs/fault-table.md is generated from it.
#pragma once

#include <fstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace fernward::tests {

struct Cell {
  std::string stage, fault;
  // Run by faults_test.cpp; else `coverage` names a test, or says why the fault is impossible.
  bool played = false;
  std::string how;
};

inline std::vector<Cell> read_cells(const std::string& path) {
  std::ifstream in(path);
  std::vector<Cell> cells;
  for (std::string line; std::getline(in, line);) {
    if (line.empty() || line.front() == '#') continue;
    const auto first = line.find(" | "), second = line.find(" | ", first + 3);
    if (second == std::string::npos)
      throw std::runtime_error("cells.txt: expected 'stage | fault | how', got: " + line);
    Cell cell{line.substr(0, first), line.substr(first + 3, second - first - 3), false,
              line.substr(second + 3)};
    cell.played = cell.how == "played";
    if (!cell.played && !cell.how.starts_with("test: ") && !cell.how.starts_with("never: "))
      throw std::runtime_error("cells.txt: expected 'played', 'test: NAME' or 'never: WHY', got: " + line);
    cells.push_back(cell);
  }
  return cells;
}

} // namespace fernward::tests
