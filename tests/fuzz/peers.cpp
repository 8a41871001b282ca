// Fuzzes the gossip between routers. Whatever datagrams are received, all values stay within their bounds,
// the datagrams sent in return fit the size limit, and a decoded message survives a round trip. The input is
// a datagram without its checksum; a correct checksum is appended here so that the code behind the check is
// reached.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "gossip/gossip_node.h"

namespace {

using namespace fernward;

void require(bool condition, const char* message) {
  if (condition) return;
  std::fprintf(stderr, "%s\n", message);
  std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string without_checksum(reinterpret_cast<const char*>(data), size);
  std::string with_checksum = without_checksum;
  membership::put(with_checksum,
                  static_cast<std::uint32_t>(XXH32(without_checksum.data(), without_checksum.size(), 0)));
  gossip::GossipNode node(0, 8, 1000, {}, 1);
  std::vector<gossip::GossipNode::OutgoingDatagram> datagrams;
  node.tick(1000, {1, 2}, datagrams);
  for (const std::string& bytes : {without_checksum, with_checksum}) {
    for (gossip::MemberId sender = 0; sender < 9; ++sender) {
      node.receive(1001, sender, bytes, datagrams);
      const gossip::FleetView view = node.view(1002);
      require(view.router_count >= 1 && view.router_count <= 8, "the number of live routers is out of range");
      require(std::isfinite(view.origin_limit_share) && view.origin_limit_share >= 0 &&
                  view.origin_limit_share <= 4096 * 8,
              "the share of the limit at the origin is out of range");
    }
    if (const auto decoded = membership::decode(bytes)) {
      const auto decoded_again = membership::decode(membership::encode(*decoded));
      require(decoded_again && membership::encode(*decoded_again) == membership::encode(*decoded),
              "a message changes when it is encoded and decoded again");
    }
  }
  node.tick(2000, {1, 2}, datagrams);
  for (const auto& datagram : datagrams)
    require(datagram.to < 8 && datagram.bytes.size() <= membership::kMaxDatagramBytes,
            "a datagram exceeds the size limit or has an unknown receiver");
  return 0;
}
