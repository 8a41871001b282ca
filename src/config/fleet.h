// What routers of a tier share: switched on by a file of the operators' own (`serve --fleet FILE`), each part
// by itself. Without the file there is no socket, timer or byte of it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/config.h"

namespace fernward::config {

struct Fleet {
  double period_ms = 400;  // one ping in each
  std::uint32_t asked = 3; // others that are asked about one that does not answer
  bool ledger = true;      // the limit at the ledger, dealt out by demand
  bool count = true;       // living routers in place of the configured number, where that is safe
  bool findings = false;   // what several say together of cache nodes
  // From the platform's file:
  std::uint32_t self = 0;
  std::string listen;
  std::vector<std::string> peers;
};

// Adds what the platform's file says of the tier. Throws Error: `peer_listen`, `peers` or `settings.me` is
// missing or can't be.
void take_peers(const Config& config, Fleet& fleet);

} // namespace fernward::config
