// Measures the load of a router fleet on discovery, and how soon the routers receive changes: real `fernward
// serve` processes on loopback use one emulated discovery service, without clients. Times of faults and
// changes, and all figures, count from the moment at which every router has a long poll open; until then the
// capacity of discovery is unlimited.
//
//   fernward_bench_discovery_fleet --program build/fernward --routers 300 --servers 3200 --changes-per-second 1
//
// docs/notes/discovery.md lists the compared runs and their figures.
#include <event2/event.h>
#include <signal.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <cxxopts.hpp>
#include <exception>
#include <filesystem>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <stdexcept>
#include <string>
#include <vector>

#include "discovery/discovery_server.h"
#include "discovery/endpoint_registry.h"
#include "discovery/propagation_recorder.h"
#include "discovery/router_process.h"
#include "loop/timer_queue.h"

namespace {

using fernward::bench::discovery::DiscoveryCapacity;
using fernward::bench::discovery::DiscoveryServer;
using fernward::bench::discovery::EndpointRegistry;
using fernward::bench::discovery::PropagationRecorder;
using fernward::bench::discovery::RouterCounters;
using fernward::bench::discovery::RouterProcess;
namespace loop = fernward::loop;

constexpr double kMsPerSecond = 1000;
// Allowed delay of a change: 6 s until the router counts as notified, and the grace period of 250 ms.
constexpr double kAllowedDelayMs = 6250;
// No changes are made in this last part of the run, so that each can arrive within the allowed delay.
constexpr double kFinalPeriodWithoutChangesMs = 7000;
constexpr double kStartIntervalMs = 5;           // between the starts of two processes
constexpr double kStartTimeoutMs = 60000;        // until all routers have a long poll open
constexpr double kSettleTimeMs = 1000;           // after that, before counting begins
constexpr double kLatenessSampleIntervalMs = 10; // between two samples of the event loop's lateness

struct BenchmarkOptions {
  std::string program;
  std::size_t router_count = 0;
  std::size_t server_count = 0;
  double duration_s = 0;
  std::uint64_t seed = 0;
  DiscoveryCapacity capacity;
  double all_snapshots_s = 0; // 0: the capacity options apply
  std::optional<double> outage_at_s;
  double outage_duration_s = 0;
  std::optional<double> reset_at_s;
  std::optional<double> silent_at_s;
  double changes_per_second = 0;
};

std::optional<double> optional_number(const cxxopts::ParseResult& parsed, const char* name) {
  if (parsed.count(name) == 0) return std::nullopt;
  return parsed[name].as<double>();
}

/// Throws cxxopts' exceptions, and std::invalid_argument. Returns nullopt if help was requested.
std::optional<BenchmarkOptions> parse_options(int argc, char** argv) {
  const auto number = [](const char* fallback) { return cxxopts::value<double>()->default_value(fallback); };
  const auto count = [](const char* fallback) {
    return cxxopts::value<std::size_t>()->default_value(fallback);
  };
  cxxopts::Options options("fernward_bench_discovery_fleet",
                           "Measure the load of a router fleet on discovery");
  options.add_options()("program", "The router's program", cxxopts::value<std::string>());
  options.add_options()("routers", "Processes", count("30"));
  options.add_options()("servers", "Number of endpoints in discovery", count("200"));
  options.add_options()("seconds", "Duration of the run, once all routers wait for changes", number("30"));
  options.add_options()("seed", "Seed for the choice of servers and for the routers",
                        cxxopts::value<std::uint64_t>()->default_value("1"));
  options.add_options()("answers-per-second", "Calls that discovery answers per second; 0: no limit",
                        number("0"));
  options.add_options()("bytes-per-second", "Bytes that discovery sends per second; 0: no limit",
                        number("0"));
  options.add_options()(
      "all-snapshots-seconds",
      "Sets --bytes-per-second so that snapshots for all routers in turn take this long; 0: unset",
      number("0"));
  options.add_options()("outage-at", "Second at which discovery stops answering", cxxopts::value<double>());
  options.add_options()("outage-seconds", "Duration of the outage", number("8"));
  options.add_options()("reset-at", "Second at which all connections are reset", cxxopts::value<double>());
  options.add_options()("silent-at", "Second at which all open long polls become silent",
                        cxxopts::value<double>());
  options.add_options()("changes-per-second",
                        "Changes per second: a server becomes terminating, or in service again", number("1"));
  options.add_options()("help", "Print this help");
  const auto parsed = options.parse(argc, argv);
  if (parsed.count("help") > 0) {
    std::printf("%s\n", options.help().c_str());
    return std::nullopt;
  }
  BenchmarkOptions result;
  result.program = parsed["program"].as<std::string>();
  result.router_count = parsed["routers"].as<std::size_t>();
  result.server_count = parsed["servers"].as<std::size_t>();
  result.duration_s = parsed["seconds"].as<double>();
  result.seed = parsed["seed"].as<std::uint64_t>();
  result.capacity.responses_per_second = parsed["answers-per-second"].as<double>();
  result.capacity.bytes_per_second = parsed["bytes-per-second"].as<double>();
  result.all_snapshots_s = parsed["all-snapshots-seconds"].as<double>();
  result.outage_at_s = optional_number(parsed, "outage-at");
  result.outage_duration_s = parsed["outage-seconds"].as<double>();
  result.reset_at_s = optional_number(parsed, "reset-at");
  result.silent_at_s = optional_number(parsed, "silent-at");
  result.changes_per_second = parsed["changes-per-second"].as<double>();
  if (result.router_count < 1 || result.server_count < 1) {
    throw std::invalid_argument("--routers and --servers must be 1 or more");
  }
  return result;
}

/// A folder for the routers' files. The destructor removes it.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    char path[] = "/tmp/fernward-fleet-XXXXXX";
    if (mkdtemp(path) == nullptr) throw std::runtime_error("cannot create a folder in /tmp");
    path_ = path;
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
  }
  TemporaryFolder(const TemporaryFolder&) = delete;

  std::filesystem::path make_subfolder(const std::string& name) const {
    std::filesystem::create_directory(path_ / name);
    return path_ / name;
  }

 private:
  std::filesystem::path path_;
};

