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
  BrokenBeforeSent,        // before the request's last byte was sent
  Reset,                   // while a response was expected
  Truncated,               // the endpoint ended its stream before the response was complete
  Malformed,               // the response could not be parsed
  TooLarge,                // the head is too large, or the body exceeds `limits.answer_bytes`
  ClientSlow,              // cancelled while its client did not read the response
  BodyLost,                // the remaining bytes of the request's body are unavailable
  ResponseStalled,         // no further bytes of a response that had started
  UploadStalled,           // the endpoint stopped reading the request body
  CancelledDuringResponse, // cancelled after part of the response was received
  CancelledBeforeResponse, // cancelled before any of the response was received
  // After a response, or while idle.
  LongRemainder,        // an unneeded response with too many bytes left to discard
  TrailingBytes,        // the endpoint sent more bytes than the response
  DuplicateResponse,    // the previous response a second time, in place of the expected one
  EarlyResponse,        // a response before the request was sent completely
  PeerClosed,           // by the endpoint, while idle
  PeerRequestedClose,   // requested by the endpoint in its response
  Stale,                // found closed, or with unread bytes, when it was to be reused
  UnsolicitedBytes,     // received bytes without a request
  IdleTimeout,          // idle for the configured time
  Surplus,              // origin only: another connection was idle as well
  IdleLifetimeExceeded, // idle for longer than the endpoint's estimated idle timeout
  NotInService,         // the endpoint was removed from the list, or is draining
  Restarted,            // the endpoint was restarted or has a new address
  // To free its descriptor.
  Handover,             // for the new process of a hot restart
  DescriptorsExhausted, // this process had no descriptor left
  EvictedForClient,     // needed for a client connection
};

/// The value of `code=` in the log.
std::string_view log_code(CloseReason reason);

} // namespace fernward::upstream
