#include "memcache/frame.h"

#include <array>

#include "memcache/big_endian.h"

namespace fernward::memcache {

namespace {

constexpr CommandInfo kUnknown{"unknown", CommandKind::Unknown, false, false, Opcode::Noop, false};

struct CommandEntry {
  Opcode opcode;
  CommandInfo info;
};

constexpr std::array kCommands{
    CommandEntry{Opcode::Get, {"get", CommandKind::Read, false, false, Opcode::Get, false}},
    CommandEntry{Opcode::GetQ, {"getq", CommandKind::Read, true, false, Opcode::Get, false}},
    CommandEntry{Opcode::GetK, {"getk", CommandKind::Read, false, true, Opcode::GetK, false}},
    CommandEntry{Opcode::GetKQ, {"getkq", CommandKind::Read, true, true, Opcode::GetK, false}},
    CommandEntry{Opcode::Set, {"set", CommandKind::Write, false, false, Opcode::Set, false}},
    CommandEntry{Opcode::SetQ, {"setq", CommandKind::Write, true, false, Opcode::Set, false}},
    CommandEntry{Opcode::Add, {"add", CommandKind::Write, false, false, Opcode::Add, false}},
    CommandEntry{Opcode::AddQ, {"addq", CommandKind::Write, true, false, Opcode::Add, false}},
    CommandEntry{Opcode::Replace, {"replace", CommandKind::Write, false, false, Opcode::Replace, false}},
    CommandEntry{Opcode::ReplaceQ, {"replaceq", CommandKind::Write, true, false, Opcode::Replace, false}},
    CommandEntry{Opcode::Delete, {"delete", CommandKind::Write, false, false, Opcode::Delete, false}},
    CommandEntry{Opcode::DeleteQ, {"deleteq", CommandKind::Write, true, false, Opcode::Delete, false}},
    CommandEntry{Opcode::Increment, {"increment", CommandKind::Write, false, false, Opcode::Increment, true}},
    CommandEntry{Opcode::IncrementQ,
                 {"incrementq", CommandKind::Write, true, false, Opcode::Increment, true}},
    CommandEntry{Opcode::Decrement, {"decrement", CommandKind::Write, false, false, Opcode::Decrement, true}},
    CommandEntry{Opcode::DecrementQ,
                 {"decrementq", CommandKind::Write, true, false, Opcode::Decrement, true}},
    CommandEntry{Opcode::Append, {"append", CommandKind::Write, false, false, Opcode::Append, true}},
    CommandEntry{Opcode::AppendQ, {"appendq", CommandKind::Write, true, false, Opcode::Append, true}},
    CommandEntry{Opcode::Prepend, {"prepend", CommandKind::Write, false, false, Opcode::Prepend, true}},
    CommandEntry{Opcode::PrependQ, {"prependq", CommandKind::Write, true, false, Opcode::Prepend, true}},
    CommandEntry{Opcode::Touch, {"touch", CommandKind::Write, false, false, Opcode::Touch, false}},
    CommandEntry{Opcode::Gat, {"gat", CommandKind::ReadAndTouch, false, false, Opcode::Gat, false}},
    CommandEntry{Opcode::GatQ, {"gatq", CommandKind::ReadAndTouch, true, false, Opcode::Gat, false}},
    CommandEntry{Opcode::GatK, {"gatk", CommandKind::ReadAndTouch, false, true, Opcode::GatK, false}},
    CommandEntry{Opcode::GatKQ, {"gatkq", CommandKind::ReadAndTouch, true, true, Opcode::GatK, false}},
    CommandEntry{Opcode::Noop, {"noop", CommandKind::Local, false, false, Opcode::Noop, false}},
    CommandEntry{Opcode::Quit, {"quit", CommandKind::Local, false, false, Opcode::Quit, false}},
    CommandEntry{Opcode::QuitQ, {"quitq", CommandKind::Local, true, false, Opcode::Quit, false}},
    CommandEntry{Opcode::Version, {"version", CommandKind::Local, false, false, Opcode::Version, false}},
    CommandEntry{Opcode::Verbosity,
                 {"verbosity", CommandKind::Local, false, false, Opcode::Verbosity, false}},
    CommandEntry{Opcode::Stat, {"stat", CommandKind::Stats, false, false, Opcode::Stat, false}},
    CommandEntry{Opcode::Flush, {"flush", CommandKind::AllServers, false, false, Opcode::Flush, false}},
    CommandEntry{Opcode::FlushQ, {"flushq", CommandKind::AllServers, true, false, Opcode::Flush, false}},
    CommandEntry{Opcode::SaslList,
                 {"sasl-list-mechs", CommandKind::Authentication, false, false, Opcode::SaslList, false}},
    CommandEntry{Opcode::SaslAuth,
                 {"sasl-auth", CommandKind::Authentication, false, false, Opcode::SaslAuth, false}},
    CommandEntry{Opcode::SaslStep,
                 {"sasl-step", CommandKind::Authentication, false, false, Opcode::SaslStep, false}},
};

constexpr auto kCommandsByOpcode = [] {
  std::array<CommandInfo, 256> table{};
  table.fill(kUnknown);
  for (const CommandEntry& entry : kCommands) table[static_cast<std::size_t>(entry.opcode)] = entry.info;
  return table;
}();

enum class Presence { None, Required, Optional };

const char* check_format(const Frame& request, std::size_t extras_bytes, Presence key, Presence value) {
  if (request.extras.size() != extras_bytes) return "length of extras does not match the command";
  if (key == Presence::Required && request.key.empty()) return "key missing";
  if (key == Presence::None && !request.key.empty()) return "unexpected key for this command";
  if (value == Presence::None && (!request.value.empty() || request.skipped_value_bytes > 0))
    return "unexpected value for this command";
  return nullptr;
}

} // namespace

const CommandInfo& command_info(std::uint8_t opcode) { return kCommandsByOpcode[opcode]; }

const char* request_format_error(const Frame& request) {
  switch (command_info(request.opcode).non_quiet_opcode) {
    case Opcode::Set:
    case Opcode::Add:
    case Opcode::Replace: return check_format(request, 8, Presence::Required, Presence::Optional);
    case Opcode::Append:
    case Opcode::Prepend: return check_format(request, 0, Presence::Required, Presence::Optional);
    case Opcode::Increment:
    case Opcode::Decrement: return check_format(request, 20, Presence::Required, Presence::None);
    case Opcode::Touch:
    case Opcode::Gat:
    case Opcode::GatK: return check_format(request, 4, Presence::Required, Presence::None);
    case Opcode::Get:
    case Opcode::GetK:
    case Opcode::Delete: return check_format(request, 0, Presence::Required, Presence::None);
    case Opcode::Verbosity: return check_format(request, 4, Presence::None, Presence::None);
    case Opcode::Stat: return check_format(request, 0, Presence::Optional, Presence::None);
    case Opcode::Flush:
      return request.extras.size() == 4 ? check_format(request, 4, Presence::None, Presence::None)
                                        : check_format(request, 0, Presence::None, Presence::None);
    case Opcode::Noop:
      if (command_info(request.opcode).kind == CommandKind::Unknown)
        return nullptr; // the expected format is not known
      [[fallthrough]];
    case Opcode::Quit:
    case Opcode::Version: return check_format(request, 0, Presence::None, Presence::None);
    default: return nullptr;
  }
}

std::uint32_t flags_of(const Frame& frame) {
  const bool has_flags = frame.magic == Magic::Response ? frame.extras.size() == 4 : frame.extras.size() == 8;
  return has_flags ? read_uint32(frame.extras.data()) : 0;
}

std::uint32_t expiration_of(const Frame& request) {
  switch (request.extras.size()) {
    case 4: return read_uint32(request.extras.data());
    case 8: return read_uint32(request.extras.data() + 4);
    case 20: return read_uint32(request.extras.data() + 16);
    default: return 0;
  }
}

} // namespace fernward::memcache
