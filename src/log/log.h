// Writes structured log lines: an event name and its fields. The rate of lines is limited, and dropped lines
// are counted.
//
//   upstream-ended target=s-1 code=rested answers=12 ms=4031
//   {"event":"upstream-ended","target":"s-1","code":"rested","answers":12,"ms":4031}
//
// Names of events and fields are stable and listed in docs/on-call.md. A value with characters other than
// letters, digits and a few punctuation marks is quoted.
#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace fernward::log {

struct Field { // refers to the key and text passed in, which must outlive the call
  template <std::integral T>
  Field(std::string_view field_key, T value)
      : key(field_key), kind(Kind::Integer), number(static_cast<double>(value)) {}
  Field(std::string_view field_key, double value) : key(field_key), kind(Kind::Decimal), number(value) {}
  Field(std::string_view field_key, std::string_view value) : key(field_key), text(value) {}
  Field(std::string_view field_key, const char* value) : key(field_key), text(value) {}
  Field(std::string_view field_key, const std::string& value) : key(field_key), text(value) {}

  std::string_view key;
  enum class Kind { Text, Integer, Decimal } kind = Kind::Text;
  double number = 0; // rounded to an integer when written
  std::string_view text;
};
using Fields = std::initializer_list<Field>;

// Writes one line to standard error; lines beyond the rate limit are dropped and counted. routine_line() is
// for frequent events, such as one per connection: it leaves a quarter of the burst to line().
void line(std::string_view event, Fields fields = {});
void routine_line(std::string_view event, Fields fields);
// Overload for a number of fields that is only known at run time.
void line(std::string_view event, const Field* fields, std::size_t count);

// Sets the rate limit (a token bucket): the sustained rate, and the number of lines in a burst.
void set_rate_limit(double lines_per_s, double burst_lines);
void set_json_format(bool enabled);      // true: JSON; false: key=value
void enable_routine_lines(bool enabled); // false: routine_line() writes nothing

std::uint64_t dropped_lines(); // lines dropped since the process start

} // namespace fernward::log
