#include "lab/rig/rig.h"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <optional>
#include <random>
#include <stdexcept>

#include "lab/load/load.h"
#include "lab/peers/datagrams.h"
#include "lab/peers/fleet.h"
#include "lab/process/supervisor.h"
#include "lab/rig/routers.h"
#include "lab/shared/run_context.h"

namespace fernward::rig {
namespace {

constexpr double kTickIntervalMs = 10;
constexpr double kReorderWindowMs = 100; // records that arrive within this time of one another are sorted
constexpr std::size_t kMaxQueuedRecords = 2'000'000; // limit of records queued for a sink that is too slow
constexpr double kProgressIntervalMs = 100;
constexpr double kMaxSettleMs = 3000;  // limit for attempts that are still active after the last response
constexpr double kMaxOverrunMs = 5000; // after the longest client timeout; the run must have ended by then
constexpr double kMaxAttemptDelayMs = 5000; // how long after its client's timeout an attempt may still arrive
constexpr rlim_t kSpareDescriptors = 2000;  // for connections and files, in addition to the listeners

std::string make_directory() {
  const char* temporary_directory = std::getenv("TMPDIR");
  std::string path =
      std::string(temporary_directory != nullptr && *temporary_directory != '\0' ? temporary_directory
                                                                                 : "/tmp") +
      "/fernward-lab-XXXXXX";
  if (mkdtemp(path.data()) == nullptr)
    throw std::runtime_error("the lab cannot create a directory at " + path);
  return path;
}

// Raises the descriptor limit. Each pair of a router and a machine needs a listening socket, and one more
// that fills its backlog while the path between them is cut. Each pair of routers needs a datagram socket if
// the routers have datagram ports.
void raise_descriptor_limit(const model::Spec& spec, const model::Plan& plan) {
  const std::size_t routers = plan.routers.size();
  const std::size_t pairs = has_datagram_ports(spec, plan) ? routers * routers : 0;
  const rlim_t required = routers * plan.machines.size() * 2 + pairs + routers * 4 + kSpareDescriptors;
  rlimit limit{};
  getrlimit(RLIMIT_NOFILE, &limit);
  limit.rlim_cur = limit.rlim_max;
  setrlimit(RLIMIT_NOFILE, &limit);
  if (limit.rlim_max != RLIM_INFINITY && limit.rlim_max < required) {
    throw std::runtime_error("the fleet needs " + std::to_string(required) +
                             " descriptors on sockets; the system's limit (RLIMIT_NOFILE) is " +
                             std::to_string(limit.rlim_max));
  }
}

std::uint64_t random_secret() {
  std::random_device device; // only this run can make its response bodies
  return static_cast<std::uint64_t>(device()) << 32 | device();
}

// The approximate number of tries that are retained at the same time.
std::size_t expected_tries(const model::Spec& spec, const model::Plan& plan) {
  double peak_factor = 1;
  for (const auto& change : plan.rate_changes) peak_factor = std::max(peak_factor, change.factor);
  if (spec.load.shape == model::LoadShape::Ramp) peak_factor *= std::max(1.0, spec.load.ramp_to);
  if (spec.load.shape == model::LoadShape::Day) peak_factor *= 1 + spec.load.swing;
  const double retained_s =
      std::min(spec.duration_ms, max_client_timeout_ms(spec) + kMaxAttemptDelayMs) / 1000;
  return static_cast<std::size_t>(std::min(1e6, spec.load.rate_per_s * peak_factor * retained_s * 1.2));
}

double own_cpu_s() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& time) {
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double own_peak_mb() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_maxrss) / 1024;
}

