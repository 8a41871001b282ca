#include "toml_document/value.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <sstream>

namespace fernward::toml_document {
namespace {

std::size_t edit_distance(const std::string& a, const std::string& b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t substituted = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, substituted});
    }
  }
  return row.back();
}

} // namespace

std::string quoted_excerpt(const std::string& text) {
  return "\"" + (text.size() > 40 ? text.substr(0, 40) + "..." : text) + "\"";
}

std::string toml_quoted(const std::string& text) {
  const auto needs_escape = [](char c) { return c == '"' || c == '\\' || c < ' ' || c == '\x7f'; };
  if (std::none_of(text.begin(), text.end(), needs_escape)) return '"' + text + '"';
  std::ostringstream out;
  out << toml::value<std::string>(text);
  return out.str();
}

toml::table parse_value_text(const std::string& text) {
  try {
    return toml::parse("value = " + text);
  } catch (const toml::parse_error&) {
    return toml::table{{"value", text}};
  }
}

std::string closest_match(const std::string& given, const std::vector<std::string>& candidates) {
  std::string best;
  std::size_t best_distance = 3; // candidates at a distance of 3 or more are considered unrelated
  if (given.size() > 64) return best;
  for (const std::string& candidate : candidates) {
    const std::size_t distance = edit_distance(given, candidate);
    if (distance < best_distance && distance < std::max(given.size(), candidate.size())) {
      best_distance = distance;
      best = candidate;
    }
  }
  return best;
}

std::optional<double> parse_amount(const toml::node& node, Unit unit, SpecialValue special_value,
                                   ParseError& failure) {
  std::optional<double> value;
  if (const auto text = node.value_exact<std::string>()) {
    if (special_value.text && *text == special_value.text) return special_value.value;
    value = parse_quantity(unit, *text, failure);
  } else if (const auto number = node.is_number() ? node.value<double>() : std::nullopt) {
    value = parse_bare_number(unit, *number, failure);
  } else {
    failure = {"type", std::string("must be ") + unit_example(unit)};
  }
  if (value && *value < 0) {
    failure = {"value", "must not be below 0"};
    value.reset();
  }
  if (!value && special_value.text) failure.message += ", or \"" + std::string(special_value.text) + "\"";
  return value;
}

std::optional<std::uint32_t> parse_count(const toml::node& node, Unit unit, ParseError& failure) {
  constexpr double kMaxCount = std::numeric_limits<std::uint32_t>::max();
  if (unit != Unit::Number) {
    const auto value = parse_amount(node, unit, {}, failure);
    if (!value) return std::nullopt;
    if (*value <= kMaxCount && *value == static_cast<double>(static_cast<std::uint32_t>(*value))) {
      return static_cast<std::uint32_t>(*value);
    }
    failure = {"value", std::string("must be ") + unit_example(unit)};
    return std::nullopt;
  }
  const auto value = node.value_exact<std::int64_t>();
  if (value && *value >= 0 && static_cast<double>(*value) <= kMaxCount)
    return static_cast<std::uint32_t>(*value);
  failure = {value ? "value" : "type", "must be a whole number of at least 0"};
  return std::nullopt;
}

std::optional<std::uint64_t> parse_seed(const toml::node& node, ParseError& failure) {
  const auto value = node.value_exact<std::int64_t>();
  if (value && *value >= 0) return static_cast<std::uint64_t>(*value);
  failure = {value ? "value" : "type", "must be a whole number of at least 0"};
  return std::nullopt;
}

std::optional<std::string> parse_text(const toml::node& node, ParseError& failure) {
  auto text = node.value_exact<std::string>();
  if (!text) failure = {"type", "must be text in quotes"};
  return text;
}

std::optional<bool> parse_flag(const toml::node& node, ParseError& failure) {
  const auto flag = node.value_exact<bool>();
  if (!flag) failure = {"type", "must be true or false"};
  return flag;
}

std::optional<std::size_t> parse_choice(const toml::node& node, ChoiceNames choice_names,
                                        ParseError& failure) {
  const auto text = node.value_exact<std::string>();
  for (std::size_t i = 0; text && i < choice_names.size(); ++i) {
    if (*text == choice_names[i]) return i;
  }
  failure = {text ? "word" : "type", "must be one of"};
  for (const char* choice_name : choice_names) failure.message += std::string(" \"") + choice_name + "\"";
  if (text) failure.message += ", not " + quoted_excerpt(*text);
  return std::nullopt;
}

std::optional<std::uint32_t> parse_ref(const toml::node& node, Table table, const Names& names,
                                       ParseError& failure) {
  const auto text = parse_text(node, failure);
  if (!text) return std::nullopt;
  if (const auto found = names.find(table, *text)) return found;
  failure = {"unknown-name",
             std::string("there is no ") + names.item_noun(table) + " " + quoted_excerpt(*text)};
  if (const std::string suggestion = closest_match(*text, names.known_names(table)); !suggestion.empty()) {
    failure.message += "; is \"" + suggestion + "\" meant?";
  } else {
    failure.message += names.hint(table);
  }
  return std::nullopt;
}

} // namespace fernward::toml_document
