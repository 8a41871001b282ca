#include "memcache/response_mapping.h"

namespace fernward::memcache {

fernward::AttemptResult attempt_result(std::uint8_t opcode, std::uint16_t status) {
  using fernward::AttemptResult;
  const CommandKind kind = command_info(opcode).kind;
  switch (static_cast<Status>(status)) {
    case Status::Ok: return AttemptResult::Ok;
    case Status::NotFound:
      return kind == CommandKind::Read || kind == CommandKind::ReadAndTouch
                 ? AttemptResult::CacheMiss
                 : AttemptResult::Ok; // the write ran and found no such key
    case Status::Exists:
    case Status::NotStored:
    case Status::NonNumericValue: return AttemptResult::Ok; // the request ran, but its condition did not hold
    case Status::OutOfMemory:
    case Status::Busy:
    case Status::TemporaryFailure: return AttemptResult::Overloaded; // rejected without any change
    case Status::TooLarge:
    case Status::Invalid:
    case Status::WrongServer:
    case Status::AuthError:
    case Status::AuthContinue:
    case Status::UnknownCommand:
    case Status::NotSupported:
      return AttemptResult::InvalidRequest; // every other server would reject it as well
    case Status::InternalError: break;
  }
  return AttemptResult::Error; // a request answered with an unknown status may have run
}

bool may_omit_response(std::uint8_t opcode, std::uint16_t status) {
  const CommandInfo& info = command_info(opcode);
  if (!info.quiet) return false;
  if (info.kind == CommandKind::Read || info.kind == CommandKind::ReadAndTouch)
    return status == static_cast<std::uint16_t>(Status::NotFound);
  return status == static_cast<std::uint16_t>(Status::Ok);
}

Status error_status(ErrorReason reason) {
  switch (reason) {
    case ErrorReason::Rejected: return Status::Busy;
    case ErrorReason::Failed: return Status::InternalError;
    case ErrorReason::Malformed: return Status::Invalid;
    case ErrorReason::TooLarge: return Status::TooLarge;
    case ErrorReason::UnknownCommand: return Status::UnknownCommand;
    case ErrorReason::NotSupported: return Status::NotSupported;
  }
  return Status::InternalError;
}

const char* error_message(ErrorReason reason) {
  switch (reason) {
    case ErrorReason::Rejected: return "Refused: it has not run, try again later";
    case ErrorReason::Failed: return "Failed: it may have run";
    case ErrorReason::Malformed: return "Invalid arguments";
    case ErrorReason::TooLarge: return "Too large";
    case ErrorReason::UnknownCommand: return "Unknown command";
    case ErrorReason::NotSupported: return "Not supported: it would touch every node";
  }
  return "";
}

} // namespace fernward::memcache
