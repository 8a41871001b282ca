// The HTTP form of a simulated server's response, and deliberately faulty responses.
#pragma once

#include <string>
#include <vector>

#include "lab/shared/body.h"
#include "model/record.h"

namespace fernward::rig {

// What a server responds with.
struct Reply {
  model::Ending ending = model::Ending::Hit;
  bool write = false;
  BodyFacts made_for;
  double size_bytes = 0;
  std::vector<float> report; // the load report, in the order of `fields`; empty: none
};

// One piece of a response, as it is sent.
struct Piece {
  double after_ms = 0; // delay after the due time of the response
  std::string bytes;
};
// The bytes of a response and when they are sent.
struct Script {
  std::vector<Piece> pieces;
  bool close = false; // the connection closes after the last piece
  bool stays = true;  // false: the response never ends, so the connection can't be used again
};

// Endings without a response (Dropped, Lost) return an empty script.
Script reply(const Bodies& bodies, const Reply& what, const std::vector<LoadReportField>& fields);
Script bad_reply(const Bodies& bodies, const Reply& what, const std::vector<LoadReportField>& fields,
                 model::BadAnswer kind);

std::string_view field_name(LoadReportField field);

} // namespace fernward::rig
