// The keys of an application's file. The parser, the schema, the reference, the explanation and the
// comparison all use this one description of AppConfig. See toml_document/visitor.h.
#pragma once

#include "app_config/app.h"
#include "toml_document/visitor.h"

namespace fernward::app_config {

namespace tables {
inline constexpr toml_document::Table kZones{0};
inline constexpr toml_document::Table kKinds{1};
inline constexpr toml_document::Table kClasses{2};
inline constexpr toml_document::Table kTenants{3};
} // namespace tables

// Resolves the names defined in an AppConfig, which must outlive this object.
class AppConfigNames : public toml_document::Names {
 public:
  explicit AppConfigNames(const AppConfig& app) : app_(app) {}
  std::optional<std::uint32_t> find(toml_document::Table table, const std::string& name) const override;
  std::string name(toml_document::Table table, std::uint32_t index) const override;
  std::vector<std::string> known_names(toml_document::Table table) const override;
  const char* item_noun(toml_document::Table table) const override;
  const char* reference_text(toml_document::Table table) const override;
  const char* defining_member(toml_document::Table table) const override;

 private:
  const AppConfig& app_;
};

void describe(toml_document::Visitor& visitor, AppConfig& app);

// Whether a reload can change the key; otherwise the change needs a restart. `key`: the key's path.
bool reloadable(const std::string& key);

const char* idempotency_name(Idempotency idempotency);
const char* idempotency_scope_name(IdempotencyScope scope);
const char* method_name(Method method);
const char* weight_kind_name(std::size_t weight_kind);
const char* load_report_field_name(std::size_t field);

} // namespace fernward::app_config
