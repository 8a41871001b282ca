// The targets that discovery lists, by number. A number is a hash of the name, so that two names may have the
// same one: it belongs to one of them at a time, and the others wait until that one drains or is gone.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "endpoints/endpoint.h"
#include "fernward/balancer.h"

namespace fernward::endpoints {

class TargetSet {
 public:
  // Adds the target or takes the place of the one of its name; a target that is Gone only ends that one.
  void put(const Endpoint& target);

  const Endpoint* find(const std::string& name) const;   // also one that waits; null: none
  const Endpoint* holder(fernward::ServerId id) const;   // null: none
  std::size_t in_service() const { return in_service_; } // of the holders
  const std::map<fernward::ServerId, Endpoint>& holders() const {
    return holders_;
  } // of each number its holder

 private:
  void replace(const Endpoint& target);
  void contend(const Endpoint& target);
  bool is_in_service(fernward::ServerId id) const;

  std::map<fernward::ServerId, Endpoint> holders_;
  std::multimap<fernward::ServerId, Endpoint> waiting_; // for their number; its holder has another name
  std::size_t in_service_ = 0;
};

} // namespace fernward::endpoints
