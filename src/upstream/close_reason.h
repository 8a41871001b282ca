// Why a connection to an upstream endpoint was closed.
#pragma once

#include <string_view>

namespace fernward::upstream {

// docs/on-call.md lists the log codes and their meaning; .ci/pages checks that both lists agree.
enum class CloseReason {
  // Before any byte of a request was sent.
  ConnectFailed,    // refused, or unreachable
  ConnectTimeout,   // not established within the connect timeout
  NoLocalResources, // no local port or memory
  // During a request.
  BrokeUnsent,  // before the request's last byte was sent
  Reset,        // while a response was expected
  CutOff,       // the endpoint ended its stream before the response was complete
  Malformed,    // the response could not be parsed
  TooLarge,     // the response is longer than limits.answer_bytes
  ClientSlow,   // cancelled while its client did not read the response
  BodyLost,     // the rest of the request's body is unavailable
  FellSilent,   // no further bytes of a response that had started
  TakesNothing, // the endpoint stopped reading the request body
  NeverEnded,   // cancelled after part of the response was received
  GivenUp,      // cancelled before any of the response was received
  // After a response, or while idle.
  LongRemains,   // an unneeded response with too many bytes left to discard
  BytesBehind,   // the endpoint sent more bytes than the response
  EarlyAnswer,   // a response before the request was sent completely
  PeerClosed,    // by the endpoint, while idle
  PeerSaidClose, // requested by the endpoint in its response
  Stale,         // found closed when it was to be reused
  UnaskedBytes,  // received bytes without a request
  Idle,          // idle for the configured time
  Spare,         // origin only: another connection was idle as well
  Rested,        // idle for longer than the endpoint's estimated idle timeout
  NotInService,  // the endpoint was removed from the list, or is draining
  Restarted,     // the endpoint was restarted or has a new address
  // To free its descriptor.
  Handover,  // for the new process of a hot restart
  TableFull, // this process had no descriptor left
  Recalled,  // needed for a client connection
};

/// The value of `code=` in the log.
std::string_view log_word(CloseReason reason);

} // namespace fernward::upstream
