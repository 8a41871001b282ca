#include "toml_document/reader.h"

#include <algorithm>

#include "toml_document/value.h"

namespace fernward::toml_document {
namespace {

constexpr std::size_t kMaxListItems = 10000; // of one list
constexpr const char* kTooManyItems = "has more than 10000 items";

} // namespace

Reader::Reader(std::vector<SourceTable> sources, const Names& names, Diagnostics& errors,
               Positions& positions, std::set<std::string> non_member_keys)
    : names_(names), errors_(errors), positions_(positions) {
  open_tables_.push_back({std::move(sources), "", std::move(non_member_keys)});
}

std::set<std::string> Reader::finish() {
  leave();
  return std::move(invalid_members_);
}

void Reader::amount(const char* member, double& value, Unit unit, const char*, SpecialValue special_value) {
  read_value(member, value, [&](const toml::node& node, ParseError& failure) {
    return parse_amount(node, unit, special_value, failure);
  });
}
void Reader::count(const char* member, std::uint32_t& value, const char*, Unit unit) {
  read_value(member, value,
             [&](const toml::node& node, ParseError& failure) { return parse_count(node, unit, failure); });
}
void Reader::seed(const char* member, std::uint64_t& value, const char*) {
  read_value(member, value, parse_seed);
}
void Reader::text(const char* member, std::string& value, bool required, const char*) {
  if (!read_value(member, value, parse_text) && required) add_missing_error(member);
}
void Reader::texts(const char* member, std::vector<std::string>& values, const char*) {
  read_list(member, values, parse_text);
}
void Reader::flag(const char* member, bool& value, const char*) { read_value(member, value, parse_flag); }
void Reader::choice(const char* member, std::size_t& value, ChoiceNames choice_names, bool required,
                    const char*) {
  const bool given = read_value(member, value, [&](const toml::node& node, ParseError& failure) {
    return parse_choice(node, choice_names, failure);
  });
  if (!given && required) add_missing_error(member);
}
void Reader::choices(const char* member, std::vector<std::size_t>& values, ChoiceNames choice_names,
                     const char*) {
  read_list(member, values, [&](const toml::node& node, ParseError& failure) {
    return parse_choice(node, choice_names, failure);
  });
}
void Reader::ref(const char* member, std::uint32_t& value, Table table, bool required, const char*) {
  const bool given = read_value(member, value, reference_parser(table));
  if (!given && required) add_missing_error(member);
}
void Reader::refs(const char* member, std::vector<std::uint32_t>& values, Table table, const char*) {
  read_list(member, values, reference_parser(table));
}
bool Reader::present(const char* member, bool) { return find(member).node != nullptr; }

void Reader::enter(const char* member, const char*) {
  const std::string key = key_of(member);
  open_tables_.back().known_keys.insert(key);
  open_tables_.push_back(open_table(open_tables_.back().sources, member_path(member), key));
}

void Reader::leave() {
  const OpenTable table = std::move(open_tables_.back());
  open_tables_.pop_back();
  const std::vector<std::string> known_keys(table.known_keys.begin(), table.known_keys.end());
  for (const SourceTable& source : table.sources) {
    for (const auto& [key, node] : *source.table) {
      const std::string name(key.str());
      if (table.known_keys.contains(name)) continue;
      const std::string suggestion = closest_match(name, known_keys);
      add_error(position_of(key.source().begin.line > 0 ? key.source() : node.source(), *source.layer),
                table.path.empty() ? name : key_of(table.path) + "." + name, "unknown-key",
                suggestion.empty() ? "is not a key of this table"
                                   : "is not a key of this table; is \"" + suggestion + "\" meant?");
    }
  }
}

std::size_t Reader::list(const char* member, std::size_t, const char*) {
  const FoundValue found = find(member);
  if (!found.node) return 0;
  const toml::array* array = found.node->as_array();
  if (!array ||
      !std::all_of(array->begin(), array->end(), [](const auto& node) { return node.is_table(); })) {
    add_error(found, member_path(member), {"type", "must be a list of tables, [[" + key_of(member) + "]]"});
    return 0;
  }
  if (array->size() > kMaxListItems) {
    add_error(found, member_path(member), {"value", kTooManyItems});
    return 0;
  }
  record_position(member_path(member), found);
  return array->size();
}

void Reader::item(const char* member, std::size_t index, const std::string& name) {
  const std::string list_path = member_path(member);
  if (named_table_members_.contains(list_path)) {
    open_tables_.push_back(
        open_table(open_table(open_tables_.back().sources, list_path, key_of(member)).sources,
                   list_path + "." + name, name));
    return;
  }
  const FoundValue found = find(member);
  const FoundValue entry{found.node->as_array()->get(index), found.layer};
  OpenTable table;
  table.path = list_path + "[" + std::to_string(index) + "]";
  record_position(table.path, entry);
  table.sources.push_back({entry.node->as_table(), entry.layer});
  open_tables_.push_back(std::move(table));
}

std::vector<std::string> Reader::named_items(const char* member, std::vector<std::string>, const char*) {
  const std::string key = key_of(member);
  open_tables_.back().known_keys.insert(key);
  named_table_members_.insert(member_path(member));
  std::set<std::string> names;
  for (const SourceTable& source :
       open_table(open_tables_.back().sources, member_path(member), key).sources) {
    for (const auto& [name, node] : *source.table) {
      if (node.is_table()) {
        names.emplace(name.str());
      } else {
        add_error({&node, source.layer}, member_path(member) + "." + std::string(name.str()),
                  {"type", "must be a table, [" + key + "." + std::string(name.str()) + "]"});
      }
    }
  }
  if (names.size() > kMaxListItems) {
    add_error(find(member), member_path(member), {"value", kTooManyItems});
    return {};
  }
  return {names.begin(), names.end()};
}

std::string Reader::member_path(const char* member) const {
  return open_tables_.back().path.empty() ? member : open_tables_.back().path + "." + member;
}

void Reader::add_error(Position position, std::string key, const char* code, std::string failure) {
  errors_.push_back({std::move(position), std::move(key), std::move(failure), code});
}

void Reader::add_error(const FoundValue& found, const std::string& member, ParseError failure) {
  invalid_members_.insert(member);
  if (failure.message.empty()) return; // reported elsewhere
  add_error(position_of(found.node->source(), *found.layer), key_of(member), failure.code,
            std::move(failure.message));
}

void Reader::add_missing_error(const char* member) {
  const OpenTable& table = open_tables_.back();
  Position position;
  if (!table.sources.empty())
    position = position_of(table.sources.front().table->source(), *table.sources.front().layer);
  invalid_members_.insert(member_path(member));
  add_error(std::move(position), key_of(member_path(member)), "missing", "is missing");
}

void Reader::record_position(const std::string& member, const FoundValue& found) {
  positions_[member] = position_of(found.node->source(), *found.layer);
}

Reader::FoundValue Reader::find(const char* member) {
  const std::string key = key_of(member);
  open_tables_.back().known_keys.insert(key);
  for (const SourceTable& source : open_tables_.back().sources) {
    if (const toml::node* node = source.table->get(key)) return {node, source.layer};
  }
  return {};
}

Reader::OpenTable Reader::open_table(const std::vector<SourceTable>& sources, const std::string& path,
                                     const std::string& key) {
  OpenTable result;
  result.path = path;
  for (const SourceTable& source : sources) {
    const FoundValue found{source.table->get(key), source.layer};
    if (!found.node) continue;
    if (const toml::table* table = found.node->as_table()) {
      if (result.sources.empty()) record_position(path, found);
      result.sources.push_back({table, source.layer});
    } else if (invalid_members_.insert(path).second) {
      add_error(found, path, {"type", "must be a table"});
    }
  }
  return result;
}

// Does not report an unknown name if the table that should define it could not be read.
std::function<std::optional<std::uint32_t>(const toml::node&, ParseError&)> Reader::reference_parser(
    Table table) {
  return [this, table](const toml::node& node, ParseError& failure) -> std::optional<std::uint32_t> {
    const auto found = parse_ref(node, table, names_, failure);
    if (!found && table_unreadable(table)) failure.message.clear();
    return found;
  };
}

bool Reader::table_unreadable(Table table) const {
  const std::string defining_member = names_.defining_member(table);
  return invalid_members_.contains(defining_member) ||
         std::any_of(invalid_members_.begin(), invalid_members_.end(), [&](const std::string& path) {
           return path.starts_with(defining_member + "[") &&
                  (path.ends_with(".name") || path.ends_with("count"));
         });
}

// Returns whether the member is present. An invalid value leaves `value` unchanged.
template <typename T, typename F>
bool Reader::read_value(const char* member, T& value, F parse) {
  const FoundValue found = find(member);
  if (!found.node) return false;
  record_position(member_path(member), found);
  ParseError failure;
  if (auto parsed = parse(*found.node, failure)) {
    value = *std::move(parsed);
  } else {
    add_error(found, member_path(member), std::move(failure));
  }
  return true;
}

template <typename T, typename F>
void Reader::read_list(const char* member, std::vector<T>& values, F parse) {
  const FoundValue found = find(member);
  if (!found.node) return;
  record_position(member_path(member), found);
  const toml::array* array = found.node->as_array();
  if (!array) return add_error(found, member_path(member), {"type", "must be a list in [brackets]"});
  if (array->size() > kMaxListItems) return add_error(found, member_path(member), {"value", kTooManyItems});
  values.clear();
  for (const toml::node& node : *array) {
    ParseError failure;
    if (auto parsed = parse(node, failure)) {
      values.push_back(*std::move(parsed));
    } else {
      add_error({&node, found.layer}, member_path(member), std::move(failure));
    }
  }
}

} // namespace fernward::toml_document
