#include "config/router_fleet.h"

#include "config/address.h"
#include "config/json_reader.h"

namespace fernward::config {

void add_peers(const Config& config, RouterFleetConfig& fleet) {
  const JsonObject file{config.static_keys, ""};
  file.read_required("peer_listen", fleet.listen_address);
  file.read_required("peers", fleet.peer_addresses);
  const JsonObject settings = file.required_object("settings");
  bool may_gossip = true;
  settings.optional_object("limits").read_optional("may_tell", may_gossip);
  if (!may_gossip) throw Error("settings.limits.may_tell: is false: routers must not exchange messages here");
  settings.read_count("me", fleet.self_index);
  sockaddr_in parsed{};
  if (!parse_address(fleet.listen_address, parsed))
    throw Error("peer_listen: \"" + fleet.listen_address + "\" is not an address of the form 10.0.0.4:7946");
  if (fleet.peer_addresses.size() > 65535) throw Error("peers: has more than 65535 entries");
  for (std::size_t i = 0; i < fleet.peer_addresses.size(); ++i) {
    if (!parse_address(fleet.peer_addresses[i], parsed))
      throw Error("peers[" + std::to_string(i) + "]: \"" + fleet.peer_addresses[i] +
                  "\" is not an address of the form 10.0.0.4:7946");
  }
  if (fleet.self_index >= fleet.peer_addresses.size())
    throw Error("settings.me: is " + std::to_string(fleet.self_index) + ", but there are " +
                std::to_string(fleet.peer_addresses.size()) + " peers");
}

} // namespace fernward::config
