#include "app_config/semantic_checks.h"

#include <netinet/in.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>

#include "app_config/keys.h"
#include "app_config/origin_load.h"
#include "config/address.h"
#include "config/config.h"

namespace fernward::app_config {
namespace {

constexpr std::size_t kMaxUnixPathBytes = 107; // the kernel's limit for the path of a unix socket
constexpr std::size_t kMaxNameBytes = 64;
constexpr double kOriginShareError = 0.95, kOriginShareWarning = 0.5;

std::string percent(double share) {
  char text[32];
  std::snprintf(text, sizeof text, "%.0f%%", 100 * share);
  return text;
}

std::string time_text(double ms) {
  return toml_document::format_quantity(toml_document::Unit::Time, std::round(ms * 1000) / 1000);
}

// Whether a header can carry the name as a single token.
bool valid_name(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameBytes && std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
           c == '_' || c == '.';
  });
}

class SemanticChecker {
 public:
  SemanticChecker(LoadedConfig& config, const std::string& file, const std::set<std::string>& invalid_members)
      : config_(config), app_(config.app), file_(file), invalid_members_(invalid_members) {}

  void check() {
    check_top_level();
    check_fleet();
    check_classes();
    check_tenants();
    check_mappings();
    check_limits();
    check_other_sections();
    check_origin_load();
  }

 private:
  bool is_readable(const std::string& member) const { return !invalid_members_.contains(member); }
  void add_error(const std::string& member, const char* code, std::string message) {
    add(config_.errors, member, code, std::move(message));
  }
  void add_warning(const std::string& member, const char* code, std::string message) {
    add(config_.warnings, member, code, std::move(message));
  }
  void add(toml_document::Diagnostics& diagnostics, const std::string& member, const char* code,
           std::string message) {
    if (!is_readable(member)) return; // already reported
    diagnostics.push_back(
        {member_position(config_, member, file_), toml_document::key_of(member), std::move(message), code});
  }
  void require_at_most(const std::string& member, double value, double max, const char* max_text) {
    if (value > max) add_error(member, "value", std::string("must be ") + max_text + " at most");
  }
  void require_positive(const std::string& member, double value) {
    if (!(value > 0)) add_error(member, "value", "must be above 0");
  }
  bool require_address(const std::string& member, const std::string& text) {
    sockaddr_in parsed{};
    if (config::parse_address(text, parsed)) return true;
    add_error(member, "address", "\"" + text + "\" is not an address of the form 10.0.0.4:7070");
    return false;
  }

  void check_top_level() {
    for (const auto& [member, text] : {std::pair("name", &app_.name), {"listen", &app_.listen_address}}) {
      if (config_.positions.contains(member) && text->empty())
        add_error(member, "value", "must not be empty");
    }
    if (is_readable("name") && !app_.name.empty() && !valid_name(app_.name)) {
      add_error("name", "name", "must consist of at most 64 letters, digits, \"-\", \"_\" and \".\"");
    }
    if (!is_readable("listen") || app_.listen_address.empty()) return;
    constexpr std::string_view kUnixPrefix = "unix:";
    if (app_.listen_address.starts_with(kUnixPrefix)) {
      const std::string path = app_.listen_address.substr(kUnixPrefix.size());
      if (path.empty() || path.front() != '/') {
        add_error("listen", "listen-path", "the path of a unix socket must begin with \"/\"");
      } else if (path.size() > kMaxUnixPathBytes) {
        add_error("listen", "listen-path",
                  "the path of a unix socket must have at most 107 bytes; this one has " +
                      std::to_string(path.size()));
      }
    } else if (require_address("listen", app_.listen_address) && app_.listen_address.ends_with(":0") &&
               app_.listen_address.rfind(":0") == app_.listen_address.size() - 2) {
      add_warning("listen", "listen-any",
                  "port 0 selects a different port at each start, which clients do not know");
    }
  }