// One run on sockets, from the start of its processes to their end.
class SocketRun {
 public:
  SocketRun(const model::Spec& spec, model::Sink& sink, const lab::RunControl& control,
            const lab::RigOptions& options)
      : spec_(spec),
        control_(control),
        options_(options),
        plan_(model::make_plan(spec)),
        directory_((raise_descriptor_limit(spec, plan_), make_directory())),
        supervisor_(directory_),
        addresses_(plan_.routers.size(), plan_.machines.size()),
        body_codec_(random_secret()),
        tries_(random_secret(), max_client_timeout_ms(spec) + kMaxAttemptDelayMs,
               expected_tries(spec, plan_)),
        context_{spec_,    plan_,         addresses_,          clock_, body_codec_, tries_,
                 records_, void_reasons_, options.keep_running},
        merger_(sink, kReorderWindowMs),
        loop_(clock_),
        fleet_(context_),
        load_(
            context_,
            {[this](model::RouterId router) { loop_.run_in_loop([this, router] { router_ready(router); }); },
             [this] { loop_.run_in_loop([this] { requests_finished(); }); }},
            ready_by_connect_flags(options)),
        routers_(context_, loop_, supervisor_, fleet_, load_, options_, directory_) {}

  lab::RunInfo run() {
    lab::RunInfo info;
    const auto started_at = std::chrono::steady_clock::now();
    const double cpu_at_start_s = own_cpu_s();
    fleet_.start();
    load_.start_loop();
    routers_.start_all();
    loop_.run_after(options_.ready_timeout_ms, [this] { start(); });
    tick();
    loop_.run();
    if (!error_.empty()) throw std::runtime_error(error_);
    info.scenario_elapsed_ms = elapsed_ms_;
    finish(info);
    info.wall_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - started_at).count();
    info.cpu_s = own_cpu_s() - cpu_at_start_s;
    info.peak_memory_mb = own_peak_mb();
    return info;
  }

 private:
  static std::vector<char> ready_by_connect_flags(const lab::RigOptions& options) {
    std::vector<char> flags;
    for (const auto& program : options.programs_by_router) flags.push_back(program.ready_by_connect ? 1 : 0);
    return flags;
  }

  // ---- the run's own loop ----

  void router_ready(model::RouterId router) {
    routers_.router_ready(router);
    if (routers_.all_ready()) start();
  }

  void start() {
    if (clock_.started() || ended_) return;
    clock_.start();
    fleet_.start_run();
    load_.start_arrivals();
    routers_.start_steps();
    if (!options_.on_ready) return;
    std::vector<std::string> addresses;
    for (const auto& router : plan_.routers) addresses.push_back(address_text(addresses_.router(router.id)));
    options_.on_ready(addresses);
  }

  void requests_finished() {
    requests_finished_at_ = clock_.now();
    wait_for_attempts();
  }

  // Waits for attempts that are still active on the machines, up to a limit.
  void wait_for_attempts() {
    if (ended_) return;
    const bool waited_enough = clock_.now() - *requests_finished_at_ > kMaxSettleMs;
    if (fleet_.attempts() > 0 && !waited_enough) {
      loop_.run_after(kTickIntervalMs, [this] { wait_for_attempts(); });
      return;
    }
    elapsed_ms_ = clock_.now();
    if (!options_.keep_running) end();
  }

  void end() {
    if (ended_) return;
    ended_ = true;
    if (elapsed_ms_ == 0) elapsed_ms_ = clock_.now();
    loop_.stop();
  }

  void tick() {
    merger_.add_from(records_);
    if (clock_.started()) merger_.release(clock_.now());
    if (merger_.queued() > kMaxQueuedRecords) {
      void_reasons_.add("records come faster than they are taken");
      end();
    }
    const double now = clock_.now();
    if (control_.progress && loop::now_ms() - last_progress_at_ >= kProgressIntervalMs) {
      last_progress_at_ = loop::now_ms();
      control_.progress(now);
    }
    if (options_.on_second && clock_.started() && now >= next_second_ms_) {
      options_.on_second(now, routers_.usage());
      next_second_ms_ = std::floor(now / 1000) * 1000 + 1000;
    }
    if (control_.stop.stop_requested()) {
      stopped_ = !requests_finished_at_;
      end();
    }
    if (!routers_.startup_error().empty() && !clock_.started()) {
      error_ = routers_.startup_error();
      end();
    }
    if (!routers_.supervisor_alive()) end();
    if (!requests_finished_at_ && now > spec_.duration_ms + max_client_timeout_ms(spec_) + kMaxOverrunMs) {
      void_reasons_.add("the run did not come to its end");
      end();
    }
    if (!ended_) loop_.run_after(kTickIntervalMs, [this] { tick(); });
  }

  // ---- the end ----

  void finish(lab::RunInfo& info) {
    const LoadSummary load = load_.stop();
    run_until_routers_end();
    const FleetSummary fleet = fleet_.stop();
    merger_.add_from(records_);
    merger_.release_all();
    info.stopped = stopped_;
    info.send_lateness_ms = load.lateness_ms;
    info.response_lateness_ms = fleet.lateness_ms;
    info.load_generator_cpu_s = load.cpu_s;
    info.routers = routers_.resource_use();
    for (std::size_t router = 0; router < fleet.sent_by_router.size(); ++router) {
      info.routers[router].datagrams = fleet.sent_by_router[router].datagrams;
      info.routers[router].datagram_bytes = fleet.sent_by_router[router].bytes;
    }
    check_lateness(load.lateness_ms, "requests were sent");
    check_lateness(fleet.lateness_ms, "the simulated responses were sent");
    info.void_reasons = void_reasons_.all();
    info.is_void = !info.void_reasons.empty();
  }

  void check_lateness(const lab::LatenessQuantiles& lateness, const char* subject) {
    if (lateness.p99 <= options_.max_late_p99_ms && lateness.p999 <= options_.max_late_p999_ms) return;
    char text[160];
    std::snprintf(text, sizeof text, "%s late: p99 %.2f ms, p99.9 %.2f ms (at most %.0f and %.0f)", subject,
                  lateness.p99, lateness.p999, options_.max_late_p99_ms, options_.max_late_p999_ms);
    void_reasons_.add(text);
  }

  void run_until_routers_end() {
    routers_.terminate_all();
    wait_for_routers();
    loop_.run();
  }
  void wait_for_routers() {
    if (!routers_.any_running() || !routers_.supervisor_alive()) return loop_.stop();
    loop_.run_after(kTickIntervalMs, [this] { wait_for_routers(); });
  }

  const model::Spec spec_;
  const lab::RunControl& control_;
  const lab::RigOptions& options_;
  const model::Plan plan_;
  const std::string directory_;
  ProcessSupervisor supervisor_; // forks before any thread starts, and is destroyed after all members below
  RunClock clock_;
  RunAddresses addresses_;
  BodyCodec body_codec_;
  TryRegistry tries_;
  RecordBuffer records_;
  VoidReasons void_reasons_;
  const RunContext context_;
  RecordMerger merger_;
  RunLoop loop_;
  SimulatedFleet fleet_;
  LoadGenerator load_;
  RouterProcesses routers_;

  std::optional<double> requests_finished_at_;
  double elapsed_ms_ = 0, last_progress_at_ = 0, next_second_ms_ = 0;
  bool ended_ = false, stopped_ = false;
  std::string error_;
};

class RigDriver : public lab::Driver {
 public:
  explicit RigDriver(lab::RigOptions options) : options_(std::move(options)) {}
  lab::RunInfo run(const model::Spec& spec, model::Sink& sink, const lab::RunControl& control) override {
    if (spec.routers.sharing.enabled && options_.role != lab::RouterRole::Platform)
      throw std::runtime_error("routers.sharing: only routers configured by the platform's file share");
    return SocketRun(spec, sink, control, options_).run();
  }

 private:
  const lab::RigOptions options_;
};

} // namespace
} // namespace fernward::rig

std::unique_ptr<fernward::lab::Driver> fernward::lab::make_rig_driver(RigOptions options) {
  return std::make_unique<rig::RigDriver>(std::move(options));
}
