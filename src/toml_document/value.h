// Single values of a file, as TOML has them.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "toml_document/toml.h"
#include "toml_document/visitor.h"

namespace fernward::toml_document {

// Each gives the value, or none with `why` it can't be had.
std::optional<double> take_amount(const toml::node& node, Unit unit, Word word, Why& why);
std::optional<std::uint32_t> take_count(const toml::node& node, Unit unit, Why& why);
std::optional<std::uint64_t> take_seed(const toml::node& node, Why& why);
std::optional<std::string> take_text(const toml::node& node, Why& why);
std::optional<bool> take_flag(const toml::node& node, Why& why);
std::optional<std::size_t> take_choice(const toml::node& node, Words words, Why& why);
std::optional<std::uint32_t> take_ref(const toml::node& node, Table table, const Names& names, Why& why);

// The one of `words` that `given` was probably meant to be; empty: none is near.
std::string nearest(const std::string& given, const std::vector<std::string>& words);

// In quotes, cut short where it is long: for messages.
std::string shown(const std::string& text);

// As TOML wants it.
std::string in_quotes(const std::string& text);

// As TOML would have it, or else as text: 820/s needs no quotes on a command line. The value stands under
// "value".
toml::table value_of(const std::string& text);

} // namespace fernward::toml_document
