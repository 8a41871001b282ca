// The keys of an application's file: one description of an App, from which the reader, the schema, the reference, the
// explanation and the comparison are made. See notation/visitor.h.
#pragma once

#include "notation/visitor.h"
#include "setup/app.h"

namespace fernward::setup {

namespace tables {
inline constexpr notation::Table Zones{0}, Kinds{1}, Classes{2}, Tenants{3};
}

class AppNames : public notation::Names { // the App outlives it
 public:
  explicit AppNames(const App& app) : app_(app) {}
  std::optional<std::uint32_t> find(notation::Table table, const std::string& name) const override;
  std::string name(notation::Table table, std::uint32_t index) const override;
  std::vector<std::string> known(notation::Table table) const override;
  const char* what(notation::Table table) const override;
  const char* written(notation::Table table) const override;
  const char* list(notation::Table table) const override;

 private:
  const App& app_;
};

void describe(notation::Visitor& visitor, App& app);

// Of a key's path: does a reload take it, or does it hold until the next start?
bool reload_takes(const std::string& key);

const char* repeat_word(Repeat repeat);
const char* scope_word(Scope scope);
const char* method_word(Method method);
const char* weight_word(std::size_t weights);
const char* field_word(std::size_t field);

} // namespace fernward::setup
