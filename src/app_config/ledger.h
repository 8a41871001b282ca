// How many of the requests would reach the ledger, from what a file says of its fleet and load. An estimate
// for a fleet in a steady state: writes go there, reads that miss, and what the nodes have no room for.
//
// Misses by Che's approximation of an LRU (Che, Tung and Wang 2002) over the memory of all nodes that hold
// values.
#pragma once

#include <cstdint>
#include <string>

#include "app_config/app.h"

namespace fernward::app_config {

struct LedgerLoad {
  double share = 0;                                // of the requests; 0 to 1
  double writes = 0, misses = 0, no_room = 0;      // its parts
  bool no_nodes = false;                           // no node but the ledger's is in the fleet named
  bool counts_memory = false, counts_work = false; // what of the file it could be worked out from
};

// Of `app`, whose names resolve. Nodes told elsewhere (discovery) are not known: they count as enough.
LedgerLoad ledger_load(const App& app);

// Share of the requests that a cache of `held` values answers, of `keys` asked for by Zipf's law.
double lru_hits(std::uint32_t keys, double zipf, double held);

} // namespace fernward::app_config
