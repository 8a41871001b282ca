#include "toml_document/visitor.h"

#include <algorithm>

namespace fernward::toml_document {

std::string key_of(std::string_view member_path) {
  std::string key;
  while (!member_path.empty()) {
    const std::size_t end = std::min(member_path.find('.'), member_path.size());
    std::string_view part = member_path.substr(0, end);
    member_path.remove_prefix(std::min(end + 1, member_path.size()));
    std::string_view index;
    if (part == "backoff_ms") part = "wait_ms"; // the key `backoff` belongs to another member
    if (const std::size_t bracket = part.find('['); bracket != std::string_view::npos) {
      index = part.substr(bracket);
      part = part.substr(0, bracket);
    }
    for (const std::string_view unit : {"_ms", "_bytes", "_per_s", "_mb"}) {
      if (part.size() > unit.size() && part.ends_with(unit)) {
        part.remove_suffix(unit.size());
        break;
      }
    }
    if (!key.empty()) key += '.';
    key += part == "cls" ? std::string_view("class") : part;
    key += index;
  }
  return key;
}

} // namespace fernward::toml_document
