#include "app_config/sound.h"

#include <netinet/in.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>

#include "app_config/keys.h"
#include "app_config/ledger.h"
#include "config/address.h"
#include "config/config.h"

namespace fernward::app_config {
namespace {

constexpr std::size_t kLongestPath = 107; // of a unix socket path, a kernel limit
constexpr std::size_t kLongestName = 64;
constexpr double kLedgerOnly = 0.95, kLedgerMuch = 0.5;

std::string percent(double share) {
  char text[32];
  std::snprintf(text, sizeof text, "%.0f%%", 100 * share);
  return text;
}

std::string time(double ms) {
  return toml_document::quantity_text(toml_document::Unit::Time, std::round(ms * 1000) / 1000);
}

// Whether a header can carry the name as a single token.
bool wordlike(const std::string& name) {
  return !name.empty() && name.size() <= kLongestName && std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
           c == '_' || c == '.';
  });
}

class Checker {
 public:
  Checker(Setup& setup, const std::string& file, const std::set<std::string>& broken)
      : setup_(setup), app_(setup.app), file_(file), broken_(broken) {}

  void run() {
    top();
    fleet();
    classes();
    tenants();
    mapping();
    limits();
    rest();
    ledger();
  }

 private:
  bool good(const std::string& member) const { return !broken_.contains(member); }
  void fault(const std::string& member, const char* code, std::string why) {
    add(setup_.faults, member, code, std::move(why));
  }
  void warn(const std::string& member, const char* code, std::string why) {
    add(setup_.warnings, member, code, std::move(why));
  }
  void add(toml_document::Faults& to, const std::string& member, const char* code, std::string why) {
    if (!good(member)) return; // already reported
    to.push_back({place_of(setup_, member, file_), toml_document::key_of(member), std::move(why), code});
  }
  void at_most(const std::string& member, double value, double most, const char* shown) {
    if (value > most) fault(member, "value", std::string("must be ") + shown + " at most");
  }
  void above(const std::string& member, double value) {
    if (!(value > 0)) fault(member, "value", "must be above 0");
  }
  bool address(const std::string& member, const std::string& text) {
    sockaddr_in where{};
    if (config::parse_address(text, where)) return true;
    fault(member, "address", "\"" + text + "\" is not an address of the form 10.0.0.4:7070");
    return false;
  }

  void top() {
    for (const auto& [member, text] : {std::pair("name", &app_.name), {"listen", &app_.listen}}) {
      if (setup_.places.contains(member) && text->empty()) fault(member, "value", "must not be empty");
    }
    if (good("name") && !app_.name.empty() && !wordlike(app_.name)) {
      fault("name", "name", "must consist of at most 64 letters, digits, \"-\", \"_\" and \".\"");
    }
    if (!good("listen") || app_.listen.empty()) return;
    constexpr std::string_view kUnixPrefix = "unix:";
    if (app_.listen.starts_with(kUnixPrefix)) {
      const std::string path = app_.listen.substr(kUnixPrefix.size());
      if (path.empty() || path.front() != '/') {
        fault("listen", "listen-path", "the path of a unix socket must begin with \"/\"");
      } else if (path.size() > kLongestPath) {
        fault("listen", "listen-path",
              "the path of a unix socket must have at most 107 bytes; this one has " +
                  std::to_string(path.size()));
      }
    } else if (address("listen", app_.listen) && app_.listen.ends_with(":0") &&
               app_.listen.rfind(":0") == app_.listen.size() - 2) {
      warn("listen", "listen-any",
           "port 0 selects a different port at each start, which clients do not know");
    }
  }

