// Fuzzes the reader of scenario files. Any input gives a Spec or errors with a location, and an accepted
// scenario survives a round trip through the writer.
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>

#include "lab/scenario/read.h"

namespace {

void require(bool condition, const char* message) {
  if (condition) return;
  std::fprintf(stderr, "%s\n", message);
  std::abort();
}

constexpr const char* kIncludedFile = R"(
[[zones]]
name = "east"
[[zones]]
name = "west"
[[kinds]]
name = "fast"
[[nodes]]
name = "fast-east"
kind = "fast"
zone = "east"
count = 3
standby = 1
[[routers.groups]]
zone = "west"
[[classes]]
name = "lookup"
[[tenants]]
name = "big"
)";

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace fernward::lab;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  // Small limits, because valid scenarios are written and read again.
  const RunLimits limits{1000, 100, 8};
  const Scenario scenario = read_scenario(text, "fuzz.toml", limits, [](const auto& path) {
    return path == "fleet.toml" ? std::optional<std::string>(kIncludedFile) : std::nullopt;
  });
  for (const Diagnostic& diagnostic : scenario.errors) {
    require(
        diagnostic.position.line > 0 && diagnostic.position.column > 0 && !diagnostic.position.file.empty(),
        "an error without a location");
    require(!diagnostic.key.empty() && !diagnostic.message.empty(), "an error without a key or a message");
  }
  if (!scenario.is_valid()) return 0;
  const std::string written = scenario_text(scenario.spec);
  const Scenario reparsed = read_scenario(written, "again.toml", limits);
  if (!reparsed.is_valid())
    std::fprintf(stderr, "%s\n%s", reparsed.errors.front().to_string().c_str(), written.c_str());
  require(reparsed.is_valid(), "an accepted scenario is rejected after it is written and read again");
  require(scenario_text(reparsed.spec) == written, "the scenario differs after it is written and read again");
  return 0;
}
