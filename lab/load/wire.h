// The HTTP form of a client's request, and how a client interprets a response.
#pragma once

#include <string>

#include "http/message.h"
#include "lab/shared/body.h"
#include "lab/shared/try_registry.h"
#include "model/clients.h"

namespace fernward::rig {

// The request bytes of a try. `wait_ms`: how long the client waits for the response, counted from the send.
std::string request_text(const model::Spec& spec, const TryRegistry& tries, const model::TryStart& start,
                         double wait_ms);
// What the machines need to know of a try, see TryRegistry.
TryMetadata metadata_of(const model::TryStart& start);

// A response as the client sees it.
struct ClientResponse {
  model::TryOutcome outcome = model::TryOutcome::Failed;
  double retry_after_ms = 0; // 0: none
  bool genuine = true;       // false: served with a body that was not made for the try
  model::TryId made_for = 0; // the try for which a machine made the served body; 0: no machine made it
};
// `try_id`: the try that the response should belong to; a body made for another one is not genuine.
ClientResponse parse_response(const BodyCodec& body_codec, const http::Message& message, model::TryId try_id);

} // namespace fernward::rig
