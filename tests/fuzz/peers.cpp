// Datagrams between routers may hold any bytes: what is taken keeps every figure within its bounds, what is said in return
// fits a datagram, and what was read, written again, reads the same. The input is a datagram without its checksum, which is
// set right here, so that what lies behind it is reached.
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
      must(view.living >= 1 && view.living <= 8, "as many live as there are, at most");
      must(std::isfinite(view.ledger_part) && view.ledger_part >= 0 && view.ledger_part <= 4096 * 8,
           "a part is a number");
    }
    if (const auto read = membership::decode(bytes)) {
      const auto again = membership::decode(membership::encode(*read));
      must(again && membership::encode(*again) == membership::encode(*read), "what was read is read again");
    }
  }
  fleet.tick(2000, {1, 2}, out);
  for (const auto& o : out) must(o.to < 8 && o.bytes.size() <= membership::kMostBytes, "what is said fits");
  return 0;
}
