// A description of plain data as a sequence of visitor calls. The reader, the writer, the setter of single
// values, the reference and the schema are visitors. Each key is described once, so all of them support the
// same keys.
//
// Member names contain their units ("aim_ms"); the keys of a file don't, as its values contain units: see
// key_of().
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "toml_document/units.h"

namespace fernward::toml_document {

// Identifies the table to which a name in the file refers. Each description defines its own numbers.
enum class Table : int {};

struct SpecialValue { // a named value that no quantity can express; none: `text` is null
  const char* text = nullptr;
  double value = 0;
};

// The values of a choice as written in a file; a choice is stored as an index into them.
using ChoiceNames = std::span<const char* const>;

class Visitor {
 public:
  virtual ~Visitor() = default;

  virtual void amount(const char* member, double& value, Unit unit, const char* doc,
                      SpecialValue special_value = {}) = 0;
  virtual void count(const char* member, std::uint32_t& value, const char* doc, Unit unit = Unit::Number) = 0;
  virtual void seed(const char* member, std::uint64_t& value, const char* doc) = 0;
  virtual void text(const char* member, std::string& value, bool required, const char* doc) = 0;
  virtual void texts(const char* member, std::vector<std::string>& values, const char* doc) = 0;
  virtual void flag(const char* member, bool& value, const char* doc) = 0;
  virtual void choice(const char* member, std::size_t& value, ChoiceNames choice_names, bool required,
                      const char* doc) = 0;
  virtual void choices(const char* member, std::vector<std::size_t>& values, ChoiceNames choice_names,
                       const char* doc) = 0;
  virtual void ref(const char* member, std::uint32_t& value, Table table, bool required, const char* doc) = 0;
  virtual void refs(const char* member, std::vector<std::uint32_t>& values, Table table, const char* doc) = 0;

  // For an optional member: returns whether it is present after this visit. `is_present`: whether it is
  // present before.
  virtual bool present(const char* member, bool is_present) = 0;

  virtual void enter(const char* member, const char* doc) = 0;
  virtual void leave() = 0;
  // Returns the number of items after this visit; `size`: the current number. For each of them item() and
  // leave() follow.
  virtual std::size_t list(const char* member, std::size_t size, const char* doc) = 0;
  virtual void item(const char* member, std::size_t index, const std::string& name) = 0;
  // The same for a table of named tables: returns the names in order; `names`: the current ones.
  virtual std::vector<std::string> named_items(const char* member, std::vector<std::string> names,
                                               const char* doc) = 0;
};

// Resolves the names of a Table in the data read so far: tables must be described before the members that
// refer to them.
class Names {
 public:
  virtual ~Names() = default;
  virtual std::optional<std::uint32_t> find(Table table, const std::string& name) const = 0;
  virtual std::string name(Table table, std::uint32_t index) const = 0; // empty: no such index
  virtual std::vector<std::string> known_names(Table table) const = 0;  // empty: can't be listed
  virtual const char* item_noun(Table table) const = 0;                 // a noun for messages: "zone"
  virtual const char* reference_text(Table table) const = 0;            // for the reference: "a zone's name"
  virtual const char* defining_member(Table table) const = 0; // path of the member that defines the names
  // Appended to the error for an unknown name if no known name is similar.
  virtual const char* hint(Table) const { return ""; }
};

// The key of a member path: removes the unit from each part, as in "events[3].at_ms" -> "events[3].at".
std::string key_of(std::string_view member_path);

// Helpers for descriptions.

template <typename E>
void enum_choice(Visitor& visitor, const char* member, E& value, ChoiceNames choice_names, const char* doc,
                 bool required = false) {
  auto choice_index = static_cast<std::size_t>(value);
  visitor.choice(member, choice_index, choice_names, required, doc);
  value = static_cast<E>(choice_index);
}

template <typename T, typename F>
void optional_member(Visitor& visitor, const char* member, std::optional<T>& value, F visit_value) {
  if (!visitor.present(member, value.has_value())) {
    value.reset();
    return;
  }
  if (!value) value.emplace();
  visit_value(*value);
}

template <typename T>
std::string item_name(const T& item) {
  if constexpr (requires { item.name; }) return item.name;
  return "";
}

template <typename T, typename F>
void each_item(Visitor& visitor, const char* member, std::vector<T>& items, const char* doc,
               F describe_item) {
  items.resize(visitor.list(member, items.size(), doc));
  for (std::size_t i = 0; i < items.size(); ++i) {
    visitor.item(member, i, item_name(items[i]));
    describe_item(items[i]);
    visitor.leave();
  }
}

// For items with a `name`, which is their key in the file.
template <typename T, typename F>
void each_named_item(Visitor& visitor, const char* member, std::vector<T>& items, const char* doc,
                     F describe_item) {
  std::vector<std::string> names;
  names.reserve(items.size());
  for (const T& item : items) names.push_back(item.name);
  names = visitor.named_items(member, std::move(names), doc);
  items.resize(names.size());
  for (std::size_t i = 0; i < items.size(); ++i) {
    items[i].name = names[i];
    visitor.item(member, i, names[i]);
    describe_item(items[i]);
    visitor.leave();
  }
}

} // namespace fernward::toml_document
