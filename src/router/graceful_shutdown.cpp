#include "router/graceful_shutdown.h"

#include <algorithm>

#include "log/log.h"

namespace fernward::router {
namespace {

constexpr double kAcceptingMs = 500;         // load balancers keep sending clients for this long
constexpr double kMaxServingMs = 1500;       // upper bound of the end of Serving
constexpr double kResponseGraceMs = 600;     // after the timeout of the last request
constexpr double kMaxClientTimeoutMs = 3000; // the longest that the platform allows for before SIGKILL
constexpr double kFailBeforeEndMs = 100;
constexpr double kMaxFinishingMs = 60000; // of a process that nobody kills
constexpr double kTransmissionCheckIntervalMs = 50;
// How often to check whether all passed connections have been sent.
constexpr double kFlushCheckIntervalMs = 5;

// The client timeout of a request that is accepted at the last moment. A sidecar, whose configuration is
// reloadable, waits for the longest timeout of its classes without the platform's limit.
double longest_client_timeout_ms(const config::Config& config) {
  double longest_ms = 0;
  for (const auto& class_settings : config.settings.classes)
    longest_ms = std::max(longest_ms, class_settings.client_timeout_ms);
  if (!config.reloadable) longest_ms = std::min(longest_ms, kMaxClientTimeoutMs);
  return longest_ms > 0 ? longest_ms : kMaxClientTimeoutMs;
}

} // namespace

void GracefulShutdown::begin(const config::Config& config) {
  if (has_begun_) return;
  has_begun_ = true;
  if (gossip_ != nullptr) gossip_->leave();
  log::line("graceful-shutdown", {{"name", config.name}});
  const double now_ms = loop::now_ms();
  const double total_ms = longest_client_timeout_ms(config) + kResponseGraceMs;
  parts_.dispatcher.respond_to_all_by(now_ms + total_ms - kFailBeforeEndMs);
  const bool is_replaced = hot_restart_ != nullptr && hot_restart_->begin_shutdown();
  if (!is_replaced) schedule_drain(now_ms, total_ms);
  parts_.timers.run_at(now_ms + total_ms,
                       [this, end_ms = now_ms + total_ms] { finish_responses(end_ms + kMaxFinishingMs); });
}

void GracefulShutdown::finish_responses(double finish_by_ms) {
  const double now_ms = loop::now_ms();
  if (now_ms >= finish_by_ms || !parts_.listener.is_transmitting()) return stop_loop();
  parts_.timers.run_at(now_ms + kTransmissionCheckIntervalMs,
                       [this, finish_by_ms] { finish_responses(finish_by_ms); });
}

void GracefulShutdown::schedule_drain(double now_ms, double total_ms) {
  parts_.listener.set_not_ready();
  parts_.timers.run_at(now_ms + kAcceptingMs, [this] { parts_.listener.stop_accepting(); });
  parts_.timers.run_at(now_ms + std::max(kAcceptingMs, std::min(total_ms / 2, kMaxServingMs)), [this] {
    parts_.listener.drain();
    parts_.listener.stop();
  });
}

void GracefulShutdown::on_connections_closed() {
  if (hot_restart_ == nullptr || hot_restart_->is_flushed()) return stop_loop();
  parts_.timers.run_at(loop::now_ms() + kFlushCheckIntervalMs, [this] { on_connections_closed(); });
}

void GracefulShutdown::stop_loop() { event_base_loopbreak(parts_.base); }

} // namespace fernward::router
