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
#include "endpoints/endpoint_set.h"
#include "fernward/balancer.h"

namespace fernward::endpoints {

// Discovery sent no valid list; the table is unchanged.
struct InvalidEndpointList : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// A valid list, but with an index below the required one; the table is unchanged.
struct StaleEndpointList : InvalidEndpointList {
  using InvalidEndpointList::InvalidEndpointList;
};

class EndpointTable {
 public:
  // `keep_entry_texts`: keeps the text of each entry for serialized_list().
  EndpointTable(std::vector<std::string> zones, std::vector<std::string> kinds, bool keep_entry_texts = false)
      : endpoint_parser_(std::move(zones), std::move(kinds)), keep_entry_texts_(keep_entry_texts) {}

  // Applies a full list or a delta, in discovery's format, and returns the corresponding update for the
  // balancer. Each entry is validated separately, see ParsedEndpoint; one log line summarizes the invalid
  // ones. Throws InvalidEndpointList if the message is invalid, or if it is a full list with entries of which
  // none has a usable state. Throws StaleEndpointList if its index is below `min_index`.
  fernward::EndpointList apply(const std::string& text, std::uint64_t min_index = 0);
  fernward::EndpointList apply(const nlohmann::json& message, std::uint64_t min_index = 0);

  std::string serialized_list() const; // the full list in discovery's format; requires `keep_entry_texts`
  std::uint64_t index() const { return index_; }
  const std::map<fernward::ServerId, Endpoint>& endpoints_by_id() const {
    return contents_.endpoints.by_id();
  }
  bool has_endpoint_in_service() const { return contents_.endpoints.in_service_count() > 0; }
  // Invalid entries dropped from all applied messages since the process start.
  std::uint64_t dropped_entries() const { return dropped_entries_; }

 private:
  struct Contents {
    EndpointSet endpoints;
    // JSON text of each entry by name; empty unless `keep_entry_texts_`.
    std::map<std::string, std::string> entry_texts;
  };
  struct EntryErrors { // invalid entries of one message
    std::size_t dropped = 0, draining = 0, repaired = 0;
    std::string first_name, first_error;

    void add(const ParsedEndpoint& parsed);
    bool any() const { return dropped + draining + repaired > 0; }
  };

  fernward::EndpointList apply_full(const nlohmann::json& endpoints);
  fernward::EndpointList apply_delta(const nlohmann::json& endpoints);
  void store_entry(const ParsedEndpoint& parsed, const nlohmann::json& entry, Contents& contents) const;
  static const std::string* find_entry_text(const Contents& contents, const std::string& name);
  std::string entry_text(const ParsedEndpoint& parsed, const nlohmann::json& entry,
                         const Contents& contents) const;
  void log_errors(const EntryErrors& errors);

  EndpointParser endpoint_parser_;
  bool keep_entry_texts_;
  Contents contents_;
  std::uint64_t index_ = 0;
  std::uint64_t dropped_entries_ = 0;
};

} // namespace fernward::endpoints
