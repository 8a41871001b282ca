#include "lab/scenario/sound.h"

#include <algorithm>
#include <cmath>

#include "lab/scenario/schema.h"
#include "model/plan.h"

namespace fernward::lab {
namespace {

using namespace fernward::model;

constexpr double kMostSteps = 2e6;        // single steps of all events together
constexpr std::size_t kMostEvents = 1000; // per file
constexpr std::size_t kLongestName = 64;

std::string parent(const std::string& path) {
  const std::size_t dot = path.rfind('.');
  return dot == std::string::npos ? "" : path.substr(0, dot);
}

class Checker {
 public:
  Checker(Scenario& scenario, const std::string& file, const Offer& offer,
          const std::set<std::string>& broken)
      : scenario_(scenario), spec_(scenario.spec), file_(file), offer_(offer), broken_(broken) {
    for (const std::string& path : broken) broken_parts_.insert(parent(path));
  }

  void run() {
    for (const model::Fault& f : faults(spec_)) add(f.path, f.why);
    names();
    sizes();
    load();
    unused();
    bounds();
    // A plan exists only for a valid fleet, and is built only if its size is within the limits.
    if (scenario_.faults.empty()) idle_events();
  }

 private:
  // Adds a fault, unless it may be a consequence of a value that could not be parsed: then a missing or an
  // unused entry proves nothing.
  void add(const std::string& path, std::string why) {
    if (!broken_.empty()) {
      if (!scenario_.places.contains(path) || broken_.contains(path)) return;
      if (broken_parts_.contains(parent(path))) return;
      const bool timed = path.starts_with("events") || path.starts_with("holds");
      if (timed && broken_.contains("duration_ms")) return;
    }
    scenario_.faults.push_back({place(path), key_of(path), std::move(why), "sense"});
  }
  // The position of the member or, if the file omits it, of the table that would contain it.
  Position place(std::string path) const {
    while (!path.empty()) {
      const auto found = scenario_.places.find(path);
      if (found != scenario_.places.end()) return found->second;
      path = parent(path);
    }
    return {file_, 1, 1};
  }
  static std::string at(const char* table, std::size_t i, const char* member) {
    return std::string(table) + "[" + std::to_string(i) + "]." + member;
  }

  // ---- names ----

  template <typename T>
  void names_of(const char* table, const std::vector<T>& items) {
    std::set<std::string> seen;
    for (std::size_t i = 0; i < items.size(); ++i) {
      const std::string& name = items[i].name;
      const std::string path = at(table, i, "name");
      if (name.empty()) {
        add(path, "must not be empty");
      } else if (!seen.insert(name).second) {
        add(path, "\"" + name + "\" is already the name of an earlier one");
      } else if (name.size() > kLongestName || !std::all_of(name.begin(), name.end(), wire_character)) {
        add(path, "must be up to 64 letters, digits, '-', '_' or '.', as it is sent on the wire");
      }
    }
  }
  static bool wire_character(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
  }
  void names() {
    names_of("zones", spec_.zones);
    names_of("kinds", spec_.kinds);
    names_of("nodes", spec_.nodes);
    names_of("classes", spec_.classes);
    names_of("tenants", spec_.tenants);
    for (std::size_t i = 0; i < spec_.kinds.size(); ++i) {
      if (spec_.kinds[i].name == kOriginKindName) add(at("kinds", i, "name"), "is reserved for the origin");
    }
    for (std::size_t i = 0; i < spec_.nodes.size(); ++i) {
      if (spec_.nodes[i].name == kOriginKindName) add(at("nodes", i, "name"), "is reserved for the origin");
    }
  }

  // ---- sizes ----

