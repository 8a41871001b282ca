#include "app_config/fleet.h"

#include "app_config/read.h"
#include "toml_document/reader.h"

namespace fernward::app_config {
namespace {

using toml_document::Table;
using toml_document::Unit;

class NoNames : public toml_document::Names { // this file has no references by name
 public:
  std::optional<std::uint32_t> find(Table, const std::string&) const override { return std::nullopt; }
  std::string name(Table, std::uint32_t) const override { return ""; }
  std::vector<std::string> known(Table) const override { return {}; }
  const char* what(Table) const override { return ""; }
  const char* written(Table) const override { return ""; }
  const char* list(Table) const override { return ""; }
};

void describe(toml_document::Visitor& v, config::Fleet& f) {
  v.enter("members", "membership of the tier");
  v.amount("period_ms", f.period_ms, Unit::Time, "another router is pinged once per period");
  v.count("asked", f.asked, "other routers that are asked to ping one that does not answer", Unit::Number);
  v.leave();
  v.enter("share", "what the routers exchange and use");
  v.flag("ledger", f.ledger, "the limit at the ledger, distributed by demand");
  v.flag("count", f.count, "the number of live routers instead of the configured one, if safe");
  v.flag("findings", f.findings, "consistent reports of several routers on a cache node");
  v.leave();
}

} // namespace

FleetFile read_fleet(std::string_view text, const std::string& file) {
  FleetFile read;
  toml_document::Layers layers;
  if (toml_document::parse_layers(std::string(text), file, "include", toml_document::load_file, read.faults,
                                  layers)) {
    std::vector<toml_document::Source> sources;
    for (const auto& layer : layers) sources.push_back({&layer->table, layer.get()});
    const NoNames names;
    toml_document::Places places;
    toml_document::Reader reader(std::move(sources), names, read.faults, places, {"include"});
    describe(reader, read.fleet);
    reader.close();
    const auto wrong = [&](const char* key, const char* why) {
      const auto found = places.find(key);
      toml_document::Fault& fault = read.faults.emplace_back();
      fault.at.file = file;
      if (found != places.end()) fault.at = found->second;
      fault.key = toml_document::key_of(key);
      fault.why = why;
      fault.code = "value";
    };
    if (read.fleet.period_ms < 50 || read.fleet.period_ms > 5000)
      wrong("members.period_ms", "must be from 50 ms to 5 s");
    if (read.fleet.asked > 8) wrong("members.asked", "must be at most 8");
  }
  toml_document::tidy(read.faults);
  return read;
}

FleetFile read_fleet_file(const std::string& path) {
  if (const auto text = toml_document::load_file(path)) return read_fleet(*text, path);
  FleetFile read;
  read.faults.push_back(unreadable(path));
  return read;
}

} // namespace fernward::app_config
