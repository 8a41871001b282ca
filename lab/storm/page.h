// Reports of a campaign of storms: a text summary, an HTML page with the oracles, the coverage of fault pairs
// and the worst storms, and scenario files that name the oracle a storm has broken.
#pragma once

#include <optional>
#include <string>

#include "lab/storm/storm.h"

namespace fernward::lab::storm {

std::string sum_text(const Sum& sum); // for a terminal
std::string page_html(const Sum& sum, const Season& season);

// The first lines of such a scenario file: "# oracle: NAME" and "# verdict: broken" or "# verdict: kept".
struct Expected {
  const Oracle* oracle = nullptr;
  bool broken = true;
};
std::string storm_text(const model::Spec& spec, const Expected& expected, const std::string& note);
// The verdict that such a file expects; nullopt if it names no oracle. Throws std::invalid_argument for an
// unknown oracle or verdict.
std::optional<Expected> expected_of(const std::string& file_text);

} // namespace fernward::lab::storm
