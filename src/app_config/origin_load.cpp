#include "app_config/origin_load.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace fernward::app_config {
namespace {

struct RankGroup { // adjacent ranks with nearly equal request probability
  double count, probability;
};

// Groups of ranks whose bounds grow by a fiftieth: about 700 groups for 20 million keys.
std::vector<RankGroup> rank_groups(std::uint32_t key_count, double zipf_exponent) {
  std::vector<RankGroup> groups;
  double sum = 0;
  for (double first_rank = 1; first_rank <= key_count;) {
    const double last_rank = std::min<double>(key_count, std::max(first_rank, std::floor(first_rank * 1.02)));
    const double count = last_rank - first_rank + 1;
    const double probability = std::pow((first_rank + last_rank) / 2, -zipf_exponent);
    sum += count * probability;
    groups.push_back({count, probability});
    first_rank = last_rank + 1;
  }
  for (RankGroup& group : groups) group.probability /= sum;
  return groups;
}

} // namespace

double lru_hit_ratio(std::uint32_t key_count, double zipf_exponent, double cached_values) {
  if (key_count == 0 || cached_values <= 0) return 0;
  if (cached_values >= key_count) return 1;
  const std::vector<RankGroup> groups = rank_groups(key_count, zipf_exponent);
  const auto expected_cached = [&](double characteristic_time) {
    double sum = 0;
    for (const RankGroup& group : groups)
      sum -= group.count * std::expm1(-group.probability * characteristic_time);
    return sum;
  };
  double low_time = 0, high_time = key_count;
  while (expected_cached(high_time) < cached_values && high_time < 1e300) high_time *= 2;
  for (int i = 0; i < 100; ++i)
    (expected_cached((low_time + high_time) / 2) < cached_values ? low_time : high_time) =
        (low_time + high_time) / 2;
  double hit_ratio = 0;
  for (const RankGroup& group : groups)
    hit_ratio -= group.count * group.probability * std::expm1(-group.probability * high_time);
  return std::clamp(hit_ratio, 0.0, 1.0);
}

OriginLoad estimate_origin_load(const AppConfig& app) {
  OriginLoad load;
  if (!app.fleet.origin_kind) return load;
  double total_traffic = 0, write_traffic = 0;
  for (const ClassConfig& cls : app.classes) {
    total_traffic += cls.traffic_share;
    if (cls.is_write) write_traffic += cls.traffic_share;
  }
  load.write_share = total_traffic > 0 ? write_traffic / total_traffic : 0;
  const double read_share = 1 - load.write_share;
  const bool nodes_listed = !app.fleet.nodes.empty();
  const auto is_cache = [&](std::uint32_t kind) { return kind != *app.fleet.origin_kind; };
  const bool has_cache_kind = app.fleet.kinds.size() > 1;
  bool has_cache_node = false, all_memory_known = true, all_cores_known = true;
  double memory_bytes = 0, available_cores = 0;
  for (const NodeConfig& node : app.fleet.nodes) {
    const std::uint32_t kind_index = node_kind(app.fleet, node);
    if (!is_cache(kind_index) || kind_index >= app.fleet.kinds.size()) continue;
    const NodeKindConfig& kind = app.fleet.kinds[kind_index];
    has_cache_node = true;
    all_memory_known = all_memory_known && kind.memory_bytes > 0;
    all_cores_known = all_cores_known && kind.cores > 0;
    memory_bytes += kind.memory_bytes;
    available_cores += kind.cores * kind.core_speed;
  }
  load.no_cache_nodes = !has_cache_kind || (nodes_listed && !has_cache_node);
  if (load.no_cache_nodes) {
    load.miss_share = read_share;
    load.request_share = 1;
    return load;
  }
  if (has_cache_node && all_memory_known && app.expected_load.key_count > 0 &&
      app.expected_load.mean_value_bytes > 0) {
    load.memory_known = true;
    load.miss_share =
        read_share * (1 - lru_hit_ratio(app.expected_load.key_count, app.expected_load.zipf_exponent,
                                        memory_bytes / app.expected_load.mean_value_bytes));
  }
  if (has_cache_node && all_cores_known && app.expected_load.rate_per_s > 0 &&
      app.expected_load.mean_work_ms > 0) {
    load.work_known = true;
    const double required_cores =
        read_share * app.expected_load.rate_per_s * app.expected_load.mean_work_ms / 1000; // cores of speed 1
    if (required_cores > available_cores)
      load.overflow_share = (read_share - load.miss_share) * (1 - available_cores / required_cores);
  }
  load.request_share = std::min(1.0, load.write_share + load.miss_share + load.overflow_share);
  return load;
}

} // namespace fernward::app_config
