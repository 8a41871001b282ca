#include "toml_document/writer.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "toml_document/value.h"

namespace fernward::toml_document {
namespace {

struct Node {
  std::string member, key, value; // leaves have a value, other nodes children
  std::string name;               // of an item of a table of named tables
  bool is_leaf = false, is_item = false;
  std::vector<Node> children;

  bool has_only_leaves() const {
    for (const Node& child : children) {
      if (!child.is_leaf) return false;
    }
    return true;
  }
};

class TomlWriter : public Visitor {
 public:
  explicit TomlWriter(const Names& add_text_list) : names_(add_text_list) { open_nodes_.emplace_back(); }
  std::string text() {
    std::string out;
    print(open_nodes_.front(), "", out);
    return out;
  }
  std::vector<Leaf> leaves() const {
    std::vector<Leaf> result;
    flatten(open_nodes_.front(), "", result);
    return result;
  }

  void amount(const char* member, double& value, Unit unit, const char*,
              SpecialValue special_value) override {
    const bool is_special = special_value.text && value == special_value.value;
    std::string text = is_special ? special_value.text : format_quantity(unit, value);
    const bool bare = unit == Unit::Number || (unit == Unit::Share && !text.ends_with('%'));
    add_leaf(member, bare && !is_special ? text : toml_quoted(text));
  }
  void count(const char* member, std::uint32_t& value, const char*, Unit unit) override {
    add_leaf(member,
             unit == Unit::Number ? std::to_string(value) : toml_quoted(format_quantity(unit, value)));
  }
  void seed(const char* member, std::uint64_t& value, const char*) override {
    add_leaf(member, std::to_string(value));
  }
  void text(const char* member, std::string& value, bool, const char*) override {
    add_leaf(member, toml_quoted(value));
  }
  void texts(const char* member, std::vector<std::string>& values, const char*) override {
    add_text_list(member, values);
  }
  void flag(const char* member, bool& value, const char*) override {
    add_leaf(member, value ? "true" : "false");
  }
  void choice(const char* member, std::size_t& value, ChoiceNames choice_names, bool, const char*) override {
    add_leaf(member, toml_quoted(choice_names[value]));
  }
  void choices(const char* member, std::vector<std::size_t>& values, ChoiceNames choice_names,
               const char*) override {
    std::vector<std::string> chosen_names;
    chosen_names.reserve(values.size());
    for (const std::size_t value : values) chosen_names.push_back(choice_names[value]);
    add_text_list(member, chosen_names);
  }
  void ref(const char* member, std::uint32_t& value, Table table, bool, const char*) override {
    const std::string name = names_.name(table, value);
    if (!name.empty()) add_leaf(member, toml_quoted(name));
  }
  void refs(const char* member, std::vector<std::uint32_t>& values, Table table, const char*) override {
    std::vector<std::string> referenced_names;
    referenced_names.reserve(values.size());
    for (const std::uint32_t value : values) referenced_names.push_back(names_.name(table, value));
    add_text_list(member, referenced_names);
  }
  bool present(const char*, bool is_present) override { return is_present; }
  void enter(const char* member, const char*) override { open_node(member, false); }
  void leave() override {
    Node closed = std::move(open_nodes_.back());
    open_nodes_.pop_back();
    open_nodes_.back().children.push_back(std::move(closed));
  }
  std::size_t list(const char*, std::size_t size, const char*) override { return size; }
  void item(const char* member, std::size_t, const std::string& name) override {
    open_node(member, true);
    if (named_table_members_.contains(member)) open_nodes_.back().name = name;
  }
  std::vector<std::string> named_items(const char* member, std::vector<std::string> names,
                                       const char*) override {
    named_table_members_.insert(member);
    return names;
  }

