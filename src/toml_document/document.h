// Parses TOML files and the files that they include. All errors are collected, not only the first, each with
// file, line and column.
//
// Limits: 1 MiB per file, eight included files, 200 reported errors.
#pragma once

#include <filesystem>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "toml_document/toml.h"

namespace fernward::toml_document {

struct Position {
  std::string file;
  unsigned line = 1, column = 1;
};

struct Diagnostic {
  Position position;
  std::string key, message;
  std::string code; // machine-readable: "syntax", "include", "unknown-key", "type", "unit", "value", ...

  std::string to_string() const;           // "day.toml:12:8: load.rate: has no unit: ..."
  std::string to_string_with_code() const; // "day.toml:12:8: unit: load.rate: has no unit: ..."
};
using Diagnostics = std::vector<Diagnostic>;
using Positions = std::map<std::string, Position>; // of the values in files, by member path

// Sorts by file and position, removes duplicates, and replaces those beyond the first 200 by one diagnostic
// with their number.
void sort_and_limit(Diagnostics& diagnostics);

struct Layer { // a parsed file; keys that it omits may come from another layer
  std::string file;
  toml::table table;
};
using Layers = std::vector<std::unique_ptr<Layer>>;

// A table of one layer. Of several source tables, the first that contains a key provides its value.
struct SourceTable {
  const toml::table* table = nullptr;
  const Layer* layer = nullptr;
};

// Returns the text of a file; none: it can't be read.
using FileLoader = std::function<std::optional<std::string>(const std::filesystem::path&)>;
std::optional<std::string> load_file(const std::filesystem::path& path);

Position position_of(const toml::source_region& region, const Layer& layer);

// Parses `text` and the files named under its key `include_key`: a path or a list, relative to `file`.
// Appends to `layers` in order of precedence: the file, then its includes, the last one first, each followed
// by its own includes. Returns false if there is an error.
bool parse_layers(std::string text, const std::string& file, const char* include_key, const FileLoader& load,
                  Diagnostics& errors, Layers& layers);

} // namespace fernward::toml_document
