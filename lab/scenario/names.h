// Resolves the names in a scenario file (zones, kinds, nodes, ...) to indexes in the Spec, and back.
#pragma once

#include "model/spec.h"
#include "toml_document/visitor.h"

namespace fernward::lab {

// The tables whose entries a scenario file refers to by name.
namespace tables {
inline constexpr toml_document::Table kZones{0};
inline constexpr toml_document::Table kKinds{1};
inline constexpr toml_document::Table kGroups{2};
inline constexpr toml_document::Table kNodes{3};
inline constexpr toml_document::Table kRouters{4};
inline constexpr toml_document::Table kClasses{5};
inline constexpr toml_document::Table kTenants{6};
} // namespace tables

// Looks up the names of the entries of a Spec, as far as the Spec has been read. The Spec must outlive it.
class SpecNames : public toml_document::Names {
 public:
  explicit SpecNames(const model::Spec& spec) : spec_(spec) {}
  std::optional<std::uint32_t> find(toml_document::Table table, const std::string& name) const override;
  std::string name(toml_document::Table table, std::uint32_t index) const override;
  std::vector<std::string> known_names(toml_document::Table table) const override;
  const char* item_noun(toml_document::Table table) const override;
  const char* reference_text(toml_document::Table table) const override;
  const char* defining_member(toml_document::Table table) const override;
  const char* hint(toml_document::Table table) const override;

 private:
  const model::Spec& spec_;
};

} // namespace fernward::lab
