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
#include "lab/process/guardian.h"
#include "lab/rig/routers.h"
#include "lab/shared/stage.h"

namespace fernward::rig {
namespace {

constexpr double kTickMs = 10;
constexpr double kHoldMs = 100;              // records that arrive within this time of one another are sorted
constexpr std::size_t kMostHeld = 2'000'000; // limit of records queued for a sink that is too slow
constexpr double kProgressMs = 100;
constexpr double kSettleMs = 3000;  // limit for attempts that are still active after the last response
constexpr double kOverrunMs = 5000; // after the longest client timeout; the run must have ended by then
constexpr double kLateMs = 5000;    // how long after its client's timeout an attempt may still arrive
constexpr rlim_t kSpare = 2000;     // minimum number of descriptors for connections

std::string make_directory() {
  const char* where = std::getenv("TMPDIR");
  std::string path =
      std::string(where != nullptr && *where != '\0' ? where : "/tmp") + "/fernward-lab-XXXXXX";
  if (mkdtemp(path.data()) == nullptr) throw std::runtime_error("the lab cannot make a directory at " + path);
  return path;
}

// Raises the descriptor limit. Each pair of a router and a machine needs a listening socket, and so do most
// pairs of routers.
void need_descriptors(const model::Spec& spec, const model::Plan& plan) {
  const std::size_t routers = plan.routers.size();
  const std::size_t pairs = has_datagram_ports(spec, plan) ? routers * routers : 0;
  const rlim_t need = routers * plan.machines.size() * 2 + pairs + routers * 4 + kSpare;
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
  if (files.rlim_max != RLIM_INFINITY && files.rlim_max < need) {
    throw std::runtime_error("this fleet needs " + std::to_string(need) +
                             " descriptors on sockets; the system allows " + std::to_string(files.rlim_max));
  }
}

std::uint64_t secret() {
  std::random_device device; // only this run can make its response bodies
  return static_cast<std::uint64_t>(device()) << 32 | device();
}

// The approximate number of tries that are retained at the same time.
std::size_t expected_tries(const model::Spec& spec, const model::Plan& plan) {
  double most = 1;
  for (const auto& change : plan.rates) most = std::max(most, change.factor);
  if (spec.load.shape == model::LoadShape::Ramp) most *= std::max(1.0, spec.load.ramp_to);
  if (spec.load.shape == model::LoadShape::Day) most *= 1 + spec.load.swing;
  const double kept_s = std::min(spec.duration_ms, longest_give_up(spec) + kLateMs) / 1000;
  return static_cast<std::size_t>(std::min(1e6, spec.load.rate_per_s * most * kept_s * 1.2));
}

double own_cpu_s() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& t) {
    return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_usec) / 1e6;
  };
  return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

double own_peak_mb() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return static_cast<double>(usage.ru_maxrss) / 1024;
}

// One run on sockets, from the start of its processes to their end.
class Run {
 public:
  Run(const model::Spec& spec, model::Sink& sink, const lab::RunControl& control,
      const lab::RigOptions& options)
      : spec_(spec),
        control_(control),
        options_(options),
        plan_(model::make_plan(spec)),
        directory_((need_descriptors(spec, plan_), make_directory())),
        guardian_(directory_),
        addresses_(plan_.routers.size(), plan_.machines.size()),
        bodies_(secret()),
        tries_(secret(), longest_give_up(spec) + kLateMs, expected_tries(spec, plan_)),
        stage_{spec_, plan_, addresses_, clock_, bodies_, tries_, tape_, voids_, options.keep},
        merger_(sink, kHoldMs),
        loop_(clock_),
        fleet_(stage_),
        load_(stage_,
              {[this](model::RouterId r) { loop_.post([this, r] { ready(r); }); },
               [this] { loop_.post([this] { drawn_and_answered(); }); }},
              by_connect(options)),
        routers_(stage_, loop_, guardian_, fleet_, load_, options_, directory_) {}

  lab::RunInfo play() {
    lab::RunInfo info;
    const auto began = std::chrono::steady_clock::now();
    const double cpu = own_cpu_s();
    fleet_.open();
    load_.open();
    routers_.start_all();
    loop_.after(options_.ready_ms, [this] { begin(); });
    tick();
    loop_.run();
    if (!fault_.empty()) throw std::runtime_error(fault_);
    info.played_ms = played_ms_;
    finish(info);
    info.wall_s = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    info.cpu_s = own_cpu_s() - cpu;
    info.peak_memory_mb = own_peak_mb();
    return info;
  }

 private:
  static std::vector<char> by_connect(const lab::RigOptions& options) {
    std::vector<char> all;
    for (const auto& program : options.programs) all.push_back(program.ready_by_connect ? 1 : 0);
    return all;
  }

  // ---- the run's own loop ----

  void ready(model::RouterId router) {
    routers_.is_ready(router);
    if (routers_.all_ready()) begin();
  }