  void check_fleet() {
    const UpstreamFleetConfig& fleet_config = app_.fleet;
    if (is_readable("fleet.zones")) {
      if (fleet_config.zones.empty()) add_error("fleet.zones", "value", "must name one zone or more");
      std::set<std::string> zone_names;
      for (const std::string& zone : fleet_config.zones) {
        if (!valid_name(zone))
          add_error("fleet.zones", "name", "\"" + zone + "\" is not a name of letters and digits");
        if (!zone_names.insert(zone).second)
          add_error("fleet.zones", "twice", "contains \"" + zone + "\" twice");
      }
    }
    for (const NodeKindConfig& kind : fleet_config.kinds) {
      if (!valid_name(kind.name))
        add_error("fleet.kinds." + kind.name, "name", "must consist of at most 64 letters and digits");
    }
    const bool from_discovery = !fleet_config.discovery_address.empty(),
               from_file = !fleet_config.nodes_file.empty(), nodes_listed = !fleet_config.nodes.empty();
    const int source_count = from_discovery + from_file + nodes_listed;
    if (source_count == 0 && is_readable("fleet") && is_readable("fleet.discovery") &&
        is_readable("fleet.file") && is_readable("fleet.nodes")) {
      add_error("fleet", "no-source", "no source of nodes: set `discovery`, `file`, or [fleet.nodes.NAME]");
    }
    if (source_count > 1) {
      add_error(from_file ? "fleet.file" : "fleet.nodes", "two-sources",
                "nodes must come from one source: `discovery`, `file` or [fleet.nodes], not from two");
    }
    if (from_discovery) require_address("fleet.discovery", fleet_config.discovery_address);
    std::map<std::string, std::string> node_by_address;
    bool has_origin = false;
    std::set<std::uint32_t> node_zones;
    for (const NodeConfig& node : fleet_config.nodes) {
      const std::string node_path = "fleet.nodes." + node.name;
      if (!valid_name(node.name))
        add_error(node_path, "name", "must consist of at most 64 letters and digits");
      if (node.address.empty() || !is_readable(node_path + ".address")) continue;
      if (require_address(node_path + ".address", node.address)) {
        const auto [it, inserted] = node_by_address.emplace(node.address, node.name);
        if (!inserted)
          add_error(node_path + ".address", "twice",
                    "is already the address of node \"" + it->second + "\" in this file");
      }
      has_origin = has_origin ||
                   (fleet_config.origin_kind && node_kind(fleet_config, node) == *fleet_config.origin_kind);
      node_zones.insert(node.zone.value_or(0));
    }
    const bool nodes_readable =
        std::none_of(invalid_members_.begin(), invalid_members_.end(),
                     [](const std::string& member) { return member.starts_with("fleet.nodes"); });
    if (nodes_listed && fleet_config.origin_kind && !has_origin && nodes_readable &&
        is_readable("fleet.ledger")) {
      add_error("fleet.ledger", "no-ledger", "no node is of this kind, so cache misses could not be fetched");
    }
    if (nodes_listed && fleet_config.own_zone && !node_zones.contains(*fleet_config.own_zone)) {
      add_warning("fleet.zone", "zone-empty",
                  "no node is in the router's own zone: every request is sent to another zone");
    }
    require_at_most("fleet.start_capacity", fleet_config.slow_start_min_capacity, 1, "100%");
  }

  void check_classes() {
    if (app_.classes.empty() && is_readable("classes")) {
      add_error("classes", "no-classes", "no class of requests: set [classes.NAME]");
    }
    for (const ClassConfig& cls : app_.classes) {
      const std::string class_path = "classes." + cls.name;
      const auto member = [&](const char* name) { return class_path + "." + name; };
      if (!valid_name(cls.name))
        add_error(class_path, "name", "must consist of at most 64 letters, digits, \"-\", \"_\" and \".\"");
      require_at_most(member("late_share"), cls.late_response_value_share, 1, "100%");
      require_at_most(member("traffic"), cls.traffic_share, 1, "100%");
      const bool timeout_readable = is_readable(member("give_up_ms"));
      if (timeout_readable && cls.client_timeout_ms <= 0) {
        add_error(config_.positions.contains(member("give_up_ms")) ? member("give_up_ms") : class_path,
                  "missing", "give_up is missing: set how long clients wait");
        continue;
      }
      if (!timeout_readable) continue;
      if (cls.latency_objective_ms > cls.client_timeout_ms) {
        add_error(member("aim_ms"), "aim-past-give-up",
                  "is longer than give_up (" + time_text(cls.client_timeout_ms) +
                      "): no client waits for such a response");
      }
      const double one_way_delay_ms = app_.fleet.max_one_way_delay_ms;
      if (one_way_delay_ms > 0 && cls.client_timeout_ms <= 2 * one_way_delay_ms) {
        add_error(member("give_up_ms"), "give-up-too-short",
                  "is not longer than the round trip to the farthest node (" +
                      time_text(2 * one_way_delay_ms) + ")");
        continue;
      }
      check_retries(cls, class_path, one_way_delay_ms);
    }
  }

