// Puts false facts into a router's gossip datagrams. The datagrams stay well formed: their checksums are
// valid, and the router's own stamps are true.
//
//  - Times are milliseconds on the caller's clock.
//  - Memory is proportional to the number of routers.
//  - The stamps of other routers are learned from the datagrams that pass through corrupt().
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "gossip/origin_gossip.h"
#include "model/plan.h"

namespace fernward::lab::false_gossip {

// Corrupts the datagrams of one router while a fault is active.
class DatagramCorruptor {
 public:
  // `self`: the router whose datagrams are corrupted; `routers`: their number in the run.
  DatagramCorruptor(model::RouterId self, std::size_t routers, std::uint64_t seed);

  // Starts the corruption that `fault` specifies. `event_number` identifies the scenario event; a later event
  // replaces an earlier one.
  void start(const model::InconsistentRouter& fault, std::uint32_t event_number) {
    fault_ = fault, event_number_ = event_number, active_ = true;
  }
  // Ends the corruption, unless a later event has replaced that of `event_number`.
  void stop(std::uint32_t event_number) { active_ = active_ && event_number_ != event_number; }
  // Returns the datagram to send in place of `bytes`. An undecodable datagram, or any datagram while no fault
  // is active, is returned unchanged.
  std::string corrupt(double now, std::string_view bytes);

 private:
  std::string false_facts(double now, const membership::Datagram& datagram, std::size_t max_bytes);

  const gossip::MemberId self_;
  const std::uint64_t seed_;
  model::InconsistentRouter fault_;
  std::uint32_t event_number_ = 0;
  bool active_ = false;
  std::vector<gossip::Stamp> known_stamps_; // by router: its latest known stamp; {}: none
  std::size_t next_accused_ = 0;  // its remainder by the number of routers is the router to accuse next
  std::uint64_t fact_rounds_ = 0; // payloads of false facts written so far
};

// Starts or ends the corruption that a step of the plan concerns. Adds the corruptors that are missing.
void apply_step(std::map<model::RouterId, DatagramCorruptor>& corruptors,
                const model::InconsistentRouterStep& step, std::size_t routers, std::uint64_t seed);

} // namespace fernward::lab::false_gossip
