// Fuzzes the reader of scenario files. Any input gives a Spec or errors with a location, and an accepted
// scenario survives a round trip through the writer.
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string_view>

#include "lab/scenario/read.h"

namespace {

void must(bool holds, const char* what) {
  if (holds) return;
  std::fprintf(stderr, "%s\n", what);
  std::abort();
}

constexpr const char* kBase = R"(
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
  const Offer offer{1000, 100, 8};
  const Scenario scenario = read_scenario(text, "fuzz.toml", offer, [](const auto& path) {
    return path == "fleet.toml" ? std::optional<std::string>(kBase) : std::nullopt;
  });
  for (const Fault& fault : scenario.faults) {
    must(fault.at.line > 0 && fault.at.column > 0 && !fault.at.file.empty(), "an error without a location");
    must(!fault.key.empty() && !fault.why.empty(), "an error without a key or a reason");
  }
  if (!scenario.sound()) return 0;
  const std::string written = scenario_text(scenario.spec);
  const Scenario again = read_scenario(written, "again.toml", offer);
  if (!again.sound()) std::fprintf(stderr, "%s\n%s", again.faults.front().text().c_str(), written.c_str());
  must(again.sound(), "an accepted scenario is rejected after it is written and read again");
  must(scenario_text(again.spec) == written, "the scenario differs after it is written and read again");
  return 0;
}