  void check_retries(const ClassConfig& cls, const std::string& class_path, double one_way_delay_ms) {
    const auto member = [&](const char* name) { return class_path + "." + name; };
    if (!is_readable(member("repeat")) || !is_readable(member("window_ms"))) return;
    const bool retries_requested = cls.max_retries.value_or(0) > 0;
    if (retries_requested && cls.idempotency == Idempotency::NonIdempotent) {
      add_error(
          member("retries"), "retry-unsafe",
          "an unsafe request is never retried once it may have run: set 0, or `repeat = \"keyed\"` with a "
          "window");
    }
    if (cls.idempotency == Idempotency::WithKey && cls.idempotency_window_ms <= 0) {
      const std::string message =
          "a keyed request is retried only within its window, and there is none: set `window`";
      if (retries_requested) add_error(member("retries"), "window-missing", message);
      if (!retries_requested && !cls.max_retries)
        add_warning(class_path, "window-missing", message + ", or `retries = 0`");
    }
    if (cls.retry_window_ms && cls.idempotency != Idempotency::WithKey) {
      add_error(member("retry_for_ms"), "retry-for-unkeyed", "applies only to `repeat = \"keyed\"`");
    } else if (cls.retry_window_ms && *cls.retry_window_ms > cls.idempotency_window_ms &&
               cls.idempotency_window_ms > 0) {
      add_error(member("retry_for_ms"), "retry-past-window",
                "is longer than the window (" + time_text(cls.idempotency_window_ms) +
                    "): a later retry would run twice");
    }
    if (cls.idempotency != Idempotency::WithKey && cls.idempotency_window_ms > 0) {
      add_warning(member("window_ms"), "window-unused", "applies only to `repeat = \"keyed\"`");
    }
    if (cls.max_retries && is_readable(member("retries")) && app_.attempts.max_attempts > 0 &&
        *cls.max_retries + 1 > app_.attempts.max_attempts) {
      add_error(member("retries"), "retries-past-most",
                "including the first attempt, this exceeds attempts.most (" +
                    std::to_string(app_.attempts.max_attempts) + ")");
    }
    const double attempt_ms = 2 * one_way_delay_ms + app_.expected_load.mean_work_ms;
    const std::uint32_t attempts = cls.max_retries ? *cls.max_retries + 1 : app_.attempts.max_attempts;
    if (attempt_ms > 0 && attempts > 1 && attempts * attempt_ms > cls.client_timeout_ms &&
        is_readable("attempts.most")) {
      const std::string message = std::to_string(attempts) + " attempts of " + time_text(attempt_ms) +
                                  " (round trip and work) do not fit into give_up (" +
                                  time_text(cls.client_timeout_ms) + ")";
      if (cls.max_retries) {
        add_error(member("retries"), "attempts-do-not-fit", message);
      } else {
        add_warning(class_path, "attempts-do-not-fit", message);
      }
    }
  }

  void check_tenants() {
    double share_sum = 0;
    bool shares_readable = true;
    for (const TenantConfig& tenant : app_.tenants) {
      const std::string tenant_path = "tenants." + tenant.name;
      if (!valid_name(tenant.name))
        add_error(tenant_path, "name", "must consist of at most 64 letters, digits, \"-\", \"_\" and \".\"");
      require_at_most(tenant_path + ".share", tenant.service_share, 1, "100%");
      shares_readable = shares_readable && is_readable(tenant_path + ".share") && tenant.service_share <= 1;
      share_sum += tenant.service_share;
    }
    if (shares_readable && share_sum > 1 + 1e-9) {
      const auto largest_tenant =
          std::max_element(app_.tenants.begin(), app_.tenants.end(),
                           [](const auto& a, const auto& b) { return a.service_share < b.service_share; });
      add_error("tenants." + largest_tenant->name + ".share", "shares",
                "the shares of all tenants add up to " + percent(share_sum) + ", which is more than 100%");
    }
  }

