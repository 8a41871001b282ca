// The free connections of a pool, by endpoint and by age.
#pragma once

#include <list>
#include <map>
#include <vector>

#include "loop/slot_map.h"
#include "upstream/upstream_connection.h"

namespace fernward::upstream {

/// Keeps the order of the free connections: idle ones, and those that are connecting without a request. Owned by
/// the ConnectionPool, which owns the connections. A connection is tracked once, and then free from add() or
/// add_by_idle_time() until remove(), any number of times.
class FreeConnections {
 public:
  /// `connections` must outlive this object.
  explicit FreeConnections(loop::SlotMap<UpstreamConnection>& connections) : connections_(connections) {}

  /// To be called once for each new connection, before the other functions.
  void track(UpstreamConnection& connection);
  /// Adds a tracked connection as the newest one.
  void add(UpstreamConnection& connection);
  /// Adds a tracked idle connection behind those that became idle before it.
  void add_by_idle_time(UpstreamConnection& connection);
  /// No effect if it is not free.
  void remove(UpstreamConnection& connection);
  /// Frees what is kept for an endpoint without free connections.
  void forget(fernward::ServerId endpoint);

  /// The free connections to an endpoint, newest last; the idle ones in the order in which they became idle.
  /// The reference is valid until the next call that is not const.
  const std::vector<loop::Handle>& of(fernward::ServerId endpoint) const;
  /// The one that has been free for the longest time; null: none is free.
  UpstreamConnection* oldest();
  std::size_t endpoint_count() const { return by_endpoint_.size(); }

 private:
  loop::SlotMap<UpstreamConnection>& connections_;
  std::map<fernward::ServerId, std::vector<loop::Handle>> by_endpoint_; // newest last
  std::list<loop::Handle> by_age_;                                      // oldest first
};

} // namespace fernward::upstream
