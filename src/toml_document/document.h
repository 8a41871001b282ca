// Files of TOML, what they build on, and where their faults stand. Read whole: every fault is found, not the
// first alone, and named by file, line and column.
//
// Bounds: a file of 1 MiB, eight files that build on one another, 200 faults told.
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

struct Fault {
  Position at;
  std::string key, why;
  std::string code; // for programs: "syntax", "include", "unknown-key", "type", "unit", "value", "word", ...

  std::string text() const;  // "day.toml:12:8: load.rate: has no unit: ..."
  std::string coded() const; // "day.toml:12:8: unit: load.rate: has no unit: ..."
};
using Faults = std::vector<Fault>;
using Places = std::map<std::string, Position>; // of what files give, by the member's path

// In the order of files and lines, each once, no more than anyone reads.
void tidy(Faults& faults);

struct Layer { // a file: what it does not give, another one may
  std::string file;
  toml::table table;
};
using Layers = std::vector<std::unique_ptr<Layer>>;

// A table of some file, of which a part of the data is made; of several the first that has a key counts.
struct Source {
  const toml::table* table = nullptr;
  const Layer* layer = nullptr;
};

// The text of a file; none: it can't be read.
using Loader = std::function<std::optional<std::string>(const std::filesystem::path&)>;
std::optional<std::string> load_file(const std::filesystem::path& path);

Position position(const toml::source_region& at, const Layer& layer);

// Parses `text` and what it names under `key`, a path or a list of paths relative to it: those go behind it,
// of a list the last first, and what they name themselves behind each. False: there is a fault.
bool parse_layers(std::string text, const std::string& file, const char* key, const Loader& load,
                  Faults& faults, Layers& layers);

} // namespace fernward::toml_document
