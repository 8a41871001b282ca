#include "figures/figures.h"

#include <cmath>

namespace fernward::figures {

void Figures::name(std::vector<std::string> classes) {
  if (classes.size() > classes_.size()) classes_.resize(classes.size());
  for (std::size_t i = 0; i < classes.size(); ++i) classes_[i].name = std::move(classes[i]);
}

std::uint64_t Figures::count(std::size_t cls, Outcome how) const {
  return cls < classes_.size() ? classes_[cls].ended[static_cast<std::size_t>(how)] : 0;
}

std::uint64_t Figures::all(Outcome how) const {
  std::uint64_t sum = 0;
  for (std::size_t cls = 0; cls < classes_.size(); ++cls) sum += count(cls, how);
  return sum;
}

std::string Figures::lines() const {
  std::string out;
  const auto line = [&out](const std::string& name, std::uint64_t value) {
    out += "router." + name + "=" + std::to_string(value) + "\n";
  };
  for (std::size_t cls = 0; cls < classes_.size(); ++cls) {
    const std::string& name = classes_[cls].name;
    if (name.empty() || name.front() == '\n') continue; // removed by a reload: no request can name it
    line("answered." + name, count(cls, Outcome::Answered));
    line("deferred." + name, count(cls, Outcome::Deferred));
    line("errored." + name, count(cls, Outcome::Errored));
  }
  line("sends", sends_);
  line("current", current_);
  for (const auto& [name, gauge] : gauges_) line(name, static_cast<std::uint64_t>(std::llround(gauge())));
  return out;
}

} // namespace fernward::figures
