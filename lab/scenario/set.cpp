// Sets single values of a Spec from the command line.
#include <algorithm>

#include "lab/scenario/read.h"
#include "lab/scenario/schema.h"
#include "lab/scenario/sound.h"
#include "toml_document/value.h"

namespace fernward::lab {
namespace {

using namespace toml_document;

// "kinds[fast].cores" -> kinds, [fast], cores: an index is a component of its own.
std::vector<std::string> steps_of(const std::string& path) {
  std::vector<std::string> steps{""};
  for (const char c : path) {
    if (c == '.') {
      steps.emplace_back();
    } else if (c == '[') {
      steps.emplace_back("[");
    } else {
      steps.back() += c;
    }
  }
  return steps;
}

// Visits a Spec and sets the one value at `path`.
class Setter : public Visitor {
 public:
  Setter(const model::Spec& spec, const std::string& path, const toml::node& value)
      : names_(spec), steps_(steps_of(path)), value_(value) {}

  bool found = false;
  toml_document::Why why; // why the value could not be set; no text: it could

  void amount(const char* member, double& value, Unit unit, const char*, Word word) override {
    leaf(member, value, [&](const toml::node& n) { return take_amount(n, unit, word, why); });
  }
  void count(const char* member, std::uint32_t& value, const char*, Unit unit) override {
    leaf(member, value, [&](const toml::node& n) { return take_count(n, unit, why); });
  }
  void seed(const char* member, std::uint64_t& value, const char*) override {
    leaf(member, value, [&](const toml::node& n) { return take_seed(n, why); });
  }
  void text(const char* member, std::string& value, bool, const char*) override {
    leaf(member, value, [&](const toml::node& n) { return take_text(n, why); });
  }
  void texts(const char* member, std::vector<std::string>& values, const char*) override {
    many(member, values, [&](const toml::node& n) { return take_text(n, why); });
  }
  void flag(const char* member, bool& value, const char*) override {
    leaf(member, value, [&](const toml::node& n) { return take_flag(n, why); });
  }
  // The kind of an event can't be changed: its other keys would not fit.
  void choice(const char* member, std::size_t& value, Words words, bool needed, const char*) override {
    if (needed && hit(member)) {
      found = true;
      why = {"value", "can't be set here"};
      return;
    }
    leaf(member, value, [&](const toml::node& n) { return take_choice(n, words, why); });
  }
  void choices(const char* member, std::vector<std::size_t>& values, Words words, const char*) override {
    many(member, values, [&](const toml::node& n) { return take_choice(n, words, why); });
  }
  void ref(const char* member, std::uint32_t& value, Table table, bool, const char*) override {
    leaf(member, value, [&](const toml::node& n) { return take_ref(n, table, names_, why); });
  }
  void refs(const char* member, std::vector<std::uint32_t>& values, Table table, const char*) override {
    many(member, values, [&](const toml::node& n) { return take_ref(n, table, names_, why); });
  }
  bool present(const char* member, bool now) override { return now || hit(member); }
  void enter(const char* member, const char*) override { step(key_of(member)); }
  void leave() override {
    if (off_ > 0) {
      --off_;
    } else {
      --depth_;
      if (steps_[depth_].starts_with('[')) --depth_; // also leaves the name of the list
    }
  }
  std::size_t list(const char*, std::size_t size, const char*) override { return size; }
  std::vector<std::string> named(const char*, std::vector<std::string> names, const char*) override {
    return names;
  }
  void item(const char* member, std::size_t index, const std::string& name) override {
    const std::string& wanted = depth_ + 1 < steps_.size() ? steps_[depth_ + 1] : steps_[0];
    const bool this_one =
        wanted == "[" + std::to_string(index) + "]" || (!name.empty() && wanted == "[" + name + "]");
    if (off_ > 0 || depth_ >= steps_.size() || steps_[depth_] != key_of(member) || !this_one) {
      ++off_;
    } else {
      depth_ += 2;
    }
  }

 private:
  void step(const std::string& key) {
    if (off_ > 0 || depth_ >= steps_.size() || steps_[depth_] != key) {
      ++off_;
    } else {
      ++depth_;
    }
  }
  bool hit(const char* member) const {
    return off_ == 0 && depth_ + 1 == steps_.size() && steps_[depth_] == key_of(member);
  }
  template <typename T, typename F>
  void leaf(const char* member, T& value, F take) {
    if (!hit(member)) return;
    found = true;
    if (auto taken = take(value_)) value = *std::move(taken);
  }
  template <typename T, typename F>
  void many(const char* member, std::vector<T>& values, F take) {
    if (!hit(member)) return;
    found = true;
    const toml::array* array = value_.as_array();
    if (!array) {
      why = {"type", "must be a list in [brackets]"};
      return;
    }
    values.clear();
    for (const toml::node& node : *array) {
      if (auto taken = take(node)) values.push_back(*taken);
    }
  }

  const SpecNames names_;
  const std::vector<std::string> steps_;
  const toml::node& value_;
  std::size_t depth_ = 0; // components that match so far
  std::size_t off_ = 0;   // nested parts entered that are not on the path
};

} // namespace

void set_values(Scenario& scenario, const std::vector<std::string>& settings, const Offer& offer) {
  for (const std::string& setting : settings) {
    const std::size_t equals = setting.find('=');
    const std::string path = setting.substr(0, equals);
    const auto fault = [&](std::string why) {
      Fault& made = scenario.faults.emplace_back();
      made.at.file = "--set " + setting;
      made.key = path;
      made.why = std::move(why);
    };
    if (equals == std::string::npos || path.empty()) {
      fault("must be KEY=VALUE");
      continue;
    }
    const toml::table value = value_of(setting.substr(equals + 1));
    const toml::node* node = value.get("value");
    if (!node || value.size() != 1) {
      fault("must be one value");
      continue;
    }
    Setter setter(scenario.spec, path, *node);
    describe(setter, scenario.spec);
    if (!setter.found) fault("there is no such key in this scenario");
    if (!setter.why.text.empty()) fault(setter.why.text);
  }
  // A consistent scenario may have become inconsistent; a faulty one has its faults already.
  if (scenario.sound() && !settings.empty()) {
    const auto places = std::move(scenario.places);
    scenario.places = {};
    check_sound(scenario, "--set " + settings.back(), offer, {});
    scenario.places = places;
  }
}

} // namespace fernward::lab