  void fleet() {
    const FleetSetup& f = app_.fleet;
    if (good("fleet.zones")) {
      if (f.zones.empty()) fault("fleet.zones", "value", "must name one zone or more");
      std::set<std::string> seen;
      for (const std::string& zone : f.zones) {
        if (!wordlike(zone))
          fault("fleet.zones", "name", "\"" + zone + "\" is not a name of letters and digits");
        if (!seen.insert(zone).second) fault("fleet.zones", "twice", "contains \"" + zone + "\" twice");
      }
    }
    for (const KindSetup& kind : f.kinds) {
      if (!wordlike(kind.name))
        fault("fleet.kinds." + kind.name, "name", "must consist of at most 64 letters and digits");
    }
    const bool from_discovery = !f.discovery.empty(), from_file = !f.file.empty(), listed = !f.nodes.empty();
    const int sources = from_discovery + from_file + listed;
    if (sources == 0 && good("fleet") && good("fleet.discovery") && good("fleet.file") &&
        good("fleet.nodes")) {
      fault("fleet", "no-source", "no source of nodes: set `discovery`, `file`, or [fleet.nodes.NAME]");
    }
    if (sources > 1) {
      fault(from_file ? "fleet.file" : "fleet.nodes", "two-sources",
            "nodes must come from one source: `discovery`, `file` or [fleet.nodes], not from two");
    }
    if (from_discovery) address("fleet.discovery", f.discovery);
    std::map<std::string, std::string> taken;
    bool ledger = false;
    std::set<std::uint32_t> zones;
    for (const NodeSetup& node : f.nodes) {
      const std::string at = "fleet.nodes." + node.name;
      if (!wordlike(node.name)) fault(at, "name", "must consist of at most 64 letters and digits");
      if (node.address.empty() || !good(at + ".address")) continue;
      if (address(at + ".address", node.address)) {
        const auto [it, fresh] = taken.emplace(node.address, node.name);
        if (!fresh)
          fault(at + ".address", "twice",
                "is already the address of node \"" + it->second + "\" in this file");
      }
      ledger = ledger || (f.ledger && kind_of(f, node) == *f.ledger);
      zones.insert(node.zone.value_or(0));
    }
    const bool readable = std::none_of(broken_.begin(), broken_.end(),
                                       [](const std::string& m) { return m.starts_with("fleet.nodes"); });
    if (listed && f.ledger && !ledger && readable && good("fleet.ledger")) {
      fault("fleet.ledger", "no-ledger", "no node is of this kind, so cache misses could not be fetched");
    }
    if (listed && f.zone && !zones.contains(*f.zone)) {
      warn("fleet.zone", "zone-empty",
           "no node is in the router's own zone: every request is sent to another zone");
    }
    at_most("fleet.start_capacity", f.start_capacity, 1, "100%");
  }

  void classes() {
    if (app_.classes.empty() && good("classes")) {
      fault("classes", "no-classes", "no class of requests: set [classes.NAME]");
    }
    for (const ClassSetup& c : app_.classes) {
      const std::string at = "classes." + c.name;
      const auto member = [&](const char* name) { return at + "." + name; };
      if (!wordlike(c.name))
        fault(at, "name", "must consist of at most 64 letters, digits, \"-\", \"_\" and \".\"");
      at_most(member("late_share"), c.late_share, 1, "100%");
      at_most(member("traffic"), c.traffic, 1, "100%");
      const bool timed = good(member("give_up_ms"));
      if (timed && c.give_up_ms <= 0) {
        fault(setup_.places.contains(member("give_up_ms")) ? member("give_up_ms") : at, "missing",
              "give_up is missing: set how long clients wait");
        continue;
      }
      if (!timed) continue;
      if (c.aim_ms > c.give_up_ms) {
        fault(member("aim_ms"), "aim-past-give-up",
              "is longer than give_up (" + time(c.give_up_ms) + "): no client waits for such a response");
      }
      const double delay = app_.fleet.delay_ms;
      if (delay > 0 && c.give_up_ms <= 2 * delay) {
        fault(member("give_up_ms"), "give-up-too-short",
              "is not longer than the round trip to the farthest node (" + time(2 * delay) + ")");
        continue;
      }
      retries(c, at, delay);
    }
  }

  void retries(const ClassSetup& c, const std::string& at, double delay) {
    const auto member = [&](const char* name) { return at + "." + name; };
    if (!good(member("repeat")) || !good(member("window_ms"))) return;
    const bool allowed = c.retries.value_or(0) > 0;
    if (allowed && c.repeat == Idempotency::NonIdempotent) {
      fault(member("retries"), "retry-unsafe",
            "an unsafe request is never retried once it may have run: set 0, or `repeat = \"keyed\"` with a "
            "window");
    }
    if (c.repeat == Idempotency::WithKey && c.window_ms <= 0) {
      const std::string why =
          "a keyed request is retried only within its window, and there is none: set `window`";
      if (allowed) fault(member("retries"), "window-missing", why);
      if (!allowed && !c.retries) warn(at, "window-missing", why + ", or `retries = 0`");
    }
    if (c.retry_for_ms && c.repeat != Idempotency::WithKey) {
      fault(member("retry_for_ms"), "retry-for-unkeyed", "applies only to `repeat = \"keyed\"`");
    } else if (c.retry_for_ms && *c.retry_for_ms > c.window_ms && c.window_ms > 0) {
      fault(member("retry_for_ms"), "retry-past-window",
            "is longer than the window (" + time(c.window_ms) + "): a later retry would run twice");
    }
    if (c.repeat != Idempotency::WithKey && c.window_ms > 0) {
      warn(member("window_ms"), "window-unused", "applies only to `repeat = \"keyed\"`");
    }
    if (c.retries && good(member("retries")) && app_.attempts.most > 0 &&
        *c.retries + 1 > app_.attempts.most) {
      fault(member("retries"), "retries-past-most",
            "including the first attempt, this exceeds attempts.most (" + std::to_string(app_.attempts.most) +
                ")");
    }
    const double each = 2 * delay + app_.expect.work_ms;
    const std::uint32_t attempts = c.retries ? *c.retries + 1 : app_.attempts.most;
    if (each > 0 && attempts > 1 && attempts * each > c.give_up_ms && good("attempts.most")) {
      const std::string why = std::to_string(attempts) + " attempts of " + time(each) +
                              " (round trip and work) do not fit into give_up (" + time(c.give_up_ms) + ")";
      if (c.retries) {
        fault(member("retries"), "attempts-do-not-fit", why);
      } else {
        warn(at, "attempts-do-not-fit", why);
      }
    }
  }

