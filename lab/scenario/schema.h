// The keys of a scenario file: one description of a Spec that the reader, the writer, the setter of single values
// and the reference all walk. See notation/visitor.h.
//
// Members are named as in model/spec.h. References to other tables (a zone, a class) are positions in the Spec and
// names in the file; they point to tables that are described before them.
#pragma once

#include "lab/scenario/names.h"
#include "model/spec.h"
#include "toml_document/visitor.h"

namespace fernward::lab {

using toml_document::key_of;
using toml_document::Table;
using toml_document::Unit;
using toml_document::Visitor;
using toml_document::Word;
using toml_document::Words;

// The whole of it. The variants of events are described through event(), one at a time, for those who need no Spec.
void describe(Visitor& visitor, model::Spec& spec);

Words event_words(); // in the order of model::Happening's alternatives
model::Happening event_of(std::size_t word);
void describe_event(Visitor& visitor, model::Happening& what);

} // namespace fernward::lab
