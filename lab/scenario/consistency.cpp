#include "lab/scenario/consistency.h"

#include <algorithm>
#include <cmath>

#include "lab/scenario/schema.h"
#include "model/plan.h"

namespace fernward::lab {
namespace {

using namespace fernward::model;

constexpr double kMaxSteps = 2e6;          // upper estimate of the steps of all events together
constexpr std::size_t kMaxEvents = 1000;   // per file
constexpr std::size_t kMaxNameLength = 64; // bytes

std::string parent_path(const std::string& path) {
  const std::size_t dot = path.rfind('.');
  return dot == std::string::npos ? "" : path.substr(0, dot);
}

// Checks one scenario; used once, by check_consistency().
class ConsistencyChecker {
 public:
  ConsistencyChecker(Scenario& scenario, const std::string& file, const RunLimits& limits,
                     const std::set<std::string>& invalid)
      : scenario_(scenario), spec_(scenario.spec), file_(file), limits_(limits), invalid_(invalid) {
    for (const std::string& path : invalid) invalid_tables_.insert(parent_path(path));
  }

  void run() {
    for (const model::SpecError& fault : find_spec_errors(spec_)) add(fault.path, fault.reason);
    check_names();
    check_sizes();
    check_load();
    check_unused();
    check_bounds();
    // A plan exists only for a valid fleet, and is built only if its size is within the limits.
    if (scenario_.errors.empty()) check_events_without_target();
  }

 private:
  // Adds a fault, unless it may be the consequence of a value that could not be parsed, such as an entry that
  // seems unused because the reference to it is invalid.
  void add(const std::string& path, std::string message) {
    if (!invalid_.empty()) {
      if (!scenario_.positions.contains(path) || invalid_.contains(path)) return;
      if (invalid_tables_.contains(parent_path(path))) return;
      const bool depends_on_duration = path.starts_with("events") || path.starts_with("holds");
      if (depends_on_duration && invalid_.contains("duration_ms")) return;
    }
    scenario_.errors.push_back({position_of(path), key_of(path), std::move(message), "sense"});
  }
  // The position of the member or, if the file omits it, of the innermost table that would contain it.
  Position position_of(std::string path) const {
    while (!path.empty()) {
      const auto found = scenario_.positions.find(path);
      if (found != scenario_.positions.end()) return found->second;
      path = parent_path(path);
    }
    return {file_, 1, 1};
  }
  static std::string member_path(const char* table, std::size_t i, const char* member) {
    return std::string(table) + "[" + std::to_string(i) + "]." + member;
  }

  // ---- names ----

  template <typename T>
  void check_name_list(const char* table, const std::vector<T>& items) {
    std::set<std::string> seen;
    for (std::size_t i = 0; i < items.size(); ++i) {
      const std::string& name = items[i].name;
      const std::string path = member_path(table, i, "name");
      if (name.empty()) {
        add(path, "must not be empty");
      } else if (!seen.insert(name).second) {
        add(path, "\"" + name + "\" is already the name of an earlier one");
      } else if (name.size() > kMaxNameLength || !std::all_of(name.begin(), name.end(), is_wire_character)) {
        add(path, "must be up to 64 letters, digits, '-', '_' or '.', as it is sent on the wire");
      }
    }
  }
  static bool is_wire_character(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  }
  void check_names() {
    check_name_list("zones", spec_.zones);
    check_name_list("kinds", spec_.kinds);
    check_name_list("nodes", spec_.nodes);
    check_name_list("classes", spec_.classes);
    check_name_list("tenants", spec_.tenants);
    for (std::size_t i = 0; i < spec_.kinds.size(); ++i) {
      if (spec_.kinds[i].name == kOriginKindName)
        add(member_path("kinds", i, "name"), "is reserved for the origin");
    }
    for (std::size_t i = 0; i < spec_.nodes.size(); ++i) {
      if (spec_.nodes[i].name == kOriginKindName)
        add(member_path("nodes", i, "name"), "is reserved for the origin");
    }
  }

  // ---- sizes ----

