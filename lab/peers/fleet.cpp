#include "lab/peers/fleet.h"

#include <pthread.h>

#include <ctime>
#include <future>

namespace fernward::rig {
namespace {

double thread_cpu_s() {
  timespec cpu_time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &cpu_time);
  return static_cast<double>(cpu_time.tv_sec) + static_cast<double>(cpu_time.tv_nsec) * 1e-9;
}

} // namespace

SimulatedFleet::SimulatedFleet(const RunContext& context)
    : context_(context),
      loop_(context.clock),
      network_(context.spec, context.plan),
      agents_(context, loop_, network_),
      machines_(context, loop_, network_,
                {[this](model::MachineId machine, ServerState state, double started_at,
                        model::Discovery::Cause cause) {
                   agents_.endpoint_changed(machine, state, started_at, cause);
                 },
                 [this](model::RouterId router, model::MachineId machine) {
                   return agents_.notified_start(router, machine);
                 }}),
      datagrams_(context, loop_, network_) {}

SimulatedFleet::~SimulatedFleet() { stop(); }

void SimulatedFleet::start() {
  machines_.open();
  agents_.open();
  if (has_datagram_ports(context_.spec, context_.plan)) datagrams_.open();
  thread_ = std::thread([this] {
    pthread_setname_np(pthread_self(), "lab-fleet");
    loop_.run();
    summary_.cpu_s = thread_cpu_s();
  });
}

template <typename Result>
Result SimulatedFleet::run_and_wait(std::function<Result()> task) {
  std::promise<Result> done;
  loop_.run_in_loop([&] { done.set_value(task()); });
  return done.get_future().get();
}

void SimulatedFleet::start_run() {
  run_and_wait<bool>([this] {
    for (const model::Step& step : context_.plan.steps) {
      loop_.run_at(step.at_ms, [this, &step] { apply(step); });
    }
    agents_.start_run();
    machines_.start_run();
    return true;
  });
}

void SimulatedFleet::apply(const model::Step& step) {
  network_.apply(step);
  agents_.apply(step);
  machines_.apply(step);
  datagrams_.apply(step);
}

void SimulatedFleet::apply_now(const model::Step& step) {
  run_and_wait<bool>([&] {
    apply(step);
    return true;
  });
}

nlohmann::json SimulatedFleet::router_started(model::RouterId router) {
  return run_and_wait<nlohmann::json>([&] { return agents_.router_started(router); });
}

void SimulatedFleet::router_ended(model::RouterId router) {
  loop_.run_in_loop([this, router] { agents_.router_ended(router); });
}

std::size_t SimulatedFleet::attempts() {
  return run_and_wait<std::size_t>([this] { return machines_.attempts(); });
}

FleetSummary SimulatedFleet::stop() {
  if (thread_.joinable()) {
    loop_.stop();
    thread_.join();
    summary_.lateness_ms = machines_.lateness().quantiles();
    summary_.attempts = machines_.arrived_count();
    summary_.datagrams = datagrams_.delivered();
    summary_.sent_by_router = datagrams_.sent_by_router();
  }
  return summary_;
}

} // namespace fernward::rig