 private:
  void open_node(const char* member, bool is_item) {
    open_nodes_.emplace_back();
    open_nodes_.back().member = member;
    open_nodes_.back().key = key_of(member);
    open_nodes_.back().is_item = is_item;
  }
  void add_leaf(const char* member, std::string text) {
    Node& entry = open_nodes_.back().children.emplace_back();
    entry.member = member;
    entry.key = key_of(member);
    entry.value = std::move(text);
    entry.is_leaf = true;
  }
  void add_text_list(const char* member, const std::vector<std::string>& values) {
    std::string text = "[";
    for (const std::string& value : values) text += (text.size() > 1 ? ", " : "") + toml_quoted(value);
    add_leaf(member, text + "]");
  }
  static void flatten(const Node& table, const std::string& path, std::vector<Leaf>& result) {
    std::map<std::string, std::size_t> item_counts; // number of items so far, by list
    for (const Node& child : table.children) {
      std::string member_path = path.empty() ? child.member : path + "." + child.member;
      if (child.is_leaf) {
        result.push_back({member_path, key_of(member_path), child.value});
        continue;
      }
      if (!child.name.empty()) {
        member_path += "." + child.name;
      } else if (child.is_item) {
        member_path += "[" + std::to_string(item_counts[child.member]++) + "]";
      }
      flatten(child, member_path, result);
    }
  }
  static std::string inline_table(const Node& table) {
    std::string text;
    for (const Node& child : table.children) {
      text += (text.empty() ? "{ " : ", ") + child.key + " = " +
              (child.is_leaf ? child.value : inline_table(child));
    }
    return text.empty() ? "{}" : text + " }";
  }
  // Writes the values of a table before its subtables, as TOML requires. Subtables of list items that contain
  // only values are written inline.
  static void print(const Node& table, const std::string& path, std::string& out) {
    for (const Node& child : table.children) {
      if (child.is_leaf) out += child.key + " = " + child.value + "\n";
      if (!child.is_leaf && table.is_item && child.has_only_leaves())
        out += child.key + " = " + inline_table(child) + "\n";
    }
    for (const Node& child : table.children) {
      if (child.is_leaf || (table.is_item && child.has_only_leaves())) continue;
      const std::string child_path = path.empty() ? child.key : path + "." + child.key;
      if (!child.name.empty()) {
        const std::string table_path =
            child_path + "." + (is_bare_key(child.name) ? child.name : toml_quoted(child.name));
        out += "\n[" + table_path + "]\n";
        print(child, table_path, out);
        continue;
      }
      out += child.is_item ? "\n[[" + child_path + "]]\n" : "\n[" + child_path + "]\n";
      print(child, child_path, out);
    }
  }

  static bool is_bare_key(const std::string& name) {
    return std::all_of(name.begin(), name.end(), [](char c) {
      return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' ||
             c == '-';
    });
  }

  const Names& names_;
  std::vector<Node> open_nodes_;
  std::set<std::string> named_table_members_; // members that are tables of named tables
};

class ReferenceVisitor : public Visitor {
 public:
  ReferenceVisitor(const Names& names, ChoiceNames documented_elsewhere)
      : names_(names), documented_elsewhere_(documented_elsewhere) {
    open_rows_.emplace_back();
  }
  const ReferenceRow& top() const { return open_rows_.front(); }

  void amount(const char* member, double& value, Unit unit, const char* doc,
              SpecialValue special_value) override {
    std::string type_text = unit_text(unit);
    if (special_value.text) type_text += std::string(" or `\"") + special_value.text + "\"`";
    add_leaf(member, type_text,
             special_value.text && value == special_value.value ? special_value.text
                                                                : format_quantity(unit, value),
             doc);
  }
  void count(const char* member, std::uint32_t& value, const char* doc, Unit unit) override {
    const bool bare = unit == Unit::Number;
    add_leaf(member, bare ? "whole number" : unit_text(unit),
             bare ? std::to_string(value) : format_quantity(unit, value), doc);
  }
  void seed(const char* member, std::uint64_t& value, const char* doc) override {
    add_leaf(member, "whole number", std::to_string(value), doc);
  }
  void text(const char* member, std::string& value, bool required, const char* doc) override {
    add_leaf(member, "text", required ? kRequiredText : value, doc);
  }
  void texts(const char* member, std::vector<std::string>& values, const char* doc) override {
    std::string default_text;
    for (const std::string& value : values) default_text += (default_text.empty() ? "" : ", ") + value;
    add_leaf(member, "list of texts", default_text, doc);
  }
  void flag(const char* member, bool& value, const char* doc) override {
    add_leaf(member, "`true`, `false`", value ? "true" : "false", doc);
  }
  void choice(const char* member, std::size_t& value, ChoiceNames choice_names, bool required,
              const char* doc) override {
    const bool is_documented_elsewhere =
        !documented_elsewhere_.empty() && choice_names.data() == documented_elsewhere_.data();
    add_leaf(member, is_documented_elsewhere ? "see below" : choice_list(choice_names),
             required ? kRequiredText : choice_names[value], doc);
  }
  void choices(const char* member, std::vector<std::size_t>& values, ChoiceNames choice_names,
               const char* doc) override {
    std::string default_text;
    for (const std::size_t value : values)
      default_text += (default_text.empty() ? "" : ", ") + std::string(choice_names[value]);
    add_leaf(member, "list of " + choice_list(choice_names), default_text, doc);
  }
  void ref(const char* member, std::uint32_t&, Table table, bool required, const char* doc) override {
    add_leaf(member, names_.reference_text(table), required ? kRequiredText : "", doc);
  }
  void refs(const char* member, std::vector<std::uint32_t>&, Table table, const char* doc) override {
    add_leaf(member, std::string("list: ") + names_.reference_text(table), "", doc);
  }
  bool present(const char*, bool) override { return may_be_absent_ = true; }
  void enter(const char* member, const char* doc) override { open_row(member, doc, false); }
  void leave() override {
    ReferenceRow closed = std::move(open_rows_.back());
    open_rows_.pop_back();
    open_rows_.back().children.push_back(std::move(closed));
  }
  std::size_t list(const char*, std::size_t, const char* doc) override {
    list_doc_ = doc;
    is_named_ = false;
    return 1;
  }
  void item(const char* member, std::size_t, const std::string&) override {
    open_row(member, list_doc_.c_str(), true);
    open_rows_.back().is_named = is_named_;
  }
  std::vector<std::string> named_items(const char* member, std::vector<std::string>,
                                       const char* doc) override {
    list(member, 1, doc);
    is_named_ = true;
    return {"NAME"};
  }

