#include "toml_document/document.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <tuple>

namespace fernward::toml_document {
namespace {

constexpr std::size_t kMostFaults = 200;
constexpr std::size_t kMostLayers = 9;            // the file and eight included files
constexpr std::uintmax_t kLargestFile = 1u << 20; // usual files have a few hundred lines
constexpr int kDeepest = 100;                     // nested brackets, or parts of a dotted key

struct Stray {
  unsigned line = 1, column = 1;
  const char* why = "";
};

// Finds text that would crash toml++ 3.3. Some non-ASCII characters crash it in place of a key or of white
// space; TOML 1.0 allows them only in quotes and comments. It also recurses for brackets and dotted keys, so
// too many of them exhaust the stack. Returns the position of the first such text, if any.
std::optional<Stray> stray_letter(std::string_view text) {
  enum { Plain, Comment, Basic, Literal, LongBasic, LongLiteral } in = Plain;
  unsigned line = 1, column = 1;
  int depth = 0, dots = 0;
  for (std::size_t i = 0; i < text.size(); ++i, ++column) {
    const char c = text[i];
    const char mark = in == Basic || in == LongBasic ? '"' : '\'';
    const std::string_view three = text.substr(i, 3);
    if (in == Plain) {
      if (static_cast<unsigned char>(c) >= 0x80)
        return Stray{line, column, "letters beyond ASCII may stand in quotes and comments only"};
      if (c == '[' || c == '{') ++depth;
      if ((c == ']' || c == '}') && depth > 0) --depth;
      if (c == '.') ++dots;
      if (c == '=' || c == ',' || c == '\n') dots = 0;
      if (depth > kDeepest || dots > kDeepest) return Stray{line, column, "more than 100 tables deep"};
      if (c == '#') in = Comment;
      if (c == '"') in = three == "\"\"\"" ? LongBasic : Basic;
      if (c == '\'') in = three == "'''" ? LongLiteral : Literal;
      if (in == LongBasic || in == LongLiteral) i += 2, column += 2;
    } else if ((in == Basic || in == LongBasic) && c == '\\') {
      ++i, ++column;
    } else if ((in == Basic || in == Literal) && c == mark) {
      in = Plain;
    } else if ((in == LongBasic || in == LongLiteral) && three == std::string(3, mark)) {
      i += 2, column += 2;
      in = Plain;
      while (text.substr(i + 1, 1) == std::string(1, mark)) ++i, ++column; // up to two more are content
    }
    if (i < text.size() && text[i] == '\n') {
      ++line;
      column = 0;
      if (in != LongBasic && in != LongLiteral) in = Plain;
    }
  }
  return std::nullopt;
}

} // namespace

std::string Fault::text() const {
  return at.file + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " + key + ": " + why;
}

std::string Fault::coded() const {
  return at.file + ":" + std::to_string(at.line) + ":" + std::to_string(at.column) + ": " + code + ": " +
         key + ": " + why;
}

void tidy(Faults& faults) {
  const auto order = [](const Fault& f) { return std::tie(f.at.file, f.at.line, f.at.column, f.key, f.why); };
  std::sort(faults.begin(), faults.end(),
            [&](const Fault& a, const Fault& b) { return order(a) < order(b); });
  faults.erase(std::unique(faults.begin(), faults.end(),
                           [&](const Fault& a, const Fault& b) { return order(a) == order(b); }),
               faults.end());
  if (faults.size() <= kMostFaults) return;
  const std::size_t more = faults.size() - kMostFaults;
  faults.resize(kMostFaults);
  faults.push_back({faults.back().at, "...", "and " + std::to_string(more) + " more errors", "more"});
}

Position position(const toml::source_region& at, const Layer& layer) {
  return {layer.file, std::max<unsigned>(1, at.begin.line), std::max<unsigned>(1, at.begin.column)};
}

std::optional<std::string> load_file(const std::filesystem::path& path) {
  std::error_code error;
  const auto size = std::filesystem::file_size(path, error);
  if (error || size > kLargestFile) return std::nullopt;
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) return std::nullopt;
  return text.str();
}

namespace {

// `including_files`: the chain of files that include this one.
bool parse_with(std::string text, const std::string& file, const char* key, const Loader& load,
                Faults& faults, Layers& layers, std::vector<std::string> within) {
  auto layer = std::make_unique<Layer>();
  layer->file = file;
  if (text.starts_with("\xef\xbb\xbf")) text.erase(0, 3); // a byte order mark, written by some editors
  if (const auto stray = stray_letter(text)) {
    faults.push_back({{file, stray->line, stray->column}, "(syntax)", stray->why, "syntax"});
    return false;
  }
  try {
    layer->table = toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    faults.push_back(
        {position(error.source(), *layer), "(syntax)", std::string(error.description()), "syntax"});
    return false;
  }
  const toml::node* names = layer->table.get(key);
  const Layer& here = *layer;
  layers.push_back(std::move(layer));
  if (names == nullptr) return true;
  const auto fault = [&](const toml::node& node, const char* code, std::string why) {
    faults.push_back({position(node.source(), here), key, std::move(why), code});
    return false;
  };
  std::vector<const toml::node*> all;
  if (const toml::array* list = names->as_array()) {
    for (const toml::node& node : *list) all.insert(all.begin(), &node);
  } else {
    all.push_back(names);
  }
  bool sound = true;
  within.push_back(file);
  for (const toml::node* node : all) {
    const auto name = node->value_exact<std::string>();
    if (!name || name->empty()) return fault(*node, "type", "must be the path of a file, in quotes");
    const std::string next = (std::filesystem::path(file).parent_path() / *name).lexically_normal().string();
    if (std::find(within.begin(), within.end(), next) != within.end() || layers.size() >= kMostLayers) {
      return fault(*node, "include", "more than 8 files build on one another, or they go round");
    }
    auto found = load ? load(next) : std::nullopt;
    if (!found) return fault(*node, "include", next + " can't be read");
    sound = parse_with(std::move(*found), next, key, load, faults, layers, within) && sound;
  }
  return sound;
}

} // namespace

bool parse_layers(std::string text, const std::string& file, const char* key, const Loader& load,
                  Faults& faults, Layers& layers) {
  return parse_with(std::move(text), file, key, load, faults, layers, {});
}

} // namespace fernward::toml_document
