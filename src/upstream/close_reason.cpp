#include "upstream/close_reason.h"

namespace fernward::upstream {

std::string_view log_word(CloseReason reason) {
  switch (reason) {
    case CloseReason::ConnectFailed: return "connect-failed";
    case CloseReason::ConnectTimeout: return "connect-timeout";
    case CloseReason::NoLocalResources: return "not-from-here";
    case CloseReason::BrokeUnsent: return "broke-unsent";
    case CloseReason::Reset: return "reset";
    case CloseReason::CutOff: return "cut-off";
    case CloseReason::Malformed: return "malformed";
    case CloseReason::TooLarge: return "too-large";
    case CloseReason::ClientSlow: return "client-slow";
    case CloseReason::BodyLost: return "body-lost";
    case CloseReason::FellSilent: return "fell-silent";
    case CloseReason::TakesNothing: return "takes-nothing";
    case CloseReason::NeverEnded: return "never-ended";
    case CloseReason::GivenUp: return "given-up";
    case CloseReason::LongRemains: return "long-remains";
    case CloseReason::BytesBehind: return "bytes-behind";
    case CloseReason::EarlyAnswer: return "early-answer";
    case CloseReason::PeerClosed: return "peer-closed";
    case CloseReason::PeerSaidClose: return "peer-said-close";
    case CloseReason::Stale: return "stale";
    case CloseReason::UnaskedBytes: return "unasked-bytes";
    case CloseReason::Idle: return "idle";
    case CloseReason::Spare: return "spare";
    case CloseReason::Rested: return "rested";
    case CloseReason::NotInService: return "not-in-service";
    case CloseReason::Restarted: return "restarted";
    case CloseReason::Handover: return "handover";
    case CloseReason::TableFull: return "table-full";
    case CloseReason::Recalled: return "recalled";
  }
  return {};
}

} // namespace fernward::upstream