  void check_mappings() {
    for (std::size_t i = 0; i < app_.mappings.size(); ++i) {
      const RequestMapping& entry = app_.mappings[i];
      const std::string entry_path = "map[" + std::to_string(i) + "]";
      if (!entry.path_prefix.empty() && entry.path_prefix.front() != '/')
        add_error(entry_path + ".path", "value", "must begin with \"/\"");
      for (std::size_t earlier_index = 0; earlier_index < i; ++earlier_index) {
        const RequestMapping& earlier = app_.mappings[earlier_index];
        if (earlier.path_prefix.empty() || !entry.path_prefix.starts_with(earlier.path_prefix) ||
            (earlier.method != Method::Any && earlier.method != entry.method))
          continue;
        add_warning(entry_path + ".path", "map-hidden",
                    "never matches: the earlier entry for \"" + earlier.path_prefix +
                        "\" matches all of its requests");
        break;
      }
      if (!is_readable(entry_path + ".cls") || entry.class_index >= app_.classes.size()) continue;
      const ClassConfig& cls = app_.classes[entry.class_index];
      if (cls.is_write && entry.method == Method::Get) {
        add_error(entry_path + ".cls", "read-as-write",
                  "class \"" + cls.name + "\" is for writes, which go to the ledger; GET is a read");
      }
      if (entry.client_timeout_ms && is_readable(entry_path + ".timeout_ms") &&
          *entry.client_timeout_ms > cls.client_timeout_ms && cls.client_timeout_ms > 0) {
        add_warning(entry_path + ".timeout_ms", "timeout-past-give-up",
                    "is limited to the class's give_up (" + time_text(cls.client_timeout_ms) + ")");
      }
    }
  }

  void check_limits() {
    const LimitsConfig& limits_config = app_.limits;
    if (limits_config.max_descriptors < 64) add_error("limits.sockets", "tables", "must be 64 or more");
    if (limits_config.memory_mb < 8) add_error("limits.memory_mb", "tables", "must be 8MiB or more");
    if (limits_config.max_active_requests && *limits_config.max_active_requests == 0)
      add_error("limits.open", "value", "must be above 0");
    if (limits_config.max_response_bytes < 1 || limits_config.max_response_bytes > 4294967295.0)
      add_error("limits.answer_bytes", "value", "must be from 1B to 4GiB");
    if (limits_config.max_request_bytes < 1 || limits_config.max_request_bytes > 4294967295.0)
      add_error("limits.request_bytes", "value", "must be from 1B to 4GiB");
    if (!limits_config.spill_folder.empty() && limits_config.spill_folder.front() != '/') {
      add_error("limits.body_folder", "value", "must begin with \"/\": the router may start in any folder");
    }
    if (limits_config.spill_limit_mb == 0)
      add_error("limits.body_folder_size_mb", "value", "must be above 0");
    const auto node_count = static_cast<std::uint32_t>(app_.fleet.nodes.size());
    if (limits_config.max_descriptors >= 64 &&
        node_count > (limits_config.max_descriptors - config::kReservedDescriptors) * 3 / 4) {
      add_error("limits.sockets", "tables",
                "can't hold one connection to each of " + std::to_string(node_count) +
                    " nodes in addition to the clients': set " +
                    std::to_string(node_count * 4 / 3 + config::kReservedDescriptors + 1) + " or more");
    }
    const double required_mb = kBaseMemoryMb + limits_config.max_descriptors * kConnectionMemoryKb / 1024 +
                               active_request_limit(limits_config) * kRequestMemoryKb / 1024;
    if (limits_config.memory_mb >= 8 && limits_config.max_active_requests &&
        required_mb > limits_config.memory_mb) {
      add_error("limits.open", "tables",
                "with " + std::to_string(limits_config.max_descriptors) + " sockets these tables need " +
                    std::to_string(static_cast<int>(std::ceil(required_mb))) +
                    " MiB when full, and limits.memory is " + std::to_string(limits_config.memory_mb) +
                    "MiB");
    } else if (limits_config.memory_mb >= 8 &&
               kBaseMemoryMb + limits_config.max_descriptors * kConnectionMemoryKb / 1024 >
                   limits_config.memory_mb) {
      add_error("limits.sockets", "tables",
                "this number of connections does not fit into limits.memory (" +
                    std::to_string(limits_config.memory_mb) + "MiB)");
    }
  }

