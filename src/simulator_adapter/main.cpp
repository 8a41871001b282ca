// fernward_simulator_adapter: serves the simulator's binary protocol on standard input and output with the
// balancer.
#include <cstdio>
#include <exception>
#include <string>

#include "simulator_adapter/simulator_adapter.h"

namespace {

// Returns false at the end of input; throws BadInput if the input ends within the requested bytes.
bool read_exactly(char* into, std::size_t count) {
  const std::size_t got = std::fread(into, 1, count, stdin);
  if (got == 0) return false;
  if (got != count) throw fernward::simulator_adapter::BadInput("input ended within a frame");
  return true;
}

} // namespace

int main() {
  using namespace fernward::simulator_adapter;
  try {
    SimulatorAdapter drill;
    std::string frame(kBatchHeader, '\0');
    while (read_exactly(frame.data(), kBatchHeader)) {
      const std::size_t length = read_header(frame).length;
      frame.resize(length);
      if (length > kBatchHeader && !read_exactly(frame.data() + kBatchHeader, length - kBatchHeader)) {
        throw BadInput("input ended within a frame");
      }
      const std::string& reply = drill.answer(frame);
      if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0) {
        throw BadInput("standard output was closed");
      }
      frame.resize(kBatchHeader);
    }
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "fernward_simulator_adapter: %s\n", error.what());
    return 1;
  }
}
