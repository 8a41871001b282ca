// fernward-lab cost: the CPU cost of the router compared with a plain byte relay, the table of
// docs/performance.md. fernward-lab relay: runs that relay alone.
#include <algorithm>
#include <cstdio>

#include "lab/commands/command.h"
#include "lab/cost/cost.h"
#include "lab/relay/relay.h"

namespace fernward::lab {
namespace {

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

// "14,200,1000" is parsed here, because arguments.h sets the list delimiter of cxxopts to a control
// character.
std::vector<std::uint32_t> parse_counts(const cxxopts::ParseResult& parsed, const std::string& option) {
  std::vector<std::uint32_t> counts;
  for (const std::uint64_t count : parse_seeds(parsed[option].as<std::string>())) {
    if (count == 0 || count > 1'000'000) throw UsageError("--" + option + " needs counts from 1 to 1000000");
    counts.push_back(static_cast<std::uint32_t>(count));
  }
  return counts;
}

} // namespace

int cost_command(const Arguments& arguments) {
  cxxopts::Options options(
      "fernward-lab cost",
      "CPU per request of the router, compared with a plain byte relay that runs at the same time "
      "in front of the same emulated servers. The exit code is 1 if a run was void");
  options.add_options()("program",
                        "The router; default: the `fernward` in the folder of this program, or on the PATH",
                        cxxopts::value<std::string>())(
      "targets", "Cache nodes", cxxopts::value<std::string>()->default_value("14,200,1000"))(
      "keys", "Number of keys, requested with equal probability",
      cxxopts::value<std::string>()->default_value("100,10000"))(
      "rate", "Requests per second, for both together", cxxopts::value<double>()->default_value("2000"))(
      "seconds", "Measured seconds of each run", cxxopts::value<double>()->default_value("5"))(
      "rounds", "Runs of each row; the median is printed", cxxopts::value<int>()->default_value("3"));
  const auto parsed = parse(options, arguments);
  const int rounds = parsed["rounds"].as<int>();
  if (rounds < 1 || rounds > 1000) throw UsageError("--rounds must be from 1 to 1000");
  const double rate = parsed["rate"].as<double>(), seconds = parsed["seconds"].as<double>();
  if (!(rate >= 10 && rate <= 20000)) throw UsageError("--rate must be from 10 to 20000");
  if (!(seconds >= 2 && seconds <= 600)) throw UsageError("--seconds must be from 2 to 600");
  const auto key_counts = parse_counts(parsed, "keys");
  bool is_void = false;
  std::printf(
      "| targets | keys | router, us | relay, us | ratio | least to most | router's memory, MB |\n"
      "| --- | --- | --- | --- | --- | --- | --- |\n");
  for (const std::uint32_t targets : parse_counts(parsed, "targets")) {
    for (const std::uint32_t keys : key_counts) {
      std::vector<double> router, relay, ratio, memory;
      for (int round = 0; round < rounds; ++round) {
        CostOptions cost_options;
        cost_options.router_program =
            parsed.count("program") > 0 ? parsed["program"].as<std::string>() : default_router_program();
        cost_options.relay_command_line = {"/proc/self/exe", "relay"};
        cost_options.target_count = targets;
        cost_options.key_count = keys;
        cost_options.rate_per_s = rate;
        cost_options.measured_s = seconds;
        cost_options.seed = static_cast<std::uint64_t>(round) + 1;
        const CostResult result = measure_cost(cost_options);
        for (const auto& reason : result.info.void_reasons)
          std::fprintf(stderr, "void: %s\n", reason.c_str());
        is_void = is_void || result.info.is_void;
        router.push_back(result.router.cpu_us_per_request());
        relay.push_back(result.relay.cpu_us_per_request());
        ratio.push_back(result.router_to_relay_ratio());
        memory.push_back(result.router.memory_mb);
      }
      std::printf("| %u | %u | %.0f | %.0f | %.2f | %.2f to %.2f | %.1f |\n", targets, keys, median(router),
                  median(relay), median(ratio), *std::min_element(ratio.begin(), ratio.end()),
                  *std::max_element(ratio.begin(), ratio.end()), median(memory));
      std::fflush(stdout);
    }
  }
  return is_void ? kFailure : kSuccess;
}

int relay_command(const Arguments& arguments) {
  cxxopts::Options options(
      "fernward-lab relay",
      "A plain byte relay: each client connection gets its own connection to a target, chosen in "
      "turn. Without --listen it reads its address and the cache nodes from the file named by "
      "NODE_CONFIG, as a router does. SIGTERM ends it");
  options.add_options()("listen", "An address, such as 127.0.0.1:7001", cxxopts::value<std::string>())(
      "target", "An address; may be repeated", cxxopts::value<std::vector<std::string>>());
  const auto parsed = parse(options, arguments);
  const bool listens = parsed.count("listen") > 0, has_target = parsed.count("target") > 0;
  if (listens != has_target) throw UsageError("--listen and --target go together");
  if (!listens) return rig::relay_as_router();
  return rig::relay(parsed["listen"].as<std::string>(), parsed["target"].as<std::vector<std::string>>());
}

} // namespace fernward::lab
