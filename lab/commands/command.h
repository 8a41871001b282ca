// The sub-commands of fernward-lab and what they share.
//
// Exit codes: 0 well; 1 a fault in a scenario, a broken rule, a missed bound or a void run; 2 wrong usage.
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

struct Playing { // what the options of run, sweep and compare say alike
  DriverKind driver = DriverKind::Virtual;
  std::string program; // sockets: the router
  RouterRole role = RouterRole::Platform;
  bool unlimited = false;
  std::string logs; // sockets: the folder for what routers say
  Offer offer() const { return driver == DriverKind::Virtual ? offer_virtual() : offer_sockets(); }
};
void add_playing(cxxopts::Options& options);
// `side`: of compare, "a" or "b": its own options go before the common ones.
Playing playing_of(const cxxopts::ParseResult& parsed, const std::string& side = "");

std::unique_ptr<Driver> make_driver(const Playing& playing);
double slack_of(const Playing& playing, const model::Spec& spec);
const char* driver_name(const Playing& playing);

// Reads and checks. Faults are printed, and the second is false.
std::pair<Scenario, bool> load_scenario(const std::string& path, const std::vector<std::string>& settings,
                                        const Playing& playing);
bool print_faults(const Scenario& scenario); // are there any?

std::string shipped_router(); // the `fernward` beside this program, or the one on the PATH

// ---- while runs go on ----

// Ctrl-C and SIGTERM ask for a stop; a second one ends the program at once.
std::stop_token stop_on_signals();

// A line that is written over and over, where standard error is a terminal.
class Progress {
 public:
  Progress();
  ~Progress();
  void show(const std::string& text);

 private:
  bool terminal_;
  std::size_t shown_ = 0;
};

// A table with its columns lined up; the first column to the left.
std::string table_text(const std::vector<std::vector<std::string>>& rows);

} // namespace fernward::lab