  void begin() {
    if (clock_.begun() || over_) return;
    clock_.begin();
    fleet_.begin();
    load_.begin();
    routers_.begin();
    if (!options_.on_ready) return;
    std::vector<std::string> where;
    for (const auto& router : plan_.routers) where.push_back(text_of(addresses_.router(router.id)));
    options_.on_ready(where);
  }

  void drawn_and_answered() {
    answered_at_ = clock_.now();
    settle();
  }

  // Waits for attempts that are still active on the machines, up to a limit.
  void settle() {
    if (over_) return;
    const bool waited = clock_.now() - *answered_at_ > kSettleMs;
    if (fleet_.attempts() > 0 && !waited) {
      loop_.after(kTickMs, [this] { settle(); });
      return;
    }
    played_ms_ = clock_.now();
    if (!options_.keep) end();
  }

  void end() {
    if (over_) return;
    over_ = true;
    if (played_ms_ == 0) played_ms_ = clock_.now();
    loop_.stop();
  }

  void tick() {
    merger_.take(tape_);
    if (clock_.begun()) merger_.release(clock_.now());
    if (merger_.held() > kMostHeld) {
      voids_.add("records are produced faster than the sink consumes them");
      end();
    }
    const double now = clock_.now();
    if (control_.progress && loop::now_ms() - told_progress_ >= kProgressMs) {
      told_progress_ = loop::now_ms();
      control_.progress(now);
    }
    if (options_.on_second && clock_.begun() && now >= second_) {
      options_.on_second(now, routers_.uses());
      second_ = std::floor(now / 1000) * 1000 + 1000;
    }
    if (control_.stop.stop_requested()) {
      stopped_ = !answered_at_;
      end();
    }
    if (!routers_.false_start().empty() && !clock_.begun()) {
      fault_ = routers_.false_start();
      end();
    }
    if (!routers_.guarded()) end();
    if (!answered_at_ && now > spec_.duration_ms + longest_give_up(spec_) + kOverrunMs) {
      voids_.add("the run did not end in time: requests are still open");
      end();
    }
    if (!over_) loop_.after(kTickMs, [this] { tick(); });
  }

  // ---- the end ----

  void finish(lab::RunInfo& info) {
    const LoadInfo load = load_.stop();
    ending_loop();
    const FleetInfo fleet = fleet_.stop();
    merger_.take(tape_);
    merger_.release_all();
    info.stopped = stopped_;
    info.lateness_ms = load.lateness_ms;
    info.answer_lateness_ms = fleet.lateness_ms;
    info.load_cpu_s = load.cpu_s;
    info.routers = routers_.costs();
    for (std::size_t r = 0; r < fleet.spoken.size(); ++r) {
      info.routers[r].datagrams = fleet.spoken[r].datagrams;
      info.routers[r].datagram_bytes = fleet.spoken[r].bytes;
    }
    late(load.lateness_ms, "requests were sent");
    late(fleet.lateness_ms, "the simulated responses were sent");
    info.why_void = voids_.all();
    info.is_void = !info.why_void.empty();
  }

  void late(const lab::Quantiles& q, const char* what) {
    if (q.p99 <= options_.late_p99_ms && q.p999 <= options_.late_p999_ms) return;
    char text[160];
    std::snprintf(text, sizeof text, "%s late: p99 %.2f ms, p99.9 %.2f ms (at most %.0f and %.0f)", what,
                  q.p99, q.p999, options_.late_p99_ms, options_.late_p999_ms);
    voids_.add(text);
  }

  void ending_loop() {
    routers_.end();
    wait_for_routers();
    loop_.run();
  }
  void wait_for_routers() {
    if (!routers_.running() || !routers_.guarded()) return loop_.stop();
    loop_.after(kTickMs, [this] { wait_for_routers(); });
  }

  const model::Spec spec_;
  const lab::RunControl& control_;
  const lab::RigOptions& options_;
  const model::Plan plan_;
  const std::string directory_;
  Guardian guardian_; // forks before any thread starts, and is destroyed after all members below
  Clock clock_;
  Addresses addresses_;
  Bodies bodies_;
  Tries tries_;
  Tape tape_;
  Voids voids_;
  const Stage stage_;
  Merger merger_;
  Loop loop_;
  Fleet fleet_;
  Load load_;
  Routers routers_;

  std::optional<double> answered_at_;
  double played_ms_ = 0, told_progress_ = 0, second_ = 0;
  bool over_ = false, stopped_ = false;
  std::string fault_;
};

class RigDriver : public lab::Driver {
 public:
  explicit RigDriver(lab::RigOptions options) : options_(std::move(options)) {}
  lab::RunInfo run(const model::Spec& spec, model::Sink& sink, const lab::RunControl& control) override {
    if (spec.routers.sharing.on && options_.role != lab::RouterRole::Platform)
      throw std::runtime_error("routers.sharing: only routers configured by the platform's file share");
    return Run(spec, sink, control, options_).play();
  }

 private:
  const lab::RigOptions options_;
};

} // namespace
} // namespace fernward::rig

std::unique_ptr<fernward::lab::Driver> fernward::lab::make_rig_driver(RigOptions options) {
  return std::make_unique<rig::RigDriver>(std::move(options));
}
