// Scenario files: TOML with units written out, read whole. Every fault is found, not the first alone, and named by
// file, line, column and key, before anything starts.
//
// A file may build on another: `base = "fleet.toml"` (relative to it) supplies what the file leaves out, table by
// table. A list that the file gives replaces the base's list.
#pragma once

#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

#include "model/spec.h"
#include "toml_document/document.h"

namespace fernward::lab {

using toml_document::Fault;
using toml_document::Loader;
using toml_document::Position;

// What the machine can offer to a run; more is a fault.
struct Offer {
  double rate_per_s = 200000;
  std::uint32_t nodes = 10000, routers = 1024;
  std::uint32_t sharing_routers = 1024; // where routers.sharing is on
  bool congestion = false; // discovery's calls are played one by one, so that they can wait in turn
};
Offer offer_virtual();
Offer offer_sockets(); // 20,000 requests a second from one core

struct Scenario {
  model::Spec spec; // may be played where `faults` is empty
  toml_document::Faults faults;
  toml_document::Places places; // of what the file gives, by the Spec's member

  bool sound() const { return faults.empty(); }
};

Scenario read_scenario(std::string_view text, const std::string& file, const Offer& offer = {},
                       const Loader& load = {});
Scenario read_scenario_file(const std::filesystem::path& path, const Offer& offer = {});

// Sets single values, "load.rate=820/s" or "kinds[fast].cores=8", and checks the whole anew.
void set_values(Scenario& scenario, const std::vector<std::string>& settings, const Offer& offer = {});

// The whole Spec as a file without a base, every value given. read_scenario gives the same Spec back.
std::string scenario_text(const model::Spec& spec);

// All keys with units, defaults and meaning, as Markdown.
std::string key_reference();

} // namespace fernward::lab
