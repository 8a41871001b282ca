#include "app_config/router_fleet.h"

#include "app_config/read.h"
#include "toml_document/reader.h"

namespace fernward::app_config {
namespace {

using toml_document::Table;
using toml_document::Unit;

class NoNames : public toml_document::Names { // this file contains no references by name
 public:
  std::optional<std::uint32_t> find(Table, const std::string&) const override { return std::nullopt; }
  std::string name(Table, std::uint32_t) const override { return ""; }
  std::vector<std::string> known_names(Table) const override { return {}; }
  const char* item_noun(Table) const override { return ""; }
  const char* reference_text(Table) const override { return ""; }
  const char* defining_member(Table) const override { return ""; }
};

void describe(toml_document::Visitor& visitor, config::RouterFleetConfig& fleet) {
  visitor.enter("members", "membership of the tier");
  visitor.amount("period_ms", fleet.ping_interval_ms, Unit::Time, "another router is pinged once per period");
  visitor.count("asked", fleet.indirect_ping_count,
                "other routers that are asked to ping one that does not answer", Unit::Number);
  visitor.leave();
  visitor.enter("share", "what the routers exchange and use");
  visitor.flag("ledger", fleet.share_origin_limit, "the limit at the ledger, distributed by demand");
  visitor.flag("count", fleet.use_live_router_count,
               "the number of live routers instead of the configured one, if safe");
  visitor.flag("findings", fleet.share_node_findings,
               "consistent reports of several routers on a cache node");
  visitor.leave();
}

} // namespace

RouterFleetFile parse_router_fleet(std::string_view text, const std::string& file) {
  RouterFleetFile result;
  toml_document::Layers layers;
  if (toml_document::parse_layers(std::string(text), file, "include", toml_document::load_file, result.errors,
                                  layers)) {
    std::vector<toml_document::SourceTable> sources;
    for (const auto& layer : layers) sources.push_back({&layer->table, layer.get()});
    const NoNames names;
    toml_document::Positions positions;
    toml_document::Reader reader(std::move(sources), names, result.errors, positions, {"include"});
    describe(reader, result.fleet);
    reader.finish();
    const auto add_value_error = [&](const char* key, const char* message) {
      const auto found = positions.find(key);
      toml_document::Diagnostic& error = result.errors.emplace_back();
      error.position.file = file;
      if (found != positions.end()) error.position = found->second;
      error.key = toml_document::key_of(key);
      error.message = message;
      error.code = "value";
    };
    if (result.fleet.ping_interval_ms < 50 || result.fleet.ping_interval_ms > 5000)
      add_value_error("members.period_ms", "must be from 50 ms to 5 s");
    if (result.fleet.indirect_ping_count > 8) add_value_error("members.asked", "must be at most 8");
  }
  toml_document::sort_and_limit(result.errors);
  return result;
}

RouterFleetFile load_router_fleet(const std::string& path) {
  if (const auto text = toml_document::load_file(path)) return parse_router_fleet(*text, path);
  RouterFleetFile result;
  result.errors.push_back(unreadable_file(path));
  return result;
}

} // namespace fernward::app_config
