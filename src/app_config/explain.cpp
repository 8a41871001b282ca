#include "app_config/explain.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>

#include "app_config/keys.h"
#include "app_config/ledger.h"
#include "toml_document/value.h"
#include "toml_document/writer.h"

namespace fernward::app_config {
namespace {

using toml_document::Unit;

std::vector<toml_document::Leaf> leaves_of(App app) {
  const AppNames names(app);
  return toml_document::leaves(names, [&](toml_document::Visitor& v) { describe(v, app); });
}

std::string time(double ms) { return toml_document::quantity_text(Unit::Time, ms); }

std::string attempts(const ClassSetup& c, const App& app) {
  const std::uint32_t most = std::min(app.attempts.most, c.retries ? *c.retries + 1 : app.attempts.most);
  const double window = c.retry_for_ms ? std::min(*c.retry_for_ms, c.window_ms) : c.window_ms;
  if (most <= 1) return "One attempt is made; it is not retried.";
  const std::string up_to = "Up to " + std::to_string(most) + " attempts are made";
  switch (c.repeat) {
    case Idempotency::Idempotent:
      return up_to + ", each to another node or to the ledger, as long as the retry budget allows.";
    case Idempotency::WithKey:
      if (window <= 0) return up_to + ", but no retry once an attempt may have run, as there is no window.";
      return up_to + ". Once one may have run, retries are sent with the same key, within " + time(window) +
             " of that attempt" +
             (c.scope == IdempotencyScope::All
                  ? "."
                  : std::string(" and only to its ") + scope_word(c.scope) + ".");
    case Idempotency::NonIdempotent: return up_to + ", but no retry once an attempt may have run.";
  }
  return "";
}

std::string copies(const ClassSetup& c, const App& app) {
  if (!app.attempts.copies || !c.copies || c.repeat == Idempotency::NonIdempotent)
    return "No hedged request is sent while an attempt is pending.";
  if (c.repeat == Idempotency::WithKey && c.window_ms <= 0)
    return "No hedged request is sent while an attempt is pending.";
  return "An attempt slower than 95% of the responses may be hedged at another node; the first response is "
         "used.";
}

std::string refusals(const App& app) {
  if (app.attempts.retry_after_ms <= 0) return "A rejected request gets no Retry-After.";
  return "A rejected request gets a Retry-After of at most " + time(app.attempts.retry_after_ms) + ".";
}

} // namespace

std::vector<Value> values(const Setup& setup) {
  std::vector<Value> all;
  for (const toml_document::Leaf& leaf : leaves_of(setup.app)) {
    Value& made = all.emplace_back();
    made.key = leaf.key;
    made.value = leaf.value;
    if (const auto variable = setup.variables.find(leaf.member); variable != setup.variables.end()) {
      made.from = variable->second;
    } else if (const auto place = setup.places.find(leaf.member); place != setup.places.end()) {
      made.from = place->second.file + ":" + std::to_string(place->second.line) + ":" +
                  std::to_string(place->second.column);
    } else {
      made.from = "default";
    }
  }
  return all;
}

std::string behaviour(const App& app) {
  std::string out;
  for (const ClassSetup& c : app.classes) {
    out += "class " + c.name + "\n";
    const double aim = c.aim_ms > 0 ? c.aim_ms : c.give_up_ms;
    out += "  A response within " + time(aim) + " has priority weight " + toml_document::number_text(c.worth);
    if (c.late_share > 0)
      out += ", a later one " + toml_document::quantity_text(Unit::Share, c.late_share) + " of it, until " +
             time(c.give_up_ms);
    out += c.late_share > 0
               ? ".\n"
               : ". Then the request ends as rejected or failed, and its client is notified at once.\n";
    out += "  " + attempts(c, app) + "\n  " + copies(c, app) + "\n";
    if (app.fleet.ledger && c.write) {
      out += "  It is a write: it is sent to the ledger and may be queued there.\n";
    } else if (app.fleet.ledger) {
      out +=
          "  It is sent to the key's nodes first; a cache miss is fetched from the ledger, one fetch per key "
          "at a time.\n";
    }
    out += "  It may be rejected: when the nodes have no capacity and its priority weight is the lowest (" +
           toml_document::number_text(c.worth) + ")";
    out += app.fleet.ledger ? ", or when its wait for the ledger would be too long.\n" : ".\n";
    out += "  " + refusals(app) + "\n";
    for (const MapSetup& m : app.map) {
      if (m.cls >= app.classes.size() || &app.classes[m.cls] != &c) continue;
      out += "  Without X-Priority-Class: " + std::string(method_word(m.method)) + " " + m.path + "...\n";
    }
    out += "\n";
  }
  if (!app.tenants.empty()) {
    out += "tenants\n";
    for (const TenantSetup& t : app.tenants) {
      out += "  " + t.name + " has " + toml_document::quantity_text(Unit::Share, t.share) + " of the service";
      if (t.quota_per_s > 0) {
        out += "; beyond " + toml_document::quantity_text(Unit::Rate, t.quota_per_s) +
               " (or its share, if that is more) its requests have " +
               toml_document::quantity_text(Unit::Share, app.tier.over_share_worth) +
               " of the normal priority weight";
      }
      out += ".\n";
    }
    out += "\n";
  }
  if (app.fleet.ledger) {
    const LedgerLoad load = ledger_load(app);
    char text[200];
    std::snprintf(
        text, sizeof text,
        "ledger\n  About %.1f%% of the requests reach it: %.1f%% as writes, %.1f%% as misses, "
        "%.1f%% for lack of capacity%s.\n",
        100 * load.share, 100 * load.writes, 100 * load.misses, 100 * load.no_room,
        load.counts_memory ? "" : " (memory, keys or sizes are not configured: misses are not counted)");
    out += text;
    if (app.resize.settle_ms > 0) {
      out += "  When nodes are added, their keys are also read from the previous owners, for up to " +
             toml_document::quantity_text(Unit::Time, app.resize.settle_ms);
      if (app.resize.ledger_multiple > 0) {
        out += "; in that time fetches are limited to " +
               toml_document::number_text(app.resize.ledger_multiple) +
               " times their steady rate; further ones are queued or rejected with Retry-After";
      }
      out += ".\n";
    }
  }
  return out;
}

std::vector<Change> changes(const App& before, const App& after) {
  std::map<std::string, Change> all;
  for (const toml_document::Leaf& leaf : leaves_of(before)) all[leaf.key].before = leaf.value;
  for (const toml_document::Leaf& leaf : leaves_of(after)) all[leaf.key].after = leaf.value;
  std::vector<Change> made;
  for (auto& [key, change] : all) {
    if (change.before == change.after) continue;
    change.key = key;
    change.by_reload = reload_takes(key);
    made.push_back(std::move(change));
  }
  return made;
}

} // namespace fernward::app_config
