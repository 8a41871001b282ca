// Drops, duplicates, misspells and retypes each key of each valid corpus file. A mutant must be rejected at
// the mutated line, or its only effect must be that the key has another value.
#include <doctest/doctest.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <sstream>

#include "app_config/explain.h"
#include "app_config/read.h"
#include "corpus.h"
#include "program.h"

using namespace fernward;
using namespace fernward::tests;

namespace {

const char* empty_environment(const char*) { return nullptr; }

struct KeyValueLine {
  std::string key, value; // of a line `key = value`
};

bool parse_key_value(const std::string& line, KeyValueLine& result) {
  const auto equals = line.find(" = ");
  if (equals == std::string::npos || line.front() == '#' || line.front() == '[') return false;
  result = {line.substr(0, equals), line.substr(equals + 3)};
  return result.value.front() != '{';
}

std::string with_wrong_type(const std::string& value) {
  if (value.front() == '"') return "20261201";
  if (value.front() == '[') return "5";
  if (value == "true" || value == "false") return "\"" + value + "\"";
  return "\"many\"";
}

} // namespace

TEST_CASE("mutants of valid files are rejected at the mutated line or harmless") {
  struct Count {
    int made = 0, rejected = 0, harmless = 0;
  };
  std::map<std::string, Count> counts;
  for (const std::string& file : corpus_files("good")) {
    std::vector<std::string> lines;
    std::istringstream stream(read_file(file));
    for (std::string line; std::getline(stream, line);) lines.push_back(line);
    const auto original = app_config::load_config(file, &empty_environment);
    REQUIRE(original.valid());
    for (std::size_t at = 0; at < lines.size(); ++at) {
      std::string line_text = lines[at];
      if (line_text.ends_with('\r')) line_text.pop_back();
      KeyValueLine line;
      if (line_text.empty() || !parse_key_value(line_text, line)) continue;
      for (const std::string mutation : {"drop", "double", "misspell", "retype"}) {
        auto mutant = lines;
        if (mutation == "drop") mutant.erase(mutant.begin() + static_cast<std::ptrdiff_t>(at));
        if (mutation == "double") mutant.insert(mutant.begin() + static_cast<std::ptrdiff_t>(at), lines[at]);
        if (mutation == "misspell") mutant[at] = line.key + "q = " + line.value;
        if (mutation == "retype") mutant[at] = line.key + " = " + with_wrong_type(line.value);
        std::string text;
        for (const auto& mutant_line : mutant) text += mutant_line + "\n";
        const auto mutant_config = app_config::parse_config(text, file, &empty_environment);
        Count& count = counts[mutation];
        ++count.made;
        INFO(file << ":" << at + 1 << " " << mutation << " " << lines[at]);
        if (!mutant_config.valid()) {
          ++count.rejected;
          // A dropped line is reported at its table or at a reference to it, other mutants at their line.
          const unsigned expected_line = static_cast<unsigned>(at + (mutation == "double" ? 2 : 1));
          const bool reported_at_line = std::any_of(
              mutant_config.errors.begin(), mutant_config.errors.end(),
              [&](const auto& f) { return f.position.file == file && f.position.line == expected_line; });
          CHECK((reported_at_line || mutation == "drop"));
          continue;
        }
        // A harmless mutant may change only the value of the line, to the value that applies without it.
        CHECK(mutation == "drop");
        ++count.harmless;
        for (const auto& change : app_config::compare(original.app, mutant_config.app)) {
          const std::string key = change.key.substr(change.key.rfind('.') + 1);
          const bool belongs_to_line = line.key.ends_with(key) || line.key == "include" ||
                                       line.key == "profile" ||
                                       change.key.find(line.key) != std::string::npos;
          CHECK_MESSAGE(belongs_to_line, change.key);
        }
      }
    }
  }
  for (const auto& [mutation, count] : counts) {
    MESSAGE(mutation << ": " << count.made << " mutants, " << count.rejected << " rejected, "
                     << count.harmless << " harmless (" << 100 * count.rejected / count.made
                     << "% rejected)");
    if (mutation != "drop") CHECK(count.rejected == count.made);
  }
}
