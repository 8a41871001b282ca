// A fleet of simulated servers on sockets, with discovery; the test acts as the router.
#pragma once

#include <memory>
#include <vector>

#include "http/message.h"
#include "lab/peers/fleet.h"
#include "lab/rig/trial_fleet.h"
#include "support.h"

namespace fernward::tests {

// Runs in a thread of its own from the constructor on.
struct TestFleet {
  // Sets network, handshake and discovery delays close to zero, so that a wait in a test depends on the fleet
  // alone.
  explicit TestFleet(const std::function<void(model::Spec&)>& change = [](model::Spec&) {}) {
    rig::TrialFleet trial_fleet;
    trial_fleet.seconds = 600;
    trial_fleet.work_ms = 1;
    spec = rig::trial_spec(trial_fleet);
    spec.network.cross_zone_delay_ms = spec.network.same_zone_delay_ms = 0.1;
    spec.kinds[0].handshake_work_ms = 0;
    spec.origin.service_time_ms = 2;
    spec.discovery.add_delay_min_ms = spec.discovery.add_delay_max_ms = 10;
    spec.discovery.leave_delay_min_ms = spec.discovery.leave_delay_max_ms = 10;
    spec.discovery.silence_delay_min_ms = spec.discovery.silence_delay_max_ms = 10;
    spec.discovery.update_period_ms = 0;
    spec.discovery.delivery_spread_ms = 0;
    change(spec);
    plan = model::make_plan(spec);
    addresses = std::make_unique<rig::RunAddresses>(plan.routers.size(), plan.machines.size());
    context = std::make_unique<rig::RunContext>(
        rig::RunContext{spec, plan, *addresses, clock, bodies, tries, record_buffer, void_reasons});
    fleet_ = std::make_unique<rig::SimulatedFleet>(*context);
    fleet_->start();
    for (model::RouterId r = 0; r < plan.routers.size(); ++r)
      initial_endpoints.push_back(fleet_->router_started(r));
    clock.start();
    fleet_->start_run();
  }

  // Adds a new try and returns its request, as a router forwards it.
  std::string make_request(std::uint64_t key, bool write = false) {
    last_try_id = 16 * ++request_count_;
    rig::TryMetadata metadata;
    metadata.cls = write ? 1 : 0;
    metadata.key = key;
    metadata.write = write;
    metadata.work_ms = 1;
    metadata.size_bytes = 500;
    metadata.idempotency_key = write ? request_count_ : 0;
    const std::string body = write ? rig::written_value(last_try_id, 500) : "";
    metadata.body_bytes = body.size();
    metadata.body_hash = body.empty() ? 0 : rig::hash_of(body);
    tries.add(clock.now(), last_try_id, metadata);
    const std::string id = tries.request_id(last_try_id),
                      idempotency_key = rig::idempotency_key_text(metadata.idempotency_key);
    std::vector<http::Header> headers = {{"X-Request-ID", id}, {"X-Timeout-Ms", "1000"}};
    if (write) headers.push_back({"Idempotency-Key", idempotency_key});
    return http::write_request(write ? "PUT" : "GET", rig::path_of(key), "node", headers, body);
  }
  // Applies an event at the current time, before returning, so that the test cannot run ahead of it.
  template <typename What>
  void apply(const What& step) {
    fleet_->apply_now({clock.now(), step});
  }
  void apply_node_step(model::MachineId machine_id, model::NodeStep::What step) {
    apply(model::NodeStep{machine_id, step});
  }
  sockaddr_in machine_address(model::MachineId machine_id, model::RouterId router_id = 0) const {
    return addresses->machine(router_id, machine_id);
  }

  template <typename What>
  std::vector<What> take_records() { // records of one kind since the last call
    std::vector<rig::Record> all;
    record_buffer.swap_out(all);
    std::vector<What> found;
    for (const auto& record : all) {
      if (const auto* record_of_kind = std::get_if<What>(&record)) found.push_back(*record_of_kind);
    }
    return found;
  }

  model::Spec spec;
  model::Plan plan;
  rig::RunClock clock;
  rig::BodyCodec bodies{77};
  rig::TryRegistry tries{99, 60000};
  rig::RecordBuffer record_buffer;
  rig::VoidReasons void_reasons;
  std::unique_ptr<rig::RunAddresses> addresses;
  std::unique_ptr<rig::RunContext> context;
  std::vector<nlohmann::json> initial_endpoints;
  model::TryId last_try_id = 0;

 private:
  std::uint64_t request_count_ = 0;
  std::unique_ptr<rig::SimulatedFleet> fleet_;
};

} // namespace fernward::tests