  void check_other_sections() {
    const AttemptsConfig& attempts = app_.attempts;
    if (attempts.max_attempts == 0) add_error("attempts.most", "value", "must be 1 or more");
    require_positive("attempts.connect_ms", attempts.connect_timeout_ms);
    require_positive("attempts.idle_ms", attempts.idle_timeout_ms);
    require_positive("limits.grace_ms", app_.limits.response_grace_ms);
    if (app_.tier.router_count == 0 || app_.tier.router_count > 65536)
      add_error("tier.routers", "value", "must be from 1 to 65536");
    require_at_most("tier.over_share_worth", app_.tier.over_quota_weight, 1, "100%");
    const ResizeConfig& resize = app_.resize;
    if (resize.transition_ms > 0 && !app_.fleet.origin_kind)
      add_error("resize.settle_ms", "no-ledger",
                "needs a ledger, from which new nodes fetch; this fleet has none");
    if (resize.origin_load_multiple != 0 && resize.origin_load_multiple < 1)
      add_error("resize.ledger_multiple", "value", "must be 0, or at least 1");
    require_at_most("resize.second_holder", resize.second_replica_share, 1, "100%");
    require_positive("log.rate_per_s", app_.log.lines_per_s);
    if (app_.log.burst_lines == 0) add_error("log.burst", "value", "must be above 0");
    const ApplicationConfig& application = app_.application;
    for (const std::string& entry : application.environment) {
      const std::size_t equals = entry.find('=');
      if (equals == std::string::npos || equals == 0) {
        add_error("application.environment", "value",
                  "\"" + entry.substr(0, 32) + "\" is not of the form NAME=VALUE");
      }
    }
    if (application.address_variable.empty() || application.address_variable.find('=') != std::string::npos) {
      add_error("application.address_variable", "value", "must be the name of a variable");
    }
    require_positive("application.ready_ms", application.router_ready_timeout_ms);
    require_positive("application.stop_ms", application.stop_timeout_ms);
    require_positive("application.restart_first_ms", application.restart_backoff_min_ms);
    if (application.restart_backoff_max_ms < application.restart_backoff_min_ms) {
      add_error("application.restart_most_ms", "value",
                "must not be below restart_first (" + time_text(application.restart_backoff_min_ms) + ")");
    }
  }

  // Skipped if the fleet, the classes or the expected load could not be read.
  void check_origin_load() {
    if (!app_.fleet.origin_kind || app_.classes.empty()) return;
    for (const std::string& member : invalid_members_) {
      if (member.starts_with("fleet") || member.starts_with("classes") || member.starts_with("expect"))
        return;
    }
    const OriginLoad origin_load = estimate_origin_load(app_);
    if (origin_load.no_cache_nodes) {
      return add_error(
          "fleet.ledger", "ledger-only",
          "100% of the requests would go to the ledger: the fleet has no node of any other kind");
    }
    std::string causes;
    const auto add_cause = [&](double share, const char* cause) {
      if (share >= 0.005) causes += (causes.empty() ? "" : ", ") + percent(share) + " " + cause;
    };
    add_cause(origin_load.write_share, "as writes");
    add_cause(origin_load.miss_share, "as reads that exceed the nodes' memory");
    add_cause(origin_load.overflow_share, "for lack of node capacity");
    // The member that causes the largest part of the origin load.
    std::string member = "fleet.ledger";
    if (origin_load.write_share >= origin_load.miss_share &&
        origin_load.write_share >= origin_load.overflow_share) {
      for (const ClassConfig& cls : app_.classes) {
        if (cls.is_write) member = "classes." + cls.name + ".write";
      }
    } else if (origin_load.miss_share >= origin_load.overflow_share) {
      member = "expect.keys";
    } else {
      member = "expect.rate_per_s";
    }
    const std::string message =
        percent(origin_load.request_share) + " of the requests would go to the ledger: " + causes;
    if (origin_load.request_share >= kOriginShareError) {
      add_error(member, "ledger-only", message);
    } else if (origin_load.request_share >= kOriginShareWarning) {
      add_warning(member, "ledger-much", message);
    }
    const double origin_rate_per_s = origin_load.request_share * app_.expected_load.rate_per_s;
    if (app_.expected_load.origin_capacity_per_s > 0 &&
        origin_rate_per_s > app_.expected_load.origin_capacity_per_s) {
      char text[160];
      std::snprintf(text, sizeof text, "%.0f/s would go to the ledger (%s), and its capacity is %.0f/s",
                    origin_rate_per_s, causes.c_str(), app_.expected_load.origin_capacity_per_s);
      add_error("expect.ledger_per_s", "ledger-overrun", text);
    }
  }

  LoadedConfig& config_;
  const AppConfig& app_;
  const std::string& file_;
  const std::set<std::string>& invalid_members_;
};

} // namespace

void check_semantics(LoadedConfig& config, const std::string& file,
                     const std::set<std::string>& invalid_members) {
  SemanticChecker(config, file, invalid_members).check();
}

} // namespace fernward::app_config
