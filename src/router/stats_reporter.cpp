#include "router/stats_reporter.h"

#include <iterator>
#include <utility>
#include <vector>

#include "log/log.h"

namespace fernward::router {
namespace {

constexpr double kPeriodMs = 10000;

constexpr const char* kReasonNames[] = {"shed",           "queue-timeout", "response-timeout",
                                        "not-sent",       "retry-budget",  "attempt-limit",
                                        "not-idempotent", "no-endpoint",   "invalid-request"};
static_assert(std::size(kReasonNames) == static_cast<std::size_t>(fernward::GiveUpReason::Count));

} // namespace

StatsReporter::StatsReporter(StatsReporterParts parts) : parts_(parts) {
  parts_.figures.gauge("cluster_size", [this] { return static_cast<double>(caches()); });
  parts_.figures.gauge("cluster_unhealthy", [this] { return static_cast<double>(unavailable_caches()); });
}

void StatsReporter::add_gossip(gossip_transport::Link& gossip) {
  gossip_ = &gossip;
  const auto gauge = [this](const char* name, auto value) { parts_.figures.gauge(name, value); };
  gauge("fleet_living", [this] { return static_cast<double>(gossip_->fleet().members().living()); });
  gauge("fleet_limit", [this] { return 1000 * parts_.dispatcher.origin_budget().limit; });
  gauge("fleet_doubted", [this] { return static_cast<double>(gossip_->fleet().doubted()); });
  gauge("fleet_heard", [this] { return gossip_->fleet().view(loop::now_ms()).heard; });
}

void StatsReporter::start() {
  parts_.timers.at(loop::now_ms() + kPeriodMs, [this] {
    report();
    start();
  });
}

void StatsReporter::report() {
  report_requests();
  report_slow_start();
  if (gossip_ != nullptr) report_gossip();
  report_rejected();
}

void StatsReporter::report_requests() {
  using figures::Outcome;
  const figures::Figures& figures = parts_.figures;
  const std::uint64_t ended = figures.all(Outcome::Answered) + figures.all(Outcome::Deferred) +
                              figures.all(Outcome::Errored) + figures.all(Outcome::Gone);
  if (std::exchange(reported_ended_, ended) == ended) return;
  log::line("figures", {{"answered", figures.all(Outcome::Answered)},
                        {"deferred", figures.all(Outcome::Deferred)},
                        {"errored", figures.all(Outcome::Errored)},
                        {"gone", figures.all(Outcome::Gone)},
                        {"sends", figures.sends()},
                        {"current", figures.current()}});
}

void StatsReporter::report_slow_start() {
  const auto now = parts_.dispatcher.balancer().slow_start_counts();
  const auto before = std::exchange(reported_slow_start_, now);
  if (now.attempts == before.attempts && now.denied == before.denied) return;
  log::line("slow-start",
            {{"sent", now.attempts - before.attempts}, {"held_back", now.denied - before.denied}});
}

void StatsReporter::report_gossip() {
  const gossip::Counts counts = gossip_->fleet().counts();
  log::line("fleet", {{"living", gossip_->fleet().members().living()},
                      {"sent", counts.sent},
                      {"bytes", counts.sent_bytes},
                      {"taken", counts.taken},
                      {"damaged", counts.damaged},
                      {"passed_over", counts.passed_over},
                      {"strangers", gossip_->strangers()}});
}

// Writes one summary line for all rejections since the last report: one line per rejection would exceed the
// log's rate limit exactly when there are many.
void StatsReporter::report_rejected() {
  const auto& rejections = parts_.dispatcher.give_up_counts();
  std::vector<log::Field> fields;
  for (std::size_t i = 0; i < rejections.size(); ++i) {
    const auto since_last = rejections[i] - reported_rejections_[i];
    if (since_last != 0) fields.emplace_back(kReasonNames[i], since_last);
  }
  reported_rejections_ = rejections;
  if (!fields.empty()) log::line("requests-rejected", fields.data(), fields.size());
}

std::size_t StatsReporter::caches() const {
  std::size_t count = 0;
  for (const auto& [id, endpoint] : parts_.endpoints.table().targets()) {
    count += parts_.endpoints.is_cache(endpoint.entry);
  }
  return count;
}

// Caches that receive no requests now: disabled by an operator, not in service, or ejected.
std::size_t StatsReporter::unavailable_caches() const {
  std::size_t count = 0;
  for (const auto& [id, endpoint] : parts_.endpoints.table().targets()) {
    if (!parts_.endpoints.is_cache(endpoint.entry)) continue;
    count += endpoint.entry.state != fernward::ServerState::Ready ||
             parts_.endpoints.overrides().is_disabled(endpoint.name) || parts_.dispatcher.is_ejected(id);
  }
  return count;
}

} // namespace fernward::router
