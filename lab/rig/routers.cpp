#include "lab/rig/routers.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>

#include "lab/process/proc_stats.h"
#include "lab/rig/config.h"
#include "model/rng.h"

namespace fernward::rig {

using model::RouterEvent;
using model::RouterId;

namespace {

constexpr double kUsageIntervalMs = 200;           // interval between samples of the routers' memory
constexpr std::size_t kMaxLines = 2000;            // limit of log lines of a router that become records
constexpr std::size_t kMaxLineBytes = 1000;        // longer lines are truncated
constexpr std::size_t kMaxLogFileBytes = 4u << 20; // limit of a router's log file
constexpr std::size_t kLastOutputBytes = 2000;     // length of the retained last output
// A router has the longest client timeout, or this minimum, and the slack to end after SIGTERM.
constexpr double kMinTerminationMs = 3000, kTerminationSlackMs = 700;

std::string exit_reason(int status) {
  if (WIFSIGNALED(status)) return "was ended by signal " + std::to_string(WTERMSIG(status));
  return "ended with code " + std::to_string(WEXITSTATUS(status));
}

} // namespace

RouterProcesses::RouterProcesses(const RunContext& context, RunLoop& loop, ProcessSupervisor& supervisor,
                                 SimulatedFleet& fleet, LoadGenerator& load, const lab::RigOptions& options,
                                 std::string directory)
    : context_(context),
      loop_(loop),
      supervisor_(supervisor),
      fleet_(fleet),
      load_(load),
      options_(options),
      directory_(std::move(directory)),
      routers_(context.plan.routers.size()) {
  for (RouterId router_id = 0; router_id < routers_.size(); ++router_id) {
    routers_[router_id].owner = this;
    routers_[router_id].id = router_id;
    routers_[router_id].cost.router = router_id;
    if (options_.log_directory.empty()) continue;
    std::filesystem::create_directories(options_.log_directory);
    const std::string path = options_.log_directory + "/" + context.plan.routers[router_id].name + ".log";
    routers_[router_id].log_file_fd = open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  }
  process_event_.reset(event_new(
      loop.base(), supervisor.fd(), EV_READ | EV_PERSIST,
      [](int, short, void* self) { static_cast<RouterProcesses*>(self)->read_process_events(); }, this));
  event_add(process_event_.get(), nullptr);
}

RouterProcesses::~RouterProcesses() {
  for (Router& router : routers_) {
    close_output(router);
    if (router.log_file_fd >= 0) close(router.log_file_fd);
  }
}

double RouterProcesses::termination_timeout_ms() const {
  return std::max(kMinTerminationMs, max_client_timeout_ms(context_.spec)) + kTerminationSlackMs;
}

// ---- start ----

void RouterProcesses::start_all() {
  const model::SharingSpec& sharing = context_.spec.routers.sharing;
  if (sharing.enabled) {
    std::ofstream file(fleet_file(), std::ios::trunc);
    file << fleet_toml(sharing);
    file.close();
    if (!file) context_.void_reasons.add("cannot write " + fleet_file());
  }
  for (RouterId router = 0; router < routers_.size(); ++router) start(router);
  sample_usage();
}

void RouterProcesses::write_config(Router& router) {
  const bool is_json = options_.role == lab::RouterRole::Platform;
  const std::string path =
      directory_ + "/" + context_.plan.routers[router.id].name + (is_json ? ".json" : ".toml");
  std::ofstream file(path + ".new", std::ios::trunc);
  file << (is_json ? router.config.dump()
                   : router_toml(context_, router.id, address_version_,
                                 model::hash_numbers(context_.spec.seed, router.id, router.incarnation),
                                 directory_));
  file.close();
  // Replaced atomically: a router that reads the file now finds either the old or the new version.
  std::error_code error;
  std::filesystem::rename(path + ".new", path, error);
  if (!file || error) context_.void_reasons.add("cannot write " + path);
}

void RouterProcesses::start(RouterId router_id) {
  Router& router = routers_[router_id];
  if (router.running || ending_) return;
  const model::PlannedRouter& planned = context_.plan.routers[router_id];
  router.running = true;
  router.ready = router.killed = router.terminating = router.start_when_ended = router.paused = false;
  router.start_after_ms = -1;
  router.pid = 0;
  ++router.incarnation;
  // Recorded before the notifications of the endpoints that the new process knows from its start.
  record_event(router_id, RouterEvent::What::Started);
  router.config = router_json(context_, router_id, address_version_,
                              model::hash_numbers(context_.spec.seed, router_id, router.incarnation),
                              fleet_.router_started(router_id));
  write_config(router);
  int pipe_fds[2] = {-1, -1};
  if (pipe2(pipe_fds, O_CLOEXEC | O_NONBLOCK) != 0)
    return context_.void_reasons.add("the lab is out of descriptors");
  fcntl(pipe_fds[1], F_SETFL, 0); // the router's end blocks, as a file does
  ProgramStart program;
  program.id = router_id;
  const bool has_own_program = router_id < options_.programs_by_router.size() &&
                               !options_.programs_by_router[router_id].command.empty();
  const std::string file = directory_ + "/" + planned.name + ".toml";
  if (has_own_program) {
    program.command = options_.programs_by_router[router_id].command;
  } else if (options_.role == lab::RouterRole::Platform) {
    program.command = {options_.program, "serve"};
    if (context_.spec.routers.sharing.enabled)
      program.command.insert(program.command.end(), {"--fleet", fleet_file()});
  } else if (options_.role == lab::RouterRole::Application) {
    program.command = {options_.program, "serve", "--config", file};
  } else {
    // On SIGTERM the application exits with 0, as its exit code becomes that of the sidecar.
    program.command = {options_.program,
                       "sidecar",
                       "--config",
                       file,
                       "--",
                       "sh",
                       "-c",
                       "trap 'exit 0' TERM; while :; do sleep 1 & wait; done"};
  }
  program.environment = {
      "NODE_NAME=" + planned.name, "NODE_LISTEN=" + address_text(context_.addresses.router(router_id)),
      "NODE_DISCOVERY=" + address_text(context_.addresses.discovery(router_id, address_version_)),
      "NODE_CONFIG=" + directory_ + "/" + planned.name + ".json", "TMPDIR=" + directory_};
  if (options_.role != lab::RouterRole::Platform) program.environment = {"TMPDIR=" + directory_};
  program.descriptors = context_.spec.routers.max_sockets;
  program.output = pipe_fds[1];
  supervisor_.start(program);
  close(pipe_fds[1]);
  close_output(router);
  router.output_fd = pipe_fds[0];
  router.output_event.reset(
      event_new(loop_.base(), pipe_fds[0], EV_READ | EV_PERSIST, &RouterProcesses::on_readable, &router));
  event_add(router.output_event.get(), nullptr);
  load_.router_started(router_id);
}

void RouterProcesses::router_ready(RouterId router) {
  routers_[router].ready = routers_[router].ever_ready = true;
}

bool RouterProcesses::all_ready() const {
  return std::all_of(routers_.begin(), routers_.end(), [](const Router& router) { return router.ready; });
}

bool RouterProcesses::any_running() const {
  return std::any_of(routers_.begin(), routers_.end(), [](const Router& router) { return router.running; });
}

void RouterProcesses::record_event(RouterId router, RouterEvent::What what) {
  context_.records.add(RouterEvent{loop_.now(), router, what});
}

// ---- events and steps ----

void RouterProcesses::read_process_events() {
  while (const auto program_event = supervisor_.next_event()) {
    if (program_event->id >= routers_.size()) continue;
    if (program_event->ended) {
      process_ended(program_event->id, *program_event);
    } else {
      routers_[program_event->id].pid = program_event->pid;
    }
  }
  if (supervisor_.alive()) return;
  process_event_.reset();
  context_.void_reasons.add("the process supervisor has ended, and the routers with it");
}

void RouterProcesses::process_ended(RouterId router_id, const ProgramEvent& program_event) {
  Router& router = routers_[router_id];
  if (!router.running) return;
  read_output(router);
  router.running = router.ready = false;
  router.pid = 0;
  router.cost.cpu_s += program_event.cpu_s;
  fleet_.router_ended(router_id);
  load_.router_ended(router_id);
  const bool clean_exit = WIFEXITED(program_event.status) && WEXITSTATUS(program_event.status) == 0;
  if (!router.killed && !(router.terminating && (clean_exit || !ending_))) {
    log_line(router, "the lab: the router " + exit_reason(program_event.status));
    record_event(router_id, RouterEvent::What::Crashed);
    if (!router.ever_ready && startup_error_.empty()) {
      startup_error_ = "router " + context_.plan.routers[router_id].name + " " +
                       exit_reason(program_event.status) + " before it was ready: " + router.last_output;
    }
  } else if (router.terminating && !router.killed && !ending_) {
    record_event(router_id, RouterEvent::What::Ended);
  }
  if (router.start_when_ended) {
    start(router_id);
  } else if (router.terminating && router.start_after_ms >= 0) {
    loop_.run_after(router.start_after_ms, [this, router_id] { start(router_id); });
  }
}

void RouterProcesses::kill(Router& router) {
  if (!router.running || router.killed) return;
  router.killed = true;
  record_event(router.id, RouterEvent::What::Killed);
  supervisor_.signal(router.id, SIGKILL);
  load_.router_ended(router.id);
}

// Stops or continues the process. Data and signals that arrive meanwhile wait in the kernel.
void RouterProcesses::pause(Router& router, bool paused) {
  if (!router.running || router.killed || router.paused == paused) return;
  router.paused = paused;
  record_event(router.id, paused ? RouterEvent::What::Paused : RouterEvent::What::Resumed);
  supervisor_.signal(router.id, paused ? SIGSTOP : SIGCONT);
  load_.router_paused(router.id, paused);
}

void RouterProcesses::terminate(Router& router, double down_ms) {
  if (!router.running || router.killed || router.terminating) return;
  router.terminating = true;
  router.start_after_ms = down_ms;
  if (!ending_) record_event(router.id, RouterEvent::What::Term);
  supervisor_.signal(router.id, SIGTERM);
  if (!ending_) load_.router_stopping(router.id);
  loop_.run_after(termination_timeout_ms(), [this, router_id = router.id, incarnation = router.incarnation] {
    Router& hanging = routers_[router_id];
    if (!hanging.running || hanging.incarnation != incarnation || hanging.killed) return;
    log_line(hanging, "the lab: the router has not ended after SIGTERM and is killed");
    hanging.start_when_ended = hanging.start_after_ms >= 0 && !ending_;
    kill(hanging);
  });
}

void RouterProcesses::start_steps() {
  steps_started_ = true;
  for (const model::Step& planned_step : context_.plan.steps)
    loop_.run_at(planned_step.at_ms, [this, &planned_step] { apply_step(planned_step); });
}

void RouterProcesses::apply_step(const model::Step& step) {
  if (ending_) return;
  if (const auto* mark = std::get_if<model::MarkStep>(&step.what)) {
    context_.records.add(model::EventMark{loop_.now(), mark->event, mark->begins});
  } else if (const auto* discovery_step = std::get_if<model::DiscoveryStep>(&step.what)) {
    if (discovery_step->what != model::DiscoveryStep::What::MoveBegins) return;
    ++address_version_;
    for (Router& router : routers_) {
      router.config["discovery"] = address_text(context_.addresses.discovery(router.id, address_version_));
      write_config(router);
    }
  } else if (const auto* router_step = std::get_if<model::RouterStep>(&step.what)) {
    using What = model::RouterStep::What;
    Router& router = routers_[router_step->router];
    switch (router_step->what) {
      case What::Kill: return kill(router);
      case What::Term: return terminate(router, router_step->down_ms);
      case What::Start:
        router.start_when_ended = router.running && router.killed;
        if (!router.running) start(router_step->router);
        return;
      case What::Reload:
        if (!router.running) return;
        record_event(router_step->router, RouterEvent::What::Reloaded);
        return supervisor_.signal(router_step->router, SIGHUP);
      case What::Pause:
      case What::Resume: return pause(router, router_step->what == What::Pause);
      case What::Silence:
      case What::Return: return; // applied by the network
    }
  }
}

void RouterProcesses::terminate_all() {
  ending_ = true;
  for (Router& router : routers_) {
    pause(router, false);
    terminate(router, -1);
  }
}

// ---- resource usage ----

void RouterProcesses::sample_usage() {
  for (Router& router : routers_) {
    if (router.pid == 0 || !router.running) continue;
    const double memory = resident_memory_mb(router.pid);
    router.cost.peak_memory_mb = std::max(router.cost.peak_memory_mb, peak_memory_mb(router.pid));
    router.cost.peak_sockets = std::max(router.cost.peak_sockets, open_descriptors(router.pid));
    if (!options_.enforce_memory_limit || memory <= context_.spec.routers.memory_mb || router.killed)
      continue;
    log_line(router,
             "the lab: the router uses " + std::to_string(static_cast<int>(memory)) + " MB and is killed");
    supervisor_.signal(router.id, SIGKILL); // recorded as a crash, not as a planned kill
  }
  loop_.run_after(kUsageIntervalMs, [this] { sample_usage(); });
}

std::vector<lab::RouterResourceUse> RouterProcesses::resource_use() const {
  std::vector<lab::RouterResourceUse> result;
  for (const Router& router : routers_) result.push_back(router.cost);
  return result;
}

std::vector<lab::RouterUsage> RouterProcesses::usage() const {
  std::vector<lab::RouterUsage> result;
  for (const Router& router : routers_) {
    if (!router.running || router.pid == 0) continue;
    result.push_back(
        {router.id, cpu_time_s(router.pid), resident_memory_mb(router.pid), open_descriptors(router.pid)});
  }
  return result;
}

// ---- output ----

void RouterProcesses::on_readable(int, short, void* router) {
  auto* readable_router = static_cast<Router*>(router);
  readable_router->owner->read_output(*readable_router);
}

void RouterProcesses::close_output(Router& router) {
  router.output_event.reset();
  if (router.output_fd >= 0) close(router.output_fd);
  router.output_fd = -1;
}

// Reads all output, even if it is not kept: a router that cannot write its log would block.
void RouterProcesses::read_output(Router& router) {
  std::array<char, 16384> buffer;
  while (router.output_fd >= 0) {
    const ssize_t received = read(router.output_fd, buffer.data(), buffer.size());
    if (received == 0) return close_output(router);
    if (received < 0) return;
    const auto size = static_cast<std::size_t>(received);
    if (router.log_file_fd >= 0 && router.log_file_bytes < kMaxLogFileBytes) {
      router.log_file_bytes += size;
      [[maybe_unused]] const auto ignored_size = write(router.log_file_fd, buffer.data(), size);
      if (router.log_file_bytes >= kMaxLogFileBytes)
        dprintf(router.log_file_fd, "\nthe lab: no more of this log is kept\n");
    }
    for (std::size_t i = 0; i < size; ++i) {
      if (buffer[i] != '\n') {
        if (router.partial_line.size() < kMaxLineBytes) router.partial_line += buffer[i];
      } else if (!router.partial_line.empty()) {
        std::string line;
        line.swap(router.partial_line);
        log_line(router, std::move(line));
      }
    }
  }
}

void RouterProcesses::log_line(Router& router, std::string line) {
  router.last_output = (router.last_output + line + "\n");
  if (router.last_output.size() > kLastOutputBytes)
    router.last_output.erase(0, router.last_output.size() - kLastOutputBytes);
  if (++router.line_count > kMaxLines) return;
  context_.records.add(BufferedRouterLog{loop_.now(), router.id, std::move(line)});
}

} // namespace fernward::rig
