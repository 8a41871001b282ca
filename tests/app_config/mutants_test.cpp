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

bool parse_key_value(const std::string& line, KeyValueLine& into) {
  const auto equals = line.find(" = ");
  if (equals == std::string::npos || line.front() == '#' || line.front() == '[') return false;
  into = {line.substr(0, equals), line.substr(equals + 3)};
  return into.value.front() != '{';
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
    int made = 0, refused = 0, harmless = 0;
  };
  std::map<std::string, Count> counts;
  for (const std::string& file : corpus_files("good")) {
    std::vector<std::string> lines;
    std::istringstream in(read_file(file));
    for (std::string line; std::getline(in, line);) lines.push_back(line);
    const auto original = app_config::load_config(file, &empty_environment);
    REQUIRE(original.valid());
    for (std::size_t at = 0; at < lines.size(); ++at) {
      std::string plain = lines[at];
      if (plain.ends_with('\r')) plain.pop_back();
      KeyValueLine line;
      if (plain.empty() || !parse_key_value(plain, line)) continue;
      for (const std::string how : {"drop", "double", "misspell", "retype"}) {
        auto mutant = lines;
        if (how == "drop") mutant.erase(mutant.begin() + static_cast<std::ptrdiff_t>(at));
        if (how == "double") mutant.insert(mutant.begin() + static_cast<std::ptrdiff_t>(at), lines[at]);
        if (how == "misspell") mutant[at] = line.key + "q = " + line.value;
        if (how == "retype") mutant[at] = line.key + " = " + with_wrong_type(line.value);
        std::string text;
        for (const auto& l : mutant) text += l + "\n";
        const auto made = app_config::parse_config(text, file, &empty_environment);
        Count& count = counts[how];
        ++count.made;
        INFO(file << ":" << at + 1 << " " << how << " " << lines[at]);
        if (!made.valid()) {
          ++count.refused;
          // A dropped line is reported at its table or at a reference to it, other mutants at their line.
          const unsigned wanted = static_cast<unsigned>(at + (how == "double" ? 2 : 1));
          const bool here = std::any_of(made.errors.begin(), made.errors.end(), [&](const auto& f) {
            return f.position.file == file && f.position.line == wanted;
          });
          CHECK((here || how == "drop"));
          continue;
        }
        // A harmless mutant may change only the value of the line, to the value that applies without it.
        CHECK(how == "drop");
        ++count.harmless;
        for (const auto& change : app_config::compare(original.app, made.app)) {
          const std::string key = change.key.substr(change.key.rfind('.') + 1);
          const bool own = line.key.ends_with(key) || line.key == "include" || line.key == "profile" ||
                           change.key.find(line.key) != std::string::npos;
          CHECK_MESSAGE(own, change.key);
        }
      }
    }
  }
  for (const auto& [how, count] : counts) {
    MESSAGE(how << ": " << count.made << " mutants, " << count.refused << " refused, " << count.harmless
                << " harmless (" << 100 * count.refused / count.made << "% refused)");
    if (how != "drop") CHECK(count.refused == count.made);
  }
}
