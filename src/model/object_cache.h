// The memory of a cache node: stores objects up to a size limit; evicts the least recently used (Lru) or the
// oldest object (Fifo) first.
#pragma once

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cstdint>
#include <optional>

#include "model/spec.h"

namespace fernward::model {

class ObjectCache {
 public:
  ObjectCache(double max_bytes, EvictionPolicy eviction_policy, double lifetime_ms, double overhead_bytes);

  // The time at which the object was stored; nullopt if it is absent or has expired. Counts as a use.
  std::optional<double> find(double now, std::uint64_t key);
  // Replaces an object of the same key. An object larger than the capacity is not stored.
  void store(double now, std::uint64_t key, double bytes);
  void remove(std::uint64_t key);
  void clear();

  double bytes() const { return used_bytes_; } // of all objects, with their overhead
  double capacity_bytes() const { return capacity_bytes_; }
  std::size_t objects() const { return objects_.size(); }

 private:
  struct Object {
    std::uint64_t key;
    double stored_at, bytes;
  };
  struct ByEvictionOrder {}; // the next to be evicted is first
  struct ByKey {};
  using Objects = boost::multi_index_container<
      Object,
      boost::multi_index::indexed_by<boost::multi_index::sequenced<boost::multi_index::tag<ByEvictionOrder>>,
                                     boost::multi_index::hashed_unique<
                                         boost::multi_index::tag<ByKey>,
                                         boost::multi_index::member<Object, std::uint64_t, &Object::key>>>>;

  double capacity_bytes_;
  EvictionPolicy eviction_policy_;
  double lifetime_ms_, overhead_bytes_;
  double used_bytes_ = 0;
  Objects objects_;
};

} // namespace fernward::model
