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
std::optional<double> take_amount(const toml::node& node, Unit unit, Word word, Why& why);
std::optional<std::uint32_t> take_count(const toml::node& node, Unit unit, Why& why);
std::optional<std::uint64_t> take_seed(const toml::node& node, Why& why);
std::optional<std::string> take_text(const toml::node& node, Why& why);
std::optional<bool> take_flag(const toml::node& node, Why& why);
std::optional<std::size_t> take_choice(const toml::node& node, Words words, Why& why);
std::optional<std::uint32_t> take_ref(const toml::node& node, Table table, const Names& names, Why& why);

// The word that is closest to a misspelt `given`; empty: none is close.
std::string nearest(const std::string& given, const std::vector<std::string>& words);

// In quotes and truncated if long, for messages.
std::string shown(const std::string& text);

// As a quoted TOML string.
std::string in_quotes(const std::string& text);

// Parses a TOML value, or uses the text itself as a string if it is not valid TOML: 820/s needs no quotes on
// a command line. The result contains the value under "value".
toml::table value_of(const std::string& text);

} // namespace fernward::toml_document
