// Parses and formats single TOML values.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "toml_document/toml.h"
#include "toml_document/visitor.h"

namespace fernward::toml_document {

// Each returns the value, or none with the reason in `failure`.
std::optional<double> parse_amount(const toml::node& node, Unit unit, SpecialValue special_value,
                                   ParseError& failure);
std::optional<std::uint32_t> parse_count(const toml::node& node, Unit unit, ParseError& failure);
std::optional<std::uint64_t> parse_seed(const toml::node& node, ParseError& failure);
std::optional<std::string> parse_text(const toml::node& node, ParseError& failure);
std::optional<bool> parse_flag(const toml::node& node, ParseError& failure);
std::optional<std::size_t> parse_choice(const toml::node& node, ChoiceNames choice_names,
                                        ParseError& failure);
std::optional<std::uint32_t> parse_ref(const toml::node& node, Table table, const Names& names,
                                       ParseError& failure);

// The candidate that is most similar to the misspelt `given`; empty: none is similar.
std::string closest_match(const std::string& given, const std::vector<std::string>& candidates);

// In quotes and truncated if long, for messages.
std::string quoted_excerpt(const std::string& text);

// As a quoted TOML string.
std::string toml_quoted(const std::string& text);

// Parses a TOML value, or uses the text itself as a string if it is not valid TOML: 820/s needs no quotes on
// a command line. The result contains the value under "value".
toml::table parse_value_text(const std::string& text);

} // namespace fernward::toml_document
