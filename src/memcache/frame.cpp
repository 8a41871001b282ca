#include "memcache/frame.h"

#include <array>

#include "memcache/numbers.h"

namespace fernward::memcache {

namespace {

constexpr Command kUnknown{"unknown", Does::Unknown, false, false, Opcode::Noop, false};

struct Named {
  Opcode opcode;
  Command command;
};

constexpr std::array kCommands{
    Named{Opcode::Get, {"get", Does::Read, false, false, Opcode::Get, false}},
    Named{Opcode::GetQ, {"getq", Does::Read, true, false, Opcode::Get, false}},
    Named{Opcode::GetK, {"getk", Does::Read, false, true, Opcode::GetK, false}},
    Named{Opcode::GetKQ, {"getkq", Does::Read, true, true, Opcode::GetK, false}},
    Named{Opcode::Set, {"set", Does::Write, false, false, Opcode::Set, false}},
    Named{Opcode::SetQ, {"setq", Does::Write, true, false, Opcode::Set, false}},
    Named{Opcode::Add, {"add", Does::Write, false, false, Opcode::Add, false}},
    Named{Opcode::AddQ, {"addq", Does::Write, true, false, Opcode::Add, false}},
    Named{Opcode::Replace, {"replace", Does::Write, false, false, Opcode::Replace, false}},
    Named{Opcode::ReplaceQ, {"replaceq", Does::Write, true, false, Opcode::Replace, false}},
    Named{Opcode::Delete, {"delete", Does::Write, false, false, Opcode::Delete, false}},
    Named{Opcode::DeleteQ, {"deleteq", Does::Write, true, false, Opcode::Delete, false}},
    Named{Opcode::Increment, {"increment", Does::Write, false, false, Opcode::Increment, true}},
    Named{Opcode::IncrementQ, {"incrementq", Does::Write, true, false, Opcode::Increment, true}},
    Named{Opcode::Decrement, {"decrement", Does::Write, false, false, Opcode::Decrement, true}},
    Named{Opcode::DecrementQ, {"decrementq", Does::Write, true, false, Opcode::Decrement, true}},
    Named{Opcode::Append, {"append", Does::Write, false, false, Opcode::Append, true}},
    Named{Opcode::AppendQ, {"appendq", Does::Write, true, false, Opcode::Append, true}},
    Named{Opcode::Prepend, {"prepend", Does::Write, false, false, Opcode::Prepend, true}},
    Named{Opcode::PrependQ, {"prependq", Does::Write, true, false, Opcode::Prepend, true}},
    Named{Opcode::Touch, {"touch", Does::Write, false, false, Opcode::Touch, false}},
    Named{Opcode::Gat, {"gat", Does::ReadTime, false, false, Opcode::Gat, false}},
    Named{Opcode::GatQ, {"gatq", Does::ReadTime, true, false, Opcode::Gat, false}},
    Named{Opcode::GatK, {"gatk", Does::ReadTime, false, true, Opcode::GatK, false}},
    Named{Opcode::GatKQ, {"gatkq", Does::ReadTime, true, true, Opcode::GatK, false}},
    Named{Opcode::Noop, {"noop", Does::Local, false, false, Opcode::Noop, false}},
    Named{Opcode::Quit, {"quit", Does::Local, false, false, Opcode::Quit, false}},
    Named{Opcode::QuitQ, {"quitq", Does::Local, true, false, Opcode::Quit, false}},
    Named{Opcode::Version, {"version", Does::Local, false, false, Opcode::Version, false}},
    Named{Opcode::Verbosity, {"verbosity", Does::Local, false, false, Opcode::Verbosity, false}},
    Named{Opcode::Stat, {"stat", Does::Stats, false, false, Opcode::Stat, false}},
    Named{Opcode::Flush, {"flush", Does::Everyone, false, false, Opcode::Flush, false}},
    Named{Opcode::FlushQ, {"flushq", Does::Everyone, true, false, Opcode::Flush, false}},
    Named{Opcode::SaslList, {"sasl-list-mechs", Does::Login, false, false, Opcode::SaslList, false}},
    Named{Opcode::SaslAuth, {"sasl-auth", Does::Login, false, false, Opcode::SaslAuth, false}},
    Named{Opcode::SaslStep, {"sasl-step", Does::Login, false, false, Opcode::SaslStep, false}},
};

constexpr auto kTable = [] {
  std::array<Command, 256> table{};
  table.fill(kUnknown);
  for (const Named& named : kCommands) table[static_cast<std::size_t>(named.opcode)] = named.command;
  return table;
}();

enum class Part { None, Needed, Any };

const char* parts(const Frame& f, std::size_t extras, Part key, Part value) {
  if (f.extras.size() != extras) return "length of extras does not match the command";
  if (key == Part::Needed && f.key.empty()) return "key missing";
  if (key == Part::None && !f.key.empty()) return "unexpected key for this command";
  if (value == Part::None && (!f.value.empty() || f.skipped > 0)) return "unexpected value for this command";
  return nullptr;
}

} // namespace

const Command& command(std::uint8_t opcode) { return kTable[opcode]; }

const char* misshapen(const Frame& request) {
  switch (command(request.opcode).loud) {
    case Opcode::Set:
    case Opcode::Add:
    case Opcode::Replace: return parts(request, 8, Part::Needed, Part::Any);
    case Opcode::Append:
    case Opcode::Prepend: return parts(request, 0, Part::Needed, Part::Any);
    case Opcode::Increment:
    case Opcode::Decrement: return parts(request, 20, Part::Needed, Part::None);
    case Opcode::Touch:
    case Opcode::Gat:
    case Opcode::GatK: return parts(request, 4, Part::Needed, Part::None);
    case Opcode::Get:
    case Opcode::GetK:
    case Opcode::Delete: return parts(request, 0, Part::Needed, Part::None);
    case Opcode::Verbosity: return parts(request, 4, Part::None, Part::None);
    case Opcode::Stat: return parts(request, 0, Part::Any, Part::None);
    case Opcode::Flush:
      return request.extras.size() == 4 ? parts(request, 4, Part::None, Part::None)
                                        : parts(request, 0, Part::None, Part::None);
    case Opcode::Noop:
      if (command(request.opcode).does == Does::Unknown) return nullptr; // the expected format is not known
      [[fallthrough]];
    case Opcode::Quit:
    case Opcode::Version: return parts(request, 0, Part::None, Part::None);
    default: return nullptr;
  }
}

std::uint32_t flags_of(const Frame& f) {
  const bool carries = f.magic == Magic::Response ? f.extras.size() == 4 : f.extras.size() == 8;
  return carries ? read32(f.extras.data()) : 0;
}

std::uint32_t lifetime_of(const Frame& request) {
  switch (request.extras.size()) {
    case 4: return read32(request.extras.data());
    case 8: return read32(request.extras.data() + 4);
    case 20: return read32(request.extras.data() + 16);
    default: return 0;
  }
}

} // namespace fernward::memcache
