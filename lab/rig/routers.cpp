#include "lab/rig/routers.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <fstream>

#include "lab/process/watch.h"
#include "lab/rig/config.h"
#include "model/rng.h"

namespace fernward::rig {

using model::RouterEvent;
using model::RouterId;

namespace {

constexpr double kWatchMs = 200;         // interval between samples of the routers' memory
constexpr std::size_t kMostLines = 2000; // limit of log lines of a router that become records
constexpr std::size_t kMostLine = 1000;
constexpr std::size_t kMostFile = 4u << 20; // limit of its log file
constexpr std::size_t kTail = 2000;         // length of the retained last output
constexpr double kLeastWordMs = 3000, kWordSlackMs = 700;

std::string reason(int status) {
  if (WIFSIGNALED(status)) return "was ended by signal " + std::to_string(WTERMSIG(status));
  return "ended with code " + std::to_string(WEXITSTATUS(status));
}

} // namespace

Routers::Routers(const Stage& stage, Loop& loop, Guardian& guardian, Fleet& fleet, Load& load,
                 const lab::RigOptions& options, std::string directory)
    : stage_(stage),
      loop_(loop),
      guardian_(guardian),
      fleet_(fleet),
      load_(load),
      options_(options),
      directory_(std::move(directory)),
      routers_(stage.plan.routers.size()) {
  for (RouterId r = 0; r < routers_.size(); ++r) {
    routers_[r].all = this;
    routers_[r].id = r;
    routers_[r].cost.router = r;
    if (options_.log_directory.empty()) continue;
    std::filesystem::create_directories(options_.log_directory);
    const std::string path = options_.log_directory + "/" + stage.plan.routers[r].name + ".log";
    routers_[r].file = open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  }
  news_event_.reset(event_new(
      loop.base(), guardian.fd(), EV_READ | EV_PERSIST,
      [](int, short, void* self) { static_cast<Routers*>(self)->news(); }, this));
  event_add(news_event_.get(), nullptr);
}

Routers::~Routers() {
  for (Router& router : routers_) {
    close_output(router);
    if (router.file >= 0) close(router.file);
  }
}

double Routers::last_word_ms() const {
  return std::max(kLeastWordMs, longest_give_up(stage_.spec)) + kWordSlackMs;
}

// ---- start ----

void Routers::start_all() {
  const model::SharingSpec& sharing = stage_.spec.routers.sharing;
  if (sharing.on) {
    std::ofstream file(fleet_file(), std::ios::trunc);
    file << fleet_toml(sharing);
    file.close();
    if (!file) stage_.voids.add("cannot write " + fleet_file());
  }
  for (RouterId r = 0; r < routers_.size(); ++r) start(r);
  watch();
}

void Routers::write_config(Router& router) {
  const bool json = options_.role == lab::RouterRole::Platform;
  const std::string path =
      directory_ + "/" + stage_.plan.routers[router.id].name + (json ? ".json" : ".toml");
  std::ofstream file(path + ".new", std::ios::trunc);
  file << (json ? router.config.dump()
                : router_toml(stage_, router.id, moves_, model::mix(stage_.spec.seed, router.id, router.life),
                              directory_));
  file.close();
  // Replaced atomically: a router that reads the file now finds either the old or the new version.
  std::error_code fault;
  std::filesystem::rename(path + ".new", path, fault);
  if (!file || fault) stage_.voids.add("cannot write " + path);
}

void Routers::start(RouterId r) {
  Router& router = routers_[r];
  if (router.runs || ending_) return;
  const model::RouterPlace& place = stage_.plan.routers[r];
  router.runs = true;
  router.ready = router.killed = router.asked_to_end = router.start_when_ended = router.paused = false;
  router.start_after_ms = -1;
  router.pid = 0;
  ++router.life;
  // Recorded before the notifications that the new process has from its start.
  event(r, RouterEvent::What::Started);
  router.config =
      router_json(stage_, r, moves_, model::mix(stage_.spec.seed, r, router.life), fleet_.router_starts(r));
  write_config(router);
  int ends[2] = {-1, -1};
  if (pipe2(ends, O_CLOEXEC | O_NONBLOCK) != 0) return stage_.voids.add("the lab is out of descriptors");
  fcntl(ends[1], F_SETFL, 0); // the router's end is blocking, as a file is
  ProgramStart start;
  start.id = r;
  const bool own = r < options_.programs.size() && !options_.programs[r].command.empty();
  const std::string file = directory_ + "/" + place.name + ".toml";
  if (own) {
    start.command = options_.programs[r].command;
  } else if (options_.role == lab::RouterRole::Platform) {
    start.command = {options_.program, "serve"};
    if (stage_.spec.routers.sharing.on) start.command.insert(start.command.end(), {"--fleet", fleet_file()});
  } else if (options_.role == lab::RouterRole::Application) {
    start.command = {options_.program, "serve", "--config", file};
  } else {
    // On SIGTERM the application exits with 0, as its exit code becomes that of the sidecar.
    start.command = {options_.program,
                     "sidecar",
                     "--config",
                     file,
                     "--",
                     "sh",
                     "-c",
                     "trap 'exit 0' TERM; while :; do sleep 1 & wait; done"};
  }
  start.environment = {"NODE_NAME=" + place.name, "NODE_LISTEN=" + text_of(stage_.addresses.router(r)),
                       "NODE_DISCOVERY=" + text_of(stage_.addresses.agent(r, moves_)),
                       "NODE_CONFIG=" + directory_ + "/" + place.name + ".json", "TMPDIR=" + directory_};
  if (options_.role != lab::RouterRole::Platform) start.environment = {"TMPDIR=" + directory_};
  start.descriptors = stage_.spec.routers.sockets;
  start.output = ends[1];
  guardian_.start(start);
  close(ends[1]);
  close_output(router);
  router.output = ends[0];
  router.output_event.reset(
      event_new(loop_.base(), ends[0], EV_READ | EV_PERSIST, &Routers::readable, &router));
  event_add(router.output_event.get(), nullptr);
  load_.router_started(r);
}

void Routers::is_ready(RouterId router) { routers_[router].ready = routers_[router].ever_ready = true; }

bool Routers::all_ready() const {
  return std::all_of(routers_.begin(), routers_.end(), [](const Router& r) { return r.ready; });
}

bool Routers::running() const {
  return std::any_of(routers_.begin(), routers_.end(), [](const Router& r) { return r.runs; });
}

void Routers::event(RouterId router, RouterEvent::What what) {
  stage_.tape.add(RouterEvent{loop_.now(), router, what});
}

// ---- events and steps ----

void Routers::news() {
  while (const auto news = guardian_.news()) {
    if (news->id >= routers_.size()) continue;
    if (news->ended) {
      ended(news->id, *news);
    } else {
      routers_[news->id].pid = news->pid;
    }
  }
  if (guardian_.lives()) return;
  news_event_.reset();
  stage_.voids.add("the lab's process supervisor has died, and the routers with it");
}

void Routers::ended(RouterId r, const ProgramNews& news) {
  Router& router = routers_[r];
  if (!router.runs) return;
  read_output(router);
  router.runs = router.ready = false;
  router.pid = 0;
  router.cost.cpu_s += news.cpu_s;
  fleet_.router_ended(r);
  load_.router_down(r);
  const bool clean = WIFEXITED(news.status) && WEXITSTATUS(news.status) == 0;
  if (!router.killed && !(router.asked_to_end && (clean || !ending_))) {
    say(router, "the lab: the router " + reason(news.status));
    event(r, RouterEvent::What::Crashed);
    if (!router.ever_ready && false_start_.empty()) {
      false_start_ = "router " + stage_.plan.routers[r].name + " " + reason(news.status) +
                     " before it was ready: " + router.tail;
    }
  } else if (router.asked_to_end && !router.killed && !ending_) {
    event(r, RouterEvent::What::Ended);
  }
  if (router.start_when_ended) {
    start(r);
  } else if (router.asked_to_end && router.start_after_ms >= 0) {
    loop_.after(router.start_after_ms, [this, r] { start(r); });
  }
}

void Routers::kill(Router& router) {
  if (!router.runs || router.killed) return;
  router.killed = true;
  event(router.id, RouterEvent::What::Killed);
  guardian_.signal(router.id, SIGKILL);
  load_.router_down(router.id);
}

// Stops or continues the process. Data and signals that arrive meanwhile wait in the kernel.
void Routers::pause(Router& router, bool on) {
  if (!router.runs || router.killed || router.paused == on) return;
  router.paused = on;
  event(router.id, on ? RouterEvent::What::Paused : RouterEvent::What::Woke);
  guardian_.signal(router.id, on ? SIGSTOP : SIGCONT);
  load_.router_pauses(router.id, on);
}

void Routers::term(Router& router, double down_ms) {
  if (!router.runs || router.killed || router.asked_to_end) return;
  router.asked_to_end = true;
  router.start_after_ms = down_ms;
  if (!ending_) event(router.id, RouterEvent::What::Term);
  guardian_.signal(router.id, SIGTERM);
  if (!ending_) load_.router_stopping(router.id);
  loop_.after(last_word_ms(), [this, r = router.id, life = router.life] {
    Router& late = routers_[r];
    if (!late.runs || late.life != life || late.killed) return;
    say(late, "the lab: the router has not ended after SIGTERM and is killed");
    late.start_when_ended = late.start_after_ms >= 0 && !ending_;
    kill(late);
  });
}

void Routers::begin() {
  begun_ = true;
  for (const model::Step& s : stage_.plan.steps) loop_.at(s.at_ms, [this, &s] { step(s); });
}

void Routers::step(const model::Step& step) {
  if (ending_) return;
  if (const auto* mark = std::get_if<model::MarkStep>(&step.what)) {
    stage_.tape.add(model::Mark{loop_.now(), mark->event, mark->begins});
  } else if (const auto* found = std::get_if<model::DiscoveryStep>(&step.what)) {
    if (found->what != model::DiscoveryStep::What::MoveBegins) return;
    ++moves_;
    for (Router& router : routers_) {
      router.config["discovery"] = text_of(stage_.addresses.agent(router.id, moves_));
      write_config(router);
    }
  } else if (const auto* what = std::get_if<model::RouterStep>(&step.what)) {
    using What = model::RouterStep::What;
    Router& router = routers_[what->router];
    switch (what->what) {
      case What::Kill: return kill(router);
      case What::Term: return term(router, what->down_ms);
      case What::Start:
        router.start_when_ended = router.runs && router.killed;
        if (!router.runs) start(what->router);
        return;
      case What::Reload:
        if (!router.runs) return;
        event(what->router, RouterEvent::What::Reloaded);
        return guardian_.signal(what->router, SIGHUP);
      case What::Pause:
      case What::Wake: return pause(router, what->what == What::Pause);
      case What::Silence:
      case What::Return: return; // applied by the network
    }
  }
}

void Routers::end() {
  ending_ = true;
  for (Router& router : routers_) {
    pause(router, false);
    term(router, -1);
  }
}

// ---- resource usage ----

void Routers::watch() {
  for (Router& router : routers_) {
    if (router.pid == 0 || !router.runs) continue;
    const double memory = memory_mb(router.pid);
    router.cost.peak_memory_mb = std::max(router.cost.peak_memory_mb, peak_memory_mb(router.pid));
    router.cost.peak_sockets = std::max(router.cost.peak_sockets, descriptors(router.pid));
    if (!options_.check_memory || memory <= stage_.spec.routers.memory_mb || router.killed) continue;
    say(router, "the lab: the router uses " + std::to_string(static_cast<int>(memory)) + " MB and is killed");
    guardian_.signal(router.id, SIGKILL); // recorded as a crash, not as a planned kill
  }
  loop_.after(kWatchMs, [this] { watch(); });
}

std::vector<lab::RouterCost> Routers::costs() const {
  std::vector<lab::RouterCost> all;
  for (const Router& router : routers_) all.push_back(router.cost);
  return all;
}

std::vector<lab::RouterUse> Routers::uses() const {
  std::vector<lab::RouterUse> all;
  for (const Router& router : routers_) {
    if (!router.runs || router.pid == 0) continue;
    all.push_back({router.id, cpu_s(router.pid), memory_mb(router.pid), descriptors(router.pid)});
  }
  return all;
}

// ---- output ----

void Routers::readable(int, short, void* router) {
  auto* found = static_cast<Router*>(router);
  found->all->read_output(*found);
}

void Routers::close_output(Router& router) {
  router.output_event.reset();
  if (router.output >= 0) close(router.output);
  router.output = -1;
}

// Reads all output, even if it is not kept: a router that can't write its log would block.
void Routers::read_output(Router& router) {
  std::array<char, 16384> buffer;
  while (router.output >= 0) {
    const ssize_t got = read(router.output, buffer.data(), buffer.size());
    if (got == 0) return close_output(router);
    if (got < 0) return;
    const auto size = static_cast<std::size_t>(got);
    if (router.file >= 0 && router.file_bytes < kMostFile) {
      router.file_bytes += size;
      [[maybe_unused]] const auto written = write(router.file, buffer.data(), size);
      if (router.file_bytes >= kMostFile) dprintf(router.file, "\nthe lab: no more of this log is kept\n");
    }
    for (std::size_t i = 0; i < size; ++i) {
      if (buffer[i] != '\n') {
        if (router.line.size() < kMostLine) router.line += buffer[i];
      } else if (!router.line.empty()) {
        std::string line;
        line.swap(router.line);
        say(router, std::move(line));
      }
    }
  }
}

void Routers::say(Router& router, std::string line) {
  router.tail = (router.tail + line + "\n");
  if (router.tail.size() > kTail) router.tail.erase(0, router.tail.size() - kTail);
  if (++router.lines > kMostLines) return;
  stage_.tape.add(OwnedLog{loop_.now(), router.id, std::move(line)});
}

} // namespace fernward::rig