  void tenants() {
    double sum = 0;
    bool readable = true;
    for (const TenantSetup& t : app_.tenants) {
      const std::string at = "tenants." + t.name;
      if (!wordlike(t.name))
        fault(at, "name", "must consist of at most 64 letters, digits, \"-\", \"_\" and \".\"");
      at_most(at + ".share", t.share, 1, "100%");
      readable = readable && good(at + ".share") && t.share <= 1;
      sum += t.share;
    }
    if (readable && sum > 1 + 1e-9) {
      const auto largest = std::max_element(app_.tenants.begin(), app_.tenants.end(),
                                            [](const auto& a, const auto& b) { return a.share < b.share; });
      fault("tenants." + largest->name + ".share", "shares",
            "the shares of all tenants add up to " + percent(sum) + ", which is more than 100%");
    }
  }

  void mapping() {
    for (std::size_t i = 0; i < app_.map.size(); ++i) {
      const MapSetup& m = app_.map[i];
      const std::string at = "map[" + std::to_string(i) + "]";
      if (!m.path.empty() && m.path.front() != '/') fault(at + ".path", "value", "must begin with \"/\"");
      for (std::size_t before = 0; before < i; ++before) {
        const MapSetup& b = app_.map[before];
        if (b.path.empty() || !m.path.starts_with(b.path) ||
            (b.method != Method::Any && b.method != m.method))
          continue;
        warn(at + ".path", "map-hidden",
             "never matches: the earlier entry for \"" + b.path + "\" matches all of its requests");
        break;
      }
      if (!good(at + ".cls") || m.cls >= app_.classes.size()) continue;
      const ClassSetup& c = app_.classes[m.cls];
      if (c.write && m.method == Method::Get) {
        fault(at + ".cls", "read-as-write",
              "class \"" + c.name + "\" is for writes, which go to the ledger; GET is a read");
      }
      if (m.timeout_ms && good(at + ".timeout_ms") && *m.timeout_ms > c.give_up_ms && c.give_up_ms > 0) {
        warn(at + ".timeout_ms", "timeout-past-give-up",
             "is limited to the class's give_up (" + time(c.give_up_ms) + ")");
      }
    }
  }

  void limits() {
    const LimitSetup& l = app_.limits;
    if (l.sockets < 64) fault("limits.sockets", "tables", "must be 64 or more");
    if (l.memory_mb < 8) fault("limits.memory_mb", "tables", "must be 8MiB or more");
    if (l.open && *l.open == 0) fault("limits.open", "value", "must be above 0");
    if (l.answer_bytes < 1 || l.answer_bytes > 4294967295.0)
      fault("limits.answer_bytes", "value", "must be from 1B to 4GiB");
    if (l.request_bytes < 1 || l.request_bytes > 4294967295.0)
      fault("limits.request_bytes", "value", "must be from 1B to 4GiB");
    if (!l.body_folder.empty() && l.body_folder.front() != '/') {
      fault("limits.body_folder", "value", "must begin with \"/\": the router may start in any folder");
    }
    if (l.body_folder_mb == 0) fault("limits.body_folder_size_mb", "value", "must be above 0");
    const auto nodes = static_cast<std::uint32_t>(app_.fleet.nodes.size());
    if (l.sockets >= 64 && nodes > (l.sockets - config::kReserved) * 3 / 4) {
      fault("limits.sockets", "tables",
            "can't hold one connection to each of " + std::to_string(nodes) +
                " nodes in addition to the clients': set " +
                std::to_string(nodes * 4 / 3 + config::kReserved + 1) + " or more");
    }
    const double needed = kBaseMb + l.sockets * kConnectionKb / 1024 + open_of(l) * kRequestKb / 1024;
    if (l.memory_mb >= 8 && l.open && needed > l.memory_mb) {
      fault("limits.open", "tables",
            "with " + std::to_string(l.sockets) + " sockets these tables need " +
                std::to_string(static_cast<int>(std::ceil(needed))) +
                " MiB when full, and limits.memory is " + std::to_string(l.memory_mb) + "MiB");
    } else if (l.memory_mb >= 8 && kBaseMb + l.sockets * kConnectionKb / 1024 > l.memory_mb) {
      fault("limits.sockets", "tables",
            "this number of connections does not fit into limits.memory (" + std::to_string(l.memory_mb) +
                "MiB)");
    }
  }

