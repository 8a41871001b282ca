// Writes described data as a TOML file with every value, and as a reference of all keys.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "toml_document/visitor.h"

namespace fernward::toml_document {

using Walk = std::function<void(Visitor&)>; // passes a visitor through a data description

// A TOML file in the order of the description. Reading it yields the same data.
std::string written(const Names& names, const Walk& walk);

// The same data as a list with an entry for each value.
struct Leaf {
  std::string member, key, value; // its path with and without units; the value in TOML form
};
std::vector<Leaf> leaves(const Names& names, const Walk& walk);

struct Row {
  std::string key, written, now, doc; // a table or list item has children instead of a value
  bool is_leaf = false, is_item = false, is_named = false;
  std::vector<Row> children;
};

// The reference of data at its defaults. Choices among the words `documented_elsewhere` are not listed.
Row reference(const Names& names, const Walk& walk, Words elsewhere = {});

// Markdown rows for the keys of a table and of its subtables (`table.key`).
void rows(const Row& table, const std::string& prefix, std::string& out);
void section(const Row& table, const std::string& heading, std::string& out);
void sections(const Row& table, const std::string& path, std::string& out); // of all subtables
std::string leading(const Row& table);                                      // rows of the top-level keys

} // namespace fernward::toml_document
