// Measures the time to read and validate an application's configuration file, compared with parsing it only,
// for a file with many nodes.
//
//   fernward-checking --nodes 9900 --rounds 15
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cxxopts.hpp>
#include <string>
#include <vector>

#include "app_config/read.h"

namespace {

template <typename Action>
double median_ms(int rounds, Action action) {
  std::vector<double> durations_ms;
  for (int i = 0; i < rounds; ++i) {
    const auto started_at = std::chrono::steady_clock::now();
    action();
    durations_ms.push_back(
        std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - started_at).count());
  }
  std::sort(durations_ms.begin(), durations_ms.end());
  return durations_ms[durations_ms.size() / 2];
}

} // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("fernward-checking",
                           "Time to validate a large configuration file, compared with parsing it");
  options.add_options()("nodes", "nodes in the file", cxxopts::value<int>()->default_value("9900"))(
      "rounds", "repetitions; the median is printed", cxxopts::value<int>()->default_value("15"));
  const auto parsed_options = options.parse(argc, argv);
  std::string text =
      "name = \"big\"\nlisten = \"127.0.0.1:7070\"\n[limits]\nsockets = 60000\nmemory = \"4096MiB\"\n"
      "[classes.any]\ngive_up = \"1s\"\nrepeat = \"safe\"\n";
  for (int i = 0; i < parsed_options["nodes"].as<int>(); ++i) {
    text += "[fleet.nodes.node-" + std::to_string(i) + "]\naddress = \"10." + std::to_string(i / 65536) +
            "." + std::to_string(i / 256 % 256) + "." + std::to_string(i % 256) + ":7070\"\nweight = 1.5\n";
  }
  const int rounds = parsed_options["rounds"].as<int>();
  const double parse_ms = median_ms(rounds, [&] {
    fernward::toml_document::Diagnostics diagnostics;
    fernward::toml_document::Layers layers;
    fernward::toml_document::parse_layers(text, "big.toml", "include", nullptr, diagnostics, layers);
  });
  bool valid = false;
  const double validate_ms = median_ms(rounds, [&] {
    valid = fernward::app_config::parse_config(text, "big.toml", nullptr, nullptr).valid();
  });
  std::printf(
      "| file | valid | parsed, ms | read and validated, ms | ratio |\n| --- | --- | --- | --- | --- |\n");
  std::printf("| %zu KB | %s | %.1f | %.1f | %.2f |\n", text.size() / 1000, valid ? "yes" : "no", parse_ms,
              validate_ms, validate_ms / parse_ms);
  return valid ? 0 : 1;
}
