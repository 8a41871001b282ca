// One endpoint of discovery's list: the target that it describes, and how much of its entry could be read. An
// entry is judged by itself: damage in one must not hide the drain that another one tells.
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
  sockaddr_in where{};
  fernward::Server entry;
};

// The same at every router and after every restart: they depend on the name alone.
fernward::ServerId id_of(const std::string& name);
// A position in the settings' list, or for a name that is not there one beyond it.
std::uint32_t index_of(const std::string& name, const std::vector<std::string>& names);
std::uint64_t hash_of(const std::string& text);

struct EndpointReading {
  enum class Outcome {
    Sound,
    Repaired, // what could not be read is as it was, or the default; the state is as discovery tells it
    Draining, // status, or the address of one in service, could not be read: nothing new may be sent there
    Dropped,  // no name, or it would be Draining and the server is unknown; there is no target
  };

  Outcome outcome = Outcome::Sound;
  Endpoint target;
  const char* fault = ""; // the first thing that could not be read
};

class EndpointReader {
 public:
  // The target of this name as it is known now; null: it is not. Asked only where an entry is damaged.
  using FindLast = std::function<const Endpoint*(const std::string& name)>;

  EndpointReader(std::vector<std::string> zones, std::vector<std::string> kinds);

  // Never throws for what the entry holds.
  EndpointReading read(const nlohmann::json& entry, const FindLast& find_last) const;

 private:
  std::vector<std::string> zones_, kinds_;
  fernward::Server defaults_;
};

// A damaged entry as another process should read it: it gives the same target there. `last_entry` is what was
// written of the server before, or null.
nlohmann::json repaired_entry(const nlohmann::json& entry, const Endpoint& target,
                              const nlohmann::json& last_entry);

} // namespace fernward::endpoints
