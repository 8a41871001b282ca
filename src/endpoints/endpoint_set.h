// The endpoints that discovery lists, by server id. The id is a hash of the name, so two names may have the
// same one: only one of these endpoints is used at a time, and the others wait until it drains or is removed.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "endpoints/endpoint.h"
#include "fernward/balancer.h"

namespace fernward::endpoints {

class EndpointSet {
 public:
  // Adds the endpoint or replaces the one of the same name. State Gone removes the one of the same name.
  void update(const Endpoint& endpoint);

  const Endpoint* find(const std::string& name) const;     // also one that waits for its id; null: none
  const Endpoint* find_by_id(fernward::ServerId id) const; // the endpoint that uses the id; null: none
  // Endpoints in service, without those that wait for their id.
  std::size_t in_service_count() const { return in_service_count_; }
  // The endpoint that uses each id.
  const std::map<fernward::ServerId, Endpoint>& by_id() const { return by_id_; }

 private:
  void store(const Endpoint& endpoint);
  void resolve_id_collision(const Endpoint& endpoint);
  bool is_in_service(fernward::ServerId id) const;

  std::map<fernward::ServerId, Endpoint> by_id_;
  // Endpoints whose id is used by an endpoint of another name.
  std::multimap<fernward::ServerId, Endpoint> waiting_;
  std::size_t in_service_count_ = 0;
};

} // namespace fernward::endpoints