/// Minimum, median and maximum of a figure over the routers.
struct RouterSpread {
  double min = 0, median = 0, max = 0;
};

RouterSpread compute_spread(std::vector<double> values) {
  if (values.empty()) return {};
  std::sort(values.begin(), values.end());
  return {values.front(), values[values.size() / 2], values.back()};
}

double quantile(const std::vector<double>& sorted, double fraction) {
  if (sorted.empty()) return 0;
  return sorted[std::min(sorted.size() - 1,
                         static_cast<std::size_t>(fraction * static_cast<double>(sorted.size())))];
}

struct EventBaseDeleter {
  void operator()(event_base* base) const { event_base_free(base); }
};

/// One run: starts the routers, waits for their long polls, makes the changes and faults, prints the figures.
class FleetMeasurement {
 public:
  explicit FleetMeasurement(BenchmarkOptions options)
      : options_(std::move(options)),
        base_(event_base_new()),
        timers_(base_.get()),
        registry_(options_.server_count),
        propagation_(options_.router_count),
        random_(options_.seed),
        server_(base_.get(), timers_, registry_, propagation_, options_.router_count) {
    set_capacity();
    for (const int number : {SIGINT, SIGTERM}) {
      signals_.emplace_back(evsignal_new(base_.get(), number, &FleetMeasurement::on_interrupt, this));
      event_add(signals_.back().get(), nullptr);
    }
  }

  /// Returns false if it was interrupted, a router ended, or the routers did not become ready in time.
  bool run() {
    started_at_ms_ = loop::now_ms();
    sample_lateness();
    start_router();
    event_base_dispatch(base_.get());
    for (RouterProcess& router : processes_)
      router.terminate(); // all are signalled first, then each is waited for
    processes_.clear();
    return completed_;
  }

 private:
  static void on_interrupt(int, short, void* self) {
    std::fprintf(stderr, "fernward_bench_discovery_fleet: interrupted\n");
    event_base_loopbreak(static_cast<FleetMeasurement*>(self)->base_.get());
  }

  void run_after(double delay_ms, std::function<void()> action) {
    timers_.run_at(loop::now_ms() + delay_ms, std::move(action));
  }

  void fail(const char* reason) {
    std::fprintf(stderr, "fernward_bench_discovery_fleet: %s\n", reason);
    event_base_loopbreak(base_.get());
  }

  void set_capacity() {
    if (options_.all_snapshots_s <= 0) return;
    const std::size_t bytes = options_.router_count * registry_.snapshot().size();
    options_.capacity.bytes_per_second = static_cast<double>(bytes) / options_.all_snapshots_s;
  }

