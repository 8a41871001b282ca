// The HTTP form of a simulated server's response, and deliberately faulty responses.
#pragma once

#include <string>
#include <vector>

#include "lab/shared/body.h"
#include "model/records.h"

namespace fernward::rig {

// What a server responds with.
struct ServerResponse {
  model::ServerOutcome outcome = model::ServerOutcome::Hit;
  bool write = false;
  BodyMetadata made_for;
  double size_bytes = 0;
  std::vector<float> report; // the load report, in the order of `fields`; empty: none
};

// One piece of a response, as it is sent.
struct ResponsePiece {
  double after_ms = 0; // delay after the due time of the response
  std::string bytes;
};
// The bytes of a response and when they are sent.
struct ResponseScript {
  std::vector<ResponsePiece> pieces;
  bool close = false;   // the connection closes after the last piece
  bool reusable = true; // false: the response never ends, so the connection can't be used again
};

// Endings without a response (Cancelled, Lost) return an empty script.
ResponseScript make_script(const BodyCodec& body_codec, const ServerResponse& response,
                           const std::vector<LoadReportField>& fields);
// A faulty response in place of the one that make_script() returns.
ResponseScript make_bad_script(const BodyCodec& body_codec, const ServerResponse& response,
                               const std::vector<LoadReportField>& fields, model::BadResponse kind);

// The field's name in X-Server-Load and in the routers' configuration.
std::string_view field_name(LoadReportField field);

} // namespace fernward::rig
