// Described data as text: a file with every value given, and the reference of all keys.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "toml_document/visitor.h"

namespace fernward::toml_document {

using Walk = std::function<void(Visitor&)>; // through the description of some data

// As a file, in the order of the description. Read again it gives the same data.
std::string written(const Names& names, const Walk& walk);

// The same, a line for each value.
struct Leaf {
  std::string member, key, value; // its path with and without units; the value as a file has it
};
std::vector<Leaf> leaves(const Names& names, const Walk& walk);

struct Row {
  std::string key, written, now, doc; // a table or an item of a list has children instead
  bool is_leaf = false, is_item = false, is_named = false;
  std::vector<Row> children;
};

// What the data are with their defaults. Choices among `elsewhere` are told elsewhere.
Row reference(const Names& names, const Walk& walk, Words elsewhere = {});

// Rows of Markdown: the keys of a table, and of those within it, as `table.key`.
void rows(const Row& table, const std::string& prefix, std::string& out);
void section(const Row& table, const std::string& heading, std::string& out);
void sections(const Row& table, const std::string& path, std::string& out); // of all tables within
std::string leading(const Row& table);                                      // the keys of the top

} // namespace fernward::toml_document
