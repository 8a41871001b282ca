#include "toml_document/value.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <sstream>

namespace fernward::toml_document {
namespace {

std::size_t distance(const std::string& a, const std::string& b) {
  std::vector<std::size_t> row(b.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t swapped = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
      diagonal = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, swapped});
    }
  }
  return row.back();
}

} // namespace

std::string shown(const std::string& text) {
  return "\"" + (text.size() > 40 ? text.substr(0, 40) + "..." : text) + "\"";
}

std::string in_quotes(const std::string& text) {
  const auto odd = [](char c) { return c == '"' || c == '\\' || c < ' ' || c == '\x7f'; };
  if (std::none_of(text.begin(), text.end(), odd)) return '"' + text + '"';
  std::ostringstream out;
  out << toml::value<std::string>(text);
  return out.str();
}

toml::table value_of(const std::string& text) {
  try {
    return toml::parse("value = " + text);
  } catch (const toml::parse_error&) {
    return toml::table{{"value", text}};
  }
}

std::string nearest(const std::string& given, const std::vector<std::string>& words) {
  std::string best;
  std::size_t least = 3; // words at a greater distance are unrelated
  if (given.size() > 64) return best;
  for (const std::string& word : words) {
    const std::size_t off = distance(given, word);
    if (off < least && off < std::max(given.size(), word.size())) {
      least = off;
      best = word;
    }
  }
  return best;
}

std::optional<double> take_amount(const toml::node& node, Unit unit, Word word, Why& why) {
  std::optional<double> value;
  if (const auto text = node.value_exact<std::string>()) {
    if (word.text && *text == word.text) return word.value;
    value = parse_quantity(unit, *text, why);
  } else if (const auto number = node.is_number() ? node.value<double>() : std::nullopt) {
    value = take_number(unit, *number, why);
  } else {
    why = {"type", std::string("must be ") + example_of(unit)};
  }
  if (value && *value < 0) {
    why = {"value", "must not be below 0"};
    value.reset();
  }
  if (!value && word.text) why.text += ", or \"" + std::string(word.text) + "\"";
  return value;
}

std::optional<std::uint32_t> take_count(const toml::node& node, Unit unit, Why& why) {
  constexpr double kMaxCount = std::numeric_limits<std::uint32_t>::max();
  if (unit != Unit::Number) {
    const auto value = take_amount(node, unit, {}, why);
    if (!value) return std::nullopt;
    if (*value <= kMaxCount && *value == static_cast<double>(static_cast<std::uint32_t>(*value))) {
      return static_cast<std::uint32_t>(*value);
    }
    why = {"value", std::string("must be ") + example_of(unit)};
    return std::nullopt;
  }
  const auto value = node.value_exact<std::int64_t>();
  if (value && *value >= 0 && static_cast<double>(*value) <= kMaxCount)
    return static_cast<std::uint32_t>(*value);
  why = {value ? "value" : "type", "must be a whole number from 0 on"};
  return std::nullopt;
}

std::optional<std::uint64_t> take_seed(const toml::node& node, Why& why) {
  const auto value = node.value_exact<std::int64_t>();
  if (value && *value >= 0) return static_cast<std::uint64_t>(*value);
  why = {value ? "value" : "type", "must be a whole number from 0 on"};
  return std::nullopt;
}

std::optional<std::string> take_text(const toml::node& node, Why& why) {
  auto text = node.value_exact<std::string>();
  if (!text) why = {"type", "must be text in quotes"};
  return text;
}

std::optional<bool> take_flag(const toml::node& node, Why& why) {
  const auto flag = node.value_exact<bool>();
  if (!flag) why = {"type", "must be true or false"};
  return flag;
}

std::optional<std::size_t> take_choice(const toml::node& node, Words words, Why& why) {
  const auto text = node.value_exact<std::string>();
  for (std::size_t i = 0; text && i < words.size(); ++i) {
    if (*text == words[i]) return i;
  }
  why = {text ? "word" : "type", "must be one of"};
  for (const char* word : words) why.text += std::string(" \"") + word + "\"";
  if (text) why.text += ", not " + shown(*text);
  return std::nullopt;
}

std::optional<std::uint32_t> take_ref(const toml::node& node, Table table, const Names& names, Why& why) {
  const auto text = take_text(node, why);
  if (!text) return std::nullopt;
  if (const auto found = names.find(table, *text)) return found;
  why = {"unknown-name", std::string("there is no ") + names.what(table) + " " + shown(*text)};
  if (const std::string near = nearest(*text, names.known(table)); !near.empty()) {
    why.text += "; is \"" + near + "\" meant?";
  } else {
    why.text += names.hint(table);
  }
  return std::nullopt;
}

} // namespace fernward::toml_document
