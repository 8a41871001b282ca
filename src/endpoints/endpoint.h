// Parses one entry of discovery's endpoint list. Each entry is validated separately: an invalid entry must
// not hide the drain of an endpoint in another entry.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "fernward/balancer.h"

namespace fernward::endpoints {

struct Endpoint {
  std::string name, address;
  sockaddr_in socket_address{};
  fernward::Server server;
};

// Depends on the name alone, so that it is the same on every router and after every restart.
fernward::ServerId id_of(const std::string& name);
// The position of `name` in `names` (a list of the settings); for other names a hash beyond the end of the
// list.
std::uint32_t index_of(const std::string& name, const std::vector<std::string>& names);
std::uint64_t hash_of(const std::string& text);

struct ParsedEndpoint {
  enum class Outcome {
    Valid,
    Repaired, // invalid fields have their previous value or the default; the state is discovery's
    Draining, // invalid status, or invalid address while in service: no new requests may be sent there
    Dropped,  // no name, or Draining applies and the server is unknown; there is no endpoint
  };

  Outcome outcome = Outcome::Valid;
  Endpoint endpoint;
  const char* first_error = ""; // the first invalid field; empty: none
};

class EndpointParser {
 public:
  // Returns the endpoint of this name as currently known, or null. Called only for invalid entries.
  using FindPrevious = std::function<const Endpoint*(const std::string& name)>;

  EndpointParser(std::vector<std::string> zones, std::vector<std::string> kinds);

  // Does not throw, whatever the entry contains.
  ParsedEndpoint parse(const nlohmann::json& entry, const FindPrevious& find_previous) const;

 private:
  std::vector<std::string> zones_, kinds_;
  fernward::Server defaults_;
};

// Rewrites an invalid entry so that another process parses it to the same endpoint. `previous_entry` is the
// entry stored for the server before, or null.
nlohmann::json repaired_entry(const nlohmann::json& entry, const Endpoint& endpoint,
                              const nlohmann::json& previous_entry);

} // namespace fernward::endpoints
