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

  bool flat() const {
    for (const Node& child : children) {
      if (!child.is_leaf) return false;
    }
    return true;
  }
};

class TomlWriter : public Visitor {
 public:
  explicit TomlWriter(const Names& names) : names_(names) { open_nodes_.emplace_back(); }
  std::string text() {
    std::string out;
    print(open_nodes_.front(), "", out);
    return out;
  }
  std::vector<Leaf> leaves() const {
    std::vector<Leaf> all;
    flatten(open_nodes_.front(), "", all);
    return all;
  }

  void amount(const char* member, double& value, Unit unit, const char*, SpecialValue word) override {
    const bool is_word = word.text && value == word.value;
    std::string text = is_word ? word.text : format_quantity(unit, value);
    const bool bare = unit == Unit::Number || (unit == Unit::Share && !text.ends_with('%'));
    add_leaf(member, bare && !is_word ? text : toml_quoted(text));
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
    names(member, values);
  }
  void flag(const char* member, bool& value, const char*) override {
    add_leaf(member, value ? "true" : "false");
  }
  void choice(const char* member, std::size_t& value, Words words, bool, const char*) override {
    add_leaf(member, toml_quoted(words[value]));
  }
  void choices(const char* member, std::vector<std::size_t>& values, Words words, const char*) override {
    std::vector<std::string> all;
    all.reserve(values.size());
    for (const std::size_t value : values) all.push_back(words[value]);
    names(member, all);
  }
  void ref(const char* member, std::uint32_t& value, Table table, bool, const char*) override {
    const std::string name = names_.name(table, value);
    if (!name.empty()) add_leaf(member, toml_quoted(name));
  }
  void refs(const char* member, std::vector<std::uint32_t>& values, Table table, const char*) override {
    std::vector<std::string> all;
    all.reserve(values.size());
    for (const std::uint32_t value : values) all.push_back(names_.name(table, value));
    names(member, all);
  }
  bool present(const char*, bool now) override { return now; }
  void enter(const char* member, const char*) override { open_node(member, false); }
  void leave() override {
    Node done = std::move(open_nodes_.back());
    open_nodes_.pop_back();
    open_nodes_.back().children.push_back(std::move(done));
  }
  std::size_t list(const char*, std::size_t size, const char*) override { return size; }
  void item(const char* member, std::size_t, const std::string& name) override {
    open_node(member, true);
    if (named_table_members_.contains(member)) open_nodes_.back().name = name;
  }
  std::vector<std::string> named(const char* member, std::vector<std::string> names, const char*) override {
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
  void names(const char* member, const std::vector<std::string>& all) {
    std::string text = "[";
    for (const std::string& name : all) text += (text.size() > 1 ? ", " : "") + toml_quoted(name);
    add_leaf(member, text + "]");
  }
  static void flatten(const Node& table, const std::string& path, std::vector<Leaf>& all) {
    std::map<std::string, std::size_t> items; // number of items so far, by list
    for (const Node& child : table.children) {
      std::string at = path.empty() ? child.member : path + "." + child.member;
      if (child.is_leaf) {
        all.push_back({at, key_of(at), child.value});
        continue;
      }
      if (!child.name.empty()) {
        at += "." + child.name;
      } else if (child.is_item) {
        at += "[" + std::to_string(items[child.member]++) + "]";
      }
      flatten(child, at, all);
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
      if (!child.is_leaf && table.is_item && child.flat())
        out += child.key + " = " + inline_table(child) + "\n";
    }
    for (const Node& child : table.children) {
      if (child.is_leaf || (table.is_item && child.flat())) continue;
      const std::string inner = path.empty() ? child.key : path + "." + child.key;
      if (!child.name.empty()) {
        const std::string own =
            inner + "." + (is_bare_key(child.name) ? child.name : toml_quoted(child.name));
        out += "\n[" + own + "]\n";
        print(child, own, out);
        continue;
      }
      out += child.is_item ? "\n[[" + inner + "]]\n" : "\n[" + inner + "]\n";
      print(child, inner, out);
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
  ReferenceVisitor(const Names& names, Words documented_elsewhere)
      : names_(names), documented_elsewhere_(documented_elsewhere) {
    open_rows_.emplace_back();
  }
  const ReferenceRow& top() const { return open_rows_.front(); }

  void amount(const char* member, double& value, Unit unit, const char* doc, SpecialValue word) override {
    std::string written = unit_text(unit);
    if (word.text) written += std::string(" or `\"") + word.text + "\"`";
    add_leaf(member, written, word.text && value == word.value ? word.text : format_quantity(unit, value),
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
  void text(const char* member, std::string& value, bool needed, const char* doc) override {
    add_leaf(member, "text", needed ? kRequiredText : value, doc);
  }
  void texts(const char* member, std::vector<std::string>& values, const char* doc) override {
    std::string now;
    for (const std::string& value : values) now += (now.empty() ? "" : ", ") + value;
    add_leaf(member, "list of texts", now, doc);
  }
  void flag(const char* member, bool& value, const char* doc) override {
    add_leaf(member, "`true`, `false`", value ? "true" : "false", doc);
  }
  void choice(const char* member, std::size_t& value, Words words, bool needed, const char* doc) override {
    const bool elsewhere = !documented_elsewhere_.empty() && words.data() == documented_elsewhere_.data();
    add_leaf(member, elsewhere ? "see below" : word_list(words), needed ? kRequiredText : words[value], doc);
  }
  void choices(const char* member, std::vector<std::size_t>& values, Words words, const char* doc) override {
    std::string now;
    for (const std::size_t value : values) now += (now.empty() ? "" : ", ") + std::string(words[value]);
    add_leaf(member, "list of " + word_list(words), now, doc);
  }
  void ref(const char* member, std::uint32_t&, Table table, bool needed, const char* doc) override {
    add_leaf(member, names_.written(table), needed ? kRequiredText : "", doc);
  }
  void refs(const char* member, std::vector<std::uint32_t>&, Table table, const char* doc) override {
    add_leaf(member, std::string("list: ") + names_.written(table), "", doc);
  }
  bool present(const char*, bool) override { return may_be_absent_ = true; }
  void enter(const char* member, const char* doc) override { open_row(member, doc, false); }
  void leave() override {
    ReferenceRow done = std::move(open_rows_.back());
    open_rows_.pop_back();
    open_rows_.back().children.push_back(std::move(done));
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
  std::vector<std::string> named(const char* member, std::vector<std::string>, const char* doc) override {
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
  void add_leaf(const char* member, std::string written, std::string now, const char* doc) {
    if (std::exchange(may_be_absent_, false)) now.clear();
    if (!now.empty() && now != kRequiredText) now = "`" + now + "`";
    ReferenceRow& entry = open_rows_.back().children.emplace_back();
    entry.key = key_of(member);
    entry.type_text = std::move(written);
    entry.default_text = std::move(now);
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
  static std::string word_list(Words words) {
    std::string all;
    for (const char* word : words) all += (all.empty() ? "`" : ", `") + std::string(word) + "`";
    return all;
  }
  const Names& names_;
  const Words documented_elsewhere_;
  std::vector<ReferenceRow> open_rows_;
  std::string list_doc_;
  bool is_named_ = false;      // whether the list visited last has named items
  bool may_be_absent_ = false; // whether the next leaf is optional, so has no default
};

} // namespace

std::vector<Leaf> leaves(const Names& names, const DescribeData& walk) {
  TomlWriter writer(names);
  walk(writer);
  return writer.leaves();
}

std::string to_toml(const Names& names, const DescribeData& walk) {
  TomlWriter writer(names);
  walk(writer);
  return writer.text();
}

ReferenceRow build_reference(const Names& names, const DescribeData& walk, Words documented_elsewhere) {
  ReferenceVisitor made(names, documented_elsewhere);
  walk(made);
  return made.top();
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
    const std::string inner = path.empty() ? row.key : path + "." + row.key;
    const std::string head = row.is_named  ? "`[" + inner + ".NAME]`: "
                             : row.is_item ? "`[[" + inner + "]]`: "
                                           : "`[" + inner + "]`: ";
    append_section(row, head + row.doc, out);
    append_sections(row, inner, out);
  }
}

std::string top_level_rows(const ReferenceRow& table) {
  ReferenceRow leaves;
  for (const ReferenceRow& row : table.children) {
    if (row.is_leaf) leaves.children.push_back(row);
  }
  std::string out;
  append_rows(leaves, "", out);
  return out;
}

} // namespace fernward::toml_document
