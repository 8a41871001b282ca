// What is left of a season of storms: a page with the oracles, the table of fault pairs and the worst storms; and for each
// storm that is worth a look a scenario file that names its oracle.
#pragma once

#include <optional>
#include <string>

#include "lab/storm/storm.h"

namespace fernward::lab::storm {

std::string sum_text(const Sum& sum); // for a terminal
std::string page_html(const Sum& sum, const Season& season);

// A scenario file with its oracle in the first lines: "# oracle: NAME" and "# verdict: broken" or "kept".
struct Expected {
  const Oracle* oracle = nullptr;
  bool broken = true;
};
std::string storm_text(const model::Spec& spec, const Expected& expected, const std::string& note);
// What such a file expects; none: it says nothing of the kind. Throws std::invalid_argument for an oracle that is unknown.
std::optional<Expected> expected_of(const std::string& file_text);

} // namespace fernward::lab::storm
