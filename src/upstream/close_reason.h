// Why a connection to an upstream endpoint was closed.
#pragma once

#include <string_view>

namespace fernward::upstream {

// docs/on-call.md lists the words and what they mean; .ci/pages compares both ways.
enum class CloseReason {
  // Nothing of a request was sent.
  ConnectFailed,    // refused, or unreachable
  ConnectTimeout,   // not up within the connect time-out
  NoLocalResources, // no local port or memory
  // During a request.
  BrokeUnsent,  // before the request's last byte had left
  Reset,        // while a response was due
  CutOff,       // the endpoint ended its sending in the middle of a response
  Malformed,    // the response could not be read
  TooLarge,     // the response is longer than limits.answer_bytes
  ClientSlow,   // cancelled while its client took nothing
  BodyLost,     // the rest of the request's body can't be had
  FellSilent,   // nothing more of a response that had begun
  TakesNothing, // nothing more of a request body was taken
  NeverEnded,   // cancelled with a part of the response there
  GivenUp,      // cancelled before any of the response was there
  // After a response, or while idle.
  LongRemains,   // an unwanted response with too much left to discard
  BytesBehind,   // more than the response was sent
  EarlyAnswer,   // a response before the request was out
  PeerClosed,    // by the endpoint, while idle
  PeerSaidClose, // by the endpoint, with its response
  Stale,         // found closed as it was to be reused
  UnaskedBytes,  // bytes with no request
  Idle,          // unused for the configured time
  Spare,         // origin only: another one was idle too
  Rested,        // idle for longer than the endpoint is believed to keep it
  NotInService,  // the endpoint has left the list, or drains
  Restarted,     // the endpoint has a new start or address
  // Its descriptor was needed.
  Handover,  // for the new process of a hot restart
  TableFull, // this process had none left
  Recalled,  // the clients' side needed it
};

/// The value of `code=` in the log.
std::string_view log_word(CloseReason reason);

} // namespace fernward::upstream
