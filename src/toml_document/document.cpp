#include "toml_document/document.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <tuple>

namespace fernward::toml_document {
namespace {

constexpr std::size_t kMaxDiagnostics = 200;
constexpr std::size_t kMaxLayers = 9;              // the file and eight included files
constexpr std::uintmax_t kMaxFileBytes = 1u << 20; // usual files have a few hundred lines
constexpr int kMaxNesting = 100;                   // nested brackets, or parts of a dotted key

struct TextError {
  unsigned line = 1, column = 1;
  const char* message = "";
};

// Finds text that would crash toml++ 3.3. Some non-ASCII characters crash it in place of a key or of white
// space; TOML 1.0 allows them only in quotes and comments. It also recurses for brackets and dotted keys, so
// too many of them exhaust the stack. Returns the position of the first such text, if any.
std::optional<TextError> find_unsupported_text(std::string_view text) {
  enum { Plain, Comment, Basic, Literal, LongBasic, LongLiteral } state = Plain;
  unsigned line = 1, column = 1;
  int depth = 0, dots = 0;
  for (std::size_t i = 0; i < text.size(); ++i, ++column) {
    const char c = text[i];
    const char quote = state == Basic || state == LongBasic ? '"' : '\'';
    const std::string_view next_three = text.substr(i, 3);
    if (state == Plain) {
      if (static_cast<unsigned char>(c) >= 0x80)
        return TextError{line, column, "letters beyond ASCII are allowed only in quotes and comments"};
      if (c == '[' || c == '{') ++depth;
      if ((c == ']' || c == '}') && depth > 0) --depth;
      if (c == '.') ++dots;
      if (c == '=' || c == ',' || c == '\n') dots = 0;
      if (depth > kMaxNesting || dots > kMaxNesting)
        return TextError{line, column, "tables or keys are nested more than 100 levels deep"};
      if (c == '#') state = Comment;
      if (c == '"') state = next_three == "\"\"\"" ? LongBasic : Basic;
      if (c == '\'') state = next_three == "'''" ? LongLiteral : Literal;
      if (state == LongBasic || state == LongLiteral) i += 2, column += 2;
    } else if ((state == Basic || state == LongBasic) && c == '\\') {
      ++i, ++column;
    } else if ((state == Basic || state == Literal) && c == quote) {
      state = Plain;
    } else if ((state == LongBasic || state == LongLiteral) && next_three == std::string(3, quote)) {
      i += 2, column += 2;
      state = Plain;
      while (text.substr(i + 1, 1) == std::string(1, quote)) ++i, ++column; // up to two more are content
    }
    if (i < text.size() && text[i] == '\n') {
      ++line;
      column = 0;
      if (state != LongBasic && state != LongLiteral) state = Plain;
    }
  }
  return std::nullopt;
}

} // namespace

std::string Diagnostic::to_string() const {
  return position.file + ":" + std::to_string(position.line) + ":" + std::to_string(position.column) + ": " +
         key + ": " + message;
}

std::string Diagnostic::to_string_with_code() const {
  return position.file + ":" + std::to_string(position.line) + ":" + std::to_string(position.column) + ": " +
         code + ": " + key + ": " + message;
}

void sort_and_limit(Diagnostics& diagnostics) {
  const auto sort_key = [](const Diagnostic& diagnostic) {
    return std::tie(diagnostic.position.file, diagnostic.position.line, diagnostic.position.column,
                    diagnostic.key, diagnostic.message);
  };
  std::sort(diagnostics.begin(), diagnostics.end(),
            [&](const Diagnostic& a, const Diagnostic& b) { return sort_key(a) < sort_key(b); });
  diagnostics.erase(
      std::unique(diagnostics.begin(), diagnostics.end(),
                  [&](const Diagnostic& a, const Diagnostic& b) { return sort_key(a) == sort_key(b); }),
      diagnostics.end());
  if (diagnostics.size() <= kMaxDiagnostics) return;
  const std::size_t omitted = diagnostics.size() - kMaxDiagnostics;
  diagnostics.resize(kMaxDiagnostics);
  diagnostics.push_back(
      {diagnostics.back().position, "...", "and " + std::to_string(omitted) + " more errors", "more"});
}

Position position_of(const toml::source_region& region, const Layer& layer) {
  return {layer.file, std::max<unsigned>(1, region.begin.line), std::max<unsigned>(1, region.begin.column)};
}

std::optional<std::string> load_file(const std::filesystem::path& path) {
  std::error_code error;
  const auto size = std::filesystem::file_size(path, error);
  if (error || size > kMaxFileBytes) return std::nullopt;
  std::ifstream in(path, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) return std::nullopt;
  return text.str();
}

namespace {

// `including_files`: the chain of files that include this one.
bool parse_layer(std::string text, const std::string& file, const char* include_key, const FileLoader& load,
                 Diagnostics& errors, Layers& layers, std::vector<std::string> including_files) {
  auto layer = std::make_unique<Layer>();
  layer->file = file;
  if (text.starts_with("\xef\xbb\xbf")) text.erase(0, 3); // a byte order mark, written by some editors
  if (const auto text_error = find_unsupported_text(text)) {
    errors.push_back(
        {{file, text_error->line, text_error->column}, "(syntax)", text_error->message, "syntax"});
    return false;
  }
  try {
    layer->table = toml::parse(text, file);
  } catch (const toml::parse_error& error) {
    errors.push_back(
        {position_of(error.source(), *layer), "(syntax)", std::string(error.description()), "syntax"});
    return false;
  }
  const toml::node* includes = layer->table.get(include_key);
  const Layer& this_layer = *layer;
  layers.push_back(std::move(layer));
  if (includes == nullptr) return true;
  const auto add_error = [&](const toml::node& node, const char* code, std::string message) {
    errors.push_back({position_of(node.source(), this_layer), include_key, std::move(message), code});
    return false;
  };
  std::vector<const toml::node*> include_nodes;
  if (const toml::array* list = includes->as_array()) {
    for (const toml::node& node : *list) include_nodes.insert(include_nodes.begin(), &node);
  } else {
    include_nodes.push_back(includes);
  }
  bool valid = true;
  including_files.push_back(file);
  for (const toml::node* node : include_nodes) {
    const auto name = node->value_exact<std::string>();
    if (!name || name->empty()) return add_error(*node, "type", "must be the path of a file, in quotes");
    const std::string included_path =
        (std::filesystem::path(file).parent_path() / *name).lexically_normal().string();
    if (std::find(including_files.begin(), including_files.end(), included_path) != including_files.end() ||
        layers.size() >= kMaxLayers) {
      return add_error(*node, "include", "more than 8 files build on one another, or they go round");
    }
    auto included_text = load ? load(included_path) : std::nullopt;
    if (!included_text) return add_error(*node, "include", included_path + " can't be read");
    valid = parse_layer(std::move(*included_text), included_path, include_key, load, errors, layers,
                        including_files) &&
            valid;
  }
  return valid;
}

} // namespace

bool parse_layers(std::string text, const std::string& file, const char* include_key, const FileLoader& load,
                  Diagnostics& errors, Layers& layers) {
  return parse_layer(std::move(text), file, include_key, load, errors, layers, {});
}

} // namespace fernward::toml_document
