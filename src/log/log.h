// Log lines: an event's name and its fields. One function writes them all; a flood is cut and what was cut is
// counted.
//
//   upstream-ended target=s-1 code=rested answers=12 ms=4031
//   {"event":"upstream-ended","target":"s-1","code":"rested","answers":12,"ms":4031}
//
// Names of events and fields are stable: docs/on-call.md lists them. A value with anything but letters,
// digits and plain signs stands in quotes.
#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace fernward::log {

struct Field { // refers to what it is made from, which outlives the call
  template <std::integral T>
  Field(std::string_view k, T value) : key(k), kind(Kind::Whole), number(static_cast<double>(value)) {}
  Field(std::string_view k, double value) : key(k), kind(Kind::Number), number(value) {}
  Field(std::string_view k, std::string_view value) : key(k), text(value) {}
  Field(std::string_view k, const char* value) : key(k), text(value) {}
  Field(std::string_view k, const std::string& value) : key(k), text(value) {}

  std::string_view key;
  enum class Kind { Text, Whole, Number } kind = Kind::Text;
  double number = 0; // a Number is written to a whole one: of milliseconds, say
  std::string_view text;
};
using Fields = std::initializer_list<Field>;

// Writes one line to standard error; lines beyond the rate are dropped and counted. A flood of routine lines
// (one for each connection, say) leaves a quarter of the burst to all others.
void line(std::string_view event, Fields fields = {});
void routine(std::string_view event, Fields fields);
// The same with fields that are put together on the way.
void line(std::string_view event, const Field* fields, std::size_t count);

// Lines that may go out each second, and how many may be saved up.
void limit(double per_second, double burst);
void write_json(bool json);       // in place of key=value
void write_routine(bool routine); // false: no line of that kind

std::uint64_t dropped(); // since the start

} // namespace fernward::log
