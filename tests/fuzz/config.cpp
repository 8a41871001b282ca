// Fuzzes the reader of an application's configuration file. Any input gives an AppConfig or errors with a
// location and a code. An accepted file survives a round trip through the writer, and its rendered form is a
// valid router configuration.
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>

#include "app_config/explain.h"
#include "app_config/keys.h"
#include "app_config/read.h"
#include "app_config/render.h"
#include "config/config.h"
#include "toml_document/writer.h"

namespace {

void require(bool condition, const char* message) {
  if (condition) return;
  std::fprintf(stderr, "%s\n", message);
  std::abort();
}

std::string to_config_text(fernward::app_config::AppConfig app) {
  const fernward::app_config::AppConfigNames names(app);
  return fernward::toml_document::to_toml(
      names, [&](fernward::toml_document::Visitor& visitor) { describe(visitor, app); });
}

constexpr const char* kSharedFile = R"(
[limits]
sockets = 300
[profiles.busy.limits]
sockets = 400
)";

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace fernward;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto no_variables = [](const char*) -> const char* { return nullptr; };
  const app_config::LoadedConfig parsed =
      app_config::parse_config(text, "fuzz.toml", no_variables, [](const auto& path) {
        return path == "shared.toml" ? std::optional<std::string>(kSharedFile) : std::nullopt;
      });
  for (const auto* diagnostics : {&parsed.errors, &parsed.warnings}) {
    for (const auto& diagnostic : *diagnostics) {
      require(
          diagnostic.position.line > 0 && diagnostic.position.column > 0 && !diagnostic.position.file.empty(),
          "an error or a warning without a location");
      require(!diagnostic.key.empty() && !diagnostic.message.empty() && !diagnostic.code.empty(),
              "an error or a warning without a key, message or code");
    }
  }
  if (!parsed.valid()) return 0;
  const std::string written = to_config_text(parsed.app);
  const app_config::LoadedConfig reparsed =
      app_config::parse_config(written, "again.toml", no_variables, nullptr);
  if (!reparsed.valid())
    std::fprintf(stderr, "%s\n%s", reparsed.errors.front().to_string_with_code().c_str(), written.c_str());
  require(reparsed.valid(), "an accepted file is rejected after it is written and read again");
  require(app_config::compare(parsed.app, reparsed.app).empty(),
          "the settings differ after they are written and read again");
  config::parse(
      app_config::to_platform_json(parsed.app).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
      no_variables);
  return 0;
}
