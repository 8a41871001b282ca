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

#include "gossip/fleet.h"

namespace {

using namespace fernward;

void must(bool holds, const char* what) {
  if (holds) return;
  std::fprintf(stderr, "%s\n", what);
  std::abort();
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string raw(reinterpret_cast<const char*>(data), size);
  std::string whole = raw;
  membership::put(whole, static_cast<std::uint32_t>(XXH32(raw.data(), raw.size(), 0)));
  gossip::Fleet fleet(0, 8, 1000, {}, 1);
  std::vector<gossip::Fleet::Out> out;
  fleet.tick(1000, {1, 2}, out);
  for (const std::string& bytes : {raw, whole}) {
    for (gossip::Id from = 0; from < 9; ++from) {
      fleet.take(1001, from, bytes, out);
      const gossip::View view = fleet.view(1002);
      must(view.living >= 1 && view.living <= 8, "the number of live routers is out of range");
      must(std::isfinite(view.ledger_part) && view.ledger_part >= 0 && view.ledger_part <= 4096 * 8,
           "the origin's share is out of range");
    }
    if (const auto read = membership::decode(bytes)) {
      const auto again = membership::decode(membership::encode(*read));
      must(again && membership::encode(*again) == membership::encode(*read),
           "a message changes when it is encoded and decoded again");
    }
  }
  fleet.tick(2000, {1, 2}, out);
  for (const auto& o : out)
    must(o.to < 8 && o.bytes.size() <= membership::kMostBytes, "a datagram exceeds the size limit");
  return 0;
}
