#include "control/control_command.h"

#include <algorithm>
#include <array>
#include <vector>

namespace fernward::control {
namespace {

constexpr std::size_t kMaxNameBytes = 128;

struct CommandSyntax {
  std::string_view name;
  CommandType type;
  bool requires_endpoint_name;
};
constexpr std::array kCommandSyntax{CommandSyntax{"ready", CommandType::Ready, false},
                                    CommandSyntax{"show-stat", CommandType::ShowStat, false},
                                    CommandSyntax{"disable-server", CommandType::DisableServer, true},
                                    CommandSyntax{"enable-server", CommandType::EnableServer, true}};

std::vector<std::string_view> split_words(std::string_view line) {
  std::vector<std::string_view> words;
  while (true) {
    const auto begin = line.find_first_not_of(" \t");
    if (begin == std::string_view::npos) return words;
    line.remove_prefix(begin);
    const auto end = std::min(line.find_first_of(" \t"), line.size());
    words.push_back(line.substr(0, end));
    line.remove_prefix(end);
  }
}

} // namespace

ParsedCommand parse_command(std::string_view line) {
  ParsedCommand result;
  const auto fail = [&result](std::string reason) {
    result.error = std::move(reason);
    return result;
  };
  const bool printable = std::all_of(line.begin(), line.end(), [](char c) {
    return c == '\t' || (static_cast<unsigned char>(c) >= 0x20 && static_cast<unsigned char>(c) < 0x7f);
  });
  if (!printable) return fail("not a line of text");
  const auto words = split_words(line);
  if (words.empty()) return fail("no call");
  const auto syntax =
      std::find_if(kCommandSyntax.begin(), kCommandSyntax.end(),
                   [&](const CommandSyntax& candidate) { return candidate.name == words.front(); });
  if (syntax == kCommandSyntax.end())
    return fail("unknown call; there are ready, show-stat, disable-server ID, enable-server ID");
  const std::string command_name(syntax->name);
  if (syntax->requires_endpoint_name && words.size() < 2)
    return fail(command_name + " takes the id of a cache node");
  if (words.size() > (syntax->requires_endpoint_name ? 2u : 1u))
    return fail(command_name +
                (syntax->requires_endpoint_name ? " takes one id and nothing more" : " takes nothing more"));
  if (syntax->requires_endpoint_name && words[1].size() > kMaxNameBytes) return fail("the id is too long");
  result.command.type = syntax->type;
  if (syntax->requires_endpoint_name) result.command.endpoint_name = words[1];
  return result;
}

} // namespace fernward::control
