#include "upstream/close_reason.h"

namespace fernward::upstream {

std::string_view log_code(CloseReason reason) {
  switch (reason) {
    case CloseReason::ConnectFailed: return "connect-failed";
    case CloseReason::ConnectTimeout: return "connect-timeout";
    case CloseReason::NoLocalResources: return "not-from-here";
    case CloseReason::BrokenBeforeSent: return "broke-unsent";
    case CloseReason::Reset: return "reset";
    case CloseReason::Truncated: return "cut-off";
    case CloseReason::Malformed: return "malformed";
    case CloseReason::TooLarge: return "too-large";
    case CloseReason::ClientSlow: return "client-slow";
    case CloseReason::BodyLost: return "body-lost";
    case CloseReason::ResponseStalled: return "fell-silent";
    case CloseReason::UploadStalled: return "takes-nothing";
    case CloseReason::CancelledDuringResponse: return "never-ended";
    case CloseReason::CancelledBeforeResponse: return "given-up";
    case CloseReason::LongRemainder: return "long-remains";
    case CloseReason::TrailingBytes: return "bytes-behind";
    case CloseReason::DuplicateResponse: return "repeated-answer";
    case CloseReason::EarlyResponse: return "early-answer";
    case CloseReason::PeerClosed: return "peer-closed";
    case CloseReason::PeerRequestedClose: return "peer-said-close";
    case CloseReason::Stale: return "stale";
    case CloseReason::UnsolicitedBytes: return "unasked-bytes";
    case CloseReason::IdleTimeout: return "idle";
    case CloseReason::Surplus: return "spare";
    case CloseReason::IdleLifetimeExceeded: return "rested";
    case CloseReason::NotInService: return "not-in-service";
    case CloseReason::Restarted: return "restarted";
    case CloseReason::Handover: return "handover";
    case CloseReason::DescriptorsExhausted: return "table-full";
    case CloseReason::EvictedForClient: return "recalled";
  }
  return {};
}

} // namespace fernward::upstream
