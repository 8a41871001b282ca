// The schema of scenario files: one description of a Spec that the reader, the writer, the setter of single
// values and the key reference visit. See toml_document/visitor.h.
//
// Members have the names of model/spec.h. References to other tables (a zone, a class) are indexes in the
// Spec and names in the file; a referenced table is described before the references to it.
#pragma once

#include "lab/scenario/names.h"
#include "model/spec.h"
#include "toml_document/visitor.h"

namespace fernward::lab {

using toml_document::ChoiceNames;
using toml_document::key_of;
using toml_document::SpecialValue;
using toml_document::Table;
using toml_document::Unit;
using toml_document::Visitor;

// Describes the complete Spec: calls `visitor` for each of its values, which the visitor may change. Visitors
// without the events of a Spec, such as the key reference, visit each kind of event with describe_event().
void describe(Visitor& visitor, model::Spec& spec);

ChoiceNames event_names(); // in the order of the alternatives of model::EventAction
model::EventAction make_event(std::size_t name_index); // the event event_names()[name_index], with defaults
void describe_event(Visitor& visitor, model::EventAction& event);

} // namespace fernward::lab
