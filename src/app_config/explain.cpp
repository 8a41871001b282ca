#include "app_config/explain.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>

#include "app_config/keys.h"
#include "app_config/origin_load.h"
#include "toml_document/value.h"
#include "toml_document/writer.h"

namespace fernward::app_config {
namespace {

using toml_document::Unit;

std::vector<toml_document::Leaf> config_leaves(AppConfig app) {
  const AppConfigNames names(app);
  return toml_document::leaves(names, [&](toml_document::Visitor& v) { describe(v, app); });
}

std::string time_text(double ms) { return toml_document::format_quantity(Unit::Time, ms); }

std::string attempts_text(const ClassConfig& cls, const AppConfig& app) {
  const std::uint32_t max_attempts =
      std::min(app.attempts.max_attempts, cls.max_retries ? *cls.max_retries + 1 : app.attempts.max_attempts);
  const double window_ms = cls.retry_window_ms ? std::min(*cls.retry_window_ms, cls.idempotency_window_ms)
                                               : cls.idempotency_window_ms;
  if (max_attempts <= 1) return "One attempt is made; it is not retried.";
  const std::string prefix = "Up to " + std::to_string(max_attempts) + " attempts are made";
  switch (cls.idempotency) {
    case Idempotency::Idempotent:
      return prefix + ", each to another node or to the ledger, as long as the retry budget allows.";
    case Idempotency::WithKey:
      if (window_ms <= 0)
        return prefix + ", but no retry once an attempt may have run, as there is no window.";
      return prefix + ". Once one may have run, retries are sent with the same key, within " +
             time_text(window_ms) + " of that attempt" +
             (cls.idempotency_scope == IdempotencyScope::All
                  ? "."
                  : std::string(" and only to its ") + idempotency_scope_name(cls.idempotency_scope) + ".");
    case Idempotency::NonIdempotent: return prefix + ", but no retry once an attempt may have run.";
  }
  return "";
}

std::string hedging_text(const ClassConfig& cls, const AppConfig& app) {
  if (!app.attempts.may_hedge || !cls.may_hedge || cls.idempotency == Idempotency::NonIdempotent)
    return "No hedged request is sent while an attempt is pending.";
  if (cls.idempotency == Idempotency::WithKey && cls.idempotency_window_ms <= 0)
    return "No hedged request is sent while an attempt is pending.";
  return "An attempt slower than 95% of the responses may be hedged at another node; the first response is "
         "used.";
}

std::string rejection_text(const AppConfig& app) {
  if (app.attempts.max_retry_after_ms <= 0) return "A rejected request gets no Retry-After.";
  return "A rejected request gets a Retry-After of at most " + time_text(app.attempts.max_retry_after_ms) +
         ".";
}

} // namespace

std::vector<ExplainedValue> explain_values(const LoadedConfig& config) {
  std::vector<ExplainedValue> result;
  for (const toml_document::Leaf& leaf : config_leaves(config.app)) {
    ExplainedValue& entry = result.emplace_back();
    entry.key = leaf.key;
    entry.value = leaf.value;
    if (const auto variable = config.environment_variables.find(leaf.member);
        variable != config.environment_variables.end()) {
      entry.source = variable->second;
    } else if (const auto position = config.positions.find(leaf.member); position != config.positions.end()) {
      entry.source = position->second.file + ":" + std::to_string(position->second.line) + ":" +
                     std::to_string(position->second.column);
    } else {
      entry.source = "default";
    }
  }
  return result;
}

std::string describe_behavior(const AppConfig& app) {
  std::string out;
  for (const ClassConfig& cls : app.classes) {
    out += "class " + cls.name + "\n";
    const double objective_ms =
        cls.latency_objective_ms > 0 ? cls.latency_objective_ms : cls.client_timeout_ms;
    out += "  A response within " + time_text(objective_ms) + " has priority weight " +
           toml_document::format_number(cls.priority_weight);
    if (cls.late_response_value_share > 0)
      out += ", a later one " + toml_document::format_quantity(Unit::Share, cls.late_response_value_share) +
             " of it, until " + time_text(cls.client_timeout_ms);
    out += cls.late_response_value_share > 0
               ? ".\n"
               : ". Then the request ends as rejected or failed, and its client is notified at once.\n";
    out += "  " + attempts_text(cls, app) + "\n  " + hedging_text(cls, app) + "\n";
    if (app.fleet.origin_kind && cls.is_write) {
      out += "  It is a write: it is sent to the ledger and may be queued there.\n";
    } else if (app.fleet.origin_kind) {
      out +=
          "  It is sent to the key's nodes first; a cache miss is fetched from the ledger, one fetch per key "
          "at a time.\n";
    }
    out += "  It may be rejected: when the nodes have no capacity and its priority weight is the lowest (" +
           toml_document::format_number(cls.priority_weight) + ")";
    out += app.fleet.origin_kind ? ", or when its wait for the ledger would be too long.\n" : ".\n";
    out += "  " + rejection_text(app) + "\n";
    for (const RequestMapping& mapping : app.mappings) {
      if (mapping.class_index >= app.classes.size() || &app.classes[mapping.class_index] != &cls) continue;
      out += "  Without X-Priority-Class: " + std::string(method_name(mapping.method)) + " " +
             mapping.path_prefix + "...\n";
    }
    out += "\n";
  }
  if (!app.tenants.empty()) {
    out += "tenants\n";
    for (const TenantConfig& tenant : app.tenants) {
      out += "  " + tenant.name + " has " +
             toml_document::format_quantity(Unit::Share, tenant.service_share) + " of the service";
      if (tenant.quota_per_s > 0) {
        out += "; beyond " + toml_document::format_quantity(Unit::Rate, tenant.quota_per_s) +
               " (or its share, if that is more) its requests have " +
               toml_document::format_quantity(Unit::Share, app.tier.over_quota_weight) +
               " of the normal priority weight";
      }
      out += ".\n";
    }
    out += "\n";
  }
  if (app.fleet.origin_kind) {
    const OriginLoad origin_load = estimate_origin_load(app);
    char text[200];
    std::snprintf(text, sizeof text,
                  "ledger\n  About %.1f%% of the requests reach it: %.1f%% as writes, %.1f%% as misses, "
                  "%.1f%% for lack of capacity%s.\n",
                  100 * origin_load.request_share, 100 * origin_load.write_share,
                  100 * origin_load.miss_share, 100 * origin_load.overflow_share,
                  origin_load.memory_known
                      ? ""
                      : " (memory, keys or sizes are not configured: misses are not counted)");
    out += text;
    if (app.resize.transition_ms > 0) {
      out += "  When nodes are added, their keys are also read from the previous owners, for up to " +
             toml_document::format_quantity(Unit::Time, app.resize.transition_ms);
      if (app.resize.origin_load_multiple > 0) {
        out += "; in that time fetches are limited to " +
               toml_document::format_number(app.resize.origin_load_multiple) +
               " times their steady rate; further ones are queued or rejected with Retry-After";
      }
      out += ".\n";
    }
  }
  return out;
}

std::vector<Change> compare(const AppConfig& before, const AppConfig& after) {
  std::map<std::string, Change> by_key;
  for (const toml_document::Leaf& leaf : config_leaves(before)) by_key[leaf.key].before = leaf.value;
  for (const toml_document::Leaf& leaf : config_leaves(after)) by_key[leaf.key].after = leaf.value;
  std::vector<Change> result;
  for (auto& [key, change] : by_key) {
    if (change.before == change.after) continue;
    change.key = key;
    change.reloadable = reloadable(key);
    result.push_back(std::move(change));
  }
  return result;
}

} // namespace fernward::app_config