  void sizes() {
    std::uint64_t nodes = 0, routers = 0;
    for (const NodeGroup& g : spec_.nodes) nodes += std::uint64_t{g.count} + g.standby;
    for (const RouterGroup& g : spec_.routers.groups) routers += g.count;
    if (nodes > offer_.nodes) {
      add("nodes", std::to_string(nodes) + " nodes, and " + std::to_string(offer_.nodes) + " can be played");
    }
    const std::uint32_t most = spec_.routers.sharing.on ? offer_.sharing_routers : offer_.routers;
    if (routers > most) {
      add("routers.groups", std::to_string(routers) + " routers, and " + std::to_string(most) +
                                " can be played" +
                                (spec_.routers.sharing.on && most < offer_.routers ? " that share" : ""));
    }
    if (spec_.discovery.congestion.on() && !offer_.congestion) {
      add("discovery.congestion",
          "is supported on sockets only: in virtual time every change is delivered separately");
    }
    if (spec_.events.size() > kMostEvents) add("events", "more than 1000 events");
    double steps = 0;
    for (std::size_t i = 0; i < spec_.events.size(); ++i) {
      const double each =
          static_cast<double>(std::min<std::uint64_t>(nodes, offer_.nodes)) + static_cast<double>(routers);
      double spells = 2;
      if (const auto* n = std::get_if<Neighbour>(&spec_.events[i].what)) {
        const double until = n->until_ms > 0 ? n->until_ms : spec_.duration_ms;
        if (n->on_ms > 0 && n->off_ms > 0) {
          spells += 2 * std::max(0.0, until - spec_.events[i].at_ms) / (n->on_ms + n->off_ms);
        }
      }
      steps += each * spells;
      if (steps > kMostSteps) {
        add(at("events", i, "what"), "the events up to this one have more than 2,000,000 single steps");
        break;
      }
    }
  }

  // ---- load ----

  void load() {
    const double peak = peak_rate(spec_);
    if (peak > offer_.rate_per_s) {
      add("load.rate_per_s", "reaches " + toml_document::quantity_text(Unit::Rate, std::ceil(peak)) +
                                 " at its peak, and this machine can offer " +
                                 toml_document::quantity_text(Unit::Rate, offer_.rate_per_s));
    }
    for (std::size_t i = 0; i < spec_.classes.size(); ++i) {
      if (!(spec_.classes[i].share > 0)) add(at("classes", i, "share"), "no client sends this class");
    }
    double shares = 0;
    for (const TenantSpec& t : spec_.tenants) shares += t.share;
    if (shares > 1.001) {
      add("tenants",
          "the sum of their shares is " + toml_document::number_text(std::round(shares * 1000) / 10) + "%");
    }
    if (spec_.clients.resting > spec_.routers.sockets) {
      add("clients.resting", "exceeds the sockets of a router");
    }
  }

  // ---- unused entries, which are more often a typing error than intended ----

  void unused() {
    std::vector<bool> kind(spec_.kinds.size()), zone(spec_.zones.size());
    zone_has_node_.assign(spec_.zones.size(), false);
    for (const NodeGroup& g : spec_.nodes) {
      if (g.count + g.standby == 0) continue;
      if (g.kind < kind.size()) kind[g.kind] = true;
      if (g.zone < zone.size()) zone[g.zone] = zone_has_node_[g.zone] = true;
    }
    for (const RouterGroup& g : spec_.routers.groups) {
      if (g.zone < zone.size() && g.count > 0) zone[g.zone] = true;
    }
    if (spec_.origin.on && spec_.origin.zone < zone.size()) zone[spec_.origin.zone] = true;
    for (std::size_t i = 0; i < kind.size(); ++i) {
      if (!kind[i]) add(at("kinds", i, "name"), "no node is of this kind");
    }
    for (std::size_t i = 0; i < zone.size(); ++i) {
      if (!zone[i]) add(at("zones", i, "name"), "no node, router or origin is in this zone");
    }
    for (std::size_t i = 0; i < spec_.events.size(); ++i) {
      std::visit(
          [&](const auto& what) {
            if constexpr (requires { what.who.group; }) picked(i, "who", what.who);
            if constexpr (requires { what.nodes.group; }) picked(i, "nodes", what.nodes);
          },
          spec_.events[i].what);
    }
  }
  void picked(std::size_t event, const char* member, const NodePick& who) {
    if (who.zone && *who.zone < zone_has_node_.size() && !zone_has_node_[*who.zone]) {
      add(at("events", event, member) + ".zone", "no node is in this zone");
    }
  }

