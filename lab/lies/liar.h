// Puts false facts into a router's gossip datagrams. The datagrams stay well formed: their checksums are
// valid, and the router's own stamps are true.
//
//  - Units: milliseconds on the caller's clock. Ownership: plain values; one table entry for each router.
//  - The stamps of other routers are learned from the datagrams that pass through corrupt().
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "gossip/facts.h"
#include "model/plan.h"

namespace fernward::lab::lies {

class Liar {
 public:
  Liar(model::RouterId self, std::size_t routers, std::uint64_t seed);

  // Starts false facts as `fault` specifies. `event_number` identifies the scenario event; the latest event
  // wins.
  void tell(const model::LyingRouter& how, std::uint32_t number) { how_ = how, by_ = number, lies_ = true; }
  void stop(std::uint32_t number) { lies_ = lies_ && by_ != number; }
  // Returns the datagram to send in place of `bytes`. An undecodable datagram, or any datagram while no fault
  // is active, is returned unchanged.
  std::string spoil(double now, std::string_view bytes);

 private:
  std::string facts(double now, const membership::Datagram& d, std::size_t room);

  const gossip::Id self_;
  const std::uint64_t seed_;
  model::LyingRouter how_;
  std::uint32_t by_ = 0;
  bool lies_ = false;
  std::vector<gossip::Stamp> heard_; // by router: its latest known stamp; {}: none
  std::size_t turn_ = 0;             // the router to accuse next
  std::uint64_t said_ = 0;
};

void apply(std::map<model::RouterId, Liar>& liars, const model::LieStep& step, std::size_t routers,
           std::uint64_t seed);

} // namespace fernward::lab::lies
