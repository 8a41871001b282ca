#include "lab/scenario/read.h"

#include "lab/scenario/schema.h"
#include "lab/scenario/sound.h"
#include "toml_document/reader.h"

namespace fernward::lab {

Offer offer_virtual() { return {}; }
Offer offer_sockets() { return {20000, 1000, 320, 64, true}; }

Scenario read_scenario(std::string_view text, const std::string& file, const Offer& offer,
                       const Loader& load) {
  Scenario scenario;
  toml_document::Layers layers;
  if (!toml_document::parse_layers(std::string(text), file, "base", load, scenario.faults, layers))
    return scenario;
  std::vector<toml_document::Source> sources;
  for (const auto& layer : layers) sources.push_back({&layer->table, layer.get()});
  const SpecNames names(scenario.spec);
  toml_document::Reader reader(std::move(sources), names, scenario.faults, scenario.places, {"base"});
  describe(reader, scenario.spec);
  const std::set<std::string> broken = reader.close();
  for (Fault& fault : scenario.faults) {
    if (fault.at.file.empty()) fault.at.file = file; // the fault lies in a part that no file contains
  }
  if (scenario.spec.name.empty()) scenario.spec.name = std::filesystem::path(file).stem().string();
  check_sound(scenario, file, offer, broken);
  toml_document::tidy(scenario.faults);
  return scenario;
}

Scenario read_scenario_file(const std::filesystem::path& path, const Offer& offer) {
  const auto text = toml_document::load_file(path);
  if (text) return read_scenario(*text, path.string(), offer, toml_document::load_file);
  Scenario scenario;
  Fault& fault = scenario.faults.emplace_back();
  fault.at.file = path.string();
  fault.key = "(file)";
  fault.why = "can't be read, or is larger than 1 MiB";
  return scenario;
}

} // namespace fernward::lab
