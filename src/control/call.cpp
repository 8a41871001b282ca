#include "control/call.h"

#include <algorithm>
#include <array>
#include <vector>

namespace fernward::control {
namespace {

constexpr std::size_t kMaxNameBytes = 128;

struct Form {
  std::string_view word;
  Command command;
  bool takes_id;
};
constexpr std::array kForms{Form{"ready", Command::Ready, false}, Form{"show-stat", Command::ShowStat, false},
                            Form{"disable-server", Command::DisableServer, true},
                            Form{"enable-server", Command::EnableServer, true}};

std::vector<std::string_view> split_words(std::string_view line) {
  std::vector<std::string_view> all;
  while (true) {
    const auto begin = line.find_first_not_of(" \t");
    if (begin == std::string_view::npos) return all;
    line.remove_prefix(begin);
    const auto end = std::min(line.find_first_of(" \t"), line.size());
    all.push_back(line.substr(0, end));
    line.remove_prefix(end);
  }
}

} // namespace

Parsed parse(std::string_view line) {
  Parsed out;
  const auto fault = [&out](std::string why) {
    out.fault = std::move(why);
    return out;
  };
  const bool printable = std::all_of(line.begin(), line.end(), [](char c) {
    return c == '\t' || (static_cast<unsigned char>(c) >= 0x20 && static_cast<unsigned char>(c) < 0x7f);
  });
  if (!printable) return fault("not a line of text");
  const auto words = split_words(line);
  if (words.empty()) return fault("no call");
  const auto form = std::find_if(kForms.begin(), kForms.end(),
                                 [&](const Form& known) { return known.word == words.front(); });
  if (form == kForms.end())
    return fault("unknown call; there are ready, show-stat, disable-server ID, enable-server ID");
  const std::string name(form->word);
  if (form->takes_id && words.size() < 2) return fault(name + " takes the id of a cache node");
  if (words.size() > (form->takes_id ? 2u : 1u))
    return fault(name + (form->takes_id ? " takes one id and nothing more" : " takes nothing more"));
  if (form->takes_id && words[1].size() > kMaxNameBytes) return fault("the id is too long");
  out.call.command = form->command;
  if (form->takes_id) out.call.endpoint = words[1];
  return out;
}

} // namespace fernward::control
