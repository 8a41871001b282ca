// The subcommands of fernward-lab and their shared functions.
//
// Exit codes: 0 success; 1 a fault in a scenario, a violated rule, a missed bound or a void run; 2 wrong
// usage.
#pragma once

#include <functional>
#include <memory>
#include <stdexcept>
#include <stop_token>
#include <string>
#include <vector>

#include "arguments/arguments.h"
#include "lab/experiment/run_experiment.h"
#include "lab/rig/rig.h"
#include "lab/scenario/read.h"

namespace fernward::lab {

using arguments::Arguments;
using arguments::kFailure;
using arguments::kSuccess;
using arguments::kUsageFailure;
using arguments::parse;
using arguments::UsageError;

int check_command(const Arguments& arguments);
int run_command(const Arguments& arguments);
int sweep_command(const Arguments& arguments);
int compare_command(const Arguments& arguments);
int report_command(const Arguments& arguments);
int try_command(const Arguments& arguments);
int keys_command(const Arguments& arguments);
int cost_command(const Arguments& arguments);
int relay_command(const Arguments& arguments);
int storm_command(const Arguments& arguments);

// ---- command lines ----

// Parses "1..8", "3" or "1,4,9". Throws UsageError.
std::vector<std::uint64_t> parse_seeds(const std::string& text);

// ---- scenarios and drivers ----

enum class DriverKind { Virtual, Sockets };

struct DriverOptions { // the options that run, sweep, compare and storm have in common
  DriverKind driver = DriverKind::Virtual;
  std::string program;                    // sockets: path or name of the router's program
  RouterRole role = RouterRole::Platform; // sockets: how the routers are configured
  bool skip_memory_check = false;         // sockets: don't check the memory limit of routers
  std::string log_folder;                 // sockets: the folder for the routers' logs
  RunLimits run_limits() const {
    return driver == DriverKind::Virtual ? virtual_run_limits() : socket_run_limits();
  }
};
void add_driver_options(cxxopts::Options& options);
// `side`: "a" or "b" for compare, whose options for one side override the common ones. Throws UsageError.
DriverOptions parse_driver_options(const cxxopts::ParseResult& parsed, const std::string& side = "");

std::unique_ptr<Driver> make_driver(const DriverOptions& driver_options);
// The slack in ms that the checks add to time limits.
double slack_ms_of(const DriverOptions& driver_options, const model::Spec& spec);
const char* driver_name(const DriverOptions& driver_options);

// Reads and validates a scenario. If it has errors they are printed, and the second value is false.
std::pair<Scenario, bool> load_scenario(const std::string& path, const std::vector<std::string>& settings,
                                        const DriverOptions& driver_options);
bool print_faults(const Scenario& scenario); // returns whether there are any

std::string default_router_program(); // the `fernward` in the folder of this program, or the one on the PATH

// ---- during runs ----

// SIGINT (Ctrl-C) and SIGTERM request a stop; a second signal ends the program at once.
std::stop_token stop_on_signals();

// A status line that each update overwrites and the destructor erases; only shown if standard error is a
// terminal.
class ProgressLine {
 public:
  ProgressLine();
  ~ProgressLine();
  void show(const std::string& text);

 private:
  bool terminal_;
  std::size_t shown_length_ = 0;
};

// A table with aligned columns: the first to the left, the others to the right. `rows`: the heading first.
std::string table_text(const std::vector<std::vector<std::string>>& rows);

} // namespace fernward::lab
