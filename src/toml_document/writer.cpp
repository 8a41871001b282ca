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

class Writer : public Visitor {
 public:
  explicit Writer(const Names& names) : all_names_(names) { open_.emplace_back(); }
  std::string text() {
    std::string out;
    print(open_.front(), "", out);
    return out;
  }
  std::vector<Leaf> leaves() const {
    std::vector<Leaf> all;
    flatten(open_.front(), "", all);
    return all;
  }

  void amount(const char* member, double& value, Unit unit, const char*, Word word) override {
    const bool is_word = word.text && value == word.value;
    std::string text = is_word ? word.text : quantity_text(unit, value);
    const bool bare = unit == Unit::Number || (unit == Unit::Share && !text.ends_with('%'));
    leaf(member, bare && !is_word ? text : in_quotes(text));
  }
  void count(const char* member, std::uint32_t& value, const char*, Unit unit) override {
    leaf(member, unit == Unit::Number ? std::to_string(value) : in_quotes(quantity_text(unit, value)));
  }
  void seed(const char* member, std::uint64_t& value, const char*) override {
    leaf(member, std::to_string(value));
  }
  void text(const char* member, std::string& value, bool, const char*) override {
    leaf(member, in_quotes(value));
  }
  void texts(const char* member, std::vector<std::string>& values, const char*) override {
    names(member, values);
  }
  void flag(const char* member, bool& value, const char*) override { leaf(member, value ? "true" : "false"); }
  void choice(const char* member, std::size_t& value, Words words, bool, const char*) override {
    leaf(member, in_quotes(words[value]));
  }
  void choices(const char* member, std::vector<std::size_t>& values, Words words, const char*) override {
    std::vector<std::string> all;
    all.reserve(values.size());
    for (const std::size_t value : values) all.push_back(words[value]);
    names(member, all);
  }
  void ref(const char* member, std::uint32_t& value, Table table, bool, const char*) override {
    const std::string name = all_names_.name(table, value);
    if (!name.empty()) leaf(member, in_quotes(name));
  }
  void refs(const char* member, std::vector<std::uint32_t>& values, Table table, const char*) override {
    std::vector<std::string> all;
    all.reserve(values.size());
    for (const std::uint32_t value : values) all.push_back(all_names_.name(table, value));
    names(member, all);
  }
  bool present(const char*, bool now) override { return now; }
  void enter(const char* member, const char*) override { open(member, false); }
  void leave() override {
    Node done = std::move(open_.back());
    open_.pop_back();
    open_.back().children.push_back(std::move(done));
  }
  std::size_t list(const char*, std::size_t size, const char*) override { return size; }
  void item(const char* member, std::size_t, const std::string& name) override {
    open(member, true);
    if (named_.contains(member)) open_.back().name = name;
  }
  std::vector<std::string> named(const char* member, std::vector<std::string> names, const char*) override {
    named_.insert(member);
    return names;
  }

 private:
  void open(const char* member, bool is_item) {
    open_.emplace_back();
    open_.back().member = member;
    open_.back().key = key_of(member);
    open_.back().is_item = is_item;
  }
  void leaf(const char* member, std::string text) {
    Node& made = open_.back().children.emplace_back();
    made.member = member;
    made.key = key_of(member);
    made.value = std::move(text);
    made.is_leaf = true;
  }
  void names(const char* member, const std::vector<std::string>& all) {
    std::string text = "[";
    for (const std::string& name : all) text += (text.size() > 1 ? ", " : "") + in_quotes(name);
    leaf(member, text + "]");
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
  static std::string in_line(const Node& table) {
    std::string text;
    for (const Node& child : table.children) {
      text +=
          (text.empty() ? "{ " : ", ") + child.key + " = " + (child.is_leaf ? child.value : in_line(child));
    }
    return text.empty() ? "{}" : text + " }";
  }
  // Writes the values of a table before its subtables, as TOML requires. Subtables of list items that contain
  // only values are written inline.
  static void print(const Node& table, const std::string& path, std::string& out) {
    for (const Node& child : table.children) {
      if (child.is_leaf) out += child.key + " = " + child.value + "\n";
      if (!child.is_leaf && table.is_item && child.flat()) out += child.key + " = " + in_line(child) + "\n";
    }
    for (const Node& child : table.children) {
      if (child.is_leaf || (table.is_item && child.flat())) continue;
      const std::string inner = path.empty() ? child.key : path + "." + child.key;
      if (!child.name.empty()) {
        const std::string own = inner + "." + (bare(child.name) ? child.name : in_quotes(child.name));
        out += "\n[" + own + "]\n";
        print(child, own, out);
        continue;
      }
      out += child.is_item ? "\n[[" + inner + "]]\n" : "\n[" + inner + "]\n";
      print(child, inner, out);
    }
  }

  static bool bare(const std::string& name) {
    return std::all_of(name.begin(), name.end(), [](char c) {
      return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_' ||
             c == '-';
    });
  }

  const Names& all_names_;
  std::vector<Node> open_;
  std::set<std::string> named_; // members that are tables of named tables
};

class Reference : public Visitor {
 public:
  Reference(const Names& names, Words elsewhere) : names_(names), elsewhere_(elsewhere) {
    open_.emplace_back();
  }
  const Row& top() const { return open_.front(); }