  // The emulated discovery shares the machine with the routers: if it was late itself, the run is unreliable.
  void sample_lateness() {
    const double due_ms = loop::now_ms() + kLatenessSampleIntervalMs;
    timers_.run_at(due_ms, [this, due_ms] {
      lateness_ms_.push_back(loop::now_ms() - due_ms);
      sample_lateness();
    });
  }

  void start_router() {
    const std::size_t router = processes_.size();
    if (router == options_.router_count) return wait_until_settled();
    const std::string name = "router-" + std::to_string(router);
    processes_.emplace_back(fernward::bench::discovery::RouterOptions{
        options_.program, name, server_.address_for(router), random_(), folder_.make_subfolder(name)});
    run_after(kStartIntervalMs, [this] { start_router(); });
  }

  void wait_until_settled() {
    constexpr double kPollMs = 50;
    if (!all_routers_run()) return fail("a router has ended by itself");
    if (server_.all_routers_have_long_poll())
      return run_after(kSettleTimeMs, [this] { begin_measurement(); });
    if (loop::now_ms() - started_at_ms_ > kStartTimeoutMs)
      return fail("the routers did not open their long polls in time");
    run_after(kPollMs, [this] { wait_until_settled(); });
  }

  bool all_routers_run() {
    return std::all_of(processes_.begin(), processes_.end(),
                       [](RouterProcess& router) { return router.running(); });
  }

  void begin_measurement() {
    startup_s_ = (loop::now_ms() - started_at_ms_) / kMsPerSecond;
    lateness_ms_.clear();
    server_.clear_counters();
    server_.set_capacity(options_.capacity);
    for (const RouterProcess& router : processes_) cpu_at_begin_ms_.push_back(router.cpu_ms());
    if (options_.outage_at_s) schedule_outage(*options_.outage_at_s * kMsPerSecond);
    if (options_.reset_at_s) {
      run_after(*options_.reset_at_s * kMsPerSecond, [this] { server_.reset_all_connections(); });
    }
    if (options_.silent_at_s) {
      run_after(*options_.silent_at_s * kMsPerSecond, [this] { server_.silence_open_long_polls(); });
    }
    last_change_at_ms_ = loop::now_ms() + options_.duration_s * kMsPerSecond - kFinalPeriodWithoutChangesMs;
    schedule_change_after(loop::now_ms());
    run_after(options_.duration_s * kMsPerSecond, [this] { end_measurement(); });
  }

  void schedule_outage(double delay_until_outage_ms) {
    const double duration_ms = options_.outage_duration_s * kMsPerSecond;
    const double begins_ms = loop::now_ms() + delay_until_outage_ms;
    propagation_.set_outage({begins_ms, begins_ms + duration_ms});
    run_after(delay_until_outage_ms, [this] { server_.begin_outage(); });
    run_after(delay_until_outage_ms + duration_ms, [this] { server_.end_outage(); });
  }

  // Scheduled from the planned time of the previous change, not the actual one, so that a late event loop
  // doesn't reduce the number of changes.
  void schedule_change_after(double previous_change_ms) {
    if (options_.changes_per_second <= 0) return;
    const double due_ms = previous_change_ms + kMsPerSecond / options_.changes_per_second;
    if (due_ms > last_change_at_ms_) return;
    timers_.run_at(due_ms, [this, due_ms] {
      make_change();
      schedule_change_after(due_ms);
    });
  }

  // Changes alternate: a server becomes terminating, and with the next change it is in service again.
  void make_change() {
    const bool terminating = !terminating_server_;
    if (terminating) terminating_server_ = random_() % options_.server_count;
    propagation_.record_change(registry_.set_terminating(*terminating_server_, terminating), loop::now_ms());
    if (!terminating) terminating_server_.reset();
    server_.queue_waiting_long_polls();
  }

  void end_measurement() {
    if (!all_routers_run()) return fail("a router has ended by itself");
    const std::size_t unreceived_changes = propagation_.finish(loop::now_ms());
    print_configuration();
    print_routers();
    print_changes(unreceived_changes);
    completed_ = true;
    event_base_loopbreak(base_.get());
  }

