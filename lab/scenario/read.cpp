#include "lab/scenario/read.h"

#include "lab/scenario/consistency.h"
#include "lab/scenario/schema.h"
#include "toml_document/reader.h"

namespace fernward::lab {

RunLimits virtual_run_limits() { return {}; }
RunLimits socket_run_limits() { return {20000, 1000, 320, 64, true}; }

Scenario read_scenario(std::string_view text, const std::string& file, const RunLimits& limits,
                       const FileLoader& load) {
  Scenario scenario;
  toml_document::Layers layers;
  if (!toml_document::parse_layers(std::string(text), file, "base", load, scenario.errors, layers))
    return scenario;
  std::vector<toml_document::SourceTable> sources;
  for (const auto& layer : layers) sources.push_back({&layer->table, layer.get()});
  const SpecNames names(scenario.spec);
  toml_document::Reader reader(std::move(sources), names, scenario.errors, scenario.positions, {"base"});
  describe(reader, scenario.spec);
  const std::set<std::string> invalid = reader.finish();
  for (Diagnostic& fault : scenario.errors) {
    if (fault.position.file.empty())
      fault.position.file = file; // the fault lies in a part that no file contains
  }
  if (scenario.spec.name.empty()) scenario.spec.name = std::filesystem::path(file).stem().string();
  check_consistency(scenario, file, limits, invalid);
  toml_document::sort_and_limit(scenario.errors);
  return scenario;
}

Scenario read_scenario_file(const std::filesystem::path& path, const RunLimits& limits) {
  const auto text = toml_document::load_file(path);
  if (text) return read_scenario(*text, path.string(), limits, toml_document::load_file);
  Scenario scenario;
  Diagnostic& fault = scenario.errors.emplace_back();
  fault.position.file = path.string();
  fault.key = "(file)";
  fault.message = "can't be read, or is larger than 1 MiB";
  return scenario;
}

} // namespace fernward::lab