 private:
  static constexpr const char* kRequiredText = "(needed)";

  void open_row(const char* member, const char* doc, bool is_item) {
    open_rows_.emplace_back();
    open_rows_.back().key = key_of(member);
    open_rows_.back().doc = doc;
    open_rows_.back().is_item = is_item;
  }
  void add_leaf(const char* member, std::string type_text, std::string default_text, const char* doc) {
    if (std::exchange(may_be_absent_, false)) default_text.clear();
    if (!default_text.empty() && default_text != kRequiredText) default_text = "`" + default_text + "`";
    ReferenceRow& entry = open_rows_.back().children.emplace_back();
    entry.key = key_of(member);
    entry.type_text = std::move(type_text);
    entry.default_text = std::move(default_text);
    entry.doc = doc;
    entry.is_leaf = true;
  }
  static std::string unit_text(Unit unit) {
    switch (unit) {
      case Unit::Number: return "number";
      case Unit::Time: return "time";
      case Unit::Bytes:
      case Unit::Mebibytes: return "size";
      case Unit::Rate: return "rate";
      case Unit::Share: return "share";
      case Unit::ShareRate: return "share per time";
    }
    return "";
  }
  static std::string choice_list(ChoiceNames choice_names) {
    std::string result;
    for (const char* choice_name : choice_names)
      result += (result.empty() ? "`" : ", `") + std::string(choice_name) + "`";
    return result;
  }
  const Names& names_;
  const ChoiceNames documented_elsewhere_;
  std::vector<ReferenceRow> open_rows_;
  std::string list_doc_;
  bool is_named_ = false;      // whether the list visited last has named items
  bool may_be_absent_ = false; // whether the next leaf is optional, so has no default
};

} // namespace

std::vector<Leaf> leaves(const Names& names, const DescribeData& describe_data) {
  TomlWriter writer(names);
  describe_data(writer);
  return writer.leaves();
}

std::string to_toml(const Names& names, const DescribeData& describe_data) {
  TomlWriter writer(names);
  describe_data(writer);
  return writer.text();
}

ReferenceRow build_reference(const Names& names, const DescribeData& describe_data,
                             ChoiceNames documented_elsewhere) {
  ReferenceVisitor visitor(names, documented_elsewhere);
  describe_data(visitor);
  return visitor.top();
}

void append_rows(const ReferenceRow& table, const std::string& prefix, std::string& out) {
  for (const ReferenceRow& row : table.children) {
    if (row.is_leaf) {
      out += "| `" + prefix + row.key + "` | " + row.type_text + " | " + row.default_text + " | " + row.doc +
             " |\n";
    } else if (!row.is_item) {
      append_rows(row, prefix + row.key + ".", out);
    }
  }
}

void append_section(const ReferenceRow& table, const std::string& heading, std::string& out) {
  out += "\n### " + heading + "\n\n| key | written as | default | meaning |\n| --- | --- | --- | --- |\n";
  append_rows(table, "", out);
}

void append_sections(const ReferenceRow& table, const std::string& path, std::string& out) {
  for (const ReferenceRow& row : table.children) {
    if (row.is_leaf || (!row.is_item && !path.empty())) continue;
    const std::string row_path = path.empty() ? row.key : path + "." + row.key;
    const std::string heading = row.is_named  ? "`[" + row_path + ".NAME]`: "
                                : row.is_item ? "`[[" + row_path + "]]`: "
                                              : "`[" + row_path + "]`: ";
    append_section(row, heading + row.doc, out);
    append_sections(row, row_path, out);
  }
}

std::string top_level_rows(const ReferenceRow& table) {
  ReferenceRow leaf_rows;
  for (const ReferenceRow& row : table.children) {
    if (row.is_leaf) leaf_rows.children.push_back(row);
  }
  std::string out;
  append_rows(leaf_rows, "", out);
  return out;
}

} // namespace fernward::toml_document
