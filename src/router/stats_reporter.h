// Reports the router's statistics to operators: log lines every kReportPeriodMs and at shutdown, and gauges
// on the control port.
#pragma once

#include <cstddef>
#include <cstdint>

#include "figures/router_stats.h"
#include "gossip_transport/transport.h"
#include "loop/timer_queue.h"
#include "proxy/request_dispatcher.h"
#include "router/endpoint_updater.h"
#include "router/memory_monitor.h"

namespace fernward::router {

struct StatsReporterParts { // owned by the router; must outlive the reporter
  loop::TimerQueue& timers;
  figures::RouterStats& stats;
  const proxy::RequestDispatcher& dispatcher;
  const EndpointUpdater& endpoints;
  MemoryMonitor& memory;
};

class StatsReporter {
 public:
  explicit StatsReporter(StatsReporterParts parts); // registers the gauges of the cluster
  StatsReporter(const StatsReporter&) = delete;
  StatsReporter& operator=(const StatsReporter&) = delete;

  // Registers its gauges, and adds its line to each report.
  void add_gossip(gossip_transport::Transport& gossip);
  void start(); // reports periodically until the event loop ends
  void report();

 private:
  void report_requests();
  void report_slow_start();
  void report_gossip();
  void report_given_up();
  std::size_t cache_count() const;
  std::size_t unavailable_cache_count() const;

  StatsReporterParts parts_;
  gossip_transport::Transport* gossip_ = nullptr; // null: gossip is disabled
  // Values at the last report:
  proxy::RequestDispatcher::GiveUpCounts reported_give_up_counts_{};
  fernward::Balancer::SlowStartCounts reported_slow_start_;
  std::uint64_t reported_request_count_ = 0;
};

} // namespace fernward::router
