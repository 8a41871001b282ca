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
class AppNames : public toml_document::Names {
 public:
  explicit AppNames(const App& app) : app_(app) {}
  std::optional<std::uint32_t> find(toml_document::Table table, const std::string& name) const override;
  std::string name(toml_document::Table table, std::uint32_t index) const override;
  std::vector<std::string> known(toml_document::Table table) const override;
  const char* what(toml_document::Table table) const override;
  const char* written(toml_document::Table table) const override;
  const char* list(toml_document::Table table) const override;

 private:
  const App& app_;
};

void describe(toml_document::Visitor& visitor, App& app);

// Whether a reload can change the key; otherwise the change needs a restart. `key`: the key's path.
bool reload_takes(const std::string& key);

const char* repeat_word(Idempotency repeat);
const char* scope_word(IdempotencyScope scope);
const char* method_word(Method method);
const char* weight_word(std::size_t weights);
const char* field_word(std::size_t field);

} // namespace fernward::app_config
