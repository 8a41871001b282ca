// Makes a router's datagrams false, and leaves them well formed: valid checksums, true stamps of its own.
//
//  - Units: milliseconds on the caller's clock. Ownership: plain values; a table of one entry a router.
//  - What it knows of others (their stamps) it has from the datagrams that it spoils.
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

  // `number`: of the event that makes it lie; the last one goes.
  void tell(const model::LyingRouter& how, std::uint32_t number) { how_ = how, by_ = number, lies_ = true; }
  void stop(std::uint32_t number) { lies_ = lies_ && by_ != number; }
  // What goes out in place of `bytes`. What can't be read, or comes while it does not lie, stays as it is.
  std::string spoil(double now, std::string_view bytes);

 private:
  std::string facts(double now, const membership::Datagram& d, std::size_t room);

  const gossip::Id self_;
  const std::uint64_t seed_;
  model::LyingRouter how_;
  std::uint32_t by_ = 0;
  bool lies_ = false;
  std::vector<gossip::Stamp> heard_; // by router: its latest known stamp; none: {}
  std::size_t turn_ = 0;             // whom it accuses next
  std::uint64_t said_ = 0;
};

void apply(std::map<model::RouterId, Liar>& liars, const model::LieStep& step, std::size_t routers,
           std::uint64_t seed);

} // namespace fernward::lab::lies
