// The sub-commands of fernward-lab and their shared functions.
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
#include "lab/experiment/play.h"
#include "lab/rig/rig.h"
#include "lab/scenario/read.h"

namespace fernward::lab {

using arguments::Arguments;
using arguments::kBad;
using arguments::kUsage;
using arguments::kWell;
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

// "1..8", "3" or "1,4,9".
std::vector<std::uint64_t> parse_seeds(const std::string& text);

// ---- scenarios and drivers ----

enum class DriverKind { Virtual, Sockets };

struct Playing { // the options that run, sweep, compare and storm have in common
  DriverKind driver = DriverKind::Virtual;
  std::string program; // sockets: the router's program
  RouterRole role = RouterRole::Platform;
  bool unlimited = false;
  std::string logs; // sockets: the folder for the routers' logs
  Offer offer() const { return driver == DriverKind::Virtual ? offer_virtual() : offer_sockets(); }
};
void add_playing(cxxopts::Options& options);
// `side`: "a" or "b" for compare, whose options for one side override the common ones.
Playing playing_of(const cxxopts::ParseResult& parsed, const std::string& side = "");

std::unique_ptr<Driver> make_driver(const Playing& playing);
double slack_of(const Playing& playing, const model::Spec& spec);
const char* driver_name(const Playing& playing);

// Reads and validates a scenario. If it has faults they are printed, and the second value is false.
std::pair<Scenario, bool> load_scenario(const std::string& path, const std::vector<std::string>& settings,
                                        const Playing& playing);
bool print_faults(const Scenario& scenario); // returns whether there are any

std::string shipped_router(); // the `fernward` in the folder of this program, or the one on the PATH

// ---- during runs ----

// SIGINT (Ctrl-C) and SIGTERM request a stop; a second signal ends the program at once.
std::stop_token stop_on_signals();

// A status line that is overwritten with each update; only shown if standard error is a terminal.
class Progress {
 public:
  Progress();
  ~Progress();
  void show(const std::string& text);

 private:
  bool terminal_;
  std::size_t shown_ = 0;
};

// A table with aligned columns: the first to the left, the others to the right.
std::string table_text(const std::vector<std::vector<std::string>>& rows);

} // namespace fernward::lab
