#include "lab/scenario/names.h"

#include <array>
#include <charconv>

namespace fernward::lab {

using toml_document::Table;

namespace {

struct TableDescription {
  const char *item_noun, *reference_text, *defining_member, *hint;
};
constexpr std::array<TableDescription, 7> kTableDescriptions{
    {{"zone", "a zone's name", "zones", ""},
     {"kind of node", "a kind's name", "kinds", ""},
     {"group of nodes", "a group's name", "nodes", ""},
     {"node", "nodes, `GROUP-0`", "nodes", ": they are called GROUP-0, GROUP-1, ..."},
     {"router", "routers, `r0`", "routers.groups", ": they are called r0, r1, ..."},
     {"class", "a class's name", "classes", ""},
     {"tenant", "a tenant's name", "tenants", ""}}};

const TableDescription& description_of(Table table) {
  return kTableDescriptions.at(static_cast<std::size_t>(table));
}

template <typename T>
std::optional<std::uint32_t> find_name(const std::vector<T>& table, const std::string& name) {
  for (std::size_t i = 0; i < table.size(); ++i) {
    if (table[i].name == name) return static_cast<std::uint32_t>(i);
  }
  return std::nullopt;
}

template <typename T>
std::vector<std::string> names_of(const std::vector<T>& table) {
  std::vector<std::string> result;
  for (const T& item : table) result.push_back(item.name);
  return result;
}

std::optional<std::uint32_t> parse_uint32(std::string_view text) {
  std::uint32_t number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return number;
}

// Finds node GROUP-i; nodes are numbered as described in model/plan.h.
std::optional<std::uint32_t> find_node(const std::string& name, const model::Spec& spec) {
  const std::size_t dash_position = name.rfind('-');
  if (dash_position == std::string::npos) return std::nullopt;
  const auto number = parse_uint32(std::string_view(name).substr(dash_position + 1));
  if (!number) return std::nullopt;
  std::uint64_t first_of_group = 0;
  for (const model::NodeGroup& group : spec.nodes) {
    const std::uint64_t group_size = std::uint64_t{group.count} + group.standby;
    if (group.name == name.substr(0, dash_position) && *number < group_size &&
        first_of_group + *number < 0xffffffffu) {
      return static_cast<std::uint32_t>(first_of_group + *number);
    }
    first_of_group += group_size;
  }
  return std::nullopt;
}

std::optional<std::uint32_t> find_router(const std::string& name, const model::Spec& spec) {
  if (!name.starts_with('r')) return std::nullopt;
  std::uint64_t router_count = 0;
  for (const model::RouterGroup& group : spec.routers.groups) router_count += group.count;
  const auto number = parse_uint32(std::string_view(name).substr(1));
  return number && *number < router_count ? number : std::nullopt;
}

} // namespace

std::optional<std::uint32_t> SpecNames::find(Table table, const std::string& name) const {
  switch (table) {
    case tables::kZones: return find_name(spec_.zones, name);
    case tables::kKinds: return find_name(spec_.kinds, name);
    case tables::kGroups: return find_name(spec_.nodes, name);
    case tables::kClasses: return find_name(spec_.classes, name);
    case tables::kTenants: return find_name(spec_.tenants, name);
    case tables::kNodes: return find_node(name, spec_);
    case tables::kRouters: return find_router(name, spec_);
  }
  return std::nullopt;
}

std::vector<std::string> SpecNames::known_names(Table table) const {
  switch (table) {
    case tables::kZones: return names_of(spec_.zones);
    case tables::kKinds: return names_of(spec_.kinds);
    case tables::kGroups: return names_of(spec_.nodes);
    case tables::kClasses: return names_of(spec_.classes);
    case tables::kTenants: return names_of(spec_.tenants);
    default: return {};
  }
}

std::string SpecNames::name(Table table, std::uint32_t index) const {
  const auto name_at = [&](const auto& items) {
    return index < items.size() ? items[index].name : std::string();
  };
  switch (table) {
    case tables::kZones: return name_at(spec_.zones);
    case tables::kKinds: return name_at(spec_.kinds);
    case tables::kGroups: return name_at(spec_.nodes);
    case tables::kClasses: return name_at(spec_.classes);
    case tables::kTenants: return name_at(spec_.tenants);
    case tables::kRouters: return std::string("r").append(std::to_string(index));
    case tables::kNodes:
      for (const model::NodeGroup& group : spec_.nodes) {
        if (index < group.count + group.standby) return group.name + "-" + std::to_string(index);
        index -= group.count + group.standby;
      }
  }
  return "";
}

const char* SpecNames::item_noun(Table table) const { return description_of(table).item_noun; }
const char* SpecNames::reference_text(Table table) const { return description_of(table).reference_text; }
const char* SpecNames::defining_member(Table table) const { return description_of(table).defining_member; }
const char* SpecNames::hint(Table table) const { return description_of(table).hint; }

} // namespace fernward::lab
