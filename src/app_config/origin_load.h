// Estimates the share of requests that reach the origin, from the configured fleet and expected load. Assumes
// a steady state: writes, cache misses and reads beyond the caches' capacity go to the origin.
//
// Misses follow Che's approximation of an LRU cache (Che, Tung and Wang 2002) over the memory of all caches.
#pragma once

#include <cstdint>
#include <string>

#include "app_config/app.h"

namespace fernward::app_config {

struct OriginLoad {
  double request_share = 0;                                   // of all requests, 0 to 1
  double write_share = 0, miss_share = 0, overflow_share = 0; // parts of request_share
  bool no_cache_nodes = false;                                // the configured fleet has no caches
  bool memory_known = false, work_known = false; // whether miss_share, overflow_share could be estimated
};

// All names in `app` must resolve. Nodes from discovery are unknown here and count as sufficient.
OriginLoad estimate_origin_load(const AppConfig& app);

// Hit ratio of an LRU cache of `cached_values` values when `key_count` keys are requested by Zipf's law.
double lru_hit_ratio(std::uint32_t key_count, double zipf_exponent, double cached_values);

} // namespace fernward::app_config
