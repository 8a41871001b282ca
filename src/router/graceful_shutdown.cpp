#include "router/graceful_shutdown.h"

#include <algorithm>

#include "log/log.h"

namespace fernward::router {
namespace {

constexpr double kAcceptMs = 500;            // load balancers keep sending clients for this long
constexpr double kServeMs = 1500;            // upper bound of the end of Serving
constexpr double kResponseGraceMs = 600;     // after the timeout of the last request
constexpr double kMaxClientTimeoutMs = 3000; // the longest that the platform allows for before SIGKILL
constexpr double kFailLeadMs = 100;
// How often to check whether all passed connections have been sent.
constexpr double kPassedOnCheckMs = 5;

// The client timeout of a request that is accepted at the last moment. A sidecar, whose configuration is
// `movable`, waits for the longest timeout of its classes without the platform's limit.
double longest_client_timeout_ms(const config::Config& config) {
  double longest = 0;
  for (const auto& cls : config.settings.classes) longest = std::max(longest, cls.client_timeout_ms);
  if (!config.movable) longest = std::min(longest, kMaxClientTimeoutMs);
  return longest > 0 ? longest : kMaxClientTimeoutMs;
}

} // namespace

void GracefulShutdown::begin(const config::Config& config) {
  if (has_begun_) return;
  has_begun_ = true;
  if (gossip_ != nullptr) gossip_->leave();
  log::line("graceful-shutdown", {{"name", config.name}});
  const double now_ms = loop::now_ms();
  const double total_ms = longest_client_timeout_ms(config) + kResponseGraceMs;
  parts_.dispatcher.answer_all_by(now_ms + total_ms - kFailLeadMs);
  const bool replaced = hot_restart_ != nullptr && hot_restart_->begin_shutdown();
  if (!replaced) schedule_drain(now_ms, total_ms);
  parts_.timers.at(now_ms + total_ms, [this] { stop_loop(); });
}

void GracefulShutdown::schedule_drain(double now_ms, double total_ms) {
  parts_.listener.ends_by(now_ms + total_ms - kFailLeadMs);
  parts_.timers.at(now_ms + kAcceptMs, [this] { parts_.listener.stop_accepting(); });
  parts_.timers.at(now_ms + std::max(kAcceptMs, std::min(total_ms / 2, kServeMs)), [this] {
    parts_.listener.drain();
    parts_.listener.stop();
  });
}

void GracefulShutdown::on_connections_closed() {
  if (hot_restart_ == nullptr || hot_restart_->is_flushed()) return stop_loop();
  parts_.timers.at(loop::now_ms() + kPassedOnCheckMs, [this] { on_connections_closed(); });
}

void GracefulShutdown::stop_loop() { event_base_loopbreak(parts_.base); }

} // namespace fernward::router
