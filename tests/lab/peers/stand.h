// A fleet of simulated servers on sockets, with discovery; the test acts as the router.
#pragma once

#include <memory>
#include <vector>

#include "http/message.h"
#include "lab/peers/fleet.h"
#include "lab/rig/trial.h"
#include "support.h"

namespace fernward::tests {

struct Stand {
  // Sets network, handshake and discovery delays close to zero, so that a wait in a test depends on the fleet
  // alone.
  explicit Stand(const std::function<void(model::Spec&)>& change = [](model::Spec&) {}) {
    rig::TrialFleet fleet;
    fleet.seconds = 600;
    fleet.work_ms = 1;
    spec = rig::trial_spec(fleet);
    spec.network.cross_ms = spec.network.same_ms = 0.1;
    spec.kinds[0].handshake_ms = 0;
    spec.origin.time_ms = 2;
    spec.discovery.add_min_ms = spec.discovery.add_max_ms = 10;
    spec.discovery.notice_min_ms = spec.discovery.notice_max_ms = 10;
    spec.discovery.silent_min_ms = spec.discovery.silent_max_ms = 10;
    spec.discovery.period_ms = 0;
    spec.discovery.spread_ms = 0;
    change(spec);
    plan = model::make_plan(spec);
    addresses = std::make_unique<rig::Addresses>(plan.routers.size(), plan.machines.size());
    stage =
        std::make_unique<rig::Stage>(rig::Stage{spec, plan, *addresses, clock, bodies, tries, tape, voids});
    fleet_ = std::make_unique<rig::Fleet>(*stage);
    fleet_->open();
    for (model::RouterId r = 0; r < plan.routers.size(); ++r) known.push_back(fleet_->router_starts(r));
    clock.begin();
    fleet_->begin();
  }

  // Returns the request of a new try, as a router forwards it.
  std::string request(std::uint64_t key, bool write = false) {
    last_try = 16 * ++requests_;
    rig::TryFacts facts;
    facts.cls = write ? 1 : 0;
    facts.key = key;
    facts.write = write;
    facts.work_ms = 1;
    facts.size_bytes = 500;
    facts.repeat_key = write ? requests_ : 0;
    const std::string body = write ? rig::written_value(last_try, 500) : "";
    facts.body_bytes = body.size();
    facts.body_hash = body.empty() ? 0 : rig::hash_of(body);
    tries.note(clock.now(), last_try, facts);
    const std::string id = tries.id(last_try), repeat = rig::repeat_text(facts.repeat_key);
    std::vector<http::Header> headers = {{"X-Request-ID", id}, {"X-Timeout-Ms", "1000"}};
    if (write) headers.push_back({"Idempotency-Key", repeat});
    return http::write_request(write ? "PUT" : "GET", rig::path_of(key), "node", headers, body);
  }
  // Applies an event at the current time, before returning, so that the test cannot run ahead of it.
  template <typename What>
  void happen(const What& what) {
    fleet_->happen({clock.now(), what});
  }
  void node(model::MachineId m, model::NodeStep::What what) { happen(model::NodeStep{m, what}); }
  sockaddr_in machine(model::MachineId m, model::RouterId r = 0) const { return addresses->machine(r, m); }

  template <typename What>
  std::vector<What> records() { // records of one kind since the last call
    std::vector<rig::Record> all;
    tape.take(all);
    std::vector<What> found;
    for (const auto& record : all) {
      if (const auto* one = std::get_if<What>(&record)) found.push_back(*one);
    }
    return found;
  }

  model::Spec spec;
  model::Plan plan;
  rig::Clock clock;
  rig::Bodies bodies{77};
  rig::Tries tries{99, 60000};
  rig::Tape tape;
  rig::Voids voids;
  std::unique_ptr<rig::Addresses> addresses;
  std::unique_ptr<rig::Stage> stage;
  std::vector<nlohmann::json> known;
  model::TryId last_try = 0;

 private:
  std::uint64_t requests_ = 0;
  std::unique_ptr<rig::Fleet> fleet_;
};

} // namespace fernward::tests
