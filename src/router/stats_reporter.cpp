#include "router/stats_reporter.h"

#include <utility>
#include <vector>

#include "log/log.h"
#include "proxy/request_log.h"

namespace fernward::router {
namespace {

constexpr double kReportPeriodMs = 10000;

} // namespace

StatsReporter::StatsReporter(StatsReporterParts parts) : parts_(parts) {
  parts_.stats.add_gauge("cluster_size", [this] { return static_cast<double>(cache_count()); });
  parts_.stats.add_gauge("cluster_unhealthy",
                         [this] { return static_cast<double>(unavailable_cache_count()); });
}

void StatsReporter::add_gossip(gossip_transport::Transport& gossip) {
  gossip_ = &gossip;
  const auto gauge = [this](const char* name, auto value) { parts_.stats.add_gauge(name, value); };
  gauge("fleet_living", [this] { return static_cast<double>(gossip_->node().members().alive_count()); });
  gauge("fleet_limit", [this] { return 1000 * parts_.dispatcher.origin_budget().limit; });
  gauge("fleet_doubted", [this] { return static_cast<double>(gossip_->node().outlier_count()); });
  gauge("fleet_heard", [this] { return gossip_->node().view(loop::now_ms()).fresh_reports; });
}

void StatsReporter::start() {
  parts_.timers.run_at(loop::now_ms() + kReportPeriodMs, [this] {
    report();
    start();
  });
}

void StatsReporter::report() {
  report_requests();
  parts_.memory.report();
  report_slow_start();
  if (gossip_ != nullptr) report_gossip();
  report_given_up();
}

void StatsReporter::report_requests() {
  using figures::Outcome;
  const figures::RouterStats& stats = parts_.stats;
  const std::uint64_t ended_requests = stats.total(Outcome::Answered) + stats.total(Outcome::Deferred) +
                                       stats.total(Outcome::Errored) +
                                       stats.total(Outcome::ClientDisconnected);
  if (std::exchange(reported_request_count_, ended_requests) == ended_requests) return;
  log::line("figures", {{"answered", stats.total(Outcome::Answered)},
                        {"deferred", stats.total(Outcome::Deferred)},
                        {"errored", stats.total(Outcome::Errored)},
                        {"gone", stats.total(Outcome::ClientDisconnected)},
                        {"sends", stats.attempts_sent()},
                        {"current", stats.active_requests()}});
}

void StatsReporter::report_slow_start() {
  const auto current = parts_.dispatcher.balancer().slow_start_counts();
  const auto previous = std::exchange(reported_slow_start_, current);
  if (current.attempts == previous.attempts && current.denied == previous.denied) return;
  log::line("slow-start", {{"sent", current.attempts - previous.attempts},
                           {"held_back", current.denied - previous.denied}});
}

void StatsReporter::report_gossip() {
  const gossip::GossipCounts counts = gossip_->node().counts();
  log::line("fleet", {{"living", gossip_->node().members().alive_count()},
                      {"sent", counts.sent},
                      {"bytes", counts.sent_bytes},
                      {"taken", counts.accepted},
                      {"damaged", counts.damaged},
                      {"passed_over", counts.ignored},
                      {"strangers", gossip_->unknown_datagrams()}});
}

// Writes one summary line for all requests given up since the last report: one line per request would exceed
// the log's rate limit exactly when there are many.
void StatsReporter::report_given_up() {
  const auto& give_up_counts = parts_.dispatcher.give_up_counts();
  std::vector<log::Field> fields;
  for (std::size_t i = 0; i < give_up_counts.size(); ++i) {
    const auto count_since_report = give_up_counts[i] - reported_give_up_counts_[i];
    if (count_since_report != 0)
      fields.emplace_back(proxy::word_of(static_cast<fernward::GiveUpReason>(i)), count_since_report);
  }
  reported_give_up_counts_ = give_up_counts;
  if (!fields.empty()) log::line("requests-rejected", fields.data(), fields.size());
}

std::size_t StatsReporter::cache_count() const {
  std::size_t count = 0;
  for (const auto& [id, endpoint] : parts_.endpoints.table().endpoints_by_id()) {
    count += parts_.endpoints.is_cache(endpoint.server);
  }
  return count;
}

// Caches that receive no requests now: disabled by an operator, not in service, or ejected.
std::size_t StatsReporter::unavailable_cache_count() const {
  std::size_t count = 0;
  for (const auto& [id, endpoint] : parts_.endpoints.table().endpoints_by_id()) {
    if (!parts_.endpoints.is_cache(endpoint.server)) continue;
    count += endpoint.server.state != fernward::ServerState::Ready ||
             parts_.endpoints.overrides().is_disabled(endpoint.name) || parts_.dispatcher.is_ejected(id);
  }
  return count;
}

} // namespace fernward::router
