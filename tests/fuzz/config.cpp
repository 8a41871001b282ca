// Fuzzes the reader of an application's configuration file. Any input gives an App or errors with a location
// and a code. An accepted file survives a round trip through the writer, and its rendered form is a valid
// router configuration.
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

void must(bool holds, const char* what) {
  if (holds) return;
  std::fprintf(stderr, "%s\n", what);
  std::abort();
}

std::string as_file(fernward::app_config::App app) {
  const fernward::app_config::AppNames names(app);
  return fernward::toml_document::written(names,
                                          [&](fernward::toml_document::Visitor& v) { describe(v, app); });
}

constexpr const char* kShared = R"(
[limits]
sockets = 300
[profiles.busy.limits]
sockets = 400
)";

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace fernward;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  const auto nothing = [](const char*) -> const char* { return nullptr; };
  const app_config::Setup made = app_config::read(text, "fuzz.toml", nothing, [](const auto& path) {
    return path == "shared.toml" ? std::optional<std::string>(kShared) : std::nullopt;
  });
  for (const auto* faults : {&made.faults, &made.warnings}) {
    for (const auto& fault : *faults) {
      must(fault.at.line > 0 && fault.at.column > 0 && !fault.at.file.empty(), "an error without a location");
      must(!fault.key.empty() && !fault.why.empty() && !fault.code.empty(),
           "an error without a key, reason or code");
    }
  }
  if (!made.sound()) return 0;
  const std::string written = as_file(made.app);
  const app_config::Setup again = app_config::read(written, "again.toml", nothing, nullptr);
  if (!again.sound()) std::fprintf(stderr, "%s\n%s", again.faults.front().coded().c_str(), written.c_str());
  must(again.sound(), "an accepted file is rejected after it is written and read again");
  must(app_config::changes(made.app, again.app).empty(),
       "the settings differ after they are written and read again");
  config::parse(app_config::render(made.app).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                nothing);
  return 0;
}
