// Why a connection to an upstream endpoint was closed.
#pragma once

#include <string_view>

namespace fernward::upstream {

// docs/on-call.md lists the words and what they mean; .ci/pages compares both ways.
enum class CloseReason {
  // Nothing of a request was sent.
  ConnectFailed,
  ConnectTimeout,
  NoLocalResources,
  // During a request.
  BrokeUnsent,
  Reset,
  CutOff,
  Malformed,
  TooLarge,
  ClientSlow,
  BodyLost,
  FellSilent,
  TakesNothing,
  NeverEnded,
  GivenUp,
  // After a response, or while idle.
  LongRemains,
  BytesBehind,
  EarlyAnswer,
  PeerClosed,
  PeerSaidClose,
  Stale,
  UnaskedBytes,
  Idle,
  Spare,
  Rested,
  NotInService,
  Restarted,
  // Its descriptor was needed.
  Handover,
  TableFull,
  Recalled,
};

/// The value of `code=` in the log.
std::string_view log_word(CloseReason reason);

} // namespace fernward::upstream