  void amount(const char* member, double& value, Unit unit, const char* doc, Word word) override {
    std::string written = kind(unit);
    if (word.text) written += std::string(" or `\"") + word.text + "\"`";
    leaf(member, written, word.text && value == word.value ? word.text : quantity_text(unit, value), doc);
  }
  void count(const char* member, std::uint32_t& value, const char* doc, Unit unit) override {
    const bool bare = unit == Unit::Number;
    leaf(member, bare ? "whole number" : kind(unit),
         bare ? std::to_string(value) : quantity_text(unit, value), doc);
  }
  void seed(const char* member, std::uint64_t& value, const char* doc) override {
    leaf(member, "whole number", std::to_string(value), doc);
  }
  void text(const char* member, std::string& value, bool needed, const char* doc) override {
    leaf(member, "text", needed ? kNeeded : value, doc);
  }
  void texts(const char* member, std::vector<std::string>& values, const char* doc) override {
    std::string now;
    for (const std::string& value : values) now += (now.empty() ? "" : ", ") + value;
    leaf(member, "list of texts", now, doc);
  }
  void flag(const char* member, bool& value, const char* doc) override {
    leaf(member, "`true`, `false`", value ? "true" : "false", doc);
  }
  void choice(const char* member, std::size_t& value, Words words, bool needed, const char* doc) override {
    const bool elsewhere = !elsewhere_.empty() && words.data() == elsewhere_.data();
    leaf(member, elsewhere ? "see below" : all_of(words), needed ? kNeeded : words[value], doc);
  }
  void choices(const char* member, std::vector<std::size_t>& values, Words words, const char* doc) override {
    std::string now;
    for (const std::size_t value : values) now += (now.empty() ? "" : ", ") + std::string(words[value]);
    leaf(member, "list of " + all_of(words), now, doc);
  }
  void ref(const char* member, std::uint32_t&, Table table, bool needed, const char* doc) override {
    leaf(member, names_.written(table), needed ? kNeeded : "", doc);
  }
  void refs(const char* member, std::vector<std::uint32_t>&, Table table, const char* doc) override {
    leaf(member, std::string("list: ") + names_.written(table), "", doc);
  }
  bool present(const char*, bool) override { return may_be_absent_ = true; }
  void enter(const char* member, const char* doc) override { open(member, doc, false); }
  void leave() override {
    Row done = std::move(open_.back());
    open_.pop_back();
    open_.back().children.push_back(std::move(done));
  }
  std::size_t list(const char*, std::size_t, const char* doc) override {
    list_doc_ = doc;
    is_named_ = false;
    return 1;
  }
  void item(const char* member, std::size_t, const std::string&) override {
    open(member, list_doc_.c_str(), true);
    open_.back().is_named = is_named_;
  }
  std::vector<std::string> named(const char* member, std::vector<std::string>, const char* doc) override {
    list(member, 1, doc);
    is_named_ = true;
    return {"NAME"};
  }

 private:
  static constexpr const char* kNeeded = "(needed)";

  void open(const char* member, const char* doc, bool is_item) {
    open_.emplace_back();
    open_.back().key = key_of(member);
    open_.back().doc = doc;
    open_.back().is_item = is_item;
  }
  void leaf(const char* member, std::string written, std::string now, const char* doc) {
    if (std::exchange(may_be_absent_, false)) now.clear();
    if (!now.empty() && now != kNeeded) now = "`" + now + "`";
    Row& made = open_.back().children.emplace_back();
    made.key = key_of(member);
    made.written = std::move(written);
    made.now = std::move(now);
    made.doc = doc;
    made.is_leaf = true;
  }
  static std::string kind(Unit unit) {
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
  static std::string all_of(Words words) {
    std::string all;
    for (const char* word : words) all += (all.empty() ? "`" : ", `") + std::string(word) + "`";
    return all;
  }
  const Names& names_;
  const Words elsewhere_;
  std::vector<Row> open_;
  std::string list_doc_;
  bool is_named_ = false;      // whether the list entered last has named items
  bool may_be_absent_ = false; // whether the next leaf is optional, so has no default
};

} // namespace

std::vector<Leaf> leaves(const Names& names, const Walk& walk) {
  Writer writer(names);
  walk(writer);
  return writer.leaves();
}

std::string written(const Names& names, const Walk& walk) {
  Writer writer(names);
  walk(writer);
  return writer.text();
}

Row reference(const Names& names, const Walk& walk, Words elsewhere) {
  Reference made(names, elsewhere);
  walk(made);
  return made.top();
}

void rows(const Row& table, const std::string& prefix, std::string& out) {
  for (const Row& row : table.children) {
    if (row.is_leaf) {
      out += "| `" + prefix + row.key + "` | " + row.written + " | " + row.now + " | " + row.doc + " |\n";
    } else if (!row.is_item) {
      rows(row, prefix + row.key + ".", out);
    }
  }
}

void section(const Row& table, const std::string& heading, std::string& out) {
  out += "\n### " + heading + "\n\n| key | written as | default | meaning |\n| --- | --- | --- | --- |\n";
  rows(table, "", out);
}

void sections(const Row& table, const std::string& path, std::string& out) {
  for (const Row& row : table.children) {
    if (row.is_leaf || (!row.is_item && !path.empty())) continue;
    const std::string inner = path.empty() ? row.key : path + "." + row.key;
    const std::string head = row.is_named  ? "`[" + inner + ".NAME]`: "
                             : row.is_item ? "`[[" + inner + "]]`: "
                                           : "`[" + inner + "]`: ";
    section(row, head + row.doc, out);
    sections(row, inner, out);
  }
}

std::string leading(const Row& table) {
  Row leaves;
  for (const Row& row : table.children) {
    if (row.is_leaf) leaves.children.push_back(row);
  }
  std::string out;
  rows(leaves, "", out);
  return out;
}

} // namespace fernward::toml_document
