// Reads scenario files: TOML in which values carry their units. A file is read completely before a run
// starts, and all errors are reported, not only the first, each with file, line, column and key.
//
// A file may extend another: `base = "fleet.toml"` (a path relative to the file) supplies the keys that the
// file omits, table by table. A list in the file replaces the list of the base.
#pragma once

#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

#include "model/spec.h"
#include "toml_document/document.h"

namespace fernward::lab {

using toml_document::Diagnostic;
using toml_document::FileLoader;
using toml_document::Position;

// Limits of a driver on the size of a run. A scenario that exceeds them is faulty.
struct RunLimits {
  double rate_per_s = 200000;
  std::uint32_t nodes = 10000, routers = 1024;
  std::uint32_t sharing_routers = 1024; // maximum number of routers if routers.sharing is on
  bool congestion = false; // whether discovery calls are handled one by one, as discovery.congestion needs
};
RunLimits virtual_run_limits(); // in virtual time
RunLimits socket_run_limits();  // on sockets: 20,000 requests a second from one core

// A scenario file that was read: the Spec and what is wrong with it.
struct Scenario {
  model::Spec spec; // may be run only if `errors` is empty
  toml_document::Diagnostics errors;
  toml_document::Positions positions; // positions of the values in the file, by member path of the Spec

  bool is_valid() const { return errors.empty(); }
};

// Reads a scenario from its text. `file`: its name in diagnostics; paths of bases are relative to it. `load`
// reads the bases.
Scenario read_scenario(std::string_view text, const std::string& file, const RunLimits& limits = {},
                       const FileLoader& load = {});
// A file that can't be read is an error of the scenario, too.
Scenario read_scenario_file(const std::filesystem::path& path, const RunLimits& limits = {});

// Sets single values, such as "load.rate=820/s" or "kinds[fast].cores=8", and checks the scenario again.
// Errors are added to `scenario.errors`.
void set_values(Scenario& scenario, const std::vector<std::string>& settings, const RunLimits& limits = {});

// The complete Spec as a file without a base, with every value written out. read_scenario returns the same
// Spec.
std::string scenario_text(const model::Spec& spec);

// The reference of all keys with their units, defaults and meanings, as Markdown.
std::string key_reference();

} // namespace fernward::lab