  void idle_events() {
    Plan plan = make_plan(spec_);
    std::sort(plan.idle.begin(), plan.idle.end());
    plan.idle.erase(std::unique(plan.idle.begin(), plan.idle.end()), plan.idle.end());
    for (const std::uint32_t i : plan.idle) {
      add(at("events", i, "what"), "finds no node or router that it can apply to at that time");
    }
  }

  // ---- rules and bounds ----

  void bounds() {
    for (std::size_t i = 0; i < spec_.holds.bounds.size(); ++i) {
      const Bound& b = spec_.holds.bounds[i];
      const auto path = [&](const char* member) { return at("holds.bounds", i, member); };
      if (b.to_ms > spec_.duration_ms) add(path("to_ms"), "is past the end of the scenario");
      if (b.at_least && b.at_most && *b.at_least > *b.at_most) add(path("at_most"), "is below at_least");
      if (!(b.level >= 0 && b.level <= 1)) add(path("level"), "must be a share from 0 to 1");
      const bool fleet = b.metric == Metric::OriginPerS || b.metric == Metric::OriginPeakPerS ||
                         b.metric == Metric::FetchSurge || b.metric == Metric::HitRatio ||
                         b.metric == Metric::HandshakesPerRequest;
      if (fleet && b.tenant) add(path("tenant"), "machines don't know the tenant of a request");
      if (b.metric == Metric::HandshakesPerRequest && b.cls) add(path("cls"), "connections have no class");
      if ((b.metric == Metric::WorstClass && b.cls) || (b.metric == Metric::WorstTenant && b.tenant)) {
        add(path(b.metric == Metric::WorstClass ? "cls" : "tenant"),
            "cannot be combined with this metric: the worst of one is that one");
      }
      if (b.metric == Metric::FetchSurge && b.from_ms <= 0) {
        add(path("from_ms"), "must be above 0: the rate before it is the steady rate");
      }
      if (b.tenant && *b.tenant < spec_.tenants.size()) {
        const TenantSpec& t = spec_.tenants[*b.tenant];
        if (!(t.share * t.usage > 0)) add(path("tenant"), "this tenant sends no requests");
      }
      if ((b.metric == Metric::HitRatio || b.metric == Metric::OriginPerS ||
           b.metric == Metric::OriginPeakPerS || b.metric == Metric::FetchSurge) &&
          !spec_.origin.on) {
        add(path("metric"), "there is no origin");
      }
    }
  }

  Scenario& scenario_;
  const Spec& spec_;
  const std::string& file_;
  const Offer& offer_;
  const std::set<std::string>& broken_;
  std::set<std::string> broken_parts_;
  std::vector<bool> zone_has_node_;
};

} // namespace

double peak_rate(const Spec& spec) {
  const LoadSpec& l = spec.load;
  double shape = 1;
  if (l.shape == LoadShape::Ramp) shape = std::max(1.0, l.ramp_to);
  if (l.shape == LoadShape::Day) shape = 1 + l.swing;
  // The factors of overlapping spikes multiply, and their product is highest at the start of one of them.
  double spikes = 1;
  for (const TimedEvent& at : spec.events) {
    if (!std::holds_alternative<LoadSpike>(at.what)) continue;
    double together = 1;
    for (const TimedEvent& other : spec.events) {
      const auto* spike = std::get_if<LoadSpike>(&other.what);
      if (!spike || other.at_ms > at.at_ms) continue;
      if (spike->until_ms == 0 || spike->until_ms > at.at_ms) together *= spike->factor;
    }
    spikes = std::max(spikes, together);
  }
  return l.rate_per_s * shape * spikes;
}

void check_sound(Scenario& scenario, const std::string& file, const Offer& offer,
                 const std::set<std::string>& broken) {
  Checker(scenario, file, offer, broken).run();
}

} // namespace fernward::lab
