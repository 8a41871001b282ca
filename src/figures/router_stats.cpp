#include "figures/router_stats.h"

#include <cmath>

namespace fernward::figures {

void RouterStats::set_class_names(std::vector<std::string> class_names) {
  if (class_names.size() > class_counts_.size()) class_counts_.resize(class_names.size());
  for (std::size_t i = 0; i < class_names.size(); ++i) class_counts_[i].name = std::move(class_names[i]);
}

std::uint64_t RouterStats::count(std::size_t class_index, Outcome outcome) const {
  return class_index < class_counts_.size()
             ? class_counts_[class_index].outcome_counts[static_cast<std::size_t>(outcome)]
             : 0;
}

std::uint64_t RouterStats::total(Outcome outcome) const {
  std::uint64_t sum = 0;
  for (std::size_t class_index = 0; class_index < class_counts_.size(); ++class_index)
    sum += count(class_index, outcome);
  return sum;
}

std::string RouterStats::to_text() const {
  std::string text;
  const auto append_line = [&text](const std::string& name, std::uint64_t value) {
    text += "router." + name + "=" + std::to_string(value) + "\n";
  };
  for (std::size_t class_index = 0; class_index < class_counts_.size(); ++class_index) {
    const std::string& name = class_counts_[class_index].name;
    if (name.empty() || name.front() == '\n') continue; // removed by a reload: no request can name it
    append_line("answered." + name, count(class_index, Outcome::Answered));
    append_line("deferred." + name, count(class_index, Outcome::Deferred));
    append_line("errored." + name, count(class_index, Outcome::Errored));
  }
  append_line("sends", attempts_sent_);
  append_line("current", active_requests_);
  for (const auto& [name, gauge] : gauges_)
    append_line(name, static_cast<std::uint64_t>(std::llround(gauge())));
  return text;
}

} // namespace fernward::figures
