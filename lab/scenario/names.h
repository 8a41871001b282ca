// What the names in a scenario file stand for: zones, kinds, nodes, ...
#pragma once

#include "model/spec.h"
#include "toml_document/visitor.h"

namespace fernward::lab {

namespace tables {
inline constexpr toml_document::Table kZones{0};
inline constexpr toml_document::Table kKinds{1};
inline constexpr toml_document::Table kGroups{2};
inline constexpr toml_document::Table kNodes{3};
inline constexpr toml_document::Table kRouters{4};
inline constexpr toml_document::Table kClasses{5};
inline constexpr toml_document::Table kTenants{6};
} // namespace tables

class SpecNames : public toml_document::Names { // the Spec outlives it
 public:
  explicit SpecNames(const model::Spec& spec) : spec_(spec) {}
  std::optional<std::uint32_t> find(toml_document::Table table, const std::string& name) const override;
  std::string name(toml_document::Table table, std::uint32_t index) const override;
  std::vector<std::string> known(toml_document::Table table) const override;
  const char* what(toml_document::Table table) const override;
  const char* written(toml_document::Table table) const override;
  const char* list(toml_document::Table table) const override;
  const char* hint(toml_document::Table table) const override;

 private:
  const model::Spec& spec_;
};

} // namespace fernward::lab
