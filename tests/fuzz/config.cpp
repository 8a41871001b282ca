// The reader of an application's file takes any bytes: it ends with an App or with faults that have a place and a code,
// and what it takes it can write and read again, and the router can start from.
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
      must(fault.at.line > 0 && fault.at.column > 0 && !fault.at.file.empty(), "a fault without a place");
      must(!fault.key.empty() && !fault.why.empty() && !fault.code.empty(),
           "a fault without key, reason or code");
    }
  }
  if (!made.sound()) return 0;
  const std::string written = as_file(made.app);
  const app_config::Setup again = app_config::read(written, "again.toml", nothing, nullptr);
  if (!again.sound()) std::fprintf(stderr, "%s\n%s", again.faults.front().coded().c_str(), written.c_str());
  must(again.sound(), "what was taken is refused when it is written and read again");
  must(app_config::changes(made.app, again.app).empty(), "written and read again, it says something else");
  config::parse(app_config::render(made.app).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace),
                nothing);
  return 0;
}