  void rest() {
    const AttemptSetup& a = app_.attempts;
    if (a.most == 0) fault("attempts.most", "value", "must be 1 or more");
    above("attempts.connect_ms", a.connect_ms);
    above("attempts.idle_ms", a.idle_ms);
    above("limits.grace_ms", app_.limits.grace_ms);
    if (app_.tier.routers == 0 || app_.tier.routers > 65536)
      fault("tier.routers", "value", "must be from 1 to 65536");
    at_most("tier.over_share_worth", app_.tier.over_share_worth, 1, "100%");
    const ResizeSetup& r = app_.resize;
    if (r.settle_ms > 0 && !app_.fleet.ledger)
      fault("resize.settle_ms", "no-ledger",
            "needs a ledger, from which new nodes fetch; this fleet has none");
    if (r.ledger_multiple != 0 && r.ledger_multiple < 1)
      fault("resize.ledger_multiple", "value", "must be 0, or at least 1");
    at_most("resize.second_holder", r.second_holder, 1, "100%");
    above("log.rate_per_s", app_.log.per_s);
    if (app_.log.burst == 0) fault("log.burst", "value", "must be above 0");
    const ApplicationSetup& p = app_.application;
    for (const std::string& entry : p.environment) {
      const std::size_t equals = entry.find('=');
      if (equals == std::string::npos || equals == 0) {
        fault("application.environment", "value",
              "\"" + entry.substr(0, 32) + "\" is not of the form NAME=VALUE");
      }
    }
    if (p.address_variable.empty() || p.address_variable.find('=') != std::string::npos) {
      fault("application.address_variable", "value", "must be the name of a variable");
    }
    above("application.ready_ms", p.ready_ms);
    above("application.stop_ms", p.stop_ms);
    above("application.restart_first_ms", p.restart_first_ms);
    if (p.restart_most_ms < p.restart_first_ms) {
      fault("application.restart_most_ms", "value",
            "must not be below restart_first (" + time(p.restart_first_ms) + ")");
    }
  }

  // Skipped if the fleet, the classes or the expected load could not be read.
  void ledger() {
    if (!app_.fleet.ledger || app_.classes.empty()) return;
    for (const std::string& member : broken_) {
      if (member.starts_with("fleet") || member.starts_with("classes") || member.starts_with("expect"))
        return;
    }
    const LedgerLoad load = ledger_load(app_);
    if (load.no_nodes) {
      return fault("fleet.ledger", "ledger-only",
                   "100% of the requests would go to the ledger: the fleet has no node of any other kind");
    }
    std::string parts;
    const auto part = [&](double share, const char* what) {
      if (share >= 0.005) parts += (parts.empty() ? "" : ", ") + percent(share) + " " + what;
    };
    part(load.writes, "as writes");
    part(load.misses, "as reads that exceed the nodes' memory");
    part(load.no_room, "for lack of node capacity");
    // The member that causes the largest part of the origin load.
    std::string member = "fleet.ledger";
    if (load.writes >= load.misses && load.writes >= load.no_room) {
      for (const ClassSetup& c : app_.classes) {
        if (c.write) member = "classes." + c.name + ".write";
      }
    } else if (load.misses >= load.no_room) {
      member = "expect.keys";
    } else {
      member = "expect.rate_per_s";
    }
    const std::string why = percent(load.share) + " of the requests would go to the ledger: " + parts;
    if (load.share >= kLedgerOnly) {
      fault(member, "ledger-only", why);
    } else if (load.share >= kLedgerMuch) {
      warn(member, "ledger-much", why);
    }
    const double rate = load.share * app_.expect.rate_per_s;
    if (app_.expect.ledger_per_s > 0 && rate > app_.expect.ledger_per_s) {
      char text[160];
      std::snprintf(text, sizeof text, "%.0f/s would go to the ledger (%s), and its capacity is %.0f/s", rate,
                    parts.c_str(), app_.expect.ledger_per_s);
      fault("expect.ledger_per_s", "ledger-overrun", text);
    }
  }

  Setup& setup_;
  const App& app_;
  const std::string& file_;
  const std::set<std::string>& broken_;
};

} // namespace

void check_sound(Setup& setup, const std::string& file, const std::set<std::string>& broken) {
  Checker(setup, file, broken).run();
}

} // namespace fernward::app_config
