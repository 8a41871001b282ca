// The route table: discovery's list by name, with the numbers that the module knows it under.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include "endpoints/endpoint.h"
#include "endpoints/target_set.h"
#include "fernward/balancer.h"

namespace fernward::endpoints {

struct Damaged : std::runtime_error { // what discovery sent is no list; the table is as before
  using std::runtime_error::runtime_error;
};

struct Stale : Damaged { // a sound answer from before what is known already; the table is as before
  using Damaged::Damaged;
};

class EndpointTable {
 public:
  // `keeps`: what was told can be told on, see told().
  EndpointTable(std::vector<std::string> zones, std::vector<std::string> kinds, bool keeps = false)
      : reader_(std::move(zones), std::move(kinds)), keeps_(keeps) {}

  // Takes a whole list or changes, in discovery's form. The result is for the module. Each entry is judged by
  // itself, see EndpointReading; what is damaged of them is told in one line of the log. Throws Damaged where
  // the message is none, or a whole list that has entries and none that tells its server's state; throws
  // Stale where its index is below `at_least`.
  fernward::EndpointList apply(const std::string& text, std::uint64_t at_least = 0);
  fernward::EndpointList apply(const nlohmann::json& message, std::uint64_t at_least = 0);

  std::string told() const; // the whole list, in discovery's form, where it is kept
  std::uint64_t index() const { return index_; }
  const std::map<fernward::ServerId, Endpoint>& targets() const { return contents_.targets.holders(); }
  bool usable() const { return contents_.targets.in_service() > 0; } // some target is in service
  std::uint64_t dropped_entries() const {
    return dropped_entries_;
  } // of messages that were taken, since the start

 private:
  struct Contents {
    TargetSet targets;
    std::map<std::string, std::string> texts; // by name, as discovery wrote it; where they are kept
  };
  struct Damage { // of the entries of one message
    std::size_t dropped = 0, draining = 0, repaired = 0;
    std::string first, why;

    void add(const EndpointReading& reading);
    bool any() const { return dropped + draining + repaired > 0; }
  };

  fernward::EndpointList replace(const nlohmann::json& endpoints);
  fernward::EndpointList change(const nlohmann::json& endpoints);
  void put(const EndpointReading& reading, const nlohmann::json& entry, Contents& into) const;
  static const std::string* find_text(const Contents& contents, const std::string& name);
  std::string text_of(const EndpointReading& reading, const nlohmann::json& entry,
                      const Contents& contents) const;
  void report(const Damage& damage);

  EndpointReader reader_;
  bool keeps_;
  Contents contents_;
  std::uint64_t index_ = 0;
  std::uint64_t dropped_entries_ = 0;
};

} // namespace fernward::endpoints
