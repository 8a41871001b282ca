#include "toml_document/reader.h"

#include <algorithm>

#include "toml_document/value.h"

namespace fernward::toml_document {
namespace {

constexpr std::size_t kMostItems = 10000; // of one list
constexpr const char* kTooMany = "has more than 10000 items";

} // namespace

Reader::Reader(std::vector<Source> sources, const Names& names, Faults& faults, Places& places,
               std::set<std::string> apart)
    : names_(names), faults_(faults), places_(places) {
  parts_.push_back({std::move(sources), "", std::move(apart)});
}

std::set<std::string> Reader::close() {
  leave();
  return std::move(broken_);
}

void Reader::amount(const char* member, double& value, Unit unit, const char*, Word word) {
  leaf(member, value, [&](const toml::node& n, Why& why) { return take_amount(n, unit, word, why); });
}
void Reader::count(const char* member, std::uint32_t& value, const char*, Unit unit) {
  leaf(member, value, [&](const toml::node& n, Why& why) { return take_count(n, unit, why); });
}
void Reader::seed(const char* member, std::uint64_t& value, const char*) { leaf(member, value, take_seed); }
void Reader::text(const char* member, std::string& value, bool needed, const char*) {
  if (!leaf(member, value, take_text) && needed) missing(member);
}
void Reader::texts(const char* member, std::vector<std::string>& values, const char*) {
  many(member, values, take_text);
}
void Reader::flag(const char* member, bool& value, const char*) { leaf(member, value, take_flag); }
void Reader::choice(const char* member, std::size_t& value, Words words, bool needed, const char*) {
  const bool given =
      leaf(member, value, [&](const toml::node& n, Why& why) { return take_choice(n, words, why); });
  if (!given && needed) missing(member);
}
void Reader::choices(const char* member, std::vector<std::size_t>& values, Words words, const char*) {
  many(member, values, [&](const toml::node& n, Why& why) { return take_choice(n, words, why); });
}
void Reader::ref(const char* member, std::uint32_t& value, Table table, bool needed, const char*) {
  const bool given = leaf(member, value, reference(table));
  if (!given && needed) missing(member);
}
void Reader::refs(const char* member, std::vector<std::uint32_t>& values, Table table, const char*) {
  many(member, values, reference(table));
}
bool Reader::present(const char* member, bool) { return find(member).node != nullptr; }

void Reader::enter(const char* member, const char*) {
  const std::string key = key_of(member);
  parts_.back().known.insert(key);
  parts_.push_back(part_of(parts_.back().tables, path(member), key));
}

void Reader::leave() {
  const Part part = std::move(parts_.back());
  parts_.pop_back();
  const std::vector<std::string> known(part.known.begin(), part.known.end());
  for (const Source& source : part.tables) {
    for (const auto& [key, node] : *source.table) {
      const std::string name(key.str());
      if (part.known.contains(name)) continue;
      const std::string near = nearest(name, known);
      fault(position(key.source().begin.line > 0 ? key.source() : node.source(), *source.layer),
            part.path.empty() ? name : key_of(part.path) + "." + name, "unknown-key",
            near.empty() ? "is not a key of this table" : "is no key; is \"" + near + "\" meant?");
    }
  }
}

std::size_t Reader::list(const char* member, std::size_t, const char*) {
  const Found found = find(member);
  if (!found.node) return 0;
  const toml::array* array = found.node->as_array();
  if (!array || !std::all_of(array->begin(), array->end(), [](const auto& n) { return n.is_table(); })) {
    fault(found, path(member), {"type", "must be a list of tables, [[" + key_of(member) + "]]"});
    return 0;
  }
  if (array->size() > kMostItems) {
    fault(found, path(member), {"value", kTooMany});
    return 0;
  }
  note(path(member), found);
  return array->size();
}

void Reader::item(const char* member, std::size_t index, const std::string& name) {
  const std::string all = path(member);
  if (tables_.contains(all)) {
    parts_.push_back(
        part_of(part_of(parts_.back().tables, all, key_of(member)).tables, all + "." + name, name));
    return;
  }
  const Found found = find(member);
  const Found one{found.node->as_array()->get(index), found.layer};
  Part part;
  part.path = all + "[" + std::to_string(index) + "]";
  note(part.path, one);
  part.tables.push_back({one.node->as_table(), one.layer});
  parts_.push_back(std::move(part));
}

std::vector<std::string> Reader::named(const char* member, std::vector<std::string>, const char*) {
  const std::string key = key_of(member);
  parts_.back().known.insert(key);
  tables_.insert(path(member));
  std::set<std::string> names;
  for (const Source& source : part_of(parts_.back().tables, path(member), key).tables) {
    for (const auto& [name, node] : *source.table) {
      if (node.is_table()) {
        names.emplace(name.str());
      } else {
        fault({&node, source.layer}, path(member) + "." + std::string(name.str()),
              {"type", "must be a table, [" + key + "." + std::string(name.str()) + "]"});
      }
    }
  }
  if (names.size() > kMostItems) {
    fault(find(member), path(member), {"value", kTooMany});
    return {};
  }
  return {names.begin(), names.end()};
}

std::string Reader::path(const char* member) const {
  return parts_.back().path.empty() ? member : parts_.back().path + "." + member;
}

void Reader::fault(Position at, std::string key, const char* code, std::string why) {
  faults_.push_back({std::move(at), std::move(key), std::move(why), code});
}

void Reader::fault(const Found& found, const std::string& member, Why why) {
  broken_.insert(member);
  if (why.text.empty()) return; // reported elsewhere
  fault(position(found.node->source(), *found.layer), key_of(member), why.code, std::move(why.text));
}

void Reader::missing(const char* member) {
  const Part& part = parts_.back();
  Position at;
  if (!part.tables.empty()) at = position(part.tables.front().table->source(), *part.tables.front().layer);
  broken_.insert(path(member));
  fault(std::move(at), key_of(path(member)), "missing", "is missing");
}

void Reader::note(const std::string& member, const Found& found) {
  places_[member] = position(found.node->source(), *found.layer);
}

Reader::Found Reader::find(const char* member) {
  const std::string key = key_of(member);
  parts_.back().known.insert(key);
  for (const Source& source : parts_.back().tables) {
    if (const toml::node* node = source.table->get(key)) return {node, source.layer};
  }
  return {};
}

Reader::Part Reader::part_of(const std::vector<Source>& sources, const std::string& path,
                             const std::string& key) {
  Part part;
  part.path = path;
  for (const Source& source : sources) {
    const Found found{source.table->get(key), source.layer};
    if (!found.node) continue;
    if (const toml::table* table = found.node->as_table()) {
      if (part.tables.empty()) note(path, found);
      part.tables.push_back({table, source.layer});
    } else if (broken_.insert(path).second) {
      fault(found, path, {"type", "must be a table"});
    }
  }
  return part;
}

// Does not report an unknown name if the table that should define it could not be read.
std::function<std::optional<std::uint32_t>(const toml::node&, Why&)> Reader::reference(Table table) {
  return [this, table](const toml::node& node, Why& why) -> std::optional<std::uint32_t> {
    const auto found = take_ref(node, table, names_, why);
    if (!found && unreadable(table)) why.text.clear();
    return found;
  };
}

bool Reader::unreadable(Table table) const {
  const std::string list = names_.list(table);
  return broken_.contains(list) || std::any_of(broken_.begin(), broken_.end(), [&](const std::string& path) {
           return path.starts_with(list + "[") && (path.ends_with(".name") || path.ends_with("count"));
         });
}

// Returns whether the member is present. An invalid value leaves `value` unchanged.
template <typename T, typename F>
bool Reader::leaf(const char* member, T& value, F take) {
  const Found found = find(member);
  if (!found.node) return false;
  note(path(member), found);
  Why why;
  if (auto taken = take(*found.node, why)) {
    value = *std::move(taken);
  } else {
    fault(found, path(member), std::move(why));
  }
  return true;
}

template <typename T, typename F>
void Reader::many(const char* member, std::vector<T>& values, F take) {
  const Found found = find(member);
  if (!found.node) return;
  note(path(member), found);
  const toml::array* array = found.node->as_array();
  if (!array) return fault(found, path(member), {"type", "must be a list in [brackets]"});
  if (array->size() > kMostItems) return fault(found, path(member), {"value", kTooMany});
  values.clear();
  for (const toml::node& node : *array) {
    Why why;
    if (auto taken = take(node, why)) {
      values.push_back(*std::move(taken));
    } else {
      fault({&node, found.layer}, path(member), std::move(why));
    }
  }
}

} // namespace fernward::toml_document
