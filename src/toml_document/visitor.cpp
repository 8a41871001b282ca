#include "toml_document/visitor.h"

#include <algorithm>

namespace fernward::toml_document {

std::string key_of(std::string_view path) {
  std::string key;
  while (!path.empty()) {
    const std::size_t end = std::min(path.find('.'), path.size());
    std::string_view step = path.substr(0, end);
    path.remove_prefix(std::min(end + 1, path.size()));
    std::string_view index;
    if (step == "backoff_ms") step = "wait_ms"; // the key `backoff` belongs to another member
    if (const std::size_t bracket = step.find('['); bracket != std::string_view::npos) {
      index = step.substr(bracket);
      step = step.substr(0, bracket);
    }
    for (const std::string_view unit : {"_ms", "_bytes", "_per_s", "_mb"}) {
      if (step.size() > unit.size() && step.ends_with(unit)) {
        step.remove_suffix(unit.size());
        break;
      }
    }
    if (!key.empty()) key += '.';
    key += step == "cls" ? std::string_view("class") : step;
    key += index;
  }
  return key;
}

} // namespace fernward::toml_document
