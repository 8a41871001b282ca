#include "memcache/meaning.h"

namespace fernward::memcache {

fernward::AttemptResult meaning(std::uint8_t opcode, std::uint16_t status) {
  using fernward::AttemptResult;
  const Does does = command(opcode).does;
  switch (static_cast<Status>(status)) {
    case Status::Ok: return AttemptResult::Ok;
    case Status::NotFound:
      return does == Does::Read || does == Does::ReadTime
                 ? AttemptResult::CacheMiss
                 : AttemptResult::Ok; // the write ran and found no such key
    case Status::Exists:
    case Status::NotStored:
    case Status::NotANumber: return AttemptResult::Ok; // the request ran, but its condition did not hold
    case Status::OutOfMemory:
    case Status::Busy:
    case Status::Temporary: return AttemptResult::Overloaded; // rejected without any change
    case Status::TooLarge:
    case Status::Invalid:
    case Status::WrongServer:
    case Status::AuthError:
    case Status::AuthGoOn:
    case Status::UnknownCommand:
    case Status::NotSupported:
      return AttemptResult::InvalidRequest; // every other server would reject it as well
    case Status::Internal: break;
  }
  return AttemptResult::Error; // a request answered with an unknown status may have run
}

bool silent(std::uint8_t opcode, std::uint16_t status) {
  const Command& c = command(opcode);
  if (!c.quiet) return false;
  if (c.does == Does::Read || c.does == Does::ReadTime)
    return status == static_cast<std::uint16_t>(Status::NotFound);
  return status == static_cast<std::uint16_t>(Status::Ok);
}

Status status_of(End end) {
  switch (end) {
    case End::Refused: return Status::Busy;
    case End::Failed: return Status::Internal;
    case End::Malformed: return Status::Invalid;
    case End::TooLarge: return Status::TooLarge;
    case End::Unknown: return Status::UnknownCommand;
    case End::NotSupported: return Status::NotSupported;
  }
  return Status::Internal;
}

const char* text_of(End end) {
  switch (end) {
    case End::Refused: return "Refused: it has not run, try again later";
    case End::Failed: return "Failed: it may have run";
    case End::Malformed: return "Invalid arguments";
    case End::TooLarge: return "Too large";
    case End::Unknown: return "Unknown command";
    case End::NotSupported: return "Not supported: it would touch every node";
  }
  return "";
}

} // namespace fernward::memcache
