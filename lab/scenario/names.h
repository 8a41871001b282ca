// What the names in a scenario file stand for: zones, kinds, nodes, ...
#pragma once

#include "model/spec.h"
#include "notation/visitor.h"

namespace fernward::lab {

namespace tables {
inline constexpr notation::Table Zones{0}, Kinds{1}, Groups{2}, Nodes{3}, Routers{4}, Classes{5}, Tenants{6};
}

class SpecNames : public notation::Names { // the Spec outlives it
 public:
  explicit SpecNames(const model::Spec& spec) : spec_(spec) {}
  std::optional<std::uint32_t> find(notation::Table table, const std::string& name) const override;
  std::string name(notation::Table table, std::uint32_t index) const override;
  std::vector<std::string> known(notation::Table table) const override;
  const char* what(notation::Table table) const override;
  const char* written(notation::Table table) const override;
  const char* list(notation::Table table) const override;
  const char* hint(notation::Table table) const override;

 private:
  const model::Spec& spec_;
};

} // namespace fernward::lab