  void check_sizes() {
    std::uint64_t nodes = 0, routers = 0;
    for (const NodeGroup& group : spec_.nodes) nodes += std::uint64_t{group.count} + group.standby;
    for (const RouterGroup& group : spec_.routers.groups) routers += group.count;
    if (nodes > limits_.nodes) {
      add("nodes", std::to_string(nodes) + " nodes, and " + std::to_string(limits_.nodes) + " can be played");
    }
    const std::uint32_t max_routers =
        spec_.routers.sharing.enabled ? limits_.sharing_routers : limits_.routers;
    if (routers > max_routers) {
      add("routers.groups",
          std::to_string(routers) + " routers, and " + std::to_string(max_routers) + " can be played" +
              (spec_.routers.sharing.enabled && max_routers < limits_.routers ? " that share" : ""));
    }
    if (spec_.discovery.congestion.enabled() && !limits_.congestion) {
      add("discovery.congestion",
          "is supported on sockets only: in virtual time every change is delivered separately");
    }
    if (spec_.events.size() > kMaxEvents) add("events", "more than 1000 events");
    double steps = 0;
    for (std::size_t i = 0; i < spec_.events.size(); ++i) {
      const double steps_per_phase =
          static_cast<double>(std::min<std::uint64_t>(nodes, limits_.nodes)) + static_cast<double>(routers);
      double phases = 2;
      if (const auto* neighbour = std::get_if<NoisyNeighbour>(&spec_.events[i].what)) {
        const double until = neighbour->until_ms > 0 ? neighbour->until_ms : spec_.duration_ms;
        if (neighbour->on_ms > 0 && neighbour->off_ms > 0) {
          phases += 2 * std::max(0.0, until - spec_.events[i].at_ms) / (neighbour->on_ms + neighbour->off_ms);
        }
      }
      steps += steps_per_phase * phases;
      if (steps > kMaxSteps) {
        add(member_path("events", i, "what"),
            "the events up to this one have more than 2,000,000 single steps");
        break;
      }
    }
  }

  // ---- load ----

  void check_load() {
    const double peak = peak_rate(spec_);
    if (peak > limits_.rate_per_s) {
      add("load.rate_per_s", "reaches " + toml_document::format_quantity(Unit::Rate, std::ceil(peak)) +
                                 " at its peak, and this machine can offer " +
                                 toml_document::format_quantity(Unit::Rate, limits_.rate_per_s));
    }
    for (std::size_t i = 0; i < spec_.classes.size(); ++i) {
      if (!(spec_.classes[i].share > 0))
        add(member_path("classes", i, "share"), "no client sends this class");
    }
    double share_sum = 0;
    for (const TenantSpec& tenant : spec_.tenants) share_sum += tenant.share;
    if (share_sum > 1.001) {
      add("tenants", "the sum of their shares is " +
                         toml_document::format_number(std::round(share_sum * 1000) / 10) + "%");
    }
    if (spec_.clients.idle_connections > spec_.routers.max_sockets) {
      add("clients.resting", "exceeds the sockets of a router");
    }
  }

  // ---- unused entries, which are more often a mistake than intended ----

  void check_unused() {
    std::vector<bool> kind_used(spec_.kinds.size()), zone_used(spec_.zones.size());
    zone_has_node_.assign(spec_.zones.size(), false);
    for (const NodeGroup& group : spec_.nodes) {
      if (group.count + group.standby == 0) continue;
      if (group.kind < kind_used.size()) kind_used[group.kind] = true;
      if (group.zone < zone_used.size()) zone_used[group.zone] = zone_has_node_[group.zone] = true;
    }
    for (const RouterGroup& group : spec_.routers.groups) {
      if (group.zone < zone_used.size() && group.count > 0) zone_used[group.zone] = true;
    }
    if (spec_.origin.enabled && spec_.origin.zone < zone_used.size()) zone_used[spec_.origin.zone] = true;
    for (std::size_t i = 0; i < kind_used.size(); ++i) {
      if (!kind_used[i]) add(member_path("kinds", i, "name"), "no node is of this kind");
    }
    for (std::size_t i = 0; i < zone_used.size(); ++i) {
      if (!zone_used[i]) add(member_path("zones", i, "name"), "no node, router or origin is in this zone");
    }
    for (std::size_t i = 0; i < spec_.events.size(); ++i) {
      std::visit(
          [&](const auto& what) {
            if constexpr (requires { what.who.group; }) check_selector(i, "who", what.who);
            if constexpr (requires { what.nodes.group; }) check_selector(i, "nodes", what.nodes);
          },
          spec_.events[i].what);
    }
  }
  void check_selector(std::size_t event, const char* member, const NodeSelector& selector) {
    if (selector.zone && *selector.zone < zone_has_node_.size() && !zone_has_node_[*selector.zone]) {
      add(member_path("events", event, member) + ".zone", "no node is in this zone");
    }
  }