  void print_configuration() {
    std::printf(
        "%zu routers, %zu servers, snapshot of %zu bytes, %.0f s measured after a start-up of %.1f s\n",
        options_.router_count, options_.server_count, registry_.snapshot().size(), options_.duration_s,
        startup_s_);
    std::printf(
        "capacity: %.0f answers/s, %.0f bytes/s (0: no limit); longest time in discovery's queue %.0f ms\n",
        options_.capacity.responses_per_second, options_.capacity.bytes_per_second,
        server_.max_queueing_ms());
    std::sort(lateness_ms_.begin(), lateness_ms_.end());
    double load[1] = {0};
    getloadavg(load, 1);
    std::printf(
        "lateness of discovery's event loop: p99 %.1f ms, worst %.1f ms; load average of the machine "
        "%.1f\n\n",
        quantile(lateness_ms_, 0.99), quantile(lateness_ms_, 1), load[0]);
  }

  void print_routers() const {
    std::printf("| per router | min | median | max |\n| --- | --- | --- | --- |\n");
    print_counter("snapshots sent", [](const RouterCounters& c) { return c.snapshots_sent; });
    print_counter("long polls answered", [](const RouterCounters& c) { return c.long_poll_responses; });
    print_counter("calls", [](const RouterCounters& c) { return c.calls_received; });
    print_counter("calls abandoned", [](const RouterCounters& c) { return c.calls_abandoned; });
    print_counter("connections closed without an open call",
                  [](const RouterCounters& c) { return c.closed_without_call; });
    print_counter("connections accepted", [](const RouterCounters& c) { return c.connections_accepted; });
    print_counter("most open connections", [](const RouterCounters& c) { return c.max_connections_open; });
    print_counter("response bytes", [](const RouterCounters& c) { return c.bytes_written; });
    std::vector<double> cpu_ms, rss_mb;
    for (std::size_t i = 0; i < processes_.size(); ++i) {
      cpu_ms.push_back(processes_[i].cpu_ms() - cpu_at_begin_ms_[i]);
      rss_mb.push_back(processes_[i].peak_resident_mb());
    }
    print_spread("CPU, ms", compute_spread(cpu_ms), 1);
    print_spread("peak RSS, MB", compute_spread(rss_mb), 1);
  }

  template <typename Counter>
  void print_counter(const char* name, Counter counter) const {
    std::vector<double> values;
    for (std::size_t i = 0; i < options_.router_count; ++i) {
      values.push_back(static_cast<double>(counter(server_.counters(i))));
    }
    print_spread(name, compute_spread(values), 0);
  }

  static void print_spread(const char* name, const RouterSpread& spread, int decimals) {
    std::printf("| %s | %.*f | %.*f | %.*f |\n", name, decimals, spread.min, decimals, spread.median,
                decimals, spread.max);
  }

  void print_changes(std::size_t unreceived_changes) const {
    std::vector<double> delays = propagation_.delays_ms();
    std::sort(delays.begin(), delays.end());
    const auto late =
        std::count_if(delays.begin(), delays.end(), [](double ms) { return ms > kAllowedDelayMs; });
    std::printf(
        "\n%zu changes, %zu pairs of change and router: median %.0f ms, p99 %.0f ms, worst %.0f ms; "
        "%td over %.0f ms, %zu not received at the end\n",
        propagation_.change_count(), delays.size(), quantile(delays, 0.5), quantile(delays, 0.99),
        quantile(delays, 1), late, kAllowedDelayMs, unreceived_changes);
  }

  BenchmarkOptions options_;
  std::unique_ptr<event_base, EventBaseDeleter> base_;
  loop::TimerQueue timers_;
  EndpointRegistry registry_;
  PropagationRecorder propagation_;
  std::mt19937_64 random_;
  DiscoveryServer server_;
  TemporaryFolder folder_;
  std::vector<RouterProcess> processes_;
  std::vector<loop::EventPtr> signals_;
  std::vector<double> cpu_at_begin_ms_;
  std::vector<double> lateness_ms_;
  std::optional<std::size_t> terminating_server_;
  double started_at_ms_ = 0;
  double startup_s_ = 0;
  double last_change_at_ms_ = 0;
  bool completed_ = false;
};

} // namespace

int main(int argc, char** argv) {
  try {
    const auto options = parse_options(argc, argv);
    if (!options) return 0;
    signal(SIGPIPE, SIG_IGN);
    return FleetMeasurement(*options).run() ? 0 : 1;
  } catch (const cxxopts::exceptions::exception& error) {
    std::fprintf(stderr, "fernward_bench_discovery_fleet: %s\n", error.what());
    return 2;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fernward_bench_discovery_fleet: %s\n", error.what());
    return 1;
  }
}
