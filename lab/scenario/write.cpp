// Writes a Spec as a scenario file, and the reference of all keys. Both visit the schema.
#include "toml_document/writer.h"

#include "lab/scenario/read.h"
#include "lab/scenario/schema.h"

namespace fernward::lab {

using toml_document::Row;
using toml_document::section;
using toml_document::sections;

namespace {

toml_document::Row rows_of(model::Happening what) {
  const model::Spec none;
  return toml_document::reference(SpecNames(none), [&](Visitor& v) { describe_event(v, what); });
}

} // namespace

std::string scenario_text(const model::Spec& spec) {
  model::Spec copy = spec;
  return toml_document::written(SpecNames(copy), [&](Visitor& v) { describe(v, copy); });
}

std::string key_reference() {
  model::Spec spec;
  Row top = toml_document::reference(
      SpecNames(spec), [&](Visitor& v) { describe(v, spec); }, event_words());
  const Row which_nodes = rows_of(model::KillNodes{}), which_routers = rows_of(model::ReloadRouters{});
  for (Row& row : top.children) {
    if (row.key == "events")
      row.children.resize(3); // at, label, what; the other keys depend on the kind of event
  }
  std::string out =
      "### Top of the file\n\n| key | written as | default | meaning |\n| --- | --- | --- | --- |\n";
  out += "| `base` | text |  | a file that supplies what this one leaves out |\n";
  out += toml_document::leading(top);
  sections(top, "", out);
  for (std::size_t i = 0; i < event_words().size(); ++i) {
    Row event = rows_of(event_of(i));
    for (Row& row : event.children) {
      if (row.is_leaf) continue; // the keys that select nodes or routers are listed once, below
      row.written = row.key == "routers" || row.doc.find("router") != std::string::npos ? "routers, see below"
                                                                                        : "nodes, see below";
      row.is_leaf = true;
    }
    if (event.children.empty()) {
      out += std::string("\n### Event `") + event_words()[i] + "`\n\nNo further keys.\n";
    } else {
      section(event, std::string("Event `") + event_words()[i] + "`", out);
    }
  }
  section(which_nodes.children.front(), "Which nodes: `who` and `nodes` of an event", out);
  section(which_routers.children.front(), "Which routers: `who` and `routers` of an event", out);
  return out;
}

} // namespace fernward::lab
