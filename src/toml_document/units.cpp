#include "toml_document/units.h"

#include <array>
#include <charconv>
#include <cmath>
#include <span>

namespace fernward::toml_document {
namespace {

struct Suffix {
  std::string_view text;
  double factor; // internal value = written value * factor
};

constexpr std::array<Suffix, 6> kTimeSuffixes{
    {{"d", 86400e3}, {"h", 3600e3}, {"min", 60e3}, {"s", 1e3}, {"ms", 1}, {"us", 1e-3}}};
constexpr std::array<Suffix, 7> kByteSuffixes{
    {{"GiB", 1073741824}, {"MiB", 1048576}, {"KiB", 1024}, {"GB", 1e9}, {"MB", 1e6}, {"kB", 1e3}, {"B", 1}}};
constexpr std::array<Suffix, 2> kMebibyteSuffixes{{{"GiB", 1024}, {"MiB", 1}}};
constexpr std::array<Suffix, 3> kRateSuffixes{{{"/s", 1}, {"/min", 1.0 / 60}, {"/h", 1.0 / 3600}}};
constexpr std::array<Suffix, 1> kShareSuffixes{{{"%", 0.01}}};
constexpr std::array<Suffix, 3> kShareRateSuffixes{
    {{"%/s", 0.01}, {"%/min", 0.01 / 60}, {"%/h", 0.01 / 3600}}};

std::span<const Suffix> suffixes(Unit unit) {
  switch (unit) {
    case Unit::Number: return {};
    case Unit::Time: return kTimeSuffixes;
    case Unit::Bytes: return kByteSuffixes;
    case Unit::Mebibytes: return kMebibyteSuffixes;
    case Unit::Rate: return kRateSuffixes;
    case Unit::Share: return kShareSuffixes;
    case Unit::ShareRate: return kShareRateSuffixes;
  }
  return {};
}

// Divides by the inverse of factors below 1, which are rounded themselves: 30% is exactly 0.3.
double apply_factor(double number, double factor) {
  return factor < 1 ? number / std::round(1 / factor) : number * factor;
}

std::string expected_form(Unit unit) { return std::string("must be ") + unit_example(unit); }

} // namespace

const char* unit_example(Unit unit) {
  switch (unit) {
    case Unit::Number: return "a number";
    case Unit::Time: return "a time such as \"750ms\", \"1.5s\", \"20min\" or \"1d\"";
    case Unit::Bytes: return "a size such as \"4000B\", \"64KiB\" or \"64MB\"";
    case Unit::Mebibytes: return "a size of whole mebibytes such as \"192MiB\" or \"1GiB\"";
    case Unit::Rate: return "a rate such as \"410/s\" or \"30/min\"";
    case Unit::Share: return "a share such as \"30%\" or 0.3";
    case Unit::ShareRate: return "a share per time such as \"0.5%/s\"";
  }
  return "";
}

std::optional<double> parse_bare_number(Unit unit, double number, ParseError& failure) {
  if (!std::isfinite(number)) {
    failure = {"value", "must be finite"};
    return std::nullopt;
  }
  if (unit == Unit::Number || unit == Unit::Share || number == 0) return number;
  failure = {"unit", "has no unit: " + expected_form(unit)};
  return std::nullopt;
}

std::optional<double> parse_quantity(Unit unit, std::string_view text, ParseError& failure) {
  double number = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || !std::isfinite(number)) {
    failure = {"unit", expected_form(unit)};
    return std::nullopt;
  }
  std::string_view suffix_text(end, static_cast<std::size_t>(text.data() + text.size() - end));
  while (!suffix_text.empty() && suffix_text.front() == ' ') suffix_text.remove_prefix(1);
  if (suffix_text.empty()) {
    if (unit != Unit::Number) return parse_bare_number(unit, number, failure);
    failure = {"type", "must be a bare number, without quotes"};
    return std::nullopt;
  }
  for (const Suffix& suffix : suffixes(unit)) {
    if (suffix_text != suffix.text) continue;
    const double value = apply_factor(number, suffix.factor);
    if (std::isfinite(value)) return value;
  }
  failure = {"unit",
             "has the wrong unit \"" + std::string(suffix_text.substr(0, 16)) + "\": " + expected_form(unit)};
  return std::nullopt;
}

std::string format_number(double value) {
  std::array<char, 40> buffer{};
  const bool fixed_notation = value == 0 || (std::fabs(value) >= 1e-6 && std::fabs(value) < 1e15);
  const auto [end, error] =
      std::to_chars(buffer.data(), buffer.data() + buffer.size(), value,
                    fixed_notation ? std::chars_format::fixed : std::chars_format::general);
  return error == std::errc() ? std::string(buffer.data(), end) : "0";
}

std::string format_quantity(Unit unit, double value) {
  if (value == 0) return "0";
  std::string shortest;
  // Prefers short texts and integers, such as 100ms or 1.5s.
  const auto cost = [](const std::string& text) {
    return text.size() + (text.find('.') == std::string::npos ? 0 : 2);
  };
  for (const Suffix& suffix : suffixes(unit)) {
    const double in_suffix_unit =
        suffix.factor < 1 ? value * std::round(1 / suffix.factor) : value / suffix.factor;
    // Rounding to six decimals may compensate the rounding of the factor: 0.07 is 7%, not 7.000000000000001%.
    for (const double number : {std::round(in_suffix_unit * 1e6) / 1e6, in_suffix_unit}) {
      std::string text = format_number(number) + std::string(suffix.text);
      ParseError failure;
      const auto parsed = parse_quantity(unit, text, failure);
      if (parsed && *parsed == value && (shortest.empty() || cost(text) < cost(shortest))) shortest = text;
    }
  }
  if (!shortest.empty()) return shortest;
  return format_number(value); // Number, and shares without an exact percentage
}

} // namespace fernward::toml_document
