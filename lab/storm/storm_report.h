// Reports of a campaign of storms: a text summary, an HTML page with the oracles, the coverage of fault
// pairs and the worst storms, and scenario files that name an oracle and the verdict expected of it.
#pragma once

#include <optional>
#include <string>

#include "lab/storm/storm.h"

namespace fernward::lab::storm {

std::string summary_text(const CampaignSummary& summary); // for a terminal
std::string report_html(const CampaignSummary& summary, const Campaign& campaign);

// The first lines of such a scenario file: "# oracle: NAME" and "# verdict: broken" or "# verdict: kept".
struct ExpectedVerdict {
  const Oracle* oracle = nullptr;
  bool broken = true;
};
// `note` becomes further comment lines before the scenario.
std::string storm_file_text(const model::Spec& spec, const ExpectedVerdict& expected,
                            const std::string& note);
// The verdict that such a file expects; nullopt if it names no oracle. Throws std::invalid_argument for an
// unknown oracle or verdict.
std::optional<ExpectedVerdict> parse_expected_verdict(const std::string& file_text);

} // namespace fernward::lab::storm
