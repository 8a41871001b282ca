// Reads cells.txt: the table of faults against stages of a request, one cell per line. The page
// docs/fault-table.md is generated from it.
#pragma once

#include <fstream>
#include <stdexcept>
#include <string>
#include <vector>

namespace fernward::tests {

// One line of cells.txt.
struct Cell {
  std::string stage, fault;
  // Run by faults_test.cpp; else `coverage` names a test, or says why the fault is impossible.
  bool played = false;
  std::string coverage;
};

// Throws std::runtime_error, which quotes the line, for a line of another form.
inline std::vector<Cell> read_cells(const std::string& path) {
  std::ifstream file(path);
  std::vector<Cell> cells;
  for (std::string line; std::getline(file, line);) {
    if (line.empty() || line.front() == '#') continue;
    const auto first_separator = line.find(" | "), second_separator = line.find(" | ", first_separator + 3);
    if (second_separator == std::string::npos)
      throw std::runtime_error("cells.txt: expected 'stage | fault | how', got: " + line);
    Cell cell{line.substr(0, first_separator),
              line.substr(first_separator + 3, second_separator - first_separator - 3), false,
              line.substr(second_separator + 3)};
    cell.played = cell.coverage == "played";
    if (!cell.played && !cell.coverage.starts_with("test: ") && !cell.coverage.starts_with("never: "))
      throw std::runtime_error("cells.txt: expected 'played', 'test: NAME' or 'never: WHY', got: " + line);
    cells.push_back(cell);
  }
  return cells;
}

} // namespace fernward::tests
