// Sets single values of a Spec from the command line.
#include <algorithm>

#include "lab/scenario/consistency.h"
#include "lab/scenario/read.h"
#include "lab/scenario/schema.h"
#include "toml_document/value.h"

namespace fernward::lab {
namespace {

using namespace toml_document;

// "kinds[fast].cores" -> kinds, [fast], cores: an index is a component of its own.
std::vector<std::string> path_components(const std::string& path) {
  std::vector<std::string> components{""};
  for (const char character : path) {
    if (character == '.') {
      components.emplace_back();
    } else if (character == '[') {
      components.emplace_back("[");
    } else {
      components.back() += character;
    }
  }
  return components;
}

// Visits a Spec and sets the one value at `path`.
class ValueSetter : public Visitor {
 public:
  ValueSetter(const model::Spec& spec, const std::string& path, const toml::node& value)
      : names_(spec), components_(path_components(path)), value_(value) {}

  bool found = false;
  toml_document::ParseError error; // why the value could not be set; an empty message: it was set

  void amount(const char* member, double& value, Unit unit, const char*,
              SpecialValue special_value) override {
    set_value(member, value,
              [&](const toml::node& n) { return parse_amount(n, unit, special_value, error); });
  }
  void count(const char* member, std::uint32_t& value, const char*, Unit unit) override {
    set_value(member, value, [&](const toml::node& n) { return parse_count(n, unit, error); });
  }
  void seed(const char* member, std::uint64_t& value, const char*) override {
    set_value(member, value, [&](const toml::node& n) { return parse_seed(n, error); });
  }
  void text(const char* member, std::string& value, bool, const char*) override {
    set_value(member, value, [&](const toml::node& n) { return parse_text(n, error); });
  }
  void texts(const char* member, std::vector<std::string>& values, const char*) override {
    set_list(member, values, [&](const toml::node& n) { return parse_text(n, error); });
  }
  void flag(const char* member, bool& value, const char*) override {
    set_value(member, value, [&](const toml::node& n) { return parse_flag(n, error); });
  }
  // A required choice is the kind of an event or the metric of a bound. It can't be changed, because the other keys would
  // not fit.
  void choice(const char* member, std::size_t& value, ChoiceNames choice_names, bool required,
              const char*) override {
    if (required && matches_path(member)) {
      found = true;
      error = {"value", "can't be set here"};
      return;
    }
    set_value(member, value, [&](const toml::node& n) { return parse_choice(n, choice_names, error); });
  }
  void choices(const char* member, std::vector<std::size_t>& values, ChoiceNames choice_names,
               const char*) override {
    set_list(member, values, [&](const toml::node& n) { return parse_choice(n, choice_names, error); });
  }
  void ref(const char* member, std::uint32_t& value, Table table, bool, const char*) override {
    set_value(member, value, [&](const toml::node& n) { return parse_ref(n, table, names_, error); });
  }
  void refs(const char* member, std::vector<std::uint32_t>& values, Table table, const char*) override {
    set_list(member, values, [&](const toml::node& n) { return parse_ref(n, table, names_, error); });
  }
  bool present(const char* member, bool is_present) override { return is_present || matches_path(member); }
  void enter(const char* member, const char*) override { enter_component(key_of(member)); }
  void leave() override {
    if (unmatched_depth_ > 0) {
      --unmatched_depth_;
    } else {
      --matched_depth_;
      if (components_[matched_depth_].starts_with('[')) --matched_depth_; // also leaves the name of the list
    }
  }
  std::size_t list(const char*, std::size_t size, const char*) override { return size; }
  std::vector<std::string> named_items(const char*, std::vector<std::string> names, const char*) override {
    return names;
  }
  void item(const char* member, std::size_t index, const std::string& name) override {
    const std::string& expected_component =
        matched_depth_ + 1 < components_.size() ? components_[matched_depth_ + 1] : components_[0];
    const bool is_addressed_item = expected_component == "[" + std::to_string(index) + "]" ||
                                   (!name.empty() && expected_component == "[" + name + "]");
    if (unmatched_depth_ > 0 || matched_depth_ >= components_.size() ||
        components_[matched_depth_] != key_of(member) || !is_addressed_item) {
      ++unmatched_depth_;
    } else {
      matched_depth_ += 2;
    }
  }

 private:
  void enter_component(const std::string& key) {
    if (unmatched_depth_ > 0 || matched_depth_ >= components_.size() || components_[matched_depth_] != key) {
      ++unmatched_depth_;
    } else {
      ++matched_depth_;
    }
  }
  bool matches_path(const char* member) const {
    return unmatched_depth_ == 0 && matched_depth_ + 1 == components_.size() &&
           components_[matched_depth_] == key_of(member);
  }
  template <typename T, typename F>
  void set_value(const char* member, T& value, F parse) {
    if (!matches_path(member)) return;
    found = true;
    if (auto parsed = parse(value_)) value = *std::move(parsed);
  }
  template <typename T, typename F>
  void set_list(const char* member, std::vector<T>& values, F parse) {
    if (!matches_path(member)) return;
    found = true;
    const toml::array* array = value_.as_array();
    if (!array) {
      error = {"type", "must be a list in [brackets]"};
      return;
    }
    values.clear();
    for (const toml::node& node : *array) {
      if (auto parsed = parse(node)) values.push_back(*parsed);
    }
  }

  const SpecNames names_;
  const std::vector<std::string> components_;
  const toml::node& value_;
  std::size_t matched_depth_ = 0;   // components that match so far
  std::size_t unmatched_depth_ = 0; // depth of the nested parts entered that are not on the path
};

} // namespace

void set_values(Scenario& scenario, const std::vector<std::string>& settings, const RunLimits& limits) {
  for (const std::string& setting : settings) {
    const std::size_t equals_position = setting.find('=');
    const std::string path = setting.substr(0, equals_position);
    const auto add_fault = [&](std::string message) {
      Diagnostic& new_fault = scenario.errors.emplace_back();
      new_fault.position.file = "--set " + setting;
      new_fault.key = path;
      new_fault.message = std::move(message);
    };
    if (equals_position == std::string::npos || path.empty()) {
      add_fault("must be KEY=VALUE");
      continue;
    }
    const toml::table value = parse_value_text(setting.substr(equals_position + 1));
    const toml::node* node = value.get("value");
    if (!node || value.size() != 1) {
      add_fault("must be one value");
      continue;
    }
    ValueSetter setter(scenario.spec, path, *node);
    describe(setter, scenario.spec);
    if (!setter.found) add_fault("there is no such key in this scenario");
    if (!setter.error.message.empty()) add_fault(setter.error.message);
  }
  // A consistent scenario may have become inconsistent; an invalid one has its errors already.
  if (scenario.is_valid() && !settings.empty()) {
    const auto positions = std::move(scenario.positions);
    scenario.positions = {};
    check_consistency(scenario, "--set " + settings.back(), limits, {});
    scenario.positions = positions;
  }
}

} // namespace fernward::lab
