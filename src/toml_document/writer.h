// Writes described data as a TOML file with every value, and as a reference of all keys.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "toml_document/visitor.h"

namespace fernward::toml_document {

using DescribeData = std::function<void(Visitor&)>; // passes a visitor through a data description

// A TOML file in the order of the description. Reading it yields the same data.
std::string to_toml(const Names& names, const DescribeData& describe_data);

// The same data as a list with an entry for each value.
struct Leaf {
  std::string member, key, value; // its path with and without units; the value in TOML form
};
std::vector<Leaf> leaves(const Names& names, const DescribeData& describe_data);

struct ReferenceRow {
  std::string key, type_text, default_text, doc; // a table or list item has children instead of a value
  bool is_leaf = false, is_item = false, is_named = false; // is_named: an item of a table of named tables
  std::vector<ReferenceRow> children;
};

// The reference of data at its defaults. Choices among the words `documented_elsewhere` are not listed.
ReferenceRow build_reference(const Names& names, const DescribeData& describe_data,
                             ChoiceNames documented_elsewhere = {});

// Markdown rows for the keys of a table and of its subtables (`table.key`).
void append_rows(const ReferenceRow& table, const std::string& prefix, std::string& out);
// The same under a heading and a table header.
void append_section(const ReferenceRow& table, const std::string& heading, std::string& out);
// A section for each subtable.
void append_sections(const ReferenceRow& table, const std::string& path, std::string& out);
// The rows of the top-level keys.
std::string top_level_rows(const ReferenceRow& table);

} // namespace fernward::toml_document
