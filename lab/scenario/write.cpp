// Writes a Spec as a scenario file, and the reference of all keys. Both visit the schema.
#include "toml_document/writer.h"

#include "lab/scenario/read.h"
#include "lab/scenario/schema.h"

namespace fernward::lab {

using toml_document::append_section;
using toml_document::append_sections;
using toml_document::ReferenceRow;

namespace {

toml_document::ReferenceRow event_rows(model::EventAction event) {
  const model::Spec empty_spec;
  return toml_document::build_reference(SpecNames(empty_spec), [&](Visitor& v) { describe_event(v, event); });
}

} // namespace

std::string scenario_text(const model::Spec& spec) {
  model::Spec copy = spec;
  return toml_document::to_toml(SpecNames(copy), [&](Visitor& v) { describe(v, copy); });
}

std::string key_reference() {
  model::Spec spec;
  ReferenceRow top = toml_document::build_reference(
      SpecNames(spec), [&](Visitor& v) { describe(v, spec); }, event_names());
  const ReferenceRow node_selector = event_rows(model::KillNodes{}),
                     router_selector = event_rows(model::ReloadRouters{});
  for (ReferenceRow& row : top.children) {
    if (row.key == "events")
      row.children.resize(3); // at, label, what; the other keys depend on the kind of event
  }
  std::string out =
      "### Top of the file\n\n| key | written as | default | meaning |\n| --- | --- | --- | --- |\n";
  out += "| `base` | text |  | a file that supplies what this one leaves out |\n";
  out += toml_document::top_level_rows(top);
  append_sections(top, "", out);
  for (std::size_t i = 0; i < event_names().size(); ++i) {
    ReferenceRow event = event_rows(make_event(i));
    for (ReferenceRow& row : event.children) {
      if (row.is_leaf) continue; // the keys that select nodes or routers are listed once, below
      row.type_text = row.key == "routers" || row.doc.find("router") != std::string::npos
                          ? "routers, see below"
                          : "nodes, see below";
      row.is_leaf = true;
    }
    if (event.children.empty()) {
      out += std::string("\n### Event `") + event_names()[i] + "`\n\nNo further keys.\n";
    } else {
      append_section(event, std::string("Event `") + event_names()[i] + "`", out);
    }
  }
  append_section(node_selector.children.front(), "Which nodes: `who` and `nodes` of an event", out);
  append_section(router_selector.children.front(), "Which routers: `who` and `routers` of an event", out);
  return out;
}

} // namespace fernward::lab
