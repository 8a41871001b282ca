// How a stand-in's answer stands on the wire, and how it is spoilt on purpose.
#pragma once

#include <string>
#include <vector>

#include "lab/shared/body.h"
#include "model/record.h"

namespace fernward::rig {

struct Reply {
  model::Ending ending = model::Ending::Hit;
  bool write = false;
  BodyFacts made_for;
  double size_bytes = 0;
  std::vector<float> report; // in the order of `fields`; empty: none
};

// An answer's bytes, in the pieces in which they go out.
struct Piece {
  double after_ms = 0; // than the answer is due
  std::string bytes;
};
struct Script {
  std::vector<Piece> pieces;
  bool close = false; // the connection ends behind the last piece
  bool stays = true;  // false: its answer never ends, nothing else can come on the connection
};

// Endings without an answer (Dropped, Lost) give an empty script.
Script reply(const Bodies& bodies, const Reply& what, const std::vector<LoadReportField>& fields);
Script bad_reply(const Bodies& bodies, const Reply& what, const std::vector<LoadReportField>& fields,
                 model::BadAnswer kind);

std::string_view field_name(LoadReportField field);

} // namespace fernward::rig
