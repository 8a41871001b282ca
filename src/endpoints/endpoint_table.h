// The endpoint table: discovery's list, by server name and by the server id that the balancer uses.
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

struct Damaged : std::runtime_error { // discovery sent no valid list; the table is unchanged
  using std::runtime_error::runtime_error;
};

struct Stale : Damaged { // a valid list, but older than the table; the table is unchanged
  using Damaged::Damaged;
};

class EndpointTable {
 public:
  // `keep_entry_texts`: keeps the text of each entry for serialized_list().
  EndpointTable(std::vector<std::string> zones, std::vector<std::string> kinds, bool keeps = false)
      : reader_(std::move(zones), std::move(kinds)), keeps_(keeps) {}

  // Applies a full list or a delta, in discovery's format, and returns the corresponding update for the
  // balancer. Each entry is validated separately, see ParsedEndpoint; one log line summarizes the invalid
  // ones. Throws InvalidEndpointList if the message is invalid, or if it is a full list with entries of which
  // none has a usable state. Throws StaleEndpointList if its index is below `min_index`.
  fernward::EndpointList apply(const std::string& text, std::uint64_t at_least = 0);
  fernward::EndpointList apply(const nlohmann::json& message, std::uint64_t at_least = 0);

  std::string told() const; // the full list in discovery's format; requires `keep_entry_texts`
  std::uint64_t index() const { return index_; }
  const std::map<fernward::ServerId, Endpoint>& targets() const { return contents_.targets.holders(); }
  bool usable() const { return contents_.targets.in_service() > 0; }
  // Of all applied messages, since the process start.
  std::uint64_t dropped_entries() const { return dropped_entries_; }

 private:
  struct Contents {
    TargetSet targets;
    // JSON text of each entry by name; empty unless `keep_entry_texts_`.
    std::map<std::string, std::string> texts;
  };
  struct Damage { // invalid entries of one message
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