  void check_events_without_target() {
    Plan plan = make_plan(spec_);
    std::sort(plan.events_without_target.begin(), plan.events_without_target.end());
    plan.events_without_target.erase(
        std::unique(plan.events_without_target.begin(), plan.events_without_target.end()),
        plan.events_without_target.end());
    for (const std::uint32_t i : plan.events_without_target) {
      add(member_path("events", i, "what"), "finds no node or router that it can apply to at that time");
    }
  }

  // ---- rules and bounds ----

  void check_bounds() {
    for (std::size_t i = 0; i < spec_.expectations.bounds.size(); ++i) {
      const Bound& bound = spec_.expectations.bounds[i];
      const auto path = [&](const char* member) { return member_path("holds.bounds", i, member); };
      if (bound.to_ms > spec_.duration_ms) add(path("to_ms"), "is past the end of the scenario");
      if (bound.at_least && bound.at_most && *bound.at_least > *bound.at_most)
        add(path("at_most"), "is below at_least");
      if (!(bound.level >= 0 && bound.level <= 1)) add(path("level"), "must be a share from 0 to 1");
      const bool is_fleet_metric =
          bound.metric == Metric::OriginPerS || bound.metric == Metric::OriginPeakPerS ||
          bound.metric == Metric::FetchSurgeFactor || bound.metric == Metric::HitRatio ||
          bound.metric == Metric::HandshakesPerRequest;
      if (is_fleet_metric && bound.tenant) add(path("tenant"), "machines don't know the tenant of a request");
      if (bound.metric == Metric::HandshakesPerRequest && bound.cls)
        add(path("cls"), "connections have no class");
      if ((bound.metric == Metric::WorstClass && bound.cls) ||
          (bound.metric == Metric::WorstTenant && bound.tenant)) {
        add(path(bound.metric == Metric::WorstClass ? "cls" : "tenant"),
            "cannot be combined with this metric: the worst of one is that one");
      }
      if (bound.metric == Metric::FetchSurgeFactor && bound.from_ms <= 0) {
        add(path("from_ms"), "must be above 0: the rate before it is the steady rate");
      }
      if (bound.tenant && *bound.tenant < spec_.tenants.size()) {
        const TenantSpec& tenant = spec_.tenants[*bound.tenant];
        if (!(tenant.share * tenant.usage_factor > 0)) add(path("tenant"), "this tenant sends no requests");
      }
      if ((bound.metric == Metric::HitRatio || bound.metric == Metric::OriginPerS ||
           bound.metric == Metric::OriginPeakPerS || bound.metric == Metric::FetchSurgeFactor) &&
          !spec_.origin.enabled) {
        add(path("metric"), "there is no origin");
      }
    }
  }

  Scenario& scenario_;
  const Spec& spec_;
  const std::string& file_;
  const RunLimits& limits_;
  const std::set<std::string>& invalid_;
  std::set<std::string> invalid_tables_;
  std::vector<bool> zone_has_node_;
};

} // namespace

double peak_rate(const Spec& spec) {
  const LoadSpec& load = spec.load;
  double shape_factor = 1;
  if (load.shape == LoadShape::Ramp) shape_factor = std::max(1.0, load.ramp_to);
  if (load.shape == LoadShape::Day) shape_factor = 1 + load.swing;
  // The factors of overlapping spikes multiply, and their product is highest at the start of one of them.
  double max_spike_factor = 1;
  for (const TimedEvent& timed_event : spec.events) {
    if (!std::holds_alternative<LoadSpike>(timed_event.what)) continue;
    double combined_factor = 1;
    for (const TimedEvent& other : spec.events) {
      const auto* spike = std::get_if<LoadSpike>(&other.what);
      if (!spike || other.at_ms > timed_event.at_ms) continue;
      if (spike->until_ms == 0 || spike->until_ms > timed_event.at_ms) combined_factor *= spike->factor;
    }
    max_spike_factor = std::max(max_spike_factor, combined_factor);
  }
  return load.rate_per_s * shape_factor * max_spike_factor;
}

void check_consistency(Scenario& scenario, const std::string& file, const RunLimits& limits,
                       const std::set<std::string>& invalid) {
  ConsistencyChecker(scenario, file, limits, invalid).run();
}

} // namespace fernward::lab
