#include "config/fleet.h"

#include "config/address.h"
#include "config/read.h"

namespace fernward::config {

void take_peers(const Config& config, Fleet& fleet) {
  const Part file{config.fixed, ""};
  file.need("peer_listen", fleet.listen);
  file.need("peers", fleet.peers);
  const Part settings = file.needed_part("settings");
  bool may_tell = true;
  settings.part("limits").read("may_tell", may_tell);
  if (!may_tell) throw Error("settings.limits.may_tell: is false: routers must not exchange messages here");
  settings.count("me", fleet.self);
  sockaddr_in where{};
  if (!parse_address(fleet.listen, where))
    throw Error("peer_listen: \"" + fleet.listen + "\" is not an address of the form 10.0.0.4:7946");
  if (fleet.peers.size() > 65535) throw Error("peers: has more than 65535 entries");
  for (std::size_t i = 0; i < fleet.peers.size(); ++i) {
    if (!parse_address(fleet.peers[i], where))
      throw Error("peers[" + std::to_string(i) + "]: \"" + fleet.peers[i] +
                  "\" is no address of the form 10.0.0.4:7946");
  }
  if (fleet.self >= fleet.peers.size())
    throw Error("settings.me: is " + std::to_string(fleet.self) + ", but there are " +
                std::to_string(fleet.peers.size()) + " peers");
}

} // namespace fernward::config
