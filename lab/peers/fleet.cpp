#include "lab/peers/fleet.h"

#include <pthread.h>

#include <ctime>
#include <future>

namespace fernward::rig {
namespace {

double thread_cpu_s() {
  timespec at{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
  return static_cast<double>(at.tv_sec) + static_cast<double>(at.tv_nsec) * 1e-9;
}

} // namespace

Fleet::Fleet(const Stage& stage)
    : stage_(stage),
      loop_(stage.clock),
      network_(stage.spec, stage.plan),
      agents_(stage, loop_, network_),
      machines_(stage, loop_, network_,
                {[this](model::MachineId m, ServerState state, double started_at, model::Discovery::Why why) {
                   agents_.change(m, state, started_at, why);
                 },
                 [this](model::RouterId r, model::MachineId m) { return agents_.told_start(r, m); }}),
      datagrams_(stage, loop_, network_) {}

Fleet::~Fleet() { stop(); }

void Fleet::open() {
  machines_.open();
  agents_.open();
  if (has_datagram_ports(stage_.spec, stage_.plan)) datagrams_.open();
  thread_ = std::thread([this] {
    pthread_setname_np(pthread_self(), "lab-fleet");
    loop_.run();
    info_.cpu_s = thread_cpu_s();
  });
}

template <typename Result>
Result Fleet::ask(std::function<Result()> what) {
  std::promise<Result> done;
  loop_.post([&] { done.set_value(what()); });
  return done.get_future().get();
}

void Fleet::begin() {
  ask<bool>([this] {
    for (const model::Step& step : stage_.plan.steps) {
      loop_.at(step.at_ms, [this, &step] { apply(step); });
    }
    agents_.begin();
    machines_.begin();
    return true;
  });
}

void Fleet::apply(const model::Step& step) {
  network_.apply(step);
  agents_.apply(step);
  machines_.apply(step);
  datagrams_.apply(step);
}

void Fleet::happen(const model::Step& step) {
  ask<bool>([&] {
    apply(step);
    return true;
  });
}

nlohmann::json Fleet::router_starts(model::RouterId router) {
  return ask<nlohmann::json>([&] { return agents_.router_starts(router); });
}

void Fleet::router_ended(model::RouterId router) {
  loop_.post([this, router] { agents_.router_ended(router); });
}

std::size_t Fleet::attempts() {
  return ask<std::size_t>([this] { return machines_.attempts(); });
}

FleetInfo Fleet::stop() {
  if (thread_.joinable()) {
    loop_.stop();
    thread_.join();
    info_.lateness_ms = machines_.lateness().quantiles();
    info_.attempts = machines_.arrived();
    info_.datagrams = datagrams_.delivered();
    info_.spoken = datagrams_.spoken();
  }
  return info_;
}

} // namespace fernward::rig
