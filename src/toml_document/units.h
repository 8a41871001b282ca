// Quantities with units as written in a file: "750ms", "64KiB", "410/s", "30%".
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace fernward::toml_document {

enum class Unit {
  Number,    // bare
  Time,      // us, ms, s, min, h, d; held in ms
  Bytes,     // B, kB, MB, GB, KiB, MiB, GiB; held in bytes
  Mebibytes, // as Bytes; held in MiB
  Rate,      // /s, /min, /h; held per second
  Share,     // a percentage or a bare number; held as 0 to 1
  ShareRate, // a percentage per time; held as a share per second
};

// Why a value is invalid: a machine-readable code, and a message.
struct ParseError {
  const char* code = "";
  std::string message;
};

// Returns the quantity in its internal unit; none: `failure` is set. A unit is required except for 0 and for
// Number and Share.
std::optional<double> parse_quantity(Unit unit, std::string_view text, ParseError& failure);
// The same for a number without quotes.
std::optional<double> parse_bare_number(Unit unit, double number, ParseError& failure);
// The shortest text that parse_quantity() converts to exactly `value`.
std::string format_quantity(Unit unit, double value);
// The expected form, for messages and the reference: "a time such as \"750ms\"".
const char* unit_example(Unit unit);

// The shortest decimal that parses to exactly `value`.
std::string format_number(double value);

} // namespace fernward::toml_document
